package main

import (
	"fmt"
	"io"
	"regexp"
	"slices"
	"strings"
)

const (
	knownFile        = "KNOWN-RED.txt"
	maxKnownFailures = 3 // whoever wants to name a fourth mends one first
)

// knownFailure is a line of KNOWN-RED.txt: a test that is known to fail.
type knownFailure struct {
	lineNumber    int
	line          string
	packageName   string
	testName      string
	architectures []string // where the test is known to fail, as runtime.GOARCH has them; everywhere if empty
}

// knownLine is PACKAGE TEST: CAUSE (issue NUMBER), both names as go test prints them. The test's name may be followed by
// " on ARCHITECTURE,ARCHITECTURE".
var knownLine = regexp.MustCompile(`^(\S+) ((?:Test|Fuzz|Example)\S*)(?: on (\S+))?: \S.* \(issue [1-9]\d*\)$`)

// goArchitectures are the architectures that go tool dist list names.
var goArchitectures = []string{
	"386", "amd64", "arm", "arm64", "loong64", "mips", "mips64", "mips64le", "mipsle", "ppc64", "ppc64le", "riscv64", "s390x", "wasm",
}

// parseKnownFailures reads the lines of KNOWN-RED.txt.
func parseKnownFailures(text string) (known []*knownFailure, err error) {
	for line := range strings.Lines(text) {
		line = strings.TrimSuffix(line, "\n")
		number := len(known) + 1
		match := knownLine.FindStringSubmatch(line)
		if match == nil {
			return nil, fmt.Errorf("%s:%d: not PACKAGE TEST: CAUSE (issue NUMBER): %q", knownFile, number, line)
		}
		architectures, err := parseArchitectures(match[3])
		if err != nil {
			return nil, fmt.Errorf("%s:%d: %w", knownFile, number, err)
		}
		added := &knownFailure{lineNumber: number, line: line, packageName: match[1], testName: match[2], architectures: architectures}
		if isKnown(known, added.packageName, added.testName) {
			return nil, fmt.Errorf("%s:%d: named before: %s %s", knownFile, number, added.packageName, added.testName)
		}
		known = append(known, added)
	}
	if len(known) > maxKnownFailures {
		return nil, fmt.Errorf("%s: %d lines, %d at most", knownFile, len(known), maxKnownFailures)
	}
	return known, nil
}

// parseArchitectures reads a list such as arm64,riscv64; an empty one gives none.
func parseArchitectures(list string) (architectures []string, err error) {
	if list == "" {
		return nil, nil
	}
	for architecture := range strings.SplitSeq(list, ",") {
		if !slices.Contains(goArchitectures, architecture) {
			return nil, fmt.Errorf("not an architecture of Go: %q", architecture)
		}
		if slices.Contains(architectures, architecture) {
			return nil, fmt.Errorf("architecture named twice: %s", architecture)
		}
		architectures = append(architectures, architecture)
	}
	return architectures, nil
}

// knownOn returns the failures that are known on an architecture. The tests of the others have to pass there.
func knownOn(architecture string, known []*knownFailure) (here []*knownFailure) {
	for _, k := range known {
		if len(k.architectures) == 0 || slices.Contains(k.architectures, architecture) {
			here = append(here, k)
		}
	}
	return here
}

func isKnown(known []*knownFailure, packageName, testName string) bool {
	return slices.ContainsFunc(known, func(k *knownFailure) bool {
		return k.packageName == packageName && k.testName == testName
	})
}

// check prints the line where its test has failed, and else says what is wrong with it.
func (k *knownFailure) check(packages []*packageResult, out io.Writer) (problem string) {
	result := testNotEnded
	for _, p := range packages {
		if p.name == k.packageName {
			result = p.tests[k.testName]
		}
	}
	test := fmt.Sprintf("%s:%d: %s %s", knownFile, k.lineNumber, k.packageName, k.testName)
	switch result {
	case actionFail:
		fmt.Fprintln(out, "known red: "+k.line)
		return ""
	case actionPass:
		return test + " passed: its line has to go out"
	case actionSkip:
		return test + " was skipped"
	default:
		return test + " was not run"
	}
}

// skipPattern is the value of go test's -skip for these tests alone.
func skipPattern(known []*knownFailure) string {
	var patterns []string
	for _, k := range known {
		names := strings.Split(k.testName, "/")
		for i, name := range names {
			names[i] = "^" + regexp.QuoteMeta(name) + "$"
		}
		patterns = append(patterns, strings.Join(names, "/"))
	}
	return strings.Join(patterns, "|")
}
