package discovery

import (
	"cmp"
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// The times of the watch follow from one bound, which is a term of the platform's contract with nodes (docs/design.md, "The
// endpoint list"; docs/hardening.md, "The renewed terms"): what the discovery service has listed counts as known to this node
// 6 s later, whether or not it arrived. An attempt that is sent to a
// backend some time after its removal is known breaks the contract.
//
// A connection may fall silent without being closed. Then
//
//	minPollInterval + longPollWait + answerTimeout = 3.5 s
//
// may pass before the silence is noticed, and another answerTimeout until a poll that does not wait for an event has been
// answered. That makes 5.7 s, which leaves 0.3 s to connect. After a poll that timed out, answerTimeout +
// maxTimeoutBackoff + answerTimeout = 5.6 s pass at most.
const (
	// answerTimeout is how long an answer may take beyond the time for which its poll asked the service to wait. The
	// service handles polls in turn and fails those that have been queued for more than 2 s. Of the time that the bound
	// allows, answerTimeout gets more than longPollWait, so that fewer polls are cancelled that are merely late: after a
	// cancelled poll the service, which all nodes share, has to start another watch, while the next poll of a running
	// watch costs it next to nothing.
	answerTimeout = 2200 * time.Millisecond

	// longPollWait is how long the service may hold a poll until there is a watch event.
	longPollWait = 1200 * time.Millisecond

	// immediateWait is the wait of a poll that asks for what there is now. It is not zero because a service may read
	// zero as no wait given, and use its own.
	immediateWait = time.Millisecond

	// minPollInterval is the least time between the starts of two polls. It is half of the 200 ms within which
	// the service expects the next poll of a watch.
	minPollInterval = 100 * time.Millisecond

	// maxTimeoutBackoff bounds the random backoff after a poll that timed out. Silence means a cut network rather than
	// an overloaded service, which would refuse. The network may be back any moment, so this backoff is short; the
	// backoff after a refused poll is the balancer's, and longer.
	maxTimeoutBackoff = 1200 * time.Millisecond
)

const (
	// relogInterval is the least time between two log lines about the same invalid entry. A list may come ten times a
	// second, with the same entries each time.
	relogInterval = time.Minute

	// maxLoggedNames bounds the names that relogInterval is kept for.
	maxLoggedNames = 1000
)

// Watch follows the endpoint list of a discovery service. It is an actor that has one poll in flight at a time, on one
// connection. StartSession starts a session of polls, which goes on until one fails; the owner then decides when to call StartSession
// again, by a backoff of its own. The exported fields must be set before Start.
type Watch struct {
	Address     string          // of the discovery service, host:port
	Deployment  DeploymentNames // by which entries are decoded
	Version     uint64          // of the list that the owner has at the start
	HasList     bool            // whether the owner has a list at the start
	Log         *slog.Logger
	OnList      func(*List) // called with each list or change, in order; must not block
	OnFailure   func()      // called when a session has failed; must not block
	LocalSource bool        // the service is this machine's own agent, which may be polled without backoff

	// Tests set these; the defaults are the constants of the same names and a net.Dialer.
	longPollWait, answerTimeout, minPollInterval, maxTimeoutBackoff time.Duration
	dial                                                            func(ctx context.Context, network, address string) (net.Conn, error)

	// The actor's own, with Version and HasList, and Address after Start.
	lastLogged map[string]time.Time // when an invalid entry was last logged, by the endpoint's name
	failing    bool                 // no answer has come since the latest failure
	restarted  bool                 // the service restarted at a lower version, and no change has come since

	sessionRequested chan struct{}
	mu               sync.Mutex
	nextAddress      *string            // set by SetAddress, nil once the actor has taken it; guarded by mu
	cancelSession    context.CancelFunc // of the session that goes on; guarded by mu
}

// Start runs the watch until ctx ends. The first poll waits for a call of StartSession.
func (w *Watch) Start(ctx context.Context) {
	w.sessionRequested = make(chan struct{}, 1)
	w.cancelSession = func() {}
	w.lastLogged = map[string]time.Time{}
	w.longPollWait = cmp.Or(w.longPollWait, longPollWait)
	w.answerTimeout = cmp.Or(w.answerTimeout, answerTimeout)
	w.minPollInterval = cmp.Or(w.minPollInterval, minPollInterval)
	w.maxTimeoutBackoff = cmp.Or(w.maxTimeoutBackoff, maxTimeoutBackoff)
	if w.dial == nil {
		w.dial = (&net.Dialer{Timeout: w.answerTimeout}).DialContext
	}
	go w.run(ctx)
}

// StartSession starts a session of polls. It has no effect while one goes on.
func (w *Watch) StartSession() {
	select {
	case w.sessionRequested <- struct{}{}:
	default:
	}
}

// SetAddress cancels the current session and polls the service at address, at once and for the complete list.
func (w *Watch) SetAddress(address string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.nextAddress = &address
	w.cancelSession()
	w.StartSession()
}

func (w *Watch) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-w.sessionRequested:
		}
		session, cancel := w.beginSession(ctx)
		err := w.pollUntilFailure(session)
		cancel()
		if ctx.Err() != nil {
			return
		}
		if w.addressChanged() {
			continue
		}
		w.sessionFailed(err)
	}
}

// sessionFailed reports the end of a session, and starts the next one where that is not left to the owner's backoff.
func (w *Watch) sessionFailed(err error) {
	// A local source is polled again every minPollInterval; the first failure in a row says enough.
	if !w.LocalSource || !w.failing {
		w.Log.Warn("endpoint list poll failed", "address", w.Address, "error", err)
		w.OnFailure()
	}
	w.failing = true
	switch {
	case w.LocalSource: // what it lists counts as known to this node as soon as it answers again
		time.AfterFunc(w.minPollInterval, w.StartSession)
	case isTimeout(err):
		time.AfterFunc(rand.N(w.maxTimeoutBackoff), w.StartSession)
	}
}

// isTimeout reports whether this side ended a poll, or a connection was not established in time.
func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

// beginSession returns the context of a session and takes up an address that was set. Versions of two services are
// unrelated, so the first poll of a new address asks for the complete list.
func (w *Watch) beginSession(ctx context.Context) (context.Context, context.CancelFunc) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.nextAddress != nil {
		w.Address, w.nextAddress = *w.nextAddress, nil
		w.Version, w.HasList, w.restarted = 0, false, false
	}
	session, cancel := context.WithCancel(ctx)
	w.cancelSession = cancel
	return session, cancel
}

// addressChanged reports whether a session ended because of SetAddress, which is no failure and has requested the next
// session. If it did not, a poll that was requested during the session is void: the session has answered it.
func (w *Watch) addressChanged() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.nextAddress != nil {
		return true
	}
	select {
	case <-w.sessionRequested:
	default:
	}
	return false
}

// shouldLog reports whether an invalid entry of that name is to be logged now, and takes it as logged if so.
func (w *Watch) shouldLog(name string) bool {
	now := time.Now()
	if last, logged := w.lastLogged[name]; logged && now.Sub(last) < relogInterval {
		return false
	}
	if len(w.lastLogged) >= maxLoggedNames {
		clear(w.lastLogged)
	}
	w.lastLogged[name] = now
	return true
}
