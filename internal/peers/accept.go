package peers

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"slices"
	"sync"
	"time"

	"pearknot/internal/peers/transport"
	"pearknot/internal/requestlog"
)

const (
	// maxHandshakes bounds the connections whose handshake is in progress, so that a host without a key that opens many
	// connections uses few file descriptors.
	maxHandshakes = 8
	// listenRetryInterval is the time between two attempts to listen while another process uses the address, and the pause
	// after an error of Accept, such as a lack of file descriptors.
	listenRetryInterval = 50 * time.Millisecond
	// inboundIdleTimeout closes a connection on which nothing is received: ten heartbeat intervals.
	inboundIdleTimeout = requestlog.PeerTimeoutMs * time.Millisecond
)

// listen accepts connections from other members. It waits while a predecessor of this process still uses the address.
func (p *Peers) listen(ctx context.Context) {
	listener := p.bind(ctx)
	if listener == nil {
		return
	}
	close(p.listening)
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	handshakes := make(chan struct{}, maxHandshakes)
	for {
		handshakes <- struct{}{}
		conn, err := listener.Accept()
		if err == nil {
			p.wg.Go(func() { p.runInbound(ctx, conn, func() { <-handshakes }) })
			continue
		}
		if ctx.Err() != nil {
			return
		}
		<-handshakes
		time.Sleep(listenRetryInterval)
	}
}

// bind listens on this member's address. It returns nil if the context ends before the address is free.
func (p *Peers) bind(ctx context.Context) net.Listener {
	address := p.config.Members[p.config.Self].Address
	for attempt := 0; ; attempt++ {
		listener, err := net.Listen("tcp", address)
		if err == nil {
			return listener
		}
		if attempt == 0 {
			p.log.Warn("peer address not available, retrying", "error", err)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(listenRetryInterval):
		}
	}
}

// runInbound performs the handshake on a connection that another process has opened, and passes its frames to the actor until
// the connection ends. handshakeDone is called once.
func (p *Peers) runInbound(ctx context.Context, conn net.Conn, handshakeDone func()) {
	defer conn.Close()
	handshakeDone = sync.OnceFunc(handshakeDone)
	defer handshakeDone()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	reader := bufio.NewReaderSize(conn, connBufferBytes)
	member, incarnation, err := p.acceptHandshake(conn, reader)
	if err != nil {
		if ctx.Err() == nil {
			p.logRejection(conn.RemoteAddr().String(), err)
		}
		return
	}
	handshakeDone()
	p.mailbox.Put(func() { p.setInbound(member, conn, incarnation) })
	for {
		_ = conn.SetReadDeadline(time.Now().Add(inboundIdleTimeout))
		frame, err := transport.ReadFrame(reader, uint32(p.config.maxFrameBytes()))
		if err != nil {
			p.mailbox.Put(func() { p.inboundEnded(member, conn) })
			return
		}
		p.mailbox.Put(func() { p.receiveFrame(member, conn, frame) })
	}
}

// acceptHandshake returns the index and the incarnation of the member that has opened a connection.
func (p *Peers) acceptHandshake(conn net.Conn, reader *bufio.Reader) (member int, incarnation uint64, err error) {
	self := p.config.Members[p.config.Self].Name
	name, incarnation, err := transport.ServerHandshake(conn, reader, p.config.Keys, p.config.Fleet, self, p.incarnation)
	if err != nil {
		return 0, 0, err
	}
	member = slices.IndexFunc(p.config.Members, func(m Member) bool { return m.Name == name })
	if member < 0 || member == p.config.Self {
		return 0, 0, fmt.Errorf("%.40q is not a member of the fleet", name)
	}
	return member, incarnation, nil
}
