package server

import (
	"net"
	"net/netip"
	"sync"

	"pearknot/internal/admission"
	"pearknot/internal/clock"
)

// headroom are descriptors of the clients' that stay free for whoever knocks: a flood is answered by closing, not by a
// queue in which known clients would wait as well.
const headroom = 4

// door has the core that decides who gets in, and the connections that it goes by. Its callers are the listeners and the
// handlers; nothing is done to a connection under its lock.
type door struct {
	clock *clock.Clock

	mu      sync.Mutex
	core    *admission.Core
	last    uint64
	clients map[uint64]*client
	told    func(pressed bool) // of each change
	pressed bool
}

// Clients is what a node tells of its clients.
type Clients struct {
	Open    int               `json:"open"`
	Limit   int               `json:"limit"`
	Pressed bool              `json:"pressed"`
	Refused map[string]uint64 `json:"refused"` // by reason, since the start
	LetGo   map[string]uint64 `json:"let_go"`
	Rows    []admission.Row   `json:"addresses"` // those with most connections first
}

const mostRows = 200

// enter takes a new connection or refuses it; those let go for it are closed.
func (d *door) enter(c *client) bool {
	from, err := netip.ParseAddrPort(c.RemoteAddr().String())
	if err != nil { // no address that counts can be made of it
		return true
	}
	d.mu.Lock()
	d.last++
	id := d.last
	v := d.core.Connect(d.clock.Now(), id, from.Addr())
	var gone []*client
	for _, l := range v.LetGo {
		gone = append(gone, d.clients[l.ID])
		delete(d.clients, l.ID)
	}
	taken := v.Why == admission.Admitted
	if taken {
		c.id = id
		d.clients[id] = c
	}
	d.change()
	d.mu.Unlock()
	for _, g := range gone {
		if g != nil {
			_ = g.Close() // it has no op in hand, and began refuses it one from now on
		}
	}
	return taken
}

// change tells of entering and leaving the state in which connections are chosen among, once each way.
func (d *door) change() {
	if p := d.core.Pressed(); p != d.pressed {
		d.pressed = p
		d.told(p)
	}
}

// began tells that an op is whole; false is that its connection has been let go, and is about to be closed.
func (d *door) began(c *client) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.core.Began(c.id)
}

func (d *door) closed(c *client) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.core.Closed(d.clock.Now(), c.id)
	delete(d.clients, c.id)
	d.change()
}

func (d *door) relimit(l admission.Limits) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.core.Relimit(l)
	d.change()
}

// judged tells the door of what became of an op, where there is one.
func (c *client) judged(how func(core *admission.Core, now float64, id uint64)) {
	if c.id != 0 {
		c.door.mu.Lock()
		defer c.door.mu.Unlock()
		how(c.door.core, c.door.clock.Now(), c.id)
	}
}

func (d *door) look() Clients {
	d.mu.Lock()
	defer d.mu.Unlock()
	return Clients{Open: d.core.Open(), Limit: d.core.Limit(), Pressed: d.core.Pressed(), Refused: texts(d.core.Refused), LetGo: texts(d.core.Let),
		Rows: d.core.Table(d.clock.Now(), mostRows)}
}

func texts(m map[admission.Reason]uint64) map[string]uint64 {
	all := make(map[string]uint64, len(m))
	for why, n := range m {
		all[string(why)] = n
	}
	return all
}

// refuse ends a connection that was not taken, at once and without the state that an orderly end would leave here.
func refuse(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}
