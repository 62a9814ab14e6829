package simcluster

import (
	"pearknot/internal/invariants"
	"pearknot/internal/requestlog"
)

const (
	loadStartMs          = 2500.0 // after the cluster's start: all logs have a leader
	windDownMs           = 6000.0 // without new requests before the end of a run
	finalLookupsMs       = 1500.0 // before the end of a run each key is looked up once more
	finalLookupTimeoutMs = finalLookupsMs * 0.8
	settledAfterMs       = 3000.0 // past its deadline a request must have its final state
	scheduleMs           = 24e3   // length of a run of a drawn schedule: several faults and their ends lie within it
)

// Run starts the cluster and plays faults over a load for so many ms, and returns the violations that the auditor found. At the end
// each key is looked up at a process that can answer. What a log without a leader holds can't be judged then; ServedLogs counts the
// others.
func (c *Cluster) Run(faults []Fault, duration float64) []invariants.Violation {
	start := c.now
	c.Start()
	for _, fault := range faults {
		c.after(fault.Start, func() { c.beginFault(fault) })
	}
	requests := &load{cluster: c, start: start, duration: duration - windDownMs}
	c.after(loadStartMs, requests.nextRequest)
	c.after(duration-finalLookupsMs, func() {
		for number := 1; number <= requests.count; number++ {
			c.checkClosed(keyOf(number))
		}
	})
	for c.events.Len() > 0 && c.now-start < duration {
		c.processNextEvent()
	}
	return c.auditor.Violations(c.now, settledAfterMs)
}

// checkClosed tells the auditor if a request is over, by the log as the first process that can answer sees it.
func (c *Cluster) checkClosed(key string) {
	for _, p := range c.processes {
		if !p.isUp || p.isFrozen {
			continue
		}
		c.runIn(p, p.incarnation, func() {
			c.lookup(p, key, c.now+finalLookupTimeoutMs, func(reply requestlog.Reply) {
				if reply.Result != requestlog.KeyInFlight {
					c.auditor.RequestClosed(c.now, key)
				}
			})
		})
		return
	}
}
