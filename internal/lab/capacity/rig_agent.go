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
	agentFindsInstancesWithin = 30 * time.Second
	agentSettles              = 1500 * time.Millisecond // after it has found all instances
)

// agentMeasurements have an agent find stand-in instances of another process, and measure what it spends while nothing
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
		newRig: newAgentRig,
	}}
}

// agentSite is an agent beside its instances.
type agentSite struct {
	dir       string
	processes []*exec.Cmd // in the order of their starts
	client    *http.Client
	agentPID  int
}

func newAgentRig(ctx context.Context, bench *Bench, size float64) (_ *rig, err error) {
	dir, err := os.MkdirTemp("", "pk") // short: the length of a socket's path is bounded
	if err != nil {
		return nil, err
	}
	site := &agentSite{dir: dir}
	defer func() {
		if err != nil {
			site.close()
		}
	}()
	if err := site.startInstances(bench, int(size)); err != nil {
		return nil, err
	}
	if err := site.startAgent(bench); err != nil {
		return nil, err
	}
	if err := site.awaitInstances(ctx, int(size)); err != nil {
		return nil, err
	}
	sleep(ctx, agentSettles)
	run := func(ctx context.Context) ([]float64, error) {
		cpuBefore, started := processCPUOf(site.agentPID), time.Now()
		sleep(ctx, max(bench.RunDuration, time.Second))
		cpuPerSecond := (processCPUOf(site.agentPID) - cpuBefore) / time.Since(started).Seconds()
		memory := readProcessMemory(site.agentPID)
		asked := time.Now()
		_, text, err := site.view()
		return []float64{cpuPerSecond, memory.current, float64(len(text)), milliseconds(time.Since(asked))}, err
	}
	return &rig{run: run, close: site.close}, nil
}

// startInstances starts a process that stands for all instances, and returns once they can be found.
func (s *agentSite) startInstances(bench *Bench, count int) error {
	output, err := s.start(slices.Concat(bench.LabCommand, []string{"instances", "--dir", s.dir, "--count", fmt.Sprint(count)})...)
	if err != nil {
		return err
	}
	if _, err := output.Read(make([]byte, 100)); err != nil { // its only line comes when all are there
		return fmt.Errorf("stand-in instances: %w", err)
	}
	return nil
}

func (s *agentSite) startAgent(bench *Bench) error {
	config := filepath.Join(s.dir, "agent.toml")
	if err := os.WriteFile(config, fmt.Appendf(nil, "dir = %q\nbinary = [%q]\n", s.dir, bench.NodeCommand[0]), 0o600); err != nil {
		return err
	}
	// An agent whose state can't be read adopts the instances that run as those that are declared.
	if err := os.WriteFile(filepath.Join(s.dir, "state.db"), []byte("none"), 0o600); err != nil {
		return err
	}
	if _, err := s.start(bench.NodeCommand[0], "agent", "--config", config, "--log", "error"); err != nil {
		return err
	}
	s.agentPID = s.processes[len(s.processes)-1].Process.Pid
	dial := func(ctx context.Context, _, _ string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, "unix", filepath.Join(s.dir, "agent.sock"))
	}
	s.client = &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{DialContext: dial}}
	return nil
}

// start starts a process that ends with the site, or with the lab should that be killed.
func (s *agentSite) start(args ...string) (output io.Reader, err error) {
	command := exec.Command(args[0], args[1:]...)
	command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if output, err = command.StdoutPipe(); err != nil {
		return nil, err
	}
	if err := command.Start(); err != nil {
		return nil, err
	}
	s.processes = append(s.processes, command)
	return output, nil
}

// awaitInstances waits until the agent has found its instances.
func (s *agentSite) awaitInstances(ctx context.Context, count int) error {
	for started := time.Now(); ; sleep(ctx, 20*time.Millisecond) {
		if found, _, err := s.view(); err == nil && found >= count {
			return nil
		}
		if ctx.Err() != nil || time.Since(started) > agentFindsInstancesWithin {
			return errors.Join(ctx.Err(), errors.New("the agent does not find all instances"))
		}
	}
}

// view asks the agent for its view of the instances, as an operator does.
func (s *agentSite) view() (instances int, text []byte, err error) {
	response, err := s.client.Get("http://agent" + agent.FleetPath)
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

func (s *agentSite) close() {
	for _, process := range slices.Backward(s.processes) {
		_ = process.Process.Kill()
		_ = process.Wait()
	}
	_ = os.RemoveAll(s.dir)
}
