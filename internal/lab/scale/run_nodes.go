package scale

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"time"

	"pearknot/internal/controlsocket"
	"pearknot/internal/lab/loopback"
)

const (
	startTimeout       = 60 * time.Second
	startPollInterval  = 50 * time.Millisecond
	hollowPollInterval = 250 * time.Millisecond
	realPollInterval   = 100 * time.Millisecond
	socketTimeout      = 5 * time.Second // per call on a control socket
)

const firstVersion = 1

// startNodes starts all nodes, and waits until each has applied the first version and the real ones serve requests.
func (r *run) startNodes(ctx context.Context, realNodes []loopback.ExternalNode) error {
	r.mu.Lock()
	for _, n := range r.testbed.nodes {
		r.auditor.NodeStarted(n.name, r.clock.Now())
	}
	r.mu.Unlock()
	for number, n := range realNodes {
		if err := r.startRealNode(ctx, number, n); err != nil {
			return err
		}
	}
	if err := r.startHollowProcesses(ctx); err != nil {
		return err
	}
	err := waitForAll(ctx, r.experiment.Nodes, "nodes have the first version", func() int { return r.countNodesAt(firstVersion) })
	if err != nil {
		return err
	}
	return waitForAll(ctx, len(realNodes), "real nodes serve", func() (healthy int) {
		for _, n := range realNodes {
			if isHealthy(n.Address) {
				healthy++
			}
		}
		return healthy
	})
}

func (r *run) startRealNode(ctx context.Context, number int, n loopback.ExternalNode) error {
	config := filepath.Join(r.testbed.dir, n.Name+".json")
	socket := filepath.Join(r.testbed.dir, n.Name+".sock")
	if err := os.WriteFile(config, []byte(n.Config), 0o600); err != nil {
		return err
	}
	command := []string{
		r.options.Pearknot, "serve", "--config", config, "--control", socket,
		"--control-plane", r.testbed.filePath(zoneFile(KindReal, r.testbed.nodes[number].zone)),
	}
	if err := r.start(ctx, KindReal, n.Name, command...); err != nil {
		return err
	}
	client := controlsocket.NewClient(socket, socketTimeout)
	r.realSockets = append(r.realSockets, client)
	r.background.Go(func() { r.pollRealNode(ctx, number, client) })
	return nil
}

func (r *run) startHollowProcesses(ctx context.Context) error {
	processes, err := r.testbed.writeHollowFiles()
	if err != nil {
		return err
	}
	for index, p := range processes {
		command := append(slices.Clone(r.options.HollowCommand), p.file)
		if err := r.start(ctx, KindHollow, fmt.Sprintf("h%d", index), command...); err != nil {
			return err
		}
		client := &hollowClient{socket: controlsocket.NewClient(p.socket, socketTimeout), nodes: p.nodes}
		r.hollowClients = append(r.hollowClients, client)
		r.background.Go(func() { r.pollHollowProcess(ctx, client) })
	}
	return nil
}

// waitForAll polls count until it reaches want, for startTimeout at most.
func waitForAll(ctx context.Context, want int, what string, count func() int) error {
	for start := time.Now(); ; {
		reached := count()
		if reached >= want {
			return nil
		}
		if time.Since(start) > startTimeout {
			return fmt.Errorf("%d of %d %s after %v", reached, want, what, startTimeout)
		}
		if !wait(ctx, startPollInterval) {
			return context.Cause(ctx)
		}
	}
}

// pollHollowProcess polls a hollow process for the versions that its nodes have applied. An error doesn't fail the run: sampling detects
// the end of the process itself.
func (r *run) pollHollowProcess(ctx context.Context, client *hollowClient) {
	for wait(ctx, hollowPollInterval) {
		events, err := client.nextEvents(ctx)
		if err != nil {
			continue
		}
		for _, event := range events {
			r.versionReported(client.nodes[event.Node], event.Version, event.Digest, event.At)
		}
	}
}

// pollRealNode polls a real node for the version that it has applied. A version counts as applied from when the answer arrives.
func (r *run) pollRealNode(ctx context.Context, number int, socket *controlsocket.Client) {
	for wait(ctx, realPollInterval) {
		if state, err := fetchRealNodeState(ctx, socket); err == nil {
			r.versionReported(number, state.version, state.digest, r.clock.Now())
		}
	}
}

func (r *run) versionReported(node int, version uint64, digest string, since float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.auditor.VersionReported(r.testbed.nodes[node].name, version, digest, since)
	r.appliedVersions[node] = version
}
