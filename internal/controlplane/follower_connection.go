package controlplane

// The states of a follower's connection:
//
//	idle --nextDialAt--> dialing --Connected--> up
//
// A connection that is dialing or up goes back to idle when it fails (the next member is dialed after a backoff) or when the follower
// switches to a better member (which is dialed at once).

const (
	// heartbeatTimeoutMs is the time without data from a member after which another is tried. It covers two lost heartbeats and some
	// delay.
	heartbeatTimeoutMs = 2500.0
	// dialTimeoutMs bounds a dial. The adapter's own limit (dialTimeout in package client) is as long; this one holds even if the
	// adapter never reports the end of the dial.
	dialTimeoutMs = 1000.0
	// minBackoffMs and maxBackoffMs bound the interval in which the next dial is made at a random time. It doubles each time all
	// members have failed.
	minBackoffMs = 200.0
	maxBackoffMs = 2000.0
)

type connectionState int

const (
	connectionIdle connectionState = iota
	connectionDialing
	connectionUp
)

// Connected records that a dial has succeeded and that the member has proven its identity.
func (f *Follower) Connected(now float64, member int) {
	if f.state != connectionDialing || member != f.currentMember() {
		return
	}
	f.state, f.stateSince, f.lastReceivedAt = connectionUp, now, now
	f.digestMismatches = 0
	f.scheduleLocalRetry(now)
	f.sendHello(now)
}

// Disconnected records that the connection has ended or that the dial has failed.
func (f *Follower) Disconnected(now float64) {
	if f.state != connectionIdle {
		f.connectionFailed(now)
	}
}

// BytesReceived records that a part of a frame has arrived. A long frame on a slow link thus doesn't count as silence.
func (f *Follower) BytesReceived(now float64) {
	if f.state == connectionUp {
		f.lastReceivedAt = now
	}
}

// disconnectAndRetry closes the connection or stops the dial, and schedules a dial of the next member.
func (f *Follower) disconnectAndRetry(now float64) {
	f.outputs = append(f.outputs, FollowerOutput{Disconnect: true})
	f.connectionFailed(now)
}

// switchMember disconnects from a working member to dial another one, given by its index in memberOrder.
func (f *Follower) switchMember(now float64, index int) {
	f.outputs = append(f.outputs, FollowerOutput{Disconnect: true})
	f.resetConnection(now)
	f.current, f.nextDialAt = index, now
}

func (f *Follower) resetConnection(now float64) {
	f.state, f.stateSince = connectionIdle, now
	f.incomingSnapshot, f.hasPendingHeartbeat = nil, false
}

func (f *Follower) connectionFailed(now float64) {
	f.resetConnection(now)
	f.failedDials++
	f.selectAfterFailure()
	// All followers of a member lose it at the same time. Each dials at a random time within the backoff, so that they don't all dial
	// the next member at once.
	f.nextDialAt = now + f.rng.Float64()*f.backoffMs
	if f.failedDials%len(f.memberOrder) == 0 {
		f.backoffMs = min(2*f.backoffMs, maxBackoffMs)
	}
}

func (f *Follower) resetBackoff() { f.failedDials, f.backoffMs = 0, minBackoffMs }

// sendHello reports the stored version, from which the server then starts again.
func (f *Follower) sendHello(now float64) {
	f.incomingSnapshot, f.hasPendingHeartbeat = nil, false
	f.lastHelloAt = now
	f.sendStatus(now, frameHello)
}

// sendStatus sends a status, as a frame of kind frameStatus or frameHello.
func (f *Follower) sendStatus(now float64, kind byte) {
	version, doc := f.history.Head()
	s := status{
		SentAt:          now,
		StoredVersion:   version,
		AppliedVersion:  f.appliedVersion,
		RejectedVersion: f.rejectedVersion,
		RejectReason:    f.rejectReason,
		StalenessMs:     f.staleness(now),
	}
	if f.incomingSnapshot != nil {
		s.SnapshotReceived = uint64(len(f.incomingSnapshot.data))
	}
	if kind == frameHello {
		s.Digest, s.Region, s.Kind = doc.digest[:], f.config.Region, f.config.Kind
		s.NeedsSnapshot = f.digestMismatches > 0
	}
	f.outputs = append(f.outputs, FollowerOutput{Frame: encodeFrame(kind, &s)})
	f.lastStatusAt, f.statusChanged = now, false
}
