package loopback

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"time"

	"pearknot/internal/admin"
	"pearknot/internal/invariants"
	"pearknot/internal/lab/experiment"
)

const (
	followEvery = 50 * time.Millisecond
	readyWithin = 10 * time.Second
	endWithin   = 5 * time.Second // after SIGTERM; then it is killed
	yesWithin   = 6 * time.Second // of a process that follows another
)

// node is one real process of the program.
type node struct {
	hub     *hub
	number  int
	zone    int
	dir     string
	command []string
	list    *list
	address string
	secure  string   // where it serves TLS
	control string   // where operators call; empty is nowhere
	shared  string   // TMPDIR of its processes
	more    []string // arguments
	from    string   // where its list is
	life    int

	mu      sync.Mutex
	process *process
	ready   bool
	deadAt  float64       // -1 while it lives
	cpu     time.Duration // of its processes that have ended
	crashed func(error)
}

// process is one of a node's, of which there may be two for a while.
type process struct {
	*exec.Cmd
	ended  chan struct{} // closed when it has
	expect bool          // its end is our doing
}

// DeploymentSettings are those of the configuration, in the deployment's own form.
func DeploymentSettings(e *experiment.Experiment, zone int) map[string]any {
	effects := map[string]string{"redeliverable": "pure", "deduplicated": "token", "at-most-once": "side_effect"}
	var categories []map[string]any
	for _, c := range e.Classes {
		k := map[string]any{"name": c.Name, "idempotency": effects[c.Idempotency], "targetLatency": c.LatencyObjectiveMs, "ttl": c.DeadlineMs,
			"benefit": c.PriorityWeight, "overdueBenefit": c.LateWeight}
		if c.Idempotency == "deduplicated" {
			k["keyTtl"] = c.DedupWindowMs
			if c.DedupScope != "" {
				k["dedupScope"] = c.DedupScope
			}
		}
		categories = append(categories, k)
	}
	var kinds []string
	for _, m := range e.Machines {
		kinds = append(kinds, m.Name)
	}
	by, mode := "request", "automatic"
	if e.Rules.WeightByWork {
		by = "work"
	}
	if e.EndpointList.PollOnly {
		mode = "subscribe"
	}
	return map[string]any{"az": zone, "balancers": e.Fleet.Nodes, "benefitBy": by, "categories": categories, "kinds": kinds,
		"zones": e.Fleet.Zones, "tenants": []string{}, "registryMode": mode, "prices": map[string]any{"crossZone": e.Fleet.CrossZoneCost},
		"loadReport": map[string]any{"fields": []string{"mean_ms", "inflight"}, "via": "inline"},
		"bounds": map[string]any{"cancel": e.Rules.CancelAttempts, "connIdle": e.Fleet.IdleTimeoutMs, "connectTimeout": e.Fleet.ConnectTimeoutMs,
			"mostHeld": 20000, "mostPushes": e.Rules.MaxAttempts, "retryAfter": e.Rules.SendRetryAfter, "maxRetryAfter": e.Rules.MaxRetryAfterMs,
			"secondCopies": e.Rules.AllowHedging},
		"rules": map[string]any{"askWithin": e.Fleet.PollIntervalMs, "coldFrom": e.Backend.ColdSpeedShare, "drainGrace": e.Rules.DrainGraceMs,
			"fallMultiple": e.Backend.OverloadMultiple, "overloadFor": e.Backend.OverloadWindowMs, "warmWithin": e.Backend.WarmupMs}}
}

// config is the text of the node's configuration, with the list as it was at a time.
func (n *node) config(listAt float64) (string, error) {
	n.life++
	e := n.hub.e
	seed := strconv.FormatUint(uint64(n.number)*7919+uint64(n.life)*104729+n.hub.seed()*31+12345, 16)
	data, err := json.MarshalIndent(map[string]any{"name": fmt.Sprintf("n%d", n.number), "listen": n.address, "discovery": n.from, "control": n.control,
		"seed": seed, "limits": map[string]any{"cores": e.Fleet.NodeCores, "memory_mb": e.Fleet.NodeMemoryMB, "sockets": e.Fleet.NodeDescriptors},
		"known": n.list.known(listAt, n.zone), "settings": DeploymentSettings(e, n.zone)}, "", " ")
	return string(data), err
}

// start starts the process with the list as it was at a time, and waits until it says that it is ready.
func (n *node) start(listAt float64) error {
	data, err := n.config(listAt)
	if err != nil {
		return err
	}
	file := filepath.Join(n.dir, fmt.Sprintf("n%d.json", n.number))
	if err := os.WriteFile(file, []byte(data), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(n.dir, fmt.Sprintf("n%d.log", n.number)), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	p := &process{Cmd: exec.Command(n.command[0], slices.Concat(n.command[1:], []string{"--config", file}, n.more)...), ended: make(chan struct{})}
	p.Stderr, p.Stdout = log, log
	if n.shared != "" {
		p.Env = append(os.Environ(), "TMPDIR="+n.shared)
	}
	// Should the lab itself be killed, its nodes end with it; a group of their own keeps a terminal's interrupt from them.
	p.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if err := p.Start(); err != nil {
		_ = log.Close()
		return fmt.Errorf("node %d: %w", n.number, err)
	}
	n.mu.Lock()
	older := n.process
	n.process = p
	n.mu.Unlock()
	go func() {
		err := p.Wait()
		_ = log.Close()
		n.mu.Lock()
		last, expected := n.process == p, p.expect
		if last { // else another goes on as this node
			n.ready, n.deadAt = false, n.hub.now()
		}
		n.cpu += p.ProcessState.UserTime() + p.ProcessState.SystemTime()
		n.mu.Unlock()
		if expected && last {
			n.hub.tell(invariants.Event{Kind: invariants.NodeKilled, Node: n.number})
		}
		close(p.ended)
		if !expected {
			n.crashed(fmt.Errorf("node %d ended by itself: %w, see %s", n.number, err, log.Name()))
		}
	}()
	if older != nil && !older.over() {
		return n.untilYes(p)
	}
	return n.untilReady(p.ended)
}

func (p *process) over() bool {
	select {
	case <-p.ended:
		return true
	default:
		return false
	}
}

// untilYes waits for a process that follows another: the node's health is the other's until then.
func (n *node) untilYes(p *process) error {
	for begun := time.Now(); time.Since(begun) < yesWithin; {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		_, yes, err := admin.SendLine(ctx, n.control, "health")
		cancel()
		if err == nil && yes {
			return nil
		}
		select {
		case <-p.ended:
			return fmt.Errorf("node %d: its next process ended before it was ready", n.number)
		case <-time.After(5 * time.Millisecond):
		}
	}
	return fmt.Errorf("node %d: its next process not ready within %v", n.number, yesWithin)
}

// upgrade starts the next process beside the one that runs, and ends that one when the next says yes.
func (n *node) upgrade() error {
	n.mu.Lock()
	older := n.process
	n.mu.Unlock()
	var err error
	if n.control, err = freeAddress(n.hub.home); err != nil {
		return err
	}
	if err := n.start(n.hub.now()); err != nil {
		return err
	}
	n.mu.Lock()
	older.expect = true
	n.mu.Unlock()
	_ = older.Process.Signal(syscall.SIGTERM)
	select {
	case <-older.ended:
		return nil
	case <-time.After(endWithin):
		return fmt.Errorf("node %d: its former process did not end within %v", n.number, endWithin)
	}
}

// call makes an operator's call, whose answer is to be yes.
func (n *node) call(line string) error {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	answer, yes, err := admin.SendLine(ctx, n.control, line)
	if err == nil && !yes {
		err = errors.New(answer)
	}
	if err != nil {
		return fmt.Errorf("node %d: %s: %w", n.number, line, err)
	}
	return nil
}

// send has clients go elsewhere, or come again: the front hears of it within that time.
func (n *node) send(away bool) error {
	if err := n.call(map[bool]string{true: "quiesce", false: "resume"}[away]); err != nil {
		return err
	}
	n.mu.Lock()
	n.ready = !away
	n.mu.Unlock()
	return nil
}

func (n *node) untilReady(ended chan struct{}) error {
	c := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: time.Second}
	for begun := time.Now(); time.Since(begun) < readyWithin; {
		if a, err := c.Get("http://" + n.address + "/_health"); err == nil {
			_ = a.Body.Close()
			if a.StatusCode == http.StatusOK {
				n.mu.Lock()
				n.ready, n.deadAt = true, -1
				n.mu.Unlock()
				return nil
			}
		}
		select {
		case <-ended:
			return fmt.Errorf("node %d ended before it was ready", n.number)
		case <-time.After(5 * time.Millisecond):
		}
	}
	return fmt.Errorf("node %d not ready within %v", n.number, readyWithin)
}

// follow looks at the health of a node that somebody else starts and ends, as a front before nodes does.
func (n *node) follow(ctx context.Context) {
	c := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: time.Second}
	for ctx.Err() == nil {
		well := false
		if a, err := c.Get("http://" + n.address + "/_health"); err == nil {
			_ = a.Body.Close()
			well = a.StatusCode == http.StatusOK
		}
		n.mu.Lock()
		if n.ready && !well {
			n.deadAt = n.hub.now()
		}
		n.ready = well
		n.mu.Unlock()
		wait(ctx, followEvery)
	}
}

// kill ends the process without warning and waits until it is gone.
func (n *node) kill() { n.end(syscall.SIGKILL, 0) }

// end asks the process to end, and kills it where it doesn't within a time.
func (n *node) end(first syscall.Signal, within time.Duration) {
	n.mu.Lock()
	p := n.process
	if p != nil {
		p.expect = true
	}
	n.mu.Unlock()
	if p == nil {
		return
	}
	_ = p.Process.Signal(first)
	if within > 0 {
		select {
		case <-p.ended:
			return
		case <-time.After(within):
			_ = p.Process.Kill()
		}
	}
	<-p.ended
}

// open tells whether the front before the nodes still sends clients here.
func (n *node) open(now float64) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.ready || n.deadAt >= 0 && n.life > 0 && now < n.deadAt+n.hub.e.Clients.DeadNodeMs
}

func (n *node) letter() byte {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.ready {
		return 'U'
	}
	return '-'
}

// freeAddress finds a port that nobody has now.
func freeAddress(home string) (string, error) {
	l, err := net.Listen("tcp", home+":0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// free finds an address for a node: one that none of the others was given, though none listens there yet.
func (w *world) free(of *node) (string, error) {
	all := append(slices.Clone(w.nodes), of)
	for {
		address, err := freeAddress(w.home)
		if err != nil || !slices.ContainsFunc(all, func(n *node) bool { return address == n.address || address == n.secure }) {
			return address, err
		}
	}
}

// drain reads an answer's rest, so that its connection can be used again.
func drain(r io.Reader) ([]byte, error) { return io.ReadAll(io.LimitReader(r, 1<<20)) }
