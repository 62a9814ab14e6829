package peers

import (
	"bufio"
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"time"

	"pearknot/internal/peers/transport"
)

const (
	dialTimeout  = time.Second
	writeTimeout = time.Second // for one frame
	// minDialBackoff and maxDialBackoff bound the wait between two attempts to connect, which doubles after each attempt.
	minDialBackoff = 50 * time.Millisecond
	maxDialBackoff = time.Second
	// connBufferBytes is the size of a connection's read or write buffer.
	connBufferBytes = 64 << 10
)

// keepConnected maintains an outbound connection to a member. It first waits until this process listens on its own address:
// until then its predecessor still acts as this member.
func (p *Peers) keepConnected(ctx context.Context, member int) {
	select {
	case <-p.listening:
	case <-ctx.Done():
		return
	}
	backoff := minDialBackoff
	for ctx.Err() == nil {
		conn, incarnation, err := p.dial(ctx, member)
		if err == nil {
			backoff = minDialBackoff
			p.runOutbound(ctx, member, conn, incarnation)
		} else if ctx.Err() == nil && errors.Is(err, transport.ErrWrongKey) {
			p.logRejection(p.config.Members[member].Name, err)
		}
		select {
		case <-ctx.Done():
		case <-time.After(backoff/2 + rand.N(backoff)): // jitter, so that members that start together do not dial at the same times
		}
		backoff = min(2*backoff, maxDialBackoff)
	}
}

// dial connects to a member, and returns the connection after the handshake and the member's incarnation.
func (p *Peers) dial(ctx context.Context, member int) (net.Conn, uint64, error) {
	self, remote := p.config.Members[p.config.Self], p.config.Members[member]
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", remote.Address)
	if err != nil {
		return nil, 0, err
	}
	incarnation, err := transport.ClientHandshake(conn, p.config.Keys, p.config.Fleet, self.Name, remote.Name, p.incarnation)
	if err != nil {
		_ = conn.Close()
		return nil, 0, err
	}
	return conn, incarnation, nil
}

// runOutbound passes a connection to the actor and writes its frames until it ends.
func (p *Peers) runOutbound(ctx context.Context, member int, conn net.Conn, incarnation uint64) {
	defer conn.Close()
	outbound := newOutboundConn(conn, incarnation)
	p.mailbox.Put(func() {
		if ctx.Err() != nil {
			_ = conn.Close()
			close(outbound.frames)
			return
		}
		p.setOutbound(member, outbound)
	})
	p.wg.Go(func() {
		// The other side sends nothing on this connection, so the read returns only when the connection ends.
		var buffer [1]byte
		_, _ = conn.Read(buffer[:])
		p.mailbox.Put(func() { p.outboundEnded(member, outbound) })
		_ = conn.Close()
	})
	outbound.writeFrames(ctx)
}

// writeFrames writes the queued frames until the actor closes the queue. A failed write closes the connection; the goroutine
// that reads from it then notifies the actor.
func (o *outboundConn) writeFrames(ctx context.Context) {
	writer := bufio.NewWriterSize(o.conn, connBufferBytes)
	for {
		var frame []byte
		var ok bool
		select {
		case frame, ok = <-o.frames:
		case <-ctx.Done():
			// If the actor ended before it got this connection it never closes the queue. Without this case a node could
			// hang here at its shutdown until it was killed.
		}
		if !ok {
			return
		}
		_ = o.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
		err := transport.WriteFrame(writer, frame)
		o.queuedBytes.Add(-int64(len(frame)))
		if err == nil && len(o.frames) == 0 {
			err = writer.Flush()
		}
		if err != nil {
			_ = o.conn.Close()
		}
	}
}
