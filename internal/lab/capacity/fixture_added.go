package capacity

import (
	"context"
	"fmt"
	"io"
	"math"
	"net/http"
	"slices"
	"sync"
	"time"
)

// Requests per second at which a node's costs are measured: the peak of the target, and ten times that.
const (
	peakRate        = 64.0
	tenfoldPeakRate = 640.0
)

// addedLatencyMeasurements send each request both to a node and directly to its backend, at a fixed rate that does not
// depend on the outcome of earlier requests (open loop). The latency that the node adds is the difference of a quantile of
// the two, which leaves out the delay of the client itself on this machine.
func addedLatencyMeasurements() (rows []measurement) {
	for _, rate := range []float64{peakRate, tenfoldPeakRate} {
		rows = append(rows,
			measurement{
				name:                fmt.Sprintf("added-%g-backends", rate),
				sizeName:            "backends",
				sizes:               []float64{30, 200, 2000, 12000},
				runsTogether:        rate == peakRate,
				runsTogetherIfQuick: true,
				metrics:             addedLatencyMetrics(rate, "backends"),
				newFixture:          newAddedLatencyFixture(rate, variableSize, fixedSize(10)),
			},
			measurement{
				name:                fmt.Sprintf("added-%g-tenants", rate),
				sizeName:            "tenants",
				sizes:               []float64{10, 1000, 10000, 140000},
				quickSizes:          []float64{10, 1000, 10000, 50000},
				runsTogether:        rate == peakRate,
				runsTogetherIfQuick: true,
				metrics:             addedLatencyMetrics(rate, "tenants"),
				newFixture:          newAddedLatencyFixture(rate, fixedSize(30), variableSize),
			})
	}
	return rows
}

func addedLatencyMetrics(rate float64, sizeName string) []metric {
	prefix := fmt.Sprintf("added.%g.%s.", rate, sizeName)
	tail := "the same, 999 in 1,000"
	if rate == peakRate {
		tail = "the same, the worst of a run's 192" // too few for a quantile
	}
	return []metric{
		{prefix + "50", fmt.Sprintf("time added to a request at %g/s, 50 in 100", rate), "ms", true},
		{prefix + "99", "the same, 99 in 100", "ms", true},
		{prefix + "99.9", tail, "ms", true},
		{prefix + "cpu", "the same, processor time of the node a request", "us", false},
		{prefix + "lost", "the same, share not served", "1", true},
	}
}

// addedLatencyFixture is a running node with a client that compares its latency with its backend's.
type addedLatencyFixture struct {
	env          *nodeEnvironment
	node         *nodeProcess
	client       *http.Client
	rate         float64
	tenants      int
	requestsSent int // since the fixture was created; numbers requests and spreads them over tenants
}

func newAddedLatencyFixture(rate float64, backends, tenants func(size float64) float64) fixtureFunc {
	return func(ctx context.Context, bench *Bench, size float64) (*fixture, error) {
		env, err := newNodeEnvironment(int(backends(size)), int(tenants(size)), false)
		if err != nil {
			return nil, err
		}
		node, err := bench.startNode(ctx, env)
		if err != nil {
			env.close()
			return nil, err
		}
		client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 10000}}
		r := &addedLatencyFixture{env: env, node: node, client: client, rate: rate, tenants: int(tenants(size))}
		span := bench.RunDuration
		if rate == peakRate {
			span *= 2 // for enough requests at the lower rate
		}
		r.sendRequests(ctx, bench.RunDuration/2) // opens the first connections
		run := func(ctx context.Context) ([]float64, error) { return r.run(ctx, span), nil }
		return &fixture{run: run, close: r.close}, nil
	}
}

func (r *addedLatencyFixture) run(ctx context.Context, span time.Duration) []float64 {
	cpuBefore := r.node.cpu()
	sample := r.sendRequests(ctx, span)
	cpu := r.node.cpu() - cpuBefore
	requests := float64(max(len(sample.throughNode), 1))
	return []float64{
		sample.added(0.5),
		sample.added(0.99),
		sample.added(0.999),
		cpu * 1e3 / requests,
		float64(sample.notServed) / requests,
	}
}

func (r *addedLatencyFixture) close() {
	r.node.kill()
	r.client.CloseIdleConnections()
	r.env.close()
}

// latencySample holds the latencies of a run, in ms, sorted.
type latencySample struct {
	throughNode []float64
	direct      []float64 // of the same requests at the backend
	notServed   int       // by the node
}

// added returns the difference of a quantile through the node and directly, at least 0.
func (s *latencySample) added(q float64) float64 {
	return max(quantile(s.throughNode, q)-quantile(s.direct, q), 0)
}

// sendRequests sends requests at the fixture's rate for span, and waits for all responses.
func (r *addedLatencyFixture) sendRequests(ctx context.Context, span time.Duration) *latencySample {
	sample := &latencySample{}
	var mu sync.Mutex // guards sample
	var inFlight sync.WaitGroup
	interval := time.Duration(float64(time.Second) / r.rate)
	started := time.Now()
	for at := time.Duration(0); at < span && ctx.Err() == nil; at += interval {
		sleep(ctx, at-time.Since(started))
		r.requestsSent++
		id := fmt.Sprintf("%016x", r.requestsSent)
		tenant := tenantName(r.requestsSent * 7919 % max(r.tenants, 1)) // a prime, so that all tenants get requests
		inFlight.Go(func() {
			ms, isServed := sendRequest(ctx, r.client, r.node.address, id, tenant)
			mu.Lock()
			defer mu.Unlock()
			sample.throughNode = append(sample.throughNode, ms)
			if !isServed {
				sample.notServed++
			}
		})
		inFlight.Go(func() {
			ms, _ := sendRequest(ctx, r.client, r.env.backendAddress, id, tenant)
			mu.Lock()
			defer mu.Unlock()
			sample.direct = append(sample.direct, ms)
		})
	}
	inFlight.Wait()
	slices.Sort(sample.throughNode)
	slices.Sort(sample.direct)
	return sample
}

// requestHeaders returns a client's headers under the deployment of deploymentSettings.
func requestHeaders(id, tenant string, deadline time.Duration) [][2]string {
	return [][2]string{
		{"X-Trace-Id", id},
		{"X-Qos", "check"},
		{"X-Expires-In-Ms", fmt.Sprint(deadline.Milliseconds())},
		{"X-Size-Hint", "1000"},
		{"X-Customer", tenant},
	}
}

// sendRequest sends a request and returns its latency in ms and whether the response had status 200.
func sendRequest(ctx context.Context, client *http.Client, address, id, tenant string) (latencyMs float64, isServed bool) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/api", nil)
	if err != nil {
		panic(err) // cannot happen: the values are plain
	}
	for _, header := range requestHeaders(id, tenant, 2*time.Second) {
		request.Header.Set(header[0], header[1])
	}
	started := time.Now()
	response, err := client.Do(request)
	if err != nil {
		return milliseconds(time.Since(started)), false
	}
	_, err = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return milliseconds(time.Since(started)), err == nil && response.StatusCode == http.StatusOK
}

// quantile returns a quantile of sorted values, or 0 if there are none.
func quantile(sorted []float64, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	rank := int(math.Ceil(q * float64(len(sorted))))
	return sorted[min(rank, len(sorted))-1]
}
