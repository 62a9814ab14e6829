package hotrestart

import (
	"testing"

	"pearknot/internal/goldentest"
)

// When a process of one build takes over from one of another build, each must read the other's messages.
func TestMessageEncoding(t *testing.T) { goldentest.JSON(t, "message.json", &message{}) }
