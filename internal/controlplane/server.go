package controlplane

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
)

const (
	HeartbeatMs = 1000.0 // between two of a server's
	LeaseMs     = 6000.0 // a follower that was not heard for so long is not told of any more

	statusEvery = 2000.0    // between two of a follower's
	wholeRate   = 128.0     // bytes a ms of a whole, or of what was missed, to one follower: 128 KB/s
	serverRate  = 2048.0    // and to all: 2 MB/s, a fifth of a slow network card
	mostChunk   = 16 << 10  // a change waits behind one at most, to each
	leastChunk  = 512       // over a link of 1 KB/s that is half a second, so that heartbeats are in time
	mostOut     = 1 << 20   // bytes that a follower leaves unread before it is cut off
	mostAhead   = 64 << 10  // of what was missed, unread
	quickChunk  = 600.0     // ms: a chunk that was had so soon is followed by larger ones
	slowChunk   = 1200.0    // and so late, by smaller ones
	silentConn  = 10e3      // ms without a status, after which a connection is given up
	mostLeases  = 16 << 10  // followers known: ten times the fleet
	mostComes   = 4096      // versions whose time of arrival is known
	wholeAgain  = 256 << 10 // bytes of changes since a packed whole, after which it is packed anew
)

// Server is what a member says to its followers: changes as they come, to each what it lacks, and how old all of it can be.
type Server struct {
	t       ServerConfig
	chance  *rand.Rand
	h       *History
	version uint64
	freshAt float64
	conns   map[uint64]*conn
	order   []*conn // as they came: chunks go round
	turn    int
	leases  map[string]*lease
	credit  float64 // bytes for wholes, to all
	ticked  float64
	packed  *packed
	comes   []float64 // when the latest versions came here, up to the head
	out     []ServerOutput
}

type conn struct {
	id      uint64
	name    string
	heard   bool
	region  string
	kind    string
	sent    uint64 // version up to which all was sent
	live    bool   // it has been sent the head: changes go as they come
	whole   *packed
	at      int // bytes of it sent
	got     int // and had
	window  int
	chunkAt float64 // when the oldest chunk not had was sent; 0 is none
	credit  float64
	out     int     // bytes not written yet
	echo    float64 // its latest status, by its clock
	heardAt float64 // and by this one
	beatAt  float64
}

// packed is a document as it goes out whole.
type packed struct {
	version uint64
	digest  Digest
	text    int
	size    int // of data, once all of it is there
	data    []byte
}

type lease struct {
	Lease
	ageAt float64 // when it said its age
}

func NewServer(t ServerConfig, now float64) *Server {
	return &Server{t: t, chance: rand.New(rand.NewPCG(t.Seed, 1)), h: newHistory(0, nothing(), 0), freshAt: math.Inf(-1),
		conns: map[uint64]*conn{}, leases: map[string]*lease{}, ticked: now}
}

// Set tells what is to be served, whenever the head or its freshness has changed. The history may go on in place.
func (s *Server) Set(now float64, h *History, freshAt float64) {
	s.freshAt = max(s.freshAt, freshAt)
	head, _ := h.Head()
	if h == s.h && head == s.version {
		return
	}
	if h != s.h {
		s.h, s.packed = h, nil
	}
	if head > mostComes {
		s.version = max(s.version, head-mostComes)
	}
	for ; s.version < head; s.version++ {
		s.comes = append(s.comes, now)
	}
	if n := len(s.comes) - mostComes; n > 0 {
		s.comes = slices.Delete(s.comes, 0, n)
	}
	for _, c := range slices.Clone(s.order) { // one that reads too slowly is dropped
		if c.live {
			s.bring(now, c, true)
		}
	}
}

// Join takes a new connection, whose other end has proven to be of this name. One from before of the same name ends.
func (s *Server) Join(now float64, id uint64, name string) {
	for _, c := range s.order {
		if c.name == name {
			s.hangup(c, "it has come again")
			break
		}
	}
	c := &conn{id: id, name: name, beatAt: now + s.chance.Float64()*HeartbeatMs, credit: mostChunk, heardAt: now}
	s.conns[id] = c
	s.order = append(s.order, c)
}

func (s *Server) Leave(_ float64, id uint64) {
	if c := s.conns[id]; c != nil {
		s.drop(c)
	}
}

func (s *Server) drop(c *conn) {
	delete(s.conns, c.id)
	k := slices.Index(s.order, c)
	s.order = slices.Delete(s.order, k, k+1)
	if s.turn > k {
		s.turn--
	}
}

func (s *Server) hangup(c *conn, why string) {
	s.drop(c)
	s.out = append(s.out, ServerOutput{Conn: c.id, Hangup: true, Why: why})
}

// Sent tells that so many bytes of frames have been written.
func (s *Server) Sent(now float64, id uint64, bytes int) {
	if c := s.conns[id]; c != nil {
		c.out = max(c.out-bytes, 0)
	}
}

// Frame takes what a follower says; an error ends its connection, which the server has forgotten by then.
func (s *Server) Frame(now float64, id uint64, data []byte) error {
	c := s.conns[id]
	if c == nil {
		return nil // it is being hung up
	}
	err := s.take(now, c, data)
	if err != nil {
		s.drop(c)
	}
	return err
}

func (s *Server) take(now float64, c *conn, data []byte) error {
	kind, body, err := kindOf(data)
	if err != nil {
		return err
	}
	if kind != frameHello && kind != frameStatus || kind == frameStatus && !c.heard {
		return fmt.Errorf("%w: kind %d", errFrame, kind)
	}
	st, err := readStatus(body)
	if err != nil {
		return err
	}
	if kind == frameHello {
		if st.Kind != KindNode && st.Kind != KindMember || len(st.Region) > mostName || len(st.Digest) != len(Digest{}) {
			return fmt.Errorf("%w: a hello of kind %.20q", errFrame, st.Kind)
		}
		c.region, c.kind = st.Region, st.Kind
		c.heard, c.live, c.whole, c.at, c.got, c.chunkAt = true, false, nil, 0, 0, 0
		c.sent = st.Held
		if have, known := s.h.digestAt(st.Held); st.Whole || known && have != Digest(st.Digest) {
			c.sent = math.MaxUint64 // nobody's: the whole goes
		}
		c.beatAt = min(c.beatAt, now+s.chance.Float64()*HeartbeatMs/4) // how old it can be is known soon
	}
	c.echo, c.heardAt = st.At, now
	l := s.leases[c.name] // where it was silent for a while, there is none any more
	if l == nil {
		if len(s.leases) >= mostLeases {
			return fmt.Errorf("more than %d followers", mostLeases)
		}
		l = &lease{}
		s.leases[c.name] = l
	}
	l.Name, l.Region, l.Kind = c.name, c.region, c.kind
	l.Held, l.InForce, l.Refused, l.Why, l.Age, l.Seen, l.ageAt = st.Held, st.InForce, st.Refused, st.Why, st.Age, now, now
	if c.whole != nil && int(min(st.Got, uint64(c.at))) > c.got {
		switch took := now - c.chunkAt; {
		case took <= quickChunk:
			c.window = min(2*c.window, 2*mostChunk)
		case took > slowChunk:
			c.window = max(c.window/2, leastChunk)
		}
		c.got, c.chunkAt = int(st.Got), now
	}
	s.bring(now, c, kind == frameHello)
	return nil
}

func (s *Server) put(c *conn, frame []byte) {
	c.out += len(frame)
	s.out = append(s.out, ServerOutput{Conn: c.id, Frame: frame})
}

// bring sends one follower what it lacks: all at once, where it had the head before this change, else as its rate allows.
func (s *Server) bring(now float64, c *conn, live bool) {
	head, doc := s.h.Head()
	if !c.heard || c.whole != nil || head == 0 { // of nothing there is no whole
		return
	}
	if c.sent >= head && c.sent != math.MaxUint64 {
		c.live = c.sent == head || c.live
		return
	}
	oldest := s.h.oldest()
	if c.sent < oldest || c.sent > head {
		s.begin(c)
		return
	}
	missed := s.h.kept[c.sent-oldest:]
	bytes := 0
	for _, k := range missed {
		if k.frame == nil { // too large to go as a change
			s.begin(c)
			return
		}
		bytes += len(k.frame)
	}
	if bytes > max(mostAhead, len(doc.text)/8) { // about what the whole takes
		s.begin(c)
		return
	}
	for _, k := range missed {
		if !c.live || !live {
			if c.credit <= 0 || s.credit <= 0 || c.out > mostAhead {
				c.live = false
				return
			}
			c.credit -= float64(len(k.frame))
			s.credit -= float64(len(k.frame))
		}
		s.put(c, k.frame)
		c.sent = k.change.Version
	}
	c.live = true
	if c.out > mostOut {
		s.hangup(c, fmt.Sprintf("it has left %d bytes unread", c.out))
	}
}

// begin sends the whole from now on. One packed for others is good as long as the rest is kept and small.
func (s *Server) begin(c *conn) {
	head, doc := s.h.Head()
	p := s.packed
	fits := p != nil && p.version >= s.h.oldest() && p.version <= head
	if fits {
		bytes := 0
		for _, k := range s.h.kept[p.version-s.h.oldest():] {
			if bytes += len(k.frame); k.frame == nil {
				bytes = wholeAgain + 1
			}
		}
		fits = bytes <= min(wholeAgain, max(mostAhead, len(doc.text)/16))
	}
	if !fits {
		p = &packed{version: head, digest: doc.digest, text: len(doc.text), data: pack([]byte(doc.text))}
		s.packed = p
	}
	c.live, c.whole, c.at, c.got, c.window, c.chunkAt = false, p, 0, 0, 4*leastChunk, 0
	s.put(c, frame(frameBegin, &begin{Version: p.version, Digest: p.digest[:], Size: uint64(len(p.data)), Text: uint64(p.text)}))
}

// Tick lets time pass: heartbeats, and what goes at a rate.
func (s *Server) Tick(now float64) {
	past := max(now-s.ticked, 0)
	s.ticked = now
	s.credit = min(s.credit+past*serverRate, 2*TickMs*serverRate)
	for _, c := range slices.Clone(s.order) {
		if now-c.heardAt > silentConn {
			s.hangup(c, "it is silent")
			continue
		}
		c.credit = min(c.credit+past*wholeRate, 2*mostChunk)
		if c.heard && now >= c.beatAt {
			every := HeartbeatMs
			if c.kind == KindMember { // what it tells is older by that
				every /= 2
			}
			c.beatAt = max(c.beatAt+every, now+every/2)
			s.beat(now, c)
		}
	}
	for n, idle := len(s.order), 0; n > 0 && idle < n && s.credit > 0; {
		if s.turn >= n {
			s.turn = 0
		}
		c := s.order[s.turn]
		s.turn++
		if idle++; s.chunk(now, c) {
			idle = 0
		}
		if n = len(s.order); n == 0 {
			break
		}
	}
	for name, l := range s.leases {
		if now-l.Seen > LeaseMs {
			delete(s.leases, name)
		}
	}
}

func (s *Server) beat(now float64, c *conn) {
	head, doc := s.h.Head()
	b := heartbeat{Head: head, Digest: doc.digest.start(), Age: max(now-s.freshAt, 0), Echo: c.echo, Offset: s.freshAt - c.heardAt}
	if c.whole != nil {
		b.Whole = uint64(c.at)
	} else {
		b.Sent = c.sent
	}
	s.put(c, frame(frameHeartbeat, &b))
	if c.out > mostOut {
		s.hangup(c, fmt.Sprintf("it has left %d bytes unread", c.out))
	}
}

// chunk sends a follower the next of what goes at a rate, if it may.
func (s *Server) chunk(now float64, c *conn) bool {
	if c.whole == nil {
		before := c.sent
		if c.heard && !c.live {
			s.bring(now, c, false)
		}
		return c.sent != before
	}
	left := len(c.whole.data) - c.at
	n := min(left, c.window-(c.at-c.got), mostChunk, max(c.window/2, leastChunk))
	if left == 0 {
		if c.got == c.at { // it has all of it; what came since goes next
			c.sent, c.whole = c.whole.version, nil
			s.bring(now, c, false)
			return true
		}
		return false
	}
	if n <= 0 || n < min(left, leastChunk) || c.credit < float64(n) {
		return false
	}
	if c.chunkAt == 0 || c.at == c.got {
		c.chunkAt = now
	}
	c.credit -= float64(n)
	s.credit -= float64(n)
	s.put(c, frame(frameChunk, &chunk{At: uint64(c.at), Data: c.whole.data[c.at : c.at+n]}))
	c.at += n
	return true
}

// Next is what is to be done next.
func (s *Server) Next() (ServerOutput, bool) {
	if len(s.out) == 0 {
		return ServerOutput{}, false
	}
	o := s.out[0]
	s.out[0] = ServerOutput{}
	if s.out = s.out[1:]; len(s.out) == 0 {
		s.out = nil
	}
	return o, true
}

// Leases are the followers heard of lately, by name.
func (s *Server) Leases(now float64) (all []Lease) {
	for _, l := range s.leases {
		if now-l.Seen > LeaseMs {
			continue
		}
		x := l.Lease
		x.Age += now - l.ageAt
		if x.InForce < s.version {
			x.Behind = now - s.cameAt(x.InForce+1)
		}
		all = append(all, x)
	}
	slices.SortFunc(all, func(a, b Lease) int { return cmp.Compare(a.Name, b.Name) })
	return all
}

// cameAt is when a version came here; of one from long before, when the oldest known did.
func (s *Server) cameAt(version uint64) float64 {
	k := int(version) - int(s.version) + len(s.comes) - 1
	return s.comes[max(k, 0)]
}
