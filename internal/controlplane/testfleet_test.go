package controlplane

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// growHistory appends changes up to a version. Each of them replaces the line of one tenant.
func growHistory(t require.TestingT, h *History, tenants int, versions uint64) {
	for version, doc := h.Head(); version < versions; version, doc = h.Head() {
		next := mustParse(t, string(tenantConfiguration(tenants)))
		if version > 0 {
			lines := strings.Split(strings.TrimSuffix(string(doc.Text()), "\n"), "\n")
			const firstTenantLine = 7
			at := firstTenantLine + int(version)%tenants
			lines[at] = fmt.Sprintf(`{"name":"tenant-%d","share":"%d"}`, at, version) + lines[at][len(lines[at])-1:]
			if !strings.HasSuffix(lines[at], ",") {
				lines[at] = strings.TrimSuffix(lines[at], "}")
			}
			next = mustParse(t, strings.Join(lines, ""))
		}
		h.appendChange(Change{Version: version + 1, ID: version + 100, Digest: next.Digest(), Splices: Diff(doc, next), By: "a", Reason: "b"}, next)
	}
}

// appendSplices appends one change.
func appendSplices(t require.TestingT, h *History, splices ...Splice) {
	version, doc := h.Head()
	next, err := doc.applySplices(splices)
	require.NoError(t, err)
	h.appendChange(Change{Version: version + 1, ID: version + 100, Digest: next.Digest(), Splices: splices}, next)
}

// incompressibleLines returns random lines, which compress to about half of their bytes.
func incompressibleLines(count int) (lines []string) {
	for range count {
		lines = append(lines, fmt.Sprintf(`%016x%016x`, rand.Uint64(), rand.Uint64()))
	}
	return lines
}

// testFleet connects a server with followers in memory. Frames arrive at once, and the time advances by ticks.
type testFleet struct {
	t                 *testing.T
	now               float64
	server            *Server
	history           *History
	serverIsFresh     bool
	followers         []*Follower
	updates           [][]DocumentUpdate                        // by follower
	bytesToServer     []int                                     // by follower
	bytesToFollower   []int                                     // by follower
	framesBlocked     bool                                      // frames to followers are neither delivered nor reported as written
	tamper            func(follower int, frame []byte) [][]byte // returns the frames that arrive at the follower instead of a frame
	disconnectReasons []string
}

func newTestFleet(t *testing.T, followers int) *testFleet {
	t.Helper()
	fleet := &testFleet{
		t:             t,
		now:           1e6,
		server:        NewServer(ServerConfig{Seed: 1}, 1e6),
		history:       newHistory(0, emptyDocument(), defaultRetainedChanges),
		serverIsFresh: true,
	}
	for i := range followers {
		config := testFollowerConfig(fmt.Sprintf("n%d", i))
		config.Seed = uint64(i)
		fleet.addFollower(config, VersionedDocument{})
	}
	return fleet
}

// testFollowerConfig returns the configuration of a node whose only member is the fleet's server.
func testFollowerConfig(name string) FollowerConfig {
	return FollowerConfig{Name: name, Region: "r", Kind: KindNode, Members: []Target{{"m", "r"}}}
}

func (fleet *testFleet) addFollower(config FollowerConfig, stored VersionedDocument) int {
	fleet.followers = append(fleet.followers, NewFollower(config, stored, fleet.now))
	fleet.updates = append(fleet.updates, nil)
	fleet.bytesToServer = append(fleet.bytesToServer, 0)
	fleet.bytesToFollower = append(fleet.bytesToFollower, 0)
	return len(fleet.followers) - 1
}

// deliverFrames carries out all decisions of the server and the followers, until there are none.
func (fleet *testFleet) deliverFrames() {
	for more := true; more; {
		more = false
		for i := range fleet.followers {
			more = fleet.runFollower(i) || more
		}
		more = fleet.runServer() || more
	}
}

func (fleet *testFleet) runFollower(i int) (ran bool) {
	follower := fleet.followers[i]
	for output, ok := follower.Next(); ok; output, ok = follower.Next() {
		ran = true
		switch {
		case output.Dial:
			fleet.server.AddConnection(fleet.now, uint64(i), fmt.Sprintf("n%d", i))
			follower.Connected(fleet.now, output.Member)
		case output.Disconnect:
			fleet.server.RemoveConnection(fleet.now, uint64(i))
		case output.Frame != nil:
			fleet.bytesToServer[i] += len(output.Frame)
			if fleet.server.HandleFrame(fleet.now, uint64(i), output.Frame) != nil {
				follower.Disconnected(fleet.now)
			}
		case output.Update != nil:
			fleet.updates[i] = append(fleet.updates[i], *output.Update)
			follower.VersionApplied(fleet.now, output.Update.Version)
		}
	}
	return ran
}

func (fleet *testFleet) runServer() (ran bool) {
	for output, ok := fleet.server.Next(); ok; output, ok = fleet.server.Next() {
		ran = true
		i := int(output.Conn)
		if output.Disconnect {
			fleet.disconnectReasons = append(fleet.disconnectReasons, output.DisconnectReason)
			fleet.followers[i].Disconnected(fleet.now)
			continue
		}
		require.LessOrEqual(fleet.t, len(output.Frame), MaxFrameBytes)
		if fleet.framesBlocked {
			continue
		}
		fleet.bytesToFollower[i] += len(output.Frame)
		fleet.server.BytesWritten(fleet.now, output.Conn, len(output.Frame))
		frames := [][]byte{output.Frame}
		if fleet.tamper != nil {
			frames = fleet.tamper(i, output.Frame)
		}
		for _, frame := range frames {
			fleet.followers[i].HandleFrame(fleet.now, frame)
		}
	}
	return ran
}

// advance advances the time by ms, in ticks.
func (fleet *testFleet) advance(ms float64) {
	for end := fleet.now + ms; fleet.now < end; {
		fleet.now += TickIntervalMs
		freshAsOf := math.Inf(-1)
		if fleet.serverIsFresh {
			freshAsOf = fleet.now
		}
		fleet.server.SetHistory(fleet.now, fleet.history, freshAsOf)
		fleet.server.Tick(fleet.now)
		for _, follower := range fleet.followers {
			follower.Tick(fleet.now)
		}
		fleet.deliverFrames()
	}
}

// requireInSync requires that a follower has stored and applied the head.
func (fleet *testFleet) requireInSync(i int) {
	fleet.t.Helper()
	version, doc := fleet.history.Head()
	state := fleet.followers[i].State(fleet.now)
	require.Equal(fleet.t, version, state.StoredVersion, "follower %d", i)
	require.Equal(fleet.t, doc.Digest(), state.Digest)
	require.Equal(fleet.t, version, state.AppliedVersion)
}
