package simcluster

import (
	"fmt"
	"slices"

	"pearknot/balancer"
	"pearknot/internal/requestlog"
)

const (
	backends             = 5
	recordTimeoutMs      = 500.0  // for the record of an attempt that is about to start
	endedTimeoutMs       = 1000.0 // past the request's deadline, for the record of an attempt that has ended
	answerTimeoutMs      = 1500.0 // for the record of a final answer
	minServiceMs         = 1.0
	serviceSpreadMs      = 120.0 // at most, on top
	lostResponseShare    = 0.15  // of the attempts
	connectFailedShare   = 0.1   // of the attempts: these never run
	maxAttempts          = 3     // of a request that was not taken over
	maxInheritedAttempts = 4     // attempts in the log with which a successor still starts another one

	// pauseBeforeSendShare of the attempts are sent pauseBeforeSendMs after the process has looked at the clock for the last time:
	// it may be frozen right in between.
	pauseBeforeSendShare = 0.05
	pauseBeforeSendMs    = 0.2
)

// attempt is one attempt at a request, at the process that makes it.
type attempt struct {
	cluster     *Cluster
	process     *process
	incarnation uint64           // of the process
	entry       requestlog.Entry // the request with its earlier attempts, by this owner or the ones before it
	logged      requestlog.Attempt
	refused     func(requestlog.Result) // called if the attempt must not start
}

// startAttempt has a process start an attempt at an entry's request as a node does: it sends it once the attempt's record is
// committed.
func (c *Cluster) startAttempt(p *process, entry requestlog.Entry, refused func(requestlog.Result)) {
	a := &attempt{
		cluster:     c,
		process:     p,
		incarnation: p.incarnation,
		entry:       entry,
		logged:      requestlog.Attempt{Number: len(entry.Attempts), Backend: fmt.Sprintf("b%d", c.rng.IntN(backends)), StartedAt: c.now},
		refused:     refused,
	}
	if c.AttemptsBeforeRecords {
		a.send()
	}
	record := requestlog.Record{Kind: requestlog.AttemptStarted, Key: entry.Key, Request: entry.Request, Attempt: a.logged}
	c.appendRecord(p, record, min(entry.Request.Deadline, c.now+recordTimeoutMs), a.recordReplied)
}

// recordReplied sends the attempt if its record is committed and the process may still rely on that.
func (a *attempt) recordReplied(reply requestlog.Reply) {
	c := a.cluster
	c.trace("%.0f n%d starts attempt %d at %s: %v, sent at %.0f", c.now, a.process.index, a.logged.Number, a.entry.Key, reply.Result, reply.SentAt)
	switch {
	case reply.Result != requestlog.Committed:
		a.refused(reply.Result)
	case c.now-reply.SentAt > requestlog.LeaseMs: // the lease is over: the process must ask again
		c.startAttempt(a.process, a.entry, a.refused)
	case c.now >= latestStart(&a.entry):
		a.refused(requestlog.NoQuorum)
	default:
		if a.logged.Number == 0 {
			c.auditor.RequestStored(c.now, a.entry.Key, a.entry.Request.Idempotency, a.entry.Request.Deadline)
		}
		if !c.AttemptsBeforeRecords {
			a.sendAfterLastCheck()
		}
	}
}

// sendAfterLastCheck sends the attempt, sometimes a moment after the check of the clock. A process may be frozen in that moment. A
// request with an idempotency key is then safe only while backends recognize the key, which no check before the send can know, so
// such requests have no such moment here.
func (a *attempt) sendAfterLastCheck() {
	c := a.cluster
	if a.entry.Request.Idempotency != balancer.IdempotentWithKey && c.rng.Float64() < pauseBeforeSendShare {
		c.after(pauseBeforeSendMs, func() { c.runIn(a.process, a.incarnation, a.send) })
		return
	}
	a.send()
}

// send sends the attempt to its backend. What happens there no longer depends on the process.
func (a *attempt) send() {
	c := a.cluster
	c.after(minServiceMs+c.rng.Float64()*serviceSpreadMs, func() {
		isResponseLost := c.rng.Float64() < lostResponseShare
		hasRun := c.rng.Float64() > connectFailedShare
		if hasRun {
			c.runEffect(&a.entry)
		}
		c.runIn(a.process, a.incarnation, func() { a.finish(hasRun, isResponseLost) })
	})
}

// finish carries the request on after its attempt, as its owner.
func (a *attempt) finish(hasRun, isResponseLost bool) {
	hasRetry := a.logged.Number+1 < maxAttempts
	switch {
	case !hasRun:
		a.connectFailed(hasRetry)
	case isResponseLost && hasRetry && a.entry.Request.Idempotency == balancer.Idempotent:
		a.retry()
	case isResponseLost:
		a.cluster.answer(a.process, a.entry.Key, requestlog.FinalAnswer{Status: requestlog.Failed})
	default:
		a.cluster.answer(a.process, a.entry.Key, requestlog.FinalAnswer{Status: requestlog.Served, Body: []byte(a.logged.Backend)})
	}
}

// connectFailed records that the attempt never ran, and retries or answers the request.
func (a *attempt) connectFailed(hasRetry bool) {
	c := a.cluster
	a.logged.Outcome = balancer.OutcomeConnectFailed
	record := requestlog.Record{
		Kind:    requestlog.AttemptEnded,
		Key:     a.entry.Key,
		Attempt: requestlog.Attempt{Number: a.logged.Number, Outcome: a.logged.Outcome},
	}
	c.appendRecord(a.process, record, a.entry.Request.Deadline+endedTimeoutMs, func(requestlog.Reply) {})
	a.logged.Ended = true
	entry := a.entryWithThis()
	switch {
	case hasRetry && c.now < entry.Request.Deadline:
		a.retry()
	case entry.CanReject():
		c.answer(a.process, a.entry.Key, requestlog.FinalAnswer{Status: requestlog.Rejected})
	default:
		c.answer(a.process, a.entry.Key, requestlog.FinalAnswer{Status: requestlog.Failed})
	}
}

// retry starts the next attempt. If that is refused nobody answers the request here: it has another owner, or will have one.
func (a *attempt) retry() {
	a.cluster.startAttempt(a.process, a.entryWithThis(), func(requestlog.Result) {})
}

// entryWithThis returns the request with all its attempts, this one among them.
func (a *attempt) entryWithThis() requestlog.Entry {
	entry := a.entry
	entry.Attempts = append(slices.Clone(entry.Attempts), a.logged)
	return entry
}

// latestStart returns when the next attempt must have started at the latest. Once an earlier one may have run, that is while
// backends still recognize the idempotency key.
func latestStart(entry *requestlog.Entry) float64 {
	uncertain := entry.UncertainAttempt()
	if uncertain != nil && entry.Request.Idempotency == balancer.IdempotentWithKey {
		return min(entry.Request.Deadline, uncertain.StartedAt+entry.Request.DedupWindow)
	}
	return entry.Request.Deadline
}

// runEffect is what an attempt does at a backend. All backends share the idempotency keys that they have seen, and recognize each
// for a while.
func (c *Cluster) runEffect(entry *requestlog.Entry) {
	key, request := entry.Key, &entry.Request
	if request.Idempotency == balancer.IdempotentWithKey {
		if at, seen := c.effectAt[key]; seen && c.now-at < request.DedupWindow+requestlog.PeerTimeoutMs {
			return
		}
		c.effectAt[key] = c.now
	}
	c.auditor.EffectRan(c.now, key, request.Idempotency)
	c.trace("%.0f effect of %s", c.now, key)
}

// answer has a request's owner record its final answer. The client gets what the log then holds.
func (c *Cluster) answer(p *process, key string, answer requestlog.FinalAnswer) {
	record := requestlog.Record{Kind: requestlog.RequestAnswered, Key: key, Answer: answer}
	c.appendRecord(p, record, c.now+answerTimeoutMs, func(reply requestlog.Reply) {
		c.trace("%.0f n%d answers %s with status %v: %v", c.now, p.index, key, answer.Status, reply.Result)
		switch {
		case reply.Result == requestlog.Committed && answer.Status != requestlog.Rejected:
			c.LoggedAnswers++
			c.reportAnswer(key, answer)
		case reply.Result == requestlog.KeyAnswered:
			c.reportAnswer(key, reply.Answer)
		}
	})
}

// takeOver has a process carry on a request that it has taken over from a lost owner.
func (c *Cluster) takeOver(p *process, entry *requestlog.Entry) {
	c.trace("%.0f n%d takes over %s", c.now, p.index, entry.Key)
	fail := func() { c.answer(p, entry.Key, requestlog.FinalAnswer{Status: requestlog.Failed}) }
	switch action, _ := entry.TakeoverAction(c.now); {
	case action == requestlog.RejectRequest:
		c.answer(p, entry.Key, requestlog.FinalAnswer{Status: requestlog.Rejected})
	case action == requestlog.FailRequest, len(entry.Attempts) > maxInheritedAttempts:
		fail()
	default:
		c.startAttempt(p, *entry, func(requestlog.Result) { fail() })
	}
}
