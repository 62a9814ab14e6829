package scale

import (
	"context"
	"errors"
	"fmt"
	"time"

	"pearknot/internal/clock"
	"pearknot/internal/controlplane/client"
)

const commitTimeout = 8 * time.Second

// makeChanges commits changes one after the other, at the experiment's rate. A failed commit is counted as unanswered.
func (r *run) makeChanges(ctx context.Context, start time.Time) error {
	e := r.experiment
	changes := int(e.ChangeSeconds * e.Changes.PerSecond)
	for index := range changes {
		dueMs := float64(index) / e.Changes.PerSecond * 1e3
		if !wait(ctx, time.Until(start.Add(clock.Duration(dueMs)))) {
			return context.Cause(ctx)
		}
		if time.Since(start).Seconds() > e.ChangeSeconds { // earlier commits took too long
			r.report.NotStarted += changes - index
			return nil
		}
		r.document.changeQuotas(e.Changes.Bytes)
		err := r.commitInTime(ctx, fmt.Sprint("change ", index))
		var invalid *client.InvalidError
		switch {
		case ctx.Err() != nil:
			return context.Cause(ctx)
		case errors.As(err, &invalid):
			return err
		case err != nil:
			r.report.Unanswered++
			fmt.Fprintf(r.options.Out, "change %d: %v\n", index, err)
		}
	}
	return nil
}

func (r *run) commitInTime(ctx context.Context, reason string) error {
	limited, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	return r.commit(limited, reason)
}

// commit commits the document in its present state.
func (r *run) commit(ctx context.Context, reason string) error {
	text, digest, err := r.document.encode()
	if err != nil {
		return err
	}
	r.mu.Lock()
	base := r.report.head
	r.report.DocumentBytes = len(text)
	r.mu.Unlock()
	start := r.clock.Now()
	version, err := r.operator.Apply(ctx, base, text, "lab", reason)
	now := r.clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	var conflict *client.ConflictError
	switch {
	case errors.As(err, &conflict): // an earlier change was committed, but its answer was lost
		r.report.head = conflict.Head
		return err
	case err != nil:
		return err
	}
	r.report.head = version
	r.auditor.VersionCommitted(version, digest)
	r.auditor.VersionAcknowledged(version, now)
	r.newestVersion = version
	r.report.CommitMs = append(r.report.CommitMs, now-start)
	return nil
}
