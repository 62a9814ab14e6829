package capacity

import (
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
)

const (
	notMeasured   = "not measured"
	noLimitStated = "none stated"

	// tableDigits is the number of significant digits of a figure in a table.
	tableDigits = 3
	// farExtrapolation is the extrapolation, as a multiple of the largest size measured, above which tables flag it.
	farExtrapolation = 10.0
)

// FormatNumber writes a figure with three significant digits and separated thousands.
func FormatNumber(x float64) string {
	if math.IsNaN(x) {
		return notMeasured
	}
	if x = roundDigits(x, tableDigits); math.Abs(x) < 1000 {
		return strconv.FormatFloat(x, 'f', -1, 64)
	}
	return groupThousands(strconv.FormatFloat(x, 'f', 0, 64))
}

// groupThousands separates the thousands of a whole number.
func groupThousands(digits string) string {
	for i := len(digits) - 3; i > 0 && digits[i-1] != '-'; i -= 3 {
		digits = digits[:i] + "," + digits[i:]
	}
	return digits
}

// writeTable writes a table in Markdown.
func writeTable(b *strings.Builder, header []string, rows [][]string) {
	writeRow := func(cells []string) {
		b.WriteString("| " + strings.Join(cells, " | ") + " |\n")
	}
	writeRow(header)
	rule := make([]string, len(header))
	for i := range rule {
		rule[i] = "---"
	}
	writeRow(rule)
	for _, row := range rows {
		writeRow(row)
	}
	b.WriteString("\n")
}

// Render returns a result and the costs that follow for a target in Markdown, as docs/CAPACITY.md includes it.
func Render(result *Result, target *Target) string {
	b := &strings.Builder{}
	writeIntroduction(b, result)
	writeSlopes(b, result.Slopes)
	writeTarget(b, target)
	costs := Costs(result.Slopes, target)
	writeCosts(b, costs, result.RowPrefix != "")
	writeOverLimit(b, costs)
	return b.String()
}

func writeIntroduction(b *strings.Builder, result *Result) {
	kind := "Medians of five runs"
	if result.IsQuick {
		kind = "A quick look, no measurement: few runs at small sizes"
	}
	fmt.Fprintf(b, "%s, least and most in brackets; %s, with other work: a load of %s to %s while it ran; all servers simulated.\n"+
		"Costs of processors are processor time. What is marked \"wall\" is time on the wall, in which the machine's other work shows.\n\n",
		kind, result.Machine, FormatNumber(result.Load.Min), FormatNumber(result.Load.Max))
}

func writeSlopes(b *strings.Builder, slopes []*Slope) {
	b.WriteString("### Slopes\n\n")
	var rows [][]string
	for _, slope := range slopes {
		var sizes, values []string
		for _, p := range slope.Points {
			sizes = append(sizes, FormatNumber(p.Size))
			values = append(values, fmt.Sprintf("%s (%s-%s)", FormatNumber(p.Median), FormatNumber(p.Low), FormatNumber(p.High)))
		}
		description := slope.Description
		if slope.IsWallClock {
			description += " (wall)"
		}
		fit := FitPoints(slope.Points)
		rows = append(rows, []string{
			slope.Key,
			description,
			slope.Unit,
			slope.SizeName + " " + strings.Join(sizes, "; "),
			strings.Join(values, "; "),
			fit.Shape.String(),
			fit.String(),
			fmt.Sprintf("%.0f%%", fit.Residual*100),
		})
	}
	writeTable(b, []string{"slope", "what", "unit", "at", "measured", "fitted", "curve", "residual"}, rows)
}

func writeTarget(b *strings.Builder, target *Target) {
	b.WriteString("### The target\n\n")
	var figures []string
	for _, f := range target.figures() {
		figures = append(figures, fmt.Sprintf("%s = %s", f.key, strconv.FormatFloat(f.value, 'f', -1, 64)))
	}
	b.WriteString(strings.Join(figures, ", ") + "\n\n")
}

// writeCosts writes all costs. For a partial result, it leaves out those that were not measured.
func writeCosts(b *strings.Builder, costs []Cost, isPartial bool) {
	b.WriteString("### Roles at the target\n\n")
	var rows [][]string
	for _, c := range costs {
		if isPartial && math.IsNaN(c.Value) {
			continue
		}
		limit, share := noLimitStated, ""
		if c.Limit > 0 {
			limit, share = c.formatLimit(), c.formatShare()
		}
		rows = append(rows, []string{
			c.Role,
			c.Event,
			c.Description,
			c.formatValue(),
			limit,
			share,
			c.formatExtrapolation(),
			c.SlopeKeys,
			c.Mechanism,
		})
	}
	for _, c := range MissingParts() {
		rows = append(rows, []string{c.Role, c.Event, c.Description, "-", "-", "", "", "", c.Mechanism})
	}
	writeTable(b, []string{"role", "event", "what", "at the target", "limit", "share", "extrapolated", "from", "carried by"}, rows)
}

// writeOverLimit writes the costs that exceed their limits, those of wall-clock time in a table of their own.
func writeOverLimit(b *strings.Builder, costs []Cost) {
	over := OverLimit(costs)
	b.WriteString("### What passes its limit\n\n")
	writeRanking(b, over, false)
	b.WriteString("### What passes its limit on the wall\n\nNo verdict where the machine has other work.\n\n")
	writeRanking(b, over, true)
}

// writeRanking writes a numbered table of those costs whose IsWallClock matches.
func writeRanking(b *strings.Builder, costs []Cost, isWallClock bool) {
	var rows [][]string
	for _, c := range costs {
		if c.IsWallClock != isWallClock {
			continue
		}
		rows = append(rows, []string{
			strconv.Itoa(len(rows) + 1),
			c.Role,
			c.Event,
			c.Description,
			c.formatValue(),
			c.formatLimit(),
			FormatNumber(c.LimitShare()) + " x",
			c.formatExtrapolation(),
			c.Mechanism,
		})
	}
	if len(rows) == 0 {
		b.WriteString("Nothing that was measured.\n\n")
		return
	}
	writeTable(b, []string{"", "role", "event", "what", "at the target", "limit", "times", "extrapolated", "carried by"}, rows)
}

// formatLimit writes the limit as it was stated, with all its digits.
func (c Cost) formatLimit() string {
	integer, fraction, hasFraction := strings.Cut(strconv.FormatFloat(c.Limit, 'f', -1, 64), ".")
	text := groupThousands(integer)
	if hasFraction {
		text += "." + fraction
	}
	return text + " " + c.Unit
}

func (c Cost) formatValue() string {
	if math.IsNaN(c.Value) {
		return notMeasured
	}
	return FormatNumber(c.Value) + " " + c.Unit
}

func (c Cost) formatShare() string {
	if math.IsNaN(c.Value) {
		return notMeasured
	}
	if c.ExceedsLimit() {
		return "**" + FormatNumber(c.LimitShare()) + " x**"
	}
	return FormatNumber(c.LimitShare()*100) + "%"
}

// formatExtrapolation describes how far the target lies beyond the measured sizes.
func (c Cost) formatExtrapolation() string {
	text := "no"
	switch {
	case math.IsNaN(c.Value):
		return ""
	case c.Extrapolation > farExtrapolation:
		text = fmt.Sprintf("%.3g x: over 10 times", c.Extrapolation)
	case c.Extrapolation > 1:
		text = fmt.Sprintf("%.3g x", c.Extrapolation)
	}
	if c.IsWallClock {
		text += "; wall"
	}
	return text
}

// Markers between which a page holds the output of Render.
const (
	tablesBegin = "<!-- capacity: as `pearknot-lab capacity --from docs/capacity.json` prints it -->\n"
	tablesEnd   = "<!-- capacity: end -->\n"
)

// ReplaceTables replaces the text between the markers of a page, and also returns the previous text.
func ReplaceTables(page, text string) (changed, previous string, err error) {
	before, rest, hasBegin := strings.Cut(page, tablesBegin)
	previous, after, hasEnd := strings.Cut(rest, tablesEnd)
	if !hasBegin || !hasEnd {
		return "", "", errors.New("the page lacks the begin or end marker of the tables")
	}
	return before + tablesBegin + text + tablesEnd + after, previous, nil
}
