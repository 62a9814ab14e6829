package capacity

import (
	"fmt"
	"math"
	"slices"
	"strconv"
)

// Point is what was measured at a size: the median of some runs and the least and most of them.
type Point struct {
	Size   float64 `json:"size"`
	Median float64 `json:"median"`
	Low    float64 `json:"low"`
	High   float64 `json:"high"`
	Runs   int     `json:"runs"`
}

// digits that a figure is kept with; more would be noise.
const digits = 4

// newPoint sums runs up.
func newPoint(size float64, runs []float64) Point {
	all := slices.Sorted(slices.Values(runs))
	return Point{size, rounded(all[len(all)/2]), rounded(all[0]), rounded(all[len(all)-1]), len(all)}
}

func rounded(x float64) float64 {
	x, _ = strconv.ParseFloat(strconv.FormatFloat(x, 'g', digits, 64), 64)
	return x
}

// Shape is how a cost grows.
type Shape int

// Shapes of a cost over the size.
const (
	Constant Shape = iota
	Linear
	LogLinear
	Square
)

func (s Shape) String() string { return [...]string{"constant", "linear", "n log n", "square"}[s] }

func (s Shape) of(n float64) float64 {
	switch s {
	case Linear:
		return n
	case LogLinear:
		return n * math.Log2(max(n, 1))
	case Square:
		return n * n
	default:
		return 0
	}
}

// Fit is a curve through points: Base + Slope x what its shape makes of the size.
type Fit struct {
	Shape    Shape
	Base     float64
	Slope    float64
	Residual float64 // root mean square of what is left, as a share of the points
}

// At is the curve's value.
func (f Fit) At(n float64) float64 { return f.Base + f.Slope*f.Shape.of(n) }

func (f Fit) String() string {
	if f.Shape == Constant {
		return fmt.Sprintf("%.3g", f.Base)
	}
	n := map[Shape]string{Linear: "n", LogLinear: "n log2 n", Square: "n^2"}[f.Shape]
	if f.Base == 0 {
		return fmt.Sprintf("%.3g %s", f.Slope, n)
	}
	return fmt.Sprintf("%.3g + %.3g %s", f.Base, f.Slope, n)
}

const (
	// nearBest is how much more a simpler shape may leave than the best one and still be taken: an exponent that the points
	// don't show must not decide what they cost at a hundred times the size.
	nearBest = 1.25
	// alike is a residual below which a shape fits as well as any: runs on a shared machine are spread by more.
	alike = 0.03
)

// FitOf takes the simplest shape that leaves hardly more than the best. What is left counts as a share of each point, so that
// small sizes weigh as much as large ones; neither base nor slope is below 0, since no cost is.
func FitOf(points []Point) Fit {
	fits := make([]Fit, 0, 4)
	best := math.Inf(1)
	for s := Constant; s <= Square; s++ {
		f := fitted(s, points)
		fits = append(fits, f)
		best = min(best, f.Residual)
	}
	for _, f := range fits {
		if f.Residual <= max(best*nearBest, alike) {
			return f
		}
	}
	return fits[0]
}

// fitted is the weighted least squares of one shape.
func fitted(s Shape, points []Point) Fit {
	weight := weights(points)
	var w, wx, wy, wxx, wxy float64
	for i, p := range points {
		k := weight[i]
		x := s.of(p.Size)
		w, wx, wy, wxx, wxy = w+k, wx+k*x, wy+k*p.Median, wxx+k*x*x, wxy+k*x*p.Median
	}
	f := Fit{Shape: s}
	if w == 0 {
		return f
	}
	f.Base = wy / w
	if d := w*wxx - wx*wx; s != Constant && d > 0 {
		f.Slope = (w*wxy - wx*wy) / d
		f.Base = (wy - f.Slope*wx) / w
		switch {
		case f.Slope < 0:
			f.Base, f.Slope = wy/w, 0
		case f.Base < 0:
			f.Base, f.Slope = 0, wxy/wxx
		}
	}
	left := 0.0
	for i, p := range points {
		d := f.At(p.Size) - p.Median
		left += weight[i] * d * d
	}
	f.Residual = math.Sqrt(left / float64(len(points)))
	return f
}

// leastSeen is the part of the largest point that one of nothing is weighed as: that there was nothing says something.
const leastSeen = 0.05

// weights make what is left at each point a share of it.
func weights(points []Point) []float64 {
	most := 0.0
	for _, p := range points {
		most = max(most, p.Median)
	}
	all := make([]float64, len(points))
	for i, p := range points {
		of := p.Median
		if of <= 0 {
			of = leastSeen * most
		}
		if of > 0 {
			all[i] = 1 / (of * of)
		}
	}
	return all
}

// Slope is one cost by one size.
type Slope struct {
	Key    string  `json:"key"`
	What   string  `json:"what"`
	Unit   string  `json:"unit"`
	By     string  `json:"by"`
	Wall   bool    `json:"wall,omitempty"` // time on the wall
	Points []Point `json:"points"`
}

// Most is the largest size measured.
func (s *Slope) Most() float64 {
	most := 0.0
	for _, p := range s.Points {
		most = max(most, p.Size)
	}
	return most
}

// far is the extrapolation from which a table says so.
const far = 10.0
