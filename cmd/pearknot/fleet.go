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

// fleetTool is what the fleet commands have in common.
type fleetTool struct {
	socket      string
	json        bool
	reason      string
	revision    int64
	wait        bool
	waitTimeout time.Duration
	options     fleet.Options
	dryRun      bool
}

func (t *fleetTool) client() *controlsocket.Client {
	return controlsocket.NewClient(t.socket, agentCallTimeout)
}

func (t *fleetTool) view(ctx context.Context) (v agent.View, err error) {
	err = t.client().Call(ctx, http.MethodGet, agent.FleetPath, nil, &v)
	return v, err
}

func fleetCommand() *cobra.Command {
	t := &fleetTool{}
	root := &cobra.Command{Use: "fleet", Short: "Declare, show, change and roll back the instances of a host",
		Long: `fleet speaks with the agent of this host over its socket.

Every change is made from a revision of the fleet, the one just read where --revision is not given. Of two conflicting
ones exactly one is taken; the other gets an error that says what came first, and exits with 3.

Exit status: 0 done, 1 failed (also a change that was rolled back), 2 the command line or a file can't be read, 3 not all
is as wanted (status), something differs (diff), or another's change came first.`}
	root.PersistentFlags().StringVar(&t.socket, "socket", os.Getenv("PEARKNOT_AGENT"), "the agent's socket (default $PEARKNOT_AGENT)")
	root.PersistentFlags().BoolVar(&t.json, "json", false, "JSON for programs")
	root.PersistentPreRunE = func(*cobra.Command, []string) error {
		if t.socket == "" {
			return cli.UsageError(errors.New("no agent: give --socket or set PEARKNOT_AGENT"))
		}
		return nil
	}
	root.AddCommand(t.apply(), t.diff(), t.status(), t.lifecycleCommand("start"), t.lifecycleCommand("stop"), t.lifecycleCommand("restart"), t.reconfigure(), t.rollback(),
		t.history(), t.logs(), t.watch())
	return root
}

func (t *fleetTool) withChangeFlags(c *cobra.Command) *cobra.Command {
	f := c.Flags()
	f.StringVar(&t.reason, "reason", "", "why, for the history")
	f.Int64Var(&t.revision, "revision", -1, "the revision that this was made from")
	f.BoolVar(&t.wait, "wait", false, "wait for the end of the change")
	f.DurationVar(&t.waitTimeout, "within", 10*time.Minute, "wait no longer")
	f.BoolVar(&t.dryRun, "dry-run", false, "only print what would be changed")
	f.IntVar(&t.options.MaxUnavailable, "at-once", 0, "instances out of service at a time (default: the agent's)")
	f.IntVar(&t.options.Canary, "canary", -1, "instances that go first (default: the agent's)")
	f.Float64Var(&t.options.HealthMs, "health-ms", -1, "time that one must stay well (default: the agent's)")
	f.BoolVar(&t.options.NoRollback, "no-revert", false, "stop on failure and leave it there")
	_ = c.MarkFlagRequired("reason")
	return c
}

// write sends a change and, with --wait, waits for its end.
func (t *fleetTool) write(c *cobra.Command, w agent.Write) error {
	ctx := c.Context()
	v, err := t.view(ctx)
	if err != nil {
		return err
	}
	w.Revision, w.Reason, w.DryRun, w.Options = v.Revision, t.reason, t.dryRun, &v.Rolling
	if t.revision >= 0 {
		w.Revision = uint64(t.revision)
	}
	if t.options.MaxUnavailable > 0 { // what is not given stays as the agent has it
		w.Options.MaxUnavailable = t.options.MaxUnavailable
	}
	if t.options.Canary >= 0 {
		w.Options.Canary = t.options.Canary
	}
	if t.options.HealthMs >= 0 {
		w.Options.HealthMs = t.options.HealthMs
	}
	w.Options.NoRollback = w.Options.NoRollback || t.options.NoRollback
	var out agent.Written
	err = t.client().Call(ctx, http.MethodPost, agent.WritePath, w, &out)
	var refused *controlsocket.ResponseError
	if errors.As(err, &refused) {
		switch refused.Status {
		case http.StatusConflict:
			return &cli.Error{Status: cli.StatusCheckFailed, Err: err}
		case agent.NothingToChange:
			fmt.Fprintln(c.OutOrStdout(), "nothing to change")
			return nil
		}
	}
	if err != nil {
		return err
	}
	if t.dryRun {
		return t.show(c, out, func(w io.Writer) {
			fmt.Fprintf(w, "would touch %d instances: %s\n", len(out.Instances), strings.Join(out.Instances, " "))
		})
	}
	if t.wait {
		if out.Change, err = t.waitForChange(ctx, out.Change.ID); err != nil {
			return err
		}
	}
	if err := t.show(c, out, func(w io.Writer) { printChange(w, out.Change) }); err != nil {
		return err
	}
	done := out.Change.Status == fleet.Succeeded || w.Command == "rollback" && out.Change.Status == fleet.RolledBack
	if t.wait && !done {
		return &cli.Error{Status: cli.StatusFailed, Err: fmt.Errorf("change %d: %s: %s", out.Change.ID, out.Change.Status, out.Change.Failure)}
	}
	return nil
}

// waitForChange waits until a change is over.
func (t *fleetTool) waitForChange(ctx context.Context, id uint64) (fleet.Change, error) {
	ctx, cancel := context.WithTimeout(ctx, t.waitTimeout)
	defer cancel()
	since := uint64(0)
	for {
		var v agent.View
		err := t.client().Call(ctx, http.MethodGet, fmt.Sprintf("%s?since=%d&wait_ms=5000", agent.FleetPath, since), nil, &v)
		switch {
		case ctx.Err() != nil:
			return fleet.Change{}, fmt.Errorf("change %d is not over after %v", id, t.waitTimeout)
		case err != nil: // the agent may be on its way back
			select {
			case <-time.After(200 * time.Millisecond):
			case <-ctx.Done():
			}
			since = 0
			continue
		case v.Change != nil && v.Change.ID == id && v.Change.Status.IsFinal():
			return *v.Change, nil
		case v.Change != nil && v.Change.ID > id:
			return fleet.Change{}, fmt.Errorf("change %d was followed by another: see history", id)
		}
		since = v.Seq
	}
}

// show prints a value for programs, or its table for people.
func (t *fleetTool) show(c *cobra.Command, v any, table func(io.Writer)) error {
	if t.json {
		e := json.NewEncoder(c.OutOrStdout())
		e.SetIndent("", " ")
		return e.Encode(v)
	}
	w := tabwriter.NewWriter(c.OutOrStdout(), 2, 8, 2, ' ', 0)
	table(w)
	return w.Flush()
}

func printChange(w io.Writer, c fleet.Change) {
	fmt.Fprintf(w, "change %d\t%s\t%s\tby %s\t%s\tgeneration %d to %d\t%d of %d instances\t%s\n", c.ID, c.Status, c.Command, c.Author, c.Reason,
		c.From, c.To, len(c.Healthy), len(c.Order), c.Failure)
}

func (t *fleetTool) apply() *cobra.Command {
	return t.withChangeFlags(&cobra.Command{Use: "apply FILE", Short: "Declare all instances, as a file has them", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			instances, configs, err := agent.ReadFleet(args[0])
			if err != nil {
				return cli.UsageError(err)
			}
			return t.write(c, agent.Write{Command: "apply", Instances: instances, Configs: configs})
		}})
}

func (t *fleetTool) diff() *cobra.Command {
	return &cobra.Command{Use: "diff FILE", Short: "Tell what apply would change", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			instances, configs, err := agent.ReadFleet(args[0])
			if err != nil {
				return cli.UsageError(err)
			}
			v, err := t.view(c.Context())
			if err != nil {
				return err
			}
			type difference struct {
				Name     string `json:"name"`
				What     string `json:"what"`
				Was, Now string
			}
			all := []difference{}
			declared := map[string]fleet.Instance{}
			for _, i := range v.Instances {
				if i.Declared != nil {
					declared[i.Name] = *i.Declared
				}
			}
			for _, i := range instances {
				was, had := declared[i.Name]
				delete(declared, i.Name)
				if !had {
					all = append(all, difference{i.Name, "new", "", i.Listen})
					continue
				}
				for _, x := range []struct{ what, was, now string }{{"listen", was.Listen, i.Listen}, {"list", was.Discovery, i.Discovery},
					{"configuration", was.Digest[:min(12, len(was.Digest))], agent.Digest(configs[i.Name])[:12]},
					{"state", string(was.Desired), string(i.Desired)}} {
					if x.was != x.now {
						all = append(all, difference{i.Name, x.what, x.was, x.now})
					}
				}
			}
			for name, i := range declared {
				all = append(all, difference{name, "gone", i.Listen, ""})
			}
			slices.SortStableFunc(all, func(a, b difference) int { return strings.Compare(a.Name, b.Name) })
			if err := t.show(c, all, func(w io.Writer) {
				for _, d := range all {
					fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", d.Name, d.What, d.Was, d.Now)
				}
			}); err != nil {
				return err
			}
			if len(all) > 0 {
				return &cli.Error{Status: cli.StatusCheckFailed, Err: errors.New("differs"), Silent: true}
			}
			return nil
		}}
}

// printFleet prints what is declared, what was observed, and when.
func printFleet(w io.Writer, v agent.View) {
	fmt.Fprintf(w, "revision %d, generation %d\n", v.Revision, v.Generation)
	if v.WriteError != "" {
		fmt.Fprintf(w, "the state can't be written, nothing is changed until it can: %s\n", v.WriteError)
	}
	if c := v.Change; c != nil && !c.Status.IsFinal() {
		printChange(w, *c)
	}
	fmt.Fprintln(w, "instance\twanted\tverdict\tseen\tago\tlisten\tconfiguration\tpid\trequests\tMB\tcertificate\tsettings\twhy")
	for _, i := range v.Instances {
		wanted, listen := "none", ""
		if i.Declared != nil {
			wanted, listen = string(i.Declared.Desired), i.Declared.Listen
		}
		ago := "never"
		if i.Observation.ObservedAt > 0 {
			ago = fmt.Sprintf("%.1f s", max(0, (v.Now-i.Observation.ObservedAt)/1e3))
		}
		phase := string(i.Observation.Phase)
		if i.Observation.InService {
			phase = "in service"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%d\t%d\t%.0f\t%s\t%s\t%s\n", i.Name, wanted, i.Verdict, phase, ago, listen,
			i.Observation.Digest[:min(8, len(i.Observation.Digest))], i.Observation.PID, i.Observation.OpenRequests, i.Observation.MemoryMB, certificateTimeLeft(i.Observation, v.Now), cmp.Or(i.Observation.Settings, "-"), i.Reason)
	}
}

// certificateTimeLeft says how long the instance's certificate that expires first is still valid.
func certificateTimeLeft(s fleet.Observation, now float64) string {
	const day = 24 * 3600e3
	switch {
	case s.CertStage == "":
		return "-"
	case s.CertExpiry == 0:
		return s.CertStage
	}
	return fmt.Sprintf("%s, %.1f d", s.CertStage, (s.CertExpiry-now)/day)
}

func (t *fleetTool) status() *cobra.Command {
	return &cobra.Command{Use: "status", Short: "What is declared, what was observed, and when", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			v, err := t.view(c.Context())
			if err != nil {
				return err
			}
			if err := t.show(c, v, func(w io.Writer) { printFleet(w, v) }); err != nil {
				return err
			}
			for _, i := range v.Instances {
				if i.Verdict != fleet.VerdictAsDeclared {
					return &cli.Error{Status: cli.StatusCheckFailed, Err: errors.New("not all as wanted"), Silent: true}
				}
			}
			return nil
		}}
}

func (t *fleetTool) lifecycleCommand(what string) *cobra.Command {
	return t.withChangeFlags(&cobra.Command{Use: what + " [NAME ...]", Short: strings.ToUpper(what[:1]) + what[1:] + " instances, all where none is named",
		RunE: func(c *cobra.Command, args []string) error {
			return t.write(c, agent.Write{Command: what, Names: args})
		}})
}

func (t *fleetTool) reconfigure() *cobra.Command {
	return t.withChangeFlags(&cobra.Command{Use: "reconfigure FILE NAME [NAME ...]", Short: "Give some instances what a file has for them, and leave the others",
		Args: cobra.MinimumNArgs(2), RunE: func(c *cobra.Command, args []string) error {
			instances, configs, err := agent.ReadFleet(args[0])
			if err != nil {
				return cli.UsageError(err)
			}
			w := agent.Write{Command: "reconfigure", Configs: map[string]string{}}
			for _, name := range args[1:] {
				k := slices.IndexFunc(instances, func(i fleet.Instance) bool { return i.Name == name })
				if k < 0 {
					return cli.UsageError(fmt.Errorf("%s: no instance %s", args[0], name))
				}
				w.Instances = append(w.Instances, instances[k])
				w.Configs[name] = configs[name]
			}
			return t.write(c, w)
		}})
}

func (t *fleetTool) rollback() *cobra.Command {
	to := uint64(0)
	c := t.withChangeFlags(&cobra.Command{Use: "rollback [--to GENERATION]", Short: "Roll back the change in progress, or go back to a generation",
		Args: cobra.NoArgs, RunE: func(c *cobra.Command, _ []string) error {
			return t.write(c, agent.Write{Command: "rollback", To: to})
		}})
	c.Flags().Uint64Var(&to, "to", 0, "a stored generation: see history")
	return c
}

func (t *fleetTool) history() *cobra.Command {
	n := 20
	c := &cobra.Command{Use: "history", Short: "Who changed what, when and why", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			var h agent.History
			if err := t.client().Call(c.Context(), http.MethodGet, agent.HistoryPath+"?n="+strconv.Itoa(n), nil, &h); err != nil {
				return err
			}
			return t.show(c, h, func(w io.Writer) {
				fmt.Fprintf(w, "revision %d, generations kept %v\n", h.Revision, h.Generations)
				for _, x := range h.Changes {
					fmt.Fprintf(w, "%s\t", time.UnixMilli(int64(x.StartedAt)).UTC().Format(time.RFC3339))
					printChange(w, x)
				}
			})
		}}
	c.Flags().IntVarP(&n, "lines", "n", 20, "changes at most")
	return c
}

func (t *fleetTool) logs() *cobra.Command {
	n := 50
	c := &cobra.Command{Use: "logs NAME", Short: "An instance's last log lines", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			var l agent.Logs
			if err := t.client().Call(c.Context(), http.MethodGet, agent.LogsPath+"?lines="+strconv.Itoa(n)+"&name="+url.QueryEscape(args[0]), nil, &l); err != nil {
				return err
			}
			return t.show(c, l, func(w io.Writer) {
				for _, x := range append(l.Lines, l.Out...) {
					fmt.Fprintln(w, x)
				}
			})
		}}
	c.Flags().IntVarP(&n, "lines", "n", 50, "lines at most")
	return c
}

func (t *fleetTool) watch() *cobra.Command {
	within := time.Duration(0)
	c := &cobra.Command{Use: "watch", Short: "The status, again whenever it changes", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			ctx := c.Context()
			if within > 0 {
				var cancel context.CancelFunc
				ctx, cancel = context.WithTimeout(ctx, within)
				defer cancel()
			}
			since := ""
			for ctx.Err() == nil {
				var v agent.View
				if err := t.client().Call(ctx, http.MethodGet, agent.FleetPath+"?wait_ms=5000"+since, nil, &v); err != nil {
					if ctx.Err() != nil {
						return nil
					}
					return err
				}
				if next := fmt.Sprintf("&since=%d", v.Seq); next != since {
					since = next
					if err := t.show(c, v, func(w io.Writer) { printFleet(w, v); fmt.Fprintln(w) }); err != nil {
						return err
					}
				}
			}
			return nil
		}}
	c.Flags().DurationVar(&within, "for", 0, "end after so long")
	return c
}
