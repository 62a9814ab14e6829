package client

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"pearknot/internal/controlplane"
)

const (
	// callTimeout bounds a call to one member, including the commit of a change.
	callTimeout = 5 * time.Second
	// statusTimeout bounds a call that needs no commit.
	statusTimeout = 2 * time.Second
	// retryInterval is the time between two calls to voters that report that they are not the leader.
	retryInterval = 200 * time.Millisecond
	// failureRetryInterval is the time after a call without a response. It is shorter because the failed call has already taken time.
	failureRetryInterval = retryInterval / 4
	// redirectDelay is the time after a response that names another voter as the leader, which is called next.
	redirectDelay = retryInterval / 20
	// operatorName is the caller's name in the handshake.
	operatorName = "operator"
)

// ConflictError is returned for a change whose base version is not the head.
type ConflictError struct{ Base, Head uint64 }

func (e *ConflictError) Error() string {
	return fmt.Sprintf("change is based on version %d, but the head is version %d: another change was committed first", e.Base, e.Head)
}

// InvalidError is returned for a configuration that nodes can't apply.
type InvalidError struct{ Detail string }

func (e *InvalidError) Error() string { return e.Detail }

// ErrVersionNotFound is returned for a version that no responding member has.
var ErrVersionNotFound = errors.New("no such version is retained")

// callMember makes one call to one member.
func (p *ControlPlane) callMember(
	ctx context.Context, member Member, timeout time.Duration, request *CallRequest, text []byte,
) (response *CallResponse, responseText []byte, err error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	frames, err := EncodeMessage(request, text)
	if err != nil {
		return nil, nil, err
	}
	conn, err := OpenLink(ctx, p.Fleet, p.Keys, operatorName, member, PurposeCall)
	if err != nil {
		return nil, nil, fmt.Errorf("%s: %w", member.Name, err)
	}
	stop := context.AfterFunc(ctx, conn.Close)
	defer stop()
	for _, frame := range frames {
		conn.Send(frame)
	}
	var assembler MessageAssembler
	err = conn.Run(controlplane.MaxFrameBytes, 0, func(frame []byte) {
		isLast, frameErr := assembler.AddFrame(frame)
		if frameErr == nil && !isLast {
			return
		}
		if frameErr == nil {
			decoded := &CallResponse{}
			if responseText, frameErr = assembler.Decode(decoded); frameErr == nil {
				response = decoded
			}
		}
		conn.Close()
	}, nil)
	if response == nil {
		return nil, nil, fmt.Errorf("%s: no response: %w", member.Name, cmp.Or(ctx.Err(), err))
	}
	return response, responseText, nil
}

// callLeader calls voters until the leader has responded or ctx ends. A call whose response was lost is retried. This is safe for a
// change too, because a change ID takes effect only once.
func (p *ControlPlane) callLeader(ctx context.Context, request *CallRequest, text []byte) (*CallResponse, error) {
	voters := p.Voters()
	next := p.findLeader(ctx, voters)
	mayHaveTakenEffect := false
	for {
		voter := voters[next%len(voters)]
		next++
		response, _, err := p.callMember(ctx, voter, callTimeout, request, text)
		if err == nil && isLeaderResponse(response) {
			p.lastLeader.Store(&voter.Name)
			return response, nil
		}
		p.lastLeader.Store(nil)
		delay := retryInterval
		switch {
		case err != nil:
			mayHaveTakenEffect = mayHaveTakenEffect || request.Method == MethodApply
			delay = failureRetryInterval
		case response.Code == controlplane.CodeLeadershipLost:
			mayHaveTakenEffect = true
		case response.Code == controlplane.CodeNotLeader:
			if i := indexOf(voters, response.Leader); i >= 0 && response.Leader != voter.Name {
				next, delay = i, redirectDelay
			}
		}
		failure := cmp.Or(err, responseError(voter, response))
		select {
		case <-time.After(delay):
		case <-ctx.Done():
			if mayHaveTakenEffect {
				return nil, fmt.Errorf("change %016x may have been committed or may still be committed, see the log: %w", request.ID, failure)
			}
			return nil, failure
		}
	}
}

// isLeaderResponse reports whether a response is the leader's final response to a call.
func isLeaderResponse(response *CallResponse) bool {
	switch response.Code {
	case controlplane.CodeNotLeader, controlplane.CodeLeadershipLost, controlplane.CodeBusy:
		return false
	}
	return true
}

// responseError returns why a response is not the leader's final one, or nil if it is.
func responseError(voter Member, response *CallResponse) error {
	if response == nil {
		return nil
	}
	switch response.Code {
	case controlplane.CodeNotLeader:
		return fmt.Errorf("%s is not the leader, it reports leader %q", voter.Name, response.Leader)
	case controlplane.CodeLeadershipLost:
		return fmt.Errorf("%s lost leadership", voter.Name)
	case controlplane.CodeBusy:
		return fmt.Errorf("%s has too many changes in progress", voter.Name)
	}
	return nil
}

func indexOf(members []Member, name string) int {
	return slices.IndexFunc(members, func(m Member) bool { return m.Name == name })
}

// findLeader returns the index of the voter that is probably the leader: the one that responded to the latest leader call, or else the
// first that reports that it leads. All voters are queried concurrently, so that a frozen one causes no delay. If no voter reports that
// it leads, a random index is returned.
func (p *ControlPlane) findLeader(ctx context.Context, voters []Member) int {
	if last := p.lastLeader.Load(); last != nil {
		return max(indexOf(voters, *last), 0)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	const notLeader = -1
	answers := make(chan int, len(voters))
	for i, voter := range voters {
		go func() {
			response, _, err := p.callMember(ctx, voter, statusTimeout, &CallRequest{Method: MethodHead}, nil)
			if err != nil || response.Code != controlplane.CodeDone {
				answers <- notLeader
				return
			}
			answers <- i
		}()
	}
	for range voters {
		if i := <-answers; i != notLeader {
			return i
		}
	}
	return rand.IntN(len(voters))
}
