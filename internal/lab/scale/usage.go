package scale

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// usage holds the processor time and memory that a process has used.
type usage struct {
	cpu                   time.Duration
	rssBytes, maxRSSBytes int64
}

const (
	// ticksPerSecond is the unit in which the kernel counts processor time.
	ticksPerSecond = 100

	// Fields of /proc/PID/stat, counted after the process's name.
	userTicksField, systemTicksField = 11, 12

	// stealField is the field of /proc/stat that counts time taken by the host. lastField is the last field that is not included in
	// another: user time already includes guest time.
	stealField, lastField = 8, 8
)

// readUsage returns a process's usage, which is zero if the process has ended.
func readUsage(pid int) usage {
	dir := "/proc/" + strconv.Itoa(pid)
	stat, err := os.ReadFile(dir + "/stat")
	if err != nil {
		return usage{}
	}
	_, afterName, ok := bytes.Cut(stat, []byte(") ")) // the name may contain spaces
	fields := strings.Fields(string(afterName))
	if !ok || len(fields) <= systemTicksField {
		return usage{}
	}
	user, userErr := strconv.ParseInt(fields[userTicksField], 10, 64)
	system, systemErr := strconv.ParseInt(fields[systemTicksField], 10, 64)
	status, statusErr := os.ReadFile(dir + "/status")
	if errors.Join(userErr, systemErr, statusErr) != nil {
		return usage{}
	}
	statusBytes := func(key string) (kb int64) {
		_, value, _ := strings.Cut(string(status), key+":")
		_, _ = fmt.Sscan(value, &kb)
		return kb << 10
	}
	return usage{
		cpu:         time.Duration(user+system) * time.Second / ticksPerSecond,
		rssBytes:    statusBytes("VmRSS"),
		maxRSSBytes: statusBytes("VmHWM"),
	}
}

// machineMemoryMB returns the memory of this machine.
func machineMemoryMB() (float64, error) {
	data, err := os.ReadFile("/proc/meminfo")
	if err != nil {
		return 0, err
	}
	kb := 0.0
	if _, err := fmt.Sscanf(string(data), "MemTotal: %f kB", &kb); err != nil {
		return 0, fmt.Errorf("/proc/meminfo: %w", err)
	}
	return kb / 1024, nil
}

func loadAverage() string {
	data, _ := os.ReadFile("/proc/loadavg")
	lastMinute, _, _ := strings.Cut(string(data), " ")
	return lastMinute
}

// processorTime holds the time of all processors since the machine started, in ticks.
type processorTime struct {
	stolen float64 // used by the host for other machines
	total  float64
}

func readProcessorTime() (t processorTime) {
	data, _ := os.ReadFile("/proc/stat")
	line, _, _ := strings.Cut(string(data), "\n")
	for field, text := range strings.Fields(line) {
		ticks, err := strconv.ParseFloat(text, 64)
		if err != nil || field > lastField {
			continue
		}
		t.total += ticks
		if field == stealField {
			t.stolen = ticks
		}
	}
	return t
}

// stolenShareSince returns the fraction of the processor time since an earlier reading that was stolen.
func (t processorTime) stolenShareSince(earlier processorTime) float64 {
	return (t.stolen - earlier.stolen) / (t.total - earlier.total)
}
