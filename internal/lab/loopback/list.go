package loopback

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"pearknot/balancer"
	"pearknot/internal/invariants"
	"pearknot/internal/lab/discoverystub"
)

// list is the stand-in for the service that names the backends. It listens once for each node, so that it knows whom
// it tells what.
type list struct {
	hub      *hub
	backends []*backend

	mu      sync.Mutex
	roll    *discoverystub.Service
	news    chan struct{} // closed when there is something newer
	timer   *time.Timer
	servers []*http.Server
	wg      sync.WaitGroup
}

var states = map[balancer.BackendState]string{balancer.BackendReady: "up", balancer.BackendDraining: "draining", balancer.BackendRemoved: "removed"}

type entry struct {
	UID      string  `json:"uid"`
	Endpoint string  `json:"endpoint"`
	AZ       string  `json:"az"`
	Model    string  `json:"model"`
	PodGroup int     `json:"pod_group"`
	State    string  `json:"state"`
	Weight   float64 `json:"capacity_hint"`
	BootMs   float64 `json:"boot_ms"`
}

type told struct {
	Rev     int     `json:"rev"`
	All     bool    `json:"all"`
	Targets []entry `json:"targets"`
}

func newList(h *hub, backends []*backend, joining map[int]bool) *list {
	l := &list{hub: h, backends: backends, roll: discoverystub.New(h.e.EndpointList.UpdatesPerSecond), news: make(chan struct{})}
	l.timer = time.AfterFunc(time.Hour, l.publish)
	for _, b := range backends {
		if !joining[b.number] {
			l.roll.Update(0, 0, discoverystub.Entry{Backend: b.number, State: balancer.BackendReady})
		}
	}
	l.roll.Advance(0)
	return l
}

// set takes the truth about a backend; it is known after the lag of the moment.
func (l *list) set(b *backend, s balancer.BackendState) {
	l.hub.mu.Lock()
	lag := l.hub.state.ListLag()
	l.hub.mu.Unlock()
	b.mu.Lock()
	started := b.m.StartTime()
	b.mu.Unlock()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.roll.Update(l.hub.now(), lag, discoverystub.Entry{Backend: b.number, State: s, Started: started})
	l.timer.Reset(max(0, time.Until(l.hub.time(l.roll.NextPublish()))))
}

func (l *list) publish() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.roll.Advance(l.hub.now()) {
		close(l.news)
		l.news = make(chan struct{})
	}
	if due := l.roll.NextPublish(); due < 1e12 {
		l.timer.Reset(max(time.Millisecond, time.Until(l.hub.time(due))))
	}
}

// down has the service answer nobody; watches end.
func (l *list) wake() {
	l.mu.Lock()
	defer l.mu.Unlock()
	close(l.news)
	l.news = make(chan struct{})
}

func (l *list) isDown() bool {
	l.hub.mu.Lock()
	defer l.hub.mu.Unlock()
	return l.hub.state.ListDown()
}

// listen opens a node's own door to the list.
func (l *list) listen(node, zone int) (address string, err error) {
	at, err := net.Listen("tcp", l.hub.home+":0")
	if err != nil {
		return "", err
	}
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { l.serve(w, r, node, zone) })}
	l.servers = append(l.servers, s)
	l.wg.Add(1)
	go func() {
		defer l.wg.Done()
		_ = s.Serve(at) // until closed
	}()
	return at.Addr().String(), nil
}

func (l *list) close() {
	l.timer.Stop()
	for _, s := range l.servers {
		_ = s.Close()
	}
	l.wg.Wait()
}

func (l *list) entries(from []discoverystub.Entry, zone int) []entry {
	all := make([]entry, 0, len(from))
	for _, e := range from {
		b := l.backends[e.Backend]
		boot := 0.0
		if e.Started > 0 {
			boot = l.hub.unix(e.Started)
		}
		all = append(all, entry{UID: fmt.Sprintf("s-%d", e.Backend), Endpoint: b.doors[zone].address, AZ: l.hub.e.Fleet.Zones[b.zone],
			Model: l.hub.e.Machines[b.kind].Name, PodGroup: b.cells, State: states[e.State], Weight: 1, BootMs: boot})
	}
	return all
}

// known is the list as it stood some time ago, for a node's start.
func (l *list) known(at float64, zone int) told {
	l.mu.Lock()
	defer l.mu.Unlock()
	entries, version := l.roll.ListAt(max(at, 0))
	return told{Rev: version, All: true, Targets: l.entries(entries, zone)}
}

func (l *list) serve(w http.ResponseWriter, r *http.Request, node, zone int) {
	from, err := strconv.Atoi(r.URL.Query().Get("from"))
	watching := err == nil
	holdMs, _ := strconv.Atoi(r.URL.Query().Get("hold_ms"))
	until := time.NewTimer(time.Duration(min(holdMs, 60_000)) * time.Millisecond)
	defer until.Stop()
	for {
		if l.isDown() {
			http.Error(w, "down", http.StatusServiceUnavailable)
			return
		}
		l.mu.Lock()
		version, news := l.roll.Version(), l.news
		if !watching || version > from {
			break
		}
		l.mu.Unlock()
		select {
		case <-news:
			continue
		case <-r.Context().Done():
			return
		case <-until.C:
			l.mu.Lock()
		}
		break
	}
	// The lock is held here.
	answer := told{Rev: l.roll.Version(), All: !watching}
	var entries []discoverystub.Entry
	if watching {
		entries = l.roll.ChangesSince(from)
	} else {
		entries = l.roll.List()
	}
	lines := max(1, len(entries))
	if watching && len(entries) == 0 { // going on with a watch costs next to nothing
		lines = 0
	}
	done, ok := l.roll.Call(l.hub.now(), lines)
	answer.Targets = l.entries(entries, zone)
	l.mu.Unlock()
	wait(r.Context(), time.Until(l.hub.time(done)))
	if !ok || r.Context().Err() != nil {
		http.Error(w, "crowded", http.StatusServiceUnavailable)
		return
	}
	data, err := json.Marshal(answer)
	if err != nil {
		panic(err) // plain values
	}
	heard := func(ready bool) {
		for _, e := range entries {
			if (e.State == balancer.BackendReady) == ready {
				l.hub.tell(invariants.Event{Kind: invariants.EndpointNotified, Node: node, Backend: e.Backend, State: e.State, Started: e.Started})
			}
		}
	}
	// A node may push at the moment at which it reads that a backend is ready again: where the judge heard of that only after
	// the write, on busy cores a push to one that had been draining came before it, and stood as a broken rule.
	heard(true)
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	if _, err := w.Write(data); err != nil {
		return
	}
	if f, ok := w.(http.Flusher); ok {
		f.Flush()
	}
	heard(false)
	if answer.All {
		l.hub.toldWhole(node, entries, len(l.backends))
	}
}

// toldWhole tells that a node has heard of all backends not in a whole list that they are gone.
func (h *hub) toldWhole(node int, entries []discoverystub.Entry, backends int) {
	named := make([]bool, backends)
	for _, e := range entries {
		named[e.Backend] = true
	}
	for k := range named {
		if !named[k] {
			h.tell(invariants.Event{Kind: invariants.EndpointNotified, Node: node, Backend: k, State: balancer.BackendRemoved})
		}
	}
}
