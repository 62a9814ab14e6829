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

// statusCommand prints the members and the nodes that are behind.
func (t *configTool) statusCommand() *cobra.Command {
	var watch bool
	command := &cobra.Command{
		Use: "status",
		Short: "The version, the members, nodes behind and by how long; " +
			"3 while one is behind for over 6 s or refuses, or a member does not answer",
		Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			return t.status(command, watch)
		},
	}
	command.Flags().BoolVar(&watch, "watch", false, "again every second")
	return command
}

func (t *configTool) status(command *cobra.Command, watch bool) error {
	for {
		controlPlane, ctx, cancel, err := t.controlPlane(command)
		if err != nil {
			return err
		}
		report := client.NewReport(controlPlane.MemberStatuses(ctx))
		cancel()
		if watch && !t.json {
			fmt.Fprint(command.OutOrStdout(), clearScreen)
		}
		if err := t.printReport(command.OutOrStdout(), report); err != nil {
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
func (t *configTool) printReport(out io.Writer, report *client.Report) error {
	if t.json {
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
		fmt.Fprintln(table, "node behind\tregion\tin force\tstored\tfor\tmember\trefuses")
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

// formatSeconds returns a number of ms as seconds, for a table.
func formatSeconds(ms *float64) string {
	if ms == nil {
		return "unknown"
	}
	return fmt.Sprintf("%.1f s", *ms/1e3)
}
