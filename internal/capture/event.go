package capture

import (
	"fmt"

	"pearknot/balancer"
)

// storedEvent is the text under which captures store an event of the balancer, empty for none. Replay compares it,
// so that it keeps the words of the builds that wrote captures before events were typed ("shunned" for ejected,
// "out" for in flight, "list call" for poll): this is the one place that maps them.
func storedEvent(event balancer.Event) string {
	switch event.Kind {
	case balancer.EventBackendEjected:
		return fmt.Sprintf("backend %x shunned, %d out", event.Backend, event.Count)
	case balancer.EventPollFailed:
		return fmt.Sprintf("list call failed, %d in a row", event.Count)
	}
	return ""
}
