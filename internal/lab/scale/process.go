package scale

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// process is a child process of the run.
type process struct {
	cmd   *exec.Cmd
	kind  ProcessKind
	name  string
	log   string
	ended chan struct{} // closed when it has ended
	err   error         // result of Wait; may be read once ended is closed
}

// startProcess starts a process with its output in a log file in dir. The kernel kills it when this program ends for any reason.
func startProcess(kind ProcessKind, name, dir string, command ...string) (*process, error) {
	log := filepath.Join(dir, name+".log")
	file, err := os.OpenFile(log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }()
	p := &process{cmd: exec.Command(command[0], command[1:]...), kind: kind, name: name, log: log, ended: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr = file, file
	// Temporary files that a killed process leaves behind are removed with the directory.
	p.cmd.Env = append(os.Environ(), "TMPDIR="+dir)
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	go func() {
		p.err = p.cmd.Wait()
		close(p.ended)
	}()
	return p, nil
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// kill kills the process, even while it is stopped, and waits for its end.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.ended
}

func (p *process) isAlive() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// endError returns an error with the exit status and last line of output of a process that ended unexpectedly, or nil while it runs.
func (p *process) endError() error {
	if p.isAlive() {
		return nil
	}
	text, _ := os.ReadFile(p.log)
	lines := strings.Split(strings.TrimSpace(string(text)), "\n")
	return fmt.Errorf("%s exited unexpectedly (%w): %s", p.name, p.err, lines[len(lines)-1])
}

// cpuTime returns the processor time that the process has used so far, or had used when it ended.
func (p *process) cpuTime() time.Duration {
	if p.isAlive() {
		return readUsage(p.cmd.Process.Pid).cpu
	}
	return p.cmd.ProcessState.UserTime() + p.cmd.ProcessState.SystemTime()
}

func (p *process) usage() usage { return readUsage(p.cmd.Process.Pid) }
