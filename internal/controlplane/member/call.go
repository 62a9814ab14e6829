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
func (m *Member) take(p *transport.Pipe) error {
	select {
	case m.calls <- struct{}{}:
		defer func() { <-m.calls }()
	default:
		return errors.New("too many calls at once")
	}
	g, gathered := &client.Gathered{}, false
	var odd error
	err := p.Run(controlplane.MostFrame, callSilence, func(data []byte) {
		if gathered {
			return
		}
		whole, err := g.Add(data)
		if err != nil {
			odd = err
			p.Close()
			return
		}
		if gathered = whole; whole {
			m.wg.Go(func() { // the link's end is seen meanwhile
				c := &client.Call{}
				text, err := g.Read(c)
				if err != nil {
					m.sayOdd("a caller", err)
					p.Close()
					return
				}
				a, its := m.answer(c, text)
				frames, err := client.Pieces(a, its)
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
	return unusual(err)
}

// do runs on the actor and waits; false tells that the member ends.
func (m *Member) do(f func()) bool {
	done := make(chan struct{})
	m.box.Put(func() { f(); close(done) })
	select {
	case <-done:
		return true
	case <-m.ctx.Done():
		return false
	}
}

func (m *Member) answer(c *client.Call, text []byte) (a *client.Answer, its []byte) {
	a = &client.Answer{Code: controlplane.Invalid, Why: "the member ends"}
	switch c.Op {
	case client.OpStatus:
		m.do(func() { a = &client.Answer{Code: controlplane.Done, Status: m.status()} })
	case client.OpGet:
		var doc *controlplane.Document
		m.do(func() {
			h := m.history()
			head, _ := h.Head()
			version, there := c.Version, true
			if version == 0 {
				version = head
			}
			if doc, there = h.At(version); !there || version == 0 {
				doc, a = nil, &client.Answer{Code: controlplane.Invalid, Why: fmt.Sprintf("version %d is not kept", version), AgeMs: m.age()}
				return
			}
			a = &client.Answer{Code: controlplane.Done, Version: version, AgeMs: m.age()}
		})
		if doc != nil {
			its = doc.Text()
		}
	case client.OpLog:
		m.do(func() {
			a = &client.Answer{Code: controlplane.Done, AgeMs: m.age()}
			for _, c := range m.history().Log(min(max(c.Most, 1), 4096)) {
				a.Log = append(a.Log, client.Entry{Version: c.Version, ID: fmt.Sprintf("%016x", c.ID), Digest: fmt.Sprintf("%x", c.Digest),
					By: c.By, Reason: c.Reason, At: c.At})
			}
		})
	case client.OpHead:
		m.do(func() {
			if a = m.notLeading(); a == nil {
				head, _ := m.history().Head()
				a = &client.Answer{Code: controlplane.Done, Version: head}
			}
		})
	case client.OpApply:
		return m.apply(c, text), nil
	default:
		a = &client.Answer{Code: controlplane.Invalid, Why: fmt.Sprintf("unknown call %.20q", c.Op)}
	}
	return a, its
}

// notLeading is the answer of a member that does not lead.
func (m *Member) notLeading() *client.Answer {
	switch {
	case m.voter == nil:
		return &client.Answer{Code: controlplane.NotLeader}
	case !m.voter.Leads():
		return &client.Answer{Code: controlplane.NotLeader, Leader: m.names[m.voter.Leader()]}
	}
	return nil
}

// apply proposes a text once it is known that nodes can put it in force.
func (m *Member) apply(c *client.Call, text []byte) (a *client.Answer) {
	lost := &client.Answer{Code: controlplane.Lost, Why: "the member ends"}
	if len(c.By) > mostWord || len(c.Reason) > mostWord {
		return &client.Answer{Code: controlplane.Invalid, Why: fmt.Sprintf("by and reason: %d bytes at most", mostWord)}
	}
	var version uint64
	var head *controlplane.Document
	if !m.do(func() {
		if a = m.notLeading(); a != nil {
			return
		}
		if earlier, there := m.history().Find(c.ID); there { // this very change, whose answer was lost
			a = &client.Answer{Code: controlplane.Done, Version: earlier}
			return
		}
		if version, head = m.history().Head(); version != c.Base {
			a = &client.Answer{Code: controlplane.Conflict, Version: version}
		}
	}) {
		return lost
	}
	if a != nil {
		return a
	}
	doc, err := controlplane.Parse(text)
	if err == nil {
		err = m.checks.check(doc, version, head)
	}
	if err != nil {
		return &client.Answer{Code: controlplane.Invalid, Why: err.Error()}
	}
	told := make(chan controlplane.Result, 1)
	m.box.Put(func() {
		m.waits[c.ID] = told // of two calls with one ID the later hears
		m.voter.Propose(m.clock.Now(), c.ID, controlplane.Proposal{Base: c.Base, Text: doc, By: c.By, Reason: c.Reason})
	})
	select {
	case r := <-told:
		return &client.Answer{Code: r.Code, Version: r.Version, Leader: m.names[r.Leader], Why: r.Why}
	case <-time.After(proposeFor):
		m.box.Put(func() {
			if m.waits[c.ID] == told {
				delete(m.waits, c.ID)
			}
		})
		return &client.Answer{Code: controlplane.Lost, Why: "no majority has answered in " + proposeFor.String()}
	case <-m.ctx.Done():
		return lost
	}
}

const mostWord = 1 << 10 // bytes of who and why

func (m *Member) history() *controlplane.History {
	if m.voter != nil {
		return m.voter.History()
	}
	return m.follow.History()
}

// age is how old what it has may be; nil is unknown.
func (m *Member) age() *float64 {
	if m.voter != nil {
		return client.Finite(m.clock.Now() - m.voter.FreshAt())
	}
	return client.Finite(m.clock.Now() - m.follow.FreshAt())
}

// status is the actor's.
func (m *Member) status() *client.MemberStatus {
	now := m.clock.Now()
	head, doc := m.history().Head()
	s := &client.MemberStatus{Name: m.self.Name, Region: m.self.Region, Voter: m.self.Voter, Build: m.o.Version, Leader: m.names[m.leader], Follows: m.follows,
		Head: head, AgeMs: m.age(), Followers: []client.FollowerStatus{}, BytesIn: m.in, BytesOut: m.out}
	if head > 0 {
		s.Digest = fmt.Sprintf("%x", doc.Digest())
	}
	for _, c := range m.conns {
		in, out, _, _ := c.pipe.Counts()
		s.BytesIn += in
		s.BytesOut += out
	}
	for _, l := range m.server.Leases(now) {
		s.Followers = append(s.Followers, client.FollowerStatus{Name: l.Name, Region: l.Region, Kind: l.Kind, Held: l.Held, InForce: l.InForce,
			Refused: l.Refused, Why: l.Why, BehindMs: l.Behind, AgeMs: client.Finite(l.Age), SeenMs: now - l.Seen})
	}
	return s
}

// Paths of a member's control socket.
const (
	StatusPath = "/v1/control-plane"
	LogPath    = "/v1/control-plane/log"
)

type nothing struct{}

func (nothing) Close() error { return nil }

// openControl serves the member's own word at a socket.
func (m *Member) openControl() (io.Closer, error) {
	if m.o.Control == "" {
		return nothing{}, nil
	}
	l, err := controlsocket.Listen(m.o.Control)
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	say := func(op string) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			most, _ := strconv.Atoi(r.URL.Query().Get("n"))
			a, _ := m.answer(&client.Call{Op: op, Most: max(most, 1)}, nil)
			switch {
			case a.Status != nil:
				controlsocket.Answer(w, http.StatusOK, a.Status)
			case a.Code == controlplane.Done:
				controlsocket.Answer(w, http.StatusOK, a.Log)
			default:
				controlsocket.Fail(w, http.StatusServiceUnavailable, a.Why)
			}
		}
	}
	mux.HandleFunc("GET "+StatusPath, say(client.OpStatus))
	mux.HandleFunc("GET "+LogPath, say(client.OpLog))
	server := controlsocket.Server(mux)
	m.wg.Go(func() { _ = server.Serve(controlsocket.Limited(l)) })
	return server, nil
}
