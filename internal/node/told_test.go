package node

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pearknot/balancer"
	"pearknot/internal/clock"
	"pearknot/internal/config"
	"pearknot/internal/descriptors"
	"pearknot/internal/discovery"
	"pearknot/internal/upstream"
)

// toldWithin is when a change counts as told after a call that failed, was refused or given up: from when discovery had it and
// could be reached.
const toldWithin = 6 * time.Second

// farSeed draws a wait near the longest after the row of failed calls.
const farSeed = 22

const (
	listUp     = `{"rev":2,"all":true,"targets":[{"uid":"x","endpoint":%q,"az":"a","model":"m","state":"up"}]}`
	listDrains = `{"rev":3,"all":false,"targets":[{"uid":"x","endpoint":%q,"az":"a","model":"m","state":"draining"}]}`
	listGone   = `{"rev":3,"all":true,"targets":[]}%.0s`
)

// stand is a stand-in for discovery: it meets calls one after the other as a test says, those that follow with its last word.
type stand struct {
	net.Listener
	meets []func(c *net.TCPConn) // what becomes of a call
	calls atomic.Int64
}

func (s *stand) serve() {
	for {
		c, err := s.Accept()
		if err != nil {
			return
		}
		go func() {
			defer c.Close()
			for r := bufio.NewReader(c); ; {
				if _, err := http.ReadRequest(r); err != nil {
					return
				}
				k := int(s.calls.Add(1)) - 1
				s.meets[min(k, len(s.meets)-1)](c.(*net.TCPConn))
			}
		}()
	}
}

func answers(list string, after time.Duration) func(*net.TCPConn) {
	return func(c *net.TCPConn) {
		time.Sleep(after) // what it takes in its turn
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(list), list)
	}
}

// The node has had a long row of failed calls, so that the waits between them are the longest, and discovery can be reached again,
// with a change, just after its next call has come to nothing; and it takes its time over the answer. The change is to be in hand
// in the time that a node has. Of that the machine has 1.2 s, if everything else takes as long as it may.
func TestToldAfterACallThatCameToNothing(t *testing.T) {
	for name, trouble := range map[string][]func(*net.TCPConn){
		"failed in the middle of its answer": {func(c *net.TCPConn) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n{\"rev\":")
			_ = c.SetLinger(0)
			_ = c.Close()
		}},
		"refused": {func(c *net.TCPConn) {
			_, _ = io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
		}},
		"reset":    {func(c *net.TCPConn) { _ = c.SetLinger(0); _ = c.Close() }},
		"given up": {func(*net.TCPConn) {}},
		"given up in the middle of its answer": {func(c *net.TCPConn) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n{\"rev\":")
		}},
		"a watch that falls silent": {nil, func(*net.TCPConn) {}}, // nil is the list as it was
	} {
		for what, change := range map[string]string{"a drain": listDrains, "a whole list without it": listGone} {
			t.Run(name+", "+what, func(t *testing.T) {
				t.Parallel()
				toldAfter(t, trouble, change)
			})
		}
	}
}

func toldAfter(t *testing.T, trouble []func(*net.TCPConn), change string) {
	backend := silence(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	was, next := fmt.Sprintf(listUp, backend.address), fmt.Sprintf(change, backend.address)
	s, back := &stand{Listener: l}, make(chan time.Time, 1)
	for k, meet := range trouble {
		if meet == nil {
			meet = answers(was, 0)
		}
		if k == len(trouble)-1 {
			comes := meet
			meet = func(c *net.TCPConn) {
				comes(c)
				back <- time.Now() // what comes from now on is answered, and tells the change
			}
		}
		s.meets = append(s.meets, meet)
	}
	s.meets = append(s.meets, answers(next, 1200*time.Millisecond))
	go s.serve()

	c, log := clock.New(), slog.New(slog.DiscardHandler)
	w := &discovery.Watch{Address: l.Addr().String(), Deployment: discovery.DeploymentNames{Zones: []string{"a"}, Kinds: []string{"m"}}, Version: 1, HasList: true, Log: log}
	told := &config.Deployment{Balancer: &balancer.Config{Seed: farSeed, Nodes: 1, MaxAttempts: 1, PollEndpoints: true, PollInterval: 60e3, OverloadMultiple: 3, OverloadWindow: 1000,
		Classes: []balancer.Class{{LatencyObjective: 1000, PriorityWeight: 1, LateWeight: 1}}}}
	peers := &upstream.Config{Budget: descriptors.New(64, func() {}), Log: log}
	peers.ConnectTimeout.Set(time.Second)
	peers.IdleTimeout.Set(time.Minute)
	n := New(told, NewBalancer, c, peers, w.Poll, log)
	w.OnList, w.OnFailure = n.EndpointsChanged, n.PollFailed
	ctx, end := context.WithCancel(t.Context())
	defer end()
	w.Start(ctx)
	n.Start(&discovery.List{Complete: true, Version: 1, Endpoints: []discovery.Endpoint{{Name: "x", Address: backend.address, State: balancer.BackendReady, Weight: 1}}})
	defer n.Stop()
	for range 5 {
		n.PollFailed()
	}
	w.Poll()
	begun := <-back
	require.Eventually(t, func() bool { _, state := had(n, "x"); return state != balancer.BackendReady }, 30*time.Second, time.Millisecond)
	assert.Less(t, time.Since(begun), toldWithin)
	o := op(c, 0)
	o.Deadline = c.Now() + 100
	n.Submit(o)
	assert.Equal(t, Rejected, (<-o.Answer()).Status)
	assert.Empty(t, backend.got, "nothing goes there")
}
