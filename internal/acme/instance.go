package acme

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"os"
	"sync"
	"time"

	"pearknot/internal/certs"
)

const (
	// followInterval is the time between two looks at the store by an instance that does not order.
	followInterval = time.Second

	// ticketKeyCheckInterval is the time between two looks at the age of the session ticket keys.
	ticketKeyCheckInterval = time.Minute
)

// Instance is one of several processes on a store. One of them has the store's lock and orders for all. The others serve
// the certificates that it stores, and answer challenges with the answers that it publishes there. When it ends, another
// one takes its place.
type Instance struct {
	options      Options
	onTicketKeys func([][32]byte)

	mu            sync.RWMutex
	keeper        *Keeper                     // nil while another process orders
	byHost        map[string]*tls.Certificate // to serve while another process orders; nil until first read
	modTimes      map[string]time.Time        // of the store's files when they were read
	ticketKeyData []byte                      // as onTicketKeys got it
	firstName     string                      // of the certificates, by name
}

// Open opens the store, or follows the process that has it. onTicketKeys gets the keys of TLS session tickets whenever
// they change, the newest first.
func Open(options Options, onTicketKeys func([][32]byte)) (*Instance, error) {
	if len(options.Names) == 0 {
		return nil, errors.New("no certificates are named")
	}
	if options.Now == nil {
		options.Now = time.Now
	}
	i := &Instance{options: options, onTicketKeys: onTicketKeys}
	if err := i.tryLead(); err != nil {
		return nil, err
	}
	return i, nil
}

// tryLead becomes the instance that orders where no other process has the store, and otherwise reads what that one has
// stored.
func (i *Instance) tryLead() error {
	keeper, err := New(i.options)
	if errors.Is(err, ErrStoreLocked) {
		i.readStore()
		return nil
	}
	if err != nil {
		return err
	}
	i.mu.Lock()
	hasFollowed := i.byHost != nil
	i.keeper = keeper
	i.mu.Unlock()
	if hasFollowed {
		i.options.Log.Info("this instance orders certificates from now on", "dir", i.options.Dir)
	}
	return i.rotateTicketKeys()
}

// Run keeps the certificates valid, or follows the process that does, until ctx is done. Then it releases the store.
func (i *Instance) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if keeper := i.leadingKeeper(); keeper != nil {
			i.lead(ctx, keeper)
			continue
		}
		sleep(ctx, followInterval)
		if err := i.tryLead(); err != nil {
			i.options.Log.Error("certificate store could not be opened", "error", err)
		}
	}
	_ = i.Close()
}

// lead runs the keeper, and keeps the session ticket keys young, until ctx is done.
func (i *Instance) lead(ctx context.Context, keeper *Keeper) {
	var running sync.WaitGroup
	running.Go(func() {
		for sleep(ctx, ticketKeyCheckInterval); ctx.Err() == nil; sleep(ctx, ticketKeyCheckInterval) {
			if err := i.rotateTicketKeys(); err != nil {
				i.options.Log.Error("session ticket key rotation failed", "error", err)
			}
		}
	})
	keeper.Run(ctx)
	running.Wait()
}

// sleep waits until d has passed or ctx is done.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// leadingKeeper is the keeper, or nil while another process orders.
func (i *Instance) leadingKeeper() *Keeper {
	i.mu.RLock()
	defer i.mu.RUnlock()
	return i.keeper
}

// Close releases the store. It is called where Run is not.
func (i *Instance) Close() error {
	if keeper := i.leadingKeeper(); keeper != nil {
		return keeper.Close()
	}
	return nil
}

// readStore reads what has changed in the store.
func (i *Instance) readStore() {
	files := &store{dir: i.options.Dir}
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.byHost == nil {
		i.byHost, i.modTimes = map[string]*tls.Certificate{}, map[string]time.Time{}
	}
	for name, hosts := range i.options.Names {
		if i.firstName == "" || name < i.firstName {
			i.firstName = name
		}
		if i.hasChanged(files.path(name, certificateFile)) {
			i.readCertificate(files, name, hosts)
		}
	}
	if name := ticketKeyPath(i.options.Dir); i.hasChanged(name) {
		if data, err := os.ReadFile(name); err == nil {
			i.publishTicketKeys(data)
		}
	}
}

// readCertificate reads a certificate that another process has stored. Where it can't be read, the one before is served
// on. The lock is held.
func (i *Instance) readCertificate(files *store, name string, hosts []string) {
	certificate, err := files.loadCertificate(name)
	if err != nil {
		i.options.Log.Error("certificate file not readable", "name", name, "error", err)
	}
	if certificate == nil {
		return
	}
	i.options.Log.Info("serving certificate", "name", name, "serial", certificate.Leaf.SerialNumber.String(),
		"not_after", certificate.Leaf.NotAfter.UTC().Format(time.RFC3339), "by_process", lockHolder(i.options.Dir))
	for _, host := range hosts {
		i.byHost[host] = certificate
	}
}

// hasChanged notes a file's modification time and reports whether it is another than before. The lock is held.
func (i *Instance) hasChanged(name string) bool {
	info, err := os.Stat(name)
	if err != nil || info.ModTime().Equal(i.modTimes[name]) {
		return false
	}
	i.modTimes[name] = info.ModTime()
	return true
}

// Certificate is the certificate for a handshake: that of the host, or the answer to a tls-alpn-01 challenge.
func (i *Instance) Certificate(hello *tls.ClientHelloInfo) (*tls.Certificate, error) {
	if keeper := i.leadingKeeper(); keeper != nil {
		return keeper.Certificate(hello)
	}
	if isChallenge(hello) {
		data, err := os.ReadFile(answerFile(i.options.Dir, answerProof, hello.ServerName))
		if err != nil {
			return nil, fmt.Errorf("no challenge of %.80q is open", hello.ServerName)
		}
		proof, err := tls.X509KeyPair(data, data)
		return &proof, err
	}
	i.mu.RLock()
	defer i.mu.RUnlock()
	return certificateFor(i.byHost, i.options.Names[i.firstName][0], hello.ServerName)
}

// Challenge is the answer to an http-01 challenge, by its path.
func (i *Instance) Challenge(path string) (string, bool) {
	if keeper := i.leadingKeeper(); keeper != nil {
		return keeper.Challenge(path)
	}
	data, err := os.ReadFile(answerFile(i.options.Dir, answerToken, path))
	return string(data), err == nil
}

// Orders reports whether this instance orders, and which process does; 0 is unknown.
func (i *Instance) Orders() (here bool, pid int) {
	if i.leadingKeeper() != nil {
		return true, os.Getpid()
	}
	return false, lockHolder(i.options.Dir)
}

// Status is the status of all certificates. While another process orders it is read from the store.
func (i *Instance) Status() []Status {
	if keeper := i.leadingKeeper(); keeper != nil {
		return keeper.Status()
	}
	return ReadStatus(i.options)
}

// ReadStatus reads the status of all certificates from a store, whichever process has that.
func ReadStatus(options Options) []Status {
	if options.Now == nil {
		options.Now = time.Now
	}
	files := &store{dir: options.Dir}
	state, err := files.readState()
	if err != nil {
		state = certs.State{}
	}
	reader := &Keeper{options: options, store: files}
	reader.start(state)
	return reader.Status()
}

// Renew orders a certificate again now. Like Revoke and Rollover it fails where another process orders.
func (i *Instance) Renew(ctx context.Context, name string) error {
	return i.callKeeper(ctx, func(keeper *Keeper) error { return keeper.Renew(name) })
}

// Revoke revokes a certificate at its authority, and orders another.
func (i *Instance) Revoke(ctx context.Context, name string) error {
	return i.callKeeper(ctx, func(keeper *Keeper) error { return keeper.Revoke(ctx, name) })
}

// Rollover gives the account at an authority a new key.
func (i *Instance) Rollover(ctx context.Context, authority int) error {
	return i.callKeeper(ctx, func(keeper *Keeper) error { return keeper.Rollover(ctx, authority) })
}

func (i *Instance) callKeeper(ctx context.Context, f func(*Keeper) error) error {
	keeper := i.leadingKeeper()
	if keeper == nil {
		return fmt.Errorf("process %d orders the certificates in %s: tell it", lockHolder(i.options.Dir), i.options.Dir)
	}
	return keeper.Call(ctx, func() error { return f(keeper) })
}
