// Package standin holds the small stand-ins of the review's cases: a discovery service, backends, a client, and the start of
// the project's own programs as separate processes. They do what PROTOCOL.md and DEPLOY.md say and nothing else.
package standin

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Record writes what was sent, answered and run to record.txt, with the time since the start.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// NewRecord creates the record file.
func NewRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{file: file, start: time.Now()}, nil
}

// Printf writes a line to the record and to standard output.
func (r *Record) Printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%9.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
	_, _ = io.WriteString(r.file, line)
	fmt.Print(line)
}

// FreeAddress returns a loopback address with a port that is free now.
func FreeAddress() string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

// Target is an entry of the endpoint list, with the protocol's names.
type Target struct {
	UID      string  `json:"uid"`
	Endpoint string  `json:"endpoint"`
	AZ       string  `json:"az"`
	Model    string  `json:"model"`
	PodGroup int     `json:"pod_group"`
	State    string  `json:"state"`
	Hint     float64 `json:"capacity_hint"`
	BootMs   float64 `json:"boot_ms"`
}

// List is an endpoint list, with the protocol's names.
type List struct {
	Rev     uint64   `json:"rev"`
	All     bool     `json:"all"`
	Targets []Target `json:"targets"`
}

// Discovery serves a list, which is given whole or, to a watch, as the entries that changed since its version.
type Discovery struct {
	Address string

	mu      sync.Mutex
	rev     uint64
	targets map[string]Target
	changed map[string]uint64 // version of each entry's last change
	wake    chan struct{}
	server  *http.Server
}

// NewDiscovery starts a discovery service at a free address.
func NewDiscovery() (*Discovery, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &Discovery{Address: listener.Addr().String(), rev: 1, targets: map[string]Target{}, changed: map[string]uint64{}, wake: make(chan struct{})}
	d.server = &http.Server{Handler: d, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = d.server.Serve(listener) }()
	return d, nil
}

// Set adds or changes entries.
func (d *Discovery) Set(targets ...Target) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.rev++
	for _, t := range targets {
		d.targets[t.UID] = t
		d.changed[t.UID] = d.rev
	}
	close(d.wake)
	d.wake = make(chan struct{})
}

// Whole returns the whole list.
func (d *Discovery) Whole() List {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.listLocked(0, true)
}

func (d *Discovery) listLocked(from uint64, all bool) List {
	list := List{Rev: d.rev, All: all, Targets: []Target{}}
	for uid, t := range d.targets {
		if all && t.State == "removed" || !all && d.changed[uid] <= from {
			continue
		}
		list.Targets = append(list.Targets, t)
	}
	return list
}

// ServeHTTP implements http.Handler.
func (d *Discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseUint(r.URL.Query().Get("from"), 10, 64)
	holdMs, _ := strconv.Atoi(r.URL.Query().Get("hold_ms"))
	isWatch := err == nil
	d.mu.Lock()
	if isWatch && d.rev <= from {
		wake := d.wake
		d.mu.Unlock()
		select {
		case <-wake:
		case <-time.After(time.Duration(min(holdMs, 60_000)) * time.Millisecond):
		case <-r.Context().Done():
		}
		d.mu.Lock()
	}
	list := d.listLocked(from, !isWatch)
	d.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(list)
}

// Category is a category of the settings, with the protocol's names.
type Category map[string]any

// Settings returns the settings of a small deployment: those of the examples, with the given categories.
func Settings(categories ...Category) map[string]any {
	return map[string]any{
		"az": 0, "me": 0, "balancers": 3, "benefitBy": "request", "zones": []string{"a"}, "kinds": []string{"m"}, "tenants": []string{},
		"registryMode": "subscribe",
		"loadReport":   map[string]any{"fields": []string{"mean_ms", "concurrent"}, "via": "inline"},
		"bounds": map[string]any{"cancel": true, "connIdle": 15000, "connectTimeout": 250, "mostHeld": 20000, "mostPushes": 3,
			"retryAfter": true, "maxRetryAfter": 2000, "secondCopies": true},
		"rules": map[string]any{"askWithin": 10000, "coldFrom": 0.31, "drainGrace": 500, "fallMultiple": 4, "overloadFor": 2000,
			"warmWithin": 8900},
		"categories": categories,
	}
}

// FeePayment and MemberCheck are two categories of himal-members, with its time limits.
func FeePayment() Category {
	return Category{"name": "fee-payment", "benefit": 8, "idempotency": "side_effect", "overdueBenefit": 0.2, "targetLatency": 1500, "ttl": 4000}
}

// MemberCheck is the category that may run again.
func MemberCheck() Category {
	return Category{"name": "member-check", "benefit": 3, "idempotency": "pure", "overdueBenefit": 0.2, "targetLatency": 2500, "ttl": 6000}
}

// NodeConfig is a node's configuration file.
type NodeConfig struct {
	Name      string         `json:"name"`
	Listen    string         `json:"listen"`
	Discovery string         `json:"discovery"`
	Control   string         `json:"control,omitempty"`
	Seed      string         `json:"seed"`
	Limits    map[string]any `json:"limits"`
	Known     *List          `json:"known,omitempty"`
	Settings  map[string]any `json:"settings"`
}

// Write writes the configuration to a file.
func (c NodeConfig) Write(path string) error {
	data, err := json.MarshalIndent(c, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, data, 0o600)
}

// Process is a process that a case has started, as the leader of its own group.
type Process struct {
	*exec.Cmd
	done chan struct{}
	err  error
}

// Start starts a command line of the deploy file by /bin/sh -c from the repository's root. Its output goes to logPath. The process
// ends with this one, however that ends. Start must be called on the goroutine of Main.
func Start(root, commandLine, logPath string, env ...string) (*Process, error) {
	log, err := os.OpenFile(logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer func() { _ = log.Close() }()
	p := &Process{Cmd: exec.Command("/bin/sh", "-c", commandLine), done: make(chan struct{})}
	p.Dir, p.Stdout, p.Stderr = root, log, log
	p.Env = append(os.Environ(), env...)
	p.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if err := p.Start(); err != nil {
		return nil, err
	}
	go func() { p.err = p.Wait(); close(p.done) }()
	return p, nil
}

// Done is closed once the process has ended.
func (p *Process) Done() <-chan struct{} { return p.done }

// Err returns how the process ended. Done must be closed.
func (p *Process) Err() error { return p.err }

// Kill ends the process, and waits for its end.
func (p *Process) Kill() {
	if p == nil {
		return
	}
	_ = syscall.Kill(-p.Process.Pid, syscall.SIGCONT)
	_ = syscall.Kill(-p.Process.Pid, syscall.SIGKILL)
	<-p.done
}

// Root returns the repository's root, which holds the deploy file, above the working directory.
func Root() (string, error) {
	dir, err := os.Getwd()
	for err == nil {
		if _, statErr := os.Stat(filepath.Join(dir, "deploy", "balancer.toml")); statErr == nil {
			return dir, nil
		}
		parent := filepath.Dir(dir)
		if parent == dir {
			return "", os.ErrNotExist
		}
		dir = parent
	}
	return "", err
}

// RunLine returns `run` of the deploy file, by which a node is started.
func RunLine(root string) (string, error) {
	data, err := os.ReadFile(filepath.Join(root, "deploy", "balancer.toml"))
	if err != nil {
		return "", err
	}
	for line := range strings.Lines(string(data)) {
		if quoted, found := strings.CutPrefix(line, "run = \""); found {
			if command, _, closed := strings.Cut(quoted, "\""); closed {
				return command, nil
			}
		}
	}
	return "", errors.New("the deploy file has no run line")
}

// The exit statuses of a case.
const (
	Held      = 0 // the rule held
	Broken    = 1 // the rule was broken
	CannotRun = 2 // the case couldn't run
)

// HasTrouble reports whether the case plays its disruption: always but with TROUBLE=0.
func HasTrouble() bool { return os.Getenv("TROUBLE") != "0" }

// AwaitHealthy waits until GET /_health answers 200.
func AwaitHealthy(address string, within time.Duration) error {
	deadline := time.Now().Add(within)
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for time.Now().Before(deadline) {
		response, err := client.Get("http://" + address + "/_health")
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("%s: not healthy within %v", address, within)
}

// Admin makes a call at a node's admin address and returns the answer line.
func Admin(address, line string) (string, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return "", err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(2 * time.Second))
	if _, err := io.WriteString(conn, line+"\n"); err != nil {
		return "", err
	}
	answer, err := bufio.NewReader(conn).ReadString('\n')
	return answer, err
}

// runAtMost is the time after which a case that still runs ends as one that couldn't run.
const runAtMost = 112 * time.Second

// Main runs a case, whose record goes to the file that the program's argument names, and returns its exit status. It must be
// called on the first goroutine.
func Main(run func(record *Record) (int, error)) int {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: case RECORD")
		return CannotRun
	}
	record, err := NewRecord(os.Args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return CannotRun
	}
	// The processes that the case starts get a signal when the thread that started them ends, which is when this process does.
	runtime.LockOSThread()
	time.AfterFunc(runAtMost, func() {
		record.Printf("could not run: not over after %v; exit status %d", runAtMost, CannotRun)
		os.Exit(CannotRun)
	})
	status, err := run(record)
	if err != nil {
		record.Printf("could not run: %v", err)
	}
	record.Printf("exit status %d", status)
	return status
}
