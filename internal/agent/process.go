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

// instanceFiles names the files of one instance.
type instanceFiles struct{ dir, name string }

func (p instanceFiles) lockFile() string   { return filepath.Join(p.dir, "run", p.name+".lock") }
func (p instanceFiles) socket() string     { return filepath.Join(p.dir, "run", p.name+".sock") }
func (p instanceFiles) logFile() string    { return filepath.Join(p.dir, "logs", p.name+".log") }
func (p instanceFiles) outputFile() string { return filepath.Join(p.dir, "logs", p.name+".out") }

// configFile is the file that a configuration is stored in, by its digest.
func configFile(dir, digest string) string { return filepath.Join(dir, "configs", digest+".json") }

// tryLock takes an instance's lock. It returns nil without an error if a process holds it.
//
// An instance's process holds its lock as long as it lives: it inherits the open file, and the kernel releases the lock when
// the process is gone, whatever became of the agent. So a lock that can be taken proves that no process runs, and one that
// can't proves that one does. Process ids prove neither, since they are reused.
func (p instanceFiles) tryLock() (*os.File, error) {
	f, err := os.OpenFile(p.lockFile(), os.O_RDWR|os.O_CREATE|syscall.O_CLOEXEC, 0o600)
	if err != nil {
		return nil, err
	}
	if err := unix.Flock(int(f.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		_ = f.Close()
		if errors.Is(err, unix.EWOULDBLOCK) {
			return nil, nil
		}
		return nil, fmt.Errorf("%s: %w", p.lockFile(), err)
	}
	return f, nil
}

// lockHolder reads what the holder of the lock has written into it.
func (p instanceFiles) lockHolder() (h serve.LockHolder, err error) {
	data, err := os.ReadFile(p.lockFile())
	if err != nil {
		return h, err
	}
	return h, json.Unmarshal(data, &h)
}

// newToken returns a random token, with which an instance proves that it is the process that was started.
func newToken() string {
	b := make([]byte, 16)
	_, _ = rand.Read(b) // never fails
	return hex.EncodeToString(b)
}

// start starts an instance's process and returns its id. It calls ended when the process has exited, if the agent still lives.
func (p instanceFiles) start(binary []string, i fleet.Instance, token string, point func(string), ended func(error)) (pid int, err error) {
	lock, err := p.tryLock()
	if err != nil {
		return 0, err
	}
	if lock == nil {
		return 0, fmt.Errorf("%s: held by a process, not started again", p.lockFile())
	}
	defer func() { _ = lock.Close() }()
	point("locked")
	if err := lock.Truncate(0); err != nil {
		return 0, err
	}
	out, err := os.OpenFile(p.outputFile(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return 0, err
	}
	defer func() { _ = out.Close() }()
	args := append(slices.Clone(binary[1:]), "serve", "--config", configFile(p.dir, i.Digest), "--control", p.socket(), "--held",
		"--log-file", p.logFile())
	c := exec.Command(binary[0], args...)
	c.Env = append(withoutOwnVariables(os.Environ()), serve.TokenVariable+"="+token, serve.LockVariable+"="+p.lockFile(),
		fmt.Sprintf("%s=%d", serve.EpochVariable, i.Epoch))
	c.Stdout, c.Stderr, c.ExtraFiles = out, out, []*os.File{lock}
	c.SysProcAttr = &syscall.SysProcAttr{Setsid: true} // in a session of its own, it survives the agent and its terminal
	if err := c.Start(); err != nil {
		return 0, err
	}
	point("executed")
	go func() { ended(c.Wait()) }()
	if data, err := json.Marshal(serve.LockHolder{PID: c.Process.Pid, Token: token}); err == nil {
		_, _ = lock.WriteAt(data, 0) // the process writes the same itself; either may be first
	}
	point("noted")
	return c.Process.Pid, nil
}

// withoutOwnVariables removes variables that would give a node another identity or configuration.
func withoutOwnVariables(env []string) []string {
	var kept []string
	for _, e := range env {
		if !strings.HasPrefix(e, "PEARKNOT_") && !strings.HasPrefix(e, "ROUTER_") {
			kept = append(kept, e)
		}
	}
	return kept
}

// signal sends a signal to an instance's process after verifying that it is the one that was started. The process handle is
// opened before the verification, so that an id that the system has reused meanwhile is never signalled.
func (p instanceFiles) signal(token string, s syscall.Signal) error {
	h, err := p.lockHolder()
	if err != nil {
		return fmt.Errorf("%s: %w", p.lockFile(), err)
	}
	handle, err := os.FindProcess(h.PID)
	if err != nil {
		return err
	}
	defer func() { _ = handle.Release() }()
	if err := p.verifyHolder(h, token); err != nil {
		return err
	}
	if err := handle.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return err
	}
	return nil
}

// verifyHolder checks that the lock is held, by a process with that token.
func (p instanceFiles) verifyHolder(h serve.LockHolder, token string) error {
	if token == "" || h.Token != token || h.PID <= 1 {
		return fmt.Errorf("%s: holder is not the one that was started", p.lockFile())
	}
	lock, err := p.tryLock()
	if err != nil {
		return err
	}
	if lock != nil {
		_ = lock.Close()
		return fmt.Errorf("%s: nobody holds it: process %d is another program's", p.lockFile(), h.PID)
	}
	return nil
}

// observe returns what an instance is now. It changes nothing.
func (p instanceFiles) observe(ctx context.Context, r fleet.Record, now func() float64, within time.Duration) fleet.Observation {
	lock, err := p.tryLock()
	if err != nil {
		return fleet.Observation{Phase: fleet.PhaseUnknown, ObservedAt: now(), Reason: err.Error()}
	}
	if lock != nil {
		_ = lock.Close()
		return fleet.Observation{Phase: fleet.PhaseDown, ObservedAt: now()}
	}
	h, err := p.lockHolder()
	proven := err == nil && r.Token != "" && h.Token == r.Token
	var s controlsocket.Status
	if err := controlsocket.NewClient(p.socket(), within).Call(ctx, "GET", controlsocket.StatusPath, nil, &s); err != nil {
		switch {
		case proven && r.TerminatedAt > 0:
			return fleet.Observation{Phase: fleet.PhaseShuttingDown, ObservedAt: now(), PID: h.PID, IsProven: true}
		case proven && !r.WasReady:
			return fleet.Observation{Phase: fleet.PhaseStarting, ObservedAt: now(), PID: h.PID, IsProven: true, Reason: "no answer yet: " + err.Error()}
		}
		return fleet.Observation{Phase: fleet.PhaseUnknown, ObservedAt: now(), IsProven: proven, Reason: "runs, and does not answer: " + err.Error()}
	}
	if s.Token != r.Token {
		return fleet.Observation{Phase: fleet.PhaseForeign, ObservedAt: now(), PID: s.PID, Reason: fmt.Sprintf("process %d answers with another token", s.PID)}
	}
	seen := fleet.Observation{Phase: fleet.PhaseStarting, ObservedAt: now(), PID: s.PID, Digest: s.Digest, Epoch: s.Epoch, Discovery: s.ListAddress,
		ListVersion: s.ListVersion, ListDigest: s.ListDigest, InService: s.InService, OpenRequests: s.OpenRequests, MemoryMB: s.MemoryMB, Settings: s.ControlPlane.String(), IsProven: true}
	if s.TLS != nil {
		worst := s.TLS.FirstToExpire()
		seen.CertStage = string(worst.Stage)
		if !worst.NotAfter.IsZero() {
			seen.CertExpiry = float64(worst.NotAfter.UnixMilli())
		}
	}
	switch {
	case s.Draining || r.TerminatedAt > 0:
		seen.Phase = fleet.PhaseShuttingDown
	case s.Ready:
		seen.Phase = fleet.PhaseReady
	}
	return seen
}

// tail returns the last lines of a file.
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
