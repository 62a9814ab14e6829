// Package requestlog maintains replicated logs of the requests that the members of a fleet have in flight. It decides which
// member takes over the requests of a lost member, and how that member proceeds with them.
//
// There is one log for each member of the fleet. The hash of a request's key selects the log that holds the request's records,
// whichever member accepted the request. Two requests with the same key are therefore recorded in the same log, which alone
// determines the member that owns the request. Each log is a raft group (go.etcd.io/raft/v3) whose replicas are on some of the
// members.
//
// The package does no I/O and starts no goroutine. Time, links and frames are inputs through method calls on Member; frames to
// send, replies and takeovers are outputs of Member.Next. Times are Unix ms by the clock of the member that recorded them.
// Times in records (Deadline, StartedAt, LeaderTime) are compared with other members' clocks after a takeover; takeover.go
// describes what depends on that.
//
// docs/takeover.md describes the guarantees and the alternatives that were considered.
package requestlog
