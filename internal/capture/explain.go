package capture

import (
	"fmt"
	"io"

	"pearknot/balancer"
)

// Explainer is a replay that prints why one request went where it went: each backend that the balancer considered for it,
// with the balancer's own reason and estimates.
type Explainer struct {
	Replayer
	RequestNumber uint64 // of the request, in the capture
	Out           io.Writer

	listReceivedAt float64            // when the endpoint list last arrived
	reportedAt     map[uint64]float64 // by number of the backend
	considered     []string           // lines for what was considered since the latest decision
	found          bool
}

// Feed takes the next record, see Replayer.Feed.
func (e *Explainer) Feed(x Record) error {
	if e.reportedAt == nil {
		e.reportedAt = map[uint64]float64{}
	}
	switch x.Kind {
	case EndpointsChanged:
		if x.Flags&flagCached == 0 {
			e.listReceivedAt = x.Now
		}
	case LoadReported:
		e.reportedAt[x.Backend] = x.Now
	}
	mine := x.Request == e.RequestNumber && x.Kind != Snapshot
	if mine && x.Kind != Decided {
		fmt.Fprintln(e.Out, x)
	}
	e.considered = e.considered[:0]
	if err := e.Replayer.Feed(x); err != nil {
		return err
	}
	if n, ok := e.decider.(*balancer.Balancer); ok && n.OnConsidered == nil {
		n.OnConsidered = func(request *balancer.Request, b *balancer.Backend, r balancer.Reason) {
			e.recordConsidered(n, request, b, r)
		}
	}
	// What was considered in this step belongs to the decisions that follow, of this request or others.
	for _, line := range e.considered {
		fmt.Fprintln(e.Out, line)
	}
	if mine && x.Kind == Decided {
		e.found = true
		fmt.Fprintf(e.Out, "%.3f decided: %s\n", x.Now, describeDecision(x))
	}
	return nil
}

// recordConsidered receives each backend that the balancer considered.
func (e *Explainer) recordConsidered(n *balancer.Balancer, request *balancer.Request, b *balancer.Backend, r balancer.Reason) {
	if e.requestNumbers[request] != e.RequestNumber {
		return
	}
	if b == nil {
		text := "    queued: no backend is eligible now"
		if r == balancer.ReasonPoisonRequest {
			text = "    no backend looked for: " + r.String()
		}
		e.considered = append(e.considered, text)
		return
	}
	x, number := n.Belief(request, b), e.backendNumbers[b]
	line := fmt.Sprintf("    backend %d (%x): %s; %.1f ms expected (%.1f when idle), %d of %.1f attempts in flight, suspicion %.2f, slow start %.2f, rotation %.2f",
		number, b.ID, r, x.AnswerTime, x.Alone, x.InFlight, x.MaxInFlight, x.Suspicion, x.SlowStartFactor, x.RotationPass)
	if !x.IsNear {
		line += ", another zone"
	}
	if x.AnsweredAgo >= 0 {
		line += fmt.Sprintf(", last answered an attempt sent %.0f ms ago", x.AnsweredAgo)
	} else {
		line += ", never answered"
	}
	if at, ok := e.reportedAt[number]; ok {
		line += fmt.Sprintf(", reported %.0f ms ago", e.now()-at)
	}
	if e.listReceivedAt > 0 {
		line += fmt.Sprintf(", endpoint list %.0f ms old", e.now()-e.listReceivedAt)
	}
	e.considered = append(e.considered, line)
}

func (e *Explainer) now() float64 { return e.Result.To }

// Found reports whether a decision about the request was replayed.
func (e *Explainer) Found() bool { return e.found }

// LateNotes marks what arrived late, in the order of a capture: an endpoint list older than the one in use, an answer that
// answers to later attempts had overtaken, the end of an attempt after its request's final answer.
type LateNotes struct {
	newestStart    map[uint64]float64    // start time of each backend, by the newest list
	answered       map[uint64]bool       // requests with a final answer and an attempt in flight
	inFlight       map[uint64]int        // attempts in flight, by request
	sentAt         map[[2]uint64]float64 // by request and attempt: when it was sent
	sentTo         map[[2]uint64]uint64
	newestAnswered map[uint64]float64 // by backend: when the newest attempt was sent that it has answered
}

// Note returns a remark on the next record, or nothing.
func (n *LateNotes) Note(x Record) string {
	if n.newestStart == nil || x.Kind == Begin {
		*n = LateNotes{map[uint64]float64{}, map[uint64]bool{}, map[uint64]int{}, map[[2]uint64]float64{}, map[[2]uint64]uint64{},
			map[uint64]float64{}}
	}
	attempt := [2]uint64{x.Request, uint64(x.Attempt)}
	switch x.Kind {
	case EndpointsChanged:
		for _, l := range x.Endpoints {
			if l.Started < n.newestStart[l.Backend] {
				return fmt.Sprintf("older than what is known of backend %d", l.Backend)
			}
			n.newestStart[l.Backend] = l.Started
		}
	case Decided:
		switch x.Decision {
		case balancer.DoAttempt:
			n.sentAt[attempt], n.sentTo[attempt] = x.Now, x.Backend
			n.inFlight[x.Request]++
		case balancer.DoReject, balancer.DoFail:
			n.requestAnswered(x.Request)
		}
	case AttemptEnded:
		at, b := n.sentAt[attempt], n.sentTo[attempt]
		delete(n.sentAt, attempt)
		delete(n.sentTo, attempt)
		defer n.attemptEnded(x.Request)
		late := n.newestAnswered[b] > at
		if x.Outcome == balancer.OutcomeAnswered {
			n.newestAnswered[b] = max(n.newestAnswered[b], at)
		}
		switch {
		case n.answered[x.Request]:
			return "after the request's final answer"
		case late && x.Outcome == balancer.OutcomeAnswered:
			return "overtaken by an answer to a later attempt"
		}
		if x.Flags&flagFinished != 0 {
			n.answered[x.Request] = true
		}
	}
	return ""
}

// requestAnswered and attemptEnded keep only requests of which more records will come.
func (n *LateNotes) requestAnswered(request uint64) {
	if n.inFlight[request] > 0 {
		n.answered[request] = true
	}
}

func (n *LateNotes) attemptEnded(request uint64) {
	if n.inFlight[request]--; n.inFlight[request] <= 0 {
		delete(n.inFlight, request)
		delete(n.answered, request)
	}
}
