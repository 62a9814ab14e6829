package capacity

import (
	"fmt"
	"os"
	"runtime"
	"strconv"
	"strings"
	"syscall"

	"golang.org/x/sys/unix"
)

// processCPU returns the processor time of this process, in ms. Other load on the machine affects it less than
// wall-clock time.
func processCPU() float64 { return cpuClock(unix.CLOCK_PROCESS_CPUTIME_ID) }

// processCPUOf returns the processor time of another process, in ms; 0 if it has ended.
func processCPUOf(pid int) float64 {
	clockID := int32(^pid<<3 | 2) // as clock_getcpuclockid(3) computes it
	return cpuClock(clockID)
}

func cpuClock(id int32) float64 {
	var t unix.Timespec
	if err := unix.ClockGettime(id, &t); err != nil {
		return 0 // the process has ended
	}
	return float64(t.Nano()) / 1e6
}

// heapInUse returns the size of this process's heap after a garbage collection, in bytes.
func heapInUse() float64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// allocations counts the objects and bytes that this process has allocated since its start.
type allocations struct {
	objects float64
	bytes   float64
}

func readAllocations() allocations {
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return allocations{objects: float64(stats.Mallocs), bytes: float64(stats.TotalAlloc)}
}

// since returns the allocations after an earlier count.
func (a allocations) since(earlier allocations) allocations {
	return allocations{objects: a.objects - earlier.objects, bytes: a.bytes - earlier.bytes}
}

// processMemory is the resident memory of a process, in MB.
type processMemory struct {
	current float64
	peak    float64
}

// readProcessMemory reads the resident memory of a process; all values are 0 if it has ended.
func readProcessMemory(pid int) (memory processMemory) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return processMemory{}
	}
	for line := range strings.Lines(string(text)) {
		fields := strings.Fields(line)
		if len(fields) < 2 {
			continue
		}
		kilobytes, _ := strconv.ParseFloat(fields[1], 64) // always a number in the two lines below
		switch fields[0] {
		case "VmRSS:":
			memory.current = kilobytes / 1024
		case "VmHWM:":
			memory.peak = kilobytes / 1024
		}
	}
	return memory
}

// PeakMemory returns the peak resident memory, in MB, of this process and of the largest of its ended children.
func PeakMemory() (self, child float64) {
	peak := func(who int) float64 {
		var usage syscall.Rusage
		if err := syscall.Getrusage(who, &usage); err != nil {
			return 0
		}
		return float64(usage.Maxrss) / 1024
	}
	return peak(syscall.RUSAGE_SELF), peak(syscall.RUSAGE_CHILDREN)
}

// checkMemory fails if this process and a child, both in MB, have used more than half of the machine's memory: on a
// shared machine a larger size would take memory from other processes.
func checkMemory(self, child float64) error {
	var info unix.Sysinfo_t
	if err := unix.Sysinfo(&info); err != nil {
		return err
	}
	machine := float64(info.Totalram) * float64(info.Unit) / (1 << 20)
	if self+child > machine/2 {
		return fmt.Errorf("peak memory of %.0f MB is over half of the machine's %.0f MB", self+child, machine)
	}
	return nil
}
