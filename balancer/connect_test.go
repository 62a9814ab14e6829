package balancer

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func scarce(number, nodes int) *Config {
	t := plain()
	t.NodeIndex, t.Nodes, t.ConnectionCost, t.CrossZoneCost = number, nodes, 0.06, 0.08
	return t
}

func (d *desk) own() (own []*Backend) {
	for _, b := range d.backends {
		if b.inSubset {
			own = append(own, b)
		}
	}
	return own
}

// Reported: 332 nodes and 244 backends of 22 connections each: seven in ten pushes got none. Each node has its part, and
// the parts spread evenly, in a zone's half of the nodes too.
func TestPartsOfTheFleetSpreadEvenly(t *testing.T) {
	for _, zones := range []int{1, 2} {
		at := map[uint64]int{}
		for number := range 300 {
			if number%zones > 0 {
				continue
			}
			d := sit(t, scarce(number, 300), 200)
			require.Len(t, d.own(), subsetSizeOwnZone)
			for _, b := range d.own() {
				at[b.ID]++
			}
		}
		mean := 300.0 / float64(zones) * subsetSizeOwnZone / 200
		for ref := range uint64(200) {
			assert.InDelta(t, mean, at[ref], 0.5*mean+1, "backend %d", ref)
		}
	}
	d := sit(t, plain(), 200)
	assert.Empty(t, d.own(), "without a price all are open")
	assert.True(t, d.node.mayUse(d.backends[0]))
}

// A backend that refuses connections is replaced by the next on the ring for as long as it does, is asked again later and
// later, and does not make others' ops look hopeless.
func TestWhoRefusesConnectionsIsReplaced(t *testing.T) {
	d := sit(t, scarce(3, 300), 200)
	own := d.own()
	for k, b := range own[:2] {
		for range k + 1 {
			d.node.AttemptEnded(d.now, d.busy(b), OutcomeConnectFailed, 0, true)
			b.pausedUntil = 0
		}
		b.pausedUntil = d.now + 1e3
	}
	d.after(reviewInterval + 1).pull()
	require.Len(t, d.own(), subsetSizeOwnZone+2)
	for range 20 {
		op := d.arrive("op", 1, 10)
		require.Equal(t, "push:op", d.pull())
		require.NotContains(t, own[:2], op.Attempts[0].Backend)
		d.now += 5
		d.end(op.Attempts[0], OutcomeAnswered)
		d.pull()
	}
	for _, b := range own[:2] {
		b.pausedUntil, b.refusals, b.suspicion = 0, 0, decayingCounter{}
	}
	d.node.reviewBackends()
	require.ElementsMatch(t, own, d.own())
}

// Heavy ops keep to the part, too: each backend outside it is a connection more.
func TestLongsKeepToTheirPart(t *testing.T) {
	d := sit(t, scarce(3, 300), 200)
	d.seen()
	for range 20 {
		op := d.arrive("long", 0, 200)
		require.Equal(t, "push:long", d.pull())
		require.True(t, op.Attempts[0].Backend.inSubset)
		d.after(150).end(op.Attempts[0], OutcomeAnswered)
		d.pull()
	}
}

// What a report says it holds beyond what its rate keeps at work waits there.
func TestQueuesFromOpsHeldAndRate(t *testing.T) {
	d := sit(t, plain(), 2)
	d.seen()
	d.node.LoadReported(d.now, d.backends[0], LoadReport{ServiceTime: 50, InFlight: 9, Queued: NotReported, Throughput: 20})
	d.node.LoadReported(d.now, d.backends[1], LoadReport{ServiceTime: 50, InFlight: 1, Queued: NotReported, Throughput: 20})
	assert.Greater(t, d.backends[0].expectedWait(d.now, 0), 100.0)
	assert.Zero(t, d.backends[1].expectedWait(d.now, 0))
	assert.Zero(t, d.node.zoneWait(0), "a guess of one says nothing of the others")
}
