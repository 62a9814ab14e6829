package capacity

import (
	"context"
	"math/rand/v2"
	"runtime"

	"pearknot/balancer"
)

// warmupRequests is the number of requests after which the balancer has seen enough cost hints.
const warmupRequests = 60

// newConfig returns the configuration of one node among many, with a number of tenants.
func newConfig(tenants int) *balancer.Config {
	config := &balancer.Config{
		Seed:             1,
		Nodes:            100,
		MaxAttempts:      3,
		AllowHedging:     true,
		CancelAttempts:   true,
		SlowStartShare:   0.3,
		SlowStartWindow:  8000,
		OverloadMultiple: 4,
		OverloadWindow:   2000,
		Classes:          []balancer.Class{{LatencyObjective: 600, PriorityWeight: 1}},
	}
	for range tenants {
		config.Tenants = append(config.Tenants, balancer.Tenant{Quota: 5})
	}
	return config
}

func newEndpoints(backends int) (endpoints []balancer.Endpoint) {
	for i := range backends {
		endpoints = append(endpoints, balancer.Endpoint{
			Backend: &balancer.Backend{ID: uint64(i)},
			State:   balancer.BackendReady,
			Zone:    i % 2,
			Kind:    i % 3,
			Weight:  1,
		})
	}
	return endpoints
}

// moduleDriver drives a balancer as a node does, at a node's request rate, in virtual time. A request arrives when none
// is in flight.
type moduleDriver struct {
	module  balancer.Decider
	now     float64 // ms
	tenants int
	random  *rand.Rand
}

func newModuleDriver(module balancer.Decider, tenants, backends int) *moduleDriver {
	d := &moduleDriver{module: module, now: 1, tenants: tenants, random: rand.New(rand.NewPCG(1, 1))}
	d.module.EndpointsChanged(d.now, newEndpoints(backends), true, false)
	d.pullDecisions()
	return d
}

// pullDecisions takes all pending decisions and returns the attempt among them, or nil if there is none.
func (d *moduleDriver) pullDecisions() (attempt *balancer.Attempt) {
	for decision, ok := d.module.Next(); ok; decision, ok = d.module.Next() {
		if decision.Kind == balancer.DoAttempt {
			attempt = decision.Attempt
		}
	}
	return attempt
}

// sendRequest lets a request arrive and returns the attempt that was decided, or nil.
func (d *moduleDriver) sendRequest() *balancer.Attempt {
	d.now += 1e3 / peakRate
	request := &balancer.Request{Deadline: d.now + 2000, CostHint: 30, HasCostHint: true}
	if d.tenants > 0 {
		request.Tenant = d.random.IntN(d.tenants)
	}
	d.module.RequestArrived(d.now, request)
	return d.pullDecisions()
}

// answer ends an attempt with a backend's answer.
func (d *moduleDriver) answer(attempt *balancer.Attempt) {
	const serviceTime = 3 // ms
	at := d.now + serviceTime
	report := balancer.LoadReport{ServiceTime: serviceTime, InFlight: 2, Queued: balancer.NotReported}
	d.module.LoadReported(at, attempt.Backend, report)
	d.module.AttemptEnded(at, attempt, balancer.OutcomeAnswered, serviceTime, true)
	d.pullDecisions()
}

// serve lets requests arrive and answers them.
func (d *moduleDriver) serve(requests int) {
	for range requests {
		if attempt := d.sendRequest(); attempt != nil {
			d.answer(attempt)
		}
	}
}

// measureRequests serves requests and returns the values of moduleMetrics.
func (d *moduleDriver) measureRequests(requests int) []float64 {
	runtime.GC()
	allocatedBefore := readAllocations()
	cpuBefore, decisionCPU := processCPU(), 0.0
	for range requests {
		before := processCPU()
		attempt := d.sendRequest()
		decisionCPU += processCPU() - before
		if attempt != nil {
			d.answer(attempt)
		}
	}
	cpu, n := processCPU()-cpuBefore, float64(requests)
	allocated := readAllocations().since(allocatedBefore)
	return []float64{
		decisionCPU * 1e3 / n,
		(cpu - decisionCPU) * 1e3 / n,
		allocated.objects / n,
		allocated.bytes / n,
	}
}

func moduleMetrics(sizeName string) []metric {
	prefix := "module." + sizeName
	return []metric{
		{prefix + ".decided", "the module: a request taken and decided, no load", "us", false},
		{prefix + ".answered", "the same, its answer heard", "us", false},
		{prefix + ".objects", "the same, objects allocated", "1", false},
		{prefix + ".bytes", "the same, bytes allocated", "B", false},
	}
}

// moduleMeasurements drive the balancer alone, without sockets.
func moduleMeasurements() []measurement {
	return []measurement{
		{
			name:       "module-backends",
			sizeName:   "backends",
			sizes:      []float64{30, 200, 2000, 12000},
			metrics:    moduleMetrics("backends"),
			newFixture: newModuleFixture(variableSize, fixedSize(0)),
		},
		{
			name:       "module-tenants",
			sizeName:   "tenants",
			sizes:      []float64{10, 1000, 10000, 140000},
			quickSizes: []float64{10, 1000, 10000, 50000},
			metrics:    moduleMetrics("tenants"),
			newFixture: newModuleFixture(fixedSize(200), variableSize),
		},
		{
			name:       "module-instances",
			sizeName:   "modules in a process",
			sizes:      []float64{10, 50, 200, 400},
			quickSizes: []float64{10, 25, 50, 100},
			metrics: []metric{
				{"instances.heap", "modules of 30 backends each in one process: heap", "B", false},
				{"instances.decided", "the same, a request taken, decided and answered by one of them", "us", false},
			},
			newFixture: newInstancesFixture,
		},
	}
}

func newModuleFixture(backends, tenants func(size float64) float64) fixtureFunc {
	return func(_ context.Context, bench *Bench, size float64) (*fixture, error) {
		config := newConfig(int(tenants(size)))
		driver := newModuleDriver(balancer.New(config, 1), len(config.Tenants), int(backends(size)))
		driver.serve(warmupRequests)
		requests := moduleRequests(bench, backends(size), tenants(size))
		run := func(context.Context) ([]float64, error) { return driver.measureRequests(requests), nil }
		return &fixture{run: run}, nil
	}
}

// moduleRequests returns a number of requests that makes a run take a fraction of a second.
func moduleRequests(bench *Bench, backends, tenants float64) int {
	requests := 4e6 / (2000 + backends*60 + tenants*2)
	if bench.IsQuick {
		requests /= 4
	}
	return int(min(max(requests, 40), 2000))
}

// newInstancesFixture drives many balancers in one process in turn.
func newInstancesFixture(_ context.Context, _ *Bench, size float64) (*fixture, error) {
	const backends, rounds = 30, 10
	run := func(context.Context) ([]float64, error) {
		heapBefore := heapInUse()
		drivers := make([]*moduleDriver, int(size))
		for i := range drivers {
			drivers[i] = newModuleDriver(balancer.New(newConfig(0), 1), 0, backends)
			drivers[i].serve(warmupRequests)
		}
		heapAfter, cpuBefore := heapInUse(), processCPU()
		for range rounds {
			for _, driver := range drivers {
				driver.serve(1)
			}
		}
		cpuUs := (processCPU() - cpuBefore) * 1e3 / float64(rounds*len(drivers))
		runtime.KeepAlive(drivers)
		return []float64{max(heapAfter-heapBefore, 0), cpuUs}, nil
	}
	return &fixture{run: run}, nil
}
