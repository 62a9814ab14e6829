// Package discovery follows the list of backends.
package discovery

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"math"
	"net"
	"slices"

	"pearknot/balancer"
	"pearknot/internal/config"
)

// Member is one entry of the list.
type Endpoint struct {
	Name    string                `json:"Name"` // the same at every node
	Address string                `json:"Address"`
	State   balancer.BackendState `json:"State"`
	Zone    int                   `json:"Zone"`
	Cell    int                   `json:"Cell"`
	Kind    int                   `json:"Kind"`
	Weight  float64               `json:"Weight"`
	Started float64               `json:"Started"` // Unix milliseconds; 0 is long ago
	Invalid Fields                `json:"Odd"`     // what of the above could not be read and tells nothing
}

// Parts are parts of an entry, beside its name.
type Fields uint8

const (
	invalidAddress Fields = 1 << iota
	invalidState
	invalidZone
	invalidCell
	invalidKind
	invalidWeight
	invalidStarted
)

// Over gives an entry that could not be read whole as news of a backend that is known: what is odd stays as it was. It may
// take the backend out, as a drain counts whatever else is odd, but not bring it back, which would be to trust it.
func (m Endpoint) MergeInto(had Endpoint) Endpoint {
	if m.Invalid&invalidAddress != 0 {
		m.Address = had.Address
	}
	if m.Invalid&invalidState != 0 || m.State > had.State {
		m.State = had.State
	}
	if m.Invalid&invalidZone != 0 {
		m.Zone = had.Zone
	}
	if m.Invalid&invalidCell != 0 {
		m.Cell = had.Cell
	}
	if m.Invalid&invalidKind != 0 {
		m.Kind = had.Kind
	}
	if m.Invalid&invalidWeight != 0 {
		m.Weight = had.Weight
	}
	if m.Invalid&invalidStarted != 0 {
		m.Started = had.Started
	}
	m.Invalid = 0
	return m
}

// List is what an answer told: the whole list, or the entries that changed.
type List struct {
	Version   uint64     `json:"Version"`
	Complete  bool       `json:"Whole"`
	Endpoints []Endpoint `json:"Members"`
}

var states = map[string]balancer.BackendState{"up": balancer.BackendReady, "draining": balancer.BackendDraining, "removed": balancer.BackendRemoved}

// Names are those that the list uses for places of the settings.
type DeploymentNames struct{ Zones, Kinds []string }

// Digest tells lists with the same backends in the same states from others, wherever they were read: by names and states
// of what is not gone, in order.
func Digest(states map[string]balancer.BackendState) string {
	h := sha256.New()
	for _, name := range slices.Sorted(maps.Keys(states)) {
		if states[name] != balancer.BackendRemoved {
			fmt.Fprintf(h, "%q %d\n", name, states[name])
		}
	}
	return hex.EncodeToString(h.Sum(nil))
}

// Sum reads the version of a whole list, as its source gives it, and its digest, without the names of any settings.
func ReadDigest(data []byte) (version uint64, digest string, err error) {
	var told struct {
		Rev     *uint64
		All     bool
		Targets []struct{ UID, State string }
	}
	if err := json.Unmarshal(data, &told); err != nil {
		return 0, "", err
	}
	if told.Rev == nil || !told.All {
		return 0, "", errors.New("no whole list")
	}
	all := map[string]balancer.BackendState{}
	for _, t := range told.Targets {
		state, known := states[t.State]
		if !known {
			return 0, "", fmt.Errorf("unknown state %q", t.State)
		}
		all[t.UID] = state
	}
	return *told.Rev, Digest(all), nil
}

// mostShown is how much of an odd entry a line shows.
const maxLoggedEntry = 400

// Decode reads a list. Entries that can't be read whole are logged; they must not hide the others.
func (n DeploymentNames) Decode(data []byte, log *slog.Logger) (*List, error) {
	return n.decode(data, log, func(string) bool { return true })
}

// decode asks of each odd entry's name whether to log it.
func (n DeploymentNames) decode(data []byte, log *slog.Logger, say func(name string) bool) (*List, error) {
	var told struct {
		Rev     *uint64
		All     bool
		Targets []json.RawMessage
	}
	if err := json.Unmarshal(data, &told); err != nil {
		return nil, err
	}
	if told.Rev == nil {
		return nil, errors.New("list without its version")
	}
	if told.All && told.Targets == nil { // one that is empty says so: what names nobody must not take all away
		return nil, errors.New("whole list without its entries")
	}
	list := &List{Version: *told.Rev, Complete: told.All}
	for _, entry := range told.Targets {
		m, err := n.endpoint(entry)
		if err != nil && say(m.Name) {
			log.Warn("odd list entry", "entry", string(entry[:min(len(entry), maxLoggedEntry)]), "error", err)
		}
		if m.Name != "" {
			list.Endpoints = append(list.Endpoints, m)
		}
	}
	return list, nil
}

// member reads an entry part by part, since one that is odd must not hide its name and state. The error tells what is odd;
// where there is no name, it is nobody's.
func (n DeploymentNames) endpoint(entry []byte) (m Endpoint, err error) {
	var told struct {
		UID, Endpoint, AZ, Model, State json.RawMessage
		PodGroup                        json.RawMessage `json:"pod_group"`
		CapacityHint                    json.RawMessage `json:"capacity_hint"`
		BootMs                          json.RawMessage `json:"boot_ms"`
	}
	if err := json.Unmarshal(entry, &told); err != nil {
		return m, err
	}
	if m.Name, err = readField[string](told.UID); err != nil || m.Name == "" {
		return Endpoint{}, errors.Join(errors.New("no uid"), err)
	}
	var why error
	part := func(p Fields, err error) {
		if err != nil {
			m.Invalid |= p
			why = errors.Join(why, err)
		}
	}
	state, err := readField[string](told.State)
	known := false
	if m.State, known = states[state]; err == nil && !known {
		err = fmt.Errorf("unknown state %.60q", state)
	}
	part(invalidState, err)
	if m.Address, err = readField[string](told.Endpoint); err == nil {
		_, _, err = net.SplitHostPort(m.Address)
	}
	if err == nil || !known || m.State != balancer.BackendRemoved { // who is gone needs none
		part(invalidAddress, err)
	}
	m.Zone, err = indexOfName(told.AZ, n.Zones, "zone")
	part(invalidZone, err)
	m.Kind, err = indexOfName(told.Model, n.Kinds, "kind")
	part(invalidKind, err)
	if m.Cell, err = readField[int](told.PodGroup); err == nil && (m.Cell < 0 || m.Cell > math.MaxUint16) {
		err = fmt.Errorf("group %d", m.Cell)
	}
	part(invalidCell, err)
	hint, err := readField[*float64](told.CapacityHint)
	if m.Weight = 1; hint != nil {
		m.Weight = *hint
	}
	part(invalidWeight, err)
	m.Started, err = readField[float64](told.BootMs)
	part(invalidStarted, err)
	if m.Invalid != 0 { // what is not there may be lost with the rest
		for p, there := range map[Fields]json.RawMessage{invalidCell: told.PodGroup, invalidWeight: told.CapacityHint, invalidStarted: told.BootMs} {
			if len(there) == 0 {
				m.Invalid |= p
			}
		}
	}
	return m, why
}

// read reads one part; one that is not there is zero.
func readField[T any](part json.RawMessage) (value T, err error) {
	if len(part) > 0 {
		err = json.Unmarshal(part, &value)
	}
	return value, err
}

// place finds a name among those of the settings.
func indexOfName(part json.RawMessage, names []string, what string) (int, error) {
	name, err := readField[string](part)
	k := slices.Index(names, config.Name(name))
	if err == nil && k < 0 {
		err = fmt.Errorf("unknown %s %.60q", what, name)
	}
	return k, err
}
