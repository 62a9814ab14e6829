// Package requestlog maintains replicated logs of the requests that the members of a fleet have in flight. It decides which
// member takes over the requests of a lost one, and what it does with them.
//
// There is one log for each member of the fleet. The hash of a request's key names the log that holds the request's records,
// whichever member accepted the request. Two requests with one key therefore meet in one log, and that log alone says which
// member owns the request. Each log is a raft group (go.etcd.io/raft/v3) whose replicas lie on some of the members.
//
// The package does no I/O and starts no goroutine. Time, links and frames come in as method calls on Member; frames to send,
// replies and takeovers are pulled with Member.Next. Times are Unix ms by the clock of the
// member that took them. Those in records (Deadline, StartedAt, LeaderTime) are compared with other members' clocks after a
// takeover; takeover.go says what depends on that.
//
// docs/takeover.md describes the alternatives that were considered, and what is promised.
package requestlog
