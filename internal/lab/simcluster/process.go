package simcluster

import (
	"fmt"

	"pearknot/internal/requestlog"
)

const (
	startIntervalMs = 3.0  // between the starts of the processes when the cluster starts
	firstConnectMs  = 20.0 // least time from a process's start until it has a link to a peer; at most twice as much
	maxLogBytes     = 1 << 20
	answerTTLMs     = 60e3
)

// process is one process of the cluster, through all its runs.
type process struct {
	index       int
	member      *requestlog.Member
	incarnation uint64 // the number of its current run
	isUp        bool
	isFrozen    bool
	deferred    []func() // what reached it while it was frozen
	callbacks   map[uint64]func(requestlog.Reply)
	lastCallID  uint64
}

// startProcess starts a process that is down, with a new incarnation and an empty member.
func (c *Cluster) startProcess(p *process) {
	incarnation := uint64(c.now)
	if c.KeepsIncarnation && p.incarnation != 0 {
		incarnation = p.incarnation
	}
	var names []string
	for index := range c.processes {
		names = append(names, fmt.Sprintf("n%d", index))
	}
	config := requestlog.Config{
		Members:     names,
		Self:        p.index,
		Incarnation: incarnation,
		Replicas:    c.replicas,
		Seed:        c.rng.Uint64(),
		MaxLogBytes: maxLogBytes,
		AnswerTTL:   answerTTLMs,
		InjectedBug: c.InjectedBug,
	}
	*p = process{
		index:       p.index,
		member:      requestlog.New(config, c.now),
		incarnation: incarnation,
		isUp:        true,
		callbacks:   map[uint64]func(requestlog.Reply){},
	}
	for _, peer := range c.peersOf(p) {
		c.after(firstConnectMs+c.rng.Float64()*firstConnectMs, func() { c.connect(p, peer) })
	}
	c.tick(p, incarnation)
}

// peersOf returns all processes but one.
func (c *Cluster) peersOf(p *process) []*process {
	peers := make([]*process, 0, len(c.processes)-1)
	for _, other := range c.processes {
		if other != p {
			peers = append(peers, other)
		}
	}
	return peers
}

// tick gives one run of a process its regular ticks, until that run ends.
func (c *Cluster) tick(p *process, incarnation uint64) {
	if !p.isUp || p.incarnation != incarnation {
		return
	}
	c.runIn(p, incarnation, func() { p.member.Tick(c.now) })
	c.after(requestlog.TickMs, func() { c.tick(p, incarnation) })
}

// runIn has one run of a process do something: at once, or, while the process is frozen, when it is resumed. Nothing is done if
// that run is over.
func (c *Cluster) runIn(p *process, incarnation uint64, do func()) {
	switch {
	case !p.isUp || p.incarnation != incarnation:
	case p.isFrozen:
		p.deferred = append(p.deferred, do)
	default:
		do()
		c.processOutputs(p)
	}
}

// processOutputs carries out what a process's member has decided.
func (c *Cluster) processOutputs(p *process) {
	for {
		output, ok := p.member.Next()
		if !ok {
			return
		}
		switch {
		case output.Frame != nil:
			c.sendFrame(p, c.processes[output.To], output.Frame)
		case output.Reply != nil:
			if callback := p.callbacks[output.Reply.ID]; callback != nil {
				delete(p.callbacks, output.Reply.ID)
				callback(*output.Reply)
			}
		case output.TakenOver != nil:
			c.TakenOver++
			c.takeOver(p, output.TakenOver)
		case output.Event != nil:
			c.trace("%.0f n%d %s %v", c.now, p.index, output.Event.Message, output.Event.Attrs())
		}
	}
}

// appendRecord has a process append a record to the log of the record's key.
func (c *Cluster) appendRecord(p *process, record requestlog.Record, deadline float64, callback func(requestlog.Reply)) {
	p.lastCallID++
	p.callbacks[p.lastCallID] = callback
	p.member.Append(c.now, p.lastCallID, record, deadline)
}

// lookup has a process ask what the log knows of a key.
func (c *Cluster) lookup(p *process, key string, deadline float64, callback func(requestlog.Reply)) {
	p.lastCallID++
	p.callbacks[p.lastCallID] = callback
	p.member.Lookup(c.now, p.lastCallID, key, fingerprint, deadline)
}
