package controlsocket

import (
	"fmt"

	"pearknot/internal/acme"
	"pearknot/internal/server"
)

// The JSON of these structures is read by agents, commands and scripts of other builds. The tags, some of which differ from
// the field names, and the order of the fields must not change.

// Status is the state of a node.
type Status struct {
	Token       string  `json:"token"` // given at the start; proves the identity of the process to the agent
	PID         int     `json:"pid"`
	Name        string  `json:"name"`
	Listen      string  `json:"listen"` // address for clients
	Version     string  `json:"version"`
	StartedAt   float64 `json:"started"` // Unix time in ms
	Config      string  `json:"config"`  // name of the configuration file
	Digest      string  `json:"digest"`  // SHA-256 of the configuration file as it was read
	Epoch       uint64  `json:"epoch"`
	ListAddress string  `json:"list"` // address from which the node polls its endpoint list
	ListVersion uint64  `json:"list_version"`
	ListDigest  string  `json:"list_digest"`
	Backends    int     `json:"backends"`
	Ready       bool    `json:"ready"` // the node has an endpoint list
	InService   bool    `json:"in_service"`
	Draining    bool    `json:"ending"`

	OpenRequests int64         `json:"open_ops"`
	MemoryMB     float64       `json:"memory_mb"` // memory that the Go runtime has obtained from the system
	TLS          *TLS          `json:"tls,omitempty"`
	ControlPlane *ControlPlane `json:"control_plane,omitempty"`
}

// ControlPlane is the state of a node's link to its control plane.
type ControlPlane struct {
	ActiveVersion   uint64   `json:"in_force"`         // of the configuration; 0 is the configuration file
	LatestVersion   uint64   `json:"held"`             // latest version that the node has received
	Digest          string   `json:"digest,omitempty"` // SHA-256 of the active configuration's text
	AgeMs           *float64 `json:"age_ms,omitempty"` // the node has everything committed until this long ago; nil before the first contact
	FollowedMember  string   `json:"member,omitempty"`
	RejectedVersion uint64   `json:"refused,omitempty"` // the latest version that could not be applied
	RejectReason    string   `json:"why,omitempty"`

	BytesIn   int64 `json:"bytes_in"`
	BytesOut  int64 `json:"bytes_out"`
	FramesIn  int64 `json:"frames_in"`
	FramesOut int64 `json:"frames_out"`
	Dials     int64 `json:"dials"`
}

// String returns the text of a table cell. It is empty for nil.
func (c *ControlPlane) String() string {
	if c == nil {
		return ""
	}
	age, member := "age unknown", "no member"
	if c.AgeMs != nil {
		age = fmt.Sprintf("%.0f s old", *c.AgeMs/1e3)
	}
	if c.FollowedMember != "" {
		member = "by " + c.FollowedMember
	}
	text := fmt.Sprintf("%d %.8s, %s, %s", c.ActiveVersion, c.Digest, age, member)
	if c.RejectedVersion > c.ActiveVersion {
		text += fmt.Sprintf(", refuses %d", c.RejectedVersion)
	}
	return text
}

// TLS is the state of a node's TLS listener and certificates.
type TLS struct {
	Listen       string                `json:"listen"` // address for clients
	Dir          string                `json:"dir"`    // directory of the certificate store
	Orders       bool                  `json:"orders"` // this process orders certificates for all that share the store
	OrderedBy    int                   `json:"ordered_by,omitempty"`
	Handshakes   server.HandshakeStats `json:"handshakes"`
	Certificates []acme.Status         `json:"certificates"`
}

// FirstToExpire returns the certificate that expires first. A missing one precedes all others.
func (t *TLS) FirstToExpire() acme.Status {
	var first acme.Status
	for i, certificate := range t.Certificates {
		if i == 0 || certificate.NotAfter.Before(first.NotAfter) {
			first = certificate
		}
	}
	return first
}

// Certificate is the body of a call that concerns certificates: the name of a certificate, or the index of an authority.
type Certificate struct {
	Name      string `json:"name,omitempty"`
	Authority int    `json:"authority,omitempty"` // index, for a change of the account key
}

// Service is the body of a call that takes a node out of service or puts it back. Only the answer of the node's health
// check changes; requests that arrive are served.
type Service struct {
	InService bool   `json:"in"`
	Reason    string `json:"why"`
}

// CaptureFile is the response to a call that writes the capture to a file: the name of that file.
type CaptureFile struct {
	Name string `json:"file"`
}
