// Package fleet decides what is to be done about many instances of the program on one host: declared ones and what was
// seen of them come in, the next steps come out. It does no I/O, starts nothing and holds no clock: times are ms of the
// caller's, and whatever it must not forget is in its State, which the caller writes down before and after each step.
// A crash between any two of those is healed by looking again: steps follow from what is seen, not from what was meant.
package fleet

import (
	"maps"
	"slices"
)

// Wanted is whether an instance is to run.
type Wanted string

// Whether an instance is to run.
const (
	Running Wanted = "running"
	Stopped Wanted = "stopped"
)

// Instance is one as declared.
type Instance struct {
	Name   string `json:"name"`
	Listen string `json:"listen"`
	Config string `json:"config"` // file; the instance gets a copy of what it was at the declaration
	Digest string `json:"digest"` // of that copy
	List   string `json:"list"`   // where the list is asked for
	Wanted Wanted `json:"wanted"`
	Epoch  uint64 `json:"epoch"` // counts restarts asked for
}

// Set is all that is declared, by name.
type Set map[string]Instance

// Names are in order.
func (s Set) Names() []string { return slices.Sorted(maps.Keys(s)) }

// Clone is a set of its own.
func (s Set) Clone() Set { return maps.Clone(s) }

// Generation is a set with its number; numbers only grow.
type Generation struct {
	Number uint64 `json:"number"`
	Set    Set    `json:"set"`
}

// Phase is what an instance is seen to be.
type Phase string

// Phases of an instance, as the agent observes them.
const (
	Unknown  Phase = "unknown" // it can't be told now: never the last good value
	Down     Phase = "down"    // proven: nothing holds its lock
	Starting Phase = "starting"
	Ready    Phase = "ready" // it holds a list and could serve
	Ending   Phase = "ending"
	Alien    Phase = "alien" // its lock is held by what can't prove to be it: nothing is done to it
)

// Seen is what was seen of an instance.
type Seen struct {
	Phase     Phase   `json:"phase"`
	At        float64 `json:"at"` // when
	Pid       int     `json:"pid,omitempty"`
	Digest    string  `json:"digest,omitempty"` // of the configuration that it runs
	Epoch     uint64  `json:"epoch,omitempty"`
	List      string  `json:"list,omitempty"` // where it asks for the list
	ListAt    uint64  `json:"list_version,omitempty"`
	ListSum   string  `json:"list_digest,omitempty"`
	InService bool    `json:"in_service"`
	Open      int64   `json:"open_ops"`
	MemoryMB  float64 `json:"memory_mb,omitempty"`
	CertStage string  `json:"cert_stage,omitempty"` // of the certificate that ends first
	CertEnds  float64 `json:"cert_ends,omitempty"`  // Unix ms; 0 where it is missing
	Settings  string  `json:"settings,omitempty"`   // that the control plane has put in force: version, digest, age, member
	Why       string  `json:"why,omitempty"`        // of Unknown, Alien
	Proven    bool    `json:"proven"`               // the process that holds its lock is the one that was started
}

// Witness is what the agent itself read from a list's source.
type Witness struct {
	At      float64
	Version uint64
	Sum     string
}

// Status of a change.
type Status string

// Statuses of a Change.
const (
	Rolling    Status = "rolling"
	Reverting  Status = "rolling back"
	Succeeded  Status = "done"
	RolledBack Status = "rolled back"
	Stuck      Status = "stuck" // neither forward nor back: told to the operator, and left as it is, part here, part there
)

// Over tells whether nothing more happens by it.
func (s Status) Over() bool { return s == Succeeded || s == RolledBack || s == Stuck }

// Options are how a change rolls.
type Options struct {
	AtOnce   int     `json:"at_once"`   // instances out of service at a time for it
	Canary   int     `json:"canary"`    // that go first, alone
	HealthMs float64 `json:"health_ms"` // so long one must stay in service before the next begin
	NoRevert bool    `json:"no_revert"` // stop on failure, and leave it there
}

// Change is a transaction: from one generation to another.
type Change struct {
	ID      uint64             `json:"id"`
	At      float64            `json:"at"`
	Author  string             `json:"author"`
	Reason  string             `json:"reason"`
	What    string             `json:"what"` // the command
	From    uint64             `json:"from"`
	To      uint64             `json:"to"`
	Options Options            `json:"options"`
	Order   []string           `json:"order"`   // those that differ, in the order in which they go
	Reached int                `json:"reached"` // so many of Order are to be as in To, the others as in From
	Most    int                `json:"most"`    // and so many were, when it was turned
	Well    map[string]float64 `json:"well"`    // of those reached: since when it is as wanted
	Done    map[string]bool    `json:"done"`    // and those that stayed so
	Status  Status             `json:"status"`
	Failure string             `json:"failure,omitempty"`
	Ended   float64            `json:"ended,omitempty"`
}

// Clone is a change of its own: the core goes on writing into its maps.
func (c Change) Clone() Change {
	c.Order, c.Well, c.Done = slices.Clone(c.Order), maps.Clone(c.Well), maps.Clone(c.Done)
	return c
}

// Step is what the agent does about one instance.
type Step string

// Steps that the agent takes for one instance.
const (
	Start     Step = "start"
	Terminate Step = "terminate"
	Kill      Step = "kill"
	Admit     Step = "admit"
	Withhold  Step = "withhold"
	Forget    Step = "forget" // one no longer declared, and down: its files may go
)

// Record is what the agent keeps of an instance between its own lives.
type Record struct {
	Name      string    `json:"name"`
	Doing     Step      `json:"doing,omitempty"` // written before it is taken, cleared after
	Token     string    `json:"token,omitempty"` // that the process must answer with
	Pid       int       `json:"pid,omitempty"`
	Digest    string    `json:"digest,omitempty"` // of the configuration it was last started with
	Epoch     uint64    `json:"epoch,omitempty"`
	StartedAt float64   `json:"started_at,omitempty"`
	TermAt    float64   `json:"term_at,omitempty"`
	WasReady  bool      `json:"was_ready,omitempty"` // since that start
	Tries     []float64 `json:"tries,omitempty"`     // of starts that came to nothing or ended by themselves, lately
	NextAt    float64   `json:"next_at,omitempty"`
	Halted    bool      `json:"halted,omitempty"` // in a crash loop: not started again by itself
	Fault     string    `json:"fault,omitempty"`  // the latest
}

// State is all that must outlive the agent.
type State struct {
	Revision    uint64            `json:"revision"`
	Generations []Generation      `json:"generations"` // the latest last
	Changes     []Change          `json:"changes"`     // the latest last
	Records     map[string]Record `json:"records"`
}

// Limits of what is kept.
const (
	mostGenerations = 20
	mostChanges     = 200
)

// Timing is how long things may take, in ms.
type Timing struct {
	StartWithin float64 // from a start until ready
	EndWithin   float64 // from SIGTERM until it is killed: all the time that it has for its last answers
	BackoffMs   float64 // after a start that came to nothing; doubled with each
	BackoffMost float64
	LoopCount   int     // so many of them ...
	LoopWithin  float64 // ... in so long are a loop
	SeenWithin  float64 // what was seen longer ago is unknown
}

// Defaults hold for a node with ops of some seconds.
func Defaults() Timing {
	return Timing{StartWithin: 15e3, EndWithin: 10e3, BackoffMs: 500, BackoffMost: 60e3, LoopCount: 5, LoopWithin: 120e3, SeenWithin: 5e3}
}
