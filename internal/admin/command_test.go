package admin

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

// Checks the answer to valid and invalid lines; a valid command is answered with itself. Any input gets a one-line answer.
func TestParseCommand(t *testing.T) {
	for line, want := range map[string]string{
		"health":                             "YES health ",
		"health\r":                           "YES health ",
		"  cordon \t s-1 ":                   "YES cordon s-1",
		"uncordon s-é":                       "YES uncordon s-é",
		"quiesce":                            "YES quiesce ",
		"resume":                             "YES resume ",
		"":                                   "NO an empty line",
		"  ":                                 "NO an empty line",
		"HEALTH":                             `NO unknown call "HEALTH"`,
		"GET / HTTP/1.1":                     `NO unknown call "GET"`,
		"health now":                         "NO a word too many after health",
		"cordon":                             "NO cordon needs a backend's id",
		"cordon s-1 s-2":                     "NO a word too many after cordon",
		"cordon s\x00":                       "NO no text",
		"cordon \xff":                        "NO no text",
		"cordon " + strings.Repeat("x", 512): "NO a line of more than 512 bytes",
		strings.Repeat("x", 100):             `NO unknown call "` + strings.Repeat("x", 40) + `"`,
	} {
		command, err := ParseCommand([]byte(line))
		assert.Equal(t, strings.TrimSpace(want)+"\n", FormatAnswer(string(command.Verb)+" "+command.Backend, err), line)
	}
	rapid.Check(t, func(t *rapid.T) {
		command, err := ParseCommand(rapid.SliceOf(rapid.Byte()).Draw(t, "line"))
		assert.Regexp(t, "^(YES|NO)( .*)?\n$", FormatAnswer(command.Backend, err))
	})
}
