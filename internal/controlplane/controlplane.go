// Package controlplane is the core of the control plane. It holds one versioned history of the fleet's configuration, which a few
// voters agree on by raft (Voter), which members without a vote relay (Follower and Server together) and which nodes follow
// (Follower).
//
// "Control plane" means the service that distributes the configuration to the nodes, and nothing else in this program. Operators'
// commands to one running process have other ways: package controlsocket (the Unix socket of a process, which also says what a node
// has of the control plane) and package admin (the TCP address of a node).
//
// The package does no I/O and starts no goroutines. Time comes in as a float64 in ms on the caller's monotonic clock, random numbers
// come from a seed, and decisions are pulled by Next. An adapter carries them out: the packages client and member over sockets, the
// lab in virtual time.
//
// Durations here are in ms and their names end in Ms; points in time are in ms of the caller's clock and their names end in At. The
// packages client and member use time.Duration, except in the JSON that they exchange, whose fields follow the rule of this package.
//
// A Change is a difference between two documents, with the digest of the result. A follower applies it only to the version right
// before it and only if the result has that digest; otherwise it asks for what it lacks.
//
// # Staleness
//
// The staleness of a copy is bounded without synchronised clocks. A follower's status carries the follower's own time. The server's
// heartbeat returns that time, with the offset between the moment that the server received the status and the moment at which the
// server's copy was known to be complete, both by the server's clock. The follower adds the two. A heartbeat that was delayed on the
// way therefore proves freshness as of the moment that the status was sent, never as of its own receipt.
package controlplane

import (
	pb "go.etcd.io/raft/v3/raftpb"
)

// InjectedBug names a safety check that a test leaves out, to show that its absence is noticed.
type InjectedBug int

// The injected bugs.
const (
	NoInjectedBug           InjectedBug = iota
	BugOutOfOrderChange                 // a follower applies a change to whatever version it has
	BugDigestUnchecked                  // a follower doesn't compare digests
	BugReplyBeforeCommit                // a leader answers a proposal before a majority has stored it
	BugFreshWithoutQuorum               // a leader takes its history for current without asking the other voters
	BugStalenessFromReceipt             // a follower counts staleness from the receipt of a heartbeat
	BugStayWithStaleServer              // a follower stays with a server however stale that server's copy is
	BugBaseUnchecked                    // the state machine applies a change to a version that it was not made from
)

// Digest is the SHA-256 of a document's text.
type Digest [32]byte

// Splice replaces lines of a document. The splices of a change ascend and don't overlap.
type Splice struct {
	Line   uint64   // number of lines before the splice, in the document before the change
	Delete uint64   // lines to remove
	Insert []string // lines to put in their place, without line ends
}

// Change leads from one version to the next.
type Change struct {
	Version      uint64
	ID           uint64 // drawn by the proposer, who finds the change in the history by it when the reply was lost
	Digest       Digest // of the resulting document
	Splices      []Splice
	By, Reason   string
	ProposedAtMs float64 // Unix ms by the leader's clock: for display only, no decision depends on it
}

// VoterConfig configures a Voter.
type VoterConfig struct {
	ID                uint64
	Voters            []uint64 // IDs of all voters, this one's among them
	Seed              uint64   // of the election timeouts
	SnapshotThreshold int      // bytes of log entries between two snapshots; 0 is the default, 1 MB or a quarter of the document
	RetainedChanges   int      // the same for all voters; 0 is the default, 4,096
	InjectedBug       InjectedBug
}

// StoredState is the content of a voter's durable store.
type StoredState struct {
	HardState *pb.HardState
	ConfState *pb.ConfState // that of the snapshot
	Snapshot  *pb.Snapshot
	Entries   []*pb.Entry // ascending without gaps; the first is at most one past the snapshot's index
}

// Persist is a write that must be durable as a whole before any later output of Next is carried out. A snapshot replaces the earlier
// one and removes the entries up to its index, or all entries if it is Restored. Entries replace all stored ones from their first
// index on.
type Persist struct {
	HardState *pb.HardState
	Snapshot  *pb.Snapshot
	Restored  bool // the snapshot is another voter's
	Entries   []*pb.Entry
}

// Proposal is an operator's change: the whole document as it shall be.
type Proposal struct {
	Base       uint64 // version that it was made from
	Document   *Document
	By, Reason string
}

// Code is the outcome of a proposal. Its numbers are sent over links.
type Code int

// The outcomes of a proposal.
const (
	CodeDone           Code = iota + 1 // committed: in the history, and stored by a majority
	CodeConflict                       // the head, Result.Version, is not the proposal's base
	CodeNotLeader                      // not taken: Result.Leader leads, or is 0 if no leader is known
	CodeLeadershipLost                 // the leader lost its term: the change may be committed or not, its ID in the history tells
	CodeInvalid                        // can't be applied: Result.Detail says why
	CodeBusy                           // not taken: too many proposals are pending
)

// String returns the text by which logs and command lines show the code.
func (c Code) String() string {
	return [...]string{"", "done", "conflict", "not the leader", "lost", "invalid", "busy"}[c]
}

// Result answers a proposal.
type Result struct {
	Code    Code
	Version uint64 // the version made, with CodeDone, also if an earlier proposal of this ID made it; the head, with CodeConflict
	Leader  uint64
	Detail  string
}

// VoterMessage is a message for another voter. Messages to one voter have to stay in order; any of them may be lost.
type VoterMessage struct {
	To   uint64
	Data []byte // at most MaxFrameBytes
}

// Reply answers Propose.
type Reply struct {
	ID     uint64 // the proposal's
	Result Result
}

// VoterOutput has exactly one of its fields set.
type VoterOutput struct {
	Persist   *Persist
	Send      *VoterMessage
	Reply     *Reply
	Committed *Change // was appended to History
	Restored  bool    // History was replaced by another voter's
}

// VersionedDocument is one version of the document. Version 0 is none.
type VersionedDocument struct {
	Version  uint64
	Document *Document
}

// Target is a member that can be followed.
type Target struct{ Name, Region string }

// The kinds of followers.
const (
	KindNode   = "node"   // keeps the newest version only
	KindMember = "member" // a relay, which keeps changes for its own followers
)

// ServerConfig configures a Server.
type ServerConfig struct {
	Seed uint64 // of the heartbeats' phases
}

// ServerOutput is a frame for a connection, or the connection's end.
type ServerOutput struct {
	Conn             uint64
	Frame            []byte // at most MaxFrameBytes; nil with Disconnect
	Disconnect       bool
	DisconnectReason string
}

// Lease is what a server knows of a follower whose last status is at most LeaseDurationMs old.
type Lease struct {
	Name, Region, Kind                             string
	StoredVersion, AppliedVersion, RejectedVersion uint64
	RejectReason                                   string
	BehindMs                                       float64 // since the first version that it hasn't applied arrived here; 0 is up to date
	StalenessMs                                    float64 // upper bound of its copy's staleness, by its own account
	LastSeenAt                                     float64 // ms, by the server's clock
}

// FollowerConfig configures a Follower.
type FollowerConfig struct {
	Name, Region, Kind string
	Members            []Target
	RetainedChanges    int // of a follower of KindMember; 0 is the default, 4,096. A node retains none
	Seed               uint64
	InjectedBug        InjectedBug
}

// DocumentUpdate is the newest version that a follower has stored. The adapter applies it and keeps it on disk, then calls
// VersionApplied or VersionRejected.
type DocumentUpdate struct {
	Version  uint64
	Document *Document
	Changes  []Change // since the update before; nil if the document came as a snapshot
}

// FollowerOutput is one decision of a Follower.
type FollowerOutput struct {
	Dial       bool // open a connection to Members[Member], then call Connected or Disconnected
	Member     int
	Disconnect bool // close the connection or stop the dial; no call of Disconnected follows
	Frame      []byte
	Update     *DocumentUpdate
}

// FollowerState is a follower's state, for display.
type FollowerState struct {
	StoredVersion, AppliedVersion, RejectedVersion uint64
	RejectReason                                   string
	Digest                                         Digest
	StalenessMs                                    float64 // every change acknowledged longer ago is stored; infinite before the first contact
	Member                                         string  // that it is connected to, or empty
}
