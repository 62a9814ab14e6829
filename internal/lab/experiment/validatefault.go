package experiment

import "slices"

// validateFault checks a fault, first the values that any kind may have, then those that its kind needs. Prefix is the
// path of the fault's keys in the file.
func (e *Experiment) validateFault(v *validator, prefix string, fault Fault) {
	v.requireOneOf(prefix+"kind", fault.Kind, slices.Concat(FaultKinds, OperatorFaultKinds, VirtualFaultKinds))
	v.requireRange(prefix+"at_s", fault.StartSeconds, 0, e.Seconds)
	v.requireRange(prefix+"for_s", fault.DurationSeconds, 0, 1e6)
	v.requireRange(prefix+"share", fault.Share, 0, 1)
	v.requireRange(prefix+"factor", fault.Factor, 0, 1e6)
	v.requireRange(prefix+"chance", fault.Chance, 0, 1)
	v.requireRange(prefix+"every_ms", fault.EveryMs, 0, maxValue)
	v.requireRange(prefix+"pause_ms", fault.PauseMs, 0, maxValue)
	v.require(fault.Count >= 0, prefix+"count", "%d is below 0", fault.Count)
	if fault.Machine != "" {
		isKnown := slices.ContainsFunc(e.Machines, func(machine Machine) bool { return machine.Name == fault.Machine })
		v.require(isKnown, prefix+"machine", "%q is not among the machines", fault.Machine)
	}
	if fault.Zone != "" {
		v.require(slices.Contains(e.Fleet.Zones, fault.Zone), prefix+"zone", "%q is not among the fleet's zones", fault.Zone)
	}
	e.validateFaultTargets(v, prefix, fault)
	validateFaultSettings(v, prefix, fault)
}

// validateFaultTargets checks that a fault says whom it hits.
func (e *Experiment) validateFaultTargets(v *validator, prefix string, fault Fault) {
	switch fault.Kind {
	case FaultSwallow, FaultErrors, FaultPauses, FaultSlow, FaultCrash, FaultMachineLoss, FaultWrongReports, FaultScaleDown,
		FaultScaleUp, FaultNodeCrash, FaultCordon, FaultQuiesce, FaultUpgrade, FaultStuckReports, FaultConnectionLimit:
		v.require(fault.Share > 0 || fault.Count > 0, prefix+"share", "give share or count above 0")
	case FaultZonePartition:
		v.require(fault.Zone != "" && len(e.Fleet.Zones) > 1, prefix+"zone", "give the zone that is cut off, of two at least")
	case FaultCostly, FaultPoisonRequests:
		isKnown := slices.ContainsFunc(e.Classes, func(class Class) bool { return class.Name == fault.Class })
		v.require(isKnown, prefix+"category", "%q is not among the categories", fault.Class)
	}
}

// validateFaultSettings checks that a fault has the settings without which its kind does nothing.
func validateFaultSettings(v *validator, prefix string, fault Fault) {
	const wanted = "give it above 0"
	switch fault.Kind {
	case FaultSlow, FaultBurst, FaultCostly, FaultWrongReports, FaultListDelay, FaultStuckReports, FaultConnectionLimit:
		v.require(fault.Factor > 0, prefix+"factor", wanted)
	case FaultPauses:
		hasBoth := fault.EveryMs > 0 && fault.PauseMs > 0
		v.require(hasBoth && fault.PauseMs < fault.EveryMs, prefix+"pause_ms", "give it and a longer every_ms")
	case FaultScaleUp:
		v.require(fault.StartSeconds > 0, prefix+"at_s", wanted)
	case FaultPoisonRequests:
		v.require(fault.PauseMs > 0, prefix+"pause_ms", wanted)
	}
	switch fault.Kind {
	case FaultErrors, FaultCostly, FaultPoisonRequests:
		v.require(fault.Chance > 0, prefix+"chance", wanted)
	}
}
