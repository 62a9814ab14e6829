package experiment

import "math"

// MeanWork returns the mean work of a request over all classes, in ms of a standard core.
func (e *Experiment) MeanWork() float64 {
	work, shares := 0.0, 0.0
	for _, class := range e.Classes {
		work += class.Share * class.WorkMs
		shares += class.Share
	}
	return work / shares
}

// RequestsPerSecond returns the rate of requests, before LoadMultiple and bursts.
func (e *Experiment) RequestsPerSecond() float64 {
	if e.Clients.RequestsPerSecond > 0 {
		return e.Clients.RequestsPerSecond
	}
	return e.Clients.Load * e.Capacity() / e.MeanWork() * msPerSecond
}

// LoadMultiple returns the factor of the ramp and of the day on the rate of requests, at a time in ms.
func (e *Experiment) LoadMultiple(at float64) float64 {
	multiple := 1.0
	if e.Clients.DaySeconds > 0 {
		multiple += e.Clients.DayAmplitude * math.Sin(2*math.Pi*at/msPerSecond/e.Clients.DaySeconds)
	}
	if len(e.Clients.Ramp) == 0 {
		return multiple
	}
	return multiple * rampMultiple(e.Clients.Ramp, at/msPerSecond)
}

// rampMultiple returns a ramp's multiple at a time in seconds. Before its first point and after its last one the ramp is
// level.
func rampMultiple(ramp [][]float64, seconds float64) float64 {
	for i, point := range ramp {
		if seconds >= point[0] {
			continue
		}
		if i == 0 {
			return point[1]
		}
		previous := ramp[i-1]
		return previous[1] + (point[1]-previous[1])*(seconds-previous[0])/(point[0]-previous[0])
	}
	return ramp[len(ramp)-1][1]
}

// MaxLoadMultiple returns an upper bound of LoadMultiple over the whole experiment.
func (e *Experiment) MaxLoadMultiple() float64 {
	highest := 1.0
	for i, point := range e.Clients.Ramp {
		if i == 0 || point[1] > highest {
			highest = point[1]
		}
	}
	return highest * (1 + e.Clients.DayAmplitude)
}
