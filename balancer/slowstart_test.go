package balancer

import (
	"math"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// A burst meets a backend in its first second. In no overload window does it get more than this node's share of what it
// bears.
func TestSlowStartBudgetInEveryWindow(t *testing.T) {
	for _, nodes := range []int{1, 3} {
		config := testConfig()
		config.Nodes = nodes
		h := newHarness(t, config, 1)
		b := h.backends[0]
		h.setState(BackendReady, h.now, b)
		type at struct{ when, work float64 }
		var sent []at
		for range 5000 {
			request := &Request{Config: config, Deadline: h.now + 4000, class: &config.Classes[0], work: 10}
			if h.balancer.sendAttempt(request, b) {
				sent = append(sent, at{h.now, request.work})
				h.decisions()
				h.endAttempt(request.Attempts[0], OutcomeAnswered)
			}
			h.advance(2).decisions()
		}
		require.NotEmpty(t, sent)
		for i, first := range sent {
			sum := 0.0
			for _, s := range sent[i:] {
				if s.when < first.when+config.OverloadWindow && s.when < 1000+config.SlowStartWindow {
					sum += s.work
				}
			}
			// A backend of one standard core, with what it has by the window's end.
			warm := math.Min(1, 0.25+0.75*(first.when+config.OverloadWindow-1000)/config.SlowStartWindow)
			assert.LessOrEqual(t, sum, 3*warm*config.OverloadWindow/float64(nodes))
		}
	}
}

// A slow machine's share goes by what warmed-up backends take for their speed: by weight alone, the shares of fourteen
// nodes overloaded a slow backend that had just started.
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

// A zone comes back with all backends just started. Of 80 nodes each one's share of a backend's budget is less than a
// request, and none sent any. By draws they use the backends, and all of them together keep the budget in every window,
// at twice the usual number of requests and with more nodes up than configured.
func TestDrawsKeepTheSlowStartBudgetTogether(t *testing.T) {
	const nodes, up, backends, span = 80, 90, 12, 2000.0
	for seed := range uint64(4) {
		rng := newMultiplyWithCarry(seed*0x9e3779b97f4a7c15 + 1)
		sent, when := make([][]float64, backends), make([][]float64, backends)
		var balancers []*Balancer
		var backendsOf [][]*Backend
		for k := range uint64(up) {
			config := testConfig()
			config.Nodes, config.Seed, config.OverloadMultiple, config.OverloadWindow = nodes, (seed*up+k)*0xbf58476d1ce4e5b9+7, 4, span
			h := newHarness(t, config, backends)
			h.setState(BackendReady, h.now, h.backends...)
			h.balancer.estimates.work = runningMean{25, 50}
			*h.balancer.estimates.paces.byKind.entry(0) = paceEstimate{2e5, 1e5} // half a standard core
			balancers, backendsOf = append(balancers, h.balancer), append(backendsOf, h.backends)
		}
		for now := 1000.0; now < 7000; now += 5 {
			for k, n := range balancers {
				if n.now = now; rng.nextUnit() > 0.2 { // 40 requests a second
					continue
				}
				work, at := 25*math.Exp(1.2*math.Sqrt(-2*math.Log(1-rng.nextUnit()))*math.Cos(2*math.Pi*rng.nextUnit())-0.72), rng.nextBelow(backends)
				if b := backendsOf[k][at]; n.hasSlowStartBudget(b, work) {
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
		assert.Greater(t, whole, 0.05*could, "also by requests of the usual size, most of the work")
		assert.Less(t, total, 2.4*could)
	}
}

// Two processes of a node keep its slow start budget together, and for a window after one of them has gone.
func TestSlowStartBudgetOfTwoProcesses(t *testing.T) {
	whole := func(of ...int) float64 {
		h := newHarness(t, testConfig(), 1)
		for _, n := range of {
			h.balancer.ProcessesChanged(h.now, n)
		}
		h.setState(BackendReady, h.now, h.backends...)
		sent := 0.0
		for h.balancer.hasSlowStartBudget(h.backends[0], 10) {
			h.backends[0].recentWork.add(h.now, 2000, 10)
			sent += 10
		}
		return sent
	}
	alone := whole()
	assert.Greater(t, alone, 100.0)
	assert.LessOrEqual(t, 2*whole(2), alone+20)
	assert.Equal(t, whole(2), whole(2, 1), "what the other spent still counts")
	h := newHarness(t, testConfig(), 1)
	h.balancer.ProcessesChanged(h.now, 2)
	h.balancer.ProcessesChanged(h.now, 1)
	assert.Equal(t, 2.0, h.balancer.activeProcesses())
	h.advance(h.balancer.config.OverloadWindow)
	assert.Equal(t, 1.0, h.balancer.activeProcesses())
}
