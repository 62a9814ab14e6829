package balancer

// Reason is why a backend was passed over for an op.
type Reason uint8

const (
	Eligible              Reason = iota // it was not
	ReasonAlreadyTried                  // the op has been pushed there
	ReasonEjected                       // distrusted, against its fellows
	ReasonAtCapacity                    // it has all the pushes that this node sends there at once, rests, or is not in the node's share
	ReasonBusy                          // a long wants one with none of this node's work
	ReasonWarmingUp                     // a long wants a warm one
	ReasonCrossZoneCost                 // the way there costs more than the op earns
	ReasonTooSlow                       // the answer would come too late, or the wait be longer than ops of its benefit may
	ReasonRequestDone                   // rule 1: the op is over, its time is, or its pushes are spent
	ReasonNoHedging                     // no second copies here, and a push is out
	ReasonMayHaveRun                    // rule 2: an earlier push may have run, and the category does not allow another there
	ReasonNotReady                      // rule 3: it drains or is gone
	ReasonSlowStartBudget               // rule 4: this node's part of its cold budget is spent
	ReasonOutOfOrder                    // rule 5: an earlier op of its key is not over, or the key rests
	ReasonPoisonRequest                 // of no backend: a client's repeat, after a backend fell under a push
	ReasonQueued                        // of no backend: the op waits for one
)

var reasons = [...]string{"open", "tried before", "shunned", "full", "busy", "cold", "too dear a way", "hopeless", "op over (rule 1)",
	"one copy", "may have run (rule 2)", "not ready (rule 3)", "cold budget (rule 4)",
	"out of turn (rule 5)", "a repeat, and a backend fell", "held"}

func (r Reason) String() string { return reasons[r] }

// tell passes a reason on, to whoever explains too.
func (n *Balancer) recordReason(op *Request, b *Backend, r Reason) Reason {
	if n.OnConsidered != nil {
		n.OnConsidered(op, b, r)
	}
	return r
}

// Belief is what the node believes of a backend for an op. Times are in ms.
type Belief struct {
	Near     bool    // a crossing costs nothing
	Predict  float64 // the answer time expected
	Alone    float64 // and without anything else there
	Out      int     // this node's pushes there
	Most     float64 // that it sends there at once
	Distrust float64 // shunned from 2 on
	Warmth   float64 // share of its capacity that it is sure to have
	Size     float64 // its share of the rotation
	Heard    float64 // how long ago the latest push was sent that has been answered; below 0 none was
	Pass     float64 // its place in the rotation: the lowest goes first
}

// Belief is what is believed at this moment.
func (n *Balancer) Belief(op *Request, b *Backend) Belief {
	heard := -1.0
	if b.lastAnsweredSentAt > 0 {
		heard = n.now - b.lastAnsweredSentAt
	}
	return Belief{Near: n.isNear(b), Predict: n.predictAnswerTime(b, op), Alone: op.work * n.paceOf(b), Out: len(b.inFlight), Most: b.maxInFlight,
		Distrust: n.suspicionOf(b), Warmth: n.slowStartFactor(b), Size: n.rotationShare(b), Heard: heard, Pass: b.rotationPass - n.round}
}

// Long tells whether the op counts as long, and what work is expected of it.
func (o *Request) IsLong() (long bool, work float64) { return o.isLong, o.work }
