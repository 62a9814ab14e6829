// Package discoverystub is the model of the list's service: what it knows lags behind the truth, it tells so many lines a
// second to all nodes together, and calls that would wait too long fail. It holds no clock and does no I/O.
package discoverystub

import (
	"math"
	"slices"

	"pearknot/balancer"
)

// Entry is one backend as the list names it.
type Entry struct {
	Backend int
	State   balancer.BackendState
	Started float64
}

// mostWait is how long a call may wait for its turn, in ms.
const mostWait = 2e3

// Roll is the service.
type Roll struct {
	lines   float64 // it tells a ms; 0 is no limit
	pending []change
	told    []change    // published, by version from 1
	held    map[int]int // the place in told of each backend's latest entry
	free    float64     // when it is done with the calls before
}

type change struct {
	at float64
	Entry
}

// New makes a service that tells so many lines a second.
func New(linesPerSecond float64) *Roll {
	return &Roll{lines: linesPerSecond / 1e3, held: map[int]int{}, free: math.Inf(-1)}
}

// Set takes the truth, to be known after a lag in ms. What is known sooner never overtakes what came before.
func (r *Roll) Set(now, lag float64, e Entry) {
	at := now + lag
	if n := len(r.pending); n > 0 {
		at = math.Max(at, r.pending[n-1].at)
	}
	r.pending = append(r.pending, change{at, e})
}

// Due is when something more is known.
func (r *Roll) Due() float64 {
	if len(r.pending) == 0 {
		return math.Inf(1)
	}
	return r.pending[0].at
}

// Advance publishes what is known by now and tells whether that is anything.
func (r *Roll) Advance(now float64) (news bool) {
	for len(r.pending) > 0 && r.pending[0].at <= now {
		c := r.pending[0]
		r.pending = r.pending[1:]
		r.told = append(r.told, c)
		r.held[c.Backend] = len(r.told) - 1
		news = true
	}
	return news
}

// Version is that of the latest change.
func (r *Roll) Version() int { return len(r.told) }

// Since gives the latest entries of what changed after a version.
func (r *Roll) Since(version int) []Entry {
	var changed []Entry
	for i := max(version, 0); i < len(r.told); i++ {
		if r.held[r.told[i].Backend] == i {
			changed = append(changed, r.told[i].Entry)
		}
	}
	return changed
}

// Whole is the list without what is gone, by number.
func (r *Roll) Whole() []Entry {
	var all []Entry
	for _, i := range r.held {
		if r.told[i].State != balancer.BackendRemoved {
			all = append(all, r.told[i].Entry)
		}
	}
	slices.SortFunc(all, func(a, b Entry) int { return a.Backend - b.Backend })
	return all
}

// WholeAt is the list as it stood at an earlier time, with its version.
func (r *Roll) WholeAt(at float64) ([]Entry, int) {
	old := &Roll{held: map[int]int{}, pending: r.told}
	old.Advance(at)
	return old.Whole(), old.Version()
}

// Call queues a call for so many lines; done is when it is answered, ok whether it is.
func (r *Roll) Call(now float64, lines int) (done float64, ok bool) {
	if r.lines == 0 {
		return now, true
	}
	start := math.Max(now, r.free)
	if start-now > mostWait {
		return now + mostWait, false
	}
	r.free = start + float64(lines)/r.lines
	return r.free, true
}
