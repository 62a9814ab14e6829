package requestlog

import (
	"log/slog"
	"math"

	"github.com/cespare/xxhash/v2"

	"pearknot/internal/snapshot"
)

// Config is the configuration of a member.
type Config struct {
	Members     []string    // names, the same in the same order at all members
	Self        int         // this member's index among them
	Incarnation uint64      // number of this run, greater than the numbers of all earlier runs of the member
	Replicas    int         // number of replicas of each log
	Seed        uint64      // random seed of the election timeouts
	MaxLogBytes int         // maximum size of the ledger of one log
	AnswerTTL   float64     // time for which an answer is stored, in ms
	InjectedBug InjectedBug // for tests
}

const (
	// TickMs is the duration of one tick of the logs.
	TickMs = 25.0

	// pauseMs is the gap between two calls of Tick after which this process assumes that it was paused itself, rather than
	// that all other members stopped sending: ten ticks.
	pauseMs = 250.0
	// expiryIntervalMs is the time between two proposals of a leader to remove expired answers.
	expiryIntervalMs = 1000.0
)

// Member holds this process's state of all logs: its replicas, its calls, and the last reported state of the other members. It
// is not safe for concurrent use.
type Member struct {
	config Config
	self   Incarnation
	now    float64 // time of the latest input
	peers  []peer  // by member; this member's own entry is not used

	// By log. A replica is nil where this member has none.
	replicas         []*replica
	voterIDs         []uint64 // with which this member is in the log, or would join it
	knownGenerations []uint64 // the latest generation that any member has reported

	// Calls of this member.
	pendingCalls map[uint64]*pendingCall // by the sequence number of the latest transmission
	lastCallSeq  uint64
	ownedKeys    map[string]bool // keys of the requests that this member has in flight

	outputs []Output

	// When the next step of each kind is due.
	nextTickAt            float64
	nextHeartbeatAt       float64
	nextReconfigurationAt float64
	nextExpiryAt          float64

	nonce             uint64 // sent with heartbeats; a new one after each pause of this process
	startedAt         float64
	presumeAliveUntil float64 // no member is considered lost before: after a start or a pause none has sent anything yet
	shuttingDown      bool

	// A digest of the members' statuses of this member's own log while it has no leader, and the time since when it is
	// unchanged.
	bootstrapDigest      uint64
	bootstrapDigestSince float64
}

// Output is one action for the host. Exactly one of Frame, Reply, TakenOver and Event is set; To belongs to Frame.
type Output struct {
	To        int    // index of the member that gets Frame
	Frame     []byte // to be sent
	Reply     *Reply // to a call of this member
	TakenOver *Entry // a request that this member owns from now on
	Event     *Event // to be logged
}

// Event is an event for the process's log.
type Event struct {
	Message string
	Log     string // name of the member whose log it concerns
	Term    uint64 // 0 if there is none
	Err     error
}

// Attrs returns the event's attributes for a log line.
func (e *Event) Attrs() []slog.Attr {
	attrs := []slog.Attr{slog.String("log", e.Log)}
	if e.Term > 0 {
		attrs = append(attrs, slog.Uint64("term", e.Term))
	}
	if e.Err != nil {
		attrs = append(attrs, slog.Any("error", e.Err))
	}
	return attrs
}

// New returns a member that has no connection and no replica of any log.
func New(config Config, now float64) *Member {
	members := len(config.Members)
	m := &Member{
		config:                config,
		self:                  NewIncarnation(config.Self, config.Incarnation),
		now:                   now,
		peers:                 make([]peer, members),
		replicas:              make([]*replica, members),
		voterIDs:              make([]uint64, members),
		knownGenerations:      make([]uint64, members),
		pendingCalls:          map[uint64]*pendingCall{},
		ownedKeys:             map[string]bool{},
		nextTickAt:            now,
		nextHeartbeatAt:       now,
		nextReconfigurationAt: now + reconfigurationIntervalMs,
		nextExpiryAt:          now + expiryIntervalMs,
		nonce:                 config.Incarnation,
		startedAt:             now,
		presumeAliveUntil:     now + PeerTimeoutMs,
	}
	for i := range m.voterIDs {
		m.voterIDs[i] = m.self.firstVoterID()
	}
	return m
}

// Self returns this process's incarnation.
func (m *Member) Self() Incarnation { return m.self }

// LogOf returns the index of the log that holds a key's records.
func (m *Member) LogOf(key string) int {
	return int(xxhash.Sum64String(key) % uint64(len(m.config.Members)))
}

// PeerConnected records that this member and an incarnation of another member can send frames to each other.
func (m *Member) PeerConnected(now float64, member int, incarnation Incarnation) {
	m.now = now
	peer := &m.peers[member]
	peer.incarnation = incarnation
	peer.heartbeat = nil
	peer.connected, peer.lastReceivedAt = true, now
}

// PeerDisconnected records that the link to a member is down.
func (m *Member) PeerDisconnected(now float64, member int) {
	m.now = now
	peer := &m.peers[member]
	if !peer.connected {
		return
	}
	peer.connected, peer.disconnectedAt = false, now
	peer.heartbeat = nil
}

// Shutdown begins a graceful shutdown: this member transfers the leadership of its logs to others if there are any.
func (m *Member) Shutdown(now float64) {
	m.now = now
	m.shuttingDown = true
	m.nextHeartbeatAt = now
	m.reconfigureLogs()
}

// Tick advances the time. The host calls it about every TickMs.
func (m *Member) Tick(now float64) {
	m.detectPause(now)
	m.now = now
	for ; m.nextTickAt <= now; m.nextTickAt += TickMs {
		m.tickReplicas()
	}
	if now >= m.nextHeartbeatAt {
		m.nextHeartbeatAt = now + heartbeatIntervalMs
		m.sendHeartbeats()
	}
	m.maybeBootstrap()
	m.retryCalls()
	if now >= m.nextReconfigurationAt {
		m.nextReconfigurationAt = now + reconfigurationIntervalMs
		m.reconfigureLogs()
	}
	if m.config.InjectedBug != BugNoTakeover {
		for _, replica := range m.servableReplicas() {
			m.proposeTakeovers(replica)
		}
	}
	if now >= m.nextExpiryAt {
		m.nextExpiryAt = now + expiryIntervalMs
		m.proposeExpiry()
	}
}

// detectPause detects that this process itself was paused, by a stop signal, a suspended machine or a lack of processor time.
// To this process, all other members then seem to have stopped sending at once, and their last heartbeats are old. Therefore
// no member is considered lost until it has had time to send again, missed ticks are not made up for, and heartbeats must
// echo a new nonce before they count as evidence for a bootstrap.
func (m *Member) detectPause(now float64) {
	if now-m.nextTickAt <= pauseMs && now-m.now <= pauseMs {
		return
	}
	m.presumeAliveUntil = now + PeerTimeoutMs
	m.nextTickAt, m.bootstrapDigestSince = now, now
	m.nonce++
	for i := range m.peers {
		m.peers[i].lastReceivedAt = math.Max(m.peers[i].lastReceivedAt, now)
	}
}

func (m *Member) tickReplicas() {
	for _, replica := range m.replicas {
		if replica != nil {
			replica.tick()
		}
	}
}

// servableReplicas returns the replicas of the logs that this member leads and can serve calls for.
func (m *Member) servableReplicas() []*replica {
	var servable []*replica
	for _, log := range m.replicas {
		if log != nil && log.canServe(m.config.Replicas) {
			servable = append(servable, log)
		}
	}
	return servable
}

func (m *Member) proposeExpiry() {
	record := snapshot.AppendStruct(nil, &Record{Kind: AnswersExpired, LeaderTime: m.now})
	for _, replica := range m.servableReplicas() {
		_ = replica.node.Propose(record) // proposed again after expiryIntervalMs
	}
}

// Next returns the next output for the host, if there is one. The logs process their inputs here and not on arrival, so that
// the messages that answer a batch of inputs are sent together.
func (m *Member) Next() (Output, bool) {
	if len(m.outputs) == 0 {
		m.processReplicas()
	}
	if len(m.outputs) == 0 {
		return Output{}, false
	}
	output := m.outputs[0]
	m.outputs = m.outputs[1:]
	return output, true
}

func (m *Member) logEvent(event Event) {
	m.outputs = append(m.outputs, Output{Event: &event})
}
