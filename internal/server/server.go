// Package server takes ops from clients on net/http's server and brings each its one final answer.
package server

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime/debug"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"pearknot/internal/admission"
	"pearknot/internal/clock"
	"pearknot/internal/config"
	"pearknot/internal/descriptors"
	"pearknot/internal/node"
	"pearknot/internal/upstream"
)

const (
	healthPath = "/_health"

	// readWithin is for an op's bytes, from its first or the connection's start on. One that brings none must hear of
	// its end within 3 s, and may have waited for a descriptor before.
	readWithin  = 2200 * time.Millisecond
	writeWithin = 5 * time.Second // an answer's bytes
	idleFor     = 5 * time.Second // a client's connection between ops; some ask once and never close
	mostHead    = 12 << 10        // bytes; net/http allows 4 KiB more

	// idleAtLeast is how long a connection has had no op when it may be shed while others wait for its descriptor:
	// sooner, a client's op may be on its way, and fails with the connection if it is the first there.
	idleAtLeast = 2 * time.Second

	// What Retry-After can tell is a thousandth of a second. Where a wait of less is foreseen, what turned the op away is no queue
	// (backends that refuse, or end connections): the module looks at them anew every 100 ms, and decides as before until then.
	soonest    = 1.0   // ms
	unforeseen = 100.0 // ms

	streamed = 16 << 10 // bytes of a long answer at a time

	oddEvery = time.Second // between two log lines of malformed ops

	// clientsStillCome is how long new connections come after SIGTERM at most, and how long a node without ops waits
	// for one; quiet is how long the listener's queue must be empty before it closes.
	clientsStillCome = 500 * time.Millisecond
	quiet            = 50 * time.Millisecond
)

// Front is the clients' side of a node.
type Server struct {
	node   *node.Node
	told   atomic.Pointer[config.Deployment]
	clock  *clock.Clock
	budget *descriptors.Budget
	log    *slog.Logger

	server    http.Server
	listener  *listener
	secure    *secure         // nil where no TLS is served
	door      *door           // nil lets all in
	keep      *RequestLogging // nil where no other process keeps ops
	withheld  atomic.Bool     // kept out of service
	leaving   atomic.Bool     // told to end: no client is to be sent here any more
	draining  atomic.Bool     // those who still come are asked to close
	succeeded atomic.Bool     // another process serves in its place: the node goes on
	away      away
	latest    atomic.Int64 // when an op came, Unix ms
	open      atomic.Int64 // ops taken and not answered
	served    chan struct{}
	mu        sync.Mutex
	between   map[net.Conn]time.Time // connections without an op, and since when
	ids       map[string]struct{}    // of the ops taken and not answered
	odd       rate.Sometimes         // what odd clients send fills no log
	unsaid    atomic.Int64           // odd ops since the last line of the log
}

func New(n *node.Node, told *config.Deployment, c *clock.Clock, budget *descriptors.Budget, log *slog.Logger) *Server {
	f := &Server{node: n, clock: c, budget: budget, log: log, between: map[net.Conn]time.Time{},
		ids: map[string]struct{}{}, odd: rate.Sometimes{Interval: oddEvery}, served: make(chan struct{})}
	f.told.Store(told)
	f.server = http.Server{
		Handler:           f,
		ReadHeaderTimeout: readWithin,
		ReadTimeout:       readWithin,
		IdleTimeout:       idleFor,
		MaxHeaderBytes:    mostHead,
		ErrorLog:          slog.NewLogLogger(log.Handler(), slog.LevelDebug),
		ConnContext:       withClient,
		ConnState:         f.state,
	}
	return f
}

// Admit has a core choose among clients by limits; it is called before the front listens. Told hears of each time at which
// choosing begins or ends.
func (f *Server) Admit(l admission.Limits, told func(pressed bool)) {
	l.Conns = max(f.budget.MaxClients()-headroom, 1)
	f.door = &door{clock: f.clock, core: admission.New(l), clients: map[uint64]*client{}, told: told}
}

// Retune takes up other terms for the ops that come from now on; the module has them already.
func (f *Server) Reconfigure(told *config.Deployment) { f.told.Store(told) }

// Relimit takes up other limits, and Clients tells who is here; both only after Admit.
func (f *Server) SetLimits(l admission.Limits) { f.door.relimit(l) }
func (f *Server) Clients() Clients             { return f.door.look() }

// Listen opens the address; clients are served from Serve on. Where it is to be shared, another process of the node may listen
// there as well.
func (f *Server) Listen(address string, share bool) error {
	l, err := listen(address, share)
	if err == nil {
		f.listener = &listener{TCPListener: l.(*net.TCPListener), budget: f.budget, door: f.door}
	}
	return err
}

func listen(address string, share bool) (net.Listener, error) {
	if share {
		return shared(address)
	}
	return net.Listen("tcp", address)
}

// ListenSecure opens a second address, for TLS; it is served from Serve on. Its descriptors
// are of the same budget, half-open ones at most a quarter of the limit.
func (f *Server) ListenSecure(o Secure, limit int) error {
	l, err := listen(o.Address, o.Shared)
	if err == nil {
		f.secure = newSecure(&listener{TCPListener: l.(*net.TCPListener), budget: f.budget, door: f.door}, o, limit)
	}
	return err
}

// Tickets sets the keys of TLS session tickets: the first seals, all open. Connections go on.
func (f *Server) Tickets(keys [][32]byte) { f.secure.tickets(keys) }

// Handshakes counts those of TLS.
func (f *Server) Handshakes() Handshakes { return f.secure.handshakes() }

// Address is where the front listens; SecureAddress where it does for TLS.
func (f *Server) Address() string       { return f.listener.Addr().String() }
func (f *Server) SecureAddress() string { return f.secure.Addr().String() }

// Serve goes on until Drain has ended it.
func (f *Server) Serve() error {
	defer close(f.served)
	if f.secure == nil {
		return f.serveOn(f.listener)
	}
	go f.secure.run()
	failed := make(chan error, 2)
	go func() { failed <- f.serveOn(f.secure) }()
	go func() { failed <- f.serveOn(f.listener) }()
	if err := <-failed; err != nil { // the node ends with either
		return err
	}
	return <-failed
}

func (f *Server) serveOn(l net.Listener) error {
	if err := f.server.Serve(l); !errors.Is(err, net.ErrClosed) && !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// ServeOn goes on serving as long as clients come, for so long at most: those who have connections use them for as long as
// these stay open, and may have no other node yet. Drain follows, or HandOver, where it ends since another process serves.
func (f *Server) ServeOn(most time.Duration, followed func() bool) {
	f.leaving.Store(true)
	f.latest.Store(time.Now().UnixMilli())
	begun := time.Now()
	for ; time.Since(begun) < most && !followed(); time.Sleep(quiet) {
		silence := time.Since(time.UnixMilli(f.latest.Load()))
		if time.Since(begun) > clientsStillCome && silence > clientsStillCome && f.open.Load() == 0 {
			break
		}
	}
}

// Drain asks clients to close their connections, takes no more and waits until all is answered or ctx ends. It tells how
// many ops are left without an answer.
func (f *Server) Drain(ctx context.Context) int64 {
	f.leaving.Store(true)
	f.draining.Store(true)
	for range 2 { // while those who come back still find the listener
		f.shed(quiet, false)
		time.Sleep(quiet)
	}
	f.listener.drain()
	if f.secure != nil {
		f.secure.inner.drain()
	}
	f.empty(ctx, func(time.Duration) time.Duration { return quiet })
	_ = f.server.Shutdown(ctx) // what is still open by then is counted
	return f.open.Load()
}

// empty closes connections once they have been idle for so long, by the time that has passed, until there is none or ctx ends.
// net/http's Shutdown would close them with what lies there unread, so it comes after.
func (f *Server) empty(ctx context.Context, idle func(passed time.Duration) time.Duration) {
	begun, tick := time.Now(), time.NewTicker(quiet)
	defer tick.Stop()
	for ctx.Err() == nil && (f.budget.Clients() > 0 || !f.ended()) {
		f.shed(idle(time.Since(begun)), false)
		select {
		case <-tick.C:
		case <-ctx.Done():
		}
	}
}

// HandOver ends serving while another process of the node serves: new connections go there, those in the queue here are
// taken, each is let go after its answer or when it is idle. It ends when none is left or ctx does, and tells like Drain.
func (f *Server) DrainForHandoff(ctx context.Context) int64 {
	f.succeeded.Store(true)
	f.leaving.Store(true)
	f.draining.Store(true)
	listeners := []*listener{f.listener}
	if f.secure != nil {
		listeners = append(listeners, f.secure.inner)
	}
	for _, l := range listeners {
		if err := steerAway(l.TCPListener); err != nil {
			f.log.Warn("new connections are not steered to the next process", "error", err)
		}
		l.drain()
	}
	f.empty(ctx, func(passed time.Duration) time.Duration {
		if passed > awayLast {
			return awayTick
		}
		return awayIdle
	})
	f.shed(0, true)
	_ = f.server.Shutdown(ctx)
	return f.open.Load()
}

func (f *Server) ended() bool {
	select {
	case <-f.served:
		return true
	default:
		return false
	}
}

// Withhold keeps the node out of service, or takes it back: its health says so, and whoever comes is served all the same.
func (f *Server) Withhold(out bool) { f.withheld.Store(out) }

// State tells whether the node's health would send clients here, and whether it is about to end.
func (f *Server) State() (in, ending bool) {
	return !f.withheld.Load() && (!f.leaving.Load() || f.succeeded.Load()) && !f.away.now(), f.leaving.Load()
}

// Shed closes clients' connections that have had no op for a while; what crosses that a client sends again on
// another.
func (f *Server) Shed() {
	f.shed(idleAtLeast, true)
	if f.secure != nil {
		f.secure.shed(silentAtLeast)
	}
}

// shed closes connections that have had no op for so long, those with a part of one only where that is meant as well, and none
// on which something lies that is not read yet: it may be an op, which would be lost with the connection.
func (f *Server) shed(idle time.Duration, parts bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for c, since := range f.between {
		if c := c.(*client); time.Since(since) >= idle && (parts || !c.within()) && !c.waits() {
			_ = c.Close()
			delete(f.between, c)
		}
	}
}

func (f *Server) state(c net.Conn, s http.ConnState) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch s {
	case http.StateNew, http.StateIdle:
		f.between[c] = time.Now()
	default:
		delete(f.between, c)
	}
}

func (f *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := r.Context().Value(clientKey{}).(*client)
	var op *node.Request
	defer func() { // net/http would end the connection, and lose an op taken
		if fault := recover(); fault == http.ErrAbortHandler { // net/http's way to end an answer that is not whole
			panic(fault)
		} else if fault != nil {
			f.log.Error("front fault", "fault", fmt.Sprint(fault), "stack", string(debug.Stack()))
			if op != nil {
				f.node.Cancel(op)
			}
			f.write(w, c, http.StatusInternalServerError, nil) // a dead letter: no claim about what ran
		}
	}()
	if r.URL.Path == healthPath {
		c.judged((*admission.Core).Looked)
		f.health(w, c)
		return
	}
	var bad *malformed
	id := r.Header.Get(idHeader)
	if op, bad = f.decode(w, r, c); bad == nil && !f.enter(id) {
		bad = &malformed{http.StatusConflict, "the id of an open op"}
	}
	if bad != nil {
		f.sayOdd(bad.why)
		c.judged((*admission.Core).Odd)
		f.write(w, c, bad.status, []byte(bad.why+"\n"))
		return
	}
	defer f.leave(id)
	// Until here the connection may be let go, whatever of an op it has sent: nothing was taken. Returning would have net/http
	// answer 200, which still gets out where the connection is only about to be closed.
	if c.id != 0 && !c.door.began(c) || !c.claim(op.Streamed) {
		panic(http.ErrAbortHandler)
	}
	defer c.release()
	defer c.judged((*admission.Core).Answered)
	if c.left() { // it may have waited for a descriptor for longer than its client did
		f.answer(w, c, node.Answer{Status: node.Failed})
		return
	}
	if op.Logged != nil {
		f.serveKept(w, r, c, op)
		return
	}
	f.serve(w, r, c, op)
}

// enter takes an op's id until leave gives it back; false tells that another op has it.
func (f *Server) enter(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, taken := f.ids[id]
	f.ids[id] = struct{}{}
	return !taken
}

func (f *Server) leave(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.ids, id)
}

// sayOdd logs a malformed op now and then, with how many there were.
func (f *Server) sayOdd(why string) {
	f.unsaid.Add(1)
	f.odd.Do(func() { f.log.Warn("op malformed", "error", why, "since_last", f.unsaid.Swap(0)) })
}

func (f *Server) health(w http.ResponseWriter, c *client) {
	select {
	case <-f.node.Ready():
		if in, _ := f.State(); in {
			f.write(w, c, http.StatusOK, []byte("ready\n"))
			return
		}
	default:
	}
	f.write(w, c, http.StatusServiceUnavailable, []byte("not ready\n"))
}

// serve sees an op through to its one answer.
func (f *Server) serve(w http.ResponseWriter, r *http.Request, c *client, op *node.Request) {
	open := f.open.Add(1)
	f.latest.Store(time.Now().UnixMilli())
	defer f.open.Add(-1)
	told := f.told.Load()
	if most := int64(told.MaxOpenRequests); open > most && most > 0 || f.away.empty.Load() {
		full := node.Answer{Status: node.Rejected}
		if told.Balancer.SendRetryAfter { // a node as full as that is not soon another
			full.RetryAfter = told.Balancer.MaxRetryAfter
		}
		f.answer(w, c, full)
		return
	}
	f.node.Submit(op)
	select {
	case a := <-op.Answer():
		f.answer(w, c, a)
		return
	case <-r.Context().Done():
	case <-c.gone:
	}
	f.node.Cancel(op)
	f.answer(w, c, node.Answer{Status: node.Failed}) // one that only ended its sending may still read
}

func (f *Server) answer(w http.ResponseWriter, c *client, a node.Answer) {
	switch a.Status {
	case node.Served:
		defer a.Reply.Release()
		upstream.RemoveHopByHop(a.Reply.Header)
		for name, values := range a.Reply.Header {
			w.Header()[name] = values
		}
		if a.Reply.Stream != nil {
			f.stream(w, c, a.Reply)
			return
		}
		f.write(w, c, http.StatusOK, a.Reply.Body)
	case node.Rejected:
		if wait := f.comeBack(a); wait > 0 {
			w.Header().Set("Retry-After", strconv.FormatFloat(wait/1e3, 'f', 3, 64))
		}
		f.write(w, c, http.StatusServiceUnavailable, nil)
	case node.RetryLater:
		w.Header().Set("Retry-After", strconv.FormatFloat(a.RetryAfter/1e3, 'f', 3, 64))
		f.write(w, c, http.StatusConflict, []byte("the op is in hand; ask again with its key\n"))
	default:
		f.write(w, c, http.StatusBadGateway, nil)
	}
}

// comeBack is when a client that is turned away is to come again, in ms: as foreseen, or where no wait was, a little later all
// the same, where clients may be told. Those who are turned away together don't come together.
func (f *Server) comeBack(a node.Answer) float64 {
	t := f.told.Load().Balancer
	if a.RetryAfter >= soonest || !t.SendRetryAfter {
		return a.RetryAfter
	}
	wait := unforeseen * (0.5 + 0.5*rand.Float64())
	if t.MaxRetryAfter > 0 {
		wait = min(wait, t.MaxRetryAfter)
	}
	return wait
}

func (f *Server) write(w http.ResponseWriter, c *client, status int, body []byte) {
	f.head(w, c, status, int64(len(body)))
	_, _ = w.Write(body) // a client that is gone is no fault
}

// head writes an answer's head; its body's size below 0 is not known.
func (f *Server) head(w http.ResponseWriter, c *client, status int, size int64) {
	if c.answering() || f.draining.Load() || f.away.closing.Load() || f.budget.ShouldCloseClients() {
		w.Header().Set("Connection", "close")
	}
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeWithin))
	if size >= 0 {
		w.Header().Set("Content-Length", strconv.FormatInt(size, 10))
	}
	w.WriteHeader(status)
}

// stream passes a long answer on as it comes: its first bytes at once, and the rest no faster than the client takes it,
// which may be slow but must not stop. What the backend does not finish is broken off, so that the client can tell.
func (f *Server) stream(w http.ResponseWriter, c *client, reply *upstream.Reply) {
	to := http.NewResponseController(w)
	f.head(w, c, http.StatusOK, reply.Stream.Size)
	part, buffer := reply.Body, make([]byte, streamed)
	reply.Body = nil
	for {
		if _, err := w.Write(part); err != nil || to.Flush() != nil {
			return // gone, or standing still
		}
		n, err := reply.Stream.Read(buffer)
		if part = buffer[:n]; err == io.EOF && n == 0 {
			return
		} else if err != nil && err != io.EOF {
			f.log.Debug("answer broken off", "error", err)
			panic(http.ErrAbortHandler)
		}
		_ = to.SetWriteDeadline(time.Now().Add(writeWithin))
	}
}
