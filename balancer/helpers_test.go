package balancer

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// desk is a node with a few backends a test can talk to.
type desk struct {
	t        *testing.T
	node     *Node
	now      float64
	backends []*Backend
	ops      map[string]*Op
	texts    []string // log lines pulled so far
}

// plain is a deployment with a category of each kind: 0 redeliverable, 1 at-most-once, 2 deduplicated in a zone,
// 3 deduplicated everywhere.
func plain() *Terms {
	t := &Terms{Seed: 7, Nodes: 1, MaxPushes: 3, SecondCopies: true, Cancel: true, ComeBack: true, MaxComeBack: 2000,
		AskWithin: 10e3, ColdFrom: 0.25, WarmWithin: 10e3, FallMultiple: 3, OverloadFor: 2000}
	for _, c := range []Category{{Effect: Redeliverable}, {Effect: AtMostOnce},
		{Effect: Deduplicated, Group: GroupZone, Remembered: 500}, {Effect: Deduplicated, Remembered: 500}} {
		c.TargetLatency, c.Benefit, c.LateBenefit = 1000, 1, 0.5
		t.Categories = append(t.Categories, c)
	}
	return t
}

// sit starts a node at 1000 ms with as many ready, warm backends.
func sit(t *testing.T, terms *Terms, backends int) *desk {
	d := &desk{t: t, now: 1000, ops: map[string]*Op{}}
	d.node = New(terms, d.now)
	for k := range backends {
		d.backends = append(d.backends, &Backend{Ref: uint64(k)})
	}
	d.list(Ready, 0, d.backends...)
	d.pull()
	return d
}

func (d *desk) list(state State, started float64, backends ...*Backend) {
	var lines []Listing
	for _, b := range backends {
		lines = append(lines, Listing{Backend: b, State: state, Zone: b.Zone, Cell: b.Cell, Kind: b.Kind,
			Weight: 1, Started: started})
	}
	d.node.Listed(d.now, lines, false, false)
}

func (d *desk) arrive(name string, category int, hint float64) *Op {
	op := &Op{Category: category, Hint: hint, HasHint: hint != 0, GiveUp: d.now + 4000}
	d.ops[name] = op
	d.node.Arrived(d.now, op)
	return op
}

// seen makes the node know hints from 1 to 100, so that the cutoff is 96.
func (d *desk) seen() {
	for k := range 100 {
		d.node.cutoff.add(float64(k + 1))
	}
	d.node.work = mean{50, 50}
}

func (d *desk) end(p *Push, how Ending) {
	require.True(d.t, p.out)
	d.node.Ended(d.now, p, how, d.now-p.SentAt, how == Answered)
}

func (d *desk) fail(times int, how Ending, backends ...*Backend) {
	for k := range times * len(backends) {
		d.end(d.busy(backends[k/times]), how)
	}
}

func (d *desk) after(ms float64) *desk {
	d.now += ms
	d.node.Due(d.now)
	return d
}

// pull takes all decisions there are and writes them as words, timers left out.
func (d *desk) pull() string {
	var words []string
	for n := 0; ; n++ {
		require.Less(d.t, n, 10000, "decisions without end")
		x, more := d.node.Next()
		if !more {
			return strings.Join(words, " ")
		}
		switch x.Kind {
		case DoPush:
			words = append(words, fmt.Sprintf("push:%s", d.name(x.Op)))
		case DoNack:
			words = append(words, "nack:"+d.name(x.Op))
		case DoDeadLetter:
			words = append(words, "dead:"+d.name(x.Op))
		case DoRevoke:
			words = append(words, "revoke:"+d.name(x.Op))
		case DoWatch:
			words = append(words, "watch")
		case DoLog:
			d.texts = append(d.texts, x.Text)
		}
	}
}

func (d *desk) name(op *Op) string {
	for name, o := range d.ops {
		if o == op {
			return name
		}
	}
	return "?"
}

// busy puts a short of its own on a backend.
func (d *desk) busy(b *Backend) *Push {
	op := &Op{Category: 0, Hint: 10, HasHint: true, GiveUp: d.now + 4000, Arrived: d.now}
	op.cat, op.work, op.Under = &d.node.t.Categories[0], 10, d.node.t
	require.True(d.t, d.node.send(op, b))
	d.pull()
	return op.Pushes[0]
}
