package capture

import (
	"encoding/json"

	"pearknot/balance"
)

// Recorder stands between a host and its module: it passes everything on, and tells a sink of it. A batch's records go
// to the sink together, when the host finds no decision left.
type Recorder struct {
	inner    balance.Decider
	sink     func(records int, encoded []byte) // must not block; the bytes are its own
	now      float64
	ops      map[*balance.Op]uint64
	backends map[*balance.Backend]uint64
	lastOp   uint64
	lastB    uint64
	batch    []byte
	count    int
	scratch  []byte
}

// NewRecorder begins a capture of a module that has just been made at now.
func NewRecorder(inner balance.Decider, now float64, s Start, sink func(int, []byte)) (*Recorder, error) {
	data, err := json.Marshal(s)
	if err != nil {
		return nil, err
	}
	r := &Recorder{inner: inner, sink: sink, ops: map[*balance.Op]uint64{}, backends: map[*balance.Backend]uint64{}}
	r.put(&Record{Kind: Begin, Now: now, Data: data})
	return r, nil
}

func (r *Recorder) put(x *Record) {
	r.now = x.Now
	r.scratch = x.Append(r.scratch[:0])
	r.batch = appendFramed(r.batch, r.scratch)
	r.count++
}

func (r *Recorder) flush() {
	if r.count > 0 {
		r.sink(r.count, r.batch)
		r.batch, r.count = make([]byte, 0, len(r.batch)), 0
	}
}

// backend numbers a backend at its first naming.
func (r *Recorder) backend(b *balance.Backend) uint64 {
	n, known := r.backends[b]
	if !known {
		r.lastB++
		n = r.lastB
		r.backends[b] = n
	}
	return n
}

func (r *Recorder) Listed(now float64, lines []balance.Listing, full, cached bool) {
	x := Record{Kind: Listed, Now: now}
	if full {
		x.Flags |= flagFull
	}
	if cached {
		x.Flags |= flagCached
	}
	for _, l := range lines {
		x.Lines = append(x.Lines, Line{Backend: r.backend(l.Backend), Ref: l.Backend.Ref, State: l.State, Zone: l.Zone, Cell: l.Cell, Kind: l.Kind,
			Weight: l.Weight, Started: l.Started})
	}
	r.put(&x)
	r.inner.Listed(now, lines, full, cached)
}

func (r *Recorder) ListFailed(now float64) {
	r.put(&Record{Kind: ListFailed, Now: now})
	r.inner.ListFailed(now)
}

func (r *Recorder) Arrived(now float64, op *balance.Op) {
	r.lastOp++
	r.ops[op] = r.lastOp
	x := Record{Kind: Arrived, Now: now, Op: r.lastOp, Ref: op.Ref, Category: op.Category, Tenant: op.Tenant, Key: op.Key, Hint: op.Hint,
		GiveUp: op.GiveUp}
	if op.HasHint {
		x.Flags |= flagHint
	}
	if op.Repeat {
		x.Flags |= flagRepeat
	}
	r.put(&x)
	r.inner.Arrived(now, op)
}

func (r *Recorder) Left(now float64, op *balance.Op) {
	r.put(&Record{Kind: Left, Now: now, Op: r.ops[op]})
	r.inner.Left(now, op)
	r.forget(op)
}

// Shortened tells that the host has moved the time at which an op's client gives up.
func (r *Recorder) Shortened(now float64, op *balance.Op) {
	r.put(&Record{Kind: Shortened, Now: now, Op: r.ops[op], Value: op.GiveUp})
}

func (r *Recorder) Begun(now float64, p *balance.Push) {
	r.put(&Record{Kind: Begun, Now: now, Op: r.ops[p.Op], Push: p.Number})
	r.inner.Begun(now, p)
}

func (r *Recorder) Ended(now float64, p *balance.Push, how balance.Ending, elapsed float64, finished bool) {
	x := Record{Kind: Ended, Now: now, Op: r.ops[p.Op], Push: p.Number, Ending: how, Value: elapsed}
	if finished {
		x.Flags |= flagFinished
	}
	r.put(&x)
	r.inner.Ended(now, p, how, elapsed, finished)
	r.forget(p.Op)
}

func (r *Recorder) Reported(now float64, b *balance.Backend, service float64) {
	r.put(&Record{Kind: Reported, Now: now, Backend: r.backends[b], Value: service})
	r.inner.Reported(now, b, service)
}

func (r *Recorder) Due(now float64) {
	r.put(&Record{Kind: Due, Now: now})
	r.inner.Due(now)
}

func (r *Recorder) Next() (balance.Decision, bool) {
	d, more := r.inner.Next()
	if !more {
		r.put(&Record{Kind: Idle, Now: r.now})
		r.flush()
		return d, more
	}
	x := pulled(d, func(op *balance.Op) uint64 { return r.ops[op] }, func(b *balance.Backend) uint64 { return r.backends[b] })
	x.Now = r.now
	r.put(&x)
	if d.Kind == balance.DoNack || d.Kind == balance.DoDeadLetter {
		r.forget(d.Op)
	}
	return d, more
}

// Dropped tells that the host has let go of a backend: should it come back, it is a new one to the module as well.
func (r *Recorder) Dropped(b *balance.Backend) { delete(r.backends, b) }

// forget lets go of an op that is over; what of it comes later is not told to the module either.
func (r *Recorder) forget(op *balance.Op) {
	if op.Over() {
		delete(r.ops, op)
	}
}

// pulled is a decision as a record.
func pulled(d balance.Decision, op func(*balance.Op) uint64, backend func(*balance.Backend) uint64) Record {
	x := Record{Kind: Pulled, Decision: d.Kind, Value: d.Wait, Data: []byte(d.Text)}
	if d.Op != nil {
		x.Op = op(d.Op)
	}
	if d.Push != nil {
		x.Push, x.Backend = d.Push.Number, backend(d.Push.Backend)
	}
	return x
}
