// Package node runs the balancer on sockets. A single goroutine, the node's actor, calls the balancer: requests from the
// server, results from the backends' connections, endpoint lists and the timer reach it through a mailbox. After each
// batch of messages it pulls the balancer's decisions until there are none left and carries them out.
package node

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"runtime/debug"
	"time"

	"pearknot/balancer"
	"pearknot/internal/clock"
	"pearknot/internal/config"
	"pearknot/internal/discovery"
	"pearknot/internal/mailbox"
	"pearknot/internal/peers"
	"pearknot/internal/upstream"
)

// drainGraceMs is the time after the drain deadline within which the balancer may still answer requests itself: by its end
// all attempts have timed out. The node fails the requests that the balancer has not answered by then.
const drainGraceMs = 50.0

var errStopped = errors.New("node is stopped")

// NewDecider creates the decider of a node; now is the time of the node's clock, in ms.
type NewDecider func(config *balancer.Config, now float64) balancer.Decider

// NewBalancer is the NewDecider of a serving node.
func NewBalancer(balancerConfig *balancer.Config, now float64) balancer.Decider {
	return balancer.New(balancerConfig, now)
}

// Node is the actor that owns the balancer. Its methods may be called from any goroutine.
type Node struct {
	clock          *clock.Clock
	log            *slog.Logger
	upstreamConfig *upstream.Config
	pollEndpoints  func() // starts a poll of the endpoint list
	newDecider     NewDecider
	mailbox        *mailbox.Box[func()]
	ready          chan struct{}
	done           chan struct{} // closed once the actor stops

	// Only the actor uses the following fields.
	deployment       *config.Deployment
	decider          balancer.Decider
	now              float64 // start of the current batch of messages, in ms
	requests         map[uint64]*Request
	lastRequestID    uint64
	backends         map[string]*backend            // by name
	backendOf        map[*balancer.Backend]*backend // the same backends, by their balancer.Backend
	cordons          cordonRegistry
	hasEndpoints     bool                 // there is an endpoint list, possibly the cached one of an earlier process
	isReady          bool                 // the node may route requests by that list
	endpointsVersion uint64               // of that list
	restoredRemovals []discovery.Endpoint // of the process before this one; nil after Start
	timer            *time.Timer
	drainDeadline    float64      // ms; 0 while the node is not draining
	requestLog       *peers.Peers // nil if no requests are logged
	afterBatch       []func()     // run after the current batch
}

// New creates a node. pollEndpoints starts a poll of the endpoint list and must not block.
func New(deployment *config.Deployment, newDecider NewDecider, nodeClock *clock.Clock, upstreamConfig *upstream.Config,
	pollEndpoints func(), log *slog.Logger) *Node {
	return &Node{
		clock:          nodeClock,
		log:            log,
		upstreamConfig: upstreamConfig,
		pollEndpoints:  pollEndpoints,
		newDecider:     newDecider,
		mailbox:        mailbox.New[func()](),
		ready:          make(chan struct{}),
		done:           make(chan struct{}),
		deployment:     deployment,
		requests:       map[uint64]*Request{},
		backends:       map[string]*backend{},
		backendOf:      map[*balancer.Backend]*backend{},
		cordons:        newCordonRegistry(),
		timer:          time.NewTimer(time.Hour),
	}
}

// Start runs the actor. cached is the endpoint list of the process before this one, or nil.
func (n *Node) Start(cached *discovery.List) {
	n.now = n.clock.Now()
	if n.decider == nil { // Restore has not set one
		n.decider = n.newDecider(n.deployment.BalancerConfig, n.now)
	}
	if cached != nil {
		n.applyEndpoints(cached, fromCache)
	}
	n.restoreRemovals(n.restoredRemovals)
	n.restoredRemovals = nil
	if !n.deployment.BalancerConfig.PollEndpoints { // the balancer never requests a poll: the list is watched
		n.pollEndpoints()
	}
	n.mailbox.Put(func() {}) // pulls the balancer's first decisions before any event
	go n.run()
}

// Ready is closed once the node has an endpoint list to route requests by.
func (n *Node) Ready() <-chan struct{} { return n.ready }

// Submit passes a request to the node. The answer is delivered on request.Answer, unless Cancel is called.
func (n *Node) Submit(request *Request) {
	n.mailbox.Put(func() {
		n.addRequest(request)
		if n.drainDeadline > 0 {
			request.Deadline = min(request.Deadline, n.drainDeadline)
		}
		n.decider.RequestArrived(n.now, &request.Request)
	})
}

func (n *Node) addRequest(request *Request) {
	n.lastRequestID++
	request.ID = n.lastRequestID
	n.requests[request.ID] = request
}

// Cancel notifies the node that the request's client has disconnected and reads no answer. No further attempt starts. A
// logged request of which an attempt has started still continues, since its client may request the answer with its key.
func (n *Node) Cancel(request *Request) {
	request.clientDisconnected.Store(true) // takes effect at once: the actor may be in a long batch
	n.mailbox.Put(func() {
		if n.requests[request.ID] == request && !request.answered && !n.continuesWithoutClient(request) {
			n.abandonRequest(request)
			n.decider.RequestAbandoned(n.now, &request.Request)
			n.forgetIfComplete(request)
		}
		request.discardAnswer()
	})
}

// Status is a node's state as reported to operators and health checks.
type Status struct {
	Ready        bool   // requests are routed (isReady); while a watch is pending, a cached list alone does not set it
	Version      uint64 // of the endpoint list
	Digest       string // of the endpoint list
	Backends     int    // on the endpoint list
	OpenRequests int
}

// Status gets the state from the actor. It fails once ctx is done, and after Stop.
func (n *Node) Status(ctx context.Context) (Status, error) {
	var status Status
	done := make(chan error, 1)
	n.mailbox.Put(func() {
		states := make(map[string]balancer.BackendState, len(n.backends))
		for name, b := range n.backends {
			if b.endpoint.State != balancer.BackendRemoved {
				states[name] = b.endpoint.State
			}
		}
		status = Status{
			Ready:        n.isReady,
			Version:      n.endpointsVersion,
			Digest:       discovery.Digest(states),
			Backends:     len(states),
			OpenRequests: len(n.requests),
		}
		done <- nil
	})
	if err := n.wait(ctx, done); err != nil {
		return Status{}, err
	}
	return status, nil
}

// wait waits for a result of the actor. It fails once ctx is done, and after Stop.
func (n *Node) wait(ctx context.Context, done <-chan error) error {
	select {
	case err := <-done:
		return err
	case <-n.done:
		return errStopped
	case <-ctx.Done():
		return fmt.Errorf("node did not respond: %w", ctx.Err())
	}
}

// CloseIdleConnections closes idle connections to backends, to free file descriptors.
func (n *Node) CloseIdleConnections() {
	n.mailbox.Put(func() {
		for _, b := range n.backends {
			if b.upstream != nil {
				b.upstream.CloseIdle()
			}
		}
	})
}

// Drain ensures that every request is answered by deadline, in ms of the node's clock, because the process exits then.
func (n *Node) Drain(deadline float64) {
	n.mailbox.Put(func() {
		n.drainDeadline = deadline
		for _, request := range n.requests {
			n.shortenDeadline(request, deadline)
		}
		time.AfterFunc(clock.Duration(deadline+drainGraceMs-n.now), func() { n.mailbox.Put(n.failOpenRequests) })
	})
}

// ShortenDeadline moves a request's deadline to an earlier time, in ms of the node's clock. A later one has no effect.
func (n *Node) ShortenDeadline(request *Request, deadline float64) {
	n.mailbox.Put(func() {
		if n.requests[request.ID] == request && !request.answered {
			n.shortenDeadline(request, deadline)
		}
	})
}

func (n *Node) shortenDeadline(request *Request, deadline float64) {
	if request.Deadline > deadline {
		request.Deadline = deadline
		n.decider.DeadlineShortened(n.now, &request.Request)
	}
	for _, call := range request.calls {
		call.ShortenDeadline(n.clock.Time(deadline))
	}
}

// failOpenRequests fails the requests that the balancer has left open at the end of a drain. Their clients may still be
// connected, as in abortRequest.
func (n *Node) failOpenRequests() {
	for _, request := range n.requests {
		n.finish(request, Answer{Status: Failed})
		n.decider.RequestAbandoned(n.now, &request.Request)
		n.forgetIfComplete(request)
	}
}

// Stop stops the actor and closes the connections to all backends.
func (n *Node) Stop() {
	n.mailbox.Put(func() {
		for _, b := range n.backends {
			if b.upstream != nil {
				b.upstream.Close() // not set to nil: later messages of the batch must not open it again
			}
		}
		close(n.done)
	})
}

func (n *Node) run() {
	var messages []func()
	for {
		select {
		case <-n.done:
			return
		case <-n.mailbox.Ready():
			messages = n.mailbox.TakeAll(messages)
		case <-n.timer.C:
			messages = append(messages[:0], func() { n.decider.TimerFired(n.now) })
		}
		n.now = n.clock.Now()
		for _, message := range messages {
			n.runWithRecovery(message)
		}
		n.runWithRecovery(n.executeDecisions)
		for _, callback := range n.afterBatch {
			callback()
		}
		n.afterBatch = n.afterBatch[:0]
	}
}

// runWithRecovery runs step, and restarts the balancer if step panics.
func (n *Node) runWithRecovery(step func()) {
	defer func() {
		if panicValue := recover(); panicValue != nil {
			n.log.Error("balancer panicked, restarting it", "fault", fmt.Sprint(panicValue), "stack", string(debug.Stack()))
			n.restartDecider()
		}
	}()
	step()
}

// restartDecider replaces a balancer that has panicked with a new one, as a restart of the process would. Otherwise the
// panic would terminate the process and leave every client without an answer. All open requests are failed, which means
// that they may have run, because the state of the old balancer can't be trusted.
func (n *Node) restartDecider() {
	n.decider = n.newDecider(n.deployment.BalancerConfig, n.now)
	for id, request := range n.requests {
		n.finish(request, Answer{Status: Failed})
		for _, call := range request.calls {
			call.Cancel()
		}
		delete(n.requests, id)
	}
	current, removed := n.currentEndpoints(), n.removedEndpoints()
	clear(n.backendOf)
	for _, b := range n.backends {
		b.Backend = &balancer.Backend{ID: b.ID}
		n.backendOf[b.Backend] = b
	}
	if n.hasEndpoints {
		n.applyEndpoints(&current, fromCache)
	}
	n.restoreRemovals(removed)
}
