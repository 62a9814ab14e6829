package capacity

import (
	"context"
	"errors"
	"fmt"
	"io"
	"runtime"
	"slices"
	"strings"
	"sync"
	"time"
)

// Bench holds the settings of a series of measurements.
type Bench struct {
	NodeCommand []string      // command line of the program; arguments are appended
	LabCommand  []string      // command line of the lab's program; arguments are appended
	RunDuration time.Duration // base length of the runs that measure over a period of time, and of warm-ups
	Runs        int           // for each size
	IsQuick     bool          // small sizes, to check that the fixtures work
	Progress    io.Writer     // receives a line for each row
}

// metric is one of the values that a run returns.
type metric struct {
	key         string // Key of the Slope that is built from the metric's values
	description string
	unit        string
	isWallClock bool // affected by other load on the machine
}

// fixture is the set-up that measures one size.
type fixture struct {
	run   func(ctx context.Context) ([]float64, error) // returns a value for each metric
	close func()                                       // nil if there is nothing to close
}

// fixtureFunc creates a fixture for a size.
type fixtureFunc func(ctx context.Context, bench *Bench, size float64) (*fixture, error)

// measurement is a row: metrics that are measured together against one size.
type measurement struct {
	name       string
	sizeName   string // what the sizes count
	sizes      []float64
	quickSizes []float64 // of a quick bench; sizes if nil
	metrics    []metric
	// runsTogether runs the fixtures of all sizes concurrently; for metrics that don't depend on other load on the machine.
	// runsTogetherIfQuick does so on a quick bench only, for fixtures that mostly wait.
	runsTogether        bool
	runsTogetherIfQuick bool
	newFixture          fixtureFunc
}

// allMeasurements returns all rows, most important first.
func allMeasurements() []measurement {
	return slices.Concat(
		linkMeasurements(),
		moduleMeasurements(),
		settingsMeasurements(),
		startMeasurements(),
		discoveryMeasurements(),
		memoryMeasurements(),
		addedLatencyMeasurements(),
		agentMeasurements(),
		captureMeasurements(),
		takeoverMeasurements(),
	)
}

// RowNames returns the names of all rows, each of which can be measured alone.
func RowNames() (names []string) {
	for _, m := range allMeasurements() {
		names = append(names, m.name)
	}
	return names
}

// ErrUnknownRow is returned by Measure if no row's name has the prefix.
var ErrUnknownRow = errors.New("no such row")

// Measure measures all rows whose names have the prefix.
func Measure(ctx context.Context, bench *Bench, rowPrefix string) (*Result, error) {
	result := &Result{
		Machine:   fmt.Sprintf("%d shared cores, %s, %s/%s", runtime.NumCPU(), runtime.Version(), runtime.GOOS, runtime.GOARCH),
		IsQuick:   bench.IsQuick,
		RowPrefix: rowPrefix,
	}
	for _, m := range allMeasurements() {
		if !strings.HasPrefix(m.name, rowPrefix) {
			continue
		}
		started := time.Now()
		slopes, err := m.measure(ctx, bench)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", m.name, err)
		}
		result.Slopes = append(result.Slopes, slopes...)
		result.Load.observe()
		if err := checkMemory(PeakMemory()); err != nil {
			return nil, fmt.Errorf("%s: %w", m.name, err)
		}
		fmt.Fprintf(bench.Progress, "%-28s %5.1f s\n", m.name, time.Since(started).Seconds())
	}
	if len(result.Slopes) == 0 {
		return nil, fmt.Errorf("%w: %q; there are %s", ErrUnknownRow, rowPrefix, strings.Join(RowNames(), ", "))
	}
	return result, nil
}

// measure measures all sizes and returns a slope for each metric.
func (m *measurement) measure(ctx context.Context, bench *Bench) ([]*Slope, error) {
	sizes := m.sizes
	if bench.IsQuick && m.quickSizes != nil {
		sizes = m.quickSizes
	}
	pointsBySize, err := m.measureSizes(ctx, bench, sizes)
	if err != nil {
		return nil, err
	}
	var slopes []*Slope
	for i, metric := range m.metrics {
		slope := &Slope{
			Key:         metric.key,
			Description: metric.description,
			Unit:        metric.unit,
			SizeName:    m.sizeName,
			IsWallClock: metric.isWallClock,
		}
		for _, points := range pointsBySize {
			slope.Points = append(slope.Points, points[i])
		}
		slopes = append(slopes, slope)
	}
	return slopes, nil
}

// measureSizes returns the points of each size, by metric. When run sequentially, it stops at the first size that fails.
func (m *measurement) measureSizes(ctx context.Context, bench *Bench, sizes []float64) ([][]Point, error) {
	points := make([][]Point, len(sizes))
	errs := make([]error, len(sizes))
	isParallel := m.runsTogether || m.runsTogetherIfQuick && bench.IsQuick
	var running sync.WaitGroup
	for i, size := range sizes {
		if isParallel {
			running.Go(func() { points[i], errs[i] = m.measureAt(ctx, bench, size) })
			continue
		}
		if points[i], errs[i] = m.measureAt(ctx, bench, size); errs[i] != nil {
			break
		}
	}
	running.Wait()
	return points, errors.Join(errs...)
}

// measureAt measures one size and returns a point for each metric.
func (m *measurement) measureAt(ctx context.Context, bench *Bench, size float64) ([]Point, error) {
	f, err := m.newFixture(ctx, bench, size)
	if err != nil {
		return nil, fmt.Errorf("%s %g: %w", m.sizeName, size, err)
	}
	if f.close != nil {
		defer f.close()
	}
	runtime.GC()
	valuesByMetric := make([][]float64, len(m.metrics))
	for range bench.Runs {
		if err := ctx.Err(); err != nil {
			return nil, err
		}
		values, err := f.run(ctx)
		if err != nil {
			return nil, fmt.Errorf("%s %g: %w", m.sizeName, size, err)
		}
		for i, value := range values {
			valuesByMetric[i] = append(valuesByMetric[i], value)
		}
	}
	var points []Point
	for _, values := range valuesByMetric {
		points = append(points, newPoint(size, values))
	}
	return points, nil
}

// fixedSize returns a function from a measurement's size to a quantity that is n at all sizes.
func fixedSize(n float64) func(size float64) float64 {
	return func(float64) float64 { return n }
}

// variableSize is the counterpart of fixedSize for a quantity that grows with the measurement's size: it equals the size.
func variableSize(size float64) float64 { return size }

// sleep waits for d, or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// milliseconds converts a duration to ms, with a resolution of a microsecond.
func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1e3 }
