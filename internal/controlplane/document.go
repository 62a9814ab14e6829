package controlplane

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"unicode/utf8"
)

// MaxDocumentBytes bounds a document's text. It is six times the size of a configuration of 140,000 tenants.
const MaxDocumentBytes = 32 << 20

// maxDocumentLines bounds the line index, which takes 4 bytes per line.
const maxDocumentLines = 2 << 20

// A voter sends these texts in Result.Detail to the proposer of a change that it rejects. The proposer may be of another build, so
// the texts stay the same in all builds. They mean: malformed document text, invalid splices, digest mismatch.
var (
	errMalformedText  = errors.New("odd text of a document")
	errInvalidSplices = errors.New("odd splices")
	errDigestMismatch = errors.New("digest differs")
)

// Document is the canonical text of a JSON object: without whitespace but the line ends, one line for each member at depth 1 and each
// element at depth 2, with the order and the spelling of the values unchanged. A tenant is a line, so that a change of one tenant is
// a splice of one line. A Document is immutable.
type Document struct {
	text       string
	lineStarts []uint32 // offset of each line, followed by the length of the text
	digest     Digest
}

// Parse returns the canonical form of a JSON object. The text of an error begins with line:column.
func Parse(text []byte) (*Document, error) {
	if len(text) > MaxDocumentBytes {
		return nil, fmt.Errorf("1:1: document has %d bytes, %d at most", len(text), MaxDocumentBytes)
	}
	if err := checkObject(text); err != nil {
		return nil, err
	}
	return newDocument(canonicalText(text))
}

// checkObject returns an error with line:column unless the text is one JSON object in UTF-8.
func checkObject(text []byte) error {
	if offset := invalidUTF8Offset(text); offset >= 0 {
		return syntaxError(text, offset, "not UTF-8")
	}
	if !json.Valid(text) {
		var syntax *json.SyntaxError
		if err := json.Unmarshal(text, new(json.RawMessage)); errors.As(err, &syntax) {
			return syntaxError(text, max(int(syntax.Offset)-1, 0), syntax.Error())
		}
		return syntaxError(text, 0, "not JSON")
	}
	if offset := len(text) - len(bytes.TrimLeft(text, " \t\r\n")); text[offset] != '{' {
		return syntaxError(text, offset, "not an object")
	}
	return nil
}

// canonicalText returns the canonical text of a valid JSON object.
func canonicalText(text []byte) string {
	out := make([]byte, 0, len(text)+64)
	depth, quoted := 0, false
	for i := 0; i < len(text); i++ {
		c := text[i]
		if quoted {
			out = append(out, c)
			if c == '\\' {
				i++
				out = append(out, text[i])
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
				if out[len(out)-1] == '\n' { // an empty object or array stays on one line
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
	return string(append(out, '\n'))
}

// invalidUTF8Offset returns the offset of the first byte that is not valid UTF-8, or -1 if there is none.
func invalidUTF8Offset(text []byte) int {
	if utf8.Valid(text) {
		return -1
	}
	offset := 0
	for {
		r, size := utf8.DecodeRune(text[offset:])
		if r == utf8.RuneError && size <= 1 {
			return offset
		}
		offset += size
	}
}

func syntaxError(text []byte, offset int, message string) error {
	offset = min(offset, len(text))
	line := 1 + bytes.Count(text[:offset], []byte{'\n'})
	column := offset - bytes.LastIndexByte(text[:offset], '\n')
	return fmt.Errorf("%d:%d: %s", line, column, message)
}

// newDocument returns the document of a canonical text. It doesn't check that the text is JSON: a text from another process is
// verified by its digest.
func newDocument(text string) (*Document, error) {
	if len(text) == 0 || len(text) > MaxDocumentBytes || text[len(text)-1] != '\n' {
		return nil, errMalformedText
	}
	lines := strings.Count(text, "\n")
	if lines > maxDocumentLines {
		return nil, errMalformedText
	}
	d := &Document{text: text, lineStarts: make([]uint32, 1, lines+1), digest: digestOf(text)}
	for offset := 0; offset < len(text); {
		offset += strings.IndexByte(text[offset:], '\n') + 1
		d.lineStarts = append(d.lineStarts, uint32(offset))
	}
	return d, nil
}

// digestOf hashes a text in blocks of 32 KiB, because converting the whole string to a byte slice would cost more than the hash.
func digestOf(text string) (d Digest) {
	const blockBytes = 32 << 10
	hash, block := sha256.New(), make([]byte, min(len(text), blockBytes))
	for text != "" {
		n := copy(block, text)
		hash.Write(block[:n])
		text = text[n:]
	}
	hash.Sum(d[:0])
	return d
}

// emptyDocument is the document of version 0.
func emptyDocument() *Document {
	d, _ := newDocument("{}\n")
	return d
}

// zeroLineDocument returns a document without lines. It is not valid itself, but a base to which splices can add lines.
func zeroLineDocument() *Document { return &Document{lineStarts: []uint32{0}} }

// Text returns a copy of the canonical text.
func (d *Document) Text() []byte { return []byte(d.text) }

// Digest returns the SHA-256 of the canonical text.
func (d *Document) Digest() Digest { return d.digest }

// LineCount returns the number of lines.
func (d *Document) LineCount() int { return len(d.lineStarts) - 1 }

// prefix returns the first 8 bytes of a digest, which are enough to detect that two documents differ.
func (d Digest) prefix() uint64 { return binary.BigEndian.Uint64(d[:]) }

// line returns a line without its line end. The string shares the document's memory.
func (d *Document) line(i int) string { return d.text[d.lineStarts[i] : d.lineStarts[i+1]-1] }

// copyLines copies the lines from from up to, not including, to. A retained change thus doesn't keep the document's text in memory.
func (d *Document) copyLines(from, to int) []string {
	var lines []string
	for i := from; i < to; i++ {
		lines = append(lines, strings.Clone(d.line(i)))
	}
	return lines
}

// Apply returns the document with the splices applied. It returns an error if they are invalid for this document or if the digest of
// the result is not want.
func (d *Document) Apply(splices []Splice, want Digest) (*Document, error) {
	next, err := d.applySplices(splices)
	if err != nil {
		return nil, err
	}
	if next.digest != want {
		return nil, errDigestMismatch
	}
	return next, nil
}

func (d *Document) applySplices(splices []Splice) (*Document, error) {
	size, err := d.sizeAfter(splices)
	if err != nil {
		return nil, err
	}
	var text strings.Builder
	text.Grow(size)
	end := uint64(0) // first line not yet copied
	for _, s := range splices {
		text.WriteString(d.text[d.lineStarts[end]:d.lineStarts[s.Line]])
		for _, line := range s.Insert {
			text.WriteString(line)
			text.WriteByte('\n')
		}
		end = s.Line + s.Delete
	}
	text.WriteString(d.text[d.lineStarts[end]:])
	return newDocument(text.String())
}

// sizeAfter returns the document's size in bytes after the splices. It returns an error if they overlap, reach beyond the document,
// insert a line that contains a line end, or make the document larger than MaxDocumentBytes.
func (d *Document) sizeAfter(splices []Splice) (int, error) {
	size, end, lines := len(d.text), uint64(0), uint64(d.LineCount())
	for _, s := range splices {
		if s.Line < end || s.Line > lines || s.Delete > lines-s.Line {
			return 0, errInvalidSplices
		}
		end = s.Line + s.Delete
		size -= int(d.lineStarts[end] - d.lineStarts[s.Line])
		for _, line := range s.Insert {
			if size += len(line) + 1; size > MaxDocumentBytes || strings.IndexByte(line, '\n') >= 0 {
				return 0, errInvalidSplices
			}
		}
	}
	return size, nil
}

// inverseSplices returns the splices that undo the given ones, which must be valid for this document.
func (d *Document) inverseSplices(splices []Splice) []Splice {
	var inverse []Splice
	shift := uint64(0) // lines inserted minus lines deleted so far; a negative value wraps, and the addition wraps it back
	for _, s := range splices {
		inverse = append(inverse, Splice{
			Line:   s.Line + shift,
			Delete: uint64(len(s.Insert)),
			Insert: d.copyLines(int(s.Line), int(s.Line+s.Delete)),
		})
		shift += uint64(len(s.Insert)) - s.Delete
	}
	return inverse
}
