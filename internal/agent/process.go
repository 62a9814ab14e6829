package agent

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"pearknot/internal/controlsocket"
	"pearknot/internal/fleet"
	"pearknot/internal/serve"
)

// place is where one instance's files are.
type place struct{ dir, name string }

func (p place) lock() string     { return filepath.Join(p.dir, "run", p.name+".lock") }
func (p place) socket() string   { return filepath.Join(p.dir, "run", p.name+".sock") }
func (p place) log() string      { return filepath.Join(p.dir, "logs", p.name+".log") }
func (p place) standing() string { return filepath.Join(p.dir, "logs", p.name+".out") }

// file is where the copy of a configuration is kept, by its digest.
func file(dir, digest string) string { return filepath.Join(dir, "configs", digest+".json") }

// An instance's process holds its lock from its first moment to its last: it inherits the open file, and the kernel
// lets go of it when the process is gone, whatever became of the agent. So a lock that can be had proves that nothing
// runs, and one that can't proves that something does; process ids, which are reused, prove neither.

// take takes an instance's lock; nil without an error is a lock that a process holds.
func (p place) take() (*os.File, error) {
	f, err := os.OpenFile(p.lock(), os.O_RDWR|os.O_CREATE|syscall.O_CLOEXEC, 0o600)
	if err != nil {
		return nil, err
	}
	if err := unix.Flock(int(f.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		_ = f.Close()
		if errors.Is(err, unix.EWOULDBLOCK) {
			return nil, nil
		}
		return nil, fmt.Errorf("%s: %w", p.lock(), err)
	}
	return f, nil
}

// holder is what stands in a lock, by whoever holds it.
func (p place) holder() (h serve.Holder, err error) {
	data, err := os.ReadFile(p.lock())
	if err != nil {
		return h, err
	}
	return h, json.Unmarshal(data, &h)
}

// newToken is what an instance answers with to prove that it is the one that was started.
func newToken() string {
	b := make([]byte, 16)
	_, _ = rand.Read(b) // never fails
	return hex.EncodeToString(b)
}

// start starts an instance's process and returns when it runs; ended is called when it has, if the agent lives then.
func (p place) start(binary []string, i fleet.Instance, token string, point func(string), ended func(error)) (pid int, err error) {
	lock, err := p.take()
	if err != nil {
		return 0, err
	}
	if lock == nil {
		return 0, fmt.Errorf("%s: held by a process: not started again", p.lock())
	}
	defer func() { _ = lock.Close() }()
	point("locked")
	if err := lock.Truncate(0); err != nil {
		return 0, err
	}
	out, err := os.OpenFile(p.standing(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return 0, err
	}
	defer func() { _ = out.Close() }()
	args := append(slices.Clone(binary[1:]), "serve", "--config", file(p.dir, i.Digest), "--control", p.socket(), "--held",
		"--log-file", p.log())
	c := exec.Command(binary[0], args...)
	c.Env = append(clean(os.Environ()), serve.TokenVariable+"="+token, serve.LockVariable+"="+p.lock(),
		fmt.Sprintf("%s=%d", serve.EpochVariable, i.Epoch))
	c.Stdout, c.Stderr, c.ExtraFiles = out, out, []*os.File{lock}
	c.SysProcAttr = &syscall.SysProcAttr{Setsid: true} // it outlives the agent, and its terminal
	if err := c.Start(); err != nil {
		return 0, err
	}
	point("executed")
	go func() { ended(c.Wait()) }()
	if data, err := json.Marshal(serve.Holder{PID: c.Process.Pid, Token: token}); err == nil {
		_, _ = lock.WriteAt(data, 0) // as the process itself does: one of the two comes first
	}
	point("noted")
	return c.Process.Pid, nil
}

// clean leaves out what would tell a node that it is another one.
func clean(env []string) []string {
	var kept []string
	for _, e := range env {
		if !strings.HasPrefix(e, "PEARKNOT_") && !strings.HasPrefix(e, "ROUTER_") {
			kept = append(kept, e)
		}
	}
	return kept
}

// signal signals an instance's process, after it has proven to be the one: by what stands in the lock that it holds.
// The handle is taken before the proof, so that an id given to another process meanwhile is never signalled.
func (p place) signal(token string, s syscall.Signal) error {
	h, err := p.holder()
	if err != nil {
		return fmt.Errorf("%s: %w", p.lock(), err)
	}
	handle, err := os.FindProcess(h.PID)
	if err != nil {
		return err
	}
	defer func() { _ = handle.Release() }()
	if err := p.prove(h, token); err != nil {
		return err
	}
	if err := handle.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return err
	}
	return nil
}

// prove holds what stands in a lock against the token, and sees that the lock is held.
func (p place) prove(h serve.Holder, token string) error {
	if token == "" || h.Token != token || h.PID <= 1 {
		return fmt.Errorf("%s: holder is not the one that was started", p.lock())
	}
	lock, err := p.take()
	if err != nil {
		return err
	}
	if lock != nil {
		_ = lock.Close()
		return fmt.Errorf("%s: nobody holds it: process %d is another program's", p.lock(), h.PID)
	}
	return nil
}

// look sees what an instance is now. It changes nothing.
func (p place) look(ctx context.Context, r fleet.Record, now func() float64, within time.Duration) fleet.Seen {
	lock, err := p.take()
	if err != nil {
		return fleet.Seen{Phase: fleet.Unknown, At: now(), Why: err.Error()}
	}
	if lock != nil {
		_ = lock.Close()
		return fleet.Seen{Phase: fleet.Down, At: now()}
	}
	h, err := p.holder()
	proven := err == nil && r.Token != "" && h.Token == r.Token
	var s controlsocket.Status
	if err := controlsocket.NewClient(p.socket(), within).Call(ctx, "GET", controlsocket.StatusPath, nil, &s); err != nil {
		switch {
		case proven && r.TermAt > 0:
			return fleet.Seen{Phase: fleet.Ending, At: now(), Pid: h.PID, Proven: true}
		case proven && !r.WasReady:
			return fleet.Seen{Phase: fleet.Starting, At: now(), Pid: h.PID, Proven: true, Why: "no answer yet: " + err.Error()}
		}
		return fleet.Seen{Phase: fleet.Unknown, At: now(), Proven: proven, Why: "runs, and does not answer: " + err.Error()}
	}
	if s.Token != r.Token {
		return fleet.Seen{Phase: fleet.Alien, At: now(), Pid: s.PID, Why: fmt.Sprintf("process %d answers with another token", s.PID)}
	}
	seen := fleet.Seen{Phase: fleet.Starting, At: now(), Pid: s.PID, Digest: s.Digest, Epoch: s.Epoch, List: s.ListAddress,
		ListAt: s.ListVersion, ListSum: s.ListDigest, InService: s.InService, Open: s.OpenRequests, MemoryMB: s.MemoryMB, Settings: s.ControlPlane.String(), Proven: true}
	if s.TLS != nil {
		worst := s.TLS.FirstToExpire()
		seen.CertStage = string(worst.Stage)
		if !worst.NotAfter.IsZero() {
			seen.CertEnds = float64(worst.NotAfter.UnixMilli())
		}
	}
	switch {
	case s.Draining || r.TermAt > 0:
		seen.Phase = fleet.Ending
	case s.Ready:
		seen.Phase = fleet.Ready
	}
	return seen
}

// tail gives the last lines of a file.
func tail(name string, lines int) ([]string, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }()
	info, err := f.Stat()
	if err != nil {
		return nil, err
	}
	from := max(0, info.Size()-int64(lines)*512)
	if _, err := f.Seek(from, io.SeekStart); err != nil {
		return nil, err
	}
	data, err := io.ReadAll(io.LimitReader(f, 4<<20))
	if err != nil {
		return nil, err
	}
	all := strings.Split(strings.TrimRight(string(data), "\n"), "\n")
	return all[max(0, len(all)-lines):], nil
}
