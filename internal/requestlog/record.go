package requestlog

import (
	"slices"

	"pearknot/balancer"
)

// Pid names one life of a process: a process that was started again is another.
type Pid uint64

// A life is a time in ms, of 44 bits; the last 12 bits name the seats that it takes one after the other in a log.
const seatBits, lifeBits = 12, 44

// NewPid names a life of a member.
func NewPid(member int, life uint64) Pid {
	return Pid(uint64(member)<<(lifeBits+seatBits) | life<<seatBits&(1<<(lifeBits+seatBits)-1))
}

// Member tells whose life it is, by the member's place in the list.
func (p Pid) Member() int { return int(p >> (lifeBits + seatBits)) }

func (p Pid) life() uint64 { return uint64(p) << 8 >> (8 + seatBits) }

// of is the life that has a seat.
func of(seat uint64) Pid { return Pid(seat &^ (1<<seatBits - 1)) }

// Kind is what a record says.
type Kind uint8

const (
	Begin  Kind = iota + 1 // an op, with its first push, or a further push, is about to begin
	End                    // a push has ended
	Finish                 // the op's final answer
	Assign                 // another process has the op from now on
	Forget                 // outcomes that were kept for long enough
)

// Final is what became of an op; there is none while it is in hand.
type Final uint8

const (
	Open Final = iota
	Acked
	Nacked
	DeadLettered
)

// Op is what an heir needs to go on with an op.
type Op struct {
	Print      uint64 // of method, path and body
	Category   string
	Tenant     string
	Effect     balancer.Effect
	Group      balancer.Group
	Remembered float64 // ms
	Hint       float64 // ms
	HasHint    bool
	Repeat     bool
	About      uint64 // balance.Op's Key
	GiveUp     float64
	Message    []byte
}

// Push is one that has begun, as far as anybody knows.
type Push struct {
	Number     int
	Backend    string
	Zone, Cell int
	At         float64
	Over       bool
	Ending     balancer.Ending // where it is over
}

// Outcome is an op's final answer. One too long to be kept is known by its status alone.
type Outcome struct {
	Final   Final
	Status  int
	Header  []byte
	Body    []byte
	NotKept bool
}

// Record is one entry of a log.
type Record struct {
	Kind    Kind
	Key     string
	Owner   Pid     // who says it; with Assign, who had the op
	At      float64 // the leader's clock
	Op      Op
	Push    Push
	Outcome Outcome
	To      Pid    // with Assign
	Asker   Pid    // who is to be told what became of it
	Seq     uint64 // by which the asker knows it
}

// Code is what became of a record, or of a look.
type Code uint8

const (
	Done    Code = iota + 1
	Free         // nobody has such a key
	InHand       // another process has the op
	Over         // it has its outcome
	Unlike       // another op has the key
	Lost         // the op is not the speaker's, or not any more
	Full         // the log holds as much as it may
	NotHere      // the one asked does not lead the log
	Alone        // no majority has answered in time
	Refused      // odd
)

func (c Code) String() string {
	return [...]string{"", "done", "free", "in hand", "over", "unlike", "lost", "full", "not here", "alone", "refused"}[c]
}

// Entry is what a log knows of one op.
type Entry struct {
	Key      string
	Owner    Pid
	Op       Op
	Pushes   []Push
	Outcome  Outcome
	Finished float64
	Heirs    int // how often it was taken over
}

func (e *Entry) size() int {
	return 200 + len(e.Key) + len(e.Op.Message) + 80*len(e.Pushes) + len(e.Outcome.Body) + len(e.Outcome.Header)
}

// MayHaveRun gives the first push that is not known never to have run.
func (e *Entry) MayHaveRun() *Push {
	for i := range e.Pushes {
		if p := &e.Pushes[i]; !p.Over || !p.Ending.NeverRan() {
			return p
		}
	}
	return nil
}

// Nackable tells whether an answer that says "ask again, nothing harmful ran" would be true. It frees the key, and the client
// may come with it long after the backends have forgotten a mark: so a deduplicated op that may have run is none.
func (e *Entry) Nackable() bool {
	return e.MayHaveRun() == nil || e.Op.Effect == balancer.Redeliverable
}

// Ledger is what the records of a log come to. The same records in the same order make the same ledger everywhere.
type Ledger struct {
	entries map[string]*Entry
	open    map[string]*Entry // those without an outcome
	bytes   int
	most    int
	keep    float64
	flaw    Flaw
}

// Flaw leaves out a part on purpose: tests show by it that their checks notice.
type Flaw uint8

const (
	Sound    Flaw = iota
	NoFence       // whoever speaks is heard, whose op it is or not
	NoKeys        // a key in hand is given out again
	NoPushes      // an heir is not told of pushes that have begun
	NoHeirs       // nobody takes over
)

func newLedger(most int, keep float64, flaw Flaw) *Ledger {
	return &Ledger{entries: map[string]*Entry{}, open: map[string]*Entry{}, most: most, keep: keep, flaw: flaw}
}

// look tells of a key.
func (l *Ledger) look(key string, print uint64) (Code, Outcome) {
	switch e := l.entries[key]; {
	case e == nil:
		return Free, Outcome{}
	case e.Op.Print != print:
		return Unlike, Outcome{}
	case e.Outcome.Final != Open:
		return Over, e.Outcome
	}
	return InHand, Outcome{}
}

// apply takes a record. A record that comes twice counts once.
func (l *Ledger) apply(r *Record) (Code, Outcome) {
	if r.Kind == Forget { // of no key
		l.forget(r.At)
		return Done, Outcome{}
	}
	e := l.entries[r.Key]
	if e != nil {
		l.bytes -= e.size()
	}
	defer func() {
		delete(l.open, r.Key)
		if is := l.entries[r.Key]; is != nil {
			l.bytes += is.size()
			if is.Outcome.Final == Open {
				l.open[r.Key] = is
			}
		}
	}()
	foreign := e != nil && e.Owner != r.Owner && l.flaw != NoFence
	switch r.Kind {
	case Begin:
		return l.begin(e, foreign, r)
	case End:
		if e == nil || foreign || e.Outcome.Final != Open || r.Push.Number >= len(e.Pushes) {
			return Lost, Outcome{}
		}
		p := &e.Pushes[r.Push.Number]
		p.Over, p.Ending = true, r.Push.Ending
	case Finish:
		switch {
		case e == nil && r.Outcome.Final == Nacked: // it never began, or has gone as it should
		case e == nil || foreign:
			return Lost, Outcome{}
		case e.Outcome.Final != Open && l.flaw != NoFence:
			return Over, e.Outcome // of its owner's own doing, who may have ended it twice: the first one holds
		case r.Outcome.Final == Nacked: // no outcome: the client is asked to come again, and the key is free
			delete(l.entries, r.Key)
		default:
			e.Outcome, e.Finished, e.Op.Message, e.Pushes = r.Outcome, r.At, nil, nil
		}
	case Assign:
		if e == nil || foreign || e.Outcome.Final != Open {
			return Lost, Outcome{}
		}
		e.Owner = r.To
		e.Heirs++
		if l.flaw == NoPushes {
			for i := range e.Pushes {
				e.Pushes[i].Over, e.Pushes[i].Ending = true, balancer.NotSent
			}
		}
	}
	return Done, Outcome{}
}

func (l *Ledger) forget(now float64) {
	for key, e := range l.entries {
		if e.Outcome.Final != Open && e.Finished+l.keep < now {
			l.bytes -= e.size()
			delete(l.entries, key)
		}
	}
}

func (l *Ledger) begin(e *Entry, foreign bool, r *Record) (Code, Outcome) {
	if e != nil && l.flaw == NoKeys && r.Push.Number == 0 {
		e.Owner, e.Pushes, e.Outcome = r.Owner, nil, Outcome{}
		foreign = false
	}
	switch {
	case e == nil && r.Push.Number > 0:
		return Lost, Outcome{}
	case e == nil:
		e = &Entry{Key: r.Key, Owner: r.Owner, Op: r.Op, Pushes: []Push{r.Push}}
		if l.bytes+e.size() > l.most {
			return Full, Outcome{}
		}
		l.entries[r.Key] = e
	case r.Push.Number == 0 && e.Op.Print != r.Op.Print:
		return Unlike, Outcome{}
	case e.Outcome.Final != Open && r.Push.Number == 0:
		return Over, e.Outcome
	case e.Outcome.Final != Open:
		return Lost, Outcome{}
	case foreign && r.Push.Number == 0:
		return InHand, Outcome{}
	case foreign, r.Push.Number > len(e.Pushes):
		return Lost, Outcome{}
	case r.Push.Number == len(e.Pushes):
		e.Pushes = append(e.Pushes, r.Push)
	}
	return Done, Outcome{}
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
		if e.Outcome.Final == Open {
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
type Duty uint8

const (
	GoOn       Duty = iota // with the module, as an op with what time and pushes it has
	NackIt                 // nothing harmful ran
	DeadLetter             // it may have run, and nobody can tell
)

func (d Duty) String() string { return [...]string{"goes on", "nacks", "dead-letters"}[d] }

// leastLeft is the time, in ms, with which an op is still worth a push of its heir.
const leastLeft = 20.0

// Succeed tells what an heir does with an entry, and why.
func (e *Entry) Succeed(now float64) (Duty, string) {
	end := func(why string) (Duty, string) {
		if e.Nackable() {
			return NackIt, why
		}
		return DeadLetter, why
	}
	first := e.MayHaveRun()
	switch {
	case e.Op.GiveUp-now < leastLeft:
		return end("its time is over")
	case first != nil && e.Op.Effect == balancer.AtMostOnce:
		return DeadLetter, "it may have run, and must not run twice"
	case first != nil && e.Op.Effect == balancer.Deduplicated && now-first.At >= e.Op.Remembered:
		return end("it may have run, and its mark may be forgotten")
	}
	return GoOn, "taken over"
}
