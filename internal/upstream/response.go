package upstream

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"pearknot/balancer"
	"pearknot/internal/memory"
)

const (
	// maxHeaderBytes bounds the head of a response together with the informational responses (1xx) before it.
	maxHeaderBytes = 16 << 10

	// responseBufferSize, in bytes, is enough for the head of most responses.
	responseBufferSize = 2 << 10

	// maxHeadFields is the maximum number of lines of that head. A parsed field takes far more memory than its bytes.
	maxHeadFields = 256
)

// errTooManyFields is returned when a response has more than maxHeadFields.
var errTooManyFields = fmt.Errorf("response has more than %d header fields", maxHeadFields-1)

// errResponseTooLong is returned when a response exceeds the number of bytes that it may have.
var errResponseTooLong = errors.New("response exceeds the size limit")

// Reply is a backend's response: complete, or its head with the beginning of its body.
type Reply struct {
	Status int
	Header http.Header
	Body   []byte
	Stream *Stream // the rest of the body; nil if Body is complete

	memory   *memory.Budget
	reserved atomic.Int64 // bytes of Body that are reserved in memory
}

// Release closes the response's stream, if it has one, and returns its memory. The last user of the response must call it. r may
// be nil.
func (r *Reply) Release() {
	if r == nil {
		return
	}
	r.memory.Release(r.reserved.Swap(0))
	if r.Stream != nil {
		r.Stream.Close()
	}
}

// Reader reads responses from a connection. It reads a limited number of bytes for each, so that a backend that never stops
// sending can't exhaust the memory.
type Reader struct {
	source    io.Reader
	remaining int64 // bytes that may still be read from the source for the current response
	head      headScanner
	*bufio.Reader
}

// NewReader returns a reader of the responses that come from the source.
func NewReader(source io.Reader) *Reader {
	r := &Reader{source: source}
	r.Reader = bufio.NewReaderSize(limitedSource{r}, responseBufferSize)
	return r
}

// waitFirstByte waits for a response's first byte, or for the error that the next read will return, and returns the time
// at which it came.
func (r *Reader) waitFirstByte() time.Time {
	r.remaining, r.head = maxHeaderBytes, headScanner{}
	_, _ = r.Peek(1)
	return time.Now()
}

// limitedSource is the source of a Reader's buffer, which ends at the limit of the current response.
type limitedSource struct{ reader *Reader }

// Read implements io.Reader.
func (l limitedSource) Read(p []byte) (int, error) {
	r := l.reader
	if r.remaining <= 0 {
		return 0, errResponseTooLong
	}
	n, err := r.source.Read(p[:min(int64(len(p)), r.remaining)])
	r.remaining -= int64(n)
	if r.head.scan(p[:n]) > maxHeadFields {
		return 0, errTooManyFields
	}
	return n, err
}

// headScanner counts the lines of a response's head.
type headScanner struct {
	lines     int
	lineBytes int
	ended     bool
}

// scan takes in bytes that were read, and returns the number of lines so far. Bytes behind the head are not looked at.
func (h *headScanner) scan(data []byte) (lines int) {
	for _, c := range data {
		if h.ended {
			break
		}
		switch c {
		case '\n':
			h.ended = h.lineBytes == 0
			h.lines++
			h.lineBytes = 0
		case '\r':
		default:
			h.lineBytes++
		}
	}
	return h.lines
}

// ReadReply reads one response, without a body if it answers a HEAD request.
//
// A body of up to maxBuffered bytes is read completely. Of a longer one, or one whose size is not known, only the
// beginning is read: the reply has a Stream then, and rest reads the remaining body. A body over maxBody bytes is an
// error. So is one that ends before the end that it announced. Without room in the budget, which may be nil, a body of any known
// size over streamThreshold counts as a longer one.
//
// reusable reports whether the connection can carry another request, once the body has been read.
func ReadReply(r *Reader, isHead bool, maxBody, maxBuffered int64, budget *memory.Budget) (reply *Reply, rest io.Reader, reusable bool, err error) {
	response, err := readFinalHead(r, isHead)
	if err != nil {
		return nil, nil, false, err
	}
	size := response.ContentLength
	if !isHead && size > maxBody {
		return nil, nil, false, fmt.Errorf("%w: %d bytes, limit %d", errBodyTooLong, size, maxBody)
	}
	r.remaining = maxBody + 1 // one byte more tells a body that is too long from one that just fits
	if len(response.TransferEncoding) > 0 {
		r.remaining = 2*maxBody + maxHeaderBytes // the lines between chunks count as well
	}

	firstPart := maxBuffered + 1
	canStream := maxBuffered < maxBody
	mayBeLong := size > maxBuffered || size < 0
	reply = &Reply{Status: response.StatusCode, Header: response.Header, memory: budget}
	if canStream && !isHead && size > streamThreshold && !mayBeLong {
		mayBeLong = !reply.reserve(size)
	}
	if canStream && mayBeLong {
		firstPart = streamThreshold
	}
	body, err := readUpTo(response.Body, size, firstPart)
	if err != nil {
		reply.Release()
		return nil, nil, false, err
	}
	reusable = !response.Close && response.StatusCode != http.StatusSwitchingProtocols
	reply.Body = body
	isComplete := int64(len(body)) < firstPart
	if isComplete {
		return reply, nil, reusable && r.Buffered() == 0, nil
	}
	if firstPart > maxBody {
		return nil, nil, false, fmt.Errorf("%w: more than %d bytes", errBodyTooLong, maxBody)
	}
	reply.Stream = &Stream{Size: size}
	return reply, response.Body, reusable, nil
}

// reserve reserves the memory of the body. It reports false if there is no room.
func (r *Reply) reserve(bytes int64) bool {
	if !r.memory.TryAcquire(bytes) {
		return false
	}
	r.reserved.Store(bytes)
	return true
}

// readUpTo reads a body to its end, but at most limit bytes of it. size is the body's, negative if unknown.
func readUpTo(body io.Reader, size, limit int64) ([]byte, error) {
	limited := io.LimitReader(body, limit)
	if size < 0 || min(size, limit) > MaxBufferedBody+1 {
		return io.ReadAll(limited)
	}
	part := bytes.NewBuffer(make([]byte, 0, min(size, limit)+bytes.MinRead))
	_, err := part.ReadFrom(limited)
	return part.Bytes(), err
}

// readFinalHead reads the head of a response and skips the informational ones before it.
func readFinalHead(r *Reader, isHead bool) (*http.Response, error) {
	request := &http.Request{Method: http.MethodGet}
	if isHead {
		request.Method = http.MethodHead
	}
	r.remaining = maxHeaderBytes
	for {
		response, err := http.ReadResponse(r.Reader, request)
		if err != nil {
			return nil, err
		}
		isInformational := response.StatusCode < http.StatusOK && response.StatusCode != http.StatusSwitchingProtocols
		if !isInformational {
			return response, nil
		}
	}
}

// outcome returns the attempt's outcome that follows from the response. The protocol has one successful status, 200: any
// other, also of the 2xx and 3xx, is OutcomeFailed, except a rejection that proves that the attempt never ran. The server's
// writeReply relies on that when it writes 200 for every response that it forwards.
func (r *Reply) outcome() balancer.Outcome {
	switch r.Status {
	case http.StatusOK:
		return balancer.OutcomeAnswered
	case http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		if r.Header.Get(neverRanHeader) == "1" {
			return balancer.OutcomeRejected
		}
	}
	return balancer.OutcomeFailed
}

// parseLoadReport decodes the load report, "TEXT name=value, name=value ...". It passes each value to set, which stores it in
// the report. If the report is invalid, it returns its text and an empty report.
func (r *Reply) parseLoadReport(set func(report *balancer.LoadReport, name string, value float64)) (report balancer.LoadReport, invalid string) {
	report = balancer.EmptyLoadReport()
	text := r.Header.Get(loadReportHeader)
	if text == "" {
		return report, ""
	}
	format, pairs, _ := strings.Cut(text, " ")
	if format != "TEXT" {
		return report, text
	}
	for pair := range strings.SplitSeq(pairs, ",") {
		name, number, ok := strings.Cut(strings.TrimSpace(pair), "=")
		value, err := strconv.ParseFloat(number, 64)
		if !ok || err != nil || math.IsNaN(value) || math.IsInf(value, 0) || value < 0 {
			return balancer.EmptyLoadReport(), text
		}
		set(&report, name, value)
	}
	return report, ""
}
