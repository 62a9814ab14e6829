package client

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"

	"pearknot/internal/controlplane"
)

// HeadVersion returns the head's version from the leader.
func (p *ControlPlane) HeadVersion(ctx context.Context) (uint64, error) {
	response, err := p.callLeader(ctx, &CallRequest{Method: MethodHead}, nil)
	if err != nil {
		return 0, err
	}
	return response.Version, nil
}

// Apply creates the next version, based on a given one. When it returns without an error, a majority of the voters has stored the
// change. The error is a *ConflictError if base is not the head, and an *InvalidError if nodes can't apply the text; after any other
// error the change may still be committed.
func (p *ControlPlane) Apply(ctx context.Context, base uint64, text []byte, by, reason string) (uint64, error) {
	request := &CallRequest{Method: MethodApply, Base: base, ID: max(rand.Uint64(), 1), By: by, Reason: reason}
	response, err := p.callLeader(ctx, request, text)
	if err != nil {
		return 0, err
	}
	switch response.Code {
	case controlplane.CodeDone:
		return response.Version, nil
	case controlplane.CodeConflict:
		return 0, &ConflictError{Base: base, Head: response.Version}
	}
	return 0, &InvalidError{Detail: response.Detail}
}

// GetVersion returns a version and its text, the head's if version is 0, with an upper bound of the response's staleness in ms; nil is
// unknown. The error is ErrVersionNotFound if no responding member has the version.
func (p *ControlPlane) GetVersion(ctx context.Context, version uint64) (found uint64, text []byte, staleness *float64, err error) {
	response, text, err := p.callFreshest(ctx, &CallRequest{Method: MethodGet, Version: version})
	if err != nil {
		return 0, nil, nil, err
	}
	return response.Version, text, response.StalenessMs, nil
}

// RecentChanges returns the latest changes, at most limit and newest first, with an upper bound of the response's staleness in ms; nil
// is unknown.
func (p *ControlPlane) RecentChanges(ctx context.Context, limit int) ([]LogEntry, *float64, error) {
	response, _, err := p.callFreshest(ctx, &CallRequest{Method: MethodLog, Limit: limit})
	if err != nil {
		return nil, nil, err
	}
	return response.Log, response.StalenessMs, nil
}

// Rollback creates the next version, based on base, with the text of an earlier one. Its errors are those of GetVersion and Apply.
func (p *ControlPlane) Rollback(ctx context.Context, to, base uint64, by, reason string) (uint64, error) {
	_, text, _, err := p.GetVersion(ctx, to)
	if err != nil {
		return 0, err
	}
	return p.Apply(ctx, base, text, by, reason)
}

// StatusResult is a member's status, or the error of the call.
type StatusResult struct {
	Member Member
	Status *MemberStatus
	Err    error
}

// MemberStatuses requests the status of all members concurrently. The results are in the order of the members.
func (p *ControlPlane) MemberStatuses(ctx context.Context) []StatusResult {
	results := make([]StatusResult, len(p.Members))
	var calls sync.WaitGroup
	for i, member := range p.Members {
		calls.Go(func() {
			status, err := p.memberStatus(ctx, member)
			results[i] = StatusResult{Member: member, Status: status, Err: err}
		})
	}
	calls.Wait()
	return results
}

func (p *ControlPlane) memberStatus(ctx context.Context, member Member) (*MemberStatus, error) {
	response, _, err := p.callMember(ctx, member, statusTimeout, &CallRequest{Method: MethodStatus}, nil)
	if err != nil {
		return nil, err
	}
	if response.Status == nil {
		return nil, fmt.Errorf("%s: no status: %s", member.Name, response.Detail)
	}
	return response.Status, nil
}
