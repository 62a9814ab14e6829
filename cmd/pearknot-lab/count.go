package main

import (
	"os"
	"path/filepath"
	"strings"

	"github.com/spf13/cobra"

	"pearknot/internal/cli"
	"pearknot/internal/lab/logstats"
)

// countCommand counts over a fleet's logs.
func countCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "count DIR",
		Short: "Count attempts, connections and waits over the logs of a whole fleet",
		Long: `Reads the .log files of a folder, one for each node, as nodes write them with -log debug, and counts over all of them: how
attempts ended, why connections were opened, which requests were not served, and how long attempts waited by what their node last
met there.`,
		Args: cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			files, err := filepath.Glob(filepath.Join(args[0], "*.log"))
			if err != nil || len(files) == 0 {
				return cli.UsageError(&os.PathError{Op: "count", Path: args[0], Err: os.ErrNotExist})
			}
			count := logstats.New()
			for _, file := range files {
				if err := countLog(count, file); err != nil {
					return err
				}
			}
			count.ComputeWaits()
			return count.Write(command.OutOrStdout())
		},
	}
}

// countLog adds a node's log, which is named after the node.
func countLog(count *logstats.Stats, file string) error {
	log, err := os.Open(file)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	return count.Read(strings.TrimSuffix(filepath.Base(file), ".log"), log)
}
