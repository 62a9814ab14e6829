package loopback

import (
	"fmt"
	"math"
	"sync"
	"time"

	"pearknot/internal/invariants"
	"pearknot/internal/lab/backendmodel"
)

// backend simulates one backend: the lab's model of a machine behind real sockets. It has a listener for the nodes of each zone, so
// that it can be partitioned from a single zone.
type backend struct {
	monitor   *monitor
	number    int
	zone      int
	kind      int         // index of the machine type in the experiment
	listeners []*listener // by the zone of the nodes

	mu       sync.Mutex
	machine  *backendmodel.Machine
	inFlight map[uint64]*execution // by ID
	lastID   uint64                // last execution ID assigned
	timer    *time.Timer           // for the machine's next event
	silent   bool                  // the machine is off the network: packets to it are dropped
	closed   bool
}

// execution represents an attempt that the machine has accepted.
type execution struct {
	id   uint64
	done chan struct{} // closed when the machine has finished it
}

// backendStatus holds the state of a backend's process.
type backendStatus struct{ isUp, isDraining, isOverloaded bool }

// newBackend returns a backend whose process is down, with open listeners so that its addresses are known.
func newBackend(m *monitor, number int, machine *backendmodel.Machine) (*backend, error) {
	zones := len(m.experiment.Fleet.Zones)
	b := &backend{
		monitor:  m,
		number:   number,
		zone:     number % zones,
		kind:     m.experiment.MachineOf(number),
		machine:  machine,
		inFlight: map[uint64]*execution{},
	}
	b.timer = time.AfterFunc(time.Hour, b.advance)
	for zone := range zones {
		l := newListener(b, zone)
		if err := l.open(); err != nil {
			b.close()
			return nil, err
		}
		b.listeners = append(b.listeners, l)
	}
	return b, nil
}

// name returns the ID of the backend on the endpoint list.
func (b *backend) name() string { return fmt.Sprintf("s-%d", b.number) }

// networkDelay returns the one-way delay between a zone's nodes and the backend. That of loopback itself is negligible.
func (b *backend) networkDelay(zone int) time.Duration {
	if zone == b.zone {
		return 0
	}
	return milliseconds(b.monitor.experiment.Fleet.CrossZoneDelayMs)
}

// advance updates the machine to the current time, and sets the timer for its next event.
func (b *backend) advance() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advanceLocked()
}

// advanceLocked is advance for callers that hold the lock.
func (b *backend) advanceLocked() {
	if b.closed {
		return
	}
	for _, completion := range b.machine.Advance(b.monitor.now()) {
		if e := b.inFlight[completion.ID]; e != nil {
			delete(b.inFlight, completion.ID)
			close(e.done)
		}
	}
	b.machine.TakeStarted()
	if next := b.machine.NextEvent(); !math.IsInf(next, 1) {
		b.timer.Reset(max(0, time.Until(b.monitor.wallTime(next))))
	}
}

// start starts the backend's process and opens its listeners. A warm process has completed its warm-up.
func (b *backend) start(warm bool) error {
	const minStartTime = 1e-3 // ms: 0 would mean that it started before the run
	b.mu.Lock()
	now := b.monitor.now()
	b.machine.Start(math.Max(now, minStartTime), warm)
	b.machine.SetFaults(now, b.activeFaults())
	b.silent = false
	started := b.machine.StartTime()
	b.mu.Unlock()
	b.monitor.recordEvent(invariants.Event{
		Kind:    invariants.BackendStarted,
		Backend: b.number,
		Zone:    b.zone,
		Cell:    b.number,
		Speed:   b.machine.Capacity(),
		Started: started,
	})
	for _, l := range b.listeners {
		if err := l.open(); err != nil {
			return err
		}
	}
	return nil
}

func (b *backend) activeFaults() backendmodel.Faults {
	b.monitor.mu.Lock()
	defer b.monitor.mu.Unlock()
	return b.monitor.faults.BackendFaults(b.number)
}

// updateFaults gives the machine the faults that are active now.
func (b *backend) updateFaults() {
	active := b.activeFaults()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.machine.SetFaults(b.monitor.now(), active)
	b.advanceLocked()
}

// stop stops the backend's process. Its connections are reset, or if silent, all their packets are dropped as on a lost machine.
func (b *backend) stop(silent bool) {
	b.mu.Lock()
	b.machine.Stop(b.monitor.now())
	b.silent = silent
	b.inFlight = map[uint64]*execution{}
	b.mu.Unlock()
	for _, l := range b.listeners {
		l.shutDown(silent)
	}
}

// beginDrain starts a graceful shutdown. It reports whether the process is up.
func (b *backend) beginDrain() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	isUp := b.machine.Up()
	if isUp {
		b.machine.Drain(b.monitor.now())
	}
	return isUp
}

// close closes the simulated backend, and waits until all its connections are closed.
func (b *backend) close() {
	b.mu.Lock()
	b.closed = true
	b.timer.Stop()
	b.mu.Unlock()
	for _, l := range b.listeners {
		l.shutDown(false)
		l.wg.Wait()
	}
}

// accept passes an attempt to the machine. The execution is valid only if the machine accepted it.
func (b *backend) accept(work float64, newConnection bool) (*execution, backendmodel.Verdict) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lastID++
	e := &execution{id: b.lastID, done: make(chan struct{})}
	verdict := b.machine.Accept(b.monitor.now(), e.id, work, newConnection)
	if verdict == backendmodel.VerdictAccepted {
		b.inFlight[e.id] = e
	}
	b.advanceLocked()
	return e, verdict
}

// cancel cancels an execution whose response is no longer needed.
func (b *backend) cancel(e *execution) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.inFlight[e.id] != e {
		return
	}
	delete(b.inFlight, e.id)
	b.machine.Cancel(b.monitor.now(), e.id)
	b.advanceLocked()
}

func (b *backend) loadReport() backendmodel.Report {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.machine.Report(b.monitor.now())
}

func (b *backend) status() backendStatus {
	b.mu.Lock()
	defer b.mu.Unlock()
	return backendStatus{isUp: b.machine.Up(), isDraining: b.machine.Draining(), isOverloaded: b.machine.Overloaded()}
}

func (b *backend) isSilent() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.silent
}

// workDone returns the work that the machine has done up to the current time.
func (b *backend) workDone() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advanceLocked()
	all, _ := b.machine.WorkDone()
	return all
}
