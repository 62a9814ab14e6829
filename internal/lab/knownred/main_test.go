package main

import (
	"go/format"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// module is a folder with a module of its own that has this command and the repository's .ci/test.
type module string

func newModule(t *testing.T) module {
	m := module(t.TempDir())
	for _, path := range []string{".ci/test", "internal/lab/knownred/main.go"} {
		data, err := os.ReadFile(filepath.Join("../../..", path))
		require.NoError(t, err)
		m.write(t, path, string(data))
	}
	m.write(t, "go.mod", "module red\n\ngo 1.26.0\n")
	return m
}

func (m module) write(t *testing.T, path, text string) {
	path = filepath.Join(string(m), path)
	require.NoError(t, os.MkdirAll(filepath.Dir(path), 0o700))
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
}

// run gives what CI prints and whether it passes.
func (m module) run(flags ...string) (string, bool) {
	cmd := exec.Command("bash", filepath.Join(string(m), ".ci/test"))
	cmd.Env = append(os.Environ(), "GOFLAGS="+strings.Join(append(flags, "-mod=mod"), " "), "GOPROXY=off", "GOWORK=off")
	out, err := cmd.CombinedOutput()
	return string(out), err == nil
}

const twoRed = `package red

import "testing"

func TestFirst(t *testing.T)  { t.Error("first is red") }
func TestSecond(t *testing.T) { t.Error("second is red") }
`

const (
	first  = "red TestFirst: it adds up wrongly (issue 51)\n"
	second = "red TestSecond: it takes away wrongly (issue 52)\n"
)

func TestLines(t *testing.T) {
	for text, why := range map[string]string{
		"":                                     "",
		first + second:                         "",
		strings.TrimSuffix(first, "\n"):        "",
		first + second + first:                 "KNOWN-RED.txt:3: named before: red TestFirst",
		"\n":                                   "KNOWN-RED.txt:1: not PACKAGE TEST: CAUSE (issue NUMBER): \"\"",
		first + "\n" + second:                  "KNOWN-RED.txt:2: not ",
		strings.TrimSuffix(first, "\n") + "\r": "KNOWN-RED.txt:1: not ",
		"TestFirst: it adds up wrongly (issue 51)":     "KNOWN-RED.txt:1: not ",
		"red first: it adds up wrongly (issue 51)":     "KNOWN-RED.txt:1: not ",
		"red TestFirst: it adds up wrongly":            "KNOWN-RED.txt:1: not ",
		"red TestFirst: (issue 51)":                    "KNOWN-RED.txt:1: not ",
		"red TestFirst: it adds up wrongly (issue -1)": "KNOWN-RED.txt:1: not ",
	} {
		_, err := read(text)
		if why == "" {
			assert.NoError(t, err, text)
		} else if assert.ErrorContains(t, err, why, text) {
			assert.NotContains(t, err.Error(), "\n")
		}
	}
	reds, err := read("pearknot/internal/x TestName/a:_b#01: its cause: (known) (issue 51)")
	require.NoError(t, err)
	assert.Equal(t, []string{"pearknot/internal/x", "TestName/a:_b#01"}, []string{reds[0].pkg, reds[0].test})
	assert.Equal(t, `^TestName$/^a:_b#01$`, skip(reds))
}

// CI passes with all failing tests named, and with nothing else amiss.
func TestTwoRedTests(t *testing.T) {
	m := newModule(t)
	m.write(t, "red_test.go", twoRed)
	for _, c := range []struct {
		name, known string
		passes      bool
		says        []string
	}{
		{"no line", "", false, []string{"first is red", "second is red", "FAIL\tred\t", "red TestFirst: failed", "red TestSecond: failed"}},
		{"one line", first, false, []string{"first is red", "known red: red TestFirst: it adds up wrongly (issue 51)", "red TestSecond: failed"}},
		{"both", first + second, true, []string{"first is red", "FAIL\tred\t", "known red: " + first, "known red: " + second, "ok  \tred\t"}},
		{"one that isn't there", first + second + "red TestThird: gone since (issue 53)\n", false, []string{"KNOWN-RED.txt:3: red TestThird was not run"}},
		{"four lines", first + second + "red TestThird: a (issue 53)\nred TestFourth: b (issue 54)\n", false, []string{"KNOWN-RED.txt: 4 lines, 3 at most"}},
		{"a broken line", first + "red TestSecond (issue 52)\n", false, []string{"KNOWN-RED.txt:2: not PACKAGE TEST: CAUSE (issue NUMBER)"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			m.write(t, "KNOWN-RED.txt", c.known)
			out, passes := m.run()
			assert.Equal(t, c.passes, passes, out)
			for _, says := range c.says {
				assert.Contains(t, out, says)
			}
			assert.NotContains(t, out, `"Action"`)
		})
	}
	require.NoError(t, os.Remove(filepath.Join(string(m), "KNOWN-RED.txt")))
	out, passes := m.run()
	assert.False(t, passes, out)
	m.write(t, "red_test.go", strings.ReplaceAll(twoRed, "t.Error(", "t.Log("))
	out, passes = m.run()
	assert.True(t, passes, out)
	assert.Regexp(t, `(?m)^ok  \tred\t[0-9.]+s$`, out)
	assert.NotContains(t, out, "first is red")
}

// What is amiss beside a named test is never passed over.
func TestAmissBesideAKnownRed(t *testing.T) {
	const named = "red TestA/b: it is red (issue 51)\n"
	m := newModule(t)
	for _, c := range []struct {
		name, known, body string
		more, other       string // of the test file, and of another package's
		passes            bool
		says              string
	}{
		{name: "its parent alone", known: named, body: `t.Run("b", func(t *testing.T) { t.Error("bad") }); t.Run("c", func(t *testing.T) {})`, passes: true},
		{name: "in parallel", known: named, body: `t.Run("b", func(t *testing.T) { t.Parallel(); t.Error("bad") }); t.Run("c", func(t *testing.T) { t.Parallel() })`,
			passes: true},
		{name: "another subtest", known: named, body: `t.Run("b", func(t *testing.T) { t.Error("bad") }); t.Run("c", func(t *testing.T) { t.Fail() })`,
			says: "red TestA/c: failed"},
		{name: "its parent by itself", known: named, body: `t.Run("b", func(t *testing.T) { t.Error("bad") }); t.Error("own")`, says: "red TestA: failed"},
		{name: "its parent without a word", known: named, body: `t.Run("b", func(t *testing.T) { t.Error("bad") }); t.Fail()`,
			says: "red: fails without its known red as well"},
		{name: "subtests of a named test", known: "red TestA: it is red (issue 51)\n", body: `t.Run("b", func(t *testing.T) { t.Error("bad") })`,
			says: "red TestA/b: failed"},
		{name: "what it hides", known: named, body: `t.Run("b", func(t *testing.T) { t.Error("bad") })`,
			more: "func TestMain(m *testing.M) { os.Exit(max(m.Run(), 1)) }", says: "red: fails without its known red as well"},
		{name: "fails outside tests", known: named, body: `t.Run("b", func(t *testing.T) {})`,
			more: "func TestMain(m *testing.M) { m.Run(); os.Exit(1) }", says: "red: failed outside its tests"},
		{name: "passes", known: named, body: `t.Run("b", func(t *testing.T) {})`, says: "KNOWN-RED.txt:1: red TestA/b passed: its line has to go out"},
		{name: "skipped", known: named, body: `t.Run("b", func(t *testing.T) { t.Skip() })`, says: "KNOWN-RED.txt:1: red TestA/b was skipped"},
		{name: "panics", known: named, body: `t.Run("b", func(t *testing.T) { panic("no") })`, says: "red: not built, or cut short"},
		{name: "exits", known: named, body: `t.Run("b", func(t *testing.T) { os.Exit(1) })`, says: "red: not built, or cut short"},
		{name: "times out", known: named, body: `t.Run("b", func(t *testing.T) { select {} })`, says: "red: not built, or cut short"},
		{name: "another package isn't built", known: named, body: `t.Run("b", func(t *testing.T) { t.Error("bad") })`,
			other: "package other\n\nimport \"testing\"\n\nfunc TestO(*testing.T) { missing() }\n", says: "red/other: not built, or cut short"},
		{name: "vet", known: named, body: `t.Run("b", func(t *testing.T) { t.Errorf("%d", "bad") })`, says: "wrong type string"},
	} {
		t.Run(c.name, func(t *testing.T) {
			m.write(t, "KNOWN-RED.txt", c.known)
			text, err := format.Source([]byte("package red\n\nimport (\n\"os\"\n\"testing\"\n)\n\nvar _ = os.Exit\n\nfunc TestA(t *testing.T) {\n" +
				c.body + "\n}\n\n" + c.more))
			require.NoError(t, err)
			m.write(t, "red_test.go", string(text))
			m.write(t, "other/other.go", "package other\n")
			if c.other != "" { // vet finds nothing, the linker does
				m.write(t, "other/other.go", "package other\n\nfunc missing()\n")
				m.write(t, "other/other.s", "")
				m.write(t, "other/other_test.go", c.other)
				defer os.RemoveAll(filepath.Join(string(m), "other"))
			}
			var flags []string
			if c.name == "times out" {
				flags = []string{"-timeout=1s"}
			}
			out, passes := m.run(flags...)
			assert.Equal(t, c.passes, passes, out)
			assert.Contains(t, out, c.says)
			if c.passes {
				assert.Contains(t, out, "known red: "+c.known)
				assert.Contains(t, out, "?   \tred/other\t[no test files]\n")
			}
		})
	}
}
