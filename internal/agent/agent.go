// Package agent looks after the instances of one host: it carries out what the core in internal/fleet decides, keeps the
// state, and serves the API by which operators speak to it. Instances outlive it and are adopted again.
package agent

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"log/slog"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/renameio/v2"

	"pearknot/internal/clock"
	"pearknot/internal/controlsocket"
	"pearknot/internal/discovery"
	"pearknot/internal/fleet"
	"pearknot/internal/mailbox"
)

// Options are an agent's, from its file.
type Options struct {
	Dir          string
	Socket       string
	Binary       []string // the node's program
	Rolling      fleet.Options
	Timing       fleet.Timing
	Every        time.Duration // between rounds while something is on the way
	Calm         time.Duration // else
	CallWithin   time.Duration // an instance's answer
	Witness      bool          // read the list's sources too
	WitnessEvery time.Duration
	Point        func(name string) // called at the named points of each step; a test's
}

// Agent is the actor. What stands below box is its own.
type Agent struct {
	o     Options
	clock *clock.Clock
	log   *slog.Logger
	box   *mailbox.Box[func()]
	done  chan struct{}

	store     *store
	fleet     *fleet.Fleet
	wake      *time.Timer
	seq       uint64 // counts what watchers may want to see
	changed   chan struct{}
	states    uint64 // a digest of them
	witnessed time.Time
	broken    error // the state can't be written: nothing is done until it can
	looks     sync.WaitGroup
}

const mostList = 4 << 20 // bytes of a list

// mostLooks is how many instances are looked at side by side.
const mostLooks = 64

// New opens the state. Nothing runs yet.
func New(o Options, log *slog.Logger) (*Agent, error) {
	if o.Point == nil {
		o.Point = func(string) {}
	}
	if err := mkdirs(o.Dir); err != nil {
		return nil, err
	}
	a := &Agent{o: o, clock: clock.New(), log: log, box: mailbox.New[func()](), done: make(chan struct{}), changed: make(chan struct{}),
		wake: time.NewTimer(0)}
	s, state, recovered, err := openStore(o.Dir, log)
	if err != nil {
		return nil, err
	}
	a.store, a.fleet = s, fleet.New(state, o.Timing)
	if recovered {
		if err := a.rebuild(); err != nil {
			_ = s.close()
			return nil, err
		}
	}
	return a, nil
}

// mkdirs makes what an agent's directory holds.
func mkdirs(dir string) error {
	for _, d := range []string{"", "run", "logs", "configs"} {
		if err := os.MkdirAll(filepath.Join(dir, d), 0o700); err != nil {
			return err
		}
	}
	return nil
}

// rebuild declares what runs, over what a snapshot said: nothing is stopped because a file was damaged.
func (a *Agent) rebuild() error {
	locks, err := filepath.Glob(filepath.Join(a.o.Dir, "run", "*.lock"))
	if err != nil {
		return err
	}
	set := a.fleet.Current().Set.Clone()
	if set == nil {
		set = fleet.Set{}
	}
	found := 0
	for _, l := range locks {
		p := place{a.o.Dir, filepath.Base(l[:len(l)-len(".lock")])}
		lock, err := p.take()
		if err != nil {
			return err
		}
		if lock != nil {
			_ = lock.Close()
			continue
		}
		var s controlsocket.Status
		ctx, cancel := context.WithTimeout(context.Background(), a.o.CallWithin)
		err = controlsocket.NewClient(p.socket(), a.o.CallWithin).Call(ctx, "GET", controlsocket.StatusPath, nil, &s)
		cancel()
		h, noted := p.holder()
		if err != nil || noted != nil || h.Token != s.Token || h.PID != s.PID {
			a.log.Error("runs, and can't be adopted", "instance", p.name, "error", err)
			continue
		}
		a.fleet.Adopt(a.now(), p.name, s.Token, s.PID, s.Digest, s.Epoch)
		i := set[p.name]
		i.Name, i.Listen, i.Digest, i.List, i.Wanted, i.Epoch = p.name, s.Listen, s.Digest, s.ListAddress, fleet.Running, s.Epoch
		if was, had := set[p.name]; had { // as it was declared, not as the kernel worded it
			i.Listen = was.Listen
		}
		set[p.name] = i
		found++
	}
	a.fleet.Recover(a.now(), set, fmt.Sprintf("state rebuilt, %d running instances adopted", found))
	a.log.Warn("state rebuilt from the snapshot and from what runs", "declared", len(set), "adopted", found)
	return a.store.save(a.fleet.State)
}

func (a *Agent) now() float64 { return a.clock.Now() }

// Run serves until ctx ends. The instances go on.
func (a *Agent) Run(ctx context.Context) error {
	l, err := controlsocket.Listen(a.o.Socket)
	if err != nil {
		return err
	}
	server := controlsocket.NewServer(a.api())
	failed := make(chan error, 1)
	go func() {
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			failed <- err
		}
	}()
	a.log.Info("agent serving", "socket", a.o.Socket, "dir", a.o.Dir, "revision", a.fleet.Revision, "instances", len(a.fleet.Current().Set))
	defer func() {
		close(a.done)
		_ = server.Close()
		a.looks.Wait()
		if err := a.store.close(); err != nil {
			a.log.Error("state not closed", "error", err)
		}
	}()
	for {
		select {
		case <-ctx.Done():
			return nil
		case err := <-failed:
			return err
		case <-a.box.Ready():
			for _, f := range a.box.TakeAll(nil) {
				f()
			}
		case <-a.wake.C:
			a.round(ctx)
		}
	}
}

// do has the actor carry something out, and waits.
func (a *Agent) do(ctx context.Context, f func()) error {
	done := make(chan struct{})
	a.box.Put(func() { f(); close(done) })
	select {
	case <-done:
		return nil
	case <-a.done:
		return errors.New("the agent ends")
	case <-ctx.Done():
		return ctx.Err()
	}
}

// soon has the next round come at once.
func (a *Agent) soon() { a.wake.Reset(0) }

// round looks at all instances, plans, and takes the steps that are due.
func (a *Agent) round(ctx context.Context) {
	a.lookAll(ctx)
	if ctx.Err() != nil {
		return
	}
	if a.o.Witness && time.Since(a.witnessed) >= a.o.WitnessEvery {
		a.witnessed = time.Now()
		a.testify()
	}
	actions := a.fleet.Plan(a.now())
	a.take(ctx, actions)
	a.publish()
	c := a.fleet.Latest()
	busy := len(actions) > 0 || c != nil && !c.Status.Over()
	if !busy {
		for _, r := range a.fleet.Records {
			s := a.fleet.Look(a.now(), r.Name)
			busy = busy || s.Phase == fleet.Starting || s.Phase == fleet.Ending
		}
		if a.store.fresh {
			if err := a.store.snapshot(); err != nil {
				a.log.Error("snapshot not written", "error", err)
			}
			a.o.Point("snapshot")
		}
	}
	wait := a.o.Calm
	if busy {
		wait = a.o.Every
	}
	a.wake.Reset(wait)
}

// lookAll sees what each instance is, many side by side.
func (a *Agent) lookAll(ctx context.Context) {
	type told struct {
		name string
		seen fleet.Seen
	}
	names := a.fleet.Names()
	out := make(chan told, len(names))
	places := make(chan struct{}, mostLooks)
	for _, name := range names {
		r := a.fleet.Records[name]
		places <- struct{}{}
		a.looks.Add(1)
		go func() {
			defer a.looks.Done()
			defer func() { <-places }()
			out <- told{name, place{a.o.Dir, name}.look(ctx, r, a.now, a.o.CallWithin)}
		}()
	}
	for range names {
		t := <-out
		if r := a.fleet.Records[t.name]; t.seen.Phase == fleet.Down && r.StartedAt > 0 {
			why := "ended by itself"
			if lines, err := tail((place{a.o.Dir, t.name}).standing(), 1); err == nil && len(lines) > 0 && lines[0] != "" {
				why += ": " + lines[0]
			}
			if r.TermAt == 0 && r.Doing != fleet.Start {
				a.log.Warn("instance gone", "instance", t.name, "why", why)
			}
			a.fleet.Gone(a.now(), t.name, why)
		}
		a.fleet.See(t.name, t.seen)
	}
}

// testify reads the lists' sources, so that an instance's list can be held against them.
func (a *Agent) testify() {
	sources := map[string]bool{}
	for _, i := range a.fleet.Current().Set {
		if i.Wanted == fleet.Running && i.List != "" {
			sources[i.List] = true
		}
	}
	for source := range sources {
		a.looks.Add(1)
		go func() {
			defer a.looks.Done()
			w, err := read(source, a.o.CallWithin)
			w.At = a.now()
			a.box.Put(func() {
				if err != nil { // no witness is no verdict
					a.log.Debug("list not read", "source", source, "error", err)
				}
				a.fleet.Attest(source, w)
			})
		}()
	}
}

func read(source string, within time.Duration) (w fleet.Witness, err error) {
	c := http.Client{Timeout: within, Transport: &http.Transport{DisableKeepAlives: true,
		DialContext: (&net.Dialer{Timeout: within}).DialContext}}
	answer, err := c.Get("http://" + source + "/catalog/members")
	if err != nil {
		return w, err
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		return w, errors.New(answer.Status)
	}
	data, err := io.ReadAll(io.LimitReader(answer.Body, mostList))
	if err != nil {
		return w, err
	}
	w.Version, w.Sum, err = discovery.ReadDigest(data)
	return w, err
}

// save writes the state down. Until it can be written nothing new is begun; what runs goes on.
func (a *Agent) save() bool {
	err := a.store.save(a.fleet.State)
	switch {
	case err != nil && a.broken == nil:
		a.log.Error("state can't be written, nothing is changed until it can", "error", err)
	case err == nil && a.broken != nil:
		a.log.Info("state written again")
	}
	a.broken = err
	return err == nil
}

// take takes steps: all are written down, then taken, then written down as done.
func (a *Agent) take(ctx context.Context, actions []fleet.Action) {
	if len(actions) == 0 {
		a.save()
		return
	}
	before := a.fleet.Copy()
	tokens := make([]string, len(actions))
	for i, x := range actions {
		tokens[i] = newToken()
		a.fleet.Begin(a.now(), x, tokens[i])
	}
	if !a.save() {
		a.fleet.Restore(before)
		return
	}
	a.o.Point("begun")
	for i, x := range actions {
		pid, err := a.step(ctx, x, tokens[i])
		if err != nil {
			a.log.Error("step failed", "step", x.Step, "instance", x.Name, "error", err)
		} else {
			a.log.Info("step", "step", x.Step, "instance", x.Name, "why", x.Why, "pid", pid)
		}
		a.o.Point(string(x.Step))
		a.fleet.End(a.now(), x, pid, err)
	}
	a.save() // where it can't be, the records say that the steps were begun: they are looked at again
	a.o.Point("ended")
}

func (a *Agent) step(ctx context.Context, x fleet.Action, token string) (pid int, err error) {
	p := place{a.o.Dir, x.Name}
	switch x.Step {
	case fleet.Start:
		return p.start(a.o.Binary, x.Instance, token, a.o.Point, func(error) {
			select {
			case <-a.done:
			default:
				a.box.Put(a.soon)
			}
		})
	case fleet.Terminate:
		return 0, p.signal(a.fleet.Records[x.Name].Token, syscall.SIGTERM)
	case fleet.Kill:
		return 0, p.signal(a.fleet.Records[x.Name].Token, syscall.SIGKILL)
	case fleet.Admit, fleet.Withhold:
		return 0, controlsocket.NewClient(p.socket(), a.o.CallWithin).Call(ctx, "POST", controlsocket.ServicePath,
			controlsocket.Service{InService: x.Step == fleet.Admit, Reason: x.Why}, nil)
	case fleet.Forget:
		lock, err := p.take()
		if err != nil || lock == nil {
			return 0, errors.Join(err, errors.New("still held"))
		}
		defer func() { _ = lock.Close() }()
		for _, name := range []string{p.socket(), p.lock()} {
			if err := os.Remove(name); err != nil && !errors.Is(err, fs.ErrNotExist) {
				return 0, err
			}
		}
	}
	return 0, nil
}

// publish tells watchers when what they look for is another: counts that go up and down all the time are not.
func (a *Agent) publish() {
	h, now := xxhash.New(), a.now()
	fmt.Fprintln(h, a.fleet.Revision, a.broken)
	if c := a.fleet.Latest(); c != nil {
		fmt.Fprintln(h, c.Status, c.Reached, len(c.Done))
	}
	for _, name := range a.fleet.Names() {
		verdict, why := a.fleet.Judge(now, name)
		s := a.fleet.Look(now, name)
		fmt.Fprintln(h, name, verdict, why, s.Phase, s.InService, s.Pid, s.Digest)
	}
	if s := h.Sum64(); s != a.states {
		a.states = s
		a.seq++
		close(a.changed)
		a.changed = make(chan struct{})
	}
}

// Digest names a configuration's text.
func Digest(text string) string {
	sum := sha256.Sum256([]byte(text))
	return hex.EncodeToString(sum[:])
}

// keep stores a configuration by its digest.
func (a *Agent) keep(text string) (digest string, err error) {
	digest = Digest(text)
	name := file(a.o.Dir, digest)
	if _, err := os.Stat(name); err == nil {
		return digest, nil
	}
	return digest, renameio.WriteFile(name, []byte(text), 0o600)
}

// sweep drops configurations that no generation names any more.
func (a *Agent) sweep() {
	named := map[string]bool{}
	for _, g := range a.fleet.Generations {
		for _, i := range g.Set {
			named[i.Digest] = true
		}
	}
	for _, r := range a.fleet.Records {
		named[r.Digest] = true
	}
	files, _ := filepath.Glob(filepath.Join(a.o.Dir, "configs", "*.json"))
	for _, f := range files {
		base := filepath.Base(f)
		if !named[base[:len(base)-len(".json")]] {
			_ = os.Remove(f)
		}
	}
}
