package capacity

import (
	"context"
	"fmt"
	"runtime"

	"pearknot/internal/lab/simcluster"
)

// logSettleMs is the virtual time, in ms, after which each log of a started cluster has its leader and its replicas.
const logSettleMs = 3500.0

// linkMeasurements measure the links between all members of a simulated cluster that has no requests.
func linkMeasurements() []measurement {
	return []measurement{{
		name:       "links",
		sizeName:   "members",
		sizes:      []float64{5, 10, 20, 40, 60},
		quickSizes: []float64{5, 10, 20, 30},
		metrics: []metric{
			{"links.bytes", "links between processes, quiet: a node's sending", "B/s", false},
			{"links.frames", "the same, frames", "1/s", false},
			{"links.cpu", "the same, processor time a node (simulated cluster: no sockets, no proofs)", "ms/s", false},
		},
		newFixture: newLinksFixture,
	}}
}

func newLinksFixture(_ context.Context, _ *Bench, size float64) (*fixture, error) {
	const runMs = 1000.0 // of virtual time
	cluster := simcluster.New(1, int(size), 3)
	cluster.Start()
	cluster.Advance(logSettleMs)
	run := func(context.Context) ([]float64, error) {
		bytes, frames, cpu := cluster.BytesSent, cluster.FramesSent, processCPU()
		cluster.Advance(runMs)
		nodeSeconds := size * runMs / 1e3
		return []float64{
			float64(cluster.BytesSent-bytes) / nodeSeconds,
			float64(cluster.FramesSent-frames) / nodeSeconds,
			(processCPU() - cpu) / nodeSeconds,
		}, nil
	}
	return &fixture{run: run}, nil
}

// takeoverMeasurements measure the records of requests that processes replicate to each other for takeover.
func takeoverMeasurements() []measurement {
	return []measurement{{
		name:       "takeover",
		sizeName:   "requests kept",
		sizes:      []float64{500, 1000, 2000, 4000},
		quickSizes: []float64{100, 200, 400, 800},
		metrics: []metric{
			{"kept.heap", "takeover's records, three processes that keep each other's: heap a process", "B", false},
			{"kept.cpu", "the same, processor time a process for all of them", "ms", false},
			{"kept.bytes", "the same, bytes that a process sends for all of them", "B", false},
		},
		newFixture: newTakeoverFixture,
	}}
}

func newTakeoverFixture(_ context.Context, _ *Bench, size float64) (*fixture, error) {
	const (
		members           = 3
		requestsPerSecond = 320.0
		bodyBytes         = 200
		lastAnswersMs     = 500.0 // of virtual time after the last request
	)
	run := func(context.Context) ([]float64, error) {
		cluster := simcluster.New(1, members, 3)
		cluster.Start()
		cluster.Advance(logSettleMs)
		heapBefore := heapInUse()
		bytesBefore, cpuBefore := cluster.BytesSent, processCPU()
		requestsMs := size / requestsPerSecond * 1e3
		cluster.LogRequests(0, int(size), requestsMs, bodyBytes)
		cluster.Advance(requestsMs + lastAnswersMs)
		cpu, bytes := processCPU()-cpuBefore, cluster.BytesSent-bytesBefore
		heapGrowth := max(heapInUse()-heapBefore, 0)
		if cluster.LoggedAnswers != int(size) {
			return nil, fmt.Errorf("%d of %g requests logged: the logs are full", cluster.LoggedAnswers, size)
		}
		runtime.KeepAlive(cluster)
		return []float64{heapGrowth / members, cpu / members, float64(bytes) / members}, nil
	}
	return &fixture{run: run}, nil
}
