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
	ops      map[*balancer.Op]uint64
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
	r := &Recorder{inner: inner, o: o, begun: s, start: data, ops: map[*balancer.Op]uint64{}, backends: map[*balancer.Backend]uint64{}}
	r.put(&Record{Kind: Begin, Now: now, Data: data})
	r.snapshot() // what the terms have learned under a module before it is not in them
	return r, nil
}

// snapshot puts the module's state, where it has one to give.
func (r *Recorder) snapshot() {
	module, ok := r.inner.(interface {
		Snapshot(ops []*balancer.Op, backends []*balancer.Backend) (*balancer.Snapshot, error)
	})
	if !ok {
		return
	}
	ops, backends := ordered(r.ops), ordered(r.backends)
	s, err := module.Snapshot(ops, backends)
	if err != nil { // of a batch that goes on: the next will do
		return
	}
	for i := range s.Ops { // the module itself goes on with the true names
		s.Ops[i].Ref = r.hashed(s.Ops[i].Ref)
	}
	x := Record{Kind: Snapshot, Now: r.now, Data: r.start, State: snapshot.Encode(s)}
	for _, op := range ops {
		x.Ops = append(x.Ops, r.ops[op])
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

func (r *Recorder) Listed(now float64, lines []balancer.Listing, full, cached bool) {
	x := Record{Kind: Listed, Now: now}
	if full {
		x.Flags |= flagFull
	}
	if cached {
		x.Flags |= flagCached
	}
	for _, l := range lines {
		x.Lines = append(x.Lines, Line{Backend: r.backend(l.Backend), Ref: l.Backend.Ref, State: l.State, Zone: l.Zone, Cell: l.Cell, Kind: l.Kind,
			Weight: l.Weight, Started: l.Started, Banned: l.Banned})
	}
	r.put(&x)
	r.inner.Listed(now, lines, full, cached)
}

func (r *Recorder) ListFailed(now float64) {
	r.put(&Record{Kind: ListFailed, Now: now})
	r.inner.ListFailed(now)
}

func (r *Recorder) Arrived(now float64, op *balancer.Op) {
	r.lastOp++
	r.ops[op] = r.lastOp
	for _, p := range op.Pushes { // of another node
		b := p.Backend
		r.put(&Record{Kind: Taken, Now: now, Op: r.lastOp, Value: p.SentAt, Ending: p.Ending(),
			Lines: []Line{{Backend: r.backend(b), Ref: b.Ref, Zone: b.Zone, Cell: b.Cell}}})
	}
	x := Record{Kind: Arrived, Now: now, Op: r.lastOp, Ref: r.hashed(op.Ref), Category: op.Category, Tenant: op.Tenant, Hint: op.Hint,
		GiveUp: op.GiveUp, Key: op.Key}
	if op.HasHint {
		x.Flags |= flagHint
	}
	if op.Repeat {
		x.Flags |= flagRepeat
	}
	if op.Streamed {
		x.Flags |= flagStreamed
	}
	if op.Under != nil && op.Under != r.begun.Terms {
		x.Flags |= flagEarlier
	}
	r.put(&x)
	r.inner.Arrived(now, op)
}

func (r *Recorder) Left(now float64, op *balancer.Op) {
	r.put(&Record{Kind: Left, Now: now, Op: r.ops[op]})
	r.inner.Left(now, op)
	r.forget(op)
}

// Shortened keeps the time to which the host has moved an op's end.
func (r *Recorder) Shortened(now float64, op *balancer.Op) {
	r.put(&Record{Kind: Shortened, Now: now, Op: r.ops[op], Value: op.GiveUp})
	r.inner.Shortened(now, op)
}

func (r *Recorder) Begun(now float64, p *balancer.Push) {
	r.put(&Record{Kind: Begun, Now: now, Op: r.ops[p.Op], Push: p.Number})
	r.inner.Begun(now, p)
}

func (r *Recorder) Sent(now float64, p *balancer.Push) {
	r.put(&Record{Kind: Sent, Now: now, Op: r.ops[p.Op], Push: p.Number, Value: p.Op.GiveUp})
	r.inner.Sent(now, p)
}

func (r *Recorder) Ended(now float64, p *balancer.Push, how balancer.Ending, elapsed float64, finished bool) {
	x := Record{Kind: Ended, Now: now, Op: r.ops[p.Op], Push: p.Number, Ending: how, Value: elapsed}
	if finished {
		x.Flags |= flagFinished
	}
	r.put(&x)
	r.inner.Ended(now, p, how, elapsed, finished)
	r.forget(p.Op)
}

func (r *Recorder) Reported(now float64, b *balancer.Backend, load balancer.Report) {
	r.put(&Record{Kind: Reported, Now: now, Backend: r.backends[b], Load: load})
	r.inner.Reported(now, b, load)
}

func (r *Recorder) Split(now float64, of int) {
	r.put(&Record{Kind: Split, Now: now, Count: uint64(of)})
	r.inner.Split(now, of)
}

func (r *Recorder) Retuned(now float64, t *balancer.Terms, from []int) {
	s := r.begun
	s.Terms = t
	if data, err := json.Marshal(s); err == nil { // terms of numbers, as the first were
		r.start, r.begun = data, s
	}
	x := Record{Kind: Retuned, Now: now, Data: r.start}
	for _, k := range from {
		x.Ops = append(x.Ops, uint64(k+1))
	}
	r.put(&x)
	r.inner.Retuned(now, t, from)
}

func (r *Recorder) Due(now float64) {
	r.put(&Record{Kind: Due, Now: now})
	r.inner.Due(now)
}

func (r *Recorder) Next() (balancer.Decision, bool) {
	d, more := r.inner.Next()
	if !more {
		r.put(&Record{Kind: Idle, Now: r.now})
		if r.o.Every > 0 && r.now >= r.next {
			r.snapshot()
		}
		r.flush()
		return d, more
	}
	x := pulled(d, func(op *balancer.Op) uint64 { return r.ops[op] }, func(b *balancer.Backend) uint64 { return r.backends[b] })
	x.Now = r.now
	r.put(&x)
	if d.Kind == balancer.DoNack || d.Kind == balancer.DoDeadLetter {
		r.forget(d.Op)
	}
	return d, more
}

// Dropped tells that the host has let go of a backend: should it come back, it is a new one to the module as well.
func (r *Recorder) Dropped(b *balancer.Backend) {
	r.put(&Record{Kind: Dropped, Now: r.now, Backend: r.backends[b]})
	delete(r.backends, b)
}

// forget lets go of an op that is over; what of it comes later is not told to the module either.
func (r *Recorder) forget(op *balancer.Op) {
	if op.Over() {
		delete(r.ops, op)
	}
}

// pulled is a decision as a record.
func pulled(d balancer.Decision, op func(*balancer.Op) uint64, backend func(*balancer.Backend) uint64) Record {
	x := Record{Kind: Pulled, Decision: d.Kind, Value: d.Wait, Data: []byte(d.Text)}
	if d.Op != nil {
		x.Op = op(d.Op)
	}
	if d.Push != nil {
		x.Push, x.Backend = d.Push.Number, backend(d.Push.Backend)
	}
	return x
}
