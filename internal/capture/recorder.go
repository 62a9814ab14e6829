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

// Batch is what the host's batch brought, framed.
type Batch struct {
	Records int
	Data    []byte
	Restart bool // a replay may begin in it
}

// Options are how a module is captured.
type Options struct {
	Every  float64     // between snapshots, in ms; 0 is none after the first
	Secret []byte      // with which names of ops are hashed; none are where empty. All nodes of a fleet need the same
	Sink   func(Batch) // must not block, nor keep the bytes
}

// Recorder stands between a host and its module: it passes everything on, and tells a sink of it. A batch's records go
// to the sink together, when the host finds no decision left.
type Recorder struct {
	inner    balancer.Decider
	o        Options
	begun    Start
	start    []byte  // the same as JSON
	next     float64 // when a snapshot is due
	restart  bool    // the batch has one
	now      float64
	ops      map[*balancer.Request]uint64
	backends map[*balancer.Backend]uint64
	lastOp   uint64
	lastB    uint64
	batch    []byte
	count    int
}

// NewRecorder begins a capture of a module that has just been made at now.
func NewRecorder(inner balancer.Decider, now float64, s Start, o Options) (*Recorder, error) {
	data, err := json.Marshal(s)
	if err != nil {
		return nil, err
	}
	r := &Recorder{inner: inner, o: o, begun: s, start: data, ops: map[*balancer.Request]uint64{}, backends: map[*balancer.Backend]uint64{}}
	r.put(&Record{Kind: Begin, Now: now, Data: data})
	r.snapshot() // what the terms have learned under a module before it is not in them
	return r, nil
}

// snapshot puts the module's state, where it has one to give.
func (r *Recorder) snapshot() {
	module, ok := r.inner.(interface {
		Snapshot(ops []*balancer.Request, backends []*balancer.Backend) (*balancer.Snapshot, error)
	})
	if !ok {
		return
	}
	ops, backends := ordered(r.ops), ordered(r.backends)
	s, err := module.Snapshot(ops, backends)
	if err != nil { // of a batch that goes on: the next will do
		return
	}
	for i := range s.Requests { // the module itself goes on with the true names
		s.Requests[i].ID = r.hashed(s.Requests[i].ID)
	}
	x := Record{Kind: Snapshot, Now: r.now, Data: r.start, State: snapshot.Encode(s)}
	for _, op := range ops {
		x.Requests = append(x.Requests, r.ops[op])
	}
	for _, b := range backends {
		x.Backends = append(x.Backends, r.backends[b])
	}
	r.put(&x)
	r.next, r.restart = r.now+r.o.Every, true
}

// ordered are the things of a map by their numbers.
func ordered[T comparable](numbers map[T]uint64) []T {
	return slices.SortedFunc(maps.Keys(numbers), func(a, b T) int {
		if numbers[a] < numbers[b] {
			return -1
		}
		return 1
	})
}

// hashed stands for a name where they are secret.
func (r *Recorder) hashed(x uint64) uint64 {
	if len(r.o.Secret) == 0 || x == 0 {
		return x
	}
	h := xxhash.New()
	_, _ = h.Write(r.o.Secret)
	_, _ = h.Write(binary.LittleEndian.AppendUint64(nil, x))
	return max(h.Sum64(), 1)
}

func (r *Recorder) put(x *Record) {
	r.now = x.Now
	from := len(r.batch)
	r.batch = x.Append(append(r.batch, emptyHead[:]...))
	frame(r.batch[from:])
	r.count++
}

func (r *Recorder) flush() {
	if r.count > 0 {
		r.o.Sink(Batch{r.count, r.batch, r.restart})
		r.batch, r.count, r.restart = r.batch[:0], 0, false
	}
}

// backend numbers a backend at its first naming.
func (r *Recorder) backend(b *balancer.Backend) uint64 {
	n, known := r.backends[b]
	if !known {
		r.lastB++
		n = r.lastB
		r.backends[b] = n
	}
	return n
}

func (r *Recorder) EndpointsChanged(now float64, lines []balancer.Endpoint, full, cached bool) {
	x := Record{Kind: EndpointsChanged, Now: now}
	if full {
		x.Flags |= flagFull
	}
	if cached {
		x.Flags |= flagCached
	}
	for _, l := range lines {
		x.Endpoints = append(x.Endpoints, Endpoint{Backend: r.backend(l.Backend), ID: l.Backend.ID, State: l.State, Zone: l.Zone, Cell: l.Cell, Kind: l.Kind,
			Weight: l.Weight, Started: l.Started, Cordoned: l.Cordoned})
	}
	r.put(&x)
	r.inner.EndpointsChanged(now, lines, full, cached)
}

func (r *Recorder) PollFailed(now float64) {
	r.put(&Record{Kind: PollFailed, Now: now})
	r.inner.PollFailed(now)
}

func (r *Recorder) RequestArrived(now float64, op *balancer.Request) {
	r.lastOp++
	r.ops[op] = r.lastOp
	for _, p := range op.Attempts { // of another node
		b := p.Backend
		r.put(&Record{Kind: EarlierAttempt, Now: now, Request: r.lastOp, Value: p.SentAt, Outcome: p.Outcome(),
			Endpoints: []Endpoint{{Backend: r.backend(b), ID: b.ID, Zone: b.Zone, Cell: b.Cell}}})
	}
	x := Record{Kind: RequestArrived, Now: now, Request: r.lastOp, ID: r.hashed(op.ID), Class: op.Class, Tenant: op.Tenant, CostHint: op.CostHint,
		Deadline: op.Deadline, Key: op.Key}
	if op.HasCostHint {
		x.Flags |= flagHint
	}
	if op.IsClientRetry {
		x.Flags |= flagRepeat
	}
	if op.Streamed {
		x.Flags |= flagStreamed
	}
	if op.Config != nil && op.Config != r.begun.Config {
		x.Flags |= flagEarlier
	}
	r.put(&x)
	r.inner.RequestArrived(now, op)
}

func (r *Recorder) ClientGone(now float64, op *balancer.Request) {
	r.put(&Record{Kind: ClientGone, Now: now, Request: r.ops[op]})
	r.inner.ClientGone(now, op)
	r.forget(op)
}

// Shortened keeps the time to which the host has moved an op's end.
func (r *Recorder) DeadlineShortened(now float64, op *balancer.Request) {
	r.put(&Record{Kind: DeadlineShortened, Now: now, Request: r.ops[op], Value: op.Deadline})
	r.inner.DeadlineShortened(now, op)
}

func (r *Recorder) ResponseStarted(now float64, p *balancer.Attempt) {
	r.put(&Record{Kind: ResponseStarted, Now: now, Request: r.ops[p.Request], Attempt: p.Number})
	r.inner.ResponseStarted(now, p)
}

func (r *Recorder) RequestBodySent(now float64, p *balancer.Attempt) {
	r.put(&Record{Kind: RequestBodySent, Now: now, Request: r.ops[p.Request], Attempt: p.Number, Value: p.Request.Deadline})
	r.inner.RequestBodySent(now, p)
}

func (r *Recorder) AttemptEnded(now float64, p *balancer.Attempt, how balancer.Outcome, elapsed float64, finished bool) {
	x := Record{Kind: AttemptEnded, Now: now, Request: r.ops[p.Request], Attempt: p.Number, Outcome: how, Value: elapsed}
	if finished {
		x.Flags |= flagFinished
	}
	r.put(&x)
	r.inner.AttemptEnded(now, p, how, elapsed, finished)
	r.forget(p.Request)
}

func (r *Recorder) LoadReported(now float64, b *balancer.Backend, load balancer.LoadReport) {
	r.put(&Record{Kind: LoadReported, Now: now, Backend: r.backends[b], Load: load})
	r.inner.LoadReported(now, b, load)
}

func (r *Recorder) ProcessesChanged(now float64, of int) {
	r.put(&Record{Kind: ProcessesChanged, Now: now, Count: uint64(of)})
	r.inner.ProcessesChanged(now, of)
}

func (r *Recorder) ConfigChanged(now float64, t *balancer.Config, from []int) {
	s := r.begun
	s.Config = t
	if data, err := json.Marshal(s); err == nil { // terms of numbers, as the first were
		r.start, r.begun = data, s
	}
	x := Record{Kind: ConfigChanged, Now: now, Data: r.start}
	for _, k := range from {
		x.Requests = append(x.Requests, uint64(k+1))
	}
	r.put(&x)
	r.inner.ConfigChanged(now, t, from)
}

func (r *Recorder) TimerFired(now float64) {
	r.put(&Record{Kind: TimerFired, Now: now})
	r.inner.TimerFired(now)
}

func (r *Recorder) Next() (balancer.Decision, bool) {
	d, more := r.inner.Next()
	if !more {
		r.put(&Record{Kind: BatchEnd, Now: r.now})
		if r.o.Every > 0 && r.now >= r.next {
			r.snapshot()
		}
		r.flush()
		return d, more
	}
	x := pulled(d, func(op *balancer.Request) uint64 { return r.ops[op] }, func(b *balancer.Backend) uint64 { return r.backends[b] })
	x.Now = r.now
	r.put(&x)
	if d.Kind == balancer.DoReject || d.Kind == balancer.DoFail {
		r.forget(d.Request)
	}
	return d, more
}

// Dropped tells that the host has let go of a backend: should it come back, it is a new one to the module as well.
func (r *Recorder) Dropped(b *balancer.Backend) {
	r.put(&Record{Kind: BackendForgotten, Now: r.now, Backend: r.backends[b]})
	delete(r.backends, b)
}

// forget lets go of an op that is over; what of it comes later is not told to the module either.
func (r *Recorder) forget(op *balancer.Request) {
	if op.IsDone() {
		delete(r.ops, op)
	}
}

// pulled is a decision as a record.
func pulled(d balancer.Decision, op func(*balancer.Request) uint64, backend func(*balancer.Backend) uint64) Record {
	x := Record{Kind: Decided, Decision: d.Kind, Value: d.Wait, Data: []byte(storedEvent(d.Event))}
	if d.Request != nil {
		x.Request = op(d.Request)
	}
	if d.Attempt != nil {
		x.Attempt, x.Backend = d.Attempt.Number, backend(d.Attempt.Backend)
	}
	return x
}
