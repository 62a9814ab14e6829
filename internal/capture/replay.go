package capture

import (
	"bytes"
	"fmt"
	"math"

	"pearknot/balancer"
	"pearknot/internal/snapshot"
)

// MismatchError reports the first record at which a replay's decision differs from the captured one.
type MismatchError struct {
	RecordNumber int // counted from 1
	Now          float64
	Captured     string
	Replayed     string
	Inputs       []Record // of the batch that contains the record
}

func (e *MismatchError) Error() string {
	text := fmt.Sprintf("record %d at %.3f: captured %s, replayed %s", e.RecordNumber, e.Now, e.Captured, e.Replayed)
	for _, input := range e.Inputs {
		text += "\n    " + input.String()
	}
	return text
}

// Result counts what a replay has processed and verified.
type Result struct {
	Records        int
	Decisions      int // that matched, bit for bit
	Epochs         int // processes whose start was replayed
	Restored       int // snapshots that the replay was restored from
	Gaps           int
	MissingRecords uint64  // records in the gaps
	Unverified     int     // records after a gap: the state is unknown until the next start or snapshot
	From, To       float64 // times of the first and the latest record, in ms
}

// Replayer passes the recorded inputs to a decider of its own and compares its decisions with the recorded ones.
type Replayer struct {
	// New creates the decider; nil means balancer.New.
	New func(config *balancer.Config, now float64) balancer.Decider

	Skip   int  // number of records to skip at the beginning
	Strict bool // compare the decider's state with each snapshot too
	Result Result

	decider         balancer.Decider
	requests        map[uint64]*balancer.Request
	requestNumbers  map[*balancer.Request]uint64
	backends        map[uint64]*balancer.Backend
	backendNumbers  map[*balancer.Backend]uint64
	config          *balancer.Config // in force
	previousConfig  *balancer.Config
	earlierAttempts []Record // attempts that another node began for the next request
	inputs          []Record
	afterGap        bool // the state is unknown since a gap
}

// Feed processes the next record. The error is a *MismatchError, or describes an inconsistency in the capture itself.
func (r *Replayer) Feed(record Record) error {
	r.Result.Records++
	if r.Result.From == 0 {
		r.Result.From = record.Now
	}
	r.Result.To = math.Max(r.Result.To, record.Now)
	switch {
	case record.Kind == Gap:
		r.Result.Gaps++
		r.Result.MissingRecords += record.Count
		r.afterGap = true
		return nil
	case r.Result.Records <= r.Skip:
		return nil
	case record.Kind == Begin:
		return r.startEpoch(record)
	case record.Kind == Snapshot:
		return r.checkSnapshot(record)
	case r.afterGap || r.decider == nil:
		r.Result.Unverified++
		return nil
	}
	if record.Kind != Decided && record.Kind != BatchEnd {
		r.inputs = append(r.inputs, record)
		return r.applyInput(record)
	}
	decision, more := r.decider.Next()
	if record.Kind == BatchEnd {
		if more {
			return r.mismatch(record, "no decision left", describeDecision(r.decisionRecord(decision)))
		}
		r.inputs = r.inputs[:0]
		return nil
	}
	if !more {
		return r.mismatch(record, describeDecision(record), "no decision left")
	}
	replayed := r.decisionRecord(decision)
	replayed.Now = record.Now
	if !bytes.Equal(replayed.Append(nil), record.Append(nil)) {
		return r.mismatch(record, describeDecision(record), describeDecision(replayed))
	}
	r.Result.Decisions++
	r.forgetIfDone(decision.Request)
	return nil
}

func (r *Replayer) forgetIfDone(request *balancer.Request) {
	if request != nil && request.IsDone() {
		delete(r.requests, r.requestNumbers[request])
		delete(r.requestNumbers, request)
	}
}

func (r *Replayer) decisionRecord(decision balancer.Decision) Record {
	return decisionRecord(decision, r.requestNumbers, r.backendNumbers)
}

func (r *Replayer) mismatch(record Record, captured, replayed string) *MismatchError {
	return &MismatchError{
		RecordNumber: r.Result.Records,
		Now:          record.Now,
		Captured:     captured,
		Replayed:     replayed,
		Inputs:       append([]Record{}, r.inputs...),
	}
}

func (r *Replayer) startEpoch(record Record) error {
	start, err := record.startInfo()
	if err != nil {
		return fmt.Errorf("record %d: %w", r.Result.Records, err)
	}
	if r.New != nil {
		r.decider = r.New(start.Config, record.Now)
	} else {
		r.decider = balancer.New(start.Config, record.Now)
	}
	r.reset()
	r.config, r.previousConfig = start.Config, nil
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
func (r *Replayer) checkSnapshot(record Record) error {
	if r.decider == nil || r.afterGap {
		return r.restore(record)
	}
	if !r.Strict {
		return nil
	}
	state, err := r.encodedState()
	if err == nil && state != nil && !bytes.Equal(state, record.State) {
		captured := fmt.Sprintf("a state of %d bytes", len(record.State))
		return r.mismatch(record, captured, fmt.Sprintf("another, of %d bytes", len(state)))
	}
	return err
}

// encodedState returns the decider's encoded state, or nil if it cannot give one.
func (r *Replayer) encodedState() ([]byte, error) {
	core, ok := r.decider.(*balancer.Balancer)
	if !ok {
		return nil, nil
	}
	state, err := core.Snapshot(sortedByNumber(r.requestNumbers), sortedByNumber(r.backendNumbers))
	if err != nil {
		return nil, err
	}
	return snapshot.Encode(state), nil
}

func (r *Replayer) restore(record Record) error {
	fail := func(err error) error { return fmt.Errorf("record %d at %.3f: %w", r.Result.Records, record.Now, err) }
	start, err := record.startInfo()
	if err != nil {
		return fail(err)
	}
	state, err := snapshot.Decode(record.State)
	if err != nil {
		return fail(err)
	}
	restored, requests, backends, err := balancer.Restore(start.Config, state)
	if err != nil {
		return fail(err)
	}
	if len(requests) != len(record.Requests) || len(backends) != len(record.Backends) {
		return fail(errInvalidRecord)
	}
	r.reset()
	r.decider, r.config, r.previousConfig = restored, start.Config, nil
	for i, request := range requests {
		r.requests[record.Requests[i]], r.requestNumbers[request] = request, record.Requests[i]
	}
	for i, backend := range backends {
		r.backends[record.Backends[i]], r.backendNumbers[backend] = backend, record.Backends[i]
	}
	r.Result.Restored++
	return nil
}

// applyInput passes a recorded input to the decider.
func (r *Replayer) applyInput(record Record) error {
	request, attempt, err := r.requestAndAttempt(record)
	if err != nil {
		return err
	}
	switch record.Kind {
	case EndpointsChanged:
		full, cached := record.Flags&flagFull != 0, record.Flags&flagCached != 0
		r.decider.EndpointsChanged(record.Now, r.endpoints(record), full, cached)
	case PollFailed:
		r.decider.PollFailed(record.Now)
	case EarlierAttempt:
		if len(record.Endpoints) != 1 {
			return r.errorf(record, "earlier attempt of another node must have exactly one backend")
		}
		r.earlierAttempts = append(r.earlierAttempts, record)
	case RequestArrived:
		if request, err = r.arrivedRequest(record); err != nil {
			return err
		}
		r.decider.RequestArrived(record.Now, request)
	case RequestAbandoned:
		r.decider.RequestAbandoned(record.Now, request)
	case DeadlineShortened:
		request.Deadline = record.Value
		r.decider.DeadlineShortened(record.Now, request)
	case ResponseStarted:
		r.decider.ResponseStarted(record.Now, attempt)
	case RequestBodySent:
		request.Deadline = record.Value
		r.decider.RequestBodySent(record.Now, attempt)
	case AttemptEnded:
		r.decider.AttemptEnded(record.Now, attempt, record.Outcome, record.Value, record.Flags&flagFinished != 0)
	case LoadReported:
		backend := r.backends[record.Backend]
		if backend == nil {
			return r.errorf(record, "backend %d was never listed", record.Backend)
		}
		r.decider.LoadReported(record.Now, backend, record.Load)
	case ConfigChanged:
		return r.changeConfig(record)
	case ProcessesChanged:
		r.decider.ProcessesChanged(record.Now, int(min(record.Count, maxIndex)))
	case TimerFired:
		r.decider.TimerFired(record.Now)
	case BackendForgotten:
		delete(r.backendNumbers, r.backends[record.Backend])
		delete(r.backends, record.Backend)
	default: // a kind of a later build: the decider's state is unknown from here on
		r.Result.Gaps++
		r.afterGap = true
	}
	r.forgetIfDone(request)
	return nil
}

func (r *Replayer) errorf(record Record, format string, args ...any) error {
	return fmt.Errorf("record %d at %.3f: %s", r.Result.Records, record.Now, fmt.Sprintf(format, args...))
}

// requestAndAttempt returns the request that a record is about, and its attempt, for the kinds that must have them.
func (r *Replayer) requestAndAttempt(record Record) (*balancer.Request, *balancer.Attempt, error) {
	request := r.requests[record.Request]
	switch record.Kind {
	case RequestAbandoned, DeadlineShortened, ResponseStarted, RequestBodySent, AttemptEnded:
	default:
		return request, nil, nil
	}
	if request == nil {
		return nil, nil, r.errorf(record, "request %d never arrived", record.Request)
	}
	if record.Kind == RequestAbandoned || record.Kind == DeadlineShortened {
		return request, nil, nil
	}
	if record.Attempt >= len(request.Attempts) {
		captured := fmt.Sprintf("request %d has attempt %d", record.Request, record.Attempt)
		return nil, nil, r.mismatch(record, captured, fmt.Sprintf("request has %d attempts", len(request.Attempts)))
	}
	return request, request.Attempts[record.Attempt], nil
}

// endpoints returns the endpoints of a record, with the backends that their numbers stand for.
func (r *Replayer) endpoints(record Record) []balancer.Endpoint {
	endpoints := make([]balancer.Endpoint, 0, len(record.Endpoints))
	for _, endpoint := range record.Endpoints {
		backend := r.backends[endpoint.Backend]
		if backend == nil {
			backend = &balancer.Backend{ID: endpoint.ID}
			r.backends[endpoint.Backend], r.backendNumbers[backend] = backend, endpoint.Backend
		}
		endpoints = append(endpoints, balancer.Endpoint{
			Backend:  backend,
			State:    endpoint.State,
			Zone:     endpoint.Zone,
			Cell:     endpoint.Cell,
			Kind:     endpoint.Kind,
			Weight:   endpoint.Weight,
			Started:  endpoint.Started,
			Cordoned: endpoint.Cordoned,
		})
	}
	return endpoints
}

// arrivedRequest builds the request of a RequestArrived record, with the attempts of other nodes that precede it.
func (r *Replayer) arrivedRequest(record Record) (*balancer.Request, error) {
	request := &balancer.Request{
		ID:            record.ID,
		Class:         record.Class,
		Tenant:        record.Tenant,
		CostHint:      record.CostHint,
		HasCostHint:   record.Flags&flagCostHint != 0,
		IsClientRetry: record.Flags&flagClientRetry != 0,
		Streamed:      record.Flags&flagStreamed != 0,
		Deadline:      record.Deadline,
		Key:           record.Key,
		Config:        r.config,
	}
	if record.Flags&flagPreviousConfig != 0 && r.previousConfig != nil {
		request.Config = r.previousConfig
	}
	if request.Class >= len(request.Config.Classes) {
		return nil, r.errorf(record, "class %d is out of range of %d classes", request.Class, len(request.Config.Classes))
	}
	for _, earlier := range r.earlierAttempts {
		endpoint := earlier.Endpoints[0]
		backend := r.backends[endpoint.Backend]
		if backend == nil {
			backend = &balancer.Backend{ID: endpoint.ID, Zone: endpoint.Zone, Cell: endpoint.Cell}
			r.backends[endpoint.Backend], r.backendNumbers[backend] = backend, endpoint.Backend
		}
		request.AddEarlierAttempt(backend, earlier.Value, earlier.Outcome)
	}
	r.earlierAttempts = r.earlierAttempts[:0]
	r.requests[record.Request], r.requestNumbers[request] = request, record.Request
	return request, nil
}

// changeConfig replays a new configuration; the record's Requests has each class's former index plus 1, or 0.
func (r *Replayer) changeConfig(record Record) error {
	start, err := record.startInfo()
	if err != nil {
		return fmt.Errorf("record %d at %.3f: %w", r.Result.Records, record.Now, err)
	}
	formerIndex := make([]int, 0, len(record.Requests))
	for _, index := range record.Requests {
		formerIndex = append(formerIndex, int(min(index, maxIndex))-1)
	}
	r.previousConfig, r.config = r.config, start.Config
	r.decider.ConfigChanged(record.Now, start.Config, formerIndex)
	return nil
}
