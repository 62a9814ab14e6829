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

// TestMain builds the node that the fixtures start.
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

// positiveKeys lists the keys of metrics that are never 0, whatever the number of runs and other load on the machine.
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

// Each fixture can be created, measures and leaves no goroutines or files behind. The agent's needs the lab's program and
// is tested there.
func TestFixtures(t *testing.T) {
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

// A node that does not start gives an error with the reason, and leaves no goroutines behind.
func TestStartNodeFails(t *testing.T) {
	defer goleak.VerifyNone(t)
	bench := &Bench{NodeCommand: []string{nodeProgram, "nonsense"}, Runs: 1}
	env, err := newNodeEnvironment(3, 3, false)
	require.NoError(t, err)
	defer env.close()
	_, err = bench.startNode(t.Context(), env)
	assert.ErrorContains(t, err, "ended before it was ready")
	bench.NodeCommand = []string{"/nowhere"}
	_, err = bench.startNode(t.Context(), env)
	assert.Error(t, err)
}

// The discovery stub returns the complete list, and the changes after a revision.
func TestDiscoveryServer(t *testing.T) {
	defer goleak.VerifyNone(t)
	server, err := newDiscoveryServer(3, unusedAddress)
	require.NoError(t, err)
	defer server.close()
	list := server.fullList()
	require.Len(t, list.Targets, 3)
	assert.True(t, list.IsComplete)
	assert.Equal(t, 3, list.Revision)
	server.setState(balancer.BackendRemoved, 1)
	list = server.fullList()
	assert.Len(t, list.Targets, 2)
	assert.Equal(t, 4, list.Revision)
	want := listEntry{UID: "s-1", Endpoint: unusedAddress, AZ: "b", Model: "m", PodGroup: 1, State: "removed", Weight: 1}
	assert.Equal(t, want, server.entries(server.service.ChangesSince(3))[0])
	assert.Zero(t, server.calls.Load())
}
