package capture

import (
	"bytes"
	"math"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/encoding/protowire"
	"pgregory.net/rapid"

	"pearknot/balancer"
)

// A segment that is truncated at any byte is read up to its last complete record, and what was read can be
// replayed. A segment with a flipped bit is never read without an error.
func TestReadTruncatedAtEveryByte(t *testing.T) {
	writer, config := newTestWriter(t, func(config *WriterConfig) { config.SegmentMB, config.BlockKB = 100, 4 })
	captureExperiment(t, "hung", 2, 0, Options{Sink: writer.Put})
	writer.Close()
	files, err := Segments(config.Dir)
	require.NoError(t, err)
	require.Len(t, files, 1)
	data, err := os.ReadFile(files[0])
	require.NoError(t, err)
	last := 0
	for offset := range len(data) + 1 { // up to all of it: on a busy machine all records may be in one block
		var records []Record
		err := ReadFrom("x", bytes.NewReader(data[:offset]), appendTo(&records))
		var truncated *TruncatedError
		if err != nil {
			require.ErrorAs(t, err, &truncated, "at %d", offset)
		}
		require.GreaterOrEqual(t, len(records), last, "at %d", offset)
		last = len(records)
		if offset%50 == 0 {
			_, err = replayRecords(records)
			require.NoError(t, err)
		}
	}
	assert.Greater(t, last, 50)
	for offset := 0; offset < len(data); offset += 3 { // one bit flipped
		flipped := bytes.Clone(data)
		flipped[offset] ^= 4
		var records []Record
		if err := ReadFrom("x", bytes.NewReader(flipped), appendTo(&records)); err == nil {
			t.Fatalf("byte %d flipped and nothing found", offset)
		}
		_, err = replayRecords(records)
		require.NoError(t, err, "what came before the damage can be replayed")
	}
}

// A record is the same after encoding and decoding, also with a field that the decoder does not know.
func TestRecordsRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		record := Record{
			Kind:     Kind(rapid.IntRange(1, 15).Draw(t, "kind")),
			Now:      rapid.Float64Range(0, 1e13).Draw(t, "now"),
			Request:  rapid.Uint64().Draw(t, "request"),
			ID:       rapid.Uint64().Draw(t, "ID"),
			Attempt:  rapid.IntRange(0, 200).Draw(t, "attempt"),
			Value:    rapid.Float64().Draw(t, "value"),
			CostHint: rapid.Float64().Draw(t, "cost hint"),
			Deadline: rapid.Float64().Draw(t, "deadline"),
			Flags:    rapid.Uint64().Draw(t, "flags"),
			Class:    rapid.IntRange(0, 300).Draw(t, "class"),
		}
		for range rapid.IntRange(0, 3).Draw(t, "endpoints") {
			record.Endpoints = append(record.Endpoints, Endpoint{
				Backend: rapid.Uint64().Draw(t, "backend"),
				State:   balancer.BackendState(rapid.IntRange(0, 2).Draw(t, "state")),
				Zone:    rapid.IntRange(0, 9).Draw(t, "zone"),
				Weight:  rapid.Float64().Draw(t, "weight"),
				Started: rapid.Float64().Draw(t, "started"),
			})
		}
		encoded := record.Append(nil)
		decoded, err := Decode(append(encoded, 0xfa, 0x7f, 2, 1, 2)) // and a field that is not known
		if err != nil {
			t.Fatal(err)
		}
		if !bytes.Equal(decoded.Append(nil), encoded) {
			t.Fatalf("%+v became %+v", record, decoded)
		}
	})
}

// Reading arbitrary bytes does not panic.
func FuzzReader(f *testing.F) {
	var data bytes.Buffer
	record := Record{Kind: TimerFired, Now: 3}
	data.WriteString(segmentMagic + "\x02")
	f.Add(data.Bytes())
	f.Add(append(data.Bytes(), Frame(record)...))
	f.Fuzz(func(_ *testing.T, data []byte) {
		replayer := &Replayer{}
		_ = ReadFrom("x", bytes.NewReader(data), replayer.Feed)
		if record, err := Decode(data); err == nil {
			_ = record.String()
		}
	})
}

// Files that are not captures of this version are rejected with the reason, as is a directory without captures.
func TestReadRejectsInvalidFiles(t *testing.T) {
	for text, want := range map[string]string{
		"":                    "incomplete header",
		"nonsense and more":   "not a capture",
		segmentMagic + "\x63": "version 99, this program reads 2",
	} {
		err := ReadFrom("f", bytes.NewReader([]byte(text)), func(Record) error { return nil })
		assert.ErrorContains(t, err, want)
	}
	_, err := Segments(t.TempDir())
	assert.ErrorContains(t, err, "no captures")
	assert.Equal(t, "000000000001234-000007-a_b"+segmentSuffix, filepath.Base(SegmentName("a/b", 1234, 7)))
}

// A load report keeps values that were not reported apart from the zeros of an idle backend. Earlier builds stored
// the service time alone.
func TestLoadReportsRoundTrip(t *testing.T) {
	for _, load := range []balancer.LoadReport{
		{ServiceTime: 3, InFlight: balancer.NotReported, Queued: balancer.NotReported, Throughput: 7},
		{ServiceTime: balancer.NotReported, InFlight: 0, Queued: 0},
	} {
		record := Record{Kind: LoadReported, Now: 1, Backend: 2, Load: load}
		decoded, err := Decode(record.Append(nil))
		require.NoError(t, err)
		assert.Equal(t, record, decoded)
	}
	old := protowire.AppendVarint(protowire.AppendTag(nil, fieldKind, protowire.VarintType), uint64(LoadReported))
	old = protowire.AppendFixed64(protowire.AppendTag(old, fieldValue, protowire.Fixed64Type), math.Float64bits(31.5))
	decoded, err := Decode(old)
	require.NoError(t, err)
	want := balancer.LoadReport{
		ServiceTime: 31.5,
		InFlight:    balancer.NotReported,
		Queued:      balancer.NotReported,
		Throughput:  balancer.NotReported,
	}
	assert.Equal(t, want, decoded.Load)
}
