package member

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"pearknot/internal/controlplane"
	"pearknot/internal/controlplane/client"
	"pearknot/internal/peers/transport"
)

const (
	// maxUnauthenticated bounds the connections that have not proven the key yet, so that unauthenticated peers can't exhaust the file
	// descriptors. Such connections end after the handshake's timeout; further ones wait in the kernel's queue until then.
	maxUnauthenticated = 64
	// acceptRetryDelay is the pause after a failed accept, for example when no file descriptor is free.
	acceptRetryDelay = 50 * time.Millisecond
	// headerTimeout and maxHeaderBytes bound the frame that states a connection's purpose.
	headerTimeout  = 2 * time.Second
	maxHeaderBytes = 1 << 10
	// maxFollowers bounds the followers of one member. It is more than twice the number of nodes of the largest fleet.
	maxFollowers = 4096
	// maxQueuedFrames bounds the frames of one connection in the actor's mailbox; reading pauses while it is reached.
	maxQueuedFrames = 16
)

var errTooManyFollowers = errors.New("too many followers")

// followerConn holds a follower's connection and name.
type followerConn struct {
	conn *transport.FrameConn
	name string
}

func (m *Member) acceptConnections(ctx context.Context, listener net.Listener) {
	unauthenticated := make(chan struct{}, maxUnauthenticated) // a token for each connection
	for {
		select {
		case unauthenticated <- struct{}{}:
		case <-ctx.Done():
			return
		}
		conn, err := listener.Accept()
		if err == nil {
			m.goroutines.Go(func() {
				m.serveConnection(ctx, conn, sync.OnceFunc(func() { <-unauthenticated }))
			})
			continue
		}
		<-unauthenticated
		if ctx.Err() != nil {
			return
		}
		select {
		case <-time.After(acceptRetryDelay):
		case <-ctx.Done():
		}
	}
}

// serveConnection serves a connection until it or ctx ends. authenticated is called once it has proven the key or failed to do so.
func (m *Member) serveConnection(ctx context.Context, netConn net.Conn, authenticated func()) {
	defer authenticated()
	defer netConn.Close()
	stop := context.AfterFunc(ctx, func() { _ = netConn.Close() })
	defer stop()
	conn := transport.NewFrameConn(netConn)
	peer := netConn.RemoteAddr().String()
	from, purpose, err := m.receiveHeader(netConn, conn)
	if from != "" {
		peer += " " + from
	}
	authenticated()
	if errors.Is(err, io.EOF) {
		return // closed on purpose, such as by an operator's command that has a response from another member
	}
	if err == nil {
		err = m.serveLink(ctx, conn, from, purpose)
	}
	if err != nil && ctx.Err() == nil {
		m.logRejected(peer, err)
	}
}

// receiveHeader performs the handshake and receives the link's header. from is empty if the handshake has failed.
func (m *Member) receiveHeader(netConn net.Conn, conn *transport.FrameConn) (from, purpose string, err error) {
	fleet := client.HandshakeFleet(m.controlPlane.Fleet)
	from, _, err = transport.ServerHandshake(netConn, conn.Reader(), m.controlPlane.Keys, fleet, m.self.Name, m.incarnation())
	if err != nil {
		return "", "", err
	}
	_ = netConn.SetReadDeadline(time.Now().Add(headerTimeout))
	defer func() { _ = netConn.SetReadDeadline(time.Time{}) }()
	header, err := transport.ReadFrame(conn.Reader(), maxHeaderBytes)
	if err != nil {
		return from, "", err
	}
	purpose, err = client.DecodeLinkHeader(header)
	return from, purpose, err
}

func (m *Member) serveLink(ctx context.Context, conn *transport.FrameConn, from, purpose string) error {
	switch purpose {
	case client.PurposeFollow:
		return m.serveFollower(ctx, conn, from)
	case client.PurposeVote:
		return m.serveVoter(ctx, conn, from)
	case client.PurposeCall:
		return m.serveCall(ctx, conn)
	}
	return fmt.Errorf("unknown link purpose %.20q", purpose)
}

// postFrames returns a callback that queues each frame of a connection for the actor to handle. It blocks while maxQueuedFrames of them
// are queued, so that a fast sender is slowed down by backpressure on its own connection.
func (m *Member) postFrames(ctx context.Context, handle func(frame []byte)) func(frame []byte) {
	slots := make(chan struct{}, maxQueuedFrames)
	return func(frame []byte) {
		select {
		case slots <- struct{}{}:
		case <-ctx.Done():
			return
		}
		m.mailbox.Put(func() {
			<-slots
			handle(frame)
		})
	}
}

// serveFollower serves a follower until its connection ends. It returns an error only for an end that no correct follower causes.
func (m *Member) serveFollower(ctx context.Context, conn *transport.FrameConn, name string) error {
	id, err := m.addFollower(ctx, conn, name)
	if err != nil || id == 0 {
		return err
	}
	malformed := make(chan error, 1) // at most one: the follower is removed with the first
	handleFrame := func(frame []byte) {
		if m.followers[id] == nil {
			return
		}
		if err := m.server.HandleFrame(m.clock.Now(), id, frame); err != nil {
			delete(m.followers, id)
			malformed <- err
			conn.Close()
		}
	}
	bytesWritten := func(bytes int) {
		m.mailbox.Put(func() {
			if m.followers[id] != nil {
				m.server.BytesWritten(m.clock.Now(), id, bytes)
			}
		})
	}
	idleTimeout := controlplane.LeaseDurationMs * time.Millisecond
	err = conn.Run(controlplane.MaxFrameBytes, idleTimeout, m.postFrames(ctx, handleFrame), bytesWritten)
	m.mailbox.Put(func() { m.removeFollower(id, conn) })
	select {
	case err := <-malformed:
		return err
	default:
		return ignoreExpectedClose(err)
	}
}

// addFollower adds a connection to the server and returns its ID. If ctx has ended, the ID is 0.
func (m *Member) addFollower(ctx context.Context, conn *transport.FrameConn, name string) (id uint64, err error) {
	added := make(chan uint64, 1)
	m.mailbox.Put(func() {
		if len(m.followers) >= maxFollowers {
			added <- 0
			return
		}
		m.lastFollowerID++
		m.followers[m.lastFollowerID] = &followerConn{conn: conn, name: name}
		m.server.AddConnection(m.clock.Now(), m.lastFollowerID, name)
		added <- m.lastFollowerID
	})
	select {
	case id = <-added:
	case <-ctx.Done():
		return 0, nil
	}
	if id == 0 {
		return 0, errTooManyFollowers
	}
	return id, nil
}

func (m *Member) removeFollower(id uint64, conn *transport.FrameConn) {
	bytesIn, bytesOut, _, _ := conn.Traffic()
	m.closedBytesIn += bytesIn
	m.closedBytesOut += bytesOut
	if m.followers[id] != nil {
		delete(m.followers, id)
		m.server.RemoveConnection(m.clock.Now(), id)
	}
}

// ignoreExpectedClose returns the error with which a connection has ended only if no correct peer causes it: a frame that is too long.
// For a connection that was closed or lost it returns nil.
func ignoreExpectedClose(err error) error {
	var tooLong *transport.FrameTooLongError
	if errors.As(err, &tooLong) {
		return err
	}
	return nil
}
