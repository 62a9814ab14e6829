// Package peers connects the processes of a fleet that take over each other's requests. Peers is an actor that owns this
// process's requestlog.Member, processes its outputs, and keeps two connections to each other process: one that this process
// opens, on which it sends frames, and one that the other process opens, on which it receives frames.
//
// It runs only if the operator configures a file of peers.
package peers

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"pearknot/internal/clock"
	"pearknot/internal/mailbox"
	"pearknot/internal/requestlog"
	"pearknot/internal/throttledlog"
)

// Member is one process of the fleet.
type Member struct {
	Name    string
	Address string // host and port
}

// Config is the operator's configuration of the fleet.
type Config struct {
	Fleet       string
	Members     []Member // the same in the same order at all members
	Self        int      // this process's index among them
	Replicas    int      // number of replicas of each request log
	Keys        [][]byte // shared secrets: this process authenticates itself with the first and accepts any of them
	MaxLogBytes int      // maximum size of the ledger of one request log
	AnswerTTL   float64  // time for which an answer is stored, in ms
}

// frameReserveBytes is the size that a frame may have in addition to the snapshot of a ledger.
const frameReserveBytes = 4 << 20

// maxFrameBytes returns the size of the largest frame, which holds the snapshot of a full ledger.
func (c *Config) maxFrameBytes() int { return c.MaxLogBytes + c.MaxLogBytes/4 + frameReserveBytes }

// maxQueuedBytes returns the limit of the bytes that are queued for one member: two of the largest frames, since one snapshot
// may be queued behind another.
func (c *Config) maxQueuedBytes() int64 { return 2 * int64(c.maxFrameBytes()) }

// Descriptors returns the largest number of file descriptors that the links use: two for each member, one for the listener,
// and those of the connections whose handshake is in progress.
func (c *Config) Descriptors() int { return 2*len(c.Members) + 1 + maxHandshakes }

// rejectionLogInterval is the minimum time between two log lines about rejected connections, since a process with a wrong key
// keeps retrying.
const rejectionLogInterval = time.Second

// Peers is this process's part of the fleet. Lookup, Append, State and Shutdown may be called from any goroutine.
type Peers struct {
	config      Config
	incarnation uint64
	clock       *clock.Clock
	log         *slog.Logger
	onTakeover  func(requestlog.Entry)
	mailbox     *mailbox.Box[func()]
	listening   chan struct{} // closed once this process listens on its address
	cancel      context.CancelFunc
	wg          sync.WaitGroup

	rejectionLog *throttledlog.Throttle

	// Used by the actor only.
	member    *requestlog.Member
	callbacks map[uint64]func(requestlog.Reply) // of calls without a reply, by call ID
	lastID    uint64
	links     []link // by member index; this process's own entry is not used
	takeovers uint64
}

// New returns a Peers that is not started yet. onTakeover is called with each request that this process has taken over; it
// must not block.
func New(config Config, c *clock.Clock, onTakeover func(requestlog.Entry), log *slog.Logger) *Peers {
	names := make([]string, len(config.Members))
	for i, member := range config.Members {
		names[i] = member.Name
	}
	incarnation := uint64(c.Now())
	return &Peers{
		config:       config,
		incarnation:  incarnation,
		clock:        c,
		log:          log,
		onTakeover:   onTakeover,
		mailbox:      mailbox.New[func()](),
		listening:    make(chan struct{}),
		rejectionLog: throttledlog.New(rejectionLogInterval),
		member: requestlog.New(requestlog.Config{
			Members:     names,
			Self:        config.Self,
			Incarnation: incarnation,
			Replicas:    config.Replicas,
			Seed:        rand.Uint64(),
			MaxLogBytes: config.MaxLogBytes,
			AnswerTTL:   config.AnswerTTL,
		}, c.Now()),
		callbacks: map[uint64]func(requestlog.Reply){},
		links:     make([]link, len(config.Members)),
	}
}

// Start listens for the other members and connects to them, until Stop.
func (p *Peers) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	p.wg.Go(func() { p.run(ctx) })
	p.wg.Go(func() { p.listen(ctx) })
	for member := range p.config.Members {
		if member != p.config.Self {
			p.wg.Go(func() { p.keepConnected(ctx, member) })
		}
	}
}

// Shutdown begins a graceful shutdown: the leadership of this process's request logs is transferred to others where possible.
func (p *Peers) Shutdown() {
	p.mailbox.Put(func() { p.member.Shutdown(p.clock.Now()) })
}

// Stop closes all links and waits for all goroutines. Calls without a reply get NoQuorum. It must be called after Start;
// further calls do nothing.
func (p *Peers) Stop() {
	p.cancel()
	p.wg.Wait()
}

// Lookup looks up the state of a key, until a deadline in ms of the clock. The actor calls the callback once with the result;
// the callback must not block.
func (p *Peers) Lookup(key string, fingerprint uint64, deadline float64, callback func(requestlog.Reply)) {
	p.mailbox.Put(func() {
		p.member.Lookup(p.clock.Now(), p.registerCallback(callback), key, fingerprint, deadline)
	})
}

// Append appends a record to the log of its key, until a deadline in ms of the clock. The actor calls the callback once with
// the result; the callback must not block.
func (p *Peers) Append(record requestlog.Record, deadline float64, callback func(requestlog.Reply)) {
	p.mailbox.Put(func() {
		p.member.Append(p.clock.Now(), p.registerCallback(callback), record, deadline)
	})
}

func (p *Peers) registerCallback(callback func(requestlog.Reply)) (id uint64) {
	p.lastID++
	p.callbacks[p.lastID] = callback
	return p.lastID
}

// State returns this process's status of the request logs. It waits for the actor.
func (p *Peers) State(ctx context.Context) (requestlog.Status, error) {
	answer := make(chan requestlog.Status, 1)
	p.mailbox.Put(func() {
		state := p.member.Status()
		state.Takeovers = p.takeovers
		answer <- state
	})
	select {
	case state := <-answer:
		return state, nil
	case <-ctx.Done():
		return requestlog.Status{}, ctx.Err()
	}
}

// run is the actor's main loop. It returns when the context ends.
func (p *Peers) run(ctx context.Context) {
	ticker := time.NewTicker(requestlog.TickMs * time.Millisecond)
	defer ticker.Stop()
	var messages []func()
	for {
		select {
		case <-ctx.Done():
			p.closeAll()
			return
		case <-p.mailbox.Ready():
			messages = p.mailbox.TakeAll(messages)
			for _, message := range messages {
				message()
			}
		case <-ticker.C:
			p.member.Tick(p.clock.Now())
		}
		p.executeDecisions(ctx)
	}
}

func (p *Peers) closeAll() {
	for _, callback := range p.callbacks {
		callback(requestlog.Reply{Result: requestlog.NoQuorum})
	}
	for member := range p.links {
		p.closeInbound(member)
		p.closeOutbound(member)
	}
}

// executeDecisions executes the member's decisions until there are none left.
func (p *Peers) executeDecisions(ctx context.Context) {
	for {
		output, ok := p.member.Next()
		if !ok {
			return
		}
		switch {
		case output.Frame != nil:
			p.sendFrame(output.To, output.Frame)
		case output.Reply != nil:
			p.reply(*output.Reply)
		case output.TakenOver != nil:
			p.takeovers++
			p.onTakeover(*output.TakenOver)
		case output.Event != nil:
			p.log.LogAttrs(ctx, slog.LevelInfo, output.Event.Message, output.Event.Attrs()...)
		}
	}
}

func (p *Peers) reply(reply requestlog.Reply) {
	callback := p.callbacks[reply.ID]
	if callback == nil {
		return
	}
	delete(p.callbacks, reply.ID)
	callback(reply)
}

// logRejection logs that a connection was rejected, or closed because of an invalid frame.
func (p *Peers) logRejection(remote string, err error) {
	p.rejectionLog.Event(func(sinceLast int64) {
		p.log.Warn("peer connection rejected", "remote", remote, "error", err, "since_last", sinceLast)
	})
}
