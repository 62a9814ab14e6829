package backendmodel

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

func kind() Kind {
	return Kind{Cores: 1, Speed: 1, Queue: 3, ColdFrom: 0.25, WarmWithin: 8000, FallMultiple: 4, OverloadFor: 2000,
		ReportAge: 100, StopOnRevoke: true}
}

func warm(k Kind) *Machine {
	m := New(k, rand.New(rand.NewPCG(1, 1)))
	m.Start(0, true)
	return m
}

// finish drives a machine until it has nothing to do by itself, and gives when each op was done.
func finish(m *Machine) map[uint64]float64 {
	done := map[uint64]float64{}
	for k := 0; k < 1e5 && !math.IsInf(m.Next(), 1); k++ {
		for _, d := range m.Advance(m.Next()) {
			done[d.ID] = d.At
		}
	}
	return done
}

func TestQueue(t *testing.T) {
	m := warm(kind())
	for id := range uint64(4) {
		assert.Equal(t, Taken, m.Arrive(0, id, 10, false))
	}
	assert.Equal(t, Rejected, m.Arrive(0, 9, 10, false), "one runs, three wait")
	assert.Equal(t, []uint64{0}, m.Begun())
	m.Revoke(5, 2)
	assert.Equal(t, map[uint64]float64{0: 10, 1: 20, 3: 30}, finish(m))
	r := m.Report(200)
	assert.InDelta(t, 10, r.Service, 1e-9, "without waiting")
	m.Drain(200)
	assert.Equal(t, Rejected, m.Arrive(200, 9, 10, false))
}

func TestTroubles(t *testing.T) {
	for name, c := range map[string]struct {
		put  Troubles
		want Verdict
		done float64
	}{
		"none": {Troubles{}, Taken, 10}, "slow": {Troubles{Slow: 3}, Taken, 30},
		"swallow": {Troubles{Swallow: true}, Swallowed, 0}, "errors": {Troubles{Errors: 1}, Failed, 0},
		"lie": {Troubles{Lie: 5}, Taken, 10},
	} {
		m := warm(kind())
		m.Put(0, c.put)
		assert.Equal(t, c.want, m.Arrive(0, 1, 10, false), name)
		assert.InDelta(t, c.done, finish(m)[1], 1e-6, name)
	}
	m := warm(kind())
	m.Put(0, Troubles{Every: 100, Pause: 50})
	m.Arrive(0, 1, 200, false)
	assert.InDelta(t, 400, finish(m)[1], 50, "half of the time it stands still")
}

// Cold, it does a quarter of its work; warming, more and more; and over what it stands it falls and stays down.
func TestCold(t *testing.T) {
	m := New(kind(), rand.New(rand.NewPCG(1, 1)))
	assert.Equal(t, Down, m.Arrive(0, 1, 10, false))
	m.Start(1000, false)
	assert.InDelta(t, 1000, m.Started(), 0)
	m.Arrive(1000, 1, 10, false)
	assert.InDelta(t, 1040, finish(m)[1], 2)
	assert.Equal(t, Taken, m.Arrive(1050, 2, 1800, false))
	assert.True(t, m.ColdRoom(1050, 0.1) == false, "over four fifths")
	assert.Equal(t, Down, m.Arrive(1060, 3, 300, false))
	assert.True(t, m.Fallen())
	assert.ElementsMatch(t, []uint64{2}, m.Stop(1060))
	assert.False(t, m.Up())
}

// What chance may add to 2000 ms, in ops of 20 ms, is 2 x root of 100 and 2 more: it falls above 2440. All that comes counts, what it
// rejects or swallows too.
func TestColdByChance(t *testing.T) {
	k := kind()
	k.MeanWork = 20
	for name, put := range map[string]Troubles{"sound": {}, "swallows": {Swallow: true}, "fails": {Errors: 1}} {
		m := New(k, rand.New(rand.NewPCG(1, 1)))
		m.Start(1000, false)
		m.Put(1000, put)
		for id := range uint64(122) {
			assert.NotEqual(t, Down, m.Arrive(1000, id, 20, false), name)
		}
		assert.False(t, m.Fallen(), name)
		assert.Equal(t, Down, m.Arrive(1000, 999, 0.1, false), name)
		assert.True(t, m.Fallen(), name)
	}
}

func TestCrowd(t *testing.T) {
	k := kind()
	k.Queue, k.CrowdQueue, k.CrowdAfter, k.CrowdFactor, k.CrowdUntil = 100, 2, 50, 4, 30
	m := warm(k)
	for id := range uint64(10) {
		m.Arrive(0, id, 10, false)
	}
	done := finish(m)
	assert.InDelta(t, 50, done[4], 1e-6, "as fast as ever until the queue has lasted")
	assert.InDelta(t, 90, done[5], 1e-6, "then slower by the factor")
	m.Advance(done[9] + 31)
	m.Arrive(done[9]+31, 99, 10, false)
	assert.InDelta(t, done[9]+41, finish(m)[99], 1e-6, "over after a calm time")
}

func TestRevokeGoesOn(t *testing.T) {
	k := kind()
	k.StopOnRevoke = false
	m := warm(k)
	m.Arrive(0, 1, 100, false)
	m.Arrive(0, 2, 10, false)
	m.Revoke(10, 1)
	assert.Equal(t, map[uint64]float64{2: 110}, finish(m))
	_, wasted := m.Worked()
	assert.InDelta(t, 100, wasted, 1e-6)
}

// However the time is cut into looks, the same ops are done at the same times, each once, none before its work could be.
func TestLooksChangeNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		k := kind()
		k.Cores, k.Queue, k.CrowdQueue, k.CrowdAfter, k.CrowdFactor, k.CrowdUntil = rapid.IntRange(1, 4).Draw(t, "cores"), 1000, 1, 20, 3, 20
		a, b := warm(k), warm(k)
		put := Troubles{Every: 50, Pause: rapid.Float64Range(0, 40).Draw(t, "pause"), Slow: 2}
		a.Put(0, put)
		b.Put(0, put)
		da, db := map[uint64]float64{}, map[uint64]float64{}
		now := 0.0
		n := rapid.IntRange(1, 30).Draw(t, "ops")
		for id := range uint64(n) {
			for range rapid.IntRange(0, 4).Draw(t, "looks") {
				now += rapid.Float64Range(0, 10).Draw(t, "gap")
				for _, d := range b.Advance(now) {
					db[d.ID] = d.At
				}
			}
			work := rapid.Float64Range(0.1, 30).Draw(t, "work")
			for _, d := range a.Advance(now) {
				da[d.ID] = d.At
			}
			if a.Arrive(now, id, work, false) != b.Arrive(now, id, work, false) {
				t.Fatal("verdicts differ")
			}
		}
		for id, at := range finish(a) {
			da[id] = at
		}
		for id, at := range finish(b) {
			db[id] = at
		}
		if len(da) != n || len(db) != n {
			t.Fatalf("%d and %d done of %d", len(da), len(db), n)
		}
		for id := range da {
			if math.Abs(da[id]-db[id]) > 1e-6 {
				t.Fatalf("op %d at %v and %v", id, da[id], db[id])
			}
		}
	})
}
