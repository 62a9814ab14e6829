// Package report writes a result to a directory and makes a page of it that needs nothing else: plots are drawn into
// the page.
package report

import (
	"bytes"
	"encoding/json"
	"fmt"
	"html/template"
	"image/color"
	"math"
	"os"
	"path/filepath"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"pearknot/internal/lab/metrics"
)

// Names of the files in a result's directory.
const (
	ResultFile = "result.json"
	PageFile   = "report.html"
	EventsFile = "events.jsonl.zst"
)

// Write puts result.json into a directory, which is made where it isn't there.
func Write(dir string, r metrics.Result) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	data, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(dir, ResultFile), append(data, '\n'), 0o644)
}

// Read reads a directory's result; one of another version is refused.
func Read(dir string) (r metrics.Result, err error) {
	name := filepath.Join(dir, ResultFile)
	data, err := os.ReadFile(name)
	if err != nil {
		return r, err
	}
	d := json.NewDecoder(bytes.NewReader(data))
	if err := d.Decode(&r); err != nil {
		return r, fmt.Errorf("%s: byte %d: %w", name, d.InputOffset(), err)
	}
	if r.Version != metrics.Version {
		return r, fmt.Errorf("%s: version %d, this program reads %d", name, r.Version, metrics.Version)
	}
	if len(r.Runs) == 0 {
		return r, fmt.Errorf("%s: no runs", name)
	}
	return r, nil
}

// Page writes report.html beside the result.
func Page(dir string, r metrics.Result) error {
	data, err := Render(r)
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(dir, PageFile), data, 0o644)
}

type figure struct {
	Title string
	SVG   template.HTML
}

type section struct {
	Run     metrics.Run
	Figures []figure
}

// Render makes the page.
func Render(r metrics.Result) ([]byte, error) {
	var sections []section
	for _, run := range r.Runs {
		s := section{Run: run}
		for _, f := range figures(run) {
			svg, err := drawn(f.plot)
			if err != nil {
				return nil, err
			}
			s.Figures = append(s.Figures, figure{f.title, svg})
		}
		sections = append(sections, s)
	}
	var out bytes.Buffer
	err := page.Execute(&out, map[string]any{"R": r, "Sections": sections, "Kept": r.AllRulesKept()})
	return out.Bytes(), err
}

type titled struct {
	title string
	plot  *plot.Plot
}

var hues = []color.RGBA{{31, 119, 180, 255}, {214, 90, 30, 255}, {44, 140, 60, 255}, {150, 60, 160, 255}, {120, 90, 40, 255},
	{90, 90, 90, 255}, {20, 160, 160, 255}, {200, 40, 90, 255}}

func figures(run metrics.Run) []titled {
	var all []titled
	add := func(title, y string, lines []line, top float64) {
		p := plot.New()
		p.X.Label.Text, p.Y.Label.Text = "seconds", y
		p.Y.Min = 0
		shade(p, run, top)
		for i, l := range lines {
			if len(l.points) == 0 {
				continue
			}
			curve, err := plotter.NewLine(l.points)
			if err != nil {
				continue // no finite point: nothing to draw
			}
			curve.Color, curve.Width = hues[i%len(hues)], vg.Points(1.2)
			p.Add(curve)
			if l.name != "" {
				p.Legend.Add(l.name, curve)
			}
		}
		p.Legend.Top = true
		p.Y.Max, p.X.Min = top, 0
		if n := len(run.Windows); n > 0 {
			p.X.Max = 1.18 * (run.Windows[n-1].At + 0.5) // room for the legend
		}
		all = append(all, titled{title, p})
	}
	series := func(name string, of func(metrics.Window) float64) line {
		l := line{name: name}
		for _, w := range run.Windows {
			if y := of(w); y >= 0 && !math.IsInf(y, 0) {
				l.points = append(l.points, plotter.XY{X: w.At, Y: y})
			}
		}
		return l
	}
	service := []line{series("all", func(w metrics.Window) float64 {
		if w.Offered == 0 {
			return -1
		}
		return w.Earned / w.Offered
	})}
	for k, c := range run.Classes {
		service = append(service, series(c.Name, func(w metrics.Window) float64 {
			if k >= len(w.ServiceByClass) {
				return -1
			}
			return w.ServiceByClass[k]
		}))
	}
	add("Service by category", "service", service, 1.05)
	times := []line{series("50 of 100", func(w metrics.Window) float64 { return w.Latencies[0] }),
		series("99 of 100", func(w metrics.Window) float64 { return w.Latencies[1] })}
	add("Answer times, from the intended sending", "ms", times, highest(times))
	perOp := func(of func(metrics.Window) int) func(metrics.Window) float64 {
		return func(w metrics.Window) float64 {
			if w.Requests == 0 {
				return -1
			}
			return float64(of(w)) / float64(w.Requests)
		}
	}
	pushes := []line{series("pushes", perOp(func(w metrics.Window) int { return w.Attempts })),
		series("crossings", perOp(func(w metrics.Window) int { return w.CrossZone })),
		series("nacks", perOp(func(w metrics.Window) int { return w.Rejected }))}
	add("Pushes, crossings and nacks an op", "an op", pushes, highest(pushes))
	load := func(share float64) func(metrics.Window) float64 {
		return func(w metrics.Window) float64 {
			if len(w.BusyShares) == 0 {
				return -1
			}
			x := slices.Sorted(slices.Values(w.BusyShares))
			return x[int(share*float64(len(x)-1))]
		}
	}
	add("Backends' load: least, middle, most", "busy share", []line{series("least", load(0)), series("middle", load(0.5)),
		series("most", load(1))}, 1.1)
	if l := run.Hysteresis; l != nil && len(l.Multiple) > 1 {
		p := plot.New()
		p.X.Label.Text, p.Y.Label.Text = "offered load, multiple", "service"
		for i, side := range [][]float64{l.Up, l.Down} {
			var points plotter.XYs
			for k, m := range l.Multiple {
				points = append(points, plotter.XY{X: m, Y: side[k]})
			}
			if curve, err := plotter.NewLine(points); err == nil {
				curve.Color, curve.Width = hues[i], vg.Points(1.5)
				p.Add(curve)
				p.Legend.Add([]string{"on the way up", "on the way down"}[i], curve)
			}
		}
		p.Y.Min, p.Y.Max, p.Legend.Top = 0, 1.05, true
		p.X.Max += 0.3 * (p.X.Max - p.X.Min) // room for the legend
		all = append(all, titled{fmt.Sprintf("Service against offered load, both ways: area %.3f", l.Area), p})
	}
	return all
}

type line struct {
	name   string
	points plotter.XYs
}

func highest(lines []line) float64 {
	top := 1.0
	for _, l := range lines {
		for _, p := range l.points {
			top = math.Max(top, p.Y)
		}
	}
	return 1.1 * top
}

// shade marks the troubles' spans.
func shade(p *plot.Plot, run metrics.Run, top float64) {
	for _, t := range run.Faults {
		box, err := plotter.NewPolygon(plotter.XYs{{X: t.From, Y: 0}, {X: t.To, Y: 0}, {X: t.To, Y: top}, {X: t.From, Y: top}})
		if err != nil {
			continue
		}
		box.Color, box.Width = color.NRGBA{200, 60, 60, 35}, 0
		p.Add(box)
	}
}

func drawn(p *plot.Plot) (template.HTML, error) {
	c := vgsvg.New(18*vg.Centimeter, 7*vg.Centimeter)
	p.Draw(draw.New(c))
	var out bytes.Buffer
	if _, err := c.WriteTo(&out); err != nil {
		return "", err
	}
	svg := out.Bytes()
	if at := bytes.Index(svg, []byte("<svg")); at > 0 { // the head of a file of its own
		svg = svg[at:]
	}
	return template.HTML(svg), nil
}

var page = template.Must(template.New("page").Funcs(template.FuncMap{"pct": func(x float64) string { return fmt.Sprintf("%.3f", x) },
	"ms": func(x float64) string { return fmt.Sprintf("%.0f", x) }}).Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>{{.R.Experiment}}, {{.R.Policy}}</title>
<style>body{font:15px/1.45 sans-serif;max-width:56em;margin:2em auto;padding:0 1em;color:#222}
table{border-collapse:collapse;margin:1em 0}td,th{border:1px solid #bbb;padding:.25em .6em;text-align:right}
td:first-child,th:first-child{text-align:left}.broken{color:#b00;font-weight:bold}pre{background:#f4f4f4;padding:1em;overflow:auto}
svg{width:100%;height:auto}</style></head><body>
<h1>{{.R.Experiment}}: {{.R.Policy}}, {{.R.Host}}</h1><p>{{.R.About}}</p>
<p>{{.R.Nodes}} nodes, {{.R.Backends}} backends, {{.R.Seconds}} s; service {{.R.Service}} over {{.R.Service.N}} seeds (mean, 95% interval).
Backends, clients and list are stand-ins. <span {{if not .Kept}}class="broken"{{end}}>{{if .Kept}}All rules kept.{{else}}Rules broken.{{end}}</span></p>
{{range .Sections}}<h2>Seed {{.Run.Seed}}</h2>
<table><tr><th>service</th><th>worst 10 s</th><th>requests</th><th>attempts per request</th><th>sends per request</th><th>cross-zone attempts per request</th><th>wasted work</th><th>herding</th></tr>
<tr><td>{{pct .Run.Service}}</td><td>{{pct .Run.Worst10}}</td><td>{{.Run.Requests}}</td><td>{{pct .Run.AttemptsPerRequest}}</td><td>{{pct .Run.SendsPerRequest}}</td><td>{{pct .Run.CrossZonePerRequest}}</td><td>{{pct .Run.WastedWork}}</td><td>{{pct .Run.HerdingP99}}</td></tr></table>
<table><tr><th>class</th><th>requests</th><th>service</th><th>50%, ms</th><th>90%</th><th>99%</th><th>99.9%</th></tr>
{{range .Run.Classes}}<tr><td>{{.Name}}</td><td>{{.Requests}}</td><td>{{pct .Service}}</td>{{range .Latencies}}<td>{{ms .}}</td>{{end}}</tr>{{end}}</table>
{{if .Run.Faults}}<table><tr><th>fault</th><th>from, s</th><th>to</th><th>service before</th><th>worst</th><th>recovered after, s</th><th>lost weight</th></tr>
{{range .Run.Faults}}<tr><td>{{.Kind}}</td><td>{{.From}}</td><td>{{.To}}</td><td>{{pct .ServiceBefore}}</td><td>{{pct .WorstService}}</td><td>{{if lt .RecoverySeconds 0.0}}never{{else}}{{pct .RecoverySeconds}}{{end}}</td><td>{{ms .LostWeight}}</td></tr>{{end}}</table>{{end}}
<p {{if not .Run.Verdict.Kept}}class="broken"{{end}}>{{.Run.Verdict.Text}}</p>{{range .Run.Verdict.Evidence}}<pre>{{.}}</pre>{{end}}
{{range .Figures}}<h3>{{.Title}}</h3>{{.SVG}}{{end}}{{end}}</body></html>
`))
