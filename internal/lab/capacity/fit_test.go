package capacity

import (
	"math"
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

// pointsOf returns points without spread of a cost at some sizes.
func pointsOf(cost func(n float64) float64, sizes ...float64) (points []Point) {
	for _, n := range sizes {
		points = append(points, Point{Size: n, Median: cost(n), Low: cost(n), High: cost(n), Runs: 5})
	}
	return points
}

func TestFitPoints(t *testing.T) {
	for _, c := range []struct {
		name string
		cost func(n float64) float64
		want Shape
	}{
		{"nothing", func(float64) float64 { return 0 }, ShapeConstant},
		{"constant", func(float64) float64 { return 7 }, ShapeConstant},
		{"nearly constant", func(n float64) float64 { return 100 + n/1e6 }, ShapeConstant},
		{"linear", func(n float64) float64 { return 5 + 0.5*n }, ShapeLinear},
		{"linear through 0", func(n float64) float64 { return 3 * n }, ShapeLinear},
		{"n log n", func(n float64) float64 { return 1 + 0.2*n*math.Log2(n) }, ShapeLogLinear},
		{"square", func(n float64) float64 { return 12 + 0.2*n*n }, ShapeSquare},
		{"square on a large base", func(n float64) float64 { return 1e4 + 0.01*n*n }, ShapeSquare},
	} {
		t.Run(c.name, func(t *testing.T) {
			fit := FitPoints(pointsOf(c.cost, 30, 200, 2000, 12000))
			assert.Equal(t, c.want, fit.Shape)
			assert.InDelta(t, c.cost(1e5), fit.At(1e5), 0.05*c.cost(1e5)+1e-9)
			assert.Less(t, fit.Residual, 0.03)
		})
	}
	t.Run("falling", func(t *testing.T) { // a falling line would go below 0 at larger sizes
		fit := FitPoints(pointsOf(func(n float64) float64 { return 1e5 - 7*n }, 30, 200, 2000, 12000))
		assert.Equal(t, ShapeConstant, fit.Shape)
	})
	t.Run("no points", func(t *testing.T) {
		assert.Equal(t, Fit{}, FitPoints(nil))
	})
	t.Run("links as first measured", func(t *testing.T) { // 5 to 60 processes: a square with a base
		fit := FitPoints([]Point{
			{Size: 5, Median: 18},
			{Size: 10, Median: 36},
			{Size: 20, Median: 106},
			{Size: 40, Median: 372},
			{Size: 60, Median: 803},
		})
		assert.Equal(t, ShapeSquare, fit.Shape)
		assert.InDelta(t, 12, fit.Base, 2)
		assert.Less(t, fit.Residual, 0.06)
	})
}

// For any curve with noise of a few percent, the fit stays near the measured points, no part of it is below 0, and the
// unit of the costs does not matter.
func TestFitPointsWithNoise(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		shape := Shape(rapid.IntRange(0, 3).Draw(t, "shape"))
		base := rapid.Float64Range(0, 1e3).Draw(t, "base")
		slope := rapid.Float64Range(1e-6, 1e3).Draw(t, "slope")
		points := pointsOf(func(n float64) float64 {
			return (base + slope*shape.basis(n) + 1e-6) * rapid.Float64Range(0.98, 1.02).Draw(t, "noise")
		}, 10, 100, 1000, 10000)
		fit := FitPoints(points)
		if fit.Base < 0 || fit.Slope < 0 || fit.Residual < 0 || fit.Residual > 0.031 {
			t.Fatalf("%+v", fit)
		}
		for _, p := range points {
			if math.Abs(fit.At(p.Size)-p.Median) > 0.07*p.Median {
				t.Fatalf("%v at %v: %v, measured %v", fit, p.Size, fit.At(p.Size), p.Median)
			}
		}
		var rescaled []Point
		for _, p := range points {
			rescaled = append(rescaled, Point{Size: p.Size, Median: p.Median * 1024})
		}
		other := FitPoints(rescaled)
		if other.Shape != fit.Shape || math.Abs(other.At(500)-1024*fit.At(500)) > 1e-6*other.At(500) {
			t.Fatalf("%v and %v in another unit", fit, other)
		}
	})
}

func TestNewPoint(t *testing.T) {
	want := Point{Size: 8, Median: 3, Low: 1, High: 12350, Runs: 5}
	assert.Equal(t, want, newPoint(8, []float64{3, 1, 12345.6, 2, 9}))
}
