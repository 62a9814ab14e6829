package invariants

import (
	"fmt"
	"strings"

	"pearknot/balancer"
)

// Kind is the kind of an event. The comment on each kind lists the fields of Event that it uses, besides At.
type Kind uint8

const (
	// RequestAccepted reports that a live node has received a request's last byte: Node, Request, Class, Key, Deadline.
	RequestAccepted Kind = iota
	// RequestAnswered reports a request's final answer: Node, Request, Answer; if served, Attempt or AnyAttempt.
	RequestAnswered
	// ClientGone reports that a request's client has disconnected and no answer is required any more: Request.
	ClientGone
	// AttemptStarted reports that an attempt's first byte arrived at a backend: Node, Request, Attempt, Backend, Work.
	AttemptStarted
	// AttemptEnded reports an attempt's outcome: Request, Attempt, Outcome.
	AttemptEnded
	// AttemptRan reports that a backend has begun the work, whether or not its response arrived: Request, Attempt, Backend.
	AttemptRan
	// EndpointNotified reports that a node was notified of a backend's state: Node, Backend, State, Started as the endpoint list has it.
	// With ByOperator an operator has cordoned the backend there (State is BackendDraining) or uncordoned it (BackendReady).
	EndpointNotified
	// BackendStarted reports that a backend's process has started: Backend, Started, Speed, Zone, Cell.
	BackendStarted
	// BackendRetired reports that a backend will never be listed again and its number will not be reused: Backend.
	BackendRetired
	// NodeKilled reports that a node's process ended without warning, and lost the requests that it had accepted: Node.
	NodeKilled
)

// The names of events, answers and rules are part of results and event logs that scripts and operators read. They therefore
// keep the terms of the operators' pages: op, push, acked, nacked, dead-lettered, told, list.
var kindNames = [...]string{"op taken", "op answered", "op left", "push begun", "push ended", "push ran", "list told",
	"backend started", "backend retired", "node killed"}

var answerNames = [...]string{"acked", "nacked", "dead-lettered"}

var stateNames = [...]string{"gone", "draining", "ready"}

// String returns the kind's name in results.
func (k Kind) String() string {
	if int(k) < len(kindNames) {
		return kindNames[k]
	}
	return fmt.Sprintf("kind %d", uint8(k))
}

// Answer is a request's final answer.
type Answer uint8

// The final answers: a backend's response, a rejection with Retry-After, or a failure.
const (
	Served Answer = iota
	Rejected
	Failed
)

// String returns the answer's name in results.
func (a Answer) String() string { return answerNames[a] }

// AnyAttempt is the attempt number of a served request if the event's source can't determine which attempt the response came
// from.
const AnyAttempt = -1

// Event is an observation from outside the program. Times are in milliseconds on one clock. Nodes, backends and requests keep
// their numbers during the whole run.
type Event struct {
	At       float64
	Kind     Kind
	Answer   Answer
	Outcome  balancer.Outcome
	State    balancer.BackendState
	Node     int
	Backend  int
	Attempt  int // number within its request, from 0
	Class    int
	Zone     int
	Cell     int
	Request  uint64
	Key      uint64  // ordering key of the request; 0 means none
	Deadline float64 // deadline of the request
	Work     float64 // work of the attempt, in ms of a standard core
	Started  float64 // start time of the backend's process; 0 means long ago
	Speed    float64 // total speed of a warm backend's cores, in standard cores

	ByOperator bool // of EndpointNotified: an operator's call, not the endpoint list
}

// String returns the event as a line of evidence.
func (e Event) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%.1f %s", e.At, e.Kind)
	switch e.Kind {
	case RequestAccepted:
		fmt.Fprintf(&b, " op %d node %d category %d until %.1f", e.Request, e.Node, e.Class, e.Deadline)
	case RequestAnswered:
		fmt.Fprintf(&b, " op %d node %d %s", e.Request, e.Node, e.Answer)
	case ClientGone:
		fmt.Fprintf(&b, " op %d", e.Request)
	case AttemptStarted:
		fmt.Fprintf(&b, " op %d push %d node %d backend %d work %.1f", e.Request, e.Attempt, e.Node, e.Backend, e.Work)
	case AttemptEnded:
		fmt.Fprintf(&b, " op %d push %d %s", e.Request, e.Attempt, e.Outcome)
	case AttemptRan:
		fmt.Fprintf(&b, " op %d push %d backend %d", e.Request, e.Attempt, e.Backend)
	case EndpointNotified:
		fmt.Fprintf(&b, " node %d backend %d %s", e.Node, e.Backend, stateNames[e.State])
		if e.ByOperator {
			b.WriteString(" by an operator")
		}
	case BackendStarted, BackendRetired:
		fmt.Fprintf(&b, " backend %d", e.Backend)
	case NodeKilled:
		fmt.Fprintf(&b, " node %d", e.Node)
	}
	return b.String()
}
