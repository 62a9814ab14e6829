package serve

import (
	"context"
	"errors"
	"fmt"
	"log/slog"

	"pearknot/internal/console"
	"pearknot/internal/front"
	"pearknot/internal/node"
)

// calls hands operators' calls to the owners of what they are about.
func calls(n *node.Node, f *front.Front, log *slog.Logger) console.Do {
	return func(ctx context.Context, c console.Call) (string, error) {
		_, ending := f.State()
		switch c.Verb {
		case console.Health:
			return "ready", unready(n, f)
		case console.Cordon, console.Uncordon:
			out := c.Verb == console.Cordon
			if err := n.TakeOut(ctx, c.ID, out); err != nil {
				return "", fmt.Errorf("%.80q: %w", c.ID, err)
			}
			return map[bool]string{true: "out", false: "back"}[out], nil
		case console.Quiesce:
			if f.SendAway(true) {
				log.Info("clients sent away")
			}
			return "clients are sent away", nil
		case console.Resume:
			if ending {
				return "", errEnding
			}
			if f.SendAway(false) {
				log.Info("clients taken again")
			}
			return "clients are taken", nil
		}
		return "", errors.New("unknown call")
	}
}

var errEnding = errors.New("the node is about to end")

// unready tells why clients should not be sent here, if they should not.
func unready(n *node.Node, f *front.Front) error {
	select {
	case <-n.Ready():
	default:
		return errors.New("no list of backends yet")
	}
	switch in, ending := f.State(); {
	case ending:
		return errEnding
	case !in:
		return errors.New("clients are sent away")
	}
	return nil
}
