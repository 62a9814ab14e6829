// Package scale tests the control plane at scale: real members, a few real nodes under load and hundreds of hollow nodes, which run the
// node's own control-plane code without a data path. Each link has a relay, so that faults can affect a region, a zone, a member or a
// direction. An auditor checks from outside: it compares what each node reports as applied with what was committed and when.
package scale

import (
	"os"

	"pearknot/internal/tomlfile"
)

// Experiment holds the contents of one experiment file. Decode sets the defaults of keys that the file omits.
type Experiment struct {
	Name             string  `toml:"name"`
	About            string  `toml:"about"`
	QuietSeconds     float64 `toml:"quiet_seconds"` // before the first change
	ChangeSeconds    float64 `toml:"seconds"`       // period during which changes are made
	Nodes            int     `toml:"nodes"`
	RealNodes        int     `toml:"real_nodes"` // out of Nodes; they have backends and clients
	HollowPerProcess int     `toml:"hollow_per_process"`
	HollowCopies     bool    `toml:"copies"` // hollow nodes store their copies on this machine's disk, as real ones do
	Regions          int     `toml:"regions"`
	Zones            int     `toml:"zones"`
	Members          Members `toml:"members"`
	Tenants          int     `toml:"tenants"` // in the document
	Changes          Changes `toml:"changes"`
	Limits           Limits  `toml:"limits"`
	Faults           []Fault `toml:"fault"`

	Bounds Bounds `toml:"-"` // can't be set in the file
}

// Members configures the control plane's processes. The first ones are voters, each in a different region.
type Members struct {
	Count  int `toml:"count"`
	Voters int `toml:"voters"`
}

// Changes configures the changes that operators make during the run.
type Changes struct {
	PerSecond float64 `toml:"per_second"`
	Bytes     int     `toml:"bytes"` // approximate size of the lines that a change replaces
}

// Limits bounds the resources of the run itself. Half of the machine's memory and maxProcesses are limits in addition.
type Limits struct {
	MemoryMB  int `toml:"memory_mb"`
	Processes int `toml:"processes"`
}

// Fault is a temporary failure.
type Fault struct {
	Kind           FaultKind `toml:"kind"`
	AtSeconds      float64   `toml:"at_s"` // after the first change
	ForSeconds     float64   `toml:"for_s"`
	Member         string    `toml:"member"` // its name (m1...), or leader: the leader when the fault begins
	Region         string    `toml:"region"` // its name (r1...)
	Zone           string    `toml:"zone"`   // its name (z1...); instead of a region
	BytesPerSecond int       `toml:"bytes_per_second"`
	DelayMs        float64   `toml:"delay_ms"`
}

// FaultKind selects what a fault does.
type FaultKind string

// The kinds of faults.
const (
	FaultKill        FaultKind = "kill"    // a member is killed, and restarted when the fault ends
	FaultFreeze      FaultKind = "freeze"  // a member's process is stopped
	FaultDeaf        FaultKind = "deaf"    // a member reads nothing that is sent to it
	FaultCut         FaultKind = "cut"     // nothing passes between a region or zone and the others
	FaultCutInbound  FaultKind = "cut-in"  // nothing passes into it
	FaultCutOutbound FaultKind = "cut-out" // nothing passes out of it
	FaultSlow        FaultKind = "slow"    // all links of a region's nodes and members have limited bandwidth or added delay
	FaultLoseMembers FaultKind = "lose"    // the nodes of a region lose their connections to its members at once, and can't reconnect
)

var faultKinds = []FaultKind{
	FaultKill, FaultFreeze, FaultDeaf, FaultCut, FaultCutInbound, FaultCutOutbound, FaultSlow, FaultLoseMembers,
}

// currentLeader as a fault's member selects the leader at the time when the fault begins.
const currentLeader = "leader"

func (f Fault) String() string { return string(f.Kind) + " " + f.Member + f.Region + f.Zone }

// Bounds holds the guarantees of the control plane, and the resources that a node may use for it. Staleness is measured from a change's
// acknowledgement, or from when the node became reachable.
type Bounds struct {
	MaxStalenessMs float64
	P99StalenessMs float64
	BytesPerSecond float64 // per node, sent and received
	CoreShare      float64 // fraction of one core, per node
	MemoryMB       float64 // per node
}

// TargetBounds holds the bounds that the operators require.
var TargetBounds = Bounds{
	MaxStalenessMs: 6e3,
	P99StalenessMs: 2e3,
	BytesPerSecond: 16 << 10,
	CoreShare:      0.049,
	MemoryMB:       256,
}

// Read reads and validates an experiment file. Its error is one line.
func Read(name string) (*Experiment, error) {
	data, err := os.ReadFile(name)
	if err != nil {
		return nil, err
	}
	return Decode(name, data)
}

// Decode parses and validates data as the contents of the named file.
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
