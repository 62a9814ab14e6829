package simcontrolplane

import "slices"

const (
	handshakeBytes = 100
	partIntervalMs = 1000.0 // between the parts of a frame on a throttled link
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

// dial opens a connection to a member by a handshake. On a cut link nothing comes back, and the follower times out.
func (c *Cluster) dial(p *process, memberIndex int) {
	p.dials++
	dial, incarnation, member := p.dials, p.incarnation, c.processes[memberIndex]
	isCurrent := func() bool { return p.dials == dial }
	c.after(c.transferMs(p, member, handshakeBytes), func() {
		if c.isCut(p, member) {
			return
		}
		if !member.isUp {
			c.refuse(member, p, incarnation, isCurrent)
			return
		}
		c.runIn(member, member.incarnation, func() {
			conn := c.accept(member, p, incarnation)
			c.after(c.transferMs(member, p, handshakeBytes), func() {
				if c.isCut(member, p) {
					return
				}
				c.runIn(p, incarnation, func() {
					if !isCurrent() {
						c.closeConn(conn, followerSide)
						return
					}
					p.conn = conn
					p.follower.Connected(c.clock(p), memberIndex)
				})
			})
		})
	})
}

// refuse answers a dial of a member that is down.
func (c *Cluster) refuse(member, p *process, incarnation int, isCurrent func() bool) {
	c.after(c.transferMs(member, p, handshakeBytes), func() {
		if c.isCut(member, p) {
			return
		}
		c.runIn(p, incarnation, func() {
			if isCurrent() {
				p.follower.Disconnected(c.clock(p))
			}
		})
	})
}

// accept adds a connection at its member.
func (c *Cluster) accept(member, follower *process, incarnation int) *connection {
	c.lastConn++
	conn := &connection{id: c.lastConn}
	conn.ends[followerSide] = connEnd{process: follower, incarnation: incarnation, isOpen: true}
	conn.ends[serverSide] = connEnd{process: member, incarnation: member.incarnation, isOpen: true}
	c.conns = append(c.conns, conn)
	member.server.AddConnection(c.clock(member), conn.id, follower.name)
	return conn
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
		case draw < 0.01: // lost, which the sender doesn't notice
			end := conn.ends[sender]
			c.runIn(end.process, end.incarnation, func() { c.frameWritten(conn, sender, bytes) })
			return
		case draw < 0.02:
			c.deliver(conn, sender, frame, bytes)
		case draw < 0.03:
			frame = c.corrupt(frame, sender)
		case draw < 0.05 && sender == serverSide:
			c.after(1+c.rng.Float64()*30, func() { c.deliver(conn, sender, frame, bytes) })
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
