package requestlog

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"pearknot/balancer"
	"pearknot/internal/snapshot"
)

// What an heir does with an op, by its effect and by what is known of its pushes.
func TestSucceed(t *testing.T) {
	out := Attempt{Backend: "b", StartedAt: 1000}
	never := Attempt{Backend: "b", StartedAt: 1000, Ended: true, Outcome: balancer.OutcomeConnectFailed}
	timedOut := Attempt{Backend: "b", StartedAt: 1000, Ended: true, Outcome: balancer.OutcomeTimedOut}
	for name, c := range map[string]struct {
		effect balancer.Idempotency
		pushes []Attempt
		now    float64
		duty   TakeoverAction
	}{
		"redeliverable, out":                    {balancer.Idempotent, []Attempt{out}, 1500, ContinueRequest},
		"at-most-once, out":                     {balancer.AtMostOnce, []Attempt{out}, 1500, FailRequest},
		"at-most-once, timed out":               {balancer.AtMostOnce, []Attempt{timedOut}, 1500, FailRequest},
		"at-most-once, never ran":               {balancer.AtMostOnce, []Attempt{never}, 1500, ContinueRequest},
		"at-most-once, never ran and then out":  {balancer.AtMostOnce, []Attempt{never, out}, 1500, FailRequest},
		"deduplicated, within its time":         {balancer.IdempotentWithKey, []Attempt{out}, 1700, ContinueRequest},
		"deduplicated, its mark forgotten":      {balancer.IdempotentWithKey, []Attempt{out}, 1801, FailRequest},
		"deduplicated, never ran, long ago":     {balancer.IdempotentWithKey, []Attempt{never}, 1900, ContinueRequest},
		"redeliverable, its time over":          {balancer.Idempotent, []Attempt{out}, 4990, RejectRequest},
		"at-most-once, its time over":           {balancer.AtMostOnce, []Attempt{out}, 6000, FailRequest},
		"at-most-once, never ran, time is over": {balancer.AtMostOnce, []Attempt{never}, 6000, RejectRequest},
	} {
		e := Entry{Request: Request{Idempotency: c.effect, DedupWindow: 800, Deadline: 5000}, Attempts: c.pushes}
		duty, why := e.TakeoverAction(c.now)
		require.Equal(t, c.duty, duty, "%s: %s", name, why)
	}
}

// Any records, some twice and out of order, from several speakers: an op has one owner and one outcome that stays, a record that comes
// twice changes nothing, the bytes are counted, and an image makes the same ledger.
func TestLedger(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := newLedger(20e3, 500, NoInjectedBug)
		outcomes := map[string]AnswerStatus{}
		now := 0.0
		for range rapid.IntRange(1, 60).Draw(t, "records") {
			now += 100
			r := &Record{Kind: rapid.SampledFrom([]RecordKind{AttemptStarted, AttemptStarted, AttemptEnded, RequestAnswered, OwnerChanged, AnswersExpired}).Draw(t, "kind"), At: now,
				Key: rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "key"), Owner: Incarnation(rapid.IntRange(1, 3).Draw(t, "owner")),
				NewOwner: Incarnation(rapid.IntRange(1, 3).Draw(t, "to")), Request: Request{Fingerprint: uint64(rapid.IntRange(1, 2).Draw(t, "print")), EncodedMessage: make([]byte, rapid.IntRange(0, 9000).Draw(t, "size"))},
				Attempt: Attempt{Number: rapid.IntRange(0, 2).Draw(t, "push")},
				Answer:  FinalAnswer{Status: rapid.SampledFrom([]AnswerStatus{Served, Rejected, Failed}).Draw(t, "final")}}
			before := l.entries[r.Key]
			var owner Incarnation
			var had AnswerStatus
			if before != nil {
				owner, had = before.Owner, before.Answer.Status
			}
			code, _ := l.apply(r)
			e := l.entries[r.Key]
			if before != nil && e == before && r.Kind != OwnerChanged {
				require.Equal(t, owner, e.Owner, "only Assign changes whose it is")
			}
			if had != Unanswered && e == before && e != nil {
				require.Equal(t, had, e.Answer.Status, "an outcome stays")
			}
			if code == Committed && before != nil && r.Kind != AnswersExpired {
				require.Equal(t, owner, r.Owner, "only its owner is heard")
			}
			if e != nil && e.Answer.Status != Unanswered {
				outcomes[r.Key] = e.Answer.Status
			}
			if r.Kind == AttemptStarted || r.Kind == AttemptEnded {
				image := snapshot.Append(nil, l.image())
				_, _ = l.apply(r)
				require.Equal(t, image, snapshot.Append(nil, l.image()), "twice is once")
			}
			sum := 0
			for _, e := range l.entries {
				sum += e.size()
			}
			require.Equal(t, sum, l.bytes)
			m, again := &image{}, newLedger(20e3, 500, NoInjectedBug)
			require.NoError(t, snapshot.Read(snapshot.Append(nil, l.image()), m))
			again.restore(m)
			require.Equal(t, l.bytes, again.bytes)
			require.Equal(t, len(l.open), len(again.open))
		}
	})
}

// A ledger takes no more than it may, and says so; what is over and kept for long enough makes room.
func TestLedgerIsBounded(t *testing.T) {
	l := newLedger(10e3, 500, NoInjectedBug)
	put := func(key string) Result {
		code, _ := l.apply(&Record{Kind: AttemptStarted, Key: key, Owner: 1, Request: Request{EncodedMessage: make([]byte, 4000)}})
		return code
	}
	require.Equal(t, []Result{Committed, Committed, LogFull}, []Result{put("a"), put("b"), put("c")})
	_, _ = l.apply(&Record{Kind: RequestAnswered, Key: "a", Owner: 1, At: 100, Answer: FinalAnswer{Status: Served, Body: make([]byte, 4000)}})
	require.Equal(t, LogFull, put("c"))
	_, _ = l.apply(&Record{Kind: AnswersExpired, Key: "a", At: 601}) // one that names a key too once took its bytes off twice
	require.Equal(t, Committed, put("c"))
	require.Equal(t, l.entries["b"].size()+l.entries["c"].size(), l.bytes)
}
