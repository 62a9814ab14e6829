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
	node     *Balancer
	now      float64
	backends []*Backend
	ops      map[string]*Request
	events   []Event // to be logged, pulled so far
}

// plain is a deployment with a category of each kind: 0 redeliverable, 1 at-most-once, 2 deduplicated in a zone,
// 3 deduplicated everywhere.
func plain() *Config {
	t := &Config{Seed: 7, Nodes: 1, MaxAttempts: 3, AllowHedging: true, CancelAttempts: true, SendRetryAfter: true, MaxRetryAfter: 2000,
		PollInterval: 10e3, SlowStartShare: 0.25, SlowStartWindow: 10e3, OverloadMultiple: 3, OverloadWindow: 2000}
	for _, c := range []Class{{Idempotency: Idempotent}, {Idempotency: AtMostOnce},
		{Idempotency: IdempotentWithKey, DedupScope: DedupByZone, DedupWindow: 500}, {Idempotency: IdempotentWithKey, DedupWindow: 500}} {
		c.LatencyObjective, c.PriorityWeight, c.LateWeight = 1000, 1, 0.5
		t.Classes = append(t.Classes, c)
	}
	return t
}

// sit starts a node at 1000 ms with as many ready, warm backends.
func sit(t *testing.T, terms *Config, backends int) *desk {
	d := &desk{t: t, now: 1000, ops: map[string]*Request{}}
	d.node = New(terms, d.now)
	for k := range backends {
		d.backends = append(d.backends, &Backend{ID: uint64(k)})
	}
	d.list(BackendReady, 0, d.backends...)
	d.pull()
	return d
}

func (d *desk) list(state BackendState, started float64, backends ...*Backend) {
	var lines []Endpoint
	for _, b := range backends {
		lines = append(lines, Endpoint{Backend: b, State: state, Zone: b.Zone, Cell: b.Cell, Kind: b.Kind,
			Weight: 1, Started: started})
	}
	d.node.EndpointsChanged(d.now, lines, false, false)
}

func (d *desk) arrive(name string, category int, hint float64) *Request {
	op := &Request{Class: category, CostHint: hint, HasCostHint: hint != 0, Deadline: d.now + 4000}
	d.ops[name] = op
	d.node.RequestArrived(d.now, op)
	return op
}

// seen makes the node know hints from 1 to 100, so that the cutoff is 96.
func (d *desk) seen() {
	for k := range 100 {
		d.node.cutoff.add(float64(k + 1))
	}
	d.node.estimates.work = runningMean{50, 50}
}

func (d *desk) end(p *Attempt, how Outcome) {
	require.True(d.t, p.inFlight)
	d.node.AttemptEnded(d.now, p, how, d.now-p.SentAt, how == OutcomeAnswered)
}

func (d *desk) fail(times int, how Outcome, backends ...*Backend) {
	for k := range times * len(backends) {
		d.end(d.busy(backends[k/times]), how)
	}
}

func (d *desk) after(ms float64) *desk {
	d.now += ms
	d.node.TimerFired(d.now)
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
		case DoAttempt:
			words = append(words, fmt.Sprintf("push:%s", d.name(x.Request)))
		case DoReject:
			words = append(words, "nack:"+d.name(x.Request))
		case DoFail:
			words = append(words, "dead:"+d.name(x.Request))
		case DoCancel:
			words = append(words, "revoke:"+d.name(x.Request))
		case DoPoll:
			words = append(words, "watch")
		case DoLog:
			d.events = append(d.events, x.Event)
		}
	}
}

func (d *desk) name(op *Request) string {
	for name, o := range d.ops {
		if o == op {
			return name
		}
	}
	return "?"
}

// busy puts a short of its own on a backend.
func (d *desk) busy(b *Backend) *Attempt {
	op := &Request{Class: 0, CostHint: 10, HasCostHint: true, Deadline: d.now + 4000, ArrivedAt: d.now}
	op.class, op.work, op.Config = &d.node.config.Classes[0], 10, d.node.config
	require.True(d.t, d.node.sendAttempt(op, b))
	d.pull()
	return op.Attempts[0]
}
