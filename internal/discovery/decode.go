package discovery

import (
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"net"
	"slices"

	"pearknot/balancer"
	"pearknot/internal/config"
)

// The names of the discovery service's JSON (rev, all, targets, uid, az, pod_group, ...) are mapped to ours in this file
// and in ReadDigest.

// statesByName maps the list's names of backend states.
var statesByName = map[string]balancer.BackendState{
	"up":       balancer.BackendReady,
	"draining": balancer.BackendDraining,
	"removed":  balancer.BackendRemoved,
}

// maxLoggedEntry is how many bytes of an invalid entry a log line quotes: enough to find the entry, and no more, since
// an entry may be as long as the list.
const maxLoggedEntry = 400

// defaultWeight is the weight of an endpoint whose entry gives none.
const defaultWeight = 1

// DeploymentNames are the deployment's names of zones and of kinds of machines. The list refers to them by name, an
// Endpoint by index.
type DeploymentNames struct{ Zones, Kinds []string }

// Decode reads an encoded list. It fails if the list as a whole can't be read. Entries that are partly invalid are logged
// and returned with their Invalid fields; entries without a name are logged and left out, so that they don't hide the others.
func (n DeploymentNames) Decode(data []byte, log *slog.Logger) (*List, error) {
	return n.decode(data, log, func(string) bool { return true })
}

// decode is Decode with a filter of the log: shouldLog is called with the name of each invalid entry.
func (n DeploymentNames) decode(data []byte, log *slog.Logger, shouldLog func(name string) bool) (*List, error) {
	var answer struct {
		Rev     *uint64
		All     bool
		Targets []json.RawMessage
	}
	if err := json.Unmarshal(data, &answer); err != nil {
		return nil, fmt.Errorf("decode endpoint list: %w", err)
	}
	if answer.Rev == nil {
		return nil, errors.New("endpoint list without a version")
	}
	// An empty list says so with an empty array. If a service loses the field, that must not remove every backend.
	if answer.All && answer.Targets == nil {
		return nil, errors.New("complete endpoint list without entries")
	}
	list := &List{Version: *answer.Rev, Complete: answer.All}
	for _, entry := range answer.Targets {
		endpoint, err := n.endpoint(entry)
		if err != nil && shouldLog(endpoint.Name) {
			log.Warn("endpoint list entry invalid", "entry", string(entry[:min(len(entry), maxLoggedEntry)]), "error", err)
		}
		if endpoint.Name != "" {
			list.Endpoints = append(list.Endpoints, endpoint)
		}
	}
	return list, nil
}

// encodedEndpoint is one entry of the encoded list. Its fields are decoded one by one, so that an invalid one does not
// hide the others, above all not the name and the state.
type encodedEndpoint struct {
	UID          json.RawMessage
	Endpoint     json.RawMessage
	AZ           json.RawMessage
	Model        json.RawMessage
	State        json.RawMessage
	PodGroup     json.RawMessage `json:"pod_group"`
	CapacityHint json.RawMessage `json:"capacity_hint"`
	BootMs       json.RawMessage `json:"boot_ms"`
}

// endpoint decodes an entry. The error joins what is wrong with the fields named by Invalid. An entry without a name
// belongs to no backend: the endpoint is empty then.
func (n DeploymentNames) endpoint(data []byte) (Endpoint, error) {
	var entry encodedEndpoint
	if err := json.Unmarshal(data, &entry); err != nil {
		return Endpoint{}, err
	}
	name, err := readField[string](entry.UID)
	if err != nil || name == "" {
		return Endpoint{}, errors.Join(errors.New("entry without a uid"), err)
	}

	endpoint := Endpoint{Name: name}
	var problems error
	check := func(field Fields, err error) {
		if err != nil {
			endpoint.Invalid |= field
			problems = errors.Join(problems, err)
		}
	}
	var isRemoved bool
	endpoint.State, isRemoved, err = readState(entry.State)
	check(invalidState, err)
	endpoint.Address, err = readAddress(entry.Endpoint)
	if !isRemoved { // a removed backend needs no address
		check(invalidAddress, err)
	}
	endpoint.Zone, err = indexOfName(entry.AZ, n.Zones, "zone")
	check(invalidZone, err)
	endpoint.Kind, err = indexOfName(entry.Model, n.Kinds, "kind")
	check(invalidKind, err)
	endpoint.Cell, err = readCell(entry.PodGroup)
	check(invalidCell, err)
	endpoint.Weight, err = readWeight(entry.CapacityHint)
	check(invalidWeight, err)
	endpoint.Started, err = readField[float64](entry.BootMs)
	check(invalidStarted, err)
	if endpoint.Invalid != 0 {
		endpoint.Invalid |= entry.absentFields()
	}
	return endpoint, problems
}

// absentFields returns the optional fields that the entry lacks. In a valid entry their absence means the default. In an
// invalid one they may have been lost together with the rest, and a known value must not be replaced by the default.
func (e *encodedEndpoint) absentFields() Fields {
	absent := Fields(0)
	if len(e.PodGroup) == 0 {
		absent |= invalidCell
	}
	if len(e.CapacityHint) == 0 {
		absent |= invalidWeight
	}
	if len(e.BootMs) == 0 {
		absent |= invalidStarted
	}
	return absent
}

// readState decodes a backend's state. isRemoved is false for a state that is unknown.
func readState(field json.RawMessage) (state balancer.BackendState, isRemoved bool, err error) {
	name, err := readField[string](field)
	state, known := statesByName[name]
	if err == nil && !known {
		err = fmt.Errorf("unknown state %.60q", name)
	}
	return state, known && state == balancer.BackendRemoved, err
}

// readAddress decodes an address. The address is returned beside the error if it is a string but not host:port.
func readAddress(field json.RawMessage) (string, error) {
	address, err := readField[string](field)
	if err == nil {
		_, _, err = net.SplitHostPort(address)
	}
	return address, err
}

// readCell decodes the number of a cell, which has to fit 16 bits.
func readCell(field json.RawMessage) (int, error) {
	cell, err := readField[int](field)
	if err == nil && (cell < 0 || cell > math.MaxUint16) {
		err = fmt.Errorf("pod_group %d out of range", cell)
	}
	return cell, err
}

// readWeight decodes a weight; defaultWeight stands for one that is absent or null.
func readWeight(field json.RawMessage) (float64, error) {
	weight, err := readField[*float64](field)
	if weight == nil {
		return defaultWeight, err
	}
	return *weight, err
}

// readField decodes one field. The value of an absent field is zero.
func readField[T any](field json.RawMessage) (value T, err error) {
	if len(field) > 0 {
		err = json.Unmarshal(field, &value)
	}
	return value, err
}

// indexOfName decodes a name and returns its index among the deployment's names, or -1 and an error that says what kind
// of name is unknown.
func indexOfName(field json.RawMessage, names []string, what string) (int, error) {
	name, err := readField[string](field)
	index := slices.Index(names, config.NormalizeName(name))
	if err == nil && index < 0 {
		err = fmt.Errorf("unknown %s %.60q", what, name)
	}
	return index, err
}
