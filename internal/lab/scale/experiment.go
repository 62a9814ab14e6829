// Package scale plays the control plane at size: real members, a few real nodes under load and hundreds of hollow ones, which run the
// node's own control-plane code without a data path. There is a relay on each link, so that faults can affect a region, a zone, a member
// or a direction. An auditor checks from outside: what each node has in force, by its answers, against what was committed and when.
package scale

import (
	"os"

	"pearknot/internal/tomlfile"
)

// Experiment is one file. What it may leave out has the defaults of Decode.
type Experiment struct {
	Name             string  `toml:"name"`
	About            string  `toml:"about"`
	QuietSeconds     float64 `toml:"quiet_seconds"` // before the first change
	ChangeSeconds    float64 `toml:"seconds"`       // during which changes are made
	Nodes            int     `toml:"nodes"`
	RealNodes        int     `toml:"real_nodes"` // of Nodes; they have backends and clients
	HollowPerProcess int     `toml:"hollow_per_process"`
	HollowCopies     bool    `toml:"copies"` // hollow nodes store their copies on this machine's disk, as real ones do
	Regions          int     `toml:"regions"`
	Zones            int     `toml:"zones"`
	Members          Members `toml:"members"`
	Tenants          int     `toml:"tenants"` // in the document
	Changes          Changes `toml:"changes"`
	Limits           Limits  `toml:"limits"`
	Faults           []Fault `toml:"fault"`

	Bounds Bounds `toml:"-"` // not the file's to change
}

// Members are the control plane's processes. The first ones vote, each in another region.
type Members struct {
	Count  int `toml:"count"`
	Voters int `toml:"voters"`
}

// Changes are what operators do meanwhile.
type Changes struct {
	PerSecond float64 `toml:"per_second"`
	Bytes     int     `toml:"bytes"` // of the lines that a change replaces, about
}

// Limits are what the run itself may take. Half of the machine's memory and maxProcesses hold besides.
type Limits struct {
	MemoryMB  int `toml:"memory_mb"`
	Processes int `toml:"processes"`
}

// Fault is one thing that goes wrong for a while.
type Fault struct {
	Kind           FaultKind `toml:"kind"`
	AtSeconds      float64   `toml:"at_s"` // after the first change
	ForSeconds     float64   `toml:"for_s"`
	Member         string    `toml:"member"` // its name (m1...), or leader: the one that leads then
	Region         string    `toml:"region"` // its name (r1...)
	Zone           string    `toml:"zone"`   // its name (z1...); in place of a region
	BytesPerSecond int       `toml:"bytes_per_second"`
	DelayMs        float64   `toml:"delay_ms"`
}

// FaultKind is what a fault does.
type FaultKind string

// The kinds of faults.
const (
	FaultKill        FaultKind = "kill"    // a member ends without warning, and starts again
	FaultFreeze      FaultKind = "freeze"  // a member stands still
	FaultDeaf        FaultKind = "deaf"    // a member reads nothing that is sent to it
	FaultCut         FaultKind = "cut"     // nothing passes between a region or zone and the others
	FaultCutInbound  FaultKind = "cut-in"  // nothing passes into it
	FaultCutOutbound FaultKind = "cut-out" // nothing passes out of it
	FaultSlow        FaultKind = "slow"    // all links of a region's nodes and members are slow
	FaultLoseMembers FaultKind = "lose"    // all nodes of a region lose their members at once, and can't reach those of the region
)

var faultKinds = []FaultKind{
	FaultKill, FaultFreeze, FaultDeaf, FaultCut, FaultCutInbound, FaultCutOutbound, FaultSlow, FaultLoseMembers,
}

// leaderName as a fault's member is the member that leads when the fault begins.
const leaderName = "leader"

func (f Fault) String() string { return string(f.Kind) + " " + f.Member + f.Region + f.Zone }

// Bounds are what the control plane promises, and what the operators allow a node for it. Staleness counts from a change's
// acknowledgement, or from when the node could be reached.
type Bounds struct {
	MaxStalenessMs float64
	P99StalenessMs float64
	BytesPerSecond float64 // of a node, both ways
	CoreShare      float64 // of one core, of a node
	MemoryMB       float64 // of a node
}

// TargetBounds are the operators' bounds.
var TargetBounds = Bounds{
	MaxStalenessMs: 6e3,
	P99StalenessMs: 2e3,
	BytesPerSecond: 16 << 10,
	CoreShare:      0.049,
	MemoryMB:       256,
}

// Read reads and checks a file. The error is one line.
func Read(name string) (*Experiment, error) {
	data, err := os.ReadFile(name)
	if err != nil {
		return nil, err
	}
	return Decode(name, data)
}

// Decode reads and checks text as if it were a file of that name.
func Decode(name string, data []byte) (*Experiment, error) {
	e := &Experiment{
		QuietSeconds:     5,
		ChangeSeconds:    30,
		HollowPerProcess: 100,
		Regions:          6,
		Zones:            12,
		Members:          Members{Count: 21, Voters: 5},
		Tenants:          1000,
		Changes:          Changes{PerSecond: 1, Bytes: 400},
		Limits:           Limits{MemoryMB: 1 << 20, Processes: maxProcesses},
		Bounds:           TargetBounds,
	}
	file, err := tomlfile.Decode(name, data, e)
	if err != nil {
		return nil, err
	}
	return e, e.check(file)
}
