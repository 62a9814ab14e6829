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
	out := Push{Backend: "b", At: 1000}
	never := Push{Backend: "b", At: 1000, Over: true, Ending: balancer.NoConnection}
	timedOut := Push{Backend: "b", At: 1000, Over: true, Ending: balancer.TimedOut}
	for name, c := range map[string]struct {
		effect balancer.Effect
		pushes []Push
		now    float64
		duty   Duty
	}{
		"redeliverable, out":                    {balancer.Redeliverable, []Push{out}, 1500, GoOn},
		"at-most-once, out":                     {balancer.AtMostOnce, []Push{out}, 1500, DeadLetter},
		"at-most-once, timed out":               {balancer.AtMostOnce, []Push{timedOut}, 1500, DeadLetter},
		"at-most-once, never ran":               {balancer.AtMostOnce, []Push{never}, 1500, GoOn},
		"at-most-once, never ran and then out":  {balancer.AtMostOnce, []Push{never, out}, 1500, DeadLetter},
		"deduplicated, within its time":         {balancer.Deduplicated, []Push{out}, 1700, GoOn},
		"deduplicated, its mark forgotten":      {balancer.Deduplicated, []Push{out}, 1801, DeadLetter},
		"deduplicated, never ran, long ago":     {balancer.Deduplicated, []Push{never}, 1900, GoOn},
		"redeliverable, its time over":          {balancer.Redeliverable, []Push{out}, 4990, NackIt},
		"at-most-once, its time over":           {balancer.AtMostOnce, []Push{out}, 6000, DeadLetter},
		"at-most-once, never ran, time is over": {balancer.AtMostOnce, []Push{never}, 6000, NackIt},
	} {
		e := Entry{Op: Op{Effect: c.effect, Remembered: 800, GiveUp: 5000}, Pushes: c.pushes}
		duty, why := e.Succeed(c.now)
		require.Equal(t, c.duty, duty, "%s: %s", name, why)
	}
}

// Any records, some twice and out of order, from several speakers: an op has one owner and one outcome that stays, a record that comes
// twice changes nothing, the bytes are counted, and an image makes the same ledger.
func TestLedger(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := newLedger(20e3, 500, Sound)
		outcomes := map[string]Final{}
		now := 0.0
		for range rapid.IntRange(1, 60).Draw(t, "records") {
			now += 100
			r := &Record{Kind: rapid.SampledFrom([]Kind{Begin, Begin, End, Finish, Assign, Forget}).Draw(t, "kind"), At: now,
				Key: rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "key"), Owner: Pid(rapid.IntRange(1, 3).Draw(t, "owner")),
				To: Pid(rapid.IntRange(1, 3).Draw(t, "to")), Op: Op{Print: uint64(rapid.IntRange(1, 2).Draw(t, "print")), Message: make([]byte, rapid.IntRange(0, 9000).Draw(t, "size"))},
				Push:    Push{Number: rapid.IntRange(0, 2).Draw(t, "push")},
				Outcome: Outcome{Final: rapid.SampledFrom([]Final{Acked, Nacked, DeadLettered}).Draw(t, "final")}}
			before := l.entries[r.Key]
			var owner Pid
			var had Final
			if before != nil {
				owner, had = before.Owner, before.Outcome.Final
			}
			code, _ := l.apply(r)
			e := l.entries[r.Key]
			if before != nil && e == before && r.Kind != Assign {
				require.Equal(t, owner, e.Owner, "only Assign changes whose it is")
			}
			if had != Open && e == before && e != nil {
				require.Equal(t, had, e.Outcome.Final, "an outcome stays")
			}
			if code == Done && before != nil && r.Kind != Forget {
				require.Equal(t, owner, r.Owner, "only its owner is heard")
			}
			if e != nil && e.Outcome.Final != Open {
				outcomes[r.Key] = e.Outcome.Final
			}
			if r.Kind == Begin || r.Kind == End {
				image := snapshot.Append(nil, l.image())
				_, _ = l.apply(r)
				require.Equal(t, image, snapshot.Append(nil, l.image()), "twice is once")
			}
			sum := 0
			for _, e := range l.entries {
				sum += e.size()
			}
			require.Equal(t, sum, l.bytes)
			m, again := &image{}, newLedger(20e3, 500, Sound)
			require.NoError(t, snapshot.Read(snapshot.Append(nil, l.image()), m))
			again.restore(m)
			require.Equal(t, l.bytes, again.bytes)
			require.Equal(t, len(l.open), len(again.open))
		}
	})
}

// A ledger takes no more than it may, and says so; what is over and kept for long enough makes room.
func TestLedgerIsBounded(t *testing.T) {
	l := newLedger(10e3, 500, Sound)
	put := func(key string) Code {
		code, _ := l.apply(&Record{Kind: Begin, Key: key, Owner: 1, Op: Op{Message: make([]byte, 4000)}})
		return code
	}
	require.Equal(t, []Code{Done, Done, Full}, []Code{put("a"), put("b"), put("c")})
	_, _ = l.apply(&Record{Kind: Finish, Key: "a", Owner: 1, At: 100, Outcome: Outcome{Final: Acked, Body: make([]byte, 4000)}})
	require.Equal(t, Full, put("c"))
	_, _ = l.apply(&Record{Kind: Forget, Key: "a", At: 601}) // one that names a key too once took its bytes off twice
	require.Equal(t, Done, put("c"))
	require.Equal(t, l.entries["b"].size()+l.entries["c"].size(), l.bytes)
}
