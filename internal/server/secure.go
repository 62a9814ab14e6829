package server

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

const (
	handshakeWithin = 2 * time.Second
	acceptAgain     = 5 * time.Millisecond

	// A client's first message comes right behind its connection, and its second a round trip later. Whoever has not sent
	// them by then may have to make room.
	silentAtLeast = 100 * time.Millisecond
	spokenAtLeast = 500 * time.Millisecond

	// mostHalfOpen bounds handshakes that are on their way, and shareHalfOpen their part of the clients' descriptors.
	mostHalfOpen  = 64
	shareHalfOpen = 4

	challengeProtocol = "acme-tls/1" // RFC 8737, 6.2
)

// Secure is how the front serves TLS.
type Secure struct {
	Address     string
	Shared      bool // another process of the node may listen there as well
	Certificate func(*tls.ClientHelloInfo) (*tls.Certificate, error)
	Challenges  bool // tls-alpn-01 is answered, by certificates that Certificate gives
}

// secure gives out connections whose handshake is done. Handshakes run side by side, bounded in number and time. Where
// the number is reached, a newcomer takes the place of one whose client keeps it waiting, so that whoever opens connections
// and keeps silent can't lock the others out.
type secure struct {
	inner *listener
	told  *tls.Config
	most  int
	done  chan net.Conn
	ended chan struct{}
	err   error // of the inner listener, once ended is closed

	left chan struct{} // one has ended

	mu    sync.Mutex
	open  []*handshake // in the order of their coming
	count Handshakes
}

// Handshakes counts them.
type Handshakes struct {
	Done    uint64 `json:"done"`
	Resumed uint64 `json:"resumed"` // of those
	Failed  uint64 `json:"failed"`  // the client's fault, or its patience
	Evicted uint64 `json:"evicted"` // for a newcomer, or for an op's connection
	Open    int    `json:"open"`
}

type handshake struct {
	c       *net.TCPConn
	begun   time.Time
	heard   bool // the client has sent something
	evicted bool
}

// newSecure listens for TLS; limit is what the budget has.
func newSecure(inner *listener, o Secure, limit int) *secure {
	s := &secure{inner: inner, most: min(mostHalfOpen, max(limit/shareHalfOpen, 4)), done: make(chan net.Conn), ended: make(chan struct{}),
		left: make(chan struct{}, 1)}
	// HTTP/1.1 alone: what stands around an op is judged by its bytes.
	s.told = &tls.Config{MinVersion: tls.VersionTLS12, NextProtos: []string{"http/1.1"}, GetCertificate: o.Certificate}
	if o.Challenges {
		s.told.NextProtos = append(s.told.NextProtos, challengeProtocol)
	}
	return s
}

// tickets sets the keys of session tickets: the first is used, the others are still understood.
func (s *secure) tickets(keys [][32]byte) {
	if len(keys) > 0 {
		s.told.SetSessionTicketKeys(keys)
	}
}

// run makes handshakes until the inner listener ends.
func (s *secure) run() {
	var all sync.WaitGroup
	for {
		c, err := s.inner.Accept()
		if passing := net.Error(nil); errors.As(err, &passing) && passing.Temporary() { //nolint:staticcheck // as net/http does: descriptors may be short
			time.Sleep(acceptAgain)
			continue
		}
		if err != nil {
			all.Wait()
			s.err = err
			close(s.ended)
			return
		}
		h := &handshake{c: c.(*client).tcp, begun: time.Now()}
		s.enter(h)
		all.Go(func() { s.shake(c.(*client), h) })
	}
}

// enter puts a newcomer on its way. Where there is no place, it takes that of one whose client keeps it waiting, and else
// waits itself: handshakes of a crowd of honest clients wait for this machine, not for them, and end none of each other.
func (s *secure) enter(h *handshake) {
	for {
		wait, entered := s.try(h, time.Now())
		if entered {
			return
		}
		t := time.NewTimer(wait)
		select {
		case <-s.left:
		case <-t.C:
		}
		t.Stop()
	}
}

// try gives the time until one may have to go, where none leaves before.
func (s *secure) try(h *handshake, now time.Time) (wait time.Duration, entered bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.open) >= s.most {
		at, wait := -1, handshakeWithin
		for i, o := range s.open { // the oldest first of those who have said nothing
			left := silentAtLeast - now.Sub(o.begun)
			if left <= 0 {
				// What has come and is not read yet counts: then it is this machine that is late.
				if ago, spoke := o.spoke(); spoke {
					o.heard, left = true, spokenAtLeast-ago
				}
			}
			if left <= 0 && (at < 0 || s.open[at].heard && !o.heard) {
				at = i
			}
			wait = min(wait, left)
		}
		if at < 0 {
			return wait, false
		}
		s.evict(at)
	}
	s.open = append(s.open, h)
	return 0, true
}

// spoke asks the kernel when the client last sent something, if it ever did.
func (h *handshake) spoke() (ago time.Duration, ever bool) {
	raw, err := h.c.SyscallConn()
	if err != nil {
		return 0, false
	}
	_ = raw.Control(func(fd uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil && info.Bytes_received > 0 {
			ago, ever = time.Duration(info.Last_data_recv)*time.Millisecond, true
		}
	})
	return ago, ever
}

// evict ends one on its way; its goroutine gives the descriptor back.
func (s *secure) evict(at int) {
	h := s.open[at]
	h.evicted = true
	s.open = append(s.open[:at], s.open[at+1:]...)
	_ = h.c.Close()
}

// shed ends those on their way that have said nothing for so long.
func (s *secure) shed(silent time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := 0; i < len(s.open); {
		if _, spoke := s.open[i].spoke(); !spoke && time.Since(s.open[i].begun) >= silent {
			s.evict(i)
			continue
		}
		i++
	}
}

// leave takes a handshake off the list, with how it ended.
func (s *secure) leave(h *handshake, t *tls.Conn, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, o := range s.open {
		if o == h {
			s.open = append(s.open[:i], s.open[i+1:]...)
			break
		}
	}
	select {
	case s.left <- struct{}{}:
	default:
	}
	switch {
	case h.evicted:
		s.count.Evicted++
	case err != nil:
		s.count.Failed++
	default:
		s.count.Done++
		if t.ConnectionState().DidResume {
			s.count.Resumed++
		}
	}
}

func (s *secure) shake(c *client, h *handshake) {
	t := tls.Server(c.tcp, s.told)
	ctx, cancel := context.WithTimeout(context.Background(), handshakeWithin)
	err := t.HandshakeContext(ctx)
	cancel()
	s.leave(h, t, err)
	if err != nil || h.evicted || t.ConnectionState().NegotiatedProtocol == challengeProtocol { // RFC 8737, 3: that was all
		if err == nil {
			_ = t.Close()
		}
		_ = c.Close()
		return
	}
	c.Conn = t
	s.done <- c
}

// Accept gives the next connection whose handshake is done.
func (s *secure) Accept() (net.Conn, error) {
	select {
	case c := <-s.done:
		return c, nil
	case <-s.ended:
		return nil, s.err
	}
}

func (s *secure) Close() error   { return s.inner.Close() }
func (s *secure) Addr() net.Addr { return s.inner.Addr() }

func (s *secure) handshakes() Handshakes {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := s.count
	n.Open = len(s.open)
	return n
}
