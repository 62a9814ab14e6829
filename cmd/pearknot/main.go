// Command pearknot runs the load balancer's nodes, the agent that manages the nodes of a host, and the members of the
// control plane, and provides the operators' tools for all of them.
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

// Limits of log file rotation.
const (
	maxLogMB       = 20
	maxRotatedLogs = 5
)

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

// run executes a command line and returns the exit status.
func run(args []string, out, errs io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	root := nodeCommand("pearknot", "serve")
	root.Short = "HTTP load balancer: node, host agent, control plane and operators' tools"
	root.Long = `pearknot is a load balancer's node. Without a command it serves, as 'pearknot serve' does.

Exit status: 0 done, 1 failed, 2 the command line or an operator's file can't be read, 3 a check failed, or another
operator's change came first.`
	root.Args = nil // an unknown word is an unknown command, whatever follows it
	root.SilenceUsage, root.SilenceErrors = true, true
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return cli.UsageError(err) })
	serveCommand, checkCommand := nodeCommand("serve", "serve"), nodeCommand("check", "check")
	serveCommand.Short = "Serve clients in the foreground until SIGTERM"
	checkCommand.Short = "Read the configuration, print a summary, and exit"
	root.AddCommand(
		serveCommand,
		checkCommand,
		versionCommand(),
		agentCommand(),
		fleetCommand(),
		replayCommand(),
		explainCommand(),
		captureCommand(),
		certsCommand(),
		clientsCommand(),
		callCommand(),
		peersCommand(),
		controlPlaneCommand(),
		configCommand(),
	)
	root.SetArgs(withLongFlags(args))
	root.SetOut(out)
	root.SetErr(errs)
	return cli.Exit("pearknot", root.ExecuteContext(ctx), errs)
}

func versionCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version",
		Args:  cobra.NoArgs,
		Run: func(command *cobra.Command, _ []string) {
			fmt.Fprintln(command.OutOrStdout(), "pearknot", cli.Version())
		},
	}
}

// withLongFlags gives -config and -log, the node's oldest flags, a second dash: operators' scripts use the form with one.
func withLongFlags(args []string) []string {
	long := make([]string, 0, len(args))
	for i, arg := range args {
		if arg == "--" {
			return append(long, args[i:]...)
		}
		for _, name := range []string{"-config", "-log"} {
			if arg == name || strings.HasPrefix(arg, name+"=") {
				arg = "-" + arg
				break
			}
		}
		long = append(long, arg)
	}
	return long
}

// nodeFlags holds the flags of serve and check.
type nodeFlags struct {
	configFile       string
	captureFile      string
	tlsFile          string
	peersFile        string
	controlPlaneFile string
	logFile          string
	logLevel         slog.Level
	options          serve.Options
}

// nodeCommand returns the command that serves, or the one that checks a configuration.
func nodeCommand(use, action string) *cobra.Command {
	nodeFlags := &nodeFlags{logLevel: slog.LevelInfo}
	run := nodeFlags.check
	if action == "serve" {
		run = nodeFlags.serve
	}
	command := &cobra.Command{Use: use, Args: cobra.NoArgs, RunE: run}
	nodeFlags.addTo(command)
	if action == "serve" {
		nodeFlags.addServeFlagsTo(command)
	}
	return command
}

// addTo adds the flags that serve and check have in common.
func (n *nodeFlags) addTo(command *cobra.Command) {
	flags := command.Flags()
	flags.StringVar(&n.configFile, "config", os.Getenv("ROUTER_CONFIG"), "configuration file (default $ROUTER_CONFIG)")
	flags.StringVar(&n.options.AdmissionFile, "edge", "",
		"file of connection admission when file descriptors run short, such as deploy/edge.toml")
	flags.TextVar(&n.logLevel, "log", slog.LevelInfo, "minimum level of log lines: debug, info, warn, error")
}

// addServeFlagsTo adds the flags of serve alone.
func (n *nodeFlags) addServeFlagsTo(command *cobra.Command) {
	flags := command.Flags()
	flags.StringVar(&n.options.ControlSocket, "control", "", "path of a control socket")
	flags.StringVar(&n.captureFile, "capture", "", "file of capture settings, such as deploy/capture.toml")
	flags.StringVar(&n.tlsFile, "tls", "", "file of a TLS listener and its certificates, such as deploy/tls.toml")
	flags.StringVar(&n.peersFile, "peers", "",
		"file of the peers that replicate each other's logs of requests in flight, such as deploy/peers.toml")
	flags.StringVar(&n.controlPlaneFile, "control-plane", "",
		"file of the control plane whose settings the node follows, such as deploy/control-plane.toml")
	flags.BoolVar(&n.options.OutOfService, "held", false,
		"start out of service, until put into service over the control socket")
	flags.StringVar(&n.logFile, "log-file", "", "log to this file, with rotation, instead of standard error")
}

// logger returns a logger to standard error, or to the log file if one is given, and the function that closes it.
func (n *nodeFlags) logger(command *cobra.Command) (log *slog.Logger, closeLog func()) {
	sink, closeLog := command.ErrOrStderr(), func() {}
	if n.logFile != "" {
		rotated := &lumberjack.Logger{Filename: n.logFile, MaxSize: maxLogMB, MaxBackups: maxRotatedLogs}
		sink, closeLog = rotated, func() { _ = rotated.Close() }
	}
	return slog.New(slog.NewTextHandler(sink, &slog.HandlerOptions{Level: n.logLevel})), closeLog
}

// check prints a summary of the configuration.
func (n *nodeFlags) check(command *cobra.Command, _ []string) error {
	log, closeLog := n.logger(command)
	defer closeLog()
	config, err := serve.ReadConfig(n.configFile, log)
	if err != nil {
		return err
	}
	if err := n.checkAdmissionFile(); err != nil {
		return err
	}
	fmt.Fprintln(command.OutOrStdout(), config)
	return nil
}

// serve runs a node until SIGTERM.
func (n *nodeFlags) serve(command *cobra.Command, _ []string) error {
	reload := serve.NotifyReload() // before anything else: an unhandled SIGHUP would end the process
	log, closeLog := n.logger(command)
	defer closeLog()
	if err := serve.WriteLockHolder(); err != nil {
		return err
	}
	config, err := serve.ReadConfig(n.configFile, log)
	if err != nil {
		return err
	}
	if err := n.checkAdmissionFile(); err != nil {
		return err
	}
	if err := n.readFiles(); err != nil {
		return err
	}
	n.options.NewDecider, n.options.Version = node.NewBalancer, cli.Version()
	n.options.Token = os.Getenv(serve.TokenVariable)
	if epoch := os.Getenv(serve.EpochVariable); epoch != "" {
		if n.options.Epoch, err = strconv.ParseUint(epoch, 10, 64); err != nil {
			return fmt.Errorf("%s: %w", serve.EpochVariable, err)
		}
	}
	return serve.Run(command.Context(), reload, config, n.options, log)
}

// checkAdmissionFile refuses an unreadable --edge file at the start. The node reads the file itself, again on each
// reload.
func (n *nodeFlags) checkAdmissionFile() error {
	if n.options.AdmissionFile == "" {
		return nil
	}
	if _, err := serve.ReadAdmission(n.options.AdmissionFile); err != nil {
		return cli.UsageError(err)
	}
	return nil
}

// readFiles reads the files that the flags name into the options.
func (n *nodeFlags) readFiles() (err error) {
	if n.captureFile != "" {
		if n.options.Capture, err = serve.ReadCapture(n.captureFile); err != nil {
			return cli.UsageError(err)
		}
	}
	if n.tlsFile != "" {
		if n.options.TLS, err = serve.ReadTLS(n.tlsFile); err != nil {
			return cli.UsageError(err)
		}
	}
	if n.peersFile != "" {
		if n.options.Peers, err = serve.ReadPeers(n.peersFile); err != nil {
			return cli.UsageError(err)
		}
	}
	if n.controlPlaneFile != "" {
		if n.options.ControlPlane, err = readControlPlane(n.controlPlaneFile); err != nil {
			return err
		}
	}
	return nil
}
