package controlplane

import (
	"fmt"
	"testing"

	"pearknot/internal/goldentest"
)

// Frames between builds contain these numbers.
func TestWireNumbers(t *testing.T) {
	text := fmt.Sprintln(protocolVersion, historySnapshotFormat, frameHello, frameStatus, frameChange, frameHeartbeat, frameSnapshotBegin, frameSnapshotChunk, int(CodeDone), int(CodeConflict), int(CodeNotLeader),
		int(CodeLeadershipLost), int(CodeInvalid), int(CodeBusy))
	goldentest.Equal(t, "numbers.txt", []byte(text))
}
