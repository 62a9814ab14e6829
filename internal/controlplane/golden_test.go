package controlplane

import (
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"github.com/stretchr/testify/require"

	"pearknot/internal/goldentest"
	"pearknot/internal/snapshot"
)

// An earlier build wrote the files. This one writes the same bytes, and reads each value into its own field: two
// fields that changed places would be noticed, since each has a value of its own.
func TestBinaryForms(t *testing.T) {
	for file, v := range map[string]any{
		"status.bin": &status{At: 2.5,
			Held:    0x3,
			InForce: 0x4,
			Refused: 0x5,
			Why:     "text g",
			Age:     7.5,
			Got:     0x8,
			Digest:  []byte{0xa},
			Region:  "text l",
			Kind:    "text m",
			Whole:   true},
		"heartbeat.bin": &heartbeat{Head: 0x2,
			Age:    3.5,
			Echo:   4.5,
			Offset: 5.5,
			Sent:   0x6,
			Whole:  0x7,
			Digest: 0x8},
		"begin.bin": &begin{Version: 0x2,
			Digest: []byte{0x4},
			Size:   0x5,
			Text:   0x6},
		"chunk.bin": &chunk{At: 0x2,
			Data: []byte{0x4}},
		"wirechange.bin": &wireChange{Version: 0x2,
			ID:     0x3,
			Digest: []byte{0x5},
			Splices: []wireSplice{{At: 0x8,
				Delete: 0x9,
				Insert: "text k"}},
			By:     "text l",
			Reason: "text m",
			At:     13.5},
		"entry.bin": &entry{Base: 0x2,
			Change: wireChange{Version: 0x4,
				ID:     0x5,
				Digest: []byte{0x7},
				Splices: []wireSplice{{At: 0xa,
					Delete: 0xb,
					Insert: "text m"}},
				By:     "text n",
				Reason: "text o",
				At:     15.5}},
		"image.bin": &image{Form: 0x2,
			Version: 0x3,
			Text:    "text e",
			Kept: []imageKept{{Change: wireChange{Version: 0x8,
				ID:     0x9,
				Digest: []byte{0xb},
				Splices: []wireSplice{{At: 0xe,
					Delete: 0xf,
					Insert: "text q"}},
				By:     "text r",
				Reason: "text s",
				At:     19.5},
				Undo: []wireSplice{{At: 0x16,
					Delete: 0x17,
					Insert: "text y"}}}}},
	} {
		t.Run(file, func(t *testing.T) {
			goldentest.Equal(t, file, snapshot.Append(nil, v))
			data, err := os.ReadFile(filepath.Join("testdata", file))
			require.NoError(t, err)
			read := reflect.New(reflect.TypeOf(v).Elem()).Interface()
			require.NoError(t, snapshot.Read(data, read))
			require.Equal(t, v, read)
		})
	}
}
