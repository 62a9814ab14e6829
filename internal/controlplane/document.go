package controlplane

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"unicode/utf8"
)

const (
	MaxDocumentBytes = 32 << 20 // bytes of a document's text: six times what 140,000 tenants take
	maxDocumentLines = 2 << 20
)

// Document is the canonical text of a JSON object: no blanks, a line for each member at depth 1 and each element at depth 2, order and
// the values' own text kept. A tenant is a line. It never changes.
type Document struct {
	text       string
	lineStarts []uint32 // of the lines, and the text's end
	digest     Digest
}

// Parse makes the canonical form of a JSON object. An error begins with line:column.
func Parse(text []byte) (*Document, error) {
	if len(text) > MaxDocumentBytes {
		return nil, fmt.Errorf("1:1: %d bytes, %d at most", len(text), MaxDocumentBytes)
	}
	if at := invalidUTF8Offset(text); at >= 0 {
		return nil, syntaxError(text, at, "not UTF-8")
	}
	if !json.Valid(text) {
		var s *json.SyntaxError
		if err := json.Unmarshal(text, new(json.RawMessage)); errors.As(err, &s) {
			return nil, syntaxError(text, max(int(s.Offset)-1, 0), s.Error())
		}
		return nil, syntaxError(text, 0, "not JSON")
	}
	if at := len(text) - len(bytes.TrimLeft(text, " \t\r\n")); text[at] != '{' {
		return nil, syntaxError(text, at, "not an object")
	}
	out := make([]byte, 0, len(text)+64)
	depth, quoted := 0, false
	for k := 0; k < len(text); k++ {
		c := text[k]
		if quoted {
			out = append(out, c)
			if c == '\\' {
				k++
				out = append(out, text[k])
			}
			quoted = c != '"'
			continue
		}
		switch c {
		case ' ', '\t', '\r', '\n':
		case '"':
			quoted = true
			out = append(out, c)
		case '{', '[':
			out = append(out, c)
			if depth++; depth <= 2 {
				out = append(out, '\n')
			}
		case '}', ']':
			if depth--; depth < 2 {
				if out[len(out)-1] == '\n' { // nothing in it
					out = out[:len(out)-1]
				} else {
					out = append(out, '\n')
				}
			}
			out = append(out, c)
		case ',':
			out = append(out, c)
			if depth <= 2 {
				out = append(out, '\n')
			}
		default:
			out = append(out, c)
		}
	}
	return newDocument(string(append(out, '\n')))
}

// oddUTF8 tells where a text stops being UTF-8; -1 is nowhere.
func invalidUTF8Offset(text []byte) int {
	if utf8.Valid(text) {
		return -1
	}
	at := 0
	for {
		r, size := utf8.DecodeRune(text[at:])
		if r == utf8.RuneError && size <= 1 {
			return at
		}
		at += size
	}
}

func syntaxError(text []byte, at int, what string) error {
	at = min(at, len(text))
	line := 1 + bytes.Count(text[:at], []byte{'\n'})
	return fmt.Errorf("%d:%d: %s", line, at-bytes.LastIndexByte(text[:at], '\n'), what)
}

var errMalformedText = errors.New("odd text of a document")

// newDocument takes a text that is in lines already: what it says is its digest's to prove.
func newDocument(text string) (*Document, error) {
	if len(text) == 0 || len(text) > MaxDocumentBytes || text[len(text)-1] != '\n' {
		return nil, errMalformedText
	}
	lines := strings.Count(text, "\n")
	if lines > maxDocumentLines {
		return nil, errMalformedText
	}
	d := &Document{text: text, lineStarts: make([]uint32, 1, lines+1), digest: digestOf(text)}
	for at := 0; at < len(text); {
		at += strings.IndexByte(text[at:], '\n') + 1
		d.lineStarts = append(d.lineStarts, uint32(at))
	}
	return d, nil
}

// digestOf hashes a text piece by piece: copied whole it would cost more than the hash.
func digestOf(text string) (d Digest) {
	h, piece := sha256.New(), make([]byte, min(len(text), 32<<10))
	for text != "" {
		n := copy(piece, text)
		h.Write(piece[:n])
		text = text[n:]
	}
	h.Sum(d[:0])
	return d
}

// nothing is version 0's.
func emptyDocument() *Document {
	d, _ := newDocument("{}\n")
	return d
}

func (d *Document) Text() []byte   { return []byte(d.text) }
func (d *Document) Digest() Digest { return d.digest }
func (d *Document) LineCount() int { return len(d.lineStarts) - 1 }

// start is enough of a digest to notice that two differ.
func (d Digest) prefix() uint64 { return binary.BigEndian.Uint64(d[:]) }

// line is without its end.
func (d *Document) line(k int) string { return d.text[d.lineStarts[k] : d.lineStarts[k+1]-1] }

// lines copies some, so that they don't keep the whole text in memory.
func (d *Document) copyLines(from, to int) (all []string) {
	for k := from; k < to; k++ {
		all = append(all, strings.Clone(d.line(k)))
	}
	return all
}

var (
	errInvalidSplices = errors.New("odd splices")
	errDigestMismatch = errors.New("digest differs")
)

// Apply makes the document that the splices lead to; nil and an error where they don't fit, or lead elsewhere.
func (d *Document) Apply(s []Splice, want Digest) (*Document, error) {
	next, err := d.applySplices(s)
	if err == nil && next.digest != want {
		next, err = nil, errDigestMismatch
	}
	return next, err
}

func (d *Document) applySplices(all []Splice) (*Document, error) {
	size, at, lines := len(d.text), uint64(0), uint64(d.LineCount())
	for _, s := range all {
		if s.Line < at || s.Line > lines || s.Delete > lines-s.Line {
			return nil, errInvalidSplices
		}
		at = s.Line + s.Delete
		size -= int(d.lineStarts[at] - d.lineStarts[s.Line])
		for _, l := range s.Insert {
			if size += len(l) + 1; size > MaxDocumentBytes || strings.IndexByte(l, '\n') >= 0 {
				return nil, errInvalidSplices
			}
		}
	}
	var b strings.Builder
	b.Grow(size)
	at = 0
	for _, s := range all {
		b.WriteString(d.text[d.lineStarts[at]:d.lineStarts[s.Line]])
		for _, l := range s.Insert {
			b.WriteString(l)
			b.WriteByte('\n')
		}
		at = s.Line + s.Delete
	}
	b.WriteString(d.text[d.lineStarts[at]:])
	return newDocument(b.String())
}

// undo is what leads back from where fitting splices lead.
func (d *Document) inverseSplices(all []Splice) (back []Splice) {
	shift := uint64(0)
	for _, s := range all {
		back = append(back, Splice{Line: s.Line + shift, Delete: uint64(len(s.Insert)), Insert: d.copyLines(int(s.Line), int(s.Line+s.Delete))})
		shift += uint64(len(s.Insert)) - s.Delete // wraps where lines go, and At wraps it back
	}
	return back
}

// deepest bounds how often a stretch is parted again between lines that occur once in it: a text that goes on so is replaced instead.
const maxDiffDepth = 64

// Diff tells what leads from one document to another: common ends are left out, what is between is matched by the lines that occur
// once in both (patience diff).
func Diff(from, to *Document) []Splice {
	d := differ{from: from, to: to}
	d.part(0, from.LineCount(), 0, to.LineCount(), 0)
	if n := len(d.found); n > maxSplices { // nearly all is new
		first, last := d.found[0], d.found[n-1]
		end := last.Line + last.Delete
		d.found = []Splice{{Line: first.Line, Delete: end - first.Line, Insert: to.copyLines(int(first.Line), to.LineCount()-from.LineCount()+int(end))}}
	}
	return d.found
}

type differ struct {
	from, to *Document
	found    []Splice
}

func (d *differ) part(a, aEnd, b, bEnd, depth int) {
	for a < aEnd && b < bEnd && d.from.line(a) == d.to.line(b) {
		a, b = a+1, b+1
	}
	for a < aEnd && b < bEnd && d.from.line(aEnd-1) == d.to.line(bEnd-1) {
		aEnd, bEnd = aEnd-1, bEnd-1
	}
	if a == aEnd && b == bEnd {
		return
	}
	if a < aEnd && b < bEnd && depth < maxDiffDepth {
		if common := d.anchors(a, aEnd, b, bEnd); len(common) > 0 {
			for _, c := range common {
				d.part(a, c[0], b, c[1], depth+1)
				a, b = c[0]+1, c[1]+1
			}
			d.part(a, aEnd, b, bEnd, depth+1)
			return
		}
	}
	d.found = append(d.found, Splice{Line: uint64(a), Delete: uint64(aEnd - a), Insert: d.to.copyLines(b, bEnd)})
}

// anchors are the pairs of lines that occur once on each side, as many as ascend on both.
func (d *differ) anchors(a, aEnd, b, bEnd int) (common [][2]int) {
	type seen struct{ inFrom, inTo, countFrom, countTo int }
	by := make(map[string]seen, aEnd-a)
	for k := a; k < aEnd; k++ {
		s := by[d.from.line(k)]
		s.inFrom, s.countFrom = k, s.countFrom+1
		by[d.from.line(k)] = s
	}
	for k := b; k < bEnd; k++ {
		if s, ok := by[d.to.line(k)]; ok {
			s.inTo, s.countTo = k, s.countTo+1
			by[d.to.line(k)] = s
		}
	}
	var pairs [][2]int
	for k := a; k < aEnd; k++ {
		if s := by[d.from.line(k)]; s.countFrom == 1 && s.countTo == 1 {
			pairs = append(pairs, [2]int{k, s.inTo})
		}
	}
	// The longest ascending run: tops[n] ends the one of n+1 pairs whose end is lowest.
	var tops []int
	before := make([]int, len(pairs))
	for k, p := range pairs {
		n, _ := slices.BinarySearchFunc(tops, p[1], func(top, at int) int { return pairs[top][1] - at })
		before[k] = -1
		if n > 0 {
			before[k] = tops[n-1]
		}
		if n == len(tops) {
			tops = append(tops, k)
		} else {
			tops[n] = k
		}
	}
	if len(tops) > 0 {
		for k := tops[len(tops)-1]; k >= 0; k = before[k] {
			common = append(common, pairs[k])
		}
		slices.Reverse(common)
	}
	return common
}
