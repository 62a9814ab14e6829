// Package runner runs an experiment on all its seeds in virtual time.
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

// RunVirtual runs an experiment with each of its seeds, with at most GOMAXPROCS runs in parallel. A run depends on its seed
// alone. The runs of the result are in the order of the experiment's seeds. After the first error, or after the end of the
// context, no further runs start.
func RunVirtual(ctx context.Context, e *experiment.Experiment, options virtual.Options) (metrics.Result, error) {
	runs := make([]metrics.Run, len(e.Seeds))
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(runtime.GOMAXPROCS(0))
	for i, seed := range e.Seeds {
		group.Go(func() error {
			if err := ctx.Err(); err != nil {
				return err
			}
			run, err := virtual.Run(e, seed, options)
			if err != nil {
				return fmt.Errorf("%s, seed %d: %w", e.Name, seed, err)
			}
			runs[i] = run
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		return metrics.Result{}, err
	}
	return metrics.NewResult(e, metrics.HostVirtual, runs), nil
}
