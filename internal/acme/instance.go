package acme

import (
	"bytes"
	"context"
	"crypto/rand"
	"crypto/tls"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"sync"
	"time"

	"pearknot/internal/certs"
)

const (
	followEvery = time.Second // looks at the files, by those who don't order

	// A ticket key seals for ticketLife and opens for ticketKeys-1 times that longer: far below the seven days that RFC 8446,
	// 4.6.1 allows a ticket.
	ticketLife = 12 * time.Hour
	ticketKeys = 3
)

// Instance is one of several processes on a store. One of them has it and orders for all; the others serve what it
// stores, and answer challenges with what it puts there. When it ends, another takes its place.
type Instance struct {
	o       Options
	tickets func([][32]byte)

	mu     sync.RWMutex
	keeper *Keeper // nil while another process orders
	served map[string]*tls.Certificate
	files  map[string]time.Time // of the certificates read, and of the ticket keys
	keys   []byte
	first  string
}

// Open takes the store, or follows the one that has it. Tickets is told the keys of session tickets, the newest first.
func Open(o Options, tickets func([][32]byte)) (*Instance, error) {
	if len(o.Names) == 0 {
		return nil, errors.New("no certificates are named")
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	i := &Instance{o: o, tickets: tickets}
	if err := i.take(); err != nil {
		return nil, err
	}
	return i, nil
}

// take becomes the one that orders, where nobody is.
func (i *Instance) take() error {
	k, err := New(i.o)
	switch {
	case errors.Is(err, ErrBusy):
		i.follow()
		return nil
	case err != nil:
		return err
	}
	i.mu.Lock()
	followed := i.served != nil
	i.keeper = k
	i.mu.Unlock()
	if followed {
		i.o.Log.Info("certificates: this instance orders from now on", "dir", i.o.Dir)
	}
	return i.rotate()
}

// Run goes on until ctx ends, and lets go of the store.
func (i *Instance) Run(ctx context.Context) {
	for ctx.Err() == nil {
		k := i.orders()
		if k == nil {
			pause(ctx, followEvery)
			if err := i.take(); err != nil {
				i.o.Log.Error("certificates can't be followed", "error", err)
			}
			continue
		}
		var turning sync.WaitGroup
		turning.Go(func() {
			for pause(ctx, time.Minute); ctx.Err() == nil; pause(ctx, time.Minute) {
				if err := i.rotate(); err != nil {
					i.o.Log.Error("ticket keys not rotated", "error", err)
				}
			}
		})
		k.Run(ctx)
		turning.Wait()
	}
	if k := i.orders(); k != nil {
		_ = k.Close()
	}
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

func (i *Instance) orders() *Keeper {
	i.mu.RLock()
	defer i.mu.RUnlock()
	return i.keeper
}

// Close lets go of a store whose Run was never called.
func (i *Instance) Close() error {
	if k := i.orders(); k != nil {
		return k.Close()
	}
	return nil
}

// follow reads what has changed.
func (i *Instance) follow() {
	s := &store{dir: i.o.Dir}
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.served == nil {
		i.served, i.files = map[string]*tls.Certificate{}, map[string]time.Time{}
	}
	for name, names := range i.o.Names {
		if i.first == "" || name < i.first {
			i.first = name
		}
		if !i.changed(s.at(name, servedFile)) {
			continue
		}
		c, err := s.served(name)
		if err != nil {
			i.o.Log.Error("certificate can't be read", "name", name, "error", err)
		}
		if c == nil { // what was read before goes on
			continue
		}
		i.o.Log.Info("certificate", "name", name, "serial", c.Leaf.SerialNumber.String(), "not_after", c.Leaf.NotAfter.UTC().Format(time.RFC3339), "by_process", holder(i.o.Dir))
		for _, n := range names {
			i.served[n] = c
		}
	}
	if name := filepath.Join(i.o.Dir, ticketFile); i.changed(name) {
		if data, err := os.ReadFile(name); err == nil {
			i.tell(data)
		}
	}
}

// changed notes a file's time and tells whether it is another.
func (i *Instance) changed(name string) bool {
	info, err := os.Stat(name)
	if err != nil || info.ModTime().Equal(i.files[name]) {
		return false
	}
	i.files[name] = info.ModTime()
	return true
}

// Certificate is what a TLS listener serves.
func (i *Instance) Certificate(hello *tls.ClientHelloInfo) (*tls.Certificate, error) {
	if k := i.orders(); k != nil {
		return k.Certificate(hello)
	}
	if proof(hello) {
		data, err := os.ReadFile(openFile(i.o.Dir, "proof", hello.ServerName))
		if err != nil {
			return nil, fmt.Errorf("no challenge of %.80q is open", hello.ServerName)
		}
		c, err := tls.X509KeyPair(data, data)
		return &c, err
	}
	i.mu.RLock()
	defer i.mu.RUnlock()
	return pick(i.served, i.o.Names[i.first][0], hello.ServerName)
}

// Challenge gives the answer to an http-01 challenge by its path.
func (i *Instance) Challenge(path string) (string, bool) {
	if k := i.orders(); k != nil {
		return k.Challenge(path)
	}
	data, err := os.ReadFile(openFile(i.o.Dir, "token", path))
	return string(data), err == nil
}

// Orders tells whether this instance orders, or else which process does; 0 is unknown.
func (i *Instance) Orders() (here bool, pid int) {
	if i.orders() != nil {
		return true, os.Getpid()
	}
	return false, holder(i.o.Dir)
}

// Status tells of all certificates; one that follows tells what it serves.
func (i *Instance) Status() []Status {
	if k := i.orders(); k != nil {
		return k.Status()
	}
	return Look(i.o)
}

// Look reads the state that a store has on disk, whoever has it.
func Look(o Options) []Status {
	if o.Now == nil {
		o.Now = time.Now
	}
	s := &store{dir: o.Dir}
	k := &Keeper{o: o, store: s}
	state, err := s.peek()
	if err != nil {
		state = certs.State{}
	}
	k.begin(state)
	return k.Status()
}

// Renew has a certificate ordered anew now; Revoke takes it back first. They fail where another process orders.
func (i *Instance) Renew(ctx context.Context, name string) error {
	return i.do(ctx, func(k *Keeper) error { return k.Renew(name) })
}

// Revoke revokes the certificate of that name at its authority, and orders another.
func (i *Instance) Revoke(ctx context.Context, name string) error {
	return i.do(ctx, func(k *Keeper) error { return k.Revoke(ctx, name) })
}

// Rollover gives the account at an authority a new key.
func (i *Instance) Rollover(ctx context.Context, authority int) error {
	return i.do(ctx, func(k *Keeper) error { return k.Rollover(ctx, authority) })
}

func (i *Instance) do(ctx context.Context, f func(*Keeper) error) error {
	k := i.orders()
	if k == nil {
		return fmt.Errorf("process %d orders the certificates in %s: tell it", holder(i.o.Dir), i.o.Dir)
	}
	return k.Do(ctx, func() error { return f(k) })
}

const ticketFile = "tickets"

// rotate sees that there is a key young enough, and tells all.
func (i *Instance) rotate() error {
	if i.orders() == nil {
		return nil
	}
	name := filepath.Join(i.o.Dir, ticketFile)
	data, err := os.ReadFile(name)
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	info, err := os.Stat(name)
	if len(data) == 0 || len(data)%32 != 0 || err != nil || i.o.Now().Sub(info.ModTime()) >= ticketLife {
		fresh := make([]byte, 32, 32*ticketKeys)
		if _, err := rand.Read(fresh); err != nil {
			return err
		}
		if len(data)%32 != 0 {
			data = nil
		}
		data = append(fresh, data[:min(len(data), 32*(ticketKeys-1))]...)
		if err := write(name, data); err != nil {
			return err
		}
		now := i.o.Now()
		if err := os.Chtimes(name, now, now); err != nil {
			return err
		}
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	i.tell(data)
	return nil
}

func (i *Instance) tell(data []byte) {
	if i.tickets == nil || bytes.Equal(data, i.keys) || len(data) == 0 || len(data)%32 != 0 {
		return
	}
	i.keys = data
	var keys [][32]byte
	for ; len(data) > 0; data = data[32:] {
		keys = append(keys, [32]byte(data))
	}
	i.tickets(keys)
}
