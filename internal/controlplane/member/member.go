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
	maxUnauthenticated     = 64
	maxFollowers           = 4096
	maxCalls               = 16 // at once
	maxQueuedFrames        = 16 // frames of one link that the actor has yet to take
	maxVoterQueueMiB       = 64 // queued for one voter; more is lost, as raft lets it be
	callIdleTimeout        = 30 * time.Second
	refusedLogInterval     = time.Second
	minRedialBackoff       = 50 * time.Millisecond // between two tries to reach a voter, growing
	maxRedialBackoff       = time.Second
	acceptRetryDelay       = 50 * time.Millisecond
	voterIdleTimeout       = 3 * time.Second // without a word of the other end: after a long cut the kernel would send again only minutes later
	voterKeepaliveInterval = time.Second
	slowPersistThreshold   = time.Second     // nobody is told anything meanwhile: followers go to another member after 2.5 s
	proposalTimeout        = 4 * time.Second // then the caller asks again, by the change's ID
)

// Options are how a member is run.
type Options struct {
	Bootstrap bool   // a voter's first start
	Control   string // path of a control socket; empty is none
	Version   string // of the build
}

// Member is one process. Its fields below box are the actor's.
type Member struct {
	controlPlane    *client.ControlPlane
	self            client.Member
	options         Options
	clock           *clock.Clock
	log             *slog.Logger
	refusedLog      rate.Sometimes
	refusedSinceLog atomic.Int64
	ctx             context.Context
	cancel          context.CancelCauseFunc
	wg              sync.WaitGroup
	callSlots       chan struct{}
	validator       validator
	mailbox         *mailbox.Box[func()]

	server *controlplane.Server
	served struct {
		version uint64
		freshAt float64
	} // that the server was told
	followers                     map[uint64]*followerConn
	lastFollowerID                uint64
	closedBytesIn, closedBytesOut int64 // bytes of connections that have ended

	voter           *controlplane.Voter // nil in a relay
	store           *voterStore
	voterID         uint64
	voterNames      map[uint64]string // of voters
	voterIDs        map[string]uint64
	voterLinks      map[uint64]*voterLink
	proposalReplies map[uint64]chan<- controlplane.Result
	leader          uint64

	followerLink   *client.FollowerLink // nil in a voter
	copyStore      *client.CopyStore
	followedMember string
}

// conn is a link that something follows on.
type followerConn struct {
	pipe *transport.FrameConn
	name string
}

// voteLink is what goes to and comes from another voter, each on a connection of its own.
type voterLink struct {
	peer    client.Member
	inbound *transport.FrameConn

	mu       sync.Mutex
	outbound *transport.FrameConn
}

// Run runs a member until ctx ends.
func Run(ctx context.Context, p *client.ControlPlane, name string, o Options, log *slog.Logger) error {
	self, err := p.FindMember(name)
	if err != nil {
		return err
	}
	m := &Member{controlPlane: p, self: self, options: o, clock: clock.New(), log: log, refusedLog: rate.Sometimes{Interval: refusedLogInterval},
		callSlots: make(chan struct{}, maxCalls), mailbox: mailbox.New[func()](), followers: map[uint64]*followerConn{}}
	m.ctx, m.cancel = context.WithCancelCause(ctx)
	defer m.cancel(nil)
	if err := os.MkdirAll(p.StateDir, 0o700); err != nil {
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
	m.server = controlplane.NewServer(controlplane.ServerConfig{Seed: rand.Uint64()}, m.clock.Now())
	m.served.freshAt = math.Inf(-1)
	log.Info("member of the control plane", "name", name, "region", self.Region, "voter", self.Voter, "address", l.Addr().String(), "version", o.Version)
	m.wg.Go(m.run)
	m.wg.Go(func() { m.acceptConnections(l) })
	for id, v := range m.voterLinks {
		m.wg.Go(func() { m.maintainVoterLink(id, v) })
	}
	if m.followerLink != nil {
		m.wg.Go(func() { m.copyStore.Run(m.ctx) })
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
func voterID(name string) uint64 { return max(xxhash.Sum64String(name), 1) }

func (m *Member) openVoter() error {
	m.voterID, m.voterNames, m.voterIDs, m.voterLinks = voterID(m.self.Name), map[uint64]string{}, map[string]uint64{}, map[uint64]*voterLink{}
	m.proposalReplies = map[uint64]chan<- controlplane.Result{}
	var ids []uint64
	for _, v := range m.controlPlane.Members {
		if !v.Voter {
			continue
		}
		id := voterID(v.Name)
		ids = append(ids, id)
		m.voterNames[id], m.voterIDs[v.Name] = v.Name, id
		if id != m.voterID {
			m.voterLinks[id] = &voterLink{peer: v}
		}
	}
	var begin *controlplane.StoredState
	if m.options.Bootstrap {
		begin = controlplane.Bootstrap(ids)
	}
	s, kept, err := openVoterStore(filepath.Join(m.controlPlane.StateDir, m.self.Name+".db"), m.controlPlane.Fleet+"/"+m.self.Name, begin)
	if err != nil {
		return err
	}
	v, err := controlplane.NewVoter(controlplane.VoterConfig{ID: m.voterID, Voters: ids, Seed: rand.Uint64()}, kept, m.clock.Now())
	if err != nil {
		_ = s.close()
		return err
	}
	m.store, m.voter = s, v
	return nil
}

func (m *Member) openRelay() error {
	if m.options.Bootstrap {
		return fmt.Errorf("%s is no voter: nothing to bootstrap", m.self.Name)
	}
	disk, held, err := client.OpenCopyStore(filepath.Join(m.controlPlane.StateDir, m.self.Name+".copy"), m.controlPlane.Fleet, m.log)
	if err != nil {
		return err
	}
	if !disk.HasLock() {
		return fmt.Errorf("%s: another process has its state in %s", m.self.Name, m.controlPlane.StateDir)
	}
	var voters []client.Member
	for _, v := range m.controlPlane.Members {
		if v.Voter {
			voters = append(voters, v)
		}
	}
	m.copyStore = disk
	t := client.Config{Fleet: m.controlPlane.Fleet, Name: m.self.Name, Region: m.self.Region, Members: voters, Keys: m.controlPlane.Keys, Kind: controlplane.KindMember}
	m.followerLink = client.NewFollowerLink(m.ctx, t, held, m.clock.Now, m.mailbox.Put, m.wg.Go, func(t controlplane.DocumentUpdate) {
		m.followerLink.VersionApplied(m.clock.Now(), t.Version)
		m.copyStore.QueueWrite(controlplane.VersionedDocument{Version: t.Version, Document: t.Document})
	}, m.logRefused)
	if held.Version > 0 {
		m.followerLink.VersionApplied(m.clock.Now(), held.Version)
	}
	return nil
}

func (m *Member) close() {
	if m.store != nil {
		_ = m.store.close()
	}
	if m.copyStore != nil {
		m.copyStore.Close()
	}
}

func (m *Member) run() {
	tick := time.NewTicker(controlplane.TickIntervalMs * time.Millisecond)
	defer tick.Stop()
	defer func() {
		for _, c := range m.followers {
			c.pipe.Close()
		}
		for _, v := range m.voterLinks {
			if v.inbound != nil {
				v.inbound.Close()
			}
		}
		if m.followerLink != nil {
			m.followerLink.Disconnect()
		}
	}()
	var notes []func()
	for {
		m.carryOutDecisions()
		select {
		case <-m.ctx.Done():
			return
		case <-m.mailbox.Ready():
			notes = m.mailbox.TakeAll(notes)
			for _, note := range notes {
				note()
			}
		case <-tick.C:
			now := m.clock.Now()
			m.server.Tick(now)
			if m.voter != nil {
				m.voter.Tick(now)
			} else {
				m.followerLink.Tick(now)
			}
		}
	}
}

// pull carries out what the core has decided, in its order.
func (m *Member) carryOutDecisions() {
	freshAt := 0.0
	var history *controlplane.History
	if m.voter != nil {
		if !m.carryOutVoterDecisions() {
			return
		}
		history, freshAt = m.voter.History(), m.voter.FreshAsOf()
	} else {
		m.followerLink.CarryOutDecisions()
		history, freshAt = m.followerLink.History(), m.followerLink.FreshAsOf()
		if member := m.followerLink.State(m.clock.Now()).Member; member != m.followedMember {
			if member == "" {
				m.log.Warn("control plane lost", "member", m.followedMember)
			} else {
				m.log.Info("control plane followed", "member", member)
			}
			m.followedMember = member
		}
	}
	if head, _ := history.Head(); head != m.served.version || freshAt != m.served.freshAt {
		m.served.version, m.served.freshAt = head, freshAt
		m.server.SetHistory(m.clock.Now(), history, freshAt)
	}
	for {
		o, more := m.server.Next()
		if !more {
			return
		}
		c := m.followers[o.Conn]
		switch {
		case c == nil:
		case o.Disconnect:
			m.log.Info("follower cut off", "name", c.name, "why", o.DisconnectReason)
			c.pipe.Close()
			delete(m.followers, o.Conn)
		default:
			c.pipe.Send(o.Frame)
		}
	}
}

func (m *Member) carryOutVoterDecisions() (goesOn bool) {
	for {
		o, more := m.voter.Next()
		switch {
		case !more:
			if fault := m.voter.StoreFault(); fault != "" {
				m.cancel(fmt.Errorf("voter's store: %s", fault))
				return false
			}
			if leader := m.voter.Leader(); leader != m.leader {
				m.leader = leader
				m.log.Info("leader", "name", m.voterNames[leader])
			}
			return true
		case o.Persist != nil:
			begun := time.Now()
			if err := m.store.persist(o.Persist); err != nil { // what a voter has said it must have
				m.cancel(fmt.Errorf("voter's store: %w", err))
				return false
			}
			if took := time.Since(begun); took > slowPersistThreshold {
				m.log.Warn("voter's disk is slow", "took_ms", took.Milliseconds())
			}
		case o.Send != nil:
			if v := m.voterLinks[o.Send.To]; v != nil {
				v.send(o.Send.Data)
			}
		case o.Reply != nil:
			if told := m.proposalReplies[o.Reply.ID]; told != nil {
				delete(m.proposalReplies, o.Reply.ID)
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

func (v *voterLink) send(data []byte) {
	v.mu.Lock()
	p := v.outbound
	v.mu.Unlock()
	if p != nil && p.QueuedBytes() < maxVoterQueueMiB<<20 {
		p.Send(data)
	}
}

// reach keeps a link to another voter.
func (m *Member) maintainVoterLink(id uint64, v *voterLink) {
	wait := minRedialBackoff
	for m.ctx.Err() == nil {
		p, err := client.OpenLink(m.ctx, m.controlPlane.Fleet, m.controlPlane.Keys, m.self.Name, v.peer, client.PurposeVote)
		if err == nil {
			wait = minRedialBackoff
			v.mu.Lock()
			v.outbound = p
			v.mu.Unlock()
			stop := context.AfterFunc(m.ctx, p.Close)
			err = p.Run(0, voterIdleTimeout, func([]byte) {}, nil)
			stop()
			v.mu.Lock()
			v.outbound = nil
			v.mu.Unlock()
			m.log.Warn("voter lost", "name", v.peer.Name, "error", err)
		} else if errors.Is(err, transport.ErrWrongKey) {
			m.logRefused(v.peer.Name, err)
		}
		select {
		case <-m.ctx.Done():
		case <-time.After(wait/2 + rand.N(wait)):
		}
		wait = min(wait*2, maxRedialBackoff)
	}
}

// sayOdd logs now and then what links end by that should not be.
func (m *Member) logRefused(who string, err error) {
	m.refusedSinceLog.Add(1)
	m.refusedLog.Do(func() { m.log.Warn("link refused", "who", who, "error", err, "since_last", m.refusedSinceLog.Swap(0)) })
}

func (m *Member) acceptConnections(l net.Listener) {
	unproven := make(chan struct{}, maxUnauthenticated)
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
			case <-time.After(acceptRetryDelay):
			case <-m.ctx.Done():
			}
			continue
		}
		m.wg.Go(func() { m.serveConnection(c, sync.OnceFunc(func() { <-unproven })) })
	}
}

// hear takes a link that another process opens, for what it says that it is for.
func (m *Member) serveConnection(c net.Conn, proved func()) {
	defer proved()
	defer c.Close()
	stop := context.AfterFunc(m.ctx, func() { _ = c.Close() })
	defer stop()
	p := transport.NewFrameConn(c)
	who := c.RemoteAddr().String()
	from, _, err := transport.ServerHandshake(c, p.Reader(), m.controlPlane.Keys, client.HandshakeFleet(m.controlPlane.Fleet), m.self.Name, m.incarnation())
	what := ""
	if err == nil {
		_ = c.SetReadDeadline(time.Now().Add(headerTimeout))
		var data []byte
		if data, err = transport.ReadFrame(p.Reader(), maxHeaderBytes); err == nil {
			what, err = client.DecodeLinkHeader(data)
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
		case client.PurposeFollow:
			err = m.serveFollower(p, from)
		case client.PurposeVote:
			err = m.serveVoter(p, from)
		case client.PurposeCall:
			err = m.serveCall(p)
		default:
			err = fmt.Errorf("a link for %.20q", what)
		}
	}
	if err != nil && m.ctx.Err() == nil {
		m.logRefused(who, err)
	}
}

const (
	headerTimeout  = 2 * time.Second
	maxHeaderBytes = 1 << 10
)

// life is what handshakes tell processes of one name apart by; nothing here asks for it.
func (m *Member) incarnation() uint64 { return max(uint64(m.clock.Now()), 1) }

var errTooManyFollowers = errors.New("too many links")

// serve has a follower followed until its link ends; ends that can be are no error.
func (m *Member) serveFollower(p *transport.FrameConn, name string) error {
	told := make(chan uint64, 1)
	m.mailbox.Put(func() {
		if len(m.followers) >= maxFollowers {
			told <- 0
			return
		}
		m.lastFollowerID++
		m.followers[m.lastFollowerID] = &followerConn{p, name}
		m.server.AddConnection(m.clock.Now(), m.lastFollowerID, name)
		told <- m.lastFollowerID
	})
	var id uint64
	select {
	case id = <-told:
	case <-m.ctx.Done():
		return nil
	}
	if id == 0 {
		return errTooManyFollowers
	}
	odd := make(chan error, 1)
	room := make(chan struct{}, maxQueuedFrames)
	err := p.Run(controlplane.MaxFrameBytes, controlplane.LeaseDurationMs*time.Millisecond, func(data []byte) {
		select {
		case room <- struct{}{}:
		case <-m.ctx.Done():
			return
		}
		m.mailbox.Put(func() {
			<-room
			if m.followers[id] == nil {
				return
			}
			if err := m.server.HandleFrame(m.clock.Now(), id, data); err != nil {
				delete(m.followers, id)
				odd <- err // at most once: it is served no more
				p.Close()
			}
		})
	}, func(bytes int) {
		m.mailbox.Put(func() {
			if m.followers[id] != nil {
				m.server.BytesWritten(m.clock.Now(), id, bytes)
			}
		})
	})
	m.mailbox.Put(func() {
		in, out, _, _ := p.Traffic()
		m.closedBytesIn += in
		m.closedBytesOut += out
		if m.followers[id] != nil {
			delete(m.followers, id)
			m.server.RemoveConnection(m.clock.Now(), id)
		}
	})
	select {
	case err = <-odd:
		return err
	default:
	}
	return ignoreExpectedClose(err)
}

// unusual is an end that should not be: a frame too long, no end of a connection.
func ignoreExpectedClose(err error) error {
	var long *transport.FrameTooLongError
	if errors.As(err, &long) {
		return err
	}
	return nil
}

// vote takes another voter's messages; a later link takes the place of one before.
func (m *Member) serveVoter(p *transport.FrameConn, name string) error {
	id := m.voterIDs[name]
	v := m.voterLinks[id]
	if v == nil {
		return fmt.Errorf("%.40q is no other voter", name)
	}
	m.mailbox.Put(func() {
		if v.inbound != nil {
			v.inbound.Close()
		}
		v.inbound = p
	})
	over := make(chan struct{})
	defer close(over)
	m.wg.Go(func() { // so that the caller knows the link to carry
		tick := time.NewTicker(voterKeepaliveInterval)
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
	room := make(chan struct{}, maxQueuedFrames)
	return ignoreExpectedClose(p.Run(controlplane.MaxFrameBytes, 0, func(data []byte) {
		select {
		case room <- struct{}{}:
		case <-m.ctx.Done():
			return
		}
		m.mailbox.Put(func() {
			<-room
			if v.inbound == p {
				m.voter.HandleMessage(m.clock.Now(), id, data)
			}
		})
	}, nil))
}

// validator tells whether a text can be put in force by nodes that have the head. It keeps what it read last: the next head is mostly
// the text that it has just allowed, and reading 140,000 tenants takes a second.
type validator struct {
	mu    sync.Mutex
	cache [2]struct {
		digest controlplane.Digest
		told   *config.Deployment
	}
}

func (v *validator) check(next *controlplane.Document, version uint64, head *controlplane.Document) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	told, err := v.parse(next)
	if err != nil || version == 0 {
		return err
	}
	old, err := v.parse(head)
	if err != nil {
		return nil // a head that no node can read is not to keep a better one out
	}
	return told.CheckReplaces(old)
}

func (v *validator) parse(d *controlplane.Document) (*config.Deployment, error) {
	digest := d.Digest()
	for k := range v.cache {
		if v.cache[k].told != nil && v.cache[k].digest == digest {
			return v.cache[k].told, nil
		}
	}
	told, err := config.ParseShared(d.Text(), nil)
	if err == nil {
		v.cache[1] = v.cache[0]
		v.cache[0].digest, v.cache[0].told = digest, told
	}
	return told, err
}
