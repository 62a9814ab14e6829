package memory

import (
	"os"
	"runtime/metrics"
	"strconv"
	"strings"
)

const (
	// nativeReserve is the memory of what neither the Go runtime nor the resident files include: the C library's heap, the
	// stacks of threads, and what the runtime frees a little later than it should.
	nativeReserve = 1 << 20

	// runtimeBase is the least memory of a node without clients and backends that the Go runtime counts.
	runtimeBase = 4 << 20

	// backendBytes and backendConnBytes are the memory of a backend, and of a connection to one.
	backendBytes     = 6 << 10
	backendConnBytes = 8 << 10

	// liveShare is the share of the runtime's memory that may be in use. The rest is for garbage: with less of it, the
	// collector would use too much processor time.
	liveShare = 0.7

	// connectionShare is the largest share of the clients' bytes that connections may use.
	connectionShare = 0.75

	// minLimitWithReserve is the smallest limit of a process that leaves memory free for its successor.
	minLimitWithReserve = 20 << 20

	// minRuntimeBytes and minClientBytes are the smallest results, for a limit that the program alone exceeds.
	minRuntimeBytes = 4 << 20
	minClientBytes  = 1 << 20
)

// Plan says how the memory of a process is divided.
type Plan struct {
	RuntimeBytes int64  // limit of the Go runtime, see debug.SetMemoryLimit
	Clients      Limits // of the Budget
}

// OtherBytes returns the memory that the Go runtime counts for anything but clients: what of its live heap these have not reserved, or more
// if that is too little for the backends and the connections to them. Clients use less than they have reserved at times.
func OtherBytes(unreserved int64, backends, backendConns int) int64 {
	return max(unreserved, runtimeBase+int64(backends)*backendBytes) + int64(backendConns)*backendConnBytes
}

// NewPlan divides limit bytes. fileBytes is the resident memory of the process that the Go runtime does not count, otherBytes what the
// runtime holds for anything but clients, such as backends and logged requests, and allConnections what all connections take
// that the process has descriptors for.
func NewPlan(limit, fileBytes, otherBytes, allConnections int64) Plan {
	runtimeBytes := max(limit-fileBytes-nativeReserve, minRuntimeBytes)
	clientBytes := max(int64(liveShare*float64(runtimeBytes-max(otherBytes, runtimeBase))), minClientBytes)
	connections := min(int64(connectionShare*float64(clientBytes)), allConnections)
	return Plan{RuntimeBytes: runtimeBytes, Clients: Limits{Connections: connections, Buffers: clientBytes - connections}}
}

// IsNear reports whether another plan differs so little that it need not replace this one.
func (p Plan) IsNear(other Plan) bool {
	const tolerance = 256 << 10
	isNear := func(a, b int64) bool { return max(a, b)-min(a, b) < tolerance }
	return isNear(p.RuntimeBytes, other.RuntimeBytes) && isNear(p.Clients.Connections, other.Clients.Connections) &&
		isNear(p.Clients.Buffers, other.Clients.Buffers)
}

// SuccessorReserve returns the memory that a process leaves free for one that is started to replace it: what a process of the same
// program takes before it serves clients. Of a limit below minLimitWithReserve nothing is left free.
func SuccessorReserve(limit, fileBytes int64) int64 {
	return min(fileBytes+runtimeBase, max(limit-minLimitWithReserve, 0))
}

// assumedFileBytes is the result of ResidentFileBytes on a system that does not tell.
const assumedFileBytes = 16 << 20

// Fields of /proc/PID/statm, in pages.
const (
	residentField = 1
	sharedField   = 2
)

// ResidentFileBytes returns the resident memory of this process that is mapped from files: the program and the C library.
func ResidentFileBytes() int64 {
	bytes, ok := readStatm("self", sharedField)
	if !ok {
		return assumedFileBytes
	}
	return bytes
}

// LiveBytes returns the heap that was in use after the latest garbage collection.
func LiveBytes() int64 {
	samples := []metrics.Sample{{Name: "/gc/heap/live:bytes"}}
	metrics.Read(samples)
	return int64(samples[0].Value.Uint64())
}

// ResidentBytes returns the resident memory of a process. It reports false if the process has ended or the system does not tell.
func ResidentBytes(pid int) (bytes int64, ok bool) {
	return readStatm(strconv.Itoa(pid), residentField)
}

func readStatm(process string, field int) (bytes int64, ok bool) {
	text, err := os.ReadFile("/proc/" + process + "/statm")
	if err != nil {
		return 0, false
	}
	fields := strings.Fields(string(text))
	if len(fields) <= field {
		return 0, false
	}
	pages, err := strconv.ParseInt(fields[field], 10, 64)
	return pages * int64(os.Getpagesize()), err == nil
}
