package requestlog

import (
	"bytes"
	"slices"
	"strings"

	"pearknot/balancer"
)

// Records are stored in logs and sent in frames, encoded by the order of their fields (internal/snapshot): fields may only be
// added at the end, and the values of the enumerations must not change.

// RecordKind is the kind of event that a record describes.
type RecordKind uint8

// The kinds of records.
const (
	AttemptStarted  RecordKind = iota + 1 // a request with its first attempt, or a further attempt, is about to start
	AttemptEnded                          // an attempt has ended
	RequestAnswered                       // the request has its final answer
	OwnerChanged                          // another incarnation owns the request from here on
	AnswersExpired                        // answers older than their TTL are removed
)

// FinalStatus is the way in which a request was answered.
type FinalStatus uint8

// The states of an answer.
const (
	Unanswered FinalStatus = iota // still in flight
	Served
	Rejected // the request may be repeated: the entry is removed and the key is unused again
	Failed
)

// Request holds the properties of a request that a successor needs to continue it.
type Request struct {
	Fingerprint    uint64 // hash of method, path and body
	Class          string
	Tenant         string
	Idempotency    balancer.Idempotency
	DedupScope     balancer.DedupScope
	DedupWindow    float64 // ms
	CostHint       float64 // ms
	HasCostHint    bool
	IsClientRetry  bool
	Key            uint64 // for affinity and ordering, as in balancer.Request; not the idempotency key, which is Record.Key
	Deadline       float64
	EncodedMessage []byte
}

// Attempt is the log's state of an attempt that has started.
type Attempt struct {
	Number     int // from 0
	Backend    string
	Zone, Cell int
	StartedAt  float64
	Ended      bool
	Outcome    balancer.Outcome // valid if Ended
}

// mayHaveRun reports whether the attempt may have run on its backend: the log does not record that it never did.
func (a *Attempt) mayHaveRun() bool { return !a.Ended || !a.Outcome.NeverRan() }

// FinalAnswer is the final answer of a request.
type FinalAnswer struct {
	Status     FinalStatus
	HTTPStatus int
	Header     []byte
	Body       []byte
	Truncated  bool // the answer was too long to be stored: only its status is known
}

// Equal reports whether two answers are the same.
func (a *FinalAnswer) Equal(other *FinalAnswer) bool {
	return a.Status == other.Status && a.HTTPStatus == other.HTTPStatus && a.Truncated == other.Truncated &&
		bytes.Equal(a.Header, other.Header) && bytes.Equal(a.Body, other.Body)
}

// Record is one entry of a log.
type Record struct {
	Kind       RecordKind
	Key        string      // the tenant and the idempotency key that its client chose, see server.RequestLogging
	Owner      Incarnation // the writer; in an OwnerChanged record, the former owner
	LeaderTime float64     // ms of the leader's clock at the proposal
	Request    Request     // set for AttemptStarted
	Attempt    Attempt     // set for AttemptStarted and AttemptEnded
	Answer     FinalAnswer // set for RequestAnswered
	NewOwner   Incarnation // set for OwnerChanged
	Caller     Incarnation // gets the reply once the record is applied; 0 if no reply is needed
	CallSeq    uint64      // the caller's sequence number of the call
}

// Result is the result of appending a record or of looking up a key.
type Result uint8

// The results of a call.
const (
	Committed     Result = iota + 1 // the record is on a majority of the log's replicas and has taken effect
	KeyUnused                       // no request has the key
	KeyInFlight                     // another incarnation owns a request with the key
	KeyAnswered                     // the request with the key has its final answer
	KeyMismatch                     // the key belongs to a request with another fingerprint
	NotOwner                        // the caller does not own the request, or no longer owns it
	LogFull                         // the log has reached its maximum size
	NotLeader                       // the called member does not lead the log
	NoQuorum                        // no majority answered before the deadline
	InvalidRecord                   // the caller may not append a record of this kind or owner
)

// String returns the name of the result.
func (r Result) String() string {
	return [...]string{"", "committed", "key unused", "key in flight", "key answered", "key mismatch", "not owner",
		"log full", "not leader", "no quorum", "invalid record"}[r]
}

// Entry is the log's state of one request.
type Entry struct {
	Key        string
	Owner      Incarnation
	Request    Request
	Attempts   []Attempt
	Answer     FinalAnswer
	AnsweredAt float64 // ms of the leader's clock
	Takeovers  int     // how often another incarnation took the request over
}

// size estimates the memory size of the entry, in bytes.
func (e *Entry) size() int {
	const (
		entryBytes   = 200 // of the structure, its place in two maps and short strings
		attemptBytes = 80
	)
	return entryBytes + len(e.Key) + len(e.Request.EncodedMessage) + attemptBytes*len(e.Attempts) + len(e.Answer.Body) + len(e.Answer.Header)
}

// UncertainAttempt returns the first attempt that may have run on its backend, or nil if none has.
func (e *Entry) UncertainAttempt() *Attempt {
	for i := range e.Attempts {
		if attempt := &e.Attempts[i]; attempt.mayHaveRun() {
			return attempt
		}
	}
	return nil
}

// CanReject reports whether the request may be rejected, which tells the client that it may safely repeat it: no attempt has
// run, or the request is idempotent.
//
// A rejection frees the key, and the client may repeat the request long after the backends have discarded the idempotency key
// of the first attempt. A request with an idempotency key that may have run is therefore not rejected. That is stricter than
// the rule for requests that are not logged, balancer's rejectOrFail, which rejects such a request where all backends share
// their keys. The node's canRejectLogged is this rule on the owner's side; change the two together.
func (e *Entry) CanReject() bool {
	return e.UncertainAttempt() == nil || e.Request.Idempotency == balancer.Idempotent
}

// sortedEntries returns the entries ordered by key, which is the same order on all members.
func sortedEntries(entries map[string]*Entry) []*Entry {
	sorted := make([]*Entry, 0, len(entries))
	for _, entry := range entries {
		sorted = append(sorted, entry)
	}
	slices.SortFunc(sorted, func(a, b *Entry) int { return strings.Compare(a.Key, b.Key) })
	return sorted
}
