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

// usage is what a process has taken.
type usage struct {
	cpu                   time.Duration
	rssBytes, maxRSSBytes int64
}

const (
	// ticksPerSecond is the unit in which the kernel counts processor time.
	ticksPerSecond = 100

	// Fields of /proc/PID/stat, counted behind the process's name.
	userTicksField, systemTicksField = 11, 12

	// stealField and lastField are the fields of /proc/stat that count time taken by the host, and the last one that is not part of
	// another: guests' time is in users' already.
	stealField, lastField = 8, 8
)

// readUsage reads a process's usage. One that has ended has a zero usage.
func readUsage(pid int) usage {
	dir := "/proc/" + strconv.Itoa(pid)
	stat, err := os.ReadFile(dir + "/stat")
	if err != nil {
		return usage{}
	}
	_, afterName, ok := bytes.Cut(stat, []byte(") ")) // the name may have spaces
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
	bytesOf := func(key string) (kb int64) {
		_, value, _ := strings.Cut(string(status), key+":")
		_, _ = fmt.Sscan(value, &kb)
		return kb << 10
	}
	return usage{
		cpu:         time.Duration(user+system) * time.Second / ticksPerSecond,
		rssBytes:    bytesOf("VmRSS"),
		maxRSSBytes: bytesOf("VmHWM"),
	}
}

// machineMemoryMB is this machine's memory.
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

// processorTime is of all of this machine's processors since it started, in ticks.
type processorTime struct {
	stolen float64 // by the host, for other machines
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

// stolenShareSince is the share of the time since an earlier reading that was stolen.
func (t processorTime) stolenShareSince(earlier processorTime) float64 {
	return (t.stolen - earlier.stolen) / (t.total - earlier.total)
}
