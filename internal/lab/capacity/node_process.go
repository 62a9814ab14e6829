package capacity

import (
	"bufio"
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
	"regexp"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	maxNodeDescriptors = 15000            // file descriptors that a node may open
	nodeReadyTimeout   = 60 * time.Second // from its start, and from the signal to reload its configuration
)

// nodeEnvironment holds what a node needs to run: a backend, discovery, and a configuration that names both.
type nodeEnvironment struct {
	dir            string
	discovery      *discoveryServer
	backend        *http.Server
	backendAddress string
	release        chan struct{} // closed to release the backend's responses; nil if they are not held
	configFile     string
	wg             sync.WaitGroup
}

// newNodeEnvironment starts discovery with a number of backends, all of which are one server. The server answers at once,
// or with holdsResponses only when the environment is closed.
func newNodeEnvironment(backends, tenants int, holdsResponses bool) (env *nodeEnvironment, err error) {
	env = &nodeEnvironment{}
	if holdsResponses {
		env.release = make(chan struct{})
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	env.backendAddress = listener.Addr().String()
	env.backend = &http.Server{Handler: http.HandlerFunc(env.serveBackend)}
	env.wg.Go(func() { _ = env.backend.Serve(listener) }) // until closed
	defer func() {
		if err != nil {
			env.close()
		}
	}()
	if env.discovery, err = newDiscoveryServer(backends, env.backendAddress); err != nil {
		return nil, err
	}
	if env.dir, err = os.MkdirTemp("", "pearknot-capacity"); err != nil {
		return nil, err
	}
	return env, env.writeConfig(tenants)
}

func (env *nodeEnvironment) serveBackend(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	if env.release != nil {
		select {
		case <-env.release:
		case <-r.Context().Done():
		}
	}
	w.Header().Set("Endpoint-Load-Metrics", "TEXT mean_ms=1.000, inflight=1")
	_, _ = io.WriteString(w, "done")
}

// nodeConfig is a node's configuration file.
type nodeConfig struct {
	Name      string         `json:"name"`
	Listen    string         `json:"listen"`
	Discovery string         `json:"discovery"`
	Seed      string         `json:"seed"`
	Limits    nodeLimits     `json:"limits"`
	Known     listResponse   `json:"known"` // the endpoint list at the start
	Settings  map[string]any `json:"settings"`
}

type nodeLimits struct {
	Cores    int `json:"cores"`
	MemoryMB int `json:"memory_mb"`
	Sockets  int `json:"sockets"`
}

func (env *nodeEnvironment) writeConfig(tenants int) error {
	env.configFile = filepath.Join(env.dir, "n.json")
	text, err := json.Marshal(nodeConfig{
		Name:      "n",
		Listen:    "127.0.0.1:0",
		Discovery: env.discovery.address,
		Seed:      "8c1f",
		Limits:    nodeLimits{Cores: 1, MemoryMB: 2048, Sockets: maxNodeDescriptors},
		Known:     env.discovery.fullList(),
		Settings:  deploymentSettings(tenants),
	})
	if err != nil {
		return err
	}
	return os.WriteFile(env.configFile, text, 0o600)
}

func (env *nodeEnvironment) close() {
	if env.release != nil {
		close(env.release)
	}
	if env.discovery != nil {
		env.discovery.close()
	}
	_ = env.backend.Close()
	env.wg.Wait()
	if env.dir != "" {
		_ = os.RemoveAll(env.dir)
	}
}

// nodeProcess is a running process of the real node program.
type nodeProcess struct {
	command  *exec.Cmd
	address  string
	ready    time.Duration // from its start until its health check succeeded
	serving  chan string   // receives the address at which it serves
	reloaded chan struct{} // receives a value when it has reloaded its configuration
	ended    chan struct{} // closed once the process has ended and lastLine is complete
	lastLine string        // of its log
}

// Log messages by which a node's progress is followed.
var servingMessage = regexp.MustCompile(`msg=serving .*address=(\S+)`)

const reloadedMessage = `msg="configuration reloaded"`

// startNode starts a node and waits until it is ready.
func (b *Bench) startNode(ctx context.Context, env *nodeEnvironment) (*nodeProcess, error) {
	started := time.Now()
	node := &nodeProcess{
		command:  exec.Command(b.NodeCommand[0], slices.Concat(b.NodeCommand[1:], []string{"--config", env.configFile})...),
		serving:  make(chan string, 1),
		reloaded: make(chan struct{}, 1),
		ended:    make(chan struct{}),
	}
	node.command.Env = append(os.Environ(), "TMPDIR="+env.dir)
	// Pdeathsig ends the node if the lab itself is killed; a process group of its own keeps a terminal's interrupt from
	// reaching it.
	node.command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	log, err := node.command.StderrPipe()
	if err != nil {
		return nil, err
	}
	if err := node.command.Start(); err != nil {
		return nil, err
	}
	go node.readLog(log)
	if err := node.awaitReady(ctx, started); err != nil {
		node.kill()
		return nil, err
	}
	return node, nil
}

// readLog reads the log until the process has ended.
func (n *nodeProcess) readLog(log io.Reader) {
	defer close(n.ended)
	lines := bufio.NewScanner(log)
	for lines.Scan() {
		n.lastLine = lines.Text()
		if strings.Contains(n.lastLine, reloadedMessage) {
			select {
			case n.reloaded <- struct{}{}:
			default:
			}
		}
		if match := servingMessage.FindStringSubmatch(n.lastLine); match != nil {
			select {
			case n.serving <- match[1]:
			default:
			}
		}
	}
	_, _ = io.Copy(io.Discard, log) // after a line too long for the scanner: the process must not block on its log
	_ = n.command.Wait()
}

// awaitReady waits until the node serves and its health check succeeds.
func (n *nodeProcess) awaitReady(ctx context.Context, started time.Time) error {
	timeout := time.NewTimer(nodeReadyTimeout)
	defer timeout.Stop()
	select {
	case n.address = <-n.serving:
	case <-n.ended:
		return fmt.Errorf("the node ended before it was ready: %s", n.lastLine)
	case <-ctx.Done():
		return ctx.Err()
	case <-timeout.C:
		return fmt.Errorf("the node does not serve within %v", nodeReadyTimeout)
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: time.Second}
	for ctx.Err() == nil && time.Since(started) < nodeReadyTimeout {
		if response, err := client.Get("http://" + n.address + "/_health"); err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				n.ready = time.Since(started)
				return nil
			}
		}
		sleep(ctx, 2*time.Millisecond)
	}
	return errors.Join(ctx.Err(), fmt.Errorf("the node is not ready within %v", nodeReadyTimeout))
}

// kill ends the process and waits for its end.
func (n *nodeProcess) kill() {
	_ = n.command.Process.Kill()
	<-n.ended
}

// reload makes the node reload its configuration and returns the processor time that it took, in ms.
func (n *nodeProcess) reload(ctx context.Context) (cpuMs float64, err error) {
	before := n.cpu()
	if err := n.command.Process.Signal(syscall.SIGHUP); err != nil {
		return 0, err
	}
	timeout := time.NewTimer(nodeReadyTimeout)
	defer timeout.Stop()
	select {
	case <-n.reloaded:
		return n.cpu() - before, nil
	case <-n.ended:
		return 0, errors.New("the node ended before it had reloaded its configuration")
	case <-timeout.C:
		return 0, fmt.Errorf("the node does not reload its configuration within %v", nodeReadyTimeout)
	case <-ctx.Done():
		return 0, ctx.Err()
	}
}

// cpu returns the processor time that the node has used, in ms.
func (n *nodeProcess) cpu() float64 { return processCPUOf(n.command.Process.Pid) }

func (n *nodeProcess) memory() processMemory { return readProcessMemory(n.command.Process.Pid) }
