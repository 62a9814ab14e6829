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

// agentProbes have an agent find so many stand-in instances of another process, and look at what it costs when all is calm.
func agentProbes() []probe {
	return []probe{{name: "agent", by: "instances", alone: true, sizes: []float64{50, 200, 500, 1500}, quick: []float64{10, 25, 50, 100},
		metrics: []metric{
			{"agent.cpu", "the agent, calm, a look at each a second: processor time", "ms/s", false},
			{"agent.rss", "the same, memory held", "MB", false},
			{"agent.view", "an operator's look at all of them, bytes", "B", false},
			{"agent.view.ms", "the same, until it is there", "ms", true},
		},
		open: func(ctx context.Context, b *Bench, size float64) (_ *rig, err error) {
			dir, err := os.MkdirTemp("", "pk")
			if err != nil {
				return nil, err
			}
			var running []*exec.Cmd
			end := func() {
				for _, c := range slices.Backward(running) {
					_ = c.Process.Kill()
					_ = c.Wait()
				}
				_ = os.RemoveAll(dir)
			}
			defer func() {
				if err != nil {
					end()
				}
			}()
			begin := func(args ...string) (out io.Reader, err error) {
				c := exec.Command(args[0], args[1:]...)
				c.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
				if out, err = c.StdoutPipe(); err != nil {
					return nil, err
				}
				if err := c.Start(); err != nil {
					return nil, err
				}
				running = append(running, c)
				return out, nil
			}
			out, err := begin(slices.Concat(b.Lab, []string{"instances", "--dir", dir, "--count", fmt.Sprint(size)})...)
			if err != nil {
				return nil, err
			}
			if _, err := out.Read(make([]byte, 100)); err != nil { // it says so when all are there
				return nil, fmt.Errorf("stand-in instances: %w", err)
			}
			file := filepath.Join(dir, "agent.toml")
			if err := os.WriteFile(file, fmt.Appendf(nil, "dir = %q\nbinary = [%q]\n", dir, b.Node[0]), 0o600); err != nil {
				return nil, err
			}
			// An agent whose state can't be read takes what runs for what is declared.
			if err := os.WriteFile(filepath.Join(dir, "state.db"), []byte("none"), 0o600); err != nil {
				return nil, err
			}
			if _, err := begin(b.Node[0], "agent", "--config", file, "--log", "error"); err != nil {
				return nil, err
			}
			pid := running[1].Process.Pid
			c := &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
				return (&net.Dialer{}).DialContext(ctx, "unix", filepath.Join(dir, "agent.sock"))
			}}}
			look := func() (seen int, text []byte, err error) {
				a, err := c.Get("http://agent" + agent.FleetPath)
				if err != nil {
					return 0, nil, err
				}
				defer a.Body.Close()
				if text, err = io.ReadAll(a.Body); err != nil {
					return 0, nil, err
				}
				var v agent.View
				if err := json.NewDecoder(bytes.NewReader(text)).Decode(&v); err != nil {
					return 0, nil, err
				}
				return len(v.Instances), text, nil
			}
			for begun := time.Now(); ; sleep(ctx, 20*time.Millisecond) {
				if n, _, err := look(); err == nil && n >= int(size) {
					break
				}
				if ctx.Err() != nil || time.Since(begun) > 30*time.Second {
					return nil, errors.Join(ctx.Err(), errors.New("the agent does not find all instances"))
				}
			}
			sleep(ctx, 1500*time.Millisecond)
			return &rig{close: end, run: func(ctx context.Context) ([]float64, error) {
				cpu, begun := spentBy(pid), time.Now()
				sleep(ctx, max(b.Span, time.Second))
				cpu = (spentBy(pid) - cpu) / time.Since(begun).Seconds()
				now, _ := memoryOf(pid)
				begun = time.Now()
				_, text, err := look()
				return []float64{cpu, now, float64(len(text)), float64(time.Since(begun).Microseconds()) / 1e3}, err
			}}, nil
		}}}
}
