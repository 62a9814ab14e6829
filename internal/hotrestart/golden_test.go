package hotrestart

import (
	"testing"

	"pearknot/internal/goldentest"
)

// Two builds meet on a link when one takes over from the other: what the earlier one wrote must still be read.
func TestMessageForm(t *testing.T) { goldentest.JSON(t, "message.json", &message{}) }
