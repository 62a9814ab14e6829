package requestlog

import (
	"fmt"
	"reflect"
	"testing"

	"pearknot/internal/goldentest"
)

// Frames and logs hold these numbers.
func TestWireNumbers(t *testing.T) {
	text := ""
	put := func(name string, values ...any) {
		for _, v := range values {
			if n := reflect.ValueOf(v); n.CanInt() {
				text += fmt.Sprintln(name, n.Int())
			} else {
				text += fmt.Sprintln(name, n.Uint())
			}
		}
	}
	put("frame", raftFrame, askFrame, toldFrame, beatFrame)
	put("record", AttemptStarted, AttemptEnded, RequestAnswered, OwnerChanged, AnswersExpired)
	put("final", Unanswered, Served, Rejected, Failed)
	put("code", Committed, KeyUnused, KeyInFlight, KeyAnswered, KeyMismatch, NotOwner, LogFull, NotLeader, NoQuorum, InvalidRecord)
	put("process", NewIncarnation(3, 7), NewIncarnation(0, 1<<40))
	goldentest.Equal(t, "numbers.txt", []byte(text))
}
