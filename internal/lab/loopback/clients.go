package loopback

import (
	"context"
	"net/http"
	"sync"

	"pearknot/internal/invariants"
	"pearknot/internal/lab/workload"
)

// maxIdleConns is the number of idle connections that a device keeps to each node.
const maxIdleConns = 100

// clients simulates all clients of the experiment. They form an open loop: requests are sent at the workload's arrival times, whether
// or not earlier requests are answered.
type clients struct {
	monitor *monitor
	source  *workload.Source // guarded by the monitor's lock while the load runs
	useTLS  bool
	devices []*http.Client // each with its own connection pool
	wg      sync.WaitGroup

	mu          sync.Mutex
	nodesByZone [][]*node
	nextNode    []int // round-robin position among the nodes, by zone
}

func newClients(m *monitor, source *workload.Source, nodes []*node, tls *tlsSetup, devices int) *clients {
	zones := len(m.experiment.Fleet.Zones)
	c := &clients{
		monitor:     m,
		source:      source,
		useTLS:      tls != nil,
		nodesByZone: make([][]*node, zones),
		nextNode:    make([]int, zones),
	}
	for _, n := range nodes {
		c.nodesByZone[n.zone] = append(c.nodesByZone[n.zone], n)
	}
	for range max(devices, 1) {
		transport := &http.Transport{MaxIdleConnsPerHost: maxIdleConns, DisableCompression: true}
		if tls != nil {
			transport.TLSClientConfig = tls.clientConfig
		}
		c.devices = append(c.devices, &http.Client{Transport: transport})
	}
	return c
}

// run sends requests until the experiment's end, and waits until all are finished. It stops early when the context ends.
func (c *clients) run(ctx context.Context) {
	defer func() {
		for _, device := range c.devices {
			device.CloseIdleConnections()
		}
	}()
	for c.source.NextArrival() < c.monitor.experiment.LengthMs() && ctx.Err() == nil {
		c.monitor.sleepUntil(ctx, c.source.NextArrival())
		if ctx.Err() != nil {
			break
		}
		if request := c.nextRequest(); request != nil {
			c.wg.Go(func() { c.sendWithRetries(ctx, request) })
		}
	}
	c.wg.Wait()
}

// nextRequest returns the next request of the workload, or nil if the workload drops this arrival.
func (c *clients) nextRequest() *workload.Request {
	m := c.monitor
	m.mu.Lock()
	defer m.mu.Unlock()
	request := c.source.Arrive()
	if request != nil {
		m.recorder.RequestArrived(request)
		m.progress.Requests++
	}
	return request
}

// sendWithRetries sends a request, and repeats it as often as its client retries.
func (c *clients) sendWithRetries(ctx context.Context, request *workload.Request) {
	for number := 0; ctx.Err() == nil; number++ {
		result := c.send(ctx, request, number)
		wait, isRetried := c.finishTry(request, number, result)
		if !isRetried {
			return
		}
		sleep(ctx, milliseconds(wait))
	}
}

// finishTry records the result of a try. It returns whether the client retries, and the wait before that in ms.
func (c *clients) finishTry(request *workload.Request, number int, result tryResult) (wait float64, isRetried bool) {
	m := c.monitor
	m.mu.Lock()
	defer m.mu.Unlock()
	switch result.outcome {
	case workload.OutcomeServed:
		now := m.now()
		m.recorder.RequestServed(request, now)
		m.progress.Served++
		if now-request.ArrivesAt <= m.experiment.Classes[request.Class].LatencyObjectiveMs {
			m.progress.InTime++
		}
		return 0, false
	case workload.OutcomeUnreachable:
		m.recorder.NodeUnreachable()
	}
	if !result.clientGone {
		wait, isRetried = c.source.Retry(request, number, result.outcome, result.retryAfter)
	}
	if !isRetried {
		m.recorder.RequestEnded(request)
		m.progress.Lost++
	}
	return wait, isRetried
}

// pickNode returns the zone's next node by round robin, without those known to be dead, or nil if there is none.
func (c *clients) pickNode(zone int) *node {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.monitor.now()
	candidates := c.nodesByZone[zone]
	for range candidates {
		n := candidates[c.nextNode[zone]%len(candidates)]
		c.nextNode[zone]++
		if n.isPresumedAlive(now) {
			return n
		}
	}
	return nil
}

// recordClientGone records that a try's client has disconnected, so that the auditor expects no answer.
func (c *clients) recordClientGone(tryID uint64) {
	c.monitor.recordEvent(invariants.Event{Kind: invariants.ClientGone, Request: tryID})
}
