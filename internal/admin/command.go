// Package admin implements a node's admin address, a TCP address to which operators and load balancers send commands: each
// connection carries one command line and one answer line. The operators' documentation calls it the second address. In the
// configuration it is "control", although it is neither the control socket (package controlsocket, for everything that
// concerns the process) nor part of the control plane (package controlplane, for the configuration of all nodes).
//
// command.go parses lines and formats answers without any I/O; server.go and client.go handle the sockets. The verbs, the
// answers and the timeouts are a contract with callers, documented in docs/operations.md ("The admin address").
package admin

import (
	"errors"
	"fmt"
	"strings"
	"unicode"
	"unicode/utf8"
)

// Verb identifies the operation that a command requests.
type Verb string

// The verbs, as written in a command line.
const (
	Health   Verb = "health"   // whether this process is ready to serve
	Cordon   Verb = "cordon"   // send no further requests to a backend
	Uncordon Verb = "uncordon" // use the backend again
	Quiesce  Verb = "quiesce"  // fail health checks and make clients disconnect
	Resume   Verb = "resume"   // accept clients again
)

// takesBackend reports for each verb whether it is followed by a backend's ID.
var takesBackend = map[Verb]bool{Health: false, Cordon: true, Uncordon: true, Quiesce: false, Resume: false}

// Command holds a parsed command line.
type Command struct {
	Verb    Verb
	Backend string // ID in the endpoint list; empty if the verb takes none
}

// maxLineBytes bounds a command line. It leaves ample room for the longest verb and a backend's ID.
const maxLineBytes = 512

// Errors for lines that can't be parsed. Their texts are sent to the caller, whose scripts may match them.
var (
	errLineTooLong = fmt.Errorf("a line of more than %d bytes", maxLineBytes)
	errNotText     = errors.New("no text")
	errEmptyLine   = errors.New("an empty line")
)

// ParseCommand parses a line without its newline. If it fails after the verb was read, it returns the verb with the error.
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

// FormatAnswer returns an answer line with its newline: YES and the text, or NO and the error.
func FormatAnswer(text string, err error) string {
	if err != nil {
		return "NO " + collapseWhitespace(err.Error()) + "\n"
	}
	return strings.TrimSpace("YES "+collapseWhitespace(text)) + "\n"
}

func collapseWhitespace(text string) string { return strings.Join(strings.Fields(text), " ") }
