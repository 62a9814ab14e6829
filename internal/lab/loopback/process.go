package loopback

import (
	"fmt"
	"os"
	"os/exec"
	"slices"
	"syscall"
	"time"
)

// process is one process of a node.
type process struct {
	command *exec.Cmd
	log     *os.File
	ended   chan struct{} // closed when it has

	endExpected bool // the testbed causes its end; guarded by the node's lock
}

// startProcess writes the node's configuration file and starts a process with it, which logs to a file.
func (n *node) startProcess(listAt float64) (*process, error) {
	config, err := n.config(listAt)
	if err != nil {
		return nil, err
	}
	configFile := n.file(".json")
	if err := os.WriteFile(configFile, []byte(config), 0o600); err != nil {
		return nil, err
	}
	log, err := os.OpenFile(n.file(".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	arguments := slices.Concat(n.command[1:], []string{"--config", configFile}, n.arguments)
	command := exec.Command(n.command[0], arguments...)
	command.Stderr, command.Stdout = log, log
	if n.tempDir != "" {
		command.Env = append(os.Environ(), "TMPDIR="+n.tempDir)
	}
	// If the testbed itself is killed its nodes end with it. A process group of their own keeps a terminal's interrupt from them.
	command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		_ = log.Close()
		return nil, fmt.Errorf("node %d: %w", n.number, err)
	}
	return &process{command: command, log: log, ended: make(chan struct{})}, nil
}

// wait waits until the process has ended. It must be called once.
func (p *process) wait() error {
	err := p.command.Wait()
	_ = p.log.Close()
	return err
}

// cpu returns the processor time that a process took which has ended.
func (p *process) cpu() time.Duration {
	return p.command.ProcessState.UserTime() + p.command.ProcessState.SystemTime()
}

func (p *process) signal(signal syscall.Signal) error { return p.command.Process.Signal(signal) }

func (p *process) logName() string { return p.log.Name() }

func (p *process) hasEnded() bool {
	select {
	case <-p.ended:
		return true
	default:
		return false
	}
}
