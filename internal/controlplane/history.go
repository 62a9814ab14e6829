package controlplane

import (
	"cmp"
	"errors"
	"slices"

	"pearknot/internal/snapshot"
)

const (
	// defaultRetainedChanges is three days of 1,300 changes a day. A relay that was away for longer catches up by a snapshot.
	defaultRetainedChanges = 4096
	// maxRetainedBytes bounds the memory of the retained changes and their inverses, however large each of them is.
	maxRetainedBytes = 16 << 20
)

var errMalformedSnapshot = errors.New("malformed history snapshot")

// History holds the replicated state: the head document, and the latest changes that led to it with their inverses.
type History struct {
	headVersion       uint64
	headDocument      *Document
	changes           []retainedChange // oldest first, without gaps, up to the head
	retainedBytes     int
	versionByProposal map[uint64]uint64 // of the retained changes, by Change.ID
	maxChanges        int
}

type retainedChange struct {
	change      Change
	inverse     []Splice
	frame       []byte // the change encoded for followers; nil if it is too large for a frame
	memoryBytes int
}

func newHistory(version uint64, doc *Document, maxChanges int) *History {
	return &History{headVersion: version, headDocument: doc, versionByProposal: map[uint64]uint64{}, maxChanges: maxChanges}
}

// Head returns the newest version and its document. Before the first change these are version 0 and an empty object.
func (h *History) Head() (version uint64, doc *Document) { return h.headVersion, h.headDocument }

// oldestVersion returns the version before the first retained change: the oldest one that DocumentAt can restore.
func (h *History) oldestVersion() uint64 { return h.headVersion - uint64(len(h.changes)) }

// covers reports whether all changes from a version to the head are retained.
func (h *History) covers(version uint64) bool {
	return version >= h.oldestVersion() && version <= h.headVersion
}

// changesSince returns the retained changes after a version that the history covers.
func (h *History) changesSince(version uint64) []retainedChange {
	return h.changes[version-h.oldestVersion():]
}

// DocumentAt restores an earlier version's document, by undoing the later changes. It returns false if they are not all retained.
func (h *History) DocumentAt(version uint64) (*Document, bool) {
	if !h.covers(version) {
		return nil, false
	}
	if version == h.headVersion {
		return h.headDocument, true
	}
	lines := make([]string, 0, h.headDocument.LineCount())
	for i := range h.headDocument.LineCount() {
		lines = append(lines, h.headDocument.line(i))
	}
	for _, retained := range slices.Backward(h.changesSince(version)) {
		for _, s := range slices.Backward(retained.inverse) { // from the end, so that the line numbers of the others stay valid
			if count := uint64(len(lines)); s.Line > count || s.Delete > count-s.Line {
				return nil, false
			}
			lines = slices.Replace(lines, int(s.Line), int(s.Line+s.Delete), s.Insert...)
		}
	}
	doc, err := zeroLineDocument().applySplices([]Splice{{Insert: lines}})
	if err != nil {
		return nil, false
	}
	if want, known := h.digestAt(version); known && doc.digest != want {
		return nil, false
	}
	return doc, true
}

// digestAt returns a version's digest, if it is the head or the change that made it is retained.
func (h *History) digestAt(version uint64) (Digest, bool) {
	switch {
	case version == h.headVersion:
		return h.headDocument.digest, true
	case version > h.headVersion || version <= h.oldestVersion():
		return Digest{}, false
	}
	return h.changes[version-h.oldestVersion()-1].change.Digest, true
}

// ChangesSince returns the changes from a version to the head. It returns false if they are not all retained.
func (h *History) ChangesSince(version uint64) ([]Change, bool) {
	if !h.covers(version) {
		return nil, false
	}
	var changes []Change
	for _, retained := range h.changesSince(version) {
		changes = append(changes, retained.change)
	}
	return changes, true
}

// RecentChanges returns the latest changes, at most limit, newest first and without their splices.
func (h *History) RecentChanges(limit int) []Change {
	var changes []Change
	for _, retained := range slices.Backward(h.changes) {
		if len(changes) == limit {
			break
		}
		change := retained.change
		change.Splices = nil
		changes = append(changes, change)
	}
	return changes
}

// FindProposal returns the version that a proposal has created, if its change is retained.
func (h *History) FindProposal(id uint64) (version uint64, ok bool) {
	version, ok = h.versionByProposal[id]
	return version, ok
}

// appendChange makes next the head. The caller has applied the change to the previous head to get next.
func (h *History) appendChange(c Change, next *Document) {
	if h.maxChanges > 0 {
		h.retain(c, h.headDocument.inverseSplices(c.Splices))
	}
	h.headVersion, h.headDocument = c.Version, next
}

// retain stores a change, and drops the oldest ones beyond the limits of count and memory.
func (h *History) retain(c Change, inverse []Splice) {
	retained := retainedChange{change: c, inverse: inverse, frame: encodeChange(&c)}
	retained.memoryBytes = retained.memorySize()
	h.changes = append(h.changes, retained)
	h.retainedBytes += retained.memoryBytes
	h.versionByProposal[c.ID] = c.Version
	for len(h.changes) > h.maxChanges || h.retainedBytes > maxRetainedBytes && len(h.changes) > 1 {
		h.dropOldest()
	}
}

func (h *History) dropOldest() {
	oldest := h.changes[0]
	h.retainedBytes -= oldest.memoryBytes
	if h.versionByProposal[oldest.change.ID] == oldest.change.Version {
		delete(h.versionByProposal, oldest.change.ID)
	}
	h.changes[0] = retainedChange{} // the backing array stays until append reallocates it: release the content now
	h.changes = h.changes[1:]
}

// memorySize estimates the change's memory, in bytes.
func (r *retainedChange) memorySize() int {
	const (
		changeOverhead = 200
		spliceOverhead = 48
		lineOverhead   = 16 // a string header
	)
	size := changeOverhead + len(r.frame) + len(r.change.By) + len(r.change.Reason)
	for _, splices := range [][]Splice{r.change.Splices, r.inverse} {
		for _, s := range splices {
			size += spliceOverhead
			for _, line := range s.Insert {
				size += lineOverhead + len(line)
			}
		}
	}
	return size
}

// resetTo replaces the history by a version that came as a snapshot.
func (h *History) resetTo(version uint64, doc *Document) {
	h.headVersion, h.headDocument = version, doc
	h.changes, h.retainedBytes = nil, 0
	clear(h.versionByProposal)
}

// encodeSnapshot returns the history encoded as the data of a raft snapshot.
func (h *History) encodeSnapshot() []byte {
	s := historySnapshot{FormatVersion: historySnapshotFormat, Version: h.headVersion, Text: h.headDocument.text}
	for _, retained := range h.changes {
		s.Changes = append(s.Changes, snapshotChange{newWireChange(&retained.change), encodeSplices(retained.inverse)})
	}
	return compress(snapshot.AppendStruct(nil, &s))
}

// decodeHistorySnapshot decodes a history from the data of a raft snapshot. maxChanges 0 means defaultRetainedChanges.
func decodeHistorySnapshot(data []byte, maxChanges int) (*History, error) {
	data, err := decompress(data, maxSnapshotBytes)
	if err != nil {
		return nil, errMalformedSnapshot
	}
	var s historySnapshot
	if snapshot.ReadStruct(data, &s) != nil || s.FormatVersion != historySnapshotFormat || uint64(len(s.Changes)) > s.Version {
		return nil, errMalformedSnapshot
	}
	doc, err := newDocument(s.Text)
	if err != nil {
		return nil, errMalformedSnapshot
	}
	h := newHistory(s.Version, doc, cmp.Or(maxChanges, defaultRetainedChanges))
	for i := range s.Changes {
		change, changeErr := s.Changes[i].Change.decode()
		inverse, inverseErr := decodeSplices(s.Changes[i].Inverse)
		wantVersion := s.Version - uint64(len(s.Changes)-i) + 1
		if changeErr != nil || inverseErr != nil || change.Version != wantVersion {
			return nil, errMalformedSnapshot
		}
		h.retain(change, inverse)
	}
	if n := len(h.changes); n > 0 && h.changes[n-1].change.Digest != doc.digest {
		return nil, errMalformedSnapshot
	}
	return h, nil
}
