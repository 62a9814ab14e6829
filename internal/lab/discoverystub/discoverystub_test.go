package discoverystub

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"pearknot/balancer"
)

func TestLagAndVersions(t *testing.T) {
	r := New(0)
	r.Set(0, 0, Entry{Backend: 1, State: balancer.BackendReady})
	r.Set(0, 0, Entry{Backend: 0, State: balancer.BackendReady})
	assert.True(t, r.Advance(0))
	r.Set(10, 100, Entry{Backend: 1, State: balancer.BackendDraining})
	r.Set(20, 5, Entry{Backend: 1, State: balancer.BackendRemoved}) // known no sooner than what came before
	assert.False(t, r.Advance(109))
	assert.InDelta(t, 110, r.Due(), 0)
	assert.True(t, r.Advance(110))
	assert.Equal(t, []Entry{{Backend: 1, State: balancer.BackendRemoved}}, r.Since(2), "the latest of each")
	assert.Equal(t, []Entry{{Backend: 0, State: balancer.BackendReady}}, r.Whole())
	old, version := r.WholeAt(50)
	assert.Len(t, old, 2)
	assert.Equal(t, 2, version)
	assert.Equal(t, 4, r.Version())
}

func TestCalls(t *testing.T) {
	r := New(1000) // a line a ms
	done, ok := r.Call(0, 1500)
	assert.True(t, ok)
	assert.InDelta(t, 1500, done, 0)
	done, ok = r.Call(0, 1500)
	assert.True(t, ok)
	assert.InDelta(t, 3000, done, 0)
	_, ok = r.Call(0, 1)
	assert.False(t, ok, "it would wait three seconds")
	done, ok = New(0).Call(-5, 1e6)
	assert.True(t, ok)
	assert.InDelta(t, -5, done, 0)
}

// Whoever follows the changes from any version has the whole list.
func TestChangesAddUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := New(0)
		held, version := map[int]balancer.BackendState{}, 0
		for now := range rapid.IntRange(1, 40).Draw(t, "steps") {
			r.Set(float64(now), rapid.Float64Range(0, 10).Draw(t, "lag"), Entry{Backend: rapid.IntRange(0, 4).Draw(t, "backend"),
				State: balancer.BackendState(rapid.IntRange(0, 2).Draw(t, "state"))})
			r.Advance(float64(now))
			if rapid.Bool().Draw(t, "asks") {
				for _, e := range r.Since(version) {
					held[e.Backend] = e.State
				}
				version = r.Version()
			}
		}
		for _, e := range r.Since(version) {
			held[e.Backend] = e.State
		}
		n := 0
		for _, s := range held {
			if s != balancer.BackendRemoved {
				n++
			}
		}
		whole := r.Whole()
		if len(whole) != n {
			t.Fatalf("%v against %v", whole, held)
		}
		for _, e := range whole {
			if held[e.Backend] != e.State {
				t.Fatalf("%v against %v", whole, held)
			}
		}
	})
}
