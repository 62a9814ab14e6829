package capacity

import (
	"context"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"pearknot/balancer"
	"pearknot/internal/lab/program"
)

var nodeProgram string

// TestMain builds the node that the rigs start.
func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "pearknot-capacity-test")
	if err != nil {
		panic(err)
	}
	if nodeProgram, err = program.Build(context.Background(), dir); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	status := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(status)
}

const targetFile = "../../../experiments/capacity/target.toml"

func curve(of func(n float64) float64, sizes ...float64) (all []Point) {
	for _, n := range sizes {
		all = append(all, Point{Size: n, Median: of(n), Low: of(n), High: of(n), Runs: 5})
	}
	return all
}

func TestFit(t *testing.T) {
	sizes := []float64{30, 200, 2000, 12000}
	for name, c := range map[string]struct {
		of   func(n float64) float64
		want Shape
	}{
		"nothing":           {func(float64) float64 { return 0 }, Constant},
		"constant":          {func(float64) float64 { return 7 }, Constant},
		"nearly constant":   {func(n float64) float64 { return 100 + n/1e6 }, Constant},
		"falling":           {func(n float64) float64 { return 1e5 - 7*n }, Constant}, // no cost falls for ever: no line goes below 0
		"linear":            {func(n float64) float64 { return 5 + 0.5*n }, Linear},
		"through nothing":   {func(n float64) float64 { return 3 * n }, Linear},
		"n log n":           {func(n float64) float64 { return 1 + 0.2*n*math.Log2(n) }, LogLinear},
		"square":            {func(n float64) float64 { return 12 + 0.2*n*n }, Square},
		"square on a large": {func(n float64) float64 { return 1e4 + 0.01*n*n }, Square},
	} {
		f := FitOf(curve(c.of, sizes...))
		assert.Equal(t, c.want, f.Shape, name)
		if name != "falling" {
			assert.InDelta(t, c.of(1e5), f.At(1e5), 0.05*c.of(1e5)+1e-9, name)
			assert.Less(t, f.Residual, 0.03, name)
		}
	}
	assert.Equal(t, Fit{}, FitOf(nil))
	// What the links between 5 to 60 processes cost in the rough look: the square, with a base.
	f := FitOf([]Point{{Size: 5, Median: 18}, {Size: 10, Median: 36}, {Size: 20, Median: 106}, {Size: 40, Median: 372}, {Size: 60, Median: 803}})
	assert.Equal(t, Square, f.Shape)
	assert.InDelta(t, 12, f.Base, 2)
	assert.Less(t, f.Residual, 0.06)
}

// Whatever the curve, noise of a few parts in a hundred leaves its shape's figures near within what was measured, nothing is below
// 0, and the unit of what is measured doesn't matter.
func TestFitOfNoise(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		shape := Shape(rapid.IntRange(0, 3).Draw(t, "shape"))
		base := rapid.Float64Range(0, 1e3).Draw(t, "base")
		slope := rapid.Float64Range(1e-6, 1e3).Draw(t, "slope")
		sizes := []float64{10, 100, 1000, 10000}
		points := curve(func(n float64) float64 {
			return (base + slope*shape.of(n) + 1e-6) * rapid.Float64Range(0.98, 1.02).Draw(t, "noise")
		}, sizes...)
		f := FitOf(points)
		if f.Base < 0 || f.Slope < 0 || f.Residual < 0 || f.Residual > 0.031 {
			t.Fatalf("%+v", f)
		}
		for _, p := range points {
			if math.Abs(f.At(p.Size)-p.Median) > 0.07*p.Median {
				t.Fatalf("%v at %v: %v, measured %v", f, p.Size, f.At(p.Size), p.Median)
			}
		}
		var other []Point
		for _, p := range points {
			other = append(other, Point{Size: p.Size, Median: p.Median * 1024})
		}
		if g := FitOf(other); g.Shape != f.Shape || math.Abs(g.At(500)-1024*f.At(500)) > 1e-6*g.At(500) {
			t.Fatalf("%v and %v in another unit", f, g)
		}
	})
}

func TestNewPoint(t *testing.T) {
	assert.Equal(t, Point{8, 3, 1, 12350, 5}, newPoint(8, []float64{3, 1, 12345.6, 2, 9}))
}

func TestTarget(t *testing.T) {
	got, err := Read(targetFile)
	require.NoError(t, err)
	assert.InDelta(t, 64, got.Requests/got.Nodes, 0, "requests a second a node, at which the rigs ask")
	data, err := os.ReadFile(targetFile)
	require.NoError(t, err)
	text := string(data)
	for _, x := range got.figures() {
		assert.Positive(t, x.value, x.key)
		key := x.key[strings.LastIndexByte(x.key, '.')+1:]
		assert.Contains(t, text, "\n"+key+" = ", "each of the file's keys is in the page")
	}
	change := func(old, new string) string {
		require.Contains(t, text, old)
		return strings.Replace(text, old, new, 1)
	}
	for name, c := range map[string]struct{ text, want string }{
		"unknown key":  {change("nodes = 1500", "nodez = 1500"), "t.toml:4:1: unknown key nodez"},
		"left out":     {change("nodes = 1500", ""), "t.toml:1:1: nodes: 0 is not above 0"},
		"below 0":      {change("nodes = 1500", "nodes = -1"), "t.toml:4:1: nodes: -1 is not above 0"},
		"no number":    {change("nodes = 1500", "nodes = 'many'"), "t.toml:4:9: "},
		"not a number": {change("nodes = 1500", "nodes = nan"), "t.toml:4:1: nodes: NaN is not above 0"},
		"endless":      {change("nodes = 1500", "nodes = inf"), "t.toml:4:1: nodes: +Inf is not above 0"},
		"in a table":   {change("added_ms = 4.9", "added_ms = 0"), "limit.added_ms: 0 is not above 0"},
	} {
		_, err := Decode("t.toml", []byte(c.text))
		require.Error(t, err, name)
		assert.Contains(t, err.Error(), c.want, name)
		assert.NotContains(t, err.Error(), "\n", name)
	}
	_, err = Read("/nowhere")
	assert.ErrorIs(t, err, os.ErrNotExist)
}

func slope(key string, of func(n float64) float64, sizes ...float64) *Slope {
	return &Slope{Key: key, What: "a thing", Unit: "B/s", By: "members", Points: curve(of, sizes...)}
}

func find(t *testing.T, all []Cost, what string) Cost {
	for _, c := range all {
		if c.What == what {
			return c
		}
	}
	require.Fail(t, "no such cost", what)
	return Cost{}
}

func TestCosts(t *testing.T) {
	target, err := Read(targetFile)
	require.NoError(t, err)
	slopes := []*Slope{
		slope("links.bytes", func(n float64) float64 { return 1000 + 2*n*n }, 5, 10, 20, 60),
		slope("node.bytes", func(float64) float64 { return 200 }, 30, 200, 2000, 12000),
		slope("settings.bytes", func(n float64) float64 { return 40 * n }, 10, 1000, 10000, 140000),
	}
	all := Costs(slopes, target)
	links := find(t, all, "links to all other members, sent")
	assert.InDelta(t, 1000+2*1500*1500, links.Value, 100)
	assert.InDelta(t, 25, links.Factor, 1e-9)
	assert.InDelta(t, links.Value/16384, links.Share(), 1e-9)
	assert.True(t, links.Passes())
	assert.Equal(t, "25 x: over 10 times", factorText(links))
	group := find(t, all, "links within a group of 5, sent")
	assert.InDelta(t, 1050, group.Value, 1)
	assert.False(t, group.Passes())
	assert.Equal(t, "no", factorText(group))
	assert.InDelta(t, 40*140000*1300/86400.0, find(t, all, "settings got, whole each time").Value, 1)
	assert.InDelta(t, 40*140000/16384.0, find(t, all, "seconds on the wire at the node's rate").Value, 1e-3)

	lacking := find(t, all, "memory: backends, tenants")
	assert.True(t, math.IsNaN(lacking.Value))
	assert.False(t, lacking.Passes(), "what was not measured passes nothing")
	assert.Equal(t, "not measured", shareText(lacking))
	assert.Equal(t, "start.backends.rss, start.tenants.rss", lacking.From)

	over := Ranked(all)
	require.NotEmpty(t, over)
	assert.Equal(t, links, over[0])
	for k := 1; k < len(over); k++ {
		assert.GreaterOrEqual(t, over[k-1].Share(), over[k].Share())
		assert.Greater(t, over[k].Share(), 1.0)
	}
	target.Limit.Bytes, target.Limit.InForce, target.Limit.Ready = 1e9, 1e9, 1e9
	assert.Empty(t, Ranked(Costs(slopes, target)))
	for _, c := range Missing(target) {
		assert.Equal(t, byMissing, c.Mechanism)
	}
}

func TestNumber(t *testing.T) {
	for want, x := range map[string]float64{"0": 0, "0.00123": 0.0012345, "12.3": 12.345, "123": 123.4, "1,230": 1234.5, "12,300": 12345, "4,500,000": 4501001,
		"-1,230": -1234, "not measured": math.NaN(), "1,000": 999.9} {
		assert.Equal(t, want, Number(x))
	}
}

func TestRender(t *testing.T) {
	target, err := Read(targetFile)
	require.NoError(t, err)
	r := &Result{Machine: "a machine", Load: Load{3, 9}, Slopes: []*Slope{slope("links.bytes", func(n float64) float64 { return 1000 + 2*n*n }, 5, 10, 20, 60)}}
	text := Render(r, target)
	assert.Contains(t, text, "Medians of five runs, least and most in brackets; a machine, with other work: a load of 3 to 9 while it ran; ")
	assert.Contains(t, text, "| links.bytes | a thing | B/s | members 5; 10; 20; 60 | 1,050 (1,050-1,050); 1,200 (1,200-1,200); 1,800 (1,800-1,800); 8,200 (8,200-8,200) | square | 1e+03 + 2 n^2 | 0% |")
	assert.Contains(t, text, "nodes = 1500, backends = 12000, ")
	assert.Contains(t, text, "| 4,500,000 B/s | 16,384 B/s | **275 x** | 25 x: over 10 times | links.bytes | ")
	assert.Contains(t, text, "| 1 | a node, control | quiet | links to all other members, sent | ")
	assert.Contains(t, text, "| 4.9 ms | not measured |")
	r.Part = "links"
	assert.NotContains(t, Render(r, target), "| not measured |", "a part tells of itself alone")
	r.Quick = true
	assert.Contains(t, Render(r, target), "no measurement")

	changed, stood, err := Page("a\n"+pageFrom+"old\n"+pageTo+"b\n", "new\n")
	require.NoError(t, err)
	assert.Equal(t, "old\n", stood)
	assert.Equal(t, "a\n"+pageFrom+"new\n"+pageTo+"b\n", changed)
	for _, bad := range []string{"", "a\n" + pageTo, "a\n" + pageFrom + "old\n"} {
		_, _, err := Page(bad, "new\n")
		assert.Error(t, err, bad)
	}

	file := filepath.Join(t.TempDir(), "r.json")
	require.NoError(t, os.WriteFile(file, r.Text(), 0o600))
	again, err := ReadResult(file)
	require.NoError(t, err)
	assert.Equal(t, r, again)
	for _, bad := range []string{"", "{", `{"slopes":[null]}`, `{"slopes":[{"key":"a"}]}`, `{"slopes":7}`} {
		require.NoError(t, os.WriteFile(file, []byte(bad), 0o600))
		_, err := ReadResult(file)
		assert.Error(t, err, bad)
	}
}

func TestUpdate(t *testing.T) {
	line := func(k float64) func(float64) float64 { return func(n float64) float64 { return k * n } }
	r := &Result{Machine: "m", Load: Load{3, 9}, Slopes: []*Slope{slope("a", line(1), 1, 2), slope("b", line(1), 1, 2)}}
	require.NoError(t, r.Update(&Result{Machine: "m", Part: "b", Load: Load{2, 4}, Slopes: []*Slope{slope("b", line(3), 1, 2), slope("c", line(1), 1, 2)}}))
	assert.Equal(t, &Result{Machine: "m", Load: Load{2, 9}, Slopes: []*Slope{slope("a", line(1), 1, 2), slope("b", line(3), 1, 2), slope("c", line(1), 1, 2)}}, r)
	assert.ErrorContains(t, r.Update(&Result{Machine: "n"}), "measured on n, and what stood on m")
	assert.Error(t, r.Update(&Result{Machine: "m", Quick: true}))
}

// Keys name one slope each, and each key that a cost asks for is some row's.
func TestKeys(t *testing.T) {
	target, err := Read(targetFile)
	require.NoError(t, err)
	there := map[string]bool{}
	for _, p := range probes() {
		assert.GreaterOrEqual(t, len(p.sizes), 4, p.name)
		for _, m := range p.metrics {
			assert.False(t, there[m.key], m.key)
			there[m.key] = true
		}
	}
	for _, c := range Costs(nil, target) {
		for key := range strings.SplitSeq(c.From, ", ") {
			assert.True(t, there[key], "%s: %s", c.What, key)
		}
	}
}

// surely are keys of what is never nothing, however few runs there are and whatever else the machine does.
var surely = []string{"links.bytes", "links.frames", "module.backends.decided", "module.tenants.decided", "instances.decided", "settings.bytes",
	"settings.allocated", "start.backends.ready", "start.backends.rss", "start.tenants.rss", "reload.peak", "list.bytes", "node.calls", "node.bytes",
	"node.change.bytes", "watchers.calls", "watchers.bytes", "watchers.change.bytes", "connections.rss", "waiting.rss", "capture.bytes", "kept.bytes"}

// Each rig stands up, measures and leaves nothing behind; the agent's, which needs the lab's program, is tried where that is.
func TestRigs(t *testing.T) {
	defer goleak.VerifyNone(t)
	t.Setenv("TMPDIR", t.TempDir())
	b := &Bench{Node: []string{nodeProgram, "serve"}, Span: 60 * time.Millisecond, Runs: 1, Quick: true}
	for _, p := range probes() {
		if p.name == "agent" {
			continue
		}
		points, err := p.at(t.Context(), b, 12)
		require.NoError(t, err, p.name)
		require.Len(t, points, len(p.metrics), p.name)
		for k, x := range points {
			assert.False(t, math.IsNaN(x.Median) || math.IsInf(x.Median, 0) || x.Median < 0, p.metrics[k].key)
			assert.InDelta(t, 12, x.Size, 0)
			switch key := p.metrics[k].key; {
			case strings.HasSuffix(key, ".lost"):
				assert.Less(t, x.Median, 1.0, key)
			case slices.Contains(surely, key), strings.HasPrefix(key, "added.") && strings.HasSuffix(key, ".cpu"):
				assert.Positive(t, x.Median, key)
			}
		}
	}
	left, err := os.ReadDir(os.Getenv("TMPDIR"))
	require.NoError(t, err)
	assert.Empty(t, left)
	_, err = Measure(t.Context(), b, "nonsense")
	assert.ErrorIs(t, err, ErrUnknown)
}

func TestBounded(t *testing.T) {
	assert.NoError(t, bounded(10, 10))
	assert.ErrorContains(t, bounded(1e9, 1), "over half of the machine's")
	assert.ErrorContains(t, bounded(1, 1e9), "over half of the machine's")
}

// A node that does not come up is an error that says why, and nothing is left of it.
func TestNoNode(t *testing.T) {
	defer goleak.VerifyNone(t)
	b := &Bench{Node: []string{nodeProgram, "nonsense"}, Runs: 1}
	p, err := newPlace(3, 3, false)
	require.NoError(t, err)
	defer p.close()
	_, err = b.start(t.Context(), p)
	assert.ErrorContains(t, err, "ended before it was ready")
	b.Node = []string{"/nowhere"}
	_, err = b.start(t.Context(), p)
	assert.Error(t, err)
}

// The stand-in tells the whole to whoever holds nothing, then what changed, and counts.
func TestDiscovery(t *testing.T) {
	defer goleak.VerifyNone(t)
	d, err := newDiscovery(3, "127.0.0.1:65000")
	require.NoError(t, err)
	defer d.close()
	whole := d.whole()
	require.Len(t, whole.Targets, 3)
	assert.True(t, whole.All)
	assert.Equal(t, 3, whole.Rev)
	d.change(balancer.BackendRemoved, 1)
	whole = d.whole()
	assert.Len(t, whole.Targets, 2)
	assert.Equal(t, 4, whole.Rev)
	assert.Equal(t, entry{UID: "s-1", Endpoint: "127.0.0.1:65000", AZ: "b", Model: "m", PodGroup: 1, State: "removed", Weight: 1}, d.entries(d.roll.ChangesSince(3))[0])
	assert.Zero(t, d.calls.Load())
}

const (
	pageFile   = "../../../docs/CAPACITY.md"
	resultFile = "../../../docs/capacity.json"
)

// The page holds what the command prints of the file of what was measured, and of the target's file.
func TestPage(t *testing.T) {
	r, err := ReadResult(resultFile)
	require.NoError(t, err)
	assert.False(t, r.Quick, "no quick look is a measurement")
	assert.Empty(t, r.Part, "the page is of all rows")
	target, err := Read(targetFile)
	require.NoError(t, err)
	data, err := os.ReadFile(pageFile)
	require.NoError(t, err)
	assert.Contains(t, strings.Join(strings.Fields(string(data)), " "), fmt.Sprintf("%s nodes before %s backends in %s services, %s routes and %s tenants",
		Number(target.Nodes), Number(target.Backends), Number(target.Services), Number(target.Routes), Number(target.Tenants)), "the target as the page tells it")
	want := Render(r, target)
	_, stood, err := Page(string(data), want)
	require.NoError(t, err)
	assert.Equal(t, want, stood, "run: pearknot-lab capacity --from docs/capacity.json --page docs/CAPACITY.md")

	// What the page tells in words stands in the tables, figure by figure.
	words, _, _ := strings.Cut(string(data), pageFrom)
	_, words, ok := strings.Cut(words, "## 1.")
	require.True(t, ok)
	words, _, ok = strings.Cut(words, "## 4.")
	require.True(t, ok)
	figures := regexp.MustCompile(`(\d[\d,]*(?:\.\d+)?)(?: x\b| MB\b| ms\b| us\b| B/s| bytes|%)`)
	tokens := strings.FieldsFunc(want, func(c rune) bool { return !strings.ContainsRune("0123456789.,", c) })
	all := figures.FindAllStringSubmatch(strings.Join(strings.Fields(words), " "), -1)
	assert.Greater(t, len(all), 30)
	for _, m := range all {
		assert.Contains(t, tokens, m[1], "%q is told in words, and stands in no table", m[0])
	}
	there := map[string]bool{}
	for _, s := range r.Slopes {
		there[s.Key] = true
		assert.GreaterOrEqual(t, len(s.Points), 4, s.Key)
		for _, p := range s.Points {
			assert.Equal(t, 5, p.Runs, s.Key)
		}
	}
	for _, p := range probes() {
		for _, m := range p.metrics {
			assert.True(t, there[m.key], "%s is in the file", m.key)
		}
	}
}
