package backendmodel

import (
	"maps"
	"math"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

// testSpec returns a machine with one core and a short queue.
func testSpec() Spec {
	return Spec{Cores: 1, Speed: 1, QueueLimit: 3, ColdSpeedShare: 0.25, WarmupTime: 8000, OverloadMultiple: 4, OverloadWindow: 2000,
		ReportInterval: 100, StopOnCancel: true}
}

// startWarm returns a machine that is up and warm.
func startWarm(spec Spec) *Machine {
	m := New(spec, rand.New(rand.NewPCG(1, 1)))
	m.Start(0, true)
	return m
}

// runToEnd advances a machine until nothing happens by itself, and returns when each request was finished.
func runToEnd(m *Machine) map[uint64]float64 {
	const maxSteps = 1e5
	finishedAt := map[uint64]float64{}
	for step := 0; step < maxSteps && !math.IsInf(m.NextEvent(), 1); step++ {
		for _, completion := range m.Advance(m.NextEvent()) {
			finishedAt[completion.ID] = completion.At
		}
	}
	return finishedAt
}

// Overload must show as a rejection at once, not as a queue without end: with one core and room for three, the fifth
// request is rejected. A canceled request leaves the queue, and a draining machine takes nothing new.
func TestQueue(t *testing.T) {
	m := startWarm(testSpec())
	for id := range uint64(4) {
		assert.Equal(t, VerdictAccepted, m.Accept(0, id, 10, false))
	}
	assert.Equal(t, VerdictRejected, m.Accept(0, 9, 10, false), "one runs, three wait")
	assert.Equal(t, []uint64{0}, m.TakeStarted())
	m.Cancel(5, 2)
	assert.Equal(t, map[uint64]float64{0: 10, 1: 20, 3: 30}, runToEnd(m))
	report := m.Report(200)
	assert.InDelta(t, 10, report.Service, 1e-9, "without waiting")
	m.Drain(200)
	assert.Equal(t, VerdictRejected, m.Accept(200, 9, 10, false))
}

// Each fault shows to a node as it does in production: in the verdict, in the time of the response, or in neither.
func TestFaults(t *testing.T) {
	cases := map[string]struct {
		faults     Faults
		verdict    Verdict
		finishedAt float64
	}{
		"none":          {Faults{}, VerdictAccepted, 10},
		"slow":          {Faults{Slowdown: 3}, VerdictAccepted, 30},
		"no response":   {Faults{NoResponse: true}, VerdictNoResponse, 0},
		"errors":        {Faults{ErrorShare: 1}, VerdictFailed, 0},
		"wrong reports": {Faults{ReportFactor: 5}, VerdictAccepted, 10},
	}
	for name, c := range cases {
		m := startWarm(testSpec())
		m.SetFaults(0, c.faults)
		assert.Equal(t, c.verdict, m.Accept(0, 1, 10, false), name)
		assert.InDelta(t, c.finishedAt, runToEnd(m)[1], 1e-6, name)
	}
	m := startWarm(testSpec())
	m.SetFaults(0, Faults{PauseInterval: 100, PauseDuration: 50})
	m.Accept(0, 1, 200, false)
	assert.InDelta(t, 400, runToEnd(m)[1], 50, "paused half of the time")
}

// A process that has just started works at a quarter of its speed, and faster as it warms up. Sent more than it
// survives, it goes down and stays so: that is what the nodes' slow start must prevent.
func TestColdStart(t *testing.T) {
	m := New(testSpec(), rand.New(rand.NewPCG(1, 1)))
	assert.Equal(t, VerdictDown, m.Accept(0, 1, 10, false))
	m.Start(1000, false)
	assert.InDelta(t, 1000, m.StartTime(), 0)
	m.Accept(1000, 1, 10, false)
	assert.InDelta(t, 1040, runToEnd(m)[1], 2)
	assert.Equal(t, VerdictAccepted, m.Accept(1050, 2, 1800, false))
	assert.False(t, m.HasColdCapacity(1050, 0.1), "over four fifths")
	assert.Equal(t, VerdictDown, m.Accept(1060, 3, 300, false))
	assert.True(t, m.Overloaded())
	assert.ElementsMatch(t, []uint64{2}, m.Stop(1060))
	assert.False(t, m.Up())
}

// Nodes keep the budget of a cold backend only on average, so the threshold has a margin for random excess. For 2000 ms
// of work in requests of 20 ms it is twice the root of 100 requests and two more: the process fails above 2440 ms. All
// that arrives counts, also what gets an error or no response.
func TestColdStartMargin(t *testing.T) {
	spec := testSpec()
	spec.MeanWork = 20
	for name, faults := range map[string]Faults{"none": {}, "no response": {NoResponse: true}, "errors": {ErrorShare: 1}} {
		m := New(spec, rand.New(rand.NewPCG(1, 1)))
		m.Start(1000, false)
		m.SetFaults(1000, faults)
		for id := range uint64(122) {
			assert.NotEqual(t, VerdictDown, m.Accept(1000, id, 20, false), name)
		}
		assert.False(t, m.Overloaded(), name)
		assert.Equal(t, VerdictDown, m.Accept(1000, 999, 0.1, false), name)
		assert.True(t, m.Overloaded(), name)
	}
}

// A queue that stays long makes the machine slower, and it recovers only after it was mostly idle for a while: the model
// of a metastable failure.
func TestCongestion(t *testing.T) {
	spec := testSpec()
	spec.QueueLimit, spec.CongestionQueue, spec.CongestionDelay, spec.CongestionSlowdown, spec.CongestionRecovery = 100, 2, 50, 4, 30
	m := startWarm(spec)
	for id := range uint64(10) {
		m.Accept(0, id, 10, false)
	}
	finishedAt := runToEnd(m)
	assert.InDelta(t, 50, finishedAt[4], 1e-6, "at full speed until the queue has been long for a while")
	assert.InDelta(t, 90, finishedAt[5], 1e-6, "then slower by the factor")
	m.Advance(finishedAt[9] + 31)
	m.Accept(finishedAt[9]+31, 99, 10, false)
	assert.InDelta(t, finishedAt[9]+41, runToEnd(m)[99], 1e-6, "at full speed again after an idle time")
}

// Many servers don't notice a closed connection before they write to it: canceled work then runs to its end, delays
// what waits behind it, and counts as wasted.
func TestCanceledWorkGoesOn(t *testing.T) {
	spec := testSpec()
	spec.StopOnCancel = false
	m := startWarm(spec)
	m.Accept(0, 1, 100, false)
	m.Accept(0, 2, 10, false)
	m.Cancel(10, 1)
	assert.Equal(t, map[uint64]float64{2: 110}, runToEnd(m))
	_, wasted := m.WorkDone()
	assert.InDelta(t, 100, wasted, 1e-6)
}

// The simulation and the backends on sockets advance the model at different moments. However the time is divided, the
// same requests must finish at the same times, each once, or the two would not be comparable.
func TestAdvancingOftenerChangesNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		spec := testSpec()
		spec.Cores, spec.QueueLimit = rapid.IntRange(1, 4).Draw(t, "cores"), 1000
		spec.CongestionQueue, spec.CongestionDelay, spec.CongestionSlowdown, spec.CongestionRecovery = 1, 20, 3, 20
		seldom, often := startWarm(spec), startWarm(spec)
		faults := Faults{PauseInterval: 50, PauseDuration: rapid.Float64Range(0, 40).Draw(t, "pause"), Slowdown: 2}
		seldom.SetFaults(0, faults)
		often.SetFaults(0, faults)
		finishedSeldom, finishedOften := map[uint64]float64{}, map[uint64]float64{}
		now := 0.0
		requests := rapid.IntRange(1, 30).Draw(t, "requests")
		for id := range uint64(requests) {
			for range rapid.IntRange(0, 4).Draw(t, "advances") {
				now += rapid.Float64Range(0, 10).Draw(t, "gap")
				record(finishedOften, often.Advance(now))
			}
			work := rapid.Float64Range(0.1, 30).Draw(t, "work")
			record(finishedSeldom, seldom.Advance(now))
			if seldom.Accept(now, id, work, false) != often.Accept(now, id, work, false) {
				t.Fatal("verdicts differ")
			}
		}
		maps.Copy(finishedSeldom, runToEnd(seldom))
		maps.Copy(finishedOften, runToEnd(often))
		if len(finishedSeldom) != requests || len(finishedOften) != requests {
			t.Fatalf("%d and %d finished of %d", len(finishedSeldom), len(finishedOften), requests)
		}
		for id := range finishedSeldom {
			if math.Abs(finishedSeldom[id]-finishedOften[id]) > 1e-6 {
				t.Fatalf("request %d at %v and %v", id, finishedSeldom[id], finishedOften[id])
			}
		}
	})
}

// record adds completions to the times at which requests finished.
func record(finishedAt map[uint64]float64, completions []Completion) {
	for _, completion := range completions {
		finishedAt[completion.ID] = completion.At
	}
}
