// Package upstream speaks to backends: an actor for each owns its connections, dials them, and gives them back.
package upstream

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"slices"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/time/rate"

	"pearknot/balancer"
	"pearknot/internal/descriptors"
	"pearknot/internal/mailbox"
)

// oddEvery is the least time between two log lines of one backend's odd reports.
const invalidReportLogInterval = 10 * time.Second

// Span is a time that may change while it is read.
type AtomicDuration struct{ ns atomic.Int64 }

func (s *AtomicDuration) Get() time.Duration  { return time.Duration(s.ns.Load()) }
func (s *AtomicDuration) Set(d time.Duration) { s.ns.Store(int64(d)) }

// Terms are the same for all backends.
type Config struct {
	ConnectTimeout AtomicDuration
	IdleTimeout    AtomicDuration                                           // how long an idle connection is kept
	SetReportValue func(r *balancer.LoadReport, name string, value float64) // puts a load report's value in its place
	Budget         *descriptors.Budget
	Log            *slog.Logger
}

// Peer is one backend's actor. Its fields below box are its own.
type Backend struct {
	name            string
	config          *Config
	acceptsAttempts atomic.Bool // the list lets new pushes go there
	mailbox         *mailbox.Box[func()]

	address          string
	idle             []*conn // the latest used last
	activeCalls      int
	waitingForIdle   int // of them, those that wait for a connection to have rested
	closing          bool
	idleTimer        *time.Timer
	breakage         idleBreakage
	invalidReportLog rate.Sometimes // load reports that can't be read fill no log
}

// NewPeer starts a backend's actor; it takes no calls before Tell.
func NewBackend(name string, t *Config) *Backend {
	p := &Backend{name: name, config: t, mailbox: mailbox.New[func()](), idleTimer: time.NewTimer(time.Hour),
		invalidReportLog: rate.Sometimes{Interval: invalidReportLogInterval}}
	go p.run()
	return p
}

// Tell takes what the list says: the address, and whether new pushes may go there. The latter counts at once.
func (p *Backend) Update(address string, open bool) {
	p.acceptsAttempts.Store(open)
	p.mailbox.Put(func() {
		if address != p.address || !open {
			p.address = address
			p.closeIdleLongerThan(0)
		}
	})
}

// Send starts a call.
func (p *Backend) Send(c *Call) {
	p.mailbox.Put(func() {
		p.activeCalls++
		p.assignConn(c)
	})
}

// Shed closes idle connections: their descriptors are wanted elsewhere.
func (p *Backend) CloseIdle() { p.mailbox.Put(func() { p.closeIdleLongerThan(0) }) }

// Close ends the actor after its last call; no Send may follow.
func (p *Backend) Close() {
	p.acceptsAttempts.Store(false)
	p.mailbox.Put(func() {
		p.closing = true
		p.closeIdleLongerThan(0)
	})
}

func (p *Backend) run() {
	var notes []func()
	for !p.closing || p.activeCalls > 0 {
		select {
		case <-p.mailbox.Ready():
			notes = p.mailbox.TakeAll(notes)
			for _, note := range notes {
				note()
			}
		case <-p.idleTimer.C:
			p.closeIdleLongerThan(p.config.IdleTimeout.Get())
		}
	}
	p.idleTimer.Stop()
}

// start takes the connection that was used last, of those that have rested. Where there is none but one still rests, the
// call waits for that: a new one would take as long and cost the backend work and a place.
func (p *Backend) assignConn(c *Call) {
	resting, first := 0, minIdle
	for k := len(p.idle) - 1; k >= 0; k-- {
		on := p.idle[k]
		idle := time.Since(on.idleSince)
		if idle < minIdle {
			resting++
			first = min(first, minIdle-idle)
			continue
		}
		p.idle = slices.Delete(p.idle, k, k+1)
		if idle < p.config.IdleTimeout.Get() && !p.breakage.isLikelyBroken(idle) && on.isUsable() {
			on.idleBefore = idle
			p.runExchange(c, on)
			return
		}
		p.closeConn(on)
	}
	if resting > p.waitingForIdle { // each that waits has one to itself
		p.waitingForIdle++
		time.AfterFunc(first, func() {
			p.mailbox.Put(func() {
				p.waitingForIdle--
				p.assignConn(c)
			})
		})
		return
	}
	p.config.Log.Debug("dial", "backend", p.name, "resting", resting, "calls", p.activeCalls)
	p.dial(c)
}

func (p *Backend) dial(c *Call) {
	ctx, cancel, wanted := c.dialContext(p.config.ConnectTimeout.Get())
	if !wanted || !p.acceptsAttempts.Load() || !p.config.Budget.TryAcquireBackend() {
		cancel()
		p.finishCall(c, nil, Result{Outcome: balancer.OutcomeNotSent}, connClosed)
		return
	}
	address := p.address
	go func() {
		var d net.Dialer
		to, err := d.DialContext(ctx, "tcp", address)
		cancel()
		p.mailbox.Put(func() { p.dialFinished(c, address, to, err) })
	}()
}

func (p *Backend) dialFinished(c *Call, address string, to net.Conn, err error) {
	if err == nil && address != p.address { // moved meanwhile: whoever listens at the old address is another
		p.finishCall(c, newConn(to, address), Result{Outcome: balancer.OutcomeNotSent}, connClosed)
		return
	}
	if err == nil {
		p.runExchange(c, newConn(to, address))
		return
	}
	p.config.Budget.ReleaseBackend()
	how := balancer.OutcomeConnectFailed
	// Called off, or this machine's own want: neither tells anything of the backend.
	if errors.Is(err, context.Canceled) || errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) ||
		errors.Is(err, syscall.EADDRNOTAVAIL) || errors.Is(err, syscall.ENOBUFS) {
		how = balancer.OutcomeNotSent
	}
	p.config.Log.Debug("no connection", "backend", p.name, "error", err)
	p.finishCall(c, nil, Result{Outcome: how}, connClosed)
}

func (p *Backend) runExchange(c *Call, on *conn) {
	go func() {
		out, fate := p.exchange(c, on)
		p.mailbox.Put(func() { p.exchangeFinished(c, on, out, fate) })
	}()
}

func (p *Backend) exchangeFinished(c *Call, on *conn, out Result, fate connState) {
	if on.reused {
		p.breakage.record(on.idleBefore, fate == connWriteFailed || out.Outcome == balancer.OutcomeConnectionReset)
	}
	if fate == connWriteFailed && on.reused && !c.retriedOnFresh { // an idle connection closed this moment; nothing has run
		p.closeConn(on)
		c.retriedOnFresh = true
		p.dial(c)
		return
	}
	p.finishCall(c, on, out, fate)
}

// finish is where each call ends and its connection comes back.
func (p *Backend) finishCall(c *Call, on *conn, out Result, fate connState) {
	if fate != connStreaming {
		p.takeBackConn(on, fate == connReusable)
	}
	c.OnDone(out)
}

// returned takes a connection back with which a call has nothing more to do, or none where it had none.
func (p *Backend) takeBackConn(on *conn, keep bool) {
	p.activeCalls--
	switch {
	case on == nil:
	case keep && p.acceptsAttempts.Load() && on.address == p.address:
		on.reused, on.idleSince = true, time.Now()
		if len(p.idle) == 0 {
			p.idleTimer.Reset(p.config.IdleTimeout.Get())
		}
		p.idle = append(p.idle, on)
	default:
		p.closeConn(on)
	}
}

// shed closes the connections that have been idle for so long.
func (p *Backend) closeIdleLongerThan(idle time.Duration) {
	for len(p.idle) > 0 && time.Since(p.idle[0].idleSince) >= idle {
		p.closeConn(p.idle[0])
		p.idle = p.idle[1:]
	}
	if len(p.idle) > 0 {
		p.idleTimer.Reset(p.config.IdleTimeout.Get() - time.Since(p.idle[0].idleSince))
	}
}

// drop is the one place where a connection closes and its descriptor is given back.
func (p *Backend) closeConn(on *conn) {
	_ = on.Close()
	p.config.Budget.ReleaseBackend()
}
