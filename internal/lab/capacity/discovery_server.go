package capacity

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"pearknot/balancer"
	"pearknot/internal/lab/discoverystub"
)

var discardLog = slog.New(slog.DiscardHandler)

// maxHoldTimeMs is the longest hold time that a caller can request for a poll.
const maxHoldTimeMs = 60_000

// discoveryServer is a stub of the discovery service that counts calls and bytes. All backends share one address.
type discoveryServer struct {
	address        string
	backendAddress string
	calls          atomic.Int64
	bytes          atomic.Int64 // both ways

	server  *http.Server
	wg      sync.WaitGroup
	mu      sync.Mutex
	service *discoverystub.Service
	changed chan struct{} // closed and replaced at each change
}

// listEntry is an endpoint as encoded in the list's JSON.
type listEntry struct {
	UID      string  `json:"uid"`
	Endpoint string  `json:"endpoint"`
	AZ       string  `json:"az"`
	Model    string  `json:"model"`
	PodGroup int     `json:"pod_group"`
	State    string  `json:"state"`
	Weight   float64 `json:"capacity_hint"`
	BootMs   float64 `json:"boot_ms"`
}

// listResponse holds the complete endpoint list or the changes since a revision.
type listResponse struct {
	Revision   int         `json:"rev"`
	IsComplete bool        `json:"all"`
	Targets    []listEntry `json:"targets"`
}

var stateNames = map[balancer.BackendState]string{
	balancer.BackendReady:    "up",
	balancer.BackendDraining: "draining",
	balancer.BackendRemoved:  "removed",
}

func newDiscoveryServer(backends int, backendAddress string) (*discoveryServer, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &discoveryServer{
		address:        listener.Addr().String(),
		backendAddress: backendAddress,
		service:        discoverystub.New(0),
		changed:        make(chan struct{}),
	}
	for backend := range backends {
		d.service.Update(0, 0, discoverystub.Entry{Backend: backend, State: balancer.BackendReady})
	}
	d.service.Advance(0)
	d.server = &http.Server{Handler: http.HandlerFunc(d.serve)}
	d.wg.Go(func() { _ = d.server.Serve(countingListener{listener, &d.bytes}) }) // until closed
	return d, nil
}

func (d *discoveryServer) close() {
	_ = d.server.Close()
	d.wg.Wait()
}

// setState changes the state of backends, all in one revision.
func (d *discoveryServer) setState(state balancer.BackendState, backends ...int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, backend := range backends {
		d.service.Update(0, 0, discoverystub.Entry{Backend: backend, State: state})
	}
	d.service.Advance(0)
	close(d.changed)
	d.changed = make(chan struct{})
}

// fullList returns the complete list.
func (d *discoveryServer) fullList() listResponse {
	d.mu.Lock()
	defer d.mu.Unlock()
	return listResponse{Revision: d.service.Version(), IsComplete: true, Targets: d.entries(d.service.List())}
}

func (d *discoveryServer) entries(listed []discoverystub.Entry) []listEntry {
	entries := make([]listEntry, 0, len(listed))
	for _, entry := range listed {
		entries = append(entries, listEntry{
			UID:      fmt.Sprintf("s-%d", entry.Backend),
			Endpoint: d.backendAddress,
			AZ:       deploymentNames.Zones[entry.Backend%len(deploymentNames.Zones)],
			Model:    deploymentNames.Kinds[0],
			PodGroup: entry.Backend,
			State:    stateNames[entry.State],
			Weight:   1,
		})
	}
	return entries
}

// serve answers a call without a revision with the complete list, and a call with one with the changes since then. The
// latter is held until there are changes or its hold time has passed.
func (d *discoveryServer) serve(w http.ResponseWriter, r *http.Request) {
	d.calls.Add(1)
	query := r.URL.Query()
	revision, err := strconv.Atoi(query.Get("from"))
	isWatch := err == nil
	holdMs, _ := strconv.Atoi(query.Get("hold_ms")) // 0 if absent or malformed
	holdTimer := time.NewTimer(time.Duration(min(holdMs, maxHoldTimeMs)) * time.Millisecond)
	defer holdTimer.Stop()
	d.mu.Lock()
	for isHeld := true; isWatch && isHeld && d.service.Version() <= revision; {
		changed := d.changed
		d.mu.Unlock()
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-holdTimer.C:
			isHeld = false
		}
		d.mu.Lock()
	}
	response := listResponse{Revision: d.service.Version(), IsComplete: !isWatch}
	if isWatch {
		response.Targets = d.entries(d.service.ChangesSince(revision))
	} else {
		response.Targets = d.entries(d.service.List())
	}
	d.mu.Unlock()
	data, err := json.Marshal(response)
	if err != nil {
		panic(err) // cannot happen: the values are plain
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	_, _ = w.Write(data)
}

// countingListener counts the bytes, both ways, of the connections that it accepts.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countingConn{conn, l.bytes}, nil
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}
