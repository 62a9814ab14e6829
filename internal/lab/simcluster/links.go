package simcluster

const (
	minLinkDelayMs = 0.1 // of a frame on a link without a fault
	linkJitterMs   = 0.4 // at most, on top
	reconnectMs    = 30.0
	silenceMs      = 400.0 // after which the two ends of a cut link give the connection up
)

// link is the connection from one process to another, in one direction.
type link struct {
	isCut         bool    // a fault: nothing arrives
	isConnected   bool    // the sender has been told that its peer is connected
	extraDelay    float64 // a fault: ms that a frame may take longer, at most
	latestArrival float64 // of the frames so far: a link keeps their order
}

func (c *Cluster) link(from, to *process) *link { return c.links[from.index][to.index] }

// connect connects two processes in both directions, unless a fault is in the way.
func (c *Cluster) connect(a, b *process) {
	if !a.isUp || !b.isUp || a.isFrozen || b.isFrozen || c.link(a, b).isCut || c.link(b, a).isCut {
		return
	}
	for _, ends := range [2][2]*process{{a, b}, {b, a}} {
		p, peer := ends[0], ends[1]
		peerIncarnation := peer.member.Self()
		c.link(p, peer).isConnected = true
		c.runIn(p, p.incarnation, func() { p.member.PeerConnected(c.now, peer.index, peerIncarnation) })
	}
}

// disconnect ends the connection of two processes in both directions.
func (c *Cluster) disconnect(a, b *process) {
	for _, ends := range [2][2]*process{{a, b}, {b, a}} {
		p, peer := ends[0], ends[1]
		if !c.link(p, peer).isConnected {
			continue
		}
		c.link(p, peer).isConnected = false
		c.runIn(p, p.incarnation, func() { p.member.PeerDisconnected(c.now, peer.index) })
	}
}

// sendFrame sends a frame, which is lost if the link is cut or not connected. It arrives after the link's delay, in the order in
// which frames were sent, unless the sender's run or the connection is over by then.
func (c *Cluster) sendFrame(from, to *process, frame []byte) {
	l := c.link(from, to)
	if l.isCut || !l.isConnected {
		return
	}
	c.FramesSent++
	c.BytesSent += len(frame)
	receiver, sender := to.incarnation, from.incarnation
	l.latestArrival = max(c.now+minLinkDelayMs+c.rng.Float64()*linkJitterMs+l.extraDelay*c.rng.Float64(), l.latestArrival)
	c.after(l.latestArrival-c.now, func() {
		if !c.link(to, from).isConnected || from.incarnation != sender {
			return
		}
		c.runIn(to, receiver, func() {
			if err := to.member.Receive(c.now, from.index, frame); err != nil {
				panic(err) // members send each other only what they can read
			}
		})
	})
}

// linkEnds names a link by its two ends.
type linkEnds struct{ from, to *process }

// cutLinks has nothing arrive on links, in the given direction or in both. Their ends notice by the silence.
func (c *Cluster) cutLinks(links []linkEnds, bothDirections bool) {
	for _, ends := range links {
		c.setCut(ends, bothDirections, true)
		c.after(silenceMs, func() {
			if c.link(ends.from, ends.to).isCut {
				c.disconnect(ends.from, ends.to)
			}
		})
	}
}

// mendLinks ends what cutLinks began: the ends connect anew.
func (c *Cluster) mendLinks(links []linkEnds, bothDirections bool) {
	for _, ends := range links {
		c.setCut(ends, bothDirections, false)
		c.disconnect(ends.from, ends.to)
		c.after(reconnectMs, func() { c.connect(ends.from, ends.to) })
	}
}

func (c *Cluster) setCut(ends linkEnds, bothDirections, isCut bool) {
	c.link(ends.from, ends.to).isCut = isCut
	if bothDirections {
		c.link(ends.to, ends.from).isCut = isCut
	}
}
