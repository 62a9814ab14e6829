package invariants

import (
	"fmt"
	"strings"
)

// Rule is the number of a rule that the program must keep. The numbers are part of results.
type Rule uint8

// The rules on the behavior of nodes, checked by Auditor. Each is described in the file named beside it.
const (
	NoRequestLost      Rule = 1 // requests.go
	NoEffectTwice      Rule = 2 // effects.go
	DrainRespected     Rule = 3 // drain.go
	SlowStartPerNode   Rule = 4 // slowstart.go
	KeyOrder           Rule = 5 // keyorder.go
	SlowStartFleetwide Rule = 6 // slowstart.go
)

// The rules on requests that nodes store for each other, checked by KeyAuditor.
const (
	// OneOutcome requires that an effect that must not happen twice happens at most once, and that a key has one outcome.
	OneOutcome Rule = 7
	// OutcomeSurvives requires that a stored request reaches a final state if a majority of its log's replicas was alive and
	// reachable.
	OutcomeSurvives Rule = 8
)

var ruleNames = [...]string{"", "no op lost", "no effect twice", "drains kept", "cold starts", "order kept", "ramps kept", "once", "survives"}

// String returns the rule's name in results.
func (r Rule) String() string { return ruleNames[r] }

// Violation is a single violation of a rule.
type Violation struct {
	Rule     Rule
	At       float64 // ms
	Message  string
	Evidence []Event // events that prove it, oldest first
}

// String returns the violation followed by its evidence, one event per line.
func (v Violation) String() string {
	lines := []string{fmt.Sprintf("rule %d (%s) at %.1f ms: %s", v.Rule, v.Rule, v.At, v.Message)}
	for _, event := range v.Evidence {
		lines = append(lines, "    "+event.String())
	}
	return strings.Join(lines, "\n")
}
