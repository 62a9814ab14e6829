// Command rig plays the cases 6 to 10 of the review: a small deployment of the project's own programs on loopback, with stand-ins for
// clients, backends, discovery and the platform. The scripts review/N/run.sh start it. Exit status: 1 if a rule was broken, 0 if it
// held, 2 if the case could not run.
package main

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"runtime"
	"sync"
	"syscall"
	"time"
)

// maxDuration bounds a case.
const maxDuration = 110 * time.Second

// cases are the cases by name.
var cases = map[string]func(*rig) error{
	"key-across-reload": keyAcrossReload,
	"wait-at-restart":   waitAtRestart,
	"answer-of-pause":   answerOfPause,
	"second-answers":    secondAnswers,
	"stream-at-upgrade": streamAtUpgrade,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE RECORD")
		os.Exit(2)
	}
	os.Exit(run(cases[os.Args[1]], os.Args[2]))
}

// run plays a case and returns the exit status.
func run(play func(*rig) error, recordName string) (status int) {
	record, err := os.Create(recordName)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer func() {
		if err := record.Close(); err != nil {
			status = 2
		}
	}()
	dir, err := os.MkdirTemp("/tmp", "pk") // short: the length of a socket's path is bounded
	if err != nil {
		dir, err = os.MkdirTemp("", "pk")
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	r := &rig{dir: dir, record: record, start: time.Now(), trouble: os.Getenv("TROUBLE") != "0", ended: make(chan struct{})}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	result := make(chan error, 1)
	go func() { result <- play(r) }()
	select {
	case err = <-result:
	case <-stop:
		err = errors.New("interrupted")
	case <-time.After(maxDuration):
		err = errors.New("not done in time")
	}
	r.close()
	switch {
	case err != nil:
		r.note("could not run: %v", err)
		return 2
	case len(r.broken) > 0:
		r.note("BROKEN: %d", len(r.broken))
		return 1
	}
	r.note("held")
	return 0
}

// rig holds what a case has started, and its record.
type rig struct {
	dir     string // temporary
	trouble bool   // the disruption happens
	start   time.Time
	ended   chan struct{}

	mu        sync.Mutex
	record    io.Writer
	broken    []string
	processes []*process
	closers   []func()
}

// note writes a line to the record and to standard output.
func (r *rig) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%7.3f ", time.Since(r.start).Seconds()) + fmt.Sprintf(format, args...) + "\n"
	fmt.Fprint(r.record, line)
	fmt.Print(line)
}

// breaks notes that a rule was broken.
func (r *rig) breaks(format string, args ...any) {
	r.note("rule broken: "+format, args...)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken = append(r.broken, fmt.Sprintf(format, args...))
}

func (r *rig) onClose(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closers = append(r.closers, f)
}

// close ends all processes that the case has started, and its stand-ins.
func (r *rig) close() {
	r.mu.Lock()
	processes, closers := r.processes, r.closers
	r.mu.Unlock()
	close(r.ended)
	for _, p := range processes {
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGKILL)
		<-p.done
	}
	for _, f := range closers {
		f()
	}
	_ = os.RemoveAll(r.dir)
}

// process is a process that the case has started.
type process struct {
	name    string
	command *exec.Cmd
	done    chan struct{}
	state   string // how it ended; set before done is closed
}

// launch starts a command line of the deploy file by the shell, from the repository's root. Its log goes to a file in the
// temporary directory.
func (r *rig) launch(name, line string, env ...string) (*process, error) {
	log, err := os.OpenFile(filepath.Join(r.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	command := exec.Command("/bin/sh", "-c", line)
	command.Env = append(os.Environ(), env...)
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // if this program is killed
	p := &process{name: name, command: command, done: make(chan struct{})}
	started := make(chan error)
	go func() {
		runtime.LockOSThread() // the process ends with the thread that started it
		defer runtime.UnlockOSThread()
		err := command.Start()
		started <- err
		if err != nil {
			return
		}
		err = command.Wait()
		p.state = "status 0"
		if err != nil {
			p.state = err.Error()
		}
		_ = log.Close()
		close(p.done)
	}()
	if err := <-started; err != nil {
		return nil, errors.Join(err, log.Close())
	}
	r.mu.Lock()
	r.processes = append(r.processes, p)
	r.mu.Unlock()
	r.note("%s: started: %s", name, line)
	return p, nil
}

func (p *process) hasEnded() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

func (p *process) signal(s syscall.Signal) {
	if !p.hasEnded() {
		_ = p.command.Process.Signal(s)
	}
}

// await repeats a check until it succeeds.
func await(what string, within time.Duration, check func() bool) error {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if check() {
			return nil
		}
	}
	return fmt.Errorf("%s: not within %v", what, within)
}

// freeAddress returns a loopback address with a port that is free at the moment, on the given host.
func freeAddress(host string) (string, error) {
	l, err := net.Listen("tcp", host+":0")
	if err != nil {
		return "", err
	}
	address := l.Addr().String()
	return address, l.Close()
}
