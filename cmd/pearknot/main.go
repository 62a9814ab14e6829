// Command pearknot is one real node on sockets.
package main

import (
	"flag"
	"fmt"
	"io"
	"log/slog"
	"os"
	"runtime/debug"

	"pearknot/internal/node"
	"pearknot/internal/serve"
)

const usage = `pearknot is a load balancer's node.

usage:
  pearknot [serve] [flags]   serve clients until SIGTERM
  pearknot check [flags]     read the configuration, tell what it says, and end
  pearknot version           tell the version

Flags of serve and check: -config FILE (default $ROUTER_CONFIG), -log LEVEL (debug, info, warn, error).
`

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

// run gives the exit status: 1 for what fails, 2 for a command line that can't be read.
func run(args []string, out, errs io.Writer) int {
	command := "serve"
	if len(args) > 0 && args[0] != "" && args[0][0] != '-' {
		command, args = args[0], args[1:]
	}
	flags := flag.NewFlagSet("pearknot "+command, flag.ContinueOnError)
	flags.SetOutput(errs)
	flags.Usage = func() { fmt.Fprint(errs, usage) }
	file := flags.String("config", os.Getenv("ROUTER_CONFIG"), "configuration file")
	level := slog.LevelInfo
	flags.TextVar(&level, "log", slog.LevelInfo, "least level of log lines")
	switch err := flags.Parse(args); {
	case err == flag.ErrHelp:
		return 0
	case err != nil:
		return 2
	case flags.NArg() > 0:
		fmt.Fprintf(errs, "pearknot %s: unexpected %q\n", command, flags.Arg(0))
		return 2
	}
	log := slog.New(slog.NewTextHandler(errs, &slog.HandlerOptions{Level: level}))
	var err error
	switch command {
	case "serve", "check":
		var p *serve.Place
		switch p, err = serve.Read(*file, log); {
		case err != nil:
		case command == "serve":
			err = serve.Run(p, node.Module, version(), log)
		default:
			fmt.Fprintln(out, p)
		}
	case "version":
		fmt.Fprintln(out, "pearknot", version())
	case "help":
		fmt.Fprint(out, usage)
	default:
		fmt.Fprintf(errs, "pearknot: unknown command %q\n%s", command, usage)
		return 2
	}
	if err != nil {
		fmt.Fprintln(errs, "pearknot:", err)
		return 1
	}
	return 0
}

func version() string {
	if info, ok := debug.ReadBuildInfo(); ok {
		return info.Main.Version
	}
	return "unknown"
}
