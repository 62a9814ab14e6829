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

// maxNotificationDelay is the time within which a node must have a change after a poll that failed, was refused or timed
// out, counted from when discovery has the change and can be reached.
const maxNotificationDelay = 6 * time.Second

// longBackoffSeed makes the balancer draw a backoff near the maximum after the failed polls.
const longBackoffSeed = 22

const (
	listReady    = `{"rev":2,"all":true,"targets":[{"uid":"x","endpoint":%q,"az":"a","model":"m","state":"up"}]}`
	listDraining = `{"rev":3,"all":false,"targets":[{"uid":"x","endpoint":%q,"az":"a","model":"m","state":"draining"}]}`
	listEmpty    = `{"rev":3,"all":true,"targets":[]}%.0s`
)

// fakeDiscovery is a discovery service that handles each poll by the next of its behaviors, and all further polls by the
// last one.
type fakeDiscovery struct {
	net.Listener
	behaviors []func(c *net.TCPConn) // one for each poll
	polls     atomic.Int64
}

func (s *fakeDiscovery) serve() {
	for {
		conn, err := s.Accept()
		if err != nil {
			return
		}
		go func() {
			defer conn.Close()
			for reader := bufio.NewReader(conn); ; {
				if _, err := http.ReadRequest(reader); err != nil {
					return
				}
				index := int(s.polls.Add(1)) - 1
				s.behaviors[min(index, len(s.behaviors)-1)](conn.(*net.TCPConn))
			}
		}()
	}
}

// respondWith returns a behavior that responds to a poll with list after a delay.
func respondWith(list string, delay time.Duration) func(*net.TCPConn) {
	return func(c *net.TCPConn) {
		time.Sleep(delay)
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(list), list)
	}
}

// Many polls have failed in a row, so that the backoff is at its maximum. Just after one more has failed, discovery can be
// reached again; it has a change, and is slow to respond. The node must still have the change in time. With every other
// delay at its maximum, 1.2 s of that time remain for this machine.
func TestNotifiedAfterFailedPoll(t *testing.T) {
	for name, failures := range map[string][]func(*net.TCPConn){
		"failed in the middle of its response": {func(c *net.TCPConn) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n{\"rev\":")
			_ = c.SetLinger(0)
			_ = c.Close()
		}},
		"refused": {func(c *net.TCPConn) {
			_, _ = io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
		}},
		"reset":     {func(c *net.TCPConn) { _ = c.SetLinger(0); _ = c.Close() }},
		"times out": {func(*net.TCPConn) {}},
		"times out in the middle of its response": {func(c *net.TCPConn) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n{\"rev\":")
		}},
		"a watch that stalls": {nil, func(*net.TCPConn) {}}, // nil: the list without a change
	} {
		for what, change := range map[string]string{"draining": listDraining, "a complete list without it": listEmpty} {
			t.Run(name+", "+what, func(t *testing.T) {
				t.Parallel()
				testNotifiedAfter(t, failures, change)
			})
		}
	}
}

// testNotifiedAfter runs failures in order. The change can be polled after the last one.
func testNotifiedAfter(t *testing.T, failures []func(*net.TCPConn), change string) {
	t.Helper()
	backend := startSilentBackend(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	unchanged, changed := fmt.Sprintf(listReady, backend.address), fmt.Sprintf(change, backend.address)
	s, recovered := &fakeDiscovery{Listener: listener}, make(chan time.Time, 1)
	for i, behavior := range failures {
		if behavior == nil {
			behavior = respondWith(unchanged, 0)
		}
		if i == len(failures)-1 {
			last := behavior
			behavior = func(c *net.TCPConn) {
				last(c)
				recovered <- time.Now() // later polls get the change
			}
		}
		s.behaviors = append(s.behaviors, behavior)
	}
	s.behaviors = append(s.behaviors, respondWith(changed, 1200*time.Millisecond))
	go s.serve()

	c, log := clock.New(), slog.New(slog.DiscardHandler)
	watch := &discovery.Watch{Address: listener.Addr().String(), Deployment: discovery.DeploymentNames{Zones: []string{"a"}, Kinds: []string{"m"}}, Version: 1, HasList: true, Log: log}
	deployment := &config.Deployment{BalancerConfig: &balancer.Config{Seed: longBackoffSeed, Nodes: 1, MaxAttempts: 1, PollEndpoints: true, PollInterval: 60e3, OverloadMultiple: 3, OverloadWindow: 1000,
		Classes: []balancer.Class{{LatencyObjective: 1000, PriorityWeight: 1, LateWeight: 1}}}}
	upstreamConfig := &upstream.Config{Budget: descriptors.New(64, func() {}), Log: log}
	upstreamConfig.ConnectTimeout.Set(time.Second)
	upstreamConfig.IdleTimeout.Set(time.Minute)
	n := New(deployment, NewBalancer, c, upstreamConfig, watch.StartSession, log)
	watch.OnList, watch.OnFailure = n.EndpointsChanged, n.PollFailed
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	watch.Start(ctx)
	n.Start(&discovery.List{Complete: true, Version: 1, Endpoints: []discovery.Endpoint{{Name: "x", Address: backend.address, State: balancer.BackendReady, Weight: 1}}})
	defer n.Stop()
	for range 5 {
		n.PollFailed()
	}
	watch.StartSession()
	recoveredAt := <-recovered
	require.Eventually(t, func() bool { _, state := backendState(n, "x"); return state != balancer.BackendReady }, 30*time.Second, time.Millisecond)
	assert.Less(t, time.Since(recoveredAt), maxNotificationDelay)
	request := newTestRequest(c, 0)
	request.Deadline = c.Now() + 100
	n.Submit(request)
	assert.Equal(t, Rejected, (<-request.Answer()).Status)
	assert.Empty(t, backend.accepted, "no attempt is sent to it")
}
