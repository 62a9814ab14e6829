package scale

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"

	"pearknot/internal/tomlfile"
)

// Limits on the values in an experiment file.
const (
	maxSeconds   = 600
	maxNodes     = 5000
	maxRealNodes = 40
	maxHollow    = 1000 // hollow nodes per process
	maxRegions   = 21
	maxZones     = 84
	maxMembers   = 21
	maxTenants   = 200_000
	maxProcesses = 300
	maxDelayMs   = 60e3
)

// checker validates a file and keeps the first error.
type checker struct {
	file *tomlfile.File
	err  error
}

// require records an error at the key's position unless isValid, or an earlier error is recorded.
func (c *checker) require(isValid bool, key, format string, args ...any) {
	if !isValid && c.err == nil {
		c.err = c.file.Errorf(key, format, args...)
	}
}

func (c *checker) requireNumber(key string, value, minimum, maximum float64) {
	c.require(value >= minimum && value <= maximum && !math.IsNaN(value), key, "%v is not %v to %v", value, minimum, maximum)
}

func (c *checker) requireCount(key string, value, minimum, maximum int) {
	c.require(value >= minimum && value <= maximum, key, "%d is not %d to %d", value, minimum, maximum)
}

// requireNumbered requires a name that consists of the letter and a number from 1 to maximum.
func (c *checker) requireNumbered(key, name, letter string, maximum int) {
	number, err := strconv.Atoi(strings.TrimPrefix(name, letter))
	isValid := strings.HasPrefix(name, letter) && err == nil && number >= 1 && number <= maximum
	c.require(isValid, key, "%q is not %s1 to %s%d", name, letter, letter, maximum)
}

// check validates an experiment, and returns the first error with its position in the file.
func (e *Experiment) check(file *tomlfile.File) error {
	c := &checker{file: file}
	c.requireNumber("quiet_seconds", e.QuietSeconds, 1, maxSeconds)
	c.requireNumber("seconds", e.ChangeSeconds, 1, maxSeconds)
	c.requireCount("nodes", e.Nodes, 1, maxNodes)
	c.requireCount("real_nodes", e.RealNodes, 0, min(e.Nodes, maxRealNodes))
	c.requireCount("hollow_per_process", e.HollowPerProcess, 1, maxHollow)
	c.requireCount("regions", e.Regions, 1, maxRegions)
	c.requireCount("zones", e.Zones, e.Regions, maxZones)
	c.requireCount("members.count", e.Members.Count, e.Regions, maxMembers)
	c.require(slices.Contains([]int{1, 3, 5}, e.Members.Voters) && e.Members.Voters <= e.Regions, "members.voters",
		"%d is not 1, 3 or 5, each in another of %d regions", e.Members.Voters, e.Regions)
	c.requireCount("tenants", e.Tenants, 0, maxTenants)
	c.requireNumber("changes.per_second", e.Changes.PerSecond, 0.01, 50)
	c.requireCount("changes.bytes", e.Changes.Bytes, 1, 1<<20)
	c.require(e.Tenants*tenantBytes >= e.Changes.Bytes, "changes.bytes", "%d exceeds the size of %d tenants", e.Changes.Bytes, e.Tenants)
	c.requireCount("limits.memory_mb", e.Limits.MemoryMB, 1, 1<<30)
	c.requireCount("limits.processes", e.Limits.Processes, 1, maxProcesses)
	for index, fault := range e.Faults {
		e.checkFault(c, fmt.Sprintf("fault.%d.", index), fault)
	}
	return c.err
}

// checkFault validates a fault whose keys have the prefix. A fault must end by the last change, so that the recovery is checked too.
func (e *Experiment) checkFault(c *checker, prefix string, fault Fault) {
	c.require(slices.Contains(faultKinds, fault.Kind), prefix+"kind", "%q is none of %s", fault.Kind, joinKinds(faultKinds))
	c.requireNumber(prefix+"at_s", fault.AtSeconds, 0, e.ChangeSeconds)
	c.requireNumber(prefix+"for_s", fault.ForSeconds, 0, e.ChangeSeconds-fault.AtSeconds)
	c.requireCount(prefix+"bytes_per_second", fault.BytesPerSecond, 0, 1<<30)
	c.requireNumber(prefix+"delay_ms", fault.DelayMs, 0, maxDelayMs)
	switch fault.Kind {
	case FaultKill, FaultFreeze, FaultDeaf:
		c.require(fault.Region == "" && fault.Zone == "", prefix+"member", "a fault of a member can't have a region or zone")
		if fault.Member != currentLeader {
			c.requireNumbered(prefix+"member", fault.Member, "m", e.Members.Count)
		}
	case FaultCut, FaultCutInbound, FaultCutOutbound, FaultSlow, FaultLoseMembers:
		c.require(fault.Member == "", prefix+"member", "a fault of a region can't have a member")
		c.require((fault.Region == "") != (fault.Zone == ""), prefix+"region", "either a region or a zone is required")
		if fault.Zone == "" {
			c.requireNumbered(prefix+"region", fault.Region, "r", e.Regions)
		} else {
			c.requireNumbered(prefix+"zone", fault.Zone, "z", e.Zones)
		}
		hasEffect := fault.Kind != FaultSlow || fault.BytesPerSecond > 0 || fault.DelayMs > 0
		c.require(hasEffect, prefix+"bytes_per_second", "this or delay_ms must be above 0")
	}
}

func joinKinds(kinds []FaultKind) string {
	names := make([]string, len(kinds))
	for k, kind := range kinds {
		names[k] = string(kind)
	}
	return strings.Join(names, ", ")
}
