// Package capture records every input of the balancer, in order and by batch, and every decision, so that a replay takes
// exactly the same decisions. A capture is a sequence of segment files; a segment is a header and compressed blocks of
// records. Records are in the protobuf wire format, each with a checksum; a reader skips fields that it does not know.
package capture

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"

	"google.golang.org/protobuf/encoding/protowire"

	"pearknot/balancer"
	"pearknot/internal/snapshot"
)

// Kind says what a record is about. The numbers are stored: they never change their meaning.
type Kind uint8

// The kinds of a record. All but Decided, BatchEnd, Gap and Snapshot are inputs of a balancer.Decider.
const (
	// Begin is a decider's start: the clock, and in Data a Start as JSON.
	Begin Kind = iota + 1
	EndpointsChanged
	PollFailed
	RequestArrived
	ClientGone
	ResponseStarted
	AttemptEnded
	LoadReported
	TimerFired
	DeadlineShortened // a request's deadline was moved, as a node does that shuts down
	Decided           // a decision that the host took
	BatchEnd          // no decision was left: the batch is over
	Gap               // Count records are missing here
	Snapshot          // the decider's state at a batch's end, from which a replay may begin
	BackendForgotten  // the host released a backend
	ProcessesChanged  // the node consists of Count processes
	RequestBodySent   // the last byte of a streamed request was sent; Value is its deadline
	ConfigChanged     // a new configuration, in Data as of Begin; Requests has each class's former index plus 1, 0 for a new class
	EarlierAttempt    // before RequestArrived: an attempt that another node began for a request taken over from it; its backend is in Endpoints
)

var kindNames = [...]string{"", "begin", "endpoints changed", "poll failed", "request arrived", "client gone", "response started", "attempt ended",
	"load reported", "timer fired", "deadline shortened", "decided", "batch end", "gap", "snapshot", "backend forgotten", "processes changed",
	"request body sent", "config changed", "earlier attempt"}

func (k Kind) String() string {
	if int(k) < len(kindNames) && k > 0 {
		return kindNames[k]
	}
	return fmt.Sprintf("kind %d", uint8(k))
}

// Record is one input or decision. Requests and backends have the numbers that the capture gave them. Times are in ms on
// the node's clock.
type Record struct {
	Kind      Kind
	Now       float64
	Request   uint64 // number of the request, counted from 1 in order of arrival
	ID        uint64 // the host's ID of the request or backend
	Attempt   int
	Backend   uint64 // number of the backend, counted from 1 in order of its first listing
	Decision  balancer.DecisionKind
	Outcome   balancer.Outcome
	Value     float64 // elapsed time, wait or deadline, by Kind
	Flags     uint64
	Class     int
	Tenant    int
	CostHint  float64
	Deadline  float64
	Key       uint64 // affinity and ordering key, not hashed: decisions follow from it
	Count     uint64
	Endpoints []Endpoint
	Data      []byte              // a Start as JSON for Begin, Snapshot and ConfigChanged; the log line for Decided
	State     []byte              // for Snapshot, as internal/snapshot encodes it
	Requests  []uint64            // for Snapshot: the numbers of its requests, in the order of State
	Backends  []uint64            // for Snapshot: the numbers of its backends, in the order of State
	Load      balancer.LoadReport // for LoadReported
}

// Endpoint is one entry of an endpoint list.
type Endpoint struct {
	Backend  uint64
	ID       uint64
	State    balancer.BackendState
	Zone     int
	Cell     int
	Kind     int
	Weight   float64
	Started  float64
	Cordoned bool
}

// Bits of Record.Flags.
const (
	flagFull uint64 = 1 << iota
	flagCached
	flagCostHint
	flagClientRetry
	flagFinished
	flagStreamed
	flagPreviousConfig // the request arrived under the configuration before the one in force
)

// Field numbers in the wire format: never reused.
const (
	fieldKind = iota + 1
	fieldNow
	fieldRequest
	fieldID
	fieldAttempt
	fieldBackend
	fieldDecision
	fieldOutcome
	fieldValue
	fieldFlags
	fieldClass
	fieldTenant
	fieldKey
	fieldCostHint
	fieldDeadline
	fieldCount
	fieldEndpoint
	fieldData
	fieldState
	fieldRequests
	fieldBackends
	fieldLoad
)

// Append appends the encoded record to b. Zero values are left out.
func (r *Record) Append(b []byte) []byte {
	number := func(field protowire.Number, x uint64) {
		if x != 0 {
			b = protowire.AppendVarint(protowire.AppendTag(b, field, protowire.VarintType), x)
		}
	}
	float := func(field protowire.Number, x float64) {
		if bits := math.Float64bits(x); bits != 0 {
			b = protowire.AppendFixed64(protowire.AppendTag(b, field, protowire.Fixed64Type), bits)
		}
	}
	number(fieldKind, uint64(r.Kind))
	float(fieldNow, r.Now)
	number(fieldRequest, r.Request)
	number(fieldID, r.ID)
	number(fieldAttempt, uint64(r.Attempt))
	number(fieldBackend, r.Backend)
	number(fieldDecision, uint64(r.Decision))
	number(fieldOutcome, uint64(r.Outcome))
	float(fieldValue, r.Value)
	number(fieldFlags, r.Flags)
	number(fieldClass, uint64(r.Class))
	number(fieldTenant, uint64(r.Tenant))
	number(fieldKey, r.Key)
	float(fieldCostHint, r.CostHint)
	float(fieldDeadline, r.Deadline)
	number(fieldCount, r.Count)
	for _, l := range r.Endpoints {
		b = protowire.AppendBytes(protowire.AppendTag(b, fieldEndpoint, protowire.BytesType), l.append(nil))
	}
	for _, x := range []struct {
		field protowire.Number
		data  []byte
	}{{fieldData, r.Data}, {fieldState, r.State}, {fieldRequests, packNumbers(r.Requests)}, {fieldBackends, packNumbers(r.Backends)}, {fieldLoad, r.encodeLoad()}} {
		if len(x.data) > 0 {
			b = protowire.AppendBytes(protowire.AppendTag(b, x.field, protowire.BytesType), x.data)
		}
	}
	return b
}

// encodeLoad encodes the values of a load report. A value that was not reported is below 0, unlike an idle backend's 0.
func (r *Record) encodeLoad() (b []byte) {
	if r.Kind == LoadReported {
		for _, x := range []float64{r.Load.ServiceTime, r.Load.InFlight, r.Load.Queued, r.Load.Throughput} {
			b = protowire.AppendFixed64(b, math.Float64bits(x))
		}
	}
	return b
}

func decodeLoad(b []byte) (load balancer.LoadReport, err error) {
	load = balancer.EmptyLoadReport()
	for _, x := range []*float64{&load.ServiceTime, &load.InFlight, &load.Queued, &load.Throughput} {
		bits, size := protowire.ConsumeFixed64(b)
		if len(b) == 0 && x == &load.Throughput { // earlier builds did not store it
			break
		}
		if size < 0 {
			return load, errInvalidRecord
		}
		*x, b = math.Float64frombits(bits), b[size:]
	}
	return load, nil
}

func packNumbers(numbers []uint64) (b []byte) {
	for _, x := range numbers {
		b = protowire.AppendVarint(b, x)
	}
	return b
}

func unpackNumbers(b []byte) (numbers []uint64, err error) {
	for len(b) > 0 {
		x, size := protowire.ConsumeVarint(b)
		if size < 0 {
			return nil, errInvalidRecord
		}
		numbers, b = append(numbers, x), b[size:]
	}
	return numbers, nil
}

func (l Endpoint) append(b []byte) []byte {
	for field, x := range []uint64{l.Backend, l.ID, uint64(l.State), uint64(l.Zone), uint64(l.Cell), uint64(l.Kind)} {
		if x != 0 {
			b = protowire.AppendVarint(protowire.AppendTag(b, protowire.Number(field+1), protowire.VarintType), x)
		}
	}
	for field, x := range []float64{l.Weight, l.Started} {
		if bits := math.Float64bits(x); bits != 0 {
			b = protowire.AppendFixed64(protowire.AppendTag(b, protowire.Number(field+7), protowire.Fixed64Type), bits)
		}
	}
	if l.Cordoned {
		b = protowire.AppendVarint(protowire.AppendTag(b, 9, protowire.VarintType), 1)
	}
	return b
}

var errInvalidRecord = errors.New("odd record")

// walkFields calls f for each field of an encoded message.
func walkFields(b []byte, f func(n protowire.Number, x uint64, bytes []byte) error) error {
	return snapshot.WalkFields(b, errInvalidRecord, func(n protowire.Number, _ protowire.Type, x uint64, body []byte) error { return f(n, x, body) })
}

// maxIndex bounds decoded values that are used as an index, so that a damaged record allocates little.
const maxIndex = 1 << 20

// Decode decodes a record.
func Decode(b []byte) (r Record, err error) {
	loaded := false
	small := func(x uint64) int {
		if x > maxIndex {
			err = errInvalidRecord
			return 0
		}
		return int(x)
	}
	walk := walkFields(b, func(n protowire.Number, x uint64, data []byte) error {
		switch n {
		case fieldKind:
			r.Kind = Kind(min(x, math.MaxUint8))
		case fieldNow:
			r.Now = math.Float64frombits(x)
		case fieldRequest:
			r.Request = x
		case fieldID:
			r.ID = x
		case fieldAttempt:
			r.Attempt = small(x)
		case fieldBackend:
			r.Backend = x
		case fieldDecision:
			r.Decision = balancer.DecisionKind(min(x, math.MaxUint8))
		case fieldOutcome:
			r.Outcome = balancer.Outcome(min(x, math.MaxUint8))
		case fieldValue:
			r.Value = math.Float64frombits(x)
		case fieldFlags:
			r.Flags = x
		case fieldClass:
			r.Class = small(x)
		case fieldTenant:
			r.Tenant = small(x)
		case fieldKey:
			r.Key = x
		case fieldCostHint:
			r.CostHint = math.Float64frombits(x)
		case fieldDeadline:
			r.Deadline = math.Float64frombits(x)
		case fieldCount:
			r.Count = x
		case fieldEndpoint:
			l, odd := decodeEndpoint(data)
			if odd != nil {
				return odd
			}
			r.Endpoints = append(r.Endpoints, l)
		case fieldLoad:
			loaded = true
			r.Load, err = decodeLoad(data)
		case fieldData:
			r.Data = append([]byte{}, data...)
		case fieldState:
			r.State = append([]byte{}, data...)
		case fieldRequests:
			r.Requests, err = unpackNumbers(data)
		case fieldBackends:
			r.Backends, err = unpackNumbers(data)
		}
		return err
	})
	if r.Kind == LoadReported && !loaded { // earlier builds stored the service time alone, in Value
		r.Load = balancer.EmptyLoadReport()
		r.Load.ServiceTime = r.Value
	}
	if walk == nil && (r.Kind == 0 || math.IsNaN(r.Now)) {
		walk = errInvalidRecord
	}
	return r, walk
}

func decodeEndpoint(b []byte) (l Endpoint, err error) {
	walk := walkFields(b, func(n protowire.Number, x uint64, _ []byte) error {
		if n >= 3 && n <= 6 && x > maxIndex {
			return errInvalidRecord
		}
		switch n {
		case 1:
			l.Backend = x
		case 2:
			l.ID = x
		case 3:
			if x > uint64(balancer.BackendReady) {
				return errInvalidRecord
			}
			l.State = balancer.BackendState(x)
		case 4:
			l.Zone = int(x)
		case 5:
			l.Cell = int(x)
		case 6:
			l.Kind = int(x)
		case 7:
			l.Weight = math.Float64frombits(x)
		case 8:
			l.Started = math.Float64frombits(x)
		case 9:
			l.Cordoned = x != 0
		}
		return nil
	})
	return l, walk
}

// Start describes the process whose decider a Begin record starts.
type Start struct {
	Name   string           `json:"name"`  // of the node; its processes share the name
	Epoch  uint64           `json:"epoch"` // tells the processes of one node apart
	Build  string           `json:"build"`
	Config *balancer.Config `json:"terms"`
}

func (r Record) startInfo() (s Start, err error) {
	if err := json.Unmarshal(r.Data, &s); err != nil {
		return s, fmt.Errorf("begin: %w", err)
	}
	if s.Config == nil {
		return s, errors.New("begin: no configuration")
	}
	return s, nil
}

// String returns the record in one line.
func (r Record) String() string {
	text := fmt.Sprintf("%.3f %s", r.Now, r.Kind)
	switch r.Kind {
	case Begin:
		if s, err := r.startInfo(); err == nil {
			text += fmt.Sprintf(" %s epoch %d, seed %x, %d nodes, %d classes", s.Name, s.Epoch, s.Config.Seed, s.Config.Nodes, len(s.Config.Classes))
		}
	case EndpointsChanged:
		text += fmt.Sprintf(" %d endpoints, complete %t, cached %t", len(r.Endpoints), r.Flags&flagFull != 0, r.Flags&flagCached != 0)
	case RequestArrived:
		text += fmt.Sprintf(" request %d (%x) class %d cost hint %g deadline %.3f", r.Request, r.ID, r.Class, r.CostHint, r.Deadline)
	case EarlierAttempt:
		text += fmt.Sprintf(" request %d, attempt of another node at %.3f, last known as %s", r.Request, r.Value, r.Outcome)
		if len(r.Endpoints) > 0 {
			text += fmt.Sprintf(", to backend %x", r.Endpoints[0].ID)
		}
	case ClientGone, DeadlineShortened:
		text += fmt.Sprintf(" request %d", r.Request)
	case ResponseStarted:
		text += fmt.Sprintf(" request %d attempt %d", r.Request, r.Attempt)
	case AttemptEnded:
		text += fmt.Sprintf(" request %d attempt %d %s after %.3f ms, finished %t", r.Request, r.Attempt, r.Outcome, r.Value, r.Flags&flagFinished != 0)
	case Snapshot:
		text += fmt.Sprintf(" of %d bytes, %d requests, %d backends", len(r.State), len(r.Requests), len(r.Backends))
	case BackendForgotten:
		text += fmt.Sprintf(" backend %d", r.Backend)
	case LoadReported:
		text += fmt.Sprintf(" backend %d, service time %.3f, in flight %g, queued %g", r.Backend, r.Load.ServiceTime, r.Load.InFlight, r.Load.Queued)
	case Decided:
		text += " " + describeDecision(r)
	case Gap:
		text += fmt.Sprintf(" %d records missing", r.Count)
	}
	return text
}

var decisionNames = [...]string{"attempt", "reject", "fail", "cancel", "poll", "timer", "log"}

func describeDecision(r Record) string {
	name := "decision"
	if int(r.Decision) < len(decisionNames) {
		name = decisionNames[r.Decision]
	}
	switch r.Decision {
	case balancer.DoAttempt:
		return fmt.Sprintf("%s request %d to backend %d (attempt %d), timeout %g", name, r.Request, r.Backend, r.Attempt, r.Value)
	case balancer.DoReject, balancer.DoFail:
		return fmt.Sprintf("%s request %d, retry after %g", name, r.Request, r.Value)
	case balancer.DoCancel:
		return fmt.Sprintf("%s request %d attempt %d", name, r.Request, r.Attempt)
	case balancer.DoSetTimer:
		return fmt.Sprintf("%s in %g", name, r.Value)
	case balancer.DoLog:
		return fmt.Sprintf("%s %q", name, r.Data)
	}
	return name
}
