package scale

import "fmt"

// What a run takes at most of memory, as measured (docs/lab.md): a process of each kind without nodes or document, in MB; what each node
// adds, in KB; and how many times a process holds the document.
const (
	labMB, memberMB, hollowMB, realMB               = 150, 45, 30, 70
	labNodeKB, memberNodeKB, hollowNodeKB           = 150, 60, 150
	memberDocuments, hollowDocuments, realDocuments = 16, 4, 12
)

// Sizes in the document.
const (
	tenantBytes        = 44   // of a tenant's line
	emptyDocumentBytes = 2000 // of a document without tenants
)

// How long a real node takes to read the settings and put them in force, as measured from 10 to 140,000 tenants.
const (
	readMs          = 0.3
	readMsPerTenant = 0.0054
)

const mebibyte = 1 << 20

// Estimate is what a run will take.
type Estimate struct {
	Processes int
	MemoryMB  float64
}

// TooBigError is why this machine may not be asked to play an experiment.
type TooBigError struct{ Err error }

func (e *TooBigError) Error() string { return e.Err.Error() }
func (e *TooBigError) Unwrap() error { return e.Err }

func (e *Experiment) hollowNodes() int { return e.Nodes - e.RealNodes }

func (e *Experiment) hollowProcesses() int {
	return (e.hollowNodes() + e.HollowPerProcess - 1) / e.HollowPerProcess
}

// Estimate gives a run's processes and peak memory, this process included.
func (e *Experiment) Estimate() Estimate {
	documentMB := float64(e.Tenants*tenantBytes+emptyDocumentBytes) / mebibyte
	nodes, real, members := float64(e.Nodes), float64(e.RealNodes), float64(e.Members.Count)
	lab := labMB + nodes*labNodeKB/1024
	control := members*(memberMB+memberDocuments*documentMB) + nodes*memberNodeKB/1024
	hollow := float64(e.hollowProcesses())*hollowMB + float64(e.hollowNodes())*(hollowNodeKB/1024.0+hollowDocuments*documentMB)
	return Estimate{
		Processes: 1 + e.Members.Count + e.hollowProcesses() + e.RealNodes,
		MemoryMB:  lab + control + hollow + real*(realMB+realDocuments*documentMB),
	}
}

// Fits returns why a run may not begin on a machine with so much memory, or nil.
func (e *Experiment) Fits(machineMB float64) error {
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

// memoryLimitMB is what a run may take on a machine with so much memory.
func (e *Experiment) memoryLimitMB(machineMB float64) float64 {
	return min(machineMB/2, float64(e.Limits.MemoryMB))
}
