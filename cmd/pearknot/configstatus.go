package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"pearknot/internal/cli"
	"pearknot/internal/controlplane/client"
)

// statusCommand returns the command that prints the members and the nodes that are behind.
func (c *configCommands) statusCommand() *cobra.Command {
	var watch bool
	command := &cobra.Command{
		Use: "status",
		Short: "Show the version, the members, and which nodes are behind and for how long; " +
			"exit status 3 while one is behind for over 6 s or refuses, or a member does not answer",
		Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			return c.status(command, watch)
		},
	}
	command.Flags().BoolVar(&watch, "watch", false, "repeat every second")
	return command
}

func (c *configCommands) status(command *cobra.Command, watch bool) error {
	for {
		controlPlane, ctx, cancel, err := c.controlPlane(command)
		if err != nil {
			return err
		}
		report := client.NewReport(controlPlane.MemberStatuses(ctx))
		cancel()
		if watch && !c.json {
			fmt.Fprint(command.OutOrStdout(), clearScreen)
		}
		if err := c.printReport(command.OutOrStdout(), report); err != nil {
			return err
		}
		if !watch {
			if problem := report.FirstProblem(); problem != "" {
				return &cli.Error{Status: cli.StatusCheckFailed, Err: errors.New(problem), Silent: true}
			}
			return nil
		}
		select {
		case <-command.Context().Done():
			return nil
		case <-time.After(watchInterval):
		}
	}
}

// printReport prints the state of the control plane: members, regions, and nodes that are behind.
func (c *configCommands) printReport(out io.Writer, report *client.Report) error {
	if c.json {
		return json.NewEncoder(out).Encode(report)
	}
	leader := report.Leader
	if leader == "" {
		leader = "none known"
	}
	fmt.Fprintf(out, "version %d, digest %.12s, leader %s\n", report.Version, report.Digest, leader)
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	printMembers(table, report.Members)
	printRegions(table, report.Regions)
	printNodesBehind(table, report.Behind)
	return table.Flush()
}

func printMembers(table io.Writer, members []client.ReportMember) {
	fmt.Fprintln(table, "member\tregion\trole\thead\tage\tnodes\tfollows")
	for _, member := range members {
		role := "relay"
		if member.Voter {
			role = "voter"
		}
		if member.UnreachableReason != "" {
			fmt.Fprintf(table, "%s\t%s\t%s\tunknown\t\t\t%s\n",
				member.Name, member.Region, role, member.UnreachableReason)
			continue
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%s\t%d\t%s\n", member.Name, member.Region, role,
			member.Head, formatSeconds(member.StalenessMs), member.Nodes, member.Follows)
	}
}

func printRegions(table io.Writer, regions []client.ReportRegion) {
	fmt.Fprintln(table, "region\tnodes\tbehind\tworst")
	for _, region := range regions {
		fmt.Fprintf(table, "%s\t%d\t%d\t%s\n",
			region.Region, region.Nodes, region.Behind, formatSeconds(&region.WorstBehindMs))
	}
}

func printNodesBehind(table io.Writer, nodes []client.ReportNode) {
	if len(nodes) > 0 {
		fmt.Fprintln(table, "node behind\tregion\tin force\tstored\tbehind for\tmember\trefuses")
	}
	for _, node := range nodes {
		rejection := ""
		if node.RejectedVersion > node.AppliedVersion {
			rejection = fmt.Sprintf("%d: %s", node.RejectedVersion, node.RejectReason)
		}
		fmt.Fprintf(table, "%s\t%s\t%d\t%d\t%s\t%s\t%s\n", node.Name, node.Region,
			node.AppliedVersion, node.StoredVersion, formatSeconds(&node.BehindMs), node.Member, rejection)
	}
}

// formatSeconds formats a duration in ms as seconds, for a table; nil is unknown.
func formatSeconds(ms *float64) string {
	if ms == nil {
		return "unknown"
	}
	return fmt.Sprintf("%.1f s", *ms/1e3)
}
