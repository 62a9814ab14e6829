package certs

import (
	"testing"

	"pearknot/internal/goldentest"
)

// The state is stored, and so may be read by another build.
func TestStateEncoding(t *testing.T) { goldentest.JSON(t, "state.json", &State{}) }
