package server

import (
	"bytes"
	"errors"
	"net"
	"strconv"
	"time"

	"pearknot/internal/tcpinfo"
	"pearknot/internal/upstream"
)

// When clients use all descriptors or memory that they may, further connections wait in the kernel's queue. A request that waits there
// must get its answer in time. After maxShortage the next connection is therefore accepted beyond the budgets, one at a time, and
// its request is rejected once it has waited for long enough. What those behind it have sent can't be seen, so that while there are any, it
// waits for maxBlockingWait at most.
const (
	// maxShortage is how long connections may have to wait for room before further ones are accepted to be rejected.
	maxShortage = 500 * time.Millisecond

	// maxWaitShare is the share of its time to live for which a request waits for its connection to be taken. A rejection after
	// half of the time would come late for a retry.
	maxWaitShare = 0.4

	// maxBlockingWait is how long a request waits while others wait behind it.
	maxBlockingWait = time.Second

	// maxSilentWait is how long a connection waits whose client has sent nothing, or no time to live.
	maxSilentWait = 500 * time.Millisecond

	// maxQueueTime is the time within which a queue of requests that are still arriving is emptied. How long such a request has waited
	// is not known.
	maxQueueTime = 500 * time.Millisecond

	// resourceCheckInterval is the longest time between two looks for room.
	resourceCheckInterval = 2 * time.Millisecond

	// maxRejectedBytes is how much of a rejected request is read before it is answered.
	maxRejectedBytes = 256 << 10

	// rejectionTimeout is the timeout for writing a rejection, which a new connection always has room for.
	rejectionTimeout = 100 * time.Millisecond
)

const rejectionText = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0.500\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// waitingRequest is what is known of the request on a connection that waits for room.
type waitingRequest struct {
	isComplete bool          // it has arrived completely
	isArriving bool          // a part of it has
	maxWait    time.Duration // if no other connection waits
}

// awaitResources waits until a descriptor and memory are available for a connection that has been accepted, and takes them. It reports
// false if the connection was closed because there was no room in time.
func (l *listener) awaitResources(tcp *net.TCPConn) bool {
	var request waitingRequest
	for start := time.Now(); ; {
		acquired, isClosed := l.tryAcquire()
		if acquired {
			return true
		}
		if !request.isComplete {
			request = l.inspect(tcp)
		}
		waited := max(time.Since(start), requestAge(tcp))
		left := l.maxWait(request) - waited
		if isClosed || left <= 0 {
			l.reject(tcp)
			return false
		}
		time.Sleep(min(left, resourceCheckInterval))
	}
}

// acquire takes a descriptor and memory for the next connection, and returns the one that has waited for them, if it has accepted one.
// It reports false if the budget was closed.
func (l *listener) acquire() (waiting *net.TCPConn, ok bool) {
	for start := time.Now(); ; {
		acquired, isClosed := l.tryAcquire()
		if acquired || isClosed {
			return nil, acquired
		}
		if time.Since(start) < maxShortage && !l.isBacklogged {
			time.Sleep(resourceCheckInterval)
			continue
		}
		_ = l.SetDeadline(time.Now().Add(resourceCheckInterval))
		tcp, err := l.accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return nil, false
		case err != nil: // nobody waits
			time.Sleep(resourceCheckInterval)
		case l.awaitResources(tcp):
			return tcp, true
		}
	}
}

func (l *listener) tryAcquire() (acquired, isClosed bool) {
	acquired, isClosed = l.budget.TryAcquireClient()
	if acquired && !l.memory.TryAcquireConnection(l.connectionBytes()) {
		l.budget.ReleaseClient()
		return false, false
	}
	return acquired, isClosed
}

// requestAge returns how long ago the client last sent something, or opened the connection; 0 if that is not known.
func requestAge(tcp *net.TCPConn) time.Duration {
	info, ok := tcpinfo.Get(tcp)
	if !ok {
		return 0
	}
	if info.Bytes_received == 0 {
		return time.Duration(info.Last_ack_recv) * time.Millisecond // since the connection was opened
	}
	return time.Duration(info.Last_data_recv) * time.Millisecond
}

// maxWait returns how long a request may wait for room.
func (l *listener) maxWait(request waitingRequest) time.Duration {
	waitingBehind := tcpinfo.QueueLength(l.TCPListener)
	switch {
	case waitingBehind == 0:
		return request.maxWait
	case request.isArriving:
		return maxQueueTime / time.Duration(waitingBehind)
	}
	return min(request.maxWait, maxBlockingWait)
}

// inspect looks at what a client has sent, without reading it. What TLS has encrypted can't be looked at.
func (l *listener) inspect(tcp *net.TCPConn) waitingRequest {
	if l.isTLS {
		return waitingRequest{maxWait: handshakeTimeout}
	}
	if l.peekBuffer == nil {
		l.peekBuffer = make([]byte, maxHeaderBytes)
	}
	data := l.peekBuffer[:max(peekTCP(tcp, l.peekBuffer), 0)]
	var parsed framing
	parsed.observe(data)
	bodyBytesUnseen := tcpinfo.UnreadBytes(tcp) - int64(len(data))
	isComplete := parsed.requestEnded || parsed.stage == stageBody && parsed.bodyLeft <= bodyBytesUnseen
	return waitingRequest{
		isComplete: isComplete,
		isArriving: len(data) > 0 && !isComplete,
		maxWait:    maxWaitOf(data),
	}
}

// maxWaitOf returns how long a request with that beginning may wait, by its time to live.
func maxWaitOf(head []byte) time.Duration {
	_, value, found := bytes.Cut(head, []byte("\r\n"+upstream.ExpiresHeader+":"))
	if !found {
		return maxSilentWait
	}
	value, _, _ = bytes.Cut(value, []byte("\r\n"))
	ttl, err := strconv.ParseUint(string(bytes.TrimSpace(value)), 10, 32)
	if err != nil {
		return maxSilentWait
	}
	return time.Duration(min(maxWaitShare*float64(ttl), maxTTLMs) * float64(time.Millisecond))
}

// reject answers a connection's request, if one has begun to arrive, and closes it. What has arrived is read first: a close over unread
// bytes would discard the answer.
func (l *listener) reject(tcp *net.TCPConn) {
	l.onRefuse("no room for the connection")
	defer func() { _ = tcp.Close() }()
	buffer := make([]byte, trailingBufferBytes)
	total := 0
	for total < maxRejectedBytes && peekTCP(tcp, buffer[:1]) > 0 {
		n, err := tcp.Read(buffer)
		if err != nil {
			return
		}
		total += n
	}
	if l.isTLS || total == 0 {
		return
	}
	_ = tcp.SetWriteDeadline(time.Now().Add(rejectionTimeout))
	_, _ = tcp.Write([]byte(rejectionText))
}
