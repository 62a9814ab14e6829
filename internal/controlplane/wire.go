package controlplane

import (
	"errors"
	"fmt"
	"math"
	"strings"

	"pearknot/internal/snapshot"
)

// MaxFrameBytes bounds a frame, in either direction.
const MaxFrameBytes = 320 << 10

// Limits of the content of a frame, a raft log entry or a raft snapshot. Data from another process is checked against them before
// memory is allocated for it.
const (
	maxChangeBytes    = 1 << 20  // size of a change before compression; followers get a larger one as a snapshot
	maxSnapshotBytes  = 96 << 20 // size of a history snapshot before compression: a document, the changes and their inverses
	maxProposalBytes  = MaxDocumentBytes + 1<<20
	maxReasonBytes    = 512 // length of an author, a reason or a reject reason
	compressionMargin = 512 // accepted beyond the document's size: what compression doesn't shorten is sent plain after one byte
	maxNameBytes      = 64  // length of a region's name
	maxSplices        = 64 << 10
)

// protocolVersion is the version of the frames.
const protocolVersion = 1

// historySnapshotFormat is the version of historySnapshot.
const historySnapshotFormat = 1

var errMalformedFrame = errors.New("malformed frame")

// The kinds of frames: the second byte of each, after the protocol version.
const (
	frameHello         = iota + 1 // from a follower: status, asks the server to start again from StoredVersion
	frameStatus                   // from a follower: status
	frameChange                   // from a server: compressed wireChange
	frameHeartbeat                // from a server: heartbeat
	frameSnapshotBegin            // from a server: snapshotBegin, followed by the document in chunks
	frameSnapshotChunk            // from a server: snapshotChunk
)

// The structs below are encoded by the order and the types of their fields, not by their names (package snapshot). Fields may be
// renamed, and new ones added at the end; never reorder or remove one, or change its type.

// status holds a follower's report. It is sent in the hello, and then each statusIntervalMs.
type status struct {
	SentAt           float64 // by the follower's clock; heartbeats return it
	StoredVersion    uint64
	AppliedVersion   uint64
	RejectedVersion  uint64
	RejectReason     string
	StalenessMs      float64
	SnapshotReceived uint64 // bytes received of the current snapshot
	Digest           []byte // of StoredVersion; this and the fields below are set in a hello only
	Region, Kind     string
	NeedsSnapshot    bool // changes can't be applied to the stored copy: a digest differed
}

// heartbeat is sent by a server each HeartbeatIntervalMs, once it has received a status.
type heartbeat struct {
	HeadVersion      uint64
	StalenessMs      float64 // of the server's copy, at the time of sending
	StatusSentAt     float64 // SentAt of the latest status
	FreshnessOffset  float64 // ms from the receipt of that status to when the server's copy was known to be complete; by the server's clock
	SentVersion      uint64  // all changes up to it were sent on this connection; 0 while a snapshot is being sent
	SnapshotSent     uint64  // bytes of the snapshot sent
	HeadDigestPrefix uint64
}

// snapshotBegin announces a document that follows in chunks.
type snapshotBegin struct {
	Version   uint64
	Digest    []byte
	Size      uint64 // bytes, compressed
	TextBytes uint64
}

// snapshotChunk is a part of a compressed document.
type snapshotChunk struct {
	Offset uint64
	Data   []byte
}

// wireSplice is the encoded form of a Splice, with the inserted lines as one text in which each line has its line end.
type wireSplice struct {
	Line, Delete uint64
	Insert       string
}

// wireChange is the encoded form of a Change.
type wireChange struct {
	Version      uint64
	ID           uint64
	Digest       []byte
	Splices      []wireSplice
	By, Reason   string
	ProposedAtMs float64
}

// logEntry is the encoded form of a proposal in the raft log. The change's Version is 0, because it is known only once the entry is
// applied.
type logEntry struct {
	Base   uint64
	Change wireChange
}

// historySnapshot is the encoded form of a History in a raft snapshot.
type historySnapshot struct {
	FormatVersion uint64
	Version       uint64
	Text          string
	Changes       []snapshotChange
}

type snapshotChange struct {
	Change  wireChange
	Inverse []wireSplice
}

func encodeFrame(kind byte, message any) []byte {
	return snapshot.AppendStruct([]byte{protocolVersion, kind}, message)
}

// parseFrame splits a frame into its kind and its body.
func parseFrame(data []byte) (kind byte, body []byte, err error) {
	if len(data) < 2 || len(data) > MaxFrameBytes {
		return 0, nil, errMalformedFrame
	}
	if data[0] != protocolVersion {
		return 0, nil, fmt.Errorf("unsupported protocol version %d, this build supports %d", data[0], protocolVersion)
	}
	return data[1], data[2:], nil
}

// decodeStatus decodes the body of a hello or a status.
func decodeStatus(body []byte) (status, error) {
	var s status
	if snapshot.ReadStruct(body, &s) != nil {
		return s, errMalformedFrame
	}
	if !isFinite(s.SentAt) || math.IsNaN(s.StalenessMs) || s.StalenessMs < 0 || len(s.RejectReason) > maxReasonBytes {
		return s, errMalformedFrame
	}
	return s, nil
}

func decodeHeartbeat(body []byte) (heartbeat, error) {
	var h heartbeat
	if snapshot.ReadStruct(body, &h) != nil {
		return h, errMalformedFrame
	}
	// The offset is minus infinity, and the staleness infinite, if the server doesn't know how old its copy is.
	if math.IsNaN(h.StalenessMs) || h.StalenessMs < 0 || !isFinite(h.StatusSentAt) ||
		math.IsNaN(h.FreshnessOffset) || math.IsInf(h.FreshnessOffset, 1) {
		return h, errMalformedFrame
	}
	return h, nil
}

func isFinite(x float64) bool { return !math.IsNaN(x) && !math.IsInf(x, 0) }

func decodeSplices(encoded []wireSplice) ([]Splice, error) {
	if len(encoded) > maxSplices {
		return nil, errInvalidSplices
	}
	var splices []Splice
	for _, w := range encoded {
		s := Splice{Line: w.Line, Delete: w.Delete}
		if w.Insert != "" {
			text, terminated := strings.CutSuffix(w.Insert, "\n")
			if !terminated {
				return nil, errInvalidSplices
			}
			s.Insert = strings.Split(text, "\n")
		}
		splices = append(splices, s)
	}
	return splices, nil
}

func encodeSplices(splices []Splice) []wireSplice {
	var encoded []wireSplice
	for _, s := range splices {
		var text strings.Builder
		for _, line := range s.Insert {
			text.WriteString(line)
			text.WriteByte('\n')
		}
		encoded = append(encoded, wireSplice{s.Line, s.Delete, text.String()})
	}
	return encoded
}

func newWireChange(c *Change) wireChange {
	return wireChange{
		Version:      c.Version,
		ID:           c.ID,
		Digest:       c.Digest[:],
		Splices:      encodeSplices(c.Splices),
		By:           c.By,
		Reason:       c.Reason,
		ProposedAtMs: c.ProposedAtMs,
	}
}

func (w *wireChange) decode() (Change, error) {
	if len(w.Digest) != len(Digest{}) || len(w.By) > maxReasonBytes || len(w.Reason) > maxReasonBytes || !isFinite(w.ProposedAtMs) {
		return Change{}, errMalformedFrame
	}
	splices, err := decodeSplices(w.Splices)
	return Change{
		Version:      w.Version,
		ID:           w.ID,
		Digest:       Digest(w.Digest),
		Splices:      splices,
		By:           w.By,
		Reason:       w.Reason,
		ProposedAtMs: w.ProposedAtMs,
	}, err
}

// encodeChange returns a change as a frame, or nil if it is too large for one.
func encodeChange(c *Change) []byte {
	w := newWireChange(c)
	body := snapshot.AppendStruct(nil, &w)
	if len(body) > maxChangeBytes {
		return nil
	}
	frame := append([]byte{protocolVersion, frameChange}, compress(body)...)
	if len(frame) > MaxFrameBytes {
		return nil
	}
	return frame
}

// decodeChange decodes the body of a change's frame.
func decodeChange(body []byte) (Change, error) {
	body, err := decompress(body, maxChangeBytes)
	if err != nil {
		return Change{}, err
	}
	var w wireChange
	if snapshot.ReadStruct(body, &w) != nil {
		return Change{}, errMalformedFrame
	}
	return w.decode()
}
