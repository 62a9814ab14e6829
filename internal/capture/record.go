// Package capture keeps everything that a decision module was told, in its order and batch, and every decision that was
// pulled, so that a replay takes exactly the same ones. A capture is a row of segments; a segment is a header and blocks
// of records. Records are in the protobuf wire format, each with its checksum; what a reader does not know in one it
// skips.
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

// Kind of a record.
type Kind uint8

const (
	// Begin: a module's start: the clock, and in Data its terms, name, epoch and build as JSON.
	Begin Kind = iota + 1
	EndpointsChanged
	PollFailed
	RequestArrived
	ClientGone
	ResponseStarted
	AttemptEnded
	LoadReported
	TimerFired
	DeadlineShortened // an op's give-up time was moved, as a node does that is about to end
	Decided           // a decision
	BatchEnd          // there was none left: the batch's end
	Gap               // records are missing here: Count of them
	Snapshot          // the module's state at a batch's end, from which a replay may begin
	BackendForgotten  // the host let go of a backend
	ProcessesChanged  // of how many processes the node is made up: Count
	RequestBodySent   // a streamed push's last byte went out; Value is when its op's client gives up
	ConfigChanged     // new terms, in Data as of Begin; Ops has each category's former place, from 1 on, 0 where it had none
	EarlierAttempt    // ahead of Arrived: a push that another node had begun of an op taken over from it; its backend is in Lines
)

var kinds = [...]string{"", "begin", "listed", "list failed", "arrived", "left", "begun", "ended", "reported", "due", "shortened", "pulled",
	"idle", "gap", "snapshot", "dropped", "split", "sent", "retuned", "taken over from"}

func (k Kind) String() string {
	if int(k) < len(kinds) && k > 0 {
		return kinds[k]
	}
	return fmt.Sprintf("kind %d", uint8(k))
}

// Record is one thing told or pulled. Ops and backends go by the numbers that the capture gave them.
type Record struct {
	Kind      Kind
	Now       float64
	Request   uint64 // counts arrivals from 1
	ID        uint64 // the host's name of an op or backend
	Attempt   int
	Backend   uint64 // counts first listings from 1
	Decision  balancer.DecisionKind
	Outcome   balancer.Outcome
	Value     float64 // elapsed, service, wait, give-up time
	Flags     uint64
	Class     int
	Tenant    int
	CostHint  float64
	Deadline  float64
	Key       uint64 // what an op is about, as it is: decisions follow from it
	Count     uint64
	Endpoints []Endpoint
	Data      []byte   // of Begin and Snapshot, a Start as JSON; a log line of Pulled
	State     []byte   // of Snapshot, as internal/snapshot has it
	Requests  []uint64 // of Snapshot: the numbers of its ops and backends, in their order there
	Backends  []uint64
	Load      balancer.LoadReport // of Reported
}

// Line is one of a list's.
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

// Flags of records.
const (
	flagFull uint64 = 1 << iota
	flagCached
	flagHint
	flagRepeat
	flagFinished
	flagStreamed
	flagEarlier // the op came under the terms before those in force
)

// Fields in the wire format.
const (
	fieldKind = iota + 1
	fieldNow
	fieldOp
	fieldRef
	fieldPush
	fieldBackend
	fieldDecision
	fieldEnding
	fieldValue
	fieldFlags
	fieldCategory
	fieldTenant
	fieldKey
	fieldHint
	fieldGiveUp
	fieldCount
	fieldLine
	fieldData
	fieldState
	fieldOps
	fieldBackends
	fieldLoad
)

// Append encodes a record. What is zero is left out.
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
	number(fieldOp, r.Request)
	number(fieldRef, r.ID)
	number(fieldPush, uint64(r.Attempt))
	number(fieldBackend, r.Backend)
	number(fieldDecision, uint64(r.Decision))
	number(fieldEnding, uint64(r.Outcome))
	float(fieldValue, r.Value)
	number(fieldFlags, r.Flags)
	number(fieldCategory, uint64(r.Class))
	number(fieldTenant, uint64(r.Tenant))
	number(fieldKey, r.Key)
	float(fieldHint, r.CostHint)
	float(fieldGiveUp, r.Deadline)
	number(fieldCount, r.Count)
	for _, l := range r.Endpoints {
		b = protowire.AppendBytes(protowire.AppendTag(b, fieldLine, protowire.BytesType), l.append(nil))
	}
	for _, x := range []struct {
		field protowire.Number
		data  []byte
	}{{fieldData, r.Data}, {fieldState, r.State}, {fieldOps, packed(r.Requests)}, {fieldBackends, packed(r.Backends)}, {fieldLoad, r.load()}} {
		if len(x.data) > 0 {
			b = protowire.AppendBytes(protowire.AppendTag(b, x.field, protowire.BytesType), x.data)
		}
	}
	return b
}

// load gives a report's values; what is not told is below 0, and differs from an idle backend's zeros.
func (r *Record) load() (b []byte) {
	if r.Kind == LoadReported {
		for _, x := range []float64{r.Load.ServiceTime, r.Load.InFlight, r.Load.Queued, r.Load.Throughput} {
			b = protowire.AppendFixed64(b, math.Float64bits(x))
		}
	}
	return b
}

func unpackLoad(b []byte) (load balancer.LoadReport, err error) {
	load = balancer.EmptyLoadReport()
	for _, x := range []*float64{&load.ServiceTime, &load.InFlight, &load.Queued, &load.Throughput} {
		bits, size := protowire.ConsumeFixed64(b)
		if len(b) == 0 && x == &load.Throughput { // earlier builds told none
			break
		}
		if size < 0 {
			return load, errOdd
		}
		*x, b = math.Float64frombits(bits), b[size:]
	}
	return load, nil
}

func packed(numbers []uint64) (b []byte) {
	for _, x := range numbers {
		b = protowire.AppendVarint(b, x)
	}
	return b
}

func unpacked(b []byte) (numbers []uint64, err error) {
	for len(b) > 0 {
		x, size := protowire.ConsumeVarint(b)
		if size < 0 {
			return nil, errOdd
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

var errOdd = errors.New("odd record")

// fields walks a message.
func fields(b []byte, f func(n protowire.Number, x uint64, bytes []byte) error) error {
	return snapshot.Walk(b, errOdd, func(n protowire.Number, _ protowire.Type, x uint64, body []byte) error { return f(n, x, body) })
}

// mostNumber bounds what is used as a place in a list.
const mostNumber = 1 << 20

// Decode reads a record.
func Decode(b []byte) (r Record, err error) {
	loaded := false
	small := func(x uint64) int {
		if x > mostNumber {
			err = errOdd
			return 0
		}
		return int(x)
	}
	walk := fields(b, func(n protowire.Number, x uint64, data []byte) error {
		switch n {
		case fieldKind:
			r.Kind = Kind(min(x, math.MaxUint8))
		case fieldNow:
			r.Now = math.Float64frombits(x)
		case fieldOp:
			r.Request = x
		case fieldRef:
			r.ID = x
		case fieldPush:
			r.Attempt = small(x)
		case fieldBackend:
			r.Backend = x
		case fieldDecision:
			r.Decision = balancer.DecisionKind(min(x, math.MaxUint8))
		case fieldEnding:
			r.Outcome = balancer.Outcome(min(x, math.MaxUint8))
		case fieldValue:
			r.Value = math.Float64frombits(x)
		case fieldFlags:
			r.Flags = x
		case fieldCategory:
			r.Class = small(x)
		case fieldTenant:
			r.Tenant = small(x)
		case fieldKey:
			r.Key = x
		case fieldHint:
			r.CostHint = math.Float64frombits(x)
		case fieldGiveUp:
			r.Deadline = math.Float64frombits(x)
		case fieldCount:
			r.Count = x
		case fieldLine:
			l, odd := decodeLine(data)
			if odd != nil {
				return odd
			}
			r.Endpoints = append(r.Endpoints, l)
		case fieldLoad:
			loaded = true
			r.Load, err = unpackLoad(data)
		case fieldData:
			r.Data = append([]byte{}, data...)
		case fieldState:
			r.State = append([]byte{}, data...)
		case fieldOps:
			r.Requests, err = unpacked(data)
		case fieldBackends:
			r.Backends, err = unpacked(data)
		}
		return err
	})
	if r.Kind == LoadReported && !loaded { // earlier builds told a service time alone
		r.Load = balancer.EmptyLoadReport()
		r.Load.ServiceTime = r.Value
	}
	if walk == nil && (r.Kind == 0 || math.IsNaN(r.Now)) {
		walk = errOdd
	}
	return r, walk
}

func decodeLine(b []byte) (l Endpoint, err error) {
	walk := fields(b, func(n protowire.Number, x uint64, _ []byte) error {
		if n >= 3 && n <= 6 && x > mostNumber {
			return errOdd
		}
		switch n {
		case 1:
			l.Backend = x
		case 2:
			l.ID = x
		case 3:
			if x > uint64(balancer.BackendReady) {
				return errOdd
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

// Start is what a Begin record holds.
type Start struct {
	Name   string           `json:"name"`  // of the node: epochs of one name belong together
	Epoch  uint64           `json:"epoch"` // its process
	Build  string           `json:"build"`
	Config *balancer.Config `json:"terms"`
}

func (r Record) start() (s Start, err error) {
	if err := json.Unmarshal(r.Data, &s); err != nil {
		return s, fmt.Errorf("begin: %w", err)
	}
	if s.Config == nil {
		return s, errors.New("begin: no terms")
	}
	return s, nil
}

// String is a record in one line.
func (r Record) String() string {
	text := fmt.Sprintf("%.3f %s", r.Now, r.Kind)
	switch r.Kind {
	case Begin:
		if s, err := r.start(); err == nil {
			text += fmt.Sprintf(" %s epoch %d, seed %x, %d nodes, %d categories", s.Name, s.Epoch, s.Config.Seed, s.Config.Nodes, len(s.Config.Classes))
		}
	case EndpointsChanged:
		text += fmt.Sprintf(" %d lines, whole %t, held %t", len(r.Endpoints), r.Flags&flagFull != 0, r.Flags&flagCached != 0)
	case RequestArrived:
		text += fmt.Sprintf(" op %d (%x) category %d hint %g until %.3f", r.Request, r.ID, r.Class, r.CostHint, r.Deadline)
	case EarlierAttempt:
		text += fmt.Sprintf(" another node: op %d, its push at %.3f, %s as far as is known", r.Request, r.Value, r.Outcome)
		if len(r.Endpoints) > 0 {
			text += fmt.Sprintf(", to backend %x", r.Endpoints[0].ID)
		}
	case ClientGone, DeadlineShortened:
		text += fmt.Sprintf(" op %d", r.Request)
	case ResponseStarted:
		text += fmt.Sprintf(" op %d push %d", r.Request, r.Attempt)
	case AttemptEnded:
		text += fmt.Sprintf(" op %d push %d %s after %.3f ms, finished %t", r.Request, r.Attempt, r.Outcome, r.Value, r.Flags&flagFinished != 0)
	case Snapshot:
		text += fmt.Sprintf(" of %d bytes, %d ops, %d backends", len(r.State), len(r.Requests), len(r.Backends))
	case BackendForgotten:
		text += fmt.Sprintf(" backend %d", r.Backend)
	case LoadReported:
		text += fmt.Sprintf(" backend %d, service %.3f, held %g, waiting %g", r.Backend, r.Load.ServiceTime, r.Load.InFlight, r.Load.Queued)
	case Decided:
		text += " " + decision(r)
	case Gap:
		text += fmt.Sprintf(" %d records missing", r.Count)
	}
	return text
}

var decisions = [...]string{"push", "nack", "dead letter", "revoke", "watch", "timer", "log"}

func decision(r Record) string {
	name := "decision"
	if int(r.Decision) < len(decisions) {
		name = decisions[r.Decision]
	}
	switch r.Decision {
	case balancer.DoAttempt:
		return fmt.Sprintf("%s op %d to backend %d (push %d), wait %g", name, r.Request, r.Backend, r.Attempt, r.Value)
	case balancer.DoReject, balancer.DoFail:
		return fmt.Sprintf("%s op %d, come back in %g", name, r.Request, r.Value)
	case balancer.DoCancel:
		return fmt.Sprintf("%s op %d push %d", name, r.Request, r.Attempt)
	case balancer.DoSetTimer:
		return fmt.Sprintf("%s in %g", name, r.Value)
	case balancer.DoLog:
		return fmt.Sprintf("%s %q", name, r.Data)
	}
	return name
}
