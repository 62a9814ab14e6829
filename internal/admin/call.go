// Package admin is the node's second address, at which operators call: one line to a connection, one line back. This
// file is its core, which reads a line and words an answer; console.go has the sockets.
package admin

import (
	"errors"
	"fmt"
	"strings"
	"unicode"
	"unicode/utf8"
)

// Verb is what is asked for.
type Verb string

const (
	Health   Verb = "health"   // whether this process is ready to serve
	Cordon   Verb = "cordon"   // take a backend out
	Uncordon Verb = "uncordon" // put it back
	Quiesce  Verb = "quiesce"  // send clients away
	Resume   Verb = "resume"   // take them again
)

// names tells which verbs take a backend's id.
var names = map[Verb]bool{Health: false, Cordon: true, Uncordon: true, Quiesce: false, Resume: false}

// Call is one line.
type Call struct {
	Verb Verb
	ID   string // of a backend, where the verb takes one
}

// mostLine bounds a line: the longest verb and an id of the list's.
const mostLine = 512

var (
	errLong  = fmt.Errorf("a line of more than %d bytes", mostLine)
	errText  = errors.New("no text")
	errEmpty = errors.New("an empty line")
)

// Parse reads a line without its end.
func Parse(line []byte) (c Call, err error) {
	if len(line) > mostLine {
		return c, errLong
	}
	text := strings.TrimSuffix(string(line), "\r")
	if !utf8.ValidString(text) || strings.ContainsFunc(text, func(r rune) bool { return r != '\t' && unicode.IsControl(r) }) {
		return c, errText
	}
	words := strings.Fields(text)
	if len(words) == 0 {
		return c, errEmpty
	}
	c.Verb = Verb(words[0])
	named, known := names[c.Verb]
	switch {
	case !known:
		return c, fmt.Errorf("unknown call %.40q", words[0])
	case named && len(words) == 1:
		return c, fmt.Errorf("%s needs a backend's id", c.Verb)
	case len(words) > 2 || !named && len(words) > 1:
		return c, fmt.Errorf("a word too many after %s", c.Verb)
	case named:
		c.ID = words[1]
	}
	return c, nil
}

// Answer words a line: yes with what there is to say, or no with the reason.
func Answer(text string, err error) string {
	if err != nil {
		return "NO " + oneLine(err.Error()) + "\n"
	}
	return strings.TrimSpace("YES "+oneLine(text)) + "\n"
}

func oneLine(s string) string { return strings.Join(strings.Fields(s), " ") }
