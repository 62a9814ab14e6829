package simcontrolplane

import (
	"math/rand/v2"
	"slices"
)

// FaultKind is what a fault does.
type FaultKind string

// The kinds of faults. Those of links last until the fault's end.
const (
	FaultKill        FaultKind = "kill"   // a process ends, and starts again
	FaultKillAndWipe FaultKind = "lost"   // the same, and its copy of the document is lost; a voter's store stays
	FaultFreeze      FaultKind = "freeze" // a process stands still
	FaultCut         FaultKind = "cut"    // a link carries nothing, both ways
	FaultCutOneWay   FaultKind = "oneway" // a link carries nothing from Process to Peer
	FaultIsolate     FaultKind = "alone"  // a process's links carry nothing
	FaultMute        FaultKind = "mute"   // nothing that a process sends arrives
	FaultDeaf        FaultKind = "deaf"   // nothing arrives at a process
	FaultCutRegion   FaultKind = "region" // the region of a process is cut off from all others
	FaultSlow        FaultKind = "slow"   // a process's links take slowLinkMs longer
	FaultThrottle    FaultKind = "thin"   // a process's links carry throttledBytesPerMs
)

// faultKinds are the kinds in the order in which Schedule draws them: another order gives a seed another schedule.
var faultKinds = []FaultKind{
	FaultKill, FaultKillAndWipe, FaultFreeze, FaultCut, FaultCutOneWay, FaultIsolate, FaultMute, FaultDeaf, FaultCutRegion, FaultSlow, FaultThrottle,
}

const (
	slowLinkMs          = 800.0
	throttledBytesPerMs = 1.0
)

// How schedules are drawn, in ms.
const (
	firstFaultSpreadMs              = 2000.0 // after startUpMs
	minFaultMs, faultSpreadMs       = 200.0, 9000.0
	overlapSpreadMs                 = 2500.0         // between the starts of overlapping faults
	minRecoveryMs, recoverySpreadMs = 2000.0, 4000.0 // between faults one after the other
	lastFaultEndMs                  = lengthMs - windDownMs
	lastFaultStartMs                = lastFaultEndMs - 500
)

// Leader as a fault's process is the voter that leads when the fault begins.
const Leader = -1

// Fault is one thing that goes wrong for a while.
type Fault struct {
	Start, End float64 // ms from the start of the schedule
	Kind       FaultKind
	Process    int // voters come first, then relays, then nodes
	Peer       int // the other process of FaultCut and FaultCutOneWay
}

// Schedule draws faults by a seed: one after the other or, if overlapping, several at once.
func Schedule(seed uint64, config Config, overlapping bool) (faults []Fault) {
	rng := rand.New(rand.NewPCG(seed, 99))
	members := config.members()
	count := 1 + rng.IntN(3)
	if overlapping {
		count = 4 + rng.IntN(8)
	}
	at := startUpMs + rng.Float64()*firstFaultSpreadMs
	for range count {
		fault := Fault{Start: at, Kind: faultKinds[rng.IntN(len(faultKinds))], Process: rng.IntN(members)}
		if rng.IntN(4) == 0 {
			fault.Process = rng.IntN(config.processes())
		}
		if fault.Peer = rng.IntN(members); fault.Peer == fault.Process {
			fault.Peer = (fault.Process + 1) % members
		}
		fault.End = min(fault.Start+minFaultMs+rng.Float64()*rng.Float64()*faultSpreadMs, lastFaultEndMs)
		if overlapping {
			at += rng.Float64() * overlapSpreadMs
		} else {
			at = fault.End + minRecoveryMs + rng.Float64()*recoverySpreadMs
		}
		if fault.Start < lastFaultStartMs {
			faults = append(faults, fault)
		}
	}
	return faults
}

// Shrink removes faults one by one as long as fails reports that the rest still violates something.
func Shrink(faults []Fault, fails func([]Fault) bool) []Fault {
	for index := 0; index < len(faults); {
		if fewer := slices.Delete(slices.Clone(faults), index, index+1); fails(fewer) {
			faults = fewer
		} else {
			index++
		}
	}
	return faults
}

// inject begins a fault now, and schedules its end.
func (c *Cluster) inject(fault Fault) {
	if fault.Process == Leader {
		fault.Process = c.leaderOrFirst()
	}
	p := c.processes[fault.Process]
	durationMs := fault.End - fault.Start
	c.trace("%s %s %s until %.0f", fault.Kind, p.name, c.processes[fault.Peer].name, c.now+durationMs)
	switch fault.Kind {
	case FaultKill, FaultKillAndWipe:
		c.injectKill(p, fault.Kind, durationMs)
	case FaultFreeze:
		c.injectFreeze(p, durationMs)
	default:
		c.injectLinkFault(fault, durationMs)
	}
}

// leaderOrFirst is the voter that leads, or the first one if none does.
func (c *Cluster) leaderOrFirst() (leader int) {
	for id, p := range c.processes[:c.config.Voters] {
		if p.isUp && p.voter.IsLeader() {
			leader = id
		}
	}
	return leader
}

func (c *Cluster) injectKill(p *process, kind FaultKind, durationMs float64) {
	if !p.isUp {
		return
	}
	c.kill(p)
	if kind == FaultKillAndWipe {
		p.stored.Version, p.stored.Document = 0, nil
	}
	c.auditor.processUnusable(p.id, durationMs)
	c.after(durationMs, func() { c.start(p) })
}

func (c *Cluster) injectFreeze(p *process, durationMs float64) {
	if !p.isUp || p.isFrozen {
		return
	}
	incarnation := p.incarnation
	p.isFrozen = true
	c.auditor.processUnusable(p.id, durationMs)
	c.after(durationMs, func() {
		if p.isUp && p.incarnation == incarnation {
			p.isFrozen = false
			c.runBacklog(p)
		}
	})
}

func (c *Cluster) injectLinkFault(fault Fault, durationMs float64) {
	affected := c.affectedLinks(fault)
	c.changeLinks(affected, fault.Kind, 1)
	for _, direction := range affected {
		c.auditor.linkUnusable(direction, durationMs)
	}
	c.after(durationMs, func() { c.changeLinks(affected, fault.Kind, -1) })
}

// changeLinks adds a fault to links (by 1), or takes it from them (by -1).
func (c *Cluster) changeLinks(affected []direction, kind FaultKind, by int) {
	for _, direction := range affected {
		link := &c.links[direction.from][direction.to]
		switch kind {
		case FaultSlow:
			link.extraDelayMs += float64(by) * slowLinkMs
		case FaultThrottle:
			link.bytesPerMs += float64(by) * throttledBytesPerMs
		default:
			if link.cuts += by; link.cuts == 0 {
				c.releaseDelayed(c.processes[direction.from], c.processes[direction.to])
			}
		}
	}
}

// direction is one direction between two processes, by their IDs.
type direction struct{ from, to int }

func bothWays(a, b int) []direction { return []direction{{a, b}, {b, a}} }

// affectedLinks are the links that a fault changes.
func (c *Cluster) affectedLinks(fault Fault) (affected []direction) {
	switch fault.Kind {
	case FaultCut:
		return bothWays(fault.Process, fault.Peer)
	case FaultCutOneWay:
		return []direction{{fault.Process, fault.Peer}}
	case FaultCutRegion:
		return c.linksOutOfRegion(c.processes[fault.Process].region)
	}
	for id := range c.processes {
		if id == fault.Process {
			continue
		}
		switch fault.Kind {
		case FaultMute:
			affected = append(affected, direction{fault.Process, id})
		case FaultDeaf:
			affected = append(affected, direction{id, fault.Process})
		case FaultIsolate, FaultSlow, FaultThrottle:
			affected = append(affected, bothWays(fault.Process, id)...)
		}
	}
	return affected
}

// linksOutOfRegion are the links between a region and all others, both ways.
func (c *Cluster) linksOutOfRegion(region string) (links []direction) {
	for _, inside := range c.processes {
		for _, outside := range c.processes {
			if inside.region == region && outside.region != region {
				links = append(links, bothWays(inside.id, outside.id)...)
			}
		}
	}
	return links
}
