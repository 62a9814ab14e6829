package memory

import (
	"os"
	"strconv"
	"strings"
)

const (
	// nativeReserve is the memory of what neither the Go runtime nor the resident files include: the C library's heap, the
	// stacks of threads, and what the runtime frees a little later than it should.
	nativeReserve = 1 << 20

	// runtimeBase is the memory of a node without clients that the Go runtime counts.
	runtimeBase = 4 << 20

	// liveShare is the share of the runtime's memory that may be in use. The rest is for garbage: with less of it, the
	// collector would use too much processor time.
	liveShare = 0.7

	// connectionShare is the largest share of the clients' bytes that connections may use.
	connectionShare = 0.75

	// minRuntimeBytes and minClientBytes are the smallest results, for a limit that the program alone exceeds.
	minRuntimeBytes = 4 << 20
	minClientBytes  = 1 << 20
)

// Plan says how the memory of a process is divided.
type Plan struct {
	RuntimeBytes int64  // limit of the Go runtime, see debug.SetMemoryLimit
	Clients      Limits // of the Budget
}

// NewPlan divides limit bytes. fileBytes is the resident memory of the process that the Go runtime does not count, and
// allConnections what all connections take that the process has descriptors for.
func NewPlan(limit, fileBytes, allConnections int64) Plan {
	runtimeBytes := max(limit-fileBytes-nativeReserve, minRuntimeBytes)
	clientBytes := max(int64(liveShare*float64(runtimeBytes-runtimeBase)), minClientBytes)
	connections := min(int64(connectionShare*float64(clientBytes)), allConnections)
	return Plan{RuntimeBytes: runtimeBytes, Clients: Limits{Connections: connections, Buffers: clientBytes - connections}}
}

// assumedFileBytes is the result of ResidentFileBytes on a system that does not tell.
const assumedFileBytes = 16 << 20

// ResidentFileBytes returns the resident memory of this process that is mapped from files: the program and the C library.
func ResidentFileBytes() int64 {
	const sharedField = 2 // of /proc/self/statm, in pages
	text, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return assumedFileBytes
	}
	fields := strings.Fields(string(text))
	if len(fields) <= sharedField {
		return assumedFileBytes
	}
	pages, err := strconv.ParseInt(fields[sharedField], 10, 64)
	if err != nil {
		return assumedFileBytes
	}
	return pages * int64(os.Getpagesize())
}
