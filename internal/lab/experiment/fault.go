package experiment

import "slices"

// Fault is one thing that goes wrong for a while. Its kind says what, and which fields it uses. Whom it hits is drawn by
// the seed: Share or Count of the backends, or of the nodes for a kind that hits nodes, all of them within Zone and of
// the kind Machine where these are given.
type Fault struct {
	Kind            string  `toml:"kind"`
	StartSeconds    float64 `toml:"at_s"`
	DurationSeconds float64 `toml:"for_s"`
	Share           float64 `toml:"share"` // 0 to 1
	Count           int     `toml:"count"` // takes the place of Share
	Zone            string  `toml:"zone"`  // default all zones
	Factor          float64 `toml:"factor"`
	Chance          float64 `toml:"chance"` // 0 to 1
	EveryMs         float64 `toml:"every_ms"`
	PauseMs         float64 `toml:"pause_ms"`
	Class           string  `toml:"category"`
	Machine         string  `toml:"machine"` // default all kinds
}

// EndMs returns when the fault ends, in ms from the start of the run.
func (f Fault) EndMs() float64 { return (f.StartSeconds + f.DurationSeconds) * msPerSecond }

// Kinds of faults.
const (
	FaultSwallow       = "swallow"   // backends accept requests and never answer them
	FaultErrors        = "errors"    // backends quickly fail requests, each with Chance
	FaultPauses        = "pauses"    // backends stand still for PauseMs in every EveryMs
	FaultSlow          = "slow"      // backends are slower by Factor
	FaultCrash         = "crash"     // backends crash, and restart cold at the fault's end
	FaultMachineLoss   = "vanish"    // backends' machines go silent, without an error on any connection, and restart cold
	FaultZonePartition = "cut"       // Zone and the other zones can't reach each other
	FaultListDelay     = "list-late" // the endpoint list's lag is multiplied by Factor
	FaultListDown      = "list-down" // the discovery service answers nobody
	FaultNodeCrash     = "nodes"     // nodes are killed, and restart with a stale endpoint list
	FaultBurst         = "burst"     // the load is multiplied by Factor
	FaultCostly        = "costly"    // requests of Class cost more than their hint by Factor, each with Chance
	FaultWrongReports  = "lies"      // the service time in load reports is multiplied by Factor
	FaultScaleDown     = "shrink"    // backends drain and are removed, and come back cold
	FaultScaleUp       = "join"      // backends that did not exist before start cold, and stay
)

// Kinds of faults that are an operator's actions. They act on real processes, so that only a run on sockets has them.
const (
	FaultCordon  = "cordon"  // backends are cordoned at all nodes, and uncordoned at the fault's end
	FaultQuiesce = "quiesce" // nodes send their clients away, and accept them again at the fault's end
	FaultUpgrade = "upgrade" // a new process takes over from each node's by hot restart, once
)

// Kinds of faults that only the simulation in virtual time has: the backends and the endpoint list on sockets can't have
// them.
const (
	FaultListEmpty       = "list-empty" // the endpoint list says that all backends are removed, while all work
	FaultStuckReports    = "stuck"      // backends are slower by Factor, and repeat their last load report
	FaultPoisonRequests  = "fell"       // requests of Class, each with Chance, crash the backend that starts them, for PauseMs
	FaultConnectionLimit = "squeeze"    // backends close idle connections, and accept no more than Factor connections
)

// FaultKinds are the kinds that both hosts have. The search draws from them by their place, so that another order
// or length would change what a seed of it finds.
var FaultKinds = []string{
	FaultSwallow,
	FaultErrors,
	FaultPauses,
	FaultSlow,
	FaultCrash,
	FaultMachineLoss,
	FaultZonePartition,
	FaultListDelay,
	FaultListDown,
	FaultNodeCrash,
	FaultBurst,
	FaultCostly,
	FaultWrongReports,
	FaultScaleDown,
	FaultScaleUp,
}

// OperatorFaultKinds are the kinds that only a run on sockets has.
var OperatorFaultKinds = []string{FaultCordon, FaultQuiesce, FaultUpgrade}

// VirtualFaultKinds are the kinds that only virtual time has.
var VirtualFaultKinds = []string{FaultListEmpty, FaultStuckReports, FaultPoisonRequests, FaultConnectionLimit}

// NeedsVirtualTime reports whether the experiment has a fault that only virtual time has.
func (e *Experiment) NeedsVirtualTime() bool { return e.hasFaultOf(VirtualFaultKinds) }

// NeedsOperator reports whether the experiment has an operator's actions, for which nodes need an admin address.
func (e *Experiment) NeedsOperator() bool { return e.hasFaultOf(OperatorFaultKinds) }

func (e *Experiment) hasFaultOf(kinds []string) bool {
	return slices.ContainsFunc(e.Faults, func(fault Fault) bool { return slices.Contains(kinds, fault.Kind) })
}
