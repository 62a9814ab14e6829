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

// makeChanges commits one change after the other, as many a second as the experiment says. A change without an answer is counted.
func (r *run) makeChanges(ctx context.Context, begun time.Time) error {
	e := r.experiment
	changes := int(e.ChangeSeconds * e.Changes.PerSecond)
	for index := range changes {
		dueMs := float64(index) / e.Changes.PerSecond * 1e3
		if !wait(ctx, time.Until(begun.Add(clock.Duration(dueMs)))) {
			return context.Cause(ctx)
		}
		if time.Since(begun).Seconds() > e.ChangeSeconds { // earlier commits took too long
			r.report.NotBegun += changes - index
			return nil
		}
		r.document.change(e.Changes.Bytes)
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

// commit commits the document as it is.
func (r *run) commit(ctx context.Context, reason string) error {
	text, digest, err := r.document.encode()
	if err != nil {
		return err
	}
	r.mu.Lock()
	base := r.report.head
	r.report.DocumentBytes = len(text)
	r.mu.Unlock()
	begun := r.clock.Now()
	version, err := r.operator.Apply(ctx, base, text, "lab", reason)
	now := r.clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	var conflict *client.ConflictError
	switch {
	case errors.As(err, &conflict): // an earlier change was committed, and its answer lost
		r.report.head = conflict.Head
		return err
	case err != nil:
		return err
	}
	r.report.head = version
	r.auditor.VersionCommitted(version, digest)
	r.auditor.VersionAcknowledged(version, now)
	r.newestVersion = version
	r.report.CommitMs = append(r.report.CommitMs, now-begun)
	return nil
}
