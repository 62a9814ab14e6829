// Command knownred runs all tests of the module in the current folder and passes over just the failures that KNOWN-RED.txt
// names. CI runs it; it imports nothing of the project, so that it runs whatever else doesn't build.
package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"os/exec"
	"regexp"
	"slices"
	"strings"
)

const (
	file = "KNOWN-RED.txt"
	most = 3 // lines: who wants to name a fourth mends one first
)

// red is a test known to fail.
type red struct {
	line                 int
	pkg, test, raw, fate string // fate is how the test ended, "" where it wasn't run
}

// entry is PACKAGE TEST: CAUSE (issue NUMBER), both names as go test prints them.
var entry = regexp.MustCompile(`^(\S+) ((?:Test|Fuzz|Example)\S*): \S.* \(issue [1-9]\d*\)$`)

func read(data string) (reds []*red, err error) {
	for line := range strings.Lines(data) {
		line = strings.TrimSuffix(line, "\n")
		m := entry.FindStringSubmatch(line)
		if m == nil {
			return nil, fmt.Errorf("%s:%d: not PACKAGE TEST: CAUSE (issue NUMBER): %q", file, len(reds)+1, line)
		}
		if slices.ContainsFunc(reds, func(r *red) bool { return r.pkg == m[1] && r.test == m[2] }) {
			return nil, fmt.Errorf("%s:%d: named before: %s %s", file, len(reds)+1, m[1], m[2])
		}
		reds = append(reds, &red{line: len(reds) + 1, pkg: m[1], test: m[2], raw: line})
	}
	if len(reds) > most {
		return nil, fmt.Errorf("%s: %d lines, %d at most", file, len(reds), most)
	}
	return reds, nil
}

// event is a line of go test -json.
type event struct {
	Action, Package, Test, Output string
}

// pack is what a package's tests came to.
type pack struct {
	name   string
	action string            // "" until the package has ended
	tests  map[string]string // how each ended, "" where it hasn't
	order  []string          // as they began
	said   map[string]bool   // tests with output of their own, beside go test's
	whole  bool              // its tests' closing line has come: no panic, time-out or exit cut them short
	output []event
}

// play runs go test and prints what it would print without -json, package by package.
func play(out io.Writer, args ...string) ([]*pack, error) {
	cmd := exec.Command("go", append([]string{"test", "-json", "-count=1"}, args...)...)
	cmd.Stderr = os.Stderr
	pipe, err := cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	packs := gather(pipe, out)
	return packs, cmd.Wait()
}

func gather(from io.Reader, out io.Writer) (packs []*pack) {
	lines := bufio.NewReader(from)
	for {
		line, err := lines.ReadBytes('\n')
		var e event
		switch {
		case json.Unmarshal(line, &e) != nil:
			_, _ = out.Write(line)
		case e.Package == "": // of a build
			_, _ = io.WriteString(out, e.Output)
		default:
			k := slices.IndexFunc(packs, func(p *pack) bool { return p.name == e.Package })
			if k < 0 {
				k, packs = len(packs), append(packs, &pack{name: e.Package, tests: map[string]string{}, said: map[string]bool{}})
			}
			packs[k].take(e, out)
		}
		if err != nil {
			return packs
		}
	}
}

func (p *pack) take(e event, out io.Writer) {
	ends := e.Action == "pass" || e.Action == "fail" || e.Action == "skip"
	switch {
	case e.Action == "run":
		p.tests[e.Test], p.order = "", append(p.order, e.Test)
	case e.Action == "output":
		p.output = append(p.output, e)
		p.whole = p.whole || e.Test == "" && (e.Output == "FAIL\n" || e.Output == "PASS\n")
		p.said[e.Test] = p.said[e.Test] || !frame(e.Output)
	case ends && e.Test != "":
		p.tests[e.Test] = e.Action
	case ends:
		p.action = e.Action
		p.print(out)
	}
}

// frame tells whether a line is go test's own of a test's beginning or end.
func frame(line string) bool {
	line = strings.TrimLeft(line, " ")
	return strings.HasPrefix(line, "=== ") || strings.HasPrefix(line, "--- ")
}

// print shows a package's one line, and what its tests said where they failed or were cut short.
func (p *pack) print(out io.Writer) {
	for _, e := range p.output {
		begins, quiet := strings.HasPrefix(e.Output, "=== "), p.tests[e.Test] == "pass" || p.tests[e.Test] == "skip"
		switch {
		case p.action != "fail" && (e.Test != "" || !strings.HasPrefix(e.Output, "ok  \t") && !strings.HasPrefix(e.Output, "?   \t")):
		case begins, quiet && (p.whole || frame(e.Output)):
		default:
			_, _ = io.WriteString(out, e.Output)
		}
	}
	p.output = nil
}

// faults are what of a package can't be passed over. A test fails by its subtests alone where it has said nothing itself;
// t.Fail without a word is left to the look at the rest.
func (p *pack) faults(reds []*red) (faults []string) {
	if p.action != "fail" {
		if p.action == "" {
			faults = append(faults, p.name+": never ended")
		}
		return faults
	}
	if !p.whole {
		faults = append(faults, p.name+": not built, or cut short by a panic, a time-out or an exit, which no line of "+file+" passes over")
	}
	failed := false
	for _, test := range p.order {
		if p.tests[test] != "fail" {
			continue
		}
		failed = true
		byPart := !p.said[test] && slices.ContainsFunc(p.order, func(sub string) bool {
			return strings.HasPrefix(sub, test+"/") && p.tests[sub] == "fail"
		})
		if !byPart && !slices.ContainsFunc(reds, func(r *red) bool { return r.pkg == p.name && r.test == test }) {
			faults = append(faults, p.name+" "+test+": failed")
		}
	}
	if p.whole && !failed {
		faults = append(faults, p.name+": failed outside its tests")
	}
	return faults
}

// skip is go test's pattern for these tests alone.
func skip(reds []*red) string {
	var all []string
	for _, r := range reds {
		parts := strings.Split(r.test, "/")
		for k := range parts {
			parts[k] = "^" + regexp.QuoteMeta(parts[k]) + "$"
		}
		all = append(all, strings.Join(parts, "/"))
	}
	return strings.Join(all, "|")
}

// look plays all tests, and where named ones failed the rest of their package once more: what else a failure may hide
// (a test's own beside its subtest's, a look for goroutines left behind that only follows success) has to show.
func look(reds []*red, out io.Writer) (faults []string) {
	packs, err := play(out, "./...")
	for _, p := range packs {
		faults = append(faults, p.faults(reds)...)
		var here []*red
		for _, r := range reds {
			if r.pkg == p.name {
				r.fate = p.tests[r.test]
				here = append(here, r)
			}
		}
		if p.action == "fail" && len(p.faults(reds)) == 0 {
			fmt.Fprintf(out, "%s without its known red:\n", p.name)
			rest, err := play(out, "-skip", skip(here), p.name)
			if err != nil || len(rest) != 1 || rest[0].action == "fail" {
				faults = append(faults, p.name+": fails without its known red as well")
			}
		}
	}
	switch failed := func(p *pack) bool { return p.action == "fail" }; {
	case len(packs) == 0:
		faults = append(faults, "nothing was tested")
	case err != nil && !slices.ContainsFunc(packs, failed):
		faults = append(faults, "go test: "+err.Error())
	}
	for _, r := range reds {
		switch r.fate {
		case "fail":
			fmt.Fprintln(out, "known red: "+r.raw)
		case "pass":
			faults = append(faults, fmt.Sprintf("%s:%d: %s %s passed: its line has to go out", file, r.line, r.pkg, r.test))
		case "skip":
			faults = append(faults, fmt.Sprintf("%s:%d: %s %s was skipped", file, r.line, r.pkg, r.test))
		default:
			faults = append(faults, fmt.Sprintf("%s:%d: %s %s was not run", file, r.line, r.pkg, r.test))
		}
	}
	return faults
}

func main() {
	data, err := os.ReadFile(file)
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	reds, err := read(string(data))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	if faults := look(reds, os.Stdout); len(faults) > 0 {
		fmt.Println("CI fails:\n\t" + strings.Join(faults, "\n\t"))
		os.Exit(1)
	}
}
