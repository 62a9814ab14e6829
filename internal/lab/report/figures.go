package report

import (
	"fmt"
	"math"
	"slices"

	"gonum.org/v1/plot/plotter"

	"pearknot/internal/lab/metrics"
)

const (
	// noValue marks a window without a value, which is left out of a line. Windows use it too.
	noValue = -1
	// maxServicePlotted leaves a margin above the highest service, 1.
	maxServicePlotted = 1.05
	// maxBusyPlotted leaves a margin above a busy share of 1.
	maxBusyPlotted = 1.1
	// marginFactor leaves a margin above the highest value of other plots.
	marginFactor = 1.1
)

// newFigures draws the plots of a run.
func newFigures(run metrics.Run) ([]figure, error) {
	var figures []figure
	for _, c := range []timeChart{serviceChart(run), latencyChart(run), attemptsChart(run), loadChart(run)} {
		svg, err := renderSVG(c.plot(run))
		if err != nil {
			return nil, err
		}
		figures = append(figures, figure{c.title, svg})
	}
	if h := run.Hysteresis; h != nil && len(h.Multiple) > 1 {
		svg, err := renderSVG(hysteresisPlot(h))
		if err != nil {
			return nil, err
		}
		title := fmt.Sprintf("Service against offered load: area between rising and falling load %.3f", h.Area)
		figures = append(figures, figure{title, svg})
	}
	return figures, nil
}

func serviceChart(run metrics.Run) timeChart {
	lines := []line{newLine(run, "all", func(w metrics.Window) float64 {
		if w.Offered == 0 {
			return noValue
		}
		return w.Earned / w.Offered
	})}
	for i, class := range run.Classes {
		lines = append(lines, newLine(run, class.Name, func(w metrics.Window) float64 {
			if i >= len(w.ServiceByClass) {
				return noValue
			}
			return w.ServiceByClass[i]
		}))
	}
	return timeChart{title: "Service by class", yLabel: "service", lines: lines, maxY: maxServicePlotted}
}

func latencyChart(run metrics.Run) timeChart {
	lines := []line{
		newLine(run, "50%", func(w metrics.Window) float64 { return w.Latencies[0] }),
		newLine(run, "99%", func(w metrics.Window) float64 { return w.Latencies[1] }),
	}
	return timeChart{title: "Latency, from the request's arrival", yLabel: "ms", lines: lines, maxY: highestWithMargin(lines)}
}

func attemptsChart(run metrics.Run) timeChart {
	perRequest := func(count func(metrics.Window) int) func(metrics.Window) float64 {
		return func(w metrics.Window) float64 {
			if w.Requests == 0 {
				return noValue
			}
			return float64(count(w)) / float64(w.Requests)
		}
	}
	lines := []line{
		newLine(run, "attempts", perRequest(func(w metrics.Window) int { return w.Attempts })),
		newLine(run, "cross-zone", perRequest(func(w metrics.Window) int { return w.CrossZone })),
		newLine(run, "rejections", perRequest(func(w metrics.Window) int { return w.Rejected })),
	}
	return timeChart{
		title:  "Attempts, cross-zone attempts and rejections per request",
		yLabel: "per request",
		lines:  lines,
		maxY:   highestWithMargin(lines),
	}
}

func loadChart(run metrics.Run) timeChart {
	// quantile returns a quantile, 0 to 1, over the backends.
	quantile := func(q float64) func(metrics.Window) float64 {
		return func(w metrics.Window) float64 {
			if len(w.BusyShares) == 0 {
				return noValue
			}
			sorted := slices.Sorted(slices.Values(w.BusyShares))
			return sorted[int(q*float64(len(sorted)-1))]
		}
	}
	lines := []line{
		newLine(run, "lowest", quantile(0)),
		newLine(run, "median", quantile(0.5)),
		newLine(run, "highest", quantile(1)),
	}
	return timeChart{title: "Utilization of the backends", yLabel: "busy share", lines: lines, maxY: maxBusyPlotted}
}

// newLine returns a line through a value of each window. Windows for which the value is negative or infinite are left
// out.
func newLine(run metrics.Run, name string, value func(metrics.Window) float64) line {
	l := line{name: name}
	for _, window := range run.Windows {
		if y := value(window); y >= 0 && !math.IsInf(y, 0) {
			l.points = append(l.points, plotter.XY{X: window.At, Y: y})
		}
	}
	return l
}

// highestWithMargin returns the upper end of the y axis for some lines.
func highestWithMargin(lines []line) float64 {
	highest := 1.0
	for _, l := range lines {
		for _, point := range l.points {
			highest = math.Max(highest, point.Y)
		}
	}
	return marginFactor * highest
}
