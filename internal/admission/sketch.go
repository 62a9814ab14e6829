package admission

import (
	"math"
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

const (
	sketchRows    = 4
	sketchColumns = 4096

	// maxSketchScale is the scale at which all cells are rescaled, so that they do not overflow float32.
	maxSketchScale = 1e12
)

// countMinSketch keeps decaying counts for any number of sources in bounded memory (Cormode and Muthukrishnan, "An
// improved data stream summary: the count-min sketch", 2005). A count is never too low. It is too high if each of the
// source's cells is shared with another source.
//
// All counts decay at the same rate, so instead of updating all cells the scale grows: a count of x now is stored as x times
// the scale.
type countMinSketch struct {
	cells    [sketchRows][sketchColumns]float32
	scaledAt float64 // ms; when the scale was 1
}

func newCountMinSketch() *countMinSketch { return &countMinSketch{} }

// columns returns the columns of a source's cells, one per row. All are derived from one hash (Kirsch and Mitzenmacher, "Less
// hashing, same performance", 2006).
func (s *countMinSketch) columns(prefix netip.Prefix) (columns [sketchRows]int) {
	address := prefix.Addr().As16()
	hash := xxhash.Sum64(address[:])
	first, second := uint32(hash), uint32(hash>>32|1)
	for row := range columns {
		columns[row] = int((first + uint32(row)*second) % sketchColumns)
	}
	return columns
}

// scale returns the scale as of now. If it has reached maxSketchScale, scale first rescales all cells and restarts it at 1.
func (s *countMinSketch) scale(now, halfLife float64) float64 {
	scale := math.Exp2(math.Max(now-s.scaledAt, 0) / halfLife)
	if scale < maxSketchScale {
		return scale
	}
	for row := range s.cells {
		for column := range s.cells[row] {
			s.cells[row][column] = float32(float64(s.cells[row][column]) / scale)
		}
	}
	s.scaledAt = now
	return 1
}

// get returns a source's count.
func (s *countMinSketch) get(now, halfLife float64, prefix netip.Prefix) float64 {
	scale := s.scale(now, halfLife)
	count := math.Inf(1)
	for row, column := range s.columns(prefix) {
		count = math.Min(count, float64(s.cells[row][column])/scale)
	}
	return count
}

// raise sets a source's count to at least count. Callers pass a source's total count, not an increment.
func (s *countMinSketch) raise(now, halfLife float64, prefix netip.Prefix, count float64) {
	scaled := float32(count * s.scale(now, halfLife))
	for row, column := range s.columns(prefix) {
		s.cells[row][column] = max(s.cells[row][column], scaled)
	}
}
