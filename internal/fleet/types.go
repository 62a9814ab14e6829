// Package fleet plans the steps for the instances of the program on one host. It compares the declared instances with
// what was observed of them; changes are rolled out a few instances at a time, and rolled back when one fails. The
// package has no I/O and no clock: times are ms that the caller passes in.
//
// What must survive a crash of the agent is in State, which the caller stores before and after each step. A crash
// between the two is safe, because steps follow from what is observed, not from what was intended: the next agent
// observes again.
//
// JSON names and the strings of enumerations are stored, and are part of the agent's API. They keep names of earlier
// versions ("wanted" for desired, "alien" for foreign, "no_revert" for no rollback), which this package maps to its
// own.
package fleet

import (
	"maps"
	"slices"
)

// DesiredState tells whether an instance is declared to run.
type DesiredState string

// The desired states.
const (
	Running DesiredState = "running"
	Stopped DesiredState = "stopped"
)

// Instance holds the declaration of an instance.
type Instance struct {
	Name      string       `json:"name"`
	Listen    string       `json:"listen"`
	Config    string       `json:"config"` // path of the operator's configuration file
	Digest    string       `json:"digest"` // of the copy of that file that the instance runs
	Discovery string       `json:"list"`   // address of the endpoint list's source
	Desired   DesiredState `json:"wanted"`
	Epoch     uint64       `json:"epoch"` // number of restarts that operators have asked for
}

// Set holds declared instances by name.
type Set map[string]Instance

// Names returns the names, sorted.
func (s Set) Names() []string { return slices.Sorted(maps.Keys(s)) }

// Clone returns a copy.
func (s Set) Clone() Set { return maps.Clone(s) }

// Generation holds a set and its number. Numbers only grow.
type Generation struct {
	Number uint64 `json:"number"`
	Set    Set    `json:"set"`
}

// Phase is the state of an instance's process, as observed.
type Phase string

// The phases.
const (
	PhaseUnknown      Phase = "unknown" // it can't be observed now; the last known phase is not assumed
	PhaseDown         Phase = "down"    // proven: no process holds its lock
	PhaseStarting     Phase = "starting"
	PhaseReady        Phase = "ready" // it has an endpoint list and could serve
	PhaseShuttingDown Phase = "ending"
	PhaseForeign      Phase = "alien" // its lock is held by a process that can't prove that it is the instance; left alone
)

// Observation holds the observed state of an instance.
type Observation struct {
	Phase        Phase   `json:"phase"`
	ObservedAt   float64 `json:"at"` // ms
	PID          int     `json:"pid,omitempty"`
	Digest       string  `json:"digest,omitempty"` // of the configuration that it runs
	Epoch        uint64  `json:"epoch,omitempty"`
	Discovery    string  `json:"list,omitempty"` // address where it polls its endpoint list
	ListVersion  uint64  `json:"list_version,omitempty"`
	ListDigest   string  `json:"list_digest,omitempty"`
	InService    bool    `json:"in_service"`
	OpenRequests int64   `json:"open_ops"`
	MemoryMB     float64 `json:"memory_mb,omitempty"`
	CertStage    string  `json:"cert_stage,omitempty"` // of the certificate that expires first
	CertExpiry   float64 `json:"cert_ends,omitempty"`  // Unix ms; 0 if the certificate is missing
	Settings     string  `json:"settings,omitempty"`   // in force from the control plane: version, digest, age, member
	Reason       string  `json:"why,omitempty"`        // for PhaseUnknown and PhaseForeign
	IsProven     bool    `json:"proven"`               // the process that holds its lock is the one that was started
}

// SourceDigest holds the version and digest of an endpoint list that the agent itself has read from its source.
type SourceDigest struct {
	ReadAt  float64
	Version uint64
	Digest  string
}

// Status is the status of a Change.
type Status string

// The statuses. Succeeded, RolledBack and Stuck are final.
const (
	Rolling     Status = "rolling"
	RollingBack Status = "rolling back"
	Succeeded   Status = "done"
	RolledBack  Status = "rolled back"
	Stuck       Status = "stuck" // neither rolled out nor rolled back: left as it is, for the operator to decide
)

// IsFinal reports whether the change is over.
func (s Status) IsFinal() bool { return s == Succeeded || s == RolledBack || s == Stuck }

// Options control how a change is rolled out.
type Options struct {
	MaxUnavailable int     `json:"at_once"`   // instances that are out of service for the change at a time; at least 1
	Canary         int     `json:"canary"`    // instances that are changed first, before all others
	HealthMs       float64 `json:"health_ms"` // how long an instance must stay healthy before the next ones follow
	NoRollback     bool    `json:"no_revert"` // a failure stops the change and leaves it there
}

// Change takes the instances from one generation to another.
type Change struct {
	ID           uint64             `json:"id"`
	StartedAt    float64            `json:"at"`
	Author       string             `json:"author"`
	Reason       string             `json:"reason"`
	Command      string             `json:"what"` // the command that the operator gave
	From         uint64             `json:"from"`
	To           uint64             `json:"to"`
	Options      Options            `json:"options"`
	Order        []string           `json:"order"`   // the instances that are changed, in their order
	Reached      int                `json:"reached"` // number of instances, counted from the start of Order, that are meant to be as in generation To by now
	MaxReached   int                `json:"most"`    // Reached when the rollback began
	HealthySince map[string]float64 `json:"well"`    // since when a reached instance is healthy, ms
	Healthy      map[string]bool    `json:"done"`    // reached instances that stayed healthy for HealthMs
	Status       Status             `json:"status"`
	Failure      string             `json:"failure,omitempty"`
	EndedAt      float64            `json:"ended,omitempty"`
}

// Clone returns a copy that the fleet does not write to.
func (c Change) Clone() Change {
	c.Order, c.HealthySince, c.Healthy = slices.Clone(c.Order), maps.Clone(c.HealthySince), maps.Clone(c.Healthy)
	return c
}

// Step is an operation of the agent on one instance.
type Step string

// The steps.
const (
	StepStart     Step = "start"     // start a process
	StepTerminate Step = "terminate" // send SIGTERM
	StepKill      Step = "kill"      // send SIGKILL
	StepAdmit     Step = "admit"     // let the instance serve
	StepWithdraw  Step = "withhold"  // take the instance out of service
	StepForget    Step = "forget"    // remove the files of an instance that is neither declared nor running
)

// Record holds what is stored of an instance across restarts of the agent. Times are ms.
type Record struct {
	Name         string    `json:"name"`
	PendingStep  Step      `json:"doing,omitempty"` // stored before the step is executed, cleared after
	Token        string    `json:"token,omitempty"` // with which the process proves that it is the instance
	PID          int       `json:"pid,omitempty"`
	Digest       string    `json:"digest,omitempty"` // of the configuration that it was last started with
	Epoch        uint64    `json:"epoch,omitempty"`
	StartedAt    float64   `json:"started_at,omitempty"` // 0 if no process is to be found
	TerminatedAt float64   `json:"term_at,omitempty"`    // when SIGTERM was sent; 0 before
	WasReady     bool      `json:"was_ready,omitempty"`  // since that start
	Failures     []float64 `json:"tries,omitempty"`      // recent starts that failed or exited by themselves
	NextStartAt  float64   `json:"next_at,omitempty"`    // no start before this time
	CrashLooping bool      `json:"halted,omitempty"`     // in a crash loop: not started again until an operator applies a change, which always includes such instances
	LastFailure  string    `json:"fault,omitempty"`      // cause of the latest failure
}

// State holds all that must survive the agent.
type State struct {
	Revision    uint64            `json:"revision"`
	Generations []Generation      `json:"generations"` // oldest first
	Changes     []Change          `json:"changes"`     // oldest first
	Records     map[string]Record `json:"records"`
}

// Bounds of the stored history: enough to roll back and to see who changed what, in a state of a few hundred kB.
const (
	maxGenerations = 20
	maxChanges     = 200
)

// Timing holds time limits, in ms.
type Timing struct {
	StartTimeoutMs    float64 // from start to ready
	ShutdownTimeoutMs float64 // from SIGTERM to SIGKILL, for the answers to requests in flight
	BaseBackoffMs     float64 // after a failed start; doubled with each further failure
	MaxBackoffMs      float64
	CrashLoopCount    int // failures within CrashLoopWindowMs that count as a crash loop
	CrashLoopWindowMs float64
	ObservationTTLMs  float64 // an older observation counts as unknown
}

// DefaultTiming returns limits that fit a node with deadlines of a few seconds.
func DefaultTiming() Timing {
	return Timing{
		StartTimeoutMs:    15e3,
		ShutdownTimeoutMs: 10e3,
		BaseBackoffMs:     500,
		MaxBackoffMs:      60e3,
		CrashLoopCount:    5,
		CrashLoopWindowMs: 120e3,
		ObservationTTLMs:  5e3,
	}
}
