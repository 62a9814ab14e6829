package capacity

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Result is what was measured.
type Result struct {
	Machine string   `json:"machine"`
	Quick   bool     `json:"quick,omitempty"`
	Part    string   `json:"part,omitempty"` // rows that were asked for; empty is all
	Load    Load     `json:"load"`
	Slopes  []*Slope `json:"slopes"`
}

// Load is the least and most of the machine's load, in processes that run or want to, as rows ended: this one's and others' work.
type Load struct{ Least, Most float64 }

func (l *Load) look() {
	text, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return
	}
	first, _, _ := strings.Cut(string(text), " ")
	now, err := strconv.ParseFloat(first, 64)
	if err != nil {
		return
	}
	if l.Least == 0 || now < l.Least {
		l.Least = now
	}
	l.Most = max(l.Most, now)
}

// ReadResult reads a result that was written.
func ReadResult(name string) (*Result, error) {
	data, err := os.ReadFile(name)
	if err != nil {
		return nil, err
	}
	r := &Result{}
	if err := json.Unmarshal(data, r); err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	for _, s := range r.Slopes {
		if s == nil || s.Key == "" || len(s.Points) == 0 {
			return nil, fmt.Errorf("%s: a slope without its key or points", name)
		}
	}
	return r, nil
}

// Update puts what was measured again in the place of what stood.
func (r *Result) Update(with *Result) error {
	if with.Machine != r.Machine || with.Quick != r.Quick {
		return fmt.Errorf("measured on %s, and what stood on %s: they don't go into one table", with.Machine, r.Machine)
	}
	for _, s := range with.Slopes {
		if k := slices.IndexFunc(r.Slopes, func(x *Slope) bool { return x.Key == s.Key }); k >= 0 {
			r.Slopes[k] = s
		} else {
			r.Slopes = append(r.Slopes, s)
		}
	}
	r.Load = Load{min(r.Load.Least, with.Load.Least), max(r.Load.Most, with.Load.Most)}
	return nil
}

// Text is the result as it is written.
func (r *Result) Text() []byte {
	data, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		panic(err) // plain values
	}
	return append(data, '\n')
}

// Bench is where rigs stand.
type Bench struct {
	Node  []string      // starts the program
	Lab   []string      // starts the lab's
	Span  time.Duration // how long a run of what takes its time lasts
	Runs  int
	Quick bool
	Out   io.Writer // is told what goes on
}

// metric is one of those that a run gives.
type metric struct {
	key, what, unit string
	wall            bool // time on the wall, in which the machine's other work shows
}

// rig is what stands at one size.
type rig struct {
	run   func(ctx context.Context) ([]float64, error) // a value for each metric
	close func()
}

// probe measures some costs by one size.
type probe struct {
	name     string
	by       string
	sizes    []float64
	quick    []float64
	metrics  []metric
	together bool // its rigs stand beside each other: what they measure is no matter of who else runs
	alone    bool // they mostly wait, and stand beside each other where nothing is measured
	open     func(ctx context.Context, b *Bench, size float64) (*rig, error)
}

// probes are all, most important first.
func probes() []probe {
	return slices.Concat(linkProbes(), moduleProbes(), termsProbes(), startProbes(), listProbes(), waitingProbes(), addedProbes(),
		agentProbes(), captureProbes(), keptProbes())
}

// Rows are the names of what can be measured alone.
func Rows() (names []string) {
	for _, p := range probes() {
		names = append(names, p.name)
	}
	return names
}

// ErrUnknown is a row that isn't there.
var ErrUnknown = errors.New("no such row")

// Measure runs all rows, or those whose name begins with only.
func Measure(ctx context.Context, b *Bench, only string) (*Result, error) {
	r := &Result{Machine: fmt.Sprintf("%d shared cores, %s, %s/%s", runtime.NumCPU(), runtime.Version(), runtime.GOOS, runtime.GOARCH), Quick: b.Quick, Part: only}
	for _, p := range probes() {
		if !strings.HasPrefix(p.name, only) {
			continue
		}
		begun := time.Now()
		slopes, err := p.measure(ctx, b)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", p.name, err)
		}
		r.Slopes = append(r.Slopes, slopes...)
		r.Load.look()
		if err := bounded(Peak()); err != nil {
			return nil, fmt.Errorf("%s: %w", p.name, err)
		}
		fmt.Fprintf(b.Out, "%-28s %5.1f s\n", p.name, time.Since(begun).Seconds())
	}
	if len(r.Slopes) == 0 {
		return nil, fmt.Errorf("%w: %q; there are %s", ErrUnknown, only, strings.Join(Rows(), ", "))
	}
	return r, nil
}

func (p *probe) measure(ctx context.Context, b *Bench) ([]*Slope, error) {
	sizes := p.sizes
	if b.Quick && p.quick != nil {
		sizes = p.quick
	}
	points := make([][]Point, len(sizes)) // by size and metric
	errs := make([]error, len(sizes))
	var wg sync.WaitGroup
	for k, size := range sizes {
		together := p.together || p.alone && b.Quick
		one := func() { points[k], errs[k] = p.at(ctx, b, size) }
		if together {
			wg.Go(one)
		} else if one(); errs[k] != nil {
			break
		}
	}
	wg.Wait()
	if err := errors.Join(errs...); err != nil {
		return nil, err
	}
	var slopes []*Slope
	for m, x := range p.metrics {
		s := &Slope{Key: x.key, What: x.what, Unit: x.unit, By: p.by, Wall: x.wall}
		for k := range sizes {
			s.Points = append(s.Points, points[k][m])
		}
		slopes = append(slopes, s)
	}
	return slopes, nil
}

func (p *probe) at(ctx context.Context, b *Bench, size float64) ([]Point, error) {
	r, err := p.open(ctx, b, size)
	if err != nil {
		return nil, fmt.Errorf("%s %g: %w", p.by, size, err)
	}
	if r.close != nil {
		defer r.close()
	}
	runtime.GC()
	runs := make([][]float64, len(p.metrics))
	for range b.Runs {
		if err := ctx.Err(); err != nil {
			return nil, err
		}
		values, err := r.run(ctx)
		if err != nil {
			return nil, fmt.Errorf("%s %g: %w", p.by, size, err)
		}
		for m, v := range values {
			runs[m] = append(runs[m], v)
		}
	}
	var points []Point
	for _, all := range runs {
		points = append(points, newPoint(size, all))
	}
	return points, nil
}

// spent is the processor time of this process, in ms: what others on the machine do shows in it as little as can be.
func spent() float64 { return clockMs(unix.CLOCK_PROCESS_CPUTIME_ID) }

// spentBy is another process's, by its clock's number.
func spentBy(pid int) float64 { return clockMs(int32(^pid<<3 | 2)) }

func clockMs(id int32) float64 {
	var t unix.Timespec
	if err := unix.ClockGettime(id, &t); err != nil {
		return 0 // it has ended
	}
	return float64(t.Nano()) / 1e6
}

// heap is what is in use after a collection, in bytes.
func heap() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// made counts what this process has allocated, in objects and bytes.
func made() (objects, bytes float64) {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.Mallocs), float64(m.TotalAlloc)
}

// bounded refuses to go on where this process and one of the program have held more than half of the machine's memory, in MB.
func bounded(self, child float64) error {
	var s unix.Sysinfo_t
	if err := unix.Sysinfo(&s); err != nil {
		return err
	}
	if all := float64(s.Totalram) * float64(s.Unit) / (1 << 20); self+child > all/2 {
		return fmt.Errorf("%.0f MB held, over half of the machine's %.0f", self+child, all)
	}
	return nil
}

// Peak is the most memory that this process, and the largest of those that it started, have held, in MB.
func Peak() (self, child float64) {
	most := func(who int) float64 {
		var u syscall.Rusage
		if err := syscall.Getrusage(who, &u); err != nil {
			return 0
		}
		return float64(u.Maxrss) / 1024
	}
	return most(syscall.RUSAGE_SELF), most(syscall.RUSAGE_CHILDREN)
}
