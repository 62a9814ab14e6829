package metrics

import (
	"maps"
	"math"
	"slices"

	"pearknot/internal/lab/experiment"
)

const (
	// loadBinWidth is the width of a level of offered load, as a multiple of the experiment's rate.
	loadBinWidth = 0.05
	// minRampPoints is the minimum number of points of a ramp that goes up and down again.
	minRampPoints = 3
)

// loadBin sums the priority weight of the windows at one level of offered load.
type loadBin struct{ offered, earned float64 }

// newHysteresis sorts the windows by their offered load, those before the ramp's highest point apart from those after
// it.
func newHysteresis(e *experiment.Experiment, windows []Window) *Hysteresis {
	topSeconds := rampTopSeconds(e.Clients.Ramp)
	up, down := map[int]loadBin{}, map[int]loadBin{}
	for _, window := range windows {
		bins := up
		if window.At >= topSeconds {
			bins = down
		}
		middleMs := window.At*1e3 + windowMs/2
		level := int(math.Round(e.LoadMultiple(middleMs) / loadBinWidth))
		bin := bins[level]
		bins[level] = loadBin{bin.offered + window.Offered, bin.earned + window.Earned}
	}
	hysteresis := &Hysteresis{}
	for _, level := range slices.Sorted(maps.Keys(up)) {
		upBin := up[level]
		downBin, isInBoth := down[level]
		if !isInBoth {
			continue
		}
		upService, downService := ratio(upBin.earned, upBin.offered), ratio(downBin.earned, downBin.offered)
		hysteresis.Multiple = append(hysteresis.Multiple, float64(level)*loadBinWidth)
		hysteresis.Up = append(hysteresis.Up, upService)
		hysteresis.Down = append(hysteresis.Down, downService)
		hysteresis.Area += (upService - downService) * loadBinWidth
	}
	return hysteresis
}

// rampTopSeconds returns when a ramp first reaches its highest load.
func rampTopSeconds(ramp [][]float64) float64 {
	top := ramp[0]
	for _, point := range ramp {
		if point[1] > top[1] {
			top = point
		}
	}
	return top[0]
}
