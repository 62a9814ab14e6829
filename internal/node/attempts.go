package node

import (
	"context"
	"fmt"
	"log/slog"
	"time"

	"pearknot/balancer"
	"pearknot/internal/upstream"
)

// startAttempt starts an attempt that the balancer decided on.
func (n *Node) startAttempt(decision balancer.Decision) {
	request, attempt := n.requests[decision.Request.ID], decision.Attempt
	deadline := request.Deadline
	if decision.Wait > 0 {
		deadline = min(deadline, n.now+decision.Wait)
	}
	call := n.newCall(request, attempt, deadline)
	request.calls = append(request.calls, call)
	request.attemptsInFlight++
	switch {
	case request.clientDisconnected.Load(): // no connection or record is made; the message from Cancel follows
		call.OnDone(upstream.Result{Outcome: balancer.OutcomeNotSent})
	case request.Logged != nil:
		n.recordAttemptStart(request, attempt, call)
	default:
		n.sendAttempt(attempt, call)
	}
}

// newCall creates the upstream call for an attempt. Its results are dropped if the balancer that decided on the attempt
// has panicked meanwhile, because its replacement does not know the attempt.
//
// balancer.Decider.ResponseStarted is never called here: a streamed response counts as ended with its first part.
func (n *Node) newCall(request *Request, attempt *balancer.Attempt, deadline float64) *upstream.Call {
	decider := n.decider
	call := upstream.NewCall(request.Message, n.clock.Time(deadline), func(result upstream.Result) {
		n.mailbox.Put(func() {
			if n.decider == decider {
				n.attemptEnded(request, attempt, result)
			} else {
				result.Reply.Release()
			}
		})
	})
	if request.Streamed {
		call.OnBodySent = func(deadline time.Time) {
			left := time.Until(deadline)
			n.mailbox.Put(func() {
				if n.decider == decider && !request.answered {
					request.Deadline = n.now + float64(left.Microseconds())/1e3
					n.decider.RequestBodySent(n.now, attempt)
				}
			})
		}
	}
	call.ClientGone = &request.clientDisconnected
	return call
}

// sendAttempt sends the call to its backend, unless that has been removed.
func (n *Node) sendAttempt(attempt *balancer.Attempt, call *upstream.Call) {
	if connections := n.backendOf[attempt.Backend].upstream; connections != nil {
		connections.Send(call)
		return
	}
	call.OnDone(upstream.Result{Outcome: balancer.OutcomeNotSent})
}

// attemptEnded handles the result of an attempt. The first response to a request is its answer.
func (n *Node) attemptEnded(request *Request, attempt *balancer.Attempt, result upstream.Result) {
	request.attemptsInFlight--
	if result.Reply != nil && result.Report.HasValues() {
		n.decider.LoadReported(n.now, attempt.Backend, result.Report)
	}
	if result.Outcome == balancer.OutcomeAnswered && !request.answered {
		n.finish(request, Answer{Status: Served, Reply: result.Reply})
	} else {
		result.Reply.Release()
		n.recordAttemptEnd(request, attempt, result.Outcome)
	}
	// The backend's processing time ends where its response begins: sending and reading a long response takes additional
	// time.
	elapsed := max(n.now-attempt.SentAt-float64(result.SinceFirstByte.Microseconds())/1e3, 0)
	n.decider.AttemptEnded(n.now, attempt, result.Outcome, elapsed, request.answered)
	n.logAttempt(request, attempt, result)
	n.forgetIfComplete(request)
}

// logAttempt logs an attempt that has ended. `pearknot-lab count` reads these lines, and those of logUnserved, and sums
// them over a fleet: their messages, keys and values must not change.
func (n *Node) logAttempt(request *Request, attempt *balancer.Attempt, result upstream.Result) {
	if !n.log.Enabled(context.Background(), slog.LevelDebug) {
		return
	}
	n.log.Debug("attempt ended", "request", request.ID, "class", request.Class, "cost_hint", request.CostHint,
		"attempt", attempt.Number, "backend", fmt.Sprintf("%x", attempt.Backend.ID), "zone", attempt.Backend.Zone,
		"kind", attempt.Backend.Kind, "sent_ms", attempt.SentAt-request.ArrivedAt, "after_ms", n.now-attempt.SentAt,
		"first_ms", float64(result.SinceFirstByte.Microseconds())/1e3, "at_ms", n.now, "outcome", result.Outcome.String())
}

// logUnserved logs a request that no backend has served.
func (n *Node) logUnserved(request *Request, answer Answer) {
	if !n.log.Enabled(context.Background(), slog.LevelDebug) {
		return
	}
	n.log.Debug("request not served", "request", request.ID, "class", request.Class, "cost_hint", request.CostHint,
		"attempts", len(request.Attempts), "age_ms", n.now-request.ArrivedAt, "left_ms", request.Deadline-n.now,
		"answer", answer.Status.String())
}
