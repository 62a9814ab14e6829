// Package agent supervises the instances of the program on one host. It executes the steps that internal/fleet plans,
// stores the state, and serves the API that operators call. Instances outlive the agent; the next one finds them by
// their locks and adopts them.
package agent

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"pearknot/internal/clock"
	"pearknot/internal/controlsocket"
	"pearknot/internal/fleet"
	"pearknot/internal/listeners"
	"pearknot/internal/mailbox"
)

// Options configure an agent; ReadOptions reads them from the agent's file.
type Options struct {
	Dir               string
	Socket            string
	Binary            []string // the node's program
	Rolling           fleet.Options
	Timing            fleet.Timing
	BusyInterval      time.Duration // between rounds while a change or step is in progress
	IdleInterval      time.Duration // between rounds otherwise
	CallTimeout       time.Duration // for an instance's answer on its control socket
	CheckLists        bool          // compare instances' endpoint lists with their sources
	ListCheckInterval time.Duration
	OnCrashPoint      func(name string) // called at each of CrashPoints; nil except in tests
}

// Agent is an actor: only the goroutine of Run uses the fields from store to writeError, and other goroutines go
// through onActor. Any goroutine may use done and probes.
type Agent struct {
	options Options
	clock   *clock.Clock
	log     *slog.Logger
	mailbox *mailbox.Box[func()]
	done    chan struct{} // closed when Run ends

	store          *store
	fleet          *fleet.Fleet
	nextRound      *time.Timer
	viewVersion    uint64         // grows whenever the view changes; View.Seq
	viewDigest     uint64         // of the view at viewVersion
	changed        chan struct{}  // closed when viewVersion grows, and replaced
	listsCheckedAt time.Time      // when checkLists last began
	writeError     error          // why the state could not be stored; no step is executed until it can
	probes         sync.WaitGroup // goroutines that observe instances or read endpoint lists
}

// New opens the stored state of a directory. Nothing is started or observed before Run.
func New(options Options, log *slog.Logger) (*Agent, error) {
	if options.OnCrashPoint == nil {
		options.OnCrashPoint = func(string) {}
	}
	if err := makeDirectories(options.Dir); err != nil {
		return nil, err
	}
	agent := &Agent{
		options:   options,
		clock:     clock.New(),
		log:       log,
		mailbox:   mailbox.New[func()](),
		done:      make(chan struct{}),
		changed:   make(chan struct{}),
		nextRound: time.NewTimer(0),
	}
	stateStore, state, recovered, err := openStore(options.Dir, log)
	if err != nil {
		return nil, err
	}
	agent.store, agent.fleet = stateStore, fleet.New(state, options.Timing)
	if recovered {
		if err := agent.rebuildState(); err != nil {
			_ = stateStore.close()
			return nil, err
		}
	}
	return agent, nil
}

// makeDirectories creates the layout of an agent's directory.
func makeDirectories(dir string) error {
	for _, name := range []string{"", "run", "logs", "configs"} {
		if err := os.MkdirAll(filepath.Join(dir, name), 0o700); err != nil {
			return err
		}
	}
	return nil
}

// now returns the agent's time, in Unix ms.
func (a *Agent) now() float64 { return a.clock.Now() }

// Run serves the API and supervises the instances until ctx ends. The instances keep running after it returns.
func (a *Agent) Run(ctx context.Context) error {
	listener, err := controlsocket.Listen(a.options.Socket)
	if err != nil {
		return err
	}
	server := controlsocket.NewServer(a.api())
	failed := make(chan error, 1)
	go func() {
		if err := server.Serve(listeners.Retry(listener)); !errors.Is(err, http.ErrServerClosed) {
			failed <- err
		}
	}()
	a.log.Info("agent serving", "socket", a.options.Socket, "dir", a.options.Dir,
		"revision", a.fleet.Revision, "instances", len(a.fleet.Current().Set))
	defer func() {
		close(a.done)
		_ = server.Close()
		a.probes.Wait()
		if err := a.store.close(); err != nil {
			a.log.Error("state store close failed", "error", err)
		}
	}()
	for {
		select {
		case <-ctx.Done():
			return nil
		case err := <-failed:
			return err
		case <-a.mailbox.Ready():
			for _, task := range a.mailbox.TakeAll(nil) {
				task()
			}
		case <-a.nextRound.C:
			a.runRound(ctx)
		}
	}
}

// onActor runs the task on the actor's goroutine, and waits until it has run, the agent has ended or ctx is done.
func (a *Agent) onActor(ctx context.Context, task func()) error {
	done := make(chan struct{})
	a.mailbox.Put(func() { task(); close(done) })
	select {
	case <-done:
		return nil
	case <-a.done:
		return errors.New("agent is shutting down")
	case <-ctx.Done():
		return ctx.Err()
	}
}
