package controlplane

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Selection of the member that a follower connects to.
//
// Members of the follower's own region come first, and within a region rendezvous hashing spreads the followers evenly. A follower
// switches to another member
//   - when the connection fails: to the next member;
//   - when the member's copy is stale: to the other members of the region, then to one of another region, so that a member that is
//     partitioned from the voters doesn't keep its followers stale;
//   - from a member of another region, after a while: back to its own region.

const (
	// maxServerStalenessMs is the staleness of a member's copy above which the follower looks for a fresher member.
	maxServerStalenessMs = 2000.0
	// The time between two switches to a fresher member grows from min to max, once every local member was tried: if all members are
	// stale, switching doesn't help and each switch costs a hello.
	minStaleSearchIntervalMs = 1000.0
	maxStaleSearchIntervalMs = 30e3
	// The time until a follower of a remote member tries its own region again. The try may leave it without a connection for some
	// seconds. The time is drawn between once and twice the interval, which grows from min to max as the tries fail.
	minLocalRetryIntervalMs = 30e3
	maxLocalRetryIntervalMs = 480e3
)

// orderMembers returns the indices of the members in the order in which they are tried, and how many of them are of the follower's
// region. Within a group the order is by rendezvous hashing: each member gets an even share of the followers, and the loss of a member
// moves only its own followers, evenly to all others.
func orderMembers(config FollowerConfig) (order []int, local int) {
	isLocal := func(member int) bool { return config.Members[member].Region == config.Region }
	score := func(member int) uint64 { return xxhash.Sum64String(config.Name + "\x00" + config.Members[member].Name) }
	for member := range config.Members {
		order = append(order, member)
		if isLocal(member) {
			local++
		}
	}
	slices.SortFunc(order, func(a, b int) int {
		if isLocal(a) != isLocal(b) {
			if isLocal(a) {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(score(b), score(a)), cmp.Compare(a, b))
	})
	return order, local
}

// currentMember returns the index in config.Members of the member that is connected, dialed or to be dialed.
func (f *Follower) currentMember() int { return f.memberOrder[f.current] }

// isRemote reports whether the current member is of another region.
func (f *Follower) isRemote() bool { return f.current >= f.localMemberCount }

// selectAfterFailure selects the member to dial after a connection or a dial has failed.
func (f *Follower) selectAfterFailure() {
	switch {
	case f.tryingRemote:
		f.current, f.tryingRemote = 0, false
	case f.current+1 == f.localMemberCount && f.localMemberCount < len(f.memberOrder):
		// The local members are down. The remote member of the previous round may have a stale copy: take the next one each time.
		f.current = f.nextRemoteMember()
	default:
		f.current = (f.current + 1) % len(f.memberOrder)
	}
}

// checkServerStaleness looks for a fresher member if the current one's copy is too stale.
func (f *Follower) checkServerStaleness(now, serverStaleness float64) {
	if serverStaleness <= maxServerStalenessMs {
		f.staleSearchIntervalMs, f.nextStaleSearchAt = minStaleSearchIntervalMs, 0
		f.staleMembersTried, f.tryingRemote = 0, false
		return
	}
	if f.nextStaleSearchAt == 0 {
		f.nextStaleSearchAt = now // the first switch is made at once
	}
	if now < f.nextStaleSearchAt || len(f.memberOrder) <= 1 || f.config.InjectedBug == BugStayWithStaleServer {
		return
	}
	// The interval grows only after all local members were tried. A follower that leaves one stale member may connect to a second one,
	// such as a deposed leader, and has to leave that one soon too: an acknowledged change must arrive within the documented bound.
	f.nextStaleSearchAt = now + f.staleSearchIntervalMs*(1+f.rng.Float64()/2)
	if f.staleMembersTried++; f.staleMembersTried >= f.localMemberCount {
		f.staleSearchIntervalMs = min(2*f.staleSearchIntervalMs, maxStaleSearchIntervalMs)
	}
	f.switchMember(now, f.nextFresherMember())
}

// nextFresherMember returns the index of the member to try when the current one is stale: all local members, then one remote member,
// then the local ones again. In a region that is partitioned from all others, followers thus stay with their own members, except for
// one try per round.
func (f *Follower) nextFresherMember() int {
	switch {
	case f.current+1 < f.localMemberCount || f.localMemberCount == 0:
		return (f.current + 1) % len(f.memberOrder)
	case f.isRemote() || f.localMemberCount == len(f.memberOrder):
		f.tryingRemote = false
		return 0
	}
	f.tryingRemote = true
	return f.nextRemoteMember()
}

// nextRemoteMember returns the index of the next member of another region, in rotation.
func (f *Follower) nextRemoteMember() int {
	f.remoteAttempts++
	return f.localMemberCount + (f.remoteAttempts-1)%(len(f.memberOrder)-f.localMemberCount)
}

// scheduleLocalRetry sets the time at which a follower that has connected to a remote member tries its own region again.
func (f *Follower) scheduleLocalRetry(now float64) {
	if !f.isRemote() {
		f.localRetryIntervalMs = minLocalRetryIntervalMs
	}
	f.nextLocalRetryAt = now + f.localRetryIntervalMs*(1+f.rng.Float64())
}

func (f *Follower) isLocalRetryDue(now float64) bool {
	return f.isRemote() && f.localMemberCount > 0 && now >= f.nextLocalRetryAt
}
