package member

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"pearknot/internal/controlplane"
	"pearknot/internal/controlplane/client"
	"pearknot/internal/controlsocket"
)

// The HTTP paths of a member's control socket.
const (
	StatusPath = "/v1/control-plane"
	LogPath    = "/v1/control-plane/log"
)

// stalenessMs returns an upper bound of the staleness of the member's history; nil is unknown.
func (m *Member) stalenessMs() *float64 {
	return client.FiniteOrNil(m.clock.Now() - m.freshAsOf())
}

// status returns the member's state and that of its followers.
func (m *Member) status() *client.MemberStatus {
	now := m.clock.Now()
	head, doc := m.history().Head()
	s := &client.MemberStatus{
		Name:        m.self.Name,
		Region:      m.self.Region,
		Voter:       m.self.Voter,
		Build:       m.options.Version,
		Leader:      m.voterNames[m.leader],
		Follows:     m.followedMember,
		Head:        head,
		StalenessMs: m.stalenessMs(),
		Followers:   []client.FollowerStatus{},
		BytesIn:     m.closedBytesIn,
		BytesOut:    m.closedBytesOut,
	}
	if head > 0 {
		s.Digest = fmt.Sprintf("%x", doc.Digest())
	}
	for _, follower := range m.followers {
		bytesIn, bytesOut, _, _ := follower.conn.Traffic()
		s.BytesIn += bytesIn
		s.BytesOut += bytesOut
	}
	for _, lease := range m.server.Leases(now) {
		s.Followers = append(s.Followers, client.FollowerStatus{
			Name:            lease.Name,
			Region:          lease.Region,
			Kind:            lease.Kind,
			StoredVersion:   lease.StoredVersion,
			AppliedVersion:  lease.AppliedVersion,
			RejectedVersion: lease.RejectedVersion,
			RejectReason:    lease.RejectReason,
			BehindMs:        lease.BehindMs,
			StalenessMs:     client.FiniteOrNil(lease.StalenessMs),
			LastSeenMs:      now - lease.LastSeenAt,
		})
	}
	return s
}

// noControlSocket is the closer that is used when no control socket is configured.
type noControlSocket struct{}

func (noControlSocket) Close() error { return nil }

// openControlSocket serves the member's status and log on a control socket, if one is configured.
func (m *Member) openControlSocket(ctx context.Context) (io.Closer, error) {
	if m.options.Control == "" {
		return noControlSocket{}, nil
	}
	listener, err := controlsocket.Listen(m.options.Control)
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+StatusPath, m.controlSocketHandler(ctx, client.MethodStatus))
	mux.HandleFunc("GET "+LogPath, m.controlSocketHandler(ctx, client.MethodLog))
	server := controlsocket.NewServer(mux)
	m.goroutines.Go(func() { _ = server.Serve(controlsocket.LimitConnections(listener)) })
	return server, nil
}

// controlSocketHandler serves the response to a call. The query parameter n limits the entries of a log.
func (m *Member) controlSocketHandler(ctx context.Context, method string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		limit, _ := strconv.Atoi(r.URL.Query().Get("n")) // 0 if it is missing or not a number
		response, _ := m.handleCall(ctx, &client.CallRequest{Method: method, Limit: max(limit, 1)}, nil)
		switch {
		case response.Status != nil:
			controlsocket.WriteJSON(w, http.StatusOK, response.Status)
		case response.Code == controlplane.CodeDone:
			controlsocket.WriteJSON(w, http.StatusOK, response.Log)
		default:
			controlsocket.WriteError(w, http.StatusServiceUnavailable, response.Detail)
		}
	}
}
