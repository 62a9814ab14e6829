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

// The durations of the watch follow from one limit in the platform's contract with nodes (docs/design.md, "The endpoint
// list"; docs/hardening.md, "The renewed terms"): a change that the discovery service has listed counts as known to this
// node 6 s later, whether or not it has been received. An attempt that is sent to a backend some time after its removal
// is known violates the contract.
//
// A connection may stall without being closed. Then
//
//	minPollInterval + longPollWait + responseTimeout = 3.5 s
//
// may pass before the stall is detected, and another responseTimeout until a poll that does not wait for an event gets
// its response. The sum is 5.7 s, which leaves 0.3 s to connect. After a poll that timed out, at most responseTimeout +
// maxTimeoutBackoff + responseTimeout = 5.6 s pass.
const (
	// responseTimeout is how long a response may take beyond the time for which its poll asked the service to wait. The
	// service handles polls in turn and fails those that have been queued for more than 2 s. responseTimeout gets a
	// larger share of the limit than longPollWait, so that fewer polls are canceled that are only late: after a canceled
	// poll the service, which all nodes share, has to start another watch, while the next poll of a running watch costs
	// it almost nothing.
	responseTimeout = 2200 * time.Millisecond

	// longPollWait is how long the service may hold a poll while there is no watch event.
	longPollWait = 1200 * time.Millisecond

	// immediateWait is the wait of a poll that requests the current changes. It is not zero because a service may treat
	// zero as unset and use its own default.
	immediateWait = time.Millisecond

	// minPollInterval is the minimum time between the starts of two polls. It is half of the 200 ms within which the
	// service expects the next poll of a watch.
	minPollInterval = 100 * time.Millisecond

	// maxTimeoutBackoff limits the random backoff after a poll that timed out. A timeout indicates a network partition
	// rather than an overloaded service, which would refuse the poll. The network may recover at any moment, so this
	// backoff is short; the backoff after a refused poll is the balancer's, and longer.
	maxTimeoutBackoff = 1200 * time.Millisecond
)

const (
	// relogInterval is the minimum time between two log lines about the same invalid entry. A list may arrive ten times
	// a second, with the same entries each time.
	relogInterval = time.Minute

	// maxLoggedNames limits the number of names for which the last log time is stored.
	maxLoggedNames = 1000
)

// Watch watches the endpoint list of a discovery service. It is an actor that has one poll in flight at a time, on one
// connection. StartSession starts a session of polls, which continues until a poll fails; the owner then decides when to
// call StartSession again, by its own backoff. The exported fields must be set before Start.
type Watch struct {
	Address     string          // of the discovery service, host:port
	Deployment  DeploymentNames // used to decode entries
	Version     uint64          // of the list that the owner has at the start
	HasList     bool            // whether the owner has a list at the start
	Log         *slog.Logger
	OnList      func(*List) // called with each complete list or list of changes, in order; must not block
	OnFailure   func()      // called when a session has failed; must not block
	LocalSource bool        // the service is this machine's own agent, which may be polled without backoff

	// Tests set these; the defaults are the constants of the same names and a net.Dialer.
	longPollWait, responseTimeout, minPollInterval, maxTimeoutBackoff time.Duration
	dial                                                              func(ctx context.Context, network, address string) (net.Conn, error)

	// Only the actor uses the following fields, and Version and HasList; after Start, also Address.
	lastLogged map[string]time.Time // when an invalid entry was last logged, by the endpoint's name
	failing    bool                 // no response has been received since the latest failure
	restarted  bool                 // the service restarted at a lower version, and no changes have been received since

	sessionRequested chan struct{}
	mu               sync.Mutex
	nextAddress      *string            // set by SetAddress, nil once the actor has taken it; guarded by mu
	cancelSession    context.CancelFunc // of the current session; guarded by mu
}

// Start runs the watch until ctx is done. The first poll waits for a call of StartSession.
func (w *Watch) Start(ctx context.Context) {
	w.sessionRequested = make(chan struct{}, 1)
	w.cancelSession = func() {}
	w.lastLogged = map[string]time.Time{}
	w.longPollWait = cmp.Or(w.longPollWait, longPollWait)
	w.responseTimeout = cmp.Or(w.responseTimeout, responseTimeout)
	w.minPollInterval = cmp.Or(w.minPollInterval, minPollInterval)
	w.maxTimeoutBackoff = cmp.Or(w.maxTimeoutBackoff, maxTimeoutBackoff)
	if w.dial == nil {
		w.dial = (&net.Dialer{Timeout: w.responseTimeout}).DialContext
	}
	go w.run(ctx)
}

// StartSession starts a session of polls. It has no effect during a session.
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

// sessionFailed reports the failure of a session, and schedules the next one unless the owner's backoff does.
func (w *Watch) sessionFailed(err error) {
	// A local source is polled again every minPollInterval, so only the first of consecutive failures is reported.
	if !w.LocalSource || !w.failing {
		w.Log.Warn("endpoint list poll failed", "address", w.Address, "error", err)
		w.OnFailure()
	}
	w.failing = true
	switch {
	case w.LocalSource: // its list counts as known to this node as soon as it responds again
		time.AfterFunc(w.minPollInterval, w.StartSession)
	case isTimeout(err):
		time.AfterFunc(rand.N(w.maxTimeoutBackoff), w.StartSession)
	}
}

// isTimeout reports whether err is a poll or connection timeout on this side.
func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

// beginSession returns the context of a session and applies an address set by SetAddress. Versions of two services are
// unrelated, so the first poll of a new address requests the complete list.
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

// addressChanged reports whether a session ended because of SetAddress, which is not a failure and has requested the next
// session. Otherwise it drops a request for a session that was made during the one that ended, which has served it.
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

// shouldLog reports whether to log an invalid entry of that name now, and if so records that it is logged.
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
