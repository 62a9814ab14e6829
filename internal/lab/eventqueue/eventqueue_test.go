package eventqueue

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
)

// Events are scheduled at random times, many at the same one, while others are taken. They come in the order of their times, and
// those of one time in the order in which they were scheduled.
func TestEventsComeInOrder(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	var queue Queue
	scheduled := 0
	now, lastTaken := 0.0, -1
	take := func() {
		require.Equal(t, queue.NextAt(), queue.events[0].At)
		event := queue.Take()
		require.GreaterOrEqual(t, event.At, now)
		if event.At > now {
			now, lastTaken = event.At, -1
		}
		event.Handle()
	}
	for range 1000 {
		number := scheduled
		queue.Schedule(now+float64(rng.IntN(3)), func() {
			require.Greater(t, number, lastTaken)
			lastTaken = number
		})
		scheduled++
		if rng.IntN(2) == 0 {
			take()
		}
	}
	for queue.Len() > 0 {
		take()
	}
}
