package agent

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pearknot/internal/controlsocket"
	"pearknot/internal/fleet"
	"pearknot/internal/lab/program"
	"pearknot/internal/serve"
)

// TestMain lets the test's own program be an agent, and a stand-in for an instance that behaves as its configuration
// says.
func TestMain(m *testing.M) {
	switch {
	case len(os.Args) > 1 && os.Args[1] == "serve":
		os.Exit(standIn(os.Args[2:]))
	case len(os.Args) > 2 && os.Args[1] == "agent":
		o, err := ReadOptions(os.Args[2])
		if err == nil {
			o.OnPoint, err = KillAt(os.Getenv(KillVariable))
		}
		signal.Ignore(syscall.SIGXFSZ) // a file's bound is to be an error of the write, as a full disk is
		var a *Agent
		if err == nil {
			a, err = New(o, slog.New(slog.NewTextHandler(os.Stderr, nil)))
		}
		if err == nil {
			ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
			err = a.Run(ctx)
			stop()
		}
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		os.Exit(0)
	}
	dir, err := os.MkdirTemp("", "pearknot-agent-test")
	if err != nil {
		panic(err)
	}
	if nodeProgram, err = program.Build(context.Background(), dir); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	status := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(status)
}

// program is the real node.
var nodeProgram string

// standIn is an instance without clients: its lock, its control socket, and its behaviour.
func standIn(args []string) int {
	flags := map[string]string{}
	for k := 0; k < len(args); k++ {
		if k+1 < len(args) && !strings.HasPrefix(args[k+1], "--") {
			flags[args[k]] = args[k+1]
		}
	}
	data, err := os.ReadFile(flags["--config"])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	var c struct{ Name, Listen, Discovery, Behaviour string }
	if err := json.Unmarshal(data, &c); err != nil {
		return 1
	}
	if err := serve.WriteLockHolder(); err != nil {
		return 1
	}
	term := make(chan os.Signal, 1)
	signal.Notify(term, syscall.SIGTERM)
	switch c.Behaviour {
	case "exits":
		fmt.Fprintln(os.Stderr, "no use")
		return 7
	case "hangs": // before it opens its socket
		<-term
		return 0
	}
	epoch, _ := strconv.ParseUint(os.Getenv(serve.EpochVariable), 10, 64)
	var mu sync.Mutex
	in := false
	list := c.Discovery
	if c.Behaviour == "wrong list" {
		list = "127.0.0.1:9"
	}
	l, err := controlsocket.Listen(flags["--control"])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	s := controlsocket.NewServer(controlsocket.NewNodeHandler(controlsocket.NodeCalls{Status: func(context.Context) (controlsocket.Status, error) {
		mu.Lock()
		defer mu.Unlock()
		return controlsocket.Status{Token: os.Getenv(serve.TokenVariable), PID: os.Getpid(), Name: c.Name, Listen: c.Listen, Digest: Digest(string(data)),
			Epoch: epoch, ListAddress: list, Ready: c.Behaviour != "never ready", InService: in}, nil
	}, SetService: func(s controlsocket.Service) error {
		mu.Lock()
		defer mu.Unlock()
		in = s.InService
		return nil
	}}))
	go func() { _ = s.Serve(l) }()
	if c.Behaviour == "dies" {
		time.AfterFunc(300*time.Millisecond, func() { os.Exit(9) })
	}
	<-term
	for c.Behaviour == "stubborn" {
		<-term
	}
	return 0
}

// rig is a directory with an agent as a process of its own.
type rig struct {
	t      *testing.T
	dir    string
	file   string
	agent  *exec.Cmd
	ended  chan error  // of the agent
	other  atomic.Bool // the list tells the agent something else than the nodes
	client *controlsocket.Client
}

func newRig(t *testing.T, binary, extra string) *rig {
	dir, err := os.MkdirTemp("", "pk") // short: a socket's path is bounded
	require.NoError(t, err)
	r := &rig{t: t, dir: dir, file: filepath.Join(dir, "agent.toml"), client: controlsocket.NewClient(filepath.Join(dir, "agent.sock"), 20*time.Second)}
	require.NoError(t, os.WriteFile(r.file, fmt.Appendf(nil, `dir = %q
binary = [%q]
[rolling]
health_ms = 100
[timing]
every_ms = 20
calm_ms = 50
end_within_ms = 3000
start_within_ms = 3000
%s`, dir, binary, extra), 0o600))
	t.Cleanup(func() {
		r.stop()
		for _, pid := range r.pids("") {
			_ = syscall.Kill(pid, syscall.SIGKILL)
		}
		_ = os.RemoveAll(dir)
	})
	return r
}

func self(t *testing.T) string {
	name, err := os.Executable()
	require.NoError(t, err)
	return name
}

// start starts the agent and waits until it answers, or is gone where it is to be killed on the way.
func (r *rig) start(killAt string) {
	r.agent = exec.Command(self(r.t), "agent", r.file)
	r.agent.Env = append(os.Environ(), KillVariable+"="+killAt)
	log, err := os.OpenFile(filepath.Join(r.dir, "agent.log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	require.NoError(r.t, err)
	defer log.Close()
	r.agent.Stderr = log
	require.NoError(r.t, r.agent.Start())
	ended := make(chan error, 1)
	r.ended = ended
	go func(c *exec.Cmd) { ended <- c.Wait() }(r.agent)
	require.Eventually(r.t, func() bool {
		_, err := r.view()
		return err == nil
	}, 10*time.Second, 5*time.Millisecond)
}

func (r *rig) stop() {
	if r.agent != nil {
		_ = r.agent.Process.Signal(syscall.SIGTERM)
		if err := <-r.ended; err != nil {
			r.t.Logf("the agent ended with %v", err)
		}
		r.agent = nil
	}
}

func (r *rig) view() (v View, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	err = r.client.Call(ctx, http.MethodGet, FleetPath, nil, &v)
	return v, err
}

func (r *rig) write(w Write) (Written, error) {
	if w.Revision == 0 {
		v, err := r.view()
		if err != nil {
			return Written{}, err
		}
		w.Revision = v.Revision
	}
	if w.Reason == "" {
		w.Reason = "test"
	}
	var out Written
	err := r.client.Call(r.t.Context(), http.MethodPost, WritePath, w, &out)
	return out, err
}

// until waits for a view, and gives it.
func (r *rig) until(within time.Duration, what string, f func(View) bool) (v View) {
	r.t.Helper()
	ok := false
	for begun := time.Now(); time.Since(begun) < within; {
		var err error
		if v, err = r.view(); err == nil && f(v) {
			ok = true
			break
		}
		<-time.After(10 * time.Millisecond)
	}
	if !ok {
		data, _ := json.MarshalIndent(v, "", " ")
		log, _ := tail(filepath.Join(r.dir, "agent.log"), 40)
		r.t.Fatalf("not within %v: %s\n%s\n%s", within, what, data, strings.Join(log, "\n"))
	}
	return v
}

func settled(v View) bool {
	if v.Change != nil && !v.Change.Status.IsFinal() {
		return false
	}
	for _, i := range v.Instances {
		if i.Verdict != fleet.VerdictAsDeclared {
			return false
		}
	}
	return true
}

// pids are those of an instance's processes, by their command lines; of all where none is named.
func (r *rig) pids(name string) (all []int) {
	want := filepath.Join(r.dir, "run", name)
	if name != "" {
		want += ".sock"
	}
	procs, _ := filepath.Glob("/proc/[0-9]*/cmdline")
	for _, p := range procs {
		if line, err := os.ReadFile(p); err == nil && strings.Contains(string(line)+"\x00", want) {
			pid, _ := strconv.Atoi(strings.Split(p, "/")[2])
			all = append(all, pid)
		}
	}
	return all
}

// counts are how many processes each instance has, by one look.
func (r *rig) counts() map[string]int {
	all := map[string]int{}
	procs, _ := filepath.Glob("/proc/[0-9]*/cmdline")
	run := filepath.Join(r.dir, "run") + "/"
	for _, p := range procs {
		line, err := os.ReadFile(p)
		if err != nil {
			continue
		}
		if _, rest, ok := strings.Cut(string(line), run); ok {
			name, _, _ := strings.Cut(rest, ".sock")
			all[name]++
		}
	}
	return all
}

// declared makes instances with a behaviour each.
func declared(names []string, behaviour func(string) string, mark string) Write {
	w := Write{Command: "apply", Configs: map[string]string{}}
	for k, name := range names {
		i := fleet.Instance{Name: name, Listen: fmt.Sprintf("127.0.0.1:%d", 1000+k), Discovery: "127.0.0.1:1", Desired: fleet.Running}
		w.Instances = append(w.Instances, i)
		w.Configs[name] = fmt.Sprintf(`{"name":%q,"listen":%q,"discovery":%q,"behaviour":%q,"mark":%q}`, name, i.Listen, i.Discovery, behaviour(name), mark)
	}
	return w
}

// running is an agent with so many instances as wanted.
func running(t *testing.T, n int, extra string) (*rig, View) {
	r := newRig(t, self(t), extra)
	r.start("")
	_, err := r.write(declared(names(n), normal, "a"))
	require.NoError(t, err)
	return r, r.until(10*time.Second, "all run", settled)
}

func normal(string) string { return "" }

func names(n int) (all []string) {
	for k := range n {
		all = append(all, fmt.Sprintf("n%02d", k))
	}
	return all
}

// realNodes declares instances that run the real nodeProgram, each at an address of its own, and a list for them.
func (r *rig) realNodes(names []string) Write {
	t := r.t
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if q.URL.Query().Get("from") != "" {
			select {
			case <-q.Context().Done():
			case <-time.After(3 * time.Second):
			}
			fmt.Fprint(w, `{"rev":41,"all":false,"targets":[]}`)
			return
		}
		uid := "s-1"
		if r.other.Load() && q.UserAgent() != "" { // an agent's call: nodes have no such header
			uid = "s-2"
		}
		fmt.Fprintf(w, `{"rev":41,"all":true,"targets":[{"uid":%q,"endpoint":"127.0.0.1:1","az":"a","model":"m","pod_group":0,"state":"up","capacity_hint":1,"boot_ms":0}]}`, uid)
	}))
	t.Cleanup(s.Close)
	w := Write{Command: "apply", Configs: map[string]string{}}
	for k, name := range names {
		// An address that no outgoing connection is given, so that the port stays free between two lives.
		l, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 100+os.Getpid()%100, os.Getpid()/100%250, k+1))
		require.NoError(t, err)
		require.NoError(t, l.Close())
		i := fleet.Instance{Name: name, Listen: l.Addr().String(), Discovery: s.Listener.Addr().String(), Desired: fleet.Running}
		w.Instances = append(w.Instances, i)
		w.Configs[name] = fmt.Sprintf(`{"name":%q,"listen":%q,"discovery":%q,"mark":"0","seed":"8c1f","limits":{"cores":1,"memory_mb":64,"sockets":128},"settings":%s}`,
			name, i.Listen, i.Discovery, settings)
	}
	return w
}

const settings = `{"az":0,"balancers":1,"benefitBy":"request","bounds":{"cancel":true,"connIdle":15000,"connectTimeout":250,
"mostHeld":20000,"mostPushes":3,"retryAfter":true,"maxRetryAfter":2000,"secondCopies":true},"categories":[
{"benefit":1,"idempotency":"pure","name":"check","overdueBenefit":0.2,"targetLatency":500,"ttl":1000}],
"kinds":["m"],"loadReport":{"fields":["mean_ms"],"via":"inline"},"registryMode":"subscribe","rules":{"askWithin":10000,
"coldFrom":0.3,"drainGrace":500,"fallMultiple":4,"overloadFor":2000,"warmWithin":9000},"tenants":[],"zones":["a"]}`

func refusedStatus(err error) int {
	var r *controlsocket.ResponseError
	if errors.As(err, &r) {
		return r.Status
	}
	return 0
}
