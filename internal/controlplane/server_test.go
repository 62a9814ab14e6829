package controlplane

import (
	"math"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Followers get the head as a snapshot and then each change, and report the applied version.
func TestFollowersApplyServedVersions(t *testing.T) {
	fleet := newTestFleet(t, 3)
	growHistory(t, fleet.history, 100, 1)
	fleet.advance(1000)
	for i := range fleet.followers {
		fleet.requireInSync(i)
		require.Len(t, fleet.updates[i], 1)
	}
	growHistory(t, fleet.history, 100, 5)
	fleet.advance(TickIntervalMs)
	for i := range fleet.followers {
		fleet.requireInSync(i)
		require.Len(t, fleet.updates[i], 2, "versions that arrive together are one update")
		require.Len(t, fleet.updates[i][1].Changes, 4)
	}
	fleet.advance(3000)
	state := fleet.followers[0].State(fleet.now)
	require.Less(t, state.StalenessMs, 2100.0, "statuses are sent each 2 s, and heartbeats return their time")
	require.Equal(t, "m", state.Member)
	leases := fleet.server.Leases(fleet.now)
	require.Len(t, leases, 3)
	require.Equal(t, Lease{Name: "n0", Region: "r", Kind: KindNode, StoredVersion: 5, AppliedVersion: 5, StalenessMs: leases[0].StalenessMs, LastSeenAt: leases[0].LastSeenAt}, leases[0])
}

// A node can't apply a version. Its lease contains the version, the reason, and the time for which the node has been behind.
func TestRejectedVersionIsReported(t *testing.T) {
	fleet := newTestFleet(t, 1)
	growHistory(t, fleet.history, 10, 2)
	fleet.advance(1000)
	growHistory(t, fleet.history, 10, 3)
	fleet.advance(TickIntervalMs)
	arrivedAt := fleet.now
	f := fleet.followers[0]
	f.VersionApplied(fleet.now, 2)
	f.VersionRejected(fleet.now, 3, "class b is gone")
	fleet.advance(1000)
	lease := fleet.server.Leases(fleet.now)[0]
	require.Equal(t, []uint64{3, 2, 3}, []uint64{lease.StoredVersion, lease.AppliedVersion, lease.RejectedVersion})
	require.Equal(t, "class b is gone", lease.RejectReason)
	require.InDelta(t, fleet.now-arrivedAt, lease.BehindMs, TickIntervalMs)
	growHistory(t, fleet.history, 10, 4)
	fleet.advance(1000)
	lease = fleet.server.Leases(fleet.now)[0]
	require.Equal(t, Lease{Name: "n0", Region: "r", Kind: KindNode, StoredVersion: 4, AppliedVersion: 4, StalenessMs: lease.StalenessMs, LastSeenAt: lease.LastSeenAt}, lease)
	fleet.followers[0].Tick(fleet.now + heartbeatTimeoutMs + 1)
	require.Empty(t, fleet.server.Leases(fleet.now+LeaseDurationMs+1), "a lease ends with the statuses")
}

// A follower sends no status for longer than its lease, on a connection that stays up, and then sends one again. Only the hello contains
// the region and the kind, and the new lease must have them too.
func TestExpiredLeaseIsRenewed(t *testing.T) {
	fleet := newTestFleet(t, 1)
	growHistory(t, fleet.history, 10, 2)
	fleet.advance(1000)
	fleet.server.Tick(fleet.now + LeaseDurationMs + 1)
	require.Empty(t, fleet.server.leases)
	fleet.advance(2500)
	lease := fleet.server.Leases(fleet.now)[0]
	require.Equal(t, Lease{Name: "n0", Region: "r", Kind: KindNode, StoredVersion: 2, AppliedVersion: 2, StalenessMs: lease.StalenessMs, LastSeenAt: lease.LastSeenAt}, lease)
}

// A follower starts with a stored copy. It gets the changes since, or a snapshot if they are no longer retained or if the copy is from
// another history.
func TestCatchUpFromStoredCopy(t *testing.T) {
	for name, c := range map[string]struct {
		from         uint64
		otherHistory bool
		wantChanges  bool
	}{
		"a little behind":             {from: 195, wantChanges: true},
		"up to date":                  {from: 200, wantChanges: true},
		"older than what is retained": {from: 90},
		"nothing stored":              {from: 0},
		"another history":             {from: 195, otherHistory: true},
	} {
		t.Run(name, func(t *testing.T) {
			fleet := newTestFleet(t, 0)
			fleet.history = newHistory(0, emptyDocument(), 100)
			growHistory(t, fleet.history, 100, c.from)
			version, doc := fleet.history.Head()
			growHistory(t, fleet.history, 100, 200)
			if c.otherHistory {
				doc = mustParse(t, `{"a":1}`)
			}
			fleet.addFollower(testFollowerConfig("n0"), VersionedDocument{version, doc})
			fleet.followers[0].VersionApplied(fleet.now, version)
			fleet.advance(1500)
			fleet.requireInSync(0)
			if c.from < 200 {
				require.Equal(t, c.wantChanges, fleet.updates[0][0].Changes != nil)
			}
		})
	}
}

// Frames are lost, repeated, reordered or altered on the way. A follower detects it, never applies a document that is not in the
// history, and gets every version that is the head for long enough.
func TestTamperedFrames(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		fleet := newTestFleet(t, 2)
		fleet.history = newHistory(0, emptyDocument(), 20)
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 0))
		var delayed [2][]byte
		fleet.tamper = func(follower int, frame []byte) (arriving [][]byte) {
			arriving = [][]byte{frame}
			switch rng.IntN(12) {
			case 0:
				arriving = nil
			case 1:
				arriving = append(arriving, frame)
			case 2:
				delayed[follower], arriving = frame, nil
			case 3:
				if len(frame) > 80 {
					altered := append([]byte(nil), frame...)
					altered[60+rng.IntN(len(frame)-60)] ^= 1 << rng.IntN(8)
					arriving = [][]byte{altered}
				}
			}
			if delayed[follower] != nil && len(arriving) > 0 {
				arriving, delayed[follower] = append(arriving, delayed[follower]), nil
			}
			return arriving
		}
		for n := range 30 {
			growHistory(t, fleet.history, 50, uint64(n+1))
			fleet.advance(float64(rng.IntN(400)))
			for i := range fleet.followers {
				lastVersion := uint64(0)
				for _, update := range fleet.updates[i] {
					if update.Version <= lastVersion {
						rt.Fatalf("version %d after %d", update.Version, lastVersion)
					}
					lastVersion = update.Version
					if want, ok := fleet.history.digestAt(update.Version); ok && want != update.Document.Digest() {
						rt.Fatalf("version %d differs", update.Version)
					}
				}
			}
		}
		fleet.tamper = nil
		fleet.advance(8000)
		fleet.requireInSync(0)
		fleet.requireInSync(1)
	})
}

// Forty followers need a snapshot at the same time. The rates to each follower and to all together stay within their limits, and the
// snapshots don't delay the changes to a follower that is up to date.
func TestSnapshotsAreRateLimited(t *testing.T) {
	fleet := newTestFleet(t, 40)
	fleet.history = newHistory(0, emptyDocument(), 10)
	appendSplices(t, fleet.history, Splice{Insert: incompressibleLines(9000)})
	head, doc := fleet.history.Head()
	size := len(compress(doc.Text()))
	t.Logf("the document is %d bytes, %d compressed", len(doc.Text()), size)
	upToDate := fleet.addFollower(testFollowerConfig("n40"), VersionedDocument{head, doc})
	fleet.advance(300)
	before := append([]int(nil), fleet.bytesToFollower...)
	for range 10 {
		appendSplices(t, fleet.history, Splice{Line: fleet.history.headVersion, Delete: 1, Insert: incompressibleLines(1)})
		fleet.advance(100)
		require.Equal(t, fleet.history.headVersion, fleet.followers[upToDate].State(fleet.now).StoredVersion, "a change is not delayed by snapshots")
	}
	total := 0
	for i := range 40 {
		got := fleet.bytesToFollower[i] - before[i]
		require.LessOrEqual(t, got, int(1000*followerBytesPerMs)+2*maxChunkBytes+4096)
		total += got
	}
	require.LessOrEqual(t, total, int(1100*totalBytesPerMs)+40*4096)
	require.Greater(t, total, int(700*totalBytesPerMs), "and the rate is used")
	started := fleet.now
	for fleet.now-started < 60e3 && fleet.followers[0].State(fleet.now).StoredVersion == 0 {
		fleet.advance(1000)
	}
	fleet.advance(1000)
	t.Logf("the first of 40 had the snapshot after %.0f ms", fleet.now-started)
	fleet.advance(float64(40*size)/totalBytesPerMs + 5000)
	for i := range 40 {
		fleet.requireInSync(i)
	}
}

// A follower reads nothing while more than 1 MB is sent to it. It is disconnected, and gets what it missed when it has connected again.
func TestSlowReaderIsDisconnected(t *testing.T) {
	fleet := newTestFleet(t, 1)
	growHistory(t, fleet.history, 1000, 1)
	fleet.advance(1000)
	fleet.requireInSync(0)
	fleet.framesBlocked = true
	for n := 0; len(fleet.disconnectReasons) == 0 && n < 100; n++ {
		_, doc := fleet.history.Head()
		appendSplices(t, fleet.history, Splice{Line: 1, Delete: uint64(doc.LineCount()) - 2, Insert: incompressibleLines(1500)})
		fleet.server.SetHistory(fleet.now, fleet.history, fleet.now)
		fleet.deliverFrames()
	}
	require.Equal(t, 1, len(fleet.disconnectReasons))
	require.Contains(t, fleet.disconnectReasons[0], "bytes unread")
	fleet.framesBlocked = false
	fleet.advance(4000)
	fleet.requireInSync(0)
}

// A change is too large for a frame. The followers get a snapshot in its place.
func TestLargeChangeIsSentAsSnapshot(t *testing.T) {
	fleet := newTestFleet(t, 2)
	growHistory(t, fleet.history, 10, 1)
	fleet.advance(1000)
	appendSplices(t, fleet.history, Splice{Line: 1, Insert: incompressibleLines(30_000)})
	require.Nil(t, fleet.history.changes[1].frame)
	fleet.advance(10e3)
	fleet.requireInSync(0)
	fleet.requireInSync(1)
	require.Nil(t, fleet.updates[0][1].Changes)
}

// The traffic from and to an idle follower doesn't depend on the size of the fleet.
func TestIdleTrafficPerFollower(t *testing.T) {
	for _, n := range []int{1, 300} {
		fleet := newTestFleet(t, n)
		growHistory(t, fleet.history, 100, 1)
		fleet.advance(5000)
		up, down := fleet.bytesToServer[0], fleet.bytesToFollower[0]
		fleet.advance(60e3)
		up, down = (fleet.bytesToServer[0]-up)/60, (fleet.bytesToFollower[0]-down)/60
		t.Logf("%d followers: %d bytes a second up, %d down", n, up, down)
		assert.Less(t, up, 60)
		assert.Less(t, down, 80)
	}
}

// A connection is removed after a malformed frame, after a second connection with its name, and after the status timeout. Nothing of it
// is left.
func TestServerRejectsMalformedFrames(t *testing.T) {
	hello := status{SentAt: 1, Digest: make([]byte, 32), Region: "r", Kind: KindNode}
	for name, f := range map[string][]byte{
		"empty":                 {},
		"one byte":              {protocolVersion},
		"another protocol":      {protocolVersion + 1, frameHello},
		"a server's frame":      encodeFrame(frameHeartbeat, &heartbeat{}),
		"status before a hello": encodeFrame(frameStatus, &hello),
		"unknown kind":          encodeFrame(frameHello, &status{Digest: make([]byte, 32), Kind: "operator"}),
		"no digest":             encodeFrame(frameHello, &status{Kind: KindNode}),
		"time is no number":     encodeFrame(frameHello, &status{SentAt: math.NaN(), Digest: make([]byte, 32), Kind: KindNode}),
		"reason too long":       encodeFrame(frameHello, &status{RejectReason: strings.Repeat("x", maxReasonBytes+1), Digest: make([]byte, 32), Kind: KindNode}),
		"frame too long":        append(encodeFrame(frameHello, &hello), make([]byte, MaxFrameBytes)...),
	} {
		s := NewServer(ServerConfig{}, 0)
		s.AddConnection(0, 1, "n")
		require.Error(t, s.HandleFrame(0, 1, f), name)
		require.NoError(t, s.HandleFrame(0, 1, encodeFrame(frameHello, &hello)), "%s: the connection is removed by then", name)
		require.Empty(t, s.conns)
		require.Empty(t, s.Leases(0))
	}
	s := NewServer(ServerConfig{}, 0)
	s.AddConnection(0, 1, "n")
	require.NoError(t, s.HandleFrame(0, 1, encodeFrame(frameHello, &hello)))
	s.AddConnection(0, 2, "n")
	o, ok := s.Next()
	require.True(t, ok)
	require.Equal(t, ServerOutput{Conn: 1, Disconnect: true, DisconnectReason: "replaced by a newer connection of the same name"}, o)
	s.AddConnection(0, 3, "silent")
	s.Tick(statusTimeoutMs + 1)
	require.Empty(t, s.conns)
	s.RemoveConnection(0, 99)
	s.BytesWritten(0, 99, 5)
}

// Whatever a follower sends, the server neither panics nor sends a frame that is too large.
func FuzzServer(f *testing.F) {
	f.Add(encodeFrame(frameHello, &status{SentAt: 1, Digest: make([]byte, 32), Region: "r", Kind: KindNode, StoredVersion: 2}))
	f.Add(encodeFrame(frameStatus, &status{SentAt: 1, SnapshotReceived: 1 << 60}))
	h := newHistory(0, emptyDocument(), 4)
	growHistory(f, h, 50, 9)
	f.Fuzz(func(t *testing.T, data []byte) {
		s := NewServer(ServerConfig{}, 0)
		s.SetHistory(0, h, 0)
		s.AddConnection(0, 1, "n")
		_ = s.HandleFrame(1, 1, encodeFrame(frameHello, &status{SentAt: 1, Digest: make([]byte, 32), Region: "r", Kind: KindNode}))
		s.Tick(100)
		_ = s.HandleFrame(101, 1, data)
		s.Tick(200)
		s.Leases(200)
		for o, ok := s.Next(); ok; o, ok = s.Next() {
			require.LessOrEqual(t, len(o.Frame), MaxFrameBytes)
		}
	})
}
