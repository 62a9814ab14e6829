package capacity

import (
	"fmt"
	"math"
	"slices"
	"strconv"
)

// Point is what was measured at one size: the median, least and greatest value of some runs.
type Point struct {
	Size   float64 `json:"size"`
	Median float64 `json:"median"`
	Low    float64 `json:"low"`
	High   float64 `json:"high"`
	Runs   int     `json:"runs"`
}

// pointDigits are the significant digits of a stored value; more would be noise.
const pointDigits = 4

// newPoint summarizes the values of some runs.
func newPoint(size float64, runs []float64) Point {
	sorted := slices.Sorted(slices.Values(runs))
	return Point{
		Size:   size,
		Median: roundDigits(sorted[len(sorted)/2], pointDigits),
		Low:    roundDigits(sorted[0], pointDigits),
		High:   roundDigits(sorted[len(sorted)-1], pointDigits),
		Runs:   len(sorted),
	}
}

// roundDigits rounds to a number of significant digits.
func roundDigits(x float64, digits int) float64 {
	x, _ = strconv.ParseFloat(strconv.FormatFloat(x, 'g', digits, 64), 64) // of a number's own text
	return x
}

// Slope is one cost measured at several sizes.
type Slope struct {
	Key         string  `json:"key"`
	Description string  `json:"what"`
	Unit        string  `json:"unit"`
	SizeName    string  `json:"by"`             // what the sizes count
	IsWallClock bool    `json:"wall,omitempty"` // the machine's other work shows in it
	Points      []Point `json:"points"`
}

// MaxSize is the largest size measured.
func (s *Slope) MaxSize() float64 {
	largest := 0.0
	for _, p := range s.Points {
		largest = max(largest, p.Size)
	}
	return largest
}

// Shape is how a cost grows with the size.
type Shape int

// Shapes, simplest first.
const (
	ShapeConstant Shape = iota
	ShapeLinear
	ShapeLogLinear
	ShapeSquare
)

func (s Shape) String() string { return [...]string{"constant", "linear", "n log n", "square"}[s] }

// formula is the text of what basis computes.
func (s Shape) formula() string { return [...]string{"0", "n", "n log2 n", "n^2"}[s] }

// basis is the function of the size that a curve of this shape multiplies by its slope.
func (s Shape) basis(n float64) float64 {
	switch s {
	case ShapeLinear:
		return n
	case ShapeLogLinear:
		return n * math.Log2(max(n, 1))
	case ShapeSquare:
		return n * n
	default:
		return 0
	}
}

// Fit is a curve through points: Base + Slope x basis(size).
type Fit struct {
	Shape    Shape
	Base     float64
	Slope    float64
	Residual float64 // root mean square of the differences, each as a share of its point
}

// At is the curve's value.
func (f Fit) At(n float64) float64 { return f.Base + f.Slope*f.Shape.basis(n) }

func (f Fit) String() string {
	switch {
	case f.Shape == ShapeConstant:
		return fmt.Sprintf("%.3g", f.Base)
	case f.Base == 0:
		return fmt.Sprintf("%.3g %s", f.Slope, f.Shape.formula())
	default:
		return fmt.Sprintf("%.3g + %.3g %s", f.Base, f.Slope, f.Shape.formula())
	}
}

const (
	// simplerShapeTolerance is how many times the best shape's residual a simpler shape may have and still be preferred:
	// an exponent that the points don't show must not decide what they cost at a hundred times the size.
	simplerShapeTolerance = 1.25
	// noiseResidual is a residual below which a shape fits as well as any: runs on a shared machine vary by more.
	noiseResidual = 0.03
)

// FitPoints fits the simplest shape whose residual is hardly larger than the best one's. Differences count as shares of
// each point, so that small sizes weigh as much as large ones; neither base nor slope is below 0, since no cost is.
func FitPoints(points []Point) Fit {
	var fits []Fit
	best := math.Inf(1)
	for shape := ShapeConstant; shape <= ShapeSquare; shape++ {
		fit := leastSquares(shape, points)
		fits = append(fits, fit)
		best = min(best, fit.Residual)
	}
	for _, fit := range fits {
		if fit.Residual <= max(best*simplerShapeTolerance, noiseResidual) {
			return fit
		}
	}
	return fits[0]
}

// leastSquares fits one shape by weighted least squares.
func leastSquares(shape Shape, points []Point) Fit {
	weights := pointWeights(points)
	var sumW, sumX, sumY, sumXX, sumXY float64 // weighted sums
	for i, p := range points {
		w, x, y := weights[i], shape.basis(p.Size), p.Median
		sumW += w
		sumX += w * x
		sumY += w * y
		sumXX += w * x * x
		sumXY += w * x * y
	}
	fit := Fit{Shape: shape}
	if sumW == 0 {
		return fit
	}
	fit.Base = sumY / sumW
	if determinant := sumW*sumXX - sumX*sumX; shape != ShapeConstant && determinant > 0 {
		fit.Slope = (sumW*sumXY - sumX*sumY) / determinant
		fit.Base = (sumY - fit.Slope*sumX) / sumW
		switch {
		case fit.Slope < 0:
			fit.Base, fit.Slope = sumY/sumW, 0
		case fit.Base < 0:
			fit.Base, fit.Slope = 0, sumXY/sumXX
		}
	}
	squares := 0.0
	for i, p := range points {
		difference := fit.At(p.Size) - p.Median
		squares += weights[i] * difference * difference
	}
	fit.Residual = math.Sqrt(squares / float64(len(points)))
	return fit
}

// zeroPointShare is the share of the largest point by which a point of 0 is weighed. Its own value would give it no
// finite weight, and to leave it out would lose that nothing was spent at its size.
const zeroPointShare = 0.05

// pointWeights make the difference at each point count as a share of the point.
func pointWeights(points []Point) []float64 {
	largest := 0.0
	for _, p := range points {
		largest = max(largest, p.Median)
	}
	weights := make([]float64, len(points))
	for i, p := range points {
		scale := p.Median
		if scale <= 0 {
			scale = zeroPointShare * largest
		}
		if scale > 0 {
			weights[i] = 1 / (scale * scale)
		}
	}
	return weights
}
