package controlplane

import "pearknot/internal/snapshot"

// HandleFrame handles a frame from the member. A malformed frame ends the connection.
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
		err = f.handleSnapshotBegin(body)
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

// handleChange applies a change to the stored copy. Only the version right after the stored one is applied, and only if the result
// has the change's digest: frames may be lost, repeated or altered, and a server may have another history.
func (f *Follower) handleChange(now float64, body []byte) error {
	change, err := decodeChange(body)
	if err != nil {
		return err
	}
	version, doc := f.history.Head()
	switch {
	case change.Version == version+1, f.config.InjectedBug == BugOutOfOrderChange:
	case change.Version <= version:
		return nil // a duplicate
	default:
		f.requestResync(now)
		return nil
	}
	next, err := doc.applySplices(change.Splices)
	if err == nil && next.digest != change.Digest && f.config.InjectedBug != BugDigestUnchecked && change.Version == version+1 {
		err = errDigestMismatch
	}
	if err != nil {
		return f.handleDigestMismatch(now)
	}
	f.incomingSnapshot = nil
	f.history.appendChange(change, next)
	f.statusChanged = true
	f.addToUpdate(change, next)
	return nil
}

// addToUpdate adds a change to the update that Next will return.
func (f *Follower) addToUpdate(change Change, doc *Document) {
	if f.pendingUpdate == nil {
		f.pendingUpdate = &DocumentUpdate{Changes: []Change{}}
	}
	if f.pendingUpdate.Changes != nil { // else the update began with a snapshot
		f.pendingUpdate.Changes = append(f.pendingUpdate.Changes, change)
	}
	f.pendingUpdate.Version, f.pendingUpdate.Document = change.Version, doc
}

// handleDigestMismatch requests a snapshot after content with a wrong digest. It returns an error, which ends the connection, after
// more than maxDigestMismatches of them.
func (f *Follower) handleDigestMismatch(now float64) error {
	if f.digestMismatches++; f.digestMismatches > maxDigestMismatches {
		return errDigestMismatch
	}
	f.sendHello(now)
	return nil
}

// requestResync sends a hello after a gap, so that the server sends the missing frames.
func (f *Follower) requestResync(now float64) {
	if now-f.lastHelloAt >= minHelloIntervalMs {
		f.sendHello(now)
	}
}

func (f *Follower) handleSnapshotBegin(body []byte) error {
	var b snapshotBegin
	if snapshot.ReadStruct(body, &b) != nil || b.Version == 0 || len(b.Digest) != len(Digest{}) {
		return errMalformedFrame
	}
	if b.Size == 0 || b.Size > MaxDocumentBytes+compressionMargin || b.TextBytes > MaxDocumentBytes {
		return errMalformedFrame
	}
	f.incomingSnapshot = &compressedDocument{version: b.Version, digest: Digest(b.Digest), size: int(b.Size), textBytes: int(b.TextBytes)}
	return nil
}

func (f *Follower) handleSnapshotChunk(now float64, body []byte) error {
	var c snapshotChunk
	if snapshot.ReadStruct(body, &c) != nil || len(c.Data) == 0 {
		return errMalformedFrame
	}
	in := f.incomingSnapshot
	if in == nil || c.Offset != uint64(len(in.data)) || len(in.data)+len(c.Data) > in.size {
		f.requestResync(now) // an earlier chunk was lost, or the chunk belongs to an abandoned snapshot
		return nil
	}
	in.data = append(in.data, c.Data...)
	f.sendStatus(now, frameStatus) // reports the bytes received, on which the server bases the size and time of the next chunk
	if len(in.data) < in.size {
		return nil
	}
	f.incomingSnapshot = nil
	return f.installSnapshot(now, in)
}

// installSnapshot replaces the stored copy by a completely received snapshot.
func (f *Follower) installSnapshot(now float64, in *compressedDocument) error {
	text, err := decompress(in.data, in.textBytes)
	if err != nil {
		return f.handleDigestMismatch(now)
	}
	doc, err := newDocument(string(text))
	if err != nil || doc.digest != in.digest && f.config.InjectedBug != BugDigestUnchecked {
		return f.handleDigestMismatch(now)
	}
	f.digestMismatches = 0
	version, stored := f.history.Head()
	if in.version < version || in.version == version && stored.digest == doc.digest {
		return nil // the stored version never decreases
	}
	f.history.resetTo(in.version, doc)
	f.statusChanged = true
	f.pendingUpdate = &DocumentUpdate{Version: in.version, Document: doc}
	return nil
}

func (f *Follower) handleHeartbeat(now float64, body []byte) error {
	h, err := decodeHeartbeat(body)
	if err != nil {
		return err
	}
	f.resetBackoff()
	version, doc := f.history.Head()
	switch {
	case f.hasGap(version, h):
		f.requestResync(now)
	case h.HeadVersion == version && h.HeadDigestPrefix != doc.digest.prefix() && f.config.InjectedBug != BugDigestUnchecked:
		if now-f.lastHelloAt >= minHelloIntervalMs {
			return f.handleDigestMismatch(now)
		}
	default:
		f.pendingHeartbeat, f.hasPendingHeartbeat = h, true
	}
	f.checkServerStaleness(now, h.StalenessMs)
	return nil
}

// hasGap reports whether frames are missing that the server, according to its heartbeat, sent earlier on this connection.
func (f *Follower) hasGap(version uint64, h heartbeat) bool {
	lostChange := h.SentVersion > version && h.SentVersion <= h.HeadVersion
	lostBegin := f.incomingSnapshot == nil && h.SnapshotSent > 0
	lostChunk := f.incomingSnapshot != nil && h.SnapshotSent > uint64(len(f.incomingSnapshot.data))
	return lostChange || lostBegin || lostChunk
}

// updateFreshness sets freshAsOf to the time that the last heartbeat proves, once the head version that it named is stored.
//
// StatusSentAt is a time by this process's clock, and FreshnessOffset a difference of two times by the server's. Their sum is not later
// than the moment at which the server's copy was complete, because the server received the status after it was sent. Freshness is
// therefore never overstated, however long the heartbeat was delayed.
func (f *Follower) updateFreshness(now float64) {
	if version, _ := f.history.Head(); !f.hasPendingHeartbeat || version < f.pendingHeartbeat.HeadVersion {
		return
	}
	completeAt := f.pendingHeartbeat.StatusSentAt + f.pendingHeartbeat.FreshnessOffset
	if f.config.InjectedBug == BugStalenessFromReceipt {
		completeAt = now - f.pendingHeartbeat.StalenessMs
	}
	f.freshAsOf = max(f.freshAsOf, min(completeAt, now))
	f.hasPendingHeartbeat = false
}
