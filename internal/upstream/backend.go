// Package upstream sends requests to backends over HTTP/1.1. An actor for each backend owns its connections: it dials them,
// keeps idle ones for later requests, and closes them.
package upstream

import (
	"net"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"pearknot/balancer"
	"pearknot/internal/mailbox"
)

// invalidReportLogInterval is the minimum interval between two log lines about invalid load reports of one backend, which may
// come with every response.
const invalidReportLogInterval = 10 * time.Second

// Backend is the actor that owns the connections to one backend. All methods may be called from any goroutine and don't
// block.
type Backend struct {
	name                    string
	config                  *Config
	acceptsAttempts         atomic.Bool // attempts may start; set by Update
	invalidReportLogLimiter rate.Sometimes
	mailbox                 *mailbox.Box[func()]

	// The fields below are used only by the actor's goroutine.
	address        string
	incarnation    uint64  // number of restarts of the backend's process that the endpoint list has named
	idle           []*conn // the most recently used last
	activeCalls    int
	waitingForIdle int // number of activeCalls that wait until an idle connection may be reused
	closing        bool
	idleTimer      *time.Timer // fires when the oldest idle connection reaches the idle timeout
	reuseStats     reuseStats
	trust          trust
}

// NewBackend starts the actor of a backend. No call is sent before Update has allowed attempts.
func NewBackend(name string, config *Config) *Backend {
	b := &Backend{
		name:                    name,
		config:                  config,
		mailbox:                 mailbox.New[func()](),
		idleTimer:               time.NewTimer(time.Hour),
		invalidReportLogLimiter: rate.Sometimes{Interval: invalidReportLogInterval},
	}
	config.Memory.AddBackends(1)
	go b.run()
	return b
}

// Update sets the backend's address and whether attempts may start, from the endpoint list. The latter takes effect before
// Update returns, also for calls passed to Send earlier.
func (b *Backend) Update(address string, acceptsAttempts bool) {
	b.acceptsAttempts.Store(acceptsAttempts)
	b.mailbox.Put(func() {
		if address != b.address || !acceptsAttempts {
			b.address = address
			b.closeIdleLongerThan(0)
		}
	})
}

// Restarted notifies the backend that another process has replaced the one at its address. The machine of the old one may have
// vanished, which leaves connections open that lead nowhere: only connections that are dialed from now on are used.
func (b *Backend) Restarted() {
	b.mailbox.Put(func() {
		b.incarnation++
		b.closeIdleLongerThan(0)
	})
}

// Send starts a call. Its OnDone is called exactly once.
func (b *Backend) Send(call *Call) {
	b.mailbox.Put(func() {
		b.activeCalls++
		b.assignConn(call)
	})
}

// CloseIdle closes all idle connections, to free their descriptors.
func (b *Backend) CloseIdle() { b.mailbox.Put(func() { b.closeIdleLongerThan(0) }) }

// Close prevents further attempts from starting and ends the actor after its last call. Send must not be called afterwards.
func (b *Backend) Close() {
	b.acceptsAttempts.Store(false)
	b.mailbox.Put(func() {
		b.closing = true
		b.closeIdleLongerThan(0)
	})
}

func (b *Backend) run() {
	defer b.config.Memory.AddBackends(-1)
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
// connection is tried, and only after a reused one: a failure on a new connection counts against the backend.
func (b *Backend) exchangeFinished(call *Call, c *conn, result Result, state connState) {
	if c.reused {
		failed := state == connWriteFailed || result.Outcome == balancer.OutcomeConnectionReset
		b.reuseStats.record(c.idleBefore, failed)
	}
	if state == connWriteFailed && c.reused && !call.resentOnNewConn {
		b.closeConn(c)
		call.resentOnNewConn = true
		b.dial(call)
		return
	}
	b.finishCall(call, c, result, state)
}

// finishCall ends a call. c is nil if the call had no connection. The connection of a streamed response is returned later,
// when the stream is closed.
func (b *Backend) finishCall(call *Call, c *conn, result Result, state connState) {
	if state == connSurplus {
		b.trust.record(b.config, idleSurplus, 0)
	}
	if state != connStreaming {
		b.returnConn(c, state == connReusable)
	}
	call.OnDone(result)
}

// dialFinished handles a new connection, or the error of dialing it.
func (b *Backend) dialFinished(call *Call, target dialTarget, netConn net.Conn, err error) {
	if err != nil {
		b.config.Budget.ReleaseBackend()
		b.config.Log.Debug("backend connection failed", "backend", b.name, "error", err)
		b.finishCall(call, nil, Result{Outcome: dialOutcome(err)}, connClosed)
		return
	}
	c := newConn(netConn, target)
	// The endpoint list has changed the backend's address, or named another process, during the dial. Another process may
	// listen at the old address by now and must not get the request, or the connection leads to the process that has gone.
	if target != b.target() {
		b.finishCall(call, c, Result{Outcome: balancer.OutcomeNotSent}, connClosed)
		return
	}
	b.runExchange(call, c)
}
