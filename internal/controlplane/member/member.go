// Package member runs one process of the control plane: an actor that owns the core's parts, a listener for those that follow and
// call, and the voters' links to each other.
package member

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/time/rate"

	"pearknot/internal/clock"
	"pearknot/internal/config"
	"pearknot/internal/controlplane"
	"pearknot/internal/controlplane/client"
	"pearknot/internal/mailbox"
	"pearknot/internal/peers/transport"
)

const (
	mostUnproven = 64
	mostConns    = 4096
	mostCalls    = 16 // at once
	mostInHand   = 16 // frames of one link that the actor has yet to take
	mostVoteMiB  = 64 // queued for one voter; more is lost, as raft lets it be
	callSilence  = 30 * time.Second
	oddEvery     = time.Second
	againFrom    = 50 * time.Millisecond // between two tries to reach a voter, growing
	againUpTo    = time.Second
	acceptAgain  = 50 * time.Millisecond
	voteSilence  = 3 * time.Second // without a word of the other end: after a long cut the kernel would send again only minutes later
	voteWord     = time.Second
	slowDisk     = time.Second     // nobody is told anything meanwhile: followers go to another member after 2.5 s
	proposeFor   = 4 * time.Second // then the caller asks again, by the change's ID
)

// Options are how a member is run.
type Options struct {
	Bootstrap bool   // a voter's first start
	Control   string // path of a control socket; empty is none
	Version   string // of the build
}

// Member is one process. Its fields below box are the actor's.
type Member struct {
	plane  *client.Plane
	self   client.Member
	o      Options
	clock  *clock.Clock
	log    *slog.Logger
	odd    rate.Sometimes
	unsaid atomic.Int64
	ctx    context.Context
	end    context.CancelCauseFunc
	wg     sync.WaitGroup
	calls  chan struct{}
	checks validator
	box    *mailbox.Box[func()]

	server *controlplane.Server
	set    struct {
		version uint64
		freshAt float64
	} // that the server was told
	conns   map[uint64]*conn
	seq     uint64
	in, out int64 // bytes of connections that have ended

	voter   *controlplane.Voter // nil in a relay
	store   *store
	id      uint64
	names   map[uint64]string // of voters
	numbers map[string]uint64
	votes   map[uint64]*voteLink
	waits   map[uint64]chan<- controlplane.Result
	leader  uint64

	follow  *client.Following // nil in a voter
	disk    *client.Disk
	follows string
}

// conn is a link that something follows on.
type conn struct {
	pipe *transport.Pipe
	name string
}

// voteLink is what goes to and comes from another voter, each on a connection of its own.
type voteLink struct {
	to client.Member
	in *transport.Pipe

	mu  sync.Mutex
	out *transport.Pipe
}

// Run runs a member until ctx ends.
func Run(ctx context.Context, p *client.Plane, name string, o Options, log *slog.Logger) error {
	self, err := p.Self(name)
	if err != nil {
		return err
	}
	m := &Member{plane: p, self: self, o: o, clock: clock.New(), log: log, odd: rate.Sometimes{Interval: oddEvery},
		calls: make(chan struct{}, mostCalls), box: mailbox.New[func()](), conns: map[uint64]*conn{}}
	m.ctx, m.end = context.WithCancelCause(ctx)
	defer m.end(nil)
	if err := os.MkdirAll(p.Dir, 0o700); err != nil {
		return err
	}
	if self.Voter {
		err = m.openVoter()
	} else {
		err = m.openRelay()
	}
	if err != nil {
		return err
	}
	defer m.close()
	l, err := net.Listen("tcp", self.Address)
	if err != nil {
		return err
	}
	defer l.Close()
	socket, err := m.openControl()
	if err != nil {
		return err
	}
	defer socket.Close()
	m.server = controlplane.NewServer(controlplane.ServerConfig{Name: name, Region: self.Region, Seed: rand.Uint64()}, m.clock.Now())
	m.set.freshAt = math.Inf(-1)
	log.Info("member of the control plane", "name", name, "region", self.Region, "voter", self.Voter, "address", l.Addr().String(), "version", o.Version)
	m.wg.Go(m.run)
	m.wg.Go(func() { m.listen(l) })
	for id, v := range m.votes {
		m.wg.Go(func() { m.reach(id, v) })
	}
	if m.follow != nil {
		m.wg.Go(func() { m.disk.Run(m.ctx) })
	}
	<-m.ctx.Done()
	_ = l.Close()
	_ = socket.Close()
	m.wg.Wait()
	if cause := context.Cause(m.ctx); ctx.Err() == nil {
		return cause
	}
	log.Info("member ended", "name", name)
	return nil
}

// number is a voter's: by its name alone, so that the file's order may change.
func number(name string) uint64 { return max(xxhash.Sum64String(name), 1) }

func (m *Member) openVoter() error {
	m.id, m.names, m.numbers, m.votes = number(m.self.Name), map[uint64]string{}, map[string]uint64{}, map[uint64]*voteLink{}
	m.waits = map[uint64]chan<- controlplane.Result{}
	var ids []uint64
	for _, v := range m.plane.Members {
		if !v.Voter {
			continue
		}
		id := number(v.Name)
		ids = append(ids, id)
		m.names[id], m.numbers[v.Name] = v.Name, id
		if id != m.id {
			m.votes[id] = &voteLink{to: v}
		}
	}
	var begin *controlplane.Stored
	if m.o.Bootstrap {
		begin = controlplane.Bootstrap(ids)
	}
	s, kept, err := openStore(filepath.Join(m.plane.Dir, m.self.Name+".db"), m.plane.Fleet+"/"+m.self.Name, begin)
	if err != nil {
		return err
	}
	v, err := controlplane.NewVoter(controlplane.VoterConfig{ID: m.id, Voters: ids, Seed: rand.Uint64()}, kept, m.clock.Now())
	if err != nil {
		_ = s.close()
		return err
	}
	m.store, m.voter = s, v
	return nil
}

func (m *Member) openRelay() error {
	if m.o.Bootstrap {
		return fmt.Errorf("%s is no voter: nothing to bootstrap", m.self.Name)
	}
	disk, held, err := client.OpenDisk(filepath.Join(m.plane.Dir, m.self.Name+".copy"), m.plane.Fleet, m.log)
	if err != nil {
		return err
	}
	if !disk.Owned() {
		return fmt.Errorf("%s: another process has its state in %s", m.self.Name, m.plane.Dir)
	}
	var voters []client.Member
	for _, v := range m.plane.Members {
		if v.Voter {
			voters = append(voters, v)
		}
	}
	m.disk = disk
	t := client.Config{Fleet: m.plane.Fleet, Name: m.self.Name, Region: m.self.Region, Members: voters, Keys: m.plane.Keys, Kind: controlplane.KindMember}
	m.follow = client.NewFollowing(m.ctx, t, held, m.clock.Now, m.box.Put, m.wg.Go, func(t controlplane.Take) {
		m.follow.InForce(m.clock.Now(), t.Version)
		m.disk.Offer(controlplane.Copy{Version: t.Version, Text: t.Text})
	}, m.sayOdd)
	if held.Version > 0 {
		m.follow.InForce(m.clock.Now(), held.Version)
	}
	return nil
}

func (m *Member) close() {
	if m.store != nil {
		_ = m.store.close()
	}
	if m.disk != nil {
		m.disk.Close()
	}
}

func (m *Member) run() {
	tick := time.NewTicker(controlplane.TickMs * time.Millisecond)
	defer tick.Stop()
	defer func() {
		for _, c := range m.conns {
			c.pipe.Close()
		}
		for _, v := range m.votes {
			if v.in != nil {
				v.in.Close()
			}
		}
		if m.follow != nil {
			m.follow.Hangup()
		}
	}()
	var notes []func()
	for {
		m.pull()
		select {
		case <-m.ctx.Done():
			return
		case <-m.box.Some():
			notes = m.box.Take(notes)
			for _, note := range notes {
				note()
			}
		case <-tick.C:
			now := m.clock.Now()
			m.server.Tick(now)
			if m.voter != nil {
				m.voter.Tick(now)
			} else {
				m.follow.Tick(now)
			}
		}
	}
}

// pull carries out what the core has decided, in its order.
func (m *Member) pull() {
	freshAt := 0.0
	var history *controlplane.History
	if m.voter != nil {
		if !m.pullVoter() {
			return
		}
		history, freshAt = m.voter.History(), m.voter.FreshAt()
	} else {
		m.follow.Pull()
		history, freshAt = m.follow.History(), m.follow.FreshAt()
		if member := m.follow.State(m.clock.Now()).Member; member != m.follows {
			if member == "" {
				m.log.Warn("control plane lost", "member", m.follows)
			} else {
				m.log.Info("control plane followed", "member", member)
			}
			m.follows = member
		}
	}
	if head, _ := history.Head(); head != m.set.version || freshAt != m.set.freshAt {
		m.set.version, m.set.freshAt = head, freshAt
		m.server.Set(m.clock.Now(), history, freshAt)
	}
	for {
		o, more := m.server.Next()
		if !more {
			return
		}
		c := m.conns[o.Conn]
		switch {
		case c == nil:
		case o.Hangup:
			m.log.Info("follower cut off", "name", c.name, "why", o.Why)
			c.pipe.Close()
			delete(m.conns, o.Conn)
		default:
			c.pipe.Send(o.Frame)
		}
	}
}

func (m *Member) pullVoter() (goesOn bool) {
	for {
		o, more := m.voter.Next()
		switch {
		case !more:
			if fault := m.voter.Fault(); fault != "" {
				m.end(fmt.Errorf("voter's store: %s", fault))
				return false
			}
			if leader := m.voter.Leader(); leader != m.leader {
				m.leader = leader
				m.log.Info("leader", "name", m.names[leader])
			}
			return true
		case o.Persist != nil:
			begun := time.Now()
			if err := m.store.persist(o.Persist); err != nil { // what a voter has said it must have
				m.end(fmt.Errorf("voter's store: %w", err))
				return false
			}
			if took := time.Since(begun); took > slowDisk {
				m.log.Warn("voter's disk is slow", "took_ms", took.Milliseconds())
			}
		case o.Send != nil:
			if v := m.votes[o.Send.To]; v != nil {
				v.send(o.Send.Data)
			}
		case o.Reply != nil:
			if told := m.waits[o.Reply.ID]; told != nil {
				delete(m.waits, o.Reply.ID)
				told <- o.Reply.Result
			}
		case o.Committed != nil:
			m.log.Info("version committed", "version", o.Committed.Version, "by", o.Committed.By, "reason", o.Committed.Reason)
		case o.Restored:
			head, _ := m.voter.History().Head()
			m.log.Info("history taken whole from another voter", "version", head)
		}
	}
}

func (v *voteLink) send(data []byte) {
	v.mu.Lock()
	p := v.out
	v.mu.Unlock()
	if p != nil && p.Waiting() < mostVoteMiB<<20 {
		p.Send(data)
	}
}

// reach keeps a link to another voter.
func (m *Member) reach(id uint64, v *voteLink) {
	wait := againFrom
	for m.ctx.Err() == nil {
		p, err := client.Open(m.ctx, m.plane.Fleet, m.plane.Keys, m.self.Name, v.to, client.ForVote)
		if err == nil {
			wait = againFrom
			v.mu.Lock()
			v.out = p
			v.mu.Unlock()
			stop := context.AfterFunc(m.ctx, p.Close)
			err = p.Run(0, voteSilence, func([]byte) {}, nil)
			stop()
			v.mu.Lock()
			v.out = nil
			v.mu.Unlock()
			m.log.Warn("voter lost", "name", v.to.Name, "error", err)
		} else if errors.Is(err, transport.ErrKey) {
			m.sayOdd(v.to.Name, err)
		}
		select {
		case <-m.ctx.Done():
		case <-time.After(wait/2 + rand.N(wait)):
		}
		wait = min(wait*2, againUpTo)
	}
}

// sayOdd logs now and then what links end by that should not be.
func (m *Member) sayOdd(who string, err error) {
	m.unsaid.Add(1)
	m.odd.Do(func() { m.log.Warn("link refused", "who", who, "error", err, "since_last", m.unsaid.Swap(0)) })
}

func (m *Member) listen(l net.Listener) {
	unproven := make(chan struct{}, mostUnproven)
	for {
		select {
		case unproven <- struct{}{}:
		case <-m.ctx.Done():
			return
		}
		c, err := l.Accept()
		if err != nil {
			if m.ctx.Err() != nil {
				return
			}
			<-unproven
			select {
			case <-time.After(acceptAgain):
			case <-m.ctx.Done():
			}
			continue
		}
		m.wg.Go(func() { m.hear(c, sync.OnceFunc(func() { <-unproven })) })
	}
}

// hear takes a link that another process opens, for what it says that it is for.
func (m *Member) hear(c net.Conn, proved func()) {
	defer proved()
	defer c.Close()
	stop := context.AfterFunc(m.ctx, func() { _ = c.Close() })
	defer stop()
	p := transport.NewPipe(c)
	who := c.RemoteAddr().String()
	from, _, err := transport.Take(c, p.Reader(), m.plane.Keys, client.Fleet(m.plane.Fleet), m.self.Name, m.life())
	what := ""
	if err == nil {
		_ = c.SetReadDeadline(time.Now().Add(openWithin))
		var data []byte
		if data, err = transport.ReadFrame(p.Reader(), mostOpening); err == nil {
			what, err = client.ReadOpening(data)
		}
		_ = c.SetReadDeadline(time.Time{})
		who += " " + from
	}
	proved()
	if errors.Is(err, io.EOF) { // it has gone, such as an operator's command that has its answer from another
		return
	}
	if err == nil {
		switch what {
		case client.ForFollow:
			err = m.serve(p, from)
		case client.ForVote:
			err = m.vote(p, from)
		case client.ForCall:
			err = m.take(p)
		default:
			err = fmt.Errorf("a link for %.20q", what)
		}
	}
	if err != nil && m.ctx.Err() == nil {
		m.sayOdd(who, err)
	}
}

const (
	openWithin  = 2 * time.Second
	mostOpening = 1 << 10
)

// life is what handshakes tell processes of one name apart by; nothing here asks for it.
func (m *Member) life() uint64 { return max(uint64(m.clock.Now()), 1) }

var errMany = errors.New("too many links")

// serve has a follower followed until its link ends; ends that can be are no error.
func (m *Member) serve(p *transport.Pipe, name string) error {
	told := make(chan uint64, 1)
	m.box.Put(func() {
		if len(m.conns) >= mostConns {
			told <- 0
			return
		}
		m.seq++
		m.conns[m.seq] = &conn{p, name}
		m.server.Join(m.clock.Now(), m.seq, name)
		told <- m.seq
	})
	var id uint64
	select {
	case id = <-told:
	case <-m.ctx.Done():
		return nil
	}
	if id == 0 {
		return errMany
	}
	odd := make(chan error, 1)
	room := make(chan struct{}, mostInHand)
	err := p.Run(controlplane.MostFrame, controlplane.LeaseMs*time.Millisecond, func(data []byte) {
		select {
		case room <- struct{}{}:
		case <-m.ctx.Done():
			return
		}
		m.box.Put(func() {
			<-room
			if m.conns[id] == nil {
				return
			}
			if err := m.server.Frame(m.clock.Now(), id, data); err != nil {
				delete(m.conns, id)
				odd <- err // at most once: it is served no more
				p.Close()
			}
		})
	}, func(bytes int) {
		m.box.Put(func() {
			if m.conns[id] != nil {
				m.server.Sent(m.clock.Now(), id, bytes)
			}
		})
	})
	m.box.Put(func() {
		in, out, _, _ := p.Counts()
		m.in += in
		m.out += out
		if m.conns[id] != nil {
			delete(m.conns, id)
			m.server.Leave(m.clock.Now(), id)
		}
	})
	select {
	case err = <-odd:
		return err
	default:
	}
	return unusual(err)
}

// unusual is an end that should not be: a frame too long, no end of a connection.
func unusual(err error) error {
	var long *transport.LongError
	if errors.As(err, &long) {
		return err
	}
	return nil
}

// vote takes another voter's messages; a later link takes the place of one before.
func (m *Member) vote(p *transport.Pipe, name string) error {
	id := m.numbers[name]
	v := m.votes[id]
	if v == nil {
		return fmt.Errorf("%.40q is no other voter", name)
	}
	m.box.Put(func() {
		if v.in != nil {
			v.in.Close()
		}
		v.in = p
	})
	over := make(chan struct{})
	defer close(over)
	m.wg.Go(func() { // so that the caller knows the link to carry
		tick := time.NewTicker(voteWord)
		defer tick.Stop()
		for {
			select {
			case <-over:
				return
			case <-tick.C:
				p.Send([]byte{})
			}
		}
	})
	room := make(chan struct{}, mostInHand)
	return unusual(p.Run(controlplane.MostFrame, 0, func(data []byte) {
		select {
		case room <- struct{}{}:
		case <-m.ctx.Done():
			return
		}
		m.box.Put(func() {
			<-room
			if v.in == p {
				m.voter.Message(m.clock.Now(), id, data)
			}
		})
	}, nil))
}

// validator tells whether a text can be put in force by nodes that have the head. It keeps what it read last: the next head is mostly
// the text that it has just allowed, and reading 140,000 tenants takes a second.
type validator struct {
	mu   sync.Mutex
	read [2]struct {
		digest controlplane.Digest
		told   *config.Deployment
	}
}

func (v *validator) check(next *controlplane.Document, version uint64, head *controlplane.Document) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	told, err := v.settings(next)
	if err != nil || version == 0 {
		return err
	}
	old, err := v.settings(head)
	if err != nil {
		return nil // a head that no node can read is not to keep a better one out
	}
	return told.Follows(old)
}

func (v *validator) settings(d *controlplane.Document) (*config.Deployment, error) {
	digest := d.Digest()
	for k := range v.read {
		if v.read[k].told != nil && v.read[k].digest == digest {
			return v.read[k].told, nil
		}
	}
	told, err := config.Shared(d.Text(), nil)
	if err == nil {
		v.read[1] = v.read[0]
		v.read[0].digest, v.read[0].told = digest, told
	}
	return told, err
}
