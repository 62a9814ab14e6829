package main

import (
	"cmp"
	"fmt"
	"io"
	"slices"
)

const (
	maxSlowTests   = 40  // that are printed
	minSlowSeconds = 1.0 // of a test that is printed
)

// testTime is the time that a test took, with its subtests and without the time for which a parallel test waited for others.
type testTime struct {
	packageName, testName string
	seconds               float64
}

// printSlowest prints the tests that took longest, the slowest first.
func printSlowest(out io.Writer, packages []*packageResult) {
	var slow []testTime
	for _, p := range packages {
		for _, test := range p.times {
			if test.seconds >= minSlowSeconds {
				slow = append(slow, test)
			}
		}
	}
	if len(slow) == 0 {
		return
	}
	slices.SortStableFunc(slow, func(a, b testTime) int { return cmp.Compare(b.seconds, a.seconds) })
	fmt.Fprintln(out, "the slowest tests, in s:")
	for _, test := range slow[:min(len(slow), maxSlowTests)] {
		fmt.Fprintf(out, "%7.1f  %s %s\n", test.seconds, test.packageName, test.testName)
	}
}
