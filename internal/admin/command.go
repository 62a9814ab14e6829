// Package admin is a node's admin address, a TCP address at which operators and load balancers send commands: one line on
// a connection, one line as the answer. Operators' pages call it the second address; in the configuration it is "control",
// although it is neither the control socket (package controlsocket, for everything that concerns the process) nor part of
// the control plane (package controlplane, for the configuration of all nodes).
//
// command.go parses lines and formats answers without any I/O; server.go and client.go have the sockets. The verbs, the
// answers and the times are a contract with callers, in docs/operations.md ("The admin address").
package admin

import (
	"errors"
	"fmt"
	"strings"
	"unicode"
	"unicode/utf8"
)

// Verb is what a command asks for.
type Verb string

// The verbs, as they are written in a line.
const (
	Health   Verb = "health"   // whether this process is ready to serve
	Cordon   Verb = "cordon"   // send no further requests to a backend
	Uncordon Verb = "uncordon" // use the backend again
	Quiesce  Verb = "quiesce"  // send clients away
	Resume   Verb = "resume"   // take clients again
)

// takesBackend tells of each verb whether a backend's ID follows it.
var takesBackend = map[Verb]bool{Health: false, Cordon: true, Uncordon: true, Quiesce: false, Resume: false}

// Command is one line.
type Command struct {
	Verb    Verb
	Backend string // its ID on the endpoint list; empty where the verb takes none
}

// maxLineBytes bounds a line: the longest verb and a backend's ID fit in with room to spare.
const maxLineBytes = 512

// The errors of lines that can't be parsed. Their texts go to the caller, whose scripts may look for them.
var (
	errLineTooLong = fmt.Errorf("a line of more than %d bytes", maxLineBytes)
	errNotText     = errors.New("no text")
	errEmptyLine   = errors.New("an empty line")
)

// ParseCommand parses a line without its newline. Together with an error it returns the verb, if that is known by then.
func ParseCommand(line []byte) (Command, error) {
	if len(line) > maxLineBytes {
		return Command{}, errLineTooLong
	}
	text := strings.TrimSuffix(string(line), "\r")
	if !utf8.ValidString(text) || strings.ContainsFunc(text, isControlCharacter) {
		return Command{}, errNotText
	}
	words := strings.Fields(text)
	if len(words) == 0 {
		return Command{}, errEmptyLine
	}
	command := Command{Verb: Verb(words[0])}
	needsBackend, isKnown := takesBackend[command.Verb]
	maxWords := 1
	if needsBackend {
		maxWords = 2
	}
	switch {
	case !isKnown:
		return command, fmt.Errorf("unknown call %.40q", words[0])
	case needsBackend && len(words) == 1:
		return command, fmt.Errorf("%s needs a backend's id", command.Verb)
	case len(words) > maxWords:
		return command, fmt.Errorf("a word too many after %s", command.Verb)
	case needsBackend:
		command.Backend = words[1]
	}
	return command, nil
}

func isControlCharacter(r rune) bool { return r != '\t' && unicode.IsControl(r) }

// FormatAnswer returns the line of an answer with its newline: YES and a text, or NO and the error.
func FormatAnswer(text string, err error) string {
	if err != nil {
		return "NO " + inOneLine(err.Error()) + "\n"
	}
	return strings.TrimSpace("YES "+inOneLine(text)) + "\n"
}

func inOneLine(text string) string { return strings.Join(strings.Fields(text), " ") }
