package requestlog

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
		"frame.bin": &Frame{Version: 2,
			Kind: 3,
			Log:  4,
			Gen:  0x5,
			Raft: []byte{0x7},
			Ask: Ask{Seq: 0x9,
				Look: true,
				Record: Record{Kind: 0xc,
					Key:   "text n",
					Owner: 0xe,
					At:    15.5,
					Op: Op{Print: 0x11,
						Category:   "text s",
						Tenant:     "text t",
						Effect:     0x14,
						Group:      0x15,
						Remembered: 22.5,
						Hint:       23.5,
						HasHint:    true,
						Repeat:     true,
						About:      0x1a,
						GiveUp:     27.5,
						Message:    []byte{0x1d}},
					Push: Push{Number: 31,
						Backend: "text g",
						Zone:    33,
						Cell:    34,
						At:      35.5,
						Over:    true,
						Ending:  0x25},
					Outcome: Outcome{Final: 0x27,
						Status:  40,
						Header:  []byte{0x2a},
						Body:    []byte{0x2c},
						NotKept: true},
					To:    0x2e,
					Asker: 0x2f,
					Seq:   0x30}},
			Told: Told{Seq: 0x32,
				Code: 0x33,
				Outcome: Outcome{Final: 0x35,
					Status:  54,
					Header:  []byte{0x38},
					Body:    []byte{0x3a},
					NotKept: true}},
			Beat: Beat{Leaving: true,
				Nonce: 0x3e,
				Echo:  []uint64{0x40},
				Logs: []State{{Slot: 67,
					Gen:    0x44,
					Known:  0x45,
					Seat:   0x46,
					Holds:  true,
					Leads:  true,
					Term:   0x49,
					Voters: []uint64{0x4b},
					Former: []uint64{0x4d},
					At:     0x4e,
					Whole:  true}}}},
		"image.bin": &image{Entries: []Entry{{Key: "text e",
			Owner: 0x5,
			Op: Op{Print: 0x7,
				Category:   "text i",
				Tenant:     "text j",
				Effect:     0xa,
				Group:      0xb,
				Remembered: 12.5,
				Hint:       13.5,
				HasHint:    true,
				Repeat:     true,
				About:      0x10,
				GiveUp:     17.5,
				Message:    []byte{0x13}},
			Pushes: []Push{{Number: 22,
				Backend: "text x",
				Zone:    24,
				Cell:    25,
				At:      26.5,
				Over:    true,
				Ending:  0x1c}},
			Outcome: Outcome{Final: 0x1e,
				Status:  31,
				Header:  []byte{0x21},
				Body:    []byte{0x23},
				NotKept: true},
			Finished: 37.5,
			Heirs:    38}}},
		"record.bin": &Record{Kind: 0x2,
			Key:   "text d",
			Owner: 0x4,
			At:    5.5,
			Op: Op{Print: 0x7,
				Category:   "text i",
				Tenant:     "text j",
				Effect:     0xa,
				Group:      0xb,
				Remembered: 12.5,
				Hint:       13.5,
				HasHint:    true,
				Repeat:     true,
				About:      0x10,
				GiveUp:     17.5,
				Message:    []byte{0x13}},
			Push: Push{Number: 21,
				Backend: "text w",
				Zone:    23,
				Cell:    24,
				At:      25.5,
				Over:    true,
				Ending:  0x1b},
			Outcome: Outcome{Final: 0x1d,
				Status:  30,
				Header:  []byte{0x20},
				Body:    []byte{0x22},
				NotKept: true},
			To:    0x24,
			Asker: 0x25,
			Seq:   0x26},
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
