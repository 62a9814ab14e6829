package controlplane

import (
	"errors"
	"fmt"
	"math"
	"strings"

	"github.com/klauspost/compress/zstd"

	"pearknot/internal/snapshot"
)

// MostFrame bounds the bytes of a frame, either way.
const MaxFrameBytes = 320 << 10

const (
	protocolVersion    = 1       // version of what follows
	maxChangeBytes     = 1 << 20 // bytes of a change that goes as a change; a larger one makes followers ask for the whole
	minCompressedBytes = 1 << 10 // what is smaller goes as it is
	maxSnapshotBytes   = 96 << 20
	maxReasonBytes     = 512 // bytes of a reason, and the like
	maxNameBytes       = 64
	maxSplices         = 64 << 10
	maxProposalBytes   = MaxDocumentBytes + 1<<20
)

var errMalformedFrame = errors.New("odd frame")

// What a frame is.
const (
	frameHello         = iota + 1 // follower: what it holds; the server begins anew from there
	frameStatus                   // follower
	frameChange                   // server
	frameHeartbeat                // server
	frameSnapshotBegin            // server: a whole comes, in chunks
	frameSnapshotChunk            // server
)

// status is what a follower says, first and then again.
type status struct {
	SentAt                                         float64 // by its own clock, given back in heartbeats
	StoredVersion, AppliedVersion, RejectedVersion uint64
	RejectReason                                   string
	StalenessMs                                    float64
	SnapshotReceived                               uint64 // bytes of the whole that is coming
	Digest                                         []byte // hello only, as what follows
	Region, Kind                                   string
	NeedsSnapshot                                  bool // what it holds is no good to go on from
}

// heartbeat is what a server says each second, once it has heard a status.
type heartbeat struct {
	HeadVersion      uint64
	StalenessMs      float64 // of what the server has, when it said so
	StatusSentAt     float64 // the latest status's At
	FreshnessOffset  float64 // when the server had all that was acknowledged, less when it heard that status, by its clock
	SentVersion      uint64  // the version up to which this follower was sent all; 0 while a whole is under way
	SnapshotSent     uint64  // bytes of it sent
	HeadDigestPrefix uint64  // the head's, its beginning
}

type snapshotBegin struct {
	Version   uint64
	Digest    []byte
	Size      uint64 // packed
	TextBytes uint64
}

type snapshotChunk struct {
	Offset uint64
	Data   []byte
}

// wireSplice has the lines that it puts in as one text, each with its end.
type wireSplice struct {
	Line, Delete uint64
	Insert       string
}

type wireChange struct {
	Version      uint64
	ID           uint64
	Digest       []byte
	Splices      []wireSplice
	By, Reason   string
	ProposedAtMs float64
}

// entry is a proposal as the voters' log has it; its change's Version is 0.
type logEntry struct {
	Base   uint64
	Change wireChange
}

// image is a history as a voter's snapshot has it.
type historySnapshot struct {
	FormatVersion uint64 // of this image
	Version       uint64
	Text          string
	Changes       []snapshotChange
}

type snapshotChange struct {
	Change  wireChange
	Inverse []wireSplice
}

const historySnapshotFormat = 1

func encodeFrame(kind byte, v any) []byte { return snapshot.Append([]byte{protocolVersion, kind}, v) }

// kindOf parts a frame.
func parseFrame(data []byte) (kind byte, body []byte, err error) {
	if len(data) < 2 || len(data) > MaxFrameBytes {
		return 0, nil, errMalformedFrame
	}
	if data[0] != protocolVersion {
		return 0, nil, fmt.Errorf("protocol of version %d, this build has %d", data[0], protocolVersion)
	}
	return data[1], data[2:], nil
}

// readStatus reads a hello's or a status's body.
func decodeStatus(body []byte) (s status, err error) {
	if err := snapshot.Read(body, &s); err != nil {
		return s, errMalformedFrame
	}
	if math.IsNaN(s.SentAt) || math.IsInf(s.SentAt, 0) || math.IsNaN(s.StalenessMs) || s.StalenessMs < 0 || len(s.RejectReason) > maxReasonBytes {
		return s, errMalformedFrame
	}
	return s, nil
}

func decodeHeartbeat(body []byte) (b heartbeat, err error) {
	if snapshot.Read(body, &b) != nil || math.IsNaN(b.StalenessMs) || b.StalenessMs < 0 || math.IsNaN(b.StatusSentAt) || math.IsInf(b.StatusSentAt, 0) ||
		math.IsNaN(b.FreshnessOffset) || math.IsInf(b.FreshnessOffset, 1) {
		return b, errMalformedFrame
	}
	return b, nil
}

func decodeSplices(all []wireSplice) ([]Splice, error) {
	if len(all) > maxSplices {
		return nil, errInvalidSplices
	}
	var out []Splice
	for _, w := range all {
		s := Splice{Line: w.Line, Delete: w.Delete}
		if w.Insert != "" {
			text, whole := strings.CutSuffix(w.Insert, "\n")
			if !whole {
				return nil, errInvalidSplices
			}
			s.Insert = strings.Split(text, "\n")
		}
		out = append(out, s)
	}
	return out, nil
}

func encodeSplices(all []Splice) (out []wireSplice) {
	for _, s := range all {
		var b strings.Builder
		for _, l := range s.Insert {
			b.WriteString(l)
			b.WriteByte('\n')
		}
		out = append(out, wireSplice{s.Line, s.Delete, b.String()})
	}
	return out
}

func newWireChange(c *Change) wireChange {
	return wireChange{c.Version, c.ID, c.Digest[:], encodeSplices(c.Splices), c.By, c.Reason, c.ProposedAtMs}
}

func (w *wireChange) decode() (c Change, err error) {
	if len(w.Digest) != len(c.Digest) || len(w.By) > maxReasonBytes || len(w.Reason) > maxReasonBytes || math.IsNaN(w.ProposedAtMs) || math.IsInf(w.ProposedAtMs, 0) {
		return c, errMalformedFrame
	}
	c = Change{Version: w.Version, ID: w.ID, Digest: Digest(w.Digest), By: w.By, Reason: w.Reason, ProposedAtMs: w.ProposedAtMs}
	c.Splices, err = decodeSplices(w.Splices)
	return c, err
}

// encodeChange is a change as a frame; nil where it is too large for one.
func encodeChange(c *Change) []byte {
	w := newWireChange(c)
	body := snapshot.Append(nil, &w)
	if len(body) > maxChangeBytes {
		return nil
	}
	f := append([]byte{protocolVersion, frameChange}, compress(body)...)
	if len(f) > MaxFrameBytes {
		return nil
	}
	return f
}

func decodeChange(body []byte) (c Change, err error) {
	if body, err = decompress(body, maxChangeBytes); err != nil {
		return c, err
	}
	var w wireChange
	if snapshot.Read(body, &w) != nil {
		return c, errMalformedFrame
	}
	return w.decode()
}

// pack makes a text smaller, where that is worth it: a byte tells which.
func compress(data []byte) []byte {
	if len(data) >= minCompressedBytes {
		z, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true), zstd.WithAllLitEntropyCompression(true))
		if err == nil {
			if small := z.EncodeAll(data, []byte{1}); len(small) < len(data) {
				return small
			}
		}
	}
	return append([]byte{0}, data...)
}

// unpack gives back what was packed; what says that it is larger than most is refused before it gets any room.
func decompress(data []byte, most int) ([]byte, error) {
	switch {
	case len(data) == 0:
		return nil, errMalformedFrame
	case data[0] == 0 && len(data)-1 <= most:
		return data[1:], nil
	case data[0] != 1:
		return nil, errMalformedFrame
	}
	var head zstd.Header
	if head.Decode(data[1:]) != nil || !head.HasFCS || head.FrameContentSize > uint64(most) {
		return nil, errMalformedFrame
	}
	z, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(uint64(most)), zstd.WithDecoderLowmem(true))
	if err != nil {
		return nil, errMalformedFrame
	}
	defer z.Close()
	out, err := z.DecodeAll(data[1:], nil)
	if err != nil || len(out) > most {
		return nil, errMalformedFrame
	}
	return out, nil
}
