package report

import (
	"bytes"
	"html/template"
	"image/color"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"pearknot/internal/lab/metrics"
)

// Size of a plot.
const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 7 * vg.Centimeter
)

// Width of the lines.
const (
	timeLineWidth       = 1.2 // points
	hysteresisLineWidth = 1.5 // points
)

// Both leave room for the legend at the right end of the x axis.
const (
	timeLegendFactor      = 1.18 // on the time
	hysteresisLegendShare = 0.3  // of the axis's length
)

// windowSeconds is the length of a window.
const windowSeconds = metrics.LoadInterval / 1e3

// lineColors are used in turn.
var lineColors = []color.RGBA{
	{31, 119, 180, 255},
	{214, 90, 30, 255},
	{44, 140, 60, 255},
	{150, 60, 160, 255},
	{120, 90, 40, 255},
	{90, 90, 90, 255},
	{20, 160, 160, 255},
	{200, 40, 90, 255},
}

var faultColor = color.NRGBA{200, 60, 60, 35}

// timeChart is a plot over the time of a run.
type timeChart struct {
	title  string
	yLabel string
	lines  []line
	maxY   float64 // upper end of the y axis, which begins at 0
}

// line is one line of a plot.
type line struct {
	name   string
	points plotter.XYs
}

// plot draws the chart, with the time of each fault in another color. Lines without points are left out.
func (c timeChart) plot(run metrics.Run) *plot.Plot {
	p := plot.New()
	p.X.Label.Text, p.Y.Label.Text = "seconds", c.yLabel
	p.Y.Min = 0
	addFaults(p, run.Faults, c.maxY)
	for i, l := range c.lines {
		addLine(p, l, i, timeLineWidth)
	}
	p.Legend.Top = true
	p.Y.Max, p.X.Min = c.maxY, 0
	if n := len(run.Windows); n > 0 {
		p.X.Max = timeLegendFactor * (run.Windows[n-1].At + windowSeconds)
	}
	return p
}

// addFaults colors the time of each fault, from the x axis up to maxY.
func addFaults(p *plot.Plot, faults []metrics.Recovery, maxY float64) {
	for _, fault := range faults {
		box, err := plotter.NewPolygon(plotter.XYs{
			{X: fault.From, Y: 0},
			{X: fault.To, Y: 0},
			{X: fault.To, Y: maxY},
			{X: fault.From, Y: maxY},
		})
		if err != nil {
			continue // its time is not finite
		}
		box.Color, box.Width = faultColor, 0
		p.Add(box)
	}
}

// addLine adds a line with the color of its number, and its name to the legend. A line without points adds nothing.
func addLine(p *plot.Plot, l line, number int, width float64) {
	if len(l.points) == 0 {
		return
	}
	curve, err := plotter.NewLine(l.points)
	if err != nil {
		return // a point is not finite
	}
	curve.Color, curve.Width = lineColors[number%len(lineColors)], vg.Points(width)
	p.Add(curve)
	if l.name != "" {
		p.Legend.Add(l.name, curve)
	}
}

// hysteresisPlot draws service against offered load, while it rises and while it falls.
func hysteresisPlot(h *metrics.Hysteresis) *plot.Plot {
	p := plot.New()
	p.X.Label.Text, p.Y.Label.Text = "offered load, as a multiple of the experiment's", "service"
	rising, falling := line{name: "load rises"}, line{name: "load falls"}
	for i, multiple := range h.Multiple {
		rising.points = append(rising.points, plotter.XY{X: multiple, Y: h.Up[i]})
		falling.points = append(falling.points, plotter.XY{X: multiple, Y: h.Down[i]})
	}
	addLine(p, rising, 0, hysteresisLineWidth)
	addLine(p, falling, 1, hysteresisLineWidth)
	p.Y.Min, p.Y.Max, p.Legend.Top = 0, maxServicePlotted, true
	p.X.Max += hysteresisLegendShare * (p.X.Max - p.X.Min)
	return p
}

// renderSVG returns a plot as an SVG element to be put into a page.
func renderSVG(p *plot.Plot) (template.HTML, error) {
	canvas := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(canvas))
	var out bytes.Buffer
	if _, err := canvas.WriteTo(&out); err != nil {
		return "", err
	}
	svg := out.Bytes()
	// The canvas writes a whole file; its XML declaration must not stand within a page.
	if start := bytes.Index(svg, []byte("<svg")); start > 0 {
		svg = svg[start:]
	}
	return template.HTML(svg), nil
}
