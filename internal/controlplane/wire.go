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
const MostFrame = 320 << 10

const (
	protocol     = 1       // version of what follows
	mostChange   = 1 << 20 // bytes of a change that goes as a change; a larger one makes followers ask for the whole
	packedFrom   = 1 << 10 // what is smaller goes as it is
	mostImage    = 96 << 20
	mostWords    = 512 // bytes of a reason, and the like
	mostName     = 64
	mostSplices  = 64 << 10
	mostProposal = MostDocument + 1<<20
)

var errFrame = errors.New("odd frame")

// What a frame is.
const (
	frameHello     = iota + 1 // follower: what it holds; the server begins anew from there
	frameStatus               // follower
	frameChange               // server
	frameHeartbeat            // server
	frameBegin                // server: a whole comes, in chunks
	frameChunk                // server
)

// status is what a follower says, first and then again.
type status struct {
	At                     float64 // by its own clock, given back in heartbeats
	Held, InForce, Refused uint64
	Why                    string
	Age                    float64
	Got                    uint64 // bytes of the whole that is coming
	Digest                 []byte // hello only, as what follows
	Region, Kind           string
	Whole                  bool // what it holds is no good to go on from
}

// heartbeat is what a server says each second, once it has heard a status.
type heartbeat struct {
	Head   uint64
	Age    float64 // of what the server has, when it said so
	Echo   float64 // the latest status's At
	Offset float64 // when the server had all that was acknowledged, less when it heard that status, by its clock
	Sent   uint64  // the version up to which this follower was sent all; 0 while a whole is under way
	Whole  uint64  // bytes of it sent
	Digest uint64  // the head's, its beginning
}

type begin struct {
	Version uint64
	Digest  []byte
	Size    uint64 // packed
	Text    uint64
}

type chunk struct {
	At   uint64
	Data []byte
}

// wireSplice has the lines that it puts in as one text, each with its end.
type wireSplice struct {
	At, Delete uint64
	Insert     string
}

type wireChange struct {
	Version    uint64
	ID         uint64
	Digest     []byte
	Splices    []wireSplice
	By, Reason string
	At         float64
}

// entry is a proposal as the voters' log has it; its change's Version is 0.
type entry struct {
	Base   uint64
	Change wireChange
}

// image is a history as a voter's snapshot has it.
type image struct {
	Form    uint64 // of this image
	Version uint64
	Text    string
	Kept    []imageKept
}

type imageKept struct {
	Change wireChange
	Undo   []wireSplice
}

const imageForm = 1

func frame(kind byte, v any) []byte { return snapshot.Append([]byte{protocol, kind}, v) }

// kindOf parts a frame.
func kindOf(data []byte) (kind byte, body []byte, err error) {
	if len(data) < 2 || len(data) > MostFrame {
		return 0, nil, errFrame
	}
	if data[0] != protocol {
		return 0, nil, fmt.Errorf("protocol of version %d, this build has %d", data[0], protocol)
	}
	return data[1], data[2:], nil
}

// readStatus reads a hello's or a status's body.
func readStatus(body []byte) (s status, err error) {
	if err := snapshot.Read(body, &s); err != nil {
		return s, errFrame
	}
	if math.IsNaN(s.At) || math.IsInf(s.At, 0) || math.IsNaN(s.Age) || s.Age < 0 || len(s.Why) > mostWords {
		return s, errFrame
	}
	return s, nil
}

func readHeartbeat(body []byte) (b heartbeat, err error) {
	if snapshot.Read(body, &b) != nil || math.IsNaN(b.Age) || b.Age < 0 || math.IsNaN(b.Echo) || math.IsInf(b.Echo, 0) ||
		math.IsNaN(b.Offset) || math.IsInf(b.Offset, 1) {
		return b, errFrame
	}
	return b, nil
}

func toSplices(all []wireSplice) ([]Splice, error) {
	if len(all) > mostSplices {
		return nil, errSplices
	}
	var out []Splice
	for _, w := range all {
		s := Splice{At: w.At, Delete: w.Delete}
		if w.Insert != "" {
			text, whole := strings.CutSuffix(w.Insert, "\n")
			if !whole {
				return nil, errSplices
			}
			s.Insert = strings.Split(text, "\n")
		}
		out = append(out, s)
	}
	return out, nil
}

func fromSplices(all []Splice) (out []wireSplice) {
	for _, s := range all {
		var b strings.Builder
		for _, l := range s.Insert {
			b.WriteString(l)
			b.WriteByte('\n')
		}
		out = append(out, wireSplice{s.At, s.Delete, b.String()})
	}
	return out
}

func fromChange(c *Change) wireChange {
	return wireChange{c.Version, c.ID, c.Digest[:], fromSplices(c.Splices), c.By, c.Reason, c.At}
}

func (w *wireChange) change() (c Change, err error) {
	if len(w.Digest) != len(c.Digest) || len(w.By) > mostWords || len(w.Reason) > mostWords || math.IsNaN(w.At) || math.IsInf(w.At, 0) {
		return c, errFrame
	}
	c = Change{Version: w.Version, ID: w.ID, Digest: Digest(w.Digest), By: w.By, Reason: w.Reason, At: w.At}
	c.Splices, err = toSplices(w.Splices)
	return c, err
}

// encodeChange is a change as a frame; nil where it is too large for one.
func encodeChange(c *Change) []byte {
	w := fromChange(c)
	body := snapshot.Append(nil, &w)
	if len(body) > mostChange {
		return nil
	}
	f := append([]byte{protocol, frameChange}, pack(body)...)
	if len(f) > MostFrame {
		return nil
	}
	return f
}

func decodeChange(body []byte) (c Change, err error) {
	if body, err = unpack(body, mostChange); err != nil {
		return c, err
	}
	var w wireChange
	if snapshot.Read(body, &w) != nil {
		return c, errFrame
	}
	return w.change()
}

// pack makes a text smaller, where that is worth it: a byte tells which.
func pack(data []byte) []byte {
	if len(data) >= packedFrom {
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
func unpack(data []byte, most int) ([]byte, error) {
	switch {
	case len(data) == 0:
		return nil, errFrame
	case data[0] == 0 && len(data)-1 <= most:
		return data[1:], nil
	case data[0] != 1:
		return nil, errFrame
	}
	var head zstd.Header
	if head.Decode(data[1:]) != nil || !head.HasFCS || head.FrameContentSize > uint64(most) {
		return nil, errFrame
	}
	z, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(uint64(most)), zstd.WithDecoderLowmem(true))
	if err != nil {
		return nil, errFrame
	}
	defer z.Close()
	out, err := z.DecodeAll(data[1:], nil)
	if err != nil || len(out) > most {
		return nil, errFrame
	}
	return out, nil
}
