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

var discard = slog.New(slog.DiscardHandler)

func sample() fleet.State {
	f := fleet.New(fleet.State{}, fleet.DefaultTiming())
	set := fleet.Set{}
	for k := range 5 {
		n := fmt.Sprintf("n%d", k)
		set[n] = fleet.Instance{Name: n, Listen: fmt.Sprintf("127.0.0.1:%d", k+1), Digest: "d", Desired: fleet.Running}
	}
	if _, err := f.Propose(1, 0, set, fleet.Change{Author: "a", Reason: "r", Command: "apply", Options: fleet.Options{MaxUnavailable: 3}}); err != nil {
		panic(err)
	}
	for n := range set {
		f.StepStarted(2, fleet.Action{Step: fleet.StepStart, Name: n, Instance: set[n]}, "t"+n)
	}
	return f.State
}

func TestStoreKeeps(t *testing.T) {
	dir := t.TempDir()
	s, state, recovered, err := openStore(dir, discard)
	require.NoError(t, err)
	assert.False(t, recovered)
	assert.Zero(t, state.Revision)
	want := sample()
	require.NoError(t, s.save(want))
	delete(want.Records, "n3")
	require.NoError(t, s.save(want))
	require.NoError(t, s.close())
	s, state, recovered, err = openStore(dir, discard)
	require.NoError(t, err)
	assert.False(t, recovered)
	assert.JSONEq(t, text(want), text(state))
	require.NoError(t, s.close())
}

func text(v any) string {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return string(data)
}

// At whatever byte a state file is flipped or cut, it is read as it was, or known to be damaged: never as something
// else, and never with a panic.
func TestEveryByte(t *testing.T) {
	dir := t.TempDir()
	s, _, _, err := openStore(dir, discard)
	require.NoError(t, err)
	want := sample()
	require.NoError(t, s.save(want))
	require.NoError(t, s.close())
	whole, err := os.ReadFile(filepath.Join(dir, stateFile))
	require.NoError(t, err)
	path := filepath.Join(dir, "copy")
	damaged, same := 0, 0
	try := func(data []byte, what string) {
		require.NoError(t, os.WriteFile(path, data, 0o600))
		kept, err := readState(path)
		if err != nil {
			assert.True(t, errors.Is(err, errDamaged) || errors.Is(err, errSchema), "%s: %v", what, err)
			damaged++
			return
		}
		got, err := decode(kept)
		require.NoError(t, err, what)
		require.JSONEq(t, text(want), text(got), what)
		same++
	}
	for at := 0; at < len(whole); at += 7 {
		flipped := append([]byte{}, whole...)
		flipped[at] ^= byte(1 << (at % 8))
		try(flipped, fmt.Sprintf("byte %d flipped", at))
	}
	for at := 0; at < len(whole); at += 509 {
		try(whole[:at], fmt.Sprintf("cut at %d", at))
	}
	assert.Positive(t, damaged)
	assert.Positive(t, same, "pages that hold nothing")
}

// One directory has one agent: a second one is told so, and sets nothing aside.
func TestSecondAgent(t *testing.T) {
	dir := t.TempDir()
	s, _, _, err := openStore(dir, discard)
	require.NoError(t, err)
	_, _, _, err = openStore(dir, discard)
	assert.ErrorIs(t, err, errLocked)
	require.NoError(t, s.save(sample()), "the first goes on")
	require.NoError(t, s.close())
}

func TestAnotherSchema(t *testing.T) {
	dir := t.TempDir()
	s, _, _, err := openStore(dir, discard)
	require.NoError(t, err)
	require.NoError(t, s.write(map[string]string{"schema": "99"}, nil))
	require.NoError(t, s.close())
	_, _, _, err = openStore(dir, discard)
	assert.ErrorIs(t, err, errSchema, "refused, and left where it is")
	_, err = os.Stat(filepath.Join(dir, stateFile))
	assert.NoError(t, err)
}
