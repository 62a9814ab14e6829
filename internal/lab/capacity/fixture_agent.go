package capacity

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
	"slices"
	"syscall"
	"time"

	"pearknot/internal/agent"
)

const (
	agentInstancesTimeout = 30 * time.Second
	agentSettleTime       = 1500 * time.Millisecond // after it has found all instances
)

// agentMeasurements let an agent find stand-in instances that run in another process, and measure its cost while nothing
// changes.
func agentMeasurements() []measurement {
	return []measurement{{
		name:                "agent",
		sizeName:            "instances",
		sizes:               []float64{50, 200, 500, 1500},
		quickSizes:          []float64{10, 25, 50, 100},
		runsTogetherIfQuick: true,
		metrics: []metric{
			{"agent.cpu", "the agent, calm, a look at each a second: processor time", "ms/s", false},
			{"agent.rss", "the same, memory held", "MB", false},
			{"agent.view", "an operator's look at all of them, bytes", "B", false},
			{"agent.view.ms", "the same, until it is there", "ms", true},
		},
		newFixture: newAgentFixture,
	}}
}

// agentEnvironment holds an agent and its instances.
type agentEnvironment struct {
	dir       string
	processes []*exec.Cmd // in the order in which they were started
	client    *http.Client
	agentPID  int
}

func newAgentFixture(ctx context.Context, bench *Bench, size float64) (_ *fixture, err error) {
	dir, err := os.MkdirTemp("", "pk") // short: the length of a socket's path is bounded
	if err != nil {
		return nil, err
	}
	env := &agentEnvironment{dir: dir}
	defer func() {
		if err != nil {
			env.close()
		}
	}()
	if err := env.startInstances(bench, int(size)); err != nil {
		return nil, err
	}
	if err := env.startAgent(bench); err != nil {
		return nil, err
	}
	if err := env.awaitInstances(ctx, int(size)); err != nil {
		return nil, err
	}
	sleep(ctx, agentSettleTime)
	run := func(ctx context.Context) ([]float64, error) {
		cpuBefore, started := processCPUOf(env.agentPID), time.Now()
		sleep(ctx, max(bench.RunDuration, time.Second))
		cpuPerSecond := (processCPUOf(env.agentPID) - cpuBefore) / time.Since(started).Seconds()
		memory := readProcessMemory(env.agentPID)
		asked := time.Now()
		_, text, err := env.view()
		return []float64{cpuPerSecond, memory.current, float64(len(text)), milliseconds(time.Since(asked))}, err
	}
	return &fixture{run: run, close: env.close}, nil
}

// startInstances starts a process that simulates all instances, and returns once they can be found.
func (env *agentEnvironment) startInstances(bench *Bench, count int) error {
	output, err := env.start(slices.Concat(bench.LabCommand, []string{"instances", "--dir", env.dir, "--count", fmt.Sprint(count)})...)
	if err != nil {
		return err
	}
	if _, err := output.Read(make([]byte, 100)); err != nil { // it writes its only line when all instances exist
		return fmt.Errorf("start stand-in instances: %w", err)
	}
	return nil
}

func (env *agentEnvironment) startAgent(bench *Bench) error {
	config := filepath.Join(env.dir, "agent.toml")
	if err := os.WriteFile(config, fmt.Appendf(nil, "dir = %q\nbinary = [%q]\n", env.dir, bench.NodeCommand[0]), 0o600); err != nil {
		return err
	}
	// An agent that cannot read its state adopts the running instances as the declared ones.
	if err := os.WriteFile(filepath.Join(env.dir, "state.db"), []byte("none"), 0o600); err != nil {
		return err
	}
	if _, err := env.start(bench.NodeCommand[0], "agent", "--config", config, "--log", "error"); err != nil {
		return err
	}
	env.agentPID = env.processes[len(env.processes)-1].Process.Pid
	dial := func(ctx context.Context, _, _ string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, "unix", filepath.Join(env.dir, "agent.sock"))
	}
	env.client = &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{DialContext: dial}}
	return nil
}

// start starts a process that ends with the environment, or with the lab if that is killed.
func (env *agentEnvironment) start(args ...string) (output io.Reader, err error) {
	command := exec.Command(args[0], args[1:]...)
	command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if output, err = command.StdoutPipe(); err != nil {
		return nil, err
	}
	if err := command.Start(); err != nil {
		return nil, err
	}
	env.processes = append(env.processes, command)
	return output, nil
}

// awaitInstances waits until the agent has found its instances.
func (env *agentEnvironment) awaitInstances(ctx context.Context, count int) error {
	for started := time.Now(); ; sleep(ctx, 20*time.Millisecond) {
		if found, _, err := env.view(); err == nil && found >= count {
			return nil
		}
		if ctx.Err() != nil || time.Since(started) > agentInstancesTimeout {
			return errors.Join(ctx.Err(), errors.New("the agent does not find all instances"))
		}
	}
}

// view asks the agent for its view of the instances, as an operator does.
func (env *agentEnvironment) view() (instances int, text []byte, err error) {
	response, err := env.client.Get("http://agent" + agent.FleetPath)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	if text, err = io.ReadAll(response.Body); err != nil {
		return 0, nil, err
	}
	var view agent.View
	if err := json.NewDecoder(bytes.NewReader(text)).Decode(&view); err != nil {
		return 0, nil, err
	}
	return len(view.Instances), text, nil
}

func (env *agentEnvironment) close() {
	for _, process := range slices.Backward(env.processes) {
		_ = process.Process.Kill()
		_ = process.Wait()
	}
	_ = os.RemoveAll(env.dir)
}
