package capacity

import (
	"math"
	"slices"
)

// estimate is a figure put together from slopes.
type estimate struct {
	value         float64 // NaN where a slope in it was not measured
	extrapolation float64 // the most that a slope in it was extrapolated, as a multiple of its largest size
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

// at is a slope's cost at a size. A slope that was not measured gives NaN, and so does every sum that it is part of.
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

// increase is what a slope adds at a size to its cost at size 0.
func (s slopeSet) increase(key string, size float64) estimate {
	increase := s.at(key, size)
	increase.value -= s.at(key, 0).value
	return increase
}
