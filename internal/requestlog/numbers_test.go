package requestlog

import (
	"fmt"
	"reflect"
	"testing"

	"pearknot/internal/goldentest"
)

// These numbers are part of frames and logs, which members of different builds exchange. The file was written by an earlier
// build.
func TestWireNumbers(t *testing.T) {
	text := ""
	addLine := func(name string, values ...any) {
		for _, v := range values {
			if number := reflect.ValueOf(v); number.CanInt() {
				text += fmt.Sprintln(name, number.Int())
			} else {
				text += fmt.Sprintln(name, number.Uint())
			}
		}
	}
	// The names in the first column are those of the file.
	addLine("frame", frameRaft, frameCall, frameReply, frameHeartbeat)
	addLine("record", AttemptStarted, AttemptEnded, RequestAnswered, OwnerChanged, AnswersExpired)
	addLine("final", Unanswered, Served, Rejected, Failed)
	addLine("code", Committed, KeyUnused, KeyInFlight, KeyAnswered, KeyMismatch, NotOwner, LogFull, NotLeader, NoQuorum, InvalidRecord)
	addLine("process", NewIncarnation(3, 7), NewIncarnation(0, 1<<40))
	goldentest.Equal(t, "numbers.txt", []byte(text))
}
