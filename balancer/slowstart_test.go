package balancer

import (
	"math"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// A burst of requests arrives while a backend is in its first second. In no overload window may the backend receive more
// than this node's share of the slow start bound.
func TestSlowStartBudgetInEveryWindow(t *testing.T) {
	for _, nodes := range []int{1, 3} {
		config := testConfig()
		config.Nodes = nodes
		h := newHarness(t, config, 1)
		b := h.backends[0]
		h.setState(BackendReady, h.now, b)
		type sample struct{ at, work float64 }
		var sent []sample
		for range 5000 {
			request := &Request{Config: config, Deadline: h.now + 4000, class: &config.Classes[0], work: 10}
			if h.balancer.sendAttempt(request, b) {
				sent = append(sent, sample{h.now, request.work})
				h.decisions()
				h.endAttempt(request.Attempts[0], OutcomeAnswered)
			}
			h.advance(2).decisions()
		}
		require.NotEmpty(t, sent)
		for i, first := range sent {
			sum := 0.0
			for _, s := range sent[i:] {
				if s.at < first.at+config.OverloadWindow && s.at < 1000+config.SlowStartWindow {
					sum += s.work
				}
			}
			// The capacity of a backend of one standard core at the end of the window.
			warm := math.Min(1, 0.25+0.75*(first.at+config.OverloadWindow-1000)/config.SlowStartWindow)
			assert.LessOrEqual(t, sum, 3*warm*config.OverloadWindow/float64(nodes))
		}
	}
}

// The share for a slow machine follows the work that warmed-up backends receive for their speed. By weight alone, the
// shares of fourteen nodes overloaded a slow backend that had just started.
func TestSlowStartBudgetOfSlowMachines(t *testing.T) {
	budgetOfKind := func(kind int) (spent float64) {
		config := testConfig()
		config.Nodes = 14
		h := newHarness(t, config, 1)
		h.learnHints()
		h.backends[0].Kind = kind
		h.setState(BackendReady, h.now, h.backends[0])
		*h.balancer.estimates.paces.byKind.entry(0), *h.balancer.estimates.paces.byKind.entry(1) = paceEstimate{1e5, 1e5}, paceEstimate{3e5, 1e5}
		*h.balancer.slowStart.usageByZone.entry(0) = zoneUsage{work: 1, speed: 2}
		for h.balancer.hasSlowStartBudget(h.backends[0], spent+10) {
			spent += 10
		}
		return spent
	}
	assert.Greater(t, budgetOfKind(0), 1.5*budgetOfKind(1))
}

// All backends of a zone have just started. With 80 nodes, each node's share of a backend's budget is less than one
// request, and no node sent any. By draws the nodes use the backends, and all nodes together keep the budget in every
// window, at twice the usual number of requests and with more nodes running than configured.
func TestSlowStartDrawsKeepBudgetAcrossNodes(t *testing.T) {
	const nodes, running, backends, window = 80, 90, 12, 2000.0
	for seed := range uint64(4) {
		rng := newMultiplyWithCarry(seed*0x9e3779b97f4a7c15 + 1)
		sent, sentAt := make([][]float64, backends), make([][]float64, backends)
		var balancers []*Balancer
		var backendsOf [][]*Backend
		for k := range uint64(running) {
			config := testConfig()
			config.Nodes, config.Seed, config.OverloadMultiple, config.OverloadWindow = nodes, (seed*running+k)*0xbf58476d1ce4e5b9+7, 4, window
			h := newHarness(t, config, backends)
			h.setState(BackendReady, h.now, h.backends...)
			h.balancer.estimates.work = runningMean{25, 50}
			*h.balancer.estimates.paces.byKind.entry(0) = paceEstimate{2e5, 1e5} // half a standard core
			balancers, backendsOf = append(balancers, h.balancer), append(backendsOf, h.backends)
		}
		for now := 1000.0; now < 7000; now += 5 {
			for k, lb := range balancers {
				if lb.now = now; rng.nextUnit() > 0.2 { // 40 requests a second
					continue
				}
				work, index := 25*math.Exp(1.2*math.Sqrt(-2*math.Log(1-rng.nextUnit()))*math.Cos(2*math.Pi*rng.nextUnit())-0.72), rng.nextBelow(backends)
				if b := backendsOf[k][index]; lb.hasSlowStartBudget(b, work) {
					b.recentWork.add(now, window, work)
					sent[index], sentAt[index] = append(sent[index], work), append(sentAt[index], now)
				}
			}
		}
		total, largeWork := 0.0, 0.0
		for index := range sent {
			from, sum := 0, 0.0
			for k, work := range sent[index] {
				for sum += work; sentAt[index][from] <= sentAt[index][k]-window; from++ {
					sum -= sent[index][from]
				}
				if total += work; work >= 25 {
					largeWork += work
				}
				warm := 0.25 + 0.75*(sentAt[index][k]-1000)/10e3
				assert.LessOrEqual(t, sum, 4*warm*0.5*window, "seed %d backend %d at %v", seed, index, sentAt[index][k])
			}
		}
		capacity := 0.5 * (0.25 + 0.75*0.3) * 6000 * backends
		assert.Greater(t, total, 0.7*capacity, "most of the capacity is used")
		assert.Greater(t, largeWork, 0.05*capacity, "also by requests of at least the mean size, which are most of the work")
		assert.Less(t, total, 2.4*capacity)
	}
}

// Two processes of a node together keep its slow start budget, also for a window after one of them has ended.
func TestSlowStartBudgetOfTwoProcesses(t *testing.T) {
	spentWith := func(processes ...int) float64 {
		h := newHarness(t, testConfig(), 1)
		for _, count := range processes {
			h.balancer.ProcessesChanged(h.now, count)
		}
		h.setState(BackendReady, h.now, h.backends...)
		sent := 0.0
		for h.balancer.hasSlowStartBudget(h.backends[0], 10) {
			h.backends[0].recentWork.add(h.now, 2000, 10)
			sent += 10
		}
		return sent
	}
	alone := spentWith()
	assert.Greater(t, alone, 100.0)
	assert.LessOrEqual(t, 2*spentWith(2), alone+20)
	assert.Equal(t, spentWith(2), spentWith(2, 1), "the budget that the other process spent still counts")
	h := newHarness(t, testConfig(), 1)
	h.balancer.ProcessesChanged(h.now, 2)
	h.balancer.ProcessesChanged(h.now, 1)
	assert.Equal(t, 2.0, h.balancer.activeProcesses())
	h.advance(h.balancer.config.OverloadWindow)
	assert.Equal(t, 1.0, h.balancer.activeProcesses())
}
