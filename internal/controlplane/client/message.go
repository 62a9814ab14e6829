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

// The methods of an operator's call, which are sent with these values.
const (
	MethodStatus = "status" // the member's state, and its followers'
	MethodGet    = "get"    // a version's text; version 0 is the head
	MethodLog    = "log"    // the latest changes
	MethodApply  = "apply"  // creates the next version; only the leader accepts it
	MethodHead   = "head"   // the head's version; only the leader accepts it
)

// The tags of the messages below are sent and read by other builds, and printed by --json. They stay as they are for compatibility, such
// as "op", "held" and "in_force", where the fields have other names.

// CallRequest is an operator's request to a member. With MethodApply the text of the document follows it.
type CallRequest struct {
	Method  string `json:"op"`
	Version uint64 `json:"version,omitempty"`
	Base    uint64 `json:"base,omitempty"`
	ID      uint64 `json:"id,omitempty"`
	By      string `json:"by,omitempty"`
	Reason  string `json:"reason,omitempty"`
	Limit   int    `json:"most,omitempty"` // maximum number of changes for MethodLog
}

// CallResponse is a member's response to a CallRequest. With MethodGet the text of the document follows it.
type CallResponse struct {
	Code        controlplane.Code `json:"code"`
	Version     uint64            `json:"version,omitempty"`
	Leader      string            `json:"leader,omitempty"`
	Detail      string            `json:"why,omitempty"`
	StalenessMs *float64          `json:"age_ms,omitempty"` // upper bound of the response's staleness; nil is unknown
	Log         []LogEntry        `json:"log,omitempty"`
	Status      *MemberStatus     `json:"status,omitempty"`
}

// LogEntry is a change in the log.
type LogEntry struct {
	Version      uint64  `json:"version"`
	ID           string  `json:"id"`     // hexadecimal
	Digest       string  `json:"digest"` // hexadecimal
	By           string  `json:"by,omitempty"`
	Reason       string  `json:"reason,omitempty"`
	ProposedAtMs float64 `json:"at_unix_ms"` // by the clock of the leader that accepted it
}

// MemberStatus is the state of a member and its followers, as the member reports it.
type MemberStatus struct {
	Name        string           `json:"name"`
	Region      string           `json:"region"`
	Voter       bool             `json:"voter"`
	Build       string           `json:"build,omitempty"`
	Leader      string           `json:"leader,omitempty"`  // as far as the member knows
	Follows     string           `json:"follows,omitempty"` // the voter that a relay follows
	Head        uint64           `json:"head"`
	Digest      string           `json:"digest,omitempty"`
	StalenessMs *float64         `json:"age_ms,omitempty"` // upper bound of its copy's staleness; nil is unknown
	Followers   []FollowerStatus `json:"followers"`
	BytesIn     int64            `json:"bytes_in"`
	BytesOut    int64            `json:"bytes_out"`
}

// FollowerStatus is the state of a follower as far as its member knows it.
type FollowerStatus struct {
	Name            string   `json:"name"`
	Region          string   `json:"region"`
	Kind            string   `json:"kind"`
	StoredVersion   uint64   `json:"held"`
	AppliedVersion  uint64   `json:"in_force"`
	RejectedVersion uint64   `json:"refused,omitempty"`
	RejectReason    string   `json:"why,omitempty"`
	BehindMs        float64  `json:"behind_ms"`
	StalenessMs     *float64 `json:"age_ms,omitempty"` // upper bound of its copy's staleness; nil is unknown
	LastSeenMs      float64  `json:"seen_ms"`          // time since its last status
}

// FiniteOrNil returns a pointer to x, or nil if x is not finite, which JSON can't represent.
func FiniteOrNil(x float64) *float64 {
	if math.IsInf(x, 0) || math.IsNaN(x) {
		return nil
	}
	return &x
}

// MaxMessageBytes bounds a message, compressed and uncompressed: a document and the JSON before it.
const MaxMessageBytes = controlplane.MaxDocumentBytes + 8<<20

// fragmentBytes is the maximum size of a message fragment. Together with its flag byte it fits in a frame.
const fragmentBytes = 256 << 10

// The flag that is the first byte of a fragment.
const (
	fragmentLast byte = iota
	fragmentMore
)

var errMalformedFragment = errors.New("malformed message fragment")

// EncodeMessage returns a message and the text that follows it as frames: its JSON, a newline and the text, compressed and split into
// fragments.
func EncodeMessage(message any, text []byte) ([][]byte, error) {
	header, err := json.Marshal(message)
	if err != nil {
		return nil, err
	}
	encoder, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithEncoderLevel(zstd.SpeedFastest))
	if err != nil {
		return nil, err
	}
	data := encoder.EncodeAll(append(append(header, '\n'), text...), nil)
	_ = encoder.Close()
	var frames [][]byte
	for len(data) > fragmentBytes {
		frames = append(frames, append([]byte{fragmentMore}, data[:fragmentBytes]...))
		data = data[fragmentBytes:]
	}
	return append(frames, append([]byte{fragmentLast}, data...)), nil
}

// MessageAssembler assembles a message from its frames. The zero value is ready to use.
type MessageAssembler struct{ data []byte }

// AddFrame adds a frame and reports whether it was the last one.
func (a *MessageAssembler) AddFrame(frame []byte) (isLast bool, err error) {
	switch {
	case len(frame) == 0 || frame[0] > fragmentMore:
		return false, errMalformedFragment
	case len(a.data)+len(frame) > MaxMessageBytes:
		return false, fmt.Errorf("message is longer than %d bytes", MaxMessageBytes)
	}
	a.data = append(a.data, frame[1:]...)
	return frame[0] == fragmentLast, nil
}

// Decode decodes the message and returns the text that follows it.
func (a *MessageAssembler) Decode(message any) (text []byte, err error) {
	decoder, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(MaxMessageBytes))
	if err != nil {
		return nil, err
	}
	defer decoder.Close()
	data, err := decoder.DecodeAll(a.data, nil)
	if err != nil {
		return nil, err
	}
	header, text, _ := bytes.Cut(data, []byte("\n"))
	return text, json.Unmarshal(header, message)
}
