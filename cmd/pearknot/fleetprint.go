package main

import (
	"cmp"
	"fmt"
	"io"

	"pearknot/internal/agent"
	"pearknot/internal/fleet"
)

// printChange prints a change in one line.
func printChange(out io.Writer, change fleet.Change) {
	fmt.Fprintf(out, "change %d\t%s\t%s\tby %s\t%s\tgeneration %d to %d\t%d of %d instances\t%s\n",
		change.ID, change.Status, change.Command, change.Author, change.Reason,
		change.From, change.To, len(change.Healthy), len(change.Order), change.Failure)
}

// printFleet prints the declared and the observed state of each instance, and how old the observation is.
func printFleet(out io.Writer, view agent.View) {
	fmt.Fprintf(out, "revision %d, generation %d\n", view.Revision, view.Generation)
	if view.WriteError != "" {
		fmt.Fprintf(out, "the state can't be written, no changes until it can: %s\n", view.WriteError)
	}
	if change := view.Change; change != nil && !change.Status.IsFinal() {
		printChange(out, *change)
	}
	fmt.Fprintln(out, "instance\twanted\tverdict\tseen\tago\tlisten\tconfiguration\t"+
		"pid\trequests\tMB\tcertificate\tsettings\twhy")
	for _, instance := range view.Instances {
		printInstance(out, instance, view.Now)
	}
}

// printInstance prints an instance's line of the table.
func printInstance(out io.Writer, instance agent.InstanceView, now float64) {
	observation := instance.Observation
	desired, listen := "none", ""
	if instance.Declared != nil {
		desired, listen = string(instance.Declared.Desired), instance.Declared.Listen
	}
	age := "never"
	if observation.ObservedAt > 0 {
		age = fmt.Sprintf("%.1f s", max(0, (now-observation.ObservedAt)/1e3))
	}
	phase := string(observation.Phase)
	if observation.InService {
		phase = "in service"
	}
	digest := observation.Digest[:min(8, len(observation.Digest))]
	fmt.Fprintf(out, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t",
		instance.Name, desired, instance.Verdict, phase, age, listen, digest)
	fmt.Fprintf(out, "%d\t%d\t%.0f\t%s\t%s\t%s\n", observation.PID, observation.OpenRequests, observation.MemoryMB,
		certificateTimeLeft(observation, now), cmp.Or(observation.Settings, "-"), instance.Reason)
}

// certificateTimeLeft returns the stage of the instance's certificate that expires first, and how long it is still valid.
func certificateTimeLeft(observation fleet.Observation, now float64) string {
	const dayMs = 24 * 3600e3
	switch {
	case observation.CertStage == "":
		return "-"
	case observation.CertExpiry == 0:
		return observation.CertStage
	}
	return fmt.Sprintf("%s, %.1f d", observation.CertStage, (observation.CertExpiry-now)/dayMs)
}
