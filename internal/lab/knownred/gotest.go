package main

import (
	"bufio"
	"encoding/json"
	"io"
	"os"
	"os/exec"
	"slices"
	"strings"
)

// Actions of go test -json, and how a test or a package ended.
const (
	actionRun    = "run"
	actionOutput = "output"
	actionPass   = "pass"
	actionFail   = "fail"
	actionSkip   = "skip"

	testNotEnded = ""
)

// testEvent is a line of go test -json.
type testEvent struct {
	Action, Package, Test, Output string
	Elapsed                       float64 // s; of a test or package that has ended
}

// packageResult is what go test tells of a package.
type packageResult struct {
	name      string
	action    string            // how it ended; testNotEnded until then
	tests     map[string]string // how each of its tests ended
	testOrder []string          // in the order of their starts
	hasOutput map[string]bool   // tests that printed something, beside go test's own lines
	// isComplete is set by the line that closes the tests' output: no panic, time-out or exit cut them short.
	isComplete bool
	output     []testEvent // until the package has ended
	times      []testTime  // of its tests, without their subtests
}

// runTests runs go test and prints what it would print without -json, package by package.
func runTests(out io.Writer, args ...string) ([]*packageResult, error) {
	command := exec.Command("go", append([]string{"test", "-json", "-count=1"}, args...)...)
	command.Stderr = os.Stderr
	events, err := command.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := command.Start(); err != nil {
		return nil, err
	}
	packages := readEvents(events, out)
	return packages, command.Wait()
}

// readEvents collects the events of each package. Lines that are no events are printed as they are.
func readEvents(events io.Reader, out io.Writer) (packages []*packageResult) {
	lines := bufio.NewReader(events)
	for {
		line, err := lines.ReadBytes('\n')
		var event testEvent
		switch {
		case json.Unmarshal(line, &event) != nil:
			_, _ = out.Write(line)
		case event.Package == "": // of a build
			_, _ = io.WriteString(out, event.Output)
		default:
			i := slices.IndexFunc(packages, func(p *packageResult) bool { return p.name == event.Package })
			if i < 0 {
				i = len(packages)
				packages = append(packages, &packageResult{name: event.Package, tests: map[string]string{}, hasOutput: map[string]bool{}})
			}
			packages[i].record(event, out)
		}
		if err != nil {
			return packages
		}
	}
}

// record takes in an event; the one that ends the package prints its output.
func (p *packageResult) record(event testEvent, out io.Writer) {
	switch event.Action {
	case actionRun:
		p.tests[event.Test] = testNotEnded
		p.testOrder = append(p.testOrder, event.Test)
	case actionOutput:
		p.output = append(p.output, event)
		isClosingLine := event.Test == "" && (event.Output == "FAIL\n" || event.Output == "PASS\n")
		p.isComplete = p.isComplete || isClosingLine
		p.hasOutput[event.Test] = p.hasOutput[event.Test] || !isFrameLine(event.Output)
	case actionPass, actionFail, actionSkip:
		if event.Test != "" {
			p.tests[event.Test] = event.Action
			if !strings.Contains(event.Test, "/") {
				p.times = append(p.times, testTime{packageName: p.name, testName: event.Test, seconds: event.Elapsed})
			}
			return
		}
		p.action = event.Action
		p.print(out)
	}
}

// isFrameLine tells whether a line is go test's own, of the start or end of a test.
func isFrameLine(line string) bool {
	line = strings.TrimLeft(line, " ")
	return strings.HasPrefix(line, "=== ") || strings.HasPrefix(line, "--- ")
}

// print prints the package's line, and of one that failed the output of the tests that failed or were cut short.
func (p *packageResult) print(out io.Writer) {
	for _, event := range p.output {
		if p.isPrinted(event) {
			_, _ = io.WriteString(out, event.Output)
		}
	}
	p.output = nil
}

func (p *packageResult) isPrinted(event testEvent) bool {
	if p.action != actionFail {
		isPackageLine := strings.HasPrefix(event.Output, "ok  \t") || strings.HasPrefix(event.Output, "?   \t")
		return event.Test == "" && isPackageLine
	}
	if strings.HasPrefix(event.Output, "=== ") {
		return false
	}
	hasSucceeded := p.tests[event.Test] == actionPass || p.tests[event.Test] == actionSkip
	isHidden := hasSucceeded && (p.isComplete || isFrameLine(event.Output))
	return !isHidden
}

// problems are what of a package can't be tolerated, whatever a further run without the known failures shows.
func (p *packageResult) problems(known []*knownFailure) (problems []string) {
	switch p.action {
	case actionFail:
	case testNotEnded:
		return []string{p.name + ": never ended"}
	default:
		return nil
	}
	if !p.isComplete {
		problems = append(problems, p.name+": not built, or cut short by a panic, a time-out or an exit, which no line of "+
			knownFile+" passes over")
	}
	hasFailedTest := false
	for _, test := range p.testOrder {
		if p.tests[test] != actionFail {
			continue
		}
		hasFailedTest = true
		if !p.failedBySubtest(test) && !isKnown(known, p.name, test) {
			problems = append(problems, p.name+" "+test+": failed")
		}
	}
	if p.isComplete && !hasFailedTest {
		problems = append(problems, p.name+": failed outside its tests")
	}
	return problems
}

// failedBySubtest tells whether a test failed by its subtests alone, as far as its output shows: one that calls t.Fail
// without output is noticed by the run without the known failures.
func (p *packageResult) failedBySubtest(test string) bool {
	return !p.hasOutput[test] && slices.ContainsFunc(p.testOrder, func(other string) bool {
		return strings.HasPrefix(other, test+"/") && p.tests[other] == actionFail
	})
}
