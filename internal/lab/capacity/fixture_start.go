package capacity

import "context"

// startMeasurements start a real node; those by tenants also make it reload its configuration.
func startMeasurements() []measurement {
	return []measurement{
		{
			name:       "start-backends",
			sizeName:   "backends",
			sizes:      []float64{30, 200, 2000, 12000},
			metrics:    startMetrics("backends"),
			newFixture: newStartFixture(variableSize, fixedSize(10), false),
		},
		{
			name:       "start-tenants",
			sizeName:   "tenants",
			sizes:      []float64{10, 1000, 10000, 140000},
			quickSizes: []float64{10, 1000, 10000, 50000},
			metrics: append(startMetrics("tenants"),
				metric{"reload.cpu", "a real node: its configuration taken up anew, processor time", "ms", false},
				metric{"reload.peak", "the same, the most memory it had held by then", "MB", false}),
			newFixture: newStartFixture(fixedSize(30), variableSize, true),
		},
	}
}

func startMetrics(sizeName string) []metric {
	prefix := "start." + sizeName
	return []metric{
		{prefix + ".ready", "a real node: start to ready", "ms", true},
		{prefix + ".cpu", "the same, processor time until then", "ms", false},
		{prefix + ".rss", "the same, memory held then", "MB", false},
		{prefix + ".peak", "the same, the most it had held", "MB", false},
	}
}

func newStartFixture(backends, tenants func(size float64) float64, reloads bool) fixtureFunc {
	return func(_ context.Context, bench *Bench, size float64) (*fixture, error) {
		env, err := newNodeEnvironment(int(backends(size)), int(tenants(size)), false)
		if err != nil {
			return nil, err
		}
		run := func(ctx context.Context) ([]float64, error) {
			node, err := bench.startNode(ctx, env)
			if err != nil {
				return nil, err
			}
			defer node.kill()
			cpu, memory := node.cpu(), node.memory()
			values := []float64{milliseconds(node.ready), cpu, memory.current, memory.peak}
			if !reloads {
				return values, nil
			}
			reloadCPU, err := node.reload(ctx)
			if err != nil {
				return nil, err
			}
			return append(values, reloadCPU, node.memory().peak), nil
		}
		return &fixture{run: run, close: env.close}, nil
	}
}
