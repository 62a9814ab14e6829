package server

import (
	"context"
	"crypto/tls"
	"net"
	"slices"
	"sync"
	"time"

	"pearknot/internal/tcpinfo"
)

const (
	// handshakeTimeout is the timeout of a whole handshake.
	handshakeTimeout = 2 * time.Second

	// A client's first message arrives right after its connection, and its second a round trip later. A handshake whose
	// client has not sent the first after silentEvictionAge, or the second after stalledEvictionAge, may be evicted.
	silentEvictionAge  = 100 * time.Millisecond
	stalledEvictionAge = 500 * time.Millisecond

	// Handshakes in progress are bounded by maxHandshakes and by one per descriptorsPerHandshake descriptors, but
	// minHandshakes are always possible.
	maxHandshakes           = 64
	descriptorsPerHandshake = 4
	minHandshakes           = 4

	// acmeTLSProtocol is the ALPN protocol of tls-alpn-01 challenges, RFC 8737, 6.2.
	acmeTLSProtocol = "acme-tls/1"
)

// TLSConfig configures the address for TLS.
type TLSConfig struct {
	Address          string
	ReusePort        bool // another process of the node may listen on the address as well
	GetCertificate   func(*tls.ClientHelloInfo) (*tls.Certificate, error)
	AnswerChallenges bool // tls-alpn-01 challenges are answered with the certificates that GetCertificate returns
}

// tlsListener accepts connections whose handshake is complete. Handshakes run concurrently, bounded in number and time.
// When the maximum is reached, a new handshake replaces one whose client keeps it waiting, so that a client that opens
// connections and sends nothing can't lock the others out.
type tlsListener struct {
	inner         *listener
	config        *tls.Config
	maxHandshakes int
	ready         chan net.Conn // connections whose handshake is complete
	ended         chan struct{} // closed when the inner listener has ended
	err           error         // the inner listener's error; set before ended is closed
	handshakeDone chan struct{} // signals that a handshake has ended

	mu         sync.Mutex
	handshakes []*handshake // in progress, in order of arrival
	counts     HandshakeStats
}

// HandshakeStats counts TLS handshakes since the start.
type HandshakeStats struct {
	Done    uint64 `json:"done"`
	Resumed uint64 `json:"resumed"` // also counted in Done
	Failed  uint64 `json:"failed"`  // because of the client or the timeout
	Evicted uint64 `json:"evicted"` // to admit another handshake, or to free a descriptor
	Open    int    `json:"open"`    // in progress
}

// handshake holds the state of a handshake in progress.
type handshake struct {
	tcp         *net.TCPConn
	startedAt   time.Time
	hasSentData bool // the client has sent something
	evicted     bool
}

// newTLSListener returns a listener for TLS on top of inner; maxDescriptors is the size of the descriptor budget.
func newTLSListener(inner *listener, config TLSConfig, maxDescriptors int) *tlsListener {
	l := &tlsListener{
		inner: inner,
		// Only HTTP/1.1, because framing parses the requests' bytes.
		config:        &tls.Config{MinVersion: tls.VersionTLS12, NextProtos: []string{"http/1.1"}, GetCertificate: config.GetCertificate},
		maxHandshakes: min(maxHandshakes, max(maxDescriptors/descriptorsPerHandshake, minHandshakes)),
		ready:         make(chan net.Conn),
		ended:         make(chan struct{}),
		handshakeDone: make(chan struct{}, 1),
	}
	if config.AnswerChallenges {
		l.config.NextProtos = append(l.config.NextProtos, acmeTLSProtocol)
	}
	return l
}

// setSessionTicketKeys sets the keys of session tickets: the first is used for new ones, the others still decrypt.
func (l *tlsListener) setSessionTicketKeys(keys [][32]byte) {
	if len(keys) > 0 {
		l.config.SetSessionTicketKeys(keys)
	}
}

// Accept returns the next connection whose handshake is complete.
func (l *tlsListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.ready:
		return conn, nil
	case <-l.ended:
		return nil, l.err
	}
}

// Close closes the TCP listener.
func (l *tlsListener) Close() error { return l.inner.Close() }

// Addr returns the TCP listener's address.
func (l *tlsListener) Addr() net.Addr { return l.inner.Addr() }

// run accepts connections and starts their handshakes until the inner listener ends.
func (l *tlsListener) run() {
	var running sync.WaitGroup
	for {
		conn, err := l.inner.Accept()
		if err != nil {
			running.Wait()
			l.err = err
			close(l.ended)
			return
		}
		client := conn.(*clientConn)
		h := &handshake{tcp: client.tcp, startedAt: time.Now()}
		l.add(h)
		running.Go(func() { l.handshake(client, h) })
	}
}

// add adds a handshake to those in progress. If the maximum is reached, it evicts one whose client keeps it waiting. If there
// is none it waits: handshakes that wait for this machine, and not for their clients, must not evict each other.
func (l *tlsListener) add(h *handshake) {
	for {
		wait, added := l.tryAdd(h, time.Now())
		if added {
			return
		}
		timer := time.NewTimer(wait)
		select {
		case <-l.handshakeDone:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// tryAdd adds a handshake if the maximum is not reached or one may be evicted. Otherwise it returns the time until one may be
// evicted, if none ends before.
func (l *tlsListener) tryAdd(h *handshake, now time.Time) (wait time.Duration, added bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.handshakes) >= l.maxHandshakes {
		index, wait := l.evictionCandidate(now)
		if index < 0 {
			return wait, false
		}
		l.evict(index)
	}
	l.handshakes = append(l.handshakes, h)
	return 0, true
}

// evictionCandidate returns the index of the oldest handshake whose client has sent nothing for too long, or else of the
// oldest one whose client has sent something and then stalled. If there is neither, index is -1 and wait is the time until
// there will be one.
func (l *tlsListener) evictionCandidate(now time.Time) (index int, wait time.Duration) {
	index, wait = -1, handshakeTimeout
	for i, h := range l.handshakes {
		timeLeft := silentEvictionAge - now.Sub(h.startedAt)
		if timeLeft <= 0 {
			// Bytes that have arrived and are not read yet count: then this machine is late, not the client.
			if ago, received := h.lastReceived(); received {
				h.hasSentData = true
				timeLeft = stalledEvictionAge - ago
			}
		}
		if timeLeft <= 0 && (index < 0 || l.handshakes[index].hasSentData && !h.hasSentData) {
			index = i
		}
		wait = min(wait, timeLeft)
	}
	return index, wait
}

// lastReceived returns how long ago the client last sent something, if it ever did, as the kernel reports it.
func (h *handshake) lastReceived() (ago time.Duration, received bool) {
	info, ok := tcpinfo.Get(h.tcp)
	if !ok || info.Bytes_received == 0 {
		return 0, false
	}
	return time.Duration(info.Last_data_recv) * time.Millisecond, true
}

// evict ends a handshake; its goroutine returns the descriptor. The lock must be held.
func (l *tlsListener) evict(index int) {
	h := l.handshakes[index]
	h.evicted = true
	l.handshakes = slices.Delete(l.handshakes, index, index+1)
	_ = h.tcp.Close()
}

// evictSilent evicts the handshakes that are at least minAge old and whose clients have sent nothing.
func (l *tlsListener) evictSilent(minAge time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := 0; i < len(l.handshakes); {
		h := l.handshakes[i]
		if _, received := h.lastReceived(); !received && time.Since(h.startedAt) >= minAge {
			l.evict(i)
			continue
		}
		i++
	}
}

// handshake runs a handshake and hands the connection to Accept.
func (l *tlsListener) handshake(client *clientConn, h *handshake) {
	conn := tls.Server(tlsTransport{client.tcp, client}, l.config)
	ctx, cancel := context.WithTimeout(context.Background(), handshakeTimeout)
	err := conn.HandshakeContext(ctx)
	cancel()
	l.remove(h, conn, err)
	isChallenge := err == nil && conn.ConnectionState().NegotiatedProtocol == acmeTLSProtocol
	if err != nil || h.evicted || isChallenge { // a challenge ends with its handshake: RFC 8737, 3
		if err == nil {
			_ = conn.Close()
		}
		_ = client.Close()
		return
	}
	client.Conn = conn
	l.ready <- client
}

// remove removes a handshake that has ended from those in progress, and counts it.
func (l *tlsListener) remove(h *handshake, conn *tls.Conn, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if index := slices.Index(l.handshakes, h); index >= 0 {
		l.handshakes = slices.Delete(l.handshakes, index, index+1)
	}
	select {
	case l.handshakeDone <- struct{}{}:
	default:
	}
	switch {
	case h.evicted:
		l.counts.Evicted++
	case err != nil:
		l.counts.Failed++
	default:
		l.counts.Done++
		if conn.ConnectionState().DidResume {
			l.counts.Resumed++
		}
	}
}

func (l *tlsListener) stats() HandshakeStats {
	l.mu.Lock()
	defer l.mu.Unlock()
	stats := l.counts
	stats.Open = len(l.handshakes)
	return stats
}
