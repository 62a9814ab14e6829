package server

import (
	"bytes"
	"strconv"
	"strings"
)

// framing follows where the ops on a connection begin and end, from the bytes themselves: net/http drops a length
// that stands beside a transfer encoding before a handler sees it, and takes whatever follows an op for the next.
type framing struct {
	stage stage
	line  [48]byte // how the head's line begins, as far as is looked at
	size  int      // of that line
	left  int64    // of the body

	sized, coded bool // the head names a length, an encoding
	ambiguous    bool // one named both: an op may be hidden in its body
	last         bool // where the op ends is not followed: nothing may come behind it
	ended        bool // the latest op has
}

type stage uint8

const (
	between stage = iota
	head
	body
	astray
)

// see takes what was read and tells whether any of it lies behind an op's end.
func (f *framing) see(b []byte) (behind bool) {
	for len(b) > 0 {
		switch f.stage {
		case between:
			if b[0] == '\r' || b[0] == '\n' { // some clients end a body so
				b = b[1:]
				continue
			}
			behind = behind || f.ended
			*f = framing{stage: head, ambiguous: f.ambiguous}
		case head:
			end := bytes.IndexByte(b, '\n')
			part := b
			if end >= 0 {
				part = b[:end]
			}
			if f.size < len(f.line) {
				copy(f.line[f.size:], part)
			}
			f.size += len(part)
			if end < 0 {
				return behind
			}
			b = b[end+1:]
			f.lineEnds()
		case body:
			n := min(int64(len(b)), f.left)
			f.left, b = f.left-n, b[n:]
			f.bodyEnds()
		case astray:
			return behind
		}
	}
	return behind
}

func (f *framing) lineEnds() {
	line := string(f.line[:min(f.size, len(f.line))])
	whole := f.size <= len(f.line)
	f.size = 0
	name, value, _ := strings.Cut(line, ":")
	switch {
	case whole && (line == "" || line == "\r"):
		f.ambiguous = f.ambiguous || f.sized && f.coded
		if f.last {
			f.stage = astray
			return
		}
		f.stage = body
		f.bodyEnds()
	case strings.EqualFold(name, "Transfer-Encoding"):
		f.coded, f.last = true, true
	case strings.EqualFold(name, "Content-Length"):
		var err error
		f.left, err = strconv.ParseInt(strings.Trim(value, " \t\r"), 10, 64)
		f.sized, f.last = true, f.last || err != nil || !whole || f.left < 0
	}
}

func (f *framing) bodyEnds() {
	if f.left == 0 {
		f.stage, f.ended = between, true
	}
}
