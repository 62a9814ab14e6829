// Package scale plays the control plane at size: real members, a few real nodes under load and hundreds of hollow ones, which are
// the node's own control-plane code without a data path, with a relay on each link so that faults go by region, zone, member and
// direction. It is judged from outside: what each node has in force, by its answers, against what was committed and when.
package scale

import (
	"fmt"
	"math"
	"os"
	"slices"
	"strconv"
	"strings"

	"pearknot/internal/tomlfile"
)

// Experiment is one file. Zero values of what may be left out are filled in by Read.
type Experiment struct {
	Name    string  `toml:"name"`
	About   string  `toml:"about"`
	Quiet   float64 `toml:"quiet_seconds"` // before the first change
	Seconds float64 `toml:"seconds"`       // of changes
	Nodes   int     `toml:"nodes"`
	Real    int     `toml:"real_nodes"` // among them, with backends and clients
	Hollow  int     `toml:"hollow_per_process"`
	Copies  bool    `toml:"copies"` // hollow nodes keep theirs on disk, as real ones do: all on the one disk of this machine
	Regions int     `toml:"regions"`
	Zones   int     `toml:"zones"`
	Members Members `toml:"members"`
	Tenants int     `toml:"tenants"` // in the document
	Changes Changes `toml:"changes"`
	Limits  Limits  `toml:"limits"`
	Faults  []Fault `toml:"fault"`

	Bounds Bounds `toml:"-"`
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

// Limits are what the run itself may take; half of the machine's memory and 300 processes hold besides.
type Limits struct {
	MemoryMB  int `toml:"memory_mb"`
	Processes int `toml:"processes"`
}

// Fault is one thing that goes wrong for a while.
type Fault struct {
	Kind   string  `toml:"kind"`
	At     float64 `toml:"at_s"` // after the first change
	For    float64 `toml:"for_s"`
	Member string  `toml:"member"` // its name (m1...), or leader: whoever leads then
	Region string  `toml:"region"` // its name (r1...)
	Zone   string  `toml:"zone"`   // its name (z1...); in a region's place
	Rate   int     `toml:"bytes_per_second"`
	Delay  float64 `toml:"delay_ms"`
}

// The kinds of faults.
const (
	Kill   = "kill"    // a member ends without warning, and starts again
	Freeze = "freeze"  // a member stands still
	Deaf   = "deaf"    // a member reads nothing that is sent to it
	Cut    = "cut"     // nothing goes between a region or zone and the others
	CutIn  = "cut-in"  // nothing goes into it
	CutOut = "cut-out" // nothing goes out of it
	Slow   = "slow"    // all links of a region's nodes and members are slow
	Lose   = "lose"    // all nodes of a region lose their member at once, and don't reach those of the region
)

var kinds = []string{Kill, Freeze, Deaf, Cut, CutIn, CutOut, Slow, Lose}

// Bounds are what the control plane promises, and what the operators allow a node for it.
type Bounds struct {
	MostMs, MostOf99Ms float64 // from the acknowledgement, or from when the node could be reached
	Bytes              float64 // a second and node, both ways
	Core               float64 // share of a core that a node may take
	MemoryMB           float64 // of a node
}

// Target are the operators' bounds.
var Target = Bounds{MostMs: 6e3, MostOf99Ms: 2e3, Bytes: 16 << 10, Core: 0.049, MemoryMB: 256}

const (
	mostProcesses = 300
	mostSeconds   = 600
)

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
	e := &Experiment{Quiet: 5, Seconds: 30, Hollow: 100, Regions: 6, Zones: 12, Members: Members{21, 5}, Tenants: 1000,
		Changes: Changes{1, 400}, Limits: Limits{1 << 20, mostProcesses}, Bounds: Target}
	f, err := tomlfile.Decode(name, data, e)
	if err != nil {
		return nil, err
	}
	return e, e.check(f)
}

// check finds the first thing that can't be.
func (e *Experiment) check(f *tomlfile.File) (err error) {
	must := func(ok bool, key, format string, args ...any) {
		if !ok && err == nil {
			err = f.Errorf(key, format, args...)
		}
	}
	within := func(key string, x, least, most float64) {
		must(x >= least && x <= most && !math.IsNaN(x), key, "%v is not %v to %v", x, least, most)
	}
	whole := func(key string, n, least, most int) {
		must(n >= least && n <= most, key, "%d is not %d to %d", n, least, most)
	}
	within("quiet_seconds", e.Quiet, 1, mostSeconds)
	within("seconds", e.Seconds, 1, mostSeconds)
	whole("nodes", e.Nodes, 1, 5000)
	whole("real_nodes", e.Real, 0, min(e.Nodes, 40))
	whole("hollow_per_process", e.Hollow, 1, 1000)
	whole("regions", e.Regions, 1, 21)
	whole("zones", e.Zones, e.Regions, 84)
	whole("members.count", e.Members.Count, e.Regions, 21)
	must(slices.Contains([]int{1, 3, 5}, e.Members.Voters) && e.Members.Voters <= e.Regions, "members.voters",
		"%d is not 1, 3 or 5, each in another of %d regions", e.Members.Voters, e.Regions)
	whole("tenants", e.Tenants, 0, 200_000)
	within("changes.per_second", e.Changes.PerSecond, 0.01, 50)
	whole("changes.bytes", e.Changes.Bytes, 1, 1<<20)
	must(e.Tenants*lineBytes >= e.Changes.Bytes, "changes.bytes", "%d are more than %d tenants have", e.Changes.Bytes, e.Tenants)
	whole("limits.memory_mb", e.Limits.MemoryMB, 1, 1<<30)
	whole("limits.processes", e.Limits.Processes, 1, mostProcesses)
	for k, x := range e.Faults {
		at := fmt.Sprintf("fault.%d.", k)
		must(slices.Contains(kinds, x.Kind), at+"kind", "%q is none of %s", x.Kind, strings.Join(kinds, ", "))
		within(at+"at_s", x.At, 0, e.Seconds)
		within(at+"for_s", x.For, 0, e.Seconds-x.At) // what follows is judged too
		whole(at+"bytes_per_second", x.Rate, 0, 1<<30)
		within(at+"delay_ms", x.Delay, 0, 60e3)
		numbered := func(key, name, letter string, most int) {
			n, odd := strconv.Atoi(strings.TrimPrefix(name, letter))
			must(strings.HasPrefix(name, letter) && odd == nil && n >= 1 && n <= most, at+key, "%q is not %s1 to %s%d", name, letter, letter, most)
		}
		switch x.Kind {
		case Kill, Freeze, Deaf:
			must(x.Region == "" && x.Zone == "", at+"member", "a fault of a member has no region or zone")
			if x.Member != leader {
				numbered("member", x.Member, "m", e.Members.Count)
			}
		case Cut, CutIn, CutOut, Slow, Lose:
			must(x.Member == "", at+"member", "a fault of a region has no member")
			must((x.Region == "") != (x.Zone == ""), at+"region", "give a region or a zone")
			if x.Zone == "" {
				numbered("region", x.Region, "r", e.Regions)
			} else {
				numbered("zone", x.Zone, "z", e.Zones)
			}
			must(x.Kind != Slow || x.Rate > 0 || x.Delay > 0, at+"bytes_per_second", "give it, or delay_ms, above 0")
		}
	}
	return err
}

// leader is the name of whoever leads, in a fault.
const leader = "leader"

// Places: zones are dealt out to regions in turn, members and nodes to zones.
func (e *Experiment) region(zone int) string { return fmt.Sprintf("r%d", zone%e.Regions+1) }

func zoneName(zone int) string { return fmt.Sprintf("z%d", zone+1) }

func memberName(k int) string { return fmt.Sprintf("m%d", k+1) }

// memberZone spreads a region's members over its zones.
func (e *Experiment) memberZone(k int) int { return k % e.Zones }

// at tells whether a fault is of a zone.
func (x Fault) at(e *Experiment, zone int) bool {
	return x.Zone == zoneName(zone) || x.Region == e.region(zone)
}

// cuts tells whether nodes of a place have no way there and back to any member that hears of changes.
func (x Fault) cuts() bool { return x.Kind == Cut || x.Kind == CutIn || x.Kind == CutOut }

// What a run takes at most of memory, from what was measured (docs/lab.md): a process of each kind without nodes or document, and
// what it takes besides for each node that it serves or is.
const (
	labMB, memberMB, hollowMB, realMB = 150, 45, 30, 70
	labNodeKB, memberNodeKB, nodeKB   = 150, 60, 150
	memberDocs, nodeDocs, realDocs    = 16, 4, 12 // times the document's size
	lineBytes                         = 44        // of a tenant
	headBytes                         = 2000      // of a document without tenants
)

// What a node takes to read the settings and put them in force, measured from 10 to 140,000 tenants.
const readMs, readTenantMs = 0.3, 0.0054

// Estimate is what a run will take.
type Estimate struct {
	Processes int
	MemoryMB  float64
}

func (e *Experiment) hollowProcesses() int { return (e.Nodes - e.Real + e.Hollow - 1) / e.Hollow }

// Estimate reckons a run's processes and peak memory, this one's included.
func (e *Experiment) Estimate() Estimate {
	doc := float64(e.Tenants*lineBytes+headBytes) / (1 << 20)
	nodes, members, hollow, real := float64(e.Nodes), float64(e.Members.Count), float64(e.hollowProcesses()), float64(e.Real)
	return Estimate{1 + e.Members.Count + e.hollowProcesses() + e.Real,
		labMB + nodes*labNodeKB/1024 +
			members*(memberMB+memberDocs*doc) + nodes*memberNodeKB/1024 +
			hollow*hollowMB + (nodes-real)*(nodeKB/1024.0+nodeDocs*doc) +
			real*(realMB+realDocs*doc)}
}

// Fits tells why a run may not begin on a machine of so much memory, if it may not.
func (e *Experiment) Fits(machineMB float64) error {
	x := e.Estimate()
	switch most := min(machineMB/2, float64(e.Limits.MemoryMB)); {
	case x.Processes > e.Limits.Processes:
		return fmt.Errorf("%s would take %d processes, over %d", e.Name, x.Processes, e.Limits.Processes)
	case x.MemoryMB > most:
		return fmt.Errorf("%s would take %.0f MB of memory, over %.0f: half of the machine's, or limits.memory_mb", e.Name, x.MemoryMB, most)
	}
	return nil
}
