package capacity

import (
	"context"
	"fmt"
	"math"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"pearknot/balancer"
	"pearknot/internal/lab/program"
)

var nodeProgram string

// TestMain builds the node that the rigs start.
func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "pearknot-capacity-test")
	if err != nil {
		panic(err)
	}
	if nodeProgram, err = program.Build(context.Background(), dir); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	status := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(status)
}

// positiveKeys are those of costs that are never 0, however few runs there are and whatever else the machine does.
var positiveKeys = []string{
	"links.bytes",
	"links.frames",
	"module.backends.decided",
	"module.tenants.decided",
	"instances.decided",
	"settings.bytes",
	"settings.allocated",
	"start.backends.ready",
	"start.backends.rss",
	"start.tenants.rss",
	"reload.peak",
	"list.bytes",
	"node.calls",
	"node.bytes",
	"node.change.bytes",
	"watchers.calls",
	"watchers.bytes",
	"watchers.change.bytes",
	"connections.rss",
	"waiting.rss",
	"capture.bytes",
	"kept.bytes",
}

// Each rig can be set up, measures and leaves nothing behind. The agent's needs the lab's program, and is tested there.
func TestRigs(t *testing.T) {
	defer goleak.VerifyNone(t)
	t.Setenv("TMPDIR", t.TempDir())
	const size = 12
	bench := &Bench{NodeCommand: []string{nodeProgram, "serve"}, RunDuration: 60 * time.Millisecond, Runs: 1, IsQuick: true}
	for _, m := range allMeasurements() {
		if m.name == "agent" {
			continue
		}
		points, err := m.measureAt(t.Context(), bench, size)
		require.NoError(t, err, m.name)
		require.Len(t, points, len(m.metrics), m.name)
		for i, point := range points {
			assert.InDelta(t, size, point.Size, 0)
			assertPlausible(t, m.metrics[i].key, point.Median)
		}
	}
	left, err := os.ReadDir(os.Getenv("TMPDIR"))
	require.NoError(t, err)
	assert.Empty(t, left)
	_, err = Measure(t.Context(), bench, "nonsense")
	assert.ErrorIs(t, err, ErrUnknownRow)
}

func assertPlausible(t *testing.T, key string, value float64) {
	t.Helper()
	assert.False(t, math.IsNaN(value) || math.IsInf(value, 0) || value < 0, key)
	isNodeCPU := strings.HasPrefix(key, "added.") && strings.HasSuffix(key, ".cpu")
	switch {
	case strings.HasSuffix(key, ".lost"):
		assert.Less(t, value, 1.0, key)
	case isNodeCPU || slices.Contains(positiveKeys, key):
		assert.Positive(t, value, key)
	}
}

// A node that does not start is an error that says why, and nothing is left of it.
func TestStartNodeFails(t *testing.T) {
	defer goleak.VerifyNone(t)
	bench := &Bench{NodeCommand: []string{nodeProgram, "nonsense"}, Runs: 1}
	site, err := newNodeSite(3, 3, false)
	require.NoError(t, err)
	defer site.close()
	_, err = bench.startNode(t.Context(), site)
	assert.ErrorContains(t, err, "ended before it was ready")
	bench.NodeCommand = []string{"/nowhere"}
	_, err = bench.startNode(t.Context(), site)
	assert.Error(t, err)
}

// The stand-in for discovery gives the complete list, and what changed after a revision.
func TestDiscoveryServer(t *testing.T) {
	defer goleak.VerifyNone(t)
	server, err := newDiscovery(3, unusedAddress)
	require.NoError(t, err)
	defer server.close()
	list := server.fullList()
	require.Len(t, list.Targets, 3)
	assert.True(t, list.IsComplete)
	assert.Equal(t, 3, list.Revision)
	server.change(balancer.BackendRemoved, 1)
	list = server.fullList()
	assert.Len(t, list.Targets, 2)
	assert.Equal(t, 4, list.Revision)
	want := listEntry{UID: "s-1", Endpoint: unusedAddress, AZ: "b", Model: "m", PodGroup: 1, State: "removed", Weight: 1}
	assert.Equal(t, want, server.entries(server.service.ChangesSince(3))[0])
	assert.Zero(t, server.calls.Load())
}
