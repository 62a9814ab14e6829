package capacity

import (
	"math"
	"slices"
)

// estimate is a value computed from slopes.
type estimate struct {
	value         float64 // NaN if one of its slopes was not measured
	extrapolation float64 // the largest extrapolation of its slopes, as a multiple of the largest size measured
	slopeKeys     []string
	isWallClock   bool
}

func (e estimate) plus(other estimate) estimate {
	return estimate{
		value:         e.value + other.value,
		extrapolation: max(e.extrapolation, other.extrapolation),
		slopeKeys:     slices.Concat(e.slopeKeys, other.slopeKeys),
		isWallClock:   e.isWallClock || other.isWallClock,
	}
}

func (e estimate) times(factor float64) estimate {
	e.value *= factor
	return e
}

// slopeSet holds slopes by their keys.
type slopeSet map[string]*Slope

func newSlopeSet(slopes []*Slope) slopeSet {
	set := slopeSet{}
	for _, slope := range slopes {
		set[slope.Key] = slope
	}
	return set
}

// at returns a slope's cost at a size. A slope that was not measured gives NaN, and so does every sum that includes it.
func (s slopeSet) at(key string, size float64) estimate {
	slope, isMeasured := s[key]
	if !isMeasured {
		return estimate{value: math.NaN(), slopeKeys: []string{key}}
	}
	return estimate{
		value:         FitPoints(slope.Points).At(size),
		extrapolation: size / slope.MaxSize(),
		slopeKeys:     []string{key},
		isWallClock:   slope.IsWallClock,
	}
}

// increase returns a slope's cost at a size minus its cost at size 0.
func (s slopeSet) increase(key string, size float64) estimate {
	increase := s.at(key, size)
	increase.value -= s.at(key, 0).value
	return increase
}
