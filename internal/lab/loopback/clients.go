package loopback

import (
	"context"
	"net/http"
	"sync"

	"pearknot/internal/invariants"
	"pearknot/internal/lab/workload"
)

// maxIdleConns is how many connections to a node a device keeps.
const maxIdleConns = 100

// clients are all clients of the experiment. They send when the workload says so, whether or not earlier requests are answered.
type clients struct {
	monitor *monitor
	source  *workload.Source // guarded by the monitor's lock once the load has begun
	useTLS  bool
	devices []*http.Client // each with connections of its own
	wg      sync.WaitGroup

	mu          sync.Mutex
	nodesByZone [][]*node
	nextNode    []int // by zone, the position of the round robin among its nodes
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

// run sends requests until the experiment's end, and waits until all are finished or the context ends.
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
			c.wg.Go(func() { c.follow(ctx, request) })
		}
	}
	c.wg.Wait()
}

// nextRequest takes the next request from the workload, or nil if the workload leaves this arrival out.
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

// follow sends a request, and again for as long as its client retries.
func (c *clients) follow(ctx context.Context, request *workload.Request) {
	for number := 0; ctx.Err() == nil; number++ {
		result := c.send(ctx, request, number)
		wait, isRetried := c.finishTry(request, number, result)
		if !isRetried {
			return
		}
		sleep(ctx, milliseconds(wait))
	}
}

// finishTry records the result of a try, and returns whether the client retries and after how many ms.
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

// pickNode returns the next node of a zone by round robin among those believed alive, or nil if there is none.
func (c *clients) pickNode(zone int) *node {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.monitor.now()
	candidates := c.nodesByZone[zone]
	for range candidates {
		n := candidates[c.nextNode[zone]%len(candidates)]
		c.nextNode[zone]++
		if n.isBelievedAlive(now) {
			return n
		}
	}
	return nil
}

// recordClientGone records that a try's client has disconnected and no answer is owed.
func (c *clients) recordClientGone(tryID uint64) {
	c.monitor.recordEvent(invariants.Event{Kind: invariants.ClientGone, Request: tryID})
}
