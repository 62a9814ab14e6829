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
const oddEvery = 10 * time.Second

// Span is a time that may change while it is read.
type Span struct{ ns atomic.Int64 }

func (s *Span) Get() time.Duration  { return time.Duration(s.ns.Load()) }
func (s *Span) Set(d time.Duration) { s.ns.Store(int64(d)) }

// Terms are the same for all backends.
type Config struct {
	ConnectTimeout Span
	IdleFor        Span                                                     // how long an idle connection is kept
	SetReportValue func(r *balancer.LoadReport, name string, value float64) // puts a load report's value in its place
	Budget         *descriptors.Budget
	Log            *slog.Logger
}

// Peer is one backend's actor. Its fields below box are its own.
type Backend struct {
	name  string
	terms *Config
	open  atomic.Bool // the list lets new pushes go there
	box   *mailbox.Box[func()]

	address string
	idle    []*conn // the latest used last
	calls   int
	waiting int // of them, those that wait for a connection to have rested
	closing bool
	reap    *time.Timer
	wear    wear
	odd     rate.Sometimes // load reports that can't be read fill no log
}

// NewPeer starts a backend's actor; it takes no calls before Tell.
func NewBackend(name string, t *Config) *Backend {
	p := &Backend{name: name, terms: t, box: mailbox.New[func()](), reap: time.NewTimer(time.Hour),
		odd: rate.Sometimes{Interval: oddEvery}}
	go p.run()
	return p
}

// Tell takes what the list says: the address, and whether new pushes may go there. The latter counts at once.
func (p *Backend) Tell(address string, open bool) {
	p.open.Store(open)
	p.box.Put(func() {
		if address != p.address || !open {
			p.address = address
			p.shed(0)
		}
	})
}

// Send starts a call.
func (p *Backend) Send(c *Call) {
	p.box.Put(func() {
		p.calls++
		p.start(c)
	})
}

// Shed closes idle connections: their descriptors are wanted elsewhere.
func (p *Backend) Shed() { p.box.Put(func() { p.shed(0) }) }

// Close ends the actor after its last call; no Send may follow.
func (p *Backend) Close() {
	p.open.Store(false)
	p.box.Put(func() {
		p.closing = true
		p.shed(0)
	})
}

func (p *Backend) run() {
	var notes []func()
	for !p.closing || p.calls > 0 {
		select {
		case <-p.box.Some():
			notes = p.box.Take(notes)
			for _, note := range notes {
				note()
			}
		case <-p.reap.C:
			p.shed(p.terms.IdleFor.Get())
		}
	}
	p.reap.Stop()
}

// start takes the connection that was used last, of those that have rested. Where there is none but one still rests, the
// call waits for that: a new one would take as long and cost the backend work and a place.
func (p *Backend) start(c *Call) {
	resting, first := 0, rest
	for k := len(p.idle) - 1; k >= 0; k-- {
		on := p.idle[k]
		idle := time.Since(on.since)
		if idle < rest {
			resting++
			first = min(first, rest-idle)
			continue
		}
		p.idle = slices.Delete(p.idle, k, k+1)
		if idle < p.terms.IdleFor.Get() && !p.wear.worn(idle) && on.sound() {
			on.rested = idle
			p.carry(c, on)
			return
		}
		p.drop(on)
	}
	if resting > p.waiting { // each that waits has one to itself
		p.waiting++
		time.AfterFunc(first, func() {
			p.box.Put(func() {
				p.waiting--
				p.start(c)
			})
		})
		return
	}
	p.terms.Log.Debug("dial", "backend", p.name, "resting", resting, "calls", p.calls)
	p.dial(c)
}

func (p *Backend) dial(c *Call) {
	ctx, cancel, wanted := c.dialling(p.terms.ConnectTimeout.Get())
	if !wanted || !p.open.Load() || !p.terms.Budget.Peer() {
		cancel()
		p.finish(c, nil, Result{Outcome: balancer.OutcomeNotSent}, dropped)
		return
	}
	address := p.address
	go func() {
		var d net.Dialer
		to, err := d.DialContext(ctx, "tcp", address)
		cancel()
		p.box.Put(func() { p.dialled(c, address, to, err) })
	}()
}

func (p *Backend) dialled(c *Call, address string, to net.Conn, err error) {
	if err == nil && address != p.address { // moved meanwhile: whoever listens at the old address is another
		p.finish(c, newConn(to, address), Result{Outcome: balancer.OutcomeNotSent}, dropped)
		return
	}
	if err == nil {
		p.carry(c, newConn(to, address))
		return
	}
	p.terms.Budget.PeerBack()
	how := balancer.OutcomeConnectFailed
	// Called off, or this machine's own want: neither tells anything of the backend.
	if errors.Is(err, context.Canceled) || errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) ||
		errors.Is(err, syscall.EADDRNOTAVAIL) || errors.Is(err, syscall.ENOBUFS) {
		how = balancer.OutcomeNotSent
	}
	p.terms.Log.Debug("no connection", "backend", p.name, "error", err)
	p.finish(c, nil, Result{Outcome: how}, dropped)
}

func (p *Backend) carry(c *Call, on *conn) {
	go func() {
		out, fate := p.exchange(c, on)
		p.box.Put(func() { p.carried(c, on, out, fate) })
	}()
}

func (p *Backend) carried(c *Call, on *conn, out Result, fate fate) {
	if on.used {
		p.wear.used(on.rested, fate == unwritten || out.Outcome == balancer.OutcomeConnectionReset)
	}
	if fate == unwritten && on.used && !c.afresh { // an idle connection closed this moment; nothing has run
		p.drop(on)
		c.afresh = true
		p.dial(c)
		return
	}
	p.finish(c, on, out, fate)
}

// finish is where each call ends and its connection comes back.
func (p *Backend) finish(c *Call, on *conn, out Result, fate fate) {
	if fate != lent {
		p.returned(on, fate == kept)
	}
	c.Done(out)
}

// returned takes a connection back with which a call has nothing more to do, or none where it had none.
func (p *Backend) returned(on *conn, keep bool) {
	p.calls--
	switch {
	case on == nil:
	case keep && p.open.Load() && on.address == p.address:
		on.used, on.since = true, time.Now()
		if len(p.idle) == 0 {
			p.reap.Reset(p.terms.IdleFor.Get())
		}
		p.idle = append(p.idle, on)
	default:
		p.drop(on)
	}
}

// shed closes the connections that have been idle for so long.
func (p *Backend) shed(idle time.Duration) {
	for len(p.idle) > 0 && time.Since(p.idle[0].since) >= idle {
		p.drop(p.idle[0])
		p.idle = p.idle[1:]
	}
	if len(p.idle) > 0 {
		p.reap.Reset(p.terms.IdleFor.Get() - time.Since(p.idle[0].since))
	}
}

// drop is the one place where a connection closes and its descriptor is given back.
func (p *Backend) drop(on *conn) {
	_ = on.Close()
	p.terms.Budget.PeerBack()
}
