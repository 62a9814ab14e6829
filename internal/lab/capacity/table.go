package capacity

import (
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
)

// Number writes a figure with three digits and its thousands apart.
func Number(x float64) string {
	if math.IsNaN(x) {
		return "not measured"
	}
	if x = short(x); math.Abs(x) < 1000 {
		return strconv.FormatFloat(x, 'f', -1, 64)
	}
	return apart(strconv.FormatFloat(x, 'f', 0, 64))
}

// apart sets a whole number's thousands apart.
func apart(text string) string {
	for k := len(text) - 3; k > 0 && text[k-1] != '-'; k -= 3 {
		text = text[:k] + "," + text[k:]
	}
	return text
}

func short(x float64) float64 {
	x, _ = strconv.ParseFloat(strconv.FormatFloat(x, 'g', 3, 64), 64)
	return x
}

// table writes rows as a page's table.
func table(b *strings.Builder, heads []string, rows [][]string) {
	row := func(cells []string) {
		b.WriteString("| " + strings.Join(cells, " | ") + " |\n")
	}
	row(heads)
	rule := make([]string, len(heads))
	for k := range rule {
		rule[k] = "---"
	}
	row(rule)
	for _, r := range rows {
		row(r)
	}
	b.WriteString("\n")
}

// Render writes a result and what it means for a target, as the page has it.
func Render(r *Result, t *Target) string {
	b := &strings.Builder{}
	kind := "Medians of five runs"
	if r.Quick {
		kind = "A quick look, no measurement: few runs at small sizes"
	}
	fmt.Fprintf(b, "%s, least and most in brackets; %s, with other work: a load of %s to %s while it ran; all servers simulated.\n"+
		"Costs of processors are processor time. What is marked \"wall\" is time on the wall, in which the machine's other work shows.\n\n",
		kind, r.Machine, Number(r.Load.Least), Number(r.Load.Most))
	b.WriteString("### Slopes\n\n")
	var rows [][]string
	for _, s := range r.Slopes {
		var sizes, values []string
		for _, p := range s.Points {
			sizes = append(sizes, Number(p.Size))
			values = append(values, fmt.Sprintf("%s (%s-%s)", Number(p.Median), Number(p.Low), Number(p.High)))
		}
		f, what := FitOf(s.Points), s.What
		if s.Wall {
			what += " (wall)"
		}
		rows = append(rows, []string{s.Key, what, s.Unit, s.By + " " + strings.Join(sizes, "; "), strings.Join(values, "; "), f.Shape.String(),
			f.String(), fmt.Sprintf("%.0f%%", f.Residual*100)})
	}
	table(b, []string{"slope", "what", "unit", "at", "measured", "fitted", "curve", "residual"}, rows)

	b.WriteString("### The target\n\n")
	var figures []string
	for _, x := range t.figures() {
		figures = append(figures, fmt.Sprintf("%s = %s", x.key, strconv.FormatFloat(x.value, 'f', -1, 64)))
	}
	b.WriteString(strings.Join(figures, ", ") + "\n\n")

	b.WriteString("### Roles at the target\n\n")
	costs := Costs(r.Slopes, t)
	rows = nil
	for _, c := range costs {
		if r.Part != "" && math.IsNaN(c.Value) {
			continue
		}
		limit, share := notPlanned, ""
		if c.Limit > 0 {
			limit, share = limitText(c), shareText(c)
		}
		rows = append(rows, []string{c.Role, c.Event, c.What, withUnit(c), limit, share, factorText(c), c.From, c.Mechanism})
	}
	for _, c := range Missing(t) {
		rows = append(rows, []string{c.Role, c.Event, c.What, "-", "-", "", "", "", c.Mechanism})
	}
	table(b, []string{"role", "event", "what", "at the target", "limit", "share", "extrapolated", "from", "carried by"}, rows)

	for _, wall := range []bool{false, true} {
		b.WriteString(map[bool]string{false: "### What passes its limit\n\n",
			true: "### What passes its limit on the wall\n\nNo verdict where the machine has other work.\n\n"}[wall])
		rows = nil
		for _, c := range Ranked(costs) {
			if c.Wall == wall {
				rows = append(rows, []string{strconv.Itoa(len(rows) + 1), c.Role, c.Event, c.What, withUnit(c), limitText(c), Number(c.Share()) + " x",
					factorText(c), c.Mechanism})
			}
		}
		if len(rows) == 0 {
			b.WriteString("Nothing that was measured.\n\n")
		} else {
			table(b, []string{"", "role", "event", "what", "at the target", "limit", "times", "extrapolated", "carried by"}, rows)
		}
	}
	return b.String()
}

// limitText is a limit as it was stated.
func limitText(c Cost) string {
	whole, rest, cut := strings.Cut(strconv.FormatFloat(c.Limit, 'f', -1, 64), ".")
	whole = apart(whole)
	if cut {
		whole += "." + rest
	}
	return whole + " " + c.Unit
}

func withUnit(c Cost) string {
	if math.IsNaN(c.Value) {
		return "not measured"
	}
	return Number(c.Value) + " " + c.Unit
}

func shareText(c Cost) string {
	if math.IsNaN(c.Value) {
		return "not measured"
	}
	if c.Passes() {
		return "**" + Number(c.Share()) + " x**"
	}
	return Number(c.Share()*100) + "%"
}

// factorText tells how far beyond what was measured the target lies.
func factorText(c Cost) string {
	text := "no"
	switch {
	case math.IsNaN(c.Value):
		return ""
	case c.Factor > far:
		text = fmt.Sprintf("%.3g x: over 10 times", c.Factor)
	case c.Factor > 1:
		text = fmt.Sprintf("%.3g x", c.Factor)
	}
	if c.Wall {
		text += "; wall"
	}
	return text
}

// Marks between which a page holds what Render writes.
const (
	pageFrom = "<!-- capacity: as `pearknot-lab capacity --from docs/capacity.json` prints it -->\n"
	pageTo   = "<!-- capacity: end -->\n"
)

// Page puts a text between the marks of a page, and gives what stood there.
func Page(page, text string) (changed, stood string, err error) {
	before, rest, ok := strings.Cut(page, pageFrom)
	stood, after, also := strings.Cut(rest, pageTo)
	if !ok || !also {
		return "", "", errors.New("the page lacks the marks between which the tables stand")
	}
	return before + pageFrom + text + pageTo + after, stood, nil
}
