// Command 1 is the review's case 1: after the agent was killed, two operators start it again at the same moment. It is started by
// run.sh.
package main

import (
	"bytes"
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
	"strings"
	"syscall"
	"time"

	"pearknot/review/standin"
)

const (
	rounds      = 14
	callTimeout = 20 * time.Second
	settleTime  = 2500 * time.Millisecond // for which the last agent runs before the instance is looked at: several of its rounds
	runAtMost   = 80 * time.Second
)

// host is one host with its agent's files and the operators' commands.
type host struct {
	record *standin.Record
	root   string
	dir    string
	agents []*standin.Process
	pids   map[int]bool // of all instances that were ever seen
}

// view is the part of `fleet status --json` that the case reads.
type view struct {
	Generation uint64 `json:"generation"`
	Instances  []struct {
		Name     string `json:"name"`
		Declared *struct {
			Desired string `json:"wanted"`
		} `json:"declared"`
		Seen struct {
			Phase string `json:"phase"`
			PID   int    `json:"pid"`
		} `json:"seen"`
	} `json:"instances"`
}

// startAgents starts the agent count times at the same moment, and waits until one serves and the others have ended.
func (h *host) startAgents(count int) error {
	h.agents = nil
	for range count {
		agent, err := standin.Start(h.root, "exec bin/pearknot agent --config "+filepath.Join(h.dir, "agent.toml"), filepath.Join(h.dir, "agent.log"))
		if err != nil {
			return err
		}
		h.agents = append(h.agents, agent)
	}
	deadline := time.Now().Add(8 * time.Second)
	for time.Now().Before(deadline) {
		time.Sleep(50 * time.Millisecond)
		if _, err := h.status(); err == nil {
			time.Sleep(1500 * time.Millisecond) // an agent that finds another one's lock waits for it for a second
			h.record.Printf("agents started at once: %d, running now: %d", count, len(h.running()))
			return nil
		}
	}
	return errors.New("no agent answers")
}

// running returns the agents that have not ended.
func (h *host) running() (running []*standin.Process) {
	for _, agent := range h.agents {
		select {
		case <-agent.Done():
		default:
			running = append(running, agent)
		}
	}
	return running
}

// killAgents kills the agents with SIGKILL. Their instances go on.
func (h *host) killAgents() {
	for _, agent := range h.running() {
		_ = agent.Process.Signal(syscall.SIGKILL)
		<-agent.Done()
	}
}

// fleet runs `pearknot fleet` with the arguments, as an operator does, and returns its output and exit status.
func (h *host) fleet(args ...string) (output string, status int, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	command := exec.CommandContext(ctx, filepath.Join(h.root, "bin", "pearknot"), append([]string{"fleet"}, args...)...)
	command.Env = append(os.Environ(), "PEARKNOT_AGENT="+filepath.Join(h.dir, "state", "agent.sock"))
	var out bytes.Buffer
	command.Stdout, command.Stderr = &out, &out
	err = command.Run()
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		return out.String(), exit.ExitCode(), nil
	}
	return out.String(), 0, err
}

func (h *host) status() (view, error) {
	var seen view
	output, _, err := h.fleet("status", "--json")
	if err != nil {
		return seen, err
	}
	if err := json.Unmarshal([]byte(output), &seen); err != nil {
		return seen, fmt.Errorf("%w: %s", err, output)
	}
	for _, instance := range seen.Instances {
		if instance.Seen.PID > 1 {
			h.pids[instance.Seen.PID] = true
		}
	}
	return seen, nil
}

// answers reports whether an instance answers its clients' address at all.
func answers(address string) bool {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}

// prepare writes the files of a host with three instances.
func (h *host) prepare() (addresses []string, err error) {
	discovery, err := standin.NewDiscovery()
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	backend := &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "ok")
	})}
	go func() { _ = backend.Serve(listener) }()
	discovery.Set(standin.Target{UID: "s-1", Endpoint: listener.Addr().String(), AZ: "a", Model: "m", State: "up", Hint: 1})
	known := discovery.Whole()
	config := standin.NodeConfig{Name: "desk", Listen: "127.0.0.1:1", Discovery: discovery.Address, Seed: "8c1f",
		Limits: map[string]any{"cores": 1, "memory_mb": 128, "sockets": 256}, Known: &known,
		Settings: standin.Settings(standin.FeePayment(), standin.MemberCheck())}
	if err := config.Write(filepath.Join(h.dir, "node.json")); err != nil {
		return nil, err
	}
	var declared strings.Builder
	for i := range 3 {
		address := standin.FreeAddress()
		addresses = append(addresses, address)
		fmt.Fprintf(&declared, "[[instance]]\nname = \"desk-%d\"\nconfig = \"node.json\"\nlisten = %q\n\n", i+1, address)
	}
	agentFile := fmt.Sprintf("dir = \"state\"\nbinary = [%q]\n[rolling]\nat_once = 3\ncanary = 0\nhealth_ms = 100\n", filepath.Join(h.root, "bin", "pearknot"))
	return addresses, errors.Join(
		os.WriteFile(filepath.Join(h.dir, "fleet.toml"), []byte(declared.String()), 0o600),
		os.WriteFile(filepath.Join(h.dir, "agent.toml"), []byte(agentFile), 0o600))
}

// change makes an operator's change of desk-3, and returns an error unless the agent says that it is done.
func (h *host) change(command string) error {
	output, status, err := h.fleet(command, "desk-3", "--reason", "the desk is moved", "--wait", "--within", "15s")
	h.record.Printf("operator: fleet %s desk-3 --wait: exit status %d: %s", command, status, strings.Join(strings.Fields(output), " "))
	if err == nil && status != 0 {
		err = fmt.Errorf("fleet %s: exit status %d", command, status)
	}
	return err
}

// desk3 returns how desk-3 is declared, and the generation.
func (h *host) desk3() (desired string, generation uint64, err error) {
	seen, err := h.status()
	if err != nil {
		return "", 0, err
	}
	for _, instance := range seen.Instances {
		if instance.Name == "desk-3" && instance.Declared != nil {
			return instance.Declared.Desired, seen.Generation, nil
		}
	}
	return "", seen.Generation, errors.New("desk-3 is not declared")
}

func run(record *standin.Record) (int, error) {
	root, err := standin.Root()
	if err != nil {
		return standin.CannotRun, err
	}
	dir, err := os.MkdirTemp("", "case")
	if err != nil {
		return standin.CannotRun, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	h := &host{record: record, root: root, dir: dir, pids: map[int]bool{}}
	defer h.endAll()
	addresses, err := h.prepare()
	if err != nil {
		return standin.CannotRun, err
	}
	if err := h.startAgents(1); err != nil {
		return standin.CannotRun, err
	}
	if output, status, err := h.fleet("apply", filepath.Join(dir, "fleet.toml"), "--reason", "three desks", "--wait", "--within", "15s"); err != nil || status != 0 {
		return standin.CannotRun, fmt.Errorf("apply: exit status %d, %w: %s", status, err, output)
	}
	record.Printf("operator: three desks run")
	start := time.Now()
	command, desired, isUp := "stop", "stopped", false
	for round := 1; round <= rounds && time.Since(start) < runAtMost; round++ {
		h.killAgents()
		record.Printf("round %d: the agent is killed", round)
		agents := 1
		if standin.HasTrouble() {
			agents = 2
		}
		if err := h.startAgents(agents); err != nil {
			return standin.CannotRun, err
		}
		if err := h.change(command); err != nil {
			return standin.CannotRun, err
		}
		_, generation, err := h.desk3()
		if err != nil {
			return standin.CannotRun, err
		}
		record.Printf("the change is acknowledged and done: generation %d, desk-3 answers: %v", generation, answers(addresses[2]))
		h.killAgents()
		record.Printf("the agent is killed, and one is started")
		if err := h.startAgents(1); err != nil {
			return standin.CannotRun, err
		}
		time.Sleep(settleTime)
		found, later, err := h.desk3()
		if err != nil {
			return standin.CannotRun, err
		}
		record.Printf("desk-3 is declared %q in generation %d, and answers: %v", found, later, answers(addresses[2]))
		if later < generation {
			record.Printf("LOST: generation %d, which was acknowledged, is gone; desk-3 was to be %s", generation, desired)
			if answers(addresses[2]) != isUp {
				record.Printf("and the agent has undone the change: desk-3 answers: %v", !isUp)
			}
			return standin.Broken, nil
		}
		if command == "stop" {
			command, desired, isUp = "start", "running", true
		} else {
			command, desired, isUp = "stop", "stopped", false
		}
	}
	return standin.Held, nil
}

// endAll ends the instances and the agents.
func (h *host) endAll() {
	_, _ = h.status()
	h.killAgents()
	locks, _ := filepath.Glob(filepath.Join(h.dir, "state", "run", "*.lock"))
	for _, lock := range locks {
		var holder struct {
			PID int `json:"pid"`
		}
		if data, err := os.ReadFile(lock); err == nil && json.Unmarshal(data, &holder) == nil && holder.PID > 1 {
			h.pids[holder.PID] = true
		}
	}
	for pid := range h.pids {
		// Only a process of this case: its command line names the case's folder.
		if line, err := os.ReadFile(fmt.Sprintf("/proc/%d/cmdline", pid)); err == nil && bytes.Contains(line, []byte(h.dir)) {
			_ = syscall.Kill(pid, syscall.SIGKILL)
		}
	}
}

func main() { os.Exit(standin.Main(run)) }
