package capacity

import (
	"context"
	"encoding/json"
	"runtime"
	"sync/atomic"
	"time"

	"pearknot/balancer"
	"pearknot/internal/discovery"
)

var names = discovery.DeploymentNames{Zones: []string{"a", "b"}, Kinds: []string{"m"}}

// holdFor is what a call of a quiet list waits for news. Runs last as many of them as are whole: calls that a change has brought
// into step would else count once more in some.
const holdFor = 1200 * time.Millisecond

func listProbes() []probe {
	return []probe{
		{name: "list", by: "backends", sizes: []float64{30, 200, 2000, 12000},
			metrics: []metric{
				{"list.bytes", "discovery: the whole list, as it is told", "B", false},
				{"list.cpu", "the same, read by a node", "ms", false},
			},
			open: func(_ context.Context, _ *Bench, size float64) (*rig, error) {
				d, err := newDiscovery(int(size), "127.0.0.1:65000")
				if err != nil {
					return nil, err
				}
				text, err := json.Marshal(d.whole())
				d.close()
				if err != nil {
					return nil, err
				}
				rounds := int(max(6000/size, 1))
				return &rig{run: func(context.Context) ([]float64, error) {
					runtime.GC()
					cpu := spent()
					for range rounds {
						if _, err := names.Decode(text, quiet); err != nil {
							return nil, err
						}
					}
					return []float64{float64(len(text)), (spent() - cpu) / float64(rounds)}, nil
				}}, nil
			}},
		{name: "node", by: "backends", sizes: []float64{30, 200, 2000, 12000}, together: true,
			metrics: []metric{
				{"node.calls", "discovery: calls of a node, quiet", "1/s", false},
				{"node.bytes", "the same, bytes both ways", "B/s", false},
				{"node.cpu", "a real node, quiet: processor time", "ms/s", false},
				{"node.change.bytes", "discovery: a change told to a node, bytes both ways beyond the quiet", "B", false},
				{"node.change.cpu", "the same, processor time of the node", "ms", false},
				{"node.zone.bytes", "discovery: a twelfth of the backends at once told to a node, bytes", "B", false},
				{"node.zone.cpu", "the same, processor time of the node", "ms", false},
			},
			open: func(ctx context.Context, b *Bench, size float64) (*rig, error) {
				p, err := newPlace(int(size), 10, false)
				if err != nil {
					return nil, err
				}
				x, err := b.start(ctx, p)
				if err != nil {
					p.close()
					return nil, err
				}
				sleep(ctx, b.Span) // what the start leaves behind
				d, pid, state := p.discovery, x.cmd.Process.Pid, balancer.BackendReady
				over := func(ctx context.Context, span time.Duration, do func()) (seconds, calls, bytes, cpu float64) {
					calls, bytes, cpu = float64(d.calls.Load()), float64(d.bytes.Load()), spentBy(pid)
					begun := time.Now()
					do()
					sleep(ctx, span-time.Since(begun))
					return time.Since(begun).Seconds(), float64(d.calls.Load()) - calls, float64(d.bytes.Load()) - bytes, spentBy(pid) - cpu
				}
				return &rig{run: func(ctx context.Context) ([]float64, error) {
					s, calls, bytes, cpu := over(ctx, 2*holdFor, func() {})
					const changes = 8
					s2, _, bytes2, cpu2 := over(ctx, 1300*time.Millisecond, func() {
						for k := range changes { // further apart than calls are
							d.change([...]balancer.BackendState{balancer.BackendDraining, balancer.BackendReady}[k/2%2], k%int(size))
							sleep(ctx, 150*time.Millisecond)
						}
					})
					state = balancer.BackendDraining + balancer.BackendReady - state
					s3, _, bytes3, cpu3 := over(ctx, 800*time.Millisecond, func() {
						zone := make([]int, max(int(size)/12, 1))
						for k := range zone {
							zone[k] = k
						}
						d.change(state, zone...)
					})
					return []float64{calls / s, bytes / s, cpu / s, max(bytes2-bytes*s2/s, 0) / changes, max(cpu2-cpu*s2/s, 0) / changes,
						max(bytes3-bytes*s3/s, 0), max(cpu3-cpu*s3/s, 0)}, nil
				}, close: func() { x.kill(); p.close() }}, nil
			}},
		{name: "watchers", by: "nodes", alone: true, sizes: []float64{50, 150, 500, 1500}, quick: []float64{25, 50, 100, 200},
			metrics: []metric{
				{"watchers.calls", "discovery's stand-in, quiet: calls", "1/s", false},
				{"watchers.bytes", "the same, bytes both ways", "B/s", false},
				{"watchers.cpu", "the same, processor time with that of the watchers, which are the node's own, in one process", "ms/s", false},
				{"watchers.change.bytes", "discovery's stand-in, one change told to all", "B", false},
				{"watchers.change.cpu", "the same, processor time as above", "ms", false},
				{"watchers.change.ms", "the same, until the last one has it", "ms", true},
			},
			open: func(ctx context.Context, b *Bench, size float64) (*rig, error) {
				d, err := newDiscovery(200, "127.0.0.1:65000")
				if err != nil {
					return nil, err
				}
				ctx, end := context.WithCancel(ctx)
				var heard atomic.Int64
				watchers := make([]*discovery.Watch, int(size))
				for range watchers {
					w := &discovery.Watch{Address: d.address, Deployment: names, Log: quiet}
					w.OnList = func(l *discovery.List) {
						if len(l.Endpoints) > 0 {
							heard.Add(1)
						}
					}
					w.OnFailure = w.Poll
					w.Start(ctx)
					w.Poll()
					sleep(ctx, holdFor/time.Duration(len(watchers))) // spread, as starts are
				}
				until := func(n int64) bool {
					for begun := time.Now(); heard.Load() < n; sleep(ctx, time.Millisecond) {
						if ctx.Err() != nil || time.Since(begun) > 20*time.Second {
							return false
						}
					}
					return true
				}
				until(int64(size))
				sleep(ctx, 200*time.Millisecond)
				k := 0
				return &rig{run: func(ctx context.Context) ([]float64, error) {
					calls, bytes, cpu, begun := float64(d.calls.Load()), float64(d.bytes.Load()), spent(), time.Now()
					sleep(ctx, holdFor)
					s := time.Since(begun).Seconds()
					calls, bytes, cpu = float64(d.calls.Load())-calls, float64(d.bytes.Load())-bytes, spent()-cpu
					bytes2, cpu2, begun := float64(d.bytes.Load()), spent(), time.Now()
					before := heard.Load()
					k++
					d.change(balancer.BackendState(1+k%2), k%200)
					until(before + int64(size))
					ms := float64(time.Since(begun).Microseconds()) / 1e3
					bytes2, cpu2 = float64(d.bytes.Load())-bytes2, spent()-cpu2
					sleep(ctx, 150*time.Millisecond)
					return []float64{calls / s, bytes / s, cpu / s, bytes2, cpu2, ms}, nil
				}, close: func() { end(); d.close() }}, nil
			}},
	}
}
