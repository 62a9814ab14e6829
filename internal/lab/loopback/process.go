package loopback

import (
	"fmt"
	"os"
	"os/exec"
	"slices"
	"syscall"
	"time"
)

// process represents one process of a node.
type process struct {
	command *exec.Cmd
	log     *os.File
	exited  chan struct{} // closed when the process has exited

	exitExpected bool // whether the testbed causes the exit; guarded by the node's lock
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
	// If the testbed itself is killed, its nodes are killed too. Their own process group protects them from a terminal's interrupt.
	command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		_ = log.Close()
		return nil, fmt.Errorf("node %d: %w", n.number, err)
	}
	return &process{command: command, log: log, exited: make(chan struct{})}, nil
}

// wait waits until the process has exited. It must be called once.
func (p *process) wait() error {
	err := p.command.Wait()
	_ = p.log.Close()
	return err
}

// cpu returns the processor time that the process used. The process must have exited.
func (p *process) cpu() time.Duration {
	return p.command.ProcessState.UserTime() + p.command.ProcessState.SystemTime()
}

func (p *process) signal(signal syscall.Signal) error { return p.command.Process.Signal(signal) }

func (p *process) logName() string { return p.log.Name() }

func (p *process) hasExited() bool {
	select {
	case <-p.exited:
		return true
	default:
		return false
	}
}
