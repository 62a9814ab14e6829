package controlplane

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// grow makes a history of so many versions: in each the line of one tenant is another.
func grow(t require.TestingT, h *History, tenants int, versions uint64) {
	for version, doc := h.Head(); version < versions; version, doc = h.Head() {
		next := parse(t, string(settings(tenants)))
		if version > 0 {
			lines := strings.Split(strings.TrimSuffix(string(doc.Text()), "\n"), "\n")
			at := 7 + int(version)%tenants
			lines[at] = fmt.Sprintf(`{"name":"tenant-%d","share":"%d"}`, at, version) + lines[at][len(lines[at])-1:]
			if !strings.HasSuffix(lines[at], ",") {
				lines[at] = strings.TrimSuffix(lines[at], "}")
			}
			next = parse(t, strings.Join(lines, ""))
		}
		h.appendChange(Change{Version: version + 1, ID: version + 100, Digest: next.Digest(), Splices: Diff(doc, next), By: "a", Reason: "b"}, next)
	}
}

// put goes on by splices.
func put(t require.TestingT, h *History, s ...Splice) {
	version, doc := h.Head()
	next, err := doc.applySplices(s)
	require.NoError(t, err)
	h.appendChange(Change{Version: version + 1, ID: version + 100, Digest: next.Digest(), Splices: s}, next)
}

// noise is lines that pack to about half of their bytes.
func noise(n int) (lines []string) {
	for range n {
		lines = append(lines, fmt.Sprintf(`%016x%016x`, rand.Uint64(), rand.Uint64()))
	}
	return lines
}

// pair is a server and followers, with frames that go between them at once; time passes by ticks.
type pair struct {
	t         *testing.T
	now       float64
	s         *Server
	h         *History
	followers []*Follower
	takes     [][]DocumentUpdate
	toServer  []int // bytes
	toFollow  []int
	hold      bool // nothing is read at the followers, nor told as sent
	fresh     bool
	meddle    func(k int, f []byte) [][]byte // what becomes of a frame to a follower
	hung      []string
}

func newPair(t *testing.T, followers int) *pair {
	p := &pair{t: t, now: 1e6, s: NewServer(ServerConfig{Name: "m", Region: "r", Seed: 1}, 1e6), h: newHistory(0, emptyDocument(), defaultRetainedChanges), fresh: true}
	for k := range followers {
		p.add(FollowerConfig{Name: fmt.Sprintf("n%d", k), Region: "r", Kind: KindNode, Members: []Target{{"m", "r"}}, Seed: uint64(k)}, VersionedDocument{})
	}
	return p
}

func (p *pair) add(t FollowerConfig, c VersionedDocument) int {
	p.followers = append(p.followers, NewFollower(t, c, p.now))
	p.takes, p.toServer, p.toFollow = append(p.takes, nil), append(p.toServer, 0), append(p.toFollow, 0)
	return len(p.followers) - 1
}

func (p *pair) pump() {
	for more := true; more; {
		more = false
		for k, f := range p.followers {
			for {
				o, ok := f.Next()
				if !ok {
					break
				}
				more = true
				switch {
				case o.Dial:
					p.s.AddConnection(p.now, uint64(k), fmt.Sprintf("n%d", k))
					f.Connected(p.now, o.Member)
				case o.Disconnect:
					p.s.RemoveConnection(p.now, uint64(k))
				case o.Frame != nil:
					p.toServer[k] += len(o.Frame)
					if p.s.HandleFrame(p.now, uint64(k), o.Frame) != nil {
						f.Disconnected(p.now)
					}
				case o.Update != nil:
					p.takes[k] = append(p.takes[k], *o.Update)
					f.VersionApplied(p.now, o.Update.Version)
				}
			}
		}
		for {
			o, ok := p.s.Next()
			if !ok {
				break
			}
			more = true
			k := int(o.Conn)
			if o.Disconnect {
				p.hung = append(p.hung, o.DisconnectReason)
				p.followers[k].Disconnected(p.now)
				continue
			}
			require.LessOrEqual(p.t, len(o.Frame), MaxFrameBytes)
			if p.hold {
				continue
			}
			p.toFollow[k] += len(o.Frame)
			p.s.BytesWritten(p.now, o.Conn, len(o.Frame))
			frames := [][]byte{o.Frame}
			if p.meddle != nil {
				frames = p.meddle(k, o.Frame)
			}
			for _, f := range frames {
				p.followers[k].HandleFrame(p.now, f)
			}
		}
	}
}

func (p *pair) pass(ms float64) {
	for end := p.now + ms; p.now < end; {
		p.now += TickIntervalMs
		if p.fresh {
			p.s.SetHistory(p.now, p.h, p.now)
		} else {
			p.s.SetHistory(p.now, p.h, math.Inf(-1))
		}
		p.s.Tick(p.now)
		for _, f := range p.followers {
			f.Tick(p.now)
		}
		p.pump()
	}
}

func (p *pair) same(k int) {
	version, doc := p.h.Head()
	st := p.followers[k].State(p.now)
	require.Equal(p.t, version, st.StoredVersion, "follower %d", k)
	require.Equal(p.t, doc.Digest(), st.Digest)
	require.Equal(p.t, version, st.AppliedVersion)
}

func TestFollowerHasWhatIsServed(t *testing.T) {
	p := newPair(t, 3)
	grow(t, p.h, 100, 1)
	p.pass(1000)
	for k := range p.followers {
		p.same(k)
		require.Len(t, p.takes[k], 1)
	}
	grow(t, p.h, 100, 5)
	p.pass(TickIntervalMs)
	for k := range p.followers {
		p.same(k)
		require.Len(t, p.takes[k], 2, "what came together is put in force once")
		require.Len(t, p.takes[k][1].Changes, 4)
	}
	p.pass(3000)
	st := p.followers[0].State(p.now)
	require.Less(t, st.StalenessMs, 2100.0, "a status each 2 s, whose time comes back")
	require.Equal(t, "m", st.Member)
	leases := p.s.Leases(p.now)
	require.Len(t, leases, 3)
	require.Equal(t, Lease{Name: "n0", Region: "r", Kind: KindNode, StoredVersion: 5, AppliedVersion: 5, StalenessMs: leases[0].StalenessMs, LastSeenAt: leases[0].LastSeenAt}, leases[0])
}

// What one doesn't put in force is named with the reason, and by how long it is behind.
func TestRefusedVersion(t *testing.T) {
	p := newPair(t, 1)
	grow(t, p.h, 10, 2)
	p.pass(1000)
	grow(t, p.h, 10, 3)
	p.pass(TickIntervalMs)
	at := p.now
	f := p.followers[0]
	f.VersionApplied(p.now, 2)
	f.VersionRejected(p.now, 3, "class b is gone")
	p.pass(1000)
	l := p.s.Leases(p.now)[0]
	require.Equal(t, []uint64{3, 2, 3}, []uint64{l.StoredVersion, l.AppliedVersion, l.RejectedVersion})
	require.Equal(t, "class b is gone", l.RejectReason)
	require.InDelta(t, p.now-at, l.BehindMs, TickIntervalMs)
	grow(t, p.h, 10, 4)
	p.pass(1000)
	l = p.s.Leases(p.now)[0]
	require.Equal(t, Lease{Name: "n0", Region: "r", Kind: KindNode, StoredVersion: 4, AppliedVersion: 4, StalenessMs: l.StalenessMs, LastSeenAt: l.LastSeenAt}, l)
	p.followers[0].Tick(p.now + heartbeatTimeout + 1)
	require.Empty(t, p.s.Leases(p.now+LeaseDurationMs+1), "a lease ends with its heartbeats")
}

// One that was not heard for longer than a lease, on a connection that lives, is known again by all that it said first.
func TestLeaseAnew(t *testing.T) {
	p := newPair(t, 1)
	grow(t, p.h, 10, 2)
	p.pass(1000)
	p.s.Tick(p.now + LeaseDurationMs + 1)
	require.Empty(t, p.s.leases)
	p.pass(2500)
	l := p.s.Leases(p.now)[0]
	require.Equal(t, Lease{Name: "n0", Region: "r", Kind: KindNode, StoredVersion: 2, AppliedVersion: 2, StalenessMs: l.StalenessMs, LastSeenAt: l.LastSeenAt}, l)
}

// A copy that is behind gets what it lacks; one from too long ago, or another's, gets the whole.
func TestGap(t *testing.T) {
	for name, c := range map[string]struct {
		from    uint64
		other   bool
		changes bool
	}{
		"a little behind":   {from: 195, changes: true},
		"up to date":        {from: 200, changes: true},
		"beyond what is":    {from: 90},
		"before the first":  {from: 0},
		"another's version": {from: 195, other: true},
	} {
		t.Run(name, func(t *testing.T) {
			p := newPair(t, 0)
			p.h = newHistory(0, emptyDocument(), 100)
			grow(t, p.h, 100, c.from)
			version, doc := p.h.Head()
			grow(t, p.h, 100, 200)
			if c.other {
				doc = parse(t, `{"a":1}`)
			}
			p.add(FollowerConfig{Name: "n0", Region: "r", Kind: KindNode, Members: []Target{{"m", "r"}}}, VersionedDocument{version, doc})
			p.followers[0].VersionApplied(p.now, version)
			p.pass(1500)
			p.same(0)
			if c.from < 200 {
				require.Equal(t, c.changes, p.takes[0][0].Changes != nil)
			}
		})
	}
}

// Frames that are lost, doubled, swapped or altered are noticed, and what was meant comes all the same.
func TestMeddledFrames(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		p := newPair(t, 2)
		p.h = newHistory(0, emptyDocument(), 20)
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 0))
		var late [2][]byte
		p.meddle = func(k int, f []byte) (out [][]byte) {
			out = [][]byte{f}
			switch rng.IntN(12) {
			case 0:
				out = nil
			case 1:
				out = append(out, f)
			case 2:
				late[k], out = f, nil
			case 3:
				if len(f) > 80 {
					f = append([]byte(nil), f...)
					f[60+rng.IntN(len(f)-60)] ^= 1 << rng.IntN(8)
					out = [][]byte{f}
				}
			}
			if late[k] != nil && len(out) > 0 {
				out, late[k] = append(out, late[k]), nil
			}
			return out
		}
		for n := range 30 {
			grow(t, p.h, 50, uint64(n+1))
			p.pass(float64(rng.IntN(400)))
			for k := range p.followers {
				for j, last := 0, uint64(0); j < len(p.takes[k]); j++ {
					x := p.takes[k][j]
					if x.Version <= last {
						rt.Fatalf("%d after %d", x.Version, last)
					}
					last = x.Version
					if want, ok := p.h.digestAt(x.Version); ok && want != x.Document.Digest() {
						rt.Fatalf("version %d differs", x.Version)
					}
				}
			}
		}
		p.meddle = nil
		p.pass(8000)
		p.same(0)
		p.same(1)
	})
}

// Changes and heartbeats go before wholes; those come at their rate, to each and to all.
func TestWholesArePaced(t *testing.T) {
	p := newPair(t, 40)
	p.h = newHistory(0, emptyDocument(), 10)
	put(t, p.h, Splice{Insert: noise(9000)})
	head, doc := p.h.Head()
	size := len(compress([]byte(doc.Text())))
	t.Logf("the whole is %d bytes, %d packed", len(doc.Text()), size)
	live := p.add(FollowerConfig{Name: "n40", Region: "r", Kind: KindNode, Members: []Target{{"m", "r"}}}, VersionedDocument{head, doc})
	p.pass(300)
	before := append([]int(nil), p.toFollow...)
	for range 10 {
		put(t, p.h, Splice{Line: p.h.headVersion, Delete: 1, Insert: noise(1)})
		p.pass(100)
		require.Equal(t, p.h.headVersion, p.followers[live].State(p.now).StoredVersion, "a change passes by wholes")
	}
	all := 0
	for k := range 40 {
		got := p.toFollow[k] - before[k]
		require.LessOrEqual(t, got, int(1000*followerRate)+2*maxChunkBytes+4096)
		all += got
	}
	require.LessOrEqual(t, all, int(1100*totalRate)+40*4096)
	require.Greater(t, all, int(700*totalRate), "and it is used")
	started := p.now
	for p.now-started < 60e3 && p.followers[0].State(p.now).StoredVersion == 0 {
		p.pass(1000)
	}
	p.pass(1000)
	t.Logf("the first of 40 had it after %.0f ms", p.now-started)
	p.pass(float64(40*size)/totalRate + 5000)
	for k := range 40 {
		p.same(k)
	}
}

// One that leaves over 1 MB unread is cut off; it comes again and gets what it missed.
func TestSlowReader(t *testing.T) {
	p := newPair(t, 1)
	grow(t, p.h, 1000, 1)
	p.pass(1000)
	p.same(0)
	p.hold = true
	for n := 0; len(p.hung) == 0 && n < 100; n++ {
		_, doc := p.h.Head()
		put(t, p.h, Splice{Line: 1, Delete: uint64(doc.LineCount()) - 2, Insert: noise(1500)})
		p.s.SetHistory(p.now, p.h, p.now)
		p.pump()
	}
	require.Equal(t, 1, len(p.hung))
	require.Contains(t, p.hung[0], "bytes unread")
	p.hold = false
	p.pass(4000)
	p.same(0)
}

// A change that fits no frame is not sent as one.
func TestLargeChangeGoesWhole(t *testing.T) {
	p := newPair(t, 2)
	grow(t, p.h, 10, 1)
	p.pass(1000)
	put(t, p.h, Splice{Line: 1, Insert: noise(30_000)})
	require.Nil(t, p.h.changes[1].frame)
	p.pass(10e3)
	p.same(0)
	p.same(1)
	require.Nil(t, p.takes[0][1].Changes)
}

// What a quiet node says and is told in a second doesn't depend on how many there are.
func TestQuietCost(t *testing.T) {
	for _, n := range []int{1, 300} {
		p := newPair(t, n)
		grow(t, p.h, 100, 1)
		p.pass(5000)
		up, down := p.toServer[0], p.toFollow[0]
		p.pass(60e3)
		up, down = (p.toServer[0]-up)/60, (p.toFollow[0]-down)/60
		t.Logf("%d followers: %d bytes a second up, %d down", n, up, down)
		assert.Less(t, up, 60)
		assert.Less(t, down, 80)
	}
}

func TestServerRefusesWhatIsOdd(t *testing.T) {
	hello := status{SentAt: 1, Digest: make([]byte, 32), Region: "r", Kind: KindNode}
	for name, f := range map[string][]byte{
		"empty":           {},
		"a byte":          {protocolVersion},
		"another version": {protocolVersion + 1, frameHello},
		"a server's":      encodeFrame(frameHeartbeat, &heartbeat{}),
		"no hello":        encodeFrame(frameStatus, &hello),
		"a kind":          encodeFrame(frameHello, &status{Digest: make([]byte, 32), Kind: "operator"}),
		"no digest":       encodeFrame(frameHello, &status{Kind: KindNode}),
		"a time":          encodeFrame(frameHello, &status{SentAt: math.NaN(), Digest: make([]byte, 32), Kind: KindNode}),
		"long words":      encodeFrame(frameHello, &status{RejectReason: strings.Repeat("x", maxReasonBytes+1), Digest: make([]byte, 32), Kind: KindNode}),
		"too long":        append(encodeFrame(frameHello, &hello), make([]byte, MaxFrameBytes)...),
	} {
		s := NewServer(ServerConfig{}, 0)
		s.AddConnection(0, 1, "n")
		require.Error(t, s.HandleFrame(0, 1, f), name)
		require.NoError(t, s.HandleFrame(0, 1, encodeFrame(frameHello, &hello)), "%s: it is gone by then", name)
		require.Empty(t, s.conns)
		require.Empty(t, s.Leases(0))
	}
	s := NewServer(ServerConfig{}, 0)
	s.AddConnection(0, 1, "n")
	require.NoError(t, s.HandleFrame(0, 1, encodeFrame(frameHello, &hello)))
	s.AddConnection(0, 2, "n")
	o, ok := s.Next()
	require.True(t, ok)
	require.Equal(t, ServerOutput{Conn: 1, Disconnect: true, DisconnectReason: "it has come again"}, o)
	s.AddConnection(0, 3, "silent")
	s.Tick(statusTimeout + 1)
	require.Empty(t, s.conns)
	s.RemoveConnection(0, 99)
	s.BytesWritten(0, 99, 5)
}

// Followers spread over the members of their own region, evenly, and a lost member's go to all others.
func TestPicking(t *testing.T) {
	members := []Target{{"a", "east"}, {"b", "east"}, {"c", "east"}, {"d", "east"}, {"x", "west"}, {"y", "west"}}
	first, second := map[int]int{}, map[[2]int]int{}
	for n := range 4000 {
		f := NewFollower(FollowerConfig{Name: fmt.Sprintf("node-%d", n), Region: "east", Members: members}, VersionedDocument{}, 0)
		require.Equal(t, 4, f.localMembers)
		for _, k := range f.memberOrder[:4] {
			require.Equal(t, "east", members[k].Region)
		}
		first[f.memberOrder[0]]++
		second[[2]int{f.memberOrder[0], f.memberOrder[1]}]++
	}
	for k := range 4 {
		assert.InDelta(t, 1000, first[k], 120)
		for m := range 4 {
			if m != k {
				assert.InDelta(t, 333, second[[2]int{k, m}], 80)
			}
		}
	}
}

// dials lets time pass at a follower whose every dial fails, in ways, and tells what it dials when.
func dials(t *testing.T, f *Follower, from, ms float64, became func(member int) string) (members []int, at []float64) {
	member := 0
	for now := from; now < from+ms; now += TickIntervalMs {
		f.Tick(now)
		for {
			o, ok := f.Next()
			if !ok {
				break
			}
			if o.Dial {
				member = o.Member
				members, at = append(members, o.Member), append(at, now)
				switch became(member) {
				case "refused":
					f.Disconnected(now)
				case "connected":
					f.Connected(now, member)
				}
			}
		}
	}
	return members, at
}

func TestAnotherMemberWithin2s(t *testing.T) {
	members := []Target{{"a", "east"}, {"b", "east"}, {"x", "west"}}
	for seed := range uint64(50) {
		f := NewFollower(FollowerConfig{Name: fmt.Sprintf("n%d", seed), Region: "east", Members: members, Seed: seed}, VersionedDocument{}, 0)
		got, at := dials(t, f, 0, 30e3, func(int) string { return "refused" })
		require.Equal(t, []int{f.memberOrder[0], f.memberOrder[1], f.memberOrder[2]}, got[:3], "the others' region last")
		require.LessOrEqual(t, at[1], 2*minBackoff+TickIntervalMs)
		for k := 1; k < len(at); k++ {
			require.LessOrEqual(t, at[k]-at[k-1], maxBackoff+TickIntervalMs)
		}
		require.Greater(t, len(at), 15)
		// One that answers nothing is left after a while, one that says nothing too.
		f = NewFollower(FollowerConfig{Name: "n", Region: "east", Members: members, Seed: seed}, VersionedDocument{}, 0)
		_, at = dials(t, f, 0, 10e3, func(int) string { return "nothing" })
		require.LessOrEqual(t, at[1]-at[0], dialTimeout+minBackoff+2*TickIntervalMs)
		f = NewFollower(FollowerConfig{Name: "n", Region: "east", Members: members, Seed: seed}, VersionedDocument{}, 0)
		got, at = dials(t, f, 0, 10e3, func(int) string { return "connected" })
		require.LessOrEqual(t, at[1]-at[0], heartbeatTimeout+minBackoff+2*TickIntervalMs)
		require.NotEqual(t, got[0], got[1])
	}
}

// A server whose copy is old is left for another, ever more seldom where none is fresher; in a foreign region the own is tried again.
func TestOldCopiesAndHome(t *testing.T) {
	f := NewFollower(FollowerConfig{Name: "n", Region: "east", Members: []Target{{"a", "east"}, {"b", "east"}}}, VersionedDocument{}, 0)
	var at []float64
	beats := func(f *Follower, ms, age float64, down func(int) bool) (members []int) {
		for now := 0.0; now < ms; now += TickIntervalMs {
			f.Tick(now)
			if f.state == connectionUp && int(now/TickIntervalMs)%20 == 0 {
				f.HandleFrame(now, encodeFrame(frameHeartbeat, &heartbeat{StalenessMs: age, StatusSentAt: now, FreshnessOffset: -age, HeadDigestPrefix: f.history.headDocument.digest.prefix()}))
			}
			for o, ok := f.Next(); ok; o, ok = f.Next() {
				if o.Dial && down(o.Member) {
					f.Disconnected(now)
				} else if o.Dial {
					at, members = append(at, now), append(members, o.Member)
					f.Connected(now, o.Member)
				}
			}
		}
		return members
	}
	none := func(int) bool { return false }
	members := beats(f, 120e3, 10e3, none)
	require.Greater(t, len(members), 4, "looks for a fresher one")
	require.Less(t, len(members), 12, "but not for ever")
	require.NotEqual(t, members[0], members[1])
	require.GreaterOrEqual(t, at[2]-at[1], minStaleSearchInterval)
	require.GreaterOrEqual(t, at[len(at)-1]-at[len(at)-2], 15e3)
	require.InDelta(t, 10e3, f.State(120e3).StalenessMs, 1100)

	// A region alone keeps to its own members; each cycle one of another region is tried, each time the next.
	all := []Target{{"a", "east"}, {"b", "east"}, {"c", "west"}, {"d", "west"}, {"e", "north"}}
	far := map[int]int{}
	f = NewFollower(FollowerConfig{Name: "n", Region: "east", Members: all}, VersionedDocument{}, 0)
	members = beats(f, 600e3, 10e3, func(m int) bool {
		if m >= 2 {
			far[m]++
		}
		return m >= 2
	})
	require.Len(t, far, 3, "all are tried in the end")
	for _, m := range members {
		require.Less(t, m, 2)
	}
	require.InDelta(t, len(members)/2, far[2]+far[3]+far[4], 1)
	// Where those are as old, it goes home at once.
	f = NewFollower(FollowerConfig{Name: "n", Region: "east", Members: all}, VersionedDocument{}, 0)
	members = beats(f, 600e3, 10e3, none)
	for k := 1; k < len(members); k++ {
		require.False(t, members[k-1] >= 2 && members[k] >= 2, "%d", members)
	}

	f = NewFollower(FollowerConfig{Name: "n", Region: "east", Members: []Target{{"a", "east"}, {"x", "west"}}}, VersionedDocument{}, 0)
	members = beats(f, 120e3, 0, func(m int) bool { return m == 0 })
	require.Equal(t, 1, members[0])
	require.Greater(t, len(members), 1, "goes home now and then")
	require.LessOrEqual(t, len(members), 4, "ever more seldom")
	f = NewFollower(FollowerConfig{Name: "n", Region: "east", Members: []Target{{"a", "east"}, {"x", "west"}}}, VersionedDocument{}, 0)
	require.Equal(t, []int{0}, beats(f, 120e3, 0, none), "at home it stays")
}

// An age is reckoned from when the server heard the follower's status: a heartbeat that took long is not taken for fresh.
func TestAgeOfALateHeartbeat(t *testing.T) {
	f := NewFollower(FollowerConfig{Name: "n", Members: []Target{{"m", ""}}}, VersionedDocument{}, 0)
	require.True(t, math.IsInf(f.State(0).StalenessMs, 1))
	for now := 0.0; f.state != connectionDialing; now += TickIntervalMs {
		f.Tick(now)
	}
	f.Connected(1000, 0)
	beat := heartbeat{StatusSentAt: 1000, FreshnessOffset: 400, StalenessMs: 100, HeadDigestPrefix: f.history.headDocument.digest.prefix()} // it had all 400 ms after it heard the status
	f.HandleFrame(3000, encodeFrame(frameHeartbeat, &beat))
	require.Equal(t, 1600.0, f.State(3000).StalenessMs)
	beat = heartbeat{HeadVersion: 1, StatusSentAt: 2000, FreshnessOffset: 0}
	f.HandleFrame(3000, encodeFrame(frameHeartbeat, &beat))
	require.Equal(t, 1600.0, f.State(3000).StalenessMs, "not before its head is held")
	beat = heartbeat{StatusSentAt: 5000, FreshnessOffset: 0, HeadDigestPrefix: f.history.headDocument.digest.prefix()}
	f.HandleFrame(3000, encodeFrame(frameHeartbeat, &beat))
	require.Equal(t, 0.0, f.State(3000).StalenessMs, "nothing is from the future")
}

// Whatever a server sends, a follower neither panics nor puts anything in force that no digest vouches for.
func FuzzFollower(f *testing.F) {
	doc := emptyDocument()
	next, _ := doc.applySplices([]Splice{{Line: 1, Insert: []string{"x"}}})
	f.Add(encodeChange(&Change{Version: 1, ID: 1, Digest: next.digest, Splices: []Splice{{Line: 1, Insert: []string{"x"}}}}))
	f.Add(encodeChange(&Change{Version: 1, ID: 1, Digest: next.digest, Splices: []Splice{{Line: 1, Insert: []string{strings.Repeat("x", 3000)}}}}))
	f.Add(encodeFrame(frameHeartbeat, &heartbeat{HeadVersion: 5, StatusSentAt: 1, FreshnessOffset: 2, SentVersion: 3, SnapshotSent: 4}))
	f.Add(encodeFrame(frameSnapshotBegin, &snapshotBegin{Version: 3, Digest: next.digest[:], Size: 10, TextBytes: 9}))
	f.Add(encodeFrame(frameSnapshotChunk, &snapshotChunk{Data: compress([]byte("{}\n"))}))
	f.Fuzz(func(t *testing.T, data []byte) {
		w := NewFollower(FollowerConfig{Name: "n", Kind: KindMember, Members: []Target{{"m", ""}}}, VersionedDocument{}, 0)
		w.state, w.lastReceivedAt = connectionUp, 0
		w.HandleFrame(10, data)
		w.HandleFrame(20, data)
		w.Tick(1000)
		for o, ok := w.Next(); ok; o, ok = w.Next() {
			if o.Update != nil {
				want, _ := w.history.digestAt(o.Update.Version)
				require.Equal(t, want, o.Update.Document.Digest())
			}
		}
	})
}

func FuzzServer(f *testing.F) {
	f.Add(encodeFrame(frameHello, &status{SentAt: 1, Digest: make([]byte, 32), Region: "r", Kind: KindNode, StoredVersion: 2}))
	f.Add(encodeFrame(frameStatus, &status{SentAt: 1, SnapshotReceived: 1 << 60}))
	h := newHistory(0, emptyDocument(), 4)
	grow(f, h, 50, 9)
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

// The own region's member is down and the next one abroad has an old copy: the others abroad have their turn too.
func TestOldCopyAbroadWhileHomeIsDown(t *testing.T) {
	all := []Target{{"a", "east"}, {"c", "west"}, {"d", "west"}, {"e", "north"}}
	for seed := range uint64(50) {
		f := NewFollower(FollowerConfig{Name: fmt.Sprintf("n%d", seed), Region: "east", Members: all, Seed: seed}, VersionedDocument{}, 0)
		fresh := f.memberOrder[2+seed%2] // all others' copies are old
		had := math.Inf(1)
		for now := 0.0; now < 30e3 && math.IsInf(had, 1); now += TickIntervalMs {
			f.Tick(now)
			if f.state == connectionUp && int(now/TickIntervalMs)%20 == 0 {
				age := 10e3
				if f.currentMember() == fresh {
					age = 0
				}
				f.HandleFrame(now, encodeFrame(frameHeartbeat, &heartbeat{StalenessMs: age, StatusSentAt: now, FreshnessOffset: -age, HeadDigestPrefix: f.history.headDocument.digest.prefix()}))
			}
			for o, more := f.Next(); more; o, more = f.Next() {
				switch {
				case o.Dial && o.Member == 0:
					f.Disconnected(now)
				case o.Dial:
					f.Connected(now, o.Member)
				}
			}
			if f.state == connectionUp && f.currentMember() == fresh {
				had = now
			}
		}
		require.LessOrEqual(t, had, 4e3, "seed %d", seed)
	}
}
