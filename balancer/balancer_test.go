package balancer

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
)

// Checks that the same inputs and seed lead to the same decisions, and that another seed leads to different ones.
func TestDeterminism(t *testing.T) {
	run := func(seed uint64) (trace string) {
		config := testConfig()
		config.Seed = seed
		h := newHarness(t, config, 5)
		for k := range 300 {
			request := h.requestArrives("a", k%4, float64(k*31%97)+1)
			trace += h.decisions()
			for _, attempt := range request.Attempts {
				trace += fmt.Sprint(attempt.Backend.ID)
				if attempt.inFlight {
					h.advance(float64(k%7)).endAttempt(attempt, []Outcome{OutcomeAnswered, OutcomeFailed, OutcomeRejected, OutcomeTimedOut}[k*k%4])
				}
			}
		}
		return trace
	}
	assert.Equal(t, run(1), run(1))
	assert.NotEqual(t, run(1), run(2))
}
