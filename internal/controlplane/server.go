package controlplane

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
)

const (
	HeartbeatIntervalMs = 1000.0 // between two of a server's
	LeaseDurationMs     = 6000.0 // a follower that was not heard for so long is not told of any more

	statusInterval      = 2000.0    // between two of a follower's
	followerRate        = 128.0     // bytes a ms of a whole, or of what was missed, to one follower: 128 KB/s
	totalRate           = 2048.0    // and to all: 2 MB/s, a fifth of a slow network card
	maxChunkBytes       = 16 << 10  // a change waits behind one at most, to each
	minChunkBytes       = 512       // over a link of 1 KB/s that is half a second, so that heartbeats are in time
	maxUnwrittenBytes   = 1 << 20   // bytes that a follower leaves unread before it is cut off
	maxCatchUpBytes     = 64 << 10  // of what was missed, unread
	fastChunkMs         = 600.0     // ms: a chunk that was had so soon is followed by larger ones
	slowChunkMs         = 1200.0    // and so late, by smaller ones
	statusTimeout       = 10e3      // ms without a status, after which a connection is given up
	maxLeases           = 16 << 10  // followers known: ten times the fleet
	maxArrivals         = 4096      // versions whose time of arrival is known
	maxSnapshotLagBytes = 256 << 10 // bytes of changes since a packed whole, after which it is packed anew
)

// Server is what a member says to its followers: changes as they come, to each what it lacks, and how old all of it can be.
type Server struct {
	config         ServerConfig
	rng            *rand.Rand
	history        *History
	headVersion    uint64
	freshAsOf      float64
	conns          map[uint64]*followerConn
	connOrder      []*followerConn // as they came: chunks go round
	nextConn       int
	leases         map[string]*lease
	byteCredit     float64 // bytes for wholes, to all
	lastTickAt     float64
	cachedSnapshot *packedDocument
	arrivals       []float64 // when the latest versions came here, up to the head
	outputs        []ServerOutput
}

type followerConn struct {
	id               uint64
	name             string
	helloReceived    bool
	region           string
	kind             string
	sentVersion      uint64 // version up to which all was sent
	caughtUp         bool   // it has been sent the head: changes go as they come
	snapshot         *packedDocument
	snapshotSent     int // bytes of it sent
	snapshotReceived int // and had
	chunkWindow      int
	chunkSentAt      float64 // when the oldest chunk not had was sent; 0 is none
	byteCredit       float64
	unwrittenBytes   int     // bytes not written yet
	statusSentAt     float64 // its latest status, by its clock
	statusReceivedAt float64 // and by this one
	nextHeartbeatAt  float64
}

// packed is a document as it goes out whole.
type packedDocument struct {
	version   uint64
	digest    Digest
	textBytes int
	size      int // of data, once all of it is there
	data      []byte
}

type lease struct {
	Lease
	ageAt float64 // when it said its age
}

func NewServer(t ServerConfig, now float64) *Server {
	return &Server{config: t, rng: rand.New(rand.NewPCG(t.Seed, 1)), history: newHistory(0, emptyDocument(), 0), freshAsOf: math.Inf(-1),
		conns: map[uint64]*followerConn{}, leases: map[string]*lease{}, lastTickAt: now}
}

// Set tells what is to be served, whenever the head or its freshness has changed. The history may go on in place.
func (s *Server) SetHistory(now float64, h *History, freshAt float64) {
	s.freshAsOf = max(s.freshAsOf, freshAt)
	head, _ := h.Head()
	if h == s.history && head == s.headVersion {
		return
	}
	if h != s.history {
		s.history, s.cachedSnapshot = h, nil
	}
	if head > maxArrivals {
		s.headVersion = max(s.headVersion, head-maxArrivals)
	}
	for ; s.headVersion < head; s.headVersion++ {
		s.arrivals = append(s.arrivals, now)
	}
	if n := len(s.arrivals) - maxArrivals; n > 0 {
		s.arrivals = slices.Delete(s.arrivals, 0, n)
	}
	for _, c := range slices.Clone(s.connOrder) { // one that reads too slowly is dropped
		if c.caughtUp {
			s.sendMissingChanges(now, c, true)
		}
	}
}

// Join takes a new connection, whose other end has proven to be of this name. One from before of the same name ends.
func (s *Server) AddConnection(now float64, id uint64, name string) {
	for _, c := range s.connOrder {
		if c.name == name {
			s.disconnect(c, "it has come again")
			break
		}
	}
	c := &followerConn{id: id, name: name, nextHeartbeatAt: now + s.rng.Float64()*HeartbeatIntervalMs, byteCredit: maxChunkBytes, statusReceivedAt: now}
	s.conns[id] = c
	s.connOrder = append(s.connOrder, c)
}

func (s *Server) RemoveConnection(_ float64, id uint64) {
	if c := s.conns[id]; c != nil {
		s.removeConn(c)
	}
}

func (s *Server) removeConn(c *followerConn) {
	delete(s.conns, c.id)
	k := slices.Index(s.connOrder, c)
	s.connOrder = slices.Delete(s.connOrder, k, k+1)
	if s.nextConn > k {
		s.nextConn--
	}
}

func (s *Server) disconnect(c *followerConn, why string) {
	s.removeConn(c)
	s.outputs = append(s.outputs, ServerOutput{Conn: c.id, Disconnect: true, DisconnectReason: why})
}

// Sent tells that so many bytes of frames have been written.
func (s *Server) BytesWritten(now float64, id uint64, bytes int) {
	if c := s.conns[id]; c != nil {
		c.unwrittenBytes = max(c.unwrittenBytes-bytes, 0)
	}
}

// Frame takes what a follower says; an error ends its connection, which the server has forgotten by then.
func (s *Server) HandleFrame(now float64, id uint64, data []byte) error {
	c := s.conns[id]
	if c == nil {
		return nil // it is being hung up
	}
	err := s.handleStatus(now, c, data)
	if err != nil {
		s.removeConn(c)
	}
	return err
}

func (s *Server) handleStatus(now float64, c *followerConn, data []byte) error {
	kind, body, err := parseFrame(data)
	if err != nil {
		return err
	}
	if kind != frameHello && kind != frameStatus || kind == frameStatus && !c.helloReceived {
		return fmt.Errorf("%w: kind %d", errMalformedFrame, kind)
	}
	st, err := decodeStatus(body)
	if err != nil {
		return err
	}
	if kind == frameHello {
		if st.Kind != KindNode && st.Kind != KindMember || len(st.Region) > maxNameBytes || len(st.Digest) != len(Digest{}) {
			return fmt.Errorf("%w: a hello of kind %.20q", errMalformedFrame, st.Kind)
		}
		c.region, c.kind = st.Region, st.Kind
		c.helloReceived, c.caughtUp, c.snapshot, c.snapshotSent, c.snapshotReceived, c.chunkSentAt = true, false, nil, 0, 0, 0
		c.sentVersion = st.StoredVersion
		if have, known := s.history.digestAt(st.StoredVersion); st.NeedsSnapshot || known && have != Digest(st.Digest) {
			c.sentVersion = math.MaxUint64 // nobody's: the whole goes
		}
		c.nextHeartbeatAt = min(c.nextHeartbeatAt, now+s.rng.Float64()*HeartbeatIntervalMs/4) // how old it can be is known soon
	}
	c.statusSentAt, c.statusReceivedAt = st.SentAt, now
	l := s.leases[c.name] // where it was silent for a while, there is none any more
	if l == nil {
		if len(s.leases) >= maxLeases {
			return fmt.Errorf("more than %d followers", maxLeases)
		}
		l = &lease{}
		s.leases[c.name] = l
	}
	l.Name, l.Region, l.Kind = c.name, c.region, c.kind
	l.StoredVersion, l.AppliedVersion, l.RejectedVersion, l.RejectReason, l.StalenessMs, l.LastSeenAt, l.ageAt = st.StoredVersion, st.AppliedVersion, st.RejectedVersion, st.RejectReason, st.StalenessMs, now, now
	if c.snapshot != nil && int(min(st.SnapshotReceived, uint64(c.snapshotSent))) > c.snapshotReceived {
		switch took := now - c.chunkSentAt; {
		case took <= fastChunkMs:
			c.chunkWindow = min(2*c.chunkWindow, 2*maxChunkBytes)
		case took > slowChunkMs:
			c.chunkWindow = max(c.chunkWindow/2, minChunkBytes)
		}
		c.snapshotReceived, c.chunkSentAt = int(st.SnapshotReceived), now
	}
	s.sendMissingChanges(now, c, kind == frameHello)
	return nil
}

func (s *Server) enqueueFrame(c *followerConn, frame []byte) {
	c.unwrittenBytes += len(frame)
	s.outputs = append(s.outputs, ServerOutput{Conn: c.id, Frame: frame})
}

// bring sends one follower what it lacks: all at once, where it had the head before this change, else as its rate allows.
func (s *Server) sendMissingChanges(now float64, c *followerConn, live bool) {
	head, doc := s.history.Head()
	if !c.helloReceived || c.snapshot != nil || head == 0 { // of nothing there is no whole
		return
	}
	if c.sentVersion >= head && c.sentVersion != math.MaxUint64 {
		c.caughtUp = c.sentVersion == head || c.caughtUp
		return
	}
	oldest := s.history.oldestVersion()
	if c.sentVersion < oldest || c.sentVersion > head {
		s.beginSnapshot(c)
		return
	}
	missed := s.history.changes[c.sentVersion-oldest:]
	bytes := 0
	for _, k := range missed {
		if k.frame == nil { // too large to go as a change
			s.beginSnapshot(c)
			return
		}
		bytes += len(k.frame)
	}
	if bytes > max(maxCatchUpBytes, len(doc.text)/8) { // about what the whole takes
		s.beginSnapshot(c)
		return
	}
	for _, k := range missed {
		if !c.caughtUp || !live {
			if c.byteCredit <= 0 || s.byteCredit <= 0 || c.unwrittenBytes > maxCatchUpBytes {
				c.caughtUp = false
				return
			}
			c.byteCredit -= float64(len(k.frame))
			s.byteCredit -= float64(len(k.frame))
		}
		s.enqueueFrame(c, k.frame)
		c.sentVersion = k.change.Version
	}
	c.caughtUp = true
	if c.unwrittenBytes > maxUnwrittenBytes {
		s.disconnect(c, fmt.Sprintf("it has left %d bytes unread", c.unwrittenBytes))
	}
}

// begin sends the whole from now on. One packed for others is good as long as the rest is kept and small.
func (s *Server) beginSnapshot(c *followerConn) {
	head, doc := s.history.Head()
	p := s.cachedSnapshot
	fits := p != nil && p.version >= s.history.oldestVersion() && p.version <= head
	if fits {
		bytes := 0
		for _, k := range s.history.changes[p.version-s.history.oldestVersion():] {
			if bytes += len(k.frame); k.frame == nil {
				bytes = maxSnapshotLagBytes + 1
			}
		}
		fits = bytes <= min(maxSnapshotLagBytes, max(maxCatchUpBytes, len(doc.text)/16))
	}
	if !fits {
		p = &packedDocument{version: head, digest: doc.digest, textBytes: len(doc.text), data: compress([]byte(doc.text))}
		s.cachedSnapshot = p
	}
	c.caughtUp, c.snapshot, c.snapshotSent, c.snapshotReceived, c.chunkWindow, c.chunkSentAt = false, p, 0, 0, 4*minChunkBytes, 0
	s.enqueueFrame(c, encodeFrame(frameSnapshotBegin, &snapshotBegin{Version: p.version, Digest: p.digest[:], Size: uint64(len(p.data)), TextBytes: uint64(p.textBytes)}))
}

// Tick lets time pass: heartbeats, and what goes at a rate.
func (s *Server) Tick(now float64) {
	past := max(now-s.lastTickAt, 0)
	s.lastTickAt = now
	s.byteCredit = min(s.byteCredit+past*totalRate, 2*TickIntervalMs*totalRate)
	for _, c := range slices.Clone(s.connOrder) {
		if now-c.statusReceivedAt > statusTimeout {
			s.disconnect(c, "it is silent")
			continue
		}
		c.byteCredit = min(c.byteCredit+past*followerRate, 2*maxChunkBytes)
		if c.helloReceived && now >= c.nextHeartbeatAt {
			every := HeartbeatIntervalMs
			if c.kind == KindMember { // what it tells is older by that
				every /= 2
			}
			c.nextHeartbeatAt = max(c.nextHeartbeatAt+every, now+every/2)
			s.sendHeartbeat(now, c)
		}
	}
	for n, idle := len(s.connOrder), 0; n > 0 && idle < n && s.byteCredit > 0; {
		if s.nextConn >= n {
			s.nextConn = 0
		}
		c := s.connOrder[s.nextConn]
		s.nextConn++
		if idle++; s.sendNextChunk(now, c) {
			idle = 0
		}
		if n = len(s.connOrder); n == 0 {
			break
		}
	}
	for name, l := range s.leases {
		if now-l.LastSeenAt > LeaseDurationMs {
			delete(s.leases, name)
		}
	}
}

func (s *Server) sendHeartbeat(now float64, c *followerConn) {
	head, doc := s.history.Head()
	b := heartbeat{HeadVersion: head, HeadDigestPrefix: doc.digest.prefix(), StalenessMs: max(now-s.freshAsOf, 0), StatusSentAt: c.statusSentAt, FreshnessOffset: s.freshAsOf - c.statusReceivedAt}
	if c.snapshot != nil {
		b.SnapshotSent = uint64(c.snapshotSent)
	} else {
		b.SentVersion = c.sentVersion
	}
	s.enqueueFrame(c, encodeFrame(frameHeartbeat, &b))
	if c.unwrittenBytes > maxUnwrittenBytes {
		s.disconnect(c, fmt.Sprintf("it has left %d bytes unread", c.unwrittenBytes))
	}
}

// chunk sends a follower the next of what goes at a rate, if it may.
func (s *Server) sendNextChunk(now float64, c *followerConn) bool {
	if c.snapshot == nil {
		before := c.sentVersion
		if c.helloReceived && !c.caughtUp {
			s.sendMissingChanges(now, c, false)
		}
		return c.sentVersion != before
	}
	left := len(c.snapshot.data) - c.snapshotSent
	n := min(left, c.chunkWindow-(c.snapshotSent-c.snapshotReceived), maxChunkBytes, max(c.chunkWindow/2, minChunkBytes))
	if left == 0 {
		if c.snapshotReceived == c.snapshotSent { // it has all of it; what came since goes next
			c.sentVersion, c.snapshot = c.snapshot.version, nil
			s.sendMissingChanges(now, c, false)
			return true
		}
		return false
	}
	if n <= 0 || n < min(left, minChunkBytes) || c.byteCredit < float64(n) {
		return false
	}
	if c.chunkSentAt == 0 || c.snapshotSent == c.snapshotReceived {
		c.chunkSentAt = now
	}
	c.byteCredit -= float64(n)
	s.byteCredit -= float64(n)
	s.enqueueFrame(c, encodeFrame(frameSnapshotChunk, &snapshotChunk{Offset: uint64(c.snapshotSent), Data: c.snapshot.data[c.snapshotSent : c.snapshotSent+n]}))
	c.snapshotSent += n
	return true
}

// Next is what is to be done next.
func (s *Server) Next() (ServerOutput, bool) {
	if len(s.outputs) == 0 {
		return ServerOutput{}, false
	}
	o := s.outputs[0]
	s.outputs[0] = ServerOutput{}
	if s.outputs = s.outputs[1:]; len(s.outputs) == 0 {
		s.outputs = nil
	}
	return o, true
}

// Leases are the followers heard of lately, by name.
func (s *Server) Leases(now float64) (all []Lease) {
	for _, l := range s.leases {
		if now-l.LastSeenAt > LeaseDurationMs {
			continue
		}
		x := l.Lease
		x.StalenessMs += now - l.ageAt
		if x.AppliedVersion < s.headVersion {
			x.BehindMs = now - s.arrivalOf(x.AppliedVersion+1)
		}
		all = append(all, x)
	}
	slices.SortFunc(all, func(a, b Lease) int { return cmp.Compare(a.Name, b.Name) })
	return all
}

// cameAt is when a version came here; of one from long before, when the oldest known did.
func (s *Server) arrivalOf(version uint64) float64 {
	k := int(version) - int(s.headVersion) + len(s.arrivals) - 1
	return s.arrivals[max(k, 0)]
}
