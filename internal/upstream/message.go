package upstream

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"pearknot/balancer"
	"pearknot/internal/snapshot"
)

// MostHeld is the size of the largest body, an op's or an answer's, that is held whole; MostBody that of the largest there
// may be, which is passed on as it comes.
const (
	MaxBufferedBody = 64 << 10
	MaxBody         = 32 << 20
)

// Names on the way to a backend and back.
const (
	ExpiresHeader    = "X-Expires-In-Ms"
	neverRanHeader   = "X-Never-Ran"
	loadReportHeader = "Endpoint-Load-Metrics"
)

// Message is an op as its backends get it, encoded once but for the time that is left to it.
type Message struct {
	head   []byte
	body   []byte
	isHead bool          // its answer has no body
	stream *StreamedBody // of a body that is passed on as it comes; nil where the body is whole
}

// Rest is what a client still sends of a long body.
type StreamedBody struct {
	Size    int64         // of the whole body; below 0 is in chunks
	Timeout time.Duration // of the op, from its last byte on
	Reader  io.Reader     // ends with io.EOF only where the body is whole
}

// Streamed tells whether the message's body is passed on as it comes; such a message can be sent once.
func (m *Message) IsStreamed() bool { return m.stream != nil }

// ofHop are headers that end at a node, and those that each message gets anew.
var hopByHopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te",
	"Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Content-Length", ExpiresHeader}

// EndToEnd drops the headers that end at this node.
func RemoveHopByHop(h http.Header) {
	for _, list := range h["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		h.Del(name)
	}
}

// NewMessage returns the message of a request. It takes over header; target is the path and query as the client wrote
// them. stream is nil if body is complete.
func NewMessage(method, target, host string, header http.Header, body []byte, stream *StreamedBody) *Message {
	RemoveHopByHop(header)
	var b strings.Builder
	b.WriteString(method + " " + target + " HTTP/1.1\r\nHost: " + host + "\r\n")
	_ = header.Write(&b) // a strings.Builder takes all
	switch {
	case stream != nil && stream.Size < 0:
		b.WriteString("Transfer-Encoding: chunked\r\n")
	case stream != nil:
		b.WriteString("Content-Length: " + strconv.FormatInt(stream.Size, 10) + "\r\n")
	case len(body) > 0 || method != http.MethodGet && method != http.MethodHead:
		b.WriteString("Content-Length: " + strconv.Itoa(len(body)) + "\r\n")
	}
	return &Message{head: []byte(b.String()), body: body, isHead: method == http.MethodHead, stream: stream}
}

// packed is a message as another process gets it.
type storedMessage struct {
	Head, Body []byte
	Bare       bool
}

// Pack gives a whole message as bytes, and Unpack makes one of them; nil where it is none.
func (m *Message) Encode() []byte {
	return snapshot.Append(nil, &storedMessage{m.head, m.body, m.isHead})
}

func DecodeMessage(data []byte) *Message {
	p := &storedMessage{}
	if snapshot.Read(data, p) != nil || len(p.Head) == 0 {
		return nil
	}
	return &Message{head: p.Head, body: p.Body, isHead: p.Bare}
}

// encode gives the whole message, for one write.
func (m *Message) buffers(left float64) net.Buffers {
	head := make([]byte, 0, len(m.head)+40)
	head = append(append(head, m.head...), ExpiresHeader+": "...)
	head = strconv.AppendInt(head, int64(math.Max(math.Floor(left), 1)), 10)
	head = append(head, "\r\n\r\n"...)
	if m.stream != nil && m.stream.Size < 0 {
		return append(net.Buffers{head}, chunkBuffers(m.body)...)
	}
	return net.Buffers{head, m.body}
}

// chunk frames a part of a body.
func chunkBuffers(part []byte) net.Buffers {
	return net.Buffers{fmt.Appendf(nil, "%x\r\n", len(part)), part, []byte("\r\n")}
}

// Reply is an answer: whole, or its head and how it begins.
type Reply struct {
	Status int
	Header http.Header
	Body   []byte
	Stream *Stream // the rest; nil where the body is whole
}

// Release lets go of an answer that streams; whoever has the reply last calls it.
func (r *Reply) Release() {
	if r != nil && r.Stream != nil {
		r.Stream.Close()
	}
}

// Reader reads answers from a connection, each within its bounds: what sends without end is no answer.
type Reader struct {
	source    io.Reader
	remaining int64 // bytes that the answer may still take from the connection
	*bufio.Reader
}

func NewReader(from io.Reader) *Reader {
	r := &Reader{source: from}
	r.Reader = bufio.NewReaderSize(limitedSource{r}, 2048)
	return r
}

// begins waits for an answer's first byte, or for the error that reading it will tell, and tells when that came.
func (r *Reader) waitFirstByte() time.Time {
	r.remaining = maxHeaderBytes
	_, _ = r.Peek(1)
	return time.Now()
}

// limited is how the buffer is filled.
type limitedSource struct{ *Reader }

func (l limitedSource) Read(b []byte) (int, error) {
	if l.remaining <= 0 {
		return 0, errResponseTooLong
	}
	n, err := l.source.Read(b[:min(int64(len(b)), l.remaining)])
	l.remaining -= int64(n)
	return n, err
}

var errResponseTooLong = errors.New("more than an answer may have")

// mostHeads bounds an answer's head together with those of the informational ones before it.
const maxHeaderBytes = 16 << 10

// ReadReply reads one answer, or its head alone where it is bare; keep tells whether the connection may carry a
// further message. Only an answer that tells where it ends is known to be whole, be it by its connection's end. A body of
// up to whole bytes is read to its end; a longer one, of most bytes, begins, and more gives the rest, as it does of one
// whose size is not told.
func ReadReply(r *Reader, bare bool, most, whole int64) (reply *Reply, more io.Reader, keep bool, err error) {
	asked := &http.Request{Method: http.MethodGet}
	if bare {
		asked.Method = http.MethodHead
	}
	r.remaining = maxHeaderBytes
	answer, err := http.ReadResponse(r.Reader, asked)
	for err == nil && answer.StatusCode < 200 && answer.StatusCode != http.StatusSwitchingProtocols {
		answer, err = http.ReadResponse(r.Reader, asked) // an informational answer comes before the real one
	}
	if err != nil {
		return nil, nil, false, err
	}
	size, chunked := answer.ContentLength, len(answer.TransferEncoding) > 0
	if !bare && size > most {
		return nil, nil, false, fmt.Errorf("body of %d bytes", size)
	}
	if r.remaining = most + 1; chunked {
		r.remaining = 2*most + maxHeaderBytes // for the chunks' own lines
	}
	first := whole + 1
	if whole < most && (size > whole || size < 0) { // of a body whose size is not told, any may be long
		first = streamThreshold
	}
	body, err := io.ReadAll(io.LimitReader(answer.Body, first))
	if err != nil {
		return nil, nil, false, err
	}
	keep = !answer.Close && answer.StatusCode != http.StatusSwitchingProtocols
	reply = &Reply{Status: answer.StatusCode, Header: answer.Header, Body: body}
	if int64(len(body)) == first {
		if first > most {
			return nil, nil, false, fmt.Errorf("body of more than %d bytes", most)
		}
		reply.Stream = &Stream{Size: size}
		return reply, answer.Body, keep, nil
	}
	return reply, nil, keep && r.Buffered() == 0, nil
}

// ending tells what the reply says of its push; only a proof counts as never having run.
func (r *Reply) outcome() balancer.Outcome {
	switch {
	case r.Status == http.StatusOK:
		return balancer.OutcomeAnswered
	case (r.Status == http.StatusServiceUnavailable || r.Status == http.StatusGatewayTimeout) &&
		r.Header.Get(neverRanHeader) == "1":
		return balancer.OutcomeRejected
	}
	return balancer.OutcomeFailed
}

// load reads the reply's load report; an odd one is told, and says nothing.
func (r *Reply) parseLoadReport(tell func(r *balancer.LoadReport, name string, value float64)) (report balancer.LoadReport, odd string) {
	report = balancer.EmptyLoadReport()
	text := r.Header.Get(loadReportHeader)
	if text == "" {
		return report, ""
	}
	form, list, _ := strings.Cut(text, " ")
	if form != "TEXT" {
		return report, text
	}
	for pair := range strings.SplitSeq(list, ",") {
		field, number, ok := strings.Cut(strings.TrimSpace(pair), "=")
		x, err := strconv.ParseFloat(number, 64)
		if !ok || err != nil || math.IsNaN(x) || math.IsInf(x, 0) || x < 0 {
			return balancer.EmptyLoadReport(), text
		}
		tell(&report, field, x)
	}
	return report, ""
}
