package balancer

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func (d *desk) repeat(name string, category int) *Request {
	op := &Request{Class: category, CostHint: 10, HasCostHint: true, Deadline: d.now + 4000, IsClientRetry: true}
	d.ops[name] = op
	d.node.RequestArrived(d.now, op)
	return op
}

// Reported: ops that bring down whatever backend begins them took two or three each, by further pushes and by their clients'
// repeats, until a third of a fleet was down or cold.
func TestOpsThatBringBackendsDownAreNotSentOn(t *testing.T) {
	d := sit(t, plain(), 5)
	a := d.arrive("a", 0, 10)
	require.Equal(t, "push:a", d.pull())
	d.after(5).end(a.Attempts[0], OutcomeConnectionReset)
	require.Equal(t, "nack:a", d.pull(), "not sent on")
	d.repeat("again", 0)
	require.Equal(t, "nack:again", d.pull())
	d.repeat("marked", 3)
	require.Equal(t, "nack:marked", d.pull())
	d.repeat("once", 1) // comes again only where it never ran
	require.Equal(t, "push:once", d.pull())
	d.arrive("first", 0, 10) // no category is shut out
	require.Equal(t, "push:first", d.pull())
	d.end(d.ops["once"].Attempts[0], OutcomeAnswered)
	d.end(d.ops["first"].Attempts[0], OutcomeAnswered)
	d.after(poisonWindow).pull()
	d.repeat("later", 0)
	require.Equal(t, "push:later", d.pull(), "no longer than the evidence lasts")
}

// The twins: where a backend answers right after a reset its connection broke, not the backend; and a plain crash, which
// ends at once, leaves first tries alone.
func TestBrokenConnectionsAreNoFall(t *testing.T) {
	d := sit(t, plain(), 1)
	a := d.arrive("a", 0, 10)
	d.arrive("b", 0, 10)
	require.Equal(t, "push:a push:b", d.pull())
	d.after(5).end(a.Attempts[0], OutcomeConnectionReset)
	require.Equal(t, "nack:a", d.pull())
	d.after(5).end(d.ops["b"].Attempts[0], OutcomeAnswered)
	d.repeat("again", 0)
	require.Equal(t, "push:again", d.pull())
	other := &Backend{ID: 9}
	d.list(BackendReady, 0, other)
	d.end(d.ops["again"].Attempts[0], OutcomeConnectionReset)
	require.Equal(t, "push:again", d.pull(), "sent on")
	require.Equal(t, other, d.ops["again"].Attempts[1].Backend)
	before := d.node.suspicionOf(other)
	d.end(d.ops["again"].Attempts[1], OutcomeConnectionReset)
	require.Equal(t, before, d.node.suspicionOf(other), "and blamed on the connection: a few backends reset a tenth each and stay")
}

// A key's ops meet at one backend, the same at all nodes, while it serves and has room.
func TestKeysHaveAHome(t *testing.T) {
	homes := map[uint64]map[uint64]bool{}
	for seed := range uint64(5) {
		terms := plain()
		terms.Seed, terms.KeyAffinity = seed, true
		d := sit(t, terms, 10)
		for key := range uint64(20) {
			op := d.about(key+1, "op", 0)
			d.pull()
			if homes[key] == nil {
				homes[key] = map[uint64]bool{}
			}
			homes[key][op.Attempts[0].Backend.ID] = true
			d.after(5).end(op.Attempts[0], OutcomeAnswered)
			d.pull()
		}
		op := d.about(3, "op", 0)
		d.pull()
		home := op.Attempts[0].Backend
		d.end(op.Attempts[0], OutcomeAnswered)
		d.list(BackendDraining, 0, home)
		op = d.about(3, "op", 0)
		d.pull()
		require.NotEqual(t, home, op.Attempts[0].Backend, "a home that drains is none")
	}
	all := map[uint64]bool{}
	for key, at := range homes {
		require.Len(t, at, 1, "key %d", key)
		for ref := range at {
			all[ref] = true
		}
	}
	require.Greater(t, len(all), 5, "keys spread")
}

// What was given up on may still run: it counts in the node's window for as long again as it was out, and a snapshot
// keeps that.
func TestWhatWasGivenUpOnCountsForAsLongAgain(t *testing.T) {
	d := sit(t, plain(), 3)
	op := d.arrive("a", 1, 10)
	d.pull()
	require.Equal(t, 1, d.node.concurrency.inFlight)
	d.after(400).end(op.Attempts[0], OutcomeTimedOut)
	d.pull()
	require.Equal(t, 1, d.node.concurrency.inFlight)
	s, err := d.node.Snapshot(nil, d.backends)
	require.NoError(t, err)
	n, _, _, err := Restore(plain(), s)
	require.NoError(t, err)
	for _, node := range []*Balancer{d.node, n} {
		node.TimerFired(d.now + 399)
		for _, more := node.Next(); more; _, more = node.Next() {
		}
		assert.Equal(t, 1, node.concurrency.inFlight)
		node.TimerFired(d.now + 401)
		for _, more := node.Next(); more; _, more = node.Next() {
		}
		assert.Zero(t, node.concurrency.inFlight)
	}
}

// In a crowd clients' repeats are what keeps it one: they wait behind others for a tenth of what first tries do.
func TestRepeatsWaitLess(t *testing.T) {
	d := sit(t, plain(), 2)
	d.seen()
	for range 40 {
		d.node.estimates.waits.add(d.backends[0], d.now, 150)
	}
	d.arrive("first", 0, 10)
	d.repeat("again", 0)
	require.Equal(t, "push:first nack:again", d.pull())
	calm := sit(t, plain(), 2)
	calm.seen()
	calm.repeat("again", 0)
	require.Equal(t, "push:again", calm.pull(), "without a crowd they are like the others")
}

// A push sent before a reset and answered by the same backend after it, however late, tells that the backend did not
// fall: at a node that seldom meets one twice within a second nothing else does, and its repeats were all nacked.
func TestAnAnswerToAnEarlierPushTellsThatNothingFell(t *testing.T) {
	d := sit(t, plain(), 1)
	early, broken := d.busy(d.backends[0]), d.busy(d.backends[0])
	d.after(10).end(broken, OutcomeConnectionReset)
	d.pull()
	require.True(t, d.node.suspectsPoisonRequest())
	d.after(3000).end(early, OutcomeAnswered)
	require.False(t, d.node.suspectsPoisonRequest())
	later := sit(t, plain(), 1)
	later.end(later.busy(later.backends[0]), OutcomeConnectionReset)
	again := later.busy(later.backends[0])
	later.after(3000).end(again, OutcomeAnswered)
	require.True(t, later.node.suspectsPoisonRequest(), "it may have been started again")
}
