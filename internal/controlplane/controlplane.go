// Package controlplane implements the core of the control plane. It holds one versioned history of the fleet's configuration. A few
// voters agree on it by raft (Voter), members without a vote relay it (Follower and Server together), and nodes follow it (Follower).
//
// "Control plane" means the service that distributes the configuration to the nodes, and nothing else in this program. Operators send
// commands to one running process by other channels: package controlsocket (the Unix socket of a process, which also reports the state
// of a node's copy of the configuration) and package admin (the TCP address of a node).
//
// The package does no I/O and starts no goroutines. The caller passes the time as a float64 in ms of its monotonic clock, random
// numbers come from a seed, and Next returns the decisions. An adapter carries them out: the packages client and member over sockets,
// the lab in virtual time.
//
// Durations here are in ms and their names end in Ms; points in time are in ms of the caller's clock and their names end in At. The
// packages client and member use time.Duration, except in the JSON that they exchange, whose fields follow the rule of this package.
//
// A Change is a difference between two documents, with the digest of the result. A follower applies it only to the version right
// before it and only if the result has that digest; otherwise it requests the missing changes or a snapshot.
//
// # Staleness
//
// The bound on a copy's staleness needs no synchronised clocks. A follower's status carries the follower's own time. The server's
// heartbeat returns that time, with the offset between the moment that the server received the status and the moment at which the
// server's copy was known to be complete, both by the server's clock. The follower adds the two. A heartbeat that was delayed on the
// way therefore proves freshness as of the moment that the status was sent, never as of its own receipt.
package controlplane

import (
	pb "go.etcd.io/raft/v3/raftpb"
)

// InjectedBug selects a safety check that is left out, so that a test can show that it detects the absence.
type InjectedBug int

// The injected bugs.
const (
	NoInjectedBug           InjectedBug = iota
	BugOutOfOrderChange                 // a follower applies a change to whatever version it has
	BugDigestUnchecked                  // a follower doesn't compare digests
	BugReplyBeforeCommit                // a leader answers a proposal before a majority has stored it
	BugFreshWithoutQuorum               // a leader treats its history as current without asking the other voters
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
	ID           uint64 // chosen by the proposer, who looks the change up in the history by it when the reply was lost
	Digest       Digest // of the resulting document
	Splices      []Splice
	By, Reason   string
	ProposedAtMs float64 // Unix ms by the leader's clock: for display only, no decision depends on it
}

// VoterConfig configures a Voter.
type VoterConfig struct {
	ID                uint64
	Voters            []uint64 // IDs of all voters, this one's among them
	Seed              uint64   // seed of the election timeouts
	SnapshotThreshold int      // bytes of log entries between two snapshots; 0 is the default, 1 MB or a quarter of the document
	RetainedChanges   int      // number of changes, the same for all voters; 0 is the default, 4,096
	InjectedBug       InjectedBug
}

// StoredState is the content of a voter's durable store.
type StoredState struct {
	HardState *pb.HardState
	ConfState *pb.ConfState // voters as of the snapshot
	Snapshot  *pb.Snapshot
	Entries   []*pb.Entry // ascending without gaps; the first is at most one past the snapshot's index
}

// Persist is a write that must be durable as a whole before any later output of Next is carried out. A snapshot replaces the earlier
// one and removes the entries up to its index, or all entries if it is Restored. Entries replace all stored ones from their first
// index on.
type Persist struct {
	HardState *pb.HardState
	Snapshot  *pb.Snapshot
	Restored  bool // the snapshot came from another voter
	Entries   []*pb.Entry
}

// Proposal is an operator's change. It contains the complete new document.
type Proposal struct {
	Base       uint64 // version that the new document was made from
	Document   *Document
	By, Reason string
}

// Code is the outcome of a proposal. Its numeric values are part of the wire format.
type Code int

// The outcomes of a proposal.
const (
	CodeDone           Code = iota + 1 // committed: in the history, and stored by a majority
	CodeConflict                       // the head, Result.Version, is not the proposal's base
	CodeNotLeader                      // not accepted: Result.Leader is the leader, or 0 if no leader is known
	CodeLeadershipLost                 // the leader was deposed: the change may be committed or not, the history contains its ID if it is
	CodeInvalid                        // the change can't be applied: Result.Detail says why
	CodeBusy                           // not accepted: too many proposals are pending
)

// String returns the text that logs and command lines show for the code.
func (c Code) String() string {
	return [...]string{"", "done", "conflict", "not the leader", "lost", "invalid", "busy"}[c]
}

// Result answers a proposal.
type Result struct {
	Code    Code
	Version uint64 // with CodeDone the change's version, also if an earlier proposal of this ID made it; with CodeConflict the head
	Leader  uint64
	Detail  string
}

// VoterMessage is a message for another voter. Messages to one voter have to stay in order; any of them may be lost.
type VoterMessage struct {
	To   uint64
	Data []byte // at most MaxFrameBytes
}

// Reply is the answer to a call of Propose.
type Reply struct {
	ID     uint64 // ID of the proposal
	Result Result
}

// VoterOutput has exactly one of its fields set.
type VoterOutput struct {
	Persist   *Persist
	Send      *VoterMessage
	Reply     *Reply
	Committed *Change // the change was appended to History
	Restored  bool    // History was replaced by that of another voter
}

// VersionedDocument is one version of the document. Version 0 means that there is none.
type VersionedDocument struct {
	Version  uint64
	Document *Document
}

// Target is a member that a follower can connect to.
type Target struct{ Name, Region string }

// The kinds of followers.
const (
	KindNode   = "node"   // keeps the newest version only
	KindMember = "member" // a relay, which keeps changes for its own followers
)

// ServerConfig configures a Server.
type ServerConfig struct {
	Seed uint64 // seed of the random offsets between the heartbeats of different connections
}

// ServerOutput is one decision of a Server: to send a frame on a connection or to close it.
type ServerOutput struct {
	Conn             uint64
	Frame            []byte // at most MaxFrameBytes; nil with Disconnect
	Disconnect       bool
	DisconnectReason string
}

// Lease holds what a follower last reported to a server. It lasts for LeaseDurationMs after the follower's last status.
type Lease struct {
	Name, Region, Kind                             string
	StoredVersion, AppliedVersion, RejectedVersion uint64
	RejectReason                                   string
	BehindMs                                       float64 // ms since the first version that it hasn't applied arrived here; 0: up to date
	StalenessMs                                    float64 // upper bound of the staleness of its copy, as it reports it
	LastSeenAt                                     float64 // time of its last status, in ms by the server's clock
}

// FollowerConfig configures a Follower.
type FollowerConfig struct {
	Name, Region, Kind string
	Members            []Target
	RetainedChanges    int // number of changes, for KindMember only; 0 is the default, 4,096. A node retains none
	Seed               uint64
	InjectedBug        InjectedBug
}

// DocumentUpdate is the newest version that a follower has stored. The adapter applies it and keeps it on disk, then calls
// VersionApplied or VersionRejected.
type DocumentUpdate struct {
	Version  uint64
	Document *Document
	Changes  []Change // changes since the previous update; nil if the document came as a snapshot
}

// FollowerOutput is one decision of a Follower.
type FollowerOutput struct {
	Dial       bool // open a connection to Members[Member], then call Connected or Disconnected
	Member     int
	Disconnect bool // close the connection or stop the dial, and don't call Disconnected
	Frame      []byte
	Update     *DocumentUpdate
}

// FollowerState is a follower's state, for display.
type FollowerState struct {
	StoredVersion, AppliedVersion, RejectedVersion uint64
	RejectReason                                   string
	Digest                                         Digest
	StalenessMs                                    float64 // changes acknowledged longer ago are stored; infinite until a heartbeat proves it
	Member                                         string  // name of the member that it is connected to; empty if there is none
}
