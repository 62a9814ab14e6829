package node

import (
	"context"
	"errors"
	"fmt"
	"slices"

	"pearknot/balancer"
)

// mostNames bounds the names that are remembered: some hundred of a fleet, and all that replaced them for days.
const mostNames = 4096

// names are those that the list has named, whether it still does or not, and those taken out by hand. The actor's.
type names struct {
	known  map[string]struct{}
	order  []string // as they were first listed
	banned map[string]bool
}

func newNames() names { return names{known: map[string]struct{}{}, banned: map[string]bool{}} }

// listed remembers a name; of too many the oldest that is not taken out goes.
func (s *names) listed(name string) {
	if _, known := s.known[name]; known {
		return
	}
	if len(s.order) >= mostNames {
		if k := slices.IndexFunc(s.order, func(old string) bool { return !s.banned[old] }); k >= 0 {
			delete(s.known, s.order[k])
			s.order = slices.Delete(s.order, k, k+1)
		}
	}
	s.known[name] = struct{}{}
	s.order = append(s.order, name)
}

// ErrNeverListed is of a name that the list has not had, or so long ago that it is forgotten.
var ErrNeverListed = errors.New("never listed")

// TakeOut has a backend count as draining, whatever the list says of it, or ends that. It returns when the module has
// taken it, and may be repeated. Ops that wait for the module let it pass. A name that is known from elsewhere need not
// have been listed here.
func (n *Node) Cordon(ctx context.Context, name string, out, known bool) error {
	done := make(chan error, 1)
	n.box.PutFirst(func() {
		if known {
			n.names.listed(name)
		}
		done <- n.takeOut(name, out)
	})
	return n.within(ctx, done)
}

// within waits for an answer of the actor's.
func (n *Node) within(ctx context.Context, done <-chan error) error {
	select {
	case err := <-done:
		return err
	case <-n.done:
		return errors.New("the node has ended")
	case <-ctx.Done():
		return fmt.Errorf("the node does not answer: %w", ctx.Err())
	}
}

func (n *Node) takeOut(name string, out bool) error {
	if _, known := n.names.known[name]; !known && !n.names.banned[name] {
		return ErrNeverListed
	}
	if n.names.banned[name] == out {
		return nil
	}
	if out {
		n.names.banned[name] = true
	} else {
		delete(n.names.banned, name)
	}
	if b := n.backends[name]; b != nil {
		n.tell(b, b.member)
		n.module.EndpointsChanged(n.now, []balancer.Endpoint{n.line(b)}, false, true)
	}
	n.log.Info("backend taken out or put back", "backend", name, "out", out)
	return nil
}
