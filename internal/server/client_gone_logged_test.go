package server

import (
	"bytes"
	"fmt"
	"io"
	"log/slog"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pearknot/balancer"
	"pearknot/internal/clock"
	"pearknot/internal/discovery"
	"pearknot/internal/lab/faultproxy"
	"pearknot/internal/peers"
	"pearknot/internal/requestlog"
)

// unused is an address for a member of a fleet, on a loopback address of its own.
func unused(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.3:0")
	require.NoError(t, err)
	defer l.Close()
	return l.Addr().String()
}

// keepers are three processes' links, all of the first one's through relays that may be slow.
func keepers(t *testing.T) (first *peers.Peers, slow func(time.Duration)) {
	log := slog.New(slog.DiscardHandler)
	var real []string
	for range 3 {
		real = append(real, unused(t))
	}
	var relays []*faultproxy.Wire
	relay := func(to string) string {
		w, err := faultproxy.Open(to)
		require.NoError(t, err)
		t.Cleanup(w.Close)
		relays = append(relays, w)
		return w.Address()
	}
	for self := range 3 {
		terms := peers.Config{Fleet: "f", Replicas: 3, Keys: [][]byte{bytes.Repeat([]byte{1}, 32)}, MaxLogBytes: 1 << 20, AnswerTTL: 60e3, Self: self}
		for k, name := range []string{"a", "b", "c"} {
			address := real[k]
			if k != self && (k == 0 || self == 0) {
				address = relay(address)
			}
			terms.Members = append(terms.Members, peers.Member{Name: name, Address: address})
		}
		p := peers.New(terms, clock.New(), func(requestlog.Entry) {}, log)
		p.Start()
		t.Cleanup(p.Stop)
		if self == 0 {
			first = p
		}
	}
	return first, func(delay time.Duration) {
		for _, w := range relays {
			w.Set(faultproxy.Fault{Delay: delay})
		}
	}
}

// The same with a request that other processes keep, whose retry or hedge waits for its record in the replicated log: what had
// begun goes on, as whoever comes with its key wants its outcome, but nothing further begins, nor a retry of that retry. A first
// attempt has TestAKeptOpWhoseClientLeavesBeforeItsRecord.
func TestNothingBeginsForAKeptRequestWhoseClientHasGone(t *testing.T) {
	for kind, name := range map[int]string{retry: "retry", hedge: "hedge"} {
		for _, w := range ways {
			t.Run(name+", "+w.name, func(t *testing.T) {
				t.Parallel()
				for met, try := false, 0; !met; try++ { // on a busy machine the first attempt's own record may take until a hedge is due
					require.Less(t, try, 9)
					t.Run(fmt.Sprint(try), func(t *testing.T) { met = leftBeforeRecord(t, kind, w) || t.Failed() })
				}
			})
		}
	}
}

// kept is a front whose requests two other processes keep as well, before three backends.
func kept(t *testing.T, a *attempts, g *gate) (f *Server, slow func(time.Duration)) {
	keep, slow := keepers(t)
	list := &discovery.List{Complete: true}
	for k := range 3 {
		list.Endpoints = append(list.Endpoints, member(k, a.backend()))
	}
	f, _, _ = fronted(t, 256, &balancer.Config{Seed: 1, Nodes: 1, MaxAttempts: 3, AllowHedging: true, CancelAttempts: true, PollEndpoints: true, PollInterval: 60e3,
		OverloadMultiple: 3, OverloadWindow: 1000, Classes: []balancer.Class{{LatencyObjective: 50e3, PriorityWeight: 1, LateWeight: 1}}}, g.decide, list,
		func(f *Server) {
			f.node.LogRequests(keep)
			f.LogRequests(RequestLogging{Peers: keep, KeyHeader: "Idempotency-Key", Classes: map[string]bool{"check": false}, MaxAnswerBytes: 1 << 10})
		})
	require.Eventually(t, func() bool { // a majority answers
		told := make(chan requestlog.Result, 1)
		now := f.clock.Now()
		keep.Lookup("x", 1, now+1000, func(r requestlog.Reply) { told <- r.Result })
		return <-told == requestlog.KeyUnused
	}, 30*time.Second, 10*time.Millisecond)
	return f, slow
}

// keyed is a request with a key.
func keyed(said string) string {
	return strings.Replace(said, "X-Qos", "Idempotency-Key: k\r\nX-Qos", 1)
}

// leftBeforeRecord tells whether it met its moment.
func leftBeforeRecord(t *testing.T, kind int, w way) bool {
	a := newAttempts(t, 1)
	g := newGate(1)
	g.wanted = a.some
	f, slow := kept(t, a, g)
	said := sized("a", map[int]int{retry: 2000, hedge: 300}[kind])
	leave := w.begin(t, f, keyed(said))
	<-a.began
	if kind == retry {
		a.answer <- fails
	}
	<-g.decided
	if a.void = g.wentBy; a.void {
		leave()
		seen(t, f)
		a.answer <- fails
		a.answer <- fails
		over(t, f, 0)
		return false
	}
	slow(250 * time.Millisecond) // its record takes 0.5 s
	close(g.let)
	close(g.on)
	_, err := f.node.Status(t.Context())
	require.NoError(t, err)
	leave()
	seen(t, f)
	slow(0)
	if kind == hedge {
		a.answer <- fails
	}
	over(t, f, 0)
	return true
}

// A client leaves, a line behind its request, while the other processes are asked for its key: that was looked at only with their
// answer, 1.5 s later at the most, and the request taken first where that was Free, or Alone and it may go on so.
func TestAClientThatLeavesDuringALookIsSeen(t *testing.T) {
	a := newAttempts(t, 0)
	f, slow := kept(t, a, newGate(-1))
	slow(700 * time.Millisecond)
	c := connected(t, f, keyed(sized("a", 1)))
	require.Eventually(t, func() bool { return f.openRequests.Load() == 1 }, 10*time.Second, time.Millisecond)
	_, err := io.WriteString(c, "\r\n") // net/http reads it and looks no further
	require.NoError(t, err)
	begun := time.Now()
	end(c)
	seen(t, f)
	require.Less(t, time.Since(begun), time.Second, "an answer takes 1.4 s")
	slow(0)
	over(t, f, 0)
}
