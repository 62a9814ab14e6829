package simcluster

import (
	"fmt"

	"pearknot/balancer"
	"pearknot/internal/requestlog"
)

// LogRequests has a process log so many requests, spread over so many ms: each with the record of its first attempt and, as soon as
// that is committed, that of its answer. Message and answer have bodyBytes each. No attempt is sent, and a record that its log
// refuses is not repeated: LoggedAnswers counts the others. It measures what the log itself costs.
func (c *Cluster) LogRequests(processIndex, requests int, duration float64, bodyBytes int) {
	p := c.processes[processIndex]
	incarnation := p.incarnation
	for range requests {
		c.loggedRequests++
		key := fmt.Sprintf("kept-%d", c.loggedRequests)
		c.after(c.rng.Float64()*duration, func() {
			c.runIn(p, incarnation, func() { c.logRequest(p, key, bodyBytes) })
		})
	}
}

// logRequest has a process append the record of a request's attempt, and then that of its answer.
func (c *Cluster) logRequest(p *process, key string, bodyBytes int) {
	const patienceMs = 2000.0
	deadline := c.now + patienceMs
	started := requestlog.Record{
		Kind: requestlog.AttemptStarted,
		Key:  key,
		Request: requestlog.Request{
			Fingerprint:    fingerprint,
			Idempotency:    balancer.AtMostOnce,
			Deadline:       deadline,
			EncodedMessage: make([]byte, bodyBytes),
		},
		Attempt: requestlog.Attempt{Backend: "b0", StartedAt: c.now},
	}
	answered := requestlog.Record{
		Kind:   requestlog.RequestAnswered,
		Key:    key,
		Answer: requestlog.FinalAnswer{Status: requestlog.Served, Body: make([]byte, bodyBytes)},
	}
	c.appendRecord(p, started, deadline, func(reply requestlog.Reply) {
		if reply.Result != requestlog.Committed {
			return
		}
		c.appendRecord(p, answered, c.now+answerTimeoutMs, func(reply requestlog.Reply) {
			if reply.Result == requestlog.Committed {
				c.LoggedAnswers++
			}
		})
	})
}
