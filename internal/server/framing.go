package server

import (
	"bytes"
	"strconv"
	"strings"
)

// framing tracks where the requests on a connection begin and end, by parsing the bytes that are read. net/http alone is not
// enough: it drops a Content-Length beside a Transfer-Encoding before a handler sees it, so that a request hidden in the body
// (request smuggling) would pass, and it parses any bytes after a request as the next one.
type framing struct {
	stage    framingStage
	line     [48]byte // the beginning of the current header line; the rest is not needed
	lineSize int      // bytes of the current header line so far
	bodyLeft int64    // bytes of the body that have not arrived
	head     headSize // of the current request

	hasLength    bool // the header has a Content-Length
	hasEncoding  bool // the header has a Transfer-Encoding
	ambiguous    bool // a request had both a Content-Length and a Transfer-Encoding
	mustBeLast   bool // the request's end is not tracked, so no other request may follow
	requestEnded bool // the latest request has arrived completely
}

// headSize is the size of the part of a request's head that has arrived.
type headSize struct {
	bytes  int
	fields int // complete lines, including the request line
}

type framingStage uint8

const (
	stageIdle framingStage = iota // between requests
	stageHeader
	stageBody
	stageUntracked // mustBeLast: the rest of the connection is not tracked
)

// observe parses bytes that were read and reports whether any of them follows a request's end.
func (f *framing) observe(data []byte) (hasTrailing bool) {
	for len(data) > 0 {
		switch f.stage {
		case stageIdle:
			if data[0] == '\r' || data[0] == '\n' { // some clients send a line break after a body
				data = data[1:]
				continue
			}
			hasTrailing = hasTrailing || f.requestEnded
			*f = framing{stage: stageHeader, ambiguous: f.ambiguous}
		case stageHeader:
			data = f.observeHeader(data)
		case stageBody:
			size := min(int64(len(data)), f.bodyLeft)
			f.bodyLeft -= size
			data = data[size:]
			f.endBodyIfComplete()
		case stageUntracked:
			return hasTrailing
		}
	}
	return hasTrailing
}

// observeHeader parses bytes up to the end of a header line, and returns the rest.
func (f *framing) observeHeader(data []byte) (rest []byte) {
	part, rest, isLineEnd := bytes.Cut(data, []byte{'\n'})
	if f.lineSize < len(f.line) {
		copy(f.line[f.lineSize:], part)
	}
	f.lineSize += len(part)
	f.head.bytes += len(data) - len(rest)
	if isLineEnd {
		f.head.fields++
		f.endLine()
	}
	return rest
}

// endLine evaluates a complete header line that concerns the body's length or ends the header.
func (f *framing) endLine() {
	line := string(f.line[:min(f.lineSize, len(f.line))])
	isComplete := f.lineSize <= len(f.line)
	f.lineSize = 0
	name, value, _ := strings.Cut(line, ":")
	switch {
	case isComplete && (line == "" || line == "\r"):
		f.endHeader()
	case strings.EqualFold(name, "Transfer-Encoding"):
		f.hasEncoding, f.mustBeLast = true, true
	case strings.EqualFold(name, "Content-Length"):
		size, err := strconv.ParseInt(strings.Trim(value, " \t\r"), 10, 64)
		f.bodyLeft, f.hasLength = size, true
		f.mustBeLast = f.mustBeLast || err != nil || !isComplete || size < 0
	}
}

func (f *framing) endHeader() {
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
		f.stage, f.requestEnded = stageIdle, true
	}
}
