package server

import (
	"bytes"
	"strconv"
	"strings"
)

// framing tracks where the requests on a connection begin and end, from the bytes themselves. net/http alone is not enough:
// it drops a Content-Length beside a Transfer-Encoding before a handler sees it, so that a request hidden in the body
// (request smuggling) would pass, and it takes whatever follows a request for the next one.
type framing struct {
	stage    framingStage
	line     [48]byte // the beginning of the current header line, as far as it is needed
	lineSize int      // of the whole line so far
	bodyLeft int64

	hasLength    bool // the header has a Content-Length
	hasEncoding  bool // the header has a Transfer-Encoding
	ambiguous    bool // a request had both
	mustBeLast   bool // the request's end is not tracked, so nothing may come after it
	requestEnded bool // the latest request has come completely
}

type framingStage uint8

const (
	stageBetween framingStage = iota // no part of a request has come
	stageHead
	stageBody
	stageUntracked // mustBeLast: the rest of the connection is not tracked
)

// observe takes bytes that were read and reports whether any of them comes after a request's end.
func (f *framing) observe(data []byte) (isBehind bool) {
	for len(data) > 0 {
		switch f.stage {
		case stageBetween:
			if data[0] == '\r' || data[0] == '\n' { // some clients end a body with a line
				data = data[1:]
				continue
			}
			isBehind = isBehind || f.requestEnded
			*f = framing{stage: stageHead, ambiguous: f.ambiguous}
		case stageHead:
			data = f.observeHead(data)
		case stageBody:
			size := min(int64(len(data)), f.bodyLeft)
			f.bodyLeft -= size
			data = data[size:]
			f.endBodyIfComplete()
		case stageUntracked:
			return isBehind
		}
	}
	return isBehind
}

// observeHead takes bytes up to the end of a header line, and returns the rest.
func (f *framing) observeHead(data []byte) (rest []byte) {
	part, rest, isLineEnd := bytes.Cut(data, []byte{'\n'})
	if f.lineSize < len(f.line) {
		copy(f.line[f.lineSize:], part)
	}
	f.lineSize += len(part)
	if isLineEnd {
		f.endLine()
	}
	return rest
}

// endLine evaluates a complete header line, if it concerns the body's length.
func (f *framing) endLine() {
	line := string(f.line[:min(f.lineSize, len(f.line))])
	isComplete := f.lineSize <= len(f.line)
	f.lineSize = 0
	name, value, _ := strings.Cut(line, ":")
	switch {
	case isComplete && (line == "" || line == "\r"):
		f.endHead()
	case strings.EqualFold(name, "Transfer-Encoding"):
		f.hasEncoding, f.mustBeLast = true, true
	case strings.EqualFold(name, "Content-Length"):
		size, err := strconv.ParseInt(strings.Trim(value, " \t\r"), 10, 64)
		f.bodyLeft, f.hasLength = size, true
		f.mustBeLast = f.mustBeLast || err != nil || !isComplete || size < 0
	}
}

func (f *framing) endHead() {
	f.ambiguous = f.ambiguous || f.hasLength && f.hasEncoding
	if f.mustBeLast {
		f.stage = stageUntracked
		return
	}
	f.stage = stageBody
	f.endBodyIfComplete()
}

func (f *framing) endBodyIfComplete() {
	if f.bodyLeft == 0 {
		f.stage, f.requestEnded = stageBetween, true
	}
}
