package client

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math"

	"github.com/klauspost/compress/zstd"

	"pearknot/internal/controlplane"
)

// What an operator's call asks for.
const (
	MethodStatus = "status" // how this member stands, and who follows it
	MethodGet    = "get"    // a version's text; 0 is the head
	MethodLog    = "log"    // the last changes
	MethodApply  = "apply"  // of the leader: the next version
	MethodHead   = "head"   // of the leader: the head's version
)

// Call is what an operator asks of a member; a text may follow it.
type CallRequest struct {
	Method  string `json:"op"`
	Version uint64 `json:"version,omitempty"`
	Base    uint64 `json:"base,omitempty"`
	ID      uint64 `json:"id,omitempty"`
	By      string `json:"by,omitempty"`
	Reason  string `json:"reason,omitempty"`
	Limit   int    `json:"most,omitempty"`
}

// Answer is what the member says; a text may follow it.
type CallResponse struct {
	Code        controlplane.Code `json:"code"`
	Version     uint64            `json:"version,omitempty"`
	Leader      string            `json:"leader,omitempty"`
	Detail      string            `json:"why,omitempty"`
	StalenessMs *float64          `json:"age_ms,omitempty"` // of what it says; none is unknown
	Log         []LogEntry        `json:"log,omitempty"`
	Status      *MemberStatus     `json:"status,omitempty"`
}

// Entry is a change as the log shows it.
type LogEntry struct {
	Version      uint64  `json:"version"`
	ID           string  `json:"id"`
	Digest       string  `json:"digest"`
	By           string  `json:"by,omitempty"`
	Reason       string  `json:"reason,omitempty"`
	ProposedAtMs float64 `json:"at_unix_ms"` // by the clock of the leader that took it
}

// MemberStatus is a member's word about itself and those that follow it.
type MemberStatus struct {
	Name        string           `json:"name"`
	Region      string           `json:"region"`
	Voter       bool             `json:"voter"`
	Build       string           `json:"build,omitempty"`
	Leader      string           `json:"leader,omitempty"` // that it knows of
	Follows     string           `json:"follows,omitempty"`
	Head        uint64           `json:"head"`
	Digest      string           `json:"digest,omitempty"`
	StalenessMs *float64         `json:"age_ms,omitempty"` // of its copy; none is unknown
	Followers   []FollowerStatus `json:"followers"`
	BytesIn     int64            `json:"bytes_in"`
	BytesOut    int64            `json:"bytes_out"`
}

// FollowerStatus is what a member knows of one that follows it.
type FollowerStatus struct {
	Name            string   `json:"name"`
	Region          string   `json:"region"`
	Kind            string   `json:"kind"`
	StoredVersion   uint64   `json:"held"`
	AppliedVersion  uint64   `json:"in_force"`
	RejectedVersion uint64   `json:"refused,omitempty"`
	RejectReason    string   `json:"why,omitempty"`
	BehindMs        float64  `json:"behind_ms"`
	StalenessMs     *float64 `json:"age_ms,omitempty"`
	LastSeenMs      float64  `json:"seen_ms"` // ago
}

// Finite is a number that JSON can have, or none.
func FiniteOrNil(x float64) *float64 {
	if math.IsInf(x, 0) || math.IsNaN(x) {
		return nil
	}
	return &x
}

const (
	fragmentBytes   = 256 << 10 // of a message on the link
	MaxMessageBytes = controlplane.MaxDocumentBytes + 8<<20
)

// A piece begins with whether more of its message follow.
const (
	fragmentLast byte = iota
	fragmentMore
)

// Pieces cuts a message and the text that follows it into frames.
func EncodeMessage(message any, text []byte) ([][]byte, error) {
	head, err := json.Marshal(message)
	if err != nil {
		return nil, err
	}
	z, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithEncoderLevel(zstd.SpeedFastest))
	if err != nil {
		return nil, err
	}
	data := z.EncodeAll(append(append(head, '\n'), text...), nil)
	_ = z.Close()
	var frames [][]byte
	for len(data) > fragmentBytes {
		frames = append(frames, append([]byte{fragmentMore}, data[:fragmentBytes]...))
		data = data[fragmentBytes:]
	}
	return append(frames, append([]byte{fragmentLast}, data...)), nil
}

// Gathered is a message that comes in pieces.
type MessageAssembler struct{ data []byte }

// Add takes a frame; whole tells that it was the last.
func (g *MessageAssembler) AddFrame(frame []byte) (whole bool, err error) {
	switch {
	case len(frame) == 0 || frame[0] > fragmentMore:
		return false, errors.New("odd piece of a message")
	case len(g.data)+len(frame) > MaxMessageBytes:
		return false, fmt.Errorf("message of over %d bytes", MaxMessageBytes)
	}
	g.data = append(g.data, frame[1:]...)
	return frame[0] == fragmentLast, nil
}

// Read gives the message and its text.
func (g *MessageAssembler) Decode(message any) (text []byte, err error) {
	z, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(MaxMessageBytes))
	if err != nil {
		return nil, err
	}
	defer z.Close()
	data, err := z.DecodeAll(g.data, nil)
	if err != nil {
		return nil, err
	}
	head, text, _ := bytes.Cut(data, []byte("\n"))
	return text, json.Unmarshal(head, message)
}
