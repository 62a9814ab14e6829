package hotrestart

import (
	"testing"

	"pearknot/internal/goldentest"
)

// Two builds meet on a link when one takes over from the other, so each must read the other's messages.
func TestMessageForm(t *testing.T) { goldentest.JSON(t, "message.json", &message{}) }
