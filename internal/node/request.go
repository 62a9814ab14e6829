package node

import (
	"sync/atomic"

	"pearknot/balancer"
	"pearknot/internal/upstream"
)

// AnswerStatus is the kind of a request's final answer.
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
	// RetryLater means that the outcome is not known here. Another node has the request, or no majority of the
	// request log answers. A client that asks again with the same key gets the outcome.
	RetryLater
	// KeyTaken means that the request log has another request or an answer under the request's key. The
	// server looks that up; no client gets this status.
	KeyTaken
)

func (s AnswerStatus) String() string {
	return [...]string{"served", "rejected", "failed", "retry later", "key taken"}[s]
}

// Answer is a request's final answer.
type Answer struct {
	Status     AnswerStatus
	Reply      *upstream.Reply // the backend's response, where Status is Served; whoever receives it releases it
	RetryAfter float64         // ms after which the client should come back, where Status is Rejected or RetryLater; 0 is unknown
}

// Request is a client's request together with the node's state of it.
type Request struct {
	balancer.Request
	Message *upstream.Message
	Logged  *LoggedRequest // nil where the request is not in the request log

	answer     chan Answer
	isUnread   atomic.Bool // nobody waits for the answer
	clientGone atomic.Bool // the client has disconnected: no further attempt may begin

	// The node's actor alone uses the following fields.
	answered         bool             // the answer is decided, or the client is gone
	calls            []*upstream.Call // one for each attempt, by the attempt's number
	attemptsInFlight int              // attempts that have not ended
}

// NewRequest makes a request that sends message; the caller sets the balancer's fields.
func NewRequest(message *upstream.Message) *Request {
	request := &Request{Message: message, answer: make(chan Answer, 1)}
	request.Streamed = message.IsStreamed()
	return request
}

// Answer delivers the request's one final answer. Nothing comes after Node.Cancel.
func (r *Request) Answer() <-chan Answer { return r.answer }

// A request ends in one of these ways:
//   - Node.finish: the balancer has decided on the answer, or a backend has given it. The answer of a logged request is
//     committed to the request log before it is delivered.
//   - Node.withdraw: the node answers itself, because the request log does not let an attempt start. Nothing is committed.
//   - Node.abandonRequest: the client is gone, and no answer is delivered. A logged request frees its key.
//
// All three call markAnswered, by which no further attempt starts. Request.finish and deliver are their last steps.

// finish gives the final answer unless there is one. Nothing is sent for the request after its answer: an
// attempt whose connection is still being opened is withheld first.
func (r *Request) finish(answer Answer) {
	if !r.answered {
		r.markAnswered()
		r.deliver(answer)
	}
}

// deliver passes the answer to the receiver of Answer, or releases it if there is none any more.
func (r *Request) deliver(answer Answer) {
	r.answer <- answer
	if r.isUnread.Load() {
		r.discardAnswer()
	}
}

// discardAnswer releases the answer, whether it is there already or comes later.
func (r *Request) discardAnswer() {
	r.isUnread.Store(true)
	select {
	case answer := <-r.answer:
		answer.Reply.Release()
	default:
	}
}

// markAnswered records that no further answer will be given, and prevents the start of attempts that have not begun.
func (r *Request) markAnswered() {
	r.answered = true
	for _, call := range r.calls {
		call.PreventStart()
	}
}
