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

// unusedAddress is the backends' where nothing connects to them.
const unusedAddress = "127.0.0.1:65000"

// pollHoldTime is how long a poll of an unchanged list waits for a change. Runs last a multiple of it: polls that a
// change has synchronized would else count once more in some runs than in others.
const pollHoldTime = 1200 * time.Millisecond

// zonesPerList is the part of the backends, 1 in so many, that changes at once as when a zone fails.
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
			newRig: newListRig,
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
			newRig: newNodeWatchRig,
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
			newRig: newWatchersRig,
		},
	}
}

// newListRig decodes a complete endpoint list.
func newListRig(_ context.Context, _ *Bench, size float64) (*rig, error) {
	server, err := newDiscovery(int(size), unusedAddress)
	if err != nil {
		return nil, err
	}
	text, err := json.Marshal(server.fullList())
	server.close()
	if err != nil {
		return nil, err
	}
	rounds := int(max(6000/size, 1)) // enough for a run to be longer than the clock's steps
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
	return &rig{run: run}, nil
}

// watchUsage is what a watch of the endpoint list spent in a span of time.
type watchUsage struct {
	seconds float64
	calls   float64
	bytes   float64 // both ways
	cpu     float64 // ms
}

// beyond is what was spent in addition to what an idle watch spends in the same time, divided among some changes.
func (u watchUsage) beyond(idle watchUsage, changes float64) (bytes, cpu float64) {
	idleSpans := u.seconds / idle.seconds
	bytes = max(u.bytes-idle.bytes*idleSpans, 0) / changes
	cpu = max(u.cpu-idle.cpu*idleSpans, 0) / changes
	return bytes, cpu
}

// measureUsage measures while action runs, and at least for a span.
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

// newNodeWatchRig has a real node watch a list that first rests, then changes backend by backend, then a zone at once.
func newNodeWatchRig(ctx context.Context, bench *Bench, size float64) (*rig, error) {
	const (
		changes     = 8
		changePause = 150 * time.Millisecond // longer than the time between polls
		changesSpan = 1300 * time.Millisecond
		zoneSpan    = 800 * time.Millisecond
		idleSpan    = 2 * pollHoldTime
		siteTenants = 10
	)
	site, err := newNodeSite(int(size), siteTenants, false)
	if err != nil {
		return nil, err
	}
	node, err := bench.startNode(ctx, site)
	if err != nil {
		site.close()
		return nil, err
	}
	sleep(ctx, bench.RunDuration) // until the node's start shows no more
	server := site.discovery
	zone := make([]int, max(int(size)/zonesPerList, 1))
	for i := range zone {
		zone[i] = i
	}
	zoneState := balancer.BackendReady
	run := func(ctx context.Context) ([]float64, error) {
		idle := server.measureUsage(ctx, idleSpan, node.cpu, func() {})
		single := server.measureUsage(ctx, changesSpan, node.cpu, func() {
			states := [...]balancer.BackendState{balancer.BackendDraining, balancer.BackendReady}
			for i := range changes {
				server.change(states[i/2%2], i%int(size))
				sleep(ctx, changePause)
			}
		})
		zoneState = balancer.BackendDraining + balancer.BackendReady - zoneState // the other of the two
		whole := server.measureUsage(ctx, zoneSpan, node.cpu, func() { server.change(zoneState, zone...) })
		changeBytes, changeCPU := single.beyond(idle, changes)
		zoneBytes, zoneCPU := whole.beyond(idle, 1)
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
		site.close()
	}
	return &rig{run: run, close: closeAll}, nil
}

// newWatchersRig has many watches of nodes, in this process, watch a list that first rests and then changes once.
func newWatchersRig(ctx context.Context, _ *Bench, size float64) (*rig, error) {
	const (
		backends     = 200
		startSettles = 200 * time.Millisecond
		changeSettle = 150 * time.Millisecond
	)
	server, err := newDiscovery(backends, unusedAddress)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	var listsReceived atomic.Int64 // by all watches
	startWatches(ctx, server, int(size), &listsReceived)
	awaitCount(ctx, &listsReceived, int64(size))
	sleep(ctx, startSettles)
	changes := 0
	run := func(ctx context.Context) ([]float64, error) {
		idle := server.measureUsage(ctx, pollHoldTime, processCPU, func() {})
		change := server.measureUsage(ctx, 0, processCPU, func() {
			receivedBefore := listsReceived.Load()
			changes++
			server.change(balancer.BackendState(1+changes%2), changes%backends) // ready and draining in turn
			awaitCount(ctx, &listsReceived, receivedBefore+int64(size))
		})
		sleep(ctx, changeSettle)
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
	return &rig{run: run, close: closeAll}, nil
}

// startWatches starts watches of the endpoint list as nodes have them, spread over the hold time as nodes' starts are.
// Each list with endpoints that one receives is counted.
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

// awaitCount waits until a count is reached, for 20 s at most.
func awaitCount(ctx context.Context, count *atomic.Int64, target int64) {
	for started := time.Now(); count.Load() < target; sleep(ctx, time.Millisecond) {
		if ctx.Err() != nil || time.Since(started) > 20*time.Second {
			return
		}
	}
}
