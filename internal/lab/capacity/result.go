package capacity

import (
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
)

// Result holds measured slopes and the conditions under which they were measured.
type Result struct {
	Machine   string   `json:"machine"`
	IsQuick   bool     `json:"quick,omitempty"` // few runs at small sizes, not a valid measurement
	RowPrefix string   `json:"part,omitempty"`  // of the names of the measured rows; empty for all rows
	Load      Load     `json:"load"`
	Slopes    []*Slope `json:"slopes"`
}

// Load is the range of the machine's load average, from all processes including this one, sampled at the end of each row.
type Load struct {
	Min float64 `json:"Least"`
	Max float64 `json:"Most"`
}

// observe extends the range by the load of the last minute, if the system reports it.
func (l *Load) observe() {
	text, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return
	}
	lastMinute, _, _ := strings.Cut(string(text), " ")
	load, err := strconv.ParseFloat(lastMinute, 64)
	if err != nil {
		return
	}
	if l.Min == 0 || load < l.Min {
		l.Min = load
	}
	l.Max = max(l.Max, load)
}

// ReadResult reads a file with the output of Encode.
func ReadResult(name string) (*Result, error) {
	data, err := os.ReadFile(name)
	if err != nil {
		return nil, err
	}
	result := &Result{}
	if err := json.Unmarshal(data, result); err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	for _, slope := range result.Slopes {
		if slope == nil || slope.Key == "" || len(slope.Points) == 0 {
			return nil, fmt.Errorf("%s: slope without key or points", name)
		}
	}
	return result, nil
}

// Merge replaces the slopes that were measured again and appends new ones. Both results must be of one machine, and both
// quick or neither.
func (r *Result) Merge(newer *Result) error {
	if newer.Machine != r.Machine || newer.IsQuick != r.IsQuick {
		return fmt.Errorf("cannot merge a result measured on %s into one measured on %s: machine and quick mode must be equal",
			newer.Machine, r.Machine)
	}
	for _, slope := range newer.Slopes {
		i := slices.IndexFunc(r.Slopes, func(existing *Slope) bool { return existing.Key == slope.Key })
		if i >= 0 {
			r.Slopes[i] = slope
		} else {
			r.Slopes = append(r.Slopes, slope)
		}
	}
	r.Load = Load{Min: min(r.Load.Min, newer.Load.Min), Max: max(r.Load.Max, newer.Load.Max)}
	return nil
}

// Encode returns the result in the format of its file.
func (r *Result) Encode() []byte {
	data, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		panic(err) // cannot happen: the values are plain
	}
	return append(data, '\n')
}
