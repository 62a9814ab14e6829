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
			Kind:       3,
			Log:        4,
			Generation: 0x5,
			Raft:       []byte{0x7},
			Call: Call{Seq: 0x9,
				Lookup: true,
				Record: Record{Kind: 0xc,
					Key:        "text n",
					Owner:      0xe,
					LeaderTime: 15.5,
					Request: Request{Fingerprint: 0x11,
						Class:          "text s",
						Tenant:         "text t",
						Idempotency:    0x14,
						DedupScope:     0x15,
						DedupWindow:    22.5,
						CostHint:       23.5,
						HasCostHint:    true,
						IsClientRetry:  true,
						Key:            0x1a,
						Deadline:       27.5,
						EncodedMessage: []byte{0x1d}},
					Attempt: Attempt{Number: 31,
						Backend:   "text g",
						Zone:      33,
						Cell:      34,
						StartedAt: 35.5,
						Ended:     true,
						Outcome:   0x25},
					Answer: FinalAnswer{Status: 0x27,
						HTTPStatus: 40,
						Header:     []byte{0x2a},
						Body:       []byte{0x2c},
						Truncated:  true},
					NewOwner: 0x2e,
					Caller:   0x2f,
					CallSeq:  0x30}},
			Reply: CallReply{Seq: 0x32,
				Result: 0x33,
				Answer: FinalAnswer{Status: 0x35,
					HTTPStatus: 54,
					Header:     []byte{0x38},
					Body:       []byte{0x3a},
					Truncated:  true}},
			Heartbeat: Heartbeat{ShuttingDown: true,
				Nonce:        0x3e,
				EchoedNonces: []uint64{0x40},
				Logs: []LogStatus{{Log: 67,
					Generation:      0x44,
					KnownGeneration: 0x45,
					VoterID:         0x46,
					HasReplica:      true,
					IsLeader:        true,
					Term:            0x49,
					Voters:          []uint64{0x4b},
					OutgoingVoters:  []uint64{0x4d},
					Applied:         0x4e,
					Complete:        true}}}},
		"image.bin": &ledgerSnapshot{Entries: []Entry{{Key: "text e",
			Owner: 0x5,
			Request: Request{Fingerprint: 0x7,
				Class:          "text i",
				Tenant:         "text j",
				Idempotency:    0xa,
				DedupScope:     0xb,
				DedupWindow:    12.5,
				CostHint:       13.5,
				HasCostHint:    true,
				IsClientRetry:  true,
				Key:            0x10,
				Deadline:       17.5,
				EncodedMessage: []byte{0x13}},
			Attempts: []Attempt{{Number: 22,
				Backend:   "text x",
				Zone:      24,
				Cell:      25,
				StartedAt: 26.5,
				Ended:     true,
				Outcome:   0x1c}},
			Answer: FinalAnswer{Status: 0x1e,
				HTTPStatus: 31,
				Header:     []byte{0x21},
				Body:       []byte{0x23},
				Truncated:  true},
			AnsweredAt: 37.5,
			Takeovers:  38}}},
		"record.bin": &Record{Kind: 0x2,
			Key:        "text d",
			Owner:      0x4,
			LeaderTime: 5.5,
			Request: Request{Fingerprint: 0x7,
				Class:          "text i",
				Tenant:         "text j",
				Idempotency:    0xa,
				DedupScope:     0xb,
				DedupWindow:    12.5,
				CostHint:       13.5,
				HasCostHint:    true,
				IsClientRetry:  true,
				Key:            0x10,
				Deadline:       17.5,
				EncodedMessage: []byte{0x13}},
			Attempt: Attempt{Number: 21,
				Backend:   "text w",
				Zone:      23,
				Cell:      24,
				StartedAt: 25.5,
				Ended:     true,
				Outcome:   0x1b},
			Answer: FinalAnswer{Status: 0x1d,
				HTTPStatus: 30,
				Header:     []byte{0x20},
				Body:       []byte{0x22},
				Truncated:  true},
			NewOwner: 0x24,
			Caller:   0x25,
			CallSeq:  0x26},
	} {
		t.Run(file, func(t *testing.T) {
			goldentest.Equal(t, file, snapshot.AppendStruct(nil, v))
			data, err := os.ReadFile(filepath.Join("testdata", file))
			require.NoError(t, err)
			read := reflect.New(reflect.TypeOf(v).Elem()).Interface()
			require.NoError(t, snapshot.ReadStruct(data, read))
			require.Equal(t, v, read)
		})
	}
}
