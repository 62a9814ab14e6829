package controlplane

import (
	"fmt"
	"testing"

	"pearknot/internal/goldentest"
)

// Links hold these numbers.
func TestWireNumbers(t *testing.T) {
	text := fmt.Sprintln(protocol, imageForm, frameHello, frameStatus, frameChange, frameHeartbeat, frameBegin, frameChunk, int(Done), int(Conflict), int(NotLeader),
		int(Lost), int(Invalid), int(Busy))
	goldentest.Equal(t, "numbers.txt", []byte(text))
}
