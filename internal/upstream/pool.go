package upstream

import (
	"context"
	"errors"
	"net"
	"slices"
	"syscall"
	"time"

	"pearknot/balancer"
)

// assignConn sends the call on the most recently used of the connections that have been idle for long enough, and dials one
// if there is none. If a connection needs to be idle for at most minReuseIdle more, the call waits for that instead: dialing would
// take as long, and cost the backend work and one of the connections that it accepts.
func (b *Backend) assignConn(call *Call) {
	tooRecent, wait := 0, minReuseIdle
	reuseIdle := min(b.trust.reuseIdle(b.config), max(b.config.IdleTimeout.Get()/2, minReuseIdle))
	for k := len(b.idle) - 1; k >= 0; k-- {
		c := b.idle[k]
		idle := time.Since(c.idleSince)
		if idle < reuseIdle {
			if reuseIdle-idle <= minReuseIdle {
				tooRecent++
				wait = min(wait, reuseIdle-idle)
			}
			continue
		}
		b.idle = slices.Delete(b.idle, k, k+1)
		state := c.idleState()
		b.recordIdle(c, state)
		if idle < b.config.IdleTimeout.Get() && !b.reuseStats.isLikelyStale(idle) && state == idleQuiet {
			c.idleBefore = idle
			b.runExchange(call, c)
			return
		}
		b.closeConn(c)
	}
	if tooRecent > b.waitingForIdle { // there is one that no other call waits for
		b.waitForIdle(call, wait)
		return
	}
	b.config.Log.Debug("dialing backend", "backend", b.name, "recently_used", tooRecent, "calls", b.activeCalls)
	b.dial(call)
}

// waitForIdle assigns a connection to the call after the wait.
func (b *Backend) waitForIdle(call *Call, wait time.Duration) {
	b.waitingForIdle++
	time.AfterFunc(wait, func() {
		b.mailbox.Put(func() {
			b.waitingForIdle--
			b.assignConn(call)
		})
	})
}

// dial establishes a connection for the call. If the call must not start any more, the backend accepts no attempts, or there
// is no free file descriptor, the call ends with OutcomeNotSent.
func (b *Backend) dial(call *Call) {
	ctx, cancel, wanted := call.dialContext(b.config.ConnectTimeout.Get())
	if !wanted || !b.acceptsAttempts.Load() || !b.acquireDescriptor() {
		cancel()
		b.finishCall(call, nil, Result{Outcome: balancer.OutcomeNotSent}, connClosed)
		return
	}
	target := b.target()
	go func() {
		var dialer net.Dialer
		netConn, err := dialer.DialContext(ctx, "tcp", target.address)
		cancel()
		b.mailbox.Put(func() { b.dialFinished(call, target, netConn, err) })
	}()
}

// acquireDescriptor takes a descriptor from the budget. If there is none, it closes the longest idle connection for it.
func (b *Backend) acquireDescriptor() bool {
	for !b.config.Budget.TryAcquireBackend() {
		if len(b.idle) == 0 {
			return false
		}
		b.closeConn(b.idle[0])
		b.idle = b.idle[1:]
	}
	return true
}

// dialTarget identifies the process to which a connection leads.
type dialTarget struct {
	address     string
	incarnation uint64
}

func (b *Backend) target() dialTarget { return dialTarget{b.address, b.incarnation} }

// dialOutcome returns the outcome of a call whose connection was not established. A cancellation, or a lack of descriptors,
// ports or memory on this machine, says nothing about the backend and must not count against it.
func dialOutcome(err error) balancer.Outcome {
	for _, local := range []error{context.Canceled, syscall.EMFILE, syscall.ENFILE, syscall.EADDRNOTAVAIL, syscall.ENOBUFS} {
		if errors.Is(err, local) {
			return balancer.OutcomeNotSent
		}
	}
	return balancer.OutcomeConnectFailed
}

// returnConn returns the connection of a call that has ended to the pool; nil means that it had none. It becomes idle if it
// is reusable and leads to the backend's present process, which accepts attempts. Otherwise it is closed.
func (b *Backend) returnConn(c *conn, reusable bool) {
	b.activeCalls--
	if c == nil {
		return
	}
	if !reusable || !b.acceptsAttempts.Load() || c.target != b.target() {
		b.closeConn(c)
		return
	}
	c.reused, c.idleSince, c.idleRecorded = true, time.Now(), false
	if len(b.idle) == 0 {
		b.idleTimer.Reset(b.config.IdleTimeout.Get())
	}
	b.idle = append(b.idle, c)
	if !b.trust.isTrusted(b.config) {
		b.watchIdle(c)
	}
}

// closeIdleLongerThan closes the connections that have been idle for at least that time.
func (b *Backend) closeIdleLongerThan(idle time.Duration) {
	for len(b.idle) > 0 && time.Since(b.idle[0].idleSince) >= idle {
		b.recordIdle(b.idle[0], b.idle[0].idleState())
		b.closeConn(b.idle[0])
		b.idle = b.idle[1:]
	}
	if len(b.idle) > 0 {
		b.idleTimer.Reset(b.config.IdleTimeout.Get() - time.Since(b.idle[0].idleSince))
	}
}

// closeConn closes a connection and returns its descriptor to the budget. Connections are closed nowhere else.
func (b *Backend) closeConn(c *conn) {
	_ = c.Close()
	b.config.Budget.ReleaseBackend()
}
