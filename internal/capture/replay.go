package capture

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math"

	"pearknot/balancer"
	"pearknot/internal/snapshot"
)

// MismatchError is the first place at which a replay decided otherwise than the capture says.
type MismatchError struct {
	RecordNumber int // counts from 1
	Now          float64
	Captured     string
	Replayed     string
	Inputs       []Record // of the batch that it stands in
}

func (d *MismatchError) Error() string {
	text := fmt.Sprintf("record %d at %.3f: captured %s, replayed %s", d.RecordNumber, d.Now, d.Captured, d.Replayed)
	for _, r := range d.Inputs {
		text += "\n    " + r.String()
	}
	return text
}

// Result sums up what a replay has verified.
type Result struct {
	Records        int
	Decisions      int // that matched, bit for bit
	Epochs         int // processes whose start was replayed
	Restored       int // snapshots that the replay was restored from
	Gaps           int
	MissingRecords uint64 // records in the gaps
	Unverified     int    // records after a gap: the state is unknown until the next start or snapshot
	From, To       float64
}

// Replayer passes the recorded inputs to a decider of its own and compares its decisions with the recorded ones.
type Replayer struct {
	New func(t *balancer.Config, now float64) balancer.Decider // creates the decider; nil means balancer.New

	Skip   int  // number of records to skip at the beginning
	Strict bool // compare the decider's state with each snapshot too

	Result          Result
	decider         balancer.Decider
	requests        map[uint64]*balancer.Request
	requestNumbers  map[*balancer.Request]uint64
	backends        map[uint64]*balancer.Backend
	backendNumbers  map[*balancer.Backend]uint64
	config          *balancer.Config // in force
	previousConfig  *balancer.Config
	earlierAttempts []Record // of the next request, begun by another node
	inputs          []Record
	afterGap        bool // the state is unknown since a gap
}

// Feed takes the next record. The error is a *MismatchError, or says what is inconsistent in the capture itself.
func (r *Replayer) Feed(x Record) error {
	r.Result.Records++
	if r.Result.From == 0 {
		r.Result.From = x.Now
	}
	r.Result.To = math.Max(r.Result.To, x.Now)
	switch {
	case x.Kind == Gap:
		r.Result.Gaps++
		r.Result.MissingRecords += x.Count
		r.afterGap = true
		return nil
	case r.Result.Records <= r.Skip:
		return nil
	case x.Kind == Begin:
		return r.startEpoch(x)
	case x.Kind == Snapshot:
		return r.checkSnapshot(x)
	case r.afterGap || r.decider == nil:
		r.Result.Unverified++
		return nil
	}
	if x.Kind != Decided && x.Kind != BatchEnd {
		r.inputs = append(r.inputs, x)
		return r.applyInput(x)
	}
	d, more := r.decider.Next()
	if x.Kind == BatchEnd {
		if more {
			return r.mismatch(x, "no decision left", describeDecision(r.decisionRecord(d)))
		}
		r.inputs = r.inputs[:0]
		return nil
	}
	if !more {
		return r.mismatch(x, describeDecision(x), "no decision left")
	}
	got := r.decisionRecord(d)
	got.Now = x.Now
	if !bytes.Equal(got.Append(nil), x.Append(nil)) {
		return r.mismatch(x, describeDecision(x), describeDecision(got))
	}
	r.Result.Decisions++
	r.forgetIfDone(d.Request)
	return nil
}

func (r *Replayer) forgetIfDone(request *balancer.Request) {
	if request != nil && request.IsDone() {
		delete(r.requests, r.requestNumbers[request])
		delete(r.requestNumbers, request)
	}
}

func (r *Replayer) decisionRecord(d balancer.Decision) Record {
	return decisionRecord(d, func(request *balancer.Request) uint64 { return r.requestNumbers[request] }, func(b *balancer.Backend) uint64 { return r.backendNumbers[b] })
}

func (r *Replayer) mismatch(x Record, captured, replayed string) *MismatchError {
	return &MismatchError{RecordNumber: r.Result.Records, Now: x.Now, Captured: captured, Replayed: replayed, Inputs: append([]Record{}, r.inputs...)}
}

func (r *Replayer) startEpoch(x Record) error {
	s, err := x.startInfo()
	if err != nil {
		return fmt.Errorf("record %d: %w", r.Result.Records, err)
	}
	if r.New != nil {
		r.decider = r.New(s.Config, x.Now)
	} else {
		r.decider = balancer.New(s.Config, x.Now)
	}
	r.reset()
	r.config, r.previousConfig = s.Config, nil
	r.Result.Epochs++
	return nil
}

func (r *Replayer) reset() {
	r.afterGap, r.inputs = false, nil
	r.requests, r.requestNumbers = map[uint64]*balancer.Request{}, map[*balancer.Request]uint64{}
	r.backends, r.backendNumbers = map[uint64]*balancer.Backend{}, map[*balancer.Backend]uint64{}
}

// checkSnapshot restores the decider where its state is unknown. Elsewhere, if Strict, it compares its state with the
// recorded one.
func (r *Replayer) checkSnapshot(x Record) error {
	if r.decider == nil || r.afterGap {
		return r.restore(x)
	}
	if !r.Strict {
		return nil
	}
	data, err := r.encodedState()
	if err == nil && data != nil && !bytes.Equal(data, x.State) {
		return r.mismatch(x, fmt.Sprintf("a state of %d bytes", len(x.State)), fmt.Sprintf("another, of %d bytes", len(data)))
	}
	return err
}

// encodedState returns the decider's encoded state, or nil if it cannot give one.
func (r *Replayer) encodedState() ([]byte, error) {
	module, ok := r.decider.(*balancer.Balancer)
	if !ok {
		return nil, nil
	}
	s, err := module.Snapshot(inNumberOrder(r.requestNumbers), inNumberOrder(r.backendNumbers))
	if err != nil {
		return nil, err
	}
	return snapshot.Encode(s), nil
}

func (r *Replayer) restore(x Record) error {
	fail := func(err error) error { return fmt.Errorf("record %d at %.3f: %w", r.Result.Records, x.Now, err) }
	s, err := x.startInfo()
	if err != nil {
		return fail(err)
	}
	state, err := snapshot.Decode(x.State)
	if err != nil {
		return fail(err)
	}
	n, requests, backends, err := balancer.Restore(s.Config, state)
	if err != nil {
		return fail(err)
	}
	if len(requests) != len(x.Requests) || len(backends) != len(x.Backends) {
		return fail(errInvalidRecord)
	}
	r.reset()
	r.decider, r.config, r.previousConfig = n, s.Config, nil
	for i, request := range requests {
		r.requests[x.Requests[i]], r.requestNumbers[request] = request, x.Requests[i]
	}
	for i, b := range backends {
		r.backends[x.Backends[i]], r.backendNumbers[b] = b, x.Backends[i]
	}
	r.Result.Restored++
	return nil
}

// RestoreFromOwnState replaces the decider by one restored from its own snapshot, so that tests see whether both decide
// alike from there on.
func (r *Replayer) RestoreFromOwnState(s Start) error {
	data, err := r.encodedState()
	if err != nil {
		return err
	}
	text, err := json.Marshal(s)
	if err != nil {
		return err
	}
	x := Record{Kind: Snapshot, Data: text, State: data}
	for _, request := range inNumberOrder(r.requestNumbers) {
		x.Requests = append(x.Requests, r.requestNumbers[request])
	}
	for _, b := range inNumberOrder(r.backendNumbers) {
		x.Backends = append(x.Backends, r.backendNumbers[b])
	}
	return r.restore(x)
}

// applyInput passes a recorded input to the decider.
func (r *Replayer) applyInput(x Record) error {
	request, attempt, err := r.subjects(x)
	if err != nil {
		return err
	}
	switch x.Kind {
	case EndpointsChanged:
		r.decider.EndpointsChanged(x.Now, r.endpoints(x), x.Flags&flagFull != 0, x.Flags&flagCached != 0)
	case PollFailed:
		r.decider.PollFailed(x.Now)
	case EarlierAttempt:
		if len(x.Endpoints) != 1 {
			return r.errorf(x, "an attempt of another node without its backend")
		}
		r.earlierAttempts = append(r.earlierAttempts, x)
	case RequestArrived:
		if request, err = r.arrivedRequest(x); err != nil {
			return err
		}
		r.decider.RequestArrived(x.Now, request)
	case ClientGone:
		r.decider.ClientGone(x.Now, request)
	case DeadlineShortened:
		request.Deadline = x.Value
		r.decider.DeadlineShortened(x.Now, request)
	case ResponseStarted:
		r.decider.ResponseStarted(x.Now, attempt)
	case RequestBodySent:
		request.Deadline = x.Value
		r.decider.RequestBodySent(x.Now, attempt)
	case AttemptEnded:
		r.decider.AttemptEnded(x.Now, attempt, x.Outcome, x.Value, x.Flags&flagFinished != 0)
	case LoadReported:
		backend := r.backends[x.Backend]
		if backend == nil {
			return r.errorf(x, "backend %d was never listed", x.Backend)
		}
		r.decider.LoadReported(x.Now, backend, x.Load)
	case ConfigChanged:
		return r.changeConfig(x)
	case ProcessesChanged:
		r.decider.ProcessesChanged(x.Now, int(min(x.Count, maxIndex)))
	case TimerFired:
		r.decider.TimerFired(x.Now)
	case BackendForgotten:
		delete(r.backendNumbers, r.backends[x.Backend])
		delete(r.backends, x.Backend)
	default: // a kind of a later build: the decider's state is unknown from here on
		r.Result.Gaps++
		r.afterGap = true
	}
	r.forgetIfDone(request)
	return nil
}

func (r *Replayer) errorf(x Record, format string, args ...any) error {
	return fmt.Errorf("record %d at %.3f: %s", r.Result.Records, x.Now, fmt.Sprintf(format, args...))
}

// subjects returns the request that a record is about, and its attempt, for the kinds that must have them.
func (r *Replayer) subjects(x Record) (*balancer.Request, *balancer.Attempt, error) {
	request := r.requests[x.Request]
	switch x.Kind {
	case ClientGone, DeadlineShortened, ResponseStarted, RequestBodySent, AttemptEnded:
	default:
		return request, nil, nil
	}
	if request == nil {
		return nil, nil, r.errorf(x, "request %d never arrived", x.Request)
	}
	if x.Kind == ClientGone || x.Kind == DeadlineShortened {
		return request, nil, nil
	}
	if x.Attempt >= len(request.Attempts) {
		return nil, nil, r.mismatch(x, fmt.Sprintf("request %d has attempt %d", x.Request, x.Attempt), fmt.Sprintf("it has %d attempts", len(request.Attempts)))
	}
	return request, request.Attempts[x.Attempt], nil
}

// endpoints returns the endpoints of a record, with the backends that their numbers stand for.
func (r *Replayer) endpoints(x Record) []balancer.Endpoint {
	all := make([]balancer.Endpoint, 0, len(x.Endpoints))
	for _, e := range x.Endpoints {
		backend := r.backends[e.Backend]
		if backend == nil {
			backend = &balancer.Backend{ID: e.ID}
			r.backends[e.Backend], r.backendNumbers[backend] = backend, e.Backend
		}
		all = append(all, balancer.Endpoint{Backend: backend, State: e.State, Zone: e.Zone, Cell: e.Cell, Kind: e.Kind, Weight: e.Weight,
			Started: e.Started, Cordoned: e.Cordoned})
	}
	return all
}

// arrivedRequest makes the request of a RequestArrived record, with the attempts of other nodes that precede it.
func (r *Replayer) arrivedRequest(x Record) (*balancer.Request, error) {
	request := &balancer.Request{ID: x.ID, Class: x.Class, Tenant: x.Tenant, CostHint: x.CostHint, HasCostHint: x.Flags&flagCostHint != 0,
		IsClientRetry: x.Flags&flagClientRetry != 0, Streamed: x.Flags&flagStreamed != 0, Deadline: x.Deadline, Key: x.Key}
	request.Config = r.config
	if x.Flags&flagPreviousConfig != 0 && r.previousConfig != nil {
		request.Config = r.previousConfig
	}
	if request.Class >= len(request.Config.Classes) {
		return nil, r.errorf(x, "class %d of %d", request.Class, len(request.Config.Classes))
	}
	for _, earlier := range r.earlierAttempts {
		e := earlier.Endpoints[0]
		backend := r.backends[e.Backend]
		if backend == nil {
			backend = &balancer.Backend{ID: e.ID, Zone: e.Zone, Cell: e.Cell}
			r.backends[e.Backend], r.backendNumbers[backend] = backend, e.Backend
		}
		request.AddEarlierAttempt(backend, earlier.Value, earlier.Outcome)
	}
	r.earlierAttempts = r.earlierAttempts[:0]
	r.requests[x.Request], r.requestNumbers[request] = request, x.Request
	return request, nil
}

// changeConfig replays a new configuration; the record's Requests has each class's former index plus 1, or 0.
func (r *Replayer) changeConfig(x Record) error {
	s, err := x.startInfo()
	if err != nil {
		return fmt.Errorf("record %d at %.3f: %w", r.Result.Records, x.Now, err)
	}
	formerIndex := make([]int, 0, len(x.Requests))
	for _, k := range x.Requests {
		formerIndex = append(formerIndex, int(min(k, maxIndex))-1)
	}
	r.previousConfig, r.config = r.config, s.Config
	r.decider.ConfigChanged(x.Now, s.Config, formerIndex)
	return nil
}
