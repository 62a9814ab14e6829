package capacity

import (
	"context"
	"math/rand/v2"
	"runtime"

	"pearknot/balancer"
)

// warmupRequests are as many as the balancer needs to have seen cost hints.
const warmupRequests = 60

// newConfig is the configuration of a node among many, with a number of tenants.
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

// pullDecisions takes all decisions, and gives the attempt among them; nil where there is none.
func (d *moduleDriver) pullDecisions() (attempt *balancer.Attempt) {
	for decision, ok := d.module.Next(); ok; decision, ok = d.module.Next() {
		if decision.Kind == balancer.DoAttempt {
			attempt = decision.Attempt
		}
	}
	return attempt
}

// sendRequest has a request arrive, and gives the attempt that was decided.
func (d *moduleDriver) sendRequest() *balancer.Attempt {
	d.now += 1e3 / nodeRate
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

// serve has a number of requests arrive and answered.
func (d *moduleDriver) serve(requests int) {
	for range requests {
		if attempt := d.sendRequest(); attempt != nil {
			d.answer(attempt)
		}
	}
}

// measureRequests serves requests and gives values for moduleMetrics.
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
			name:     "module-backends",
			sizeName: "backends",
			sizes:    []float64{30, 200, 2000, 12000},
			metrics:  moduleMetrics("backends"),
			newRig:   newModuleRig(variableSize, fixedSize(0)),
		},
		{
			name:       "module-tenants",
			sizeName:   "tenants",
			sizes:      []float64{10, 1000, 10000, 140000},
			quickSizes: []float64{10, 1000, 10000, 50000},
			metrics:    moduleMetrics("tenants"),
			newRig:     newModuleRig(fixedSize(200), variableSize),
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
			newRig: newInstancesRig,
		},
	}
}

func newModuleRig(backends, tenants func(size float64) float64) rigFunc {
	return func(_ context.Context, bench *Bench, size float64) (*rig, error) {
		config := newConfig(int(tenants(size)))
		driver := newModuleDriver(balancer.New(config, 1), len(config.Tenants), int(backends(size)))
		driver.serve(warmupRequests)
		requests := moduleRequests(bench, backends(size), tenants(size))
		run := func(context.Context) ([]float64, error) { return driver.measureRequests(requests), nil }
		return &rig{run: run}, nil
	}
}

// moduleRequests is so many requests that a run takes a fraction of a second.
func moduleRequests(bench *Bench, backends, tenants float64) int {
	requests := 4e6 / (2000 + backends*60 + tenants*2)
	if bench.IsQuick {
		requests /= 4
	}
	return int(min(max(requests, 40), 2000))
}

// newInstancesRig drives many balancers in one process in turn.
func newInstancesRig(_ context.Context, _ *Bench, size float64) (*rig, error) {
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
	return &rig{run: run}, nil
}
