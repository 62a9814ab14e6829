package simcontrolplane

import "slices"

const (
	handshakeBytes = 100
	partIntervalMs = 1000.0 // between the parts of a frame on a throttled link
)

// What happens to mangled frames, as upper ends of ranges of a number drawn between 0 and 1.
const (
	lostBelow       = 0.01
	duplicatedBelow = 0.02
	corruptedBelow  = 0.03
	overtakenBelow  = 0.05 // only what a member sends

	minOvertakenMs, overtakenSpreadMs = 1.0, 30.0
)

// side is an end of a connection.
type side int

const (
	followerSide side = iota
	serverSide
)

func (s side) other() side { return 1 - s }

// connection is a TCP connection between a follower and a member. What a cut link delays arrives later, in order.
type connection struct {
	id   uint64
	ends [2]connEnd // by side
}

// connEnd is one process's end of a connection.
type connEnd struct {
	process     *process
	incarnation int
	isOpen      bool
	lastArrival float64  // of what this end has sent
	delayed     []func() // arrivals of what this end has sent, while the link is cut
}

// dialAttempt is a follower's dial of a member.
type dialAttempt struct {
	follower    *process
	incarnation int // of the follower
	number      int // among the follower's dials
	member      *process
	memberIndex int
}

// isCurrent reports whether the follower has neither dialed again nor given up since.
func (d *dialAttempt) isCurrent() bool { return d.follower.dials == d.number }

// dial opens a connection to a member by a handshake. On a cut link nothing comes back, and the follower times out.
func (c *Cluster) dial(p *process, memberIndex int) {
	p.dials++
	member := c.processes[memberIndex]
	d := &dialAttempt{follower: p, incarnation: p.incarnation, number: p.dials, member: member, memberIndex: memberIndex}
	c.after(c.transferMs(p, member, handshakeBytes), func() {
		switch {
		case c.isCut(p, member):
		case !member.isUp:
			c.replyToDial(d, func() { c.dialRefused(d) })
		default:
			c.runIn(member, member.incarnation, func() {
				conn := c.accept(d)
				c.replyToDial(d, func() { c.dialAccepted(d, conn) })
			})
		}
	})
}

// replyToDial carries a member's side of the handshake to the follower.
func (c *Cluster) replyToDial(d *dialAttempt, receive func()) {
	c.after(c.transferMs(d.member, d.follower, handshakeBytes), func() {
		if !c.isCut(d.member, d.follower) {
			c.runIn(d.follower, d.incarnation, receive)
		}
	})
}

// accept adds a connection at its member.
func (c *Cluster) accept(d *dialAttempt) *connection {
	c.lastConn++
	conn := &connection{id: c.lastConn}
	conn.ends[followerSide] = connEnd{process: d.follower, incarnation: d.incarnation, isOpen: true}
	conn.ends[serverSide] = connEnd{process: d.member, incarnation: d.member.incarnation, isOpen: true}
	c.conns = append(c.conns, conn)
	d.member.server.AddConnection(c.clock(d.member), conn.id, d.follower.name)
	return conn
}

func (c *Cluster) dialAccepted(d *dialAttempt, conn *connection) {
	if !d.isCurrent() {
		c.closeConn(conn, followerSide)
		return
	}
	d.follower.conn = conn
	d.follower.follower.Connected(c.clock(d.follower), d.memberIndex)
}

func (c *Cluster) dialRefused(d *dialAttempt) {
	if d.isCurrent() {
		d.follower.follower.Disconnected(c.clock(d.follower))
	}
}

func (c *Cluster) connByID(id uint64) *connection {
	for _, conn := range c.conns {
		if conn.id == id {
			return conn
		}
	}
	return nil
}

// transmit carries bytes from one end of a connection to the other, where they arrive behind everything that was sent before.
func (c *Cluster) transmit(conn *connection, sender side, bytes int, arrive func()) {
	end := &conn.ends[sender]
	from, to := end.process, conn.ends[sender.other()].process
	bytesPerMs := c.link(from, to).bytesPerMs
	arrival := max(c.now+c.transferMs(from, to, bytes), end.lastArrival)
	if bytesPerMs > 0 {
		arrival = max(arrival, end.lastArrival+float64(bytes)/bytesPerMs)
	}
	end.lastArrival = arrival
	if bytesPerMs > 0 && sender == serverSide {
		firstByte := arrival - float64(bytes)/bytesPerMs
		for part := arrival - partIntervalMs; part > firstByte; part -= partIntervalMs {
			c.after(part-c.now, func() { c.partArrived(conn) })
		}
	}
	c.after(arrival-c.now, func() {
		if c.isCut(from, to) || len(end.delayed) > 0 {
			end.delayed = append(end.delayed, arrive)
			return
		}
		arrive()
	})
}

// partArrived tells a follower that a part of a frame has arrived.
func (c *Cluster) partArrived(conn *connection) {
	end := conn.ends[followerSide]
	p := end.process
	if c.isCut(conn.ends[serverSide].process, p) {
		return
	}
	c.runIn(p, end.incarnation, func() {
		if p.conn == conn {
			p.follower.BytesReceived(c.clock(p))
		}
	})
}

// releaseDelayed sends on what connections could not carry while a link was cut.
func (c *Cluster) releaseDelayed(from, to *process) {
	for _, conn := range c.conns {
		for _, sender := range []side{followerSide, serverSide} {
			end := &conn.ends[sender]
			if end.process != from || conn.ends[sender.other()].process != to {
				continue
			}
			delayed := end.delayed
			end.delayed = nil
			for _, arrive := range delayed {
				c.transmit(conn, sender, 0, arrive)
			}
		}
	}
}

// sendFrame sends a frame to the other end, or mangles it: loses, duplicates or corrupts it, or lets the next one overtake it.
func (c *Cluster) sendFrame(conn *connection, sender side, frame []byte) {
	if conn == nil || !conn.ends[sender].isOpen {
		return
	}
	bytes := len(frame)
	if c.MangleFrames && !c.isWindingDown {
		switch draw := c.rng.Float64(); {
		case draw < lostBelow: // which the sender doesn't notice
			end := conn.ends[sender]
			c.runIn(end.process, end.incarnation, func() { c.frameWritten(conn, sender, bytes) })
			return
		case draw < duplicatedBelow:
			c.deliver(conn, sender, frame, bytes)
		case draw < corruptedBelow:
			frame = c.corrupt(frame, sender)
		case draw < overtakenBelow && sender == serverSide:
			c.after(c.drawMs(minOvertakenMs, overtakenSpreadMs), func() { c.deliver(conn, sender, frame, bytes) })
			return
		}
	}
	c.deliver(conn, sender, frame, bytes)
}

// corrupt flips a bit in what a member sends, behind the fields that say which change it is: in a change's lines or a snapshot's chunk.
func (c *Cluster) corrupt(frame []byte, sender side) []byte {
	const minBytes, headerBytes = 100, 60
	if sender == followerSide || len(frame) < minBytes {
		return frame
	}
	frame = slices.Clone(frame)
	frame[headerBytes+c.rng.IntN(len(frame)-headerBytes)] ^= 1 << c.rng.IntN(8)
	return frame
}

// deliver transmits a frame and has the other end handle it.
func (c *Cluster) deliver(conn *connection, sender side, frame []byte, bytes int) {
	c.transmit(conn, sender, bytes, func() {
		end := &conn.ends[sender.other()]
		c.runIn(end.process, end.incarnation, func() {
			if end.isOpen {
				c.handleFrame(conn, sender, end.process, frame)
			}
			c.frameWritten(conn, sender, bytes)
		})
	})
}

func (c *Cluster) handleFrame(conn *connection, sender side, receiver *process, frame []byte) {
	if sender == serverSide {
		if receiver.conn == conn {
			receiver.follower.HandleFrame(c.clock(receiver), frame)
		}
		return
	}
	if err := receiver.server.HandleFrame(c.clock(receiver), conn.id, frame); err != nil {
		c.closeConn(conn, serverSide)
	}
}

// frameWritten tells a member that its frame has left, which is taken to be when it was read.
func (c *Cluster) frameWritten(conn *connection, sender side, bytes int) {
	if sender != serverSide {
		return
	}
	end := conn.ends[serverSide]
	member := end.process
	c.runIn(member, end.incarnation, func() { member.server.BytesWritten(c.clock(member), conn.id, bytes) })
}

// closeConn closes one end of a connection. The other end notices behind what was sent before, once the link carries anything.
func (c *Cluster) closeConn(conn *connection, closer side) {
	if conn == nil || !conn.ends[closer].isOpen {
		return
	}
	conn.ends[closer].isOpen = false
	c.transmit(conn, closer, 0, func() {
		end := &conn.ends[closer.other()]
		c.runIn(end.process, end.incarnation, func() { c.connClosed(conn, closer.other()) })
	})
	c.removeIfClosed(conn)
}

// connClosed tells an end that the other one has closed the connection.
func (c *Cluster) connClosed(conn *connection, at side) {
	end := &conn.ends[at]
	if !end.isOpen {
		return
	}
	end.isOpen = false
	p := end.process
	if at == serverSide {
		p.server.RemoveConnection(c.clock(p), conn.id)
	} else if p.conn == conn {
		p.conn = nil
		p.follower.Disconnected(c.clock(p))
	}
	c.removeIfClosed(conn)
}

func (c *Cluster) removeIfClosed(conn *connection) {
	if !conn.ends[followerSide].isOpen && !conn.ends[serverSide].isOpen {
		c.conns = slices.DeleteFunc(c.conns, func(other *connection) bool { return other == conn })
	}
}
