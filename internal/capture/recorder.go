package capture

import (
	"encoding/binary"
	"encoding/json"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"pearknot/balancer"
	"pearknot/internal/snapshot"
)

// Batch is the encoded records of one batch: the inputs that the host passed on together, and the decisions
// that followed.
type Batch struct {
	Records int
	Data    []byte // framed records
	Restart bool   // it holds a snapshot, so a replay may begin in it
}

// Options configure a Recorder.
type Options struct {
	SnapshotIntervalMs float64     // time between snapshots; 0 takes none after the first
	HashKey            []byte      // key that request IDs are hashed with; empty stores them as they are. All nodes of a fleet need the same key
	Sink               func(Batch) // receives each batch; must neither block nor keep the bytes
}

// Recorder is a balancer.Decider that passes every input on to another decider, every decision back to the host,
// and a record of each to a sink. A batch's records go to the sink together, once the host finds no decision left.
type Recorder struct {
	inner        balancer.Decider
	options      Options
	startInfo    Start
	startJSON    []byte  // startInfo as JSON
	nextSnapshot float64 // when the next snapshot is due
	hasSnapshot  bool    // the current batch has a snapshot
	now          float64
	requests     map[*balancer.Request]uint64
	backends     map[*balancer.Backend]uint64
	lastRequest  uint64
	lastBackend  uint64
	batch        []byte
	batchRecords int
}

// NewRecorder begins a capture of a decider that was created at now.
func NewRecorder(inner balancer.Decider, now float64, s Start, o Options) (*Recorder, error) {
	data, err := json.Marshal(s)
	if err != nil {
		return nil, err
	}
	r := &Recorder{inner: inner, options: o, startInfo: s, startJSON: data, requests: map[*balancer.Request]uint64{}, backends: map[*balancer.Backend]uint64{}}
	r.record(&Record{Kind: Begin, Now: now, Data: data})
	r.recordSnapshot() // what an earlier decider learned is in the state, not in the configuration
	return r, nil
}

// recordSnapshot records the decider's state, if it has one to give.
func (r *Recorder) recordSnapshot() {
	module, ok := r.inner.(interface {
		Snapshot(requests []*balancer.Request, backends []*balancer.Backend) (*balancer.Snapshot, error)
	})
	if !ok {
		return
	}
	requests, backends := inNumberOrder(r.requests), inNumberOrder(r.backends)
	s, err := module.Snapshot(requests, backends)
	if err != nil { // in the middle of a batch: the next interval will do
		return
	}
	for i := range s.Requests { // the decider itself goes on with the original IDs
		s.Requests[i].ID = r.hashID(s.Requests[i].ID)
	}
	x := Record{Kind: Snapshot, Now: r.now, Data: r.startJSON, State: snapshot.Encode(s)}
	for _, request := range requests {
		x.Requests = append(x.Requests, r.requests[request])
	}
	for _, b := range backends {
		x.Backends = append(x.Backends, r.backends[b])
	}
	r.record(&x)
	r.nextSnapshot, r.hasSnapshot = r.now+r.options.SnapshotIntervalMs, true
}

// inNumberOrder returns the keys of a map in the order of their numbers.
func inNumberOrder[T comparable](numbers map[T]uint64) []T {
	return slices.SortedFunc(maps.Keys(numbers), func(a, b T) int {
		if numbers[a] < numbers[b] {
			return -1
		}
		return 1
	})
}

// hashID returns what stands for a request's ID where IDs are confidential. It is never 0, which means no ID.
func (r *Recorder) hashID(x uint64) uint64 {
	if len(r.options.HashKey) == 0 || x == 0 {
		return x
	}
	h := xxhash.New()
	_, _ = h.Write(r.options.HashKey)
	_, _ = h.Write(binary.LittleEndian.AppendUint64(nil, x))
	return max(h.Sum64(), 1)
}

func (r *Recorder) record(x *Record) {
	r.now = x.Now
	from := len(r.batch)
	r.batch = x.Append(append(r.batch, emptyRecordHeader[:]...))
	fillRecordHeader(r.batch[from:])
	r.batchRecords++
}

func (r *Recorder) flush() {
	if r.batchRecords > 0 {
		r.options.Sink(Batch{r.batchRecords, r.batch, r.hasSnapshot})
		r.batch, r.batchRecords, r.hasSnapshot = r.batch[:0], 0, false
	}
}

// numberOf numbers a backend when it is first named.
func (r *Recorder) numberOf(b *balancer.Backend) uint64 {
	n, known := r.backends[b]
	if !known {
		r.lastBackend++
		n = r.lastBackend
		r.backends[b] = n
	}
	return n
}

// EndpointsChanged implements balancer.Decider.
func (r *Recorder) EndpointsChanged(now float64, lines []balancer.Endpoint, full, cached bool) {
	x := Record{Kind: EndpointsChanged, Now: now}
	if full {
		x.Flags |= flagFull
	}
	if cached {
		x.Flags |= flagCached
	}
	for _, l := range lines {
		x.Endpoints = append(x.Endpoints, Endpoint{Backend: r.numberOf(l.Backend), ID: l.Backend.ID, State: l.State, Zone: l.Zone, Cell: l.Cell, Kind: l.Kind,
			Weight: l.Weight, Started: l.Started, Cordoned: l.Cordoned})
	}
	r.record(&x)
	r.inner.EndpointsChanged(now, lines, full, cached)
}

// PollFailed implements balancer.Decider.
func (r *Recorder) PollFailed(now float64) {
	r.record(&Record{Kind: PollFailed, Now: now})
	r.inner.PollFailed(now)
}

// RequestArrived implements balancer.Decider. Attempts that another node began before it are recorded first.
func (r *Recorder) RequestArrived(now float64, request *balancer.Request) {
	r.lastRequest++
	r.requests[request] = r.lastRequest
	for _, p := range request.Attempts { // begun by another node
		b := p.Backend
		r.record(&Record{Kind: EarlierAttempt, Now: now, Request: r.lastRequest, Value: p.SentAt, Outcome: p.Outcome(),
			Endpoints: []Endpoint{{Backend: r.numberOf(b), ID: b.ID, Zone: b.Zone, Cell: b.Cell}}})
	}
	x := Record{Kind: RequestArrived, Now: now, Request: r.lastRequest, ID: r.hashID(request.ID), Class: request.Class, Tenant: request.Tenant, CostHint: request.CostHint,
		Deadline: request.Deadline, Key: request.Key}
	if request.HasCostHint {
		x.Flags |= flagCostHint
	}
	if request.IsClientRetry {
		x.Flags |= flagClientRetry
	}
	if request.Streamed {
		x.Flags |= flagStreamed
	}
	if request.Config != nil && request.Config != r.startInfo.Config {
		x.Flags |= flagPreviousConfig
	}
	r.record(&x)
	r.inner.RequestArrived(now, request)
}

// ClientGone implements balancer.Decider.
func (r *Recorder) ClientGone(now float64, request *balancer.Request) {
	r.record(&Record{Kind: ClientGone, Now: now, Request: r.requests[request]})
	r.inner.ClientGone(now, request)
	r.forgetIfDone(request)
}

// DeadlineShortened implements balancer.Decider; the record has the request's new deadline.
func (r *Recorder) DeadlineShortened(now float64, request *balancer.Request) {
	r.record(&Record{Kind: DeadlineShortened, Now: now, Request: r.requests[request], Value: request.Deadline})
	r.inner.DeadlineShortened(now, request)
}

// ResponseStarted implements balancer.Decider.
func (r *Recorder) ResponseStarted(now float64, p *balancer.Attempt) {
	r.record(&Record{Kind: ResponseStarted, Now: now, Request: r.requests[p.Request], Attempt: p.Number})
	r.inner.ResponseStarted(now, p)
}

// RequestBodySent implements balancer.Decider; the record has the request's deadline at that moment.
func (r *Recorder) RequestBodySent(now float64, p *balancer.Attempt) {
	r.record(&Record{Kind: RequestBodySent, Now: now, Request: r.requests[p.Request], Attempt: p.Number, Value: p.Request.Deadline})
	r.inner.RequestBodySent(now, p)
}

// AttemptEnded implements balancer.Decider.
func (r *Recorder) AttemptEnded(now float64, p *balancer.Attempt, how balancer.Outcome, elapsed float64, finished bool) {
	x := Record{Kind: AttemptEnded, Now: now, Request: r.requests[p.Request], Attempt: p.Number, Outcome: how, Value: elapsed}
	if finished {
		x.Flags |= flagFinished
	}
	r.record(&x)
	r.inner.AttemptEnded(now, p, how, elapsed, finished)
	r.forgetIfDone(p.Request)
}

// LoadReported implements balancer.Decider.
func (r *Recorder) LoadReported(now float64, b *balancer.Backend, load balancer.LoadReport) {
	r.record(&Record{Kind: LoadReported, Now: now, Backend: r.backends[b], Load: load})
	r.inner.LoadReported(now, b, load)
}

// ProcessesChanged implements balancer.Decider.
func (r *Recorder) ProcessesChanged(now float64, of int) {
	r.record(&Record{Kind: ProcessesChanged, Now: now, Count: uint64(of)})
	r.inner.ProcessesChanged(now, of)
}

// ConfigChanged implements balancer.Decider.
func (r *Recorder) ConfigChanged(now float64, t *balancer.Config, from []int) {
	s := r.startInfo
	s.Config = t
	if data, err := json.Marshal(s); err == nil { // fails for no configuration that the first one did not fail for
		r.startJSON, r.startInfo = data, s
	}
	x := Record{Kind: ConfigChanged, Now: now, Data: r.startJSON}
	for _, k := range from {
		x.Requests = append(x.Requests, uint64(k+1))
	}
	r.record(&x)
	r.inner.ConfigChanged(now, t, from)
}

// TimerFired implements balancer.Decider.
func (r *Recorder) TimerFired(now float64) {
	r.record(&Record{Kind: TimerFired, Now: now})
	r.inner.TimerFired(now)
}

// Next implements balancer.Decider. When no decision is left it hands the batch to the sink.
func (r *Recorder) Next() (balancer.Decision, bool) {
	d, more := r.inner.Next()
	if !more {
		r.record(&Record{Kind: BatchEnd, Now: r.now})
		if r.options.SnapshotIntervalMs > 0 && r.now >= r.nextSnapshot {
			r.recordSnapshot()
		}
		r.flush()
		return d, more
	}
	x := decisionRecord(d, func(request *balancer.Request) uint64 { return r.requests[request] }, func(b *balancer.Backend) uint64 { return r.backends[b] })
	x.Now = r.now
	r.record(&x)
	if d.Kind == balancer.DoReject || d.Kind == balancer.DoFail {
		r.forgetIfDone(d.Request)
	}
	return d, more
}

// BackendForgotten records that the host has released a backend. Should the backend return, it is a new one to the
// decider as well.
func (r *Recorder) BackendForgotten(b *balancer.Backend) {
	r.record(&Record{Kind: BackendForgotten, Now: r.now, Backend: r.backends[b]})
	delete(r.backends, b)
}

// forgetIfDone releases a request that has ended: nothing that happens to it later reaches the decider either.
func (r *Recorder) forgetIfDone(request *balancer.Request) {
	if request.IsDone() {
		delete(r.requests, request)
	}
}

// decisionRecord encodes a decision as a record, with the numbers that the capture gave to requests and backends.
func decisionRecord(d balancer.Decision, request func(*balancer.Request) uint64, backend func(*balancer.Backend) uint64) Record {
	x := Record{Kind: Decided, Decision: d.Kind, Value: d.Wait, Data: []byte(storedEvent(d.Event))}
	if d.Request != nil {
		x.Request = request(d.Request)
	}
	if d.Attempt != nil {
		x.Attempt, x.Backend = d.Attempt.Number, backend(d.Attempt.Backend)
	}
	return x
}
