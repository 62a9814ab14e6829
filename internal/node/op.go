package node

import (
	"sync/atomic"

	"pearknot/balancer"
	"pearknot/internal/upstream"
)

// Final is which of the final answers an op gets.
type AnswerStatus uint8

const (
	Served AnswerStatus = iota
	Rejected
	Failed
	AskAgain  // no outcome: another process has the op, or nobody can tell yet; whoever asks with its key will hear
	Elsewhere // never given: the key is another op's
)

func (f AnswerStatus) String() string {
	return [...]string{"acked", "nacked", "dead-lettered", "ask again", "elsewhere"}[f]
}

// Answer is an op's final answer.
type Answer struct {
	Status     AnswerStatus
	Reply      *upstream.Reply // of the backend that acked it
	RetryAfter float64         // ms; 0 is no advice
}

// Op is an op as the front hands it in, with what the node keeps of it.
type Request struct {
	balancer.Request
	Message *upstream.Message
	Logged  *Logged // nil where no other process keeps it

	answer   chan Answer
	unread   atomic.Bool      // nobody waits for the answer
	gone     atomic.Bool      // its client has left: no push of it begins any more
	answered bool             // or its client is gone; the actor's
	calls    []*upstream.Call // by number of the push; the actor's
	out      int              // of them, those that have not ended; the actor's
}

// NewOp makes an op; the front fills in what it knows of it.
func NewRequest(m *upstream.Message) *Request {
	op := &Request{Message: m, answer: make(chan Answer, 1)}
	op.Streamed = m.Streamed()
	return op
}

// Answer brings the op's one final answer, unless its client left first.
func (o *Request) Answer() <-chan Answer { return o.answer }

// finish gives the final answer. Nothing is sent for the op after it: a push whose connection is still coming up
// is withheld first.
func (o *Request) finish(a Answer) {
	if !o.answered {
		o.leave()
		o.deliver(a)
	}
}

// deliver brings the answer to whoever waits, or lets go of it.
func (o *Request) deliver(a Answer) {
	o.answer <- a
	if o.unread.Load() {
		o.discard()
	}
}

// discard has the answer, whether it is there or comes later, let go of.
func (o *Request) discard() {
	o.unread.Store(true)
	select {
	case a := <-o.answer:
		a.Reply.Release()
	default:
	}
}

// leave ends what is owed to the client, with an answer or because it is gone.
func (o *Request) leave() {
	o.answered = true
	for _, c := range o.calls {
		c.PreventStart()
	}
}
