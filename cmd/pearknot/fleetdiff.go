package main

import (
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/spf13/cobra"

	"pearknot/internal/agent"
	"pearknot/internal/cli"
	"pearknot/internal/fleet"
)

// diffCommand returns the command that prints what apply would change.
func (c *fleetCommands) diffCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "diff FILE",
		Short: "Print what apply would change",
		Args:  cobra.ExactArgs(1),
		RunE:  c.diff,
	}
}

func (c *fleetCommands) diff(command *cobra.Command, args []string) error {
	instances, configs, err := agent.ReadFleet(args[0])
	if err != nil {
		return cli.UsageError(err)
	}
	view, err := c.view(command.Context())
	if err != nil {
		return err
	}
	differences := fleetDifferences(view, instances, configs)
	if err := c.show(command, differences, func(out io.Writer) {
		for _, difference := range differences {
			fmt.Fprintf(out, "%s\t%s\t%s\t%s\n", difference.Name, difference.What, difference.Was, difference.Now)
		}
	}); err != nil {
		return err
	}
	if len(differences) > 0 {
		return &cli.Error{Status: cli.StatusCheckFailed, Err: errors.New("differs"), Silent: true}
	}
	return nil
}

// fleetDifference holds one value that differs between the declared fleet and a file.
type fleetDifference struct {
	Name string `json:"name"`
	What string `json:"what"` // new, gone, or what differs
	Was  string
	Now  string
}

// fleetDifferences returns the differences between the declared instances and those of a file, sorted by name.
func fleetDifferences(view agent.View, instances []fleet.Instance, configs map[string]string) []fleetDifference {
	differences := []fleetDifference{}
	declared := map[string]fleet.Instance{}
	for _, instance := range view.Instances {
		if instance.Declared != nil {
			declared[instance.Name] = *instance.Declared
		}
	}
	for _, instance := range instances {
		former, isDeclared := declared[instance.Name]
		delete(declared, instance.Name)
		if !isDeclared {
			differences = append(differences, fleetDifference{instance.Name, "new", "", instance.Listen})
			continue
		}
		digest := agent.Digest(configs[instance.Name])
		for _, difference := range []fleetDifference{
			{instance.Name, "listen", former.Listen, instance.Listen},
			{instance.Name, "list", former.Discovery, instance.Discovery},
			{instance.Name, "configuration", former.Digest[:min(12, len(former.Digest))], digest[:12]},
			{instance.Name, "state", string(former.Desired), string(instance.Desired)},
		} {
			if difference.Was != difference.Now {
				differences = append(differences, difference)
			}
		}
	}
	for name, instance := range declared {
		differences = append(differences, fleetDifference{name, "gone", instance.Listen, ""})
	}
	slices.SortStableFunc(differences, func(a, b fleetDifference) int { return strings.Compare(a.Name, b.Name) })
	return differences
}
