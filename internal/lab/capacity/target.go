// Package capacity estimates the costs of a fleet of a planned size. It measures slopes, each at several sizes with the
// program's own code, fits a curve to each, and evaluates the curves at a target's figures, role by role, next to each
// limit. Fits, costs and tables are pure; the fixtures that measure are in files of their own.
package capacity

import (
	"math"
	"os"

	"pearknot/internal/tomlfile"
)

// Target is a planned fleet.
type Target struct {
	Nodes             float64 `toml:"nodes"`
	Backends          float64 `toml:"backends"`
	Services          float64 `toml:"services"`
	RequestsPerSecond float64 `toml:"requests_per_second"` // of all nodes at the peak
	Routes            float64 `toml:"routes"`
	Tenants           float64 `toml:"tenants"`
	Regions           float64 `toml:"regions"`
	Zones             float64 `toml:"zones"`
	Limit             Limits  `toml:"limit"`
	Day               Day     `toml:"day"`
	Assumed           Assumed `toml:"assumed"`
}

// Limits holds the maximum costs of roles.
type Limits struct {
	AddedMs            float64 `toml:"added_ms"`              // added to a request, for 99 in 100
	InForceSeconds     float64 `toml:"in_force_s"`            // from a change of configuration until every node applies it
	ReadySeconds       float64 `toml:"ready_s"`               // from a process's start, for nine in ten
	NodeCoreShare      float64 `toml:"node_core_share"`       // of one core, that a node spends on control
	NodeMemoryMB       float64 `toml:"node_memory_mb"`        // likewise
	NodeBytesPerSecond float64 `toml:"node_bytes_per_second"` // likewise, sent or received
	ControlMachines    float64 `toml:"control_machines"`      // set aside for control
}

// Day counts the events of a day.
type Day struct {
	ConfigChanges float64 `toml:"changes"`
	Failures      float64 `toml:"failures"` // of machines
	Restarts      float64 `toml:"restarts"` // machines restarted or replaced
}

// Assumed holds figures that the operators have not stated.
type Assumed struct {
	RackMachines    float64 `toml:"rack_machines"`     // that fail together with a rack or a switch
	LinesPerFailure float64 `toml:"lines_per_failure"` // changes of the endpoint list
	LinesPerRestart float64 `toml:"lines_per_restart"`
}

// ReadTarget reads a target's file.
func ReadTarget(name string) (*Target, error) {
	data, err := os.ReadFile(name)
	if err != nil {
		return nil, err
	}
	return DecodeTarget(name, data)
}

// DecodeTarget decodes the text of a target's file; name is the file's name in errors.
func DecodeTarget(name string, data []byte) (*Target, error) {
	target := &Target{}
	file, err := tomlfile.Decode(name, data, target)
	if err != nil {
		return nil, err
	}
	return target, target.validate(file)
}

// figure is a number of a target's file.
type figure struct {
	key   string // with its table's name
	value float64
}

// figures returns all numbers of a target, in the file's order.
func (t *Target) figures() []figure {
	return []figure{
		{"nodes", t.Nodes},
		{"backends", t.Backends},
		{"services", t.Services},
		{"requests_per_second", t.RequestsPerSecond},
		{"routes", t.Routes},
		{"tenants", t.Tenants},
		{"regions", t.Regions},
		{"zones", t.Zones},
		{"limit.added_ms", t.Limit.AddedMs},
		{"limit.in_force_s", t.Limit.InForceSeconds},
		{"limit.ready_s", t.Limit.ReadySeconds},
		{"limit.node_core_share", t.Limit.NodeCoreShare},
		{"limit.node_memory_mb", t.Limit.NodeMemoryMB},
		{"limit.node_bytes_per_second", t.Limit.NodeBytesPerSecond},
		{"limit.control_machines", t.Limit.ControlMachines},
		{"day.changes", t.Day.ConfigChanges},
		{"day.failures", t.Day.Failures},
		{"day.restarts", t.Day.Restarts},
		{"assumed.rack_machines", t.Assumed.RackMachines},
		{"assumed.lines_per_failure", t.Assumed.LinesPerFailure},
		{"assumed.lines_per_restart", t.Assumed.LinesPerRestart},
	}
}

// maxFigure is larger than any fleet, and small enough that its square does not overflow.
const maxFigure = 1e12

func (t *Target) validate(file *tomlfile.File) error {
	for _, f := range t.figures() {
		if !(f.value > 0 && f.value <= maxFigure) || math.IsNaN(f.value) {
			return file.Errorf(f.key, "%v is not above 0 and at most %g", f.value, maxFigure)
		}
	}
	return nil
}
