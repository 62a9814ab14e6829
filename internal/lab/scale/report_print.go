package scale

import (
	"fmt"
	"io"
	"maps"
	"runtime"
	"slices"
)

const maxPrintedViolations = 12

// costFootnote says what the table's figures are of.
const costFootnote = `
Both ways. Bytes are counted on the links, and a member's are the busiest one's; messages by the nodes, and a member's are those with
nodes, the mean. A hollow node's processor time and memory are its process's, divided by its nodes; a real node's are
all it does, its load among them. Memory is the largest RSS, of members and real nodes the largest one's.

`

// Print prints the table and the verdict.
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
		fmt.Fprintf(w, "fault: %s from %g s on for %g s", fault, fault.AtSeconds, fault.ForSeconds)
		if fault.BytesPerSecond > 0 {
			fmt.Fprintf(w, ", %d bytes a second", fault.BytesPerSecond)
		}
		if fault.DelayMs > 0 {
			fmt.Fprintf(w, ", %g ms later", fault.DelayMs)
		}
		fmt.Fprintln(w)
	}
}

// printMachine prints what the machine had to do besides, which may be in the figures that follow.
func (r *Report) printMachine(w io.Writer) {
	fmt.Fprintf(w, "machine: %d processors, %.0f GB, shared: load average %s at the begin, %s at the end; %d processes and %d MB of them at most; %s\n",
		runtime.NumCPU(), r.MachineMB/1024, r.LoadAverageBegin, r.LoadAverageEnd, r.Processes, r.PeakMB, runtime.Version())
	lab, hollow := r.LabLateness, r.HollowLateness
	fmt.Fprintf(w, `the lab itself took %.2f of a core with changes; %.0f%% of the processors' time went to other machines of the host; the lab's timers were
up to %.2f s late, %.1f s in sum, those of a hollow process up to %.2f s, %.1f s in sum: so much of what follows may be this machine's

`, r.LabCore, 100*r.StolenShare, lab.MaxMs/1e3, lab.SumMs/1e3, hollow.MaxMs/1e3, hollow.SumMs/1e3)
}

// tableKinds are the table's columns.
var tableKinds = []ProcessKind{KindHollow, KindReal, KindMember}

func (r *Report) printCosts(w io.Writer) {
	fmt.Fprintf(w, "%-34s %12s %12s %12s\n", "", "hollow node", "real node", "member")
	for _, phase := range []struct {
		name  string
		costs map[ProcessKind]Cost
	}{
		{"quiet", r.Quiet},
		{"with changes", r.Changing},
	} {
		printRow(w, "bytes a second, "+phase.name, "%.0f", phase.costs, tableKinds, func(c Cost) float64 { return c.Bytes })
		printRow(w, "messages a second, "+phase.name, "%.2f", phase.costs, tableKinds, func(c Cost) float64 { return c.Messages })
		printRow(w, "% of a core, "+phase.name, "%.2f", phase.costs, tableKinds, func(c Cost) float64 { return 100 * c.Core })
	}
	printRow(w, "bytes, worst second", "%.0f", r.Changing, nodeKinds, func(c Cost) float64 { return c.WorstSecond })
	fmt.Fprintf(w, "%-34s", "memory, MB")
	for _, kind := range tableKinds {
		fmt.Fprintf(w, " %12.1f", r.MemoryMB[kind])
	}
	fmt.Fprint(w, costFootnote)
	for _, what := range slices.Sorted(maps.Keys(r.Medians)) {
		fmt.Fprintf(w, "%s a second over all of it, of the node in the middle by its own word: hollow %.2f, real %.2f\n",
			what, r.Medians[what][KindHollow], r.Medians[what][KindReal])
	}
}

// printRow prints a row of the table, with a dash for kinds without a value or of which there is no process.
func printRow(w io.Writer, name, format string, costs map[ProcessKind]Cost, valued []ProcessKind, value func(Cost) float64) {
	fmt.Fprintf(w, "%-34s", name)
	for _, kind := range tableKinds {
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
	fmt.Fprintf(w, "%d changes acknowledged, after %s; %d without an answer, %d not begun\n",
		len(r.CommitMs), commits, r.Unanswered, r.NotBegun)
	fmt.Fprintf(w, "all nodes started at once; to their first version in force: %s\n", findings.Start)
	fmt.Fprintf(w, "from the acknowledgement to in force, %d changes at %d nodes: %s\n", findings.Changes, nodes, findings.Reachable)
	if findings.CutOff.Pairs > 0 {
		fmt.Fprintf(w, "%d nodes were cut off; from when they could be reached to in force, %d changes at nodes: %s\n",
			findings.CutOffNodes, findings.CutOff.Pairs, findings.CutOff)
	}
	fmt.Fprintf(w, "%d of %d nodes at the last version at the end\n", nodes-findings.Behind, nodes)
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
	return fmt.Sprintf("%.2f s half of them, %.2f s 99 in 100, %.2f s the worst", s.P50/1e3, s.P99/1e3, s.Max/1e3)
}
