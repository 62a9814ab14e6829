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

// The agent's responses are read by scripts and other builds, and its state by later builds, so their JSON stays as
// it is.
func TestJSONForms(t *testing.T) {
	for file, form := range map[string]any{
		"view.json":    &View{},
		"write.json":   &WriteRequest{},
		"written.json": &WriteResponse{},
		"state.json":   &fleet.State{},
		"holder.json":  &serve.LockHolder{},
	} {
		t.Run(file, func(t *testing.T) { goldentest.JSON(t, file, form) })
	}
}

// An agent is started again with another build. The state that the earlier build stored is read completely.
func TestStateOfEarlierBuildIsRead(t *testing.T) {
	data, err := os.ReadFile("testdata/state.db")
	require.NoError(t, err)
	path := filepath.Join(t.TempDir(), stateFile)
	require.NoError(t, os.WriteFile(path, data, 0o600))
	stored, err := readState(path)
	require.NoError(t, err)
	state, err := decode(stored)
	require.NoError(t, err)
	var want fleet.State
	goldentest.Fill(&want)
	for name, record := range want.Records { // a record is stored under its own name
		delete(want.Records, name)
		want.Records[record.Name] = record
	}
	require.Equal(t, want, state)
}
