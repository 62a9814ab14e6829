package node

import (
	"sync/atomic"

	"pearknot/balancer"
	"pearknot/internal/upstream"
)

// AnswerStatus is the status of a request's final answer.
type AnswerStatus uint8

const (
	// Served means that a backend responded.
	Served AnswerStatus = iota
	// Rejected means that the client may safely send the request again: no attempt has run, or running twice does no harm.
	// What counts as harmless depends on the request's class, and for logged requests on more than for others. See
	// rejectOrFail in package balancer and canRejectLogged.
	Rejected
	// Failed means that there is no response, and that the request may have run.
	Failed
	// RetryLater means that the outcome is not known here. Another node has the request, or no majority of the request
	// log responds. A client that sends the request again with the same key gets the outcome.
	RetryLater
	// KeyTaken means that the request log contains another request or an answer under the request's key. The server looks
	// that up; no client gets this status.
	KeyTaken
)

func (s AnswerStatus) String() string {
	return [...]string{"served", "rejected", "failed", "retry later", "key taken"}[s]
}

// Answer is a request's final answer.
type Answer struct {
	Status     AnswerStatus
	Reply      *upstream.Reply // the backend's response if Status is Served; the receiver must release it
	RetryAfter float64         // ms until the client should retry, if Status is Rejected or RetryLater; 0 if unknown
}

// Request is a client's request and its state at the node.
type Request struct {
	balancer.Request
	Message *upstream.Message
	Logged  *LoggedRequest // nil if the request is not logged

	answer             chan Answer
	answerDiscarded    atomic.Bool // no receiver waits for the answer
	clientDisconnected atomic.Bool // no further attempt may start

	// Only the node's actor uses the following fields.
	answered         bool             // the answer is decided, or the client has disconnected
	calls            []*upstream.Call // one for each attempt, by the attempt's number
	attemptsInFlight int              // attempts that have not ended
}

// NewRequest creates a request that sends message; the caller sets the balancer's fields.
func NewRequest(message *upstream.Message) *Request {
	request := &Request{Message: message, answer: make(chan Answer, 1)}
	request.Streamed = message.IsStreamed()
	return request
}

// Answer returns the channel on which the one final answer is delivered. After Node.Cancel nothing is delivered.
func (r *Request) Answer() <-chan Answer { return r.answer }

// A request ends in one of these ways:
//   - Node.finish: the balancer has decided on the answer, or a backend has responded. The answer of a logged request is
//     committed to the request log before it is delivered.
//   - Node.abortRequest: the node itself answers, because an attempt must not start according to the request log. Nothing
//     is committed.
//   - Node.abandonRequest: the client has disconnected, and no answer is delivered. A logged request releases its key.
//
// All three call markAnswered, which prevents further attempts. Request.finish and deliver are the last steps.

// finish delivers the final answer unless the request has one. Nothing is sent for the request after its answer: an
// attempt whose connection is still being opened is prevented from starting first.
func (r *Request) finish(answer Answer) {
	if !r.answered {
		r.markAnswered()
		r.deliver(answer)
	}
}

// deliver passes the answer to the receiver of Answer, or releases it if there is no receiver any more.
func (r *Request) deliver(answer Answer) {
	r.answer <- answer
	if r.answerDiscarded.Load() {
		r.discardAnswer()
	}
}

// discardAnswer releases the answer, whether it has been delivered already or will be later.
func (r *Request) discardAnswer() {
	r.answerDiscarded.Store(true)
	select {
	case answer := <-r.answer:
		answer.Reply.Release()
	default:
	}
}

// markAnswered records that the answer is final, and prevents the start of attempts that have not started.
func (r *Request) markAnswered() {
	r.answered = true
	for _, call := range r.calls {
		call.PreventStart()
	}
}
