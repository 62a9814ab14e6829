// Package logstats counts the debug lines of a whole fleet's logs, for what no single node can tell of itself.
package logstats

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"regexp"
	"strconv"
	"strings"
)

// Stats is what a fleet's nodes logged of their attempts.
type Stats struct {
	AttemptOutcomes map[string]int // attempts, by their outcome
	Dials           map[string]int // connections opened, by why no open one could be used
	NotServed       map[string]int // requests that no backend served, by their answer and number of attempts
	FurtherAttempts int            // attempts after a request's first

	// WaitsAfterNoQueue are the waits of answered attempts that were sent within MaxAges, by index, of an answer from the
	// same backend to the same node that met no queue; OtherWaits are those of all others. ComputeWaits fills them in.
	WaitsAfterNoQueue [len(MaxAges)]Mean
	OtherWaits        Mean

	answered []answeredAttempt
}

// New makes statistics of no logs.
func New() *Stats {
	return &Stats{AttemptOutcomes: map[string]int{}, Dials: map[string]int{}, NotServed: map[string]int{}}
}

// maxLineBytes bounds a log's lines; a longer one is an error.
const maxLineBytes = 1 << 20

var attributePattern = regexp.MustCompile(`([a-z_]+)=("[^"]*"|\S+)`)

// Read counts the log of one node. Lines with other messages are ignored; a counted one that lacks an attribute is an
// error.
func (s *Stats) Read(node string, log io.Reader) error {
	lines := bufio.NewScanner(log)
	lines.Buffer(nil, maxLineBytes)
	for number := 1; lines.Scan(); number++ {
		attributes := map[string]string{}
		for _, match := range attributePattern.FindAllStringSubmatch(lines.Text(), -1) {
			attributes[match[1]] = strings.Trim(match[2], `"`)
		}
		if err := s.count(&logLine{attributes: attributes}, node); err != nil {
			return fmt.Errorf("%s:%d: %w", node, number, err)
		}
	}
	if err := lines.Err(); err != nil {
		return fmt.Errorf("%s: %w", node, err)
	}
	return nil
}

// logLine is a line of a log; err is the first error of reading its attributes.
type logLine struct {
	attributes map[string]string
	err        error
}

func (l *logLine) text(name string) string { return l.attributes[name] }

// number reads an attribute as a number; 0 where it is none.
func (l *logLine) number(name string) float64 {
	x, err := strconv.ParseFloat(l.attributes[name], 64)
	if err != nil {
		l.err = cmp.Or(l.err, fmt.Errorf("%s is no number: %q", name, l.attributes[name]))
	}
	return x
}

func (s *Stats) count(line *logLine, node string) error {
	switch line.text("msg") {
	case "dialing backend":
		s.Dials[dialReason(line)]++
	case "request not served":
		s.NotServed[fmt.Sprintf("%s after %s attempts", line.text("answer"), line.text("attempts"))]++
	case "attempt ended":
		s.countAttempt(line, node)
	}
	return line.err
}

// dialReason tells why a node opened a connection: it had none, it rests those that it used recently, or all had calls.
func dialReason(line *logLine) string {
	switch {
	case line.number("recently_used") > 0:
		return "all rest"
	case line.number("calls") > 1:
		return "all busy"
	default:
		return "none open"
	}
}

func (s *Stats) countAttempt(line *logLine, node string) {
	outcome := line.text("outcome")
	s.AttemptOutcomes[outcome]++
	if line.number("attempt") > 0 {
		s.FurtherAttempts++
	}
	if outcome != "answered" {
		return
	}
	attempt := answeredAttempt{
		path:       path{node: node, backend: line.text("backend")},
		kind:       line.text("kind"),
		answeredAt: line.number("at_ms"),
		work:       line.number("cost_hint"),
	}
	attempt.sentAt = attempt.answeredAt - line.number("after_ms")
	if line.err == nil {
		s.answered = append(s.answered, attempt)
	}
}
