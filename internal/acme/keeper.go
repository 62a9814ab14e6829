// Package acme obtains certificates from an authority by RFC 8555 and keeps them valid. It is the adapter of
// internal/certs, which decides when: it has the store on disk, calls the authorities, answers challenges, and hands out
// the certificates to serve.
package acme

import (
	"cmp"
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"slices"
	"strings"
	"sync"
	"time"

	"golang.org/x/crypto/acme"

	"pearknot/internal/certs"
)

// defaultStepTimeout bounds one action. An order that the authority has not completed by then is looked at again later.
const defaultStepTimeout = 20 * time.Second

// maxStepWaitMs bounds the wait that Step returns, in ms, so that it fits a time.Duration.
const maxStepWaitMs = 1e10

// Options are a keeper's options, from the operator's file.
type Options struct {
	Dir         string              // the store
	Names       map[string][]string // the host names in each certificate, by the certificate's name
	Authorities []Authority         // the first is preferred
	Limits      certs.Limits
	AnswerHTTP  bool             // http-01 can be answered: Challenge is served on port 80 of the names
	AnswerTLS   bool             // tls-alpn-01 can be answered: Certificate is served on port 443 of the names
	Now         func() time.Time // nil is time.Now
	StepTimeout time.Duration    // of one action; 0 is defaultStepTimeout
	Log         *slog.Logger
	OnStep      func(name string) // called at each of StepNames, for tests; nil is nothing
}

// StepNames are the steps of an order, in their order.
var StepNames = []string{"noted", "keyed", "ordered", "opened", "fetched", "stored", "swapped"}

// Keeper is the actor that keeps certificates valid. Step, Rollover, Revoke and Renew are for one caller at a time, which
// is Run while that runs; the other methods may be called from any goroutine.
type Keeper struct {
	options   Options
	store     *store
	scheduler *certs.Scheduler // the actor's
	clients   []*client        // by authority, nil until first used; the actor's
	names     []string         // sorted
	calls     chan func()      // run by the actor between two steps
	ended     chan struct{}    // closed when Run has ended

	mu     sync.RWMutex
	byHost map[string]*tls.Certificate // to serve
	tokens map[string]string           // answers to http-01, by path
	proofs map[string]*tls.Certificate // answers to tls-alpn-01, by host
	status []Status
}

// New opens the store, and serves the certificates in it from now on, whatever their age. It returns ErrStoreLocked where
// another process has the store.
func New(options Options) (*Keeper, error) {
	if options.Now == nil {
		options.Now = time.Now
	}
	if options.OnStep == nil {
		options.OnStep = func(string) {}
	}
	opened, err := openStore(options.Dir)
	if err != nil {
		return nil, err
	}
	k := &Keeper{
		options: options,
		store:   opened,
		clients: make([]*client, len(options.Authorities)),
		calls:   make(chan func()),
		ended:   make(chan struct{}),
		tokens:  map[string]string{},
		proofs:  map[string]*tls.Certificate{},
	}
	if err := k.loadState(); err != nil {
		return nil, errors.Join(err, opened.close())
	}
	return k, nil
}

func (k *Keeper) loadState() error {
	state, damaged, err := k.store.loadState()
	if err != nil {
		return err
	}
	if damaged != nil {
		k.options.Log.Error("certificate state damaged, set aside", "error", damaged)
	}
	k.start(state)
	return nil
}

// start makes the scheduler of a state, and serves the certificates in the store.
func (k *Keeper) start(state certs.State) {
	for name := range k.options.Names {
		k.names = append(k.names, name)
	}
	slices.Sort(k.names)
	k.byHost = map[string]*tls.Certificate{}
	k.options.Limits.AuthorityCount = len(k.options.Authorities)
	k.scheduler = certs.New(state, k.names, k.options.Limits)
	for _, name := range k.names {
		k.startName(name)
	}
	k.publishStatus()
}

func (k *Keeper) startName(name string) {
	certificate, err := k.store.loadCertificate(name)
	if err != nil { // what can't be read can't be served; it is ordered again
		k.options.Log.Error("certificate file not readable", "name", name, "error", err)
	}
	nameState := k.scheduler.Names[name]
	if certificate == nil {
		nameState.Certificate = nil
		return
	}
	// Where the state and the certificate's file differ, the file counts: it is written first.
	if nameState.Certificate == nil || nameState.Certificate.Serial != certificate.Leaf.SerialNumber.String() {
		fromFile := certificateOf(certificate.Leaf)
		nameState.Certificate = &fromFile
	}
	k.serve(name, certificate)
}

// Close releases the store.
func (k *Keeper) Close() error {
	for _, c := range k.clients {
		if c != nil {
			c.close()
		}
	}
	return k.store.close()
}

// certificateOf is what the scheduler knows of a certificate.
func certificateOf(leaf *x509.Certificate) certs.Certificate {
	return certs.Certificate{
		RenewalID: renewalID(leaf),
		Serial:    leaf.SerialNumber.String(),
		NotBefore: toMs(leaf.NotBefore),
		NotAfter:  toMs(leaf.NotAfter),
	}
}

func toMs(t time.Time) float64 { return float64(t.UnixMilli()) }

func (k *Keeper) nowMs() float64 { return toMs(k.options.Now()) }

// serve serves a certificate from now on. Handshakes in progress complete with the one that they have begun with.
func (k *Keeper) serve(name string, certificate *tls.Certificate) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, host := range k.options.Names[name] {
		k.byHost[host] = certificate
	}
}

// Certificate is the certificate for a handshake: that of the host, or the answer to a tls-alpn-01 challenge.
func (k *Keeper) Certificate(hello *tls.ClientHelloInfo) (*tls.Certificate, error) {
	k.mu.RLock()
	defer k.mu.RUnlock()
	if isChallenge(hello) {
		if certificate := k.proofs[hello.ServerName]; certificate != nil {
			return certificate, nil
		}
		return nil, fmt.Errorf("no challenge of %q is open", hello.ServerName)
	}
	return certificateFor(k.byHost, k.options.Names[k.names[0]][0], hello.ServerName)
}

// isChallenge reports whether a handshake is that of a tls-alpn-01 challenge (RFC 8737, 3).
func isChallenge(hello *tls.ClientHelloInfo) bool {
	return len(hello.SupportedProtos) == 1 && hello.SupportedProtos[0] == acme.ALPNProto
}

// certificateFor is the certificate of a host; a client that names none (without SNI, RFC 6066, 3) gets that of
// defaultHost.
func certificateFor(byHost map[string]*tls.Certificate, defaultHost, host string) (*tls.Certificate, error) {
	if certificate := byHost[cmp.Or(strings.ToLower(host), defaultHost)]; certificate != nil {
		return certificate, nil
	}
	return nil, fmt.Errorf("no certificate for %.80q", host)
}

// Challenge is the answer to an http-01 challenge, by its path.
func (k *Keeper) Challenge(path string) (string, bool) {
	k.mu.RLock()
	defer k.mu.RUnlock()
	answer, ok := k.tokens[path]
	return answer, ok
}

// Run keeps the certificates valid until ctx is done.
func (k *Keeper) Run(ctx context.Context) {
	defer close(k.ended)
	for ctx.Err() == nil {
		wait := k.Step(ctx)
		timer := time.NewTimer(min(wait, time.Minute)) // a machine that slept looks at its clock again
		select {
		case <-ctx.Done():
		case <-timer.C:
		case call := <-k.calls:
			call()
		}
		timer.Stop()
	}
}

// Call has Run call f between two steps, and returns f's error. It fails once ctx is done, and after Run.
func (k *Keeper) Call(ctx context.Context, f func() error) error {
	result := make(chan error, 1)
	call := func() {
		result <- f()
		k.publishStatus()
	}
	select {
	case k.calls <- call:
		return <-result
	case <-k.ended:
		return errors.New("the keeper of certificates has ended")
	case <-ctx.Done():
		return fmt.Errorf("the keeper of certificates is busy: %w", ctx.Err())
	}
}

// Step carries out the action that is due, if any, and returns how long to wait for the next; 0 is not at all.
func (k *Keeper) Step(ctx context.Context) time.Duration {
	if action, isDue := k.scheduler.Next(k.nowMs()); isDue {
		stepCtx, cancel := context.WithTimeout(ctx, cmp.Or(k.options.StepTimeout, defaultStepTimeout))
		err := k.carryOut(stepCtx, action)
		cancel()
		if err != nil && ctx.Err() == nil {
			k.actionFailed(action, classify(err))
		}
		if err := k.store.saveState(k.scheduler.State); err != nil {
			k.options.Log.Error("certificate state write failed", "error", err)
		}
		k.publishStatus()
	}
	wait := math.Min(k.scheduler.WaitMs(k.nowMs()), maxStepWaitMs)
	return time.Duration(math.Ceil(wait)) * time.Millisecond
}

// actionFailed reports a failure to the scheduler and logs it: as an error where little time is left.
func (k *Keeper) actionFailed(action certs.Action, f *failure) {
	retryAfterMs := float64(f.retryAfter.Milliseconds())
	k.scheduler.ActionFailed(k.nowMs(), action.Name, f.kind, f.err.Error(), retryAfterMs, f.isOver)
	if f.kind == certs.OrderPending {
		return
	}
	nameState := k.scheduler.Names[action.Name]
	stage := k.scheduler.Stage(k.nowMs(), action.Name)
	log := k.options.Log.Warn
	if stage == certs.StageExpired || stage == certs.StageLate || stage == certs.StageMissing {
		log = k.options.Log.Error
	}
	log("certificate not renewed", "name", action.Name, "stage", string(stage), "step", string(action.Kind),
		"authority", action.Authority, "failure", string(f.kind), "error", f.err, "failures", nameState.Failures,
		"next", time.UnixMilli(int64(nameState.RetryAt)).UTC().Format(time.RFC3339))
}

// clientFor is the client of an authority.
func (k *Keeper) clientFor(authority int) (*client, error) {
	if k.clients[authority] == nil {
		key, err := k.store.loadOrCreateKey(k.store.accountKeyFile(authority))
		if err != nil {
			return nil, localFailure(err)
		}
		k.clients[authority] = newClient(k.options.Authorities[authority], key)
	}
	return k.clients[authority], nil
}
