package controlplane

import (
	"cmp"
	"errors"
	"slices"

	"pearknot/internal/snapshot"
)

const (
	defaultRetainedChanges = 4096     // changes: three days of 1,300
	maxRetainedBytes       = 16 << 20 // and what undoes them
)

// History is the replicated state: the head, the changes that led there, as many as are kept, and what undoes them.
type History struct {
	headVersion       uint64
	headDocument      *Document
	changes           []retainedChange // oldest first, without gaps, up to the head
	retainedBytes     int
	versionByProposal map[uint64]uint64 // versions by proposal
	maxChanges        int               // changes kept
}

type retainedChange struct {
	change      Change
	inverse     []Splice
	frame       []byte // for followers; nil where it is too large for one
	memoryBytes int
}

func newHistory(version uint64, doc *Document, most int) *History {
	return &History{headVersion: version, headDocument: doc, versionByProposal: map[uint64]uint64{}, maxChanges: most}
}

// Head is the newest version; before the first change it is 0, with an empty object.
func (h *History) Head() (version uint64, doc *Document) { return h.headVersion, h.headDocument }

// oldest is the version that the kept changes begin from.
func (h *History) oldestVersion() uint64 { return h.headVersion - uint64(len(h.changes)) }

// At makes an earlier version's document again, if all that led from there is kept.
func (h *History) DocumentAt(version uint64) (*Document, bool) {
	if version > h.headVersion || version < h.oldestVersion() {
		return nil, false
	}
	if version == h.headVersion {
		return h.headDocument, true
	}
	lines := make([]string, 0, h.headDocument.LineCount())
	for k := range h.headDocument.LineCount() {
		lines = append(lines, h.headDocument.line(k))
	}
	for n := len(h.changes) - 1; n >= int(version-h.oldestVersion()); n-- {
		for _, s := range slices.Backward(h.changes[n].inverse) { // from the end, so that places still fit
			if most := uint64(len(lines)); s.Line > most || s.Delete > most-s.Line {
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

// nothingLike has no lines at all: what At begins from.
func zeroLineDocument() *Document { return &Document{lineStarts: []uint32{0}} }

// digestAt is a version's, where the change that made it is kept.
func (h *History) digestAt(version uint64) (Digest, bool) {
	switch {
	case version == h.headVersion:
		return h.headDocument.digest, true
	case version > h.headVersion || version <= h.oldestVersion():
		return Digest{}, false
	}
	return h.changes[version-h.oldestVersion()-1].change.Digest, true
}

// Since is what leads from a version to the head; false where not all of it is kept.
func (h *History) ChangesSince(version uint64) ([]Change, bool) {
	if version > h.headVersion || version < h.oldestVersion() {
		return nil, false
	}
	var all []Change
	for _, k := range h.changes[version-h.oldestVersion():] {
		all = append(all, k.change)
	}
	return all, true
}

// Log is the latest changes, newest first, without what they change.
func (h *History) RecentChanges(most int) (all []Change) {
	for _, k := range slices.Backward(h.changes) {
		if len(all) == most {
			break
		}
		c := k.change
		c.Splices = nil
		all = append(all, c)
	}
	return all
}

// Find tells which version a proposal has made, among the changes kept.
func (h *History) FindProposal(id uint64) (version uint64, ok bool) {
	version, ok = h.versionByProposal[id]
	return version, ok
}

// take goes on by a change that has been applied to the head already.
func (h *History) appendChange(c Change, next *Document) {
	if h.maxChanges > 0 {
		k := retainedChange{change: c, inverse: h.headDocument.inverseSplices(c.Splices), frame: encodeChange(&c)}
		k.memoryBytes = k.memorySize()
		h.retain(k)
	}
	h.headVersion, h.headDocument = c.Version, next
}

// bytes is about what it takes in memory.
func (k *retainedChange) memorySize() int {
	n := 200 + len(k.frame) + len(k.change.By) + len(k.change.Reason)
	for _, all := range [][]Splice{k.change.Splices, k.inverse} {
		for _, s := range all {
			n += 48
			for _, l := range s.Insert {
				n += 16 + len(l)
			}
		}
	}
	return n
}

func (h *History) retain(k retainedChange) {
	h.changes = append(h.changes, k)
	h.retainedBytes += k.memoryBytes
	h.versionByProposal[k.change.ID] = k.change.Version
	for len(h.changes) > h.maxChanges || h.retainedBytes > maxRetainedBytes && len(h.changes) > 1 {
		old := h.changes[0]
		h.retainedBytes -= old.memoryBytes
		if h.versionByProposal[old.change.ID] == old.change.Version {
			delete(h.versionByProposal, old.change.ID)
		}
		h.changes[0] = retainedChange{} // lets go of it before the list is made anew
		h.changes = h.changes[1:]
	}
}

// reset goes to a version that came whole.
func (h *History) resetTo(version uint64, doc *Document) {
	h.headVersion, h.headDocument, h.changes, h.retainedBytes = version, doc, nil, 0
	clear(h.versionByProposal)
}

func (h *History) encodeSnapshot() []byte {
	m := historySnapshot{FormatVersion: historySnapshotFormat, Version: h.headVersion, Text: h.headDocument.text}
	for _, k := range h.changes {
		m.Changes = append(m.Changes, snapshotChange{newWireChange(&k.change), encodeSplices(k.inverse)})
	}
	return compress(snapshot.Append(nil, &m))
}

var errMalformedSnapshot = errors.New("odd image of a history")

// readImage makes a history of its image.
func decodeHistorySnapshot(data []byte, most int) (*History, error) {
	data, err := decompress(data, maxSnapshotBytes)
	if err != nil {
		return nil, errMalformedSnapshot
	}
	var m historySnapshot
	if snapshot.Read(data, &m) != nil || m.FormatVersion != historySnapshotFormat || uint64(len(m.Changes)) > m.Version {
		return nil, errMalformedSnapshot
	}
	doc, err := newDocument(m.Text)
	if err != nil {
		return nil, errMalformedSnapshot
	}
	h := newHistory(m.Version, doc, cmp.Or(most, defaultRetainedChanges))
	for n := range m.Changes {
		c, err := m.Changes[n].Change.decode()
		undo, odd := decodeSplices(m.Changes[n].Inverse)
		if err != nil || odd != nil || c.Version != m.Version-uint64(len(m.Changes)-n)+1 {
			return nil, errMalformedSnapshot
		}
		k := retainedChange{change: c, inverse: undo, frame: encodeChange(&c)}
		k.memoryBytes = k.memorySize()
		h.retain(k)
	}
	if n := len(h.changes); n > 0 && h.changes[n-1].change.Digest != doc.digest {
		return nil, errMalformedSnapshot
	}
	return h, nil
}
