package fleet

import (
	"encoding/json"
	"fmt"

	"pgregory.net/rapid"
)

// newInstance returns a running instance; its name begins with a letter, followed by its port.
func newInstance(name, digest string) Instance {
	return Instance{Name: name, Listen: "127.0.0.1:" + name[1:], Digest: digest, Discovery: "list:1", Desired: Running}
}

// instances returns a set of count instances with one configuration.
func instances(count int, digest string) Set {
	set := Set{}
	for index := range count {
		instance := newInstance(fmt.Sprintf("n%03d", index), digest)
		set[instance.Name] = instance
	}
	return set
}

// simulatedProcess is the process of an instance in the model.
type simulatedProcess struct {
	token         string
	digest        string // of its configuration
	list          string // address of its endpoint list
	epoch         uint64
	isReady       bool
	isInService   bool
	isTerminating bool // it has received SIGTERM
	startedAt     float64
}

// simulatedHost is a model of a host: its processes, and an agent that may crash between any two of its writes and
// steps. It fails the test if an instance is started while it runs, or killed before it has received SIGTERM.
type simulatedHost struct {
	t              *rapid.T
	now            float64
	fleet          *Fleet
	storedState    []byte // State as JSON
	processes      map[string]*simulatedProcess
	neverReady     map[string]bool // digests with which a process never becomes ready
	exitsByItself  map[string]bool // digests with which it exits by itself
	ignoresSIGTERM bool            // processes ignore SIGTERM
	isUnobservable map[string]bool // instances that can't be observed now
	lastToken      int
	otherList      string // if not empty, the list that instances ask in place of the declared one
}

// newSimulatedHost returns a host without instances. The test may be nil where the model is not checked.
func newSimulatedHost(t *rapid.T) *simulatedHost {
	host := &simulatedHost{
		t:              t,
		now:            1e6,
		processes:      map[string]*simulatedProcess{},
		neverReady:     map[string]bool{},
		exitsByItself:  map[string]bool{},
		isUnobservable: map[string]bool{},
	}
	host.fleet = New(State{}, DefaultTiming())
	host.save()
	return host
}

// save stores the state, as the agent does before and after a step.
func (host *simulatedHost) save() {
	var err error
	if host.storedState, err = json.Marshal(host.fleet.State); err != nil {
		panic(err)
	}
}

// crash replaces the agent by one that continues from the stored state.
func (host *simulatedHost) crash() {
	var state State
	if err := json.Unmarshal(host.storedState, &state); err != nil {
		panic(err)
	}
	host.fleet = New(state, DefaultTiming())
}

// observeAll passes what can be observed of all processes to the fleet.
func (host *simulatedHost) observeAll() {
	names := map[string]bool{}
	for _, name := range host.fleet.Names() {
		names[name] = true
	}
	for name := range host.processes {
		names[name] = true
	}
	for name := range names {
		process, record := host.processes[name], host.fleet.Records[name]
		switch {
		case host.isUnobservable[name]:
			host.fleet.Observe(name, Observation{Phase: PhaseUnknown, ObservedAt: host.now, Reason: "blind"})
		case process == nil:
			if record.StartedAt > 0 {
				host.fleet.InstanceExited(host.now, name, "ended by itself")
			}
			host.fleet.Observe(name, Observation{Phase: PhaseDown, ObservedAt: host.now})
		case process.token != record.Token:
			host.fleet.Observe(name, Observation{Phase: PhaseForeign, ObservedAt: host.now, Reason: "token"})
		default:
			observation := Observation{
				Phase:      PhaseStarting,
				ObservedAt: host.now,
				Digest:     process.digest,
				Epoch:      process.epoch,
				Discovery:  process.list,
				InService:  process.isInService,
			}
			if process.isReady {
				observation.Phase = PhaseReady
			}
			if process.isTerminating {
				observation.Phase = PhaseShuttingDown
			}
			host.fleet.Observe(name, observation)
		}
	}
}

// executeAction executes one action and reports whether the agent completed it. The agent crashes at crashPoint: 0
// after the step was stored as pending, 1 after it was executed, 2 after its result was recorded, 3 after that was
// stored; -1 is no crash.
func (host *simulatedHost) executeAction(action Action, crashPoint int) bool {
	host.lastToken++
	token := fmt.Sprint("t", host.lastToken)
	host.fleet.StepStarted(host.now, action, token)
	host.save()
	if crashPoint == 0 {
		return false
	}
	process := host.processes[action.Name]
	switch action.Step {
	case StepStart:
		if process != nil {
			host.t.Fatalf("%s started while it runs", action.Name)
		}
		host.processes[action.Name] = &simulatedProcess{
			token:     token,
			digest:    action.Instance.Digest,
			epoch:     action.Instance.Epoch,
			list:      action.Instance.Discovery,
			startedAt: host.now,
		}
		if host.otherList != "" {
			host.processes[action.Name].list = host.otherList
		}
	case StepTerminate:
		if process != nil {
			process.isTerminating = true
			if !host.ignoresSIGTERM {
				delete(host.processes, action.Name)
			}
		}
	case StepKill:
		if !process.isTerminating {
			host.t.Fatalf("%s killed before SIGTERM", action.Name)
		}
		delete(host.processes, action.Name)
	case StepAdmit:
		process.isInService = true
	case StepWithdraw:
		process.isInService = false
	}
	if crashPoint == 1 {
		return false
	}
	host.fleet.StepEnded(host.now, action, 1, nil)
	if crashPoint == 2 {
		return false
	}
	host.save()
	return crashPoint != 3
}

// runRound runs one round of the agent: observe, plan, execute the steps. The agent crashes at crashPoint, counted
// over all steps of the round; -1 is no crash.
func (host *simulatedHost) runRound(crashPoint int) {
	host.now += 200
	for name, process := range host.processes {
		if host.exitsByItself[process.digest] && host.now-process.startedAt > 300 {
			delete(host.processes, name)
		} else if !host.neverReady[process.digest] && host.now-process.startedAt > 300 {
			process.isReady = true
		}
	}
	host.observeAll()
	for _, action := range host.fleet.Plan(host.now) {
		if crashPoint >= 0 && crashPoint < 4 {
			if !host.executeAction(action, crashPoint) {
				host.crash()
				return
			}
		}
		crashPoint -= 4
		if crashPoint < -1 {
			crashPoint = -1
		}
		if !host.executeAction(action, -1) {
			host.t.Fatal("crashed without a crash point")
		}
	}
	host.save()
}

// propose begins a change and stores it.
func (host *simulatedHost) propose(set Set, options Options) error {
	change := Change{Author: "a", Reason: "r", Command: "apply", Options: options}
	_, err := host.fleet.Propose(host.now, host.fleet.Revision, set, change)
	if err == nil {
		host.save()
	}
	return err
}

// mismatch describes how the running processes differ from the declared generation. It is empty if they do not.
func (host *simulatedHost) mismatch() string {
	generation := host.fleet.Current()
	for name, instance := range generation.Set {
		process := host.processes[name]
		runsAsDeclared := process != nil && process.isInService &&
			process.digest == instance.Digest && process.epoch == instance.Epoch
		if instance.Desired == Running && !runsAsDeclared {
			return fmt.Sprintf("%s is %+v, generation %d wants %+v", name, process, generation.Number, instance)
		}
		if instance.Desired == Stopped && process != nil {
			return name + " runs"
		}
	}
	for name := range host.processes {
		if _, declared := generation.Set[name]; !declared {
			return name + " is not declared"
		}
	}
	return ""
}

// runRounds runs rounds without a crash.
func (host *simulatedHost) runRounds(rounds int) {
	for range rounds {
		host.runRound(-1)
	}
}
