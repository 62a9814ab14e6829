package requestlog

import (
	"slices"

	"pearknot/balancer"
)

// Pid names one life of a process: a process that was started again is another.
type Incarnation uint64

// A life is a time in ms, of 44 bits; the last 12 bits name the seats that it takes one after the other in a log.
const seatBits, lifeBits = 12, 44

// NewPid names a life of a member.
func NewIncarnation(member int, life uint64) Incarnation {
	return Incarnation(uint64(member)<<(lifeBits+seatBits) | life<<seatBits&(1<<(lifeBits+seatBits)-1))
}

// Member tells whose life it is, by the member's place in the list.
func (p Incarnation) Member() int { return int(p >> (lifeBits + seatBits)) }

func (p Incarnation) life() uint64 { return uint64(p) << 8 >> (8 + seatBits) }

// of is the life that has a seat.
func of(seat uint64) Incarnation { return Incarnation(seat &^ (1<<seatBits - 1)) }

// Kind is what a record says.
type RecordKind uint8

const (
	AttemptStarted  RecordKind = iota + 1 // an op, with its first push, or a further push, is about to begin
	AttemptEnded                          // a push has ended
	RequestAnswered                       // the op's final answer
	OwnerChanged                          // another process has the op from now on
	AnswersExpired                        // outcomes that were kept for long enough
)

// Final is what became of an op; there is none while it is in hand.
type AnswerStatus uint8

const (
	Unanswered AnswerStatus = iota
	Served
	Rejected
	Failed
)

// Op is what an heir needs to go on with an op.
type Request struct {
	Fingerprint    uint64 // of method, path and body
	Class          string
	Tenant         string
	Idempotency    balancer.Idempotency
	DedupScope     balancer.DedupScope
	DedupWindow    float64 // ms
	CostHint       float64 // ms
	HasCostHint    bool
	IsClientRetry  bool
	Key            uint64 // balance.Op's Key
	Deadline       float64
	EncodedMessage []byte
}

// Push is one that has begun, as far as anybody knows.
type Attempt struct {
	Number     int
	Backend    string
	Zone, Cell int
	StartedAt  float64
	Ended      bool
	Outcome    balancer.Outcome // where it is over
}

// Outcome is an op's final answer. One too long to be kept is known by its status alone.
type FinalAnswer struct {
	Status     AnswerStatus
	HTTPStatus int
	Header     []byte
	Body       []byte
	Truncated  bool
}

// Record is one entry of a log.
type Record struct {
	Kind     RecordKind
	Key      string
	Owner    Incarnation // who says it; with Assign, who had the op
	At       float64     // the leader's clock
	Request  Request
	Attempt  Attempt
	Answer   FinalAnswer
	NewOwner Incarnation // with Assign
	Caller   Incarnation // who is to be told what became of it
	Seq      uint64      // by which the asker knows it
}

// Code is what became of a record, or of a look.
type Result uint8

const (
	Committed     Result = iota + 1
	KeyUnused            // nobody has such a key
	KeyInFlight          // another process has the op
	KeyAnswered          // it has its outcome
	KeyMismatch          // another op has the key
	NotOwner             // the op is not the speaker's, or not any more
	LogFull              // the log holds as much as it may
	NotLeader            // the one asked does not lead the log
	NoQuorum             // no majority has answered in time
	InvalidRecord        // odd
)

func (c Result) String() string {
	return [...]string{"", "done", "free", "in hand", "over", "unlike", "lost", "full", "not here", "alone", "refused"}[c]
}

// Entry is what a log knows of one op.
type Entry struct {
	Key        string
	Owner      Incarnation
	Request    Request
	Attempts   []Attempt
	Answer     FinalAnswer
	AnsweredAt float64
	Takeovers  int // how often it was taken over
}

func (e *Entry) size() int {
	return 200 + len(e.Key) + len(e.Request.EncodedMessage) + 80*len(e.Attempts) + len(e.Answer.Body) + len(e.Answer.Header)
}

// MayHaveRun gives the first push that is not known never to have run.
func (e *Entry) UncertainAttempt() *Attempt {
	for i := range e.Attempts {
		if p := &e.Attempts[i]; !p.Ended || !p.Outcome.NeverRan() {
			return p
		}
	}
	return nil
}

// Nackable tells whether an answer that says "ask again, nothing harmful ran" would be true. It frees the key, and the client
// may come with it long after the backends have forgotten a mark: so a deduplicated op that may have run is none.
func (e *Entry) CanReject() bool {
	return e.UncertainAttempt() == nil || e.Request.Idempotency == balancer.Idempotent
}

// Ledger is what the records of a log come to. The same records in the same order make the same ledger everywhere.
type Ledger struct {
	entries map[string]*Entry
	open    map[string]*Entry // those without an outcome
	bytes   int
	most    int
	keep    float64
	flaw    InjectedBug
}

// Flaw leaves out a part on purpose: tests show by it that their checks notice.
type InjectedBug uint8

const (
	NoInjectedBug        InjectedBug = iota
	BugNoFencing                     // whoever speaks is heard, whose op it is or not
	BugNoKeyCheck                    // a key in hand is given out again
	BugForgottenAttempts             // an heir is not told of pushes that have begun
	BugNoTakeover                    // nobody takes over
)

func newLedger(most int, keep float64, flaw InjectedBug) *Ledger {
	return &Ledger{entries: map[string]*Entry{}, open: map[string]*Entry{}, most: most, keep: keep, flaw: flaw}
}

// look tells of a key.
func (l *Ledger) look(key string, print uint64) (Result, FinalAnswer) {
	switch e := l.entries[key]; {
	case e == nil:
		return KeyUnused, FinalAnswer{}
	case e.Request.Fingerprint != print:
		return KeyMismatch, FinalAnswer{}
	case e.Answer.Status != Unanswered:
		return KeyAnswered, e.Answer
	}
	return KeyInFlight, FinalAnswer{}
}

// apply takes a record. A record that comes twice counts once.
func (l *Ledger) apply(r *Record) (Result, FinalAnswer) {
	if r.Kind == AnswersExpired { // of no key
		l.forget(r.At)
		return Committed, FinalAnswer{}
	}
	e := l.entries[r.Key]
	if e != nil {
		l.bytes -= e.size()
	}
	defer func() {
		delete(l.open, r.Key)
		if is := l.entries[r.Key]; is != nil {
			l.bytes += is.size()
			if is.Answer.Status == Unanswered {
				l.open[r.Key] = is
			}
		}
	}()
	foreign := e != nil && e.Owner != r.Owner && l.flaw != BugNoFencing
	switch r.Kind {
	case AttemptStarted:
		return l.begin(e, foreign, r)
	case AttemptEnded:
		if e == nil || foreign || e.Answer.Status != Unanswered || r.Attempt.Number >= len(e.Attempts) {
			return NotOwner, FinalAnswer{}
		}
		p := &e.Attempts[r.Attempt.Number]
		p.Ended, p.Outcome = true, r.Attempt.Outcome
	case RequestAnswered:
		switch {
		case e == nil && r.Answer.Status == Rejected: // it never began, or has gone as it should
		case e == nil || foreign:
			return NotOwner, FinalAnswer{}
		case e.Answer.Status != Unanswered && l.flaw != BugNoFencing:
			return KeyAnswered, e.Answer // of its owner's own doing, who may have ended it twice: the first one holds
		case r.Answer.Status == Rejected: // no outcome: the client is asked to come again, and the key is free
			delete(l.entries, r.Key)
		default:
			e.Answer, e.AnsweredAt, e.Request.EncodedMessage, e.Attempts = r.Answer, r.At, nil, nil
		}
	case OwnerChanged:
		if e == nil || foreign || e.Answer.Status != Unanswered {
			return NotOwner, FinalAnswer{}
		}
		e.Owner = r.NewOwner
		e.Takeovers++
		if l.flaw == BugForgottenAttempts {
			for i := range e.Attempts {
				e.Attempts[i].Ended, e.Attempts[i].Outcome = true, balancer.OutcomeNotSent
			}
		}
	}
	return Committed, FinalAnswer{}
}

func (l *Ledger) forget(now float64) {
	for key, e := range l.entries {
		if e.Answer.Status != Unanswered && e.AnsweredAt+l.keep < now {
			l.bytes -= e.size()
			delete(l.entries, key)
		}
	}
}

func (l *Ledger) begin(e *Entry, foreign bool, r *Record) (Result, FinalAnswer) {
	if e != nil && l.flaw == BugNoKeyCheck && r.Attempt.Number == 0 {
		e.Owner, e.Attempts, e.Answer = r.Owner, nil, FinalAnswer{}
		foreign = false
	}
	switch {
	case e == nil && r.Attempt.Number > 0:
		return NotOwner, FinalAnswer{}
	case e == nil:
		e = &Entry{Key: r.Key, Owner: r.Owner, Request: r.Request, Attempts: []Attempt{r.Attempt}}
		if l.bytes+e.size() > l.most {
			return LogFull, FinalAnswer{}
		}
		l.entries[r.Key] = e
	case r.Attempt.Number == 0 && e.Request.Fingerprint != r.Request.Fingerprint:
		return KeyMismatch, FinalAnswer{}
	case e.Answer.Status != Unanswered && r.Attempt.Number == 0:
		return KeyAnswered, e.Answer
	case e.Answer.Status != Unanswered:
		return NotOwner, FinalAnswer{}
	case foreign && r.Attempt.Number == 0:
		return KeyInFlight, FinalAnswer{}
	case foreign, r.Attempt.Number > len(e.Attempts):
		return NotOwner, FinalAnswer{}
	case r.Attempt.Number == len(e.Attempts):
		e.Attempts = append(e.Attempts, r.Attempt)
	}
	return Committed, FinalAnswer{}
}

// image is a ledger as it is passed on whole.
type image struct{ Entries []Entry }

func (l *Ledger) image() *image {
	m := &image{}
	for _, e := range sorted(l.entries) {
		m.Entries = append(m.Entries, *e)
	}
	return m
}

func (l *Ledger) restore(m *image) {
	l.entries, l.open, l.bytes = make(map[string]*Entry, len(m.Entries)), map[string]*Entry{}, 0
	for i := range m.Entries {
		e := &m.Entries[i]
		l.entries[e.Key] = e
		if e.Answer.Status == Unanswered {
			l.open[e.Key] = e
		}
		l.bytes += e.size()
	}
}

// sorted gives the entries in an order that is the same everywhere.
func sorted(entries map[string]*Entry) []*Entry {
	all := make([]*Entry, 0, len(entries))
	for _, e := range entries {
		all = append(all, e)
	}
	slices.SortFunc(all, func(a, b *Entry) int {
		if a.Key < b.Key {
			return -1
		}
		return 1
	})
	return all
}

// Duty is what an heir does with an op that it has taken over.
type TakeoverAction uint8

const (
	ContinueRequest TakeoverAction = iota // with the module, as an op with what time and pushes it has
	RejectRequest                         // nothing harmful ran
	FailRequest                           // it may have run, and nobody can tell
)

func (d TakeoverAction) String() string { return [...]string{"goes on", "nacks", "dead-letters"}[d] }

// leastLeft is the time, in ms, with which an op is still worth a push of its heir.
const leastLeft = 20.0

// Succeed tells what an heir does with an entry, and why.
func (e *Entry) TakeoverAction(now float64) (TakeoverAction, string) {
	end := func(why string) (TakeoverAction, string) {
		if e.CanReject() {
			return RejectRequest, why
		}
		return FailRequest, why
	}
	first := e.UncertainAttempt()
	switch {
	case e.Request.Deadline-now < leastLeft:
		return end("its time is over")
	case first != nil && e.Request.Idempotency == balancer.AtMostOnce:
		return FailRequest, "it may have run, and must not run twice"
	case first != nil && e.Request.Idempotency == balancer.IdempotentWithKey && now-first.StartedAt >= e.Request.DedupWindow:
		return end("it may have run, and its mark may be forgotten")
	}
	return ContinueRequest, "taken over"
}
