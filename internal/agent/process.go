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

func (files instanceFiles) lockFile() string {
	return filepath.Join(files.dir, "run", files.name+".lock")
}
func (files instanceFiles) socket() string {
	return filepath.Join(files.dir, "run", files.name+".sock")
}
func (files instanceFiles) logFile() string {
	return filepath.Join(files.dir, "logs", files.name+".log")
}
func (files instanceFiles) outputFile() string {
	return filepath.Join(files.dir, "logs", files.name+".out")
}

// configFile is the file that a configuration is stored in, by its digest.
func configFile(dir, digest string) string { return filepath.Join(dir, "configs", digest+".json") }

// tryLock takes an instance's lock. It returns nil without an error if a process holds it.
//
// An instance's process holds its lock as long as it lives: it inherits the open file, and the kernel releases the
// lock when the process is gone, whatever became of the agent. So a lock that can be taken proves that no process
// runs, and one that can't proves that one does. Process ids prove neither, since they are reused.
func (files instanceFiles) tryLock() (*os.File, error) {
	file, err := os.OpenFile(files.lockFile(), os.O_RDWR|os.O_CREATE|syscall.O_CLOEXEC, 0o600)
	if err != nil {
		return nil, err
	}
	if err := unix.Flock(int(file.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		_ = file.Close()
		if errors.Is(err, unix.EWOULDBLOCK) {
			return nil, nil
		}
		return nil, fmt.Errorf("%s: %w", files.lockFile(), err)
	}
	return file, nil
}

// lockHolder reads what the holder of the lock has written into it.
func (files instanceFiles) lockHolder() (holder serve.LockHolder, err error) {
	data, err := os.ReadFile(files.lockFile())
	if err != nil {
		return holder, err
	}
	return holder, json.Unmarshal(data, &holder)
}

// newToken returns a random token, with which an instance proves that it is the process that was started.
func newToken() string {
	token := make([]byte, 16)
	_, _ = rand.Read(token) // never fails
	return hex.EncodeToString(token)
}

// start starts an instance's process and returns its id. It calls ended when the process has exited, if the agent
// still lives.
func (files instanceFiles) start(binary []string, instance fleet.Instance, token string, onPoint func(string), onExit func(error)) (pid int, err error) {
	lock, err := files.tryLock()
	if err != nil {
		return 0, err
	}
	if lock == nil {
		return 0, fmt.Errorf("%s: held by a process, not started again", files.lockFile())
	}
	defer func() { _ = lock.Close() }()
	onPoint("locked")
	if err := lock.Truncate(0); err != nil {
		return 0, err
	}
	output, err := os.OpenFile(files.outputFile(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return 0, err
	}
	defer func() { _ = output.Close() }()
	args := append(slices.Clone(binary[1:]), "serve", "--config", configFile(files.dir, instance.Digest), "--control", files.socket(), "--held",
		"--log-file", files.logFile())
	command := exec.Command(binary[0], args...)
	command.Env = append(withoutOwnVariables(os.Environ()), serve.TokenVariable+"="+token, serve.LockVariable+"="+files.lockFile(),
		fmt.Sprintf("%s=%d", serve.EpochVariable, instance.Epoch))
	command.Stdout, command.Stderr, command.ExtraFiles = output, output, []*os.File{lock}
	command.SysProcAttr = &syscall.SysProcAttr{Setsid: true} // in a session of its own, it survives the agent and its terminal
	if err := command.Start(); err != nil {
		return 0, err
	}
	onPoint("executed")
	go func() { onExit(command.Wait()) }()
	if data, err := json.Marshal(serve.LockHolder{PID: command.Process.Pid, Token: token}); err == nil {
		_, _ = lock.WriteAt(data, 0) // the process writes the same itself; either may be first
	}
	onPoint("noted")
	return command.Process.Pid, nil
}

// withoutOwnVariables removes variables that would give a node another identity or configuration.
func withoutOwnVariables(env []string) []string {
	var remaining []string
	for _, variable := range env {
		if !strings.HasPrefix(variable, "PEARKNOT_") && !strings.HasPrefix(variable, "ROUTER_") {
			remaining = append(remaining, variable)
		}
	}
	return remaining
}

// signal sends a signal to an instance's process after verifying that it is the one that was started. The process
// handle is opened before the verification, so that an id that the system has reused meanwhile is never signalled.
func (files instanceFiles) signal(token string, signal syscall.Signal) error {
	holder, err := files.lockHolder()
	if err != nil {
		return fmt.Errorf("%s: %w", files.lockFile(), err)
	}
	handle, err := os.FindProcess(holder.PID)
	if err != nil {
		return err
	}
	defer func() { _ = handle.Release() }()
	if err := files.verifyHolder(holder, token); err != nil {
		return err
	}
	if err := handle.Signal(signal); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return err
	}
	return nil
}

// verifyHolder checks that the lock is held, by a process with that token.
func (files instanceFiles) verifyHolder(holder serve.LockHolder, token string) error {
	if token == "" || holder.Token != token || holder.PID <= 1 {
		return fmt.Errorf("%s: holder is not the one that was started", files.lockFile())
	}
	lock, err := files.tryLock()
	if err != nil {
		return err
	}
	if lock != nil {
		_ = lock.Close()
		return fmt.Errorf("%s: nobody holds it: process %d is another program's", files.lockFile(), holder.PID)
	}
	return nil
}

// observe returns what an instance is now. It changes nothing.
func (files instanceFiles) observe(ctx context.Context, record fleet.Record, now func() float64, timeout time.Duration) fleet.Observation {
	lock, err := files.tryLock()
	if err != nil {
		return fleet.Observation{Phase: fleet.PhaseUnknown, ObservedAt: now(), Reason: err.Error()}
	}
	if lock != nil {
		_ = lock.Close()
		return fleet.Observation{Phase: fleet.PhaseDown, ObservedAt: now()}
	}
	holder, err := files.lockHolder()
	proven := err == nil && record.Token != "" && holder.Token == record.Token
	var status controlsocket.Status
	if err := controlsocket.NewClient(files.socket(), timeout).Call(ctx, "GET", controlsocket.StatusPath, nil, &status); err != nil {
		switch {
		case proven && record.TerminatedAt > 0:
			return fleet.Observation{Phase: fleet.PhaseShuttingDown, ObservedAt: now(), PID: holder.PID, IsProven: true}
		case proven && !record.WasReady:
			return fleet.Observation{Phase: fleet.PhaseStarting, ObservedAt: now(), PID: holder.PID, IsProven: true, Reason: "no answer yet: " + err.Error()}
		}
		return fleet.Observation{Phase: fleet.PhaseUnknown, ObservedAt: now(), IsProven: proven, Reason: "runs, and does not answer: " + err.Error()}
	}
	if status.Token != record.Token {
		return fleet.Observation{Phase: fleet.PhaseForeign, ObservedAt: now(), PID: status.PID, Reason: fmt.Sprintf("process %d answers with another token", status.PID)}
	}
	observation := fleet.Observation{Phase: fleet.PhaseStarting, ObservedAt: now(), PID: status.PID, Digest: status.Digest, Epoch: status.Epoch, Discovery: status.ListAddress,
		ListVersion: status.ListVersion, ListDigest: status.ListDigest, InService: status.InService, OpenRequests: status.OpenRequests, MemoryMB: status.MemoryMB, Settings: status.ControlPlane.String(), IsProven: true}
	if status.TLS != nil {
		worst := status.TLS.FirstToExpire()
		observation.CertStage = string(worst.Stage)
		if !worst.NotAfter.IsZero() {
			observation.CertExpiry = float64(worst.NotAfter.UnixMilli())
		}
	}
	switch {
	case status.Draining || record.TerminatedAt > 0:
		observation.Phase = fleet.PhaseShuttingDown
	case status.Ready:
		observation.Phase = fleet.PhaseReady
	}
	return observation
}

// tail returns the last lines of a file.
func tail(name string, lines int) ([]string, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }()
	info, err := file.Stat()
	if err != nil {
		return nil, err
	}
	start := max(0, info.Size()-int64(lines)*512)
	if _, err := file.Seek(start, io.SeekStart); err != nil {
		return nil, err
	}
	data, err := io.ReadAll(io.LimitReader(file, 4<<20))
	if err != nil {
		return nil, err
	}
	all := strings.Split(strings.TrimRight(string(data), "\n"), "\n")
	return all[max(0, len(all)-lines):], nil
}
