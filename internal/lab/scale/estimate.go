package scale

import "fmt"

// Peak memory of a run (docs/lab.md): of a process of each kind without nodes or document, in MB; added by each node, in KB; and the
// number of copies of the document that a process holds.
const (
	labMB, memberMB, hollowMB, realMB                              = 150, 45, 30, 70
	labNodeKB, memberNodeKB, hollowNodeKB                          = 150, 60, 150
	memberDocumentCopies, hollowDocumentCopies, realDocumentCopies = 16, 4, 12
)

// Sizes in the document, in bytes.
const (
	tenantBytes        = 44   // a tenant's line
	emptyDocumentBytes = 2000 // a document without tenants
)

// Time that a real node takes to read the settings and apply them, for 10 to 140,000 tenants.
const (
	readMs          = 0.3
	readMsPerTenant = 0.0054
)

const mebibyte = 1 << 20

// Estimate holds the resources that a run is expected to use, at its peak.
type Estimate struct {
	Processes int
	MemoryMB  float64
}

// TooBigError reports that an experiment exceeds its limits or what this machine may be asked to run.
type TooBigError struct{ Err error }

func (e *TooBigError) Error() string { return e.Err.Error() }
func (e *TooBigError) Unwrap() error { return e.Err }

func (e *Experiment) hollowNodes() int { return e.Nodes - e.RealNodes }

func (e *Experiment) hollowProcesses() int {
	return (e.hollowNodes() + e.HollowPerProcess - 1) / e.HollowPerProcess
}

// Estimate returns a run's expected number of processes and peak memory, this process included.
func (e *Experiment) Estimate() Estimate {
	documentMB := float64(e.Tenants*tenantBytes+emptyDocumentBytes) / mebibyte
	nodes, real, members := float64(e.Nodes), float64(e.RealNodes), float64(e.Members.Count)
	lab := labMB + nodes*labNodeKB/1024
	control := members*(memberMB+memberDocumentCopies*documentMB) + nodes*memberNodeKB/1024
	hollow := float64(e.hollowProcesses())*hollowMB + float64(e.hollowNodes())*(hollowNodeKB/1024.0+hollowDocumentCopies*documentMB)
	return Estimate{
		Processes: 1 + e.Members.Count + e.hollowProcesses() + e.RealNodes,
		MemoryMB:  lab + control + hollow + real*(realMB+realDocumentCopies*documentMB),
	}
}

// CheckLimits returns an error if a run exceeds its limits of processes or memory on a machine with machineMB of memory.
func (e *Experiment) CheckLimits(machineMB float64) error {
	estimate := e.Estimate()
	maxMB := e.memoryLimitMB(machineMB)
	switch {
	case estimate.Processes > e.Limits.Processes:
		return fmt.Errorf("%s would take %d processes, over %d", e.Name, estimate.Processes, e.Limits.Processes)
	case estimate.MemoryMB > maxMB:
		return fmt.Errorf("%s would take %.0f MB of memory, over %.0f: half of the machine's, or limits.memory_mb",
			e.Name, estimate.MemoryMB, maxMB)
	}
	return nil
}

// memoryLimitMB returns the memory that a run may use on a machine with machineMB of memory.
func (e *Experiment) memoryLimitMB(machineMB float64) float64 {
	return min(machineMB/2, float64(e.Limits.MemoryMB))
}
