package upstream

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"strconv"
	"strings"

	"golang.org/x/sync/semaphore"

	"pearknot/balance"
)

// MostBody is the size of the largest body that an op may have; mostAnswer that of an answer's: backends were seen to
// send some hundred KiB, where the deployment's pages promise less.
const (
	MostBody   = 64 << 10
	mostAnswer = 1 << 20
)

// Names on the way to a backend and back.
const (
	ExpiresHeader = "X-Expires-In-Ms"
	neverRan      = "X-Never-Ran"
	loadReport    = "Endpoint-Load-Metrics"
)

// Message is an op as its backends get it, encoded once but for the time that is left to it.
type Message struct {
	head []byte
	body []byte
	bare bool // its answer has no body
}

// ofHop are headers that end at a node, and those that each message gets anew.
var ofHop = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te",
	"Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Content-Length", ExpiresHeader}

// EndToEnd drops the headers that end at this node.
func EndToEnd(h http.Header) {
	for _, list := range h["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range ofHop {
		h.Del(name)
	}
}

// NewMessage takes over header; target is path and query as the client wrote them.
func NewMessage(method, target, host string, header http.Header, body []byte) *Message {
	EndToEnd(header)
	var b strings.Builder
	b.WriteString(method + " " + target + " HTTP/1.1\r\nHost: " + host + "\r\n")
	_ = header.Write(&b) // a strings.Builder takes all
	if len(body) > 0 || method != http.MethodGet && method != http.MethodHead {
		b.WriteString("Content-Length: " + strconv.Itoa(len(body)) + "\r\n")
	}
	return &Message{head: []byte(b.String()), body: body, bare: method == http.MethodHead}
}

// encode gives the whole message, for one write.
func (m *Message) encode(left float64) net.Buffers {
	head := make([]byte, 0, len(m.head)+40)
	head = append(append(head, m.head...), ExpiresHeader+": "...)
	head = strconv.AppendInt(head, int64(math.Max(math.Floor(left), 1)), 10)
	return net.Buffers{append(head, "\r\n\r\n"...), m.body}
}

// Reply is an answer, whole.
type Reply struct {
	Status int
	Header http.Header
	Body   []byte

	room *Room
	held int64 // of it
}

// Release gives the room of a long answer back; whoever has the reply last calls it.
func (r *Reply) Release() {
	if r != nil && r.held > 0 {
		r.room.back(r.held)
		r.held = 0
	}
}

// Room is the memory for long answers, which a node's descriptors do not bound: one that finds none free waits on
// its connection, within its op's time.
type Room struct{ free *semaphore.Weighted }

// NewRoom takes so many bytes; one answer always has a place.
func NewRoom(bytes int64) *Room { return &Room{semaphore.NewWeighted(max(bytes, mostAnswer))} }

func (r *Room) back(bytes int64) { r.free.Release(bytes) }

// Reader reads answers from a connection, each within its bounds: what sends without end is no answer.
type Reader struct {
	from io.Reader
	left int64 // bytes that the answer may still take from the connection
	*bufio.Reader
}

func NewReader(from io.Reader) *Reader {
	r := &Reader{from: from}
	r.Reader = bufio.NewReaderSize(limited{r}, 2048)
	return r
}

// limited is how the buffer is filled.
type limited struct{ *Reader }

func (l limited) Read(b []byte) (int, error) {
	if l.left <= 0 {
		return 0, errEndless
	}
	n, err := l.from.Read(b[:min(int64(len(b)), l.left)])
	l.left -= int64(n)
	return n, err
}

var errEndless = errors.New("more than an answer may have")

// mostHeads bounds an answer's head together with those of the informational ones before it.
const mostHeads = 16 << 10

// ReadReply reads one answer, or its head alone where it is bare; keep tells whether the connection may carry a
// further message. Only an answer that tells where it ends is known to be whole. Of a body of most bytes at the
// longest, what is beyond MostBody is read once long has found a place for it.
func ReadReply(r *Reader, bare bool, most int64, long func(bytes int64) error) (reply *Reply, keep bool, err error) {
	asked := &http.Request{Method: http.MethodGet}
	if bare {
		asked.Method = http.MethodHead
	}
	r.left = mostHeads
	answer, err := http.ReadResponse(r.Reader, asked)
	for err == nil && answer.StatusCode < 200 && answer.StatusCode != http.StatusSwitchingProtocols {
		answer, err = http.ReadResponse(r.Reader, asked) // an informational answer comes before the real one
	}
	if err != nil {
		return nil, false, err
	}
	size, chunked := answer.ContentLength, len(answer.TransferEncoding) > 0
	switch {
	case bare:
	case size > most:
		return nil, false, fmt.Errorf("body of %d bytes", size)
	case size < 0 && !chunked:
		return nil, false, errors.New("body without an end")
	}
	if r.left = most + 1; chunked {
		r.left, size = 2*most+mostHeads, most // for the chunks' own lines
	}
	body, err := io.ReadAll(io.LimitReader(answer.Body, MostBody))
	if err == nil && len(body) == MostBody && size > MostBody {
		if err = long(size); err == nil {
			whole := bytes.NewBuffer(append(make([]byte, 0, max(answer.ContentLength+bytes.MinRead, 2*MostBody)), body...))
			_, err = whole.ReadFrom(io.LimitReader(answer.Body, most+1-MostBody))
			body = whole.Bytes()
		}
	}
	if err != nil {
		return nil, false, err
	}
	if int64(len(body)) > most {
		return nil, false, fmt.Errorf("body of more than %d bytes", most)
	}
	keep = !answer.Close && answer.StatusCode != http.StatusSwitchingProtocols && r.Buffered() == 0
	return &Reply{Status: answer.StatusCode, Header: answer.Header, Body: body}, keep, nil
}

// ending tells what the reply says of its push; only a proof counts as never having run.
func (r *Reply) ending() balance.Ending {
	switch {
	case r.Status == http.StatusOK:
		return balance.Answered
	case (r.Status == http.StatusServiceUnavailable || r.Status == http.StatusGatewayTimeout) &&
		r.Header.Get(neverRan) == "1":
		return balance.Rejected
	}
	return balance.Failed
}

// load reads the reply's load report; an odd one is told, and says nothing.
func (r *Reply) load(tell func(r *balance.Report, name string, value float64)) (report balance.Report, odd string) {
	report = balance.NoReport()
	text := r.Header.Get(loadReport)
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
			return balance.NoReport(), text
		}
		tell(&report, field, x)
	}
	return report, ""
}
