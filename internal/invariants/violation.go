package invariants

import (
	"fmt"
	"strings"
)

// Rule is one of the rules that the program must keep. Results have its number.
type Rule uint8

// The rules on what nodes do, judged by Auditor. See the file of each rule.
const (
	NoRequestLost      Rule = 1 // requests.go
	NoEffectTwice      Rule = 2 // effects.go
	DrainRespected     Rule = 3 // drain.go
	SlowStartPerNode   Rule = 4 // slowstart.go
	KeyOrder           Rule = 5 // keyorder.go
	SlowStartFleetwide Rule = 6 // slowstart.go
)

// The rules on requests that nodes store for each other, judged by KeyAuditor.
const (
	// OneOutcome says that an effect that must not happen twice does not, and that a key has one outcome.
	OneOutcome Rule = 7
	// OutcomeSurvives says that a stored request has a final state, if a majority of its log lived and could be reached.
	OutcomeSurvives Rule = 8
)

var ruleNames = [...]string{"", "no op lost", "no effect twice", "drains kept", "cold starts", "order kept", "ramps kept", "once", "survives"}

// String returns the rule's name in results.
func (r Rule) String() string { return ruleNames[r] }

// Violation is one rule broken once.
type Violation struct {
	Rule     Rule
	At       float64 // ms
	What     string
	Evidence []Event // that prove it, the oldest first
}

// String returns the violation with its evidence, a line an event.
func (v Violation) String() string {
	lines := []string{fmt.Sprintf("rule %d (%s) at %.1f ms: %s", v.Rule, v.Rule, v.At, v.What)}
	for _, event := range v.Evidence {
		lines = append(lines, "    "+event.String())
	}
	return strings.Join(lines, "\n")
}
