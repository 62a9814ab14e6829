package member

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
	pb "go.etcd.io/raft/v3/raftpb"

	"pearknot/internal/controlplane"
)

func testEntries(n uint64) (all []*pb.Entry) {
	for k := range n {
		all = append(all, testEntry(controlplane.Bootstrap([]uint64{1, 2, 3}).Snapshot.GetMetadata().GetIndex()+1+k, 1))
	}
	return all
}

// A voter is restarted with another build, which reads the complete store of the earlier one.
func TestStoreOfEarlierBuild(t *testing.T) {
	data, err := os.ReadFile("testdata/voter.db")
	require.NoError(t, err)
	path := filepath.Join(t.TempDir(), "c1.db")
	require.NoError(t, os.WriteFile(path, data, 0o600))
	s, state, err := openVoterStore(path, "f/c1", nil)
	require.NoError(t, err)
	defer func() { require.NoError(t, s.close()) }()
	want := controlplane.Bootstrap([]uint64{1, 2, 3})
	require.Equal(t, want.HardState.String(), state.HardState.String())
	require.Equal(t, want.Snapshot.String(), state.Snapshot.String())
	entries := testEntries(5)
	require.Len(t, state.Entries, len(entries))
	for k, e := range entries {
		require.Equal(t, e.String(), state.Entries[k].String())
	}
}
