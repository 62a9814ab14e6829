package controlplane

// Catch-up of followers with the head.
//
// A follower that has the head gets each change at once. One that lacks changes gets them, or a snapshot of the document if they are
// no longer retained or larger than a snapshot, at a limited rate: a region whose followers all reconnect at once must not delay the
// changes and heartbeats of the others. The follower's statuses limit the chunks of a snapshot further, so that on a slow link no more
// bytes are in flight than the link carries between two heartbeats.

const (
	// followerBytesPerMs limits the rate to one follower that catches up: 128 KB/s.
	followerBytesPerMs = 128.0
	// totalBytesPerMs limits the rate to all of them together: 2 MB/s, a fifth of a slow network card.
	totalBytesPerMs = 2048.0
	// maxChunkBytes bounds a chunk. A change to the same follower waits for one chunk at most.
	maxChunkBytes = 16 << 10
	// minChunkBytes takes half a second on a link of 1 KB/s, so that heartbeats arrive in time even there.
	minChunkBytes = 512
	// maxCatchUpBytes bounds the bytes of missing changes that wait to be written to one follower.
	maxCatchUpBytes = 64 << 10
	// A chunk that was received within fastChunkMs doubles the window, one that took longer than slowChunkMs halves it.
	fastChunkMs = 600.0
	slowChunkMs = 1200.0
	// maxSnapshotLagBytes bounds the changes between a cached snapshot and the head. Beyond it a new snapshot is made.
	maxSnapshotLagBytes = 256 << 10
)

// compressedDocument is a compressed document that is sent or received as a snapshot.
type compressedDocument struct {
	version   uint64
	digest    Digest
	textBytes int
	size      int    // bytes of data, once it is complete
	data      []byte // at a follower: the part received so far
}

// sendMissingChanges sends a follower the changes that it lacks, or begins a snapshot. ignoreRateLimits is set for a change that was
// just committed: a follower that has all earlier ones then gets it without rate limits.
func (s *Server) sendMissingChanges(c *followerConn, ignoreRateLimits bool) {
	head, _ := s.history.Head()
	if !c.helloReceived || c.snapshot != nil || head == 0 { // version 0 has no snapshot
		return
	}
	if c.sentVersion >= head && c.sentVersion != noVersion {
		c.caughtUp = c.sentVersion == head || c.caughtUp
		return
	}
	if !s.history.covers(c.sentVersion) {
		s.beginSnapshot(c)
		return
	}
	missing := s.history.changesSince(c.sentVersion)
	bytes, sendable := frameBytes(missing)
	if !sendable || bytes > max(maxCatchUpBytes, s.snapshotBytesEstimate()) {
		s.beginSnapshot(c)
		return
	}
	for _, m := range missing {
		if !c.caughtUp || !ignoreRateLimits {
			if c.byteCredit <= 0 || s.byteCredit <= 0 || c.unwrittenBytes > maxCatchUpBytes {
				c.caughtUp = false
				return
			}
			s.spendCredit(c, len(m.frame))
		}
		s.enqueueFrame(c, m.frame)
		c.sentVersion = m.change.Version
	}
	c.caughtUp = true
	s.disconnectSlowReader(c)
}

// frameBytes returns the size of the changes' frames; false if one of the changes is too large for a frame.
func frameBytes(changes []retainedChange) (bytes int, sendable bool) {
	for _, retained := range changes {
		if retained.frame == nil {
			return 0, false
		}
		bytes += len(retained.frame)
	}
	return bytes, true
}

// snapshotBytesEstimate estimates the size of the compressed document.
func (s *Server) snapshotBytesEstimate() int { return len(s.history.headDocument.text) / 8 }

func (s *Server) spendCredit(c *followerConn, bytes int) {
	c.byteCredit -= float64(bytes)
	s.byteCredit -= float64(bytes)
}

// beginSnapshot starts to send a follower the document. Followers that need it at about the same time share one compressed copy,
// because compressing a document of 140,000 tenants takes long.
func (s *Server) beginSnapshot(c *followerConn) {
	if !s.isCachedSnapshotUsable() {
		head, doc := s.history.Head()
		s.cachedSnapshot = &compressedDocument{
			version:   head,
			digest:    doc.digest,
			textBytes: len(doc.text),
			data:      compress([]byte(doc.text)),
		}
	}
	p := s.cachedSnapshot
	c.caughtUp, c.snapshot = false, p
	c.snapshotSent, c.snapshotReceived, c.chunkSentAt = 0, 0, 0
	c.chunkWindow = 4 * minChunkBytes
	s.enqueueFrame(c, encodeFrame(frameSnapshotBegin, &snapshotBegin{
		Version:   p.version,
		Digest:    p.digest[:],
		Size:      uint64(len(p.data)),
		TextBytes: uint64(p.textBytes),
	}))
}

// isCachedSnapshotUsable reports whether the changes since the cached snapshot are retained and small enough to be sent after it.
func (s *Server) isCachedSnapshotUsable() bool {
	p := s.cachedSnapshot
	if p == nil || !s.history.covers(p.version) {
		return false
	}
	bytes, sendable := frameBytes(s.history.changesSince(p.version))
	maxLag := min(maxSnapshotLagBytes, max(maxCatchUpBytes, len(s.history.headDocument.text)/16))
	return sendable && bytes <= maxLag
}

// sendRateLimited sends the data whose rate is limited to the connections in turn, until nothing is left to send or the credit is spent.
func (s *Server) sendRateLimited(now float64) {
	withoutSending := 0 // number of consecutive connections to which nothing was sent
	for withoutSending < len(s.connOrder) && s.byteCredit > 0 {
		if s.nextConn >= len(s.connOrder) {
			s.nextConn = 0
		}
		c := s.connOrder[s.nextConn]
		s.nextConn++
		withoutSending++
		if s.sendNextChunk(now, c) {
			withoutSending = 0
		}
	}
}

// sendNextChunk sends a follower the next part of the data that it lacks, if the rate limits allow it, and reports whether it sent
// anything.
func (s *Server) sendNextChunk(now float64, c *followerConn) bool {
	if c.snapshot == nil {
		before := c.sentVersion
		if c.helloReceived && !c.caughtUp {
			s.sendMissingChanges(c, false)
		}
		return c.sentVersion != before
	}
	remaining := len(c.snapshot.data) - c.snapshotSent
	if remaining == 0 {
		if c.snapshotReceived != c.snapshotSent {
			return false
		}
		// The follower has the complete snapshot. Continue with the changes since.
		c.sentVersion, c.snapshot = c.snapshot.version, nil
		s.sendMissingChanges(c, false)
		return true
	}
	inFlight := c.snapshotSent - c.snapshotReceived
	size := min(remaining, c.chunkWindow-inFlight, maxChunkBytes, max(c.chunkWindow/2, minChunkBytes))
	if size <= 0 || size < min(remaining, minChunkBytes) || c.byteCredit < float64(size) {
		return false
	}
	if c.chunkSentAt == 0 || inFlight == 0 {
		c.chunkSentAt = now
	}
	s.spendCredit(c, size)
	s.enqueueFrame(c, encodeFrame(frameSnapshotChunk, &snapshotChunk{
		Offset: uint64(c.snapshotSent),
		Data:   c.snapshot.data[c.snapshotSent : c.snapshotSent+size],
	}))
	c.snapshotSent += size
	return true
}

// recordSnapshotProgress records how much of the snapshot a status reports as received, and adapts the window to the time that took.
func (c *followerConn) recordSnapshotProgress(now float64, st *status) {
	if c.snapshot == nil || int(min(st.SnapshotReceived, uint64(c.snapshotSent))) <= c.snapshotReceived {
		return
	}
	switch elapsed := now - c.chunkSentAt; {
	case elapsed <= fastChunkMs:
		c.chunkWindow = min(2*c.chunkWindow, 2*maxChunkBytes)
	case elapsed > slowChunkMs:
		c.chunkWindow = max(c.chunkWindow/2, minChunkBytes)
	}
	c.snapshotReceived, c.chunkSentAt = int(st.SnapshotReceived), now
}
