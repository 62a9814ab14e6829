package capacity

import (
	"context"
	"encoding/json"
	"fmt"
	"runtime"

	"pearknot/internal/config"
)

// deploymentSettings returns the settings of a deployment with a number of tenants, under the protocol's names.
func deploymentSettings(tenants int) map[string]any {
	tenantSettings := make([]map[string]any, tenants)
	for i := range tenantSettings {
		tenantSettings[i] = map[string]any{"name": tenantName(i), "quotaPerS": 5 + i%7}
	}
	return map[string]any{
		"az":           0,
		"balancers":    100,
		"benefitBy":    "request",
		"zones":        deploymentNames.Zones,
		"kinds":        deploymentNames.Kinds,
		"tenants":      tenantSettings,
		"registryMode": "automatic",
		"loadReport":   map[string]any{"fields": []string{"mean_ms", "inflight"}, "via": "inline"},
		"bounds": map[string]any{
			"cancel":         true,
			"connIdle":       15000,
			"connectTimeout": 250,
			"mostHeld":       20000,
			"mostPushes":     3,
			"retryAfter":     true,
			"maxRetryAfter":  2000,
			"secondCopies":   true,
		},
		"rules": map[string]any{
			"askWithin":    10000,
			"coldFrom":     0.3,
			"drainGrace":   500,
			"fallMultiple": 4,
			"overloadFor":  2000,
			"warmWithin":   9000,
		},
		"categories": []map[string]any{{
			"name":           "check",
			"benefit":        1,
			"idempotency":    "pure",
			"overdueBenefit": 0.2,
			"targetLatency":  500,
			"ttl":            20000,
		}},
	}
}

func tenantName(i int) string { return fmt.Sprintf("tenant-%06d", i) }

// settingsMeasurements parse a deployment's settings.
func settingsMeasurements() []measurement {
	return []measurement{{
		name:       "settings",
		sizeName:   "tenants",
		sizes:      []float64{10, 1000, 10000, 140000},
		quickSizes: []float64{10, 1000, 10000, 50000},
		metrics: []metric{
			{"settings.cpu", "the settings read", "ms", false},
			{"settings.bytes", "the same, their text", "B", false},
			{"settings.allocated", "the same, allocated while they are read", "B", false},
			{"settings.heap", "the same, kept of them", "B", false},
		},
		newFixture: newSettingsFixture,
	}}
}

func newSettingsFixture(_ context.Context, _ *Bench, size float64) (*fixture, error) {
	text, err := json.Marshal(deploymentSettings(int(size)))
	if err != nil {
		return nil, err
	}
	rounds := int(min(max(2e4/size, 1), 50)) // makes a run longer than the clock's resolution
	run := func(context.Context) ([]float64, error) {
		heapBefore := heapInUse()
		allocatedBefore, cpuBefore := readAllocations(), processCPU()
		var deployment *config.Deployment
		for range rounds {
			var err error
			if deployment, err = config.ParseJSON(text); err != nil {
				return nil, err
			}
		}
		cpu := (processCPU() - cpuBefore) / float64(rounds)
		allocated := readAllocations().since(allocatedBefore).bytes / float64(rounds)
		heapGrowth := max(heapInUse()-heapBefore, 0)
		runtime.KeepAlive(deployment)
		return []float64{cpu, float64(len(text)), allocated, heapGrowth}, nil
	}
	return &fixture{run: run}, nil
}
