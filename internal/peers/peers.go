// Package peers links the processes of a fleet whose operators let them share: an actor owns the estate's house, and two
// connections to each member carry frames, one each way. Without a peers file none of it runs.
package peers

import (
	"bufio"
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"pearknot/internal/clock"
	"pearknot/internal/mailbox"
	"pearknot/internal/peers/transport"
	"pearknot/internal/requestlog"
)

// Member is one process of the fleet.
type Member struct {
	Name    string
	Address string
}

// Terms are what the operator says.
type Config struct {
	Fleet       string
	Members     []Member
	Self        int
	Replicas    int
	Keys        [][]byte // the first proves, all are taken
	MaxLogBytes int      // bytes that one log may hold
	AnswerTTL   float64  // ms that an outcome is kept
}

const (
	mostQueued = 4096    // frames to one member
	beside     = 4 << 20 // bytes of a frame, or of a queue, beside an image of a ledger
	oddEvery   = time.Second
	bindEvery  = 50 * time.Millisecond // while a process before this one still has the address

	dialWithin   = time.Second
	writeWithin  = time.Second
	silentWithin = requestlog.PeerTimeoutMs * time.Millisecond // a beat comes ten times as often
	againFrom    = 50 * time.Millisecond                       // between two tries to connect, growing
	againUpTo    = time.Second
)

// mostFrame is the size of the largest frame: an image of a ledger that is full. Of two of them one may be queued behind the other.
func (t *Config) mostFrame() int { return t.MaxLogBytes + t.MaxLogBytes/4 + beside }

// Descriptors is what links take at most of the node's limit: two a member, a listener, and some that prove nothing.
func (t *Config) Descriptors() int { return 2*len(t.Members) + 1 + mostUnproven }

const mostUnproven = 8

// Peers is this process's part of the fleet. Its fields below box are the actor's.
type Peers struct {
	t       Config
	life    uint64
	clock   *clock.Clock
	log     *slog.Logger
	inherit func(requestlog.Entry)
	odd     rate.Sometimes
	unsaid  atomic.Int64
	ctx     context.Context
	end     context.CancelFunc
	wg      sync.WaitGroup
	bound   chan struct{} // closed once this process has the address
	box     *mailbox.Box[func()]

	house   *requestlog.Member
	waits   map[uint64]func(requestlog.Reply)
	seq     uint64
	members []member
	took    uint64
}

// member is what the actor knows of one.
type member struct {
	out   *outgoing // nil is none
	in    net.Conn
	inPid uint64 // the life that calls here
}

// outgoing is a link's sending half.
type outgoing struct {
	conn   net.Conn
	life   uint64
	frames chan []byte
	bytes  atomic.Int64
}

// New makes one; inherit takes what this process has taken over, and must not block.
func New(t Config, c *clock.Clock, inherit func(requestlog.Entry), log *slog.Logger) *Peers {
	names := make([]string, len(t.Members))
	for k, m := range t.Members {
		names[k] = m.Name
	}
	life := uint64(c.Now())
	p := &Peers{t: t, life: life, clock: c, log: log, inherit: inherit, bound: make(chan struct{}), odd: rate.Sometimes{Interval: oddEvery}, box: mailbox.New[func()](),
		waits: map[uint64]func(requestlog.Reply){}, members: make([]member, len(t.Members)),
		house: requestlog.New(requestlog.Config{Members: names, Self: t.Self, Incarnation: life, Replicas: t.Replicas, Seed: rand.Uint64(), MaxLogBytes: t.MaxLogBytes, AnswerTTL: t.AnswerTTL}, c.Now())}
	p.ctx, p.end = context.WithCancel(context.Background())
	return p
}

// Start listens and calls the others until Stop. An address that a process before this one still has is waited for.
func (p *Peers) Start() {
	p.wg.Add(2)
	go p.run()
	go p.listen()
	for k := range p.t.Members {
		if k != p.t.Self {
			p.wg.Add(1)
			go p.dial(k)
		}
	}
}

// Leave passes on what this process leads; Stop ends all.
func (p *Peers) Shutdown() { p.box.Put(func() { p.house.Shutdown(p.clock.Now()) }) }

func (p *Peers) Stop() {
	p.end()
	p.wg.Wait()
}

// Look asks what is known of a key, and Write has a record written; told is called once, and must not block.
func (p *Peers) Lookup(key string, print uint64, until float64, told func(requestlog.Reply)) {
	p.box.Put(func() { p.house.Lookup(p.clock.Now(), p.await(told), key, print, until) })
}

func (p *Peers) Append(r requestlog.Record, until float64, told func(requestlog.Reply)) {
	p.box.Put(func() { p.house.Append(p.clock.Now(), p.await(told), r, until) })
}

func (p *Peers) await(told func(requestlog.Reply)) uint64 {
	p.seq++
	p.waits[p.seq] = told
	return p.seq
}

// State tells of the logs, for whoever looks; it waits for the actor.
func (p *Peers) State(ctx context.Context) (s requestlog.StateDigest, err error) {
	told := make(chan requestlog.StateDigest, 1)
	p.box.Put(func() {
		x := p.house.StateDigest()
		x.Takeovers = p.took
		told <- x
	})
	select {
	case s = <-told:
		return s, nil
	case <-ctx.Done():
		return s, ctx.Err()
	}
}

func (p *Peers) run() {
	defer p.wg.Done()
	tick := time.NewTicker(requestlog.TickMs * time.Millisecond)
	defer tick.Stop()
	var notes []func()
	for {
		select {
		case <-p.ctx.Done():
			for _, told := range p.waits {
				told(requestlog.Reply{Result: requestlog.NoQuorum})
			}
			for k := range p.members {
				p.dropIn(k)
				p.dropOut(k)
			}
			return
		case <-p.box.Ready():
			notes = p.box.TakeAll(notes)
			for _, note := range notes {
				note()
			}
		case <-tick.C:
			p.house.Tick(p.clock.Now())
		}
		p.pull()
	}
}

func (p *Peers) pull() {
	for {
		o, more := p.house.Next()
		switch {
		case !more:
			return
		case o.Frame != nil:
			p.send(o.To, o.Frame)
		case o.Reply != nil:
			if told := p.waits[o.Reply.ID]; told != nil {
				delete(p.waits, o.Reply.ID)
				told(*o.Reply)
			}
		case o.TakenOver != nil:
			p.took++
			p.inherit(*o.TakenOver)
		case o.Event != nil:
			p.log.LogAttrs(p.ctx, slog.LevelInfo, o.Event.Message, o.Event.Attrs()...)
		}
	}
}

// send queues a frame; a member that takes none for long loses its link, and hears all anew on the next.
func (p *Peers) send(to int, frame []byte) {
	o := p.members[to].out
	if o == nil {
		return
	}
	if o.bytes.Add(int64(len(frame))) > int64(2*p.t.mostFrame()) {
		p.broke(to, o)
		return
	}
	select {
	case o.frames <- frame:
	default:
		p.broke(to, o)
	}
}

// link counts a member as linked when frames can go both ways, between two lives that know each other.
func (p *Peers) link(k int) {
	m := &p.members[k]
	if m.out != nil && m.in != nil && m.out.life == m.inPid {
		p.house.PeerConnected(p.clock.Now(), k, requestlog.NewIncarnation(k, m.inPid))
		p.log.Info("peer linked", "peer", p.t.Members[k].Name)
	}
}

func (p *Peers) broke(k int, o *outgoing) {
	if p.members[k].out == o {
		p.dropOut(k)
	}
}

// Each half ends by itself: ends that took the other half with them met on their way, and kept two processes apart for long.
// A link with one half is none to the house, at either end: who loses its outgoing half is no longer heard.
func (p *Peers) dropOut(k int) {
	if m := &p.members[k]; m.out != nil {
		_ = m.out.conn.Close()
		close(m.out.frames)
		m.out = nil
		p.unlinked(k, m.in != nil)
	}
}

func (p *Peers) dropIn(k int) {
	if m := &p.members[k]; m.in != nil {
		_ = m.in.Close()
		m.in = nil
		p.unlinked(k, m.out != nil)
	}
}

func (p *Peers) unlinked(k int, was bool) {
	p.house.PeerDisconnected(p.clock.Now(), k)
	if was {
		p.log.Warn("peer lost", "peer", p.t.Members[k].Name)
	}
}

// sayOdd logs now and then what links end by that should not be.
func (p *Peers) sayOdd(who string, err error) {
	p.unsaid.Add(1)
	p.odd.Do(func() { p.log.Warn("peer refused", "who", who, "error", err, "since_last", p.unsaid.Swap(0)) })
}

// dial keeps a link to a member.
func (p *Peers) dial(k int) {
	defer p.wg.Done()
	select { // a process before this one speaks for the member as long as it has the address
	case <-p.bound:
	case <-p.ctx.Done():
		return
	}
	to := p.t.Members[k]
	wait := againFrom
	for p.ctx.Err() == nil {
		d := net.Dialer{Timeout: dialWithin}
		c, err := d.DialContext(p.ctx, "tcp", to.Address)
		if err == nil {
			var life uint64
			if life, err = transport.ClientHandshake(c, p.t.Keys, p.t.Fleet, p.t.Members[p.t.Self].Name, to.Name, p.life); err == nil {
				wait = againFrom
				p.carry(k, c, life)
			} else {
				_ = c.Close()
				if p.ctx.Err() == nil && err == transport.ErrWrongKey {
					p.sayOdd(to.Name, err)
				}
			}
		}
		select {
		case <-p.ctx.Done():
		case <-time.After(wait/2 + rand.N(wait)):
		}
		wait = min(wait*2, againUpTo)
	}
}

// carry writes a link's frames until it breaks.
func (p *Peers) carry(k int, c net.Conn, life uint64) {
	o := &outgoing{conn: c, life: life, frames: make(chan []byte, mostQueued)}
	p.box.Put(func() {
		if p.ctx.Err() != nil {
			_ = c.Close()
			close(o.frames)
			return
		}
		p.dropOut(k)
		p.members[k].out = o
		p.link(k)
	})
	p.wg.Add(1)
	go func() { // nothing comes on it but its end
		defer p.wg.Done()
		var one [1]byte
		_, _ = c.Read(one[:])
		p.box.Put(func() { p.broke(k, o) })
		_ = c.Close()
	}()
	w := bufio.NewWriterSize(c, 64<<10)
	defer c.Close()
	for {
		var frame []byte
		var more bool
		select {
		case frame, more = <-o.frames:
		case <-p.ctx.Done(): // the actor may have ended before it heard of this link, and closes no queue any more
		}
		if !more {
			return
		}
		_ = c.SetWriteDeadline(time.Now().Add(writeWithin))
		err := transport.WriteFrame(w, frame)
		o.bytes.Add(-int64(len(frame)))
		if err == nil && len(o.frames) == 0 {
			err = w.Flush()
		}
		if err != nil {
			_ = c.Close() // its reader tells
		}
	}
}

func (p *Peers) listen() {
	defer p.wg.Done()
	address := p.t.Members[p.t.Self].Address
	l, err := net.Listen("tcp", address)
	for said := false; err != nil; l, err = net.Listen("tcp", address) {
		if !said {
			p.log.Warn("address of peers not free yet", "error", err)
			said = true
		}
		select {
		case <-p.ctx.Done():
			return
		case <-time.After(bindEvery):
		}
	}
	close(p.bound)
	stop := context.AfterFunc(p.ctx, func() { _ = l.Close() })
	defer stop()
	unproven := make(chan struct{}, mostUnproven)
	for {
		unproven <- struct{}{}
		c, err := l.Accept()
		if err != nil {
			if p.ctx.Err() != nil {
				return
			}
			<-unproven
			time.Sleep(bindEvery)
			continue
		}
		p.wg.Add(1)
		go p.hear(c, func() { <-unproven })
	}
}

// hear takes a link that another process opens, and its frames.
func (p *Peers) hear(c net.Conn, proved func()) {
	defer p.wg.Done()
	defer c.Close()
	once := sync.OnceFunc(proved)
	defer once()
	stop := context.AfterFunc(p.ctx, func() { _ = c.Close() })
	defer stop()
	r := bufio.NewReaderSize(c, 64<<10)
	name, life, err := transport.ServerHandshake(c, r, p.t.Keys, p.t.Fleet, p.t.Members[p.t.Self].Name, p.life)
	from := -1
	for k, m := range p.t.Members {
		if m.Name == name && k != p.t.Self {
			from = k
		}
	}
	if err == nil && from < 0 {
		err = fmt.Errorf("%.40q is no member", name)
	}
	if err != nil {
		if p.ctx.Err() == nil {
			p.sayOdd(c.RemoteAddr().String(), err)
		}
		return
	}
	once()
	p.box.Put(func() {
		p.dropIn(from)
		p.members[from].in, p.members[from].inPid = c, life
		p.link(from)
	})
	for {
		_ = c.SetReadDeadline(time.Now().Add(silentWithin))
		data, err := transport.ReadFrame(r, uint32(p.t.mostFrame()))
		if err != nil {
			p.box.Put(func() {
				if p.members[from].in == c {
					p.dropIn(from)
				}
			})
			return
		}
		p.box.Put(func() {
			if p.members[from].in != c || p.members[from].out == nil {
				return // of a link that is not whole
			}
			if err := p.house.Receive(p.clock.Now(), from, data); err != nil {
				p.sayOdd(name, err)
				p.dropIn(from)
				p.dropOut(from)
			}
		})
	}
}
