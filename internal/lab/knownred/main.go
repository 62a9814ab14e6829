// Command knownred runs all tests of the module in the current directory and tolerates just the failures that
// KNOWN-RED.txt names. CI runs it. It imports nothing of the project, so that it runs whatever else doesn't build.
package main

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"runtime"
	"slices"
	"strings"
)

const (
	exitTestsFailed = 1
	exitBadFile     = 2
)

func main() {
	data, err := os.ReadFile(knownFile)
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitBadFile)
	}
	known, err := parseKnownFailures(string(data))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitBadFile)
	}
	if problems := checkModule(knownOn(runtime.GOARCH, known), os.Stdout); len(problems) > 0 {
		fmt.Println("CI fails:\n\t" + strings.Join(problems, "\n\t"))
		os.Exit(exitTestsFailed)
	}
}

// checkModule runs all tests and gives what can't be tolerated.
func checkModule(known []*knownFailure, out io.Writer) (problems []string) {
	packages, err := runTests(out, "./...")
	printSlowest(out, packages)
	for _, p := range packages {
		problems = append(problems, checkPackage(p, known, out)...)
	}
	hasFailed := func(p *packageResult) bool { return p.action == actionFail }
	switch {
	case len(packages) == 0:
		problems = append(problems, "nothing was tested")
	case err != nil && !slices.ContainsFunc(packages, hasFailed):
		problems = append(problems, "go test: "+err.Error())
	}
	for _, k := range known {
		if problem := k.check(packages, out); problem != "" {
			problems = append(problems, problem)
		}
	}
	return problems
}

// checkPackage gives what can't be tolerated of a package. Where only known failures show, it runs the package's other
// tests once more, since a failure may hide others: a test's own beside its subtest's, or a check for leaked goroutines
// that only follows success.
func checkPackage(p *packageResult, known []*knownFailure, out io.Writer) (problems []string) {
	problems = p.problems(known)
	if p.action != actionFail || len(problems) > 0 {
		return problems
	}
	var ofPackage []*knownFailure
	for _, k := range known {
		if k.packageName == p.name {
			ofPackage = append(ofPackage, k)
		}
	}
	fmt.Fprintf(out, "%s without its known red:\n", p.name)
	rest, err := runTests(out, "-skip", skipPattern(ofPackage), p.name)
	if err != nil || len(rest) != 1 || rest[0].action == actionFail {
		problems = append(problems, p.name+": fails without its known red as well")
	}
	return problems
}
