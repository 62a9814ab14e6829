package scale

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"

	"pearknot/internal/tomlfile"
)

// What an experiment may ask for.
const (
	maxSeconds   = 600
	maxNodes     = 5000
	maxRealNodes = 40
	maxHollow    = 1000 // in a process
	maxRegions   = 21
	maxZones     = 84
	maxMembers   = 21
	maxTenants   = 200_000
	maxProcesses = 300
	maxDelayMs   = 60e3
)

// checker keeps the first thing in a file that is not valid.
type checker struct {
	file *tomlfile.File
	err  error
}

// require keeps an error at the key's place unless something holds.
func (c *checker) require(holds bool, key, format string, args ...any) {
	if !holds && c.err == nil {
		c.err = c.file.Errorf(key, format, args...)
	}
}

func (c *checker) requireNumber(key string, value, least, most float64) {
	c.require(value >= least && value <= most && !math.IsNaN(value), key, "%v is not %v to %v", value, least, most)
}

func (c *checker) requireCount(key string, value, least, most int) {
	c.require(value >= least && value <= most, key, "%d is not %d to %d", value, least, most)
}

// requireNumbered requires a name that is a letter and a number from 1 to most.
func (c *checker) requireNumbered(key, name, letter string, most int) {
	number, err := strconv.Atoi(strings.TrimPrefix(name, letter))
	isValid := strings.HasPrefix(name, letter) && err == nil && number >= 1 && number <= most
	c.require(isValid, key, "%q is not %s1 to %s%d", name, letter, letter, most)
}

// check returns the first thing in an experiment that is not valid, as an error with its place in the file.
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
	c.require(e.Tenants*tenantBytes >= e.Changes.Bytes, "changes.bytes", "%d are more than %d tenants have", e.Changes.Bytes, e.Tenants)
	c.requireCount("limits.memory_mb", e.Limits.MemoryMB, 1, 1<<30)
	c.requireCount("limits.processes", e.Limits.Processes, 1, maxProcesses)
	for index, fault := range e.Faults {
		e.checkFault(c, fmt.Sprintf("fault.%d.", index), fault)
	}
	return c.err
}

// checkFault checks a fault whose keys have a prefix. It has to end by the last change, so that what follows it is checked too.
func (e *Experiment) checkFault(c *checker, prefix string, fault Fault) {
	c.require(slices.Contains(faultKinds, fault.Kind), prefix+"kind", "%q is none of %s", fault.Kind, joinKinds(faultKinds))
	c.requireNumber(prefix+"at_s", fault.AtSeconds, 0, e.ChangeSeconds)
	c.requireNumber(prefix+"for_s", fault.ForSeconds, 0, e.ChangeSeconds-fault.AtSeconds)
	c.requireCount(prefix+"bytes_per_second", fault.BytesPerSecond, 0, 1<<30)
	c.requireNumber(prefix+"delay_ms", fault.DelayMs, 0, maxDelayMs)
	switch fault.Kind {
	case FaultKill, FaultFreeze, FaultDeaf:
		c.require(fault.Region == "" && fault.Zone == "", prefix+"member", "a fault of a member has no region or zone")
		if fault.Member != leaderName {
			c.requireNumbered(prefix+"member", fault.Member, "m", e.Members.Count)
		}
	case FaultCut, FaultCutInbound, FaultCutOutbound, FaultSlow, FaultLoseMembers:
		c.require(fault.Member == "", prefix+"member", "a fault of a region has no member")
		c.require((fault.Region == "") != (fault.Zone == ""), prefix+"region", "give a region or a zone")
		if fault.Zone == "" {
			c.requireNumbered(prefix+"region", fault.Region, "r", e.Regions)
		} else {
			c.requireNumbered(prefix+"zone", fault.Zone, "z", e.Zones)
		}
		hasEffect := fault.Kind != FaultSlow || fault.BytesPerSecond > 0 || fault.DelayMs > 0
		c.require(hasEffect, prefix+"bytes_per_second", "give it, or delay_ms, above 0")
	}
}

func joinKinds(kinds []FaultKind) string {
	names := make([]string, len(kinds))
	for k, kind := range kinds {
		names[k] = string(kind)
	}
	return strings.Join(names, ", ")
}
