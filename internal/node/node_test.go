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
	told := &config.Deployment{Terms: &balancer.Terms{Seed: 1, Nodes: 1, MaxPushes: 1, Cancel: true, FallMultiple: 3,
		OverloadFor: 1000, Categories: []balancer.Category{
			{TargetLatency: 60e3, Benefit: 1, LateBenefit: 1},
			{TargetLatency: 60e3, Benefit: 1, LateBenefit: 1, Effect: balancer.AtMostOnce}}}}
	peers := &upstream.Terms{Budget: descriptors.New(64, func() {}), Log: log}
	peers.ConnectTimeout.Set(time.Second)
	peers.IdleFor.Set(time.Minute)
	n := New(told, Module, c, peers, func() {}, log)
	n.Start(&discovery.List{Whole: true, Members: []discovery.Member{{Name: "s", Address: address, State: balancer.Ready, Weight: 1}}})
	t.Cleanup(n.Stop)
	return n, c
}

func op(c *clock.Clock, category int) *Op {
	o := NewOp(upstream.NewMessage("GET", "/", "s", http.Header{}, nil))
	o.Category, o.GiveUp = category, c.Now()+60e3
	return o
}

func TestFinalAnswers(t *testing.T) {
	silent := silence(t)
	for name, test := range map[string]struct {
		category int
		turn     func(*Node, *clock.Clock)
		want     Final
	}{
		// Pushes end by then, so that the module answers in time for the node's own end.
		"redeliverable, draining": {0, func(n *Node, c *clock.Clock) { n.Drain(c.Now() + 50) }, Nacked},
		"at-most-once, draining":  {1, func(n *Node, c *clock.Clock) { n.Drain(c.Now() + 50) }, DeadLettered},
		// A fault of the module must not take the ops with it, nor claim that they never ran.
		"module fault": {0, func(n *Node, _ *clock.Clock) { n.box.Put(func() { panic("fault") }) }, DeadLettered},
	} {
		n, c := start(t, silent.address)
		o := op(c, test.category)
		n.Take(o)
		<-silent.got
		test.turn(n, c)
		assert.Equal(t, test.want, (<-o.Answer()).Final, name)

		o = op(c, 0) // what comes after has an answer too
		o.GiveUp = c.Now() + 50
		n.Take(o)
		assert.Equal(t, Nacked, (<-o.Answer()).Final, name)
	}
}

// A held op that no push is out for is answered when the node ends, too.
func TestNothingIsLeftAtTheEnd(t *testing.T) {
	n, c := start(t, "127.0.0.1:1")
	o := op(c, 0)
	n.box.Put(func() {
		n.seq++
		o.Ref = n.seq
		n.ops[o.Ref] = o // unknown to the module, as if it had forgotten it
		n.module.Arrived(n.now, &o.Op)
		for _, more := n.module.Next(); more; _, more = n.module.Next() {
		}
	})
	n.Drain(c.Now() + 20)
	assert.Equal(t, DeadLettered, (<-o.Answer()).Final)
}

func TestLeave(t *testing.T) {
	silent := silence(t)
	n, c := start(t, silent.address)
	o := op(c, 1)
	n.Take(o)
	conn := <-silent.got
	_, err := conn.Read(make([]byte, 4096)) // the push is out
	require.NoError(t, err)
	n.Leave(o)
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
		m := discovery.Member{Name: strconv.Itoa(k), Address: "127.0.0.1:1", State: balancer.Ready, Weight: 1}
		n.Listed(&discovery.List{Members: []discovery.Member{m}})
		m.State = balancer.Gone
		n.Listed(&discovery.List{Members: []discovery.Member{m, {Name: "never had", State: balancer.Gone}}})
	}
	left := make(chan []int)
	n.box.Put(func() { left <- []int{len(n.backends), len(n.behind)} })
	assert.Equal(t, []int{1, 1}, <-left)
}

// Where a list is no proof, a backend that it no longer names keeps its connections until the module has forgotten it; one
// that drained does not.
func TestAListThatIsNoProofClosesNothing(t *testing.T) {
	n, _ := start(t, "127.0.0.1:1")
	n.box.Put(func() { n.told.Terms.RemovalNotBinding = true })
	drained := discovery.Member{Name: "drained", Address: "127.0.0.1:1", State: balancer.Ready, Weight: 1}
	n.Listed(&discovery.List{Members: []discovery.Member{drained}})
	drained.State = balancer.Draining
	n.Listed(&discovery.List{Members: []discovery.Member{drained}})
	n.Listed(&discovery.List{Whole: true})
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
