package acme

import (
	"cmp"
	"context"
	"crypto"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"golang.org/x/crypto/acme"

	"pearknot/internal/certs"
)

// Options are a keeper's, from the operator's file.
type Options struct {
	Dir         string
	Names       map[string][]string // certificates: the name that each goes by, and all names in it
	Authorities []Authority
	Limits      certs.Limits
	HTTP        bool // http-01 can be answered: somebody serves Challenge on port 80 of the names
	TLS         bool // tls-alpn-01 can: somebody serves Certificate on port 443
	Now         func() time.Time
	Within      time.Duration // of one action; 0 is stepWithin
	Log         *slog.Logger
	Point       func(string) // called at the named points of an order; a test's
}

// Points are the named points of an order, in the order of one.
var Points = []string{"noted", "keyed", "ordered", "opened", "fetched", "stored", "swapped"}

// stepWithin bounds one action, where the operator says nothing: an order that the authority is not done with by then is
// looked at again later.
const stepWithin = 20 * time.Second

// Keeper is the actor: Step and Run are one caller's, all else is anybody's.
type Keeper struct {
	o       Options
	store   *store
	core    *certs.Scheduler
	clients []*client
	wanted  []string

	mu     sync.RWMutex
	served map[string]*tls.Certificate // by each name
	tokens map[string]string           // answers of http-01, by path
	proofs map[string]*tls.Certificate // and of tls-alpn-01, by name
	status []Status
	calls  chan func()
	ended  chan struct{} // Run has
}

// Status is what an operator sees of one certificate.
type Status struct {
	Name     string      `json:"name"`
	Names    []string    `json:"names"`
	Stage    certs.Stage `json:"stage"`
	Serial   string      `json:"serial,omitempty"`
	NotAfter time.Time   `json:"not_after,omitzero"`
	RenewAt  time.Time   `json:"renew_at,omitzero"`
	NextAt   time.Time   `json:"next_at,omitzero"` // when it is tried again, after a failure
	Order    string      `json:"order,omitempty"`
	Fault    string      `json:"fault,omitempty"`
	FaultAt  time.Time   `json:"fault_at,omitzero"`
}

// New opens the store and takes what is there: it is served from now on, whatever its age.
func New(o Options) (*Keeper, error) {
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Point == nil {
		o.Point = func(string) {}
	}
	s, err := openStore(o.Dir)
	if err != nil {
		return nil, err
	}
	k := &Keeper{o: o, store: s, tokens: map[string]string{}, proofs: map[string]*tls.Certificate{},
		clients: make([]*client, len(o.Authorities)), calls: make(chan func()), ended: make(chan struct{})}
	if err := k.open(); err != nil {
		return nil, errors.Join(err, s.close())
	}
	return k, nil
}

func (k *Keeper) open() error {
	state, damaged, err := k.store.state()
	if err != nil {
		return err
	}
	if damaged != nil {
		k.o.Log.Error("certificates' state damaged, set aside", "error", damaged)
	}
	k.begin(state)
	return nil
}

// begin takes up a state and the certificates that are there.
func (k *Keeper) begin(state certs.State) {
	for name := range k.o.Names {
		k.wanted = append(k.wanted, name)
	}
	slices.Sort(k.wanted)
	k.served = map[string]*tls.Certificate{}
	k.o.Limits.AuthorityCount = len(k.o.Authorities)
	k.core = certs.New(state, k.wanted, k.o.Limits)
	for _, name := range k.wanted {
		c, err := k.store.served(name)
		if err != nil { // what can't be read can't be served; it is ordered anew
			k.o.Log.Error("certificate can't be read", "name", name, "error", err)
		}
		n := k.core.Names[name]
		if c == nil {
			n.Certificate = nil
			continue
		}
		if n.Certificate == nil || n.Certificate.Serial != c.Leaf.SerialNumber.String() { // the file is the truth
			h := heldOf(c.Leaf)
			n.Certificate = &h
		}
		k.swap(name, c)
	}
	k.publish()
}

// Close lets go of the store.
func (k *Keeper) Close() error {
	for _, c := range k.clients {
		if c != nil {
			c.close()
		}
	}
	return k.store.close()
}

func heldOf(leaf *x509.Certificate) certs.Certificate {
	return certs.Certificate{RenewalID: infoID(leaf), Serial: leaf.SerialNumber.String(), NotBefore: ms(leaf.NotBefore), NotAfter: ms(leaf.NotAfter)}
}

func ms(t time.Time) float64 { return float64(t.UnixMilli()) }

func (k *Keeper) now() float64 { return ms(k.o.Now()) }

// swap serves a certificate from now on; handshakes that are on their way end with the one that they have begun with.
func (k *Keeper) swap(name string, c *tls.Certificate) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, n := range k.o.Names[name] {
		k.served[n] = c
	}
}

// Certificate is what a TLS listener serves: by the name asked for, and the proof of a challenge where that is asked for.
func (k *Keeper) Certificate(hello *tls.ClientHelloInfo) (*tls.Certificate, error) {
	k.mu.RLock()
	defer k.mu.RUnlock()
	if proof(hello) {
		if c := k.proofs[hello.ServerName]; c != nil {
			return c, nil
		}
		return nil, fmt.Errorf("no challenge of %q is open", hello.ServerName)
	}
	return pick(k.served, k.o.Names[k.wanted[0]][0], hello.ServerName)
}

// proof tells whether a handshake is that of a challenge (RFC 8737, 3).
func proof(hello *tls.ClientHelloInfo) bool {
	return len(hello.SupportedProtos) == 1 && hello.SupportedProtos[0] == acme.ALPNProto
}

// pick gives the certificate of a name; a client that names none (without SNI, RFC 6066, 3) gets the first.
func pick(served map[string]*tls.Certificate, first, name string) (*tls.Certificate, error) {
	if c := served[cmp.Or(strings.ToLower(name), first)]; c != nil {
		return c, nil
	}
	return nil, fmt.Errorf("no certificate for %.80q", name)
}

// Challenge gives the answer to an http-01 challenge by its path.
func (k *Keeper) Challenge(path string) (string, bool) {
	k.mu.RLock()
	defer k.mu.RUnlock()
	text, ok := k.tokens[path]
	return text, ok
}

// Status tells of all certificates.
func (k *Keeper) Status() []Status {
	k.mu.RLock()
	defer k.mu.RUnlock()
	return slices.Clone(k.status)
}

func (k *Keeper) publish() {
	now := k.now()
	at := func(x float64) time.Time {
		if x <= 0 || math.IsInf(x, 0) {
			return time.Time{}
		}
		return time.UnixMilli(int64(x)).UTC()
	}
	var all []Status
	for _, name := range k.wanted {
		n := k.core.Names[name]
		s := Status{Name: name, Names: k.o.Names[name], Stage: k.core.Stage(now, name), Fault: n.LastFailure, FaultAt: at(n.LastFailureAt), RenewAt: at(k.core.RenewAt(name))}
		if n.Certificate != nil {
			s.Serial, s.NotAfter = n.Certificate.Serial, at(n.Certificate.NotAfter)
		}
		if n.RetryAt > now {
			s.NextAt = at(n.RetryAt)
		}
		if n.Order != nil {
			s.Order = n.Order.URL
		}
		all = append(all, s)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.status = all
}

// Run goes on until ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	defer close(k.ended)
	for ctx.Err() == nil {
		wait := k.Step(ctx)
		timer := time.NewTimer(min(wait, time.Minute)) // a machine that slept looks at its clock again
		select {
		case <-ctx.Done():
		case <-timer.C:
		case f := <-k.calls:
			f()
		}
		timer.Stop()
	}
}

// Do has something done between two steps of Run, which is the caller then.
func (k *Keeper) Do(ctx context.Context, f func() error) error {
	told := make(chan error, 1)
	select {
	case k.calls <- func() { told <- f(); k.publish() }:
		return <-told
	case <-k.ended:
		return errors.New("the keeper of certificates has ended")
	case <-ctx.Done():
		return fmt.Errorf("the keeper of certificates is busy: %w", ctx.Err())
	}
}

// Step does what is due, one thing, and tells how long to wait for the next; 0 is none.
func (k *Keeper) Step(ctx context.Context) time.Duration {
	now := k.now()
	if a, due := k.core.Next(now); due {
		bound, cancel := context.WithTimeout(ctx, cmp.Or(k.o.Within, stepWithin))
		err := k.act(bound, a)
		cancel()
		if err != nil && ctx.Err() == nil {
			f := faulty(err)
			k.core.ActionFailed(k.now(), a.Name, f.fault, f.err.Error(), float64(f.after.Milliseconds()), f.over)
			k.tell(a, f)
		}
		if err := k.store.save(k.core.State); err != nil {
			k.o.Log.Error("certificates' state can't be written", "error", err)
		}
		k.publish()
	}
	return time.Duration(math.Ceil(math.Min(k.core.WaitMs(k.now()), 1e10))) * time.Millisecond
}

// tell logs a failure, the louder the less time is left.
func (k *Keeper) tell(a certs.Action, f *failure) {
	if f.fault == certs.OrderPending {
		return
	}
	n := k.core.Names[a.Name]
	log := k.o.Log.Warn
	stage := k.core.Stage(k.now(), a.Name)
	if stage == certs.StageExpired || stage == certs.StageLate || stage == certs.StageMissing {
		log = k.o.Log.Error
	}
	log("certificate not renewed", "name", a.Name, "stage", string(stage), "step", string(a.Kind), "authority", a.Authority, "fault", string(f.fault),
		"error", f.err, "failures", n.Failures, "next", time.UnixMilli(int64(n.RetryAt)).UTC().Format(time.RFC3339))
}

func (k *Keeper) client(authority int) (*client, error) {
	if k.clients[authority] == nil {
		key, err := k.store.key(k.store.accountKey(authority))
		if err != nil {
			return nil, &failure{certs.LocalFailure, err, 0, false}
		}
		k.clients[authority] = newClient(k.o.Authorities[authority], key)
	}
	return k.clients[authority], nil
}

func (k *Keeper) act(ctx context.Context, a certs.Action) error {
	c, err := k.client(a.Authority)
	if err != nil {
		return err
	}
	own := func(err error) error {
		if err == nil {
			return nil
		}
		return &failure{certs.LocalFailure, err, 0, false}
	}
	names := k.o.Names[a.Name]
	switch {
	case a.Kind == certs.FetchRenewalInfo:
		from, to, wait, offered, err := c.info(ctx, k.core.Names[a.Name].Certificate.RenewalID)
		if err != nil {
			return err
		}
		if !offered {
			from, to = time.UnixMilli(0), time.UnixMilli(0)
		}
		k.core.RenewalInfoFetched(k.now(), a.Name, ms(from), ms(to), float64(wait.Milliseconds()))
		return nil
	case a.Kind == certs.CreateOrder:
		k.core.OrderBegun(k.now(), a)
		if err := k.store.save(k.core.State); err != nil {
			return &failure{certs.LocalFailure, err, 0, true} // nothing was ordered that could be forgotten
		}
		k.o.Point("noted")
		fallthrough
	case a.URL == "": // or its making was cut off
		if _, err := k.store.key(k.store.orderKey(a.Name)); err != nil {
			return own(err)
		}
		k.o.Point("keyed")
		url, err := c.order(ctx, names)
		if err != nil {
			return err
		}
		k.o.Point("ordered")
		k.core.OrderCreated(a.Name, url)
		if err := own(k.store.save(k.core.State)); err != nil {
			return err
		}
		k.o.Point("opened")
		a.URL = url
	}
	return k.fetch(ctx, c, a, names)
}

// fetch goes on with an order, and serves what comes of it once it fits.
func (k *Keeper) fetch(ctx context.Context, c *client, a certs.Action, names []string) error {
	key, held, err := k.orderKey(a.Name)
	if err != nil {
		return &failure{certs.LocalFailure, err, 0, false}
	}
	chain, err := c.goOn(ctx, a.URL, names, key, func(ch *acme.Challenge, name string) (func(), error) { return k.put(c, ch, name) })
	if err != nil {
		return err
	}
	k.o.Point("fetched")
	leaf, err := fits(chain, key, names, k.o.Authorities[a.Authority].Roots, k.o.Now())
	if err != nil {
		return &failure{certs.CertificateUnusable, err, 0, true}
	}
	if held == nil || !same(held.Certificate, chain) {
		if err := k.store.serve(a.Name, chain, key); err != nil {
			return &failure{certs.LocalFailure, err, 0, false}
		}
	}
	k.o.Point("stored")
	k.swap(a.Name, &tls.Certificate{Certificate: chain, PrivateKey: key, Leaf: leaf})
	k.o.Point("swapped")
	k.core.CertificateIssued(k.now(), a.Name, heldOf(leaf))
	k.o.Log.Info("certificate", "name", a.Name, "serial", leaf.SerialNumber.String(), "not_after", leaf.NotAfter.UTC().Format(time.RFC3339),
		"authority", a.Authority)
	return nil
}

// orderKey is the key of the order that is open. Where it is gone, what it brought was stored already, and only the note
// of that was cut off: the key is the one that is served.
func (k *Keeper) orderKey(name string) (crypto.Signer, *tls.Certificate, error) {
	held, err := k.store.served(name)
	if err != nil {
		held = nil
	}
	if held != nil && !k.store.has(k.store.orderKey(name)) {
		signer, ok := held.PrivateKey.(crypto.Signer)
		if !ok {
			return nil, nil, fmt.Errorf("a key of kind %T", held.PrivateKey)
		}
		return signer, held, nil
	}
	key, err := k.store.key(k.store.orderKey(name))
	return key, held, err
}

// put shows the answer to a challenge.
func (k *Keeper) put(c *client, ch *acme.Challenge, name string) (away func(), err error) {
	switch {
	case ch.Type == "tls-alpn-01" && k.o.TLS:
		cert, err := c.acme.TLSALPN01ChallengeCert(ch.Token, name)
		if err != nil {
			return nil, err
		}
		away, err := k.store.putProof(name, &cert)
		if err != nil {
			return nil, err
		}
		k.mu.Lock()
		defer k.mu.Unlock()
		k.proofs[name] = &cert
		return func() { away(); k.mu.Lock(); defer k.mu.Unlock(); delete(k.proofs, name) }, nil
	case ch.Type == "http-01" && k.o.HTTP:
		text, err := c.acme.HTTP01ChallengeResponse(ch.Token)
		if err != nil {
			return nil, err
		}
		path := c.acme.HTTP01ChallengePath(ch.Token)
		away, err := k.store.putToken(path, text)
		if err != nil {
			return nil, err
		}
		k.mu.Lock()
		defer k.mu.Unlock()
		k.tokens[path] = text
		return func() { away(); k.mu.Lock(); defer k.mu.Unlock(); delete(k.tokens, path) }, nil
	}
	return nil, errNotHere
}

// Rollover gives the account at an authority a new key. The caller is the one of Step.
func (k *Keeper) Rollover(ctx context.Context, authority int) error {
	c, err := k.client(authority)
	if err != nil {
		return err
	}
	fresh := k.store.accountKey(authority) + ".new"
	key, err := k.store.key(fresh) // kept before it is told: a key that only the authority knows is lost
	if err != nil {
		return err
	}
	if err := c.rollover(ctx, key); err != nil {
		return oneLine(err)
	}
	if err := os.Rename(fresh, k.store.accountKey(authority)); err != nil {
		return err
	}
	c.close()
	k.clients[authority] = nil
	return nil
}

// Revoke takes a certificate back at the authority that issued it; another is ordered at once. The caller is the one of
// Step.
func (k *Keeper) Revoke(ctx context.Context, name string) error {
	n, held := k.core.Names[name], (*tls.Certificate)(nil)
	if n != nil {
		var err error
		if held, err = k.store.served(name); err != nil {
			return err
		}
	}
	if held == nil {
		return fmt.Errorf("no certificate %s", name)
	}
	c, err := k.client(n.Certificate.Authority)
	if err != nil {
		return err
	}
	if err := c.revoke(ctx, held.Certificate[0]); err != nil {
		return oneLine(err)
	}
	k.core.RenewAtOnce(name)
	return k.store.save(k.core.State)
}

// Renew has a certificate ordered anew now, whatever its age. The caller is the one of Step.
func (k *Keeper) Renew(name string) error {
	if k.core.Names[name] == nil {
		return fmt.Errorf("no certificate %s", name)
	}
	k.core.RenewAtOnce(name)
	return k.store.save(k.core.State)
}
