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

// This file and ReadDigest map the field names of the discovery service's JSON (rev, all, targets, uid, az, pod_group,
// ...) to those of this package.

// statesByName maps the state names in the list to backend states.
var statesByName = map[string]balancer.BackendState{
	"up":       balancer.BackendReady,
	"draining": balancer.BackendDraining,
	"removed":  balancer.BackendRemoved,
}

// maxLoggedEntryBytes limits how much of an invalid entry a log line quotes: enough to identify the entry, which may be as
// long as the list.
const maxLoggedEntryBytes = 400

// defaultWeight is the weight of an endpoint whose entry does not specify one.
const defaultWeight = 1

// DeploymentNames holds the names of the deployment's zones and machine kinds. The list refers to them by name, an
// Endpoint by index.
type DeploymentNames struct{ Zones, Kinds []string }

// Decode decodes an encoded list. It fails if the list as a whole can't be decoded. Entries that are partly invalid are
// logged and returned with their Invalid fields set; entries without a name are logged and omitted, so that they don't
// invalidate the others.
func (n DeploymentNames) Decode(data []byte, log *slog.Logger) (*List, error) {
	return n.decode(data, log, func(string) bool { return true })
}

// decode implements Decode. shouldLog is called with the name of each invalid entry and reports whether to log it.
func (n DeploymentNames) decode(data []byte, log *slog.Logger, shouldLog func(name string) bool) (*List, error) {
	var response struct {
		Rev     *uint64
		All     bool
		Targets []json.RawMessage
	}
	if err := json.Unmarshal(data, &response); err != nil {
		return nil, fmt.Errorf("decode endpoint list: %w", err)
	}
	if response.Rev == nil {
		return nil, errors.New("endpoint list has no version")
	}
	// An empty list has an empty array. A list that lacks the field must not remove every backend.
	if response.All && response.Targets == nil {
		return nil, errors.New("complete endpoint list has no targets field")
	}
	list := &List{Version: *response.Rev, Complete: response.All}
	for _, entry := range response.Targets {
		endpoint, err := n.endpoint(entry)
		if err != nil && shouldLog(endpoint.Name) {
			log.Warn("endpoint list entry invalid", "entry", string(entry[:min(len(entry), maxLoggedEntryBytes)]), "error", err)
		}
		if endpoint.Name != "" {
			list.Endpoints = append(list.Endpoints, endpoint)
		}
	}
	return list, nil
}

// encodedEndpoint is one entry of the encoded list. Its fields are decoded one by one, so that an invalid one does not
// invalidate the others, most importantly the name and the state.
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

// endpoint decodes an entry. The error joins the errors of all fields in Invalid. For an entry without a name, which
// identifies no backend, it returns an empty endpoint.
func (n DeploymentNames) endpoint(data []byte) (Endpoint, error) {
	var entry encodedEndpoint
	if err := json.Unmarshal(data, &entry); err != nil {
		return Endpoint{}, err
	}
	name, err := readField[string](entry.UID)
	if err != nil || name == "" {
		return Endpoint{}, errors.Join(errors.New("endpoint entry has no uid"), err)
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

// absentFields returns the optional fields that the entry lacks. In a valid entry an absent field has its default value.
// In an invalid entry the field may be missing because of the same fault, and a known value must not be replaced by the
// default.
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

// readState decodes a backend's state. isRemoved is false for an unknown state.
func readState(field json.RawMessage) (state balancer.BackendState, isRemoved bool, err error) {
	name, err := readField[string](field)
	state, known := statesByName[name]
	if err == nil && !known {
		err = fmt.Errorf("unknown state %.60q", name)
	}
	return state, known && state == balancer.BackendRemoved, err
}

// readAddress decodes an address. An address that is a string but not host:port is returned together with the error.
func readAddress(field json.RawMessage) (string, error) {
	address, err := readField[string](field)
	if err == nil {
		_, _, err = net.SplitHostPort(address)
	}
	return address, err
}

// readCell decodes a cell number, which must fit in 16 bits.
func readCell(field json.RawMessage) (int, error) {
	cell, err := readField[int](field)
	if err == nil && (cell < 0 || cell > math.MaxUint16) {
		err = fmt.Errorf("pod_group: %d is out of range 0 to 65535", cell)
	}
	return cell, err
}

// readWeight decodes a weight. It returns defaultWeight if the field is absent or null.
func readWeight(field json.RawMessage) (float64, error) {
	weight, err := readField[*float64](field)
	if weight == nil {
		return defaultWeight, err
	}
	return *weight, err
}

// readField decodes one field. It returns the zero value if the field is absent.
func readField[T any](field json.RawMessage) (value T, err error) {
	if len(field) > 0 {
		err = json.Unmarshal(field, &value)
	}
	return value, err
}

// indexOfName decodes a name and returns its index in names. For an unknown name it returns -1 and an error that contains
// nameType.
func indexOfName(field json.RawMessage, names []string, nameType string) (int, error) {
	name, err := readField[string](field)
	index := slices.Index(names, config.NormalizeName(name))
	if err == nil && index < 0 {
		err = fmt.Errorf("unknown %s %.60q", nameType, name)
	}
	return index, err
}
