package capacity

import (
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
)

// Result is what was measured.
type Result struct {
	Machine   string   `json:"machine"`
	IsQuick   bool     `json:"quick,omitempty"` // few runs at small sizes, no measurement
	RowPrefix string   `json:"part,omitempty"`  // of the names of the rows that were measured; empty is all
	Load      Load     `json:"load"`
	Slopes    []*Slope `json:"slopes"`
}

// Load is the range of the machine's load average, with this program's work and that of others, as rows ended.
type Load struct {
	Min float64 `json:"Least"`
	Max float64 `json:"Most"`
}

// observe takes the load of the last minute into the range; where the system doesn't tell it, the range stays.
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

// ReadResult reads a file that holds what Encode gave.
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
			return nil, fmt.Errorf("%s: a slope without its key or points", name)
		}
	}
	return result, nil
}

// Merge replaces the slopes that were measured again and appends new ones. Both results must be of one machine.
func (r *Result) Merge(newer *Result) error {
	if newer.Machine != r.Machine || newer.IsQuick != r.IsQuick {
		return fmt.Errorf("measured on %s, and what stood on %s: they don't go into one table", newer.Machine, r.Machine)
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

// Encode gives the result as a file holds it.
func (r *Result) Encode() []byte {
	data, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		panic(err) // plain values
	}
	return append(data, '\n')
}
