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
	settleSeconds        = 2.0 // after the last change, in addition to the longest bound
	minSettleSeconds     = 1.0 // even if all nodes have the latest version earlier
	maxLoadSettleSeconds = 8.0 // duration of the load after the last change
)

const maxLogEntries = 1 << 20

// execute starts the members, commits the first version, starts the nodes and runs the timeline.
func (r *run) execute(ctx context.Context) error {
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
		return r.runWithLoad(ctx)
	}
	if err := r.startNodes(ctx, nil); err != nil {
		return err
	}
	return r.runTimeline(ctx)
}

func (r *run) commitFirstVersion(ctx context.Context) (err error) {
	if r.operator, err = client.ReadFile(r.testbed.filePath("operator")); err != nil {
		return err
	}
	if r.document, err = newDocument(r.experiment); err != nil {
		return err
	}
	limited, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := r.commit(limited, "first"); err != nil {
		return fmt.Errorf("commit the first version: %w", err)
	}
	return nil
}

// runWithLoad starts the real nodes, and runs the timeline while they are under load.
func (r *run) runWithLoad(ctx context.Context) error {
	e := r.experiment
	seconds := e.QuietSeconds + e.ChangeSeconds + min(r.maxSettleSeconds(), maxLoadSettleSeconds)
	load, err := realNodeLoad(e.RealNodes, seconds)
	if err != nil {
		return err
	}
	timelineEnded := make(chan error, 1)
	loadStarted := false
	result, err := loopback.Run(ctx, load, 1, loopback.Options{
		Dir:        filepath.Join(r.testbed.dir, "load"),
		StartNodes: func(nodes []loopback.ExternalNode) error { return r.startNodes(ctx, nodes) },
		OnLoadStarted: func() {
			loadStarted = true
			go func() { timelineEnded <- r.runTimeline(ctx) }()
		},
	})
	if err != nil {
		r.fail(err) // so that the timeline ends too
	}
	if loadStarted {
		err = cmp.Or(<-timelineEnded, err)
	}
	r.report.Load = result
	return err
}

// runTimeline runs the experiment itself once all processes run: a quiet period, then changes and faults, then a wait until all nodes have
// the latest version. An error ends the run.
func (r *run) runTimeline(ctx context.Context) (err error) {
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
	if err := r.runChangesAndFaults(ctx); err != nil {
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
	r.completeReport(atStart, beforeChanges, afterChanges, log)
	return nil
}

// runChangesAndFaults makes the changes and runs the faults concurrently. An error of either ends the run, and thereby the other.
func (r *run) runChangesAndFaults(ctx context.Context) error {
	start := time.Now()
	ended := make(chan error, 2)
	for _, task := range []func(context.Context, time.Time) error{r.makeChanges, r.runFaults} {
		go func() {
			err := task(ctx, start)
			if err != nil {
				r.fail(err)
			}
			ended <- err
		}()
	}
	return cmp.Or(<-ended, <-ended)
}

// maxSettleSeconds returns the longest time that a run continues after its last change.
func (r *run) maxSettleSeconds() float64 {
	return settleSeconds + r.experiment.Bounds.MaxStalenessMs/1e3
}

// settle waits until all nodes have the latest version, for maxSettleSeconds at most.
func (r *run) settle(ctx context.Context) error {
	for start := time.Now(); ; {
		r.mu.Lock()
		newest := r.newestVersion
		r.mu.Unlock()
		seconds := time.Since(start).Seconds()
		if seconds > r.maxSettleSeconds() || seconds > minSettleSeconds && r.countNodesAt(newest) == r.experiment.Nodes {
			return nil
		}
		if !wait(ctx, hollowPollInterval) {
			return context.Cause(ctx)
		}
	}
}
