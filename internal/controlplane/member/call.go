package member

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"pearknot/internal/controlplane"
	"pearknot/internal/controlplane/client"
	"pearknot/internal/controlsocket"
	"pearknot/internal/peers/transport"
)

// take answers one operator's call.
func (m *Member) serveCall(p *transport.FrameConn) error {
	select {
	case m.callSlots <- struct{}{}:
		defer func() { <-m.callSlots }()
	default:
		return errors.New("too many calls at once")
	}
	g, gathered := &client.MessageAssembler{}, false
	var odd error
	err := p.Run(controlplane.MaxFrameBytes, callIdleTimeout, func(data []byte) {
		if gathered {
			return
		}
		whole, err := g.AddFrame(data)
		if err != nil {
			odd = err
			p.Close()
			return
		}
		if gathered = whole; whole {
			m.wg.Go(func() { // the link's end is seen meanwhile
				c := &client.CallRequest{}
				text, err := g.Decode(c)
				if err != nil {
					m.logRefused("a caller", err)
					p.Close()
					return
				}
				a, its := m.handleCall(c, text)
				frames, err := client.EncodeMessage(a, its)
				if err != nil {
					m.log.Error("answer can't be written", "error", err)
					p.Close()
					return
				}
				for _, f := range frames {
					p.Send(f)
				}
			})
		}
	}, nil)
	if odd != nil {
		return odd
	}
	return ignoreExpectedClose(err)
}

// do runs on the actor and waits; false tells that the member ends.
func (m *Member) runOnActor(f func()) bool {
	done := make(chan struct{})
	m.mailbox.Put(func() { f(); close(done) })
	select {
	case <-done:
		return true
	case <-m.ctx.Done():
		return false
	}
}

func (m *Member) handleCall(c *client.CallRequest, text []byte) (a *client.CallResponse, its []byte) {
	a = &client.CallResponse{Code: controlplane.CodeInvalid, Detail: "the member ends"}
	switch c.Method {
	case client.MethodStatus:
		m.runOnActor(func() { a = &client.CallResponse{Code: controlplane.CodeDone, Status: m.status()} })
	case client.MethodGet:
		var doc *controlplane.Document
		m.runOnActor(func() {
			h := m.history()
			head, _ := h.Head()
			version, there := c.Version, true
			if version == 0 {
				version = head
			}
			if doc, there = h.DocumentAt(version); !there || version == 0 {
				doc, a = nil, &client.CallResponse{Code: controlplane.CodeInvalid, Detail: fmt.Sprintf("version %d is not kept", version), StalenessMs: m.stalenessMs()}
				return
			}
			a = &client.CallResponse{Code: controlplane.CodeDone, Version: version, StalenessMs: m.stalenessMs()}
		})
		if doc != nil {
			its = doc.Text()
		}
	case client.MethodLog:
		m.runOnActor(func() {
			a = &client.CallResponse{Code: controlplane.CodeDone, StalenessMs: m.stalenessMs()}
			for _, c := range m.history().RecentChanges(min(max(c.Limit, 1), 4096)) {
				a.Log = append(a.Log, client.LogEntry{Version: c.Version, ID: fmt.Sprintf("%016x", c.ID), Digest: fmt.Sprintf("%x", c.Digest),
					By: c.By, Reason: c.Reason, ProposedAtMs: c.ProposedAtMs})
			}
		})
	case client.MethodHead:
		m.runOnActor(func() {
			if a = m.notLeaderResponse(); a == nil {
				head, _ := m.history().Head()
				a = &client.CallResponse{Code: controlplane.CodeDone, Version: head}
			}
		})
	case client.MethodApply:
		return m.handleApply(c, text), nil
	default:
		a = &client.CallResponse{Code: controlplane.CodeInvalid, Detail: fmt.Sprintf("unknown call %.20q", c.Method)}
	}
	return a, its
}

// notLeading is the answer of a member that does not lead.
func (m *Member) notLeaderResponse() *client.CallResponse {
	switch {
	case m.voter == nil:
		return &client.CallResponse{Code: controlplane.CodeNotLeader}
	case !m.voter.IsLeader():
		return &client.CallResponse{Code: controlplane.CodeNotLeader, Leader: m.voterNames[m.voter.Leader()]}
	}
	return nil
}

// apply proposes a text once it is known that nodes can put it in force.
func (m *Member) handleApply(c *client.CallRequest, text []byte) (a *client.CallResponse) {
	lost := &client.CallResponse{Code: controlplane.CodeLeadershipLost, Detail: "the member ends"}
	if len(c.By) > maxAuthorBytes || len(c.Reason) > maxAuthorBytes {
		return &client.CallResponse{Code: controlplane.CodeInvalid, Detail: fmt.Sprintf("by and reason: %d bytes at most", maxAuthorBytes)}
	}
	var version uint64
	var head *controlplane.Document
	if !m.runOnActor(func() {
		if a = m.notLeaderResponse(); a != nil {
			return
		}
		if earlier, there := m.history().FindProposal(c.ID); there { // this very change, whose answer was lost
			a = &client.CallResponse{Code: controlplane.CodeDone, Version: earlier}
			return
		}
		if version, head = m.history().Head(); version != c.Base {
			a = &client.CallResponse{Code: controlplane.CodeConflict, Version: version}
		}
	}) {
		return lost
	}
	if a != nil {
		return a
	}
	doc, err := controlplane.Parse(text)
	if err == nil {
		err = m.validator.check(doc, version, head)
	}
	if err != nil {
		return &client.CallResponse{Code: controlplane.CodeInvalid, Detail: err.Error()}
	}
	told := make(chan controlplane.Result, 1)
	m.mailbox.Put(func() {
		m.proposalReplies[c.ID] = told // of two calls with one ID the later hears
		m.voter.Propose(m.clock.Now(), c.ID, controlplane.Proposal{Base: c.Base, Document: doc, By: c.By, Reason: c.Reason})
	})
	select {
	case r := <-told:
		return &client.CallResponse{Code: r.Code, Version: r.Version, Leader: m.voterNames[r.Leader], Detail: r.Detail}
	case <-time.After(proposalTimeout):
		m.mailbox.Put(func() {
			if m.proposalReplies[c.ID] == told {
				delete(m.proposalReplies, c.ID)
			}
		})
		return &client.CallResponse{Code: controlplane.CodeLeadershipLost, Detail: "no majority has answered in " + proposalTimeout.String()}
	case <-m.ctx.Done():
		return lost
	}
}

const maxAuthorBytes = 1 << 10 // bytes of who and why

func (m *Member) history() *controlplane.History {
	if m.voter != nil {
		return m.voter.History()
	}
	return m.followerLink.History()
}

// age is how old what it has may be; nil is unknown.
func (m *Member) stalenessMs() *float64 {
	if m.voter != nil {
		return client.FiniteOrNil(m.clock.Now() - m.voter.FreshAsOf())
	}
	return client.FiniteOrNil(m.clock.Now() - m.followerLink.FreshAsOf())
}

// status is the actor's.
func (m *Member) status() *client.MemberStatus {
	now := m.clock.Now()
	head, doc := m.history().Head()
	s := &client.MemberStatus{Name: m.self.Name, Region: m.self.Region, Voter: m.self.Voter, Build: m.options.Version, Leader: m.voterNames[m.leader], Follows: m.followedMember,
		Head: head, StalenessMs: m.stalenessMs(), Followers: []client.FollowerStatus{}, BytesIn: m.closedBytesIn, BytesOut: m.closedBytesOut}
	if head > 0 {
		s.Digest = fmt.Sprintf("%x", doc.Digest())
	}
	for _, c := range m.followers {
		in, out, _, _ := c.pipe.Traffic()
		s.BytesIn += in
		s.BytesOut += out
	}
	for _, l := range m.server.Leases(now) {
		s.Followers = append(s.Followers, client.FollowerStatus{Name: l.Name, Region: l.Region, Kind: l.Kind, StoredVersion: l.StoredVersion, AppliedVersion: l.AppliedVersion,
			RejectedVersion: l.RejectedVersion, RejectReason: l.RejectReason, BehindMs: l.BehindMs, StalenessMs: client.FiniteOrNil(l.StalenessMs), LastSeenMs: now - l.LastSeenAt})
	}
	return s
}

// Paths of a member's control socket.
const (
	StatusPath = "/v1/control-plane"
	LogPath    = "/v1/control-plane/log"
)

type noControlSocket struct{}

func (noControlSocket) Close() error { return nil }

// openControl serves the member's own word at a socket.
func (m *Member) openControl() (io.Closer, error) {
	if m.options.Control == "" {
		return noControlSocket{}, nil
	}
	l, err := controlsocket.Listen(m.options.Control)
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	say := func(op string) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			most, _ := strconv.Atoi(r.URL.Query().Get("n"))
			a, _ := m.handleCall(&client.CallRequest{Method: op, Limit: max(most, 1)}, nil)
			switch {
			case a.Status != nil:
				controlsocket.WriteJSON(w, http.StatusOK, a.Status)
			case a.Code == controlplane.CodeDone:
				controlsocket.WriteJSON(w, http.StatusOK, a.Log)
			default:
				controlsocket.WriteError(w, http.StatusServiceUnavailable, a.Detail)
			}
		}
	}
	mux.HandleFunc("GET "+StatusPath, say(client.MethodStatus))
	mux.HandleFunc("GET "+LogPath, say(client.MethodLog))
	server := controlsocket.NewServer(mux)
	m.wg.Go(func() { _ = server.Serve(controlsocket.LimitConnections(l)) })
	return server, nil
}
