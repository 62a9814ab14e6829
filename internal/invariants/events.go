// Package invariants judges whether the rules were kept: no op lost, no effect twice, nothing new to a backend after its
// drain grace, no cold backend pushed over, by those told of its start nor in the sum of all nodes, and the ops of one key in their order
// where a category keeps it. It does no I/O and knows nothing of the program judged: a
// host tells it what was seen from outside, event by event, and it answers with the breaches, each with the
// events that prove it. What the rules say stands in docs/lab.md.
package invariants

import (
	"fmt"
	"strings"

	"pearknot/balancer"
)

// Kind tells what was seen.
type Kind uint8

const (
	// OpTaken: a live node has an op's last byte. Node, Op, Category, Key, GiveUp.
	RequestAccepted Kind = iota
	// OpAnswered: the op's final answer. Node, Op, Final; where acked, Push or AnyPush.
	RequestAnswered
	// OpLeft: the op's client is gone, and no answer is owed any more. Op.
	ClientGone
	// PushBegun: a push's first byte came to a backend. Node, Op, Push, Backend, Work.
	AttemptStarted
	// PushEnded: how the push ended. Op, Push, Ending.
	AttemptEnded
	// PushRan: the backend has begun the work, whatever became of the answer. Op, Push, Backend.
	AttemptRan
	// ListTold: a node was told of a backend's state. Node, Backend, State, Started as the list has it.
	EndpointNotified
	// BackendStarted: a backend's process. Backend, Started, Speed, Zone, Cell.
	BackendStarted
	// BackendRetired: the backend will never be named again, and its number neither. Backend.
	BackendRetired
	// NodeKilled: the node's process is gone without warning, and what it had taken with it. Node.
	NodeKilled
)

var kinds = [...]string{"op taken", "op answered", "op left", "push begun", "push ended", "push ran", "list told",
	"backend started", "backend retired", "node killed"}

func (k Kind) String() string {
	if int(k) < len(kinds) {
		return kinds[k]
	}
	return fmt.Sprintf("kind %d", uint8(k))
}

// Final is a final answer.
type Answer uint8

const (
	Served Answer = iota
	Rejected
	Failed
)

func (f Answer) String() string { return [...]string{"acked", "nacked", "dead-lettered"}[f] }

// AnyPush stands for a push where the host can't tell which of an op's made the answer.
const AnyAttempt = -1

// Event is one thing seen. Times are in ms on one clock; numbers name nodes, backends and ops through a whole run.
type Event struct {
	At       float64
	Kind     Kind
	Answer   Answer
	Outcome  balancer.Outcome
	State    balancer.BackendState
	Node     int
	Backend  int
	Attempt  int // from 0 in each op
	Class    int
	Zone     int
	Cell     int
	Request  uint64
	Key      uint64  // what the op is about; 0 is none
	Deadline float64 // when the op's TTL ends
	Work     float64 // ms of a standard core
	Started  float64 // 0 is long ago
	Speed    float64 // of all cores together, warm, in standard cores
}

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
		fmt.Fprintf(&b, " node %d backend %d %s", e.Node, e.Backend, [...]string{"gone", "draining", "ready"}[e.State])
	case BackendStarted, BackendRetired:
		fmt.Fprintf(&b, " backend %d", e.Backend)
	case NodeKilled:
		fmt.Fprintf(&b, " node %d", e.Node)
	}
	return b.String()
}

// Rule is one of the six, or of the verdicts on kept ops.
type Rule uint8

const (
	NoRequestLost      Rule = 1
	NoEffectTwice      Rule = 2
	DrainRespected     Rule = 3
	SlowStartPerNode   Rule = 4
	KeyOrder           Rule = 5
	SlowStartFleetwide Rule = 6
)

func (r Rule) String() string {
	return [...]string{"", "no op lost", "no effect twice", "drains kept", "cold starts", "order kept", "ramps kept", "once", "survives"}[r]
}

// Breach is one rule broken once, with the events that prove it, oldest first.
type Violation struct {
	Rule     Rule
	At       float64
	What     string
	Evidence []Event
}

func (b Violation) String() string {
	lines := []string{fmt.Sprintf("rule %d (%s) at %.1f ms: %s", b.Rule, b.Rule, b.At, b.What)}
	for _, e := range b.Evidence {
		lines = append(lines, "    "+e.String())
	}
	return strings.Join(lines, "\n")
}

// Terms are the figures of the rules.
type Config struct {
	Classes        []balancer.Class
	MaxAttempts    int  // 0 is no limit
	AllowHedging   bool // a push may go out while another of the op's is
	DrainGrace     float64
	ColdCapacity   float64 // share of its capacity that a backend starts with
	WarmUp         float64
	OverloadFactor float64 // of what it can do at that moment
	OverloadWindow float64
	MeanWork       float64 // of an op, in which chance is reckoned; at 0 there is none
	// SettleAfterDoubt is how long a key rests after a push that may still run; RemovalNotBinding, that only draining binds.
	KeyCooldown       float64
	RemovalNotBinding bool
	Tolerance         float64 // for what the host sees late: 0 in virtual time
}
