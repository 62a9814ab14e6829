package controlplane

import (
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// A history retains a limited number of changes and bytes. Each retained version can be restored, also from a snapshot.
func TestHistoryBounds(t *testing.T) {
	h := newHistory(0, emptyDocument(), 20)
	var digests []Digest
	for n := range 50 {
		growHistory(t, h, 30, uint64(n+1))
		_, doc := h.Head()
		digests = append(digests, doc.Digest())
	}
	require.Len(t, h.changes, 20)
	require.Len(t, h.versionByProposal, 20)
	for version := uint64(0); version <= 51; version++ {
		doc, isRestored := h.DocumentAt(version)
		changes, hasChanges := h.ChangesSince(version)
		require.Equal(t, version >= 30 && version <= 50, isRestored, "%d", version)
		require.Equal(t, isRestored, hasChanges)
		if isRestored {
			require.Equal(t, digests[version-1], doc.Digest())
			require.Len(t, changes, int(50-version))
		}
	}
	decoded, err := decodeHistorySnapshot(h.encodeSnapshot(), 20)
	require.NoError(t, err)
	require.Equal(t, h, decoded)
	shorter, err := decodeHistorySnapshot(h.encodeSnapshot(), 5)
	require.NoError(t, err)
	require.Len(t, shorter.changes, 5)
	require.Len(t, h.RecentChanges(3), 3)
	require.EqualValues(t, 50, h.RecentChanges(3)[0].Version)
	// The oldest changes are dropped for their size too.
	big := newHistory(0, emptyDocument(), defaultRetainedChanges)
	for n := range 30 {
		_, doc := big.Head()
		longLine := strings.Repeat(string(rune('a'+n%26)), 1<<20)
		appendSplices(t, big, Splice{Delete: uint64(doc.LineCount()), Insert: []string{longLine}})
	}
	require.EqualValues(t, 30, big.headVersion)
	require.LessOrEqual(t, big.retainedBytes, maxRetainedBytes)
	require.Greater(t, len(big.changes), 5)
}

// A snapshot that is truncated or has some bytes altered is rejected, or decoded as a history that can be used.
func TestMalformedHistorySnapshots(t *testing.T) {
	h := newHistory(0, emptyDocument(), 20)
	growHistory(t, h, 30, 25)
	encoded, err := decompress(h.encodeSnapshot(), maxSnapshotBytes)
	require.NoError(t, err)
	rapid.Check(t, func(rt *rapid.T) {
		data := slices.Clone(encoded)
		for range rapid.IntRange(1, 4).Draw(rt, "flips") {
			data[rapid.IntRange(0, len(data)-1).Draw(rt, "at")] ^= byte(rapid.IntRange(1, 255).Draw(rt, "bits"))
		}
		data = data[:rapid.IntRange(len(data)/2, len(data)).Draw(rt, "end")]
		damaged, err := decodeHistorySnapshot(compress(data), 20)
		if err != nil {
			return
		}
		for version := range damaged.headVersion + 1 {
			_, _ = damaged.DocumentAt(version)
		}
		_ = damaged.encodeSnapshot()
	})
}
