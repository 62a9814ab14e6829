package simcluster

import (
	"fmt"

	"pearknot/balancer"
	"pearknot/internal/requestlog"
)

const (
	fingerprint      = 1 // of all requests: no key is used for two different ones
	dedupWindowMs    = 800.0
	lookupTimeoutMs  = 500.0
	keyPollMs        = 50.0   // between two looks at a key that is in flight
	minPatienceMs    = 1500.0 // least time until a request's deadline; at most twice as much
	minArrivalMs     = 8.0    // between two requests
	arrivalSpreadMs  = 30.0   // at most, on top
	repeatShare      = 0.4    // of the requests that come a second time: at once to another process, or after a while
	maxRepeatDelayMs = 1200.0
)

// clientRequest is a request as its client sends it.
type clientRequest struct {
	key         string
	idempotency balancer.Idempotency
	deadline    float64
}

// load is the clients' requests of one run.
type load struct {
	cluster  *Cluster
	start    float64 // of the run
	duration float64 // from there, after which no further request is scheduled
	count    int     // of requests so far; also the number in the latest one's key
}

func keyOf(number int) string { return fmt.Sprintf("k%d", number) }

// nextRequest has the next request arrive at some process, perhaps twice, and schedules the one after it.
func (l *load) nextRequest() {
	c := l.cluster
	l.count++
	request := clientRequest{
		key:         keyOf(l.count),
		idempotency: balancer.Idempotency(l.count % 3),
		deadline:    c.now + minPatienceMs + c.rng.Float64()*minPatienceMs,
	}
	c.receive(c.randomProcess(), request)
	if c.rng.Float64() < repeatShare {
		second := c.randomProcess()
		c.after(c.rng.Float64()*maxRepeatDelayMs*float64(c.rng.IntN(2)), func() { c.receive(second, request) })
	}
	if c.now-l.start < l.duration {
		c.after(minArrivalMs+c.rng.Float64()*arrivalSpreadMs, l.nextRequest)
	}
}

func (c *Cluster) randomProcess() *process { return c.processes[c.rng.IntN(len(c.processes))] }

// receive has a process take a client's request: it looks the key up first.
func (c *Cluster) receive(p *process, request clientRequest) {
	c.runIn(p, p.incarnation, func() {
		c.lookup(p, request.key, min(c.now+lookupTimeoutMs, request.deadline), func(reply requestlog.Reply) {
			switch reply.Result {
			case requestlog.KeyUnused:
				c.startRequest(p, request)
			case requestlog.KeyInFlight:
				if c.now+keyPollMs < request.deadline {
					c.receiveLater(p, request)
				}
			case requestlog.KeyAnswered:
				c.reportAnswer(request.key, reply.Answer)
			}
		})
	})
}

func (c *Cluster) receiveLater(p *process, request clientRequest) {
	c.after(keyPollMs, func() { c.receive(p, request) })
}

// startRequest starts the first attempt of a request whose key is unused.
func (c *Cluster) startRequest(p *process, request clientRequest) {
	entry := requestlog.Entry{
		Key: request.key,
		Request: requestlog.Request{
			Fingerprint:    fingerprint,
			Idempotency:    request.idempotency,
			DedupWindow:    dedupWindowMs,
			Deadline:       request.deadline,
			EncodedMessage: []byte("op " + request.key),
		},
	}
	c.startAttempt(p, entry, func(result requestlog.Result) {
		if result == requestlog.KeyInFlight {
			c.receiveLater(p, request)
		}
	})
}

// reportAnswer tells the auditor the answer that a client gets.
func (c *Cluster) reportAnswer(key string, answer requestlog.FinalAnswer) {
	c.auditor.OutcomeReported(c.now, key, fmt.Sprint(answer.Status, string(answer.Body)))
}
