package peers

import (
	"bytes"
	"fmt"
	"io"
	"log/slog"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"pearknot/internal/clock"
	"pearknot/internal/requestlog"
	"pearknot/internal/snapshot"
)

type lines struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lines) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lines) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

func free(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	return l.Addr().String()
}

var key, other = bytes.Repeat([]byte{1}, 32), bytes.Repeat([]byte{2}, 32)

// three starts a fleet, the third member by terms of its own.
func three(t *testing.T, spoil func(*Config), change ...func(*Config)) (all []*Peers, logs []*lines) {
	terms := Config{Fleet: "f", Replicas: 3, Keys: [][]byte{key}, MaxLogBytes: 1 << 20, AnswerTTL: 60e3}
	for _, f := range change {
		f(&terms)
	}
	for _, name := range []string{"a", "b", "c"} {
		terms.Members = append(terms.Members, Member{name, free(t)})
	}
	for k := range terms.Members {
		mine, log := terms, &lines{}
		mine.Self = k
		if k == 2 {
			spoil(&mine)
		}
		p := New(mine, clock.New(), func(requestlog.Entry) {}, slog.New(slog.NewTextHandler(log, nil)))
		p.Start()
		t.Cleanup(p.Stop)
		all, logs = append(all, p), append(logs, log)
	}
	return all, logs
}

func linked(t *testing.T, p *Peers) (n int) {
	s, err := p.State(t.Context())
	require.NoError(t, err)
	for _, o := range s.Peers {
		if o.Connected {
			n++
		}
	}
	return n
}

// A record is written at whatever process is asked, and read at all others.
func TestThree(t *testing.T) {
	defer goleak.VerifyNone(t)
	all, _ := three(t, func(*Config) {})
	write := func(p *Peers, r requestlog.Record) requestlog.Result {
		told := make(chan requestlog.Reply, 1)
		p.Append(r, p.clock.Now()+300, func(r requestlog.Reply) { told <- r })
		return (<-told).Result
	}
	op := requestlog.Request{Fingerprint: 7, Deadline: all[0].clock.Now() + 60e3}
	require.Eventually(t, func() bool {
		return write(all[0], requestlog.Record{Kind: requestlog.AttemptStarted, Key: "k", Request: op}) == requestlog.Committed
	},
		10*time.Second, 10*time.Millisecond)
	require.Equal(t, requestlog.KeyInFlight, write(all[1], requestlog.Record{Kind: requestlog.AttemptStarted, Key: "k", Request: op}))
	require.Equal(t, requestlog.NotOwner, write(all[1], requestlog.Record{Kind: requestlog.RequestAnswered, Key: "k", Answer: requestlog.FinalAnswer{Status: requestlog.Served}}))
	long := bytes.Repeat([]byte("x"), 200<<10)
	require.Equal(t, requestlog.Committed, write(all[0], requestlog.Record{Kind: requestlog.RequestAnswered, Key: "k", Answer: requestlog.FinalAnswer{Status: requestlog.Served, Body: long}}))
	told := make(chan requestlog.Reply, 1)
	all[2].Lookup("k", 7, all[2].clock.Now()+3000, func(r requestlog.Reply) { told <- r })
	r := <-told
	require.Equal(t, requestlog.KeyAnswered, r.Result)
	require.Equal(t, long, r.Answer.Body)
	for _, p := range all {
		p.Stop()
	}
}

// Whoever does not prove the key, is of another fleet or of another version is refused, with few lines; the rest goes on.
func TestStrangersAreRefused(t *testing.T) {
	for what, spoil := range map[string]func(*Config){
		"wrong key":    func(t *Config) { t.Keys = [][]byte{other} },
		"is not":       func(t *Config) { t.Fleet = "g" },
		"is no member": func(t *Config) { t.Members = append([]Member(nil), t.Members...); t.Members[2].Name = "x" },
	} {
		t.Run(what, func(t *testing.T) {
			all, logs := three(t, spoil)
			require.Eventually(t, func() bool {
				return linked(t, all[0]) == 1 && linked(t, all[1]) == 1 && strings.Contains(logs[0].String()+logs[1].String()+logs[2].String(), what)
			},
				10*time.Second, 10*time.Millisecond)
			require.Zero(t, linked(t, all[2]))
			require.Less(t, strings.Count(logs[0].String(), "peer refused"), 15)
		})
	}
	// A key is changed without a gap: both are taken while the first proves.
	all, _ := three(t, func(t *Config) { t.Keys = [][]byte{key, other} })
	require.Eventually(t, func() bool { return linked(t, all[2]) == 2 }, 10*time.Second, 10*time.Millisecond)
}

// Garbage, frames too long and versions unknown end their connection, whether before or after the proof; nothing panics.
func TestGarbage(t *testing.T) {
	all, logs := three(t, func(*Config) {})
	require.Eventually(t, func() bool { return linked(t, all[0]) == 2 }, 10*time.Second, 10*time.Millisecond)
	address := all[0].t.Members[0].Address
	ends := func(c net.Conn) {
		_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
		_, err := io.Copy(io.Discard, c)
		require.True(t, err == nil || !strings.Contains(err.Error(), "timeout"), "%v", err)
		_ = c.Close()
	}
	old := newHello("f", "b", "a", 1)
	old.Version = 9
	for _, text := range []string{"GET / HTTP/1.1\r\n\r\n", "\x00\x00\x00\x05hello", "\xff\xff\xff\xff", "\x00\x00\x00\x00",
		"\x00\x00\x00" + string(rune(len(snapshot.Append(nil, &old)))) + string(snapshot.Append(nil, &old))} {
		c, err := net.Dial("tcp", address)
		require.NoError(t, err)
		_, _ = io.WriteString(c, text)
		_ = c.(*net.TCPConn).CloseWrite()
		ends(c)
	}
	version := func(v int) []byte { return snapshot.Append(nil, &requestlog.Frame{Version: v, Kind: 1}) }
	for _, frame := range [][]byte{[]byte("garbage"), version(2), version(1), bytes.Repeat([]byte{0xff}, 1000)} {
		c, err := net.Dial("tcp", address)
		require.NoError(t, err)
		_, err = call(c, [][]byte{key}, "f", "b", "a", all[1].life)
		require.NoError(t, err)
		require.NoError(t, writeFrame(c, frame))
		ends(c)
	}
	require.Eventually(t, func() bool { return linked(t, all[0]) == 2 }, 10*time.Second, 10*time.Millisecond, "the real one comes back")
	require.Less(t, strings.Count(logs[0].String(), "peer refused"), 15)
	require.NotContains(t, logs[0].String(), "panic")
}

// A link that comes up while its process is told to end must not keep it: the actor that would end its queue may be gone by
// then, and a node hung until it was killed.
func TestALinkThatComesUpAtTheEndEnds(t *testing.T) {
	defer goleak.VerifyNone(t)
	terms := Config{Fleet: "f", Replicas: 3, Keys: [][]byte{key}, Members: []Member{{"a", free(t)}, {"b", free(t)}, {"c", free(t)}}}
	p := New(terms, clock.New(), func(requestlog.Entry) {}, slog.New(slog.DiscardHandler))
	p.end() // the actor has gone, or never came
	ours, theirs := net.Pipe()
	defer theirs.Close()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		p.carry(1, ours, 7)
		p.wg.Wait()
	}()
	select {
	case <-ended:
	case <-time.After(5 * time.Second):
		t.Fatal("it goes on")
	}
}

// Records as large as they may be: what a process keeps of its logs stays within what it was told, and a member that comes back
// is given ledgers that are full. Records once piled up by count alone, and an image larger than a frame ended each link that it went on.
func TestFullLedgersFitWhatTheyMay(t *testing.T) {
	defer goleak.VerifyNone(t)
	const most = 6 << 20
	all, _ := three(t, func(t *Config) {}, func(t *Config) { t.MaxLogBytes = most })
	write := func(r requestlog.Record) requestlog.Result {
		told := make(chan requestlog.Reply, 1)
		all[0].Append(r, all[0].clock.Now()+3000, func(r requestlog.Reply) { told <- r })
		return (<-told).Result
	}
	require.Eventually(t, func() bool { return whole(t, all[0]) }, 10*time.Second, 10*time.Millisecond)
	message, full := bytes.Repeat([]byte("x"), 60<<10), 0
	for k := range 700 { // what comes and goes leaves nothing behind
		key := fmt.Sprint("gone ", k)
		require.Equal(t, requestlog.Committed, write(requestlog.Record{Kind: requestlog.AttemptStarted, Key: key, Request: requestlog.Request{Deadline: all[0].clock.Now() + 600e3, EncodedMessage: message}}))
		require.Equal(t, requestlog.Committed, write(requestlog.Record{Kind: requestlog.RequestAnswered, Key: key, Answer: requestlog.FinalAnswer{Status: requestlog.Rejected}}))
	}
	for k := 0; k < 2000 && full < 50; k++ {
		switch code := write(requestlog.Record{Kind: requestlog.AttemptStarted, Key: fmt.Sprint(k), Request: requestlog.Request{Deadline: all[0].clock.Now() + 600e3, EncodedMessage: message}}); code {
		case requestlog.Committed:
		case requestlog.LogFull: // one log after the other
			full++
		default:
			require.Fail(t, code.String())
		}
	}
	require.Equal(t, 50, full)
	s, err := all[0].State(t.Context())
	require.NoError(t, err)
	for _, l := range s.Logs {
		require.LessOrEqual(t, l.Bytes, most)
		require.LessOrEqual(t, l.MemoryBytes, int(requestlog.MemoryFactor*most), "ledger, its image and records since")
		require.Greater(t, l.Bytes, most*8/10)
	}
	all[2].Stop()
	again := restart(t, all[2])
	require.Eventually(t, func() bool { return whole(t, again) && whole(t, all[0]) }, 20*time.Second, 50*time.Millisecond, "it is given all three ledgers, full")
	for _, p := range append(all, again) {
		p.Stop()
	}
}

func whole(t *testing.T, p *Peers) bool {
	s, err := p.State(t.Context())
	require.NoError(t, err)
	for _, l := range s.Logs {
		if !l.Complete {
			return false
		}
	}
	return true
}

// restart starts a member's next life.
func restart(t *testing.T, old *Peers) *Peers {
	p := New(old.t, clock.New(), func(requestlog.Entry) {}, old.log)
	p.Start()
	t.Cleanup(p.Stop)
	return p
}
