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
	OpStatus = "status" // how this member stands, and who follows it
	OpGet    = "get"    // a version's text; 0 is the head
	OpLog    = "log"    // the last changes
	OpApply  = "apply"  // of the leader: the next version
	OpHead   = "head"   // of the leader: the head's version
)

// Call is what an operator asks of a member; a text may follow it.
type Call struct {
	Op      string `json:"op"`
	Version uint64 `json:"version,omitempty"`
	Base    uint64 `json:"base,omitempty"`
	ID      uint64 `json:"id,omitempty"`
	By      string `json:"by,omitempty"`
	Reason  string `json:"reason,omitempty"`
	Most    int    `json:"most,omitempty"`
}

// Answer is what the member says; a text may follow it.
type Answer struct {
	Code    controlplane.Code `json:"code"`
	Version uint64            `json:"version,omitempty"`
	Leader  string            `json:"leader,omitempty"`
	Why     string            `json:"why,omitempty"`
	AgeMs   *float64          `json:"age_ms,omitempty"` // of what it says; none is unknown
	Log     []Entry           `json:"log,omitempty"`
	Status  *MemberStatus     `json:"status,omitempty"`
}

// Entry is a change as the log shows it.
type Entry struct {
	Version uint64  `json:"version"`
	ID      string  `json:"id"`
	Digest  string  `json:"digest"`
	By      string  `json:"by,omitempty"`
	Reason  string  `json:"reason,omitempty"`
	At      float64 `json:"at_unix_ms"` // by the clock of the leader that took it
}

// MemberStatus is a member's word about itself and those that follow it.
type MemberStatus struct {
	Name      string           `json:"name"`
	Region    string           `json:"region"`
	Voter     bool             `json:"voter"`
	Build     string           `json:"build,omitempty"`
	Leader    string           `json:"leader,omitempty"` // that it knows of
	Follows   string           `json:"follows,omitempty"`
	Head      uint64           `json:"head"`
	Digest    string           `json:"digest,omitempty"`
	AgeMs     *float64         `json:"age_ms,omitempty"` // of its copy; none is unknown
	Followers []FollowerStatus `json:"followers"`
	BytesIn   int64            `json:"bytes_in"`
	BytesOut  int64            `json:"bytes_out"`
}

// FollowerStatus is what a member knows of one that follows it.
type FollowerStatus struct {
	Name     string   `json:"name"`
	Region   string   `json:"region"`
	Kind     string   `json:"kind"`
	Held     uint64   `json:"held"`
	InForce  uint64   `json:"in_force"`
	Refused  uint64   `json:"refused,omitempty"`
	Why      string   `json:"why,omitempty"`
	BehindMs float64  `json:"behind_ms"`
	AgeMs    *float64 `json:"age_ms,omitempty"`
	SeenMs   float64  `json:"seen_ms"` // ago
}

// Finite is a number that JSON can have, or none.
func Finite(x float64) *float64 {
	if math.IsInf(x, 0) || math.IsNaN(x) {
		return nil
	}
	return &x
}

const (
	pieceSize   = 256 << 10 // of a message on the link
	MostMessage = controlplane.MostDocument + 8<<20
)

// A piece begins with whether more of its message follow.
const (
	last byte = iota
	more
)

// Pieces cuts a message and the text that follows it into frames.
func Pieces(message any, text []byte) ([][]byte, error) {
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
	for len(data) > pieceSize {
		frames = append(frames, append([]byte{more}, data[:pieceSize]...))
		data = data[pieceSize:]
	}
	return append(frames, append([]byte{last}, data...)), nil
}

// Gathered is a message that comes in pieces.
type Gathered struct{ data []byte }

// Add takes a frame; whole tells that it was the last.
func (g *Gathered) Add(frame []byte) (whole bool, err error) {
	switch {
	case len(frame) == 0 || frame[0] > more:
		return false, errors.New("odd piece of a message")
	case len(g.data)+len(frame) > MostMessage:
		return false, fmt.Errorf("message of over %d bytes", MostMessage)
	}
	g.data = append(g.data, frame[1:]...)
	return frame[0] == last, nil
}

// Read gives the message and its text.
func (g *Gathered) Read(message any) (text []byte, err error) {
	z, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(MostMessage))
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
