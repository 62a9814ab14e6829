package controlplane

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"

	"github.com/cespare/xxhash/v2"

	"pearknot/internal/snapshot"
)

const (
	heartbeatTimeout       = 2500.0 // ms without a frame, after which another member is tried
	dialTimeout            = 1000.0
	minBackoff             = 200.0 // between two tries, growing to
	maxBackoff             = 2000.0
	maxServerStaleness     = 2000.0 // a server whose copy may be older is left for another,
	minStaleSearchInterval = 1000.0 // at most so often, growing as all of the region have been tried, to
	maxStaleSearchInterval = 30e3
	minLocalRetryInterval  = 30e3  // from a member of another region, one of the own is tried again, up to twice that,
	maxLocalRetryInterval  = 480e3 // and as that fails, more seldom: a try is some seconds without a member
	maxDigestMismatches    = 3     // wrong digests from one member, after which another is tried
	minHelloInterval       = 500.0 // between two asks to begin anew on one connection
	minStatusInterval      = 250.0 // between two statuses, where more than the time has changed
)

// Follower is a node's part, or that of a member without a vote: it holds one connection, to a member that it picks, and what it last
// got, whatever becomes of that. A copy that it begins with is taken for what is held: its Take is not given again.
type Follower struct {
	config              FollowerConfig
	rng                 *rand.Rand
	memberOrder         []int // of members: the own region's first, in the order of their scores
	localMembers        int   // so many are of the own region
	current             int   // place in order
	state               connectionState
	stateSince          float64 // when the link got into its state
	nextDialAt          float64 // when none is there
	backoff             float64
	failedDials         int // tries since one was heard
	lastReceivedAt      float64
	staleSearchInterval float64 // until another is looked for, where the copy is old
	staleMembersTried   int     // so many were left
	remoteAttempts      int     // members of other regions that were tried for a fresher copy
	tryingRemote        bool    // one of them is: if it isn't had, or isn't fresh, back home
	nextStaleSearchAt   float64
	localRetryInterval  float64 // until one of the own region is tried again
	nextLocalRetryAt    float64

	history          *History
	incoming         *packedDocument // the whole that is coming
	digestMismatches int
	lastHelloAt      float64

	appliedVersion, rejectedVersion uint64
	rejectReason                    string
	lastStatusAt                    float64 // when the latest status went out
	statusChanged                   bool    // something since
	freshAsOf                       float64
	pendingHeartbeat                heartbeat // what will be fresh once its head is held
	hasPendingHeartbeat             bool
	pendingUpdate                   *DocumentUpdate
	outputs                         []FollowerOutput
}

type connectionState int

const (
	connectionIdle connectionState = iota
	connectionDialing
	connectionUp
)

// NewFollower begins with a copy, or none.
func NewFollower(t FollowerConfig, c VersionedDocument, now float64) *Follower {
	most := 0
	if t.Kind == KindMember {
		most = cmp.Or(t.RetainedChanges, defaultRetainedChanges)
	}
	f := &Follower{config: t, rng: rand.New(rand.NewPCG(t.Seed, xxhash.Sum64String(t.Name))), history: newHistory(0, emptyDocument(), most),
		backoff: minBackoff, staleSearchInterval: minStaleSearchInterval, localRetryInterval: minLocalRetryInterval, freshAsOf: math.Inf(-1), lastHelloAt: math.Inf(-1)}
	if c.Version > 0 && c.Document != nil {
		f.history.resetTo(c.Version, c.Document)
	}
	for k := range t.Members {
		f.memberOrder = append(f.memberOrder, k)
		if t.Members[k].Region == t.Region {
			f.localMembers++
		}
	}
	// Rendezvous hashing: the one of the highest score, so that each member has its share and the loss of one moves only its own.
	score := func(k int) uint64 { return xxhash.Sum64String(t.Name + "\x00" + t.Members[k].Name) }
	slices.SortFunc(f.memberOrder, func(a, b int) int {
		if home := t.Members[a].Region == t.Region; home != (t.Members[b].Region == t.Region) {
			if home {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(score(b), score(a)), cmp.Compare(a, b))
	})
	f.nextDialAt = now + f.rng.Float64()*minBackoff
	return f
}

func (f *Follower) currentMember() int { return f.memberOrder[f.current] }

// Tick lets time pass.
func (f *Follower) Tick(now float64) {
	if len(f.memberOrder) == 0 {
		return
	}
	switch f.state {
	case connectionIdle:
		if now >= f.nextDialAt {
			f.state, f.stateSince = connectionDialing, now
			f.outputs = append(f.outputs, FollowerOutput{Dial: true, Member: f.currentMember()})
		}
	case connectionDialing:
		if now-f.stateSince > dialTimeout {
			f.disconnectAndRetry(now)
		}
	case connectionUp:
		switch {
		case now-f.lastReceivedAt > heartbeatTimeout:
			f.disconnectAndRetry(now)
		case f.current >= f.localMembers && f.localMembers > 0 && now >= f.nextLocalRetryAt:
			f.localRetryInterval = min(2*f.localRetryInterval, maxLocalRetryInterval)
			f.switchMember(now, 0)
		case now-f.lastStatusAt >= statusInterval || f.statusChanged && now-f.lastStatusAt >= minStatusInterval:
			f.sendStatus(now, frameStatus)
		}
	}
}

// hangup ends the link or the dial; the next member is tried.
func (f *Follower) disconnectAndRetry(now float64) {
	f.outputs = append(f.outputs, FollowerOutput{Disconnect: true})
	f.connectionFailed(now)
}

// leave goes to another member though this one answers.
func (f *Follower) switchMember(now float64, to int) {
	f.outputs = append(f.outputs, FollowerOutput{Disconnect: true})
	f.resetConnection(now)
	f.current, f.nextDialAt = to, now
}

func (f *Follower) resetConnection(now float64) {
	f.state, f.stateSince, f.incoming, f.hasPendingHeartbeat = connectionIdle, now, nil, false
}

func (f *Follower) connectionFailed(now float64) {
	f.resetConnection(now)
	f.failedDials++
	switch {
	case f.tryingRemote:
		f.current, f.tryingRemote = 0, false
	case f.current+1 == f.localMembers && f.localMembers < len(f.memberOrder): // none at home: each time the next one abroad, for the one before may be the one with the old copy
		f.current = f.nextRemoteMember()
	default:
		f.current = (f.current + 1) % len(f.memberOrder)
	}
	// Tries are spread over the wait, so that all that lose a member together don't come to the next one together.
	f.nextDialAt = now + f.rng.Float64()*f.backoff
	if f.failedDials%len(f.memberOrder) == 0 {
		f.backoff = min(2*f.backoff, maxBackoff)
	}
}

// Connected tells that a dial has come through: the member has proven who it is.
func (f *Follower) Connected(now float64, member int) {
	if f.state != connectionDialing || member != f.currentMember() {
		return
	}
	f.state, f.stateSince, f.lastReceivedAt, f.digestMismatches = connectionUp, now, now, 0
	if f.current < f.localMembers {
		f.localRetryInterval = minLocalRetryInterval
	}
	f.nextLocalRetryAt = now + f.localRetryInterval*(1+f.rng.Float64())
	f.sendHello(now)
}

// Lost tells that the connection has ended, or the dial has failed.
func (f *Follower) Disconnected(now float64) {
	if f.state != connectionIdle {
		f.connectionFailed(now)
	}
}

// ask says what is held: the server begins anew from there.
func (f *Follower) sendHello(now float64) {
	f.incoming, f.lastHelloAt, f.hasPendingHeartbeat = nil, now, false
	f.sendStatus(now, frameHello)
}

func (f *Follower) sendStatus(now float64, kind byte) {
	version, doc := f.history.Head()
	s := status{SentAt: now, StoredVersion: version, AppliedVersion: f.appliedVersion, RejectedVersion: f.rejectedVersion, RejectReason: f.rejectReason, StalenessMs: max(now-f.freshAsOf, 0)}
	if f.incoming != nil {
		s.SnapshotReceived = uint64(len(f.incoming.data))
	}
	if kind == frameHello {
		s.Digest, s.Region, s.Kind = doc.digest[:], f.config.Region, f.config.Kind
		s.NeedsSnapshot = f.digestMismatches > 0
	}
	f.outputs = append(f.outputs, FollowerOutput{Frame: encodeFrame(kind, &s)})
	f.lastStatusAt, f.statusChanged = now, false
}

// Heard tells that something came, be it a part of a frame: a long one on a slow link is no silence.
func (f *Follower) BytesReceived(now float64) {
	if f.state == connectionUp {
		f.lastReceivedAt = now
	}
}

// Frame takes what the member says.
func (f *Follower) HandleFrame(now float64, data []byte) {
	if f.state != connectionUp {
		return
	}
	kind, body, err := parseFrame(data)
	if err != nil {
		f.disconnectAndRetry(now)
		return
	}
	f.lastReceivedAt = now
	switch kind {
	case frameChange:
		err = f.handleChange(now, body)
	case frameHeartbeat:
		err = f.handleHeartbeat(now, body)
	case frameSnapshotBegin:
		err = f.handleSnapshotBegin(now, body)
	case frameSnapshotChunk:
		err = f.handleSnapshotChunk(now, body)
	default:
		err = errMalformedFrame
	}
	if err != nil {
		f.disconnectAndRetry(now)
		return
	}
	f.updateFreshness(now)
}

func (f *Follower) handleChange(now float64, body []byte) error {
	c, err := decodeChange(body)
	if err != nil {
		return err
	}
	version, doc := f.history.Head()
	switch {
	case c.Version == version+1, f.config.InjectedBug == BugOutOfOrderChange:
	case c.Version <= version:
		return nil // it is known
	default:
		f.requestResync(now)
		return nil
	}
	next, err := doc.applySplices(c.Splices)
	if err == nil && next.digest != c.Digest && f.config.InjectedBug != BugDigestUnchecked && c.Version == version+1 {
		err = errDigestMismatch
	}
	if err != nil {
		return f.handleDigestMismatch(now)
	}
	f.incoming = nil
	f.history.appendChange(c, next)
	f.statusChanged = true
	if f.pendingUpdate == nil {
		f.pendingUpdate = &DocumentUpdate{Changes: []Change{}}
	}
	if f.pendingUpdate.Changes != nil {
		f.pendingUpdate.Changes = append(f.pendingUpdate.Changes, c)
	}
	f.pendingUpdate.Version, f.pendingUpdate.Document = c.Version, next
	return nil
}

// wrong drops what came, and asks for the whole; a member that says so again and again is left.
func (f *Follower) handleDigestMismatch(now float64) error {
	if f.digestMismatches++; f.digestMismatches > maxDigestMismatches {
		return errDigestMismatch
	}
	f.sendHello(now)
	return nil
}

// askAgain asks for what is lacking, after a gap that the link's order should not have.
func (f *Follower) requestResync(now float64) {
	if now-f.lastHelloAt >= minHelloInterval {
		f.sendHello(now)
	}
}

func (f *Follower) handleSnapshotBegin(now float64, body []byte) error {
	var b snapshotBegin
	if snapshot.Read(body, &b) != nil || len(b.Digest) != len(Digest{}) || b.Size == 0 || b.Size > MaxDocumentBytes+maxReasonBytes || b.TextBytes > MaxDocumentBytes || b.Version == 0 {
		return errMalformedFrame
	}
	f.incoming = &packedDocument{version: b.Version, digest: Digest(b.Digest), size: int(b.Size), textBytes: int(b.TextBytes)}
	return nil
}

func (f *Follower) handleSnapshotChunk(now float64, body []byte) error {
	var c snapshotChunk
	if snapshot.Read(body, &c) != nil || len(c.Data) == 0 {
		return errMalformedFrame
	}
	if f.incoming == nil || c.Offset != uint64(len(f.incoming.data)) || len(f.incoming.data)+len(c.Data) > f.incoming.size {
		f.requestResync(now) // one before it was lost, or it is of a whole that is not wanted any more
		return nil
	}
	f.incoming.data = append(f.incoming.data, c.Data...)
	if len(f.incoming.data) < f.incoming.size {
		f.sendStatus(now, frameStatus)
		return nil
	}
	in := f.incoming
	f.sendStatus(now, frameStatus)
	f.incoming = nil
	text, err := decompress(in.data, in.textBytes)
	if err != nil {
		return f.handleDigestMismatch(now)
	}
	doc, err := newDocument(string(text))
	if err != nil || doc.digest != in.digest && f.config.InjectedBug != BugDigestUnchecked {
		return f.handleDigestMismatch(now)
	}
	f.digestMismatches = 0
	if version, have := f.history.Head(); in.version < version || in.version == version && have.digest == doc.digest {
		return nil // versions only go on
	}
	f.history.resetTo(in.version, doc)
	f.statusChanged = true
	f.pendingUpdate = &DocumentUpdate{Version: in.version, Document: doc}
	return nil
}

func (f *Follower) handleHeartbeat(now float64, body []byte) error {
	b, err := decodeHeartbeat(body)
	if err != nil {
		return err
	}
	if f.failedDials > 0 || f.backoff > minBackoff {
		f.failedDials, f.backoff = 0, minBackoff
	}
	version, doc := f.history.Head()
	switch {
	case b.SentVersion > version && b.SentVersion <= b.HeadVersion, f.incoming == nil && b.SnapshotSent > 0, f.incoming != nil && b.SnapshotSent > uint64(len(f.incoming.data)):
		f.requestResync(now) // something of it was lost
	case b.HeadVersion == version && b.HeadDigestPrefix != doc.digest.prefix() && f.config.InjectedBug != BugDigestUnchecked:
		if now-f.lastHelloAt >= minHelloInterval {
			return f.handleDigestMismatch(now)
		}
	default:
		f.pendingHeartbeat, f.hasPendingHeartbeat = b, true
	}
	if b.StalenessMs <= maxServerStaleness {
		f.staleSearchInterval, f.nextStaleSearchAt, f.staleMembersTried, f.tryingRemote = minStaleSearchInterval, 0, 0, false
	} else if f.nextStaleSearchAt == 0 {
		f.nextStaleSearchAt = now // at once, the first time
	}
	if b.StalenessMs > maxServerStaleness && now >= f.nextStaleSearchAt && len(f.memberOrder) > 1 && f.config.InjectedBug != BugStayWithStaleServer {
		f.nextStaleSearchAt = now + f.staleSearchInterval*(1+f.rng.Float64()/2)
		if f.staleMembersTried++; f.staleMembersTried >= f.localMembers {
			f.staleSearchInterval = min(2*f.staleSearchInterval, maxStaleSearchInterval)
		}
		f.switchMember(now, f.nextFresherMember())
	}
	return nil
}

// fresher is where to look for a fresher copy: at all of the own region, then at one of another, each time at the next. A region that is
// alone keeps to its own members so, but for a try now and then.
func (f *Follower) nextFresherMember() int {
	switch {
	case f.current+1 < f.localMembers || f.localMembers == 0:
		return (f.current + 1) % len(f.memberOrder)
	case f.current >= f.localMembers || f.localMembers == len(f.memberOrder):
		f.tryingRemote = false
		return 0
	}
	f.tryingRemote = true
	return f.nextRemoteMember()
}

// foreign is the next one of other regions' members.
func (f *Follower) nextRemoteMember() int {
	f.remoteAttempts++
	return f.localMembers + (f.remoteAttempts-1)%(len(f.memberOrder)-f.localMembers)
}

// freshen takes what a heartbeat has claimed, once all that it spoke of is held. The time is that at which the server had it, reckoned
// from a status of this follower that the server had heard: however long the heartbeat was under way, the claim is never too much.
func (f *Follower) updateFreshness(now float64) {
	if version, _ := f.history.Head(); f.hasPendingHeartbeat && version >= f.pendingHeartbeat.HeadVersion {
		at := f.pendingHeartbeat.StatusSentAt + f.pendingHeartbeat.FreshnessOffset
		if f.config.InjectedBug == BugStalenessFromReceipt {
			at = now - f.pendingHeartbeat.StalenessMs
		}
		f.freshAsOf = max(f.freshAsOf, min(at, now))
		f.hasPendingHeartbeat = false
	}
}

// InForce tells that a version is in force.
func (f *Follower) VersionApplied(_ float64, version uint64) {
	f.appliedVersion, f.statusChanged = version, true
	if version >= f.rejectedVersion {
		f.rejectedVersion, f.rejectReason = 0, ""
	}
}

// Refused tells that a version can't be put in force, and why; what was in force stays.
func (f *Follower) VersionRejected(_ float64, version uint64, why string) {
	if len(why) > maxReasonBytes {
		why = why[:maxReasonBytes]
	}
	f.rejectedVersion, f.rejectReason, f.statusChanged = version, why, true
}

// Next is what is to be done next.
func (f *Follower) Next() (FollowerOutput, bool) {
	if len(f.outputs) > 0 {
		o := f.outputs[0]
		f.outputs[0] = FollowerOutput{}
		if f.outputs = f.outputs[1:]; len(f.outputs) == 0 {
			f.outputs = nil
		}
		return o, true
	}
	if f.pendingUpdate != nil {
		t := f.pendingUpdate
		f.pendingUpdate = nil
		return FollowerOutput{Update: t}, true
	}
	return FollowerOutput{}, false
}

// State is how it stands.
func (f *Follower) State(now float64) FollowerState {
	version, doc := f.history.Head()
	s := FollowerState{StoredVersion: version, AppliedVersion: f.appliedVersion, RejectedVersion: f.rejectedVersion, RejectReason: f.rejectReason, Digest: doc.digest, StalenessMs: max(now-f.freshAsOf, 0)}
	if f.state == connectionUp {
		s.Member = f.config.Members[f.currentMember()].Name
	}
	return s
}

// History is the copy, and with a member's the changes that it got: what its own Server serves. It goes on in place.
func (f *Follower) History() *History { return f.history }

// FreshAt is a time, by this process's clock, at which History had all that had been acknowledged; minus infinity where none is known.
func (f *Follower) FreshAsOf() float64 { return f.freshAsOf }
