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

// event is what the watch or the service observes: exactly one of a list passed on, a poll received, or a failed session.
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

// serviceConn is the service's end of a connection.
type serviceConn struct {
	net.Conn
	closed atomic.Bool // the test closes it: requests that still arrive are dropped
}

// startService listens as the discovery service would and reports each poll to events; the test answers it.
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

func (c *poll) answer(body, head string) {
	_, _ = fmt.Fprintf(c.conn, "HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
}

func (c *poll) resetConn() {
	_ = c.conn.Conn.(*net.TCPConn).SetLinger(0)
	_ = c.conn.Close()
}

// deadlineConn is a connection whose deadline passes when the test says so. It records the timeouts that it was given.
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

// expire lets the deadline of the current poll pass. The poll must have been received, since its deadline is set before
// it is written.
func (c *deadlineConn) expire() { _ = c.Conn.SetDeadline(time.Unix(1, 0)) }

// watchModel is a model of the watch that runs beside a real one, on real connections. No time passes in it: deadlines
// pass when the test says so, and the timeouts that polls were given are added up.
type watchModel struct {
	*rapid.T
	watch    *Watch
	events   chan event
	dialed   chan *deadlineConn
	services []net.Listener

	current    int
	pending    *poll         // received and not answered; nil if there is none
	clientConn *deadlineConn // the watch's end of its connection
	version    uint64
	hasList    bool
	answered   bool // there was an answer since a connection last failed
	longPoll   bool // the next poll waits for an event
	restarted  bool
	silentFor  time.Duration // since the connection of a long poll fell silent; 0 if a list came since
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

// expectPoll takes the next poll and checks its query, address and timeout. It must be the only event: no session failed
// that the test did not make fail.
func (m *watchModel) expectPoll(freshConn bool) {
	received := m.nextEvent()
	require.NotNil(m, received.poll, "%+v", received)
	if freshConn {
		m.clientConn = <-m.dialed
	}
	require.Empty(m, m.dialed)
	want, within := "", answerTimeout
	if m.hasList && m.longPoll {
		want, within = fmt.Sprintf("from=%d&hold_ms=1200", m.version), longPollWait+answerTimeout
	} else if m.hasList {
		want, within = fmt.Sprintf("from=%d&hold_ms=1", m.version), answerTimeout+immediateWait
	}
	require.Equal(m, want, received.poll.query)
	require.Equal(m, m.services[m.current].Addr().String(), received.poll.address)
	require.InDelta(m, within.Seconds(), m.clientConn.timeout.Seconds(), 0.5)
	m.pending = received.poll
	// The list has to arrive within 6 s of the silence, of which 0.3 s are left to connect.
	if m.silentFor > 0 {
		require.LessOrEqual(m, m.silentFor+within, 6*time.Second-300*time.Millisecond+immediateWait)
	}
}

func (m *watchModel) startPolling() {
	m.watch.StartSession()
	m.answered, m.longPoll, m.silentFor = false, false, 0
	m.expectPoll(true)
}

func (m *watchModel) setAddress() {
	m.current = 1 - m.current
	m.version, m.hasList, m.answered, m.longPoll, m.restarted, m.silentFor = 0, false, false, false, false, 0
	m.watch.SetAddress(m.services[m.current].Addr().String())
	m.expectPoll(true)
}

// connectionFailed updates the model for a poll whose connection failed, and checks that the watch polls again or reports
// a failed session. refused means that the service did answer, though with no list that can be used.
func (m *watchModel) connectionFailed(silent, refused bool) {
	retries := m.answered || silent && m.longPoll && m.hasList
	m.pending = nil
	if m.silentFor = 0; silent {
		m.silentFor = minPollInterval + longPollWait + answerTimeout
		if !m.longPoll || !m.hasList {
			m.silentFor = minPollInterval + answerTimeout
		}
	}
	if m.answered, m.longPoll = false, !silent; retries && !refused {
		m.expectPoll(true)
		return
	}
	require.True(m, m.nextEvent().failed)
	if silent { // the watch polls again by itself, after a short backoff
		m.silentFor += maxTimeoutBackoff
		m.expectPoll(true)
	}
}

// listSent updates the model for a list that the service sent, and checks that the watch passes it on or refuses it.
func (m *watchModel) listSent(list *List, fate connFate) {
	m.silentFor = 0
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
	m.answered, m.longPoll = true, true
	switch fate {
	case connStaysOpen:
		m.expectPoll(false)
	case connCloseAnnounced:
		m.expectPoll(true)
	case connCloseUnannounced: // the next poll finds it closed
		m.connectionFailed(false, false)
	}
}

// connFate is what becomes of a connection after an answer.
type connFate int

const (
	connStaysOpen        connFate = iota
	connCloseAnnounced            // closed, by a header of the answer
	connCloseUnannounced          // closed without notice
)

// drawList draws a list and returns it with its encoded form.
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

// A discovery service answers, refuses, resets, truncates, falls silent or restarts, in any order, and its address
// changes at any point. Each list is passed on once and in order, changes only if they follow the version that the owner
// has, one poll is in flight at a time, and after a silence the next list can arrive in the time that the protocol gives.
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
			"Poll while polling": whilePolling(m.watch.StartSession), // has no effect
			"list": whilePolling(func() {
				list, body := m.drawList()
				m.pending.answer(body, "")
				m.listSent(list, connStaysOpen)
			}),
			"list, connection closed by a header": whilePolling(func() {
				list, body := m.drawList()
				m.pending.answer(body, "Connection: close\r\n")
				m.listSent(list, connCloseAnnounced)
			}),
			"list, connection closed without notice": whilePolling(func() {
				list, body := m.drawList()
				m.pending.conn.closed.Store(true)
				m.pending.answer(body, "")
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
				m.pending.answer(rapid.SampledFrom([]string{body + "}", body[1:], body[:len(body)-1], "", "null", "[]"}).Draw(m.T, "body"), "")
				m.connectionFailed(false, false)
			}),
			"silent": whilePolling(func() {
				silentPoll, conn := m.pending, m.clientConn
				_, body := m.drawList()
				part := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
				part = part[:rapid.IntRange(0, len(part)-1).Draw(m.T, "received")]
				_, _ = fmt.Fprint(silentPoll.conn, part)
				conn.expire()
				m.connectionFailed(true, false)
				silentPoll.answer(body, "") // too late: its connection is closed
			}),
		})
	})
}

// The address changes just as the next poll sets its deadline. The canceled session has set a deadline in the past; if
// the poll's deadline replaced that, the old service's long poll would run to its end before the new one is polled.
func TestSetAddressAsAPollBegins(t *testing.T) {
	events := make(chan event, 9)
	oldService, newService := startService(events), startService(events)
	defer oldService.Close()
	defer newService.Close()
	watch := &Watch{Address: oldService.Addr().String(), Deployment: testNames,
		Log: slog.New(slog.DiscardHandler), minPollInterval: time.Microsecond,
		longPollWait: time.Hour, answerTimeout: time.Hour,
		OnList: func(list *List) { events <- event{list: list} }, OnFailure: func() { events <- event{failed: true} }}
	watch.dial = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := (&net.Dialer{}).DialContext(ctx, network, address)
		return &movingConn{Conn: c, canceled: make(chan bool), setAddress: func() { watch.SetAddress(newService.Addr().String()) }}, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	watch.Start(ctx)
	watch.StartSession()
	(<-events).poll.answer(`{"rev":41,"all":true,"targets":[]}`, "")
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

// movingConn is a connection that calls setAddress just before its second deadline is set, which is the second poll's.
type movingConn struct {
	net.Conn
	deadlines  int
	setAddress func()
	canceled   chan bool
}

func (c *movingConn) SetDeadline(until time.Time) error {
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

// An answer arrives a byte at a time and never ends. The poll fails at its deadline all the same.
func TestAnswerThatTrickles(t *testing.T) {
	events, writerDone := make(chan event, 9), make(chan bool)
	service := startService(events)
	defer service.Close()
	watch := &Watch{Address: service.Addr().String(), Deployment: testNames,
		Log: slog.New(slog.DiscardHandler), answerTimeout: 20 * time.Millisecond,
		OnList: func(list *List) { events <- event{list: list} }, OnFailure: func() { events <- event{failed: true} }}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	watch.Start(ctx)
	watch.StartSession()
	request := (<-events).poll
	go func() {
		defer close(writerDone)
		for _, err := fmt.Fprint(request.conn, "HTTP/1.1 200 OK\r\nX: "); err == nil; _, err = fmt.Fprint(request.conn, "x") {
			time.Sleep(time.Millisecond) // a slow writer, until the reader hangs up
		}
	}()
	assert.True(t, (<-events).failed)
	<-writerDone
}

// A list comes ten times a second, with the same invalid entries each time. They are logged, but don't flood the log.
func TestInvalidEntriesAreLoggedOnce(t *testing.T) {
	var lines bytes.Buffer
	watch := &Watch{Deployment: testNames, Log: slog.New(slog.NewTextHandler(&lines, nil)), lastLogged: map[string]time.Time{}}
	for range 50 {
		_, err := watch.Deployment.decode([]byte(`{"rev":1,"targets":[7,{"uid":"x","state":"up"},{"uid":"y","az":"`+strings.Repeat("z", 9999)+`"}]}`), watch.Log, watch.shouldLog)
		require.NoError(t, err)
	}
	assert.Equal(t, 3, strings.Count(lines.String(), "endpoint list entry invalid"))
	assert.Less(t, lines.Len(), 4*(maxLoggedEntry+400))
	for k := range 3 * maxLoggedNames {
		watch.shouldLog(fmt.Sprint(k))
	}
	assert.LessOrEqual(t, len(watch.lastLogged), maxLoggedNames)
}

// The list comes from this machine's own agent, which restarts. What it has then counts as known to the node at once, so
// the node polls it every minPollInterval. It once did so after the balancer's backoff of seconds. The balancer is
// notified of the first failure in a row alone.
func TestLocalSourceIsPolledAgainAtOnce(t *testing.T) {
	polls := make(chan chan string)
	service := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		answer := make(chan string)
		polls <- answer
		if body := <-answer; body != "" {
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
	watch.StartSession() // only once: the watch itself polls again
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

// The address changes while a list of the old service is being passed on. That list counts as received before the change,
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
		Log: slog.New(slog.DiscardHandler), OnFailure: func() { t.Error("a change of address is no failure") }}
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
