package server

import (
	"bufio"
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"pearknot/balancer"
	"pearknot/internal/discovery"
)

// A client that closes or cancels has gone: nothing may begin for it 0.1 s later, first attempt, retry or hedge. A busy machine may
// take longer than that to hear of the close at all, so the moment is held instead: what would send stands still, the client leaves,
// the front has taken that in, and only then does it go on. Then not one attempt may begin, however soon; how soon the front
// hears is lookEvery's to bound where net/http does not watch.
//
// A cancel is the end of a connection here, since one carries one request at a time and TLS offers no protocol but HTTP/1.1: an
// HTTP client's own cancel, the end of the sending alone, or TLS's own end with the connection left open.

// attempts is what began at stand-in backends: the first byte of each counts, whole or not.
type attempts struct {
	t       *testing.T
	began   chan bool
	answer  chan string // to one attempt
	reading sync.WaitGroup

	mu    sync.Mutex
	n     int
	conns int
	void  bool // another moment than the one meant: nothing to judge
}

func (a *attempts) some() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.n > 0
}

// newAttempts judges last, once the node has ended: what was written to a backend has been read by then.
func newAttempts(t *testing.T, want int) *attempts {
	a := &attempts{t: t, began: make(chan bool, 64), answer: make(chan string, 1)}
	t.Cleanup(func() {
		read := make(chan bool)
		go func() {
			a.reading.Wait()
			close(read)
		}()
		select {
		case <-read:
		case <-time.After(10 * time.Second):
			t.Error("an attempt is still out")
		}
		a.mu.Lock()
		defer a.mu.Unlock()
		if !a.void {
			assert.Equal(t, want, a.n, "attempts in all")
			assert.Equal(t, want, a.conns, "nor does a connection come up for another")
		}
	})
	return a
}

// backend stands in for one. It reads each connection, which brings one attempt, to its end.
func (a *attempts) backend() (address string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(a.t, err)
	last := net.IPv4(127, 0, 0, 2) // whose connection comes behind all others
	a.reading.Go(func() {
		defer l.Close()
		for c, err := l.Accept(); err == nil; c, err = l.Accept() {
			if c.RemoteAddr().(*net.TCPAddr).IP.Equal(last) {
				_ = c.Close()
				return
			}
			a.mu.Lock()
			a.conns++
			a.mu.Unlock()
			a.reading.Go(func() { a.read(c) })
		}
	})
	a.t.Cleanup(func() {
		c, err := (&net.Dialer{LocalAddr: &net.TCPAddr{IP: last}}).Dial("tcp", l.Addr().String())
		if assert.NoError(a.t, err) {
			_ = c.Close()
		}
	})
	return l.Addr().String()
}

func (a *attempts) read(c net.Conn) {
	defer c.Close()
	if _, err := c.Read(make([]byte, 1)); err != nil {
		return
	}
	a.mu.Lock()
	a.n++
	a.mu.Unlock()
	a.began <- true
	ended := make(chan bool)
	go func() {
		defer close(ended)
		_, _ = io.Copy(io.Discard, c)
	}()
	select {
	case text := <-a.answer:
		_, _ = io.WriteString(c, text)
		<-ended
	case <-ended:
	}
}

// unreachable is a backend no connection to which comes up until it is let; connecting tells whether one is on its way.
func (a *attempts) unreachable() (address string, connecting func() bool, let, arrived func()) {
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC|unix.SOCK_NONBLOCK, 0)
	require.NoError(a.t, err)
	require.NoError(a.t, unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	require.NoError(a.t, unix.Listen(fd, 0))
	at, err := unix.Getsockname(fd)
	require.NoError(a.t, err)
	port := at.(*unix.SockaddrInet4).Port
	address = fmt.Sprintf("127.0.0.1:%d", port)
	full, err := net.Dial("tcp", address) // the only place in its queue
	require.NoError(a.t, err)
	var taken []int
	take := func() bool {
		c, _, err := unix.Accept4(fd, unix.SOCK_NONBLOCK)
		if err == nil {
			taken = append(taken, c)
		}
		return err == nil
	}
	a.t.Cleanup(func() { // the node has ended: whatever it wrote here lies here
		for take() {
		}
		for _, c := range taken {
			if n, _ := unix.Read(c, make([]byte, 1)); n > 0 {
				a.n++
			}
			_ = unix.Close(c)
		}
		_ = full.Close()
		_ = unix.Close(fd)
	})
	connecting = func() bool {
		table, err := os.ReadFile("/proc/self/net/tcp")
		require.NoError(a.t, err)
		return strings.Contains(string(table), fmt.Sprintf(" 0100007F:%04X 02 ", port)) // SYN_SENT
	}
	let = func() { require.Eventually(a.t, take, 10*time.Second, time.Millisecond) }
	arrived = func() { // and what begins there has
		require.Eventually(a.t, take, 20*time.Second, time.Millisecond)
		_, _ = unix.Poll([]unix.PollFd{{Fd: int32(taken[1]), Events: unix.POLLIN}}, 100)
	}
	return address, connecting, let, arrived
}

// gate is a module that stands still before one push is handed on and behind it, as one with very many backends and decisions to
// make does: the node's actor hears of nothing meanwhile.
type gate struct {
	balancer.Decider
	number  int // of the push among its request's; -1 is none
	decided chan bool
	let     chan bool   // hand it on
	on      chan bool   // go on behind it
	at      int         // 1 behind it, 2 far behind
	wanted  func() bool // whether it is the moment that is meant, or goes by; nil is always
	wentBy  bool
}

func newGate(number int) *gate {
	return &gate{number: number, decided: make(chan bool), let: make(chan bool), on: make(chan bool)}
}

func (g *gate) decide(t *balancer.Config, now float64) balancer.Decider {
	g.Decider = balancer.New(t, now)
	return g
}

func (g *gate) Next() (balancer.Decision, bool) {
	if g.at == 1 {
		g.at = 2
		<-g.on
	}
	d, more := g.Decider.Next()
	if more && g.at == 0 && d.Kind == balancer.DoAttempt && d.Attempt.Number == g.number {
		g.wentBy = g.wanted != nil && !g.wanted()
		close(g.decided)
		if g.at = 2; !g.wentBy {
			g.at = 1
			<-g.let
		}
	}
	return d, more
}

// way is how a client leaves that has sent a request.
type way struct {
	name  string
	begin func(t *testing.T, f *Server, said string) (leave func())
}

func plainly(end func(net.Conn)) func(*testing.T, *Server, string) func() {
	return func(t *testing.T, f *Server, said string) func() {
		c := connected(t, f, said)
		return func() { end(c) }
	}
}

var ways = []way{
	{"FIN", plainly(end)},
	{"RST", plainly(reset)},
	{"end of its sending", plainly(func(c net.Conn) { _ = c.(*net.TCPConn).CloseWrite() })},
	{"TLS's own end alone", func(t *testing.T, f *Server, said string) func() {
		c, err := dial(f, &tls.Config{})
		require.NoError(t, err)
		t.Cleanup(func() { _ = c.Close() })
		_, err = io.WriteString(c, said)
		require.NoError(t, err)
		return func() { _ = c.CloseWrite() }
	}},
	{"an HTTP client's cancel", func(t *testing.T, f *Server, said string) func() {
		r, err := http.ReadRequest(bufio.NewReader(strings.NewReader(said)))
		require.NoError(t, err)
		r.RequestURI, r.URL.Scheme, r.URL.Host = "", "http", f.Address()
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error)
		go func() {
			_, err := (&http.Transport{}).RoundTrip(r.WithContext(ctx))
			ended <- err
		}()
		return func() {
			cancel()
			assert.ErrorIs(t, <-ended, context.Canceled)
		}
	}},
}

// long is a way with a body that is passed on as it comes, so that net/http does not watch for the client.
func long(w way) way {
	begin := w.begin
	w.begin = func(t *testing.T, f *Server, said string) func() {
		return begin(t, f, strings.Replace(said, "Content-Length: 0\r\n\r\n", "Content-Length: 70000\r\n\r\n"+strings.Repeat("x", 70_000), 1))
	}
	w.name += " behind a long body"
	return w
}

const (
	first = iota
	retry
	hedge
)

const fails = "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"

func TestNothingBeginsForAClientThatHasGone(t *testing.T) {
	type moment struct {
		name string
		play func(*testing.T, int, way)
	}
	for _, m := range []moment{{"waits in the module", leftWaiting}, {"lies in the actor's mailbox", leftInMailbox},
		{"dials", leftDialling}, {"dials, its end in the mailbox", leftDiallingUnheard}} {
		for kind, name := range []string{"first", "retry", "hedge"} {
			all := ways
			if kind == first {
				all = append(all[:len(all):len(all)], long(ways[0]), long(ways[1]))
			}
			for _, w := range all {
				if kind == first && (m.name == "waits in the module" || m.name == "dials") && (w.name == "FIN" || w.name == "RST" || strings.Contains(w.name, "long")) {
					continue // TestAnOpWhoseClientHasLeftIsNotSentOn, TestAnOpWhoseClientLeavesDuringADial
				}
				t.Run(fmt.Sprintf("%s %s, %s", name, m.name, w.name), func(t *testing.T) {
					t.Parallel()
					m.play(t, kind, w)
				})
			}
		}
	}
}

// gone is a front whose node has so many backends, each of which takes what comes; terms are of what may be sent again.
func gone(t *testing.T, g *gate, addresses ...string) *Server {
	list := &discovery.List{Complete: true}
	for k, address := range addresses {
		list.Endpoints = append(list.Endpoints, member(k, address))
	}
	f, _, _ := fronted(t, 256, &balancer.Config{Seed: 1, Nodes: 1, MaxAttempts: 3, AllowHedging: true, CancelAttempts: true, PollEndpoints: true, PollInterval: 60e3,
		OverloadMultiple: 3, OverloadWindow: 1000, Classes: []balancer.Class{{LatencyObjective: 50e3, PriorityWeight: 1, LateWeight: 1}}}, g.decide, list)
	return f
}

func member(k int, address string) discovery.Endpoint {
	return discovery.Endpoint{Name: fmt.Sprint("s", k), Address: address, State: balancer.BackendReady, Weight: 1}
}

// over waits until the front has seen so many requests off, and the node each of their attempts.
func over(t *testing.T, f *Server, left int) {
	require.Eventually(t, func() bool {
		l, err := f.node.Status(t.Context())
		return f.openRequests.Load() == int64(left) && err == nil && l.OpenRequests == left
	}, 10*time.Second, time.Millisecond)
}

// seen waits until the front has seen all clients leave.
func seen(t *testing.T, f *Server) {
	require.Eventually(t, func() bool { return f.openRequests.Load() == 0 }, 10*time.Second, time.Millisecond)
}

// sized is a request whose hedge is due about so many times four ms after its first attempt.
func sized(id string, ms int) string {
	return strings.Replace(opOf(id, 0), "X-Size-Hint: 100", fmt.Sprintf("X-Size-Hint: %d000", ms), 1)
}

// leftWaiting: nothing is decided on yet. A first attempt waits for room, a retry for the attempt before it, a hedge for its time.
func leftWaiting(t *testing.T, kind int, w way) {
	most := map[int]int{first: 4, retry: 1, hedge: 1}[kind]
	a := newAttempts(t, most)
	g := newGate(-1)
	if kind == first { // of a backend of which nothing is known a node has four out
		f := gone(t, g, a.backend())
		var fill []net.Conn
		for k := range most {
			fill = append(fill, connected(t, f, sized(fmt.Sprint("fill ", k), 1000)))
			<-a.began
		}
		leave := w.begin(t, f, sized("a", 1000))
		require.Eventually(t, func() bool { return f.openRequests.Load() == int64(most+1) }, 10*time.Second, time.Millisecond)
		leave()
		over(t, f, most)
		a.answer <- fails // makes room
		over(t, f, most-1)
		for _, c := range fill {
			end(c)
		}
		over(t, f, 0)
		return
	}
	f := gone(t, g, a.backend(), a.backend(), a.backend())
	leave := w.begin(t, f, sized("a", 2000))
	<-a.began
	leave()
	seen(t, f)
	if kind == retry {
		a.answer <- fails
	}
	over(t, f, 0)
}

// leftInMailbox: an attempt is decided on and not begun, and its client's end lies in the mailbox of an actor that stands still.
func leftInMailbox(t *testing.T, kind int, w way) {
	a := newAttempts(t, map[int]int{first: 0, retry: 1, hedge: 1}[kind])
	g := newGate(map[int]int{first: 0, retry: 1, hedge: 1}[kind])
	f := gone(t, g, a.backend(), a.backend(), a.backend())
	leave := w.begin(t, f, sized("a", map[int]int{first: 1, retry: 2000, hedge: 1}[kind]))
	if kind != first {
		<-a.began
	}
	if kind == retry {
		a.answer <- fails
	}
	<-g.decided
	leave()
	seen(t, f)
	close(g.let)
	select { // what begins does so at once; that nothing does has no end to wait for
	case <-a.began:
	case <-time.After(100 * time.Millisecond):
	}
	close(g.on)
	over(t, f, 0)
}

// leftDialling: an attempt's connection does not come up until its client has gone, which the node's actor has heard of by then.
func leftDialling(t *testing.T, kind int, w way) { leftDuringDial(t, kind, w, newGate(-1)) }

// leftDiallingUnheard: nor has it heard of that by then.
func leftDiallingUnheard(t *testing.T, kind int, w way) {
	leftDuringDial(t, kind, w, newGate(map[int]int{first: 0, retry: 1, hedge: 1}[kind]))
}

func leftDuringDial(t *testing.T, kind int, w way, g *gate) {
	a := newAttempts(t, map[int]int{first: 0, retry: 1, hedge: 1}[kind])
	address, connecting, let, arrived := a.unreachable()
	close(g.let)
	var f *Server
	var leave func()
	if kind == first {
		f = gone(t, g, address)
		leave = w.begin(t, f, sized("a", 1))
	} else {
		f = gone(t, g, a.backend())
		leave = w.begin(t, f, sized("a", map[int]int{retry: 2000, hedge: 100}[kind]))
		<-a.began
		f.node.EndpointsChanged(&discovery.List{Version: 1, Endpoints: []discovery.Endpoint{member(9, address)}})
		if kind == retry {
			_, err := f.node.Status(t.Context()) // the list is taken
			require.NoError(t, err)
			a.answer <- fails
		}
	}
	require.Eventually(t, connecting, 20*time.Second, time.Millisecond)
	leave()
	seen(t, f)
	let()
	if g.number >= 0 {
		arrived()
		close(g.on)
	}
	over(t, f, 0)
}
