// Command pearknot is the load balancer: its node, the agent that looks after many nodes of a host, members of the control
// plane, and the operators' tools for all of them.
package main

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"syscall"

	"github.com/spf13/cobra"
	"gopkg.in/natefinch/lumberjack.v2"

	"pearknot/internal/cli"
	"pearknot/internal/node"
	"pearknot/internal/serve"
)

// Bounds of a log file and of its rotated predecessors.
const (
	maxLogMB    = 20
	rotatedLogs = 5
)

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

// run executes a command line and returns the exit status.
func run(args []string, out, errs io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	root := nodeCommand("pearknot", "serve")
	root.Short = "A load balancer's node, and the agent and tool for many of them"
	root.Long = `pearknot is a load balancer's node. Without a command it serves, as 'pearknot serve' does.

Exit status: 0 done, 1 failed, 2 the command line or an operator's file can't be read, 3 a check says no, or another
operator's command came first.`
	root.Args = nil // an unknown word is an unknown command, whatever follows it
	root.SilenceUsage, root.SilenceErrors = true, true
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return cli.UsageError(err) })
	serveCommand, check := nodeCommand("serve", "serve"), nodeCommand("check", "check")
	serveCommand.Short = "Serve clients in the foreground until SIGTERM"
	check.Short = "Read the configuration, print what it says, and end"
	root.AddCommand(serveCommand, check, &cobra.Command{Use: "version", Short: "Print the version", Args: cobra.NoArgs,
		Run: func(c *cobra.Command, _ []string) { fmt.Fprintln(c.OutOrStdout(), "pearknot", cli.Version()) }},
		agentCommand(), fleetCommand(), replayCommand(), explainCommand(), captureCommand(), certsCommand(), clientsCommand(), callCommand(), peersCommand(), controlPlaneCommand(), configCommand())
	root.SetArgs(withLongFlags(args))
	root.SetOut(out)
	root.SetErr(errs)
	return cli.Exit("pearknot", root.ExecuteContext(ctx), errs)
}

// longFlags takes the node's flags with one dash too, as they always were.
func withLongFlags(args []string) []string {
	long := make([]string, 0, len(args))
	for k, a := range args {
		if a == "--" {
			return append(long, args[k:]...)
		}
		for _, name := range []string{"-config", "-log"} {
			if a == name || strings.HasPrefix(a, name+"=") {
				a = "-" + a
				break
			}
		}
		long = append(long, a)
	}
	return long
}

// nodeCommand returns the command that serves, or the one that checks a configuration.
func nodeCommand(use, what string) *cobra.Command {
	var file, logFile, captureFile, tlsFile, peersFile, planeFile string
	var o serve.Options
	level := slog.LevelInfo
	c := &cobra.Command{Use: use, Args: cobra.NoArgs, RunE: func(c *cobra.Command, _ []string) error {
		var again chan os.Signal
		if what == "serve" { // first of all: an unhandled SIGHUP would end the process
			again = serve.NotifyReload()
		}
		sink := c.ErrOrStderr()
		if logFile != "" {
			rotated := &lumberjack.Logger{Filename: logFile, MaxSize: maxLogMB, MaxBackups: rotatedLogs}
			defer func() { _ = rotated.Close() }()
			sink = rotated
		}
		log := slog.New(slog.NewTextHandler(sink, &slog.HandlerOptions{Level: level}))
		if what == "serve" {
			if err := serve.WriteLockHolder(); err != nil {
				return err
			}
		}
		p, err := serve.ReadConfig(file, log)
		switch {
		case err != nil:
			return err
		case o.AdmissionFile != "":
			if _, err := serve.ReadAdmission(o.AdmissionFile); err != nil {
				return cli.UsageError(err)
			}
		}
		if what == "check" {
			fmt.Fprintln(c.OutOrStdout(), p)
			return nil
		}
		if captureFile != "" {
			if o.Capture, err = serve.ReadCapture(captureFile); err != nil {
				return cli.UsageError(err)
			}
		}
		if tlsFile != "" {
			if o.TLS, err = serve.ReadTLS(tlsFile); err != nil {
				return cli.UsageError(err)
			}
		}
		if peersFile != "" {
			if o.Peers, err = serve.ReadPeers(peersFile); err != nil {
				return cli.UsageError(err)
			}
		}
		if planeFile != "" {
			if o.ControlPlane, err = readControlPlane(planeFile); err != nil {
				return err
			}
		}
		o.NewDecider, o.Version, o.Token = node.NewBalancer, cli.Version(), os.Getenv(serve.TokenVariable)
		if e := os.Getenv(serve.EpochVariable); e != "" {
			if o.Epoch, err = strconv.ParseUint(e, 10, 64); err != nil {
				return fmt.Errorf("%s: %w", serve.EpochVariable, err)
			}
		}
		return serve.Run(c.Context(), again, p, o, log)
	}}
	c.Flags().StringVar(&file, "config", os.Getenv("ROUTER_CONFIG"), "configuration file (default $ROUTER_CONFIG)")
	c.Flags().StringVar(&o.AdmissionFile, "edge", "", "file of the admission of connections when descriptors run short, such as deploy/edge.toml")
	c.Flags().TextVar(&level, "log", slog.LevelInfo, "minimum level of log lines: debug, info, warn, error")
	if what == "serve" {
		c.Flags().StringVar(&o.ControlSocket, "control", "", "path of a control socket")
		c.Flags().StringVar(&captureFile, "capture", "", "file of a capture, such as deploy/capture.toml")
		c.Flags().StringVar(&tlsFile, "tls", "", "file of a TLS listener and its certificates, such as deploy/tls.toml")
		c.Flags().StringVar(&peersFile, "peers", "", "file of the processes that log requests in flight for each other, such as deploy/peers.toml")
		c.Flags().StringVar(&planeFile, "control-plane", "", "file of the control plane whose settings it follows, such as deploy/control-plane.toml")
		c.Flags().BoolVar(&o.OutOfService, "held", false, "stay out of service until the control socket says otherwise")
		c.Flags().StringVar(&logFile, "log-file", "", "log to a file, rotated, and not to standard error")
	}
	return c
}
