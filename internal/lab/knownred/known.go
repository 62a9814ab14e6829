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
	lineNumber  int
	line        string
	packageName string
	testName    string
}

// knownLine is PACKAGE TEST: CAUSE (issue NUMBER), both names as go test prints them.
var knownLine = regexp.MustCompile(`^(\S+) ((?:Test|Fuzz|Example)\S*): \S.* \(issue [1-9]\d*\)$`)

// parseKnownFailures reads the lines of KNOWN-RED.txt.
func parseKnownFailures(text string) (known []*knownFailure, err error) {
	for line := range strings.Lines(text) {
		line = strings.TrimSuffix(line, "\n")
		number := len(known) + 1
		match := knownLine.FindStringSubmatch(line)
		if match == nil {
			return nil, fmt.Errorf("%s:%d: not PACKAGE TEST: CAUSE (issue NUMBER): %q", knownFile, number, line)
		}
		added := &knownFailure{lineNumber: number, line: line, packageName: match[1], testName: match[2]}
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
