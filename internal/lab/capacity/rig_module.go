package capacity

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"runtime"
	"time"

	"pearknot/balancer"
	"pearknot/internal/capture"
	"pearknot/internal/clock"
	"pearknot/internal/config"
)

// perNode is the requests a second at which a node's costs are measured, and busy a node that has ten times as many.
const (
	perNode = 64.0
	busy    = 640.0
)

// plain are terms of a node among many, with so many tenants.
func plain(tenants int) *balancer.Config {
	t := &balancer.Config{Seed: 1, Nodes: 100, MaxAttempts: 3, AllowHedging: true, CancelAttempts: true, SlowStartShare: 0.3, SlowStartWindow: 8000,
		OverloadMultiple: 4, OverloadWindow: 2000, Classes: []balancer.Class{{LatencyObjective: 600, PriorityWeight: 1}}}
	for range tenants {
		t.Tenants = append(t.Tenants, balancer.Tenant{Quota: 5})
	}
	return t
}

func lines(backends int) (all []balancer.Endpoint) {
	for k := range backends {
		all = append(all, balancer.Endpoint{Backend: &balancer.Backend{ID: uint64(k)}, State: balancer.BackendReady, Zone: k % 2, Kind: k % 3, Weight: 1})
	}
	return all
}

// host drives a module as a node does, at a node's rate, in virtual time.
type host struct {
	module  balancer.Decider
	now     float64
	tenants int
	rng     *rand.Rand
}

func newHost(module balancer.Decider, tenants, backends int) *host {
	h := &host{module: module, now: 1, tenants: tenants, rng: rand.New(rand.NewPCG(1, 1))}
	h.module.EndpointsChanged(h.now, lines(backends), true, false)
	h.pull()
	return h
}

func (h *host) pull() (p *balancer.Attempt) {
	for d, more := h.module.Next(); more; d, more = h.module.Next() {
		if d.Kind == balancer.DoAttempt {
			p = d.Attempt
		}
	}
	return p
}

// request takes one, and gives the push that was decided; none is out when it comes.
func (h *host) request() *balancer.Attempt {
	h.now += 1e3 / perNode
	op := &balancer.Request{Deadline: h.now + 2000, CostHint: 30, HasCostHint: true}
	if h.tenants > 0 {
		op.Tenant = h.rng.IntN(h.tenants)
	}
	h.module.RequestArrived(h.now, op)
	return h.pull()
}

func (h *host) answer(p *balancer.Attempt) {
	h.module.LoadReported(h.now+3, p.Backend, balancer.LoadReport{ServiceTime: 3, InFlight: 2, Queued: balancer.NotReported})
	h.module.AttemptEnded(h.now+3, p, balancer.OutcomeAnswered, 3, true)
	h.pull()
}

// through sees so many through.
func (h *host) through(n int) {
	for range n {
		if p := h.request(); p != nil {
			h.answer(p)
		}
	}
}

// requests sees so many through and gives processor times of a decision and of an answer, in us, and what a request allocates.
func (h *host) requests(n int) []float64 {
	runtime.GC()
	objects, bytes := made()
	begun, decided := spent(), 0.0
	for range n {
		before := spent()
		p := h.request()
		decided += spent() - before
		if p != nil {
			h.answer(p)
		}
	}
	all, k := spent()-begun, float64(n)
	objects2, bytes2 := made()
	return []float64{decided * 1e3 / k, (all - decided) * 1e3 / k, (objects2 - objects) / k, (bytes2 - bytes) / k}
}

func moduleMetrics(by string) []metric {
	return []metric{
		{"module." + by + ".decided", "the module: a request taken and decided, no load", "us", false},
		{"module." + by + ".answered", "the same, its answer heard", "us", false},
		{"module." + by + ".objects", "the same, objects allocated", "1", false},
		{"module." + by + ".bytes", "the same, bytes allocated", "B", false},
	}
}

func moduleProbes() []probe {
	count := func(b *Bench, backends, tenants float64) int { // so many that a run takes a fraction of a second
		n := 4e6 / (2000 + backends*60 + tenants*2)
		if b.Quick {
			n /= 4
		}
		return int(min(max(n, 40), 2000))
	}
	open := func(backends, tenants func(size float64) float64) func(context.Context, *Bench, float64) (*rig, error) {
		return func(_ context.Context, b *Bench, size float64) (*rig, error) {
			t := plain(int(tenants(size)))
			h := newHost(balancer.New(t, 1), len(t.Tenants), int(backends(size)))
			h.through(60) // past the first hints
			return &rig{run: func(context.Context) ([]float64, error) {
				return h.requests(count(b, backends(size), tenants(size))), nil
			}}, nil
		}
	}
	just := func(n float64) func(float64) float64 { return func(float64) float64 { return n } }
	same := func(n float64) float64 { return n }
	return []probe{
		{name: "module-backends", by: "backends", sizes: []float64{30, 200, 2000, 12000}, metrics: moduleMetrics("backends"), open: open(same, just(0))},
		{name: "module-tenants", by: "tenants", sizes: []float64{10, 1000, 10000, 140000}, quick: []float64{10, 1000, 10000, 50000},
			metrics: moduleMetrics("tenants"), open: open(just(200), same)},
		{name: "module-instances", by: "modules in a process", sizes: []float64{10, 50, 200, 400}, quick: []float64{10, 25, 50, 100},
			metrics: []metric{
				{"instances.heap", "modules of 30 backends each in one process: heap", "B", false},
				{"instances.decided", "the same, a request taken, decided and answered by one of them", "us", false},
			},
			open: func(_ context.Context, b *Bench, size float64) (*rig, error) {
				return &rig{run: func(context.Context) ([]float64, error) {
					before := heap()
					hosts := make([]*host, int(size))
					for k := range hosts {
						hosts[k] = newHost(balancer.New(plain(0), 1), 0, 30)
						hosts[k].through(60)
					}
					after, cpu, n := heap(), spent(), 0
					for range 10 {
						for _, h := range hosts {
							h.through(1)
							n++
						}
					}
					cpu = (spent() - cpu) * 1e3 / float64(n)
					runtime.KeepAlive(hosts)
					return []float64{max(after-before, 0), cpu}, nil
				}}, nil
			}},
	}
}

// settings are a deployment's with so many tenants, for so many nodes.
func settings(tenants int) map[string]any {
	all := make([]map[string]any, tenants)
	for k := range all {
		all[k] = map[string]any{"name": tenantName(k), "quotaPerS": 5 + k%7}
	}
	return map[string]any{"az": 0, "balancers": 100, "benefitBy": "request", "zones": []string{"a", "b"}, "kinds": []string{"m"},
		"tenants": all, "registryMode": "automatic", "loadReport": map[string]any{"fields": []string{"mean_ms", "inflight"}, "via": "inline"},
		"bounds": map[string]any{"cancel": true, "connIdle": 15000, "connectTimeout": 250, "mostHeld": 20000, "mostPushes": 3,
			"retryAfter": true, "maxRetryAfter": 2000, "secondCopies": true},
		"rules":      map[string]any{"askWithin": 10000, "coldFrom": 0.3, "drainGrace": 500, "fallMultiple": 4, "overloadFor": 2000, "warmWithin": 9000},
		"categories": []map[string]any{{"name": "check", "benefit": 1, "idempotency": "pure", "overdueBenefit": 0.2, "targetLatency": 500, "ttl": 20000}}}
}

func tenantName(k int) string { return fmt.Sprintf("tenant-%06d", k) }

func termsProbes() []probe {
	return []probe{{name: "settings", by: "tenants", sizes: []float64{10, 1000, 10000, 140000}, quick: []float64{10, 1000, 10000, 50000},
		metrics: []metric{
			{"settings.cpu", "the settings read", "ms", false},
			{"settings.bytes", "the same, their text", "B", false},
			{"settings.allocated", "the same, allocated while they are read", "B", false},
			{"settings.heap", "the same, kept of them", "B", false},
		},
		open: func(_ context.Context, b *Bench, size float64) (*rig, error) {
			text, err := json.Marshal(settings(int(size)))
			if err != nil {
				return nil, err
			}
			rounds := int(min(max(2e4/size, 1), 50))
			return &rig{run: func(context.Context) ([]float64, error) {
				before := heap()
				_, bytes := made()
				cpu := spent()
				var d *config.Deployment
				for range rounds {
					var err error
					if d, err = config.ParseJSON(text); err != nil {
						return nil, err
					}
				}
				cpu = (spent() - cpu) / float64(rounds)
				_, after := made()
				kept := max(heap()-before, 0)
				runtime.KeepAlive(d)
				return []float64{cpu, float64(len(text)), (after - bytes) / float64(rounds), kept}, nil
			}}, nil
		}}}
}

func captureProbes() []probe {
	const backends = 30
	return []probe{{name: "capture", by: "requests", sizes: []float64{500, 2000, 8000, 32000}, quick: []float64{250, 500, 1000, 2000},
		metrics: []metric{
			{"capture.bytes", "capture, 30 backends: bytes on disk, packed", "B", false},
			{"capture.cpu", "the same, processor time beyond that without", "ms", false},
		},
		open: func(_ context.Context, _ *Bench, size float64) (*rig, error) {
			return &rig{run: func(context.Context) (values []float64, err error) {
				through := func(module balancer.Decider) float64 {
					h := newHost(module, 0, backends)
					before := spent()
					h.through(int(size))
					return spent() - before
				}
				t := plain(0)
				runtime.GC()
				without := through(balancer.New(t, 1))
				dir, err := os.MkdirTemp("", "pearknot-capacity")
				if err != nil {
					return nil, err
				}
				defer func() { _ = os.RemoveAll(dir) }()
				now := clock.New()
				w, err := capture.NewWriter(capture.WriterConfig{Dir: dir, NodeName: "n", SegmentMB: 64, MaxTotalMB: 512, MaxAge: time.Hour, FlushInterval: time.Second,
					BlockKB: 256, MaxPendingMB: 256, Sync: capture.SyncNever, Log: quiet, Now: now.Now})
				if err != nil {
					return nil, err
				}
				r, err := capture.NewRecorder(balancer.New(t, 1), 1, capture.Start{Name: "n", Config: t}, capture.Options{SnapshotIntervalMs: 10e3, Sink: w.Put})
				if err != nil {
					w.Close()
					return nil, err
				}
				runtime.GC()
				before := spent()
				through(r)
				w.Close()
				cpu := spent() - before
				files, err := os.ReadDir(dir)
				if err != nil {
					return nil, err
				}
				bytes := 0.0
				for _, f := range files {
					if i, err := f.Info(); err == nil {
						bytes += float64(i.Size())
					}
				}
				return []float64{bytes, max(cpu-without, 0)}, nil
			}}, nil
		}}}
}
