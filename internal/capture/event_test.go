package capture

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"pearknot/balancer"
)

// Captures of builds before events were typed hold these lines, and a replay compares them.
func TestStoredEventTextIsStable(t *testing.T) {
	for text, event := range map[string]balancer.Event{
		"":                             {},
		"backend ff shunned, 3 out":    {Kind: balancer.EventBackendEjected, Backend: 255, Count: 3},
		"list call failed, 2 in a row": {Kind: balancer.EventPollFailed, Count: 2},
	} {
		assert.Equal(t, text, storedEventText(event))
	}
}
