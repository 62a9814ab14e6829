package capacity

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"pearknot/balancer"
	"pearknot/internal/lab/discoverystub"
)

var quiet = slog.New(slog.DiscardHandler)

const (
	descriptors = 15000 // that a node may have, where nothing else is said
	readyWithin = 60 * time.Second
)

// discoveryServer is a stand-in for the service that names the backends, which counts what it costs. Every backend's address is that
// of one listener.
type discoveryServer struct {
	address string
	backend string
	calls   atomic.Int64
	bytes   atomic.Int64 // both ways

	server *http.Server
	wg     sync.WaitGroup
	mu     sync.Mutex
	roll   *discoverystub.Service
	news   chan struct{} // closed when there is something newer
}

type entry struct {
	UID      string  `json:"uid"`
	Endpoint string  `json:"endpoint"`
	AZ       string  `json:"az"`
	Model    string  `json:"model"`
	PodGroup int     `json:"pod_group"`
	State    string  `json:"state"`
	Weight   float64 `json:"capacity_hint"`
	BootMs   float64 `json:"boot_ms"`
}

type told struct {
	Rev     int     `json:"rev"`
	All     bool    `json:"all"`
	Targets []entry `json:"targets"`
}

var states = map[balancer.BackendState]string{balancer.BackendReady: "up", balancer.BackendDraining: "draining", balancer.BackendRemoved: "removed"}

// counted are connections whose bytes are counted.
type counted struct {
	net.Listener
	bytes *atomic.Int64
}

type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (l counted) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countedConn{c, l.bytes}, nil
}

func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

func newDiscovery(backends int, backend string) (*discoveryServer, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &discoveryServer{address: l.Addr().String(), backend: backend, roll: discoverystub.New(0), news: make(chan struct{})}
	for k := range backends {
		d.roll.Update(0, 0, discoverystub.Entry{Backend: k, State: balancer.BackendReady})
	}
	d.roll.Advance(0)
	d.server = &http.Server{Handler: http.HandlerFunc(d.serve)}
	d.wg.Go(func() { _ = d.server.Serve(counted{l, &d.bytes}) }) // until closed
	return d, nil
}

func (d *discoveryServer) close() {
	_ = d.server.Close()
	d.wg.Wait()
}

// change tells backends' state, all at once.
func (d *discoveryServer) change(s balancer.BackendState, backends ...int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, b := range backends {
		d.roll.Update(0, 0, discoverystub.Entry{Backend: b, State: s})
	}
	d.roll.Advance(0)
	close(d.news)
	d.news = make(chan struct{})
}

// whole is the list as a configuration has it.
func (d *discoveryServer) whole() told {
	d.mu.Lock()
	defer d.mu.Unlock()
	return told{d.roll.Version(), true, d.entries(d.roll.List())}
}

func (d *discoveryServer) entries(from []discoverystub.Entry) []entry {
	all := make([]entry, 0, len(from))
	for _, e := range from {
		all = append(all, entry{UID: fmt.Sprintf("s-%d", e.Backend), Endpoint: d.backend, AZ: [...]string{"a", "b"}[e.Backend%2], Model: "m",
			PodGroup: e.Backend, State: states[e.State], Weight: 1})
	}
	return all
}

func (d *discoveryServer) serve(w http.ResponseWriter, r *http.Request) {
	d.calls.Add(1)
	from, err := strconv.Atoi(r.URL.Query().Get("from"))
	watching := err == nil
	hold, _ := strconv.Atoi(r.URL.Query().Get("hold_ms"))
	until := time.NewTimer(time.Duration(min(hold, 60_000)) * time.Millisecond)
	defer until.Stop()
	d.mu.Lock()
	for held := true; watching && held && d.roll.Version() <= from; {
		news := d.news
		d.mu.Unlock()
		select {
		case <-news:
		case <-r.Context().Done():
			return
		case <-until.C:
			held = false
		}
		d.mu.Lock()
	}
	answer := told{d.roll.Version(), !watching, nil}
	if watching {
		answer.Targets = d.entries(d.roll.ChangesSince(from))
	} else {
		answer.Targets = d.entries(d.roll.List())
	}
	d.mu.Unlock()
	data, err := json.Marshal(answer)
	if err != nil {
		panic(err) // plain values
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	_, _ = w.Write(data)
}

// place is a node's surroundings: a backend that answers at once, or holds its answers, and discovery.
type place struct {
	dir       string
	discovery *discoveryServer
	backend   *http.Server
	address   string        // the backend's
	hold      chan struct{} // answers wait until it is closed; nil is not at all
	file      string
	wg        sync.WaitGroup
}

func newPlace(backends, tenants int, holds bool) (p *place, err error) {
	p = &place{}
	if holds {
		p.hold = make(chan struct{})
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p.address = l.Addr().String()
	p.backend = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		if p.hold != nil {
			select {
			case <-p.hold:
			case <-r.Context().Done():
			}
		}
		w.Header().Set("Endpoint-Load-Metrics", "TEXT mean_ms=1.000, inflight=1")
		_, _ = io.WriteString(w, "done")
	})}
	p.wg.Go(func() { _ = p.backend.Serve(l) })
	defer func() {
		if err != nil {
			p.close()
		}
	}()
	if p.discovery, err = newDiscovery(backends, p.address); err != nil {
		return nil, err
	}
	if p.dir, err = os.MkdirTemp("", "pearknot-capacity"); err != nil {
		return nil, err
	}
	p.file = filepath.Join(p.dir, "n.json")
	text, err := json.Marshal(map[string]any{"name": "n", "listen": "127.0.0.1:0", "discovery": p.discovery.address, "seed": "8c1f",
		"limits": map[string]any{"cores": 1, "memory_mb": 2048, "sockets": descriptors}, "known": p.discovery.whole(), "settings": settings(tenants)})
	if err != nil {
		return nil, err
	}
	return p, os.WriteFile(p.file, text, 0o600)
}

func (p *place) close() {
	if p.hold != nil {
		close(p.hold)
	}
	if p.discovery != nil {
		p.discovery.close()
	}
	_ = p.backend.Close()
	p.wg.Wait()
	if p.dir != "" {
		_ = os.RemoveAll(p.dir)
	}
}

// process is a real one of the program.
type process struct {
	cmd     *exec.Cmd
	address string
	ready   time.Duration // from its start until its health was well
	again   chan struct{} // it has taken its configuration up anew
	ended   chan struct{}
}

var serving = regexp.MustCompile(`msg=serving .*address=(\S+)`)

// start starts one and waits until it is ready.
func (b *Bench) start(ctx context.Context, p *place) (*process, error) {
	begun := time.Now()
	x := &process{cmd: exec.Command(b.Node[0], slices.Concat(b.Node[1:], []string{"--config", p.file})...), ended: make(chan struct{}), again: make(chan struct{}, 1)}
	x.cmd.Env = append(os.Environ(), "TMPDIR="+p.dir)
	// Should the lab itself be killed, its nodes end with it; a group of their own keeps a terminal's interrupt from them.
	x.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	stderr, err := x.cmd.StderrPipe()
	if err != nil {
		return nil, err
	}
	if err := x.cmd.Start(); err != nil {
		return nil, err
	}
	address, last := make(chan string, 1), ""
	go func() {
		defer close(x.ended)
		lines := bufio.NewScanner(stderr)
		for lines.Scan() {
			last = lines.Text()
			if strings.Contains(last, `msg="configuration reloaded"`) {
				select {
				case x.again <- struct{}{}:
				default:
				}
			}
			if m := serving.FindStringSubmatch(last); m != nil {
				select {
				case address <- m[1]:
				default:
				}
			}
		}
		_, _ = io.Copy(io.Discard, stderr)
		_ = x.cmd.Wait()
	}()
	late := time.NewTimer(readyWithin)
	defer late.Stop()
	select {
	case x.address = <-address:
	case <-x.ended:
		return nil, fmt.Errorf("the node ended before it was ready: %s", last)
	case <-ctx.Done():
		x.kill()
		return nil, ctx.Err()
	case <-late.C:
		x.kill()
		return nil, fmt.Errorf("the node does not serve within %v", readyWithin)
	}
	c := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: time.Second}
	for ctx.Err() == nil && time.Since(begun) < readyWithin {
		if a, err := c.Get("http://" + x.address + "/_health"); err == nil {
			_ = a.Body.Close()
			if a.StatusCode == http.StatusOK {
				x.ready = time.Since(begun)
				return x, nil
			}
		}
		sleep(ctx, 2*time.Millisecond)
	}
	x.kill()
	return nil, errors.Join(ctx.Err(), fmt.Errorf("the node is not ready within %v", readyWithin))
}

func (x *process) kill() {
	_ = x.cmd.Process.Kill()
	<-x.ended
}

// reload has it take its configuration up anew, and gives the processor time that it took, in ms.
func (x *process) reload(ctx context.Context) (cpu float64, err error) {
	cpu = spentBy(x.cmd.Process.Pid)
	if err := x.cmd.Process.Signal(syscall.SIGHUP); err != nil {
		return 0, err
	}
	late := time.NewTimer(readyWithin)
	defer late.Stop()
	select {
	case <-x.again:
		return spentBy(x.cmd.Process.Pid) - cpu, nil
	case <-x.ended:
		return 0, errors.New("the node ended as it was to take its configuration up anew")
	case <-late.C:
		return 0, fmt.Errorf("the node does not take its configuration up anew within %v", readyWithin)
	case <-ctx.Done():
		return 0, ctx.Err()
	}
}

// memory is what it holds, and the most that it has held, in MB.
func (x *process) memory() (now, most float64) { return memoryOf(x.cmd.Process.Pid) }

func memoryOf(pid int) (now, most float64) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, 0
	}
	for line := range strings.Lines(string(text)) {
		fields := strings.Fields(line)
		if len(fields) < 2 {
			continue
		}
		kb, _ := strconv.ParseFloat(fields[1], 64)
		switch fields[0] {
		case "VmRSS:":
			now = kb / 1024
		case "VmHWM:":
			most = kb / 1024
		}
	}
	return now, most
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

func startProbes() []probe {
	open := func(backends, tenants func(size float64) float64, reloads bool) func(context.Context, *Bench, float64) (*rig, error) {
		return func(_ context.Context, b *Bench, size float64) (*rig, error) {
			p, err := newPlace(int(backends(size)), int(tenants(size)), false)
			if err != nil {
				return nil, err
			}
			return &rig{close: p.close, run: func(ctx context.Context) ([]float64, error) {
				x, err := b.start(ctx, p)
				if err != nil {
					return nil, err
				}
				defer x.kill()
				cpu := spentBy(x.cmd.Process.Pid)
				now, most := x.memory()
				values := []float64{float64(x.ready.Microseconds()) / 1e3, cpu, now, most}
				if reloads {
					cpu, err := x.reload(ctx)
					if err != nil {
						return nil, err
					}
					_, most = x.memory()
					values = append(values, cpu, most)
				}
				return values, nil
			}}, nil
		}
	}
	metrics := func(by string) []metric {
		return []metric{
			{"start." + by + ".ready", "a real node: start to ready", "ms", true},
			{"start." + by + ".cpu", "the same, processor time until then", "ms", false},
			{"start." + by + ".rss", "the same, memory held then", "MB", false},
			{"start." + by + ".peak", "the same, the most it had held", "MB", false},
		}
	}
	just := func(n float64) func(float64) float64 { return func(float64) float64 { return n } }
	same := func(n float64) float64 { return n }
	return []probe{
		{name: "start-backends", by: "backends", sizes: []float64{30, 200, 2000, 12000}, metrics: metrics("backends"), open: open(same, just(10), false)},
		{name: "start-tenants", by: "tenants", sizes: []float64{10, 1000, 10000, 140000}, quick: []float64{10, 1000, 10000, 50000},
			metrics: append(metrics("tenants"),
				metric{"reload.cpu", "a real node: its configuration taken up anew, processor time", "ms", false},
				metric{"reload.peak", "the same, the most memory it had held by then", "MB", false}),
			open: open(just(30), same, true)},
	}
}

// client asks by connections that are kept.
func client() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 10000}}
}

// ask sends a request to an address and tells how long its answer took and whether it was 200.
func ask(ctx context.Context, c *http.Client, address, id, tenant string) (float64, bool) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/api", nil)
	if err != nil {
		panic(err) // plain values
	}
	r.Header.Set("X-Trace-Id", id)
	r.Header.Set("X-Qos", "check")
	r.Header.Set("X-Expires-In-Ms", "2000")
	r.Header.Set("X-Size-Hint", "1000")
	r.Header.Set("X-Customer", tenant)
	begun := time.Now()
	a, err := c.Do(r)
	if err != nil {
		return float64(time.Since(begun).Microseconds()) / 1e3, false
	}
	_, err = io.Copy(io.Discard, a.Body)
	_ = a.Body.Close()
	return float64(time.Since(begun).Microseconds()) / 1e3, err == nil && a.StatusCode == http.StatusOK
}

// quantile of sorted values.
func quantile(sorted []float64, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(int(math.Ceil(q*float64(len(sorted)))), len(sorted))-1]
}

// addedProbes ask a node and its backend itself in turn, at a rate, whatever becomes of the requests before. What a quantile of the
// one is beyond that of the other is what the node adds, clients' own waits on this machine aside.
func addedProbes() []probe {
	open := func(rate float64, backends, tenants func(size float64) float64) func(context.Context, *Bench, float64) (*rig, error) {
		return func(ctx context.Context, b *Bench, size float64) (*rig, error) {
			tenantsOf := int(tenants(size))
			p, err := newPlace(int(backends(size)), tenantsOf, false)
			if err != nil {
				return nil, err
			}
			x, err := b.start(ctx, p)
			if err != nil {
				p.close()
				return nil, err
			}
			c, seq, span := client(), 0, b.Span
			if rate == perNode {
				span *= 2
			}
			burst := func(ctx context.Context, span time.Duration) (through, direct []float64, lost int) {
				var mu sync.Mutex
				var wg sync.WaitGroup
				gap := time.Duration(float64(time.Second) / rate)
				begun := time.Now()
				for at := time.Duration(0); at < span && ctx.Err() == nil; at += gap {
					sleep(ctx, at-time.Since(begun))
					seq++
					id, tenant := fmt.Sprintf("%016x", seq), tenantName(seq*7919%max(tenantsOf, 1))
					wg.Go(func() {
						ms, ok := ask(ctx, c, x.address, id, tenant)
						mu.Lock()
						defer mu.Unlock()
						through = append(through, ms)
						if !ok {
							lost++
						}
					})
					wg.Go(func() {
						ms, _ := ask(ctx, c, p.address, id, tenant)
						mu.Lock()
						defer mu.Unlock()
						direct = append(direct, ms)
					})
				}
				wg.Wait()
				slices.Sort(through)
				slices.Sort(direct)
				return through, direct, lost
			}
			burst(ctx, b.Span/2) // first connections
			return &rig{run: func(ctx context.Context) ([]float64, error) {
				cpu := spentBy(x.cmd.Process.Pid)
				through, direct, lost := burst(ctx, span)
				cpu = spentBy(x.cmd.Process.Pid) - cpu
				n := float64(max(len(through), 1))
				added := func(q float64) float64 { return max(quantile(through, q)-quantile(direct, q), 0) }
				return []float64{added(0.5), added(0.99), added(0.999), cpu * 1e3 / n, float64(lost) / n}, nil
			}, close: func() { x.kill(); c.CloseIdleConnections(); p.close() }}, nil
		}
	}
	just := func(n float64) func(float64) float64 { return func(float64) float64 { return n } }
	same := func(n float64) float64 { return n }
	var all []probe
	for _, rate := range []float64{perNode, busy} {
		metrics := func(by string) []metric {
			key := fmt.Sprintf("added.%g.%s.", rate, by)
			return []metric{
				{key + "50", fmt.Sprintf("time added to a request at %g/s, 50 in 100", rate), "ms", true},
				{key + "99", "the same, 99 in 100", "ms", true},
				{key + "99.9", map[float64]string{perNode: "the same, the worst of a run's 192", busy: "the same, 999 in 1,000"}[rate], "ms", true},
				{key + "cpu", "the same, processor time of the node a request", "us", false},
				{key + "lost", "the same, share not served", "1", true},
			}
		}
		all = append(all,
			probe{name: fmt.Sprintf("added-%g-backends", rate), by: "backends", alone: true, together: rate == perNode, sizes: []float64{30, 200, 2000, 12000}, metrics: metrics("backends"),
				open: open(rate, same, just(10))},
			probe{name: fmt.Sprintf("added-%g-tenants", rate), by: "tenants", alone: true, together: rate == perNode, sizes: []float64{10, 1000, 10000, 140000}, quick: []float64{10, 1000, 10000, 50000},
				metrics: metrics("tenants"), open: open(rate, just(30), same)})
	}
	return all
}

func waitingProbes() []probe {
	memory := func(key, what string) []metric {
		return []metric{{key + ".rss", what, "MB", false}}
	}
	return []probe{
		{name: "connections", by: "open connections", sizes: []float64{100, 1000, 3000, 8000}, quick: []float64{100, 300, 1000, 2000},
			metrics: memory("connections", "a real node, idle connections of clients: memory held"),
			open: func(_ context.Context, b *Bench, size float64) (*rig, error) {
				p, err := newPlace(30, 10, false)
				if err != nil {
					return nil, err
				}
				return &rig{close: p.close, run: func(ctx context.Context) ([]float64, error) {
					x, err := b.start(ctx, p)
					if err != nil {
						return nil, err
					}
					defer x.kill()
					for range int(size) {
						c, err := net.DialTimeout("tcp", x.address, 5*time.Second)
						if err != nil {
							return nil, err
						}
						defer c.Close()
						if _, err := io.WriteString(c, "GET /_health HTTP/1.1\r\nHost: n\r\n\r\n"); err != nil {
							return nil, err
						}
						_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
						if _, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil {
							return nil, err
						}
					}
					now, _ := x.memory()
					return []float64{now}, nil
				}}, nil
			}},
		{name: "waiting", by: "waiting requests", sizes: []float64{100, 500, 1500, 4000}, quick: []float64{100, 250, 500, 1000},
			metrics: memory("waiting", "a real node, requests that wait while backends hold their answers: memory held"),
			open: func(_ context.Context, b *Bench, size float64) (*rig, error) {
				p, err := newPlace(30, 10, true)
				if err != nil {
					return nil, err
				}
				return &rig{close: p.close, run: func(ctx context.Context) ([]float64, error) {
					x, err := b.start(ctx, p)
					if err != nil {
						return nil, err
					}
					defer x.kill()
					ctx, end := context.WithCancel(ctx)
					defer end()
					for k := range int(size) {
						c, err := net.DialTimeout("tcp", x.address, 5*time.Second)
						if err != nil {
							return nil, err
						}
						defer c.Close()
						if _, err := fmt.Fprintf(c, "GET /api HTTP/1.1\r\nHost: n\r\nX-Trace-Id: %016x\r\nX-Qos: check\r\nX-Expires-In-Ms: 15000\r\nX-Size-Hint: 1000\r\nX-Customer: %s\r\n\r\n",
							k+1, tenantName(k%10)); err != nil {
							return nil, err
						}
					}
					sleep(ctx, 300*time.Millisecond)
					now, _ := x.memory()
					return []float64{now}, nil
				}}, nil
			}},
	}
}
