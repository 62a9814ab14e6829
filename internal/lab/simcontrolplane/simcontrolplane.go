// Package simcontrolplane plays a control plane in virtual time: voters whose stores lose what was not written, relays and followers in
// regions, operators that propose concurrently, links that are cut, slowed and throttled, frames that are mangled, processes that are
// killed and frozen. Clocks differ between processes. One seed gives one history.
//
// The processes run the code of internal/controlplane; everything between them is simulated here. An auditor checks, from outside, what
// operators were answered and what followers have applied.
package simcontrolplane

import (
	"fmt"
	"math/rand/v2"

	"pearknot/internal/controlplane"
	"pearknot/internal/lab/eventqueue"
)

// The phases of a schedule, in ms.
const (
	startUpMs  = 3000.0 // before the first fault
	windDownMs = 12e3   // from the end of all faults to the end of the schedule
	lengthMs   = 36e3   // of the schedule
)

const (
	processStartSpreadMs = 50.0
	auditAfterMs         = 1000.0 // the first check of what processes claim
	auditIntervalMs      = 200.0
	maxClockOffsetMs     = 3.6e6
)

// Config is the size of a simulated control plane.
type Config struct {
	Voters, Relays, Nodes int
	Regions               int // the processes of each role are assigned to them in turn
	Tenants               int // lines of the first document
	RetainedChanges       int // by each member; 0 is the default
}

// StandardConfig is the control plane on which schedules are played: its voters in as many regions, relays and thirty nodes spread over
// those. So few changes are retained that a follower which was away for long is sent a snapshot.
func StandardConfig(voters int) Config {
	return Config{Voters: voters, Relays: voters + 1, Nodes: 30, Regions: voters, Tenants: 60, RetainedChanges: 10}
}

// members is the number of processes that serve followers. They have the lowest IDs, voters first.
func (config Config) members() int { return config.Voters + config.Relays }

func (config Config) processes() int { return config.members() + config.Nodes }

// Cluster is the processes of a simulated control plane and the links between them. It is used by one goroutine.
type Cluster struct {
	// Trace, if set, is called with each event of interest.
	Trace func(format string, args ...any)

	// InjectedBug is given to voters, and to nodes as followers. Relays don't get it: their own History would not be consistent.
	InjectedBug controlplane.InjectedBug
	// MangleFrames loses, duplicates, reorders and corrupts frames, which TCP doesn't: digests, versions and heartbeats must notice.
	MangleFrames bool
	// UnsyncedWrites makes stores report a write as done 3 s before it is.
	UnsyncedWrites bool

	// Counts of what has happened.
	Acknowledged, Conflicts, Snapshots int

	config    Config
	now       float64 // ms
	events    eventqueue.Queue
	rng       *rand.Rand
	processes []*process // voters, then relays, then nodes
	links     [][]link   // from, to
	conns     []*connection
	lastConn  uint64
	auditor   *auditor

	onAcknowledged func() // if set, called when an operator's proposal is acknowledged
	isWindingDown  bool   // frames are no longer mangled
}

// New makes a cluster whose delays, load and clocks follow from a seed.
func New(seed uint64, config Config) *Cluster {
	c := &Cluster{config: config, rng: rand.New(rand.NewPCG(seed, 23)), now: 1e6}
	c.auditor = newAuditor(c)
	for id := range config.processes() {
		p := &process{id: id, clockOffset: c.rng.Float64() * maxClockOffsetMs}
		p.name, p.region = config.nameAndRegion(id)
		c.processes = append(c.processes, p)
		c.links = append(c.links, make([]link, config.processes()))
	}
	return c
}

// nameAndRegion gives a process its name, v1... of a voter, m0... of a relay and n0... of a node, and its region.
func (config Config) nameAndRegion(id int) (name, region string) {
	index := id
	switch {
	case id < config.Voters:
		name = fmt.Sprintf("v%d", id+1)
	case id < config.members():
		index = id - config.Voters
		name = fmt.Sprintf("m%d", index)
	default:
		index = id - config.members()
		name = fmt.Sprintf("n%d", index)
	}
	return name, fmt.Sprintf("r%d", index%config.Regions)
}

// Run plays faults while operators work, and returns the violations that the auditor found.
func (c *Cluster) Run(faults []Fault, freshness FreshnessCheck) []string {
	c.auditor.startedAt, c.auditor.freshness, c.auditor.faults = c.now, freshness, faults
	for _, p := range c.processes {
		c.after(c.rng.Float64()*processStartSpreadMs, func() { c.start(p) })
	}
	for range operators {
		c.after(c.drawMs(minFirstEditMs, firstEditSpreadMs), c.operate)
	}
	for _, fault := range faults {
		c.after(fault.Start, func() { c.inject(fault) })
	}
	c.after(lengthMs-windDownMs, func() { c.isWindingDown = true })
	c.after(auditAfterMs, c.auditRegularly)
	for c.events.Len() > 0 && c.elapsed() < lengthMs && len(c.auditor.violations) == 0 {
		next := c.events.Take()
		c.now = next.At
		next.Handle()
	}
	return c.auditor.finish()
}

func (c *Cluster) auditRegularly() {
	c.auditor.checkStaleness()
	c.after(auditIntervalMs, c.auditRegularly)
}

// elapsed is the time since the start of the schedule, in ms.
func (c *Cluster) elapsed() float64 { return c.now - c.auditor.startedAt }

// drawMs draws a duration of at least minMs, and at most spreadMs longer.
func (c *Cluster) drawMs(minMs, spreadMs float64) float64 { return minMs + c.rng.Float64()*spreadMs }

func (c *Cluster) trace(format string, args ...any) {
	if c.Trace != nil {
		c.Trace("%.0f "+format, append([]any{c.now}, args...)...)
	}
}
