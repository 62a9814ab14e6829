package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"pearknot/internal/agent"
	"pearknot/internal/cli"
	"pearknot/internal/controlsocket"
	"pearknot/internal/fleet"
	"pearknot/internal/lab/experiment"
	"pearknot/internal/lab/loopback"
	"pearknot/internal/lab/metrics"
)

// fleetCommand plays an experiment over nodes that an agent looks after, with a rolling change of all of them on the way.
func fleetCommand() *cobra.Command {
	p, file := &plan{}, ""
	instances, seconds, atOnce := 20, 30.0, 2
	c := &cobra.Command{Use: "fleet", Short: "A rolling change of all nodes of an agent under steady load", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			e, err := experiment.Read(file)
			if err != nil {
				return cli.UsageIfNotExist(err)
			}
			e.Fleet.Nodes, e.Seconds, e.Seeds, e.Faults = instances, seconds, e.Seeds[:1], nil
			start, clean, err := p.command(c.Context(), "cda")
			if err != nil {
				return err
			}
			defer clean()
			r, took, err := roll(c.Context(), e, start[0], atOnce)
			if err != nil {
				return err
			}
			result := metrics.NewResult(e, metrics.HostLoopback, []metrics.Run{r.run})
			out := c.OutOrStdout()
			fmt.Fprintf(out, "apply of %d instances converged in %.2f s, rolling change of all, %d at once, in %.2f s\n", instances, r.first.Seconds(),
				atOnce, took.Seconds())
			return verdict(out, result)
		}}
	c.Flags().StringVar(&file, "file", "experiments/calm.toml", "the experiment")
	c.Flags().IntVar(&instances, "instances", instances, "nodes")
	c.Flags().Float64Var(&seconds, "seconds", seconds, "how long")
	c.Flags().IntVar(&atOnce, "at-once", atOnce, "out of service at a time")
	c.Flags().StringVar(&p.pearknot, "pearknot", "", "the node's program; else the one beside this, else it is built")
	return c
}

// rolled is what a run with a change brought.
type rolled struct {
	run   metrics.Run
	first time.Duration // from apply to converged
}

// roll runs an agent of its own in a directory of its own, and ends all it started.
func roll(ctx context.Context, e *experiment.Experiment, program string, atOnce int) (r rolled, took time.Duration, err error) {
	dir, err := os.MkdirTemp("", "pkfleet")
	if err != nil {
		return r, 0, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	o, err := agent.DecodeOptions(filepath.Join(dir, "agent.toml"), fmt.Appendf(nil,
		"dir = %q\nbinary = [%q]\n[rolling]\nhealth_ms = 300\n[timing]\nevery_ms = 20\ncalm_ms = 200\n", dir, program))
	if err != nil {
		return r, 0, err
	}
	a, err := agent.New(o, slog.New(slog.DiscardHandler))
	if err != nil {
		return r, 0, err
	}
	life, end := context.WithCancel(context.WithoutCancel(ctx))
	ended := make(chan error, 1)
	go func() { ended <- a.Run(life) }()
	client := controlsocket.NewClient(o.Socket, 20*time.Second)
	write := func(w agent.Write) error {
		var v agent.View
		if err := client.Call(life, http.MethodGet, agent.FleetPath, nil, &v); err != nil {
			return err
		}
		w.Revision, w.Reason = v.Revision, "lab"
		return client.Call(life, http.MethodPost, agent.WritePath, w, nil)
	}
	converged := func() error {
		since := uint64(0)
		for begun := time.Now(); time.Since(begun) < 3*time.Minute; {
			var v agent.View
			if err := client.Call(life, http.MethodGet, fmt.Sprintf("%s?since=%d&wait_ms=1000", agent.FleetPath, since), nil, &v); err != nil {
				return err
			}
			since = v.Seq
			if v.Change == nil || !v.Change.Status.IsFinal() {
				continue
			}
			if v.Change.Status != fleet.Succeeded {
				return fmt.Errorf("change %s: %s", v.Change.Status, v.Change.Failure)
			}
			return nil
		}
		return errors.New("not converged in three minutes")
	}
	defer func() {
		if e := write(agent.Write{Command: "stop", Options: &fleet.Options{MaxUnavailable: 1 << 20}}); e == nil {
			err = errors.Join(err, converged())
		}
		end()
		err = errors.Join(err, <-ended)
	}()
	for begun := time.Now(); ; time.Sleep(time.Millisecond) {
		if _, err := os.Stat(o.Socket); err == nil {
			break
		}
		if time.Since(begun) > 10*time.Second {
			return r, 0, errors.New("the agent does not come up")
		}
	}
	w := agent.Write{Command: "apply", Configs: map[string]string{}, Options: &fleet.Options{MaxUnavailable: 1 << 20}}
	changed := make(chan error, 1)
	opts := loopback.Options{
		StartNodes: func(nodes []loopback.ExternalNode) error {
			for _, n := range nodes {
				text, listen, list, err := agent.Configure([]byte(n.Config), nil, nil)
				if err != nil {
					return err
				}
				w.Instances = append(w.Instances, fleet.Instance{Name: n.Name, Listen: listen, Discovery: list, Desired: fleet.Running})
				w.Configs[n.Name] = text
			}
			begun := time.Now()
			if err := write(w); err != nil {
				return err
			}
			err := converged()
			r.first = time.Since(begun)
			return err
		},
		OnLoadStarted: func() {
			go func() { // a few seconds into the load
				select {
				case <-time.After(time.Duration(0.2 * e.Seconds * float64(time.Second))):
				case <-ctx.Done():
					changed <- ctx.Err()
					return
				}
				next := w
				next.Configs = map[string]string{}
				for name, text := range w.Configs { // another seed, and else the same
					next.Configs[name] = strings.Replace(text, `"seed": "`, `"seed": "a`, 1)
				}
				next.Options = &fleet.Options{MaxUnavailable: atOnce, Canary: 1, HealthMs: 300}
				begun := time.Now()
				err := write(next)
				if err == nil {
					err = converged()
				}
				took = time.Since(begun)
				changed <- err
			}()
		}}
	r.run, err = loopback.Run(ctx, e, 1, opts)
	if err == nil {
		err = <-changed
	}
	return r, took, err
}
