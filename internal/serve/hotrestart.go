package serve

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"reflect"
	"runtime/debug"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"pearknot/internal/admin"
	"pearknot/internal/clock"
	"pearknot/internal/descriptors"
	"pearknot/internal/hotrestart"
	"pearknot/internal/node"
	"pearknot/internal/server"
)

const (
	// memoryShare is the garbage collector's share of the memory limit; the rest is for stacks and what the kernel
	// counts.
	memoryShare = 0.7

	// gcPercent is by how much the live heap of a few MB may grow between collections; the memory limit holds anyway.
	gcPercent = 400

	// While two processes are the node, the predecessor keeps predecessorShare of the descriptors, as its clients are
	// still there. As it drains it reports what it uses, and the successor has the rest, but for descriptorMargin that
	// may be on their way from one to the other.
	predecessorShare = 0.6
	descriptorMargin = 8

	// descriptorReportInterval is the time between two such reports.
	descriptorReportInterval = 50 * time.Millisecond

	// maxSocketPath bounds the path of a Unix socket, in bytes.
	maxSocketPath = 100
)

// restartCoordinator is what the two processes of one node know of each other during a hot restart: a process takes
// over from its predecessor, serves, and hands off to its successor.
type restartCoordinator struct {
	config         *Config
	socketPath     string // where a process listens for its successor; empty where none can find it
	maxDescriptors int    // of both processes together
	budget         *descriptors.Budget
	clock          *clock.Clock
	log            *slog.Logger
	node           *node.Node
	server         *server.Server
	serves         atomic.Bool

	mu          sync.Mutex
	predecessor *hotrestart.Link // nil where there is none
	listener    *hotrestart.Listener
	closed      bool
}

// restartSocketPath is where the node's processes meet: a directory that is theirs alone. It is empty where a successor
// can't take over the node's addresses.
func restartSocketPath(cfg *Config, log *slog.Logger) string {
	dir := os.Getenv("TMPDIR")
	if cfg.adminAddress == "" || dir == "" || strings.HasSuffix(cfg.address, ":0") {
		return ""
	}
	fileName := cfg.name + "-" + strings.NewReplacer(":", "_", "/", "_").Replace(cfg.address)
	path := hotrestart.SocketPath(dir, fileName)
	if len(path) > maxSocketPath {
		log.Warn("hot restart unavailable: TMPDIR is too long", "path", path)
		return ""
	}
	return path
}

// setMemoryLimit bounds the garbage collector's memory by this process's share of the node's limit.
func (r *restartCoordinator) setMemoryLimit(processes int64) {
	if r.config.memoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryShare*float64(r.config.memoryBytes)) / processes)
	}
	debug.SetGCPercent(gcPercent / int(processes*processes))
}

// connect connects to a predecessor that runs and returns its state. It returns nil where there is none, and only what
// holds for any configuration where the predecessor's zones or kinds were others.
func (r *restartCoordinator) connect(ctx context.Context) *hotrestart.State {
	if r.socketPath == "" {
		return nil
	}
	useRest := func(used int) { r.budget.SetLimit(r.maxDescriptors - used) }
	link, state, err := hotrestart.Connect(ctx, r.socketPath, r.config.name, r.handleCall, useRest)
	if err != nil {
		r.log.Warn("handoff from the predecessor process failed, starting fresh", "error", err)
	}
	if link == nil {
		return nil
	}
	r.mu.Lock()
	r.predecessor = link
	r.mu.Unlock()
	predecessorUses := int(predecessorShare*float64(r.maxDescriptors)) + admin.MaxDescriptors // it has an admin address, too
	r.budget.SetLimit(r.maxDescriptors - predecessorUses)
	r.setMemoryLimit(2)
	names := r.config.deploymentNames
	if !reflect.DeepEqual(state.Zones, names.Zones) || !reflect.DeepEqual(state.Kinds, names.Kinds) {
		r.log.Warn("predecessor's state has other zones or kinds, not restored")
		return &hotrestart.State{KnownNames: state.KnownNames, CordonedNames: state.CordonedNames, QuiescedMs: state.QuiescedMs}
	}
	return state
}

// restore has the node begin with its predecessor's state.
func (r *restartCoordinator) restore(state *hotrestart.State) {
	err := r.node.Restore(&node.LearnedState{
		BackendNames:     state.BackendNames,
		BalancerSnapshot: state.BalancerSnapshot,
		KnownNames:       state.KnownNames,
		CordonedNames:    state.CordonedNames,
	})
	if err != nil {
		r.log.Warn("predecessor's balancer state not restored, starting fresh", "error", err)
	}
	if state.QuiescedMs != nil {
		r.server.SetQuiescedSince(true, time.Now().Add(-clock.Duration(*state.QuiescedMs)))
	}
	r.log.Info("state taken over from the predecessor process", "backends", len(state.BackendNames), "cordoned", len(state.CordonedNames),
		"quiesced", state.QuiescedMs != nil, "learned_bytes", len(state.BalancerSnapshot))
}

// beginServing tells the predecessor that this process serves, and listens for a successor once it is alone.
func (r *restartCoordinator) beginServing() {
	r.serves.Store(true)
	predecessor := r.predecessor
	if predecessor == nil {
		r.listen()
		return
	}
	if err := predecessor.SendReady(); err != nil {
		r.log.Warn("predecessor process could not be notified", "error", err)
	}
	go func() {
		<-predecessor.Done()
		r.log.Info("predecessor process ended")
		r.mu.Lock()
		r.predecessor = nil
		r.mu.Unlock()
		r.useAllResources()
		r.listen()
	}()
}

// useAllResources gives this process all of the node's descriptors and memory: it is alone.
func (r *restartCoordinator) useAllResources() {
	r.budget.SetLimit(r.maxDescriptors)
	r.setMemoryLimit(1)
	r.node.ProcessesChanged(1)
}

// listen listens for a successor.
func (r *restartCoordinator) listen() {
	if r.socketPath == "" {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return
	}
	listener, err := hotrestart.Listen(r.socketPath, hotrestart.Predecessor{
		Name:         r.config.name,
		CollectState: r.handOffState,
		HandleCall:   r.handleCall,
		Log:          r.log,
		OnSuccessorGone: func() {
			r.log.Info("successor process ended, this one continues")
			r.useAllResources()
		},
	})
	if err != nil { // a system without Unix sockets, for example: the node serves all the same
		r.log.Warn("hot restart unavailable", "error", err)
		return
	}
	r.listener = listener
}

// handOffState leaves a successor its share of descriptors and memory, and returns this process's state.
func (r *restartCoordinator) handOffState(ctx context.Context) (*hotrestart.State, error) {
	r.log.Info("successor process connected")
	r.budget.SetLimit(int(predecessorShare * float64(r.maxDescriptors)))
	r.setMemoryLimit(2)
	r.node.ProcessesChanged(2)
	learned, err := r.node.LearnedState(ctx)
	if err != nil {
		return nil, err
	}
	state := &hotrestart.State{
		Zones:            r.config.deploymentNames.Zones,
		Kinds:            r.config.deploymentNames.Kinds,
		List:             learned.Endpoints,
		BackendNames:     learned.BackendNames,
		BalancerSnapshot: learned.BalancerSnapshot,
		KnownNames:       learned.KnownNames,
		CordonedNames:    learned.CordonedNames,
	}
	if elapsed, isQuiesced := r.server.QuiescedFor(); isQuiesced {
		ms := float64(elapsed.Microseconds()) / 1e3
		state.QuiescedMs = &ms
	}
	return state, nil
}

// hasPredecessor reports whether another process was there before and still runs.
func (r *restartCoordinator) hasPredecessor() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.predecessor != nil
}

// otherProcess is the node's other process, or nil.
func (r *restartCoordinator) otherProcess() *hotrestart.Link {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case r.predecessor != nil:
		return r.predecessor
	case r.listener != nil:
		return r.listener.Successor()
	}
	return nil
}

// readySuccessor is the process that serves in this one's place, or nil.
func (r *restartCoordinator) readySuccessor() *hotrestart.Link {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.listener == nil {
		return nil
	}
	successor := r.listener.Successor()
	if successor == nil {
		return nil
	}
	select {
	case <-successor.PeerReady():
		return successor
	default:
		return nil
	}
}

// releaseDescriptors has this process take no more descriptors, and tells the successor what it still uses, until ctx
// is done.
func (r *restartCoordinator) releaseDescriptors(ctx context.Context, successor *hotrestart.Link) {
	for {
		used := r.budget.Used() + descriptorMargin
		r.budget.SetLimit(used)
		successor.SendDescriptorLimit(used + admin.MaxDescriptors)
		select {
		case <-ctx.Done():
			return
		case <-time.After(descriptorReportInterval):
		}
	}
}

// close ends the links to other processes; no successor can connect any more.
func (r *restartCoordinator) close() {
	r.mu.Lock()
	r.closed = true
	listener, predecessor := r.listener, r.predecessor
	r.mu.Unlock()
	if listener != nil {
		listener.Close()
	}
	if predecessor != nil {
		predecessor.Close()
	}
}

// handleAdminCall carries out an operator's call here and in the other process.
func (r *restartCoordinator) handleAdminCall(ctx context.Context, call admin.Command) (string, error) {
	if !r.serves.Load() {
		return "", errors.New("not serving yet")
	}
	if call.Verb == admin.Health {
		return r.health()
	}
	forwarded := hotrestart.Call{Verb: string(call.Verb), ID: call.Backend}
	text, err := r.handleCall(ctx, forwarded)
	other := r.otherProcess()
	if other == nil || err != nil && !errors.Is(err, node.ErrNeverListed) {
		return text, err
	}
	// One of the two may have an endpoint list before the other: a name that one of them knows is known to both.
	forwarded.Force = err == nil
	_, otherErr := other.Call(ctx, forwarded)
	if otherErr != nil && !errors.Is(otherErr, hotrestart.ErrNoPeer) {
		return "", otherErr
	}
	if otherErr != nil || err == nil {
		return text, err
	}
	forwarded.Force = true
	return r.handleCall(ctx, forwarded)
}

// The texts of calls are shown to operators, and read by their scripts.
var (
	errNoEndpoints  = errors.New("no list of backends yet")
	errShuttingDown = errors.New("the node is about to end")
	errQuiesced     = errors.New("clients are sent away")
	errUnknownCall  = errors.New("unknown call")
)

// health says whether the node can serve clients.
func (r *restartCoordinator) health() (string, error) {
	select {
	case <-r.node.Ready():
	default:
		return "", errNoEndpoints
	}
	hasPredecessor := r.hasPredecessor()
	inService, shuttingDown := r.server.ServiceState()
	switch {
	case shuttingDown:
		return "", errShuttingDown
	case !inService && hasPredecessor: // can take over a node whose clients are sent away
		return "ready, clients are sent away", nil
	case !inService:
		return "", errQuiesced
	}
	return "ready", nil
}

// handleCall carries a call out in this process alone.
func (r *restartCoordinator) handleCall(ctx context.Context, call hotrestart.Call) (string, error) {
	switch verb := admin.Verb(call.Verb); verb {
	case admin.Cordon:
		return r.setCordoned(ctx, call, true, "out")
	case admin.Uncordon:
		return r.setCordoned(ctx, call, false, "back")
	case admin.Quiesce:
		if r.server.SetQuiesced(true) {
			r.log.Info("quiesced: clients are sent away")
		}
		return "clients are sent away", nil
	case admin.Resume:
		if _, shuttingDown := r.server.ServiceState(); shuttingDown && r.otherProcess() == nil {
			return "", errShuttingDown
		}
		if r.server.SetQuiesced(false) {
			r.log.Info("resumed: clients are taken again")
		}
		return "clients are taken", nil
	}
	return "", errUnknownCall
}

func (r *restartCoordinator) setCordoned(ctx context.Context, call hotrestart.Call, cordoned bool, text string) (string, error) {
	if err := r.node.Cordon(ctx, call.ID, cordoned, call.Force); err != nil {
		return "", fmt.Errorf("%.80q: %w", call.ID, err)
	}
	return text, nil
}
