package discovery

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// event is an observation of the watch or the service: exactly one of a delivered list, a received poll or a failed
// session.
type event struct {
	list   *List
	poll   *poll
	failed bool
}

// poll is a request as the service receives it.
type poll struct {
	address, query string
	conn           *serviceConn
}

// serviceConn is the service's side of a connection.
type serviceConn struct {
	net.Conn
	closed atomic.Bool // the test closes the connection: requests that still arrive are dropped
}

// startService starts a fake discovery service that reports each poll to events; the test responds to it.
func startService(events chan<- event) net.Listener {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				serviceEnd := &serviceConn{Conn: c}
				for reader := bufio.NewReader(c); ; {
					request, err := http.ReadRequest(reader)
					if err != nil || serviceEnd.closed.Load() {
						return
					}
					events <- event{poll: &poll{listener.Addr().String(), request.URL.RawQuery, serviceEnd}}
				}
			}()
		}
	}()
	return listener
}

func (c *poll) respond(body, head string) {
	_, _ = fmt.Fprintf(c.conn, "HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
}

func (c *poll) resetConn() {
	_ = c.conn.Conn.(*net.TCPConn).SetLinger(0)
	_ = c.conn.Close()
}

// deadlineConn is a connection whose deadline expires when the test calls expire. It records the timeout of the latest
// poll.
type deadlineConn struct {
	net.Conn
	timeout time.Duration // of the latest poll
}

func (c *deadlineConn) SetDeadline(until time.Time) error {
	if left := time.Until(until); left > 0 {
		c.timeout, until = left, time.Time{}
	}
	return c.Conn.SetDeadline(until)
}

// expire makes the deadline of the current poll expire. The poll must have been received, since its deadline is set
// before it is written.
func (c *deadlineConn) expire() { _ = c.Conn.SetDeadline(time.Unix(1, 0)) }

// watchModel is a model of the watch that runs alongside a real one, on real connections. It does not use real time:
// deadlines expire when the test calls expire, and the timeouts of the polls are added up.
type watchModel struct {
	*rapid.T
	watch    *Watch
	events   chan event
	dialed   chan *deadlineConn
	services []net.Listener

	current     int
	pending     *poll         // received, no response sent yet; nil if there is none
	clientConn  *deadlineConn // the watch's side of its connection
	version     uint64
	hasList     bool
	hadResponse bool // a response was received since a connection last failed
	longPoll    bool // the next poll waits for an event
	restarted   bool
	stalledFor  time.Duration // since the connection of a long poll stalled; 0 if a list was received since
}

func (m *watchModel) nextEvent() event {
	select {
	case next := <-m.events:
		return next
	case <-time.After(30 * time.Second):
		m.Fatal("no event within 30 s")
		return event{}
	}
}

// expectPoll receives the next poll and checks its query, address and timeout. The poll must be the next event: no session
// may fail unless the test causes it.
func (m *watchModel) expectPoll(freshConn bool) {
	received := m.nextEvent()
	require.NotNil(m, received.poll, "%+v", received)
	if freshConn {
		m.clientConn = <-m.dialed
	}
	require.Empty(m, m.dialed)
	want, within := "", responseTimeout
	if m.hasList && m.longPoll {
		want, within = fmt.Sprintf("from=%d&hold_ms=1200", m.version), longPollWait+responseTimeout
	} else if m.hasList {
		want, within = fmt.Sprintf("from=%d&hold_ms=1", m.version), responseTimeout+immediateWait
	}
	require.Equal(m, want, received.poll.query)
	require.Equal(m, m.services[m.current].Addr().String(), received.poll.address)
	require.InDelta(m, within.Seconds(), m.clientConn.timeout.Seconds(), 0.5)
	m.pending = received.poll
	// The list has to arrive within 6 s of the stall, of which 0.3 s are reserved for connecting.
	if m.stalledFor > 0 {
		require.LessOrEqual(m, m.stalledFor+within, 6*time.Second-300*time.Millisecond+immediateWait)
	}
}

func (m *watchModel) startPolling() {
	m.watch.StartSession()
	m.hadResponse, m.longPoll, m.stalledFor = false, false, 0
	m.expectPoll(true)
}

func (m *watchModel) setAddress() {
	m.current = 1 - m.current
	m.version, m.hasList, m.hadResponse, m.longPoll, m.restarted, m.stalledFor = 0, false, false, false, false, 0
	m.watch.SetAddress(m.services[m.current].Addr().String())
	m.expectPoll(true)
}

// connectionFailed updates the model for a poll that failed, and checks that the watch polls again or reports a failed
// session. refused means that the service responded, but not with a usable list.
func (m *watchModel) connectionFailed(timedOut, refused bool) {
	retries := m.hadResponse || timedOut && m.longPoll && m.hasList
	m.pending = nil
	if m.stalledFor = 0; timedOut {
		m.stalledFor = minPollInterval + longPollWait + responseTimeout
		if !m.longPoll || !m.hasList {
			m.stalledFor = minPollInterval + responseTimeout
		}
	}
	if m.hadResponse, m.longPoll = false, !timedOut; retries && !refused {
		m.expectPoll(true)
		return
	}
	require.True(m, m.nextEvent().failed)
	if timedOut { // the watch polls again by itself, after a short backoff
		m.stalledFor += maxTimeoutBackoff
		m.expectPoll(true)
	}
}

// listSent updates the model for a list that the service sent, and checks that the watch delivers or rejects it.
func (m *watchModel) listSent(list *List, after connAfterResponse) {
	m.stalledFor = 0
	switch {
	case !list.Complete && !m.hasList:
		m.connectionFailed(false, true)
		return
	case !list.Complete && list.Version < m.version: // the service restarted: these are changes of another list
		isFirst := !m.restarted
		if m.hasList, m.restarted = false, true; !isFirst {
			m.connectionFailed(false, true)
			return
		}
	default:
		m.restarted = m.restarted && list.Complete
		m.version, m.hasList = list.Version, true
		require.Equal(m, list, m.nextEvent().list)
	}
	m.hadResponse, m.longPoll = true, true
	switch after {
	case connStaysOpen:
		m.expectPoll(false)
	case connCloseAnnounced:
		m.expectPoll(true)
	case connCloseUnannounced: // the next poll finds it closed
		m.connectionFailed(false, false)
	}
}

// connAfterResponse is the state of a connection after a response.
type connAfterResponse int

const (
	connStaysOpen        connAfterResponse = iota
	connCloseAnnounced                     // closed, as announced by a response header
	connCloseUnannounced                   // closed without notice
)

// drawList draws a list and returns it with its encoding.
func (m *watchModel) drawList() (*List, string) {
	list := &List{Version: rapid.Uint64Range(0, 9).Draw(m.T, "version"), Complete: rapid.Bool().Draw(m.T, "complete")}
	targets := []any{}
	for range rapid.IntRange(0, 2).Draw(m.T, "endpoints") {
		endpoint, err := testNames.endpoint([]byte(validEntry))
		require.NoError(m, err)
		list.Endpoints = append(list.Endpoints, endpoint)
		targets = append(targets, json.RawMessage(validEntry))
	}
	body, err := json.Marshal(map[string]any{"rev": list.Version, "all": list.Complete, "targets": targets})
	require.NoError(m, err)
	if rapid.Bool().Draw(m.T, "indented") {
		var b bytes.Buffer
		require.NoError(m, json.Indent(&b, body, "", "\t"))
		body = b.Bytes()
	}
	return list, string(body)
}

// A discovery service responds, refuses, resets, truncates, stalls or restarts, in any order, and its address changes at
// any point. Each list is delivered once and in order, changes only if they follow the owner's version, one poll is in
// flight at a time, and after a stall the next list can arrive within the protocol's time limit.
func TestWatchAgainstModel(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := &watchModel{T: rt, events: make(chan event, 16), dialed: make(chan *deadlineConn, 16)}
		m.services = []net.Listener{startService(m.events), startService(m.events)}
		for _, service := range m.services {
			defer service.Close()
		}
		m.watch = &Watch{Address: m.services[0].Addr().String(), Deployment: testNames, Log: slog.New(slog.DiscardHandler),
			minPollInterval: time.Microsecond, maxTimeoutBackoff: time.Microsecond,
			OnList: func(list *List) { m.events <- event{list: list} }, OnFailure: func() { m.events <- event{failed: true} },
			dial: func(ctx context.Context, network, address string) (net.Conn, error) {
				c, err := (&net.Dialer{}).DialContext(ctx, network, address)
				if err != nil {
					return nil, err
				}
				conn := &deadlineConn{Conn: c}
				m.dialed <- conn
				return conn, nil
			}}
		if rapid.Bool().Draw(rt, "known") {
			m.version, m.hasList = 5, true
			m.watch.Version, m.watch.HasList = 5, true
		}
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		m.watch.Start(ctx)
		whilePolling := func(action func()) func(*rapid.T) {
			return func(rt *rapid.T) {
				if m.T = rt; m.pending == nil {
					m.startPolling()
				}
				action()
			}
		}
		rt.Repeat(map[string]func(*rapid.T){
			"StartSession while polling": whilePolling(m.watch.StartSession), // has no effect
			"list": whilePolling(func() {
				list, body := m.drawList()
				m.pending.respond(body, "")
				m.listSent(list, connStaysOpen)
			}),
			"list, connection closed by a header": whilePolling(func() {
				list, body := m.drawList()
				m.pending.respond(body, "Connection: close\r\n")
				m.listSent(list, connCloseAnnounced)
			}),
			"list, connection closed without notice": whilePolling(func() {
				list, body := m.drawList()
				m.pending.conn.closed.Store(true)
				m.pending.respond(body, "")
				_ = m.pending.conn.Close()
				m.listSent(list, connCloseUnannounced)
			}),
			"address changed": func(rt *rapid.T) {
				m.T = rt
				m.setAddress()
			},
			"refused": whilePolling(func() {
				_, _ = fmt.Fprint(m.pending.conn, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
				m.connectionFailed(false, true)
			}),
			"reset": whilePolling(func() {
				_, body := m.drawList()
				_, _ = fmt.Fprintf(m.pending.conn, "HTTP/1.1 200 OK\r\nContent-Length: 9999\r\n\r\n%s", body[:rapid.IntRange(0, len(body)).Draw(m.T, "received")])
				m.pending.resetConn()
				m.connectionFailed(false, false)
			}),
			"malformed": whilePolling(func() {
				_, body := m.drawList()
				m.pending.respond(rapid.SampledFrom([]string{body + "}", body[1:], body[:len(body)-1], "", "null", "[]"}).Draw(m.T, "body"), "")
				m.connectionFailed(false, false)
			}),
			"silent": whilePolling(func() {
				timedOutPoll, conn := m.pending, m.clientConn
				_, body := m.drawList()
				part := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
				part = part[:rapid.IntRange(0, len(part)-1).Draw(m.T, "received")]
				_, _ = fmt.Fprint(timedOutPoll.conn, part)
				conn.expire()
				m.connectionFailed(true, false)
				timedOutPoll.respond(body, "") // too late: the watch has closed the connection
			}),
		})
	})
}

// The address changes just as the next poll sets its deadline. The canceled session has set a deadline in the past; if
// the poll's deadline replaced it, the new service would not be polled until the old service's long poll had ended.
func TestSetAddressAsPollStarts(t *testing.T) {
	events := make(chan event, 9)
	oldService, newService := startService(events), startService(events)
	defer oldService.Close()
	defer newService.Close()
	watch := &Watch{Address: oldService.Addr().String(), Deployment: testNames,
		Log: slog.New(slog.DiscardHandler), minPollInterval: time.Microsecond,
		longPollWait: time.Hour, responseTimeout: time.Hour,
		OnList: func(list *List) { events <- event{list: list} }, OnFailure: func() { events <- event{failed: true} }}
	watch.dial = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := (&net.Dialer{}).DialContext(ctx, network, address)
		return &addressChangingConn{Conn: c, canceled: make(chan bool), setAddress: func() { watch.SetAddress(newService.Addr().String()) }}, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	watch.Start(ctx)
	watch.StartSession()
	(<-events).poll.respond(`{"rev":41,"all":true,"targets":[]}`, "")
	assert.Equal(t, uint64(41), (<-events).list.Version)
	select {
	case next := <-events:
		require.NotNil(t, next.poll)
		assert.Equal(t, newService.Addr().String(), next.poll.address)
		assert.Empty(t, next.poll.query)
	case <-time.After(10 * time.Second):
		t.Fatal("the new address is not polled")
	}
}

// addressChangingConn is a connection that calls setAddress just before its second deadline is set, which is that of the
// second poll.
type addressChangingConn struct {
	net.Conn
	deadlines  int
	setAddress func()
	canceled   chan bool
}

func (c *addressChangingConn) SetDeadline(until time.Time) error {
	if time.Until(until) < 0 {
		err := c.Conn.SetDeadline(until)
		close(c.canceled)
		return err
	}
	if c.deadlines++; c.deadlines == 2 {
		c.setAddress()
		<-c.canceled
	}
	return c.Conn.SetDeadline(until)
}

// A response arrives one byte at a time and never ends. The poll must still fail at its deadline.
func TestTrickledResponseTimesOut(t *testing.T) {
	events, writerDone := make(chan event, 9), make(chan bool)
	service := startService(events)
	defer service.Close()
	watch := &Watch{Address: service.Addr().String(), Deployment: testNames,
		Log: slog.New(slog.DiscardHandler), responseTimeout: 20 * time.Millisecond,
		OnList: func(list *List) { events <- event{list: list} }, OnFailure: func() { events <- event{failed: true} }}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	watch.Start(ctx)
	watch.StartSession()
	request := (<-events).poll
	go func() {
		defer close(writerDone)
		for _, err := fmt.Fprint(request.conn, "HTTP/1.1 200 OK\r\nX: "); err == nil; _, err = fmt.Fprint(request.conn, "x") {
			time.Sleep(time.Millisecond) // a slow writer, until the reader closes the connection
		}
	}()
	assert.True(t, (<-events).failed)
	<-writerDone
}

// A list arrives ten times a second, with the same invalid entries each time. They are logged, but don't flood the log.
func TestInvalidEntriesAreLoggedOnce(t *testing.T) {
	var lines bytes.Buffer
	watch := &Watch{Deployment: testNames, Log: slog.New(slog.NewTextHandler(&lines, nil)), lastLogged: map[string]time.Time{}}
	for range 50 {
		_, err := watch.Deployment.decode([]byte(`{"rev":1,"targets":[7,{"uid":"x","state":"up"},{"uid":"y","az":"`+strings.Repeat("z", 9999)+`"}]}`), watch.Log, watch.shouldLog)
		require.NoError(t, err)
	}
	assert.Equal(t, 3, strings.Count(lines.String(), "endpoint list entry invalid"))
	assert.Less(t, lines.Len(), 4*(maxLoggedEntryBytes+400))
	for k := range 3 * maxLoggedNames {
		watch.shouldLog(fmt.Sprint(k))
	}
	assert.LessOrEqual(t, len(watch.lastLogged), maxLoggedNames)
}

// The list comes from this machine's own agent, which restarts. Its list then counts as known to the node at once, so the
// node must poll it every minPollInterval and not only after the balancer's backoff of seconds. The balancer is notified
// only of the first of consecutive failures.
func TestLocalSourceIsPolledAgainAtOnce(t *testing.T) {
	polls := make(chan chan string)
	service := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		response := make(chan string)
		polls <- response
		if body := <-response; body != "" {
			fmt.Fprint(w, body)
			return
		}
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer service.Close()
	lists, failed := make(chan *List, 9), make(chan bool, 9)
	watch := &Watch{Address: service.Listener.Addr().String(), Deployment: testNames,
		LocalSource: true, Log: slog.New(slog.DiscardHandler), minPollInterval: time.Millisecond,
		OnList: func(list *List) { lists <- list }, OnFailure: func() { failed <- true }}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	watch.Start(ctx)
	watch.StartSession() // only once: the watch polls again by itself
	for range 2 {
		for range 5 {
			(<-polls) <- ""
		}
		(<-polls) <- `{"rev":41,"all":true,"targets":[]}`
		assert.Equal(t, uint64(41), (<-lists).Version)
	}
	assert.Len(t, failed, 2)
	last := <-polls
	cancel()
	last <- ""
}

// The address changes while a list of the old service is being delivered. That list counts as received before the change,
// and the next one is the new service's complete list, whatever version the old one had.
func TestSetAddressDuringOnList(t *testing.T) {
	startServer := func(version int) (*httptest.Server, chan string) {
		queries := make(chan string, 9)
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if queries <- r.URL.RawQuery; r.URL.RawQuery != "" {
				<-r.Context().Done()
			}
			fmt.Fprintf(w, `{"rev":%d,"all":true,"targets":[]}`, version)
		}))
		t.Cleanup(server.Close)
		return server, queries
	}
	oldService, _ := startServer(90)
	newService, queries := startServer(3)
	lists := make(chan *List, 9)
	watch := &Watch{Address: oldService.Listener.Addr().String(), Deployment: testNames,
		Log: slog.New(slog.DiscardHandler), OnFailure: func() { t.Error("a change of address was reported as a failure") }}
	watch.OnList = func(list *List) {
		if lists <- list; list.Version == 90 {
			watch.SetAddress(newService.Listener.Addr().String())
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	watch.Start(ctx)
	watch.StartSession()
	assert.Equal(t, uint64(90), (<-lists).Version)
	assert.Equal(t, uint64(3), (<-lists).Version)
	assert.Equal(t, "", <-queries)
	assert.Equal(t, "from=3&hold_ms=1200", <-queries)
}
