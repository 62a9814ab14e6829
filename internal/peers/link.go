package peers

import (
	"net"
	"sync/atomic"

	"pearknot/internal/requestlog"
)

// maxQueuedFrames bounds the frames that are queued for one member.
const maxQueuedFrames = 4096

// link is the pair of connections to one member, as the actor knows them. The member counts as connected while both are up
// and belong to the same incarnation: only then does each process receive what the other sends.
//
// Each connection is closed separately. If closing one closed the other too, two processes that reconnect at the same time
// would repeatedly close each other's new connections and stay disconnected for a long time.
type link struct {
	outbound           *outboundConn // nil if there is none
	inbound            net.Conn      // nil if there is none
	inboundIncarnation uint64
}

func (l *link) isConnected() bool {
	return l.outbound != nil && l.inbound != nil && l.outbound.incarnation == l.inboundIncarnation
}

// outboundConn holds a connection that this process has opened and the queue of frames to send on it.
type outboundConn struct {
	conn        net.Conn
	incarnation uint64 // of the other process
	frames      chan []byte
	queuedBytes atomic.Int64
}

func newOutboundConn(conn net.Conn, incarnation uint64) *outboundConn {
	return &outboundConn{conn: conn, incarnation: incarnation, frames: make(chan []byte, maxQueuedFrames)}
}

// setOutbound replaces the outbound connection to a member.
func (p *Peers) setOutbound(member int, outbound *outboundConn) {
	p.closeOutbound(member)
	p.links[member].outbound = outbound
	p.connectIfComplete(member)
}

// setInbound replaces the inbound connection from a member.
func (p *Peers) setInbound(member int, inbound net.Conn, incarnation uint64) {
	p.closeInbound(member)
	p.links[member].inbound, p.links[member].inboundIncarnation = inbound, incarnation
	p.connectIfComplete(member)
}

func (p *Peers) connectIfComplete(member int) {
	link := &p.links[member]
	if !link.isConnected() {
		return
	}
	p.member.PeerConnected(p.clock.Now(), member, requestlog.NewIncarnation(member, link.inboundIncarnation))
	p.log.Info("peer connected", "peer", p.config.Members[member].Name)
}

// sendFrame queues a frame for a member. The connection to a member that does not read for a long time, because it is frozen
// or its network is slow, is closed, so that the queue is bounded. Raft sends what the member lacks again once it reconnects.
func (p *Peers) sendFrame(member int, frame []byte) {
	outbound := p.links[member].outbound
	if outbound == nil {
		return
	}
	if outbound.queuedBytes.Add(int64(len(frame))) > p.config.maxQueuedBytes() {
		p.closeOutbound(member)
		return
	}
	select {
	case outbound.frames <- frame:
	default:
		p.closeOutbound(member)
	}
}

// outboundEnded closes an outbound connection that has failed, unless another has already taken its place.
func (p *Peers) outboundEnded(member int, outbound *outboundConn) {
	if p.links[member].outbound == outbound {
		p.closeOutbound(member)
	}
}

// inboundEnded closes an inbound connection that has failed, unless another has already taken its place.
func (p *Peers) inboundEnded(member int, inbound net.Conn) {
	if p.links[member].inbound == inbound {
		p.closeInbound(member)
	}
}

func (p *Peers) closeOutbound(member int) {
	link := &p.links[member]
	if link.outbound == nil {
		return
	}
	_ = link.outbound.conn.Close()
	close(link.outbound.frames)
	link.outbound = nil
	p.disconnected(member, link.inbound != nil)
}

func (p *Peers) closeInbound(member int) {
	link := &p.links[member]
	if link.inbound == nil {
		return
	}
	_ = link.inbound.Close()
	link.inbound = nil
	p.disconnected(member, link.outbound != nil)
}

// disconnected reports to the request logs that a connection to a member was closed. It logs the first of the two to close.
func (p *Peers) disconnected(member int, isFirst bool) {
	p.member.PeerDisconnected(p.clock.Now(), member)
	if isFirst {
		p.log.Warn("peer disconnected", "peer", p.config.Members[member].Name)
	}
}

// receiveFrame handles a frame from an inbound connection. The frame is dropped unless the link is up in both directions: a
// link with one connection counts as down at both ends, so its frames must not be processed.
func (p *Peers) receiveFrame(member int, inbound net.Conn, frame []byte) {
	if link := &p.links[member]; link.inbound != inbound || link.outbound == nil {
		return
	}
	if err := p.member.Receive(p.clock.Now(), member, frame); err != nil {
		p.logRejection(p.config.Members[member].Name, err)
		p.closeInbound(member)
		p.closeOutbound(member)
	}
}
