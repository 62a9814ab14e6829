package simcluster

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"pearknot/internal/requestlog"
)

func TestCalm(t *testing.T) {
	s := New(1, 5, 3)
	require.Empty(t, s.Run(nil, 12e3))
	require.Equal(t, 5, s.Served())
	require.Zero(t, s.TookOver, "nobody is taken for lost")
	require.Greater(t, s.Finals, 100)
}

// Schedules of kills, freezes, cuts one way and both, slow and flapping links, drawn by seed and played over a load in which
// clients come back with their keys: no effect twice, no two outcomes for a key, nothing left without a final state. Thousands are
// played by pearknot-lab schedules.
func TestSchedules(t *testing.T) {
	for _, copies := range []int{3, 5} {
		sum, err := Many(t.Context(), 0, 16, 5, copies)
		require.NoError(t, err)
		require.Empty(t, sum.Broken)
		require.Equal(t, 32, sum.Schedules)
		require.Greater(t, sum.TookOver, 50)
		require.GreaterOrEqual(t, sum.Served, sum.Logs*95/100)
	}
}

func TestSameSeedSameHistory(t *testing.T) {
	play := func() (lines []string) {
		s := New(3, 5, 3)
		s.Trace = func(format string, args ...any) { lines = append(lines, fmt.Sprintf(format, args...)) }
		s.Run(Schedule(3, 5, true), 15e3)
		return lines
	}
	require.Equal(t, play(), play())
}

// A build with a part left out must be caught by the same schedules: else the checks show nothing.
func TestFlawsAreCaught(t *testing.T) {
	for name, spoil := range map[string]func(*Fleet){
		"fence left out":                    func(s *Fleet) { s.Flaw = requestlog.BugNoFencing },
		"nobody takes over":                 func(s *Fleet) { s.Flaw = requestlog.BugNoTakeover },
		"keys given out twice":              func(s *Fleet) { s.Flaw = requestlog.BugNoKeyCheck },
		"heirs not told of pushes":          func(s *Fleet) { s.Flaw = requestlog.BugForgottenAttempts },
		"pushes before their record":        func(s *Fleet) { s.Early = true },
		"a follower rejoins under its name": func(s *Fleet) { s.SameLife = true },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := uint64(5); seed < 150; seed++ {
				s := New(seed, 5, 3)
				spoil(s)
				if wrong := caught(s, Schedule(seed, 5, true)); wrong != "" {
					t.Logf("seed %d: %s", seed, wrong)
					return
				}
			}
			t.Fatal("not noticed")
		})
	}
}

// caught plays a schedule; a log that finds itself broken counts as well.
func caught(s *Fleet, faults []Fault) (wrong string) {
	defer func() {
		if fault := recover(); fault != nil {
			wrong = fmt.Sprint(fault)
		}
	}()
	if all := s.Run(faults, 24e3); len(all) > 0 {
		wrong = all[0].String()
	}
	return wrong
}

// Two of three copies lost at once take what the log held with them, which nothing can help; but the log must be served again,
// by its own member alone, and only once nobody can have a majority of it. A log whose member still held a copy never was.
func TestAMajorityLostIsFoundedAnew(t *testing.T) {
	for name, faults := range map[string][]Fault{
		"two":           {{At: 3500, Until: 5000, Kind: "kill", A: 1}, {At: 3500, Until: 5000, Kind: "kill", A: 2}},
		"two others":    {{At: 3500, Until: 4000, Kind: "kill", A: 4}, {At: 3500, Until: 6000, Kind: "kill", A: 2}},
		"three":         {{At: 3500, Until: 5000, Kind: "kill", A: 0}, {At: 3500, Until: 5500, Kind: "kill", A: 2}, {At: 3501, Until: 5000, Kind: "kill", A: 3}},
		"all":           {{At: 3500, Until: 5000, Kind: "kill", A: 0}, {At: 3500, Until: 5500, Kind: "kill", A: 1}, {At: 3500, Until: 5100, Kind: "kill", A: 2}, {At: 3500, Until: 5000, Kind: "kill", A: 3}, {At: 3500, Until: 5000, Kind: "kill", A: 4}},
		"all, in turn":  {{At: 3500, Until: 3700, Kind: "kill", A: 0}, {At: 5500, Until: 5700, Kind: "kill", A: 1}, {At: 7500, Until: 7700, Kind: "kill", A: 2}, {At: 9500, Until: 9700, Kind: "kill", A: 3}, {At: 11500, Until: 11700, Kind: "kill", A: 4}},
		"two, one dead": {{At: 3500, Until: 5000, Kind: "kill", A: 1}, {At: 3500, Until: 5000, Kind: "kill", A: 2}, {At: 9500, Until: 90000, Kind: "kill", A: 3}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := New(5, 5, 3)
			wrong := s.Run(faults, 24e3)
			require.Equal(t, 5, s.Served())
			if name == "all, in turn" {
				require.Empty(t, wrong)
			}
		})
	}
}

// Found by schedules, each with its story.
func TestFoundSchedules(t *testing.T) {
	for seed, story := range map[uint64]string{
		19:   "a log founded anew by beats from before a freeze, beside the one that lived: effects twice",
		53:   "a further push of a deduplicated op began when its mark was forgotten, its record having taken long",
		241:  "a nack of a deduplicated op that may have run freed its key, and it ran again",
		1968: "a removed copy let go at once, its leader died, and those left could not finish the change without its vote",
	} {
		for _, harsh := range []bool{false, true} {
			require.Empty(t, New(seed, 5, 3).Run(Schedule(seed, 5, harsh), 24e3), "seed %d: %s", seed, story)
		}
	}
}
