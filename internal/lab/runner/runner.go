// Package runner runs an experiment over its seeds and puts the runs together.
package runner

import (
	"context"
	"fmt"
	"runtime"

	"golang.org/x/sync/errgroup"

	"pearknot/internal/lab/experiment"
	"pearknot/internal/lab/metrics"
	"pearknot/internal/lab/virtual"
)

// Virtual plays all seeds in virtual time, so many at once as there are processors; each run is one seed's alone, and
// their order in the result is the file's.
func Virtual(ctx context.Context, e *experiment.Experiment, o virtual.Options) (metrics.Result, error) {
	r := Empty(e, "virtual")
	r.Runs = make([]metrics.Run, len(e.Seeds))
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(runtime.GOMAXPROCS(0))
	for i, seed := range e.Seeds {
		g.Go(func() (err error) {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			if r.Runs[i], err = virtual.Run(e, seed, o); err != nil {
				return fmt.Errorf("%s, seed %d: %w", e.Name, seed, err)
			}
			return nil
		})
	}
	err := g.Wait()
	Sum(&r)
	return r, err
}

// Empty is a result without runs.
func Empty(e *experiment.Experiment, host string) metrics.Result {
	return metrics.Result{Version: metrics.Version, Experiment: e.Name, About: e.About, Policy: e.Policy, Host: host,
		Seconds: e.Seconds, Nodes: e.Fleet.Nodes, Backends: e.Fleet.Backends}
}

// Sum brings the result's means up to its runs.
func Sum(r *metrics.Result) {
	var s []float64
	for _, run := range r.Runs {
		s = append(s, run.Service)
	}
	r.Service = metrics.NewEstimate(s)
}

// Kept tells whether no run broke a rule.
func Kept(r metrics.Result) bool {
	for _, run := range r.Runs {
		if !run.Verdict.Kept {
			return false
		}
	}
	return true
}
