package scale

import (
	"context"
	"os"
	"slices"
	"time"

	"pearknot/internal/controlplane/client"
)

// measurement holds the resources used up to a point in time.
type measurement struct {
	at             time.Time
	bytes          map[ProcessKind]int64 // on the links of callers of a kind
	frames         map[ProcessKind]int64 // as counted by the nodes
	cpu            map[ProcessKind]time.Duration
	memberBytes    []int64
	hollowLateness Lateness      // the largest of each figure among hollow processes
	nodes          []linkTraffic // as counted by the nodes
}

// linkTraffic holds what a node's links have carried in both directions, as counted by the node.
type linkTraffic struct{ bytes, frames int64 }

// measure reads the counters of all nodes and processes. Its own traffic is on none of the measured links.
func (r *run) measure(ctx context.Context) (measurement, error) {
	m := measurement{
		at:     time.Now(),
		bytes:  map[ProcessKind]int64{},
		frames: map[ProcessKind]int64{},
		cpu:    map[ProcessKind]time.Duration{},
		nodes:  make([]linkTraffic, r.experiment.Nodes),
	}
	for _, kind := range []ProcessKind{KindHollow, KindReal, KindMember} {
		m.bytes[kind] = r.testbed.callerBytes(kind)
	}
	for member := range r.members {
		m.memberBytes = append(m.memberBytes, r.testbed.memberBytes(member))
	}
	r.mu.Lock()
	for _, p := range r.processes {
		m.cpu[p.kind] += p.cpuTime()
	}
	r.mu.Unlock()
	m.cpu[KindLab] = readUsage(os.Getpid()).cpu
	if err := r.measureNodes(ctx, &m); err != nil {
		return m, err
	}
	for number, n := range r.testbed.nodes {
		m.frames[n.kind] += m.nodes[number].frames
	}
	return m, nil
}

// measureNodes fills in the traffic as counted by the nodes.
func (r *run) measureNodes(ctx context.Context, m *measurement) error {
	for _, c := range r.hollowClients {
		report, err := c.nodeStates(ctx)
		if err != nil {
			return err
		}
		lateness := report.lateness()
		m.hollowLateness.MaxMs = max(m.hollowLateness.MaxMs, lateness.MaxMs)
		m.hollowLateness.SumMs = max(m.hollowLateness.SumMs, lateness.SumMs)
		for index, state := range report.Nodes {
			m.nodes[c.nodes[index]] = linkTraffic{bytes: state.BytesIn + state.BytesOut, frames: state.FramesIn + state.FramesOut}
		}
	}
	for number, socket := range r.realSockets {
		state, err := fetchRealNodeState(ctx, socket)
		if err != nil {
			return err
		}
		m.nodes[number] = state.traffic
	}
	return nil
}

// costsBetween returns the resources that one node or member of each kind has used between two measurements.
func (r *run) costsBetween(before, after measurement) map[ProcessKind]Cost {
	costs := map[ProcessKind]Cost{}
	counts := map[ProcessKind]int{
		KindHollow: r.experiment.hollowNodes(),
		KindReal:   r.experiment.RealNodes,
		KindMember: r.experiment.Members.Count,
	}
	seconds := after.at.Sub(before.at).Seconds()
	for kind, count := range counts {
		if count == 0 {
			continue
		}
		nodeSeconds := seconds * float64(count)
		cost := Cost{
			Count:    count,
			Bytes:    float64(after.bytes[kind]-before.bytes[kind]) / nodeSeconds,
			Messages: float64(after.frames[kind]-before.frames[kind]) / nodeSeconds,
			Core:     (after.cpu[kind] - before.cpu[kind]).Seconds() / nodeSeconds,
		}
		if kind == KindMember {
			// Bytes are those of the busiest member, on all of its links; messages are those exchanged with nodes, per member on average.
			nodeFrames := after.frames[KindHollow] + after.frames[KindReal] - before.frames[KindHollow] - before.frames[KindReal]
			cost.Messages = float64(nodeFrames) / nodeSeconds
			cost.Bytes = 0
			for member := range after.memberBytes {
				cost.Bytes = max(cost.Bytes, float64(after.memberBytes[member]-before.memberBytes[member])/seconds)
			}
		}
		costs[kind] = cost
	}
	return costs
}

// completeReport fills in the report.
func (r *run) completeReport(atStart, beforeChanges, afterChanges measurement, log []client.LogEntry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	report := &r.report
	report.Quiet = r.costsBetween(atStart, beforeChanges)
	report.Changing = r.costsBetween(beforeChanges, afterChanges)
	for kind, cost := range report.Changing {
		cost.WorstSecond = report.worstSecond[kind] / float64(cost.Count)
		report.Changing[kind] = cost
	}
	if report.ComparesHollow {
		report.Medians = r.mediansBetween(atStart, afterChanges)
	}
	report.MemoryMB = r.memoryByKind()
	report.PeakMB, report.Processes = r.maxRSSBytes/mebibyte, r.maxProcesses
	report.LabLateness, report.HollowLateness = r.lateness.total(), afterChanges.hollowLateness
	report.StolenShare = readProcessorTime().stolenShareSince(r.startedProcessor)
	report.LabCore = (afterChanges.cpu[KindLab] - beforeChanges.cpu[KindLab]).Seconds() / afterChanges.at.Sub(beforeChanges.at).Seconds()
	report.LoadAverageEnd = loadAverage()
	for _, entry := range log {
		r.auditor.VersionCommitted(entry.Version, entry.Digest)
	}
	report.Findings = r.auditor.Finish(r.clock.Now(), r.cutOffSpans)
}

// memoryByKind returns the largest RSS among members and among real nodes, and the mean per hollow node, in MB.
func (r *run) memoryByKind() map[ProcessKind]float64 {
	memoryMB := map[ProcessKind]float64{}
	for _, p := range r.processes {
		if !p.isAlive() {
			continue
		}
		maxRSSMB := float64(p.usage().maxRSSBytes) / mebibyte
		if p.kind == KindHollow {
			memoryMB[p.kind] += maxRSSMB / float64(r.experiment.hollowNodes())
		} else {
			memoryMB[p.kind] = max(memoryMB[p.kind], maxRSSMB)
		}
	}
	return memoryMB
}

// cutOffSpans returns the spans in which a node was unreachable.
func (r *run) cutOffSpans(name string) (spans []Span) {
	index := slices.IndexFunc(r.testbed.nodes, func(n node) bool { return n.name == name })
	if index < 0 {
		return nil
	}
	for _, cut := range r.cutOffs {
		if cut.affectsZone(r.experiment, r.testbed.nodes[index].zone) {
			spans = append(spans, cut.Span)
		}
	}
	return spans
}

// mediansBetween returns the median traffic per second of the nodes of each kind between two measurements. A mean would include nodes
// that reconnected and were sent a snapshot, which is not the usual cost of a node.
func (r *run) mediansBetween(before, after measurement) map[string]map[ProcessKind]float64 {
	medians := map[string]map[ProcessKind]float64{"bytes": {}, "messages": {}}
	seconds := after.at.Sub(before.at).Seconds()
	for _, kind := range nodeKinds {
		var bytes, frames []float64
		for number, n := range r.testbed.nodes {
			if n.kind == kind {
				bytes = append(bytes, float64(after.nodes[number].bytes-before.nodes[number].bytes))
				frames = append(frames, float64(after.nodes[number].frames-before.nodes[number].frames))
			}
		}
		medians["bytes"][kind], medians["messages"][kind] = median(bytes)/seconds, median(frames)/seconds
	}
	return medians
}

// median returns the median of values, which it sorts. There must be at least one.
func median(values []float64) float64 {
	slices.Sort(values)
	return (values[(len(values)-1)/2] + values[len(values)/2]) / 2
}
