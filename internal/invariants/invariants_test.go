package invariants

import (
	"fmt"
	"math"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"pearknot/balancer"
)

const (
	any0 = iota // redeliverable
	once
	zoned // deduplicated within a zone
	everywhere
)

func terms() Config {
	return Config{MaxAttempts: 3, AllowHedging: true, DrainGrace: 500, ColdCapacity: 0.25, WarmUp: 8000, OverloadFactor: 4,
		OverloadWindow: 2000, MeanWork: 20, Classes: []balancer.Class{
			{}, {Idempotency: balancer.AtMostOnce},
			{Idempotency: balancer.IdempotentWithKey, DedupScope: balancer.DedupByZone, DedupWindow: 300},
			{Idempotency: balancer.IdempotentWithKey, DedupScope: balancer.DedupByAll, DedupWindow: 300}}}
}

// host is a stream of events as a host would tell them: backends 1 and 2 in zone 0, 3 in zone 1, all long warm.
type host struct {
	*Auditor
	now  float64
	open []uint64 // ops that leave at the end, where they are not answered
}

func newHost(t Config) *host {
	h := &host{Auditor: New(t), now: 10e3}
	for b, zone := range []int{0, 0, 0, 1} {
		h.at(0, Event{Kind: BackendStarted, Backend: b, Zone: zone, Cell: b, Speed: 1})
	}
	return h
}

func (h *host) at(after float64, e Event) *host {
	h.now += after
	e.At = h.now
	h.Record(e)
	return h
}

func (h *host) take(op uint64, category int) *host {
	return h.at(0, Event{Kind: RequestAccepted, Request: op, Class: category, Deadline: h.now + 1000})
}

// about takes an op of a category that keeps order, and answers whatever is left open.
func (h *host) about(op, key uint64) *host {
	h.t.Classes = append(h.t.Classes[:0:0], h.t.Classes...)
	h.t.Classes[everywhere].Ordered, h.t.KeyCooldown = true, 200
	h.at(0, Event{Kind: RequestAccepted, Request: op, Class: everywhere, Key: key, Deadline: h.now + 1000})
	h.open = append(h.open, op)
	return h
}

func (h *host) push(after float64, op uint64, number, backend int) *host {
	return h.at(after, Event{Kind: AttemptStarted, Request: op, Attempt: number, Backend: backend, Work: 10})
}

func (h *host) end(after float64, op uint64, number int, how balancer.Outcome) *host {
	return h.at(after, Event{Kind: AttemptEnded, Request: op, Attempt: number, Outcome: how})
}

func (h *host) final(after float64, op uint64, f Answer) *host {
	return h.at(after, Event{Kind: RequestAnswered, Request: op, Answer: f, Attempt: AnyAttempt})
}

func (h *host) told(after float64, node, backend int, s balancer.BackendState) *host {
	return h.at(after, Event{Kind: EndpointNotified, Node: node, Backend: backend, State: s})
}

func (h *host) done() [7]int {
	for _, op := range h.open {
		h.at(0, Event{Kind: ClientGone, Request: op})
	}
	h.now += 1e5
	h.Finish(h.now)
	return h.counts
}

// Each faulty host breaks one rule in the way that tempts; its sound twin has the same shape and breaks none.
func TestFaultyHosts(t *testing.T) {
	flood := func(h *host, nodes int, each float64, told bool) {
		start := h.now
		h.at(0, Event{Kind: BackendStarted, Backend: 1, Started: h.now, Speed: 1})
		for n := range nodes {
			op := uint64(n + 1)
			if told {
				h.at(0, Event{Kind: EndpointNotified, Node: n, Backend: 1, State: balancer.BackendReady, Started: start})
			}
			h.take(op, any0).at(0.01, Event{Kind: AttemptStarted, Request: op, Node: n, Backend: 1, Work: each})
			h.end(0, op, 0, balancer.OutcomeAnswered).final(0, op, Served)
		}
	}
	for _, c := range []struct {
		name   string
		rule   Rule
		faulty func(*host)
		sound  func(*host)
	}{
		{"answer late", NoRequestLost,
			func(h *host) {
				h.take(1, any0).push(0, 1, 0, 1).end(1001, 1, 0, balancer.OutcomeTimedOut).final(0, 1, Rejected)
			},
			func(h *host) {
				h.take(1, any0).push(0, 1, 0, 1).end(999, 1, 0, balancer.OutcomeTimedOut).final(0, 1, Rejected)
			}},
		{"no answer", NoRequestLost,
			func(h *host) { h.take(1, any0).push(0, 1, 0, 1).end(5, 1, 0, balancer.OutcomeAnswered) },
			func(h *host) { h.take(1, any0).push(0, 1, 0, 1).at(5, Event{Kind: ClientGone, Request: 1}) }},
		{"pushed out of turn", KeyOrder,
			func(h *host) { h.about(1, 7).about(2, 7).push(0, 2, 0, 1).at(5, Event{Kind: ClientGone, Request: 1}) },
			func(h *host) { h.about(1, 7).about(2, 8).push(0, 2, 0, 1).at(5, Event{Kind: ClientGone, Request: 1}) }},
		{"pushed while an answered op still has a push out", KeyOrder,
			func(h *host) { h.about(1, 7).push(0, 1, 0, 1).final(5, 1, Rejected).about(2, 7).push(0, 2, 0, 1) },
			func(h *host) {
				h.about(1, 7).push(0, 1, 0, 1).final(5, 1, Rejected).end(0, 1, 0, balancer.OutcomeFailed).about(2, 7).push(0, 2, 0, 1)
			}},
		{"pushed before the key has rested", KeyOrder,
			func(h *host) {
				h.about(1, 7).push(0, 1, 0, 1).end(5, 1, 0, balancer.OutcomeTimedOut).final(0, 1, Rejected).about(2, 7).push(199, 2, 0, 1)
			},
			func(h *host) {
				h.about(1, 7).push(0, 1, 0, 1).end(5, 1, 0, balancer.OutcomeTimedOut).final(0, 1, Rejected).about(2, 7).push(200, 2, 0, 1)
			}},
		{"the key's rest is for the ops after it", KeyOrder,
			func(h *host) {
				h.about(1, 7).push(0, 1, 0, 1).end(5, 1, 0, balancer.OutcomeConnectionReset).final(0, 1, Rejected).about(2, 7).push(50, 2, 0, 1)
			},
			func(h *host) {
				h.about(1, 7).push(0, 1, 0, 1).end(5, 1, 0, balancer.OutcomeConnectionReset).push(50, 1, 1, 2)
			}},
		{"node killed elsewhere", NoRequestLost,
			func(h *host) { h.take(1, any0).at(5, Event{Kind: NodeKilled, Node: 1}) },
			func(h *host) { h.take(1, any0).at(5, Event{Kind: NodeKilled, Node: 0}) }},
		{"two answers", NoRequestLost,
			func(h *host) {
				h.take(1, any0).push(0, 1, 0, 1).end(5, 1, 0, balancer.OutcomeAnswered).final(0, 1, Served).final(3, 1, Rejected)
			},
			func(h *host) {
				h.take(1, any0).push(0, 1, 0, 1).end(5, 1, 0, balancer.OutcomeAnswered).final(0, 1, Served).take(2, any0).final(3, 2, Rejected)
			}},
		{"answer made up", NoRequestLost,
			func(h *host) {
				h.take(1, any0).push(0, 1, 0, 1).end(5, 1, 0, balancer.OutcomeFailed).final(0, 1, Served)
			},
			func(h *host) {
				h.take(1, any0).push(0, 1, 0, 1).end(5, 1, 0, balancer.OutcomeAnswered).final(0, 1, Served)
			}},
		{"sat on until near the TTL", NoRequestLost,
			func(h *host) {
				h.take(1, any0).push(0, 1, 0, 1).end(5, 1, 0, balancer.OutcomeRejected).final(980, 1, Rejected)
			},
			func(h *host) {
				h.take(1, any0).push(0, 1, 0, 1).end(975, 1, 0, balancer.OutcomeTimedOut).final(5, 1, Rejected)
			}},
		{"pushed after the answer", NoRequestLost,
			func(h *host) {
				h.take(1, any0).push(0, 1, 0, 1).end(5, 1, 0, balancer.OutcomeFailed).final(0, 1, Rejected).push(1, 1, 1, 2)
			},
			func(h *host) {
				h.take(1, any0).push(0, 1, 0, 1).end(5, 1, 0, balancer.OutcomeFailed).push(1, 1, 1, 2).final(1, 1, Rejected)
			}},
		{"pushed after the TTL", NoRequestLost,
			func(h *host) { h.take(1, any0).at(990, Event{Kind: ClientGone, Request: 1}).push(20, 1, 0, 1) },
			func(h *host) { h.take(1, any0).at(90, Event{Kind: ClientGone, Request: 1}).push(1, 1, 0, 1) }},
		{"at-most-once sent again after a reset", NoEffectTwice,
			func(h *host) {
				h.take(1, once).push(0, 1, 0, 1).end(5, 1, 0, balancer.OutcomeConnectionReset).push(0, 1, 1, 2).end(5, 1, 1, balancer.OutcomeAnswered).final(0, 1, Served)
			},
			func(h *host) {
				h.take(1, once).push(0, 1, 0, 1).end(5, 1, 0, balancer.OutcomeConnectFailed).push(0, 1, 1, 2).end(5, 1, 1, balancer.OutcomeAnswered).final(0, 1, Served)
			}},
		{"at-most-once copied while out", NoEffectTwice,
			func(h *host) { h.take(1, once).push(0, 1, 0, 1).push(100, 1, 1, 2).final(100, 1, Failed) },
			func(h *host) { h.take(1, any0).push(0, 1, 0, 1).push(100, 1, 1, 2).final(100, 1, Failed) }},
		{"at-most-once ran twice, whatever was proven", NoEffectTwice,
			func(h *host) {
				h.take(1, once).push(0, 1, 0, 1).at(0, Event{Kind: AttemptRan, Request: 1}).end(5, 1, 0, balancer.OutcomeRejected)
				h.push(0, 1, 1, 2).at(0, Event{Kind: AttemptRan, Request: 1, Attempt: 1}).end(5, 1, 1, balancer.OutcomeAnswered).final(0, 1, Served)
			},
			func(h *host) {
				h.take(1, once).push(0, 1, 0, 1).end(5, 1, 0, balancer.OutcomeRejected)
				h.push(0, 1, 1, 2).at(0, Event{Kind: AttemptRan, Request: 1, Attempt: 1}).end(5, 1, 1, balancer.OutcomeAnswered).final(0, 1, Served)
			}},
		{"nack after a push that may have run", NoEffectTwice,
			func(h *host) {
				h.take(1, once).push(0, 1, 0, 1).end(5, 1, 0, balancer.OutcomeConnectionReset).final(0, 1, Rejected)
			},
			func(h *host) {
				h.take(1, once).push(0, 1, 0, 1).end(5, 1, 0, balancer.OutcomeConnectionReset).final(0, 1, Failed)
			}},
		{"nack while a push is out", NoEffectTwice,
			func(h *host) { h.take(1, zoned).push(0, 1, 0, 1).final(5, 1, Rejected) },
			func(h *host) { h.take(1, everywhere).push(0, 1, 0, 1).final(5, 1, Rejected) }},
		{"deduplicated outside its group", NoEffectTwice,
			func(h *host) { h.take(1, zoned).push(0, 1, 0, 1).push(50, 1, 1, 3).final(1, 1, Failed) },
			func(h *host) { h.take(1, zoned).push(0, 1, 0, 1).push(50, 1, 1, 2).final(1, 1, Failed) }},
		{"deduplicated and forgotten", NoEffectTwice,
			func(h *host) { h.take(1, everywhere).push(0, 1, 0, 1).push(300, 1, 1, 3).final(1, 1, Rejected) },
			func(h *host) { h.take(1, everywhere).push(0, 1, 0, 1).push(299, 1, 1, 3).final(1, 1, Rejected) }},
		{"one push too many", NoEffectTwice,
			func(h *host) {
				h.take(1, any0).push(0, 1, 0, 1).push(1, 1, 1, 2).push(1, 1, 2, 3).push(1, 1, 3, 0).final(1, 1, Rejected)
			},
			func(h *host) {
				h.take(1, any0).push(0, 1, 0, 1).push(1, 1, 1, 2).push(1, 1, 2, 3).final(1, 1, Rejected)
			}},
		{"past the drain grace", DrainRespected,
			func(h *host) {
				h.told(0, 0, 1, balancer.BackendDraining).take(1, any0).push(501, 1, 0, 1).final(0, 1, Failed)
			},
			func(h *host) {
				h.told(0, 0, 1, balancer.BackendDraining).take(1, any0).push(499, 1, 0, 1).final(0, 1, Failed)
			}},
		{"told again is no new grace", DrainRespected,
			func(h *host) {
				h.told(0, 0, 1, balancer.BackendDraining).told(400, 0, 1, balancer.BackendRemoved).take(1, any0).push(200, 1, 0, 1).final(0, 1, Rejected)
			},
			func(h *host) {
				h.told(0, 0, 1, balancer.BackendDraining).told(400, 0, 1, balancer.BackendReady).take(1, any0).push(200, 1, 0, 1).final(0, 1, Rejected)
			}},
		{"a restarted node is told anew", DrainRespected,
			func(h *host) {
				h.told(0, 0, 1, balancer.BackendRemoved).take(1, any0).push(600, 1, 0, 1).final(0, 1, Rejected)
			},
			func(h *host) {
				h.told(0, 0, 1, balancer.BackendRemoved).at(1, Event{Kind: NodeKilled}).take(1, any0).push(600, 1, 0, 1).final(0, 1, Rejected)
			}},
		{"retired backend", DrainRespected,
			func(h *host) {
				h.at(0, Event{Kind: BackendRetired, Backend: 1}).take(1, any0).push(0, 1, 0, 1).final(0, 1, Rejected)
			},
			func(h *host) {
				h.at(0, Event{Kind: BackendRetired, Backend: 1}).take(1, any0).push(0, 1, 0, 2).final(0, 1, Rejected)
			}},
		// Cold, it stands 4 x 0.25 x 2000 = 2000 ms of work: a floor of one op of 30 ms for each node is no bound at all.
		{"each node within a floor of one", SlowStartPerNode,
			func(h *host) { flood(h, 100, 30, true) }, func(h *host) { flood(h, 100, 15, true) }},
		{"told of the start or not", SlowStartPerNode,
			func(h *host) { flood(h, 70, 30, true) }, func(h *host) { flood(h, 70, 30, false) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHost(terms())
			c.faulty(h)
			counts := h.done()
			assert.Positive(t, counts[c.rule], "not caught")
			require.NotEmpty(t, h.Violations())
			b := h.Violations()[0]
			assert.Equal(t, c.rule, b.Rule, b)
			assert.NotEmpty(t, b.Evidence)
			assert.Contains(t, h.Verdict(), "broken")
			h = newHost(terms())
			c.sound(h)
			assert.Equal(t, [7]int{}, h.done(), h.Violations())
			assert.Contains(t, h.Verdict(), "kept")
		})
	}
}

// The evidence is the chain of the op's events, oldest first, in words.
func TestEvidence(t *testing.T) {
	h := newHost(terms())
	h.take(7, once).push(0, 7, 0, 1).end(5, 7, 0, balancer.OutcomeConnectionReset).push(0, 7, 1, 2)
	require.Len(t, h.Violations(), 1)
	assert.Equal(t, `rule 2 (no effect twice) at 10005.0 ms: at-most-once op 7 pushed again, though push 0 may have run
    10000.0 op taken op 7 node 0 category 1 until 11000.0
    10000.0 push begun op 7 push 0 node 0 backend 1 work 10.0
    10005.0 push ended op 7 push 0 reset
    10005.0 push begun op 7 push 1 node 0 backend 2 work 10.0`, h.Violations()[0].String())
}

// A day of ops leaves nothing in memory but those whose time goes on, and a host gone mad no more than the bounds.
func TestBoundedMemory(t *testing.T) {
	h := newHost(terms())
	for k := range uint64(300_000) {
		h.take(k, int(k%4)).push(0.2, k, 0, int(k%4)).end(0.2, k, 0, balancer.OutcomeAnswered).final(0, k, Served)
		require.LessOrEqual(t, h.OpenRequests(), 2600)
	}
	assert.Equal(t, [7]int{}, h.done())
	assert.Zero(t, h.OpenRequests())
	assert.Empty(t, h.due)
	h.take(1, any0)
	for k := range 10_000 {
		h.push(0, 1, k, 1)
	}
	assert.Len(t, h.Violations(), mostKept)
	assert.LessOrEqual(t, len(h.ops[1].events), mostEvidence)
	assert.LessOrEqual(t, len(h.ops[1].pushes), mostEvidence+1)
	assert.Equal(t, 10_000-3, h.Count(NoEffectTwice))
}

// A host that keeps to the rules by a plain reading of them is never flagged, whatever happens to its pushes; with
// one thing done that the rules forbid, it always is.
func TestProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHost(terms())
		drained := map[int]bool{}
		n := rapid.IntRange(1, 12).Draw(t, "ops")
		spoilt := rapid.IntRange(0, n-1).Draw(t, "spoilt")
		fault := rapid.SampledFrom([]string{"", "twice", "never", "after", "again", "nack"}).Draw(t, "fault")
		done := 0
		for k := range n {
			id, category := uint64(k), rapid.IntRange(0, 3).Draw(t, "category")
			if rapid.Bool().Draw(t, "drain") {
				b := rapid.IntRange(1, 3).Draw(t, "which")
				drained[b] = true
				h.told(600, 0, b, balancer.BackendDraining)
			}
			h.take(id, category)
			mayHaveRun, acked, zone := false, false, -1
			zoneOf := func(b int) int { return b / 3 }
			for number := range 3 {
				b := rapid.IntRange(0, 3).Draw(t, "backend")
				if drained[b] || mayHaveRun && (category == once || category == zoned && zoneOf(b) != zone) {
					break
				}
				h.push(1, id, number, b)
				how := balancer.Outcome(rapid.IntRange(0, 7).Draw(t, "how"))
				h.end(rapid.Float64Range(0, 80).Draw(t, "ms"), id, number, how)
				if how == balancer.OutcomeAnswered {
					acked = true
					break
				}
				if !how.NeverRan() && !mayHaveRun {
					mayHaveRun, zone = true, zoneOf(b)
				}
			}
			hit := k == spoilt
			switch {
			case hit && fault == "never":
				done++
				continue
			case hit && fault == "again" && acked && category == once:
				h.push(0, id, 9, 0).final(0, id, Served)
				done++
				continue
			case hit && fault == "nack" && mayHaveRun && (category == once || category == zoned):
				h.final(0, id, Rejected)
				done++
				continue
			case acked:
				h.final(0, id, Served)
			case mayHaveRun && (category == once || category == zoned):
				h.final(0, id, Failed)
			default:
				h.final(0, id, Rejected)
			}
			if hit && fault == "twice" {
				h.final(1, id, Failed)
				done++
			}
			if hit && fault == "after" {
				h.push(1, id, 8, 0)
				done++
			}
		}
		h.done()
		if done > 0 && h.AllKept() {
			t.Fatalf("fault %q not caught", fault)
		}
		if done == 0 && !h.AllKept() {
			t.Fatalf("flagged without a fault: %v", h.Violations())
		}
	})
}

// An event that a host tells late turns no clock back, and an odd one is a breach or nothing, never a panic.
func TestOddEvents(t *testing.T) {
	h := newHost(terms())
	h.take(1, any0).take(1, any0)
	h.Record(Event{At: h.now, Kind: RequestAccepted, Request: 5, Class: 99})
	h.Record(Event{At: 1, Kind: AttemptEnded, Request: 77})
	h.Record(Event{At: 1, Kind: AttemptRan, Request: 77})
	h.Record(Event{At: 1, Kind: ClientGone, Request: 77})
	h.Record(Event{At: 1, Kind: 200})
	assert.Equal(t, 2, h.Count(NoRequestLost))
	assert.Equal(t, "1.0 kind 200", Event{At: 1, Kind: 200}.String())
	for k := range NodeKilled + 1 {
		assert.Contains(t, fmt.Sprint(Event{Kind: k}), k.String())
	}
}

func BenchmarkAuditor(b *testing.B) {
	h := newHost(terms())
	b.ReportAllocs()
	for k := range uint64(b.N) {
		h.take(k, int(k%4)).push(0.2, k, 0, int(k%4)).end(0.2, k, 0, balancer.OutcomeAnswered).final(0, k, Served)
	}
}

// A push that was sent just before the answer is seen just after it, where hosts see late; in virtual time, and beyond what
// is allowed for that, it is a breach.
func TestPushSeenLate(t *testing.T) {
	for _, c := range []struct {
		slack, after float64
		breach       int
	}{{0, 0, 1}, {0, 1, 1}, {50, 0.2, 0}, {50, 49, 0}, {50, 51, 1}} {
		told := terms()
		told.Tolerance = c.slack
		h := newHost(told)
		h.take(1, 0).push(0, 1, 0, 1).end(20, 1, 0, balancer.OutcomeAnswered).final(0, 1, Served).push(c.after, 1, 1, 2).end(10, 1, 1, balancer.OutcomeAnswered)
		assert.Equal(t, c.breach, h.done()[NoRequestLost], "%v", c)
	}
}

// Where removal does not bind, gone alone is no drain; what drained and then went is.
func TestGoneWithoutADrain(t *testing.T) {
	for binding, want := range map[bool]int{true: 1, false: 0} {
		rule := terms()
		rule.RemovalNotBinding = !binding
		h := newHost(rule)
		h.told(0, 0, 1, balancer.BackendRemoved).take(1, any0).push(600, 1, 0, 1).end(5, 1, 0, balancer.OutcomeAnswered).final(0, 1, Served)
		assert.Equal(t, want, h.done()[DrainRespected])
	}
	rule := terms()
	rule.RemovalNotBinding = true
	h := newHost(rule)
	h.told(0, 0, 1, balancer.BackendDraining).told(100, 0, 1, balancer.BackendRemoved).take(1, any0).push(600, 1, 0, 1).end(5, 1, 0, balancer.OutcomeAnswered).final(0, 1, Served)
	assert.Equal(t, 1, h.done()[DrainRespected])
}

// ramped is a backend's cold start with what nodes send it: times count from the start.
type ramped struct {
	*host
	from float64
	next uint64
}

func newRamp(speed float64) *ramped {
	r := &ramped{host: newHost(terms()), from: 10e3}
	return r.start(0, speed)
}

func (r *ramped) start(at, speed float64) *ramped {
	r.now, r.from = r.from+at, r.from+at
	r.at(0, Event{Kind: BackendStarted, Backend: 1, Started: r.now, Speed: speed})
	return r
}

func (r *ramped) tell(nodes int) *ramped {
	for n := range nodes {
		r.at(0, Event{Kind: EndpointNotified, Node: n, Backend: 1, State: balancer.BackendReady, Started: r.from})
	}
	return r
}

// send has nodes take turns at so many pushes of mean work.
func (r *ramped) send(at float64, first, nodes, pushes int) *ramped {
	return r.work(at, first, nodes, pushes, 20)
}

func (r *ramped) work(at float64, first, nodes, pushes int, each float64) *ramped {
	r.now = r.from + at
	for k := range pushes {
		r.next++
		r.at(0, Event{Kind: RequestAccepted, Request: r.next, Node: first + k%nodes, Deadline: r.now + 1e3})
		r.at(0, Event{Kind: AttemptStarted, Request: r.next, Node: first + k%nodes, Backend: 1, Work: each})
		r.at(0, Event{Kind: ClientGone, Request: r.next})
	}
	return r
}

// All nodes' pushes in one window against N + 2 x root of N + 2. N is 100 at the start, 175 after 2 s, 250 after 4 s; at twenty and at
// thirty nodes alike. Nodes from 0 on are told of the start, those from 50 on are not.
func TestRamp(t *testing.T) {
	for _, nodes := range []int{20, 30} {
		for _, c := range []struct {
			name string
			want int
			play func(r *ramped)
		}{
			{"right at the bound", 0, func(r *ramped) { r.send(0, 0, nodes, 122) }},
			{"just beyond it", 1, func(r *ramped) { r.send(0, 0, nodes, 123) }},
			{"one breach for each start", 1, func(r *ramped) { r.send(0, 0, nodes, 500).send(100, 0, nodes, 500) }},
			{"half way up, at the bound", 0, func(r *ramped) { r.send(4000, 0, nodes, 283) }},
			{"half way up, beyond it", 1, func(r *ramped) { r.send(4000, 0, nodes, 284) }},
			{"warm", 0, func(r *ramped) { r.send(8000, 0, nodes, 5000) }},
			{"a hair before", 1, func(r *ramped) { r.send(7999, 0, nodes, 5000) }},
			{"the window still holds the first", 1, func(r *ramped) { r.send(0, 0, nodes, 122).send(1999, 0, nodes, 82) }},
			{"and bears so many more", 0, func(r *ramped) { r.send(0, 0, nodes, 122).send(1999, 0, nodes, 81) }},
			{"it has slid past them", 0, func(r *ramped) { r.send(0, 0, nodes, 122).send(2000, 0, nodes, 203) }},
			{"across what even windows would part", 1, func(r *ramped) { r.send(500, 0, nodes, 80).send(1500, 0, nodes, 80).send(2400, 0, nodes, 80) }},
			{"as many, further apart", 0, func(r *ramped) { r.send(500, 0, nodes, 80).send(1500, 0, nodes, 80).send(2500, 0, nodes, 80) }},
			{"two thirds told", 0, func(r *ramped) { r.send(0, 50, nodes, 41).send(0, 0, nodes, 82) }},
			{"over two thirds", 1, func(r *ramped) { r.send(0, 50, nodes, 40).send(0, 0, nodes, 83) }},
			{"over two thirds, an untold one the last", 1, func(r *ramped) { r.send(0, 0, nodes, 83).send(0, 50, nodes, 40) }},
			{"told, and out of the window by then", 0, func(r *ramped) {
				r.send(0, 0, nodes, 122).send(1000, 0, nodes, 40).send(2000, 50, nodes, 164)
			}},
			{"not told, and out of the window by then", 1, func(r *ramped) { r.send(0, 50, nodes, 122).send(1000, 50, nodes, 1).send(2000, 0, nodes, 203) }},
			{"told of the start before", 0, func(r *ramped) { r.start(5, 1).send(0, 0, nodes, 123) }},
			{"told and killed since", 0, func(r *ramped) {
				for n := range nodes {
					r.at(0, Event{Kind: NodeKilled, Node: n})
				}
				r.send(0, 0, nodes, 123)
			}},
			{"killed once it has sent", 1, func(r *ramped) { r.send(0, 0, nodes, 122).at(0, Event{Kind: NodeKilled}); r.send(0, 1, nodes-1, 1) }},
			{"down by those who could not know", 0, func(r *ramped) { r.send(0, 50, nodes, 123).send(10, 0, nodes, 500) }},
			{"and up again", 1, func(r *ramped) { r.send(0, 50, nodes, 123).start(10, 1).tell(nodes).send(0, 0, nodes, 123) }},
			{"back cold, a window of its own", 0, func(r *ramped) { r.send(0, 0, nodes, 122).start(10, 1).tell(nodes).send(0, 0, nodes, 122) }},
			{"back cold, and beyond it", 1, func(r *ramped) { r.send(0, 0, nodes, 122).start(10, 1).tell(nodes).send(0, 0, nodes, 123) }},
			{"fallen at each of two starts", 2, func(r *ramped) { r.send(0, 0, nodes, 123).start(10, 1).tell(nodes).send(0, 0, nodes, 123) }},
			{"N of a quarter stands three", 0, func(r *ramped) { r.start(0, 0.0025).tell(nodes).send(0, 0, nodes, 3) }},
			{"and falls at four", 1, func(r *ramped) { r.start(0, 0.0025).tell(nodes).send(0, 0, nodes, 4) }},
			{"few heavy ones", 0, func(r *ramped) { r.work(0, 0, nodes, 10, 244) }},
			{"few heavier ones", 1, func(r *ramped) { r.work(0, 0, nodes, 10, 244.1) }},
			{"many light ones", 0, func(r *ramped) { r.work(0, 0, nodes, 2440, 1) }},
			{"one light one more", 1, func(r *ramped) { r.work(0, 0, nodes, 2441, 1) }},
		} {
			r := newRamp(1).tell(nodes)
			c.play(r)
			name := fmt.Sprintf("%s, %d nodes", c.name, nodes)
			assert.Equal(t, c.want, r.done()[SlowStartFleetwide], name)
			for _, b := range r.Violations() {
				if b.Rule == SlowStartFleetwide {
					assert.NotEmpty(t, b.Evidence, name)
					assert.Contains(t, b.String(), "rule 6 (ramps kept)", name)
					assert.Contains(t, r.Verdict(), fmt.Sprintf("ramps kept %d", c.want), name)
				}
			}
		}
	}
}

// Whatever is sent when and by whom, the sums are those that the whole history gives.
func TestRampIsTheSumOfTheWindow(t *testing.T) {
	type pushed struct {
		at, work float64
		told     bool
	}
	rapid.Check(t, func(t *rapid.T) {
		speed := rapid.SampledFrom([]float64{0.002, 0.05, 1}).Draw(t, "speed")
		toldOf := rapid.IntRange(0, 30).Draw(t, "told")
		r := newRamp(speed).tell(toldOf)
		var all []pushed
		at, want := 0.0, 0
		for range rapid.IntRange(0, 120).Draw(t, "pushes") {
			at += rapid.SampledFrom([]float64{0, 0, 1, 50, 400, 2000}).Draw(t, "after")
			node, work := rapid.IntRange(0, 29).Draw(t, "node"), float64(rapid.IntRange(1, 60).Draw(t, "work"))
			r.work(at, node, 1, 1, work)
			all = append(all, pushed{at, work, node < toldOf})
			if at >= 8000 {
				continue
			}
			sum, told := 0.0, 0.0
			for _, p := range all {
				if p.at > at-2000 {
					sum += p.work
					if p.told {
						told += p.work
					}
				}
			}
			n := 4 * (0.25 + 0.75*at/8000) * speed * 2000 / 20
			if sum/20 > n+2*math.Sqrt(n)+2 {
				if 3*told > 2*sum {
					want = 1
				} else {
					want = -1 // down, and nothing said
				}
				break
			}
		}
		if want != 0 {
			r.send(at, 0, 30, 500) // it is down: this changes nothing
		}
		if got := r.done()[SlowStartFleetwide]; got != max(want, 0) {
			t.Fatalf("%d breaches, %d by the whole history", got, want)
		}
	})
}
