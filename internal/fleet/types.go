// Package fleet decides what is to be done about the instances of the program on one host. The declared instances
// and what was observed of them come in, the next steps come out; changes are rolled out a few instances at a time,
// and rolled back when one fails. The package has no I/O and no clock: times are ms that the caller passes in.
//
// What must survive a crash of the agent is in State, which the caller stores before and after each step. A crash
// between the two is safe, because steps follow from what is observed, not from what was intended: the next agent
// observes again.
//
// JSON names and the strings of enumerations are stored, and are part of the agent's API. They keep words of
// earlier versions ("wanted" for desired, "alien" for foreign, "no_revert" for no rollback): this package is where
// they are mapped.
package fleet

import (
	"maps"
	"slices"
)

// DesiredState is whether an instance is to run.
type DesiredState string

// The desired states.
const (
	Running DesiredState = "running"
	Stopped DesiredState = "stopped"
)

// Instance is a declared instance.
type Instance struct {
	Name      string       `json:"name"`
	Listen    string       `json:"listen"`
	Config    string       `json:"config"` // the operator's file, of which the instance runs the copy with Digest
	Digest    string       `json:"digest"` // of that copy
	Discovery string       `json:"list"`   // address of the endpoint list's source
	Desired   DesiredState `json:"wanted"`
	Epoch     uint64       `json:"epoch"` // number of restarts that operators have asked for
}

// Set is a set of declared instances, by name.
type Set map[string]Instance

// Names returns the names, sorted.
func (s Set) Names() []string { return slices.Sorted(maps.Keys(s)) }

// Clone returns a copy.
func (s Set) Clone() Set { return maps.Clone(s) }

// Generation is a set with its number. Numbers only grow.
type Generation struct {
	Number uint64 `json:"number"`
	Set    Set    `json:"set"`
}

// Phase is the state of an instance's process, as observed.
type Phase string

// The phases.
const (
	PhaseUnknown      Phase = "unknown" // it can't be told now; the last known phase is not assumed
	PhaseDown         Phase = "down"    // proven: no process holds its lock
	PhaseStarting     Phase = "starting"
	PhaseReady        Phase = "ready" // it has an endpoint list and could serve
	PhaseShuttingDown Phase = "ending"
	PhaseForeign      Phase = "alien" // a process that can't prove to be the instance holds its lock: left alone
)

// Observation is what was observed of an instance.
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
	Settings     string  `json:"settings,omitempty"`   // in force by the control plane: version, digest, age, member
	Reason       string  `json:"why,omitempty"`        // for PhaseUnknown and PhaseForeign
	IsProven     bool    `json:"proven"`               // the process that holds its lock is the one that was started
}

// SourceDigest is the version and digest of an endpoint list as the agent itself has read it from its source.
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

// Options say how a change is rolled out.
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
	Command      string             `json:"what"` // what the operator called
	From         uint64             `json:"from"`
	To           uint64             `json:"to"`
	Options      Options            `json:"options"`
	Order        []string           `json:"order"`   // the instances that are changed, in their order
	Reached      int                `json:"reached"` // instances of Order, from its first, that are to be as in To
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

// Step is what the agent does to one instance.
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

// Record is what is stored of an instance across restarts of the agent. Times are ms.
type Record struct {
	Name         string    `json:"name"`
	PendingStep  Step      `json:"doing,omitempty"` // stored before the step is taken, cleared after
	Token        string    `json:"token,omitempty"` // with which the process proves to be the instance
	PID          int       `json:"pid,omitempty"`
	Digest       string    `json:"digest,omitempty"` // of the configuration that it was last started with
	Epoch        uint64    `json:"epoch,omitempty"`
	StartedAt    float64   `json:"started_at,omitempty"` // 0 if no process is to be found
	TerminatedAt float64   `json:"term_at,omitempty"`    // when SIGTERM was sent; 0 before
	WasReady     bool      `json:"was_ready,omitempty"`  // since that start
	Failures     []float64 `json:"tries,omitempty"`      // recent starts that failed or exited by themselves
	NextStartAt  float64   `json:"next_at,omitempty"`    // not started before
	CrashLooping bool      `json:"halted,omitempty"`     // not started again until an operator changes it
	LastFailure  string    `json:"fault,omitempty"`      // why the latest failure happened
}

// State is all that must survive the agent.
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

// Timing has time limits, in ms.
type Timing struct {
	StartTimeout    float64 // from start to ready
	ShutdownTimeout float64 // from SIGTERM to SIGKILL, for the answers to requests in flight
	BaseBackoffMs   float64 // after a failed start; doubled with each further failure
	MaxBackoffMs    float64
	CrashLoopCount  int // failures within CrashLoopWindow that are a crash loop
	CrashLoopWindow float64
	ObservationTTL  float64 // an older observation counts as unknown
}

// DefaultTiming fits a node with deadlines of a few seconds.
func DefaultTiming() Timing {
	return Timing{
		StartTimeout:    15e3,
		ShutdownTimeout: 10e3,
		BaseBackoffMs:   500,
		MaxBackoffMs:    60e3,
		CrashLoopCount:  5,
		CrashLoopWindow: 120e3,
		ObservationTTL:  5e3,
	}
}
