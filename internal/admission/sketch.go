package admission

import (
	"math"
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

// A sketch counts for any number of addresses in bounded memory (count-min, Cormode and Muthukrishnan 2005): it may tell
// too much, by what shares all four places, never too little. Counts fade: they are kept as of one moment, and all are
// brought down when the scale grows large.
const (
	sketchRows = 4
	sketchCols = 4096
	scaleMost  = 1e12
)

type sketch struct {
	cells [sketchRows][sketchCols]float32
	at    float64 // of scale 1
}

func newSketch() *sketch { return &sketch{} }

func (s *sketch) places(key netip.Prefix) (at [sketchRows]int) {
	b := key.Addr().As16()
	h := xxhash.Sum64(b[:])
	for k := range at { // one hash, two halves (Kirsch and Mitzenmacher 2006)
		at[k] = int((uint32(h) + uint32(k)*uint32(h>>32|1)) % sketchCols)
	}
	return at
}

func (s *sketch) scale(now, half float64) float64 {
	x := math.Exp2(math.Max(now-s.at, 0) / half)
	if x < scaleMost {
		return x
	}
	for k := range s.cells {
		for i := range s.cells[k] {
			s.cells[k][i] = float32(float64(s.cells[k][i]) / x)
		}
	}
	s.at = now
	return 1
}

func (s *sketch) get(now, half float64, key netip.Prefix) float64 {
	least := math.Inf(1)
	scale := s.scale(now, half)
	for k, i := range s.places(key) {
		least = math.Min(least, float64(s.cells[k][i])/scale)
	}
	return least
}

// put sees that an address counts at least so much: whoever forgets it gives its whole count, not what was added.
func (s *sketch) put(now, half float64, key netip.Prefix, count float64) {
	x := float32(count * s.scale(now, half))
	for k, i := range s.places(key) {
		s.cells[k][i] = max(s.cells[k][i], x)
	}
}
