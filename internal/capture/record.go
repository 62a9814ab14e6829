// Package capture records every input of the balancer, in order and by batch, and every decision, so that a replay
// takes exactly the same decisions. A capture is a sequence of segment files; a segment is a header and compressed
// blocks of records. Records are in the protobuf wire format, each with a checksum; a reader skips fields that it
// does not know.
package capture

import (
	"encoding/json"
	"errors"
	"fmt"

	"pearknot/balancer"
)

// Kind is the type of a record. The numbers are stored: they never change their meaning.
type Kind uint8

// The kinds of a record. Inputs of a balancer.Decider are EndpointsChanged to DeadlineShortened, ProcessesChanged,
// RequestBodySent and ConfigChanged, each named as its method; EarlierAttempt is a part of the RequestArrived that
// follows. Begin, Decided, BatchEnd, Gap, Snapshot and BackendForgotten are not inputs. The comments of Record's
// fields list the kinds that use them.
const (
	// Begin is a decider's start.
	Begin Kind = iota + 1
	EndpointsChanged
	PollFailed
	RequestArrived
	// RequestAbandoned is recorded for every request that the node abandons, even if its client is still connected.
	RequestAbandoned
	// ResponseStarted is not recorded by nodes, which do not stream responses; simulators pass it on.
	ResponseStarted
	AttemptEnded
	LoadReported
	TimerFired
	// DeadlineShortened is recorded by a node that shuts down, and when a streamed body has arrived or its time is over.
	DeadlineShortened
	// Decided is a decision that the host took.
	Decided
	// BatchEnd marks the end of a batch: the decider has no decision left.
	BatchEnd
	// Gap stands for records that were not stored.
	Gap
	// Snapshot is the decider's state at a batch's end, from which a replay may begin.
	Snapshot
	// BackendForgotten reports that the host released a backend. If it is listed again it gets another number.
	BackendForgotten
	// ProcessesChanged reports the number of processes of the node.
	ProcessesChanged
	// RequestBodySent reports that the last byte of a streamed request was sent.
	RequestBodySent
	ConfigChanged
	// EarlierAttempt precedes a RequestArrived: an attempt that another node began for a request that was taken
	// over from it.
	EarlierAttempt
)

var kindNames = [...]string{
	Begin:             "begin",
	EndpointsChanged:  "endpoints changed",
	PollFailed:        "poll failed",
	RequestArrived:    "request arrived",
	RequestAbandoned:  "client gone",
	ResponseStarted:   "response started",
	AttemptEnded:      "attempt ended",
	LoadReported:      "load reported",
	TimerFired:        "timer fired",
	DeadlineShortened: "deadline shortened",
	Decided:           "decided",
	BatchEnd:          "batch end",
	Gap:               "gap",
	Snapshot:          "snapshot",
	BackendForgotten:  "backend forgotten",
	ProcessesChanged:  "processes changed",
	RequestBodySent:   "request body sent",
	ConfigChanged:     "config changed",
	EarlierAttempt:    "earlier attempt",
}

func (k Kind) String() string {
	if int(k) < len(kindNames) && k > 0 {
		return kindNames[k]
	}
	return fmt.Sprintf("kind %d", uint8(k))
}

// Record is one input or decision. Requests and backends have the numbers that the capture gave them. Times are in
// ms on the node's clock. Fields that a record's kind does not name are 0 and take no space.
type Record struct {
	Kind Kind
	Now  float64 // time at which the input was passed on or the decision taken

	// Request is the request's number, counted from 1 in order of arrival: RequestArrived, EarlierAttempt,
	// RequestAbandoned, DeadlineShortened, ResponseStarted, RequestBodySent, AttemptEnded, and Decided about a request.
	Request uint64
	// ID is the host's ID of the request, hashed if Options.HashKey is set: RequestArrived.
	ID uint64
	// Attempt is the attempt's index within its request: ResponseStarted, RequestBodySent, AttemptEnded, and
	// Decided about an attempt.
	Attempt int
	// Backend is the backend's number, counted from 1 in order of its first listing: LoadReported,
	// BackendForgotten, and Decided about an attempt.
	Backend uint64
	// Decision is the kind of the decision: Decided.
	Decision balancer.DecisionKind
	// Outcome is the attempt's outcome: AttemptEnded; as far as the other node knew it: EarlierAttempt.
	Outcome balancer.Outcome
	// Value is, in ms,
	//   - AttemptEnded: the time that the attempt took;
	//   - DeadlineShortened, RequestBodySent: the request's deadline from then on;
	//   - EarlierAttempt: when the other node sent it, on this node's clock;
	//   - Decided: the decision's timeout, Retry-After or timer, see balancer.Decision.Wait;
	//   - LoadReported by earlier builds: the service time, in the place of Load.
	Value float64
	// Flags has bits by kind, see flagFull and those that follow: EndpointsChanged, RequestArrived, AttemptEnded.
	Flags uint64

	// The request's class, tenant, cost hint and deadline: RequestArrived.
	Class    int
	Tenant   int
	CostHint float64
	Deadline float64
	// Key is the request's affinity and ordering key, never hashed because decisions depend on it: RequestArrived.
	Key uint64

	// Count is a number of missing records: Gap; of the node's processes: ProcessesChanged.
	Count uint64
	// Endpoints is the endpoint list: EndpointsChanged; or the attempt's backend alone: EarlierAttempt.
	Endpoints []Endpoint
	// Data is a Start as JSON: Begin, Snapshot, ConfigChanged; the event's stored text: Decided with DoLog.
	Data []byte
	// State is the decider's state as internal/snapshot encodes it: Snapshot.
	State []byte
	// Requests are the numbers of the state's requests, in its order: Snapshot. For ConfigChanged they are each
	// class's former index plus 1, 0 for a new class.
	Requests []uint64
	// Backends are the numbers of the state's backends, in its order: Snapshot.
	Backends []uint64
	// Load is the backend's load report: LoadReported.
	Load balancer.LoadReport
}

// Endpoint is one entry of an endpoint list, see balancer.Endpoint.
type Endpoint struct {
	Backend  uint64 // the backend's number in the capture
	ID       uint64 // the host's ID of the backend, never hashed
	State    balancer.BackendState
	Zone     int
	Cell     int
	Kind     int
	Weight   float64
	Started  float64
	Cordoned bool
}

// Bits of Record.Flags. The numbers are stored: they never change their meaning.
const (
	flagFull           uint64 = 1 << iota // EndpointsChanged: the list is complete
	flagCached                            // EndpointsChanged: it was read from the node's own cache
	flagCostHint                          // RequestArrived: CostHint was given
	flagClientRetry                       // RequestArrived: the client says that it is a retry
	flagFinished                          // AttemptEnded: the request has ended, with it or before
	flagStreamed                          // RequestArrived: the body is forwarded while it arrives
	flagPreviousConfig                    // RequestArrived: under the configuration before the one in force
)

// StartInfo describes the process whose decider a Begin record starts. Its JSON is stored in captures, where the
// configuration keeps the key "terms" of earlier builds.
type StartInfo struct {
	Name   string           `json:"name"`  // of the node; its processes share the name
	Epoch  uint64           `json:"epoch"` // distinguishes the processes of one node
	Build  string           `json:"build"`
	Config *balancer.Config `json:"terms"`
}

// startInfo decodes the Start in the data of a Begin, Snapshot or ConfigChanged record.
func (r Record) startInfo() (start StartInfo, err error) {
	if err := json.Unmarshal(r.Data, &start); err != nil {
		return start, fmt.Errorf("decode start info: %w", err)
	}
	if start.Config == nil {
		return start, errors.New("decode start info: no configuration")
	}
	return start, nil
}

// String returns the record in one line.
func (r Record) String() string {
	text := fmt.Sprintf("%.3f %s", r.Now, r.Kind)
	if details := r.describe(); details != "" {
		text += " " + details
	}
	return text
}

// describe returns the fields of the record's kind as text.
func (r Record) describe() string {
	switch r.Kind {
	case Begin:
		return r.describeStart()
	case EndpointsChanged:
		return fmt.Sprintf("%d endpoints, complete %t, cached %t",
			len(r.Endpoints), r.Flags&flagFull != 0, r.Flags&flagCached != 0)
	case RequestArrived:
		return fmt.Sprintf("request %d (%x) class %d cost hint %g deadline %.3f",
			r.Request, r.ID, r.Class, r.CostHint, r.Deadline)
	case EarlierAttempt:
		text := fmt.Sprintf("request %d, attempt of another node at %.3f, last known as %s",
			r.Request, r.Value, r.Outcome)
		if len(r.Endpoints) > 0 {
			text += fmt.Sprintf(", to backend %x", r.Endpoints[0].ID)
		}
		return text
	case RequestAbandoned, DeadlineShortened:
		return fmt.Sprintf("request %d", r.Request)
	case ResponseStarted:
		return fmt.Sprintf("request %d attempt %d", r.Request, r.Attempt)
	case AttemptEnded:
		return fmt.Sprintf("request %d attempt %d %s after %.3f ms, finished %t",
			r.Request, r.Attempt, r.Outcome, r.Value, r.Flags&flagFinished != 0)
	case Snapshot:
		return fmt.Sprintf("of %d bytes, %d requests, %d backends", len(r.State), len(r.Requests), len(r.Backends))
	case BackendForgotten:
		return fmt.Sprintf("backend %d", r.Backend)
	case LoadReported:
		return fmt.Sprintf("backend %d, service time %.3f, in flight %g, queued %g",
			r.Backend, r.Load.ServiceTime, r.Load.InFlight, r.Load.Queued)
	case Decided:
		return describeDecision(r)
	case Gap:
		return fmt.Sprintf("%d records missing", r.Count)
	}
	return ""
}

// describeStart returns the start of a Begin record as text, empty if it can't be decoded.
func (r Record) describeStart() string {
	start, err := r.startInfo()
	if err != nil {
		return ""
	}
	config := start.Config
	return fmt.Sprintf("%s epoch %d, seed %x, %d nodes, %d classes",
		start.Name, start.Epoch, config.Seed, config.Nodes, len(config.Classes))
}

var decisionNames = [...]string{"attempt", "reject", "fail", "cancel", "poll", "timer", "log"}

// describeDecision returns the decision of a Decided record as text.
func describeDecision(r Record) string {
	name := "decision"
	if int(r.Decision) < len(decisionNames) {
		name = decisionNames[r.Decision]
	}
	switch r.Decision {
	case balancer.DoAttempt:
		return fmt.Sprintf("%s request %d to backend %d (attempt %d), timeout %g",
			name, r.Request, r.Backend, r.Attempt, r.Value)
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
