package capacity

import (
	"context"
	"encoding/json"
	"runtime"
	"sync/atomic"
	"time"

	"pearknot/balancer"
	"pearknot/internal/discovery"
)

var deploymentNames = discovery.DeploymentNames{Zones: []string{"a", "b"}, Kinds: []string{"m"}}

// unusedAddress is the address of backends to which nothing connects.
const unusedAddress = "127.0.0.1:65000"

// pollHoldTime is how long a poll of an unchanged list waits for a change. Runs last a multiple of it: otherwise polls
// that a change has synchronized would count once more in some runs than in others.
const pollHoldTime = 1200 * time.Millisecond

// zonesPerList is the number of zones of the list: 1 in zonesPerList backends change at once when a zone fails.
const zonesPerList = 12

func discoveryMeasurements() []measurement {
	return []measurement{
		{
			name:     "list",
			sizeName: "backends",
			sizes:    []float64{30, 200, 2000, 12000},
			metrics: []metric{
				{"list.bytes", "discovery: the whole list, as it is told", "B", false},
				{"list.cpu", "the same, read by a node", "ms", false},
			},
			newFixture: newListFixture,
		},
		{
			name:         "node",
			sizeName:     "backends",
			sizes:        []float64{30, 200, 2000, 12000},
			runsTogether: true,
			metrics: []metric{
				{"node.calls", "discovery: calls of a node, quiet", "1/s", false},
				{"node.bytes", "the same, bytes both ways", "B/s", false},
				{"node.cpu", "a real node, quiet: processor time", "ms/s", false},
				{"node.change.bytes", "discovery: a change told to a node, bytes both ways beyond the quiet", "B", false},
				{"node.change.cpu", "the same, processor time of the node", "ms", false},
				{"node.zone.bytes", "discovery: a twelfth of the backends at once told to a node, bytes", "B", false},
				{"node.zone.cpu", "the same, processor time of the node", "ms", false},
			},
			newFixture: newNodeWatchFixture,
		},
		{
			name:                "watchers",
			sizeName:            "nodes",
			sizes:               []float64{50, 150, 500, 1500},
			quickSizes:          []float64{25, 50, 100, 200},
			runsTogetherIfQuick: true,
			metrics: []metric{
				{"watchers.calls", "discovery's stand-in, quiet: calls", "1/s", false},
				{"watchers.bytes", "the same, bytes both ways", "B/s", false},
				{"watchers.cpu", "the same, processor time with that of the watchers, which are the node's own, in one process", "ms/s", false},
				{"watchers.change.bytes", "discovery's stand-in, one change told to all", "B", false},
				{"watchers.change.cpu", "the same, processor time as above", "ms", false},
				{"watchers.change.ms", "the same, until the last one has it", "ms", true},
			},
			newFixture: newWatchersFixture,
		},
	}
}

// newListFixture decodes a complete endpoint list.
func newListFixture(_ context.Context, _ *Bench, size float64) (*fixture, error) {
	server, err := newDiscoveryServer(int(size), unusedAddress)
	if err != nil {
		return nil, err
	}
	text, err := json.Marshal(server.fullList())
	server.close()
	if err != nil {
		return nil, err
	}
	rounds := int(max(6000/size, 1)) // makes a run longer than the clock's resolution
	run := func(context.Context) ([]float64, error) {
		runtime.GC()
		cpuBefore := processCPU()
		for range rounds {
			if _, err := deploymentNames.Decode(text, discardLog); err != nil {
				return nil, err
			}
		}
		return []float64{float64(len(text)), (processCPU() - cpuBefore) / float64(rounds)}, nil
	}
	return &fixture{run: run}, nil
}

// watchUsage is the cost of watching the endpoint list over a span of time.
type watchUsage struct {
	seconds float64
	calls   float64
	bytes   float64 // both ways
	cpu     float64 // ms
}

// excessOver returns the cost per change beyond that of an idle watch over the same time.
func (u watchUsage) excessOver(idle watchUsage, changes float64) (bytes, cpu float64) {
	idleSpans := u.seconds / idle.seconds
	bytes = max(u.bytes-idle.bytes*idleSpans, 0) / changes
	cpu = max(u.cpu-idle.cpu*idleSpans, 0) / changes
	return bytes, cpu
}

// measureUsage measures while action runs, and for at least span.
func (d *discoveryServer) measureUsage(ctx context.Context, span time.Duration, cpu func() float64, action func()) watchUsage {
	callsBefore, bytesBefore, cpuBefore := d.calls.Load(), d.bytes.Load(), cpu()
	started := time.Now()
	action()
	sleep(ctx, span-time.Since(started))
	return watchUsage{
		seconds: time.Since(started).Seconds(),
		calls:   float64(d.calls.Load() - callsBefore),
		bytes:   float64(d.bytes.Load() - bytesBefore),
		cpu:     cpu() - cpuBefore,
	}
}

// newNodeWatchFixture lets a real node watch a list that is idle at first, then changes backend by backend, then a zone
// at once.
func newNodeWatchFixture(ctx context.Context, bench *Bench, size float64) (*fixture, error) {
	const (
		changes     = 8
		changePause = 150 * time.Millisecond // longer than the time between polls
		changesSpan = 1300 * time.Millisecond
		zoneSpan    = 800 * time.Millisecond
		idleSpan    = 2 * pollHoldTime
		tenants     = 10
	)
	env, err := newNodeEnvironment(int(size), tenants, false)
	if err != nil {
		return nil, err
	}
	node, err := bench.startNode(ctx, env)
	if err != nil {
		env.close()
		return nil, err
	}
	sleep(ctx, bench.RunDuration) // until the node's start no longer affects the figures
	server := env.discovery
	zone := make([]int, max(int(size)/zonesPerList, 1))
	for i := range zone {
		zone[i] = i
	}
	zoneState := balancer.BackendReady
	run := func(ctx context.Context) ([]float64, error) {
		idle := server.measureUsage(ctx, idleSpan, node.cpu, func() {})
		changesUsage := server.measureUsage(ctx, changesSpan, node.cpu, func() {
			states := [...]balancer.BackendState{balancer.BackendDraining, balancer.BackendReady}
			for i := range changes {
				server.setState(states[i/2%2], i%int(size))
				sleep(ctx, changePause)
			}
		})
		zoneState = balancer.BackendDraining + balancer.BackendReady - zoneState // the other of the two
		zoneUsage := server.measureUsage(ctx, zoneSpan, node.cpu, func() { server.setState(zoneState, zone...) })
		changeBytes, changeCPU := changesUsage.excessOver(idle, changes)
		zoneBytes, zoneCPU := zoneUsage.excessOver(idle, 1)
		return []float64{
			idle.calls / idle.seconds,
			idle.bytes / idle.seconds,
			idle.cpu / idle.seconds,
			changeBytes,
			changeCPU,
			zoneBytes,
			zoneCPU,
		}, nil
	}
	closeAll := func() {
		node.kill()
		env.close()
	}
	return &fixture{run: run, close: closeAll}, nil
}

// newWatchersFixture runs the watches of many nodes, in this process, on a list that is idle at first and then changes
// once.
func newWatchersFixture(ctx context.Context, _ *Bench, size float64) (*fixture, error) {
	const (
		backends         = 200
		startSettleTime  = 200 * time.Millisecond
		changeSettleTime = 150 * time.Millisecond
	)
	server, err := newDiscoveryServer(backends, unusedAddress)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	var listsReceived atomic.Int64 // by all watches
	startWatches(ctx, server, int(size), &listsReceived)
	awaitCount(ctx, &listsReceived, int64(size))
	sleep(ctx, startSettleTime)
	changes := 0
	run := func(ctx context.Context) ([]float64, error) {
		idle := server.measureUsage(ctx, pollHoldTime, processCPU, func() {})
		change := server.measureUsage(ctx, 0, processCPU, func() {
			receivedBefore := listsReceived.Load()
			changes++
			server.setState(balancer.BackendState(1+changes%2), changes%backends) // ready and draining in turn
			awaitCount(ctx, &listsReceived, receivedBefore+int64(size))
		})
		sleep(ctx, changeSettleTime)
		return []float64{
			idle.calls / idle.seconds,
			idle.bytes / idle.seconds,
			idle.cpu / idle.seconds,
			change.bytes,
			change.cpu,
			change.seconds * 1e3,
		}, nil
	}
	closeAll := func() {
		cancel()
		server.close()
	}
	return &fixture{run: run, close: closeAll}, nil
}

// startWatches starts watches of the endpoint list as nodes do, spread over the hold time as nodes' starts are.
// listsReceived counts each list with endpoints that a watch receives.
func startWatches(ctx context.Context, server *discoveryServer, count int, listsReceived *atomic.Int64) {
	for range count {
		watch := &discovery.Watch{Address: server.address, Deployment: deploymentNames, Log: discardLog}
		watch.OnList = func(list *discovery.List) {
			if len(list.Endpoints) > 0 {
				listsReceived.Add(1)
			}
		}
		watch.OnFailure = watch.StartSession
		watch.Start(ctx)
		watch.StartSession()
		sleep(ctx, pollHoldTime/time.Duration(count))
	}
}

// awaitCount waits until count reaches target, for 20 s at most.
func awaitCount(ctx context.Context, count *atomic.Int64, target int64) {
	for started := time.Now(); count.Load() < target; sleep(ctx, time.Millisecond) {
		if ctx.Err() != nil || time.Since(started) > 20*time.Second {
			return
		}
	}
}
