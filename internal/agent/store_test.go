package agent

import (
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pearknot/internal/fleet"
)

// discard is a logger without output.
var discard = slog.New(slog.DiscardHandler)

// sampleState returns the state of a fleet of five instances whose starts are pending.
func sampleState() fleet.State {
	fleetState := fleet.New(fleet.State{}, fleet.DefaultTiming())
	set := fleet.Set{}
	for index := range 5 {
		name := fmt.Sprintf("n%d", index)
		set[name] = fleet.Instance{Name: name, Listen: fmt.Sprintf("127.0.0.1:%d", index+1), Digest: "d", Desired: fleet.Running}
	}
	change := fleet.Change{Author: "a", Reason: "r", Command: "apply", Options: fleet.Options{MaxUnavailable: 3}}
	if _, err := fleetState.Propose(1, 0, set, change); err != nil {
		panic(err)
	}
	for name := range set {
		fleetState.StepStarted(2, fleet.Action{Step: fleet.StepStart, Name: name, Instance: set[name]}, "t"+name)
	}
	return fleetState.State
}

// A stored state is read back as it was, also after a record was removed from it.
func TestStoreKeepsState(t *testing.T) {
	dir := t.TempDir()
	stateStore, state, recovered, err := openStore(dir, discard)
	require.NoError(t, err)
	assert.False(t, recovered)
	assert.Zero(t, state.Revision)
	want := sampleState()
	require.NoError(t, stateStore.save(want))
	delete(want.Records, "n3")
	require.NoError(t, stateStore.save(want))
	require.NoError(t, stateStore.close())
	stateStore, state, recovered, err = openStore(dir, discard)
	require.NoError(t, err)
	assert.False(t, recovered)
	assert.JSONEq(t, jsonText(want), jsonText(state))
	require.NoError(t, stateStore.close())
}

// jsonText returns a value as JSON.
func jsonText(value any) string {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return string(data)
}

// A state file has a flipped bit at some byte, or is truncated at some byte. It is read as it was written, or
// reported as damaged: never read as another state, and never with a panic.
func TestDamagedStateIsDetected(t *testing.T) {
	dir := t.TempDir()
	stateStore, _, _, err := openStore(dir, discard)
	require.NoError(t, err)
	want := sampleState()
	require.NoError(t, stateStore.save(want))
	require.NoError(t, stateStore.close())
	complete, err := os.ReadFile(filepath.Join(dir, stateFile))
	require.NoError(t, err)
	path := filepath.Join(dir, "copy")
	damaged, readAsWritten := 0, 0
	checkRead := func(data []byte, damage string) {
		require.NoError(t, os.WriteFile(path, data, 0o600))
		stored, err := readState(path)
		if err != nil {
			assert.True(t, errors.Is(err, errDamaged) || errors.Is(err, errSchema), "%s: %v", damage, err)
			damaged++
			return
		}
		got, err := decode(stored)
		require.NoError(t, err, damage)
		require.JSONEq(t, jsonText(want), jsonText(got), damage)
		readAsWritten++
	}
	for offset := 0; offset < len(complete); offset += 7 {
		flipped := append([]byte{}, complete...)
		flipped[offset] ^= byte(1 << (offset % 8))
		checkRead(flipped, fmt.Sprintf("byte %d flipped", offset))
	}
	for offset := 0; offset < len(complete); offset += 509 {
		checkRead(complete[:offset], fmt.Sprintf("cut at %d", offset))
	}
	assert.Positive(t, damaged)
	assert.Positive(t, readAsWritten, "damage in pages that are not in use")
}

// An agent is started in a directory where one runs already. The second is refused, and the first continues to
// store its state.
func TestSecondAgentInOneDirectoryIsRefused(t *testing.T) {
	dir := t.TempDir()
	stateStore, _, _, err := openStore(dir, discard)
	require.NoError(t, err)
	_, _, _, err = openStore(dir, discard)
	assert.ErrorIs(t, err, errLocked)
	require.NoError(t, stateStore.save(sampleState()), "the first continues")
	require.NoError(t, stateStore.close())
}

// A state file has a schema that this build does not know. It is refused and left where it is.
func TestStateOfAnotherSchemaIsRefused(t *testing.T) {
	dir := t.TempDir()
	stateStore, _, _, err := openStore(dir, discard)
	require.NoError(t, err)
	require.NoError(t, stateStore.write(map[string]string{"schema": "99"}, nil))
	require.NoError(t, stateStore.close())
	_, _, _, err = openStore(dir, discard)
	assert.ErrorIs(t, err, errSchema, "refused, and left where it is")
	_, err = os.Stat(filepath.Join(dir, stateFile))
	assert.NoError(t, err)
}
