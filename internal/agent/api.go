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

// View is the fleet as the agent knows it: what is declared, what was seen, and when.
type View struct {
	Revision   uint64         `json:"revision"`
	Generation uint64         `json:"generation"`
	Now        float64        `json:"now"` // the agent's clock, Unix ms
	Change     *fleet.Change  `json:"change,omitempty"`
	Instances  []InstanceView `json:"instances"`
	Broken     string         `json:"broken,omitempty"` // why the state can't be written
	Seq        uint64         `json:"seq"`              // for watching
	Rolling    fleet.Options  `json:"rolling"`          // how a change goes where the command does not say
}

// InstanceView is one instance's.
type InstanceView struct {
	Name     string          `json:"name"`
	Declared *fleet.Instance `json:"declared,omitempty"`
	Seen     fleet.Seen      `json:"seen"`
	Verdict  fleet.Verdict   `json:"verdict"`
	Why      string          `json:"why,omitempty"`
	Tries    int             `json:"recent_failures,omitempty"`
	Fault    string          `json:"latest_fault,omitempty"`
}

// Write is any change that an operator asks for.
type Write struct {
	Revision  uint64            `json:"revision"` // that it was made from
	What      string            `json:"what"`     // apply, start, stop, restart, reconfigure, rollback
	Reason    string            `json:"reason"`
	Instances []fleet.Instance  `json:"instances,omitempty"` // apply: all that is declared; reconfigure: those that change
	Configs   map[string]string `json:"configs,omitempty"`   // texts, by name of the instance
	Names     []string          `json:"names,omitempty"`     // start, stop, restart; none is all
	To        uint64            `json:"to,omitempty"`        // rollback: a generation; 0 turns the change that is on its way
	Options   *fleet.Options    `json:"options,omitempty"`
	DryRun    bool              `json:"dry_run,omitempty"`
}

// Written is what became of it.
type Written struct {
	Revision uint64       `json:"revision"`
	Change   fleet.Change `json:"change"`
	Differs  []string     `json:"differs"` // the instances that it touches
}

func (a *Agent) api() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET "+FleetPath, a.getFleet)
	m.HandleFunc("POST "+WritePath, a.postWrite)
	m.HandleFunc("GET "+HistoryPath, a.getHistory)
	m.HandleFunc("GET "+LogsPath, a.getLogs)
	return m
}

// view is the actor's.
func (a *Agent) view() View {
	now := a.now()
	g := a.fleet.Current()
	v := View{Revision: a.fleet.Revision, Generation: g.Number, Now: now, Seq: a.seq, Rolling: a.o.Rolling}
	if c := a.fleet.Latest(); c != nil {
		copied := c.Clone() // what is answered is written while the actor goes on
		v.Change = &copied
	}
	if a.broken != nil {
		v.Broken = a.broken.Error()
	}
	for _, name := range a.fleet.Names() {
		verdict, why := a.fleet.Judge(now, name)
		r := a.fleet.Records[name]
		i := InstanceView{Name: name, Seen: a.fleet.Look(now, name), Verdict: verdict, Why: why, Tries: len(r.Tries), Fault: r.Fault}
		if d, ok := g.Set[name]; ok {
			i.Declared = &d
		}
		v.Instances = append(v.Instances, i)
	}
	return v
}

// getFleet gives the view; with since it waits until there is something newer, or wait_ms have passed.
func (a *Agent) getFleet(w http.ResponseWriter, r *http.Request) {
	since, err := strconv.ParseUint(r.URL.Query().Get("since"), 10, 64)
	watching := err == nil
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(min(max(wait, 0), 60_000))*time.Millisecond)
	defer cancel()
	for {
		var v View
		var next chan struct{}
		if err := a.do(r.Context(), func() { v, next = a.view(), a.changed }); err != nil {
			controlsocket.WriteError(w, http.StatusServiceUnavailable, err.Error())
			return
		}
		if !watching || v.Seq > since || ctx.Err() != nil {
			controlsocket.WriteJSON(w, http.StatusOK, v)
			return
		}
		select {
		case <-next:
		case <-ctx.Done():
		case <-a.done:
			controlsocket.WriteError(w, http.StatusServiceUnavailable, "the agent ends")
			return
		}
	}
}

func (a *Agent) postWrite(w http.ResponseWriter, r *http.Request) {
	var x Write
	if err := controlsocket.DecodeBody(r, &x); err != nil {
		controlsocket.WriteError(w, http.StatusBadRequest, err.Error())
		return
	}
	author := author(controlsocket.CallerOf(r.Context()))
	var out Written
	var err error
	if e := a.do(r.Context(), func() { out, err = a.write(x, author) }); e != nil {
		controlsocket.WriteError(w, http.StatusServiceUnavailable, e.Error())
		return
	}
	var conflict *fleet.Conflict
	var busy *fleet.Busy
	switch {
	case err == nil:
		controlsocket.WriteJSON(w, http.StatusOK, out)
	case errors.As(err, &conflict), errors.As(err, &busy):
		controlsocket.WriteError(w, http.StatusConflict, err.Error())
	case errors.Is(err, fleet.ErrNothing):
		controlsocket.WriteError(w, NothingToChange, err.Error())
	case errors.Is(err, errUnwritten):
		controlsocket.WriteError(w, http.StatusInsufficientStorage, err.Error())
	default:
		controlsocket.WriteError(w, http.StatusUnprocessableEntity, err.Error())
	}
}

// NothingToChange is the status of a write that would change nothing.
const NothingToChange = http.StatusPreconditionFailed

var errUnwritten = errors.New("state can't be written")

// author is the caller's name, where the system knows it.
func author(c controlsocket.Caller) string {
	id := strconv.FormatUint(uint64(c.UID), 10)
	if u, err := user.LookupId(id); err == nil {
		return u.Username
	}
	return "uid " + id
}

// write takes an operator's change: the plan is durable before it is answered, and before its first step.
func (a *Agent) write(x Write, author string) (Written, error) {
	if x.Reason == "" {
		return Written{}, errors.New("give a reason")
	}
	options := a.o.Rolling
	if x.Options != nil {
		options = *x.Options
	}
	before := a.fleet.Copy()
	set, err := a.declare(x)
	if err != nil {
		return Written{}, err
	}
	var c fleet.Change
	if x.What == "rollback" && x.To == 0 {
		c, err = a.fleet.Revert(a.now(), x.Revision, author, x.Reason)
	} else {
		what := x.What
		if x.What == "rollback" {
			what = fmt.Sprintf("rollback to generation %d", x.To)
		}
		c, err = a.fleet.Propose(a.now(), x.Revision, set, fleet.Change{Author: author, Reason: x.Reason, What: what, Options: options})
	}
	if err != nil {
		return Written{}, err
	}
	out := Written{Revision: a.fleet.Revision, Change: c, Differs: slices.Clone(c.Order)}
	if x.DryRun {
		a.fleet.Restore(before)
		return out, nil
	}
	a.o.Point("proposed")
	if !a.save() {
		a.fleet.Restore(before)
		return Written{}, fmt.Errorf("%w: %w", errUnwritten, a.broken)
	}
	a.o.Point("planned")
	a.log.Info("change", "id", c.ID, "what", c.What, "author", author, "reason", x.Reason, "instances", len(c.Order))
	a.sweep()
	a.soon()
	return out, nil
}

// declare makes the set that a write asks for.
func (a *Agent) declare(x Write) (fleet.Set, error) {
	set := a.fleet.Current().Set.Clone()
	switch x.What {
	case "apply", "reconfigure":
		if x.What == "apply" {
			set = fleet.Set{}
		}
		for _, i := range x.Instances {
			was, had := a.fleet.Current().Set[i.Name]
			if x.What == "reconfigure" && !had {
				return nil, fmt.Errorf("instance %s is not declared", i.Name)
			}
			if _, twice := set[i.Name]; twice && x.What == "apply" {
				return nil, fmt.Errorf("instance %s declared twice", i.Name)
			}
			text, ok := x.Configs[i.Name]
			if !ok {
				return nil, fmt.Errorf("instance %s: no text of its configuration", i.Name)
			}
			digest, err := a.keep(text)
			if err != nil {
				return nil, fmt.Errorf("%w: %w", errUnwritten, err)
			}
			i.Digest, i.Epoch = digest, was.Epoch
			set[i.Name] = i
		}
	case "start", "stop", "restart":
		names := x.Names
		if len(names) == 0 {
			names = set.Names()
		}
		for _, name := range names {
			i, ok := set[name]
			if !ok {
				return nil, fmt.Errorf("instance %s is not declared", name)
			}
			switch x.What {
			case "stop":
				i.Wanted = fleet.Stopped
			case "restart":
				i.Epoch++
				fallthrough
			default:
				i.Wanted = fleet.Running
			}
			set[name] = i
		}
	case "rollback":
		if x.To > 0 {
			g, ok := a.fleet.Generation(x.To)
			if !ok {
				return nil, fmt.Errorf("generation %d is not kept: see history", x.To)
			}
			set = g.Set.Clone()
		}
	default:
		return nil, fmt.Errorf("unknown command %q", x.What)
	}
	return set, nil
}

// History is what was changed, the latest first.
type History struct {
	Revision uint64         `json:"revision"`
	Changes  []fleet.Change `json:"changes"`
	Kept     []uint64       `json:"generations_kept"`
}

func (a *Agent) getHistory(w http.ResponseWriter, r *http.Request) {
	most, err := strconv.Atoi(r.URL.Query().Get("n"))
	if err != nil || most <= 0 {
		most = 20
	}
	var h History
	if err := a.do(r.Context(), func() {
		h.Revision, h.Changes = a.fleet.Revision, a.fleet.Copy().Changes
		for _, g := range a.fleet.Generations {
			h.Kept = append(h.Kept, g.Number)
		}
	}); err != nil {
		controlsocket.WriteError(w, http.StatusServiceUnavailable, err.Error())
		return
	}
	slices.Reverse(h.Changes)
	h.Changes = h.Changes[:min(most, len(h.Changes))]
	controlsocket.WriteJSON(w, http.StatusOK, h)
}

// Logs are an instance's last lines.
type Logs struct {
	Lines []string `json:"lines"`
	Out   []string `json:"standard_output,omitempty"` // what came outside of its log
}

func (a *Agent) getLogs(w http.ResponseWriter, r *http.Request) {
	name := r.URL.Query().Get("name")
	lines, err := strconv.Atoi(r.URL.Query().Get("lines"))
	if err != nil || lines <= 0 {
		lines = 50
	}
	known := false
	if err := a.do(r.Context(), func() { known = slices.Contains(a.fleet.Names(), name) }); err != nil {
		controlsocket.WriteError(w, http.StatusServiceUnavailable, err.Error())
		return
	}
	if !known {
		controlsocket.WriteError(w, http.StatusNotFound, fmt.Sprintf("instance %s is not known", name))
		return
	}
	p := place{a.o.Dir, name}
	var l Logs
	if l.Lines, err = tail(p.log(), lines); err != nil {
		l.Lines = nil
	}
	l.Out, _ = tail(p.standing(), lines)
	controlsocket.WriteJSON(w, http.StatusOK, l)
}
