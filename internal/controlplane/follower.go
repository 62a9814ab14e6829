package controlplane

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"

	"github.com/cespare/xxhash/v2"

	"pearknot/internal/snapshot"
)

const (
	silentAfter  = 2500.0 // ms without a frame, after which another member is tried
	dialWithin   = 1000.0
	againFrom    = 200.0 // between two tries, growing to
	againUpTo    = 2000.0
	staleAfter   = 2000.0 // a server whose copy may be older is left for another,
	restFrom     = 1000.0 // at most so often, growing as all of the region have been tried, to
	restUpTo     = 30e3
	homeEvery    = 30e3  // from a member of another region, one of the own is tried again, up to twice that,
	homeUpTo     = 480e3 // and as that fails, more seldom: a try is some seconds without a member
	mostBad      = 3     // wrong digests from one member, after which another is tried
	askEvery     = 500.0 // between two asks to begin anew on one connection
	statusAtMost = 250.0 // between two statuses, where more than the time has changed
)

// Follower is a node's part, or that of a member without a vote: it holds one connection, to a member that it picks, and what it last
// got, whatever becomes of that. A copy that it begins with is taken for what is held: its Take is not given again.
type Follower struct {
	t       FollowerConfig
	chance  *rand.Rand
	order   []int // of members: the own region's first, in the order of their scores
	own     int   // so many are of the own region
	at      int   // place in order
	link    linkState
	since   float64 // when the link got into its state
	dialAt  float64 // when none is there
	wait    float64
	failed  int // tries since one was heard
	heardAt float64
	rest    float64 // until another is looked for, where the copy is old
	tried   int     // so many were left
	abroad  int     // members of other regions that were tried for a fresher copy
	seeking bool    // one of them is: if it isn't had, or isn't fresh, back home
	restAt  float64
	home    float64 // until one of the own region is tried again
	homeAt  float64

	h       *History
	in      *packed // the whole that is coming
	bad     int
	askedAt float64

	inForce, refused uint64
	why              string
	toldAt           float64 // when the latest status went out
	changed          bool    // something since
	freshAt          float64
	claim            heartbeat // what will be fresh once its head is held
	claimed          bool
	take             *Take
	out              []FollowerOutput
}

type linkState int

const (
	idle linkState = iota
	dialing
	linked
)

// NewFollower begins with a copy, or none.
func NewFollower(t FollowerConfig, c Copy, now float64) *Follower {
	most := 0
	if t.Kind == KindMember {
		most = cmp.Or(t.Kept, mostKept)
	}
	f := &Follower{t: t, chance: rand.New(rand.NewPCG(t.Seed, xxhash.Sum64String(t.Name))), h: newHistory(0, nothing(), most),
		wait: againFrom, rest: restFrom, home: homeEvery, freshAt: math.Inf(-1), askedAt: math.Inf(-1)}
	if c.Version > 0 && c.Text != nil {
		f.h.reset(c.Version, c.Text)
	}
	for k := range t.Members {
		f.order = append(f.order, k)
		if t.Members[k].Region == t.Region {
			f.own++
		}
	}
	// Rendezvous hashing: the one of the highest score, so that each member has its share and the loss of one moves only its own.
	score := func(k int) uint64 { return xxhash.Sum64String(t.Name + "\x00" + t.Members[k].Name) }
	slices.SortFunc(f.order, func(a, b int) int {
		if home := t.Members[a].Region == t.Region; home != (t.Members[b].Region == t.Region) {
			if home {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(score(b), score(a)), cmp.Compare(a, b))
	})
	f.dialAt = now + f.chance.Float64()*againFrom
	return f
}

func (f *Follower) member() int { return f.order[f.at] }

// Tick lets time pass.
func (f *Follower) Tick(now float64) {
	if len(f.order) == 0 {
		return
	}
	switch f.link {
	case idle:
		if now >= f.dialAt {
			f.link, f.since = dialing, now
			f.out = append(f.out, FollowerOutput{Dial: true, Member: f.member()})
		}
	case dialing:
		if now-f.since > dialWithin {
			f.hangup(now)
		}
	case linked:
		switch {
		case now-f.heardAt > silentAfter:
			f.hangup(now)
		case f.at >= f.own && f.own > 0 && now >= f.homeAt:
			f.home = min(2*f.home, homeUpTo)
			f.leave(now, 0)
		case now-f.toldAt >= statusEvery || f.changed && now-f.toldAt >= statusAtMost:
			f.tell(now, frameStatus)
		}
	}
}

// hangup ends the link or the dial; the next member is tried.
func (f *Follower) hangup(now float64) {
	f.out = append(f.out, FollowerOutput{Hangup: true})
	f.fail(now)
}

// leave goes to another member though this one answers.
func (f *Follower) leave(now float64, to int) {
	f.out = append(f.out, FollowerOutput{Hangup: true})
	f.unlink(now)
	f.at, f.dialAt = to, now
}

func (f *Follower) unlink(now float64) {
	f.link, f.since, f.in, f.claimed = idle, now, nil, false
}

func (f *Follower) fail(now float64) {
	f.unlink(now)
	f.failed++
	switch {
	case f.seeking:
		f.at, f.seeking = 0, false
	case f.at+1 == f.own && f.own < len(f.order): // none at home: each time the next one abroad, for the one before may be the one with the old copy
		f.at = f.foreign()
	default:
		f.at = (f.at + 1) % len(f.order)
	}
	// Tries are spread over the wait, so that all that lose a member together don't come to the next one together.
	f.dialAt = now + f.chance.Float64()*f.wait
	if f.failed%len(f.order) == 0 {
		f.wait = min(2*f.wait, againUpTo)
	}
}

// Connected tells that a dial has come through: the member has proven who it is.
func (f *Follower) Connected(now float64, member int) {
	if f.link != dialing || member != f.member() {
		return
	}
	f.link, f.since, f.heardAt, f.bad = linked, now, now, 0
	if f.at < f.own {
		f.home = homeEvery
	}
	f.homeAt = now + f.home*(1+f.chance.Float64())
	f.ask(now)
}

// Lost tells that the connection has ended, or the dial has failed.
func (f *Follower) Lost(now float64) {
	if f.link != idle {
		f.fail(now)
	}
}

// ask says what is held: the server begins anew from there.
func (f *Follower) ask(now float64) {
	f.in, f.askedAt, f.claimed = nil, now, false
	f.tell(now, frameHello)
}

func (f *Follower) tell(now float64, kind byte) {
	version, doc := f.h.Head()
	s := status{At: now, Held: version, InForce: f.inForce, Refused: f.refused, Why: f.why, Age: max(now-f.freshAt, 0)}
	if f.in != nil {
		s.Got = uint64(len(f.in.data))
	}
	if kind == frameHello {
		s.Digest, s.Region, s.Kind = doc.digest[:], f.t.Region, f.t.Kind
		s.Whole = f.bad > 0
	}
	f.out = append(f.out, FollowerOutput{Frame: frame(kind, &s)})
	f.toldAt, f.changed = now, false
}

// Heard tells that something came, be it a part of a frame: a long one on a slow link is no silence.
func (f *Follower) Heard(now float64) {
	if f.link == linked {
		f.heardAt = now
	}
}

// Frame takes what the member says.
func (f *Follower) Frame(now float64, data []byte) {
	if f.link != linked {
		return
	}
	kind, body, err := kindOf(data)
	if err != nil {
		f.hangup(now)
		return
	}
	f.heardAt = now
	switch kind {
	case frameChange:
		err = f.change(now, body)
	case frameHeartbeat:
		err = f.heartbeat(now, body)
	case frameBegin:
		err = f.begin(now, body)
	case frameChunk:
		err = f.chunk(now, body)
	default:
		err = errFrame
	}
	if err != nil {
		f.hangup(now)
		return
	}
	f.freshen(now)
}

func (f *Follower) change(now float64, body []byte) error {
	c, err := decodeChange(body)
	if err != nil {
		return err
	}
	version, doc := f.h.Head()
	switch {
	case c.Version == version+1, f.t.InjectedBug == OutOfOrder:
	case c.Version <= version:
		return nil // it is known
	default:
		f.askAgain(now)
		return nil
	}
	next, err := doc.splice(c.Splices)
	if err == nil && next.digest != c.Digest && f.t.InjectedBug != DigestUnchecked && c.Version == version+1 {
		err = errDigest
	}
	if err != nil {
		return f.wrong(now)
	}
	f.in = nil
	f.h.take(c, next)
	f.changed = true
	if f.take == nil {
		f.take = &Take{Changes: []Change{}}
	}
	if f.take.Changes != nil {
		f.take.Changes = append(f.take.Changes, c)
	}
	f.take.Version, f.take.Text = c.Version, next
	return nil
}

// wrong drops what came, and asks for the whole; a member that says so again and again is left.
func (f *Follower) wrong(now float64) error {
	if f.bad++; f.bad > mostBad {
		return errDigest
	}
	f.ask(now)
	return nil
}

// askAgain asks for what is lacking, after a gap that the link's order should not have.
func (f *Follower) askAgain(now float64) {
	if now-f.askedAt >= askEvery {
		f.ask(now)
	}
}

func (f *Follower) begin(now float64, body []byte) error {
	var b begin
	if snapshot.Read(body, &b) != nil || len(b.Digest) != len(Digest{}) || b.Size == 0 || b.Size > MostDocument+mostWords || b.Text > MostDocument || b.Version == 0 {
		return errFrame
	}
	f.in = &packed{version: b.Version, digest: Digest(b.Digest), size: int(b.Size), text: int(b.Text)}
	return nil
}

func (f *Follower) chunk(now float64, body []byte) error {
	var c chunk
	if snapshot.Read(body, &c) != nil || len(c.Data) == 0 {
		return errFrame
	}
	if f.in == nil || c.At != uint64(len(f.in.data)) || len(f.in.data)+len(c.Data) > f.in.size {
		f.askAgain(now) // one before it was lost, or it is of a whole that is not wanted any more
		return nil
	}
	f.in.data = append(f.in.data, c.Data...)
	if len(f.in.data) < f.in.size {
		f.tell(now, frameStatus)
		return nil
	}
	in := f.in
	f.tell(now, frameStatus)
	f.in = nil
	text, err := unpack(in.data, in.text)
	if err != nil {
		return f.wrong(now)
	}
	doc, err := newDocument(string(text))
	if err != nil || doc.digest != in.digest && f.t.InjectedBug != DigestUnchecked {
		return f.wrong(now)
	}
	f.bad = 0
	if version, have := f.h.Head(); in.version < version || in.version == version && have.digest == doc.digest {
		return nil // versions only go on
	}
	f.h.reset(in.version, doc)
	f.changed = true
	f.take = &Take{Version: in.version, Text: doc}
	return nil
}

func (f *Follower) heartbeat(now float64, body []byte) error {
	b, err := readHeartbeat(body)
	if err != nil {
		return err
	}
	if f.failed > 0 || f.wait > againFrom {
		f.failed, f.wait = 0, againFrom
	}
	version, doc := f.h.Head()
	switch {
	case b.Sent > version && b.Sent <= b.Head, f.in == nil && b.Whole > 0, f.in != nil && b.Whole > uint64(len(f.in.data)):
		f.askAgain(now) // something of it was lost
	case b.Head == version && b.Digest != doc.digest.start() && f.t.InjectedBug != DigestUnchecked:
		if now-f.askedAt >= askEvery {
			return f.wrong(now)
		}
	default:
		f.claim, f.claimed = b, true
	}
	if b.Age <= staleAfter {
		f.rest, f.restAt, f.tried, f.seeking = restFrom, 0, 0, false
	} else if f.restAt == 0 {
		f.restAt = now // at once, the first time
	}
	if b.Age > staleAfter && now >= f.restAt && len(f.order) > 1 && f.t.InjectedBug != StayPut {
		f.restAt = now + f.rest*(1+f.chance.Float64()/2)
		if f.tried++; f.tried >= f.own {
			f.rest = min(2*f.rest, restUpTo)
		}
		f.leave(now, f.fresher())
	}
	return nil
}

// fresher is where to look for a fresher copy: at all of the own region, then at one of another, each time at the next. A region that is
// alone keeps to its own members so, but for a try now and then.
func (f *Follower) fresher() int {
	switch {
	case f.at+1 < f.own || f.own == 0:
		return (f.at + 1) % len(f.order)
	case f.at >= f.own || f.own == len(f.order):
		f.seeking = false
		return 0
	}
	f.seeking = true
	return f.foreign()
}

// foreign is the next one of other regions' members.
func (f *Follower) foreign() int {
	f.abroad++
	return f.own + (f.abroad-1)%(len(f.order)-f.own)
}

// freshen takes what a heartbeat has claimed, once all that it spoke of is held. The time is that at which the server had it, reckoned
// from a status of this follower that the server had heard: however long the heartbeat was under way, the claim is never too much.
func (f *Follower) freshen(now float64) {
	if version, _ := f.h.Head(); f.claimed && version >= f.claim.Head {
		at := f.claim.Echo + f.claim.Offset
		if f.t.InjectedBug == ReceiptAge {
			at = now - f.claim.Age
		}
		f.freshAt = max(f.freshAt, min(at, now))
		f.claimed = false
	}
}

// InForce tells that a version is in force.
func (f *Follower) InForce(_ float64, version uint64) {
	f.inForce, f.changed = version, true
	if version >= f.refused {
		f.refused, f.why = 0, ""
	}
}

// Refused tells that a version can't be put in force, and why; what was in force stays.
func (f *Follower) Refused(_ float64, version uint64, why string) {
	if len(why) > mostWords {
		why = why[:mostWords]
	}
	f.refused, f.why, f.changed = version, why, true
}

// Next is what is to be done next.
func (f *Follower) Next() (FollowerOutput, bool) {
	if len(f.out) > 0 {
		o := f.out[0]
		f.out[0] = FollowerOutput{}
		if f.out = f.out[1:]; len(f.out) == 0 {
			f.out = nil
		}
		return o, true
	}
	if f.take != nil {
		t := f.take
		f.take = nil
		return FollowerOutput{Take: t}, true
	}
	return FollowerOutput{}, false
}

// State is how it stands.
func (f *Follower) State(now float64) FollowerState {
	version, doc := f.h.Head()
	s := FollowerState{Held: version, InForce: f.inForce, Refused: f.refused, Why: f.why, Digest: doc.digest, Age: max(now-f.freshAt, 0)}
	if f.link == linked {
		s.Member = f.t.Members[f.member()].Name
	}
	return s
}

// History is the copy, and with a member's the changes that it got: what its own Server serves. It goes on in place.
func (f *Follower) History() *History { return f.h }

// FreshAt is a time, by this process's clock, at which History had all that had been acknowledged; minus infinity where none is known.
func (f *Follower) FreshAt() float64 { return f.freshAt }
