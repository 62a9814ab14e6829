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
	// followInterval is the interval at which an instance that does not order polls the store.
	followInterval = time.Second

	// ticketKeyCheckInterval is the interval at which the age of the session ticket keys is checked.
	ticketKeyCheckInterval = time.Minute
)

// Instance is one of several processes that share a store. One of them holds the store's lock and orders for all. The
// others serve the certificates that it stores, and answer challenges with the answers that it publishes there. When it
// ends, another one takes over the lock.
type Instance struct {
	options      Options
	onTicketKeys func([][32]byte)

	mu            sync.RWMutex
	manager       *Manager                    // nil while another process orders
	byHost        map[string]*tls.Certificate // served while another process orders; nil until first read
	modTimes      map[string]time.Time        // of the store's files when they were read
	ticketKeyData []byte                      // the data last passed to onTicketKeys
	defaultName   string                      // the first certificate by name, served to clients without SNI
}

// Open opens the store, or follows the process that holds its lock. onTicketKeys is called with the TLS session ticket
// keys whenever they change, the newest first.
func Open(options Options, onTicketKeys func([][32]byte)) (*Instance, error) {
	if len(options.Names) == 0 {
		return nil, errors.New("no certificates are configured")
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

// tryLead makes this instance the one that orders if no other process holds the store's lock, and otherwise reads what
// that process has stored.
func (i *Instance) tryLead() error {
	manager, err := New(i.options)
	if errors.Is(err, ErrStoreLocked) {
		i.readStore()
		return nil
	}
	if err != nil {
		return err
	}
	i.mu.Lock()
	hasFollowed := i.byHost != nil
	i.manager = manager
	i.mu.Unlock()
	if hasFollowed {
		i.options.Log.Info("this instance orders certificates from now on", "dir", i.options.Dir)
	}
	return i.rotateTicketKeys()
}

// Run renews the certificates, or follows the process that does, until ctx is done. Then it releases the store.
func (i *Instance) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if manager := i.activeManager(); manager != nil {
			i.lead(ctx, manager)
			continue
		}
		sleepContext(ctx, followInterval)
		if err := i.tryLead(); err != nil {
			i.options.Log.Error("certificate store could not be opened", "error", err)
		}
	}
	_ = i.Close()
}

// lead runs the manager, and rotates the session ticket keys, until ctx is done.
func (i *Instance) lead(ctx context.Context, manager *Manager) {
	var running sync.WaitGroup
	running.Go(func() {
		for sleepContext(ctx, ticketKeyCheckInterval); ctx.Err() == nil; sleepContext(ctx, ticketKeyCheckInterval) {
			if err := i.rotateTicketKeys(); err != nil {
				i.options.Log.Error("session ticket key rotation failed", "error", err)
			}
		}
	})
	manager.Run(ctx)
	running.Wait()
}

// sleepContext waits until d has passed or ctx is done.
func sleepContext(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// activeManager returns the manager, or nil while another process orders.
func (i *Instance) activeManager() *Manager {
	i.mu.RLock()
	defer i.mu.RUnlock()
	return i.manager
}

// Close releases the store. Callers that don't call Run must call it.
func (i *Instance) Close() error {
	if manager := i.activeManager(); manager != nil {
		return manager.Close()
	}
	return nil
}

// readStore reads the files of the store that have changed since they were last read.
func (i *Instance) readStore() {
	sharedStore := &store{dir: i.options.Dir}
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.byHost == nil {
		i.byHost, i.modTimes = map[string]*tls.Certificate{}, map[string]time.Time{}
	}
	for name, hosts := range i.options.Names {
		if i.defaultName == "" || name < i.defaultName {
			i.defaultName = name
		}
		if i.hasChanged(sharedStore.filePath(name, certificateFile)) {
			i.readCertificate(sharedStore, name, hosts)
		}
	}
	if name := ticketKeyPath(i.options.Dir); i.hasChanged(name) {
		if data, err := os.ReadFile(name); err == nil {
			i.publishTicketKeys(data)
		}
	}
}

// readCertificate reads a certificate that another process has stored. If it can't be read, the previous one stays in
// use. The caller holds i.mu.
func (i *Instance) readCertificate(sharedStore *store, name string, hosts []string) {
	certificate, err := sharedStore.loadCertificate(name)
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

// hasChanged records a file's modification time and reports whether it differs from the last one. The caller holds i.mu.
func (i *Instance) hasChanged(name string) bool {
	info, err := os.Stat(name)
	if err != nil || info.ModTime().Equal(i.modTimes[name]) {
		return false
	}
	i.modTimes[name] = info.ModTime()
	return true
}

// Certificate returns the certificate for a handshake: that of the host, or the answer to a tls-alpn-01 challenge.
func (i *Instance) Certificate(hello *tls.ClientHelloInfo) (*tls.Certificate, error) {
	if manager := i.activeManager(); manager != nil {
		return manager.Certificate(hello)
	}
	if isChallenge(hello) {
		data, err := os.ReadFile(answerFile(i.options.Dir, answerKindTLS, hello.ServerName))
		if err != nil {
			return nil, fmt.Errorf("no pending challenge for %.80q", hello.ServerName)
		}
		proof, err := tls.X509KeyPair(data, data)
		return &proof, err
	}
	i.mu.RLock()
	defer i.mu.RUnlock()
	return certificateFor(i.byHost, i.options.Names[i.defaultName][0], hello.ServerName)
}

// Challenge returns the answer to an http-01 challenge, by its path.
func (i *Instance) Challenge(path string) (string, bool) {
	if manager := i.activeManager(); manager != nil {
		return manager.Challenge(path)
	}
	data, err := os.ReadFile(answerFile(i.options.Dir, answerKindHTTP, path))
	return string(data), err == nil
}

// OrderingProcess reports whether this instance orders certificates, and the ID of the process that does; 0 is unknown.
func (i *Instance) OrderingProcess() (isLocal bool, pid int) {
	if i.activeManager() != nil {
		return true, os.Getpid()
	}
	return false, lockHolder(i.options.Dir)
}

// Status returns the status of all certificates. While another process orders, it is read from the store.
func (i *Instance) Status() []Status {
	if manager := i.activeManager(); manager != nil {
		return manager.Status()
	}
	return ReadStatus(i.options)
}

// ReadStatus reads the status of all certificates from a store, whichever process holds its lock.
func ReadStatus(options Options) []Status {
	if options.Now == nil {
		options.Now = time.Now
	}
	sharedStore := &store{dir: options.Dir}
	state, err := sharedStore.readState()
	if err != nil {
		state = certs.State{}
	}
	reader := &Manager{options: options, store: sharedStore}
	reader.initScheduler(state)
	return reader.Status()
}

// Renew orders a certificate again now. Like Revoke and Rollover it fails if another process orders.
func (i *Instance) Renew(ctx context.Context, name string) error {
	return i.callManager(ctx, func(manager *Manager) error { return manager.Renew(name) })
}

// Revoke revokes a certificate at its authority, and orders another.
func (i *Instance) Revoke(ctx context.Context, name string) error {
	return i.callManager(ctx, func(manager *Manager) error { return manager.Revoke(ctx, name) })
}

// Rollover replaces the key of the account at an authority.
func (i *Instance) Rollover(ctx context.Context, authority int) error {
	return i.callManager(ctx, func(manager *Manager) error { return manager.Rollover(ctx, authority) })
}

func (i *Instance) callManager(ctx context.Context, f func(*Manager) error) error {
	manager := i.activeManager()
	if manager == nil {
		return fmt.Errorf("process %d orders the certificates in %s: send the command to it", lockHolder(i.options.Dir), i.options.Dir)
	}
	return manager.Call(ctx, func() error { return f(manager) })
}
