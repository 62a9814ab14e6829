package requestlog

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"pearknot/internal/snapshot"
)

// Records of several incarnations are applied in random order, some of them twice, as happens when members are considered
// lost while they still run. In all cases a request has one owner, which only OwnerChanged changes; only the owner's records
// are applied; a final answer remains; a duplicate record changes nothing; the ledger's size is the sum of its entries'
// sizes; and a snapshot restores the same ledger.
func TestLedger(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ledger := newLedger(20e3, 500, NoInjectedBug)
		now := 0.0
		for range rapid.IntRange(1, 60).Draw(t, "records") {
			now += 100
			record := drawRecord(t, now)
			before := ledger.entries[record.Key]
			var ownerBefore Incarnation
			var statusBefore FinalStatus
			if before != nil {
				ownerBefore, statusBefore = before.Owner, before.Answer.Status
			}
			result, _ := ledger.apply(record)
			entry := ledger.entries[record.Key]
			if before != nil && entry == before && record.Kind != OwnerChanged {
				require.Equal(t, ownerBefore, entry.Owner, "only OwnerChanged changes the owner")
			}
			if statusBefore != Unanswered && entry == before && entry != nil {
				require.Equal(t, statusBefore, entry.Answer.Status, "a final answer remains")
			}
			if result == Committed && before != nil && record.Kind != AnswersExpired {
				require.Equal(t, ownerBefore, record.Owner, "only the owner's records are applied")
			}
			if record.Kind == AttemptStarted || record.Kind == AttemptEnded {
				once := snapshot.AppendStruct(nil, ledger.snapshot())
				_, _ = ledger.apply(record)
				require.Equal(t, once, snapshot.AppendStruct(nil, ledger.snapshot()), "a duplicate record changes nothing")
			}
			requireConsistent(t, ledger)
		}
	})
}

// drawRecord draws a record from a small set of keys and owners, so that they collide.
func drawRecord(t *rapid.T, now float64) *Record {
	kinds := []RecordKind{AttemptStarted, AttemptStarted, AttemptEnded, RequestAnswered, OwnerChanged, AnswersExpired}
	return &Record{
		Kind:       rapid.SampledFrom(kinds).Draw(t, "kind"),
		LeaderTime: now,
		Key:        rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "key"),
		Owner:      Incarnation(rapid.IntRange(1, 3).Draw(t, "owner")),
		NewOwner:   Incarnation(rapid.IntRange(1, 3).Draw(t, "new owner")),
		Request: Request{
			Fingerprint:    uint64(rapid.IntRange(1, 2).Draw(t, "fingerprint")),
			EncodedMessage: make([]byte, rapid.IntRange(0, 9000).Draw(t, "size")),
		},
		Attempt: Attempt{Number: rapid.IntRange(0, 2).Draw(t, "attempt")},
		Answer:  FinalAnswer{Status: rapid.SampledFrom([]FinalStatus{Served, Rejected, Failed}).Draw(t, "status")},
	}
}

// requireConsistent requires that the ledger's size is correct and that its snapshot restores it.
func requireConsistent(t *rapid.T, ledger *Ledger) {
	sum := 0
	for _, entry := range ledger.entries {
		sum += entry.size()
	}
	require.Equal(t, sum, ledger.bytes)
	state, restored := &ledgerSnapshot{}, newLedger(20e3, 500, NoInjectedBug)
	require.NoError(t, snapshot.ReadStruct(snapshot.AppendStruct(nil, ledger.snapshot()), state))
	restored.restore(state)
	require.Equal(t, ledger.bytes, restored.bytes)
	require.Equal(t, len(ledger.unanswered), len(restored.unanswered))
}

// A full ledger refuses requests with LogFull until an answer's TTL has passed. The AnswersExpired record has a key, which
// guards against subtracting the bytes of that key's entry twice.
func TestLedgerIsBounded(t *testing.T) {
	ledger := newLedger(10e3, 500, NoInjectedBug)
	start := func(key string) Result {
		result, _ := ledger.apply(&Record{
			Kind: AttemptStarted, Key: key, Owner: 1,
			Request: Request{EncodedMessage: make([]byte, 4000)},
		})
		return result
	}
	require.Equal(t, []Result{Committed, Committed, LogFull}, []Result{start("a"), start("b"), start("c")})
	_, _ = ledger.apply(&Record{
		Kind: RequestAnswered, Key: "a", Owner: 1, LeaderTime: 100,
		Answer: FinalAnswer{Status: Served, Body: make([]byte, 4000)},
	})
	require.Equal(t, LogFull, start("c"))
	_, _ = ledger.apply(&Record{Kind: AnswersExpired, Key: "a", LeaderTime: 601})
	require.Equal(t, Committed, start("c"))
	require.Equal(t, ledger.entries["b"].size()+ledger.entries["c"].size(), ledger.bytes)
}
