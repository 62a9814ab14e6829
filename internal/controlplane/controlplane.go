// Package controlplane is the core of the control plane: one versioned history of the settings, agreed on by few voters, told on by
// relays, followed by nodes. No I/O, no goroutines: time comes in as ms, what is to be done is pulled, chance is seeded.
//
// A change is a difference between two documents with the digest of what it must come to. A follower applies it only to the version
// right before, and only if the digest is right; else it asks for what it lacks. How old a view can be is known without synchronised
// clocks: a follower's status bears its own time, the server's heartbeat gives that back with how long before or after it, by the
// server's clock, the server was known to have all. What came late thus counts from when it was asked for, not from its receipt.
package controlplane

import (
	pb "go.etcd.io/raft/v3/raftpb"
)

// Flaw names a part left out on purpose, so that a test can show that its absence is noticed.
type InjectedBug int

const (
	NoInjectedBug           InjectedBug = iota
	BugOutOfOrderChange                 // a follower applies whatever change comes, whichever version it holds; one out of turn unchecked
	BugDigestUnchecked                  // a follower doesn't compare digests
	BugReplyBeforeCommit                // a leader answers once it has the proposal itself
	BugFreshWithoutQuorum               // a voter that leads takes itself for fresh without asking the others
	BugStalenessFromReceipt             // a follower counts an age from a heartbeat's receipt
	BugStayWithStaleServer              // a follower stays with a server however old that one's copy is
	BugBaseUnchecked                    // the state machine takes a change to whatever version it has
)

// Digest is the SHA-256 of a document's text.
type Digest [32]byte

// Splice replaces lines: At counts lines of the document before the change; splices ascend and don't overlap.
type Splice struct {
	Line, Delete uint64
	Insert       []string // without their line ends
}

// Change leads from one version to the next.
type Change struct {
	Version      uint64
	ID           uint64 // the proposal's, drawn by whoever proposed it: by it a client that lost its answer finds it in the log
	Digest       Digest // of the result
	Splices      []Splice
	By, Reason   string
	ProposedAtMs float64 // Unix ms by the leader's clock: shown, never reckoned with
}

// VoterTerms are a voter's own.
type VoterConfig struct {
	ID                uint64
	Voters            []uint64
	Seed              uint64
	SnapshotThreshold int // bytes of entries between two images; 0 is the usual, 1 MB or a quarter of the text
	RetainedChanges   int // changes kept, the same for all voters; 0 is the usual, 4,096
	InjectedBug       InjectedBug
}

// Stored is what a voter's store holds. Keep does to it what a store must do at a Persist.
type StoredState struct {
	HardState *pb.HardState
	ConfState *pb.ConfState // also in the snapshot
	Snapshot  *pb.Snapshot
	Entries   []*pb.Entry // ascending without gaps, right after the snapshot's index or from before it
}

// Persist is to be durable as a whole before anything that Next gives after it. A snapshot takes the place of the one before, and
// entries up to its index go (all of them where it is Restored, from another voter). Entries take the place of all stored ones from
// their first index on.
type Persist struct {
	HardState *pb.HardState
	Snapshot  *pb.Snapshot
	Restored  bool
	Entries   []*pb.Entry
}

// Proposal is an operator's change: the whole document as it shall be.
type Proposal struct {
	Base       uint64 // the version that it was made from
	Document   *Document
	By, Reason string
}

// Code is what became of a proposal.
type Code int

const (
	CodeDone           Code = iota + 1 // in the history, on a majority's disks
	CodeConflict                       // the head is another than its base: Version
	CodeNotLeader                      // not taken: Leader leads, or nobody known (0)
	CodeLeadershipLost                 // the leader went: it may or may not come into force; the log will tell by its ID
	CodeInvalid                        // can't be: Why
	CodeBusy                           // not taken: too many proposals in hand
)

func (c Code) String() string {
	return [...]string{"", "done", "conflict", "not the leader", "lost", "invalid", "busy"}[c]
}

// Result answers a proposal. Version is the one that it made with Done (its earlier one, where the ID is in the log), the head's
// with Conflict.
type Result struct {
	Code    Code
	Version uint64
	Leader  uint64
	Detail  string
}

// VoterSend is a message for another voter; messages to one voter are to stay in order, any may be lost.
type VoterMessage struct {
	To   uint64
	Data []byte // at most MostFrame
}

// Reply answers a Propose, by its ID.
type Reply struct {
	ID     uint64
	Result Result
}

// VoterOutput is one of these.
type VoterOutput struct {
	Persist   *Persist
	Send      *VoterMessage
	Reply     *Reply
	Committed *Change // now in History
	Restored  bool    // History is another voter's, whole
}

// Copy is a version of the document; version 0 is none.
type VersionedDocument struct {
	Version  uint64
	Document *Document
}

// Target is a member that can be followed.
type Target struct{ Name, Region string }

// The kinds of followers.
const (
	KindNode   = "node"
	KindMember = "member"
)

// ServerTerms are a server's own.
type ServerConfig struct {
	Name, Region string
	Seed         uint64
}

// ServerOutput is a frame for a connection, or its end.
type ServerOutput struct {
	Conn             uint64
	Frame            []byte // at most MostFrame; nil with Hangup
	Disconnect       bool
	DisconnectReason string
}

// Lease is what a server knows of one follower that it has heard of within LeaseMs.
type Lease struct {
	Name, Region, Kind                             string
	StoredVersion, AppliedVersion, RejectedVersion uint64
	RejectReason                                   string  // why it refused
	BehindMs                                       float64 // ms since the head that it hasn't in force came here; 0 is up to date
	StalenessMs                                    float64 // ms: how old its copy may be, by its own word
	LastSeenAt                                     float64 // when it was last heard
}

// FollowerTerms are a follower's own.
type FollowerConfig struct {
	Name, Region, Kind string
	Members            []Target
	RetainedChanges    int // changes that a member keeps; 0 is the usual, 4,096. A node keeps none
	Seed               uint64
	InjectedBug        InjectedBug
}

// Take is the newest copy held, to be put in force and kept on disk. What is in force is said by InForce, or Refused.
type DocumentUpdate struct {
	Version  uint64
	Document *Document
	Changes  []Change // that led there from the Take before; nil where it came whole
}

// FollowerOutput is one of these.
type FollowerOutput struct {
	Dial       bool // a connection to Members[Member], that ends in Connected or Lost
	Member     int
	Disconnect bool // the connection, or the dial, is given up: no Lost follows
	Frame      []byte
	Update     *DocumentUpdate
}

// FollowerState is how a follower stands.
type FollowerState struct {
	StoredVersion, AppliedVersion, RejectedVersion uint64
	RejectReason                                   string
	Digest                                         Digest
	StalenessMs                                    float64 // ms: it has all that was acknowledged before; infinite before the first contact
	Member                                         string  // that it follows, or ""
}
