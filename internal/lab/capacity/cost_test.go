package capacity

import (
	"math"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func newSlope(key string, cost func(n float64) float64, sizes ...float64) *Slope {
	return &Slope{Key: key, Description: "a thing", Unit: "B/s", SizeName: "members", Points: pointsOf(cost, sizes...)}
}

// newLinksSlope returns a slope of links.bytes that grows with the square of the size.
func newLinksSlope() *Slope {
	return newSlope("links.bytes", func(n float64) float64 { return 1000 + 2*n*n }, 5, 10, 20, 60)
}

func findCost(t *testing.T, costs []Cost, description string) Cost {
	t.Helper()
	for _, c := range costs {
		if c.Description == description {
			return c
		}
	}
	require.Fail(t, "no such cost", description)
	return Cost{}
}

func TestCosts(t *testing.T) {
	target := readTarget(t)
	slopes := []*Slope{
		newLinksSlope(),
		newSlope("node.bytes", func(float64) float64 { return 200 }, 30, 200, 2000, 12000),
		newSlope("settings.bytes", func(n float64) float64 { return 40 * n }, 10, 1000, 10000, 140000),
	}
	costs := Costs(slopes, target)
	links := findCost(t, costs, "links to all other members, sent")
	assert.InDelta(t, 1000+2*1500*1500, links.Value, 100)
	assert.InDelta(t, 25, links.Extrapolation, 1e-9)
	assert.InDelta(t, links.Value/16384, links.LimitShare(), 1e-9)
	assert.True(t, links.ExceedsLimit())
	assert.Equal(t, "25 x: over 10 times", links.formatExtrapolation())
	group := findCost(t, costs, "links within a group of 5, sent")
	assert.InDelta(t, 1050, group.Value, 1)
	assert.False(t, group.ExceedsLimit())
	assert.Equal(t, "no", group.formatExtrapolation())
	assert.InDelta(t, 40*140000*1300/86400.0, findCost(t, costs, "settings got, whole each time").Value, 1)
	assert.InDelta(t, 40*140000/16384.0, findCost(t, costs, "seconds on the wire at the node's rate").Value, 1e-3)

	unmeasured := findCost(t, costs, "memory: backends, tenants")
	assert.True(t, math.IsNaN(unmeasured.Value))
	assert.False(t, unmeasured.ExceedsLimit(), "a cost that was not measured exceeds no limit")
	assert.Equal(t, "not measured", unmeasured.formatShare())
	assert.Equal(t, "start.backends.rss, start.tenants.rss", unmeasured.SlopeKeys)

	over := OverLimit(costs)
	require.NotEmpty(t, over)
	assert.Equal(t, links, over[0])
	for i := 1; i < len(over); i++ {
		assert.GreaterOrEqual(t, over[i-1].LimitShare(), over[i].LimitShare())
		assert.Greater(t, over[i].LimitShare(), 1.0)
	}
	target.Limit.NodeBytesPerSecond, target.Limit.InForceSeconds, target.Limit.ReadySeconds = 1e9, 1e9, 1e9
	assert.Empty(t, OverLimit(Costs(slopes, target)))
	for _, c := range MissingParts() {
		assert.Equal(t, mechanismMissing, c.Mechanism)
	}
}

// Each key belongs to one metric only, and each slope key of a cost is measured by some row.
func TestSlopeKeys(t *testing.T) {
	isMeasured := map[string]bool{}
	for _, m := range allMeasurements() {
		assert.GreaterOrEqual(t, len(m.sizes), 4, m.name)
		for _, metric := range m.metrics {
			assert.False(t, isMeasured[metric.key], metric.key)
			isMeasured[metric.key] = true
		}
	}
	for _, c := range Costs(nil, readTarget(t)) {
		for key := range strings.SplitSeq(c.SlopeKeys, ", ") {
			assert.True(t, isMeasured[key], "%s: %s", c.Description, key)
		}
	}
}
