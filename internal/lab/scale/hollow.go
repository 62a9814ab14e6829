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

// hollowServer is a process of hollow nodes, each with the control-plane client of a real node. A hollow node applies a version by
// recording it, after the time that a real node takes to read it: meanwhile a node reports the version to its member as stored, and so
// does a hollow one.
type hollowServer struct {
	clock    *clock.Clock
	clients  []*client.Client
	lateness timerLateness
	falsify  func(*appliedEvent) // changes the reports, in tests; nil otherwise

	mu       sync.Mutex
	received int            // number of events that the caller has received, which are no longer stored
	events   []appliedEvent // that follow the received ones
}

// RunHollow runs a process of hollow nodes with the configuration in file, until ctx ends.
func RunHollow(ctx context.Context, file string, log *slog.Logger) error {
	return runHollow(ctx, file, log, nil)
}

func runHollow(ctx context.Context, file string, log *slog.Logger, falsify func(*appliedEvent)) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	config, err := readHollowConfig(file)
	if err != nil {
		return err
	}
	h := &hollowServer{clock: clock.New(), falsify: falsify}
	if err := h.newClients(ctx, config, log); err != nil {
		return err
	}
	listener, err := controlsocket.Listen(config.Socket)
	if err != nil {
		return err
	}
	server := controlsocket.NewServer(h)
	serveEnded := make(chan error, 1)
	go func() { serveEnded <- server.Serve(controlsocket.LimitConnections(listener)) }()
	for _, c := range h.clients {
		c.Start()
	}
	var background sync.WaitGroup
	background.Go(func() { h.lateness.watch(ctx) })
	select {
	case <-ctx.Done():
		err = nil
	case err = <-serveEnded:
	}
	_ = server.Close()
	cancel()
	for _, c := range h.clients {
		background.Go(c.Stop)
	}
	background.Wait()
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

func readHollowConfig(file string) (config hollowConfig, err error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return config, err
	}
	if err := json.Unmarshal(data, &config); err != nil {
		return config, fmt.Errorf("%s: %w", file, err)
	}
	return config, nil
}

// newClients creates each node's control-plane client. Nodes of a zone share the settings read from the zone's file.
func (h *hollowServer) newClients(ctx context.Context, config hollowConfig, log *slog.Logger) error {
	controlPlanes := map[string]*client.ControlPlane{}
	for number, node := range config.Nodes {
		controlPlane := controlPlanes[node.File]
		if controlPlane == nil {
			var err error
			if controlPlane, err = client.ReadFile(node.File); err != nil {
				return err
			}
			controlPlanes[node.File] = controlPlane
		}
		nodeConfig, err := controlPlane.NodeConfig(node.Name)
		if err != nil {
			return err
		}
		if !config.StoreCopies {
			nodeConfig.CopyFile = ""
		}
		apply := func(version uint64, text []byte) error {
			if !wait(ctx, clock.Duration(config.ReadMs)) {
				return ctx.Err()
			}
			h.recordApplied(number, version, text)
			return nil
		}
		c, err := client.New(nodeConfig, apply, h.clock, log.With("node", node.Name))
		if err != nil {
			return err
		}
		h.clients = append(h.clients, c)
	}
	return nil
}

func (h *hollowServer) recordApplied(node int, version uint64, text []byte) {
	digest := sha256.Sum256(text)
	event := appliedEvent{Node: node, Version: version, Digest: hex.EncodeToString(digest[:]), At: h.clock.Now()}
	if h.falsify != nil {
		h.falsify(&event)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.events = append(h.events, event)
}

// ServeHTTP serves hollowPath.
func (h *hollowServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	since, err := strconv.Atoi(query.Get("since"))
	if r.URL.Path != hollowPath || err != nil || since < 0 {
		controlsocket.WriteError(w, http.StatusNotFound, "ask "+hollowPath+"?since=N")
		return
	}
	lateness := h.lateness.total()
	report := hollowReport{LatenessMs: [2]float64{lateness.MaxMs, lateness.SumMs}}
	report.Events, report.Seq = h.eventsSince(since)
	if query.Get("nodes") != "" {
		if report.Nodes, err = h.nodeStates(r.Context()); err != nil {
			controlsocket.WriteError(w, http.StatusServiceUnavailable, err.Error())
			return
		}
	}
	controlsocket.WriteJSON(w, http.StatusOK, report)
}

// eventsSince returns the events after the one with number since, and the number of the last event. The only caller has received the
// events up to since, so these are dropped.
func (h *hollowServer) eventsSince(since int) (events []appliedEvent, seq int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if received := min(since-h.received, len(h.events)); received > 0 {
		h.events = append([]appliedEvent(nil), h.events[received:]...)
		h.received += received
	}
	return append([]appliedEvent(nil), h.events...), h.received + len(h.events)
}

func (h *hollowServer) nodeStates(ctx context.Context) (states []hollowState, err error) {
	for _, c := range h.clients {
		state, err := c.State(ctx)
		if err != nil {
			return nil, err
		}
		states = append(states, hollowState{
			StoredVersion:   state.StoredVersion,
			AppliedVersion:  state.AppliedVersion,
			RejectedVersion: state.RejectedVersion,
			Member:          state.Member,
			Counters:        state.Counters,
		})
	}
	return states, nil
}
