package balancer

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const settle = 200.0

// inOrder is plain(), where deduplicated ops (2, 3) keep their key's order, with one push at a time.
func inOrder() *Terms {
	t := plain()
	t.SecondCopies, t.SettleAfterDoubt = false, settle
	t.Categories[2].KeepOrder, t.Categories[3].KeepOrder = true, true
	return t
}

func (d *desk) about(key uint64, name string, category int) *Op {
	op := &Op{Category: category, Hint: 10, HasHint: true, GiveUp: d.now + 4000, Key: key}
	d.ops[name] = op
	d.node.Arrived(d.now, op)
	return op
}

func TestOrderOfAKey(t *testing.T) {
	for _, c := range []struct {
		name string
		how  Ending // of a's push, 30 ms after it went out
		then string // at once
		rest string // after the key's rest, and not sooner
	}{
		{"an answer gives the turn on", Answered, "push:b", ""},
		{"so does what never ran, once it is given up", Rejected, "nack:a push:b", ""},
		// Reported: an op was sent 25 ms after a push of its key's earlier op had ended without proof that it runs no more.
		{"after a time-out the key rests", TimedOut, "nack:a", "push:b"},
		{"after a reset the key rests", Reset, "nack:a", "push:b"},
		{"an error is an end", Failed, "nack:a push:b", ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			terms := inOrder()
			terms.MaxPushes = 1
			d := sit(t, terms, 4)
			a := d.about(7, "a", 3)
			d.about(7, "b", 3)
			d.about(0, "free", 3) // without a key
			d.about(7, "other", 0)
			d.about(8, "else", 3)
			// Reported: an op of a key was sent while an earlier one of it was not over.
			require.Equal(t, "push:a push:free push:other push:else", d.pull())
			d.now += 30
			d.end(a.Pushes[0], c.how)
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
	d.node.Left(d.now, b) // leaves the line out of turn
	require.Empty(t, d.pull())
	d.node.Left(d.now, a) // a's push outlives it and holds the key
	require.Equal(t, "revoke:a", d.pull())
	require.Empty(t, d.after(100).pull())
	d.end(a.Pushes[0], Revoked)
	require.Empty(t, d.pull())
	require.Equal(t, "push:c", d.after(settle+1).pull())
	d.end(c.Pushes[0], Answered)
	require.Empty(t, d.node.lines, "a key without ops that rests no more is let go")
}

// One that has its turn may go again without a rest; one whose turn does not come in time is nacked then, and a third, for
// which the two before it are foreseen to take too long, at once.
func TestWaitingForATurnEndsInTime(t *testing.T) {
	d := sit(t, inOrder(), 4)
	a := d.about(7, "a", 3)
	require.Equal(t, "push:a", d.pull())
	d.now += 30
	d.end(a.Pushes[0], TimedOut)
	require.Equal(t, "push:a", d.pull())
	d.about(7, "b", 3).GiveUp = d.now + 500
	require.Empty(t, d.pull())
	for _, name := range []string{"heavy", "behind"} {
		op := &Op{Category: 3, Hint: 600, HasHint: true, GiveUp: d.now + 1000, Key: 9}
		d.ops[name] = op
		d.node.Arrived(d.now, op)
	}
	require.Equal(t, "push:heavy nack:behind", d.pull())
	now := d.now
	for d.now < now+495 && d.node.lines[7].ops[0] == a && len(d.node.lines[7].ops) > 1 {
		d.after(5)
		require.NotContains(t, d.pull(), "push:b")
	}
	require.Len(t, d.node.lines[7].ops, 1, "nacked when it could no longer be in time")
	require.Greater(t, d.now, now+300)
}

// No push out of turn and no key held for good, whatever comes: time-outs, resets, cancels, clients that leave, snapshots,
// restarts.
func TestOrderWhateverComes(t *testing.T) {
	endings := []Ending{Answered, Failed, Rejected, TimedOut, NoConnection, Reset, Revoked, NotSent}
	rapid.Check(t, func(r *rapid.T) {
		n := New(inOrder(), 1000)
		now := 1000.0
		var backends []*Backend
		var lines []Listing
		for k := range 5 {
			backends = append(backends, &Backend{Ref: uint64(k)})
			lines = append(lines, Listing{Backend: backends[k], State: Ready, Weight: 1})
		}
		n.Listed(now, lines, true, true)
		var ops []*Op // taken, not over, in order
		rests := map[uint64]float64{}
		keeps := func(o *Op) bool { return o.Key != 0 && o.Category >= 2 }
		pull := func() {
			for {
				d, more := n.Next()
				if !more {
					break
				}
				if d.Kind != DoPush || !keeps(d.Op) {
					continue
				}
				for _, o := range ops {
					if o == d.Op {
						break
					}
					if keeps(o) && o.Key == d.Op.Key && !o.Over() {
						r.Fatalf("op %d sent before %d of its key was over", d.Op.Ref, o.Ref)
					}
				}
				if len(d.Op.Pushes) == 1 && now < rests[d.Op.Key] {
					r.Fatalf("op %d sent while its key rests until %v, at %v", d.Op.Ref, rests[d.Op.Key], now)
				}
			}
			kept := ops[:0]
			for _, o := range ops {
				if !o.Over() {
					kept = append(kept, o)
				}
			}
			ops = kept
		}
		end := func(o *Op, how Ending) {
			for _, p := range o.Pushes {
				if p.out {
					if keeps(o) && (how == TimedOut || how == Reset || how == Revoked) {
						rests[o.Key] = now + settle
					}
					n.Ended(now, p, how, now-p.SentAt, how == Answered || o.stage == ended)
					return
				}
			}
		}
		one := func() *Op { return ops[rapid.IntRange(0, len(ops)-1).Draw(r, "op")] }
		for k := range rapid.IntRange(1, 80).Draw(r, "steps") {
			now += rapid.SampledFrom([]float64{0, 5, 50, 300}).Draw(r, "pass")
			n.Due(now)
			pull()
			switch step := rapid.IntRange(0, 9).Draw(r, "step"); {
			case step < 4 || len(ops) == 0:
				o := &Op{Ref: uint64(k), Category: rapid.IntRange(0, 3).Draw(r, "category"), Hint: 20, HasHint: true, GiveUp: now + 2000,
					Key: uint64(rapid.IntRange(0, 2).Draw(r, "key"))}
				ops = append(ops, o)
				n.Arrived(now, o)
			case step < 8:
				end(one(), rapid.SampledFrom(endings).Draw(r, "how"))
			case step == 8:
				n.Left(now, one())
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
			for _, o := range append([]*Op{}, ops...) {
				end(o, TimedOut)
			}
			now += 50
			n.Due(now)
			pull()
		}
		now += settle + 1
		n.Due(now)
		pull()
		if len(n.lines) > 0 {
			r.Fatalf("%d keys are held for good", len(n.lines))
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
		d.node.Ended(d.now, op.Pushes[0], TimedOut, 10, true)
	}
	s, err := d.node.Carried(d.backends)
	require.NoError(t, err)
	n, _, backends, err := Restore(inOrder(), s)
	require.NoError(t, err)
	next := &desk{t: t, node: n, now: d.now, backends: backends, ops: map[string]*Op{}}
	next.list(Ready, 0, backends...)
	for _, name := range []string{"nine", "five"} {
		next.about(map[string]uint64{"nine": 9, "five": 5}[name], name, 2)
	}
	require.NotContains(t, next.pull(), "push")
	require.Contains(t, next.after(settle-29).pull(), "push:nine")
	require.Contains(t, next.after(11).pull(), "push:five")
	next.after(settle).pull()
	require.Empty(t, next.node.lines[7])
}
