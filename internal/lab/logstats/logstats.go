// Package logstats counts the debug lines of a whole fleet's logs: what no single node can tell of itself.
package logstats

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"maps"
	"regexp"
	"slices"
	"strconv"
	"strings"
)

// Count is what a fleet's nodes wrote of their pushes.
type Count struct {
	Pushes  map[string]int // by how they ended
	Dials   map[string]int // connections opened, by why none that was open served
	GivenUp map[string]int // ops, by the answer and the pushes they had
	Further int            // pushes after an op's first
	Waits   [5]Mean        // of the pushes answered, by how long before its sending this node's last one there met no queue
	Unmet   Mean           // of all others

	rows []row
}

// Mean is a mean with its count.
type Mean struct {
	Sum float64
	N   int
}

func (m *Mean) add(x float64) { m.Sum, m.N = m.Sum+x, m.N+1 }

// Value is the mean, 0 of none.
func (m Mean) Value() float64 { return m.Sum / max(float64(m.N), 1) }

// Ages are the upper ends of the spans of Waits, in ms.
var Ages = [5]float64{50, 100, 200, 400, 1000}

// prompt is a wait, in ms, below which a push met no queue: a way there and back and what hints are off.
const prompt = 15.0

// row is one push that was answered.
type row struct {
	node, backend, kind string
	at, sent, work      float64
}

// New makes a count of nothing.
func New() *Count {
	return &Count{Pushes: map[string]int{}, Dials: map[string]int{}, GivenUp: map[string]int{}}
}

var field = regexp.MustCompile(`([a-z_]+)=("[^"]*"|\S+)`)

// Read takes the log of one node. Lines of other kinds are passed over; a counted one that lacks a field is told.
func (c *Count) Read(node string, log io.Reader) error {
	lines := bufio.NewScanner(log)
	lines.Buffer(nil, 1<<20)
	for number := 1; lines.Scan(); number++ {
		line := map[string]string{}
		for _, f := range field.FindAllStringSubmatch(lines.Text(), -1) {
			line[f[1]] = strings.Trim(f[2], `"`)
		}
		if err := c.take(node, line); err != nil {
			return fmt.Errorf("%s:%d: %w", node, number, err)
		}
	}
	if err := lines.Err(); err != nil {
		return fmt.Errorf("%s: %w", node, err)
	}
	return nil
}

func (c *Count) take(node string, line map[string]string) (err error) {
	number := func(name string) float64 {
		x, e := strconv.ParseFloat(line[name], 64)
		if e != nil {
			err = cmp.Or(err, fmt.Errorf("%s is no number: %q", name, line[name]))
		}
		return x
	}
	switch line["msg"] {
	case "dialing backend":
		why := "none open"
		switch {
		case number("recently_used") > 0:
			why = "all rest"
		case number("calls") > 1:
			why = "all busy"
		}
		c.Dials[why]++
	case "request not served":
		c.GivenUp[fmt.Sprintf("%s after %s attempts", line["answer"], line["attempts"])]++
	case "attempt ended":
		c.Pushes[line["outcome"]]++
		if number("attempt") > 0 {
			c.Further++
		}
		if line["outcome"] == "answered" {
			r := row{node: node, backend: line["backend"], kind: line["kind"], at: number("at_ms"), work: number("cost_hint")}
			r.sent = r.at - number("after_ms")
			if err == nil {
				c.rows = append(c.rows, r)
			}
		}
	}
	return err
}

// Done works out the waits once all logs are read: an answer's time beyond what its kind of machine takes for the work
// without a queue, for which the quarter of the quickest stands.
func (c *Count) Done() {
	paces := map[string][]float64{}
	for _, r := range c.rows {
		if r.work > 0 {
			paces[r.kind] = append(paces[r.kind], (r.at-r.sent)/r.work)
		}
	}
	quick := map[string]float64{}
	for kind, p := range paces {
		slices.Sort(p)
		quick[kind] = p[len(p)/4]
	}
	type seen struct{ at, wait float64 }
	last := map[[2]string][]seen{}
	slices.SortFunc(c.rows, func(a, b row) int { return cmp.Compare(a.at, b.at) })
	for _, r := range c.rows {
		key, wait := [2]string{r.node, r.backend}, max(0, r.at-r.sent-r.work*quick[r.kind])
		met := last[key]
		k, _ := slices.BinarySearchFunc(met, r.sent, func(s seen, at float64) int { return cmp.Compare(s.at, at) })
		into := &c.Unmet
		if k > 0 && met[k-1].wait < prompt {
			for span, most := range Ages {
				if r.sent-met[k-1].at < most {
					into = &c.Waits[span]
					break
				}
			}
		}
		into.add(wait)
		last[key] = append(met, seen{r.at, wait})
	}
}

// Write writes the count as a table.
func (c *Count) Write(out io.Writer) error {
	var b strings.Builder
	table := func(title string, of map[string]int) {
		fmt.Fprintf(&b, "%s\n", title)
		for _, name := range slices.Sorted(maps.Keys(of)) {
			fmt.Fprintf(&b, "  %-34s %7d   %.4f an answer\n", name, of[name], float64(of[name])/float64(max(c.Pushes["answered"], 1)))
		}
	}
	table("pushes", c.Pushes)
	table("connections opened", c.Dials)
	table("ops given up", c.GivenUp)
	fmt.Fprintf(&b, "further pushes %d\nmean wait in ms by how long ago this node's last push there met no queue\n", c.Further)
	for span, most := range Ages {
		fmt.Fprintf(&b, "  under %4.0f ms %7.1f   %7d pushes\n", most, c.Waits[span].Value(), c.Waits[span].N)
	}
	fmt.Fprintf(&b, "  others        %7.1f   %7d pushes\n", c.Unmet.Value(), c.Unmet.N)
	_, err := io.WriteString(out, b.String())
	return err
}
