package controlplane

import (
	"fmt"
	"testing"

	"pearknot/internal/goldentest"
)

// These numbers are part of the frames between builds, so they must not change.
func TestWireNumbers(t *testing.T) {
	text := fmt.Sprintln(protocolVersion, historySnapshotFormat, frameHello, frameStatus, frameChange, frameHeartbeat, frameSnapshotBegin, frameSnapshotChunk, int(CodeDone), int(CodeConflict), int(CodeNotLeader),
		int(CodeLeadershipLost), int(CodeInvalid), int(CodeBusy))
	goldentest.Equal(t, "numbers.txt", []byte(text))
}
