package balancer

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// doubtful is plain() where a list that does not name a backend is no proof.
func doubtful() *Config {
	t := plain()
	t.RemovalIsHint = true
	return t
}

// served are the backends that a few hundred shorts, answered at once, were pushed to.
func (d *desk) served() map[*Backend]bool {
	on := map[*Backend]bool{}
	for range 300 {
		op := d.arrive("x", 0, 10)
		d.pull()
		d.now += 2
		if len(op.Attempts) > 0 {
			on[op.Attempts[0].Backend] = true
			d.end(op.Attempts[0], OutcomeAnswered)
		}
		d.pull()
	}
	return on
}

// Reported: for seconds the list called every backend gone while all served, and nine in ten ops were nacked.
func TestAListThatEmptiesIsDoubted(t *testing.T) {
	for name, empty := range map[string]func(d *desk){
		"a whole list without entries": func(d *desk) { d.node.EndpointsChanged(d.now, nil, true, false) },
		"lines that say gone":          func(d *desk) { d.list(BackendRemoved, 0, d.backends...) },
	} {
		d := sit(t, doubtful(), 10)
		d.list(BackendDraining, 0, d.backends[0]) // drained and then gone stays out
		empty(d)
		require.Len(t, d.served(), 9, name)
		learned := d.backends[3].drain
		d.list(BackendReady, 0, d.backends[1:]...) // its return is no restart of all
		require.Equal(t, learned, d.backends[3].drain, name)
		require.Equal(t, 1.0, d.node.slowStartFactor(d.backends[3]), name)

		bound := sit(t, plain(), 10)
		empty(bound)
		require.Empty(t, bound.served(), "where removal binds")
	}
}

// The twin: what crashes or restarts together is less than half, and is believed.
func TestAListThatTakesLessThanHalfIsBelieved(t *testing.T) {
	d := sit(t, doubtful(), 10)
	d.list(BackendRemoved, 0, d.backends[:5]...)
	require.Len(t, d.served(), 5)
	d.list(BackendRemoved, 0, d.backends[5])
	require.Len(t, d.served(), 10)
	d.list(BackendReady, 0, d.backends[5])
	require.Len(t, d.served(), 5)
}

// What is really gone shows within a few connects, and the list's word is forgotten after the stated bound.
func TestWhatIsReallyGoneIsLeftAloneAndForgotten(t *testing.T) {
	d := sit(t, doubtful(), 10)
	d.node.EndpointsChanged(d.now, nil, true, false)
	d.fail(3, OutcomeConnectFailed, d.backends[0], d.backends[1])
	on := d.served()
	require.GreaterOrEqual(t, len(on), 5)
	require.False(t, on[d.backends[0]] || on[d.backends[1]])
	d.after(removedRetention)
	require.Empty(t, d.served())
	require.Empty(t, d.node.backends)
}
