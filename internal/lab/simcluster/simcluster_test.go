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
	require.Equal(t, 5, s.ServedLogs())
	require.Zero(t, s.TakenOver, "nobody is taken for lost")
	require.Greater(t, s.LoggedAnswers, 100)
}

// Schedules of kills, freezes, cuts one way and both, slow and flapping links, drawn by seed and played over a load in which
// clients come back with their keys: no effect twice, no two outcomes for a key, nothing left without a final state. Thousands are
// played by pearknot-lab schedules.
func TestSchedules(t *testing.T) {
	for _, copies := range []int{3, 5} {
		sum, err := RunSchedules(t.Context(), 0, 16, 5, copies)
		require.NoError(t, err)
		require.Empty(t, sum.Violating)
		require.Equal(t, 32, sum.Schedules)
		require.Greater(t, sum.TakenOver, 50)
		require.GreaterOrEqual(t, sum.ServedLogs, sum.Logs*95/100)
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

// Process build with a part left out must be caught by the same schedules: else the checks show nothing.
func TestFlawsAreCaught(t *testing.T) {
	for name, spoil := range map[string]func(*Cluster){
		"fence left out":                    func(s *Cluster) { s.InjectedBug = requestlog.BugNoFencing },
		"nobody takes over":                 func(s *Cluster) { s.InjectedBug = requestlog.BugNoTakeover },
		"keys given out twice":              func(s *Cluster) { s.InjectedBug = requestlog.BugNoKeyCheck },
		"heirs not told of pushes":          func(s *Cluster) { s.InjectedBug = requestlog.BugForgottenAttempts },
		"pushes before their record":        func(s *Cluster) { s.AttemptsBeforeRecords = true },
		"a follower rejoins under its name": func(s *Cluster) { s.KeepsIncarnation = true },
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
func caught(s *Cluster, faults []Fault) (wrong string) {
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
// by its own member alone, and only once nobody can have a majority of it. Process log whose member still held a copy never was.
func TestAMajorityLostIsFoundedAnew(t *testing.T) {
	for name, faults := range map[string][]Fault{
		"two":           {{Start: 3500, End: 5000, Kind: "kill", Process: 1}, {Start: 3500, End: 5000, Kind: "kill", Process: 2}},
		"two others":    {{Start: 3500, End: 4000, Kind: "kill", Process: 4}, {Start: 3500, End: 6000, Kind: "kill", Process: 2}},
		"three":         {{Start: 3500, End: 5000, Kind: "kill", Process: 0}, {Start: 3500, End: 5500, Kind: "kill", Process: 2}, {Start: 3501, End: 5000, Kind: "kill", Process: 3}},
		"all":           {{Start: 3500, End: 5000, Kind: "kill", Process: 0}, {Start: 3500, End: 5500, Kind: "kill", Process: 1}, {Start: 3500, End: 5100, Kind: "kill", Process: 2}, {Start: 3500, End: 5000, Kind: "kill", Process: 3}, {Start: 3500, End: 5000, Kind: "kill", Process: 4}},
		"all, in turn":  {{Start: 3500, End: 3700, Kind: "kill", Process: 0}, {Start: 5500, End: 5700, Kind: "kill", Process: 1}, {Start: 7500, End: 7700, Kind: "kill", Process: 2}, {Start: 9500, End: 9700, Kind: "kill", Process: 3}, {Start: 11500, End: 11700, Kind: "kill", Process: 4}},
		"two, one dead": {{Start: 3500, End: 5000, Kind: "kill", Process: 1}, {Start: 3500, End: 5000, Kind: "kill", Process: 2}, {Start: 9500, End: 90000, Kind: "kill", Process: 3}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := New(5, 5, 3)
			wrong := s.Run(faults, 24e3)
			require.Equal(t, 5, s.ServedLogs())
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
