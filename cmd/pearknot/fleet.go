package main

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"pearknot/internal/agent"
	"pearknot/internal/cli"
	"pearknot/internal/controlsocket"
	"pearknot/internal/fleet"
)

// agentCallTimeout bounds a call to the agent. It is longer than the 60 s for which a call may wait for a change.
const agentCallTimeout = 70 * time.Second

// agentRetryDelay is the time between calls while the agent does not answer.
const agentRetryDelay = 200 * time.Millisecond

// fleetTool is what the fleet commands have in common: the values of their flags.
type fleetTool struct {
	socket      string
	json        bool
	reason      string
	revision    int64 // below 0: the current one
	wait        bool
	waitTimeout time.Duration
	options     fleet.Options // values below those that are allowed stand for the agent's own
	dryRun      bool
}

// client returns a client of the agent's socket.
func (t *fleetTool) client() *controlsocket.Client {
	return controlsocket.NewClient(t.socket, agentCallTimeout)
}

// view asks the agent for the fleet.
func (t *fleetTool) view(ctx context.Context) (agent.View, error) {
	var view agent.View
	err := t.client().Call(ctx, http.MethodGet, agent.FleetPath, nil, &view)
	return view, err
}

// fleetCommand declares, shows and changes the instances of a host.
func fleetCommand() *cobra.Command {
	tool := &fleetTool{}
	root := &cobra.Command{
		Use:   "fleet",
		Short: "Declare, show, change and roll back the instances of a host",
		Long: `fleet speaks with the agent of this host over its socket.

Every change is made from a revision of the fleet, the one just read where --revision is not given. Of two conflicting
ones exactly one is taken; the other gets an error that says what came first, and exits with 3.

Exit status: 0 done, 1 failed (also a change that was rolled back), 2 the command line or a file can't be read, 3 not all
is as wanted (status), something differs (diff), or another's change came first.`,
		PersistentPreRunE: func(*cobra.Command, []string) error {
			if tool.socket == "" {
				return cli.UsageError(errors.New("no agent: give --socket or set PEARKNOT_AGENT"))
			}
			return nil
		},
	}
	flags := root.PersistentFlags()
	flags.StringVar(&tool.socket, "socket", os.Getenv("PEARKNOT_AGENT"),
		"the agent's socket (default $PEARKNOT_AGENT)")
	flags.BoolVar(&tool.json, "json", false, "JSON for programs")
	root.AddCommand(
		tool.applyCommand(),
		tool.diffCommand(),
		tool.statusCommand(),
		tool.lifecycleCommand("start"),
		tool.lifecycleCommand("stop"),
		tool.lifecycleCommand("restart"),
		tool.reconfigureCommand(),
		tool.rollbackCommand(),
		tool.historyCommand(),
		tool.logsCommand(),
		tool.watchCommand(),
	)
	return root
}

// withChangeFlags adds the flags of commands that change the fleet.
func (t *fleetTool) withChangeFlags(command *cobra.Command) *cobra.Command {
	flags := command.Flags()
	flags.StringVar(&t.reason, "reason", "", "why, for the history")
	flags.Int64Var(&t.revision, "revision", -1, "the revision that this was made from")
	flags.BoolVar(&t.wait, "wait", false, "wait for the end of the change")
	flags.DurationVar(&t.waitTimeout, "within", 10*time.Minute, "wait no longer")
	flags.BoolVar(&t.dryRun, "dry-run", false, "only print what would be changed")
	flags.IntVar(&t.options.MaxUnavailable, "at-once", 0, "instances out of service at a time (default: the agent's)")
	flags.IntVar(&t.options.Canary, "canary", -1, "instances that go first (default: the agent's)")
	flags.Float64Var(&t.options.HealthMs, "health-ms", -1, "time that one must stay well (default: the agent's)")
	flags.BoolVar(&t.options.NoRollback, "no-revert", false, "stop on failure and leave it there")
	_ = command.MarkFlagRequired("reason")
	return command
}

// changeOptions returns the agent's options with those that the flags give in their place.
func (t *fleetTool) changeOptions(agentOptions fleet.Options) *fleet.Options {
	options := agentOptions
	if t.options.MaxUnavailable > 0 {
		options.MaxUnavailable = t.options.MaxUnavailable
	}
	if t.options.Canary >= 0 {
		options.Canary = t.options.Canary
	}
	if t.options.HealthMs >= 0 {
		options.HealthMs = t.options.HealthMs
	}
	options.NoRollback = options.NoRollback || t.options.NoRollback
	return &options
}

// write sends a change and, with --wait, waits for its end.
func (t *fleetTool) write(command *cobra.Command, write agent.Write) error {
	ctx := command.Context()
	view, err := t.view(ctx)
	if err != nil {
		return err
	}
	write.Revision, write.Reason, write.DryRun = view.Revision, t.reason, t.dryRun
	write.Options = t.changeOptions(view.Rolling)
	if t.revision >= 0 {
		write.Revision = uint64(t.revision)
	}
	var written agent.Written
	err = t.client().Call(ctx, http.MethodPost, agent.WritePath, write, &written)
	var refused *controlsocket.ResponseError
	if errors.As(err, &refused) {
		switch refused.Status {
		case http.StatusConflict:
			return &cli.Error{Status: cli.StatusCheckFailed, Err: err}
		case agent.NothingToChange:
			fmt.Fprintln(command.OutOrStdout(), "nothing to change")
			return nil
		}
	}
	if err != nil {
		return err
	}
	if t.dryRun {
		return t.show(command, written, func(out io.Writer) {
			names := strings.Join(written.Instances, " ")
			fmt.Fprintf(out, "would touch %d instances: %s\n", len(written.Instances), names)
		})
	}
	if t.wait {
		if written.Change, err = t.waitForChange(ctx, written.Change.ID); err != nil {
			return err
		}
	}
	change := written.Change
	if err := t.show(command, written, func(out io.Writer) { printChange(out, change) }); err != nil {
		return err
	}
	isDone := change.Status == fleet.Succeeded || write.Command == "rollback" && change.Status == fleet.RolledBack
	if t.wait && !isDone {
		err := fmt.Errorf("change %d: %s: %s", change.ID, change.Status, change.Failure)
		return &cli.Error{Status: cli.StatusFailed, Err: err}
	}
	return nil
}

// waitForChange waits until a change is over.
func (t *fleetTool) waitForChange(ctx context.Context, id uint64) (fleet.Change, error) {
	ctx, cancel := context.WithTimeout(ctx, t.waitTimeout)
	defer cancel()
	since := uint64(0)
	for {
		path := fmt.Sprintf("%s?since=%d&wait_ms=5000", agent.FleetPath, since)
		var view agent.View
		err := t.client().Call(ctx, http.MethodGet, path, nil, &view)
		switch {
		case ctx.Err() != nil:
			return fleet.Change{}, fmt.Errorf("change %d is not over after %v", id, t.waitTimeout)
		case err != nil: // the agent may be restarting
			select {
			case <-time.After(agentRetryDelay):
			case <-ctx.Done():
			}
			since = 0 // the next agent counts its views anew
			continue
		case view.Change != nil && view.Change.ID == id && view.Change.Status.IsFinal():
			return *view.Change, nil
		case view.Change != nil && view.Change.ID > id:
			return fleet.Change{}, fmt.Errorf("change %d was followed by another: see history", id)
		}
		since = view.Seq
	}
}

// show prints a value for programs, or its table for people.
func (t *fleetTool) show(command *cobra.Command, value any, table func(io.Writer)) error {
	if t.json {
		encoder := json.NewEncoder(command.OutOrStdout())
		encoder.SetIndent("", " ")
		return encoder.Encode(value)
	}
	out := tabwriter.NewWriter(command.OutOrStdout(), 2, 8, 2, ' ', 0)
	table(out)
	return out.Flush()
}

// printChange prints a change in one line.
func printChange(out io.Writer, change fleet.Change) {
	fmt.Fprintf(out, "change %d\t%s\t%s\tby %s\t%s\tgeneration %d to %d\t%d of %d instances\t%s\n",
		change.ID, change.Status, change.Command, change.Author, change.Reason,
		change.From, change.To, len(change.Healthy), len(change.Order), change.Failure)
}

// applyCommand declares all instances.
func (t *fleetTool) applyCommand() *cobra.Command {
	return t.withChangeFlags(&cobra.Command{
		Use:   "apply FILE",
		Short: "Declare all instances, as a file has them",
		Args:  cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			instances, configs, err := agent.ReadFleet(args[0])
			if err != nil {
				return cli.UsageError(err)
			}
			return t.write(command, agent.Write{Command: "apply", Instances: instances, Configs: configs})
		},
	})
}

// diffCommand prints what apply would change.
func (t *fleetTool) diffCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "diff FILE",
		Short: "Tell what apply would change",
		Args:  cobra.ExactArgs(1),
		RunE:  t.diff,
	}
}

func (t *fleetTool) diff(command *cobra.Command, args []string) error {
	instances, configs, err := agent.ReadFleet(args[0])
	if err != nil {
		return cli.UsageError(err)
	}
	view, err := t.view(command.Context())
	if err != nil {
		return err
	}
	differences := fleetDifferences(view, instances, configs)
	if err := t.show(command, differences, func(out io.Writer) {
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

// fleetDifference is one value in which a file differs from what is declared.
type fleetDifference struct {
	Name string `json:"name"`
	What string `json:"what"` // new, gone, or what differs
	Was  string
	Now  string
}

// fleetDifferences compares what is declared with the instances of a file, in the order of names.
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

// printFleet prints what is declared, what was observed, and when.
func printFleet(out io.Writer, view agent.View) {
	fmt.Fprintf(out, "revision %d, generation %d\n", view.Revision, view.Generation)
	if view.WriteError != "" {
		fmt.Fprintf(out, "the state can't be written, nothing is changed until it can: %s\n", view.WriteError)
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

// certificateTimeLeft says how long the instance's certificate that expires first is still valid.
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

// statusCommand prints the fleet once, and fails if an instance is not as declared.
func (t *fleetTool) statusCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "status",
		Short: "What is declared, what was observed, and when",
		Args:  cobra.NoArgs,
		RunE:  t.status,
	}
}

func (t *fleetTool) status(command *cobra.Command, _ []string) error {
	view, err := t.view(command.Context())
	if err != nil {
		return err
	}
	if err := t.show(command, view, func(out io.Writer) { printFleet(out, view) }); err != nil {
		return err
	}
	for _, instance := range view.Instances {
		if instance.Verdict != fleet.VerdictAsDeclared {
			return &cli.Error{Status: cli.StatusCheckFailed, Err: errors.New("not all as wanted"), Silent: true}
		}
	}
	return nil
}

// lifecycleCommand starts, stops or restarts instances.
func (t *fleetTool) lifecycleCommand(verb string) *cobra.Command {
	return t.withChangeFlags(&cobra.Command{
		Use:   verb + " [NAME ...]",
		Short: strings.ToUpper(verb[:1]) + verb[1:] + " instances, all where none is named",
		RunE: func(command *cobra.Command, args []string) error {
			return t.write(command, agent.Write{Command: verb, Names: args})
		},
	})
}

// reconfigureCommand declares some instances anew.
func (t *fleetTool) reconfigureCommand() *cobra.Command {
	return t.withChangeFlags(&cobra.Command{
		Use:   "reconfigure FILE NAME [NAME ...]",
		Short: "Give some instances what a file has for them, and leave the others",
		Args:  cobra.MinimumNArgs(2),
		RunE:  t.reconfigure,
	})
}

func (t *fleetTool) reconfigure(command *cobra.Command, args []string) error {
	file, names := args[0], args[1:]
	instances, configs, err := agent.ReadFleet(file)
	if err != nil {
		return cli.UsageError(err)
	}
	write := agent.Write{Command: "reconfigure", Configs: map[string]string{}}
	for _, name := range names {
		index := slices.IndexFunc(instances, func(instance fleet.Instance) bool { return instance.Name == name })
		if index < 0 {
			return cli.UsageError(fmt.Errorf("%s: no instance %s", file, name))
		}
		write.Instances = append(write.Instances, instances[index])
		write.Configs[name] = configs[name]
	}
	return t.write(command, write)
}

// rollbackCommand rolls back the change in progress, or declares a stored generation again.
func (t *fleetTool) rollbackCommand() *cobra.Command {
	var generation uint64
	command := t.withChangeFlags(&cobra.Command{
		Use:   "rollback [--to GENERATION]",
		Short: "Roll back the change in progress, or go back to a generation",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			return t.write(command, agent.Write{Command: "rollback", To: generation})
		},
	})
	command.Flags().Uint64Var(&generation, "to", 0, "a stored generation: see history")
	return command
}

// historyCommand prints the latest changes.
func (t *fleetTool) historyCommand() *cobra.Command {
	var count int
	command := &cobra.Command{
		Use:   "history",
		Short: "Who changed what, when and why",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			return t.history(command, count)
		},
	}
	command.Flags().IntVarP(&count, "lines", "n", 20, "changes at most")
	return command
}

func (t *fleetTool) history(command *cobra.Command, count int) error {
	var history agent.History
	path := agent.HistoryPath + "?n=" + strconv.Itoa(count)
	if err := t.client().Call(command.Context(), http.MethodGet, path, nil, &history); err != nil {
		return err
	}
	return t.show(command, history, func(out io.Writer) {
		fmt.Fprintf(out, "revision %d, generations kept %v\n", history.Revision, history.Generations)
		for _, change := range history.Changes {
			fmt.Fprintf(out, "%s\t", time.UnixMilli(int64(change.StartedAt)).UTC().Format(time.RFC3339))
			printChange(out, change)
		}
	})
}

// logsCommand prints the end of an instance's log.
func (t *fleetTool) logsCommand() *cobra.Command {
	var lines int
	command := &cobra.Command{
		Use:   "logs NAME",
		Short: "An instance's last log lines",
		Args:  cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			return t.logs(command, args[0], lines)
		},
	}
	command.Flags().IntVarP(&lines, "lines", "n", 50, "lines at most")
	return command
}

func (t *fleetTool) logs(command *cobra.Command, name string, lines int) error {
	var logs agent.Logs
	path := agent.LogsPath + "?lines=" + strconv.Itoa(lines) + "&name=" + url.QueryEscape(name)
	if err := t.client().Call(command.Context(), http.MethodGet, path, nil, &logs); err != nil {
		return err
	}
	return t.show(command, logs, func(out io.Writer) {
		for _, line := range append(logs.Lines, logs.Out...) {
			fmt.Fprintln(out, line)
		}
	})
}

// watchCommand prints the fleet whenever it changes.
func (t *fleetTool) watchCommand() *cobra.Command {
	var duration time.Duration
	command := &cobra.Command{
		Use:   "watch",
		Short: "The status, again whenever it changes",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			return t.watch(command, duration)
		},
	}
	command.Flags().DurationVar(&duration, "for", 0, "end after so long")
	return command
}

func (t *fleetTool) watch(command *cobra.Command, duration time.Duration) error {
	ctx := command.Context()
	if duration > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, duration)
		defer cancel()
	}
	since := "" // none yet: the first call answers at once
	for ctx.Err() == nil {
		var view agent.View
		err := t.client().Call(ctx, http.MethodGet, agent.FleetPath+"?wait_ms=5000"+since, nil, &view)
		if ctx.Err() != nil && err != nil {
			return nil
		}
		if err != nil {
			return err
		}
		next := fmt.Sprintf("&since=%d", view.Seq)
		if next == since {
			continue
		}
		since = next
		if err := t.show(command, view, func(out io.Writer) { printFleet(out, view); fmt.Fprintln(out) }); err != nil {
			return err
		}
	}
	return nil
}
