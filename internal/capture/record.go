// Package capture records every input of the balancer, in order and by batch, and every decision, so that a replay
// takes exactly the same decisions. A capture is a sequence of segment files; a segment is a header and compressed
// blocks of records. Records are in the protobuf wire format, each with a checksum; a reader skips fields that it
// does not know.
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

// Record is one input or decision. Requests and backends have the numbers that the capture gave them. Times are in
// ms on the node's clock.
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
func (r *Record) Append(encoded []byte) []byte {
	number := func(field protowire.Number, value uint64) {
		if value != 0 {
			encoded = protowire.AppendVarint(protowire.AppendTag(encoded, field, protowire.VarintType), value)
		}
	}
	float := func(field protowire.Number, value float64) {
		if bits := math.Float64bits(value); bits != 0 {
			encoded = protowire.AppendFixed64(protowire.AppendTag(encoded, field, protowire.Fixed64Type), bits)
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
	for _, endpoint := range r.Endpoints {
		encoded = protowire.AppendBytes(protowire.AppendTag(encoded, fieldEndpoint, protowire.BytesType), endpoint.append(nil))
	}
	for _, value := range []struct {
		field protowire.Number
		data  []byte
	}{{fieldData, r.Data}, {fieldState, r.State}, {fieldRequests, packNumbers(r.Requests)}, {fieldBackends, packNumbers(r.Backends)}, {fieldLoad, r.encodeLoad()}} {
		if len(value.data) > 0 {
			encoded = protowire.AppendBytes(protowire.AppendTag(encoded, value.field, protowire.BytesType), value.data)
		}
	}
	return encoded
}

// encodeLoad encodes the values of a load report. A value that was not reported is below 0, unlike an idle
// backend's 0.
func (r *Record) encodeLoad() (encoded []byte) {
	if r.Kind == LoadReported {
		for _, value := range []float64{r.Load.ServiceTime, r.Load.InFlight, r.Load.Queued, r.Load.Throughput} {
			encoded = protowire.AppendFixed64(encoded, math.Float64bits(value))
		}
	}
	return encoded
}

func decodeLoad(encoded []byte) (load balancer.LoadReport, err error) {
	load = balancer.EmptyLoadReport()
	for _, value := range []*float64{&load.ServiceTime, &load.InFlight, &load.Queued, &load.Throughput} {
		bits, size := protowire.ConsumeFixed64(encoded)
		if len(encoded) == 0 && value == &load.Throughput { // earlier builds did not store it
			break
		}
		if size < 0 {
			return load, errInvalidRecord
		}
		*value, encoded = math.Float64frombits(bits), encoded[size:]
	}
	return load, nil
}

func packNumbers(numbers []uint64) (packed []byte) {
	for _, number := range numbers {
		packed = protowire.AppendVarint(packed, number)
	}
	return packed
}

func unpackNumbers(packed []byte) (numbers []uint64, err error) {
	for len(packed) > 0 {
		number, size := protowire.ConsumeVarint(packed)
		if size < 0 {
			return nil, errInvalidRecord
		}
		numbers, packed = append(numbers, number), packed[size:]
	}
	return numbers, nil
}

func (e Endpoint) append(encoded []byte) []byte {
	for field, value := range []uint64{e.Backend, e.ID, uint64(e.State), uint64(e.Zone), uint64(e.Cell), uint64(e.Kind)} {
		if value != 0 {
			encoded = protowire.AppendVarint(protowire.AppendTag(encoded, protowire.Number(field+1), protowire.VarintType), value)
		}
	}
	for field, value := range []float64{e.Weight, e.Started} {
		if bits := math.Float64bits(value); bits != 0 {
			encoded = protowire.AppendFixed64(protowire.AppendTag(encoded, protowire.Number(field+7), protowire.Fixed64Type), bits)
		}
	}
	if e.Cordoned {
		encoded = protowire.AppendVarint(protowire.AppendTag(encoded, 9, protowire.VarintType), 1)
	}
	return encoded
}

var errInvalidRecord = errors.New("odd record")

// walkFields calls f for each field of an encoded message.
func walkFields(encoded []byte, handle func(field protowire.Number, value uint64, bytes []byte) error) error {
	return snapshot.Walk(encoded, errInvalidRecord, func(field protowire.Number, _ protowire.Type, value uint64, body []byte) error {
		return handle(field, value, body)
	})
}

// maxIndex bounds decoded values that are used as an index, so that a damaged record allocates little.
const maxIndex = 1 << 20

// Decode decodes a record.
func Decode(encoded []byte) (record Record, err error) {
	hasLoad := false
	boundedIndex := func(value uint64) int {
		if value > maxIndex {
			err = errInvalidRecord
			return 0
		}
		return int(value)
	}
	walkErr := walkFields(encoded, func(field protowire.Number, value uint64, data []byte) error {
		switch field {
		case fieldKind:
			record.Kind = Kind(min(value, math.MaxUint8))
		case fieldNow:
			record.Now = math.Float64frombits(value)
		case fieldRequest:
			record.Request = value
		case fieldID:
			record.ID = value
		case fieldAttempt:
			record.Attempt = boundedIndex(value)
		case fieldBackend:
			record.Backend = value
		case fieldDecision:
			record.Decision = balancer.DecisionKind(min(value, math.MaxUint8))
		case fieldOutcome:
			record.Outcome = balancer.Outcome(min(value, math.MaxUint8))
		case fieldValue:
			record.Value = math.Float64frombits(value)
		case fieldFlags:
			record.Flags = value
		case fieldClass:
			record.Class = boundedIndex(value)
		case fieldTenant:
			record.Tenant = boundedIndex(value)
		case fieldKey:
			record.Key = value
		case fieldCostHint:
			record.CostHint = math.Float64frombits(value)
		case fieldDeadline:
			record.Deadline = math.Float64frombits(value)
		case fieldCount:
			record.Count = value
		case fieldEndpoint:
			endpoint, endpointErr := decodeEndpoint(data)
			if endpointErr != nil {
				return endpointErr
			}
			record.Endpoints = append(record.Endpoints, endpoint)
		case fieldLoad:
			hasLoad = true
			record.Load, err = decodeLoad(data)
		case fieldData:
			record.Data = append([]byte{}, data...)
		case fieldState:
			record.State = append([]byte{}, data...)
		case fieldRequests:
			record.Requests, err = unpackNumbers(data)
		case fieldBackends:
			record.Backends, err = unpackNumbers(data)
		}
		return err
	})
	if record.Kind == LoadReported && !hasLoad { // earlier builds stored the service time alone, in Value
		record.Load = balancer.EmptyLoadReport()
		record.Load.ServiceTime = record.Value
	}
	if walkErr == nil && (record.Kind == 0 || math.IsNaN(record.Now)) {
		walkErr = errInvalidRecord
	}
	return record, walkErr
}

func decodeEndpoint(encoded []byte) (endpoint Endpoint, err error) {
	walk := walkFields(encoded, func(field protowire.Number, value uint64, _ []byte) error {
		if field >= 3 && field <= 6 && value > maxIndex {
			return errInvalidRecord
		}
		switch field {
		case 1:
			endpoint.Backend = value
		case 2:
			endpoint.ID = value
		case 3:
			if value > uint64(balancer.BackendReady) {
				return errInvalidRecord
			}
			endpoint.State = balancer.BackendState(value)
		case 4:
			endpoint.Zone = int(value)
		case 5:
			endpoint.Cell = int(value)
		case 6:
			endpoint.Kind = int(value)
		case 7:
			endpoint.Weight = math.Float64frombits(value)
		case 8:
			endpoint.Started = math.Float64frombits(value)
		case 9:
			endpoint.Cordoned = value != 0
		}
		return nil
	})
	return endpoint, walk
}

// Start describes the process whose decider a Begin record starts.
type Start struct {
	Name   string           `json:"name"`  // of the node; its processes share the name
	Epoch  uint64           `json:"epoch"` // tells the processes of one node apart
	Build  string           `json:"build"`
	Config *balancer.Config `json:"terms"`
}

func (r Record) startInfo() (start Start, err error) {
	if err := json.Unmarshal(r.Data, &start); err != nil {
		return start, fmt.Errorf("begin: %w", err)
	}
	if start.Config == nil {
		return start, errors.New("begin: no configuration")
	}
	return start, nil
}

// String returns the record in one line.
func (r Record) String() string {
	text := fmt.Sprintf("%.3f %s", r.Now, r.Kind)
	switch r.Kind {
	case Begin:
		if start, err := r.startInfo(); err == nil {
			text += fmt.Sprintf(" %s epoch %d, seed %x, %d nodes, %d classes", start.Name, start.Epoch, start.Config.Seed, start.Config.Nodes, len(start.Config.Classes))
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
