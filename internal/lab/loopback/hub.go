package loopback

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"pearknot/internal/clock"
	"pearknot/internal/invariants"
	"pearknot/internal/lab/experiment"
	"pearknot/internal/lab/faults"
	"pearknot/internal/lab/metrics"
	"pearknot/internal/lab/workload"
)

// hub is where all that is seen comes together, in one order: the auditor, the figures and what is on.
type hub struct {
	e     *experiment.Experiment
	home  string // the address that all listens on
	clock *clock.Clock
	base  atomic.Uint64 // the clock's reading at the run's start, as bits; moved once, before there is any load

	mu      sync.Mutex
	auditor *invariants.Auditor
	rec     *metrics.Recorder
	state   *faults.State
	tries   map[uint64]known // by id, until their time is over
	watch   func(invariants.Event)
	fallen  int
	live    Progress
}

// known is what the stand-ins know of a try that comes to a backend.
type known struct {
	node   int
	work   float64
	pushes int
	until  float64
}

// Progress is a moment's counts, for a table that refreshes.
type Progress struct {
	Second                                             int
	Requests, Served, Rejected, Failed, Lost, Attempts int
	InTime                                             int
	Violations                                         int
	Nodes, Backends                                    string // a letter each: what it is
	Faults                                             []string
}

// now is ms since the run's start.
func (h *hub) now() float64 { return h.clock.Now() - h.from() }

func (h *hub) from() float64 { return math.Float64frombits(h.base.Load()) }

func (h *hub) startAt(clock float64) { h.base.Store(math.Float64bits(clock)) }

func (h *hub) unix(ms float64) float64 { return h.from() + ms }

func (h *hub) time(ms float64) time.Time { return h.clock.Time(h.from() + ms) }

// tell hands an event on, at the present.
func (h *hub) tell(e invariants.Event) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.told(e)
}

// told is tell for those who hold the lock.
func (h *hub) told(e invariants.Event) {
	e.At = h.now()
	if h.watch != nil {
		h.watch(e)
	}
	h.auditor.Record(e)
}

// begun takes a push's first byte at a backend, and gives its number and work; not known is none of the lab's.
func (h *hub) begun(try uint64, backend int, crossing bool) (number int, work float64, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	t, ok := h.tries[try]
	if !ok {
		return 0, 0, false
	}
	number = t.pushes
	t.pushes++
	h.tries[try] = t
	h.live.Attempts++
	h.rec.AttemptStarted(h.now(), backend, crossing)
	h.told(invariants.Event{Kind: invariants.AttemptStarted, Node: t.node, Request: try, Attempt: number, Backend: backend, Work: t.work})
	return number, t.work, true
}

// taken takes an op's last byte at a node's connection.
func (h *hub) taken(try uint64, node int, op *workload.Request, giveUp float64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if _, again := h.tries[try]; again { // sent once more on a new connection: the same op
		return
	}
	h.tries[try] = known{node: node, work: op.Work, until: giveUp}
	h.told(invariants.Event{Kind: invariants.RequestAccepted, Node: node, Request: try, Class: op.Class, Deadline: giveUp})
}

// forget lets go of tries whose time is long over.
func (h *hub) forget() {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.now()
	for id, t := range h.tries {
		if now > t.until+5e3 {
			delete(h.tries, id)
		}
	}
}
