// Package discoverystub models the discovery service: what it knows lags behind the truth, it sends a limited number
// of list entries a second to all nodes together, and calls that would wait too long fail. It does no I/O and holds no
// clock. All times are in ms.
package discoverystub

import (
	"cmp"
	"math"
	"slices"

	"pearknot/balancer"
)

// maxQueueDelay is how long a call may wait for its turn, in ms, before it fails.
const maxQueueDelay = 2e3

// Entry is a backend on the endpoint list.
type Entry struct {
	Backend int
	State   balancer.BackendState
	Started float64 // when its process started; 0 is long ago
}

// Service is the discovery service. It is not safe for concurrent use.
type Service struct {
	linesPerMs float64 // that it can send; 0 is no limit
	busyUntil  float64 // when it has sent the responses to all calls so far

	pending   []change    // not known to the service yet, in the order of time
	published []change    // the change that made version v is at v-1
	latest    map[int]int // the place in published of each backend's latest change
}

// change is an entry that the service learns of at a time.
type change struct {
	at float64
	Entry
}

// New returns a service with an empty list that sends at most so many entries a second, without limit for 0.
func New(linesPerSecond float64) *Service {
	return &Service{linesPerMs: linesPerSecond / 1e3, latest: map[int]int{}, busyUntil: math.Inf(-1)}
}

// Update has the service learn of an entry after a lag. Changes never overtake one another: one with a short lag is
// not known before those that came earlier.
func (s *Service) Update(now, lag float64, entry Entry) {
	at := now + lag
	if count := len(s.pending); count > 0 {
		at = math.Max(at, s.pending[count-1].at)
	}
	s.pending = append(s.pending, change{at, entry})
}

// NextPublish returns when the service learns of its next change, or +Inf if there is none.
func (s *Service) NextPublish() float64 {
	if len(s.pending) == 0 {
		return math.Inf(1)
	}
	return s.pending[0].at
}

// Advance publishes all changes known by now, and reports whether there were any.
func (s *Service) Advance(now float64) (changed bool) {
	for len(s.pending) > 0 && s.pending[0].at <= now {
		next := s.pending[0]
		s.pending = s.pending[1:]
		s.published = append(s.published, next)
		s.latest[next.Backend] = len(s.published) - 1
		changed = true
	}
	return changed
}

// Version returns the version of the list: the number of changes published.
func (s *Service) Version() int { return len(s.published) }

// ChangesSince returns the latest entry of each backend that changed after a version, in the order of the changes.
func (s *Service) ChangesSince(version int) []Entry {
	var entries []Entry
	for i := max(version, 0); i < len(s.published); i++ {
		if s.latest[s.published[i].Backend] == i {
			entries = append(entries, s.published[i].Entry)
		}
	}
	return entries
}

// List returns the complete list, without removed backends, by number.
func (s *Service) List() []Entry {
	var entries []Entry
	for _, i := range s.latest {
		if s.published[i].State != balancer.BackendRemoved {
			entries = append(entries, s.published[i].Entry)
		}
	}
	slices.SortFunc(entries, func(a, b Entry) int { return cmp.Compare(a.Backend, b.Backend) })
	return entries
}

// ListAt returns the complete list as it stood at an earlier time, with its version.
func (s *Service) ListAt(at float64) (entries []Entry, version int) {
	earlier := &Service{latest: map[int]int{}, pending: s.published}
	earlier.Advance(at)
	return earlier.List(), earlier.Version()
}

// Call queues a call whose response has so many entries. It returns when the service responds, and whether with
// success: a call that would have to wait too long fails.
func (s *Service) Call(now float64, lines int) (done float64, ok bool) {
	if s.linesPerMs == 0 {
		return now, true
	}
	start := math.Max(now, s.busyUntil)
	if start-now > maxQueueDelay {
		return now + maxQueueDelay, false
	}
	s.busyUntil = start + float64(lines)/s.linesPerMs
	return s.busyUntil, true
}
