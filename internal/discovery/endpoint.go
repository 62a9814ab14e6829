// Package discovery decodes the JSON endpoint list of a discovery service and watches the list by long polling.
package discovery

import "pearknot/balancer"

// Endpoint is one entry of the endpoint list: a backend as the discovery service describes it.
//
// Endpoints are part of the state that a hot restart hands off to the new process. The tags fix their names in that
// encoding.
type Endpoint struct {
	Name    string                `json:"Name"`    // identifies the backend, the same at every node
	Address string                `json:"Address"` // host:port
	State   balancer.BackendState `json:"State"`
	Zone    int                   `json:"Zone"`    // index into DeploymentNames.Zones
	Cell    int                   `json:"Cell"`    // group of backends that share hardware
	Kind    int                   `json:"Kind"`    // index into DeploymentNames.Kinds
	Weight  float64               `json:"Weight"`  // relative capacity; 1 if the list specifies none
	Started float64               `json:"Started"` // Unix time in ms; 0 means long ago
	Invalid Fields                `json:"Odd"`     // the fields above that could not be decoded
}

// Fields is a set of the fields of an Endpoint other than its name.
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

// MergeInto returns the endpoint as an update of the known endpoint: each invalid field keeps the known value, and no
// field of the result is invalid.
//
// Callers need not merge an endpoint without invalid fields. An endpoint with invalid fields may change the backend to
// draining or removed, since that state is valid whatever else is wrong with the entry. It never brings the backend back
// into use, because a partly invalid entry is not trusted for that.
func (e Endpoint) MergeInto(known Endpoint) Endpoint {
	if e.Invalid&invalidAddress != 0 {
		e.Address = known.Address
	}
	if e.Invalid&invalidState != 0 || e.State > known.State {
		e.State = known.State
	}
	if e.Invalid&invalidZone != 0 {
		e.Zone = known.Zone
	}
	if e.Invalid&invalidCell != 0 {
		e.Cell = known.Cell
	}
	if e.Invalid&invalidKind != 0 {
		e.Kind = known.Kind
	}
	if e.Invalid&invalidWeight != 0 {
		e.Weight = known.Weight
	}
	if e.Invalid&invalidStarted != 0 {
		e.Started = known.Started
	}
	e.Invalid = 0
	return e
}

// List is a response of the discovery service: either the complete endpoint list or the entries that changed since an
// earlier version.
type List struct {
	Version   uint64     `json:"Version"`
	Complete  bool       `json:"Whole"`
	Endpoints []Endpoint `json:"Members"`
}
