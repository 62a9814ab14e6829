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

// TestMain also runs the test binary as an agent, or as a simulated instance that behaves as its configuration says.
func TestMain(m *testing.M) {
	switch {
	case len(os.Args) > 1 && os.Args[1] == "serve":
		os.Exit(simulatedInstance(os.Args[2:]))
	case len(os.Args) > 2 && os.Args[1] == "agent":
		options, err := ReadOptions(os.Args[2])
		if err == nil {
			options.OnCrashPoint, err = ParseCrashPoint(os.Getenv(CrashPointVariable))
		}
		signal.Ignore(syscall.SIGXFSZ) // so that a write beyond the file size limit fails, as on a full disk
		var agent *Agent
		if err == nil {
			agent, err = New(options, slog.New(slog.NewTextHandler(os.Stderr, nil)))
		}
		if err == nil {
			ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
			err = agent.Run(ctx)
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

// nodeProgram is the path of the real node's program, which TestMain builds.
var nodeProgram string

// simulatedInstance runs an instance without a data path: it has its lock and control socket, and behaves as its
// configuration says.
func simulatedInstance(args []string) int {
	flags := map[string]string{}
	for index := 0; index < len(args); index++ {
		if index+1 < len(args) && !strings.HasPrefix(args[index+1], "--") {
			flags[args[index]] = args[index+1]
		}
	}
	data, err := os.ReadFile(flags["--config"])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	var config struct{ Name, Listen, Discovery, Behaviour string }
	if err := json.Unmarshal(data, &config); err != nil {
		return 1
	}
	if err := serve.WriteLockHolder(); err != nil {
		return 1
	}
	terminated := make(chan os.Signal, 1)
	signal.Notify(terminated, syscall.SIGTERM)
	switch config.Behaviour {
	case "exits":
		fmt.Fprintln(os.Stderr, "no use")
		return 7
	case "hangs": // before it opens its socket
		<-terminated
		return 0
	}
	epoch, _ := strconv.ParseUint(os.Getenv(serve.EpochVariable), 10, 64)
	var mu sync.Mutex
	isInService := false
	list := config.Discovery
	if config.Behaviour == "wrong list" {
		list = "127.0.0.1:9"
	}
	listener, err := controlsocket.Listen(flags["--control"])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	server := controlsocket.NewServer(controlsocket.NewNodeHandler(controlsocket.NodeCalls{
		Status: func(context.Context) (controlsocket.Status, error) {
			mu.Lock()
			defer mu.Unlock()
			return controlsocket.Status{
				Token:       os.Getenv(serve.TokenVariable),
				PID:         os.Getpid(),
				Name:        config.Name,
				Listen:      config.Listen,
				Digest:      Digest(string(data)),
				Epoch:       epoch,
				ListAddress: list,
				Ready:       config.Behaviour != "never ready",
				InService:   isInService,
			}, nil
		},
		SetService: func(service controlsocket.Service) error {
			mu.Lock()
			defer mu.Unlock()
			isInService = service.InService
			return nil
		},
	}))
	go func() { _ = server.Serve(listener) }()
	if config.Behaviour == "dies" {
		time.AfterFunc(300*time.Millisecond, func() { os.Exit(9) })
	}
	<-terminated
	for config.Behaviour == "stubborn" {
		<-terminated
	}
	return 0
}

// agentFixture holds an agent's directory and the agent, which runs as a process of its own.
type agentFixture struct {
	t         *testing.T
	dir       string
	file      string
	agent     *exec.Cmd
	exited    chan error  // of the agent
	otherList atomic.Bool // the list's source gives the agent another list than the nodes
	client    *controlsocket.Client
}

// newFixture returns a fixture whose agent runs a program as its instances; extra is added to the agent's file.
func newFixture(t *testing.T, binary, extra string) *agentFixture {
	t.Helper()
	dir, err := os.MkdirTemp("", "pk") // short: a socket's path is bounded
	require.NoError(t, err)
	fixture := &agentFixture{
		t:      t,
		dir:    dir,
		file:   filepath.Join(dir, "agent.toml"),
		client: controlsocket.NewClient(filepath.Join(dir, "agent.sock"), 20*time.Second),
	}
	require.NoError(t, os.WriteFile(fixture.file, fmt.Appendf(nil, `dir = %q
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
		fixture.stop()
		for _, pid := range fixture.processIDs("") {
			_ = syscall.Kill(pid, syscall.SIGKILL)
		}
		_ = os.RemoveAll(dir)
	})
	return fixture
}

// testProgram returns the path of the test's own program, see TestMain.
func testProgram(t *testing.T) string {
	t.Helper()
	name, err := os.Executable()
	require.NoError(t, err)
	return name
}

// start starts the agent, to be killed at a point if one is given, and waits until it answers.
func (f *agentFixture) start(killAt string) {
	f.t.Helper()
	f.agent = exec.Command(testProgram(f.t), "agent", f.file)
	f.agent.Env = append(os.Environ(), CrashPointVariable+"="+killAt)
	log, err := os.OpenFile(filepath.Join(f.dir, "agent.log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	require.NoError(f.t, err)
	defer log.Close()
	f.agent.Stderr = log
	require.NoError(f.t, f.agent.Start())
	ended := make(chan error, 1)
	f.exited = ended
	go func(command *exec.Cmd) { ended <- command.Wait() }(f.agent)
	require.Eventually(f.t, func() bool {
		_, err := f.view()
		return err == nil
	}, 10*time.Second, 5*time.Millisecond)
}

// stop ends the agent, if it runs, and waits for it.
func (f *agentFixture) stop() {
	if f.agent != nil {
		_ = f.agent.Process.Signal(syscall.SIGTERM)
		if err := <-f.exited; err != nil {
			f.t.Logf("agent exited: %v", err)
		}
		f.agent = nil
	}
}

// view asks the agent for the fleet.
func (f *agentFixture) view() (view View, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	err = f.client.Call(ctx, http.MethodGet, FleetPath, nil, &view)
	return view, err
}

// write sends a change, from the current revision and with a reason if it has none.
func (f *agentFixture) write(write WriteRequest) (WriteResponse, error) {
	if write.Revision == 0 {
		view, err := f.view()
		if err != nil {
			return WriteResponse{}, err
		}
		write.Revision = view.Revision
	}
	if write.Reason == "" {
		write.Reason = "test"
	}
	var written WriteResponse
	err := f.client.Call(f.t.Context(), http.MethodPost, WritePath, write, &written)
	return written, err
}

// waitFor returns the first view for which a condition holds, and fails the test after a time.
func (f *agentFixture) waitFor(timeout time.Duration, condition string, holds func(View) bool) (view View) {
	f.t.Helper()
	hasHeld := false
	for startedAt := time.Now(); time.Since(startedAt) < timeout; {
		var err error
		if view, err = f.view(); err == nil && holds(view) {
			hasHeld = true
			break
		}
		<-time.After(10 * time.Millisecond)
	}
	if !hasHeld {
		data, _ := json.MarshalIndent(view, "", " ")
		log, _ := tail(filepath.Join(f.dir, "agent.log"), 40)
		f.t.Fatalf("not within %v: %s\n%s\n%s", timeout, condition, data, strings.Join(log, "\n"))
	}
	return view
}

// isSettled reports whether no change is in progress and all instances are as declared.
func isSettled(view View) bool {
	if view.Change != nil && !view.Change.Status.IsFinal() {
		return false
	}
	for _, instance := range view.Instances {
		if instance.Verdict != fleet.VerdictAsDeclared {
			return false
		}
	}
	return true
}

// processIDs returns the ids of an instance's processes, found by their command lines; of all instances if name is
// empty.
func (f *agentFixture) processIDs(name string) (ids []int) {
	want := filepath.Join(f.dir, "run", name)
	if name != "" {
		want += ".sock"
	}
	paths, _ := filepath.Glob("/proc/[0-9]*/cmdline")
	for _, path := range paths {
		if line, err := os.ReadFile(path); err == nil && strings.Contains(string(line)+"\x00", want) {
			pid, _ := strconv.Atoi(strings.Split(path, "/")[2])
			ids = append(ids, pid)
		}
	}
	return ids
}

// processCounts returns how many processes each instance has now.
func (f *agentFixture) processCounts() map[string]int {
	counts := map[string]int{}
	paths, _ := filepath.Glob("/proc/[0-9]*/cmdline")
	run := filepath.Join(f.dir, "run") + "/"
	for _, path := range paths {
		line, err := os.ReadFile(path)
		if err != nil {
			continue
		}
		if _, rest, ok := strings.Cut(string(line), run); ok {
			name, _, _ := strings.Cut(rest, ".sock")
			counts[name]++
		}
	}
	return counts
}

// watchForDoubleStarts watches, until the function that it returns is called, for instances that have more than one
// process. That function returns their names.
func (f *agentFixture) watchForDoubleStarts() (end func() map[string]bool) {
	done := make(chan struct{})
	var watcher sync.WaitGroup
	startedTwice := map[string]bool{}
	watcher.Go(func() {
		for {
			for name, count := range f.processCounts() {
				if count > 1 {
					startedTwice[name] = true
				}
			}
			select {
			case <-done:
				return
			case <-time.After(100 * time.Millisecond):
			}
		}
	})
	return func() map[string]bool {
		close(done)
		watcher.Wait()
		return startedTwice
	}
}

// newApplyRequest returns a write that declares simulated instances with a behaviour each. The mark makes
// configurations differ.
func newApplyRequest(names []string, behaviour func(string) string, mark string) WriteRequest {
	write := WriteRequest{Command: "apply", Configs: map[string]string{}}
	for index, name := range names {
		instance := fleet.Instance{
			Name:      name,
			Listen:    fmt.Sprintf("127.0.0.1:%d", 1000+index),
			Discovery: "127.0.0.1:1",
			Desired:   fleet.Running,
		}
		write.Instances = append(write.Instances, instance)
		write.Configs[name] = fmt.Sprintf(`{"name":%q,"listen":%q,"discovery":%q,"behaviour":%q,"mark":%q}`,
			name, instance.Listen, instance.Discovery, behaviour(name), mark)
	}
	return write
}

// newRunningFixture returns a fixture whose agent runs count instances.
func newRunningFixture(t *testing.T, count int, extra string) (*agentFixture, View) {
	t.Helper()
	fixture := newFixture(t, testProgram(t), extra)
	fixture.start("")
	_, err := fixture.write(newApplyRequest(instanceNames(count), wellBehaved, "a"))
	require.NoError(t, err)
	return fixture, fixture.waitFor(10*time.Second, "all run", isSettled)
}

// wellBehaved is the behaviour of instances that serve until SIGTERM.
func wellBehaved(string) string { return "" }

// instanceNames returns the names of count instances.
func instanceNames(count int) (names []string) {
	for index := range count {
		names = append(names, fmt.Sprintf("n%02d", index))
	}
	return names
}

// newRealNodeRequest returns a write that declares instances that run the real nodeProgram, each at an address of its
// own, and serves an endpoint list for them.
func (f *agentFixture) newRealNodeRequest(names []string) WriteRequest {
	t := f.t
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(response http.ResponseWriter, request *http.Request) {
		if request.URL.Query().Get("from") != "" {
			select {
			case <-request.Context().Done():
			case <-time.After(3 * time.Second):
			}
			fmt.Fprint(response, `{"rev":41,"all":false,"targets":[]}`)
			return
		}
		uid := "s-1"
		if f.otherList.Load() && request.UserAgent() != "" { // an agent's call: nodes have no such header
			uid = "s-2"
		}
		fmt.Fprintf(response, `{"rev":41,"all":true,"targets":[{"uid":%q,"endpoint":"127.0.0.1:1","az":"a","model":"m",`+
			`"pod_group":0,"state":"up","capacity_hint":1,"boot_ms":0}]}`, uid)
	}))
	t.Cleanup(server.Close)
	write := WriteRequest{Command: "apply", Configs: map[string]string{}}
	for index, name := range names {
		// An address that no outgoing connection is given, so that the port stays free between two runs.
		listener, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 100+os.Getpid()%100, os.Getpid()/100%250, index+1))
		require.NoError(t, err)
		require.NoError(t, listener.Close())
		instance := fleet.Instance{
			Name:      name,
			Listen:    listener.Addr().String(),
			Discovery: server.Listener.Addr().String(),
			Desired:   fleet.Running,
		}
		write.Instances = append(write.Instances, instance)
		write.Configs[name] = fmt.Sprintf(`{"name":%q,"listen":%q,"discovery":%q,"mark":"0","seed":"8c1f",`+
			`"limits":{"cores":1,"memory_mb":64,"sockets":128},"settings":%s}`,
			name, instance.Listen, instance.Discovery, settings)
	}
	return write
}

// settings is the settings document of the real nodes.
const settings = `{"az":0,"balancers":1,"benefitBy":"request","bounds":{"cancel":true,"connIdle":15000,"connectTimeout":250,
"mostHeld":20000,"mostPushes":3,"retryAfter":true,"maxRetryAfter":2000,"secondCopies":true},"categories":[
{"benefit":1,"idempotency":"pure","name":"check","overdueBenefit":0.2,"targetLatency":500,"ttl":1000}],
"kinds":["m"],"loadReport":{"fields":["mean_ms"],"via":"inline"},"registryMode":"subscribe","rules":{"askWithin":10000,
"coldFrom":0.3,"drainGrace":500,"fallMultiple":4,"overloadFor":2000,"warmWithin":9000},"tenants":[],"zones":["a"]}`

// statusOf returns the HTTP status with which a call was refused, or 0.
func statusOf(err error) int {
	var response *controlsocket.ResponseError
	if errors.As(err, &response) {
		return response.Status
	}
	return 0
}
