package upstream

import (
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"pearknot/internal/snapshot"
)

// Limits on the bodies of requests and responses, in bytes.
const (
	MaxBufferedBody = 64 << 10 // a body up to this size is read completely before it is forwarded
	MaxBody         = 32 << 20 // a longer body, up to this size, is forwarded as it arrives
)

// Headers between a node and a backend.
const (
	ExpiresHeader    = "X-Expires-In-Ms"       // the time until the request's deadline, in ms
	neverRanHeader   = "X-Never-Ran"           // "1" in a rejection proves that the request did not run
	loadReportHeader = "Endpoint-Load-Metrics" // a backend's load report
)

// Message is a request in the form sent to backends. It is encoded once, except for ExpiresHeader, which is written for each
// attempt.
type Message struct {
	head   []byte
	body   []byte
	isHead bool          // a HEAD request: its response has no body
	stream *StreamedBody // the rest of a body that is forwarded as it arrives; nil if body is complete
}

// StreamedBody is the part of a long request body that the client has yet to send.
type StreamedBody struct {
	Size   int64     // of the complete body in bytes; negative for one in chunks, whose size is unknown
	Reader io.Reader // ends with io.EOF only if the body is complete

	// Deadline returns the request's deadline by what is known of the body so far. It moves to later times while the client
	// sends, and no longer once Reader has returned io.EOF.
	Deadline func() time.Time
}

func (s *StreamedBody) isChunked() bool { return s.Size < 0 }

// IsStreamed reports whether the body is forwarded as it arrives. Such a message can be sent only once.
func (m *Message) IsStreamed() bool { return m.stream != nil }

// hopByHopHeaders are the headers that concern a single connection, and those that this node sets itself in each message.
var hopByHopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te",
	"Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Content-Length", ExpiresHeader}

// RemoveHopByHop removes the headers that a proxy must not forward.
func RemoveHopByHop(header http.Header) {
	for _, list := range header["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			header.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		header.Del(name)
	}
}

// NewMessage returns the message of a request. target is the path and query as the client wrote them; stream is nil if
// body is complete. NewMessage takes ownership of header and removes the hop-by-hop headers from it.
func NewMessage(method, target, host string, header http.Header, body []byte, stream *StreamedBody) *Message {
	RemoveHopByHop(header)
	var head strings.Builder
	head.WriteString(method + " " + target + " HTTP/1.1\r\nHost: " + host + "\r\n")
	_ = header.Write(&head) // a strings.Builder never fails
	mayHaveBody := method != http.MethodGet && method != http.MethodHead
	switch {
	case stream != nil && stream.isChunked():
		head.WriteString("Transfer-Encoding: chunked\r\n")
	case stream != nil:
		head.WriteString("Content-Length: " + strconv.FormatInt(stream.Size, 10) + "\r\n")
	case len(body) > 0 || mayHaveBody:
		head.WriteString("Content-Length: " + strconv.Itoa(len(body)) + "\r\n")
	}
	return &Message{head: []byte(head.String()), body: body, isHead: method == http.MethodHead, stream: stream}
}

// storedMessage is the form in which members of a request log store a message. Its fields are encoded in their order, which
// must not change.
type storedMessage struct {
	Head, Body []byte
	IsHead     bool
}

// Encode returns a message, which must not be streamed, in its stored form.
func (m *Message) Encode() []byte {
	return snapshot.AppendStruct(nil, &storedMessage{m.head, m.body, m.isHead})
}

// DecodeMessage reads the stored form of a message. It returns nil if data is not one.
func DecodeMessage(data []byte) *Message {
	stored := &storedMessage{}
	if snapshot.ReadStruct(data, stored) != nil || len(stored.Head) == 0 {
		return nil
	}
	return &Message{head: stored.Head, body: stored.Body, isHead: stored.IsHead}
}

// buffers returns the message for a single write. timeoutMs, rounded down and at least 1, is the value of ExpiresHeader.
func (m *Message) buffers(timeoutMs float64) net.Buffers {
	const expiresLineSize = 40 // bytes
	head := make([]byte, 0, len(m.head)+expiresLineSize)
	head = append(head, m.head...)
	head = append(head, ExpiresHeader+": "...)
	head = strconv.AppendInt(head, int64(math.Max(math.Floor(timeoutMs), 1)), 10)
	head = append(head, "\r\n\r\n"...)
	if m.stream != nil && m.stream.isChunked() {
		return append(net.Buffers{head}, chunkBuffers(m.body)...)
	}
	return net.Buffers{head, m.body}
}

// chunkBuffers returns a part of a body encoded as one chunk.
func chunkBuffers(part []byte) net.Buffers {
	return net.Buffers{fmt.Appendf(nil, "%x\r\n", len(part)), part, []byte("\r\n")}
}
