package fleet

import (
	"errors"
	"fmt"
	"slices"
	"strings"
)

// ConflictError is returned for a write that is based on another revision than the current one: another operator has
// written since.
type ConflictError struct {
	BaseRevision    uint64   // the revision that the write was based on
	CurrentRevision uint64   // the fleet's revision
	Since           []Change // what changed in between, as far as it is still stored
}

// Error lists the changes since the revision that the write was based on.
func (c *ConflictError) Error() string {
	var changes []string
	for _, change := range c.Since {
		changes = append(changes,
			fmt.Sprintf("change %d by %s (%s: %s)", change.ID, change.Author, change.Command, change.Reason))
	}
	return fmt.Sprintf("made from revision %d, the fleet is at %d: %s",
		c.BaseRevision, c.CurrentRevision, strings.Join(changes, ", "))
}

// BusyError is returned for a write while a change is in progress.
type BusyError struct{ Change Change }

// Error reports the progress of the change.
func (b *BusyError) Error() string {
	return fmt.Sprintf("change %d by %s is %s, %d of %d instances done: wait, or roll it back",
		b.Change.ID, b.Change.Author, b.Change.Status, len(b.Change.Healthy), len(b.Change.Order))
}

// ErrNoChange is returned for a write that would change nothing.
var ErrNoChange = errors.New("nothing to change")

// conflict returns the error for a write that was based on a revision.
func (f *Fleet) conflict(revision uint64) *ConflictError {
	conflictError := &ConflictError{BaseRevision: revision, CurrentRevision: f.Revision}
	if missed := int(f.Revision) - int(revision); missed > 0 {
		conflictError.Since = slices.Clone(f.Changes[max(0, len(f.Changes)-missed):])
	}
	return conflictError
}
