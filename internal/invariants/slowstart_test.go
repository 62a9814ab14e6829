package invariants

import (
	"fmt"
	"math"
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"pearknot/balancer"
)

// meanWork is the mean work of requests in testConfig, in ms of a standard core.
const meanWork = 20

// slowStartSource reports the start of backend 1 and the attempts that nodes send to it. Its methods take times relative to
// the start.
type slowStartSource struct {
	*eventSource
	startedAt   float64
	lastRequest uint64
}

func newSlowStartSource(speed float64) *slowStartSource {
	s := &slowStartSource{eventSource: newEventSource(testConfig()), startedAt: 10e3}
	return s.restart(0, speed)
}

func (s *slowStartSource) restart(at, speed float64) *slowStartSource {
	s.now, s.startedAt = s.startedAt+at, s.startedAt+at
	s.recordAfter(0, Event{Kind: BackendStarted, Backend: 1, Started: s.now, Speed: speed})
	return s
}

// notifyNodes reports that nodes 0 to nodes-1 were notified of the start.
func (s *slowStartSource) notifyNodes(nodes int) *slowStartSource {
	for n := range nodes {
		s.recordAfter(0, Event{Kind: EndpointNotified, Node: n, Backend: 1, State: balancer.BackendReady, Started: s.startedAt})
	}
	return s
}

// send reports attempts of mean work, which the given number of nodes, from first on, send in turn.
func (s *slowStartSource) send(at float64, first, nodes, attempts int) *slowStartSource {
	return s.sendWork(at, first, nodes, attempts, meanWork)
}

// sendWork is like send, with attempts of the given work.
func (s *slowStartSource) sendWork(at float64, first, nodes, attempts int, work float64) *slowStartSource {
	s.now = s.startedAt + at
	for k := range attempts {
		s.lastRequest++
		s.recordAfter(0, Event{Kind: RequestAccepted, Request: s.lastRequest, Node: first + k%nodes, Deadline: s.now + 1e3})
		s.recordAfter(0, Event{Kind: AttemptStarted, Request: s.lastRequest, Node: first + k%nodes, Backend: 1, Work: work})
		s.recordAfter(0, Event{Kind: ClientGone, Request: s.lastRequest})
	}
	return s
}

// A cold backend gets attempts from all nodes. It fails beyond N + 2 sqrt(N) + 2 in one window, where N is 100 at the start,
// 175 after 2 s and 250 after 4 s, for both twenty and thirty nodes. Nodes from 0 on were notified of the start, nodes from
// 50 on were not.
func TestSlowStartFleetwide(t *testing.T) {
	for _, nodes := range []int{20, 30} {
		for _, c := range []struct {
			name string
			want int
			run  func(s *slowStartSource)
		}{
			{"at the threshold", 0, func(s *slowStartSource) { s.send(0, 0, nodes, 122) }},
			{"just above the threshold", 1, func(s *slowStartSource) { s.send(0, 0, nodes, 123) }},
			{"one violation for each start", 1, func(s *slowStartSource) { s.send(0, 0, nodes, 500).send(100, 0, nodes, 500) }},
			{"half warm, at the threshold", 0, func(s *slowStartSource) { s.send(4000, 0, nodes, 283) }},
			{"half warm, above it", 1, func(s *slowStartSource) { s.send(4000, 0, nodes, 284) }},
			{"warm", 0, func(s *slowStartSource) { s.send(8000, 0, nodes, 5000) }},
			{"just before it is warm", 1, func(s *slowStartSource) { s.send(7999, 0, nodes, 5000) }},
			{"the first attempts are still in the window", 1, func(s *slowStartSource) { s.send(0, 0, nodes, 122).send(1999, 0, nodes, 82) }},
			{"with one attempt less", 0, func(s *slowStartSource) { s.send(0, 0, nodes, 122).send(1999, 0, nodes, 81) }},
			{"the first attempts are out of the window", 0, func(s *slowStartSource) { s.send(0, 0, nodes, 122).send(2000, 0, nodes, 203) }},
			{"the window slides", 1, func(s *slowStartSource) { s.send(500, 0, nodes, 80).send(1500, 0, nodes, 80).send(2400, 0, nodes, 80) }},
			{"as many, further apart", 0, func(s *slowStartSource) { s.send(500, 0, nodes, 80).send(1500, 0, nodes, 80).send(2500, 0, nodes, 80) }},
			{"two thirds notified", 0, func(s *slowStartSource) { s.send(0, 50, nodes, 41).send(0, 0, nodes, 82) }},
			{"over two thirds notified", 1, func(s *slowStartSource) { s.send(0, 50, nodes, 40).send(0, 0, nodes, 83) }},
			{"over two thirds notified, the last not", 1, func(s *slowStartSource) { s.send(0, 0, nodes, 83).send(0, 50, nodes, 40) }},
			{"notified, but out of the window", 0, func(s *slowStartSource) {
				s.send(0, 0, nodes, 122).send(1000, 0, nodes, 40).send(2000, 50, nodes, 164)
			}},
			{"not notified, but out of the window", 1, func(s *slowStartSource) { s.send(0, 50, nodes, 122).send(1000, 50, nodes, 1).send(2000, 0, nodes, 203) }},
			{"notified of an earlier start", 0, func(s *slowStartSource) { s.restart(5, 1).send(0, 0, nodes, 123) }},
			{"notified, then killed", 0, func(s *slowStartSource) {
				for n := range nodes {
					s.recordAfter(0, Event{Kind: NodeKilled, Node: n})
				}
				s.send(0, 0, nodes, 123)
			}},
			{"killed after it sent", 1, func(s *slowStartSource) {
				s.send(0, 0, nodes, 122).recordAfter(0, Event{Kind: NodeKilled})
				s.send(0, 1, nodes-1, 1)
			}},
			{"failed by nodes that were not notified", 0, func(s *slowStartSource) { s.send(0, 50, nodes, 123).send(10, 0, nodes, 500) }},
			{"and started again", 1, func(s *slowStartSource) {
				s.send(0, 50, nodes, 123).restart(10, 1).notifyNodes(nodes).send(0, 0, nodes, 123)
			}},
			{"started again, a window of its own", 0, func(s *slowStartSource) {
				s.send(0, 0, nodes, 122).restart(10, 1).notifyNodes(nodes).send(0, 0, nodes, 122)
			}},
			{"started again, and above it", 1, func(s *slowStartSource) {
				s.send(0, 0, nodes, 122).restart(10, 1).notifyNodes(nodes).send(0, 0, nodes, 123)
			}},
			{"failed at each of two starts", 2, func(s *slowStartSource) {
				s.send(0, 0, nodes, 123).restart(10, 1).notifyNodes(nodes).send(0, 0, nodes, 123)
			}},
			{"an N of a quarter allows three", 0, func(s *slowStartSource) { s.restart(0, 0.0025).notifyNodes(nodes).send(0, 0, nodes, 3) }},
			{"and not four", 1, func(s *slowStartSource) { s.restart(0, 0.0025).notifyNodes(nodes).send(0, 0, nodes, 4) }},
			{"few heavy requests", 0, func(s *slowStartSource) { s.sendWork(0, 0, nodes, 10, 244) }},
			{"few heavier requests", 1, func(s *slowStartSource) { s.sendWork(0, 0, nodes, 10, 244.1) }},
			{"many light requests", 0, func(s *slowStartSource) { s.sendWork(0, 0, nodes, 2440, 1) }},
			{"one light request more", 1, func(s *slowStartSource) { s.sendWork(0, 0, nodes, 2441, 1) }},
		} {
			s := newSlowStartSource(1).notifyNodes(nodes)
			c.run(s)
			name := fmt.Sprintf("%s, %d nodes", c.name, nodes)
			assert.Equal(t, c.want, s.finish()[SlowStartFleetwide], name)
			for _, violation := range s.Violations() {
				if violation.Rule == SlowStartFleetwide {
					assert.NotEmpty(t, violation.Evidence, name)
					assert.Contains(t, violation.String(), "rule 6 (ramps kept)", name)
					assert.Contains(t, s.Verdict(), fmt.Sprintf("ramps kept %d", c.want), name)
				}
			}
		}
	}
}

// For random attempts the sliding window gives the same result as adding up the whole history.
func TestSlowStartFleetwideAgainstModel(t *testing.T) {
	type sentAttempt struct {
		at, work     float64
		fromNotified bool
	}
	rapid.Check(t, func(t *rapid.T) {
		speed := rapid.SampledFrom([]float64{0.002, 0.05, 1}).Draw(t, "speed")
		notified := rapid.IntRange(0, 30).Draw(t, "notified")
		s := newSlowStartSource(speed).notifyNodes(notified)
		var history []sentAttempt
		at, want := 0.0, 0
		for range rapid.IntRange(0, 120).Draw(t, "attempts") {
			at += rapid.SampledFrom([]float64{0, 0, 1, 50, 400, 2000}).Draw(t, "after")
			node, work := rapid.IntRange(0, 29).Draw(t, "node"), float64(rapid.IntRange(1, 60).Draw(t, "work"))
			s.sendWork(at, node, 1, 1, work)
			history = append(history, sentAttempt{at, work, node < notified})
			if at >= 8000 {
				continue
			}
			sum, fromNotified := 0.0, 0.0
			for _, sent := range history {
				if sent.at > at-2000 {
					sum += sent.work
					if sent.fromNotified {
						fromNotified += sent.work
					}
				}
			}
			n := 4 * (0.25 + 0.75*at/8000) * speed * 2000 / meanWork
			if sum/meanWork > n+2*math.Sqrt(n)+2 {
				if 3*fromNotified > 2*sum {
					want = 1
				} else {
					want = -1 // it fails without a violation
				}
				break
			}
		}
		if want != 0 {
			s.send(at, 0, 30, 500) // the backend is down, so these have no effect
		}
		if got := s.finish()[SlowStartFleetwide]; got != max(want, 0) {
			t.Fatalf("%d violations, %d by the whole history", got, want)
		}
	})
}
