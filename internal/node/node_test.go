package node

import (
	"log/slog"
	"net"
	"net/http"
	"strconv"
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

// start runs a node with one backend that takes connections and says nothing.
func start(t *testing.T, address string) (*Node, *clock.Clock) {
	c, log := clock.New(), slog.New(slog.DiscardHandler)
	told := &config.Deployment{Balancer: &balancer.Config{Seed: 1, Nodes: 1, MaxAttempts: 1, CancelAttempts: true, OverloadMultiple: 3,
		OverloadWindow: 1000, Classes: []balancer.Class{
			{LatencyObjective: 60e3, PriorityWeight: 1, LateWeight: 1},
			{LatencyObjective: 60e3, PriorityWeight: 1, LateWeight: 1, Idempotency: balancer.AtMostOnce}}}}
	peers := &upstream.Config{Budget: descriptors.New(64, func() {}), Log: log}
	peers.ConnectTimeout.Set(time.Second)
	peers.IdleTimeout.Set(time.Minute)
	n := New(told, NewBalancer, c, peers, func() {}, log)
	n.Start(&discovery.List{Complete: true, Endpoints: []discovery.Endpoint{{Name: "s", Address: address, State: balancer.BackendReady, Weight: 1}}})
	t.Cleanup(n.Stop)
	return n, c
}

func op(c *clock.Clock, category int) *Request {
	o := NewRequest(upstream.NewMessage("GET", "/", "s", http.Header{}, nil, nil))
	o.Class, o.Deadline = category, c.Now()+60e3
	return o
}

func TestFinalAnswers(t *testing.T) {
	silent := silence(t)
	for name, test := range map[string]struct {
		category int
		turn     func(*Node, *clock.Clock)
		want     AnswerStatus
	}{
		// Pushes end by then, so that the module answers in time for the node's own end.
		"redeliverable, draining": {0, func(n *Node, c *clock.Clock) { n.Drain(c.Now() + 50) }, Rejected},
		"at-most-once, draining":  {1, func(n *Node, c *clock.Clock) { n.Drain(c.Now() + 50) }, Failed},
		// A fault of the module must not take the ops with it, nor claim that they never ran.
		"module fault": {0, func(n *Node, _ *clock.Clock) { n.box.Put(func() { panic("fault") }) }, Failed},
	} {
		n, c := start(t, silent.address)
		o := op(c, test.category)
		n.Submit(o)
		<-silent.got
		test.turn(n, c)
		assert.Equal(t, test.want, (<-o.Answer()).Status, name)

		o = op(c, 0) // what comes after has an answer too
		o.Deadline = c.Now() + 50
		n.Submit(o)
		assert.Equal(t, Rejected, (<-o.Answer()).Status, name)
	}
}

// A held op that no push is out for is answered when the node ends, too.
func TestNothingIsLeftAtTheEnd(t *testing.T) {
	n, c := start(t, "127.0.0.1:1")
	o := op(c, 0)
	n.box.Put(func() {
		n.seq++
		o.ID = n.seq
		n.ops[o.ID] = o // unknown to the module, as if it had forgotten it
		n.module.RequestArrived(n.now, &o.Request)
		for _, more := n.module.Next(); more; _, more = n.module.Next() {
		}
	})
	n.Drain(c.Now() + 20)
	assert.Equal(t, Failed, (<-o.Answer()).Status)
}

func TestLeave(t *testing.T) {
	silent := silence(t)
	n, c := start(t, silent.address)
	o := op(c, 1)
	n.Submit(o)
	conn := <-silent.got
	_, err := conn.Read(make([]byte, 4096)) // the push is out
	require.NoError(t, err)
	n.Cancel(o)
	for err == nil { // until its connection closes: the push is given up
		_, err = conn.Read(make([]byte, 4096))
	}
	open := make(chan int)
	require.Eventually(t, func() bool {
		n.box.Put(func() { open <- len(n.ops) })
		return <-open == 0
	}, time.Second, time.Millisecond)
	assert.Empty(t, o.Answer())
}

// Backends are replaced all day: of those long gone nothing stays.
func TestNothingStaysOfGoneBackends(t *testing.T) {
	n, _ := start(t, "127.0.0.1:1")
	for k := range 50 {
		m := discovery.Endpoint{Name: strconv.Itoa(k), Address: "127.0.0.1:1", State: balancer.BackendReady, Weight: 1}
		n.EndpointsChanged(&discovery.List{Endpoints: []discovery.Endpoint{m}})
		m.State = balancer.BackendRemoved
		n.EndpointsChanged(&discovery.List{Endpoints: []discovery.Endpoint{m, {Name: "never had", State: balancer.BackendRemoved}}})
	}
	left := make(chan []int)
	n.box.Put(func() { left <- []int{len(n.backends), len(n.behind)} })
	assert.Equal(t, []int{1, 1}, <-left)
}

// Where a list is no proof, a backend that it no longer names keeps its connections until the module has forgotten it; one
// that drained does not.
func TestAListThatIsNoProofClosesNothing(t *testing.T) {
	n, _ := start(t, "127.0.0.1:1")
	n.box.Put(func() { n.told.Balancer.RemovalIsHint = true })
	drained := discovery.Endpoint{Name: "drained", Address: "127.0.0.1:1", State: balancer.BackendReady, Weight: 1}
	n.EndpointsChanged(&discovery.List{Endpoints: []discovery.Endpoint{drained}})
	drained.State = balancer.BackendDraining
	n.EndpointsChanged(&discovery.List{Endpoints: []discovery.Endpoint{drained}})
	n.EndpointsChanged(&discovery.List{Complete: true})
	kept := make(chan []bool)
	n.box.Put(func() {
		d := n.backends["drained"]
		kept <- []bool{n.backends["s"].peer != nil, d != nil && d.peer != nil}
	})
	assert.Equal(t, []bool{true, false}, <-kept)
}

type quiet struct {
	address string
	got     chan net.Conn
}

// silence listens and answers nothing.
func silence(t *testing.T) *quiet {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	q := &quiet{l.Addr().String(), make(chan net.Conn, 9)}
	go func() {
		for c, err := l.Accept(); err == nil; c, err = l.Accept() {
			q.got <- c
		}
	}()
	return q
}
