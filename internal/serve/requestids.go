package serve

import (
	"context"

	"pearknot/internal/admin"
	"pearknot/internal/hotrestart"
)

// The calls by which a process shares the ids of requests with the node's other process. The answer to a claim is answerKnownID if the other
// process knows the id. A process of an earlier build answers with an error, and knows none.
const (
	verbClaimID   = admin.Verb("claim-request-id")
	verbReleaseID = admin.Verb("release-request-id")
	answerKnownID = "known"
)

// ClaimID implements server.OtherProcess.
func (r *restartCoordinator) ClaimID(ctx context.Context, id string) (isKnown bool, err error) {
	other := r.otherProcess()
	if other == nil {
		return false, nil
	}
	text, err := other.Call(ctx, hotrestart.Call{Verb: string(verbClaimID), ID: id})
	return text == answerKnownID, err
}

// ReleaseID implements server.OtherProcess.
func (r *restartCoordinator) ReleaseID(id string) {
	if other := r.otherProcess(); other != nil {
		other.Notify(hotrestart.Call{Verb: string(verbReleaseID), ID: id})
	}
}
