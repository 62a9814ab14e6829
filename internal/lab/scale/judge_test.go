package scale

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
)

func never(string) []Span { return nil }

// What a run may show, and what the judge makes of it: one fault each, and none of the others.
func TestJudge(t *testing.T) {
	const end = 100e3
	good := func() *Judge { // three versions, acknowledged at 1, 2 and 3 s, in force 0.1 s later at ten nodes
		j := NewJudge(2e3, 6e3)
		for v := uint64(1); v <= 3; v++ {
			j.Committed(v, fmt.Sprint("digest ", v))
			j.Acked(v, float64(v)*1e3)
			for n := range 10 {
				j.Saw(fmt.Sprint("n", n), v, fmt.Sprint("digest ", v), float64(v)*1e3+100)
			}
		}
		return j
	}
	f := good().Finish(end, never)
	assert.Empty(t, f.Breaches)
	assert.Equal(t, Finding{Changes: 3, Reachable: Staleness{30, 100, 100, 100}}, f)
	cut := func(node string) []Span {
		if node == "n10" {
			return []Span{{500, 20e3}}
		}
		return nil
	}
	for name, c := range map[string]struct {
		do    func(j *Judge)
		spans func(string) []Span
		want  string // "" is none
	}{
		"a step back":                       {func(j *Judge) { j.Saw("n0", 2, "digest 2", 9e3) }, never, "n0 went back from version 3 to 2"},
		"the same again":                    {func(j *Judge) { j.Saw("n0", 3, "digest 3", 9e3) }, never, ""},
		"another digest at a version":       {func(j *Judge) { j.Saw("n0", 3, "other", 9e3) }, never, "n0 has another version 3 in force: other"},
		"a version that isn't there":        {func(j *Judge) { j.Saw("n0", 4, "digest 3", 9e3) }, never, "n0 has version 4 in force, which was never committed"},
		"a version claimed before it is":    {func(j *Judge) { j.Saw("n10", 3, "digest 2", 2e3) }, never, "n10 has another version 3"},
		"a version whose answer was lost":   {func(j *Judge) { j.Committed(4, "d4"); j.Saw("n0", 4, "d4", 9e3) }, never, ""},
		"two of a version":                  {func(j *Judge) { j.Committed(3, "other") }, never, "version 3 was committed as"},
		"in force before the answer":        {func(j *Judge) { j.Saw("n10", 3, "digest 3", 500) }, never, ""},
		"a version passed over":             {func(j *Judge) { j.Saw("n10", 3, "digest 3", 2900) }, never, ""},
		"over 6 s":                          {func(j *Judge) { j.Saw("n10", 3, "digest 3", 7100) }, never, "n10 had version 1 in force 6.1 s after it could have"},
		"never":                             {func(j *Judge) { j.Node("n10", 0) }, never, "n10 had version"},
		"started later":                     {func(j *Judge) { j.Node("n10", 2e3); j.Saw("n10", 3, "digest 3", 12e3) }, never, ""},
		"started later, and late then":      {func(j *Judge) { j.Node("n10", 0); j.Saw("n10", 1, "digest 1", 2500); j.Saw("n10", 3, "digest 3", 12e3) }, never, "n10 had version 3 in force 9.0 s"},
		"over 2 s at too many":              {func(j *Judge) { j.Saw("n10", 3, "digest 3", 5500) }, never, "99 in 100 changes were in force after 4.50 s"},
		"cut off, and in time after":        {func(j *Judge) { j.Saw("n10", 3, "digest 3", 25.9e3) }, cut, ""},
		"cut off, and late after":           {func(j *Judge) { j.Saw("n10", 3, "digest 3", 26.1e3) }, cut, "n10 had version"},
		"cut off, and in force before":      {func(j *Judge) { j.Saw("n10", 3, "digest 3", 3e3) }, cut, ""},
		"nothing is acknowledged, all well": {func(j *Judge) { clear(j.acked) }, never, "no change was judged"},
	} {
		j := good()
		c.do(j)
		f := j.Finish(end, c.spans)
		if c.want == "" {
			assert.Empty(t, f.Breaches, name)
		} else {
			assert.Contains(t, strings.Join(f.Breaches, "\n"), c.want, name)
		}
	}
	j := good()
	j.Acked(4, end-5e3) // its time isn't over
	f = j.Finish(end, never)
	assert.Empty(t, f.Breaches)
	assert.Equal(t, 3, f.Changes)
	assert.Equal(t, 10, f.Behind)
	// A bound too small for what was measured is no pass.
	j = good()
	j.bound, j.most = 50, 90
	assert.Len(t, j.Finish(end, never).Breaches, 11)
}
