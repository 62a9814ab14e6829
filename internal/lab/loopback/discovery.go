package loopback

import (
	"context"
	"encoding/json"
	"math"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"pearknot/balancer"
	"pearknot/internal/invariants"
	"pearknot/internal/lab/discoverystub"
)

// maxHoldMs limits the time that a watch waits for a change, even if it requests more.
const maxHoldMs = 60_000

// discoveryServer simulates the discovery service: it serves the lab's model of it over HTTP. It has a separate HTTP endpoint for each
// node, so that it can record which node is notified of which change.
type discoveryServer struct {
	monitor  *monitor
	backends []*backend
	servers  []*http.Server
	wg       sync.WaitGroup

	mu      sync.Mutex
	service *discoverystub.Service
	changed chan struct{} // closed to make watches check again
	timer   *time.Timer   // for the next publication
}

// listResponse is the protocol's response to a poll or a watch.
type listResponse struct {
	Version    int         `json:"rev"`
	IsComplete bool        `json:"all"`
	Entries    []listEntry `json:"targets"`
}

// listEntry describes a backend on the endpoint list.
type listEntry struct {
	ID        string  `json:"uid"`
	Address   string  `json:"endpoint"`
	Zone      string  `json:"az"`
	Machine   string  `json:"model"`
	Cell      int     `json:"pod_group"`
	State     string  `json:"state"`
	Weight    float64 `json:"capacity_hint"`
	StartedAt float64 `json:"boot_ms"`
}

var stateNames = map[balancer.BackendState]string{
	balancer.BackendReady:    "up",
	balancer.BackendDraining: "draining",
	balancer.BackendRemoved:  "removed",
}

// newDiscoveryServer returns a server that lists all backends as ready, except those that join later.
func newDiscoveryServer(m *monitor, backends []*backend, joining map[int]bool) *discoveryServer {
	d := &discoveryServer{
		monitor:  m,
		backends: backends,
		service:  discoverystub.New(m.experiment.EndpointList.UpdatesPerSecond),
		changed:  make(chan struct{}),
	}
	d.timer = time.AfterFunc(time.Hour, d.publish)
	for _, b := range backends {
		if !joining[b.number] {
			d.service.Update(0, 0, discoverystub.Entry{Backend: b.number, State: balancer.BackendReady})
		}
	}
	d.service.Advance(0)
	return d
}

// open opens the HTTP endpoint of the service for a node, and returns its address.
func (d *discoveryServer) open(node, zone int) (address string, err error) {
	socket, err := net.Listen("tcp", d.monitor.ip+":0")
	if err != nil {
		return "", err
	}
	handler := func(w http.ResponseWriter, r *http.Request) { d.serve(w, r, node, zone) }
	server := &http.Server{Handler: http.HandlerFunc(handler)}
	d.servers = append(d.servers, server)
	d.wg.Add(1)
	go func() {
		defer d.wg.Done()
		_ = server.Serve(socket) // until it is closed
	}()
	return socket.Addr().String(), nil
}

// close closes all endpoints.
func (d *discoveryServer) close() {
	d.timer.Stop()
	for _, server := range d.servers {
		_ = server.Close()
	}
	d.wg.Wait()
}

// update reports a backend's new state to the service, which publishes it after the list's current lag.
func (d *discoveryServer) update(b *backend, state balancer.BackendState) {
	d.monitor.mu.Lock()
	lag := d.monitor.faults.ListLag()
	d.monitor.mu.Unlock()
	b.mu.Lock()
	started := b.machine.StartTime()
	b.mu.Unlock()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.service.Update(d.monitor.now(), lag, discoverystub.Entry{Backend: b.number, State: state, Started: started})
	d.timer.Reset(max(0, time.Until(d.monitor.wallTime(d.service.NextPublish()))))
}

// publish wakes the watches if changes are due, and sets the timer for the next changes.
func (d *discoveryServer) publish() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.service.Advance(d.monitor.now()) {
		d.wakeWatchesLocked()
	}
	if next := d.service.NextPublish(); !math.IsInf(next, 1) {
		d.timer.Reset(max(time.Millisecond, time.Until(d.monitor.wallTime(next))))
	}
}

// wakeWatches makes all watches check again, for instance when the service goes down.
func (d *discoveryServer) wakeWatches() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.wakeWatchesLocked()
}

func (d *discoveryServer) wakeWatchesLocked() {
	close(d.changed)
	d.changed = make(chan struct{})
}

func (d *discoveryServer) isDown() bool {
	d.monitor.mu.Lock()
	defer d.monitor.mu.Unlock()
	return d.monitor.faults.ListDown()
}

// listAt returns the complete list as of the given time, in ms.
func (d *discoveryServer) listAt(at float64, zone int) listResponse {
	d.mu.Lock()
	defer d.mu.Unlock()
	entries, version := d.service.ListAt(max(at, 0))
	return listResponse{Version: version, IsComplete: true, Entries: d.encodeEntries(entries, zone)}
}

// encodeEntries converts list entries to the protocol's form, with the addresses for the nodes of a zone.
func (d *discoveryServer) encodeEntries(entries []discoverystub.Entry, zone int) []listEntry {
	encoded := make([]listEntry, 0, len(entries))
	for _, entry := range entries {
		b := d.backends[entry.Backend]
		started := 0.0
		if entry.Started > 0 {
			started = d.monitor.clockTime(entry.Started)
		}
		encoded = append(encoded, listEntry{
			ID:        b.name(),
			Address:   b.listeners[zone].address,
			Zone:      d.monitor.experiment.Fleet.Zones[b.zone],
			Machine:   d.monitor.experiment.Machines[b.kind].Name,
			Cell:      b.number,
			State:     stateNames[entry.State],
			Weight:    1,
			StartedAt: started,
		})
	}
	return encoded
}

// listQuery holds a node's query: a poll for the complete list, or a watch for the changes since a version.
type listQuery struct {
	isWatch bool
	since   int           // a version
	hold    time.Duration // after which a watch is answered without changes
}

func parseListQuery(r *http.Request) listQuery {
	since, err := strconv.Atoi(r.URL.Query().Get("from"))
	holdMs, _ := strconv.Atoi(r.URL.Query().Get("hold_ms"))
	return listQuery{isWatch: err == nil, since: since, hold: time.Duration(min(holdMs, maxHoldMs)) * time.Millisecond}
}

// serve answers a node's poll or watch.
func (d *discoveryServer) serve(w http.ResponseWriter, r *http.Request, node, zone int) {
	query := parseListQuery(r)
	if !d.waitForAnswer(r.Context(), query) {
		http.Error(w, "down", http.StatusServiceUnavailable)
		return
	}
	entries, version, done, ok := d.callService(query)
	d.monitor.sleepUntil(r.Context(), done)
	if !ok || r.Context().Err() != nil {
		http.Error(w, "crowded", http.StatusServiceUnavailable)
		return
	}
	response := listResponse{Version: version, IsComplete: !query.isWatch, Entries: d.encodeEntries(entries, zone)}
	data, err := json.Marshal(response)
	if err != nil {
		panic(err) // the response has no value that JSON can't encode
	}
	// A node may use a backend as soon as it reads that the backend is ready again, which may be before the write returns here. The
	// auditor must be notified before that, or it would report an attempt to a draining backend. All other states apply to the node only
	// once it has read them, so the auditor is notified of them after the write.
	d.notify(node, entries, true)
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	if _, err := w.Write(data); err != nil {
		return
	}
	if flusher, ok := w.(http.Flusher); ok {
		flusher.Flush()
	}
	d.notify(node, entries, false)
	if response.IsComplete {
		d.notifyUnlisted(node, entries)
	}
}

// waitForAnswer returns at once for a poll. For a watch it waits until there are changes or the hold time is over. It returns false if
// the service is down or the node has closed the connection.
func (d *discoveryServer) waitForAnswer(ctx context.Context, query listQuery) bool {
	timeout := time.NewTimer(query.hold)
	defer timeout.Stop()
	for {
		if d.isDown() {
			return false
		}
		d.mu.Lock()
		version, changed := d.service.Version(), d.changed
		d.mu.Unlock()
		if !query.isWatch || version > query.since {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		case <-timeout.C:
			return true
		}
	}
}

// callService adds the cost of an answer to the service's load. It returns the entries and the version to answer with, the time of the
// answer in ms, and whether the service answers at all.
func (d *discoveryServer) callService(query listQuery) (entries []discoverystub.Entry, version int, done float64, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	version = d.service.Version()
	if query.isWatch {
		entries = d.service.ChangesSince(query.since)
	} else {
		entries = d.service.List()
	}
	lines := max(1, len(entries))
	if query.isWatch && len(entries) == 0 { // renewing a watch without changes costs almost nothing
		lines = 0
	}
	done, ok = d.service.Call(d.monitor.now(), lines)
	return entries, version, done, ok
}

// notify records that a node is notified of the entries that are ready or, if ready is false, of the others.
func (d *discoveryServer) notify(node int, entries []discoverystub.Entry, ready bool) {
	for _, entry := range entries {
		if (entry.State == balancer.BackendReady) != ready {
			continue
		}
		d.monitor.recordEvent(invariants.Event{
			Kind:    invariants.EndpointNotified,
			Node:    node,
			Backend: entry.Backend,
			State:   entry.State,
			Started: entry.Started,
		})
	}
}

// notifyUnlisted records that a node is notified of the removal of all backends that aren't on a complete list.
func (d *discoveryServer) notifyUnlisted(node int, entries []discoverystub.Entry) {
	isListed := make([]bool, len(d.backends))
	for _, entry := range entries {
		isListed[entry.Backend] = true
	}
	for backend, listed := range isListed {
		if !listed {
			d.monitor.recordEvent(invariants.Event{
				Kind:    invariants.EndpointNotified,
				Node:    node,
				Backend: backend,
				State:   balancer.BackendRemoved,
			})
		}
	}
}
