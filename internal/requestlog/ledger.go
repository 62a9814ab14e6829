package requestlog

import "pearknot/balancer"

// Ledger is the replicated state machine of a log: the state that results from applying its records. The same records in
// the same order must give the same ledger on every replica, so nothing in it may depend on a clock, a random number or the
// iteration order of a map.
type Ledger struct {
	entries     map[string]*Entry
	unanswered  map[string]*Entry // the entries without a final answer
	bytes       int               // the sum of the entries' sizes
	maxBytes    int
	answerTTL   float64 // ms
	injectedBug InjectedBug
}

// InjectedBug names a part of the protocol that is disabled on purpose, so that tests can verify that their checks detect it.
// internal/controlplane has a type of this name for its own protocol.
type InjectedBug uint8

// The parts that can be disabled.
const (
	NoInjectedBug        InjectedBug = iota
	BugNoFencing                     // a record is applied whether or not its writer owns the request
	BugNoKeyCheck                    // a second request may use a key that is in flight
	BugForgottenAttempts             // a successor does not know the attempts that have started
	BugNoTakeover                    // no member takes requests over
)

func newLedger(maxBytes int, answerTTL float64, injectedBug InjectedBug) *Ledger {
	return &Ledger{
		entries:     map[string]*Entry{},
		unanswered:  map[string]*Entry{},
		maxBytes:    maxBytes,
		answerTTL:   answerTTL,
		injectedBug: injectedBug,
	}
}

// lookup returns the state of a key for a request with the given fingerprint.
func (l *Ledger) lookup(key string, fingerprint uint64) (Result, FinalAnswer) {
	switch entry := l.entries[key]; {
	case entry == nil:
		return KeyUnused, FinalAnswer{}
	case entry.Request.Fingerprint != fingerprint:
		return KeyMismatch, FinalAnswer{}
	case entry.Answer.Status != Unanswered:
		return KeyAnswered, entry.Answer
	}
	return KeyInFlight, FinalAnswer{}
}

// apply applies a committed record. A caller that got no reply sends its record again, so a record may be committed twice;
// the second one has no effect.
func (l *Ledger) apply(record *Record) (Result, FinalAnswer) {
	if record.Kind == AnswersExpired { // does not belong to a single key
		l.removeExpired(record.LeaderTime)
		return Committed, FinalAnswer{}
	}
	entry := l.entries[record.Key]
	if entry != nil {
		l.bytes -= entry.size()
	}
	defer l.reindex(record.Key)

	// Fencing: an owner that was considered lost may still run and write records. Its successor owns the request since
	// OwnerChanged was applied, so every replica refuses the former owner's records here.
	isFenced := entry != nil && entry.Owner != record.Owner && l.injectedBug != BugNoFencing
	switch record.Kind {
	case AttemptStarted:
		return l.applyAttemptStarted(entry, isFenced, record)
	case AttemptEnded:
		return l.applyAttemptEnded(entry, isFenced, record), FinalAnswer{}
	case RequestAnswered:
		return l.applyRequestAnswered(entry, isFenced, record)
	case OwnerChanged:
		return l.applyOwnerChanged(entry, isFenced, record), FinalAnswer{}
	}
	return Committed, FinalAnswer{}
}

// reindex updates the size of the ledger and the unanswered entries after the entry of a key has changed.
func (l *Ledger) reindex(key string) {
	delete(l.unanswered, key)
	entry := l.entries[key]
	if entry == nil {
		return
	}
	l.bytes += entry.size()
	if entry.Answer.Status == Unanswered {
		l.unanswered[key] = entry
	}
}

func (l *Ledger) applyAttemptStarted(entry *Entry, isFenced bool, record *Record) (Result, FinalAnswer) {
	isFirst := record.Attempt.Number == 0
	if entry != nil && l.injectedBug == BugNoKeyCheck && isFirst {
		entry.Owner, entry.Attempts, entry.Answer = record.Owner, nil, FinalAnswer{}
		isFenced = false
	}
	switch {
	case entry == nil && !isFirst:
		return NotOwner, FinalAnswer{}
	case entry == nil:
		entry = &Entry{Key: record.Key, Owner: record.Owner, Request: record.Request, Attempts: []Attempt{record.Attempt}}
		if l.bytes+entry.size() > l.maxBytes {
			return LogFull, FinalAnswer{}
		}
		l.entries[record.Key] = entry
	case isFirst && entry.Request.Fingerprint != record.Request.Fingerprint:
		return KeyMismatch, FinalAnswer{}
	case entry.Answer.Status != Unanswered && isFirst:
		return KeyAnswered, entry.Answer
	case entry.Answer.Status != Unanswered:
		return NotOwner, FinalAnswer{}
	case isFenced && isFirst:
		return KeyInFlight, FinalAnswer{}
	case isFenced, record.Attempt.Number > len(entry.Attempts):
		return NotOwner, FinalAnswer{}
	case record.Attempt.Number == len(entry.Attempts):
		entry.Attempts = append(entry.Attempts, record.Attempt)
	}
	return Committed, FinalAnswer{}
}

func (l *Ledger) applyAttemptEnded(entry *Entry, isFenced bool, record *Record) Result {
	if entry == nil || isFenced || entry.Answer.Status != Unanswered || record.Attempt.Number >= len(entry.Attempts) {
		return NotOwner
	}
	attempt := &entry.Attempts[record.Attempt.Number]
	attempt.Ended, attempt.Outcome = true, record.Attempt.Outcome
	return Committed
}

func (l *Ledger) applyRequestAnswered(entry *Entry, isFenced bool, record *Record) (Result, FinalAnswer) {
	isRejection := record.Answer.Status == Rejected
	switch {
	case entry == nil && isRejection: // the request never started, or the rejection is a duplicate
	case entry == nil || isFenced:
		return NotOwner, FinalAnswer{}
	case entry.Answer.Status != Unanswered && l.injectedBug != BugNoFencing:
		return KeyAnswered, entry.Answer // an owner may answer twice; the first answer remains valid
	case isRejection: // the client may repeat the request, so the key becomes unused
		delete(l.entries, record.Key)
	default:
		entry.Answer, entry.AnsweredAt = record.Answer, record.LeaderTime
		entry.Request.EncodedMessage, entry.Attempts = nil, nil // no longer needed
	}
	return Committed, FinalAnswer{}
}

func (l *Ledger) applyOwnerChanged(entry *Entry, isFenced bool, record *Record) Result {
	if entry == nil || isFenced || entry.Answer.Status != Unanswered {
		return NotOwner
	}
	entry.Owner = record.NewOwner
	entry.Takeovers++
	if l.injectedBug == BugForgottenAttempts {
		for i := range entry.Attempts {
			entry.Attempts[i].Ended, entry.Attempts[i].Outcome = true, balancer.OutcomeNotSent
		}
	}
	return Committed
}

// removeExpired removes the answers whose TTL has passed at leaderTime, in ms of the leader's clock.
func (l *Ledger) removeExpired(leaderTime float64) {
	for key, entry := range l.entries {
		if entry.Answer.Status != Unanswered && entry.AnsweredAt+l.answerTTL < leaderTime {
			l.bytes -= entry.size()
			delete(l.entries, key)
		}
	}
}

// ledgerSnapshot is a complete ledger as stored in a raft snapshot, encoded by the order of its fields.
type ledgerSnapshot struct{ Entries []Entry }

func (l *Ledger) snapshot() *ledgerSnapshot {
	state := &ledgerSnapshot{}
	for _, entry := range sortedEntries(l.entries) {
		state.Entries = append(state.Entries, *entry)
	}
	return state
}

func (l *Ledger) restore(state *ledgerSnapshot) {
	l.entries = make(map[string]*Entry, len(state.Entries))
	l.unanswered = map[string]*Entry{}
	l.bytes = 0
	for i := range state.Entries {
		entry := &state.Entries[i]
		l.entries[entry.Key] = entry
		l.reindex(entry.Key)
	}
}
