// Package simcluster runs a simulated cluster of request-log members in virtual time. The members are the protocol's own core
// (internal/requestlog). Around them are simulated links that can be cut, slowed and interrupted, processes that are killed and
// frozen, clients that repeat their requests or send one to two processes at once, and backends that count effects. Verdicts
// rest on what clients and backends saw, not on what the members say.
//
// A seed determines the whole history: there are no goroutines in a cluster, the only clock is its event loop's, and every random
// draw comes from one seeded generator. The order of draws is therefore part of the behavior. All times are in ms.
package simcluster

import (
	"math/rand/v2"

	"pearknot/internal/invariants"
	"pearknot/internal/lab/eventqueue"
	"pearknot/internal/requestlog"
)

// startOfTime is the cluster's clock when it is made. It is above 0, so that no time is mistaken for one that is not set.
const startOfTime = 1e6

// Cluster is the processes, the links between them and the backends.
type Cluster struct {
	// Trace, if set, receives a line for each step of the history.
	Trace func(format string, args ...any)

	// What is left out or done wrong on purpose, so that tests can show that the checks notice. To be set before the start.

	InjectedBug           requestlog.InjectedBug
	AttemptsBeforeRecords bool // attempts start before their record is committed
	KeepsIncarnation      bool // a restarted process goes by the incarnation of its former run

	LoggedAnswers int // committed records of served and failed requests
	TakenOver     int // requests that a successor has taken over
	FramesSent    int // on all links
	BytesSent     int // in these frames

	now    float64
	events eventqueue.Queue
	rng    *rand.Rand

	processes []*process
	links     [][]*link // by the index of the sender, then of the receiver
	replicas  int       // of each log

	auditor        *invariants.KeyAuditor
	effectAt       map[string]float64 // by idempotency key, when an effect ran that backends still recognize
	loggedRequests int                // requests that LogRequests has made
}

// New returns a cluster whose load, delays and backends are drawn by a seed. Its processes are not started.
func New(seed uint64, members, replicas int) *Cluster {
	c := &Cluster{
		now:      startOfTime,
		rng:      rand.New(rand.NewPCG(seed, 17)),
		replicas: replicas,
		auditor:  invariants.NewKeyAuditor(),
		effectAt: map[string]float64{},
	}
	for index := range members {
		c.processes = append(c.processes, &process{index: index})
		row := make([]*link, members)
		for receiver := range row {
			row[receiver] = &link{}
		}
		c.links = append(c.links, row)
	}
	return c
}

// Start starts all processes, without any load. Advance then lets time pass.
func (c *Cluster) Start() {
	for index, p := range c.processes {
		c.after(float64(index)*startIntervalMs, func() { c.startProcess(p) })
	}
}

// ServedLogs returns how many logs have a leader, by the leader's own status.
func (c *Cluster) ServedLogs() int {
	served := 0
	for _, p := range c.processes {
		if !p.isUp {
			continue
		}
		status := p.member.Status()
		for _, log := range status.Logs {
			if log.Leader == status.Self {
				served++
			}
		}
	}
	return served
}

func (c *Cluster) trace(format string, args ...any) {
	if c.Trace != nil {
		c.Trace(format, args...)
	}
}
