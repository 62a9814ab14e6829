// Package acme obtains certificates from an authority by RFC 8555 and renews them. It performs the actions that
// internal/certs schedules: it has the store on disk, calls the authorities, answers challenges, and provides the
// certificates to serve.
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

// defaultStepTimeout bounds one action. An order that the authority has not completed by then is polled again later.
const defaultStepTimeout = 20 * time.Second

// maxStepWaitMs bounds the wait that Step returns, in ms, so that it fits a time.Duration.
const maxStepWaitMs = 1e10

// Options holds a manager's options, from the operator's file.
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
	OnStep      func(name string) // called after each of StepNames, for tests; may be nil
}

// StepNames lists the steps of an order, in sequence.
var StepNames = []string{"noted", "keyed", "ordered", "opened", "fetched", "stored", "swapped"}

// Manager is the actor that obtains and renews certificates. Step, Rollover, Revoke and Renew must not be called
// concurrently, nor from outside Run while that runs; the other methods may be called from any goroutine.
type Manager struct {
	options   Options
	store     *store
	scheduler *certs.Scheduler // used by the actor alone
	clients   []*client        // by authority, nil until first used; used by the actor alone
	names     []string         // sorted
	calls     chan func()      // run by the actor between two steps
	ended     chan struct{}    // closed when Run has ended

	mu                    sync.RWMutex
	byHost                map[string]*tls.Certificate // certificates to serve
	httpAnswers           map[string]string           // answers to http-01, by path
	challengeCertificates map[string]*tls.Certificate // answers to tls-alpn-01, by host
	status                []Status
}

// New opens the store and serves the certificates in it, whatever their age. It returns ErrStoreLocked if another process
// holds the store's lock.
func New(options Options) (*Manager, error) {
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
	m := &Manager{
		options:               options,
		store:                 opened,
		clients:               make([]*client, len(options.Authorities)),
		calls:                 make(chan func()),
		ended:                 make(chan struct{}),
		httpAnswers:           map[string]string{},
		challengeCertificates: map[string]*tls.Certificate{},
	}
	if err := m.loadState(); err != nil {
		return nil, errors.Join(err, opened.close())
	}
	return m, nil
}

func (m *Manager) loadState() error {
	state, damaged, err := m.store.loadState()
	if err != nil {
		return err
	}
	if damaged != nil {
		m.options.Log.Error("certificate state damaged, set aside", "error", damaged)
	}
	m.initScheduler(state)
	return nil
}

// initScheduler creates the scheduler from a stored state, and serves the certificates in the store.
func (m *Manager) initScheduler(state certs.State) {
	for name := range m.options.Names {
		m.names = append(m.names, name)
	}
	slices.Sort(m.names)
	m.byHost = map[string]*tls.Certificate{}
	m.options.Limits.AuthorityCount = len(m.options.Authorities)
	m.scheduler = certs.New(state, m.names, m.options.Limits)
	for _, name := range m.names {
		m.initName(name)
	}
	m.publishStatus()
}

func (m *Manager) initName(name string) {
	certificate, err := m.store.loadCertificate(name)
	if err != nil { // an unreadable certificate is ordered again
		m.options.Log.Error("certificate file not readable", "name", name, "error", err)
	}
	nameState := m.scheduler.Names[name]
	if certificate == nil {
		nameState.Certificate = nil
		return
	}
	// If the state and the certificate's file differ, the file is the newer one: it is written first.
	if nameState.Certificate == nil || nameState.Certificate.Serial != certificate.Leaf.SerialNumber.String() {
		fromFile := certificateOf(certificate.Leaf)
		nameState.Certificate = &fromFile
	}
	m.serve(name, certificate)
}

// Close releases the store.
func (m *Manager) Close() error {
	for _, c := range m.clients {
		if c != nil {
			c.close()
		}
	}
	return m.store.close()
}

// certificateOf returns the scheduler's record of a certificate.
func certificateOf(leaf *x509.Certificate) certs.Certificate {
	return certs.Certificate{
		RenewalID: renewalID(leaf),
		Serial:    leaf.SerialNumber.String(),
		NotBefore: toMs(leaf.NotBefore),
		NotAfter:  toMs(leaf.NotAfter),
	}
}

func toMs(t time.Time) float64 { return float64(t.UnixMilli()) }

func (m *Manager) nowMs() float64 { return toMs(m.options.Now()) }

// serve makes a certificate the one to serve. Handshakes in progress complete with the certificate that they started with.
func (m *Manager) serve(name string, certificate *tls.Certificate) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, host := range m.options.Names[name] {
		m.byHost[host] = certificate
	}
}

// Certificate returns the certificate for a handshake: that of the host, or the answer to a tls-alpn-01 challenge.
func (m *Manager) Certificate(hello *tls.ClientHelloInfo) (*tls.Certificate, error) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	if isChallenge(hello) {
		if certificate := m.challengeCertificates[hello.ServerName]; certificate != nil {
			return certificate, nil
		}
		return nil, fmt.Errorf("no pending challenge for %q", hello.ServerName)
	}
	return certificateFor(m.byHost, m.options.Names[m.names[0]][0], hello.ServerName)
}

// isChallenge reports whether a handshake is that of a tls-alpn-01 challenge (RFC 8737, 3).
func isChallenge(hello *tls.ClientHelloInfo) bool {
	return len(hello.SupportedProtos) == 1 && hello.SupportedProtos[0] == acme.ALPNProto
}

// certificateFor returns the certificate of a host, or that of defaultHost for a client that sends no SNI (RFC 6066, 3).
func certificateFor(byHost map[string]*tls.Certificate, defaultHost, host string) (*tls.Certificate, error) {
	if certificate := byHost[cmp.Or(strings.ToLower(host), defaultHost)]; certificate != nil {
		return certificate, nil
	}
	return nil, fmt.Errorf("no certificate for %.80q", host)
}

// Challenge returns the answer to an http-01 challenge, by its path.
func (m *Manager) Challenge(path string) (string, bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	answer, ok := m.httpAnswers[path]
	return answer, ok
}

// Run obtains and renews the certificates until ctx is done.
func (m *Manager) Run(ctx context.Context) {
	defer close(m.ended)
	for ctx.Err() == nil {
		wait := m.Step(ctx)
		timer := time.NewTimer(min(wait, time.Minute)) // the clock is read again after the machine was suspended
		select {
		case <-ctx.Done():
		case <-timer.C:
		case call := <-m.calls:
			call()
		}
		timer.Stop()
	}
}

// Call makes Run call f between two steps, and returns f's error. It fails once ctx is done or Run has ended.
func (m *Manager) Call(ctx context.Context, f func() error) error {
	result := make(chan error, 1)
	call := func() {
		result <- f()
		m.publishStatus()
	}
	select {
	case m.calls <- call:
		return <-result
	case <-m.ended:
		return errors.New("certificate manager has stopped")
	case <-ctx.Done():
		return fmt.Errorf("certificate manager is busy: %w", ctx.Err())
	}
}

// Step executes the action that is due, if any, and returns the time until the next one; 0 if that is due already.
func (m *Manager) Step(ctx context.Context) time.Duration {
	if action, isDue := m.scheduler.Next(m.nowMs()); isDue {
		stepCtx, cancel := context.WithTimeout(ctx, cmp.Or(m.options.StepTimeout, defaultStepTimeout))
		err := m.execute(stepCtx, action)
		cancel()
		if err != nil && ctx.Err() == nil {
			m.actionFailed(action, classify(err))
		}
		if err := m.store.saveState(m.scheduler.State); err != nil {
			m.options.Log.Error("certificate state write failed", "error", err)
		}
		m.publishStatus()
	}
	wait := math.Min(m.scheduler.WaitMs(m.nowMs()), maxStepWaitMs)
	return time.Duration(math.Ceil(wait)) * time.Millisecond
}

// actionFailed reports a failure to the scheduler and logs it, as an error if the certificate is late, expired or missing.
func (m *Manager) actionFailed(action certs.Action, f *failure) {
	retryAfterMs := float64(f.retryAfter.Milliseconds())
	m.scheduler.ActionFailed(m.nowMs(), action.Name, f.kind, f.err.Error(), retryAfterMs, f.endsOrder)
	if f.kind == certs.OrderPending {
		return
	}
	nameState := m.scheduler.Names[action.Name]
	stage := m.scheduler.Stage(m.nowMs(), action.Name)
	log := m.options.Log.Warn
	if stage == certs.StageExpired || stage == certs.StageLate || stage == certs.StageMissing {
		log = m.options.Log.Error
	}
	log("certificate not renewed", "name", action.Name, "stage", string(stage), "step", string(action.Kind),
		"authority", action.Authority, "failure", string(f.kind), "error", f.err, "failures", nameState.Failures,
		"next", time.UnixMilli(int64(nameState.RetryAt)).UTC().Format(time.RFC3339))
}

// clientFor returns the client of an authority.
func (m *Manager) clientFor(authority int) (*client, error) {
	if m.clients[authority] == nil {
		key, err := m.store.loadOrCreateKey(m.store.accountKeyFile(authority))
		if err != nil {
			return nil, localFailure(err)
		}
		m.clients[authority] = newClient(m.options.Authorities[authority], key)
	}
	return m.clients[authority], nil
}
