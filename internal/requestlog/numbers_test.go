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
	put("record", Begin, End, Finish, Assign, Forget)
	put("final", Open, Acked, Nacked, DeadLettered)
	put("code", Done, Free, InHand, Over, Unlike, Lost, Full, NotHere, Alone, Refused)
	put("process", NewPid(3, 7), NewPid(0, 1<<40))
	goldentest.Equal(t, "numbers.txt", []byte(text))
}
