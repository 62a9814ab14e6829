package capture

import (
	"fmt"
	"io"

	"pearknot/balancer"
)

// Explainer is a Replayer that prints how the backends of one request were selected: each backend that the balancer
// considered for it, with the balancer's own reason and estimates.
type Explainer struct {
	Replayer
	RequestNumber uint64 // the request's number in the capture
	Out           io.Writer

	listReceivedAt float64            // time of the last endpoint list that was not cached, in ms
	reportedAt     map[uint64]float64 // time of each backend's last load report in ms, by the backend's number
	considered     []string           // lines about the backends considered for the latest record
	found          bool
}

// Feed processes the next record, see Replayer.Feed.
func (e *Explainer) Feed(record Record) error {
	if e.reportedAt == nil {
		e.reportedAt = map[uint64]float64{}
	}
	switch record.Kind {
	case EndpointsChanged:
		if record.Flags&flagCached == 0 {
			e.listReceivedAt = record.Now
		}
	case LoadReported:
		e.reportedAt[record.Backend] = record.Now
	}
	isAboutRequest := record.Request == e.RequestNumber && record.Kind != Snapshot
	if isAboutRequest && record.Kind != Decided {
		fmt.Fprintln(e.Out, record)
	}
	e.considered = e.considered[:0]
	if err := e.Replayer.Feed(record); err != nil {
		return err
	}
	if core, ok := e.decider.(*balancer.Balancer); ok && core.OnConsidered == nil {
		core.OnConsidered = func(request *balancer.Request, backend *balancer.Backend, reason balancer.Reason) {
			e.recordConsidered(core, request, backend, reason)
		}
	}
	// What was considered in this step belongs to the decisions that follow, of this request or others.
	for _, line := range e.considered {
		fmt.Fprintln(e.Out, line)
	}
	if isAboutRequest && record.Kind == Decided {
		e.found = true
		fmt.Fprintf(e.Out, "%.3f decided: %s\n", record.Now, describeDecision(record))
	}
	return nil
}

// recordConsidered adds a line about a backend that the balancer considered. A nil backend means that it considered
// none, for the given reason.
func (e *Explainer) recordConsidered(
	core *balancer.Balancer, request *balancer.Request, backend *balancer.Backend, reason balancer.Reason,
) {
	if e.requestNumbers[request] != e.RequestNumber {
		return
	}
	if backend == nil {
		text := "    queued: no backend is eligible now"
		if reason == balancer.ReasonPoisonRequest {
			text = "    no backend considered: " + reason.String()
		}
		e.considered = append(e.considered, text)
		return
	}
	belief, backendNumber := core.BackendEstimates(request, backend), e.backendNumbers[backend]
	line := fmt.Sprintf("    backend %d (%x): %s; %.1f ms expected (%.1f when idle), ",
		backendNumber, backend.ID, reason, belief.AnswerTime, belief.AnswerTimeWithoutWait)
	line += fmt.Sprintf("%d of %.1f attempts in flight, suspicion %.2f, slow start %.2f, rotation %.2f",
		belief.InFlight, belief.MaxInFlight, belief.Suspicion, belief.SlowStartFactor, belief.RotationPass)
	if !belief.IsNear {
		line += ", another zone"
	}
	if belief.AnsweredAgo >= 0 {
		line += fmt.Sprintf(", last answered an attempt sent %.0f ms ago", belief.AnsweredAgo)
	} else {
		line += ", never answered"
	}
	if reportedAt, ok := e.reportedAt[backendNumber]; ok {
		line += fmt.Sprintf(", reported %.0f ms ago", e.now()-reportedAt)
	}
	if e.listReceivedAt > 0 {
		line += fmt.Sprintf(", endpoint list %.0f ms old", e.now()-e.listReceivedAt)
	}
	e.considered = append(e.considered, line)
}

// now returns the time of the latest record in ms.
func (e *Explainer) now() float64 { return e.Result.To }

// Found reports whether a decision about the request was replayed.
func (e *Explainer) Found() bool { return e.found }

// LateArrivalDetector detects late arrivals in the order of a capture: an endpoint list older than the one in use, an
// answer that answers to later attempts had overtaken, the end of an attempt after its request's final answer.
type LateArrivalDetector struct {
	newestStart    map[uint64]float64     // start time of each backend, by the newest list
	answered       map[uint64]bool        // requests with a final answer and an attempt in flight
	inFlight       map[uint64]int         // attempts in flight, by request
	sentAt         map[attemptKey]float64 // send time of each attempt in flight
	sentTo         map[attemptKey]uint64  // the backend of each attempt in flight
	newestAnswered map[uint64]float64     // by backend: send time of the newest attempt that it has answered
}

// attemptKey identifies an attempt in a capture.
type attemptKey struct {
	request uint64
	attempt int
}

// Check processes the next record and describes in which way it is late, with an empty text if it is not.
func (d *LateArrivalDetector) Check(record Record) string {
	if d.newestStart == nil || record.Kind == Begin {
		*d = LateArrivalDetector{
			newestStart:    map[uint64]float64{},
			answered:       map[uint64]bool{},
			inFlight:       map[uint64]int{},
			sentAt:         map[attemptKey]float64{},
			sentTo:         map[attemptKey]uint64{},
			newestAnswered: map[uint64]float64{},
		}
	}
	attempt := attemptKey{record.Request, record.Attempt}
	switch record.Kind {
	case EndpointsChanged:
		for _, endpoint := range record.Endpoints {
			if endpoint.Started < d.newestStart[endpoint.Backend] {
				return fmt.Sprintf("older than what is known of backend %d", endpoint.Backend)
			}
			d.newestStart[endpoint.Backend] = endpoint.Started
		}
	case Decided:
		switch record.Decision {
		case balancer.DoAttempt:
			d.sentAt[attempt], d.sentTo[attempt] = record.Now, record.Backend
			d.inFlight[record.Request]++
		case balancer.DoReject, balancer.DoFail:
			d.requestAnswered(record.Request)
		}
	case AttemptEnded:
		sentAt, backend := d.sentAt[attempt], d.sentTo[attempt]
		delete(d.sentAt, attempt)
		delete(d.sentTo, attempt)
		defer d.attemptEnded(record.Request)
		isOvertaken := d.newestAnswered[backend] > sentAt
		if record.Outcome == balancer.OutcomeAnswered {
			d.newestAnswered[backend] = max(d.newestAnswered[backend], sentAt)
		}
		switch {
		case d.answered[record.Request]:
			return "after the request's final answer"
		case isOvertaken && record.Outcome == balancer.OutcomeAnswered:
			return "overtaken by an answer to a later attempt"
		}
		if record.Flags&flagFinished != 0 {
			d.answered[record.Request] = true
		}
	}
	return ""
}

// requestAnswered stores that a request has its final answer, unless it has no attempt in flight whose record could
// follow.
func (d *LateArrivalDetector) requestAnswered(request uint64) {
	if d.inFlight[request] > 0 {
		d.answered[request] = true
	}
}

// attemptEnded counts an attempt as ended, and removes the request with its last attempt in flight.
func (d *LateArrivalDetector) attemptEnded(request uint64) {
	if d.inFlight[request]--; d.inFlight[request] <= 0 {
		delete(d.inFlight, request)
		delete(d.answered, request)
	}
}
