package certs

import (
	"testing"

	"pearknot/internal/goldentest"
)

// The state outlives a process, and so may be read by another build.
func TestStateForm(t *testing.T) { goldentest.JSON(t, "state.json", &State{}) }
