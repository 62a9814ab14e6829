package capture

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math"

	"pearknot/balancer"
	"pearknot/internal/snapshot"
)

// Difference is the first place at which a replay did not do as the capture says.
type Difference struct {
	At       int // number of the record
	Now      float64
	Captured string
	Replayed string
	Batch    []Record // the inputs of that batch
}

func (d *Difference) Error() string {
	text := fmt.Sprintf("record %d at %.3f: captured %s, replayed %s", d.At, d.Now, d.Captured, d.Replayed)
	for _, r := range d.Batch {
		text += "\n    " + r.String()
	}
	return text
}

// Claim is what a replay found.
type Claim struct {
	Records   int
	Decisions int // that match, bit for bit
	Epochs    int // starts that were played
	Restored  int // snapshots from which it began
	Gaps      int
	Missing   uint64 // records in them
	Unclaimed int    // records after a gap, of which nothing can be said until the next start
	From, To  float64
}

// Replayer plays records to a module of its own.
type Replayer struct {
	New func(t *balancer.Config, now float64) balancer.Decider // the module, where nil

	Skip   int  // records before which nothing is played
	Strict bool // the module's state is held against each snapshot too

	Claim    Claim
	node     balancer.Decider
	ops      map[uint64]*balancer.Request
	numbers  map[*balancer.Request]uint64
	backends map[uint64]*balancer.Backend
	refs     map[*balancer.Backend]uint64
	terms    *balancer.Config // in force, and those before
	before   *balancer.Config
	taken    []Record // pushes of the next op that another node had begun
	batch    []Record
	lost     bool // after a gap
}

// Feed takes the next record. Its error is a *Difference, or tells that the capture itself makes no sense.
func (r *Replayer) Feed(x Record) error {
	r.Claim.Records++
	if r.Claim.From == 0 {
		r.Claim.From = x.Now
	}
	r.Claim.To = math.Max(r.Claim.To, x.Now)
	switch {
	case x.Kind == Gap:
		r.Claim.Gaps++
		r.Claim.Missing += x.Count
		r.lost = true
		return nil
	case r.Claim.Records <= r.Skip:
		return nil
	case x.Kind == Begin:
		return r.begin(x)
	case x.Kind == Snapshot:
		return r.snapshot(x)
	case r.lost || r.node == nil:
		r.Claim.Unclaimed++
		return nil
	}
	if x.Kind != Decided && x.Kind != BatchEnd {
		r.batch = append(r.batch, x)
		return r.input(x)
	}
	d, more := r.node.Next()
	if x.Kind == BatchEnd {
		if more {
			return r.differs(x, "no decision left", decision(r.pulled(d)))
		}
		r.batch = r.batch[:0]
		return nil
	}
	if !more {
		return r.differs(x, decision(x), "no decision left")
	}
	got := r.pulled(d)
	got.Now = x.Now
	if !bytes.Equal(got.Append(nil), x.Append(nil)) {
		return r.differs(x, decision(x), decision(got))
	}
	r.Claim.Decisions++
	r.forget(d.Request)
	return nil
}

func (r *Replayer) forget(op *balancer.Request) {
	if op != nil && op.IsDone() {
		delete(r.ops, r.numbers[op])
		delete(r.numbers, op)
	}
}

func (r *Replayer) pulled(d balancer.Decision) Record {
	return pulled(d, func(op *balancer.Request) uint64 { return r.numbers[op] }, func(b *balancer.Backend) uint64 { return r.refs[b] })
}

func (r *Replayer) differs(x Record, captured, replayed string) *Difference {
	return &Difference{At: r.Claim.Records, Now: x.Now, Captured: captured, Replayed: replayed, Batch: append([]Record{}, r.batch...)}
}

func (r *Replayer) begin(x Record) error {
	s, err := x.start()
	if err != nil {
		return fmt.Errorf("record %d: %w", r.Claim.Records, err)
	}
	if r.New != nil {
		r.node = r.New(s.Config, x.Now)
	} else {
		r.node = balancer.New(s.Config, x.Now)
	}
	r.clear()
	r.terms, r.before = s.Config, nil
	r.Claim.Epochs++
	return nil
}

func (r *Replayer) clear() {
	r.lost, r.batch = false, nil
	r.ops, r.numbers = map[uint64]*balancer.Request{}, map[*balancer.Request]uint64{}
	r.backends, r.refs = map[uint64]*balancer.Backend{}, map[*balancer.Backend]uint64{}
}

// snapshot begins where nothing is played, and else holds the state against what was captured.
func (r *Replayer) snapshot(x Record) error {
	if r.node == nil || r.lost {
		return r.restore(x)
	}
	if !r.Strict {
		return nil
	}
	data, err := r.state()
	if err == nil && data != nil && !bytes.Equal(data, x.State) {
		return r.differs(x, fmt.Sprintf("a state of %d bytes", len(x.State)), fmt.Sprintf("another, of %d bytes", len(data)))
	}
	return err
}

// state is the module's own, as a snapshot has it; nil where it has none to give.
func (r *Replayer) state() ([]byte, error) {
	module, ok := r.node.(*balancer.Balancer)
	if !ok {
		return nil, nil
	}
	s, err := module.Snapshot(ordered(r.numbers), ordered(r.refs))
	if err != nil {
		return nil, err
	}
	return snapshot.Encode(s), nil
}

func (r *Replayer) restore(x Record) error {
	fail := func(err error) error { return fmt.Errorf("record %d at %.3f: %w", r.Claim.Records, x.Now, err) }
	s, err := x.start()
	if err != nil {
		return fail(err)
	}
	state, err := snapshot.Decode(x.State)
	if err != nil {
		return fail(err)
	}
	n, ops, backends, err := balancer.Restore(s.Config, state)
	if err != nil {
		return fail(err)
	}
	if len(ops) != len(x.Requests) || len(backends) != len(x.Backends) {
		return fail(errOdd)
	}
	r.clear()
	r.node, r.terms, r.before = n, s.Config, nil
	for i, op := range ops {
		r.ops[x.Requests[i]], r.numbers[op] = op, x.Requests[i]
	}
	for i, b := range backends {
		r.backends[x.Backends[i]], r.refs[b] = b, x.Backends[i]
	}
	r.Claim.Restored++
	return nil
}

// Renew puts the module's state through a snapshot, so that what follows is decided by one restored from it.
func (r *Replayer) Renew(s Start) error {
	data, err := r.state()
	if err != nil {
		return err
	}
	text, err := json.Marshal(s)
	if err != nil {
		return err
	}
	x := Record{Kind: Snapshot, Data: text, State: data}
	for _, op := range ordered(r.numbers) {
		x.Requests = append(x.Requests, r.numbers[op])
	}
	for _, b := range ordered(r.refs) {
		x.Backends = append(x.Backends, r.refs[b])
	}
	return r.restore(x)
}

// input tells the module what it was told then.
func (r *Replayer) input(x Record) error {
	op := r.ops[x.Request]
	var push *balancer.Attempt
	switch x.Kind {
	case ClientGone, DeadlineShortened, ResponseStarted, RequestBodySent, AttemptEnded:
		if op == nil {
			return fmt.Errorf("record %d at %.3f: op %d never came", r.Claim.Records, x.Now, x.Request)
		}
		if x.Kind == ResponseStarted || x.Kind == RequestBodySent || x.Kind == AttemptEnded {
			if x.Attempt >= len(op.Attempts) {
				return r.differs(x, fmt.Sprintf("op %d has push %d", x.Request, x.Attempt), fmt.Sprintf("it has %d pushes", len(op.Attempts)))
			}
			push = op.Attempts[x.Attempt]
		}
	}
	switch x.Kind {
	case EndpointsChanged:
		lines := make([]balancer.Endpoint, 0, len(x.Endpoints))
		for _, l := range x.Endpoints {
			b := r.backends[l.Backend]
			if b == nil {
				b = &balancer.Backend{ID: l.ID}
				r.backends[l.Backend], r.refs[b] = b, l.Backend
			}
			lines = append(lines, balancer.Endpoint{Backend: b, State: l.State, Zone: l.Zone, Cell: l.Cell, Kind: l.Kind, Weight: l.Weight,
				Started: l.Started, Cordoned: l.Cordoned})
		}
		r.node.EndpointsChanged(x.Now, lines, x.Flags&flagFull != 0, x.Flags&flagCached != 0)
	case PollFailed:
		r.node.PollFailed(x.Now)
	case EarlierAttempt:
		if len(x.Endpoints) != 1 {
			return fmt.Errorf("record %d at %.3f: a push taken over without its backend", r.Claim.Records, x.Now)
		}
		r.taken = append(r.taken, x)
	case RequestArrived:
		op = &balancer.Request{ID: x.ID, Class: x.Class, Tenant: x.Tenant, CostHint: x.CostHint, HasCostHint: x.Flags&flagHint != 0,
			IsClientRetry: x.Flags&flagRepeat != 0, Streamed: x.Flags&flagStreamed != 0, Deadline: x.Deadline, Key: x.Key}
		if op.Config = r.terms; x.Flags&flagEarlier != 0 && r.before != nil {
			op.Config = r.before
		}
		if op.Class >= len(op.Config.Classes) {
			return fmt.Errorf("record %d at %.3f: category %d of %d", r.Claim.Records, x.Now, op.Class, len(op.Config.Classes))
		}
		for _, t := range r.taken {
			l := t.Endpoints[0]
			b := r.backends[l.Backend]
			if b == nil {
				b = &balancer.Backend{ID: l.ID, Zone: l.Zone, Cell: l.Cell}
				r.backends[l.Backend], r.refs[b] = b, l.Backend
			}
			op.AddEarlierAttempt(b, t.Value, t.Outcome)
		}
		r.taken = r.taken[:0]
		r.ops[x.Request], r.numbers[op] = op, x.Request
		r.node.RequestArrived(x.Now, op)
	case ClientGone:
		r.node.ClientGone(x.Now, op)
	case DeadlineShortened:
		op.Deadline = x.Value
		r.node.DeadlineShortened(x.Now, op)
	case ResponseStarted:
		r.node.ResponseStarted(x.Now, push)
	case RequestBodySent:
		op.Deadline = x.Value
		r.node.RequestBodySent(x.Now, push)
	case AttemptEnded:
		r.node.AttemptEnded(x.Now, push, x.Outcome, x.Value, x.Flags&flagFinished != 0)
	case LoadReported:
		b := r.backends[x.Backend]
		if b == nil {
			return fmt.Errorf("record %d at %.3f: backend %d was never listed", r.Claim.Records, x.Now, x.Backend)
		}
		r.node.LoadReported(x.Now, b, x.Load)
	case ConfigChanged:
		s, err := x.start()
		if err != nil {
			return fmt.Errorf("record %d at %.3f: %w", r.Claim.Records, x.Now, err)
		}
		from := make([]int, 0, len(x.Requests))
		for _, k := range x.Requests {
			from = append(from, int(min(k, mostNumber))-1)
		}
		r.before, r.terms = r.terms, s.Config
		r.node.ConfigChanged(x.Now, s.Config, from)
	case ProcessesChanged:
		r.node.ProcessesChanged(x.Now, int(min(x.Count, mostNumber)))
	case TimerFired:
		r.node.TimerFired(x.Now)
	case BackendForgotten:
		delete(r.refs, r.backends[x.Backend])
		delete(r.backends, x.Backend)
	default: // of a later build: what it told the module is not known here
		r.Claim.Gaps++
		r.lost = true
	}
	r.forget(op)
	return nil
}
