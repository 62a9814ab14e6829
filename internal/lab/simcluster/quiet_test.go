package simcluster

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// What quiet links carry is counted, and grows with the members; what is kept has its outcome.
func TestQuiet(t *testing.T) {
	each := func(members int) (bytes, frames float64) {
		f := New(1, members, 3)
		f.Start()
		f.Advance(3500)
		assert.Equal(t, members, f.ServedLogs())
		before, count := f.BytesSent, f.FramesSent
		f.Advance(1000)
		return float64(f.BytesSent-before) / float64(members), float64(f.FramesSent-count) / float64(members)
	}
	few, fewFrames := each(3)
	many, manyFrames := each(6)
	assert.Positive(t, few)
	assert.Greater(t, many, 1.5*few)
	assert.Greater(t, manyFrames, fewFrames)

	f := New(1, 3, 3)
	f.Start()
	f.Advance(3500)
	f.LogRequests(0, 100, 500, 200)
	f.Advance(1500)
	assert.Equal(t, 100, f.LoggedAnswers)
}
