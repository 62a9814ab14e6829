package scale

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// process is one that the run has started.
type process struct {
	cmd   *exec.Cmd
	log   string
	ended chan struct{} // closed when it has
	err   error         // once it has
}

// start starts one, with its output in a file. It ends with this program, whatever ends that.
func start(log string, command ...string) (*process, error) {
	f, err := os.OpenFile(log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	p := &process{cmd: exec.Command(command[0], command[1:]...), log: log, ended: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr = f, f
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

// kill ends it, also where it stands still.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.ended
}

// over tells whether it has ended, and what it said last.
func (p *process) over() error {
	select {
	case <-p.ended:
	default:
		return nil
	}
	text, _ := os.ReadFile(p.log)
	lines := strings.Split(strings.TrimSpace(string(text)), "\n")
	return fmt.Errorf("%s ended by itself (%v): %s", filepath.Base(p.log), p.err, lines[len(lines)-1])
}

// usage is what a process has taken.
type usage struct {
	cpu       time.Duration
	rss, peak int64 // bytes
}

// ticks a second in which the kernel counts processor time.
const ticks = 100

// used reads a process's usage; one that has ended has taken nothing more.
func used(pid int) (u usage) {
	dir := "/proc/" + strconv.Itoa(pid)
	stat, err := os.ReadFile(dir + "/stat")
	if err != nil {
		return u
	}
	_, rest, ok := bytes.Cut(stat, []byte(") ")) // the name before may hold blanks
	fields := strings.Fields(string(rest))
	if !ok || len(fields) < 13 {
		return u
	}
	user, err1 := strconv.ParseInt(fields[11], 10, 64)
	system, err2 := strconv.ParseInt(fields[12], 10, 64)
	status, err3 := os.ReadFile(dir + "/status")
	if errors.Join(err1, err2, err3) != nil {
		return u
	}
	kb := func(key string) (n int64) {
		_, rest, _ := strings.Cut(string(status), key+":")
		_, _ = fmt.Sscan(rest, &n)
		return n << 10
	}
	return usage{time.Duration(user+system) * time.Second / ticks, kb("VmRSS"), kb("VmHWM")}
}

// machineMB is this machine's memory.
func machineMB() (float64, error) {
	data, err := os.ReadFile("/proc/meminfo")
	if err != nil {
		return 0, err
	}
	kb := 0.0
	if _, err := fmt.Sscanf(string(data), "MemTotal: %f kB", &kb); err != nil {
		return 0, fmt.Errorf("/proc/meminfo: %w", err)
	}
	return kb / 1024, nil
}

// cpu is the processor time that a process has taken until now, or took until it ended.
func (p *process) cpu() time.Duration {
	select {
	case <-p.ended:
		return p.cmd.ProcessState.UserTime() + p.cmd.ProcessState.SystemTime()
	default:
		return used(p.cmd.Process.Pid).cpu
	}
}
