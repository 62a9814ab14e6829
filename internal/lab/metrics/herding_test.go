package metrics

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// One backend gets eight attempts within 100 ms, the other none. Later each gets one.
func TestHerding(t *testing.T) {
	e := decodeExperiment(t, "")
	recorder := NewRecorder(e, 1)
	for range 8 {
		recorder.AttemptStarted(5, 0, false)
	}
	recorder.AttemptStarted(205, 0, false)
	recorder.AttemptStarted(205, 1, false)
	run := recorder.Finish(e.NewAuditor(0), 0, 0, nil)
	assert.InDelta(t, 2, run.Herding, 1e-9, "all attempts at one of two backends is twice the even share")
}
