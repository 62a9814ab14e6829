package controlplane

import (
	"cmp"
	"errors"
	"slices"

	"pearknot/internal/snapshot"
)

const (
	mostKept      = 4096     // changes: three days of 1,300
	mostKeptBytes = 16 << 20 // and what undoes them
)

// History is the replicated state: the head, the changes that led there, as many as are kept, and what undoes them.
type History struct {
	version uint64
	doc     *Document
	kept    []kept // oldest first, without gaps, up to the head
	size    int
	ids     map[uint64]uint64 // versions by proposal
	most    int               // changes kept
}

type kept struct {
	change Change
	undo   []Splice
	frame  []byte // for followers; nil where it is too large for one
	size   int
}

func newHistory(version uint64, doc *Document, most int) *History {
	return &History{version: version, doc: doc, ids: map[uint64]uint64{}, most: most}
}

// Head is the newest version; before the first change it is 0, with an empty object.
func (h *History) Head() (version uint64, doc *Document) { return h.version, h.doc }

// oldest is the version that the kept changes begin from.
func (h *History) oldest() uint64 { return h.version - uint64(len(h.kept)) }

// At makes an earlier version's document again, if all that led from there is kept.
func (h *History) At(version uint64) (*Document, bool) {
	if version > h.version || version < h.oldest() {
		return nil, false
	}
	if version == h.version {
		return h.doc, true
	}
	lines := make([]string, 0, h.doc.Lines())
	for k := range h.doc.Lines() {
		lines = append(lines, h.doc.line(k))
	}
	for n := len(h.kept) - 1; n >= int(version-h.oldest()); n-- {
		for _, s := range slices.Backward(h.kept[n].undo) { // from the end, so that places still fit
			if most := uint64(len(lines)); s.At > most || s.Delete > most-s.At {
				return nil, false
			}
			lines = slices.Replace(lines, int(s.At), int(s.At+s.Delete), s.Insert...)
		}
	}
	doc, err := nothingLike().splice([]Splice{{Insert: lines}})
	if err != nil {
		return nil, false
	}
	if want, known := h.digestAt(version); known && doc.digest != want {
		return nil, false
	}
	return doc, true
}

// nothingLike has no lines at all: what At begins from.
func nothingLike() *Document { return &Document{starts: []uint32{0}} }

// digestAt is a version's, where the change that made it is kept.
func (h *History) digestAt(version uint64) (Digest, bool) {
	switch {
	case version == h.version:
		return h.doc.digest, true
	case version > h.version || version <= h.oldest():
		return Digest{}, false
	}
	return h.kept[version-h.oldest()-1].change.Digest, true
}

// Since is what leads from a version to the head; false where not all of it is kept.
func (h *History) Since(version uint64) ([]Change, bool) {
	if version > h.version || version < h.oldest() {
		return nil, false
	}
	var all []Change
	for _, k := range h.kept[version-h.oldest():] {
		all = append(all, k.change)
	}
	return all, true
}

// Log is the latest changes, newest first, without what they change.
func (h *History) Log(most int) (all []Change) {
	for _, k := range slices.Backward(h.kept) {
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
func (h *History) Find(id uint64) (version uint64, ok bool) {
	version, ok = h.ids[id]
	return version, ok
}

// take goes on by a change that has been applied to the head already.
func (h *History) take(c Change, next *Document) {
	if h.most > 0 {
		k := kept{change: c, undo: h.doc.undo(c.Splices), frame: encodeChange(&c)}
		k.size = k.bytes()
		h.keep(k)
	}
	h.version, h.doc = c.Version, next
}

// bytes is about what it takes in memory.
func (k *kept) bytes() int {
	n := 200 + len(k.frame) + len(k.change.By) + len(k.change.Reason)
	for _, all := range [][]Splice{k.change.Splices, k.undo} {
		for _, s := range all {
			n += 48
			for _, l := range s.Insert {
				n += 16 + len(l)
			}
		}
	}
	return n
}

func (h *History) keep(k kept) {
	h.kept = append(h.kept, k)
	h.size += k.size
	h.ids[k.change.ID] = k.change.Version
	for len(h.kept) > h.most || h.size > mostKeptBytes && len(h.kept) > 1 {
		old := h.kept[0]
		h.size -= old.size
		if h.ids[old.change.ID] == old.change.Version {
			delete(h.ids, old.change.ID)
		}
		h.kept[0] = kept{} // lets go of it before the list is made anew
		h.kept = h.kept[1:]
	}
}

// reset goes to a version that came whole.
func (h *History) reset(version uint64, doc *Document) {
	h.version, h.doc, h.kept, h.size = version, doc, nil, 0
	clear(h.ids)
}

func (h *History) image() []byte {
	m := image{Form: imageForm, Version: h.version, Text: h.doc.text}
	for _, k := range h.kept {
		m.Kept = append(m.Kept, imageKept{fromChange(&k.change), fromSplices(k.undo)})
	}
	return pack(snapshot.Append(nil, &m))
}

var errImage = errors.New("odd image of a history")

// readImage makes a history of its image.
func readImage(data []byte, most int) (*History, error) {
	data, err := unpack(data, mostImage)
	if err != nil {
		return nil, errImage
	}
	var m image
	if snapshot.Read(data, &m) != nil || m.Form != imageForm || uint64(len(m.Kept)) > m.Version {
		return nil, errImage
	}
	doc, err := newDocument(m.Text)
	if err != nil {
		return nil, errImage
	}
	h := newHistory(m.Version, doc, cmp.Or(most, mostKept))
	for n := range m.Kept {
		c, err := m.Kept[n].Change.change()
		undo, odd := toSplices(m.Kept[n].Undo)
		if err != nil || odd != nil || c.Version != m.Version-uint64(len(m.Kept)-n)+1 {
			return nil, errImage
		}
		k := kept{change: c, undo: undo, frame: encodeChange(&c)}
		k.size = k.bytes()
		h.keep(k)
	}
	if n := len(h.kept); n > 0 && h.kept[n-1].change.Digest != doc.digest {
		return nil, errImage
	}
	return h, nil
}
