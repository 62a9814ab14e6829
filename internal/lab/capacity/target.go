// Package capacity tells what a fleet of a size would cost: slopes, each measured at several sizes with the program's own
// code, are fitted as what they are, and a target's figures put into them, role by role, beside each limit. Fits, costs and
// tables are pure; the rigs that measure stand in files of their own.
package capacity

import (
	"math"
	"os"

	"pearknot/internal/tomlfile"
)

// Target is a size that is planned.
type Target struct {
	Nodes    float64 `toml:"nodes"`
	Backends float64 `toml:"backends"`
	Services float64 `toml:"services"`
	Requests float64 `toml:"requests_per_second"`
	Routes   float64 `toml:"routes"`
	Tenants  float64 `toml:"tenants"`
	Regions  float64 `toml:"regions"`
	Zones    float64 `toml:"zones"`
	Limit    struct {
		AddedMs  float64 `toml:"added_ms"`
		InForce  float64 `toml:"in_force_s"`
		Ready    float64 `toml:"ready_s"`
		Core     float64 `toml:"node_core_share"`
		MemoryMB float64 `toml:"node_memory_mb"`
		Bytes    float64 `toml:"node_bytes_per_second"`
		Machines float64 `toml:"control_machines"`
	} `toml:"limit"`
	Day struct {
		Changes  float64 `toml:"changes"`
		Failures float64 `toml:"failures"`
		Restarts float64 `toml:"restarts"`
	} `toml:"day"`
	Assumed struct {
		Rack         float64 `toml:"rack_machines"`
		FailureLines float64 `toml:"lines_per_failure"`
		RestartLines float64 `toml:"lines_per_restart"`
	} `toml:"assumed"`
}

// Read reads a target's file.
func Read(name string) (*Target, error) {
	data, err := os.ReadFile(name)
	if err != nil {
		return nil, err
	}
	return Decode(name, data)
}

// Decode is Read for a text; name stands in errors.
func Decode(name string, data []byte) (*Target, error) {
	t := &Target{}
	f, err := tomlfile.Decode(name, data, t)
	if err != nil {
		return nil, err
	}
	return t, t.check(f)
}

// figure is one of a target's, with its key.
type figure struct {
	key   string
	value float64
}

// figures are all of them, in the file's order.
func (t *Target) figures() []figure {
	return []figure{{"nodes", t.Nodes}, {"backends", t.Backends}, {"services", t.Services}, {"requests_per_second", t.Requests},
		{"routes", t.Routes}, {"tenants", t.Tenants}, {"regions", t.Regions}, {"zones", t.Zones},
		{"limit.added_ms", t.Limit.AddedMs}, {"limit.in_force_s", t.Limit.InForce}, {"limit.ready_s", t.Limit.Ready},
		{"limit.node_core_share", t.Limit.Core}, {"limit.node_memory_mb", t.Limit.MemoryMB}, {"limit.node_bytes_per_second", t.Limit.Bytes},
		{"limit.control_machines", t.Limit.Machines}, {"day.changes", t.Day.Changes}, {"day.failures", t.Day.Failures},
		{"day.restarts", t.Day.Restarts}, {"assumed.rack_machines", t.Assumed.Rack},
		{"assumed.lines_per_failure", t.Assumed.FailureLines}, {"assumed.lines_per_restart", t.Assumed.RestartLines}}
}

// mostFigure is beyond any fleet, and far from where a square of it would be no number any more.
const mostFigure = 1e12

func (t *Target) check(f *tomlfile.File) error {
	for _, x := range t.figures() {
		if !(x.value > 0 && x.value <= mostFigure) || math.IsNaN(x.value) {
			return f.Errorf(x.key, "%v is not above 0 and at most %g", x.value, mostFigure)
		}
	}
	return nil
}
