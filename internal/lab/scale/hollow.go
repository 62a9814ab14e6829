package scale

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"os"
	"strconv"
	"sync"

	"pearknot/internal/clock"
	"pearknot/internal/controlplane/client"
	"pearknot/internal/controlsocket"
)

// crowd is what a hollow process is told to be: its nodes, and the socket on which it answers for them.
type crowd struct {
	Socket string
	Copies bool
	ReadMs float64 // that a version takes to be read; a hollow node waits as long, without the processor's work
	Nodes  []hollowNode
}

type hollowNode struct {
	Name string
	File string // of the control plane
}

// hollowPath is where a hollow process answers: ?since=N has what came into force after the Nth, &nodes=1 how each node stands.
const hollowPath = "/v1/hollow"

// told is its answer.
type told struct {
	Seq    int
	Events []event
	Nodes  []hollowState
	LateMs [2]float64 // of its own timers, at most and in sum since the start
}

// event is a version that has come into force at a node.
type event struct {
	Node    int
	Version uint64
	Digest  string  // of the text that the node was given to put in force
	At      float64 // Unix ms
}

// hollowState is a node's own word on how it stands.
type hollowState struct {
	Held, InForce, Refused uint64
	Member                 string
	client.Counters
}

// hollow is one process of hollow nodes: for each the node's own link to the control plane, whose versions are put in force by
// noting them, after as long as a real node takes to read them: it tells its member in between what it holds, and so do these.
type hollow struct {
	clock   *clock.Clock
	clients []*client.Client
	late    lateness
	alter   func(*event) // nil in a sound one: what a test has it say that is not so

	mu      sync.Mutex
	dropped int // events that the asker has already
	events  []event
}

// Hollow is a process of hollow nodes, as a file tells it, until ctx ends.
func Hollow(ctx context.Context, file string, log *slog.Logger) error {
	return runHollow(ctx, file, log, nil)
}

func runHollow(ctx context.Context, file string, log *slog.Logger, alter func(*event)) error {
	ctx, end := context.WithCancel(ctx)
	defer end()
	data, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	var w crowd
	if err := json.Unmarshal(data, &w); err != nil {
		return fmt.Errorf("%s: %w", file, err)
	}
	h := &hollow{clock: clock.New(), alter: alter}
	planes := map[string]*client.ControlPlane{}
	for k, n := range w.Nodes {
		p := planes[n.File]
		if p == nil {
			if p, err = client.ReadFile(n.File); err != nil {
				return err
			}
			planes[n.File] = p
		}
		terms, err := p.NodeConfig(n.Name)
		if err != nil {
			return err
		}
		if !w.Copies {
			terms.CopyFile = ""
		}
		c, err := client.New(terms, func(version uint64, text []byte) error {
			if !wait(ctx, clock.Duration(w.ReadMs)) {
				return ctx.Err()
			}
			h.note(k, version, text)
			return nil
		}, h.clock, log.With("node", n.Name))
		if err != nil {
			return err
		}
		h.clients = append(h.clients, c)
	}
	l, err := controlsocket.Listen(w.Socket)
	if err != nil {
		return err
	}
	s := controlsocket.NewServer(h)
	ended := make(chan error, 1)
	go func() { ended <- s.Serve(controlsocket.LimitConnections(l)) }()
	for _, c := range h.clients {
		c.Start()
	}
	var wg sync.WaitGroup
	wg.Go(func() { h.late.watch(ctx) })
	select {
	case <-ctx.Done():
		err = nil
	case err = <-ended:
	}
	_ = s.Close()
	end()
	for _, c := range h.clients {
		wg.Go(c.Stop)
	}
	wg.Wait()
	if errors.Is(err, http.ErrServerClosed) {
		err = nil
	}
	return err
}

// note puts a version in force.
func (h *hollow) note(node int, version uint64, text []byte) {
	sum := sha256.Sum256(text)
	e := event{Node: node, Version: version, Digest: hex.EncodeToString(sum[:]), At: h.clock.Now()}
	if h.alter != nil {
		h.alter(&e)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.events = append(h.events, e)
}

func (h *hollow) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	since, err := strconv.Atoi(r.URL.Query().Get("since"))
	if r.URL.Path != hollowPath || err != nil || since < 0 {
		controlsocket.WriteError(w, http.StatusNotFound, "ask "+hollowPath+"?since=N")
		return
	}
	t := told{LateMs: h.late.ms()}
	h.mu.Lock()
	if have := min(since-h.dropped, len(h.events)); have > 0 { // one asks, and has these
		h.events = append([]event(nil), h.events[have:]...)
		h.dropped += have
	}
	t.Events = append(t.Events, h.events...)
	t.Seq = h.dropped + len(h.events)
	h.mu.Unlock()
	if r.URL.Query().Get("nodes") != "" {
		for _, c := range h.clients {
			s, err := c.State(r.Context())
			if err != nil {
				controlsocket.WriteError(w, http.StatusServiceUnavailable, err.Error())
				return
			}
			t.Nodes = append(t.Nodes, hollowState{s.StoredVersion, s.AppliedVersion, s.RejectedVersion, s.Member, s.Counters})
		}
	}
	controlsocket.WriteJSON(w, http.StatusOK, t)
}
