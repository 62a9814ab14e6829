package agent

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"pearknot/internal/fleet"
	"pearknot/internal/goldentest"
	"pearknot/internal/serve"
)

// The agent's answers are read by scripts and other builds, its state by the build that comes after it.
func TestForms(t *testing.T) {
	for file, v := range map[string]any{"view.json": &View{}, "write.json": &Write{}, "written.json": &Written{}, "state.json": &fleet.State{},
		"holder.json": &serve.LockHolder{}} {
		t.Run(file, func(t *testing.T) { goldentest.JSON(t, file, v) })
	}
}

// An agent is started again with another build: the state that the earlier one left is read whole.
func TestEarlierState(t *testing.T) {
	data, err := os.ReadFile("testdata/state.db")
	require.NoError(t, err)
	path := filepath.Join(t.TempDir(), stateFile)
	require.NoError(t, os.WriteFile(path, data, 0o600))
	kept, err := readState(path)
	require.NoError(t, err)
	state, err := decode(kept)
	require.NoError(t, err)
	var want fleet.State
	goldentest.Fill(&want)
	for name, r := range want.Records { // a record goes by the name that it holds
		delete(want.Records, name)
		want.Records[r.Name] = r
	}
	require.Equal(t, want, state)
}
