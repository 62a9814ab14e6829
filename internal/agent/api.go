package agent

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os/user"
	"slices"
	"strconv"
	"time"

	"pearknot/internal/controlsocket"
	"pearknot/internal/fleet"
)

// Paths of the agent's socket.
const (
	FleetPath   = "/v1/fleet"
	WritePath   = "/v1/write"
	HistoryPath = "/v1/history"
	LogsPath    = "/v1/logs"
)

// View holds the fleet as the agent knows it: what is declared, what was observed, and when. Its JSON keeps the names
// of earlier versions.
type View struct {
	Revision   uint64         `json:"revision"`
	Generation uint64         `json:"generation"`
	Now        float64        `json:"now"` // the agent's clock, Unix ms
	Change     *fleet.Change  `json:"change,omitempty"`
	Instances  []InstanceView `json:"instances"`
	WriteError string         `json:"broken,omitempty"` // why the state can't be stored; empty if it can
	Seq        uint64         `json:"seq"`              // grows whenever the view changes
	Rolling    fleet.Options  `json:"rolling"`          // the options of a change that gives none
}

// InstanceView holds one instance of a View.
type InstanceView struct {
	Name           string                `json:"name"`
	Declared       *fleet.Instance       `json:"declared,omitempty"`
	Observation    fleet.Observation     `json:"seen"`
	Verdict        fleet.InstanceVerdict `json:"verdict"`
	Reason         string                `json:"why,omitempty"`
	RecentFailures int                   `json:"recent_failures,omitempty"`
	LastFailure    string                `json:"latest_fault,omitempty"`
}

// WriteRequest holds a change that an operator requests.
type WriteRequest struct {
	Revision  uint64            `json:"revision"` // the one that the change is based on
	Command   string            `json:"what"`     // apply, start, stop, restart, reconfigure, rollback
	Reason    string            `json:"reason"`
	Instances []fleet.Instance  `json:"instances,omitempty"` // apply: all; reconfigure: those that change
	Configs   map[string]string `json:"configs,omitempty"`   // texts, by name of the instance
	Names     []string          `json:"names,omitempty"`     // start, stop, restart; all instances if empty
	To        uint64            `json:"to,omitempty"`        // rollback: the generation; 0 for the change in progress
	Options   *fleet.Options    `json:"options,omitempty"`
	DryRun    bool              `json:"dry_run,omitempty"`
}

// WriteResponse holds the result of a WriteRequest.
type WriteResponse struct {
	Revision  uint64       `json:"revision"`
	Change    fleet.Change `json:"change"`
	Instances []string     `json:"differs"` // the instances that it changes
}

// api returns the handler of the agent's socket.
func (a *Agent) api() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+FleetPath, a.getFleet)
	mux.HandleFunc("POST "+WritePath, a.postWrite)
	mux.HandleFunc("GET "+HistoryPath, a.getHistory)
	mux.HandleFunc("GET "+LogsPath, a.getLogs)
	return mux
}

// view returns the current view. It is called on the actor's goroutine.
func (a *Agent) view() View {
	now := a.now()
	generation := a.fleet.Current()
	view := View{
		Revision:   a.fleet.Revision,
		Generation: generation.Number,
		Now:        now,
		Seq:        a.viewVersion,
		Rolling:    a.options.Rolling,
	}
	if change := a.fleet.Latest(); change != nil {
		copied := change.Clone() // the actor keeps changing it while the response is encoded
		view.Change = &copied
	}
	if a.writeError != nil {
		view.WriteError = a.writeError.Error()
	}
	for _, name := range a.fleet.Names() {
		verdict, reason := a.fleet.Verdict(now, name)
		record := a.fleet.Records[name]
		instance := InstanceView{
			Name:           name,
			Observation:    a.fleet.Observation(now, name),
			Verdict:        verdict,
			Reason:         reason,
			RecentFailures: len(record.Failures),
			LastFailure:    record.LastFailure,
		}
		if declared, ok := generation.Set[name]; ok {
			instance.Declared = &declared
		}
		view.Instances = append(view.Instances, instance)
	}
	return view
}

// maxWaitMs bounds how long a client may wait for a newer view in one call.
const maxWaitMs = 60_000

// getFleet answers with the view. With the parameter since it waits until the view is newer, for at most wait_ms.
func (a *Agent) getFleet(w http.ResponseWriter, r *http.Request) {
	since, err := strconv.ParseUint(r.URL.Query().Get("since"), 10, 64)
	watching := err == nil
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(min(max(wait, 0), maxWaitMs))*time.Millisecond)
	defer cancel()
	for {
		var view View
		var next chan struct{}
		if err := a.onActor(r.Context(), func() { view, next = a.view(), a.changed }); err != nil {
			controlsocket.WriteError(w, http.StatusServiceUnavailable, err.Error())
			return
		}
		if !watching || view.Seq > since || ctx.Err() != nil {
			controlsocket.WriteJSON(w, http.StatusOK, view)
			return
		}
		select {
		case <-next:
		case <-ctx.Done():
		case <-a.done:
			controlsocket.WriteError(w, http.StatusServiceUnavailable, "agent is shutting down")
			return
		}
	}
}

// postWrite applies an operator's change. The HTTP status of a refused one gives the cause.
func (a *Agent) postWrite(w http.ResponseWriter, r *http.Request) {
	var write WriteRequest
	if err := controlsocket.DecodeBody(r, &write); err != nil {
		controlsocket.WriteError(w, http.StatusBadRequest, err.Error())
		return
	}
	author := author(controlsocket.CallerOf(r.Context()))
	var response WriteResponse
	var err error
	if actorErr := a.onActor(r.Context(), func() { response, err = a.applyWrite(write, author) }); actorErr != nil {
		controlsocket.WriteError(w, http.StatusServiceUnavailable, actorErr.Error())
		return
	}
	var conflict *fleet.ConflictError
	var busy *fleet.BusyError
	switch {
	case err == nil:
		controlsocket.WriteJSON(w, http.StatusOK, response)
	case errors.As(err, &conflict), errors.As(err, &busy):
		controlsocket.WriteError(w, http.StatusConflict, err.Error())
	case errors.Is(err, fleet.ErrNoChange):
		controlsocket.WriteError(w, StatusNothingToChange, err.Error())
	case errors.Is(err, errStateNotWritten):
		controlsocket.WriteError(w, http.StatusInsufficientStorage, err.Error())
	default:
		controlsocket.WriteError(w, http.StatusUnprocessableEntity, err.Error())
	}
}

// StatusNothingToChange is the HTTP status of a write that would change nothing.
const StatusNothingToChange = http.StatusPreconditionFailed

// errStateNotWritten is returned for a write that could not be stored. Such a write changes nothing.
var errStateNotWritten = errors.New("state can't be written")

// author returns the caller's user name, or its uid if the system knows no name.
func author(caller controlsocket.Caller) string {
	id := strconv.FormatUint(uint64(caller.UID), 10)
	if account, err := user.LookupId(id); err == nil {
		return account.Username
	}
	return "uid " + id
}

// applyWrite applies an operator's change. The change is durable before the response and before its first step.
func (a *Agent) applyWrite(write WriteRequest, author string) (WriteResponse, error) {
	if write.Reason == "" {
		return WriteResponse{}, errors.New("no reason given")
	}
	options := a.options.Rolling
	if write.Options != nil {
		options = *write.Options
	}
	before := a.fleet.CopyState()
	set, err := a.declaredSet(write)
	if err != nil {
		return WriteResponse{}, err
	}
	var change fleet.Change
	if write.Command == "rollback" && write.To == 0 {
		change, err = a.fleet.RollBack(a.now(), write.Revision, author, write.Reason)
	} else {
		command := write.Command
		if write.Command == "rollback" {
			command = fmt.Sprintf("rollback to generation %d", write.To)
		}
		proposed := fleet.Change{Author: author, Reason: write.Reason, Command: command, Options: options}
		change, err = a.fleet.Propose(a.now(), write.Revision, set, proposed)
	}
	if err != nil {
		return WriteResponse{}, err
	}
	response := WriteResponse{Revision: a.fleet.Revision, Change: change, Instances: slices.Clone(change.Order)}
	if write.DryRun {
		a.fleet.RestoreState(before)
		return response, nil
	}
	a.options.OnCrashPoint("proposed")
	if !a.save() {
		a.fleet.RestoreState(before)
		return WriteResponse{}, fmt.Errorf("%w: %w", errStateNotWritten, a.writeError)
	}
	a.options.OnCrashPoint("planned")
	a.log.Info("change", "id", change.ID, "what", change.Command, "author", author, "reason", write.Reason,
		"instances", len(change.Order))
	a.removeUnusedConfigs()
	a.scheduleRound()
	return response, nil
}

// declaredSet returns the set of instances that a write asks for.
func (a *Agent) declaredSet(write WriteRequest) (fleet.Set, error) {
	current := a.fleet.Current().Set.Clone()
	switch write.Command {
	case "apply":
		return a.appliedSet(write)
	case "reconfigure":
		return current, a.reconfigure(current, write)
	case "start", "stop", "restart":
		return current, setDesiredState(current, write)
	case "rollback":
		if write.To == 0 { // of the change in progress: declares nothing
			return current, nil
		}
		generation, ok := a.fleet.Generation(write.To)
		if !ok {
			return nil, fmt.Errorf("generation %d is not kept: see history", write.To)
		}
		return generation.Set.Clone(), nil
	}
	return nil, fmt.Errorf("unknown command %q", write.Command)
}

// appliedSet returns the instances of an apply, which declares all that are to exist.
func (a *Agent) appliedSet(write WriteRequest) (fleet.Set, error) {
	set := fleet.Set{}
	for _, instance := range write.Instances {
		if _, isDuplicate := set[instance.Name]; isDuplicate {
			return nil, fmt.Errorf("instance %s: declared twice", instance.Name)
		}
		if err := a.declare(set, instance, write.Configs); err != nil {
			return nil, err
		}
	}
	return set, nil
}

// reconfigure replaces declared instances in a set.
func (a *Agent) reconfigure(set fleet.Set, write WriteRequest) error {
	for _, instance := range write.Instances {
		if _, isDeclared := a.fleet.Current().Set[instance.Name]; !isDeclared {
			return fmt.Errorf("instance %s: not declared", instance.Name)
		}
		if err := a.declare(set, instance, write.Configs); err != nil {
			return err
		}
	}
	return nil
}

// declare adds an instance to a set, with the digest of its stored configuration and with the number of restarts that
// were asked for so far.
func (a *Agent) declare(set fleet.Set, instance fleet.Instance, configs map[string]string) error {
	text, ok := configs[instance.Name]
	if !ok {
		return fmt.Errorf("instance %s: no configuration given", instance.Name)
	}
	digest, err := a.storeConfig(text)
	if err != nil {
		return fmt.Errorf("%w: %w", errStateNotWritten, err)
	}
	instance.Digest, instance.Epoch = digest, a.fleet.Current().Set[instance.Name].Epoch
	set[instance.Name] = instance
	return nil
}

// setDesiredState applies start, stop or restart to the named instances of a set, or to all if none is named.
func setDesiredState(set fleet.Set, write WriteRequest) error {
	names := write.Names
	if len(names) == 0 {
		names = set.Names()
	}
	for _, name := range names {
		instance, ok := set[name]
		if !ok {
			return fmt.Errorf("instance %s: not declared", name)
		}
		instance.Desired = fleet.Running
		switch write.Command {
		case "stop":
			instance.Desired = fleet.Stopped
		case "restart":
			instance.Epoch++
		}
		set[name] = instance
	}
	return nil
}

// Number of entries in a response if the caller asks for no number: about the height of a terminal.
const (
	defaultHistory  = 20 // changes
	defaultLogLines = 50
)

// History lists the changes, the latest first.
type History struct {
	Revision    uint64         `json:"revision"`
	Changes     []fleet.Change `json:"changes"`
	Generations []uint64       `json:"generations_kept"`
}

// getHistory answers with the latest n changes, defaultHistory if no n is given.
func (a *Agent) getHistory(w http.ResponseWriter, r *http.Request) {
	limit, err := strconv.Atoi(r.URL.Query().Get("n"))
	if err != nil || limit <= 0 {
		limit = defaultHistory
	}
	var history History
	if err := a.onActor(r.Context(), func() {
		history.Revision, history.Changes = a.fleet.Revision, a.fleet.CopyState().Changes
		for _, generation := range a.fleet.Generations {
			history.Generations = append(history.Generations, generation.Number)
		}
	}); err != nil {
		controlsocket.WriteError(w, http.StatusServiceUnavailable, err.Error())
		return
	}
	slices.Reverse(history.Changes)
	history.Changes = history.Changes[:min(limit, len(history.Changes))]
	controlsocket.WriteJSON(w, http.StatusOK, history)
}

// Logs holds the last lines of an instance's log.
type Logs struct {
	Lines  []string `json:"lines"`
	Output []string `json:"standard_output,omitempty"` // standard output and standard error
}

// getLogs answers with the last lines of an instance's log and output, defaultLogLines if no number is given.
func (a *Agent) getLogs(w http.ResponseWriter, r *http.Request) {
	name := r.URL.Query().Get("name")
	lines, err := strconv.Atoi(r.URL.Query().Get("lines"))
	if err != nil || lines <= 0 {
		lines = defaultLogLines
	}
	known := false
	if err := a.onActor(r.Context(), func() { known = slices.Contains(a.fleet.Names(), name) }); err != nil {
		controlsocket.WriteError(w, http.StatusServiceUnavailable, err.Error())
		return
	}
	if !known {
		controlsocket.WriteError(w, http.StatusNotFound, fmt.Sprintf("instance %s: not found", name))
		return
	}
	files := instanceFiles{a.options.Dir, name}
	var logs Logs
	if logs.Lines, err = tail(files.logFile(), lines); err != nil {
		logs.Lines = nil
	}
	logs.Output, _ = tail(files.outputFile(), lines)
	controlsocket.WriteJSON(w, http.StatusOK, logs)
}
