// Package admission decides which clients' connections a node takes, and which it lets go first when descriptors run short.
// It does no I/O and holds no clock: events come in with their time in ms, verdicts are pulled; the same events give the same
// verdicts. What became of a connection counts, not its address alone: many members behind one shared address are many.
package admission

import (
	"math"
	"net/netip"
	"slices"
)

// Limits are a node's.
type Limits struct {
	Conns      int            // descriptors that clients may hold
	Reserve    float64        // share of them that only known clients get
	PressedAt  float64        // share of them from which on connections are chosen among
	CalmAt     float64        // and below which they no longer are
	Unproven   int            // connections without an answered op that one address may hold when pressed, beside one for each proven
	Penalty    float64        // odd ops and barren connections, faded, that one address may have beyond its good ops
	FadeHalf   float64        // in which the count of what was odd halves
	KnownAfter float64        // good ops, faded, from which on an address is known
	KnownHalf  float64        // in which the count of good ops halves
	Grace      float64        // a connection that says nothing keeps its place so long
	IdleFor    float64        // and one between two ops so long
	Addresses  int            // known addresses that are remembered without a connection
	Friends    []netip.Prefix // the operator's list: known whatever they did
}

// Defaults are those of a node with so many descriptors for clients.
func Defaults(conns int) Limits {
	return Limits{Conns: conns, Reserve: 0.25, PressedAt: 0.75, CalmAt: 0.6, Unproven: 16, Penalty: 32, FadeHalf: 10e3, KnownAfter: 3, KnownHalf: 600e3,
		Grace: 100, IdleFor: 2000, Addresses: 4096}
}

// Reason is why a connection is refused or let go.
type Reason string

const (
	Admitted  Reason = ""
	Penalised Reason = "too much that was odd came from there"
	Share     Reason = "too many from there without an op"
	Full      Reason = "full"
	Silent    Reason = "silent while others wait"
	Idle      Reason = "idle while others wait"
)

// Verdict on a connection: where Why is Admitted it is taken, and those named are let go for it.
type Verdict struct {
	Why   Reason
	LetGo []Loss
}

// Loss is a connection that is to be closed.
type Loss struct {
	ID  uint64
	Why Reason
}

// Core decides. It is not for use by several at once.
type Core struct {
	l        Limits
	conns    map[uint64]*conn
	order    []*conn // by their coming; what is gone is swept out now and then
	gone     int     // of those
	parties  map[netip.Prefix]*party
	resting  []*party // known ones without a connection, a ring of at most Addresses
	hand     int
	many     *sketch
	standing [vouched + 1]int // connections by it
	pressed  bool
	Refused  map[Reason]uint64
	Let      map[Reason]uint64
}

// standing is what a connection was taken as.
type standing int

const (
	stranger standing = iota
	extra             // of a known client that has its part of the reserve
	vouched           // of a known client
)

// conn is one connection.
type conn struct {
	id     uint64
	party  *party
	since  float64 // it came, or its latest op was answered
	proven bool    // an op was answered on it
	inHand bool
	as     standing
	odd    int  // malformed ops
	looked bool // at the health
	closed bool
}

// party is an address, or the /64 that is one customer's in IPv6 (RFC 6177).
type party struct {
	key      netip.Prefix
	conns    int
	unproven int
	vouched  int // taken as those of a known client
	good     fader
	bad      fader
	resting  bool
}

// fader is a count that halves with time.
type fader struct{ sum, at float64 }

func (f *fader) get(now, half float64) float64 { return f.sum * math.Exp2(-math.Max(now-f.at, 0)/half) }

func (f *fader) add(now, half, x float64) { f.sum, f.at = f.get(now, half)+x, math.Max(now, f.at) }

// New makes a core.
func New(l Limits) *Core {
	return &Core{l: l, conns: map[uint64]*conn{}, parties: map[netip.Prefix]*party{}, many: newSketch(), Refused: map[Reason]uint64{}, Let: map[Reason]uint64{}}
}

// Party is who is behind an address.
func Party(a netip.Addr) netip.Prefix {
	a = a.Unmap()
	bits := 32
	if a.Is6() {
		bits = 64
	}
	p, _ := a.WithZone("").Prefix(bits) // the bits are the address's own
	return p
}

func (c *Core) friend(p netip.Prefix) bool {
	return slices.ContainsFunc(c.l.Friends, func(f netip.Prefix) bool { return f.Contains(p.Addr()) })
}

// Known tells whether an address is one: its ops were answered lately, or the operator says so.
func (c *Core) Known(now float64, a netip.Addr) bool {
	key := Party(a)
	p := c.parties[key]
	return p != nil && p.good.get(now, c.l.KnownHalf) >= c.l.KnownAfter || c.friend(key)
}

// Limit is how many connections there may be.
func (c *Core) Limit() int { return c.l.Conns }

// Relimit takes new limits up. Nobody is dropped by it: what is over them now goes as it ends, or as others come.
func (c *Core) Relimit(l Limits) {
	l.Conns = c.l.Conns
	c.l = l
	c.press()
}

// Open is the number of connections.
func (c *Core) Open() int { return len(c.conns) }

// Pressed tells whether connections are chosen among.
func (c *Core) Pressed() bool { return c.pressed }

// press enters and leaves that state, at two marks, so that it does not flap.
func (c *Core) press() {
	share := float64(len(c.conns)) / float64(c.l.Conns)
	switch {
	case share >= c.l.PressedAt:
		c.pressed = true
	case share < c.l.CalmAt:
		c.pressed = false
	}
}

// Connect takes a new connection, by an id of the caller's that is never used twice, or refuses it.
func (c *Core) Connect(now float64, id uint64, from netip.Addr) Verdict {
	key := Party(from)
	p, known := c.parties[key], c.Known(now, from)
	as := stranger
	switch {
	case known && (p == nil || float64(p.vouched) < c.l.Reserve*float64(c.l.Conns)/2):
		as = vouched
	case known: // whoever has become known to flood gets no more than half the reserve by it
		as = extra
	}
	v := Verdict{Why: c.admit(now, key, p, known)}
	if v.Why == Admitted {
		if lost, needed := c.victim(now, p, as); lost != nil {
			v.LetGo = append(v.LetGo, *lost)
		} else if needed {
			v.Why = Full
		}
	}
	if v.Why != Admitted {
		c.Refused[v.Why]++
		return v
	}
	for _, l := range v.LetGo {
		c.Let[l.Why]++
		c.end(now, c.conns[l.ID], false)
	}
	if p = c.parties[key]; p == nil { // it may have been let go with its last connection
		p = &party{key: key, bad: fader{c.many.get(now, c.l.FadeHalf, key), now}}
		c.parties[key] = p
	}
	p.conns++
	p.unproven++
	x := &conn{id: id, party: p, since: now, as: as}
	c.conns[id] = x
	c.order = append(c.order, x)
	if as == vouched {
		p.vouched++
	}
	c.standing[as]++
	c.press()
	return v
}

// admit is what an address alone says.
func (c *Core) admit(now float64, key netip.Prefix, p *party, known bool) Reason {
	if c.friend(key) {
		return Admitted
	}
	good, bad, unproven, proven := 0.0, 0.0, 0, 0
	if p != nil {
		good, bad, unproven, proven = p.good.get(now, c.l.KnownHalf), p.bad.get(now, c.l.FadeHalf), p.unproven, p.conns-p.unproven
	} else {
		bad = c.many.get(now, c.l.FadeHalf, key)
	}
	// A shared address is many members': where ops are answered, those who are odd get a few places at a time, which the
	// others leave as soon as they have theirs answered.
	if bad > c.l.Penalty+good && (good < c.l.KnownAfter || unproven >= c.l.Unproven/4) {
		return Penalised
	}
	if c.pressed && unproven >= c.l.Unproven+proven {
		return Share
	}
	return Admitted
}

// victim finds whom a newcomer displaces; needed tells that there is no room without.
func (c *Core) victim(now float64, p *party, as standing) (lost *Loss, needed bool) {
	kept := [vouched + 1]float64{c.l.Reserve, c.l.Reserve / 2, 0}[as] * float64(c.l.Conns) // that is not for such
	others := len(c.conns) - c.standing[vouched]
	if len(c.conns) < c.l.Conns && (as == vouched || others < c.l.Conns-int(kept)) {
		return nil, false
	}
	own := 0
	if p != nil {
		own = p.unproven
	}
	var best *conn
	var bestRank [3]float64
	for _, x := range c.order {
		if x.closed || x.inHand || x.as == vouched && as != vouched {
			continue
		}
		quiet := now - x.since
		var rank [3]float64 // the least standing first: silent before idle, strangers before known, whoever has most there
		switch {
		case !x.proven && (quiet >= c.l.Grace || x.odd > 0 || x.party.unproven > own+1 || x.as == stranger && as == vouched):
			rank = [3]float64{2, float64(x.party.unproven), quiet}
		case x.proven && quiet >= c.l.IdleFor:
			rank = [3]float64{1, float64(x.party.conns), quiet}
		default:
			continue
		}
		rank[0] -= float64(x.as) / 4
		if best == nil || slices.Compare(rank[:], bestRank[:]) > 0 {
			best, bestRank = x, rank
		}
	}
	if best == nil {
		return nil, true
	}
	why := Silent
	if best.proven {
		why = Idle
	}
	return &Loss{best.id, why}, true
}

// Began tells that an op came whole on a connection; false is that the connection was let go meanwhile: no op is taken on
// it any more.
func (c *Core) Began(id uint64) bool {
	x := c.conns[id]
	if x != nil {
		x.inHand = true
	}
	return x != nil
}

// Answered tells that it has its final answer. Whoever has one has shown what he is here for.
func (c *Core) Answered(now float64, id uint64) {
	x := c.conns[id]
	if x == nil {
		return
	}
	x.inHand, x.since = false, now
	if !x.proven {
		x.proven = true
		x.party.unproven--
	}
	x.party.good.add(now, c.l.KnownHalf, 1)
}

// Looked tells that a connection was for looking at the node's health: it proves nothing, and its end is not held against
// anybody.
func (c *Core) Looked(_ float64, id uint64) {
	if x := c.conns[id]; x != nil {
		x.looked = true
	}
}

// Odd tells of a malformed op, or of a handshake that came to nothing.
func (c *Core) Odd(now float64, id uint64) {
	x := c.conns[id]
	if x == nil {
		return
	}
	x.inHand = false
	x.odd++
	x.party.bad.add(now, c.l.FadeHalf, 1)
}

// Closed tells of the end of a connection, whoever ended it.
func (c *Core) Closed(now float64, id uint64) {
	if x := c.conns[id]; x != nil {
		c.end(now, x, true)
	}
}

// end lets a connection go; barren ones, of their own doing, count against their address.
func (c *Core) end(now float64, x *conn, own bool) {
	p := x.party
	if !x.proven {
		p.unproven--
		if own && x.odd == 0 && !x.looked {
			p.bad.add(now, c.l.FadeHalf, 1)
		}
	}
	p.conns--
	if x.as == vouched {
		p.vouched--
	}
	c.standing[x.as]--
	x.closed = true
	delete(c.conns, x.id)
	if c.gone++; c.gone > 64 && c.gone > len(c.order)/2 {
		c.order = slices.DeleteFunc(c.order, func(x *conn) bool { return x.closed })
		c.gone = 0
	}
	if p.conns == 0 {
		c.rest(now, p)
	}
	c.press()
}

// leastGood keeps an address in mind with a single op answered, which has faded a little by the time its connection ends:
// else whoever comes with a connection for each op would never be known.
const leastGood = 0.5

// rest remembers an address without a connection: one that is good in a place of a ring, any other in the sketch.
func (c *Core) rest(now float64, p *party) {
	if p.good.get(now, c.l.KnownHalf) < leastGood {
		c.forget(now, p)
		return
	}
	if p.resting {
		return
	}
	p.resting = true
	if len(c.resting) < c.l.Addresses {
		c.resting = append(c.resting, p)
		return
	}
	// The least good of the next few goes: a known client is not pushed out by a crowd that came once.
	least, at := math.Inf(1), 0
	for k := range min(8, len(c.resting)) {
		i := (c.hand + k) % len(c.resting)
		if g := c.resting[i].good.get(now, c.l.KnownHalf); g < least {
			least, at = g, i
		}
	}
	c.hand = (c.hand + 8) % len(c.resting)
	if least > p.good.get(now, c.l.KnownHalf) {
		p.resting = false
		c.forget(now, p)
		return
	}
	out := c.resting[at]
	out.resting = false
	c.resting[at] = p
	if out.conns == 0 {
		c.forget(now, out)
	}
}

// forget leaves of an address what was odd, in the sketch.
func (c *Core) forget(now float64, p *party) {
	delete(c.parties, p.key)
	c.many.put(now, c.l.FadeHalf, p.key, p.bad.get(now, c.l.FadeHalf))
}

// Row is what is told of one address.
type Row struct {
	Address  string  `json:"address"`
	Known    bool    `json:"known"`
	Conns    int     `json:"connections"`
	Unproven int     `json:"unproven"` // of those, without an answered op
	Good     float64 `json:"good"`     // faded
	Odd      float64 `json:"odd"`      // faded
}

// Table tells of the addresses with connections, those with most first, so many at most.
func (c *Core) Table(now float64, most int) (rows []Row) {
	for key, p := range c.parties {
		if p.conns > 0 {
			rows = append(rows, Row{key.Addr().String(), c.Known(now, key.Addr()), p.conns, p.unproven, p.good.get(now, c.l.KnownHalf), p.bad.get(now, c.l.FadeHalf)})
		}
	}
	slices.SortFunc(rows, func(a, b Row) int {
		if a.Conns != b.Conns {
			return b.Conns - a.Conns
		}
		if a.Address < b.Address {
			return -1
		}
		return 1
	})
	return rows[:min(most, len(rows))]
}
