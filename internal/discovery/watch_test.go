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

// seen is what happens, in its order: a list told, a call, or a failed call.
type event struct {
	list   *List
	call   *poll
	failed bool
}

type poll struct {
	at, query string
	conn      *serviceConn
}

// peer is the service's end of a connection; what comes after its last answer is not read.
type serviceConn struct {
	net.Conn
	last atomic.Bool
}

// service listens as the list's service would and passes on each call; the test answers it.
func startService(happens chan<- event) net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				p := &serviceConn{Conn: c}
				for r := bufio.NewReader(c); ; {
					q, err := http.ReadRequest(r)
					if err != nil || p.last.Load() {
						return
					}
					happens <- event{call: &poll{l.Addr().String(), q.URL.RawQuery, p}}
				}
			}()
		}
	}()
	return l
}

func (c *poll) answer(body, head string) {
	_, _ = fmt.Fprintf(c.conn, "HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
}

func (c *poll) reset() {
	_ = c.conn.Conn.(*net.TCPConn).SetLinger(0)
	_ = c.conn.Close()
}

// limited is a connection whose time ends when the test says so, and that tells how much of it a call was given.
type deadlineConn struct {
	net.Conn
	limit time.Duration // of the latest call
}

func (c *deadlineConn) SetDeadline(until time.Time) error {
	if left := time.Until(until); left > 0 {
		c.limit, until = left, time.Time{}
	}
	return c.Conn.SetDeadline(until)
}

// end ends the call's time. The call was written, and its time set before that.
func (c *deadlineConn) end() { _ = c.Conn.SetDeadline(time.Unix(1, 0)) }

// walk is a model of the watch beside the true one, on true connections. No time passes in it: what ends by time does so at
// the test's word, and the limits that calls were given are added up.
type watchModel struct {
	*rapid.T
	w       *Watch
	happens chan event
	dialled chan *deadlineConn
	places  []net.Listener

	place   int
	now     *poll         // in hand; nil where none is
	conn    *deadlineConn // its own
	version uint64
	held    bool
	heard   bool // there was an answer since a connection last broke
	wait    bool // the next call waits for news
	behind  bool
	silent  time.Duration // since a wait's connection fell silent; 0 where the list came since
}

func (m *watchModel) next() event {
	select {
	case s := <-m.happens:
		return s
	case <-time.After(30 * time.Second):
		m.Fatal("nothing happens")
		return event{}
	}
}

// called takes the next call, which is the only one there is: there was no end of one before it that the test did not make.
func (m *watchModel) called(fresh bool) {
	s := m.next()
	require.NotNil(m, s.call, "%+v", s)
	if fresh {
		m.conn = <-m.dialled
	}
	require.Empty(m, m.dialled)
	want, within := "", answerTimeout
	if m.held && m.wait {
		want, within = fmt.Sprintf("from=%d&hold_ms=1200", m.version), longPollWait+answerTimeout
	} else if m.held {
		want, within = fmt.Sprintf("from=%d&hold_ms=1", m.version), answerTimeout+immediateWait
	}
	require.Equal(m, want, s.call.query)
	require.Equal(m, m.places[m.place].Addr().String(), s.call.at)
	require.InDelta(m, within.Seconds(), m.conn.limit.Seconds(), 0.5)
	m.now = s.call
	// The list has to be in hand 6 s after the silence, where the connection comes up and calls are taken in their two seconds.
	if m.silent > 0 {
		require.LessOrEqual(m, m.silent+within, 6*time.Second-300*time.Millisecond+immediateWait)
	}
}

func (m *watchModel) ask() {
	m.w.Poll()
	m.heard, m.wait, m.silent = false, false, 0
	m.called(true)
}

func (m *watchModel) move() {
	m.place = 1 - m.place
	m.version, m.held, m.heard, m.wait, m.behind, m.silent = 0, false, false, false, false, 0
	m.w.SetAddress(m.places[m.place].Addr().String())
	m.called(true)
}

// broke is the end of a call's connection.
func (m *watchModel) broke(silent, refused bool) {
	again := m.heard || silent && m.wait && m.held
	m.now = nil
	if m.silent = 0; silent {
		m.silent = minPollInterval + longPollWait + answerTimeout
		if !m.wait || !m.held {
			m.silent = minPollInterval + answerTimeout
		}
	}
	if m.heard, m.wait = false, !silent; again && !refused {
		m.called(true)
		return
	}
	require.True(m, m.next().failed)
	if silent { // asked again by itself, soon
		m.silent += maxTimeoutBackoff
		m.called(true)
	}
}

// answered is a list that came whole.
func (m *watchModel) answered(l *List, end connFate) {
	m.silent = 0
	switch {
	case !l.Complete && !m.held:
		m.broke(false, true)
		return
	case !l.Complete && l.Version < m.version: // changes of another list than that held
		again := !m.behind
		if m.held, m.behind = false, true; !again {
			m.broke(false, true)
			return
		}
	default:
		m.behind = m.behind && l.Complete
		m.version, m.held = l.Version, true
		require.Equal(m, l, m.next().list)
	}
	m.heard, m.wait = true, true
	switch end {
	case connStaysOpen:
		m.called(false)
	case connCloseAnnounced:
		m.called(true)
	case connCloseUnannounced: // the next call finds it so
		m.broke(false, false)
	}
}

// end is what becomes of a connection after an answer.
type connFate int

const (
	connStaysOpen        connFate = iota
	connCloseAnnounced            // as the answer says
	connCloseUnannounced          // without a word
)

func (m *watchModel) list() (*List, string) {
	l := &List{Version: rapid.Uint64Range(0, 9).Draw(m.T, "version"), Complete: rapid.Bool().Draw(m.T, "whole")}
	targets := []any{}
	for range rapid.IntRange(0, 2).Draw(m.T, "members") {
		member, err := testNames.endpoint([]byte(validEntry))
		require.NoError(m, err)
		l.Endpoints = append(l.Endpoints, member)
		targets = append(targets, json.RawMessage(validEntry))
	}
	body, err := json.Marshal(map[string]any{"rev": l.Version, "all": l.Complete, "targets": targets})
	require.NoError(m, err)
	if rapid.Bool().Draw(m.T, "indented") {
		var b bytes.Buffer
		require.NoError(m, json.Indent(&b, body, "", "\t"))
		body = b.Bytes()
	}
	return l, string(body)
}

// Whatever comes in whatever order, each list is told once and in order, changes only on the version that they follow, one
// call is in hand at a time, and after a silence the next list can be in hand in the time that the protocol gives.
func TestWatchAgainstModel(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := &watchModel{T: rt, happens: make(chan event, 16), dialled: make(chan *deadlineConn, 16)}
		m.places = []net.Listener{startService(m.happens), startService(m.happens)}
		for _, l := range m.places {
			defer l.Close()
		}
		m.w = &Watch{Address: m.places[0].Addr().String(), Deployment: testNames, Log: slog.New(slog.DiscardHandler), minPollInterval: time.Microsecond, maxTimeoutBackoff: time.Microsecond,
			OnList: func(l *List) { m.happens <- event{list: l} }, OnFailure: func() { m.happens <- event{failed: true} },
			dial: func(ctx context.Context, network, address string) (net.Conn, error) {
				c, err := (&net.Dialer{}).DialContext(ctx, network, address)
				if err != nil {
					return nil, err
				}
				l := &deadlineConn{Conn: c}
				m.dialled <- l
				return l, nil
			}}
		if rapid.Bool().Draw(rt, "known") {
			m.version, m.held = 5, true
			m.w.Version, m.w.HasList = 5, true
		}
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		m.w.Start(ctx)
		inHand := func(f func()) func(*rapid.T) {
			return func(rt *rapid.T) {
				if m.T = rt; m.now == nil {
					m.ask()
				}
				f()
			}
		}
		rt.Repeat(map[string]func(*rapid.T){
			"asked": inHand(m.w.Poll), // changes nothing
			"list": inHand(func() {
				l, body := m.list()
				m.now.answer(body, "")
				m.answered(l, connStaysOpen)
			}),
			"list, and an end that is told": inHand(func() {
				l, body := m.list()
				m.now.answer(body, "Connection: close\r\n")
				m.answered(l, connCloseAnnounced)
			}),
			"list, and an end between two calls": inHand(func() {
				l, body := m.list()
				m.now.conn.last.Store(true)
				m.now.answer(body, "")
				_ = m.now.conn.Close()
				m.answered(l, connCloseUnannounced)
			}),
			"moved": func(rt *rapid.T) {
				m.T = rt
				m.move()
			},
			"refused": inHand(func() {
				_, _ = fmt.Fprint(m.now.conn, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
				m.broke(false, true)
			}),
			"reset": inHand(func() {
				_, body := m.list()
				_, _ = fmt.Fprintf(m.now.conn, "HTTP/1.1 200 OK\r\nContent-Length: 9999\r\n\r\n%s", body[:rapid.IntRange(0, len(body)).Draw(m.T, "come")])
				m.now.reset()
				m.broke(false, false)
			}),
			"spoilt": inHand(func() {
				_, body := m.list()
				m.now.answer(rapid.SampledFrom([]string{body + "}", body[1:], body[:len(body)-1], "", "null", "[]"}).Draw(m.T, "body"), "")
				m.broke(false, false)
			}),
			"silent": inHand(func() {
				old, conn := m.now, m.conn
				_, body := m.list()
				part := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
				part = part[:rapid.IntRange(0, len(part)-1).Draw(m.T, "come")]
				_, _ = fmt.Fprint(old.conn, part)
				conn.end()
				m.broke(true, false)
				old.answer(body, "") // too late: its connection is closed
			}),
		})
	})
}

// A list is moved just as the next call is given its time: the end of the old watch's time must not be undone by that, or
// it goes on for all of a wait before the new address is asked.
func TestSetAddressAsAPollBegins(t *testing.T) {
	happens := make(chan event, 9)
	before, after := startService(happens), startService(happens)
	defer before.Close()
	defer after.Close()
	w := &Watch{Address: before.Addr().String(), Deployment: testNames, Log: slog.New(slog.DiscardHandler), minPollInterval: time.Microsecond,
		longPollWait: time.Hour, answerTimeout: time.Hour,
		OnList: func(l *List) { happens <- event{list: l} }, OnFailure: func() { happens <- event{failed: true} }}
	w.dial = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := (&net.Dialer{}).DialContext(ctx, network, address)
		return &movingConn{Conn: c, ended: make(chan bool), move: func() { w.SetAddress(after.Addr().String()) }}, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	w.Start(ctx)
	w.Poll()
	(<-happens).call.answer(`{"rev":41,"all":true,"targets":[]}`, "")
	assert.Equal(t, uint64(41), (<-happens).list.Version)
	select {
	case s := <-happens:
		require.NotNil(t, s.call)
		assert.Equal(t, after.Addr().String(), s.call.at)
		assert.Empty(t, s.call.query)
	case <-time.After(10 * time.Second):
		t.Fatal("the new address is not asked")
	}
}

// moving is a connection whose list is moved when its second call is given its time, but just before it has it.
type movingConn struct {
	net.Conn
	calls int
	move  func()
	ended chan bool
}

func (c *movingConn) SetDeadline(until time.Time) error {
	if time.Until(until) < 0 {
		err := c.Conn.SetDeadline(until)
		close(c.ended)
		return err
	}
	if c.calls++; c.calls == 2 {
		c.move()
		<-c.ended
	}
	return c.Conn.SetDeadline(until)
}

// An answer that comes a byte at a time, for ever, has the time of its call and no more.
func TestAnswerThatTrickles(t *testing.T) {
	happens, stop := make(chan event, 9), make(chan bool)
	l := startService(happens)
	defer l.Close()
	w := &Watch{Address: l.Addr().String(), Deployment: testNames, Log: slog.New(slog.DiscardHandler), answerTimeout: 20 * time.Millisecond,
		OnList: func(l *List) { happens <- event{list: l} }, OnFailure: func() { happens <- event{failed: true} }}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	w.Start(ctx)
	w.Poll()
	c := (<-happens).call
	go func() {
		defer close(stop)
		for _, err := fmt.Fprint(c.conn, "HTTP/1.1 200 OK\r\nX: "); err == nil; _, err = fmt.Fprint(c.conn, "x") {
			time.Sleep(time.Millisecond) // a slow writer, until the reader hangs up
		}
	}()
	assert.True(t, (<-happens).failed)
	<-stop
}

// A list comes ten times a second, with the same odd entries each time: they are logged, but don't fill the log.
func TestInvalidEntriesAreLoggedOnce(t *testing.T) {
	var lines bytes.Buffer
	w := &Watch{Deployment: testNames, Log: slog.New(slog.NewTextHandler(&lines, nil)), lastLogged: map[string]time.Time{}}
	for range 50 {
		_, err := w.Deployment.decode([]byte(`{"rev":1,"targets":[7,{"uid":"x","state":"up"},{"uid":"y","az":"`+strings.Repeat("z", 9999)+`"}]}`), w.Log, w.shouldLog)
		require.NoError(t, err)
	}
	assert.Equal(t, 3, strings.Count(lines.String(), "odd list entry"))
	assert.Less(t, lines.Len(), 4*(maxLoggedEntry+400))
	for k := range 3 * maxLoggedNames {
		w.shouldLog(fmt.Sprint(k))
	}
	assert.LessOrEqual(t, len(w.lastLogged), maxLoggedNames)
}

// Where lists are pushed, discovery is this machine's own agent, and what it has at its return counts as told at once. It was asked
// again after the module's growing waits of seconds; now at once, and the module hears of the first failure alone.
func TestLocalSourceIsPolledAgainAtOnce(t *testing.T) {
	calls := make(chan chan string)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		answer := make(chan string)
		calls <- answer
		if body := <-answer; body != "" {
			fmt.Fprint(w, body)
			return
		}
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer s.Close()
	told, failed := make(chan *List, 9), make(chan bool, 9)
	w := &Watch{Address: s.Listener.Addr().String(), Deployment: testNames, LocalSource: true, Log: slog.New(slog.DiscardHandler), minPollInterval: time.Millisecond,
		OnList: func(l *List) { told <- l }, OnFailure: func() { failed <- true }}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	w.Start(ctx)
	w.Poll() // once: nobody asks again
	for range 2 {
		for range 5 {
			(<-calls) <- ""
		}
		(<-calls) <- `{"rev":41,"all":true,"targets":[]}`
		assert.Equal(t, uint64(41), (<-told).Version)
	}
	assert.Len(t, failed, 2)
	last := <-calls
	cancel()
	last <- ""
}

// The list's address moves as an answer of the old one is being told: it counts as come before, and what follows is the whole list
// of the new one, whatever version the old one had.
func TestSetAddressDuringOnList(t *testing.T) {
	lists := func(version int) (*httptest.Server, chan string) {
		asked := make(chan string, 9)
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if asked <- r.URL.RawQuery; r.URL.RawQuery != "" {
				<-r.Context().Done()
			}
			fmt.Fprintf(w, `{"rev":%d,"all":true,"targets":[]}`, version)
		}))
		t.Cleanup(s.Close)
		return s, asked
	}
	older, _ := lists(90)
	newer, asked := lists(3)
	told := make(chan *List, 9)
	w := &Watch{Address: older.Listener.Addr().String(), Deployment: testNames, Log: slog.New(slog.DiscardHandler), OnFailure: func() { t.Error("a move is no failure") }}
	w.OnList = func(l *List) {
		if told <- l; l.Version == 90 {
			w.SetAddress(newer.Listener.Addr().String())
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	w.Start(ctx)
	w.Poll()
	assert.Equal(t, uint64(90), (<-told).Version)
	assert.Equal(t, uint64(3), (<-told).Version)
	assert.Equal(t, "", <-asked)
	assert.Equal(t, "from=3&hold_ms=1200", <-asked)
}
