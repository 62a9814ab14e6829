package balancer

import (
	"fmt"
	"math"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// What may follow a push of each category once it has ended, by rule 2.
func TestAfterAnEnding(t *testing.T) {
	const again, nack, dead = "push:a", "nack:a", "dead:a"
	for _, c := range []struct {
		category int
		how      Outcome
		backends int
		want     string
	}{
		{0, OutcomeFailed, 2, again}, {0, OutcomeFailed, 1, nack}, {0, OutcomeTimedOut, 2, again}, {0, OutcomeConnectionReset, 2, nack}, {0, OutcomeRejected, 2, again},
		{1, OutcomeFailed, 2, dead}, {1, OutcomeTimedOut, 2, dead}, {1, OutcomeConnectionReset, 2, dead}, {1, OutcomeCanceled, 2, dead},
		{1, OutcomeRejected, 2, again}, {1, OutcomeConnectFailed, 2, again}, {1, OutcomeNotSent, 2, again}, {1, OutcomeRejected, 1, nack},
		{2, OutcomeFailed, 2, again}, {2, OutcomeFailed, 1, dead}, {2, OutcomeRejected, 1, nack},
		{3, OutcomeFailed, 1, nack}, {3, OutcomeTimedOut, 2, again},
		{0, OutcomeAnswered, 2, ""}, {1, OutcomeAnswered, 2, ""},
	} {
		d := sit(t, plain(), c.backends)
		op := d.arrive("a", c.category, 10)
		require.Equal(t, again, d.pull())
		d.after(5).end(op.Attempts[0], c.how)
		assert.Equal(t, c.want, d.pull(), "%+v", c)
		assert.Equal(t, c.want != again, op.IsDone(), "%+v", c)
		if c.want != again {
			assert.Empty(t, d.after(5000).pull(), "after the final answer nothing is sent: %+v", c)
		}
	}
}

// The gate that every push passes.
func TestGate(t *testing.T) {
	for name, c := range map[string]struct {
		category int
		before   func(*desk, *Request)
		want     bool
	}{
		"open":                             {0, func(*desk, *Request) {}, true},
		"drain told":                       {0, func(d *desk, _ *Request) { d.list(BackendDraining, 0, d.backends[1]) }, false},
		"gone":                             {0, func(d *desk, _ *Request) { d.list(BackendRemoved, 0, d.backends[1]) }, false},
		"client gave up":                   {0, func(d *desk, _ *Request) { d.now += 4000; d.node.now = d.now }, false},
		"client left":                      {0, func(d *desk, op *Request) { d.node.ClientGone(d.now, op) }, false},
		"stream begun":                     {0, func(d *desk, op *Request) { d.node.ResponseStarted(d.now, op.Attempts[0]) }, false},
		"second copy not allowed":          {0, func(d *desk, _ *Request) { d.node.config.AllowHedging = false }, false},
		"pushes spent":                     {0, func(d *desk, _ *Request) { d.node.config.MaxAttempts = 1 }, false},
		"at-most-once, out":                {1, func(*desk, *Request) {}, false},
		"at-most-once, quick error":        {1, func(d *desk, op *Request) { d.end(op.Attempts[0], OutcomeFailed) }, false},
		"at-most-once, never ran":          {1, func(d *desk, op *Request) { d.end(op.Attempts[0], OutcomeRejected) }, true},
		"deduplicated, same group":         {2, func(*desk, *Request) {}, true},
		"deduplicated, other group":        {2, func(d *desk, _ *Request) { d.backends[1].Zone = 1 }, false},
		"deduplicated, forgotten":          {2, func(d *desk, _ *Request) { d.node.now += 500 }, false},
		"deduplicated, never ran":          {2, func(d *desk, op *Request) { d.end(op.Attempts[0], OutcomeConnectFailed); d.node.now += 600 }, true},
		"deduplicated all, any zone":       {3, func(d *desk, _ *Request) { d.backends[1].Zone = 1 }, true},
		"just started, budget left":        {0, func(d *desk, _ *Request) { d.list(BackendReady, d.now, d.backends[1]) }, true},
		"just started, budget spent":       {0, spendBudget, false},
		"budget spent, window over":        {0, func(d *desk, op *Request) { spendBudget(d, op); d.node.now += 2001 }, true},
		"budget spent before it restarted": {0, func(d *desk, op *Request) { d.backends[1].recentWork.add(d.now, 2000, 1e4); spendBudget(d, op) }, false},
	} {
		d := sit(t, plain(), 2)
		op := d.arrive("a", c.category, 10)
		op.Deadline = d.now + 3000
		d.pull()
		if op.Attempts[0].Backend != d.backends[0] {
			d.backends[0], d.backends[1] = d.backends[1], d.backends[0]
		}
		c.before(d, op)
		assert.Equal(t, c.want, d.node.checkRules(op, d.backends[1]) == Eligible, name)
		if !c.want {
			assert.False(t, d.node.sendAttempt(op, d.backends[1]), name)
		}
	}
}

func spendBudget(d *desk, _ *Request) {
	d.list(BackendReady, d.now, d.backends[1])
	for range 1000 {
		d.node.sendAttempt(&Request{Config: d.node.config, Deadline: d.now + 4000, class: &d.node.config.Classes[0], work: 10}, d.backends[1])
	}
}

// A burst in a cold backend's first second, and every window after it, stays within this node's part.
func TestColdBudgetInEveryWindow(t *testing.T) {
	for _, nodes := range []int{1, 3} {
		terms := plain()
		terms.Nodes = nodes
		d := sit(t, terms, 1)
		b := d.backends[0]
		d.list(BackendReady, d.now, b)
		type at struct{ when, work float64 }
		var sent []at
		for range 5000 {
			op := &Request{Config: terms, Deadline: d.now + 4000, class: &terms.Classes[0], work: 10}
			if d.node.sendAttempt(op, b) {
				sent = append(sent, at{d.now, op.work})
				d.pull()
				d.end(op.Attempts[0], OutcomeAnswered)
			}
			d.after(2).pull()
		}
		require.NotEmpty(t, sent)
		for i, first := range sent {
			sum := 0.0
			for _, s := range sent[i:] {
				if s.when < first.when+terms.OverloadWindow && s.when < 1000+terms.SlowStartWindow {
					sum += s.work
				}
			}
			// A backend of one standard core, with what it has by the window's end.
			warm := math.Min(1, 0.25+0.75*(first.when+terms.OverloadWindow-1000)/terms.SlowStartWindow)
			assert.LessOrEqual(t, sum, 3*warm*terms.OverloadWindow/float64(nodes))
		}
	}
}

func TestShortAndLong(t *testing.T) {
	for name, c := range map[string]struct {
		hints int
		hint  float64
		long  bool
	}{
		"under the cutoff": {100, 96, false}, "above": {100, 97, true}, "too few hints": {49, 1e6, false},
		"no hint": {100, 0, false}, "not a number": {100, math.NaN(), false}, "endless": {100, math.Inf(1), false},
		"negative": {100, -5, false},
	} {
		d := sit(t, plain(), 2)
		for k := range c.hints {
			d.node.cutoff.add(float64(k + 1))
		}
		assert.Equal(t, c.long, d.arrive("a", 0, c.hint).isLong, name)
	}
}

// Constant hints, none, and hints that say nothing leave plain rotation: no jam of held ops.
func TestBrokenHintsRotate(t *testing.T) {
	for name, hint := range map[string]func(int) float64{
		"constant": func(int) float64 { return 20 }, "none": func(int) float64 { return 0 },
		"unrelated": func(k int) float64 { return float64(k*7919%997) + 1 },
	} {
		d := sit(t, plain(), 4)
		count := map[*Backend]int{}
		for k := range 400 {
			op := d.arrive(fmt.Sprint(k), 0, hint(k))
			d.pull()
			require.NotEmpty(t, op.Attempts, name)
			count[op.Attempts[0].Backend]++
			d.after(20).end(op.Attempts[0], OutcomeAnswered)
			d.pull()
			d.after(20).pull()
		}
		for _, b := range d.backends {
			assert.InDelta(t, 100, count[b], 90, name) // turns go by waits, which odd hints make up
		}
		assert.Empty(t, d.node.queue.requests, name)
	}
}

// Longs wait for a backend without own work; the smallest estimate goes first.
func TestHeldLongs(t *testing.T) {
	d := sit(t, plain(), 1)
	d.seen()
	p := d.busy(d.backends[0])
	d.arrive("large", 0, 120)
	assert.Empty(t, d.pull())
	d.after(10)
	d.arrive("small", 0, 100)
	assert.Empty(t, d.pull())
	d.end(p, OutcomeAnswered)
	assert.Equal(t, "push:small", d.pull(), "one long, the smaller, to the backend that turned idle")
	d.arrive("short", 0, 10)
	assert.Equal(t, "push:short", d.pull(), "where all run a long, the least loaded takes shorts")
}

func TestRotationPassesLongsAndLoad(t *testing.T) {
	d := sit(t, plain(), 3)
	d.seen()
	long := d.arrive("long", 0, 200)
	require.Equal(t, "push:long", d.pull())
	loaded := d.backends[0]
	if long.Attempts[0].Backend == loaded {
		loaded = d.backends[1]
	}
	d.busy(loaded)
	short := d.arrive("short", 0, 10)
	d.pull()
	assert.NotEqual(t, long.Attempts[0].Backend, short.Attempts[0].Backend, "passes a backend with an own long")
	assert.NotEqual(t, loaded, short.Attempts[0].Backend, "passes a backend above the margin")
}

// Waiting lowers an estimate: an old large op goes before a new one that is little smaller.
func TestWaitingLowersTheEstimate(t *testing.T) {
	d := sit(t, plain(), 1)
	d.seen()
	first := d.arrive("first", 0, 90)
	d.pull()
	d.arrive("old", 0, 160)
	d.pull()
	d.after(100).pull()
	d.arrive("new", 0, 150)
	d.pull()
	d.end(first.Attempts[0], OutcomeAnswered)
	assert.Equal(t, "push:old", d.pull())
}

func TestLateSend(t *testing.T) {
	d := sit(t, plain(), 1)
	d.seen()
	d.busy(d.backends[0])
	d.arrive("a", 1, 200)
	assert.Empty(t, d.pull())
	assert.NotContains(t, d.after(740).pull(), "push:a")
	assert.Contains(t, d.after(10).pull(), "push:a", "at a quarter of its time left")
}

// A short that finds all backends with their most out waits for room; one that would wait too long is nacked.
func TestShortsHeldAndNacked(t *testing.T) {
	d := sit(t, plain(), 1)
	var out []*Attempt
	for !d.node.isAtCapacity(d.backends[0]) {
		out = append(out, d.busy(d.backends[0]))
	}
	d.arrive("a", 0, 10)
	assert.Empty(t, d.pull())
	d.after(5).end(out[0], OutcomeAnswered)
	assert.Equal(t, "push:a", d.pull())
	d.arrive("b", 0, 9000)
	assert.Equal(t, "nack:b", d.pull(), "no hope: at once")
}

func TestDistrust(t *testing.T) {
	for name, c := range map[string]struct {
		trouble func(*desk, *Backend)
		shunned bool
	}{
		"errors":        {func(d *desk, b *Backend) { d.fail(3, OutcomeFailed, b) }, true},
		"no connection": {func(d *desk, b *Backend) { d.fail(3, OutcomeConnectFailed, b) }, true},
		"silence": {func(d *desk, b *Backend) {
			for range 4 {
				d.busy(b)
			}
			d.after(900)
		}, true},
		"rejections are load": {func(d *desk, b *Backend) { d.fail(1, OutcomeRejected, b) }, false},
		"fades":               {func(d *desk, b *Backend) { d.fail(2, OutcomeFailed, b); d.after(20e3) }, false},
		"a lost zone, half the fleet": {func(d *desk, _ *Backend) {
			d.node.retries.tokens = -100 // no further pushes, which would stay unanswered here
			d.fail(3, OutcomeConnectFailed, d.backends[:2]...)
			d.after(200)
		}, true},
		"all alike": {func(d *desk, _ *Backend) { d.fail(3, OutcomeFailed, d.backends...); d.after(200) }, false},
	} {
		d := sit(t, plain(), 4)
		b := d.backends[0]
		c.trouble(d, b)
		d.pull()
		assert.Equal(t, c.shunned, d.node.suspicionOf(b) >= ejectionThreshold, name)
		if c.shunned {
			require.NotEmpty(t, d.events, name)
			assert.Equal(t, EventBackendEjected, d.events[0].Kind, name)
			assert.Equal(t, b.ID, d.events[0].Backend, name)
		}
		for k := range 8 {
			op := d.arrive(fmt.Sprint(k), 0, 10)
			d.pull()
			for _, p := range op.Attempts {
				assert.False(t, c.shunned && p.Backend == b, name)
			}
		}
	}
}

// A backend that answers longs with quick errors turns idle at once, and must not draw every held long.
func TestQuickErrorsDrawNoLongs(t *testing.T) {
	for seed := range 20 {
		terms := plain()
		terms.Seed = uint64(seed)
		d := sit(t, terms, 3)
		d.seen()
		d.node.addSuspicion(d.backends[0], ejectionThreshold/2) // by one error; TestDistrust has where it comes from
		op := d.arrive("a", 0, 200)
		require.Equal(t, "push:a", d.pull())
		assert.NotEqual(t, d.backends[0], op.Attempts[0].Backend)
	}
}

// An overdue push brings a copy elsewhere, on a budget; the first answer calls the other off.
func TestOverduePushes(t *testing.T) {
	for _, c := range []struct {
		category int
		extra    float64
		want     string
	}{{0, 5, "push:a"}, {0, 0, ""}, {1, 5, ""}} {
		d := sit(t, plain(), 2)
		op := d.arrive("a", c.category, 10)
		d.pull()
		d.node.retries.tokens = c.extra
		assert.Equal(t, c.want, d.after(400).pull(), "%+v", c)
		if c.want != "" {
			assert.NotEqual(t, op.Attempts[0].Backend, op.Attempts[1].Backend)
			d.end(op.Attempts[1], OutcomeAnswered)
			assert.Equal(t, "revoke:a", d.pull())
			d.end(op.Attempts[0], OutcomeCanceled)
			assert.True(t, op.IsDone())
		}
	}
}

// A connection that falls silent, or an answer that stops short, is not its backend's silence: what later answers have
// overtaken blames nobody, and keeps no room, drain or long from the others.
func TestOvertakenPushes(t *testing.T) {
	for name, answered := range map[string]float64{"never": 0, "before it is overdue": 1, "after": 450} {
		d := sit(t, plain(), 1)
		d.seen()
		b := d.backends[0]
		b.maxInFlight = 2
		op := d.arrive("lost", 1, 10)
		require.Equal(t, "push:lost", d.pull(), name)
		d.after(answered).pull()
		if answered > 0 {
			d.end(d.busy(b), OutcomeAnswered)
		}
		d.after(500).pull()
		assert.Equal(t, answered == 0, len(b.inFlight) == 1, name)
		before := b.suspicion.get(d.now, suspicionHalfLife)
		assert.Equal(t, answered == 1, before == 0, name)
		d.end(op.Attempts[0], OutcomeTimedOut)
		assert.Equal(t, answered == 0, b.suspicion.get(d.now, suspicionHalfLife) > before, name)
		assert.Empty(t, b.inFlight, name)
		assert.Zero(t, b.workInFlight, name)
	}
}

// A rejecting backend answers quickly; without a rest it would draw ever more.
func TestRejectingBackendRests(t *testing.T) {
	d := sit(t, plain(), 2)
	d.seen()
	d.fail(1, OutcomeRejected, d.backends[0])
	assert.True(t, d.node.isAtCapacity(d.backends[0]))
	assert.False(t, d.after(d.backends[0].pausedUntil-d.now).node.isAtCapacity(d.backends[0]))
}

func TestZones(t *testing.T) {
	for lost, name := range map[bool]string{false: "own zone first", true: "own zone lost"} {
		terms := plain()
		terms.CrossZoneCost, terms.Zone = 0.2, 1
		d := sit(t, terms, 4)
		d.backends[1].Zone, d.backends[3].Zone = 1, 1
		d.list(BackendReady, 0, d.backends...)
		if lost {
			d.list(BackendRemoved, 0, d.backends[1], d.backends[3])
		}
		for range 6 {
			op := d.arrive("a", 0, 10)
			d.pull()
			require.NotEmpty(t, op.Attempts, name)
			assert.Equal(t, lost, op.Attempts[0].Backend.Zone != 1, name)
			d.after(10).end(op.Attempts[0], OutcomeAnswered)
		}
	}
}

// The list is asked for, again after failures with growing waits, and not once it is followed.
func TestAskingForTheList(t *testing.T) {
	terms := plain()
	terms.PollEndpoints = true
	d := &desk{t: t, now: 1000, ops: map[string]*Request{}, node: New(terms, 1000)}
	assert.Empty(t, d.pull(), "not in the first instant: nodes restarted together spread their calls")
	assert.Equal(t, "watch", d.after(200).pull())
	last := 0.0
	for range 4 {
		d.node.PollFailed(d.now)
		asked := d.now
		d.pull()
		for d.after(10).pull() != "watch" {
			require.Less(t, d.now-asked, terms.PollInterval)
		}
		assert.Greater(t, d.now-asked, last/2)
		last = d.now - asked
	}
	assert.Greater(t, last, 1000.0)
	// A list that stays away must not be asked ever more often: each failure sets the one time anew.
	asked := 0
	for until := d.now + 120e3; d.now < until; {
		if d.after(10).pull() == "watch" {
			asked++
			d.node.PollFailed(d.now)
		}
	}
	assert.InDelta(t, 120e3/maxPollBackoff, asked, 15)
	d.node.EndpointsChanged(d.now, nil, false, false)
	assert.Empty(t, d.after(20e3).pull())
}

// However long a row of failed calls is, and whatever the settings say: the list is asked for again in time for what it tells to be
// had 6 s after the latest failure, with 2.2 s for the answer and 0.2 s for the way.
func TestTheWaitAfterAFailedCallIsBounded(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		terms := plain()
		terms.Seed, terms.PollEndpoints = rapid.Uint64().Draw(rt, "seed"), rapid.Bool().Draw(rt, "must ask")
		terms.PollInterval = rapid.Float64Range(1, 3600e3).Draw(rt, "ask within")
		d := &desk{t: t, now: 1000, ops: map[string]*Request{}, node: New(terms, 1000)}
		for range rapid.IntRange(1, 40).Draw(rt, "failures") {
			d.node.PollFailed(d.now)
		}
		asked := false
		for failed := d.now; d.now <= failed+3600; d.after(10) {
			asked = asked || d.pull() == "watch"
		}
		require.True(rt, asked)
	})
}

// An empty, a full and a flapping list.
func TestListing(t *testing.T) {
	d := sit(t, plain(), 2)
	d.node.EndpointsChanged(d.now, nil, true, false)
	d.arrive("a", 0, 10)
	assert.Equal(t, "nack:a", d.pull(), "nobody to ask: at once")
	for range 3 {
		d.list(BackendReady, 0, d.backends...)
		d.list(BackendRemoved, 0, d.backends[0])
	}
	for k := range 4 {
		op := d.arrive(fmt.Sprint(k), 0, 10)
		d.pull()
		assert.Equal(t, d.backends[1], op.Attempts[0].Backend)
		d.after(10).end(op.Attempts[0], OutcomeAnswered)
	}
}

// A drain told between choice and push, and an op timing out in the batch that ends it.
// A fleet that replaces its machines all day must not leave them in every decision's way; but what one was sent
// counts against its cold budget when it comes back soon.
func TestGoneBackendsAreLetGo(t *testing.T) {
	d := sit(t, plain(), 3)
	p := d.busy(d.backends[1])
	d.list(BackendRemoved, 0, d.backends[:2]...)
	require.Len(t, d.node.backends, 2, "one has a push out")
	require.False(t, d.backends[0].IsTracked())
	d.end(p, OutcomeAnswered)
	d.after(d.node.config.OverloadWindow - 1).pull()
	require.True(t, d.backends[1].IsTracked())
	d.after(1)
	d.node.reviewBackends()
	require.Equal(t, d.backends[2:], d.node.backends)
	d.list(BackendReady, 0, d.backends[0])
	require.Len(t, d.node.backends, 2)
}

func TestSameBatch(t *testing.T) {
	d := sit(t, plain(), 1)
	op := d.arrive("a", 0, 10)
	d.list(BackendDraining, 0, d.backends[0])
	assert.Equal(t, "nack:a", d.pull())
	assert.Empty(t, op.Attempts)

	d = sit(t, plain(), 2)
	op = d.arrive("b", 1, 10)
	d.pull()
	d.after(4000).end(op.Attempts[0], OutcomeTimedOut)
	assert.Equal(t, "dead:b", d.pull(), "answered in the batch of its time-out")
}

// Traffic beyond a tenant's share is the first to be nacked, and shows less patience for the rest. What tells is the mix:
// a node that carries much of all traffic, in the quotas' mix, floods nobody, and neither does one of a few ops.
func TestOverfullTenants(t *testing.T) {
	for name, c := range map[string]struct {
		of   [4]int // tenants of the ops in turn
		ops  int
		want [2]bool
	}{
		"flood":         {[4]int{0, 1, 1, 1}, 40, [2]bool{false, true}},
		"much of all":   {[4]int{0, 0, 0, 1}, 40, [2]bool{false, false}},
		"one of a few":  {[4]int{1, 0, 0, 0}, 1, [2]bool{false, false}},
		"quota unknown": {[4]int{2, 2, 2, 2}, 40, [2]bool{false, false}},
	} {
		terms := plain()
		terms.Nodes, terms.OverQuotaWeight = 100, 0.2
		terms.Tenants = []Tenant{{Quota: 150}, {Quota: 50}, {}}
		d := sit(t, terms, 2)
		var last [3]*Request
		for k := range c.ops {
			i := c.of[k%4]
			last[i] = &Request{Tenant: i, Deadline: d.now + 4000}
			d.node.RequestArrived(d.now, last[i])
			d.after(20).pull()
		}
		for i, want := range c.want {
			if op := last[i]; op != nil {
				assert.Equal(t, want, op.overQuota > 0.3, "%s, tenant %d: %v", name, i, op.overQuota)
				assert.Equal(t, want, d.node.patienceOf(op) < 0.8*op.class.patienceShare*d.node.timeToObjective(op), name)
			}
		}
	}
}

// Same events, same decisions; and another seed draws otherwise.
func TestDeterminism(t *testing.T) {
	run := func(seed uint64) (trace string) {
		terms := plain()
		terms.Seed = seed
		d := sit(t, terms, 5)
		for k := range 300 {
			op := d.arrive("a", k%4, float64(k*31%97)+1)
			trace += d.pull()
			for _, p := range op.Attempts {
				trace += fmt.Sprint(p.Backend.ID)
				if p.inFlight {
					d.after(float64(k%7)).end(p, []Outcome{OutcomeAnswered, OutcomeFailed, OutcomeRejected, OutcomeTimedOut}[k*k%4])
				}
			}
		}
		return trace
	}
	assert.Equal(t, run(1), run(1))
	assert.NotEqual(t, run(1), run(2))
}

// With many nodes a cap below one is a pause after an answer that queued; with few it stays at one push.
func TestPausesWithManyNodes(t *testing.T) {
	for _, nodes := range []int{2, 12} {
		d := sit(t, plain(), 2)
		d.seen()
		d.node.config.Nodes, d.backends[0].bestPace, d.backends[0].maxInFlight = nodes, 1, 1.1
		p := d.busy(d.backends[0])
		d.after(300).end(p, OutcomeAnswered)
		assert.Equal(t, nodes == 12, d.node.isAtCapacity(d.backends[0]), "%d nodes", nodes)
		d.after(300).end(d.busy(d.backends[0]), OutcomeAnswered)
	}
}

// A heavy op is not nacked in a quiet fleet for its own work, nor a small one because one backend is at a heavy op.
func TestNoNeedlessNacks(t *testing.T) {
	d := sit(t, plain(), 3)
	d.seen()
	d.arrive("heavy", 0, 900)
	assert.Equal(t, "push:heavy", d.pull())
	for k := range 3 {
		d.after(1)
		d.arrive(fmt.Sprint(k), 0, 5)
		assert.Equal(t, fmt.Sprintf("push:%d", k), d.pull())
	}
}

// What waits are in a zone counts for a backend there of which this node has seen nothing.
func TestCrowdedZoneIsForeseen(t *testing.T) {
	d := sit(t, plain(), 3)
	fresh := d.backends[2]
	quiet := d.node.predictAnswerTime(fresh, &Request{class: &d.node.config.Classes[0], work: 10})
	for range 10 {
		d.end(d.busy(d.backends[0]), OutcomeRejected)
		d.after(200).pull()
	}
	op := &Request{Config: d.node.config, class: &d.node.config.Classes[0], work: 10, Deadline: d.now + 4000, ArrivedAt: d.now}
	assert.Greater(t, d.node.predictAnswerTime(fresh, op), quiet+300)
	assert.Greater(t, d.node.queueTime(op, false), 300.0)
	d.after(60e3)
	assert.InDelta(t, quiet, d.node.predictAnswerTime(fresh, op), 50, "and is forgotten")
	d.node.estimates.waits.add(fresh, d.now, 1000)
	assert.InDelta(t, 100, d.node.zoneWait(1), 2, "a zone never tried counts half as crowded as all")
}

// All nodes cross at once in a burst: where they are many each uses a share of the far backends, others after a while.
func TestFarBackendsBySlots(t *testing.T) {
	for _, c := range []struct {
		nodes int
		zone  int
		share float64
	}{{1, 0, 1}, {1, 1, 1}, {300, 0, 1}, {300, 1, minCrossZoneShare}} {
		terms := plain()
		terms.Nodes, terms.CrossZoneCost, terms.Zone = c.nodes, 0.2, c.zone
		d := sit(t, terms, 50)
		opened, used := 0.0, map[*Backend]bool{}
		for range 40 {
			for _, b := range d.backends {
				if !d.node.isAtCapacity(b) {
					opened, used[b] = opened+1, true
				}
			}
			d.after(subsetPeriod).pull()
		}
		assert.InDelta(t, 50*c.share, opened/40, 4, "%+v", c)
		assert.Greater(t, len(used), 47, "%+v", c)
	}
}

// A cold budget goes by what warm backends take for their speed: fourteen nodes' parts by weight alone pushed a slow cold backend over.
func TestColdBudgetOfSlowMachines(t *testing.T) {
	room := func(kind int) (spent float64) {
		terms := plain()
		terms.Nodes = 14
		d := sit(t, terms, 1)
		d.seen()
		d.backends[0].Kind = kind
		d.list(BackendReady, d.now, d.backends[0])
		*d.node.estimates.paces.byKind.at(0), *d.node.estimates.paces.byKind.at(1) = paceEstimate{1e5, 1e5}, paceEstimate{3e5, 1e5}
		*d.node.slowStart.usageByZone.at(0) = zoneUsage{work: 1, speed: 2}
		for d.node.hasSlowStartBudget(d.backends[0], spent+10) {
			spent += 10
		}
		return spent
	}
	assert.Greater(t, room(0), 1.5*room(1))
}

// A node of few ops must not take its first hints for the mean: service times reported would seem tenfold.
func TestReportedServiceTimes(t *testing.T) {
	d := sit(t, plain(), 1)
	d.arrive("a", 0, 5)
	for range 20 {
		d.node.LoadReported(d.now, d.backends[0], LoadReport{ServiceTime: 100, InFlight: NotReported})
	}
	assert.Less(t, d.node.paceOf(nil), 2.0)
}

// Kinds of one weight differ in speed: turns follow, on backends never used too, and a heavy op goes to a fast
// machine though the slow one's turn is due.
func TestTurnsFollowTheKindsSpeed(t *testing.T) {
	d := sit(t, plain(), 2)
	fast, slow := d.backends[0], d.backends[1]
	slow.Kind, slow.rotationPass, fast.rotationPass = 1, 0, 1
	d.node.LoadReported(d.now, &Backend{Kind: 1}, LoadReport{ServiceTime: 3e4, InFlight: NotReported})
	d.node.LoadReported(d.now, &Backend{}, LoadReport{ServiceTime: 1e4, InFlight: NotReported})
	assert.Greater(t, d.node.rotationShare(fast), 1.5*d.node.rotationShare(slow))
	for hint, want := range map[float64]*Backend{1: slow, 200: fast} {
		assert.Equal(t, want, d.node.selectByRotation(d.arrive("a", 1, hint)), "hint %v", hint)
	}
}

// A timer that comes a rounding before its time is followed by another: without, a node stands still for good.
func TestTimerAHairEarly(t *testing.T) {
	d := sit(t, plain(), 1)
	d.arrive("a", 1, 10)
	d.pull()
	d.after(d.node.timers.armedFor - 4e-4 - d.now)
	x, _ := d.node.Next()
	assert.Equal(t, DoSetTimer, x.Kind)
}

// What a backend reports to wait there is known before any push of this node waits: turns go round it, and once it
// reports none they come back.
func TestTurnsGoByReportedQueues(t *testing.T) {
	d := sit(t, plain(), 2)
	d.node.estimates.work = runningMean{50, 50}
	most := func() (first int) {
		for range 20 {
			op := d.arrive("a", 1, 50)
			require.Equal(t, "push:a", d.pull())
			if op.Attempts[0].Backend == d.backends[0] {
				first++
			}
			d.after(60).end(op.Attempts[0], OutcomeAnswered)
			d.after(500).pull()
		}
		return first
	}
	fresh := &Backend{}
	d.node.LoadReported(d.now, fresh, LoadReport{ServiceTime: NotReported, InFlight: 14, Queued: 12})
	assert.InDelta(t, 300, fresh.waits.mean(d.now, 0, 0), 60, "two at work, twelve of 50 ms wait")
	assert.InDelta(t, 10, most(), 3)
	for range 3 {
		d.node.LoadReported(d.now, d.backends[0], LoadReport{ServiceTime: NotReported, InFlight: 14, Queued: 12})
	}
	assert.Less(t, most(), 8)
	d.after(60e3)
	assert.InDelta(t, 10, most(), 3, "and is forgotten")
}

// One silent backend's time-out says nothing of the wait elsewhere: counted whole, and again for being overdue, it had
// nodes nack for seconds where all but a few backends stood idle.
func TestSilenceCountsOnceAndForTheTargetAtMost(t *testing.T) {
	d := sit(t, plain(), 4)
	op := d.arrive("a", 1, 10)
	d.pull()
	for range 40 {
		d.after(100).pull()
	}
	require.True(t, op.Attempts[0].isOverdue)
	d.end(op.Attempts[0], OutcomeTimedOut)
	require.Equal(t, "dead:a", d.pull())
	assert.Equal(t, 1.0, d.node.estimates.waits.all.count, "the time-out adds nothing")
	late := d.arrive("b", 1, 10)
	d.pull()
	before := d.node.estimates.waits.all
	p := late.Attempts[0]
	p.isOverdue = true // so that the answer alone is looked at
	d.after(3500).end(p, OutcomeAnswered)
	left := decayFactor(before.at, d.now, waitHalfLife)
	assert.InDelta(t, before.sum*left+1000, d.node.estimates.waits.all.sum, 1e-6, "a wait counts for the target at most")
}

// A category of less benefit and a longer target must not wait on, in the way of one that earns more.
func TestLesserCategoriesBearLess(t *testing.T) {
	terms := plain()
	terms.Classes[0].PriorityWeight, terms.Classes[0].LatencyObjective = 8, 500
	terms.Classes[1].PriorityWeight, terms.Classes[1].LatencyObjective = 3, 1500
	d := sit(t, terms, 1)
	greater, lesser := d.arrive("a", 0, 10), d.arrive("b", 1, 10)
	assert.Less(t, d.node.patienceOf(lesser), d.node.patienceOf(greater))
}

// Many nodes of few ops each reach no cap of any backend. In a burst each went on to push what its latest answers, sent a
// queue ago, let look bearable: what is not answered yet must hold the next ones back, and must let go again.
func TestManyNodesHoldBackInACrowd(t *testing.T) {
	terms := plain()
	terms.Nodes = 500
	d := sit(t, terms, 20)
	d.seen()
	burst := func() (out int) {
		for range 12 {
			d.arrive("a", 1, 20)
		}
		d.pull()
		for _, b := range d.backends {
			out += len(b.inFlight)
		}
		return out
	}
	answer := func() {
		for _, b := range d.backends {
			for len(b.inFlight) > 0 {
				d.end(b.inFlight[0], OutcomeAnswered)
			}
		}
		d.pull()
	}
	assert.Equal(t, 2, burst(), "all nodes may start at once, and none has heard of a queue")
	d.after(900).pull()
	answer()
	require.LessOrEqual(t, d.node.concurrency.limit, 3.0)
	d.after(5e3).pull()
	answer()
	d.after(100).pull()
	assert.LessOrEqual(t, burst(), 3)
	out := 0
	for range 30 {
		d.after(20)
		answer()
		out = burst()
	}
	assert.Greater(t, out, 6, "answers without a queue raise it")
}

// Where no second copy may be out, a deduplicated op leaves a backend that is silent while others answer: called off
// first, and pushed again within its group only once that has ended. Others stay, and so does all where nobody answers.
func TestDeduplicatedOpLeavesASilentBackend(t *testing.T) {
	for name, c := range map[string]struct {
		category int
		others   bool
		want     string
	}{
		"deduplicated": {2, true, "revoke:a"}, "at-most-once": {1, true, ""}, "nobody answers": {2, false, ""},
	} {
		terms := plain()
		terms.AllowHedging = false
		d := sit(t, terms, 3)
		op := d.arrive("a", c.category, 10)
		d.pull()
		silent := op.Attempts[0].Backend
		d.node.addSuspicion(silent, 1)
		if c.others {
			d.after(10).arrive("b", 1, 10)
			d.pull()
			p := d.ops["b"].Attempts[0]
			require.NotSame(t, silent, p.Backend)
			d.after(10).end(p, OutcomeAnswered)
			d.pull()
		}
		got := ""
		for range 30 {
			got += d.after(10).pull()
		}
		require.Equal(t, c.want, got, name)
		if got != "" {
			d.end(op.Attempts[0], OutcomeCanceled)
			assert.Equal(t, "push:a", d.pull())
			assert.NotSame(t, silent, op.Attempts[1].Backend)
		}
	}
}

// An op that seems to come late earns a part, more where it may still make it, and bears that part of the wait. All that were
// foreseen past the target were nacked, though half of them take less than that.
func TestLateOpsBearLess(t *testing.T) {
	d := sit(t, plain(), 1)
	for range 20 {
		d.node.estimates.waits.add(d.backends[0], d.now, 300)
	}
	for work, want := range map[float64]bool{500: false, 900: false, 1800: true} {
		op := d.arrive("a", 1, work)
		assert.Equal(t, want, d.node.isTooSlow(d.backends[0], op, 350), "work of %v", work)
	}
}

// Where many nodes have a push out or none, each backend is idle of a node's own work, and longs went to them however long
// all wait there: most of an overloaded fleet's work was ops that came too late.
func TestLongsBearNoMoreWaitThanShorts(t *testing.T) {
	d := sit(t, plain(), 3)
	d.seen()
	op := d.arrive("a", 1, 100)
	require.Equal(t, "push:a", d.pull())
	require.True(t, op.isLong)
	d.after(100).end(op.Attempts[0], OutcomeAnswered)
	for range 20 {
		for _, b := range d.backends {
			d.node.estimates.waits.add(b, d.now, 3000)
		}
	}
	d.arrive("b", 1, 100)
	assert.Equal(t, "nack:b", d.pull())
}

// What small ops took at a backend, way and set-up of connections with it, does not grow with the work: taken in proportion,
// one slow answer of a small op had the longs of a calm fleet nacked.
func TestWaitsDoNotGrowWithTheOp(t *testing.T) {
	d := sit(t, plain(), 1)
	d.seen()
	small := d.arrive("small", 1, 10)
	require.Equal(t, "push:small", d.pull())
	d.after(80).end(small.Attempts[0], OutcomeAnswered)
	d.pull()
	require.Less(t, d.node.drainRate(d.backends[0]), 0.8)
	d.arrive("long", 1, 700)
	assert.Equal(t, "push:long", d.pull())
}

// An op that can't be sent again was lost to each error of a sick backend, at each of many nodes; those that can find
// out for it.
func TestOneErrorKeepsAtMostOnceOpsAway(t *testing.T) {
	for category, want := range []bool{true, false} {
		d := sit(t, plain(), 2)
		d.node.addSuspicion(d.backends[0], 1)
		met := false
		for k := range 12 {
			op := d.arrive(fmt.Sprint(k), category, 10)
			d.pull()
			require.NotEmpty(t, op.Attempts)
			met = met || op.Attempts[0].Backend == d.backends[0]
			d.end(op.Attempts[0], OutcomeAnswered)
			d.pull()
		}
		assert.Equal(t, want, met, "category %d", category)
	}
}

// Backends replaced in bulk refuse connections for as long as the list is late: an op that never ran is not given up
// because copies have used the budget for further pushes.
func TestPushesThatNeverRanCostNoBudget(t *testing.T) {
	for how, want := range map[Outcome]string{OutcomeConnectFailed: "push:a", OutcomeRejected: "push:a", OutcomeFailed: "nack:a"} {
		d := sit(t, plain(), 3)
		d.node.retries.tokens = 0
		op := d.arrive("a", 0, 10)
		require.Equal(t, "push:a", d.pull())
		d.end(op.Attempts[0], how)
		assert.Equal(t, want, d.pull(), how)
		assert.InDelta(t, 0.1, d.node.retries.tokens, 1e-9, "the op's own earning is kept: %v", how)
	}
}

// Queues behind heavy ops come and go within a second: of two backends, the one that has just been met without a queue
// goes first, also for a small op, and that is soon forgotten.
func TestWaitJustMetCountsMost(t *testing.T) {
	d := sit(t, plain(), 2)
	a, b := d.backends[0], d.backends[1]
	for k, x := range []*Backend{a, b} { // the usual waits are the other way round
		for range 10 {
			x.waits.add(d.now, 200*float64(k))
		}
	}
	pa, pb := d.busy(a), d.busy(b)
	d.now += 20
	d.node.now = d.now
	d.node.recordWait(pa, 600)
	d.node.recordWait(pb, 0)
	op := d.arrive("a", 0, 10)
	assert.Greater(t, d.node.timeSteps(a, op), d.node.timeSteps(b, op))
	d.now += 3000
	op = d.arrive("b", 0, 10)
	assert.Less(t, d.node.timeSteps(a, op), d.node.timeSteps(b, op))
	before := b.lastWait
	d.node.recordWait(&Attempt{Request: op, Backend: b, SentAt: before.at - 1}, 400)
	assert.Equal(t, before, b.lastWait, "one sent earlier tells nothing new")
}

// A zone that comes back cold: of 80 nodes each one's part of a backend's budget is less than an op, and none sent any.
// By lots they use the backends, and all of them together keep the budget in every window, at twice the usual
// number of ops and with more nodes up than told.
func TestLotsKeepTheColdBudgetTogether(t *testing.T) {
	const nodes, up, backends, span = 80, 90, 12, 2000.0
	for seed := range uint64(4) {
		rng := newMultiplyWithCarry(seed*0x9e3779b97f4a7c15 + 1)
		sent, when := make([][]float64, backends), make([][]float64, backends)
		var desks []*Balancer
		var cold [][]*Backend
		for k := range uint64(up) {
			terms := plain()
			terms.Nodes, terms.Seed, terms.OverloadMultiple, terms.OverloadWindow = nodes, (seed*up+k)*0xbf58476d1ce4e5b9+7, 4, span
			d := sit(t, terms, backends)
			d.list(BackendReady, d.now, d.backends...)
			d.node.estimates.work = runningMean{25, 50}
			*d.node.estimates.paces.byKind.at(0) = paceEstimate{2e5, 1e5} // half a standard core
			desks, cold = append(desks, d.node), append(cold, d.backends)
		}
		for now := 1000.0; now < 7000; now += 5 {
			for k, n := range desks {
				if n.now = now; rng.nextUnit() > 0.2 { // 40 ops a second
					continue
				}
				work, at := 25*math.Exp(1.2*math.Sqrt(-2*math.Log(1-rng.nextUnit()))*math.Cos(2*math.Pi*rng.nextUnit())-0.72), rng.nextBelow(backends)
				if b := cold[k][at]; n.hasSlowStartBudget(b, work) {
					b.recentWork.add(now, span, work)
					sent[at], when[at] = append(sent[at], work), append(when[at], now)
				}
			}
		}
		total, whole := 0.0, 0.0
		for at := range sent {
			from, sum := 0, 0.0
			for k, work := range sent[at] {
				for sum += work; when[at][from] <= when[at][k]-span; from++ {
					sum -= sent[at][from]
				}
				if total += work; work >= 25 {
					whole += work
				}
				warm := 0.25 + 0.75*(when[at][k]-1000)/10e3
				assert.LessOrEqual(t, sum, 4*warm*0.5*span, "seed %d backend %d at %v", seed, at, when[at][k])
			}
		}
		could := 0.5 * (0.25 + 0.75*0.3) * 6000 * backends
		assert.Greater(t, total, 0.7*could, "what the backends can do is used")
		assert.Greater(t, whole, 0.05*could, "also by ops of the usual size, most of the work")
		assert.Less(t, total, 2.4*could)
	}
}

// Longs stay near for half an eighth of their time left, as before turns went by thirty-seconds: a wait that is gone before the
// long is there sent it across.
func TestLongsStayNearForALittle(t *testing.T) {
	for wait, near := range map[float64]bool{50: true, 300: false} {
		terms := plain()
		terms.CrossZoneCost = 0.06
		d := sit(t, terms, 2)
		d.seen()
		d.backends[1].Zone = 1
		d.list(BackendReady, 0, d.backends...)
		d.backends[0].lastWait, d.backends[1].lastWait = latestWait{wait, d.now}, latestWait{0, d.now}
		op := d.arrive("a", 0, 200)
		require.Equal(t, "push:a", d.pull())
		require.True(t, op.isLong)
		assert.Equal(t, near, op.Attempts[0].Backend == d.backends[0], "a wait of %v", wait)
	}
}

// A backend taken out by hand counts as draining whatever the list says, also over its going and coming back; put back it
// is cold, and nothing of its former process keeps it from being used.
func TestTakenOutByHand(t *testing.T) {
	d := sit(t, plain(), 2)
	a, b := d.backends[0], d.backends[1]
	line := func(state BackendState, started float64, out bool) {
		d.node.EndpointsChanged(d.now, []Endpoint{{Backend: a, State: state, Weight: 1, Started: started, Cordoned: out}}, false, true)
	}
	d.node.addSuspicion(a, 5)
	d.pull()
	a.pausedUntil, a.maxInFlight = d.now+1e6, 0.1
	require.GreaterOrEqual(t, d.node.suspicionOf(a), ejectionThreshold)
	line(BackendReady, 0, true)
	for _, listed := range []BackendState{BackendReady, BackendDraining, BackendRemoved, BackendReady} {
		line(listed, 0, true)
		assert.Less(t, a.State, BackendReady)
		op := d.arrive("a", 0, 10)
		require.Equal(t, "push:a", d.pull())
		assert.Same(t, b, op.Attempts[0].Backend)
		assert.Equal(t, ReasonNotReady, d.node.checkRules(op, a))
		d.end(op.Attempts[0], OutcomeAnswered)
		d.after(10).pull()
	}
	line(BackendDraining, 0, false) // the list's own word still holds
	assert.Equal(t, BackendDraining, a.State)
	line(BackendReady, 0, false)
	assert.Equal(t, d.node.config.SlowStartShare, d.node.slowStartFactor(a), "nothing tells of its restart but that it was out")
	assert.Zero(t, a.suspicion.get(d.now, suspicionHalfLife))
	used := 0
	for k := range 100 {
		op := d.arrive(fmt.Sprint("c", k), 0, 10)
		d.pull()
		if op.Attempts[0].Backend == a {
			used++
		}
		d.after(10).end(op.Attempts[0], OutcomeAnswered)
		d.pull()
	}
	assert.Positive(t, used)
	assert.LessOrEqual(t, a.recentWork.sumWithin(d.now, 2000), 3*0.3*2000.0, "within its budget")
	d.after(10e3)
	assert.Equal(t, 1.0, d.node.slowStartFactor(a))

	// Where the list tells of the restart, before or after it is put back, its warming up counts from that.
	for _, before := range []bool{true, false} {
		line(BackendReady, 0, true)
		restart := d.after(1000).now
		d.after(3000)
		if before {
			line(BackendReady, restart, true)
		}
		line(BackendReady, map[bool]float64{true: restart}[before], false)
		if !before {
			assert.Equal(t, d.node.config.SlowStartShare, d.node.slowStartFactor(a))
			line(BackendReady, restart, false)
		}
		assert.InDelta(t, 0.25+0.75*0.3, d.node.slowStartFactor(a), 1e-9)
		d.after(10e3)
	}
}

// Ops that are open when the terms change keep those that they came under, whatever their category means since; what was
// learned stays.
func TestOpsKeepTheirTerms(t *testing.T) {
	d := sit(t, plain(), 3)
	d.seen()
	safe, once := d.arrive("safe", 0, 10), d.arrive("once", 1, 20)
	d.pull()
	d.node.config.Classes[0].meanWork = runningMean{40, 9}
	d.node.addSuspicion(d.backends[2], 1)
	later := plain() // the two change places, with one push each
	later.Classes[0], later.Classes[1] = later.Classes[1], later.Classes[0]
	later.MaxAttempts, later.AllowHedging = 1, false
	d.node.ConfigChanged(d.now, later, []int{1, 0, 2, -1})
	assert.Equal(t, runningMean{40, 9}, d.node.config.Classes[1].meanWork, "learned of a category, by its former place")
	assert.Equal(t, runningMean{}, d.node.config.Classes[3].meanWork)
	assert.Positive(t, d.node.suspicionOf(d.backends[2]))
	assert.Positive(t, later.Classes[0].patienceShare)
	d.end(safe.Attempts[0], OutcomeFailed)
	assert.Equal(t, "push:safe", d.pull(), "redeliverable still, within three pushes")
	d.end(once.Attempts[0], OutcomeConnectionReset)
	assert.Equal(t, "dead:once", d.pull(), "at-most-once still")
	d.after(60e3).pull() // distrust fades
	fresh := d.arrive("fresh", 0, 10)
	d.pull()
	d.end(fresh.Attempts[0], OutcomeConnectionReset)
	assert.Equal(t, "dead:fresh", d.pull(), "at-most-once now")
	d.after(60e3).pull()
	spare := d.arrive("spare", 1, 10)
	d.pull()
	d.end(spare.Attempts[0], OutcomeConnectionReset)
	assert.Equal(t, "nack:spare", d.pull(), "one push now")

	// One that the front read under the earlier terms, and the module got after them.
	d.after(60e3).pull()
	late := &Request{Class: 1, CostHint: 10, HasCostHint: true, Deadline: d.now + 4000, Config: safe.Config}
	d.ops["late"] = late
	d.node.RequestArrived(d.now, late)
	d.pull()
	d.end(late.Attempts[0], OutcomeConnectionReset)
	assert.Equal(t, "dead:late", d.pull())
	d.node.RequestArrived(d.now, &Request{Class: 2, Deadline: d.now + 4000, Config: safe.Config})
	_, err := d.node.Snapshot([]*Request{{Config: safe.Config}}, nil)
	require.ErrorIs(t, err, ErrEarlierConfig)
}

// Two processes of a node keep its cold budget together, and for a window after one of them has gone.
func TestSplitBudget(t *testing.T) {
	whole := func(of ...int) float64 {
		d := sit(t, plain(), 1)
		for _, n := range of {
			d.node.ProcessesChanged(d.now, n)
		}
		d.list(BackendReady, d.now, d.backends...)
		sent := 0.0
		for d.node.hasSlowStartBudget(d.backends[0], 10) {
			d.backends[0].recentWork.add(d.now, 2000, 10)
			sent += 10
		}
		return sent
	}
	alone := whole()
	assert.Greater(t, alone, 100.0)
	assert.LessOrEqual(t, 2*whole(2), alone+20)
	assert.Equal(t, whole(2), whole(2, 1), "what the other spent still counts")
	d := sit(t, plain(), 1)
	d.node.ProcessesChanged(d.now, 2)
	d.node.ProcessesChanged(d.now, 1)
	assert.Equal(t, 2.0, d.node.activeProcesses())
	d.after(d.node.config.OverloadWindow)
	assert.Equal(t, 1.0, d.node.activeProcesses())
}

// A snapshot that another process goes on from holds what was learned, and nothing that the first still has out.
func TestCarried(t *testing.T) {
	d := sit(t, plain(), 2)
	d.seen()
	d.arrive("a", 0, 10)
	d.pull()
	d.node.addSuspicion(d.backends[0], 3)
	d.pull()
	s, err := d.node.HandoffSnapshot(d.backends)
	require.NoError(t, err)
	n, ops, backends, err := Restore(plain(), s)
	require.NoError(t, err)
	assert.Empty(t, ops)
	assert.Zero(t, n.concurrency.inFlight)
	assert.Len(t, n.cutoff.ring, 101)
	assert.Equal(t, d.node.suspicionOf(d.backends[0]), n.suspicionOf(backends[0]))
	for k, b := range backends {
		assert.Empty(t, b.inFlight)
		assert.Zero(t, b.workInFlight)
		assert.Equal(t, d.backends[k].recentWork.sumWithin(d.now, 2000), b.recentWork.sumWithin(d.now, 2000), "what was spent counts for both")
	}
	n.RequestArrived(d.now, &Request{CostHint: 10, HasCostHint: true, Deadline: d.now + 4000})
	x, more := n.Next()
	require.True(t, more)
	assert.Equal(t, DoAttempt, x.Kind)
}

// A streamed op is pushed once. While it comes, nobody is blamed for its client's slowness; from its last byte on its push
// is looked at like any other.
func TestStreamedOps(t *testing.T) {
	for how, want := range map[Outcome]string{OutcomeConnectFailed: "nack:a", OutcomeConnectionReset: "nack:a", OutcomeAnswered: ""} {
		d := sit(t, plain(), 3)
		op := &Request{CostHint: 10, HasCostHint: true, Deadline: d.now + 60e3, Streamed: true}
		d.ops["a"] = op
		d.node.RequestArrived(d.now, op)
		require.Equal(t, "push:a", d.pull())
		assert.Empty(t, d.after(5000).pull(), "no copy")
		b := op.Attempts[0].Backend
		assert.Zero(t, d.node.suspicionOf(b))
		assert.Empty(t, b.inFlight, "nor is anybody else kept from the backend")
		assert.Zero(t, d.node.concurrency.inFlight)
		if how == OutcomeConnectFailed { // before its last byte
			d.end(op.Attempts[0], how)
			assert.Equal(t, want, d.pull(), how)
			assert.Zero(t, d.node.concurrency.inFlight)
			continue
		}
		op.Deadline = d.now + 2000
		d.node.RequestBodySent(d.now, op.Attempts[0])
		assert.Equal(t, 1, d.node.concurrency.inFlight)
		assert.Empty(t, d.after(10).pull())
		assert.Zero(t, d.node.suspicionOf(b))
		if how == OutcomeConnectionReset {
			assert.Empty(t, d.after(1000).pull(), "overdue, and no copy of it could be made")
			assert.Positive(t, d.node.suspicionOf(b))
		}
		d.end(op.Attempts[0], how)
		assert.Equal(t, want, d.pull(), how)
		assert.Zero(t, d.node.concurrency.inFlight)
	}
	d := sit(t, plain(), 2)
	op := &Request{Class: 1, CostHint: 10, HasCostHint: true, Deadline: d.now + 60e3, Streamed: true}
	d.ops["once"] = op
	d.node.RequestArrived(d.now, op)
	d.pull()
	d.node.RequestBodySent(d.now, op.Attempts[0])
	d.end(op.Attempts[0], OutcomeConnectionReset)
	assert.Equal(t, "dead:once", d.pull())
}

// Where none of its zone's backends can be used, by the list or by hand, or hardly any, what may cross waits for room at the
// others; what is not worth the way is nacked at once.
func TestHeldForAnotherZone(t *testing.T) {
	terms := plain()
	terms.CrossZoneCost, terms.WeightByWork = 0.06, true
	d := sit(t, terms, 0)
	for k, zone := range []int{0, 1, 1} {
		d.backends = append(d.backends, &Backend{ID: uint64(k), Zone: zone})
	}
	d.list(BackendReady, 0, d.backends...)
	d.seen()
	d.node.estimates.priority = runningMean{50, 50}
	d.list(BackendDraining, 0, d.backends[0])
	var out []*Attempt
	for _, b := range d.backends[1:] {
		b.maxInFlight = 1
		out = append(out, d.busy(b), d.busy(b))
	}
	worth := d.arrive("worth", 0, 60)
	assert.Empty(t, d.pull(), "held: both are full, and will not be for long")
	assert.Equal(t, stageQueued, worth.stage)
	d.arrive("dear", 0, 1)
	assert.Equal(t, "nack:dear", d.pull())
	d.after(5)
	for _, p := range out {
		d.end(p, OutcomeAnswered)
	}
	assert.Equal(t, "push:worth", d.pull())

	// Its own zone is back, with one backend that answers next to nothing: what may cross does not wait for that one.
	d.list(BackendReady, 0, d.backends[0])
	d.node.queue.requests = append(d.node.queue.requests, worth)
	d.backends[0].drain = drainEstimate{done: 1, busyTime: 1e6, at: d.now}
	may, mayNot := d.node.queueTime(worth, true), d.node.queueTime(worth, false)
	assert.Less(t, 5*may, mayNot)
}

// One least window for all pulled sites apart: a node of much traffic stood at what is too many for a quiet one, and 300
// nodes at less than their backends bore. It follows from the rate at which answers come, falls with it, and survives
// a snapshot.
func TestTheLeastWindowFollowsAnswers(t *testing.T) {
	terms := plain()
	terms.Nodes = 500
	least := func(every float64) float64 { // one answer in so many ms, for ten seconds
		d := sit(t, terms, 20)
		d.node.random = newMultiplyWithCarry(1)
		for k := 0; float64(k)*every < 10e3; k++ {
			p := d.busy(d.backends[k%20])
			d.after(every).end(p, OutcomeAnswered)
			d.pull()
		}
		s, err := d.node.Snapshot(nil, d.backends)
		require.NoError(t, err)
		n, _, _, err := Restore(plain(), s)
		require.NoError(t, err)
		require.Equal(t, d.node.affordableInFlight(), n.affordableInFlight())
		had := d.node.minInFlightLimit()
		d.node.now += rateHalfLife
		require.InDelta(t, max(2, had/2), d.node.minInFlightLimit(), 0.01, "half of it once nothing is answered for the rate's half-life")
		return had
	}
	// Each answer of 10 ms of work may take 0.4 of 1,000 ms beside it: by Little's law 410 ms a push at the rate.
	require.InDelta(t, 410/20.*0.9, least(20), 2)
	require.InDelta(t, 410/100.*0.9, least(100), 1, "and some of the wait at a pace that was learned")
	require.Equal(t, 2.0, least(1000), "a node of few ops keeps two")
}
