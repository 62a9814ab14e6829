package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	"pearknot/internal/agent"
	"pearknot/internal/controlsocket"
	"pearknot/internal/fleet"
	"pearknot/internal/lab/experiment"
	"pearknot/internal/lab/loopback"
)

const (
	// changeStartShare is the share of the run after which the rolling change begins.
	changeStartShare = 0.2
	// changeTimeout bounds a change of all instances.
	changeTimeout = 3 * time.Minute
	// agentStartTimeout bounds how long the agent takes to listen at its socket.
	agentStartTimeout = 10 * time.Second
	// agentSocketPollInterval is how often the socket is looked for until then.
	agentSocketPollInterval = time.Millisecond
	// agentCallTimeout bounds one call to the agent, which may wait a second for a change.
	agentCallTimeout = 20 * time.Second
	// unlimitedUnavailable lets a change touch all instances at the same time.
	unlimitedUnavailable = 1 << 20
	// healthMs is how long a changed instance must stay healthy.
	healthMs = 300
)

// rollingChange is a run of an experiment whose nodes are instances of an agent, all of which are changed on the way.
type rollingChange struct {
	agent          *testAgent
	experiment     *experiment.Experiment
	maxUnavailable int
	declared       agent.WriteRequest // the instances, as they are declared first
	outcome        rollingChangeOutcome
	changed        chan error // gets the rolling change's result
}

// playRollingChange starts an agent in a directory of its own, plays the experiment on its instances, and ends all that it
// has started.
func playRollingChange(
	ctx context.Context, e *experiment.Experiment, program string, maxUnavailable int,
) (outcome rollingChangeOutcome, err error) {
	dir, err := os.MkdirTemp("", "pkfleet")
	if err != nil {
		return outcome, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	hostAgent, err := startTestAgent(ctx, dir, program)
	if err != nil {
		return outcome, err
	}
	defer func() { err = errors.Join(err, hostAgent.stop()) }()
	change := &rollingChange{
		agent:          hostAgent,
		experiment:     e,
		maxUnavailable: maxUnavailable,
		declared: agent.WriteRequest{
			Command: "apply",
			Configs: map[string]string{},
			Options: &fleet.Options{MaxUnavailable: unlimitedUnavailable},
		},
		changed: make(chan error, 1),
	}
	change.outcome.run, err = loopback.Run(ctx, e, 1, loopback.Options{
		StartNodes:    change.startNodes,
		OnLoadStarted: func() { go change.changeAll(ctx) },
	})
	if err == nil {
		err = <-change.changed
	}
	return change.outcome, err
}

// startNodes declares the nodes as instances and waits until they run.
func (c *rollingChange) startNodes(nodes []loopback.ExternalNode) error {
	for _, node := range nodes {
		config, listen, list, err := agent.Configure([]byte(node.Config), nil, nil)
		if err != nil {
			return err
		}
		instance := fleet.Instance{Name: node.Name, Listen: listen, Discovery: list, Desired: fleet.Running}
		c.declared.Instances = append(c.declared.Instances, instance)
		c.declared.Configs[node.Name] = config
	}
	startedAt := time.Now()
	err := c.agent.change(c.declared)
	c.outcome.applyTime = time.Since(startedAt)
	return err
}

// changeAll gives all instances a configuration with another seed, a few seconds into the load.
func (c *rollingChange) changeAll(ctx context.Context) {
	select {
	case <-time.After(seconds(changeStartShare * c.experiment.Seconds)):
	case <-ctx.Done():
		c.changed <- ctx.Err()
		return
	}
	next := c.declared
	next.Configs = map[string]string{}
	for name, config := range c.declared.Configs {
		next.Configs[name] = strings.Replace(config, `"seed": "`, `"seed": "a`, 1)
	}
	next.Options = &fleet.Options{MaxUnavailable: c.maxUnavailable, Canary: 1, HealthMs: healthMs}
	startedAt := time.Now()
	err := c.agent.change(next)
	c.outcome.changeTime = time.Since(startedAt)
	c.changed <- err
}

// testAgent is an agent in this process.
type testAgent struct {
	client *controlsocket.Client
	ctx    context.Context // of its calls, until cancel
	cancel context.CancelFunc
	ended  chan error
}

// startTestAgent starts an agent and waits until it listens. It outlives ctx, until stop.
func startTestAgent(ctx context.Context, dir, program string) (*testAgent, error) {
	options, err := agent.DecodeOptions(filepath.Join(dir, "agent.toml"), fmt.Appendf(nil,
		"dir = %q\nbinary = [%q]\n[rolling]\nhealth_ms = %d\n[timing]\nevery_ms = 20\ncalm_ms = 200\n", dir, program, healthMs))
	if err != nil {
		return nil, err
	}
	hostAgent, err := agent.New(options, slog.New(slog.DiscardHandler))
	if err != nil {
		return nil, err
	}
	a := &testAgent{client: controlsocket.NewClient(options.Socket, agentCallTimeout), ended: make(chan error, 1)}
	a.ctx, a.cancel = context.WithCancel(context.WithoutCancel(ctx))
	go func() { a.ended <- hostAgent.Run(a.ctx) }()
	for startedAt := time.Now(); ; time.Sleep(agentSocketPollInterval) {
		if _, err := os.Stat(options.Socket); err == nil {
			return a, nil
		}
		if time.Since(startedAt) > agentStartTimeout {
			return nil, errors.Join(errors.New("the agent does not come up"), a.stop())
		}
	}
}

// stop stops all instances and then the agent. If the agent refuses to stop the instances there are none.
func (a *testAgent) stop() error {
	var err error
	write := agent.WriteRequest{Command: "stop", Options: &fleet.Options{MaxUnavailable: unlimitedUnavailable}}
	if a.write(write) == nil {
		err = a.waitForChange()
	}
	a.cancel()
	return errors.Join(err, <-a.ended)
}

// change makes a change of the fleet and waits until it has succeeded.
func (a *testAgent) change(write agent.WriteRequest) error {
	if err := a.write(write); err != nil {
		return err
	}
	return a.waitForChange()
}

// write sends a change, made from the fleet's current revision.
func (a *testAgent) write(write agent.WriteRequest) error {
	var view agent.View
	if err := a.client.Call(a.ctx, http.MethodGet, agent.FleetPath, nil, &view); err != nil {
		return err
	}
	write.Revision, write.Reason = view.Revision, "lab"
	return a.client.Call(a.ctx, http.MethodPost, agent.WritePath, write, nil)
}

// waitForChange waits until the latest change is over, and returns an error unless it has succeeded.
func (a *testAgent) waitForChange() error {
	since := uint64(0)
	for startedAt := time.Now(); time.Since(startedAt) < changeTimeout; {
		var view agent.View
		path := fmt.Sprintf("%s?since=%d&wait_ms=1000", agent.FleetPath, since)
		if err := a.client.Call(a.ctx, http.MethodGet, path, nil, &view); err != nil {
			return err
		}
		since = view.Seq
		switch change := view.Change; {
		case change == nil || !change.Status.IsFinal():
		case change.Status != fleet.Succeeded:
			return fmt.Errorf("change %s: %s", change.Status, change.Failure)
		default:
			return nil
		}
	}
	return fmt.Errorf("the change is not over after %v", changeTimeout)
}
