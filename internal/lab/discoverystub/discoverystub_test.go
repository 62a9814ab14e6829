package discoverystub

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"pearknot/balancer"
)

// A backend drains while the list lags, and is removed soon after with a shorter lag. If the removal were published
// first, the list would end with a draining backend that no longer exists.
func TestLagKeepsOrder(t *testing.T) {
	service := New(0)
	service.Update(0, 0, Entry{Backend: 1, State: balancer.BackendReady})
	service.Update(0, 0, Entry{Backend: 0, State: balancer.BackendReady})
	assert.True(t, service.Advance(0))
	service.Update(10, 100, Entry{Backend: 1, State: balancer.BackendDraining})
	service.Update(20, 5, Entry{Backend: 1, State: balancer.BackendRemoved})
	assert.False(t, service.Advance(109))
	assert.InDelta(t, 110, service.NextPublish(), 0)
	assert.True(t, service.Advance(110))
	assert.Equal(t, []Entry{{Backend: 1, State: balancer.BackendRemoved}}, service.ChangesSince(2), "the latest of each")
	assert.Equal(t, []Entry{{Backend: 0, State: balancer.BackendReady}}, service.List())
	earlier, version := service.ListAt(50)
	assert.Len(t, earlier, 2)
	assert.Equal(t, 2, version)
	assert.Equal(t, 4, service.Version())
}

// When the whole fleet polls at once, calls queue at the service, and those that would wait too long fail.
func TestCallsQueue(t *testing.T) {
	service := New(1000) // an entry a ms
	done, ok := service.Call(0, 1500)
	assert.True(t, ok)
	assert.InDelta(t, 1500, done, 0)
	done, ok = service.Call(0, 1500)
	assert.True(t, ok)
	assert.InDelta(t, 3000, done, 0)
	_, ok = service.Call(0, 1)
	assert.False(t, ok, "it would wait three seconds")
	done, ok = New(0).Call(-5, 1e6)
	assert.True(t, ok)
	assert.InDelta(t, -5, done, 0)
}

// A node that follows the changes, at whatever versions it asks, must end with the complete list: a change skipped
// would leave it with a backend that is gone until its next restart.
func TestChangesAddUpToList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		service := New(0)
		followed, version := map[int]balancer.BackendState{}, 0
		follow := func() {
			for _, entry := range service.ChangesSince(version) {
				followed[entry.Backend] = entry.State
			}
			version = service.Version()
		}
		for now := range rapid.IntRange(1, 40).Draw(t, "steps") {
			service.Update(float64(now), rapid.Float64Range(0, 10).Draw(t, "lag"), Entry{
				Backend: rapid.IntRange(0, 4).Draw(t, "backend"),
				State:   balancer.BackendState(rapid.IntRange(0, 2).Draw(t, "state")),
			})
			service.Advance(float64(now))
			if rapid.Bool().Draw(t, "polls") {
				follow()
			}
		}
		follow()
		present := 0
		for _, state := range followed {
			if state != balancer.BackendRemoved {
				present++
			}
		}
		list := service.List()
		if len(list) != present {
			t.Fatalf("list %v, followed %v", list, followed)
		}
		for _, entry := range list {
			if followed[entry.Backend] != entry.State {
				t.Fatalf("list %v, followed %v", list, followed)
			}
		}
	})
}
