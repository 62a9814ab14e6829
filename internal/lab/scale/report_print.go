package scale

import (
	"fmt"
	"io"
	"maps"
	"runtime"
	"slices"
)

const maxPrintedViolations = 12

// costFootnote explains the figures in the table of costs.
const costFootnote = `
Sent and received. Bytes are counted on the links, for members those of the busiest one; messages are counted by the nodes, for members
the mean of those exchanged with nodes. A hollow node's processor time and memory are those of its process divided by its number of nodes;
a real node's include its load. Memory is the peak RSS, for members and real nodes that of the largest one.

`

// Print prints the experiment, the machine's state, the table of costs, the findings and the violations.
func (r *Report) Print(w io.Writer) {
	r.printExperiment(w)
	r.printMachine(w)
	r.printCosts(w)
	r.printFindings(w)
	r.printViolations(w)
}

func (r *Report) printExperiment(w io.Writer) {
	e := r.Experiment
	fmt.Fprintf(w, "\n%s: %d nodes, %d of them real, %d hollow in %d processes; %d members, %d of them voters; %d regions, %d zones\n",
		e.Name, e.Nodes, e.RealNodes, e.hollowNodes(), e.hollowProcesses(), e.Members.Count, e.Members.Voters, e.Regions, e.Zones)
	fmt.Fprintf(w, "%d tenants in a document of %d KB, %g changes a second of about %d bytes for %g s; hollow nodes' copies on disk: %v\n",
		e.Tenants, r.DocumentBytes>>10, e.Changes.PerSecond, e.Changes.Bytes, e.ChangeSeconds, e.HollowCopies)
	for _, fault := range e.Faults {
		fmt.Fprintf(w, "fault: %s at %g s for %g s", fault, fault.AtSeconds, fault.ForSeconds)
		if fault.BytesPerSecond > 0 {
			fmt.Fprintf(w, ", %d bytes a second", fault.BytesPerSecond)
		}
		if fault.DelayMs > 0 {
			fmt.Fprintf(w, ", %g ms of delay", fault.DelayMs)
		}
		fmt.Fprintln(w)
	}
}

// printMachine prints the other load and the delays of the machine, which may affect the figures that follow.
func (r *Report) printMachine(w io.Writer) {
	fmt.Fprintf(w, "machine: %d processors, %.0f GB, shared: load average %s at the start, %s at the end; at most %d processes and %d MB together; %s\n",
		runtime.NumCPU(), r.MachineMB/1024, r.LoadAverageStart, r.LoadAverageEnd, r.Processes, r.PeakMB, runtime.Version())
	lab, hollow := r.LabLateness, r.HollowLateness
	fmt.Fprintf(w, `the lab process used %.2f of a core during changes; %.0f%% of the processor time went to other machines of the host; the lab's timers were
up to %.2f s late, %.1f s in total, those of a hollow process up to %.2f s, %.1f s in total: the delays below may include this much

`, r.LabCore, 100*r.StolenShare, lab.MaxMs/1e3, lab.SumMs/1e3, hollow.MaxMs/1e3, hollow.SumMs/1e3)
}

// columnKinds lists the kinds in the order of the table's columns.
var columnKinds = []ProcessKind{KindHollow, KindReal, KindMember}

func (r *Report) printCosts(w io.Writer) {
	fmt.Fprintf(w, "%-34s %12s %12s %12s\n", "", "hollow node", "real node", "member")
	for _, phase := range []struct {
		name  string
		costs map[ProcessKind]Cost
	}{
		{"quiet", r.Quiet},
		{"with changes", r.Changing},
	} {
		printRow(w, "bytes a second, "+phase.name, "%.0f", phase.costs, columnKinds, func(c Cost) float64 { return c.Bytes })
		printRow(w, "messages a second, "+phase.name, "%.2f", phase.costs, columnKinds, func(c Cost) float64 { return c.Messages })
		printRow(w, "% of a core, "+phase.name, "%.2f", phase.costs, columnKinds, func(c Cost) float64 { return 100 * c.Core })
	}
	printRow(w, "bytes, worst second", "%.0f", r.Changing, nodeKinds, func(c Cost) float64 { return c.WorstSecond })
	fmt.Fprintf(w, "%-34s", "memory, MB")
	for _, kind := range columnKinds {
		fmt.Fprintf(w, " %12.1f", r.MemoryMB[kind])
	}
	fmt.Fprint(w, costFootnote)
	for _, what := range slices.Sorted(maps.Keys(r.Medians)) {
		fmt.Fprintf(w, "%s a second over the whole run, of the median node by its own counters: hollow %.2f, real %.2f\n",
			what, r.Medians[what][KindHollow], r.Medians[what][KindReal])
	}
}

// printRow prints a row of the table, with a dash for kinds that are not in valued or have no process.
func printRow(w io.Writer, name, format string, costs map[ProcessKind]Cost, valued []ProcessKind, value func(Cost) float64) {
	fmt.Fprintf(w, "%-34s", name)
	for _, kind := range columnKinds {
		text := "-"
		if cost := costs[kind]; cost.Count > 0 && slices.Contains(valued, kind) {
			text = fmt.Sprintf(format, value(cost))
		}
		fmt.Fprintf(w, " %12s", text)
	}
	fmt.Fprintln(w)
}

func (r *Report) printFindings(w io.Writer) {
	nodes, findings := r.Experiment.Nodes, r.Findings
	commits := newStaleness(slices.Clone(r.CommitMs))
	fmt.Fprintf(w, "%d changes acknowledged, commit times %s; %d without an answer, %d not started\n",
		len(r.CommitMs), commits, r.Unanswered, r.NotStarted)
	fmt.Fprintf(w, "all nodes started at once; time until the first version was applied: %s\n", findings.Start)
	fmt.Fprintf(w, "time from acknowledged to applied, %d changes at %d nodes: %s\n", findings.Changes, nodes, findings.Reachable)
	if findings.CutOff.Pairs > 0 {
		fmt.Fprintf(w, "%d nodes were cut off; time from reachable to applied, %d pairs of a change and a node: %s\n",
			findings.CutOffNodes, findings.CutOff.Pairs, findings.CutOff)
	}
	fmt.Fprintf(w, "%d of %d nodes had the latest version at the end\n", nodes-findings.Behind, nodes)
	if r.Load.Requests > 0 {
		fmt.Fprintf(w, "load of the real nodes: %d requests, service %.3f, %s\n", r.Load.Requests, r.Load.Service, r.Load.Verdict.Text)
	}
}

func (r *Report) printViolations(w io.Writer) {
	if len(r.Violations) == 0 {
		fmt.Fprintln(w, "all bounds hold")
		return
	}
	for _, violation := range r.Violations[:min(len(r.Violations), maxPrintedViolations)] {
		fmt.Fprintln(w, "BROKEN:", violation)
	}
	if more := len(r.Violations) - maxPrintedViolations; more > 0 {
		fmt.Fprintln(w, "BROKEN: and", more, "more")
	}
}

func (s Staleness) String() string {
	return fmt.Sprintf("p50 %.2f s, p99 %.2f s, max %.2f s", s.P50/1e3, s.P99/1e3, s.Max/1e3)
}
