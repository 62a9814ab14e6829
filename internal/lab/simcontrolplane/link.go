package simcontrolplane

import "pearknot/internal/controlplane"

// Latencies, in ms.
const (
	minLocalMs, localSpreadMs   = 0.2, 0.8 // within a region
	minRemoteMs, remoteSpreadMs = 15.0, 25.0
)

// voterMessageLoss is the share of messages between voters that are lost on links without a fault.
const voterMessageLoss = 0.001

// link is one direction between two processes.
type link struct {
	cuts         int // faults that cut it at present
	extraDelayMs float64
	bytesPerMs   float64 // 0 is no limit
	lastArrival  float64 // of messages between voters, which arrive in the order in which they were sent
}

func (c *Cluster) link(from, to *process) *link { return &c.links[from.id][to.id] }

func (c *Cluster) isCut(from, to *process) bool { return c.link(from, to).cuts > 0 }

// transferMs draws how long some bytes take from one process to another.
func (c *Cluster) transferMs(from, to *process, bytes int) float64 {
	ms := c.drawMs(minLocalMs, localSpreadMs)
	if from.region != to.region {
		ms = c.drawMs(minRemoteMs, remoteSpreadMs)
	}
	link := c.link(from, to)
	ms += link.extraDelayMs
	if link.bytesPerMs > 0 {
		ms += float64(bytes) / link.bytesPerMs
	}
	return ms
}

// sendVoterMessage carries a message between voters. Messages on a cut link are lost, and so are those whose sender has ended.
func (c *Cluster) sendVoterMessage(from *process, message *controlplane.VoterMessage) {
	to := c.processes[message.To-1]
	receiver, sender := to.incarnation, from.incarnation
	if c.isCut(from, to) || c.rng.Float64() < voterMessageLoss {
		return
	}
	link := c.link(from, to)
	arrival := max(c.now+c.transferMs(from, to, len(message.Data)), link.lastArrival)
	link.lastArrival = arrival
	c.after(arrival-c.now, func() {
		if c.isCut(from, to) || from.incarnation != sender {
			return
		}
		c.runIn(to, receiver, func() { to.voter.HandleMessage(c.clock(to), voterID(from.id), message.Data) })
	})
}
