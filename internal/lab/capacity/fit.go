package capacity

import (
	"fmt"
	"math"
	"slices"
	"strconv"
)

// Point holds the median, least and greatest value of the runs at one size.
type Point struct {
	Size   float64 `json:"size"`
	Median float64 `json:"median"`
	Low    float64 `json:"low"`
	High   float64 `json:"high"`
	Runs   int     `json:"runs"`
}

// pointDigits is the number of significant digits of a stored value; more would be noise.
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
	x, _ = strconv.ParseFloat(strconv.FormatFloat(x, 'g', digits, 64), 64) // cannot fail: the text is a formatted number
	return x
}

// Slope is one cost measured at several sizes.
type Slope struct {
	Key         string  `json:"key"`
	Description string  `json:"what"`
	Unit        string  `json:"unit"`
	SizeName    string  `json:"by"`             // what the sizes count
	IsWallClock bool    `json:"wall,omitempty"` // affected by other load on the machine
	Points      []Point `json:"points"`
}

// MaxSize returns the largest size measured.
func (s *Slope) MaxSize() float64 {
	largest := 0.0
	for _, p := range s.Points {
		largest = max(largest, p.Size)
	}
	return largest
}

// Shape is the growth of a cost with the size.
type Shape int

// Shapes, simplest first.
const (
	ShapeConstant Shape = iota
	ShapeLinear
	ShapeLogLinear
	ShapeSquare
)

func (s Shape) String() string { return [...]string{"constant", "linear", "n log n", "square"}[s] }

// formula returns the text form of basis.
func (s Shape) formula() string { return [...]string{"0", "n", "n log2 n", "n^2"}[s] }

// basis computes the function of the size that a curve of this shape multiplies by its slope.
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

// Fit is a curve fitted to points: Base + Slope x basis(size).
type Fit struct {
	Shape    Shape
	Base     float64
	Slope    float64
	Residual float64 // root mean square of the differences, each relative to its point
}

// At returns the curve's value at a size.
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
	// simplerShapeTolerance is the largest ratio of a simpler shape's residual to the best one at which the simpler shape is
	// preferred: an exponent that the points don't support must not decide the cost at a hundred times the size.
	simplerShapeTolerance = 1.25
	// noiseResidual is the residual below which all shapes fit equally well: runs on a shared machine vary by more.
	noiseResidual = 0.03
)

// FitPoints fits the simplest shape whose residual is close to the best one's. Differences are relative to each point, so
// that small sizes weigh as much as large ones; neither base nor slope is below 0, since no cost is.
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

// zeroPointShare is the share of the largest point that sets the weight of a point of 0. Its own value would give it no
// finite weight, and leaving it out would lose the fact that the cost was 0 at its size.
const zeroPointShare = 0.05

// pointWeights returns weights that make the difference at each point relative to the point.
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
