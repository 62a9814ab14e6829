package controlplane

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func mustParse(t require.TestingT, text string) *Document {
	d, err := Parse([]byte(text))
	require.NoError(t, err)
	return d
}

// Differently formatted texts have one canonical form, and errors contain the line and column.
func TestParse(t *testing.T) {
	for text, want := range map[string]string{
		`{}`:                                "{}\n",
		" {\n\t} \n":                        "{}\n",
		`{"a":1}`:                           "{\n\"a\":1\n}\n",
		`{"a": [ ], "b" : {}, "c":[[],{}]}`: "{\n\"a\":[],\n\"b\":{},\n\"c\":[\n[],\n{}\n]\n}\n",
		`{"t":[{"n":"x","w":[1, 2]},{"n":"y"}],"k":{"p":1.50,"q":null}}`: "{\n\"t\":[\n{\"n\":\"x\",\"w\":[1,2]},\n{\"n\":\"y\"}\n],\n\"k\":{\n\"p\":1.50,\n\"q\":null\n}\n}\n",
		`{"a":"{ \"x\" : [1, 2] }\\","b":" "}`:                           "{\n\"a\":\"{ \\\"x\\\" : [1, 2] }\\\\\",\n\"b\":\" \"\n}\n",
	} {
		d := mustParse(t, text)
		assert.Equal(t, want, string(d.Text()))
		assert.Equal(t, strings.Count(want, "\n"), d.LineCount())
		assert.True(t, json.Valid(d.Text()))
		assert.Equal(t, want, string(mustParse(t, want).Text()), "the canonical form is its own canonical form")
	}
	for text, want := range map[string]string{
		``:                      "1:1: unexpected end of JSON input",
		`[1]`:                   "1:1: not an object",
		"\n\n  3":               "3:3: not an object",
		"{\"a\":1,\n  \"b\" 2}": "2:7: invalid character '2' after object key",
		`{"a":1} x`:             "1:9: invalid character 'x' after top-level value",
		"{\"a\":\n\"\xff\"}":    "2:2: not UTF-8",
		`{"a":[1,2`:             "1:9: unexpected end of JSON input",
	} {
		_, err := Parse([]byte(text))
		assert.EqualError(t, err, want, "%q", text)
	}
}

// tenantConfiguration returns a document with the structure of an operator's configuration. The package doesn't interpret its content.
func tenantConfiguration(tenants int) []byte {
	var b bytes.Buffer
	b.WriteString(`{"deadline":1500,"classes":[{"name":"a","floor":0.5},{"name":"b"}],"tenants":[`)
	for k := range tenants {
		if k > 0 {
			b.WriteByte(',')
		}
		fmt.Fprintf(&b, `{"name":"tenant-%06d","share":%d}`, k, k%97)
	}
	b.WriteString(`]}`)
	return b.Bytes()
}

// drawDocument generates a document from few different lines, so that two of them have lines in common.
func drawDocument(t *rapid.T, label string) *Document {
	lines := rapid.SliceOfN(rapid.SampledFrom([]string{"", "a", "b", "c", "d", "e,", "f,", "g,", "h,", "i,", "j,", "k", "[", "]"}), 1, 40).Draw(t, label)
	d, err := newDocument(strings.Join(lines, "\n") + "\n")
	require.NoError(t, err)
	return d
}

// The splices of a diff turn one document into the other, their inverse undoes them, and they are unchanged after being encoded and
// decoded.
func TestDiffApplyUndo(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		from, to := drawDocument(t, "from"), drawDocument(t, "to")
		s := Diff(from, to)
		got, err := from.Apply(s, to.Digest())
		require.NoError(t, err)
		assert.Equal(t, to.Text(), got.Text())
		assert.Equal(t, to.lineStarts, got.lineStarts)
		for k := 1; k < len(s); k++ {
			assert.Greater(t, s[k].Line, s[k-1].Line+s[k-1].Delete, "splices don't touch")
		}
		back, err := to.Apply(from.inverseSplices(s), from.Digest())
		require.NoError(t, err)
		assert.Equal(t, from.Text(), back.Text())
		if bytes.Equal(from.Text(), to.Text()) {
			assert.Empty(t, s)
		}
		wire, err := decodeSplices(encodeSplices(s))
		require.NoError(t, err)
		assert.Equal(t, s, wire)
	})
}

// Randomly altered splices are rejected, or still produce the right text.
func TestApplyRejectsInvalidSplices(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		from, to := drawDocument(t, "from"), drawDocument(t, "to")
		s := encodeSplices(Diff(from, to))
		for range rapid.IntRange(1, 3).Draw(t, "alterations") {
			s = append(s, wireSplice{})
			w := &s[rapid.IntRange(0, len(s)-1).Draw(t, "which")]
			w.Line = rapid.OneOf(rapid.Uint64(), rapid.Uint64Range(0, 50)).Draw(t, "at")
			w.Delete = rapid.OneOf(rapid.Uint64(), rapid.Uint64Range(0, 50)).Draw(t, "delete")
			w.Insert = rapid.SampledFrom([]string{"", "a", "\n", "a\nb\n"}).Draw(t, "insert")
		}
		all, err := decodeSplices(s)
		if err != nil {
			return
		}
		if got, err := from.Apply(all, to.Digest()); err == nil {
			assert.Equal(t, to.Text(), got.Text())
		}
	})
	d := mustParse(t, `{"a":1}`)
	_, err := d.Apply([]Splice{{Line: 1, Insert: []string{"x\ny"}}}, d.Digest())
	require.ErrorIs(t, err, errInvalidSplices, "a line that contains a line end")
	_, err = d.Apply([]Splice{{Insert: []string{strings.Repeat("x", MaxDocumentBytes)}}}, d.Digest())
	require.ErrorIs(t, err, errInvalidSplices, "too long")
	_, err = d.Apply([]Splice{{Line: 1, Delete: 1}}, d.Digest())
	require.ErrorIs(t, err, errDigestMismatch)
}

// Two documents differ in more places than a change may have splices. They are replaced by one splice.
func TestDiffOfManyDifferencesIsOneSplice(t *testing.T) {
	var a, b strings.Builder
	for k := range 3 * maxSplices {
		fmt.Fprintf(&a, "%d\n", k)
		if k%2 == 0 {
			fmt.Fprintf(&b, "%d\n", k)
		} else {
			fmt.Fprintf(&b, "x%d\n", k)
		}
	}
	from, err := newDocument(a.String())
	require.NoError(t, err)
	to, err := newDocument(b.String())
	require.NoError(t, err)
	s := Diff(from, to)
	require.Len(t, s, 1)
	_, err = from.Apply(s, to.Digest())
	require.NoError(t, err)
}

// A change of one tenant of 140,000 is encoded in a frame of under 300 bytes, independent of the size of the document.
func TestChangeOfOneTenantIsSmall(t *testing.T) {
	text := tenantConfiguration(140_000)
	from := mustParse(t, string(text))
	for what, edited := range map[string][]byte{
		"changed": bytes.Replace(text, []byte(`{"name":"tenant-070000","share":63}`), []byte(`{"name":"tenant-070000","share":64}`), 1),
		"added":   bytes.Replace(text, []byte(`{"name":"tenant-070000"`), []byte(`{"name":"tenant-new","share":1},{"name":"tenant-070000"`), 1),
		"last":    bytes.Replace(text, []byte(`]}`), []byte(`,{"name":"tenant-new","share":1}]}`), 1),
		"gone":    bytes.Replace(text, []byte(`{"name":"tenant-070000","share":63},`), nil, 1),
		"both ends": bytes.Replace(bytes.Replace(text, []byte(`"deadline":1500`), []byte(`"deadline":1600`), 1),
			[]byte(`{"name":"tenant-139999"`), []byte(`{"name":"tenant-x"`), 1),
	} {
		to := mustParse(t, string(edited))
		require.NotEqual(t, from.Digest(), to.Digest(), what)
		c := Change{Version: 1300, ID: rand.Uint64(), Digest: to.Digest(), Splices: Diff(from, to), By: "operator@example", Reason: "more room, ticket 4711", ProposedAtMs: float64(time.Now().UnixMilli())}
		f := encodeChange(&c)
		assert.Less(t, len(f), 300, what)
		assert.NotEmpty(t, f, what)
		got, err := decodeChange(f[2:])
		require.NoError(t, err)
		assert.Equal(t, c, got)
		next, err := from.Apply(got.Splices, got.Digest)
		require.NoError(t, err)
		assert.Equal(t, to.Text(), next.Text())
	}
}

func BenchmarkApplyOneTenant(b *testing.B) {
	for _, tenants := range []int{1_000, 10_000, 140_000} {
		text := tenantConfiguration(tenants)
		from := mustParse(b, string(text))
		to := mustParse(b, strings.Replace(string(text), `"share":63}`, `"share":64}`, 1))
		s, want := Diff(from, to), to.Digest()
		b.Run(fmt.Sprintf("apply/tenants=%d", tenants), func(b *testing.B) {
			for b.Loop() {
				if _, err := from.Apply(s, want); err != nil {
					b.Fatal(err)
				}
			}
		})
		b.Run(fmt.Sprintf("diff/tenants=%d", tenants), func(b *testing.B) {
			for b.Loop() {
				Diff(from, to)
			}
		})
		b.Run(fmt.Sprintf("parse/tenants=%d", tenants), func(b *testing.B) {
			for b.Loop() {
				_, _ = Parse(text)
			}
		})
	}
}
