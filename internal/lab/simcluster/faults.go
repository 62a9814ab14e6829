package simcluster

import (
	"math/rand/v2"
	"slices"
)

// FaultKind names what goes wrong.
type FaultKind string

// The kinds of faults.
const (
	FaultKill    FaultKind = "kill"   // the process ends, and starts again at the fault's end
	FaultFreeze  FaultKind = "freeze" // the process is paused: it does nothing, and what reaches it waits
	FaultCut     FaultKind = "cut"    // nothing arrives on the link between process and peer
	FaultCutOne  FaultKind = "oneway" // the same, only from process to peer
	FaultIsolate FaultKind = "alone"  // nothing arrives on any link of the process
	FaultSlow    FaultKind = "slow"   // what the process sends is delayed
	FaultFlap    FaultKind = "flap"   // the connection between process and peer breaks again and again
)

// Fault is one thing that goes wrong for a while.
type Fault struct {
	Start, End    float64 // ms from the start of the run
	Kind          FaultKind
	Process, Peer int // indexes; the peer is only of faults of one link
}

const (
	slowLinkMs          = 800.0 // most that FaultSlow delays a frame
	flapIntervalMs      = 250.0
	flapDowntimeMs      = 120.0
	frozenPeerTimeoutMs = 600.0 // after which peers close their connections to a frozen process
	resumedReconnectMs  = 20.0
	firstFaultMs        = 3500.0 // by then all logs have a leader
	maxHarshIntervalMs  = 1500.0 // between the starts of faults in a harsh schedule
	mildRecoveryMs      = 4000.0 // from the end of one fault to the start of the next in a mild schedule
	minFaultMs          = 100.0
	faultSpreadMs       = 3000.0 // at most, on top
)

// Schedule draws faults by a seed: a few kills and freezes one after the other or, in a harsh schedule, more faults of all kinds,
// several at a time.
func Schedule(seed uint64, members int, harsh bool) []Fault {
	rng := rand.New(rand.NewPCG(seed, 99))
	count := 1 + rng.IntN(3)
	if harsh {
		count = 3 + rng.IntN(6)
	}
	kinds := []FaultKind{FaultKill, FaultFreeze, FaultCut, FaultCutOne, FaultSlow, FaultFlap, FaultIsolate}
	mildKinds := kinds[:2]
	faults := make([]Fault, 0, count)
	start := firstFaultMs
	for range count {
		fault := Fault{Start: start, Kind: kinds[rng.IntN(len(kinds))], Process: rng.IntN(members)}
		fault.Peer = (fault.Process + 1 + rng.IntN(members-1)) % members
		fault.End = fault.Start + minFaultMs + rng.Float64()*faultSpreadMs
		if harsh {
			start += rng.Float64() * maxHarshIntervalMs
		} else {
			fault.Kind = mildKinds[rng.IntN(len(mildKinds))]
			start = fault.End + mildRecoveryMs
		}
		faults = append(faults, fault)
	}
	return faults
}

// Shrink leaves out faults as long as what remains still fails, and returns what remains.
func Shrink(faults []Fault, fails func([]Fault) bool) []Fault {
	for i := 0; i < len(faults); {
		fewer := slices.Delete(slices.Clone(faults), i, i+1)
		if fails(fewer) {
			faults = fewer
		} else {
			i++
		}
	}
	return faults
}

// beginFault begins a fault, and schedules its end.
func (c *Cluster) beginFault(fault Fault) {
	p, peer := c.processes[fault.Process], c.processes[fault.Peer]
	duration := fault.End - fault.Start
	switch fault.Kind {
	case FaultKill:
		c.killProcess(p, duration)
	case FaultFreeze:
		c.freezeProcess(p, duration)
	case FaultCut:
		c.cutLinksFor(duration, []linkEnds{{p, peer}}, true)
	case FaultCutOne:
		c.cutLinksFor(duration, []linkEnds{{p, peer}}, false)
	case FaultIsolate:
		var all []linkEnds
		for _, other := range c.peersOf(p) {
			all = append(all, linkEnds{p, other})
		}
		c.cutLinksFor(duration, all, true)
	case FaultSlow:
		c.delaySending(p, slowLinkMs)
		c.after(duration, func() { c.delaySending(p, 0) })
	case FaultFlap:
		c.flapLink(p, peer, fault)
	}
}

// killProcess ends a process that is up, and starts it again after a time.
func (c *Cluster) killProcess(p *process, downtime float64) {
	if !p.isUp {
		return
	}
	p.isUp, p.isFrozen = false, false
	for _, peer := range c.peersOf(p) {
		c.disconnect(p, peer)
	}
	c.after(downtime, func() {
		if !p.isUp {
			c.startProcess(p)
		}
	})
}

// freezeProcess pauses a process that runs, and resumes it after a time. Its peers notice by the silence.
func (c *Cluster) freezeProcess(p *process, duration float64) {
	if !p.isUp || p.isFrozen {
		return
	}
	incarnation := p.incarnation
	p.isFrozen = true
	c.after(frozenPeerTimeoutMs, func() {
		if !p.isFrozen || p.incarnation != incarnation {
			return
		}
		for _, peer := range c.peersOf(p) {
			c.disconnect(p, peer)
		}
	})
	c.after(duration, func() {
		if p.isUp && p.incarnation == incarnation {
			c.resumeProcess(p)
		}
	})
}

// resumeProcess ends a process's pause: it does first what reached it meanwhile, then connects anew.
func (c *Cluster) resumeProcess(p *process) {
	p.isFrozen = false
	for _, do := range p.deferred {
		do()
		c.processOutputs(p)
	}
	p.deferred = nil
	for _, peer := range c.peersOf(p) {
		if !c.link(p, peer).isConnected {
			c.after(resumedReconnectMs, func() { c.connect(p, peer) })
		}
	}
}

func (c *Cluster) cutLinksFor(duration float64, links []linkEnds, bothDirections bool) {
	c.cutLinks(links, bothDirections)
	c.after(duration, func() { c.mendLinks(links, bothDirections) })
}

// delaySending delays all frames that a process sends by up to so many ms.
func (c *Cluster) delaySending(p *process, maxDelay float64) {
	for _, peer := range c.peersOf(p) {
		c.link(p, peer).extraDelay = maxDelay
	}
}

// flapLink breaks the connection of two processes again and again.
func (c *Cluster) flapLink(p, peer *process, fault Fault) {
	for at := fault.Start; at < fault.End; at += flapIntervalMs {
		c.after(at-fault.Start, func() {
			c.disconnect(p, peer)
			c.after(flapDowntimeMs, func() { c.connect(p, peer) })
		})
	}
}
