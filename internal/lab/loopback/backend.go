package loopback

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"

	"pearknot/balancer"
	"pearknot/internal/invariants"
	"pearknot/internal/lab/backendmodel"
)

// backend is the stand-in for one server: the lab's model of a machine behind real sockets. It listens once for each
// zone of nodes, so that a zone's cut is seen by that zone alone.
type backend struct {
	hub    *hub
	number int
	zone   int
	kind   int
	cells  int

	mu     sync.Mutex
	m      *backendmodel.Machine
	inHand map[uint64]*call // by push
	seq    uint64
	timer  *time.Timer
	doors  []*door // by the nodes' zone
	silent bool    // its machine has vanished
	closed bool
}

// call is one push in hand.
type call struct {
	done chan float64 // its service time
	id   uint64
}

// door is where one zone's nodes come in.
type door struct {
	b       *backend
	zone    int
	address string
	mu      sync.Mutex
	l       net.Listener
	dark    *darkness
	cut     bool                  // the zones have no way to each other
	conns   map[*net.TCPConn]bool // and whether it is to be reset when there is a way again
	wg      sync.WaitGroup
}

func newBackend(h *hub, number, zone, kind, zones int, m *backendmodel.Machine) (*backend, error) {
	b := &backend{hub: h, number: number, zone: zone, kind: kind, cells: number, m: m, inHand: map[uint64]*call{}}
	b.timer = time.AfterFunc(time.Hour, b.turn)
	for z := range zones {
		d := &door{b: b, zone: z, address: h.home + ":0", conns: map[*net.TCPConn]bool{}}
		if err := d.open(); err != nil {
			b.close()
			return nil, err
		}
		b.doors = append(b.doors, d)
	}
	return b, nil
}

// way is the time one way between a zone of nodes and this backend; loopback itself takes next to none.
func (b *backend) way(zone int) time.Duration {
	if zone == b.zone {
		return 0
	}
	return time.Duration(b.hub.e.Fleet.CrossZoneDelayMs * float64(time.Millisecond))
}

// turn carries out what the model has done, and looks again when more will be.
func (b *backend) turn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.turned()
}

func (b *backend) turned() {
	if b.closed {
		return
	}
	now := b.hub.now()
	for _, d := range b.m.Advance(now) {
		if c := b.inHand[d.ID]; c != nil {
			delete(b.inHand, d.ID)
			c.done <- d.Service
		}
	}
	b.m.TakeStarted()
	if next := b.m.NextEvent(); !math.IsInf(next, 1) {
		b.timer.Reset(max(0, time.Until(b.hub.time(next))))
	}
}

// start starts its process; warm has it long since running.
func (b *backend) start(warm bool) error {
	b.mu.Lock()
	now := b.hub.now()
	b.m.Start(math.Max(now, 1e-3), warm)
	b.m.SetFaults(now, b.put())
	b.silent = false
	started := b.m.StartTime()
	b.mu.Unlock()
	b.hub.tell(invariants.Event{Kind: invariants.BackendStarted, Backend: b.number, Zone: b.zone, Cell: b.cells, Speed: b.m.Capacity(), Started: started})
	for _, d := range b.doors {
		if err := d.open(); err != nil {
			return err
		}
	}
	return nil
}

func (b *backend) put() backendmodel.Faults {
	b.hub.mu.Lock()
	defer b.hub.mu.Unlock()
	return b.hub.state.BackendFaults(b.number)
}

// trouble takes up what is on for it now.
func (b *backend) trouble() {
	t := b.put()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.m.SetFaults(b.hub.now(), t)
	b.turned()
}

// stop ends its process: connections break, or fall silent with the machine.
func (b *backend) stop(silent bool) {
	b.mu.Lock()
	b.m.Stop(b.hub.now())
	b.silent = silent
	b.inHand = map[uint64]*call{}
	b.mu.Unlock()
	for _, d := range b.doors {
		d.shut(silent)
	}
}

func (b *backend) close() {
	b.mu.Lock()
	b.closed = true
	b.timer.Stop()
	b.mu.Unlock()
	for _, d := range b.doors {
		d.shut(false)
		d.wg.Wait()
	}
}

// arrive hands a push to the model.
func (b *backend) arrive(work float64, fresh bool) (c *call, v backendmodel.Verdict) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.seq++
	c = &call{done: make(chan float64, 1), id: b.seq}
	v = b.m.Accept(b.hub.now(), c.id, work, fresh)
	if v == backendmodel.VerdictAccepted {
		b.inHand[c.id] = c
	}
	b.turned()
	return c, v
}

func (b *backend) revoke(c *call) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.inHand[c.id] == c {
		delete(b.inHand, c.id)
		b.m.Cancel(b.hub.now(), c.id)
		b.turned()
	}
}

func (b *backend) report() backendmodel.Report {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.m.Report(b.hub.now())
}

// open listens, again on the address that it had before, and lets go of the dark. What stood silent is reset.
func (d *door) open() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.l != nil || d.cut {
		return nil
	}
	if d.dark != nil {
		d.dark.end()
		d.dark = nil
	}
	for c, silent := range d.conns {
		if silent {
			_ = c.SetLinger(0)
			_ = c.Close()
		}
	}
	l, err := net.Listen("tcp", d.address)
	if err != nil {
		return err
	}
	d.l, d.address = l, l.Addr().String()
	d.wg.Add(1)
	go func() {
		defer d.wg.Done()
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			tcp := c.(*net.TCPConn)
			d.mu.Lock()
			if d.l != l {
				_ = tcp.SetLinger(0)
				_ = tcp.Close()
				d.mu.Unlock()
				continue
			}
			d.conns[tcp] = false
			d.wg.Add(1)
			d.mu.Unlock()
			go d.serve(tcp)
		}
	}()
	return nil
}

// shut refuses new connections and breaks those that stand; silent has new ones never come up, and old ones stand
// without a word.
func (d *door) shut(silent bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.l != nil {
		_ = d.l.Close()
		d.l = nil
	}
	if d.dark != nil && !silent {
		d.dark.end()
		d.dark = nil
	}
	for c := range d.conns {
		if silent {
			d.conns[c] = true
			continue
		}
		_ = c.SetLinger(0)
		_ = c.Close()
	}
	if silent && d.dark == nil {
		d.dark = newDarkness(d.address)
	}
}

// setCut takes the way between the zones away or gives it back.
func (d *door) setCut(cut bool) error {
	d.mu.Lock()
	d.cut = cut
	d.mu.Unlock()
	if cut {
		d.shut(true)
		return nil
	}
	d.b.mu.Lock()
	up, silent := d.b.m.Up(), d.b.silent
	d.b.mu.Unlock()
	switch {
	case up:
		return d.open()
	case !silent:
		d.shut(false)
	}
	return nil
}

// mute tells whether nothing passes on a connection.
func (d *door) mute(c *net.TCPConn) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.conns[c]
}

// serve takes pushes from one connection, one at a time, until either side ends it.
func (d *door) serve(c *net.TCPConn) {
	defer d.wg.Done()
	ctx, gone := context.WithCancel(context.Background())
	type message struct {
		try  uint64
		push int
		work float64
		ok   bool
	}
	messages := make(chan message)
	over := make(chan struct{})
	defer func() {
		_ = c.Close()
		close(over)
		d.mu.Lock()
		delete(d.conns, c)
		d.mu.Unlock()
	}()
	d.wg.Add(1)
	go func() { // reads ahead, so that the node's giving up is seen while an answer is waited for
		defer d.wg.Done()
		defer gone()
		r := bufio.NewReader(c)
		for {
			if _, err := r.Peek(1); err != nil {
				return
			}
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			var m message
			m.try, err = strconv.ParseUint(req.Header.Get("X-Trace-Id"), 16, 64)
			if err == nil {
				m.push, m.work, m.ok = d.b.hub.begun(m.try, d.b.number, d.zone != d.b.zone)
			}
			if _, err := io.Copy(io.Discard, req.Body); err != nil {
				return
			}
			select {
			case messages <- m:
			case <-over:
				return
			}
		}
	}()
	for fresh := true; ; fresh = false {
		var m message
		select {
		case m = <-messages:
		case <-ctx.Done():
			return
		}
		if !m.ok {
			d.write(c, "400 Bad Request", "", "no op of the lab's")
			return
		}
		if !d.push(ctx, c, m.try, m.push, m.work, fresh) {
			return
		}
	}
}

// push sees one push through; false ends the connection.
func (d *door) push(ctx context.Context, c *net.TCPConn, try uint64, number int, work float64, fresh bool) bool {
	ended := func(how balancer.Outcome) {
		d.b.hub.tell(invariants.Event{Kind: invariants.AttemptEnded, Request: try, Attempt: number, Outcome: how})
	}
	wait(ctx, d.b.way(d.zone))
	if d.mute(c) {
		<-ctx.Done()
		ended(balancer.OutcomeTimedOut)
		return false
	}
	k, v := d.b.arrive(work, fresh)
	switch v {
	case backendmodel.VerdictRejected:
		ended(balancer.OutcomeRejected)
		return d.write(c, "503 Service Unavailable", "X-Never-Ran: 1\r\n", "full")
	case backendmodel.VerdictFailed:
		ended(balancer.OutcomeFailed)
		wait(ctx, time.Millisecond)
		return d.write(c, "500 Internal Server Error", "", "failed")
	case backendmodel.VerdictNoResponse:
		<-ctx.Done()
		ended(balancer.OutcomeTimedOut)
		return false
	case backendmodel.VerdictDown:
		ended(balancer.OutcomeConnectionReset)
		d.b.mu.Lock()
		fell := d.b.m.Up() && d.b.m.Overloaded()
		d.b.mu.Unlock()
		if fell {
			d.b.hub.mu.Lock()
			d.b.hub.fallen++
			d.b.hub.mu.Unlock()
			go d.b.stop(false)
		}
		_ = c.SetLinger(0)
		return false
	}
	d.b.hub.tell(invariants.Event{Kind: invariants.AttemptRan, Request: try, Attempt: number, Backend: d.b.number})
	select {
	case <-k.done:
	case <-ctx.Done():
		d.b.revoke(k)
		ended(balancer.OutcomeCanceled)
		return false
	}
	wait(ctx, d.b.way(d.zone))
	if d.mute(c) {
		<-ctx.Done()
		ended(balancer.OutcomeTimedOut)
		return false
	}
	ended(balancer.OutcomeAnswered)
	r, head := d.b.report(), ""
	if d.b.hub.e.Backend.SendsReports {
		head = fmt.Sprintf("Endpoint-Load-Metrics: TEXT mean_ms=%.3f, inflight=%d\r\n", r.Service, r.InFlight)
	}
	return d.write(c, "200 OK", head, answerTo(try))
}

// answerTo is what only a backend that got the op would say.
func answerTo(try uint64) string { return fmt.Sprintf("done %016x", try) }

func (d *door) write(c *net.TCPConn, status, head, body string) bool {
	_ = c.SetWriteDeadline(time.Now().Add(5 * time.Second))
	_, err := fmt.Fprintf(c, "HTTP/1.1 %s\r\n%sContent-Length: %d\r\n\r\n%s", status, head, len(body), body)
	return err == nil
}

func wait(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// darkness is a listener whose queue is full: a new connection to it never comes up, as with a machine that is gone.
type darkness struct {
	fd      int
	fillers []net.Conn
}

func newDarkness(address string) *darkness {
	a, err := net.ResolveTCPAddr("tcp4", address)
	if err != nil {
		return nil
	}
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil
	}
	d := &darkness{fd: fd}
	to := &syscall.SockaddrInet4{Port: a.Port}
	copy(to.Addr[:], a.IP.To4())
	if syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1) != nil || syscall.Bind(fd, to) != nil ||
		syscall.Listen(fd, 0) != nil {
		_ = syscall.Close(fd)
		return nil
	}
	for range 4 { // a queue of none takes one or two
		c, err := net.DialTimeout("tcp", address, 20*time.Millisecond)
		if err != nil {
			break
		}
		d.fillers = append(d.fillers, c)
	}
	return d
}

func (d *darkness) end() {
	if d == nil {
		return
	}
	_ = syscall.Close(d.fd)
	for _, c := range d.fillers {
		_ = c.Close()
	}
}
