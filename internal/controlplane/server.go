package controlplane

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
)

const (
	// HeartbeatIntervalMs is the time between two heartbeats of a server to a node. A relay gets them twice as often, because its own
	// followers see its staleness on top of their own.
	HeartbeatIntervalMs = 1000.0

	// statusTimeoutMs is the time without a status after which a connection is closed: five statuses have been lost by then.
	statusTimeoutMs = 10e3
	// maxUnwrittenBytes bounds the bytes that wait to be written to a follower. A follower above it is disconnected, because followers
	// that read too slowly would otherwise exhaust the server's memory.
	maxUnwrittenBytes = 1 << 20
)

// Server serves a history to the followers of a member. It sends each change when it is committed, the changes or the snapshot that a
// follower lacks, and heartbeats that bound the staleness of the followers' copies.
//
// The caller carries out what Next returns. Server is not safe for concurrent use.
type Server struct {
	rng         *rand.Rand
	history     *History
	headVersion uint64 // head of history as of the last SetHistory
	freshAsOf   float64
	conns       map[uint64]*followerConn
	connOrder   []*followerConn // in the order in which they were added
	lastTickAt  float64
	outputs     []ServerOutput

	// Catching up: server_catchup.go.
	nextConn       int     // index in connOrder of the connection whose turn is next
	byteCredit     float64 // bytes that may be sent to all followers together
	cachedSnapshot *compressedDocument

	// Leases: server_leases.go.
	leases   map[string]*Lease // by follower's name
	arrivals []float64         // times at which the latest versions, up to the head, arrived here
}

// followerConn is the state of a follower's connection.
type followerConn struct {
	id            uint64
	name          string
	helloReceived bool
	region        string
	kind          string

	sentVersion      uint64 // all changes up to it were sent; noVersion if changes can't be applied to the follower's copy
	caughtUp         bool   // the head was sent: later changes are sent without rate limits
	snapshot         *compressedDocument
	snapshotSent     int // bytes
	snapshotReceived int // bytes, according to the follower's statuses
	chunkWindow      int // bytes of the snapshot that may be in flight
	chunkSentAt      float64
	byteCredit       float64 // bytes that may be sent to this follower
	unwrittenBytes   int

	statusSentAt     float64 // SentAt of the latest status, by the follower's clock
	statusReceivedAt float64
	nextHeartbeatAt  float64
}

// noVersion is the sentVersion of a follower whose copy differs from this history: it needs a snapshot.
const noVersion = math.MaxUint64

// NewServer returns a server that has nothing to serve until SetHistory.
func NewServer(config ServerConfig, now float64) *Server {
	return &Server{
		rng:        rand.New(rand.NewPCG(config.Seed, 1)),
		history:    newHistory(0, emptyDocument(), 0),
		freshAsOf:  math.Inf(-1),
		conns:      map[uint64]*followerConn{},
		leases:     map[string]*Lease{},
		lastTickAt: now,
	}
}

// SetHistory sets the history to serve. The caller calls it whenever the head has changed, and whenever freshAsOf has: the time as of
// which the history contains every acknowledged change. The history may be updated in place between calls.
func (s *Server) SetHistory(now float64, history *History, freshAsOf float64) {
	s.freshAsOf = max(s.freshAsOf, freshAsOf)
	head, _ := history.Head()
	if history == s.history && head == s.headVersion {
		return
	}
	if history != s.history {
		s.history, s.cachedSnapshot = history, nil
	}
	s.recordArrivals(now, head)
	for _, c := range slices.Clone(s.connOrder) { // sendMissingChanges removes a follower that reads too slowly
		if c.caughtUp {
			s.sendMissingChanges(c, true)
		}
	}
}

// AddConnection adds a connection of a follower that has proven its name. An earlier connection of the same name is closed.
func (s *Server) AddConnection(now float64, id uint64, name string) {
	for _, c := range s.connOrder {
		if c.name == name {
			s.disconnect(c, "replaced by a newer connection of the same name")
			break
		}
	}
	c := &followerConn{
		id:               id,
		name:             name,
		nextHeartbeatAt:  now + s.rng.Float64()*HeartbeatIntervalMs,
		byteCredit:       maxChunkBytes,
		statusReceivedAt: now,
	}
	s.conns[id] = c
	s.connOrder = append(s.connOrder, c)
}

// RemoveConnection removes a connection that has ended.
func (s *Server) RemoveConnection(_ float64, id uint64) {
	if c := s.conns[id]; c != nil {
		s.removeConn(c)
	}
}

func (s *Server) removeConn(c *followerConn) {
	delete(s.conns, c.id)
	i := slices.Index(s.connOrder, c)
	s.connOrder = slices.Delete(s.connOrder, i, i+1)
	if s.nextConn > i {
		s.nextConn--
	}
}

func (s *Server) disconnect(c *followerConn, reason string) {
	s.removeConn(c)
	s.outputs = append(s.outputs, ServerOutput{Conn: c.id, Disconnect: true, DisconnectReason: reason})
}

// BytesWritten records the number of bytes of frames that have been written to a connection.
func (s *Server) BytesWritten(_ float64, id uint64, bytes int) {
	if c := s.conns[id]; c != nil {
		c.unwrittenBytes = max(c.unwrittenBytes-bytes, 0)
	}
}

func (s *Server) enqueueFrame(c *followerConn, frame []byte) {
	c.unwrittenBytes += len(frame)
	s.outputs = append(s.outputs, ServerOutput{Conn: c.id, Frame: frame})
}

func (s *Server) disconnectSlowReader(c *followerConn) {
	if c.unwrittenBytes > maxUnwrittenBytes {
		s.disconnect(c, fmt.Sprintf("slow reader: %d bytes unread", c.unwrittenBytes))
	}
}

// HandleFrame handles a frame from a follower. After an error the connection is removed, and the caller closes it.
func (s *Server) HandleFrame(now float64, id uint64, data []byte) error {
	c := s.conns[id]
	if c == nil {
		return nil // the connection was removed, and the caller has yet to close it
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
		if err := s.handleHello(now, c, &st); err != nil {
			return err
		}
	}
	c.statusSentAt, c.statusReceivedAt = st.SentAt, now
	if err := s.renewLease(now, c, &st); err != nil {
		return err
	}
	c.recordSnapshotProgress(now, &st)
	s.sendMissingChanges(c, false)
	return nil
}

// handleHello starts to serve the follower from the version that it has stored. A hello may come at any time on a connection.
func (s *Server) handleHello(now float64, c *followerConn, st *status) error {
	if st.Kind != KindNode && st.Kind != KindMember || len(st.Region) > maxNameBytes || len(st.Digest) != len(Digest{}) {
		return fmt.Errorf("%w: invalid hello of follower kind %.20q", errMalformedFrame, st.Kind)
	}
	c.region, c.kind, c.helloReceived = st.Region, st.Kind, true
	c.caughtUp, c.snapshot = false, nil
	c.snapshotSent, c.snapshotReceived, c.chunkSentAt = 0, 0, 0
	c.sentVersion = st.StoredVersion
	// A version with another digest comes from another history, such as that of a fleet that was bootstrapped again: changes can't be
	// applied to it.
	if digest, known := s.history.digestAt(st.StoredVersion); st.NeedsSnapshot || known && digest != Digest(st.Digest) {
		c.sentVersion = noVersion
	}
	// The first heartbeat comes early, so that a new follower knows soon how stale it is.
	c.nextHeartbeatAt = min(c.nextHeartbeatAt, now+s.rng.Float64()*HeartbeatIntervalMs/4)
	return nil
}

// Tick advances the time to now: it sends heartbeats, closes connections that have timed out, and sends the data whose rate is
// limited. The caller calls it each TickIntervalMs.
func (s *Server) Tick(now float64) {
	elapsed := max(now-s.lastTickAt, 0)
	s.lastTickAt = now
	s.byteCredit = min(s.byteCredit+elapsed*totalBytesPerMs, 2*TickIntervalMs*totalBytesPerMs)
	for _, c := range slices.Clone(s.connOrder) {
		if now-c.statusReceivedAt > statusTimeoutMs {
			s.disconnect(c, "status timeout")
			continue
		}
		c.byteCredit = min(c.byteCredit+elapsed*followerBytesPerMs, 2*maxChunkBytes)
		if c.helloReceived && now >= c.nextHeartbeatAt {
			interval := HeartbeatIntervalMs
			if c.kind == KindMember {
				interval /= 2
			}
			c.nextHeartbeatAt = max(c.nextHeartbeatAt+interval, now+interval/2)
			s.sendHeartbeat(now, c)
		}
	}
	s.sendRateLimited(now)
	s.expireLeases(now)
}

func (s *Server) sendHeartbeat(now float64, c *followerConn) {
	head, doc := s.history.Head()
	h := heartbeat{
		HeadVersion:      head,
		StalenessMs:      max(now-s.freshAsOf, 0),
		StatusSentAt:     c.statusSentAt,
		FreshnessOffset:  s.freshAsOf - c.statusReceivedAt,
		HeadDigestPrefix: doc.digest.prefix(),
	}
	if c.snapshot != nil {
		h.SnapshotSent = uint64(c.snapshotSent)
	} else {
		h.SentVersion = c.sentVersion
	}
	s.enqueueFrame(c, encodeFrame(frameHeartbeat, &h))
	s.disconnectSlowReader(c)
}

// Next returns the next decision; false if there is none.
func (s *Server) Next() (ServerOutput, bool) { return popFirst(&s.outputs) }
