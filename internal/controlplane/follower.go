package controlplane

import (
	"cmp"
	"math"
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"
)

const (
	// statusIntervalMs is the time between two statuses of a follower. Its lease (LeaseDurationMs) covers two that are lost.
	statusIntervalMs = 2000.0
	// minStatusIntervalMs is the least time between two statuses if more than the time has changed, so that a burst of versions
	// doesn't cause as many statuses.
	minStatusIntervalMs = 250.0
	// minHelloIntervalMs is the least time between two hellos on one connection. Each hello makes the member start again from the
	// stored version. Frames that the member sent before it received a hello still look like gaps and must not cause a second hello.
	minHelloIntervalMs = 500.0
	// maxDigestMismatches is the number of wrong digests on one connection after which the next one closes it, and another member is
	// tried.
	maxDigestMismatches = 3
)

// Follower keeps the newest version of the document for a node or for a relay. It holds one connection at a time, to a member that it
// selects, and keeps its stored copy when the connection fails.
//
// The caller carries out what Next returns. Follower is not safe for concurrent use.
type Follower struct {
	config FollowerConfig
	rng    *rand.Rand

	// Selection of the member: follower_members.go.
	memberOrder           []int // indices in config.Members: members of the own region first, each group in the order of its hash scores
	localMemberCount      int   // number of members in the own region
	current               int   // index in memberOrder of the member that is connected, dialed or to be dialed
	staleSearchIntervalMs float64
	staleMembersTried     int // number of stale members left since the last connection to a fresh one
	remoteAttempts        int // number of selections of members of other regions
	tryingRemote          bool
	nextStaleSearchAt     float64 // earliest time to leave a stale member; 0 if the member is fresh
	localRetryIntervalMs  float64
	nextLocalRetryAt      float64

	// The connection: follower_connection.go.
	state          connectionState
	stateSince     float64
	nextDialAt     float64
	backoffMs      float64
	failedDials    int // since a heartbeat was last received
	lastReceivedAt float64

	// The copy: follower_frames.go.
	history             *History
	incomingSnapshot    *compressedDocument // the snapshot that is being received
	digestMismatches    int                 // on this connection
	lastHelloAt         float64
	freshAsOf           float64
	pendingHeartbeat    heartbeat // proves freshness once its head version is stored
	hasPendingHeartbeat bool
	pendingUpdate       *DocumentUpdate

	// What statuses report.
	appliedVersion, rejectedVersion uint64
	rejectReason                    string
	lastStatusAt                    float64
	statusChanged                   bool // since the last status

	outputs []FollowerOutput
}

// NewFollower returns a follower that starts from a stored copy, or from none. Next doesn't return this copy as an update: the caller
// applies it.
func NewFollower(config FollowerConfig, stored VersionedDocument, now float64) *Follower {
	retainedChanges := 0
	if config.Kind == KindMember {
		retainedChanges = cmp.Or(config.RetainedChanges, defaultRetainedChanges)
	}
	f := &Follower{
		config:                config,
		rng:                   rand.New(rand.NewPCG(config.Seed, xxhash.Sum64String(config.Name))),
		history:               newHistory(0, emptyDocument(), retainedChanges),
		backoffMs:             minBackoffMs,
		staleSearchIntervalMs: minStaleSearchIntervalMs,
		localRetryIntervalMs:  minLocalRetryIntervalMs,
		freshAsOf:             math.Inf(-1),
		lastHelloAt:           math.Inf(-1),
	}
	if stored.Version > 0 && stored.Document != nil {
		f.history.resetTo(stored.Version, stored.Document)
	}
	f.memberOrder, f.localMemberCount = orderMembers(config)
	f.nextDialAt = now + f.rng.Float64()*minBackoffMs
	return f
}

// Tick advances the time to now. The caller calls it each TickIntervalMs.
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
		if now-f.stateSince > dialTimeoutMs {
			f.disconnectAndRetry(now)
		}
	case connectionUp:
		f.tickConnected(now)
	}
}

func (f *Follower) tickConnected(now float64) {
	switch {
	case now-f.lastReceivedAt > heartbeatTimeoutMs:
		f.disconnectAndRetry(now)
	case f.isLocalRetryDue(now):
		f.localRetryIntervalMs = min(2*f.localRetryIntervalMs, maxLocalRetryIntervalMs)
		f.switchMember(now, 0)
	case now-f.lastStatusAt >= statusIntervalMs || f.statusChanged && now-f.lastStatusAt >= minStatusIntervalMs:
		f.sendStatus(now, frameStatus)
	}
}

// VersionApplied records that the caller has applied a version.
func (f *Follower) VersionApplied(_ float64, version uint64) {
	f.appliedVersion, f.statusChanged = version, true
	if version >= f.rejectedVersion {
		f.rejectedVersion, f.rejectReason = 0, ""
	}
}

// VersionRejected records that the caller can't apply a version, and why. The version applied before it stays in use.
func (f *Follower) VersionRejected(_ float64, version uint64, reason string) {
	if len(reason) > maxReasonBytes {
		reason = reason[:maxReasonBytes]
	}
	f.rejectedVersion, f.rejectReason, f.statusChanged = version, reason, true
}

// Next returns the next decision; false if there is none. An update comes after all other decisions and holds the newest version
// only, so that versions that arrive together are applied once.
func (f *Follower) Next() (FollowerOutput, bool) {
	if len(f.outputs) > 0 {
		output := f.outputs[0]
		f.outputs[0] = FollowerOutput{} // so that the backing array doesn't keep the frame in memory
		if f.outputs = f.outputs[1:]; len(f.outputs) == 0 {
			f.outputs = nil
		}
		return output, true
	}
	if f.pendingUpdate != nil {
		update := f.pendingUpdate
		f.pendingUpdate = nil
		return FollowerOutput{Update: update}, true
	}
	return FollowerOutput{}, false
}

// State returns the follower's state, for display.
func (f *Follower) State(now float64) FollowerState {
	version, doc := f.history.Head()
	s := FollowerState{
		StoredVersion:   version,
		AppliedVersion:  f.appliedVersion,
		RejectedVersion: f.rejectedVersion,
		RejectReason:    f.rejectReason,
		Digest:          doc.digest,
		StalenessMs:     f.staleness(now),
	}
	if f.state == connectionUp {
		s.Member = f.config.Members[f.currentMember()].Name
	}
	return s
}

// History returns the stored copy and, for a follower of KindMember, the changes received, which the relay's own Server serves. It is
// updated in place.
func (f *Follower) History() *History { return f.history }

// FreshAsOf returns the time, by this process's clock, as of which History contains every acknowledged change. It is minus infinity
// if no such time is known.
func (f *Follower) FreshAsOf() float64 { return f.freshAsOf }

func (f *Follower) staleness(now float64) float64 { return max(now-f.freshAsOf, 0) }
