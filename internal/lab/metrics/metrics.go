// Package metrics turns what happened in a run into its figures: service, answer times, amplification, herding, work
// wasted, and recovery after each trouble. Answer times count from an op's intended first sending, so that a client
// that stalls hides nothing. Both hosts tell it the same things.
package metrics

import (
	"fmt"
	"math"
	"slices"

	"github.com/HdrHistogram/hdrhistogram-go"

	"pearknot/balancer"
	"pearknot/internal/invariants"
	"pearknot/internal/lab/experiment"
	"pearknot/internal/lab/workload"
)

const (
	window    = 500.0 // ms
	herdSpan  = 100.0 // ms
	recovered = 0.95  // of the service before
	loopBin   = 0.05  // of the load's multiple
)

// Version is that of the result's form.
const Version = 1

// Result is all runs of an experiment under one policy.
type Result struct {
	Version    int      `json:"version"`
	Experiment string   `json:"experiment"`
	About      string   `json:"about,omitempty"`
	Policy     string   `json:"policy"`
	Host       string   `json:"host"` // virtual or loopback
	Seconds    float64  `json:"seconds"`
	Nodes      int      `json:"nodes"`
	Backends   int      `json:"backends"`
	Service    Estimate `json:"service"`
	Runs       []Run    `json:"runs"`
}

// Run is one seed's.
type Run struct {
	Seed                uint64        `json:"seed"`
	Service             float64       `json:"service"`    // benefit earned over benefit asked for
	Worst10             float64       `json:"worst_10_s"` // of any 10 s
	Requests            int           `json:"ops"`
	AttemptsPerRequest  float64       `json:"pushes_per_op"`
	SendsPerRequest     float64       `json:"tries_per_op"`
	CrossZonePerRequest float64       `json:"crossings_per_op"`
	Rejected            int           `json:"nacks"`
	Failed              int           `json:"dead_letters"`
	Unreached           int           `json:"unreached"` // tries that no node took
	ClientTimeouts      int           `json:"given_up"`  // tries whose client waited in vain
	WastedWork          float64       `json:"work_wasted"`
	Herding             float64       `json:"herding"`     // most pushes a backend got in 100 ms over its even share
	HerdingP99          float64       `json:"herding_p99"` // the same, of 99 in 100 such spans
	BackendCrashes      int           `json:"backends_fallen"`
	Classes             []ClassResult `json:"categories"`
	Faults              []Recovery    `json:"troubles,omitempty"`
	Hysteresis          *Hysteresis   `json:"loop,omitempty"`
	Verdict             Verdict       `json:"rules"`
	Windows             []Window      `json:"windows"`
	NodeCPUPerRequest   float64       `json:"node_cpu_us_per_op,omitempty"` // on sockets: of all nodes, from start to end
	Events              uint64        `json:"events,omitempty"`             // of the event loop
}

// ClassResult is the part of one class of requests.
type ClassResult struct {
	Name      string     `json:"name"`
	Requests  int        `json:"ops"`
	Service   float64    `json:"service"`
	Latencies [4]float64 `json:"answer_ms_50_90_99_999"`
}

// Recovery is how one trouble went.
type Recovery struct {
	Kind            string  `json:"kind"`
	From            float64 `json:"from_s"`
	To              float64 `json:"to_s"`
	ServiceBefore   float64 `json:"service_before"`
	WorstService    float64 `json:"service_worst"`
	RecoverySeconds float64 `json:"recovery_s"` // from its end until service is within 5% of before; -1 never
	LostWeight      float64 `json:"benefit_lost"`
	Targets         []int   `json:"targets,omitempty"`
}

// Hysteresis is service against offered load, on the way up and down.
type Hysteresis struct {
	Multiple []float64 `json:"multiple"`
	Up       []float64 `json:"service_up"`
	Down     []float64 `json:"service_down"`
	Area     float64   `json:"area"` // between the two, in service times multiple; what the way up cost the way down
}

// Verdict is the auditor's.
type Verdict struct {
	Kept       bool     `json:"kept"`
	Violations [6]int   `json:"breaches"` // by rule
	Evidence   []string `json:"evidence,omitempty"`
	Text       string   `json:"verdict"`
}

// Window is half a second.
type Window struct {
	At             float64    `json:"at_s"`
	Offered        float64    `json:"asked"`
	Earned         float64    `json:"earned"`
	ServiceByClass []float64  `json:"service_by_category"` // NaN-free: -1 where none was asked for
	Requests       int        `json:"ops"`
	Attempts       int        `json:"pushes"`
	CrossZone      int        `json:"crossings"`
	Rejected       int        `json:"nacks"`
	Latencies      [3]float64 `json:"answer_ms_50_99_max"`
	BusyShares     []float64  `json:"load,omitempty"` // busy share of each backend

	asked, earned []float64
	hist          *hdrhistogram.Histogram
}

// Recorder takes what happens in one run.
type Recorder struct {
	e       *experiment.Experiment
	cats    []balancer.Class
	windows []Window
	hists   []*hdrhistogram.Histogram
	counts  []int
	asked   []float64
	earned  []float64
	run     Run
	pushes  int
	tries   int
	cross   int
	herdAt  float64
	herd    []int
	spans   []float64
	useful  float64
	open    map[uint64]bool
}

// New makes a recorder.
func New(e *experiment.Experiment, seed uint64) *Recorder {
	n := len(e.Classes)
	r := &Recorder{e: e, cats: e.BalancerClasses(), counts: make([]int, n), asked: make([]float64, n), earned: make([]float64, n),
		herd: make([]int, e.Fleet.Backends), open: map[uint64]bool{}}
	r.run.Seed = seed
	for range n {
		r.hists = append(r.hists, histogram())
	}
	return r
}

func histogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, 600_000_000, 3) } // microseconds

func (r *Recorder) at(ms float64) *Window {
	k := max(int(ms/window), 0)
	for len(r.windows) <= k {
		n := len(r.e.Classes)
		r.windows = append(r.windows, Window{At: float64(len(r.windows)) * window / 1e3, asked: make([]float64, n),
			earned: make([]float64, n), hist: histogram1()})
	}
	return &r.windows[k]
}

// a window's times are rougher: there are many windows.
func histogram1() *hdrhistogram.Histogram { return hdrhistogram.New(100, 600_000_000, 1) }

func (r *Recorder) benefit(op *workload.Request) float64 {
	b := r.cats[op.Class].PriorityWeight
	if r.e.Rules.WeightByWork {
		b *= op.Work
	}
	return b
}

// RequestArrived tells of an op that a client wants.
func (r *Recorder) RequestArrived(op *workload.Request) {
	w, b := r.at(op.ArrivesAt), r.benefit(op)
	w.Requests++
	w.asked[op.Class] += b
	r.asked[op.Class] += b
	r.counts[op.Class]++
	r.run.Requests++
	r.open[op.ID] = true
}

// RequestServed tells that the op's client has its answer. Work is what the answer cost.
func (r *Recorder) RequestServed(op *workload.Request, now float64) {
	if !r.open[op.ID] {
		return
	}
	delete(r.open, op.ID)
	elapsed := math.Max(now-op.ArrivesAt, 0)
	share := workload.EarnedShare(&r.cats[op.Class], elapsed, r.e.Classes[op.Class].DeadlineMs)
	w, b := r.at(op.ArrivesAt), r.benefit(op)*share
	w.earned[op.Class] += b
	r.earned[op.Class] += b
	us := int64(math.Min(elapsed*1e3, 599e6)) + 1
	_ = r.hists[op.Class].RecordValue(us)
	_ = w.hist.RecordValue(max(us, 100))
	r.useful += op.Work
}

// RequestEnded tells that no try follows and nobody served the op.
func (r *Recorder) RequestEnded(op *workload.Request) { delete(r.open, op.ID) }

// RequestSent counts a sending, NodeUnreachable one that no node took, ClientTimedOut one that waited in vain.
func (r *Recorder) RequestSent() { r.tries++ }

// NodeUnreachable counts a client that reached no node.
func (r *Recorder) NodeUnreachable() { r.run.Unreached++ }

// ClientTimedOut counts a client that gave up on its request.
func (r *Recorder) ClientTimedOut() { r.run.ClientTimeouts++ }

// AttemptStarted counts a push.
func (r *Recorder) AttemptStarted(now float64, backend int, crossing bool) {
	w := r.at(now)
	w.Attempts++
	r.pushes++
	if crossing {
		w.CrossZone++
		r.cross++
	}
	if now >= r.herdAt+herdSpan {
		r.endSpan()
		r.herdAt = math.Floor(now/herdSpan) * herdSpan
	}
	r.herd[backend]++
}

func (r *Recorder) endSpan() {
	sum, most := 0, 0
	for _, n := range r.herd {
		sum, most = sum+n, max(most, n)
	}
	if sum > 0 {
		// An even share under one push can't be kept to: one is then even.
		r.spans = append(r.spans, float64(most)/math.Max(float64(sum)/float64(len(r.herd)), 1))
	}
	clear(r.herd)
}

// NodeAnswered counts an answer of a node's own.
func (r *Recorder) NodeAnswered(now float64, f invariants.Answer) {
	switch f {
	case invariants.Rejected:
		r.run.Rejected++
		r.at(now).Rejected++
	case invariants.Failed:
		r.run.Failed++
	}
}

// RecordLoad tells the busy share of each backend in the window that ends now.
func (r *Recorder) RecordLoad(now float64, busy []float64) { r.at(now - window/2).BusyShares = busy }

// LoadInterval is how often RecordLoad is to be told, in ms.
const LoadInterval = window

// OpenRequests is the number of ops that are neither served nor over.
func (r *Recorder) OpenRequests() int { return len(r.open) }

// FaultSpan is one span of the schedule, for Finish.
type FaultSpan struct {
	Kind     string
	From, To float64
	Targets  []int
}

// Finish gives the run's figures. Worked is all work that backends did.
func (r *Recorder) Finish(a *invariants.Auditor, worked float64, fallen int, troubles []FaultSpan) Run {
	r.endSpan()
	run := &r.run
	n := float64(max(run.Requests, 1))
	run.AttemptsPerRequest, run.SendsPerRequest, run.CrossZonePerRequest = float64(r.pushes)/n, float64(r.tries)/n, float64(r.cross)/n
	run.BackendCrashes = fallen
	if worked > 0 {
		run.WastedWork = math.Max(0, 1-r.useful/worked)
	}
	sum, got := 0.0, 0.0
	for k, c := range r.e.Classes {
		sum, got = sum+r.asked[k], got+r.earned[k]
		h := r.hists[k]
		run.Classes = append(run.Classes, ClassResult{c.Name, r.counts[k], ratio(r.earned[k], r.asked[k]),
			[4]float64{ms(h, 50), ms(h, 90), ms(h, 99), ms(h, 99.9)}})
	}
	run.Service = ratio(got, sum)
	if len(r.spans) > 0 {
		slices.Sort(r.spans)
		run.Herding, run.HerdingP99 = r.spans[len(r.spans)-1], r.spans[len(r.spans)*99/100]
	}
	for len(r.windows) > 0 && r.windows[len(r.windows)-1].At*1e3 >= r.e.LengthMs() { // what came after the end
		r.windows = r.windows[:len(r.windows)-1]
	}
	for i := range r.windows {
		w := &r.windows[i]
		for k := range w.asked {
			w.Offered, w.Earned = w.Offered+w.asked[k], w.Earned+w.earned[k]
			s := -1.0
			if w.asked[k] > 0 {
				s = w.earned[k] / w.asked[k]
			}
			w.ServiceByClass = append(w.ServiceByClass, s)
		}
		w.Latencies = [3]float64{ms(w.hist, 50), ms(w.hist, 99), ms(w.hist, 100)}
	}
	run.Windows = r.windows
	run.Worst10 = worst(r.windows, 20)
	for _, t := range troubles {
		run.Faults = append(run.Faults, recovery(r.windows, t))
	}
	if len(r.e.Clients.Ramp) > 2 {
		run.Hysteresis = r.loop()
	}
	run.Verdict = Verdict{Kept: a.AllKept(), Text: a.Verdict()}
	for k := range run.Verdict.Violations {
		run.Verdict.Violations[k] = a.Count(invariants.Rule(k + 1))
	}
	for _, b := range a.Violations()[:min(len(a.Violations()), 10)] {
		run.Verdict.Evidence = append(run.Verdict.Evidence, b.String())
	}
	return *run
}

func ms(h *hdrhistogram.Histogram, p float64) float64 {
	return math.Round(float64(h.ValueAtQuantile(p))) / 1e3
}

func ratio(a, b float64) float64 {
	if b == 0 {
		return 1
	}
	return a / b
}

// worst is the least service of any so many windows in a row.
func worst(w []Window, span int) float64 {
	least := 1.0
	for i := 0; i+span <= len(w) || i == 0; i++ {
		asked, earned := 0.0, 0.0
		for _, x := range w[i:min(i+span, len(w))] {
			asked, earned = asked+x.Offered, earned+x.Earned
		}
		least = math.Min(least, ratio(earned, asked))
	}
	return least
}

// recovery looks at service before, during and after a trouble.
func recovery(all []Window, t FaultSpan) Recovery {
	r := Recovery{Kind: t.Kind, From: t.From / 1e3, To: t.To / 1e3, RecoverySeconds: -1, WorstService: 1, Targets: t.Targets}
	asked, earned := 0.0, 0.0
	from, to := int(t.From/window), int(math.Ceil(t.To/window))
	for i := max(0, from-20); i < min(from, len(all)); i++ {
		asked, earned = asked+all[i].Offered, earned+all[i].Earned
	}
	r.ServiceBefore = ratio(earned, asked)
	good := func(i int) bool { // over a second: a window of few ops says little
		asked, earned := 0.0, 0.0
		for _, w := range all[i:min(i+2, len(all))] {
			asked, earned = asked+w.Offered, earned+w.Earned
		}
		return ratio(earned, asked) >= recovered*r.ServiceBefore
	}
	end := len(all)
	for i := to; i < len(all); i++ {
		if good(i) && (i+1 >= len(all) || good(i+1)) {
			r.RecoverySeconds, end = math.Max(0, all[i].At-r.To), i
			break
		}
	}
	for i := min(from, len(all)); i < end; i++ {
		r.LostWeight += math.Max(0, r.ServiceBefore*all[i].Offered-all[i].Earned)
		if all[i].Offered > 0 {
			r.WorstService = math.Min(r.WorstService, all[i].Earned/all[i].Offered)
		}
	}
	return r
}

// loop puts the windows into bins of offered load, before and after the ramp's top.
func (r *Recorder) loop() *Hysteresis {
	top := r.e.Clients.Ramp[0]
	for _, p := range r.e.Clients.Ramp {
		if p[1] > top[1] {
			top = p
		}
	}
	type sum struct{ asked, earned float64 }
	up, down := map[int]sum{}, map[int]sum{}
	for _, w := range r.windows {
		side := up
		if w.At >= top[0] {
			side = down
		}
		k := int(math.Round(r.e.Multiple(w.At*1e3+window/2) / loopBin))
		s := side[k]
		side[k] = sum{s.asked + w.Offered, s.earned + w.Earned}
	}
	l := &Hysteresis{}
	var bins []int
	for k := range up {
		if _, both := down[k]; both {
			bins = append(bins, k)
		}
	}
	slices.Sort(bins)
	for _, k := range bins {
		u, d := ratio(up[k].earned, up[k].asked), ratio(down[k].earned, down[k].asked)
		l.Multiple, l.Up, l.Down = append(l.Multiple, float64(k)*loopBin), append(l.Up, u), append(l.Down, d)
		l.Area += (u - d) * loopBin
	}
	return l
}

// Summary is a run's figures in one line.
func (r Run) Summary() string {
	rule := "kept"
	if !r.Verdict.Kept {
		rule = fmt.Sprintf("BROKEN %v", r.Verdict.Violations)
	}
	return fmt.Sprintf("seed %d: service %.3f, worst 10 s %.3f, pushes an op %.2f, tries %.2f, crossings %.2f, wasted %.2f, herding %.1f, rules %s",
		r.Seed, r.Service, r.Worst10, r.AttemptsPerRequest, r.SendsPerRequest, r.CrossZonePerRequest, r.WastedWork, r.HerdingP99, rule)
}
