// Package program builds the node's program, for whoever starts real ones.
package program

import (
	"context"
	"fmt"
	"os/exec"
	"path/filepath"
	"strings"
)

// Build puts the program into a directory and gives its path; flags are the build's own. It works within the project's
// module only.
func Build(ctx context.Context, dir string, flags ...string) (string, error) {
	bin := filepath.Join(dir, "pearknot")
	args := append(append([]string{"build"}, flags...), "-o", bin, "pearknot/cmd/pearknot")
	if text, err := exec.CommandContext(ctx, "go", args...).CombinedOutput(); err != nil {
		return "", fmt.Errorf("go build: %w: %s", err, strings.TrimSpace(string(text)))
	}
	return bin, nil
}
