package serve

import (
	"context"
	"errors"
	"fmt"

	"pearknot/internal/admin"
	"pearknot/internal/hotrestart"
	"pearknot/internal/node"
)

// Calls of operators, and of the node's other process during a hot restart: both processes have the same state after them.

// handleAdminCall executes an operator's command in this process and in the other process of the node, if there is one. When
// it succeeds, both have executed the command. The health command concerns only this process.
func (r *restartCoordinator) handleAdminCall(ctx context.Context, command admin.Command) (string, error) {
	if !r.isServing.Load() {
		return "", errNotServing
	}
	if command.Verb == admin.Health {
		return r.health()
	}
	call := hotrestart.Call{Verb: string(command.Verb), ID: command.Backend}
	other := r.otherProcess()
	if other == nil {
		return r.handleCall(ctx, call)
	}
	return r.handleCallInBoth(ctx, call, other)
}

// handleCallInBoth executes a call in this process and then in the other one.
//
// A call that names a backend which no endpoint list has contained fails with node.ErrNeverListed, unless it is forced. One
// of the two processes may have received a list that the other has not yet, so a name that one of them knows is valid for
// both: the process that does not know it executes the call with Force. Only a name that neither knows is an error.
//
// If this process fails with any other error, the call is not sent to the other one. An error of the other process is
// returned although this one has executed the call: operators repeat the call, which is idempotent. If the other process
// ends meanwhile, it does not need the call.
func (r *restartCoordinator) handleCallInBoth(ctx context.Context, call hotrestart.Call, other *hotrestart.Link) (string, error) {
	text, err := r.handleCall(ctx, call)
	isUnknownHere := errors.Is(err, node.ErrNeverListed)
	if err != nil && !isUnknownHere {
		return text, err
	}
	call.Force = !isUnknownHere
	_, otherErr := other.Call(ctx, call)
	otherEnded := errors.Is(otherErr, hotrestart.ErrNoPeer)
	switch {
	case otherErr != nil && !otherEnded:
		return "", otherErr
	case otherEnded || !isUnknownHere:
		return text, err
	}
	call.Force = true // the other process knows the name
	return r.handleCall(ctx, call)
}

// The texts of these errors, and those that handleCall returns, are answers of the admin address. Operators' scripts match
// them, so they must not change. "Clients are sent away" means quiesced.
var (
	errNoEndpoints  = errors.New("no list of backends yet")
	errShuttingDown = errors.New("the node is about to end")
	errQuiesced     = errors.New("clients are sent away")
	errUnknownCall  = errors.New("unknown call")
)

// health answers a health check. A nil error means YES, clients may be sent to this process; an error is the reason for a NO.
func (r *restartCoordinator) health() (string, error) {
	select {
	case <-r.node.Ready():
	default:
		return "", errNoEndpoints
	}
	hasPredecessor := r.hasPredecessor()
	inService, shuttingDown := r.server.ServiceState()
	switch {
	case shuttingDown:
		return "", errShuttingDown
	case !inService && hasPredecessor:
		// A quiesced node is being restarted. The answer is YES because this process is ready to take over, and the
		// operator waits for that before ending the predecessor.
		return "ready, clients are sent away", nil
	case !inService:
		return "", errQuiesced
	}
	return "ready", nil
}

// handleCall executes a call in this process only.
func (r *restartCoordinator) handleCall(ctx context.Context, call hotrestart.Call) (string, error) {
	switch verb := admin.Verb(call.Verb); verb {
	case verbClaimID:
		if r.server.ClaimID(call.ID) {
			return answerKnownID, nil
		}
		return "", nil
	case verbReleaseID:
		r.server.ReleaseID(call.ID)
		return "", nil
	case admin.Cordon:
		return r.setCordoned(ctx, call, true, "out")
	case admin.Uncordon:
		return r.setCordoned(ctx, call, false, "back")
	case admin.Quiesce:
		if r.server.SetQuiesced(true) {
			r.log.Info("quiesced: clients are sent away")
		}
		return "clients are sent away", nil
	case admin.Resume:
		if _, shuttingDown := r.server.ServiceState(); shuttingDown && r.otherProcess() == nil {
			return "", errShuttingDown
		}
		if r.server.SetQuiesced(false) {
			r.log.Info("resumed: clients are accepted again")
		}
		return "clients are taken", nil
	}
	return "", errUnknownCall
}

// setCordoned cordons or uncordons a backend and returns text as the answer.
func (r *restartCoordinator) setCordoned(ctx context.Context, call hotrestart.Call, cordoned bool, text string) (string, error) {
	if err := r.node.Cordon(ctx, call.ID, cordoned, call.Force); err != nil {
		return "", fmt.Errorf("%.80q: %w", call.ID, err)
	}
	return text, nil
}
