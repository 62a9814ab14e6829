package server

import (
	"net"
	"sync"
	"time"

	"pearknot/internal/clock"
	"pearknot/internal/tcpinfo"
)

const (
	// maxClientSendBuffer is the assumed maximum number of bytes that a client's system buffers for a connection: the default
	// maximum of Linux's net.ipv4.tcp_wmem.
	maxClientSendBuffer = 4 << 20

	// bodyDeadlineCheckInterval is how often the deadline of a request with a streamed body is checked.
	bodyDeadlineCheckInterval = 25 * time.Millisecond
)

// bodyClock determines the deadline of a request whose body is streamed. A request's time to live counts from the moment when
// the client wrote the body's last byte. That moment can't be observed: while a backend does not read, or the request is queued,
// the rest of the body waits unread in the sockets of this machine and of the client, and looks like one that is still to be
// sent. So the clock tracks the latest moment at which the body was provably incomplete, which is one of these:
//   - a read of the connection waited for the client;
//   - so many bytes were missing that the client's system could not have buffered them.
//
// The body is not complete earlier than that, so that the request is answered in time. The exceptions are a client whose system
// buffers more than maxClientSendBuffer, and bytes that are still on the network when the node waits for them: the node can't see
// these. The body may be complete later, if its client pauses while nothing reads it.
type bodyClock struct {
	timeout     time.Duration // of the request, from its last byte
	size        int64         // of the body in bytes; negative if unknown
	isEncrypted bool          // the bytes counted include TLS's overhead

	mu           sync.Mutex
	received     int64     // bytes of the body that were read from the connection
	minUnread    int64     // bytes that have arrived at least and are unread, if positive: asking the system each time is costly
	isWaiting    bool      // a read of the connection waits for the client
	incompleteAt time.Time // latest moment at which the body was provably incomplete

	// At checkpointAt the client had sent at most checkpointBytes and what its system buffered. If the body's size is unknown,
	// a larger number of bytes received proves that the body was incomplete then.
	checkpointAt    time.Time
	checkpointBytes int64
}

// startBodyClock starts the clock of the body of the request that is being read. received is the number of its bytes that have
// been read, the latest of which the client sent sinceSentMs ago; size is negative if unknown.
func (c *clientConn) startBodyClock(size, received int64, ttlMs, sinceSentMs float64) *bodyClock {
	if arrived, isTracked := c.bodyBytesRead(size); isTracked { // net/http may have buffered some more
		received = arrived
	}
	sentAt := time.Now().Add(-clock.Duration(sinceSentMs))
	body := &bodyClock{
		timeout:         clock.Duration(ttlMs - defaultTransitMs),
		size:            size,
		isEncrypted:     c.isTLS(),
		received:        received,
		incompleteAt:    sentAt,
		checkpointAt:    sentAt,
		checkpointBytes: received + maxClientSendBuffer,
	}
	c.bodyClock.Store(body)
	return body
}

// bodyBytesRead returns how many bytes of a body of that size have been read from the connection, if its framing is tracked.
func (c *clientConn) bodyBytesRead(size int64) (count int64, isTracked bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	isTracked = c.framing.stage == stageBody || c.framing.requestEnded
	return size - c.framing.bodyLeft, isTracked
}

// beginRead is called before each read of the connection. unread returns the number of bytes that have arrived.
func (b *bodyClock) beginRead(unread func() int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.minUnread <= 0 {
		b.minUnread = unread()
	}
	b.isWaiting = b.minUnread == 0
}

// endRead is called after each read of the connection, which returned n bytes.
func (b *bodyClock) endRead(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.received += int64(n)
	b.minUnread -= int64(n)
	if b.isWaiting {
		b.incompleteAt = time.Now()
	}
	b.isWaiting = false
}

// deadline returns the request's deadline by what is known of the body so far. It moves while the client sends.
func (b *bodyClock) deadline() time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.isWaiting {
		return time.Now().Add(b.timeout)
	}
	return b.incompleteAt.Add(b.timeout)
}

// observe updates the clock by the number of bytes that have arrived and are unread, and reports whether the body is known to have
// arrived completely, so that the deadline is final. unread is called with the clock locked, so that no byte is counted twice.
func (b *bodyClock) observe(unread func() int64) (isFinal bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	arrived := b.received + unread()
	now := time.Now()
	if b.size >= 0 && arrived+maxClientSendBuffer < b.size {
		b.incompleteAt = now
	}
	if b.size < 0 && arrived > b.checkpointBytes {
		if b.checkpointAt.After(b.incompleteAt) {
			b.incompleteAt = b.checkpointAt
		}
		b.checkpointAt, b.checkpointBytes = now, arrived+maxClientSendBuffer
	}
	return b.size >= 0 && arrived >= b.size && !b.isEncrypted
}

// unreadBytes returns the number of bytes that have arrived on the TCP connection and have not been read.
func (c *clientConn) unreadBytes() int64 { return tcpinfo.UnreadBytes(c.tcp) }

// readTCP reads from the TCP connection, below TLS. While a body is streamed it tells the body's clock whether it waits for
// the client.
func (c *clientConn) readTCP(buffer []byte) (int, error) {
	clock := c.bodyClock.Load()
	if clock == nil {
		return c.tcp.Read(buffer)
	}
	clock.beginRead(c.unreadBytes)
	n, err := c.tcp.Read(buffer)
	clock.endRead(n)
	return n, err
}

// tlsTransport is the TCP connection below a client's TLS connection.
type tlsTransport struct {
	*net.TCPConn
	client *clientConn
}

// Read implements net.Conn.
func (t tlsTransport) Read(buffer []byte) (int, error) { return t.client.readTCP(buffer) }
