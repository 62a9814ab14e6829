package scale

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
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
	defer func() { _ = f.Close() }()
	p := &process{cmd: exec.Command(command[0], command[1:]...), log: log, ended: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr = f, f
	p.cmd.Env = append(os.Environ(), "TMPDIR="+filepath.Dir(log)) // what one that is killed has half written goes with the rest
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
	return fmt.Errorf("%s ended by itself (%w): %s", strings.TrimSuffix(filepath.Base(p.log), ".log"), p.err, lines[len(lines)-1])
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

// lateness is how late a process's own timers were at most: one that others leave no processor, or that is held up, says nothing of
// the control plane meanwhile.
type lateness struct{ most, sum atomic.Int64 }

const (
	lateEvery = 20 * time.Millisecond
	lateFrom  = 250 * time.Millisecond // what is summed
)

func (l *lateness) watch(ctx context.Context) {
	for last := time.Now(); wait(ctx, lateEvery); last = time.Now() {
		late := time.Since(last) - lateEvery
		if late > lateFrom {
			l.sum.Add(int64(late))
		}
		if int64(late) > l.most.Load() {
			l.most.Store(int64(late))
		}
	}
}

// ms gives the most, and what was over lateFrom together.
func (l *lateness) ms() [2]float64 {
	return [2]float64{float64(l.most.Load()) / 1e6, float64(l.sum.Load()) / 1e6}
}

// stolen is the share of this machine's processors that its host has given to others since it started, and all time, in ticks.
func stolen() (taken, all float64) {
	data, _ := os.ReadFile("/proc/stat")
	line, _, _ := strings.Cut(string(data), "\n")
	for k, text := range strings.Fields(line) {
		n, err := strconv.ParseFloat(text, 64)
		if err != nil || k > 8 { // guests' time is in users' already
			continue
		}
		all += n
		if k == 8 {
			taken = n
		}
	}
	return taken, all
}
