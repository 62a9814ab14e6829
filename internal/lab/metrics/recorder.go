// Package metrics turns what happens in a run of an experiment into its result: service, latencies, attempts per
// request, herding, wasted work, and the recovery after each fault. Both hosts, the simulation in virtual time and the
// one with real processes, report to the same Recorder, so that their results can be compared.
package metrics

import (
	"math"

	"github.com/HdrHistogram/hdrhistogram-go"

	"pearknot/balancer"
	"pearknot/internal/invariants"
	"pearknot/internal/lab/experiment"
	"pearknot/internal/lab/workload"
)

// windowMs is the length of a window, in ms.
const windowMs = 500.0

// LoadInterval is the interval, in ms, at which a host calls RecordLoad: once for each window.
const LoadInterval = windowMs

// Recorder collects the metrics of one run. A host calls its methods as things happen, and Finish at the end. Times are
// in ms from the start of the run. It is not safe for concurrent use.
type Recorder struct {
	experiment *experiment.Experiment
	classes    []balancer.Class
	open       map[uint64]bool // IDs of requests that arrived, and are neither served nor ended

	run        Run           // its counts so far; Finish adds the rest
	byClass    []classTotals // in the order of the experiment's classes
	windows    []windowTotals
	herding    herding
	sends      int
	attempts   int
	crossZone  int     // attempts
	usefulWork float64 // of the served requests, in ms of a standard core
}

// classTotals are the sums of one class of requests.
type classTotals struct {
	requests  int
	offered   float64 // priority weight
	earned    float64 // priority weight
	latencies *hdrhistogram.Histogram
}

// windowTotals are the sums of one window.
type windowTotals struct {
	Window
	offeredByClass []float64 // priority weight
	earnedByClass  []float64 // priority weight
	latencies      *hdrhistogram.Histogram
}

// NewRecorder returns a recorder for a run of an experiment on one seed.
func NewRecorder(e *experiment.Experiment, seed uint64) *Recorder {
	r := &Recorder{
		experiment: e,
		classes:    e.BalancerClasses(),
		open:       map[uint64]bool{},
		run:        Run{Seed: seed},
		herding:    newHerding(e.Fleet.Backends),
	}
	for range e.Classes {
		r.byClass = append(r.byClass, classTotals{latencies: newClassHistogram()})
	}
	return r
}

// windowAt returns the window that contains a time, and adds it if it doesn't exist yet.
func (r *Recorder) windowAt(ms float64) *windowTotals {
	index := max(int(ms/windowMs), 0)
	for len(r.windows) <= index {
		r.windows = append(r.windows, windowTotals{
			Window:         Window{At: float64(len(r.windows)) * windowMs / 1e3},
			offeredByClass: make([]float64, len(r.classes)),
			earnedByClass:  make([]float64, len(r.classes)),
			latencies:      newWindowHistogram(),
		})
	}
	return &r.windows[index]
}

// priorityWeight returns what a request earns if it is served within its latency objective.
func (r *Recorder) priorityWeight(request *workload.Request) float64 {
	weight := r.classes[request.Class].PriorityWeight
	if r.experiment.Rules.WeightByWork {
		weight *= request.Work
	}
	return weight
}

// RequestArrived is called once for each request, before it is first sent, and not again for a client retry.
func (r *Recorder) RequestArrived(request *workload.Request) {
	weight := r.priorityWeight(request)
	window := r.windowAt(request.ArrivesAt)
	window.Requests++
	window.offeredByClass[request.Class] += weight
	class := &r.byClass[request.Class]
	class.requests++
	class.offered += weight
	r.run.Requests++
	r.open[request.ID] = true
}

// RequestServed is called when the client of a request receives a backend's response. Only the first response of a
// request counts, and none after RequestEnded.
func (r *Recorder) RequestServed(request *workload.Request, now float64) {
	if !r.open[request.ID] {
		return
	}
	delete(r.open, request.ID)
	elapsed := math.Max(now-request.ArrivesAt, 0)
	share := workload.EarnedShare(&r.classes[request.Class], elapsed, r.experiment.Classes[request.Class].DeadlineMs)
	weight := r.priorityWeight(request) * share
	window := r.windowAt(request.ArrivesAt)
	window.earnedByClass[request.Class] += weight
	class := &r.byClass[request.Class]
	class.earned += weight
	latency := latencyUs(elapsed)
	// Both values are within the histograms' bounds, so that no error can occur.
	_ = class.latencies.RecordValue(latency)
	_ = window.latencies.RecordValue(max(latency, minWindowLatencyUs))
	r.usefulWork += request.Work
}

// RequestEnded is called when a request is not served and its client doesn't retry any more, or has disconnected.
func (r *Recorder) RequestEnded(request *workload.Request) { delete(r.open, request.ID) }

// RequestSent is called each time a client sends a request, the first time and for each client retry, whether or not a
// node accepts it.
func (r *Recorder) RequestSent() { r.sends++ }

// NodeUnreachable is called when no node accepted what a client sent.
func (r *Recorder) NodeUnreachable() { r.run.Unreached++ }

// ClientTimedOut is called when a client stops waiting for the response to what it sent, whether or not it retries.
func (r *Recorder) ClientTimedOut() { r.run.ClientTimeouts++ }

// AttemptStarted is called when a node sends a request to a backend, for each retry and hedge too; on sockets, when the
// backend has received its first byte.
func (r *Recorder) AttemptStarted(now float64, backend int, isCrossZone bool) {
	window := r.windowAt(now)
	window.Attempts++
	r.attempts++
	if isCrossZone {
		window.CrossZone++
		r.crossZone++
	}
	r.herding.attemptStarted(now, backend)
}

// NodeAnswered is called when a node gives a request its final answer. Rejections and failures are counted.
func (r *Recorder) NodeAnswered(now float64, answer invariants.Answer) {
	switch answer {
	case invariants.Rejected:
		r.run.Rejected++
		r.windowAt(now).Rejected++
	case invariants.Failed:
		r.run.Failed++
	}
}

// RecordLoad is called every LoadInterval with the share of its capacity that each backend used since the last call. It
// keeps the slice.
func (r *Recorder) RecordLoad(now float64, busyShares []float64) {
	r.windowAt(now - windowMs/2).BusyShares = busyShares
}

// OpenRequests returns the number of requests that are neither served nor ended. A host may end the run once it is 0.
func (r *Recorder) OpenRequests() int { return len(r.open) }
