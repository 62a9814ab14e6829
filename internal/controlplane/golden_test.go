package controlplane

import (
	"testing"

	"pearknot/internal/goldentest"
)

// This build must read and write frames and stored records exactly as in the files, which an earlier build wrote.
func TestEncodingsMatchGoldenFiles(t *testing.T) {
	for file, v := range map[string]any{
		"status.bin": &status{SentAt: 2.5,
			StoredVersion:    0x3,
			AppliedVersion:   0x4,
			RejectedVersion:  0x5,
			RejectReason:     "text g",
			StalenessMs:      7.5,
			SnapshotReceived: 0x8,
			Digest:           []byte{0xa},
			Region:           "text l",
			Kind:             "text m",
			NeedsSnapshot:    true},
		"heartbeat.bin": &heartbeat{HeadVersion: 0x2,
			StalenessMs:      3.5,
			StatusSentAt:     4.5,
			FreshnessOffset:  5.5,
			SentVersion:      0x6,
			SnapshotSent:     0x7,
			HeadDigestPrefix: 0x8},
		"begin.bin": &snapshotBegin{Version: 0x2,
			Digest:    []byte{0x4},
			Size:      0x5,
			TextBytes: 0x6},
		"chunk.bin": &snapshotChunk{Offset: 0x2,
			Data: []byte{0x4}},
		"wirechange.bin": &wireChange{Version: 0x2,
			ID:     0x3,
			Digest: []byte{0x5},
			Splices: []wireSplice{{Line: 0x8,
				Delete: 0x9,
				Insert: "text k"}},
			By:           "text l",
			Reason:       "text m",
			ProposedAtMs: 13.5},
		"entry.bin": &logEntry{Base: 0x2,
			Change: wireChange{Version: 0x4,
				ID:     0x5,
				Digest: []byte{0x7},
				Splices: []wireSplice{{Line: 0xa,
					Delete: 0xb,
					Insert: "text m"}},
				By:           "text n",
				Reason:       "text o",
				ProposedAtMs: 15.5}},
		"image.bin": &historySnapshot{FormatVersion: 0x2,
			Version: 0x3,
			Text:    "text e",
			Changes: []snapshotChange{{Change: wireChange{Version: 0x8,
				ID:     0x9,
				Digest: []byte{0xb},
				Splices: []wireSplice{{Line: 0xe,
					Delete: 0xf,
					Insert: "text q"}},
				By:           "text r",
				Reason:       "text s",
				ProposedAtMs: 19.5},
				Inverse: []wireSplice{{Line: 0x16,
					Delete: 0x17,
					Insert: "text y"}}}}},
	} {
		t.Run(file, func(t *testing.T) { goldentest.Positional(t, file, v) })
	}
}
