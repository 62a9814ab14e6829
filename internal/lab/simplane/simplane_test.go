package simplane

import (
	"testing"

	"github.com/stretchr/testify/require"
)

var small = Shape{Voters: 3, Relays: 4, Nodes: 20, Regions: 3, Tenants: 60, Kept: 10}

func TestCalm(t *testing.T) {
	s := New(1, small)
	s.Trace = t.Logf
	require.Empty(t, s.Run(nil, Paths))
	t.Log(s.judge.pairs, s.judge.late, s.judge.worst, s.Acknowledged, s.Conflicts, s.Wholes)
	require.Greater(t, s.Acknowledged, 10)
}

func TestSchedules(t *testing.T) {
	sum, err := Many(t.Context(), 0, 20, small)
	require.NoError(t, err)
	for _, b := range sum.Broken {
		t.Log(b)
	}
	t.Logf("%+v", sum)
	require.Empty(t, sum.Broken)
}
