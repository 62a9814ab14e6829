package capture

import (
	"fmt"

	"pearknot/balancer"
)

// storedEventText returns the text under which captures store an event of the balancer, empty for none. A replay
// compares it, so it keeps the terms of the builds that wrote captures before events were typed ("shunned" for
// ejected, "out" for in flight, "list call" for poll). No other code maps them.
func storedEventText(event balancer.Event) string {
	switch event.Kind {
	case balancer.EventBackendEjected:
		return fmt.Sprintf("backend %x shunned, %d out", event.Backend, event.Count)
	case balancer.EventPollFailed:
		return fmt.Sprintf("list call failed, %d in a row", event.Count)
	}
	return ""
}
