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

// process is one that the run has started.
type process struct {
	cmd   *exec.Cmd
	kind  ProcessKind
	name  string
	log   string
	ended chan struct{} // closed when it has ended
	err   error         // of its end; readable once it has ended
}

// startProcess starts a process with its output in a file of a directory. It ends with this program, whatever ends that.
func startProcess(kind ProcessKind, name, dir string, command ...string) (*process, error) {
	log := filepath.Join(dir, name+".log")
	file, err := os.OpenFile(log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }()
	p := &process{cmd: exec.Command(command[0], command[1:]...), kind: kind, name: name, log: log, ended: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr = file, file
	// Temporary files that a killed process leaves half written are removed with the directory.
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

// kill ends the process, also while it is stopped, and waits for its end.
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

// endError describes the end of a process that should still run, with its last line of output. It is nil while the process runs.
func (p *process) endError() error {
	if p.isAlive() {
		return nil
	}
	text, _ := os.ReadFile(p.log)
	lines := strings.Split(strings.TrimSpace(string(text)), "\n")
	return fmt.Errorf("%s ended by itself (%w): %s", p.name, p.err, lines[len(lines)-1])
}

// cpuTime is the processor time that the process has taken until now, or took until it ended.
func (p *process) cpuTime() time.Duration {
	if p.isAlive() {
		return readUsage(p.cmd.Process.Pid).cpu
	}
	return p.cmd.ProcessState.UserTime() + p.cmd.ProcessState.SystemTime()
}

func (p *process) usage() usage { return readUsage(p.cmd.Process.Pid) }
