package admission

import (
	"net/netip"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func address(k int) netip.Addr {
	return netip.AddrFrom4([4]byte{10, byte(k >> 16), byte(k >> 8), byte(k)})
}

// sight is a host that does what the core says.
type sight struct {
	c    *Core
	now  float64
	next uint64
	open map[uint64]netip.Addr
}

func newSight(l Limits) *sight { return &sight{c: New(l), now: 1, open: map[uint64]netip.Addr{}} }

// connect gives the connection's id, or the reason why there is none.
func (s *sight) connect(a netip.Addr) (uint64, Reason) {
	s.next++
	v := s.c.Connect(s.now, s.next, a)
	for _, l := range v.LetGo {
		delete(s.open, l.ID)
	}
	if v.Why != Admitted {
		return 0, v.Why
	}
	s.open[s.next] = a
	return s.next, Admitted
}

// op is one that is answered.
func (s *sight) op(id uint64) { s.c.Began(id); s.c.Answered(s.now, id) }

func (s *sight) close(id uint64) { s.c.Closed(s.now, id); delete(s.open, id) }

// known makes an address one.
func (s *sight) known(a netip.Addr) {
	id, why := s.connect(a)
	if why != Admitted {
		panic(why)
	}
	for range 5 {
		s.op(id)
	}
	s.close(id)
}

// Whoever floods, a known client gets in at once, and so does a new one, in the place of one of the flood's.
func TestFloods(t *testing.T) {
	for name, flood := range map[string]func(k int) netip.Addr{
		"one address":    func(int) netip.Addr { return address(9) },
		"200 addresses":  func(k int) netip.Addr { return address(1000 + k%200) },
		"never the same": func(k int) netip.Addr { return address(100000 + k) },
		"one IPv6 prefix": func(k int) netip.Addr {
			return netip.AddrFrom16([16]byte{0x20, 1, 0xd, 0xb8, 12: byte(k >> 8), 13: byte(k)})
		},
	} {
		s := newSight(Defaults(200))
		s.known(address(1))
		refused := 0
		for k := range 20000 { // 1,000 a second
			s.now++
			if _, why := s.connect(flood(k)); why != Admitted {
				refused++
			}
			require.LessOrEqual(t, len(s.open), 200, name)
			if k%20 == 10 {
				for _, a := range []netip.Addr{address(1), address(2 + k%50)} {
					id, why := s.connect(a)
					require.Equal(t, Admitted, why, "%s: %d: %v", name, k, a)
					s.op(id)
					s.close(id)
				}
			}
		}
		if name == "one address" || name == "one IPv6 prefix" {
			assert.Greater(t, refused, 10000, name)
		}
		s.now += 120e3
		for id := range s.open {
			s.close(id)
		}
		assert.False(t, s.c.Pressed(), name)
		assert.Zero(t, s.c.Open(), name)
	}
}

// Many members behind one shared address are many: as long as they do what they are here for, they get in as those with
// addresses of their own do; one among them that floods has its own connections let go.
func TestSharedAddress(t *testing.T) {
	s := newSight(Defaults(192))
	shared := address(7)
	in := map[bool]int{}
	asked := map[bool]int{}
	for round := range 2000 {
		s.now += 10
		for k := range 4 {
			a, isShared := shared, k < 3
			if !isShared {
				a = address(100 + round%50)
			}
			asked[isShared]++
			if id, why := s.connect(a); why == Admitted {
				in[isShared]++
				s.op(id)
				defer func() { s.close(id) }()
				if len(s.open) > 150 { // a member leaves
					for old := range s.open {
						if old < id-100 {
							s.close(old)
							break
						}
					}
				}
			}
		}
		if round > 1000 { // and one of them misbehaves
			if id, why := s.connect(shared); why == Admitted {
				s.c.Odd(s.now, id)
				s.close(id)
			}
		}
	}
	served := func(is bool) float64 { return float64(in[is]) / float64(asked[is]) }
	assert.InDelta(t, served(true), served(false), 0.03, "%v", s.c.Refused)
	assert.Greater(t, served(true), 0.97)
}

// A known client need not wait until a stranger's connection is old enough to be let go; a stranger does.
func TestKnownBeforeStrangers(t *testing.T) {
	s := newSight(Defaults(8))
	for k := range 4 {
		s.known(address(k))
	}
	for k := range 8 {
		_, why := s.connect(address(10 + k))
		require.Equal(t, k < 6, why == Admitted, "two of eight are kept for known ones")
	}
	for k := range 4 { // the two, and those of two strangers
		_, why := s.connect(address(k))
		require.Equal(t, Admitted, why)
	}
	_, why := s.connect(address(100))
	assert.Equal(t, Full, why)
}

// On a connection that was let go no op is taken any more, whichever of the two came first by a hair.
func TestNothingTakenOnceLetGo(t *testing.T) {
	s := newSight(Defaults(8))
	first, _ := s.connect(address(10))
	for k := range 5 {
		_, why := s.connect(address(11 + k))
		require.Equal(t, Admitted, why)
	}
	require.True(t, s.c.Began(first))
	s.c.Answered(s.now, first)
	s.now += 3000
	for k := range 6 { // each displaces one that has been quiet
		_, why := s.connect(address(20 + k))
		require.Equal(t, Admitted, why)
	}
	assert.False(t, s.c.Began(first))
}

// Whoever has a connection for each op becomes known as well.
func TestKnownByConnections(t *testing.T) {
	s := newSight(Defaults(200))
	for range 4 {
		s.now += 1000
		id, why := s.connect(address(1))
		require.Equal(t, Admitted, why)
		s.op(id)
		s.now += 5
		s.close(id)
	}
	assert.True(t, s.c.Known(s.now, address(1)))
	assert.False(t, s.c.Known(s.now+3600e3, address(1)), "it fades")
}

// Whoever behaves well to become known, and then floods, gets no more by it than half the reserve; strangers still get in.
func TestKnownThatFloods(t *testing.T) {
	s := newSight(Defaults(200))
	s.known(address(1))
	for range 3000 {
		s.now += 0.5
		if id, why := s.connect(address(1)); why == Admitted {
			s.op(id)
		}
	}
	assert.LessOrEqual(t, s.c.parties[Party(address(1))].vouched, 25)
	got := 0
	for k := range 100 {
		s.now += 30
		if id, why := s.connect(address(1000 + k)); why == Admitted {
			s.op(id)
			s.close(id)
			got++
		}
	}
	assert.Greater(t, got, 60, "once what is idle may be let go, 2 s on, all get in")
}

// Ten million addresses leave the memory where it was.
func TestBounded(t *testing.T) {
	l := Defaults(128)
	l.Addresses = 512
	s := newSight(l)
	n := 10_000_000
	if testing.Short() {
		n /= 10
	}
	for k := range n {
		s.now += 0.1
		id, why := s.connect(address(k))
		if why != Admitted {
			continue
		}
		if k%3 == 0 {
			s.op(id)
		}
		if k%5 == 0 {
			s.c.Odd(s.now, id)
		}
		if len(s.open) > 100 {
			s.close(id)
		}
	}
	assert.LessOrEqual(t, len(s.c.parties), 128+512)
	assert.LessOrEqual(t, len(s.c.resting), 512)
	assert.LessOrEqual(t, len(s.c.order), 2*128+65)
}

// The sketch never tells too little, fades, and keeps its scale.
func TestSketch(t *testing.T) {
	s := newSketch()
	now := 0.0
	for k := range 2000 {
		s.put(now, 100, Party(address(k)), float64(k%40))
	}
	for k := range 2000 {
		require.GreaterOrEqual(t, s.get(now, 100, Party(address(k))), float64(k%40))
	}
	assert.InDelta(t, s.get(now, 100, Party(address(39)))/2, s.get(100, 100, Party(address(39))), 0.01)
	assert.InDelta(t, 0, s.get(1e6, 100, Party(address(39))), 1e-6)
	s.put(1e6, 100, Party(address(5)), 7)
	assert.InDelta(t, 7, s.get(1e6, 100, Party(address(5))), 1e-3)
}

// Whatever happens in whatever order: what is counted is what there is, nothing with an op in hand is let go, the limit
// holds, the same events give the same verdicts, and a well-behaved client that comes back gets in within a second as long
// as not all of the room is held by ops.
func TestAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := Defaults(rapid.IntRange(8, 40).Draw(t, "conns"))
		l.Addresses = rapid.IntRange(1, 8).Draw(t, "addresses")
		s, twin := newSight(l), New(l)
		inHand := map[uint64]bool{}
		for range rapid.IntRange(1, 200).Draw(t, "events") {
			s.now += rapid.SampledFrom([]float64{0, 1, 50, 300, 2500}).Draw(t, "passes")
			ids := make([]uint64, 0, len(s.open))
			for id := uint64(1); id <= s.next; id++ {
				if _, there := s.open[id]; there {
					ids = append(ids, id)
				}
			}
			what := rapid.IntRange(0, 4).Draw(t, "what")
			if what == 0 || len(ids) == 0 {
				a := address(rapid.IntRange(0, 12).Draw(t, "address"))
				s.next++
				v, w := s.c.Connect(s.now, s.next, a), twin.Connect(s.now, s.next, a)
				require.Equal(t, v, w)
				for _, lost := range v.LetGo {
					require.False(t, inHand[lost.ID])
					delete(s.open, lost.ID)
				}
				if v.Why == Admitted {
					s.open[s.next] = a
				}
			} else {
				id := rapid.SampledFrom(ids).Draw(t, "id")
				for _, c := range []*Core{s.c, twin} {
					switch what {
					case 1:
						c.Began(id)
					case 2:
						c.Answered(s.now, id)
					case 3:
						c.Odd(s.now, id)
					case 4:
						c.Closed(s.now, id)
					}
				}
				inHand[id] = what == 1
				if what == 4 {
					delete(s.open, id)
				}
			}
			require.Equal(t, len(s.open), s.c.Open())
			require.LessOrEqual(t, s.c.Open(), l.Conns)
			conns, unproven, reserved := 0, 0, 0
			for _, p := range s.c.parties {
				require.GreaterOrEqual(t, p.unproven, 0)
				require.GreaterOrEqual(t, p.vouched, 0)
				conns, unproven, reserved = conns+p.conns, unproven+p.unproven, reserved+p.vouched
			}
			require.Equal(t, conns, s.c.Open())
			require.Equal(t, conns, s.c.standing[stranger]+s.c.standing[extra]+s.c.standing[vouched])
			require.LessOrEqual(t, unproven, conns)
			require.Equal(t, reserved, s.c.standing[vouched])
			require.LessOrEqual(t, len(s.c.parties), l.Conns+l.Addresses)
		}
		busy := 0
		for id := range s.open {
			if inHand[id] {
				busy++
			}
		}
		if busy < l.Conns-int(l.Reserve*float64(l.Conns)) {
			good := address(1 << 20)
			why := Full
			for k := 0; k < 30 && why != Admitted; k++ {
				s.now += 100
				_, why = s.connect(good)
			}
			require.Equal(t, Admitted, why)
		}
	})
}

// BenchmarkConnect is a connection that comes and is taken or refused, in a flood of strangers.
func BenchmarkConnect(b *testing.B) {
	for name, flood := range map[string]func(k int) netip.Addr{"one": func(int) netip.Addr { return address(9) }, "many": address} {
		b.Run(name, func(b *testing.B) {
			s := newSight(Defaults(192))
			k := 0
			for b.Loop() {
				k++
				s.now += 0.1
				_, _ = s.connect(flood(k))
			}
		})
	}
}
