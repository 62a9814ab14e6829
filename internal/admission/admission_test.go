package admission

import (
	"net/netip"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// address returns an IPv4 address, a different one for each number.
func address(number int) netip.Addr {
	return netip.AddrFrom4([4]byte{10, byte(number >> 16), byte(number >> 8), byte(number)})
}

// fakeHost keeps track of the connections that the controller admits and evicts.
type fakeHost struct {
	controller *Controller
	now        float64
	lastID     uint64
	open       map[uint64]netip.Addr
}

func newFakeHost(limits Limits) *fakeHost {
	return &fakeHost{controller: New(limits), now: 1, open: map[uint64]netip.Addr{}}
}

// connect returns the connection's id, or the reason for its refusal.
func (h *fakeHost) connect(from netip.Addr) (uint64, Reason) {
	h.lastID++
	verdict := h.controller.Connect(h.now, h.lastID, from)
	for _, eviction := range verdict.Evictions {
		delete(h.open, eviction.ID)
	}
	if verdict.Reason != Admitted {
		return 0, verdict.Reason
	}
	h.open[h.lastID] = from
	return h.lastID, Admitted
}

// serveRequest serves a request on a connection.
func (h *fakeHost) serveRequest(id uint64) {
	h.controller.RequestBegan(id)
	h.controller.RequestAnswered(h.now, id)
}

func (h *fakeHost) close(id uint64) {
	h.controller.Closed(h.now, id)
	delete(h.open, id)
}

// makeKnown makes an address known.
func (h *fakeHost) makeKnown(from netip.Addr) {
	id, reason := h.connect(from)
	if reason != Admitted {
		panic(reason)
	}
	for range 5 {
		h.serveRequest(id)
	}
	h.close(id)
}

// Clients flood the node with connections. A known client is admitted at once, and so is a new one, in place of one of the
// flood's connections.
func TestFloodDoesNotBlockOtherClients(t *testing.T) {
	for name, flood := range map[string]func(i int) netip.Addr{
		"one address":    func(int) netip.Addr { return address(9) },
		"200 addresses":  func(i int) netip.Addr { return address(1000 + i%200) },
		"never the same": func(i int) netip.Addr { return address(100000 + i) },
		"one IPv6 prefix": func(i int) netip.Addr {
			return netip.AddrFrom16([16]byte{0x20, 1, 0xd, 0xb8, 12: byte(i >> 8), 13: byte(i)})
		},
	} {
		host := newFakeHost(DefaultLimits(200))
		host.makeKnown(address(1))
		refused := 0
		for i := range 20000 { // 1,000 a second
			host.now++
			if _, reason := host.connect(flood(i)); reason != Admitted {
				refused++
			}
			require.LessOrEqual(t, len(host.open), 200, name)
			if i%20 == 10 {
				for _, a := range []netip.Addr{address(1), address(2 + i%50)} {
					id, reason := host.connect(a)
					require.Equal(t, Admitted, reason, "%s: %d: %v", name, i, a)
					host.serveRequest(id)
					host.close(id)
				}
			}
		}
		if name == "one address" || name == "one IPv6 prefix" {
			assert.Greater(t, refused, 10000, name)
		}
		host.now += 120e3
		for id := range host.open {
			host.close(id)
		}
		assert.False(t, host.controller.UnderPressure(), name)
		assert.Zero(t, host.controller.OpenConnections(), name)
	}
}

// Many clients share one address. As long as they are well-behaved they are admitted like clients with addresses of their own,
// even while one of them misbehaves.
func TestSharedAddress(t *testing.T) {
	host := newFakeHost(DefaultLimits(192))
	shared := address(7)
	admitted := map[bool]int{} // connections, by whether the address is shared
	attempted := map[bool]int{}
	for round := range 2000 {
		host.now += 10
		for i := range 4 {
			a, isShared := shared, i < 3
			if !isShared {
				a = address(100 + round%50)
			}
			attempted[isShared]++
			if id, reason := host.connect(a); reason == Admitted {
				admitted[isShared]++
				host.serveRequest(id)
				defer func() { host.close(id) }()
				if len(host.open) > 150 { // a client leaves
					for old := range host.open {
						if old < id-100 {
							host.close(old)
							break
						}
					}
				}
			}
		}
		if round > 1000 { // and one of them misbehaves
			if id, reason := host.connect(shared); reason == Admitted {
				host.controller.RequestMalformed(host.now, id)
				host.close(id)
			}
		}
	}
	admittedShare := func(isShared bool) float64 { return float64(admitted[isShared]) / float64(attempted[isShared]) }
	assert.InDelta(t, admittedShare(true), admittedShare(false), 0.03, "%v", host.controller.Refused)
	assert.Greater(t, admittedShare(true), 0.97)
}

// A known client need not wait until an unknown one's connection is old enough to be evicted; an unknown client does.
func TestKnownClientsBeforeUnknown(t *testing.T) {
	host := newFakeHost(DefaultLimits(8))
	for i := range 4 {
		host.makeKnown(address(i))
	}
	for i := range 8 {
		_, reason := host.connect(address(10 + i))
		require.Equal(t, i < 6, reason == Admitted, "two of eight are reserved for known clients")
	}
	for i := range 4 { // the two reserved places, and those of two unknown clients
		_, reason := host.connect(address(i))
		require.Equal(t, Admitted, reason)
	}
	_, reason := host.connect(address(100))
	assert.Equal(t, Full, reason)
}

// A request completes on a connection that was evicted at the same moment. The request must not be accepted.
func TestNoRequestOnEvictedConnection(t *testing.T) {
	host := newFakeHost(DefaultLimits(8))
	first, _ := host.connect(address(10))
	for i := range 5 {
		_, reason := host.connect(address(11 + i))
		require.Equal(t, Admitted, reason)
	}
	require.True(t, host.controller.RequestBegan(first))
	host.controller.RequestAnswered(host.now, first)
	host.now += 3000
	for i := range 6 { // each evicts one that has been idle
		_, reason := host.connect(address(20 + i))
		require.Equal(t, Admitted, reason)
	}
	assert.False(t, host.controller.RequestBegan(first))
}

// A client with a connection for each request becomes known as well.
func TestKnownWithConnectionPerRequest(t *testing.T) {
	host := newFakeHost(DefaultLimits(200))
	for range 4 {
		host.now += 1000
		id, reason := host.connect(address(1))
		require.Equal(t, Admitted, reason)
		host.serveRequest(id)
		host.now += 5
		host.close(id)
	}
	assert.True(t, host.controller.IsKnown(host.now, address(1)))
	assert.False(t, host.controller.IsKnown(host.now+3600e3, address(1)), "the count decays")
}

// A client behaves well until it is known, and then floods. It must get no more than half the reserve, and unknown clients must
// still be admitted.
func TestKnownClientThatFloods(t *testing.T) {
	host := newFakeHost(DefaultLimits(200))
	host.makeKnown(address(1))
	for range 3000 {
		host.now += 0.5
		if id, reason := host.connect(address(1)); reason == Admitted {
			host.serveRequest(id)
		}
	}
	assert.LessOrEqual(t, host.controller.sources[SourceOf(address(1))].tierKnownConns, 25)
	admitted := 0
	for i := range 100 {
		host.now += 30
		if id, reason := host.connect(address(1000 + i)); reason == Admitted {
			host.serveRequest(id)
			host.close(id)
			admitted++
		}
	}
	assert.Greater(t, admitted, 60, "once idle connections may be evicted, 2 s later, all are admitted")
}

// Ten million addresses connect; the memory that they use is bounded.
func TestMemoryIsBounded(t *testing.T) {
	limits := DefaultLimits(128)
	limits.MaxRemembered = 512
	host := newFakeHost(limits)
	connections := 10_000_000
	if testing.Short() {
		connections /= 10
	}
	for i := range connections {
		host.now += 0.1
		id, reason := host.connect(address(i))
		if reason != Admitted {
			continue
		}
		if i%3 == 0 {
			host.serveRequest(id)
		}
		if i%5 == 0 {
			host.controller.RequestMalformed(host.now, id)
		}
		if len(host.open) > 100 {
			host.close(id)
		}
	}
	assert.LessOrEqual(t, len(host.controller.sources), 128+512)
	assert.LessOrEqual(t, len(host.controller.remembered), 512)
	assert.LessOrEqual(t, len(host.controller.arrivalOrder), 2*128+65)
}

// The sketch's counts are never too low, they decay, and they survive a change of scale.
func TestCountMinSketch(t *testing.T) {
	sketch := newCountMinSketch()
	now := 0.0
	for i := range 2000 {
		sketch.raise(now, 100, SourceOf(address(i)), float64(i%40))
	}
	for i := range 2000 {
		require.GreaterOrEqual(t, sketch.get(now, 100, SourceOf(address(i))), float64(i%40))
	}
	assert.InDelta(t, sketch.get(now, 100, SourceOf(address(39)))/2, sketch.get(100, 100, SourceOf(address(39))), 0.01)
	assert.InDelta(t, 0, sketch.get(1e6, 100, SourceOf(address(39))), 1e-6)
	sketch.raise(1e6, 100, SourceOf(address(5)), 7)
	assert.InDelta(t, 7, sketch.get(1e6, 100, SourceOf(address(5))), 1e-3)
}

// For any events in any order, the counts match the connections, no connection with a request in flight is evicted, the limit
// holds, the same events give the same verdicts, and a well-behaved client that retries is admitted within 3 s as long as there
// are connections without a request that can be evicted for it.
func TestInvariantsInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := DefaultLimits(rapid.IntRange(8, 40).Draw(t, "conns"))
		limits.MaxRemembered = rapid.IntRange(1, 8).Draw(t, "addresses")
		host, duplicate := newFakeHost(limits), New(limits)
		hasRequest := map[uint64]bool{}
		for range rapid.IntRange(1, 200).Draw(t, "events") {
			host.now += rapid.SampledFrom([]float64{0, 1, 50, 300, 2500}).Draw(t, "passes")
			ids := make([]uint64, 0, len(host.open))
			for id := uint64(1); id <= host.lastID; id++ {
				if _, isOpen := host.open[id]; isOpen {
					ids = append(ids, id)
				}
			}
			event := rapid.IntRange(0, 4).Draw(t, "what")
			if event == 0 || len(ids) == 0 {
				from := address(rapid.IntRange(0, 12).Draw(t, "address"))
				host.lastID++
				verdict, duplicateVerdict := host.controller.Connect(host.now, host.lastID, from), duplicate.Connect(host.now, host.lastID, from)
				require.Equal(t, verdict, duplicateVerdict)
				for _, eviction := range verdict.Evictions {
					require.False(t, hasRequest[eviction.ID])
					delete(host.open, eviction.ID)
				}
				if verdict.Reason == Admitted {
					host.open[host.lastID] = from
				}
			} else {
				id := rapid.SampledFrom(ids).Draw(t, "id")
				for _, controller := range []*Controller{host.controller, duplicate} {
					switch event {
					case 1:
						controller.RequestBegan(id)
					case 2:
						controller.RequestAnswered(host.now, id)
					case 3:
						controller.RequestMalformed(host.now, id)
					case 4:
						controller.Closed(host.now, id)
					}
				}
				hasRequest[id] = event == 1
				if event == 4 {
					delete(host.open, id)
				}
			}
			require.Equal(t, len(host.open), host.controller.OpenConnections())
			require.LessOrEqual(t, host.controller.OpenConnections(), limits.MaxConnections)
			conns, unproven, reserved := 0, 0, 0
			for _, source := range host.controller.sources {
				require.GreaterOrEqual(t, source.unproven, 0)
				require.GreaterOrEqual(t, source.tierKnownConns, 0)
				conns, unproven, reserved = conns+source.conns, unproven+source.unproven, reserved+source.tierKnownConns
			}
			require.Equal(t, conns, host.controller.OpenConnections())
			require.Equal(t, conns, host.controller.countByTier[tierUnknown]+host.controller.countByTier[tierOverShare]+host.controller.countByTier[tierKnown])
			require.LessOrEqual(t, unproven, conns)
			require.Equal(t, reserved, host.controller.countByTier[tierKnown])
			require.LessOrEqual(t, len(host.controller.sources), limits.MaxConnections+limits.MaxRemembered)
		}
		busy := 0
		for id := range host.open {
			if hasRequest[id] {
				busy++
			}
		}
		if busy < limits.MaxConnections-int(limits.ReservedShare*float64(limits.MaxConnections)) {
			wellBehaved := address(1 << 20)
			reason := Full
			for i := 0; i < 30 && reason != Admitted; i++ {
				host.now += 100
				_, reason = host.connect(wellBehaved)
			}
			require.Equal(t, Admitted, reason)
		}
	})
}

// BenchmarkConnect measures the decision on one connection in a flood of unknown clients.
func BenchmarkConnect(b *testing.B) {
	for name, flood := range map[string]func(i int) netip.Addr{"one": func(int) netip.Addr { return address(9) }, "many": address} {
		b.Run(name, func(b *testing.B) {
			host := newFakeHost(DefaultLimits(192))
			i := 0
			for b.Loop() {
				i++
				host.now += 0.1
				_, _ = host.connect(flood(i))
			}
		})
	}
}
