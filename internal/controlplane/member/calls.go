package member

import (
	"context"
	"errors"
	"fmt"
	"time"

	"pearknot/internal/controlplane"
	"pearknot/internal/controlplane/client"
	"pearknot/internal/peers/transport"
)

const (
	// maxCalls bounds the operators' concurrent calls, because each may send and receive a whole document.
	maxCalls = 16
	// callIdleTimeout is the time without traffic after which a call's connection is closed.
	callIdleTimeout = 30 * time.Second
	// proposalTimeout bounds the wait for a majority to store a call's change. The caller then retries the call with the same change ID,
	// which takes effect only once.
	proposalTimeout = 4 * time.Second
	// maxAuthorBytes bounds a call's author and reason, each separately.
	maxAuthorBytes = 1 << 10
	// maxLogEntries bounds the changes in a response; it is the number of changes that are retained.
	maxLogEntries = 4096
)

var errTooManyCalls = errors.New("too many concurrent calls")

// serveCall serves one call of an operator.
func (m *Member) serveCall(ctx context.Context, conn *transport.FrameConn) error {
	select {
	case m.callSlots <- struct{}{}:
		defer func() { <-m.callSlots }()
	default:
		return errTooManyCalls
	}
	var (
		assembler client.MessageAssembler
		complete  bool
		malformed error
	)
	err := conn.Run(controlplane.MaxFrameBytes, callIdleTimeout, func(frame []byte) {
		if complete {
			return
		}
		isLast, err := assembler.AddFrame(frame)
		if err != nil {
			malformed = err
			conn.Close()
			return
		}
		if isLast {
			complete = true
			// The call is handled by another goroutine, so that this one still notices when the caller closes the connection.
			m.goroutines.Go(func() { m.answerCall(ctx, conn, &assembler) })
		}
	}, nil)
	if malformed != nil {
		return malformed
	}
	return ignoreExpectedClose(err)
}

func (m *Member) answerCall(ctx context.Context, conn *transport.FrameConn, assembler *client.MessageAssembler) {
	request := &client.CallRequest{}
	text, err := assembler.Decode(request)
	if err != nil {
		m.logRejected("operator call", err)
		conn.Close()
		return
	}
	response, responseText := m.handleCall(ctx, request, text)
	frames, err := client.EncodeMessage(response, responseText)
	if err != nil {
		m.log.Error("call response encoding failed", "error", err)
		conn.Close()
		return
	}
	for _, frame := range frames {
		conn.Send(frame)
	}
}

// handleCall returns the response to a call and the text that follows it.
func (m *Member) handleCall(ctx context.Context, request *client.CallRequest, text []byte) (*client.CallResponse, []byte) {
	switch request.Method {
	case client.MethodStatus:
		return m.handleStatus(ctx), nil
	case client.MethodGet:
		return m.handleGet(ctx, request)
	case client.MethodLog:
		return m.handleLog(ctx, request), nil
	case client.MethodHead:
		return m.handleHead(ctx), nil
	case client.MethodApply:
		return m.handleApply(ctx, request, text), nil
	}
	return invalidResponse("unknown call %.20q", request.Method), nil
}

func invalidResponse(format string, args ...any) *client.CallResponse {
	return &client.CallResponse{Code: controlplane.CodeInvalid, Detail: fmt.Sprintf(format, args...)}
}

// respondOnActor runs respond on the actor and returns its response.
func (m *Member) respondOnActor(ctx context.Context, respond func() *client.CallResponse) *client.CallResponse {
	responses := make(chan *client.CallResponse, 1)
	if !m.runOnActor(ctx, func() { responses <- respond() }) {
		return invalidResponse("the member ends")
	}
	return <-responses
}

func (m *Member) handleStatus(ctx context.Context) *client.CallResponse {
	return m.respondOnActor(ctx, func() *client.CallResponse {
		return &client.CallResponse{Code: controlplane.CodeDone, Status: m.status()}
	})
}

func (m *Member) handleGet(ctx context.Context, request *client.CallRequest) (*client.CallResponse, []byte) {
	var doc *controlplane.Document
	response := m.respondOnActor(ctx, func() *client.CallResponse {
		history := m.history()
		version := request.Version
		if version == 0 {
			version, _ = history.Head()
		}
		found, ok := history.DocumentAt(version)
		if !ok || version == 0 {
			response := invalidResponse("version %d is not kept", version)
			response.StalenessMs = m.stalenessMs()
			return response
		}
		doc = found
		return &client.CallResponse{Code: controlplane.CodeDone, Version: version, StalenessMs: m.stalenessMs()}
	})
	if response.Code != controlplane.CodeDone {
		return response, nil
	}
	return response, doc.Text()
}

func (m *Member) handleLog(ctx context.Context, request *client.CallRequest) *client.CallResponse {
	limit := min(max(request.Limit, 1), maxLogEntries)
	return m.respondOnActor(ctx, func() *client.CallResponse {
		response := &client.CallResponse{Code: controlplane.CodeDone, StalenessMs: m.stalenessMs()}
		for _, change := range m.history().RecentChanges(limit) {
			response.Log = append(response.Log, client.LogEntry{
				Version:      change.Version,
				ID:           fmt.Sprintf("%016x", change.ID),
				Digest:       fmt.Sprintf("%x", change.Digest),
				By:           change.By,
				Reason:       change.Reason,
				ProposedAtMs: change.ProposedAtMs,
			})
		}
		return response
	})
}

func (m *Member) handleHead(ctx context.Context) *client.CallResponse {
	return m.respondOnActor(ctx, func() *client.CallResponse {
		if response := m.notLeaderResponse(); response != nil {
			return response
		}
		head, _ := m.history().Head()
		return &client.CallResponse{Code: controlplane.CodeDone, Version: head}
	})
}

// notLeaderResponse returns the response of a member that is not the leader, or nil if this member is the leader.
func (m *Member) notLeaderResponse() *client.CallResponse {
	switch {
	case !m.isVoter():
		return &client.CallResponse{Code: controlplane.CodeNotLeader}
	case !m.voter.IsLeader():
		return &client.CallResponse{Code: controlplane.CodeNotLeader, Leader: m.voterNames[m.voter.Leader()]}
	}
	return nil
}

// handleApply proposes a configuration after checking that nodes can apply it.
func (m *Member) handleApply(ctx context.Context, request *client.CallRequest, text []byte) *client.CallResponse {
	if len(request.By) > maxAuthorBytes || len(request.Reason) > maxAuthorBytes {
		return invalidResponse("by and reason: %d bytes at most", maxAuthorBytes)
	}
	var (
		immediateResponse *client.CallResponse
		version           uint64
		head              *controlplane.Document
	)
	if !m.runOnActor(ctx, func() {
		version, head = m.history().Head()
		immediateResponse = m.applyResponseWithoutProposal(request)
	}) {
		return leadershipLostResponse("the member ends")
	}
	if immediateResponse != nil {
		return immediateResponse
	}
	doc, err := controlplane.Parse(text)
	if err != nil {
		return invalidResponse("%s", err)
	}
	if err := m.validator.check(doc, version, head); err != nil {
		return invalidResponse("%s", err)
	}
	return m.propose(ctx, request.ID, controlplane.Proposal{
		Base:     request.Base,
		Document: doc,
		By:       request.By,
		Reason:   request.Reason,
	})
}

func leadershipLostResponse(detail string) *client.CallResponse {
	return &client.CallResponse{Code: controlplane.CodeLeadershipLost, Detail: detail}
}

// applyResponseWithoutProposal returns the response to a call that needs no proposal, or nil if a proposal is needed.
func (m *Member) applyResponseWithoutProposal(request *client.CallRequest) *client.CallResponse {
	if response := m.notLeaderResponse(); response != nil {
		return response
	}
	if version, known := m.history().FindProposal(request.ID); known { // a retry: the first response was lost
		return &client.CallResponse{Code: controlplane.CodeDone, Version: version}
	}
	if head, _ := m.history().Head(); head != request.Base {
		return &client.CallResponse{Code: controlplane.CodeConflict, Version: head}
	}
	return nil
}

// propose makes a proposal and waits for its result.
func (m *Member) propose(ctx context.Context, id uint64, proposal controlplane.Proposal) *client.CallResponse {
	results := make(chan controlplane.Result, 1)
	m.mailbox.Put(func() {
		m.proposalReplies[id] = results // of two calls with one ID, the later one gets the result
		m.voter.Propose(m.clock.Now(), id, proposal)
	})
	select {
	case result := <-results:
		return &client.CallResponse{
			Code:    result.Code,
			Version: result.Version,
			Leader:  m.voterNames[result.Leader],
			Detail:  result.Detail,
		}
	case <-time.After(proposalTimeout):
		m.mailbox.Put(func() {
			if m.proposalReplies[id] == results {
				delete(m.proposalReplies, id)
			}
		})
		return leadershipLostResponse("no majority has answered in " + proposalTimeout.String())
	case <-ctx.Done():
		return leadershipLostResponse("the member ends")
	}
}
