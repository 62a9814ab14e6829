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

// The methods of an operator's call. They are sent as they are written here.
const (
	MethodStatus = "status" // the member's state, and its followers'
	MethodGet    = "get"    // a version's text; version 0 is the head
	MethodLog    = "log"    // the latest changes
	MethodApply  = "apply"  // of the leader: make the next version
	MethodHead   = "head"   // of the leader: the head's version
)

// The tags of the messages below are what other builds send and read, and what --json prints: they keep the words that were first
// chosen for them, such as "op", "held" and "in_force", where the fields have other names.

// CallRequest is what an operator's command asks of a member. With MethodApply the text of the document follows it.
type CallRequest struct {
	Method  string `json:"op"`
	Version uint64 `json:"version,omitempty"`
	Base    uint64 `json:"base,omitempty"`
	ID      uint64 `json:"id,omitempty"`
	By      string `json:"by,omitempty"`
	Reason  string `json:"reason,omitempty"`
	Limit   int    `json:"most,omitempty"` // changes of MethodLog
}

// CallResponse is what the member answers. With MethodGet the text of the document follows it.
type CallResponse struct {
	Code        controlplane.Code `json:"code"`
	Version     uint64            `json:"version,omitempty"`
	Leader      string            `json:"leader,omitempty"`
	Detail      string            `json:"why,omitempty"`
	StalenessMs *float64          `json:"age_ms,omitempty"` // upper bound of the answer's staleness; none is unknown
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
	ProposedAtMs float64 `json:"at_unix_ms"` // by the clock of the leader that took it
}

// MemberStatus is a member's account of itself and of its followers.
type MemberStatus struct {
	Name        string           `json:"name"`
	Region      string           `json:"region"`
	Voter       bool             `json:"voter"`
	Build       string           `json:"build,omitempty"`
	Leader      string           `json:"leader,omitempty"`  // that it knows of
	Follows     string           `json:"follows,omitempty"` // of a relay: the voter
	Head        uint64           `json:"head"`
	Digest      string           `json:"digest,omitempty"`
	StalenessMs *float64         `json:"age_ms,omitempty"` // upper bound of its copy's staleness; none is unknown
	Followers   []FollowerStatus `json:"followers"`
	BytesIn     int64            `json:"bytes_in"`
	BytesOut    int64            `json:"bytes_out"`
}

// FollowerStatus is what a member knows of a follower.
type FollowerStatus struct {
	Name            string   `json:"name"`
	Region          string   `json:"region"`
	Kind            string   `json:"kind"`
	StoredVersion   uint64   `json:"held"`
	AppliedVersion  uint64   `json:"in_force"`
	RejectedVersion uint64   `json:"refused,omitempty"`
	RejectReason    string   `json:"why,omitempty"`
	BehindMs        float64  `json:"behind_ms"`
	StalenessMs     *float64 `json:"age_ms,omitempty"` // upper bound of its copy's staleness; none is unknown
	LastSeenMs      float64  `json:"seen_ms"`          // since its last status
}

// FiniteOrNil returns a pointer to a number that JSON can represent, or nil.
func FiniteOrNil(x float64) *float64 {
	if math.IsInf(x, 0) || math.IsNaN(x) {
		return nil
	}
	return &x
}

// MaxMessageBytes bounds a message, before and after compression: a document and the JSON before it.
const MaxMessageBytes = controlplane.MaxDocumentBytes + 8<<20

// fragmentBytes is the size of the fragments in which a message is sent. With its flag it fits a frame.
const fragmentBytes = 256 << 10

// The first byte of a fragment.
const (
	fragmentLast byte = iota
	fragmentMore
)

var errMalformedFragment = errors.New("malformed fragment of a message")

// EncodeMessage returns a message, with the text that follows it, as frames: its JSON, a line end and the text, compressed and cut
// into fragments.
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

// MessageAssembler puts a message together from its frames. The zero value is ready for use.
type MessageAssembler struct{ data []byte }

// AddFrame adds a frame, and reports whether it was the last.
func (a *MessageAssembler) AddFrame(frame []byte) (isLast bool, err error) {
	switch {
	case len(frame) == 0 || frame[0] > fragmentMore:
		return false, errMalformedFragment
	case len(a.data)+len(frame) > MaxMessageBytes:
		return false, fmt.Errorf("message of over %d bytes", MaxMessageBytes)
	}
	a.data = append(a.data, frame[1:]...)
	return frame[0] == fragmentLast, nil
}

// Decode decodes the message, and returns the text that follows it.
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
