// Package upstream sends requests to backends over HTTP/1.1. An actor for each backend owns its connections: it dials them,
// keeps idle ones for the next request, and closes them.
package upstream

import (
	"net"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"pearknot/balancer"
	"pearknot/internal/mailbox"
)

// invalidReportLogInterval is the least time between two log lines about one backend's invalid load reports, which may come
// with every response.
const invalidReportLogInterval = 10 * time.Second

// Backend is the actor of one backend. All methods may be called from any goroutine and don't block.
type Backend struct {
	name             string
	config           *Config
	acceptsAttempts  atomic.Bool // attempts may start, see Update
	invalidReportLog rate.Sometimes
	mailbox          *mailbox.Box[func()]

	// The fields below are the actor's own.
	address        string
	idle           []*conn // the most recently used last
	activeCalls    int
	waitingForIdle int // how many of activeCalls wait until an idle connection may be used again
	closing        bool
	idleTimer      *time.Timer // fires when the oldest idle connection reaches the idle timeout
	breakage       idleBreakage
}

// NewBackend starts the actor of a backend. Calls are not sent before Update has allowed it.
func NewBackend(name string, config *Config) *Backend {
	b := &Backend{
		name:             name,
		config:           config,
		mailbox:          mailbox.New[func()](),
		idleTimer:        time.NewTimer(time.Hour),
		invalidReportLog: rate.Sometimes{Interval: invalidReportLogInterval},
	}
	go b.run()
	return b
}

// Update sets the backend's address and whether attempts may start, as the endpoint list says. The latter applies as soon as
// Update returns, also to calls that were sent before.
func (b *Backend) Update(address string, acceptsAttempts bool) {
	b.acceptsAttempts.Store(acceptsAttempts)
	b.mailbox.Put(func() {
		if address != b.address || !acceptsAttempts {
			b.address = address
			b.closeIdleLongerThan(0)
		}
	})
}

// Send starts a call. Its OnDone is called exactly once.
func (b *Backend) Send(call *Call) {
	b.mailbox.Put(func() {
		b.activeCalls++
		b.assignConn(call)
	})
}

// CloseIdle closes all idle connections, because their descriptors are needed elsewhere.
func (b *Backend) CloseIdle() { b.mailbox.Put(func() { b.closeIdleLongerThan(0) }) }

// Close lets no further attempt start and ends the actor after its last call. Send must not be called afterwards.
func (b *Backend) Close() {
	b.acceptsAttempts.Store(false)
	b.mailbox.Put(func() {
		b.closing = true
		b.closeIdleLongerThan(0)
	})
}

func (b *Backend) run() {
	var messages []func()
	for !b.closing || b.activeCalls > 0 {
		select {
		case <-b.mailbox.Ready():
			messages = b.mailbox.TakeAll(messages)
			for _, handle := range messages {
				handle()
			}
		case <-b.idleTimer.C:
			b.closeIdleLongerThan(b.config.IdleTimeout.Get())
		}
	}
	b.idleTimer.Stop()
}

// runExchange sends the call on a connection, in a goroutine of its own.
func (b *Backend) runExchange(call *Call, c *conn) {
	go func() {
		result, state := b.exchange(call, c)
		b.mailbox.Put(func() { b.exchangeFinished(call, c, result, state) })
	}()
}

// exchangeFinished ends a call, or sends it once more if its write failed on a reused connection, which the backend was
// probably just closing.
//
// After a failed write the request never arrived complete, so it can't have run and may be sent again. Only one further
// connection is tried, and only after a reused one: if a fresh one fails, that is the backend's fault.
func (b *Backend) exchangeFinished(call *Call, c *conn, result Result, state connState) {
	if c.reused {
		broke := state == connWriteFailed || result.Outcome == balancer.OutcomeConnectionReset
		b.breakage.record(c.idleBefore, broke)
	}
	if state == connWriteFailed && c.reused && !call.retriedOnFresh {
		b.closeConn(c)
		call.retriedOnFresh = true
		b.dial(call)
		return
	}
	b.finishCall(call, c, result, state)
}

// finishCall ends a call. on is nil if the call had no connection. The connection of a streamed response is taken back
// later, when the stream is closed.
func (b *Backend) finishCall(call *Call, c *conn, result Result, state connState) {
	if state != connStreaming {
		b.takeBackConn(c, state == connReusable)
	}
	call.OnDone(result)
}

// dialFinished takes a connection, or the error of dialing it.
func (b *Backend) dialFinished(call *Call, address string, netConn net.Conn, err error) {
	if err != nil {
		b.config.Budget.ReleaseBackend()
		b.config.Log.Debug("backend connection failed", "backend", b.name, "error", err)
		b.finishCall(call, nil, Result{Outcome: dialOutcome(err)}, connClosed)
		return
	}
	c := newConn(netConn, address)
	// The endpoint list has given the backend another address meanwhile. Whoever listens at the old one may be another
	// process by now, and must not get the request.
	if address != b.address {
		b.finishCall(call, c, Result{Outcome: balancer.OutcomeNotSent}, connClosed)
		return
	}
	b.runExchange(call, c)
}
