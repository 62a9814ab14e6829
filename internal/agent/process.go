package agent

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
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

// configFile returns the path of the file in which the configuration with a digest is stored.
func configFile(dir, digest string) string { return filepath.Join(dir, "configs", digest+".json") }

// tryLock takes an instance's lock. It returns nil without an error if a process holds it.
//
// An instance's process holds its lock while it runs: it inherits the open file, and the kernel releases the
// lock when the process is gone, whether or not the agent still runs. So a lock that can be taken proves that no
// process runs, and one that can't proves that one does. Process ids prove neither, since they are reused.
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

// lockHolder reads what the holder of the lock has written into the lock file.
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

// start starts an instance's process and returns its id. It calls onCrashPoint at the crash points that it reaches,
// and onExit when the process has exited, if the agent still runs then.
func (files instanceFiles) start(
	binary []string, instance fleet.Instance, token string, onCrashPoint func(string), onExit func(error),
) (pid int, err error) {
	lock, err := files.tryLock()
	if err != nil {
		return 0, err
	}
	if lock == nil {
		return 0, fmt.Errorf("%s: lock held by a process, instance not started again", files.lockFile())
	}
	defer func() { _ = lock.Close() }()
	onCrashPoint("locked")
	if err := lock.Truncate(0); err != nil {
		return 0, err
	}
	output, err := os.OpenFile(files.outputFile(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return 0, err
	}
	defer func() { _ = output.Close() }()
	command := files.command(binary, instance, token)
	command.Stdout, command.Stderr = output, output
	command.ExtraFiles = []*os.File{lock} // the process inherits the lock, see tryLock
	if err := command.Start(); err != nil {
		return 0, err
	}
	onCrashPoint("executed")
	go func() { onExit(command.Wait()) }()
	if data, err := json.Marshal(serve.LockHolder{PID: command.Process.Pid, Token: token}); err == nil {
		_, _ = lock.WriteAt(data, 0) // the process writes the same itself; either may come first
	}
	onCrashPoint("noted")
	return command.Process.Pid, nil
}

// command returns the command that runs an instance out of service, until the agent admits it.
func (files instanceFiles) command(binary []string, instance fleet.Instance, token string) *exec.Cmd {
	args := append(slices.Clone(binary[1:]), "serve",
		"--config", configFile(files.dir, instance.Digest),
		"--control", files.socket(),
		"--held",
		"--log-file", files.logFile())
	command := exec.Command(binary[0], args...)
	command.Env = append(withoutNodeVariables(os.Environ()),
		serve.TokenVariable+"="+token,
		serve.LockVariable+"="+files.lockFile(),
		fmt.Sprintf("%s=%d", serve.EpochVariable, instance.Epoch))
	// In a session of its own, the process survives the agent and its terminal.
	command.SysProcAttr = &syscall.SysProcAttr{Setsid: true}
	return command
}

// withoutNodeVariables removes variables that would give a node another identity or configuration.
func withoutNodeVariables(env []string) []string {
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

// verifyHolder returns an error unless the lock is held by the process with that token.
func (files instanceFiles) verifyHolder(holder serve.LockHolder, token string) error {
	if token == "" || holder.Token != token || holder.PID <= 1 {
		return fmt.Errorf("%s: lock holder is not the process that was started", files.lockFile())
	}
	lock, err := files.tryLock()
	if err != nil {
		return err
	}
	if lock != nil {
		_ = lock.Close()
		return fmt.Errorf("%s: lock not held: process %d belongs to another program", files.lockFile(), holder.PID)
	}
	return nil
}

// remove removes an instance's socket and lock. It fails while a process holds the lock.
func (files instanceFiles) remove() error {
	lock, err := files.tryLock()
	if err != nil || lock == nil {
		return errors.Join(err, errors.New("lock still held"))
	}
	defer func() { _ = lock.Close() }()
	for _, name := range []string{files.socket(), files.lockFile()} {
		if err := os.Remove(name); err != nil && !errors.Is(err, fs.ErrNotExist) {
			return err
		}
	}
	return nil
}

// observe returns the current state of an instance. It changes nothing.
func (files instanceFiles) observe(
	ctx context.Context, record fleet.Record, now func() float64, timeout time.Duration,
) fleet.Observation {
	lock, err := files.tryLock()
	if err != nil {
		return fleet.Observation{Phase: fleet.PhaseUnknown, ObservedAt: now(), Reason: err.Error()}
	}
	if lock != nil {
		_ = lock.Close()
		return fleet.Observation{Phase: fleet.PhaseDown, ObservedAt: now()}
	}
	holder, err := files.lockHolder()
	isProven := err == nil && record.Token != "" && holder.Token == record.Token
	status, err := files.status(ctx, timeout)
	if err != nil {
		return observeUnresponsive(record, holder, isProven, now(), err)
	}
	return observeStatus(record, status, now())
}

// status asks an instance for its status on its control socket.
func (files instanceFiles) status(ctx context.Context, timeout time.Duration) (controlsocket.Status, error) {
	var status controlsocket.Status
	client := controlsocket.NewClient(files.socket(), timeout)
	err := client.Call(ctx, "GET", controlsocket.StatusPath, nil, &status)
	return status, err
}

// observeUnresponsive returns the observation of an instance whose lock is held but which does not answer. A proven
// process counts as starting until it was ready once, and as shutting down after its SIGTERM; otherwise its phase is
// unknown.
func observeUnresponsive(
	record fleet.Record, holder serve.LockHolder, isProven bool, now float64, err error,
) fleet.Observation {
	observation := fleet.Observation{ObservedAt: now, IsProven: isProven}
	switch {
	case isProven && record.TerminatedAt > 0:
		observation.Phase, observation.PID = fleet.PhaseShuttingDown, holder.PID
	case isProven && !record.WasReady:
		observation.Phase, observation.PID = fleet.PhaseStarting, holder.PID
		observation.Reason = "no answer yet: " + err.Error()
	default:
		observation.Phase = fleet.PhaseUnknown
		observation.Reason = "runs, and does not answer: " + err.Error()
	}
	return observation
}

// observeStatus returns the observation of an instance that answered with its status.
func observeStatus(record fleet.Record, status controlsocket.Status, now float64) fleet.Observation {
	if status.Token != record.Token {
		reason := fmt.Sprintf("process %d answers with another token", status.PID)
		return fleet.Observation{Phase: fleet.PhaseForeign, ObservedAt: now, PID: status.PID, Reason: reason}
	}
	observation := fleet.Observation{
		Phase:        fleet.PhaseStarting,
		ObservedAt:   now,
		PID:          status.PID,
		Digest:       status.Digest,
		Epoch:        status.Epoch,
		Discovery:    status.ListAddress,
		ListVersion:  status.ListVersion,
		ListDigest:   status.ListDigest,
		InService:    status.InService,
		OpenRequests: status.OpenRequests,
		MemoryMB:     status.MemoryMB,
		Settings:     status.ControlPlane.String(),
		IsProven:     true,
	}
	if status.TLS != nil {
		firstToExpire := status.TLS.FirstToExpire()
		observation.CertStage = string(firstToExpire.Stage)
		if !firstToExpire.NotAfter.IsZero() {
			observation.CertExpiry = float64(firstToExpire.NotAfter.UnixMilli())
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

// Bounds of what tail reads of a file, in bytes.
const (
	tailBytesPerLine = 512     // for each requested line; fewer lines are returned if they are longer on average
	maxTailBytes     = 4 << 20 // an answer on the control socket
)

// tail returns the last lines of a file, fewer where they are long.
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
	start := max(0, info.Size()-int64(lines)*tailBytesPerLine)
	if _, err := file.Seek(start, io.SeekStart); err != nil {
		return nil, err
	}
	data, err := io.ReadAll(io.LimitReader(file, maxTailBytes))
	if err != nil {
		return nil, err
	}
	all := strings.Split(strings.TrimRight(string(data), "\n"), "\n")
	return all[max(0, len(all)-lines):], nil
}
