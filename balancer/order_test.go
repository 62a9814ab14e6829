package balancer

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const settle = 200.0

// inOrder is plain(), where deduplicated ops (2, 3) keep their key's order, with one push at a time.
func inOrder() *Config {
	t := plain()
	t.AllowHedging, t.UncertainCooldown = false, settle
	t.Classes[2].Ordered, t.Classes[3].Ordered = true, true
	return t
}

func (d *desk) about(key uint64, name string, category int) *Request {
	op := &Request{Class: category, CostHint: 10, HasCostHint: true, Deadline: d.now + 4000, Key: key}
	d.ops[name] = op
	d.node.RequestArrived(d.now, op)
	return op
}

func TestOrderOfAKey(t *testing.T) {
	for _, c := range []struct {
		name string
		how  Outcome // of a's push, 30 ms after it went out
		then string  // at once
		rest string  // after the key's rest, and not sooner
	}{
		{"an answer gives the turn on", OutcomeAnswered, "push:b", ""},
		{"so does what never ran, once it is given up", OutcomeRejected, "nack:a push:b", ""},
		// Reported: an op was sent 25 ms after a push of its key's earlier op had ended without proof that it runs no more.
		{"after a time-out the key rests", OutcomeTimedOut, "nack:a", "push:b"},
		{"after a reset the key rests", OutcomeConnectionReset, "nack:a", "push:b"},
		{"an error is an end", OutcomeFailed, "nack:a push:b", ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			terms := inOrder()
			terms.MaxAttempts = 1
			d := sit(t, terms, 4)
			a := d.about(7, "a", 3)
			d.about(7, "b", 3)
			d.about(0, "free", 3) // without a key
			d.about(7, "other", 0)
			d.about(8, "else", 3)
			// Reported: an op of a key was sent while an earlier one of it was not over.
			require.Equal(t, "push:a push:free push:other push:else", d.pull())
			d.now += 30
			d.end(a.Attempts[0], c.how)
			require.Equal(t, c.then, d.pull())
			require.Empty(t, d.after(settle-1).pull())
			require.Equal(t, c.rest, d.after(2).pull())
		})
	}
}

func TestOrderBetweenCategoriesAndOutOfTurnEnds(t *testing.T) {
	d := sit(t, inOrder(), 4)
	a := d.about(7, "a", 3)
	b := d.about(7, "b", 2) // all that keep order share their keys
	c := d.about(7, "c", 3)
	require.Equal(t, "push:a", d.pull())
	d.node.ClientGone(d.now, b) // leaves the line out of turn
	require.Empty(t, d.pull())
	d.node.ClientGone(d.now, a) // a's push outlives it and holds the key
	require.Equal(t, "revoke:a", d.pull())
	require.Empty(t, d.after(100).pull())
	d.end(a.Attempts[0], OutcomeCanceled)
	require.Empty(t, d.pull())
	require.Equal(t, "push:c", d.after(settle+1).pull())
	d.end(c.Attempts[0], OutcomeAnswered)
	require.Empty(t, d.node.keyQueues, "a key without ops that rests no more is let go")
}

// One that has its turn may go again without a rest; one whose turn does not come in time is nacked then, and a third, for
// which the two before it are foreseen to take too long, at once.
func TestWaitingForATurnEndsInTime(t *testing.T) {
	d := sit(t, inOrder(), 4)
	a := d.about(7, "a", 3)
	require.Equal(t, "push:a", d.pull())
	d.now += 30
	d.end(a.Attempts[0], OutcomeTimedOut)
	require.Equal(t, "push:a", d.pull())
	d.about(7, "b", 3).Deadline = d.now + 500
	require.Empty(t, d.pull())
	for _, name := range []string{"heavy", "behind"} {
		op := &Request{Class: 3, CostHint: 600, HasCostHint: true, Deadline: d.now + 1000, Key: 9}
		d.ops[name] = op
		d.node.RequestArrived(d.now, op)
	}
	require.Equal(t, "push:heavy nack:behind", d.pull())
	now := d.now
	for d.now < now+495 && d.node.keyQueues[7].requests[0] == a && len(d.node.keyQueues[7].requests) > 1 {
		d.after(5)
		require.NotContains(t, d.pull(), "push:b")
	}
	require.Len(t, d.node.keyQueues[7].requests, 1, "nacked when it could no longer be in time")
	require.Greater(t, d.now, now+300)
}

// No push out of turn and no key held for good, whatever comes: time-outs, resets, cancels, clients that leave, snapshots,
// restarts.
func TestOrderWhateverComes(t *testing.T) {
	endings := []Outcome{OutcomeAnswered, OutcomeFailed, OutcomeRejected, OutcomeTimedOut, OutcomeConnectFailed, OutcomeConnectionReset, OutcomeCanceled, OutcomeNotSent}
	rapid.Check(t, func(r *rapid.T) {
		n := New(inOrder(), 1000)
		now := 1000.0
		var backends []*Backend
		var lines []Endpoint
		for k := range 5 {
			backends = append(backends, &Backend{ID: uint64(k)})
			lines = append(lines, Endpoint{Backend: backends[k], State: BackendReady, Weight: 1})
		}
		n.EndpointsChanged(now, lines, true, true)
		var ops []*Request // taken, not over, in order
		rests := map[uint64]float64{}
		keeps := func(o *Request) bool { return o.Key != 0 && o.Class >= 2 }
		pull := func() {
			for {
				d, more := n.Next()
				if !more {
					break
				}
				if d.Kind != DoAttempt || !keeps(d.Request) {
					continue
				}
				for _, o := range ops {
					if o == d.Request {
						break
					}
					if keeps(o) && o.Key == d.Request.Key && !o.IsDone() {
						r.Fatalf("op %d sent before %d of its key was over", d.Request.ID, o.ID)
					}
				}
				if len(d.Request.Attempts) == 1 && now < rests[d.Request.Key] {
					r.Fatalf("op %d sent while its key rests until %v, at %v", d.Request.ID, rests[d.Request.Key], now)
				}
			}
			kept := ops[:0]
			for _, o := range ops {
				if !o.IsDone() {
					kept = append(kept, o)
				}
			}
			ops = kept
		}
		end := func(o *Request, how Outcome) {
			for _, p := range o.Attempts {
				if p.inFlight {
					if keeps(o) && (how == OutcomeTimedOut || how == OutcomeConnectionReset || how == OutcomeCanceled) {
						rests[o.Key] = now + settle
					}
					n.AttemptEnded(now, p, how, now-p.SentAt, how == OutcomeAnswered || o.stage == stageEnded)
					return
				}
			}
		}
		one := func() *Request { return ops[rapid.IntRange(0, len(ops)-1).Draw(r, "op")] }
		for k := range rapid.IntRange(1, 80).Draw(r, "steps") {
			now += rapid.SampledFrom([]float64{0, 5, 50, 300}).Draw(r, "pass")
			n.TimerFired(now)
			pull()
			switch step := rapid.IntRange(0, 9).Draw(r, "step"); {
			case step < 4 || len(ops) == 0:
				o := &Request{ID: uint64(k), Class: rapid.IntRange(0, 3).Draw(r, "category"), CostHint: 20, HasCostHint: true, Deadline: now + 2000,
					Key: uint64(rapid.IntRange(0, 2).Draw(r, "key"))}
				ops = append(ops, o)
				n.RequestArrived(now, o)
			case step < 8:
				end(one(), rapid.SampledFrom(endings).Draw(r, "how"))
			case step == 8:
				n.ClientGone(now, one())
			default:
				pull()
				s, err := n.Snapshot(ops, backends)
				require.NoError(r, err)
				if n, ops, backends, err = Restore(inOrder(), s); err != nil {
					r.Fatal(fmt.Sprint(err))
				}
			}
			pull()
		}
		for k := 0; len(ops) > 0; k++ { // everything ends
			if k > 1000 {
				r.Fatalf("%d ops never end", len(ops))
			}
			for _, o := range append([]*Request{}, ops...) {
				end(o, OutcomeTimedOut)
			}
			now += 50
			n.TimerFired(now)
			pull()
		}
		now += settle + 1
		n.TimerFired(now)
		pull()
		if len(n.keyQueues) > 0 {
			r.Fatalf("%d keys are held for good", len(n.keyQueues))
		}
	})
}

// Another process takes over the rests of keys, each to its own end, whatever the order of the keys.
func TestRestsGoOver(t *testing.T) {
	d := sit(t, inOrder(), 4)
	for k, key := range []uint64{9, 5, 7} {
		op := d.about(key, "op", 2)
		d.pull()
		d.now += float64(10 * k)
		d.node.AttemptEnded(d.now, op.Attempts[0], OutcomeTimedOut, 10, true)
	}
	s, err := d.node.HandoffSnapshot(d.backends)
	require.NoError(t, err)
	n, _, backends, err := Restore(inOrder(), s)
	require.NoError(t, err)
	next := &desk{t: t, node: n, now: d.now, backends: backends, ops: map[string]*Request{}}
	next.list(BackendReady, 0, backends...)
	for _, name := range []string{"nine", "five"} {
		next.about(map[string]uint64{"nine": 9, "five": 5}[name], name, 2)
	}
	require.NotContains(t, next.pull(), "push")
	require.Contains(t, next.after(settle-29).pull(), "push:nine")
	require.Contains(t, next.after(11).pull(), "push:five")
	next.after(settle).pull()
	require.Empty(t, next.node.keyQueues[7])
}
