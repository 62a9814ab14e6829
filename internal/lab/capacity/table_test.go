package capacity

import (
	"fmt"
	"math"
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestFormatNumber(t *testing.T) {
	for want, x := range map[string]float64{
		"0":            0,
		"0.00123":      0.0012345,
		"12.3":         12.345,
		"123":          123.4,
		"1,230":        1234.5,
		"12,300":       12345,
		"4,500,000":    4501001,
		"-1,230":       -1234,
		"not measured": math.NaN(),
		"1,000":        999.9,
	} {
		assert.Equal(t, want, FormatNumber(x))
	}
}

func TestRender(t *testing.T) {
	target := readTarget(t)
	result := &Result{Machine: "a machine", Load: Load{Min: 3, Max: 9}, Slopes: []*Slope{newLinksSlope()}}
	text := Render(result, target)
	assert.Contains(t, text, "Medians of five runs, least and most in brackets; a machine, with other work: a load of 3 to 9 while it ran; ")
	assert.Contains(t, text, "| links.bytes | a thing | B/s | members 5; 10; 20; 60 | "+
		"1,050 (1,050-1,050); 1,200 (1,200-1,200); 1,800 (1,800-1,800); 8,200 (8,200-8,200) | square | 1e+03 + 2 n^2 | 0% |")
	assert.Contains(t, text, "nodes = 1500, backends = 12000, ")
	assert.Contains(t, text, "| 4,500,000 B/s | 16,384 B/s | **275 x** | 25 x: over 10 times | links.bytes | ")
	assert.Contains(t, text, "| 1 | a node, control | quiet | links to all other members, sent | ")
	assert.Contains(t, text, "| 4.9 ms | not measured |")
	result.RowPrefix = "links"
	assert.NotContains(t, Render(result, target), "| not measured |", "a partial result lists only the costs it measured")
	result.IsQuick = true
	assert.Contains(t, Render(result, target), "no measurement")
}

func TestReplaceTables(t *testing.T) {
	changed, previous, err := ReplaceTables("a\n"+tablesBegin+"old\n"+tablesEnd+"b\n", "new\n")
	require.NoError(t, err)
	assert.Equal(t, "old\n", previous)
	assert.Equal(t, "a\n"+tablesBegin+"new\n"+tablesEnd+"b\n", changed)
	for _, page := range []string{"", "a\n" + tablesEnd, "a\n" + tablesBegin + "old\n"} {
		_, _, err := ReplaceTables(page, "new\n")
		assert.Error(t, err, page)
	}
}

const (
	pageFile   = "../../../docs/CAPACITY.md"
	resultFile = "../../../docs/capacity.json"
)

// The page holds the command's output for the file of measured slopes and the target's file.
func TestPageHasTables(t *testing.T) {
	result, err := ReadResult(resultFile)
	require.NoError(t, err)
	assert.False(t, result.IsQuick, "a quick run is not a valid measurement")
	assert.Empty(t, result.RowPrefix, "the page covers all rows")
	target := readTarget(t)
	data, err := os.ReadFile(pageFile)
	require.NoError(t, err)
	page := string(data)
	sentence := fmt.Sprintf("%s nodes before %s backends in %s services, %s routes and %s tenants", FormatNumber(target.Nodes),
		FormatNumber(target.Backends), FormatNumber(target.Services), FormatNumber(target.Routes), FormatNumber(target.Tenants))
	assert.Contains(t, joinLines(page), sentence, "the target as the page states it")
	want := Render(result, target)
	_, previous, err := ReplaceTables(page, want)
	require.NoError(t, err)
	assert.Equal(t, want, previous, "run: pearknot-lab capacity --from docs/capacity.json --page docs/CAPACITY.md")
	requireFiguresInTables(t, page, want)
	isMeasured := map[string]bool{}
	for _, slope := range result.Slopes {
		isMeasured[slope.Key] = true
		assert.GreaterOrEqual(t, len(slope.Points), 4, slope.Key)
		for _, p := range slope.Points {
			assert.Equal(t, 5, p.Runs, slope.Key)
		}
	}
	for _, m := range allMeasurements() {
		for _, metric := range m.metrics {
			assert.True(t, isMeasured[metric.key], "%s is in the file", metric.key)
		}
	}
}

// requireFiguresInTables requires that each figure with a unit in the page's text, from section 1 until section 4, is
// also in the tables.
func requireFiguresInTables(t *testing.T, page, tables string) {
	t.Helper()
	text, _, _ := strings.Cut(page, tablesBegin)
	_, text, ok := strings.Cut(text, "## 1.")
	require.True(t, ok)
	text, _, ok = strings.Cut(text, "## 4.")
	require.True(t, ok)
	figurePattern := regexp.MustCompile(`(\d[\d,]*(?:\.\d+)?)(?: x\b| MB\b| ms\b| us\b| B/s| bytes|%)`)
	figures := figurePattern.FindAllStringSubmatch(joinLines(text), -1)
	assert.Greater(t, len(figures), 30)
	tableNumbers := strings.FieldsFunc(tables, func(c rune) bool { return !strings.ContainsRune("0123456789.,", c) })
	for _, figure := range figures {
		assert.Contains(t, tableNumbers, figure[1], "%q is in the page's text but in no table", figure[0])
	}
}

func joinLines(text string) string { return strings.Join(strings.Fields(text), " ") }
