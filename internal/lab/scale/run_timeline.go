package scale

import (
	"cmp"
	"context"
	"fmt"
	"path/filepath"
	"time"

	"pearknot/internal/clock"
	"pearknot/internal/controlplane/client"
	"pearknot/internal/lab/loopback"
)

const (
	settleSeconds        = 2.0 // after the last change, on top of the longest bound
	minSettleSeconds     = 1.0 // if all nodes have the last version before
	maxLoadSettleSeconds = 8.0 // that the load goes on after the last change
)

const maxLogEntries = 1 << 20

// play starts the members, commits the first version, starts the nodes and plays the timeline.
func (r *run) play(ctx context.Context) error {
	for member := range r.experiment.Members.Count {
		var flags []string
		if member < r.experiment.Members.Voters {
			flags = []string{"--bootstrap"}
		}
		if err := r.startMember(ctx, member, flags...); err != nil {
			return err
		}
	}
	r.background.Go(func() { r.sampleRegularly(ctx) })
	r.background.Go(func() { r.lateness.watch(ctx) })
	if err := r.commitFirstVersion(ctx); err != nil {
		return err
	}
	if r.experiment.RealNodes > 0 {
		return r.playWithLoad(ctx)
	}
	if err := r.startNodes(ctx, nil); err != nil {
		return err
	}
	return r.playTimeline(ctx)
}

func (r *run) commitFirstVersion(ctx context.Context) (err error) {
	if r.operator, err = client.ReadFile(r.site.filePath("operator")); err != nil {
		return err
	}
	if r.document, err = newDocument(r.experiment); err != nil {
		return err
	}
	limited, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := r.commit(limited, "first"); err != nil {
		return fmt.Errorf("the first version is not committed: %w", err)
	}
	return nil
}

// playWithLoad plays the timeline while real nodes, which are started for it, are under load.
func (r *run) playWithLoad(ctx context.Context) error {
	e := r.experiment
	seconds := e.QuietSeconds + e.ChangeSeconds + min(r.maxSettleSeconds(), maxLoadSettleSeconds)
	load, err := realNodeLoad(e.RealNodes, seconds)
	if err != nil {
		return err
	}
	timelineEnded := make(chan error, 1)
	hasBegun := false
	result, err := loopback.Run(ctx, load, 1, loopback.Options{
		Dir:        filepath.Join(r.site.dir, "load"),
		StartNodes: func(nodes []loopback.ExternalNode) error { return r.startNodes(ctx, nodes) },
		OnLoadStarted: func() {
			hasBegun = true
			go func() { timelineEnded <- r.playTimeline(ctx) }()
		},
	})
	if err != nil {
		r.fail(err) // so that the timeline ends too
	}
	if hasBegun {
		err = cmp.Or(<-timelineEnded, err)
	}
	r.report.Load = result
	return err
}

// playTimeline is the experiment itself, once everything runs: a quiet time, then changes and faults, then until all nodes have the last
// version. An error ends the run.
func (r *run) playTimeline(ctx context.Context) (err error) {
	defer func() {
		if err != nil {
			r.fail(err)
		}
	}()
	atStart, err := r.measure(ctx)
	if err != nil {
		return err
	}
	if !wait(ctx, clock.Duration(r.experiment.QuietSeconds*1e3)) {
		return context.Cause(ctx)
	}
	beforeChanges, err := r.measure(ctx)
	if err != nil {
		return err
	}
	r.countWorstSecond(true)
	if err := r.playChangesAndFaults(ctx); err != nil {
		return err
	}
	r.countWorstSecond(false)
	afterChanges, err := r.measure(ctx)
	if err != nil {
		return err
	}
	if err := r.settle(ctx); err != nil {
		return err
	}
	log, _, err := r.operator.RecentChanges(ctx, maxLogEntries)
	if err != nil {
		return err
	}
	r.finish(atStart, beforeChanges, afterChanges, log)
	return nil
}

// playChangesAndFaults makes the changes and plays the faults side by side. An error of one ends the run, and by that the other.
func (r *run) playChangesAndFaults(ctx context.Context) error {
	begun := time.Now()
	ended := make(chan error, 2)
	for _, play := range []func(context.Context, time.Time) error{r.makeChanges, r.playFaults} {
		go func() {
			err := play(ctx, begun)
			if err != nil {
				r.fail(err)
			}
			ended <- err
		}()
	}
	return cmp.Or(<-ended, <-ended)
}

// maxSettleSeconds is how long a run goes on after its last change, at most.
func (r *run) maxSettleSeconds() float64 {
	return settleSeconds + r.experiment.Bounds.MaxStalenessMs/1e3
}

// settle waits until all nodes have the last version, or must have it.
func (r *run) settle(ctx context.Context) error {
	for begun := time.Now(); ; {
		r.mu.Lock()
		newest := r.newestVersion
		r.mu.Unlock()
		seconds := time.Since(begun).Seconds()
		if seconds > r.maxSettleSeconds() || seconds > minSettleSeconds && r.nodesAt(newest) == r.experiment.Nodes {
			return nil
		}
		if !wait(ctx, hollowPollInterval) {
			return context.Cause(ctx)
		}
	}
}
