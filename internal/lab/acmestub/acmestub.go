// Package acmestub is a stand-in for a certificate authority, written from RFC 8555 with RFC 8737 (tls-alpn-01) and
// RFC 9773 (renewal information). It validates challenges for real, over loopback, and has faults on a schedule. Its root
// is its own, and of use for nothing else.
package acmestub

import (
	"crypto"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/asn1"
	"encoding/base64"
	"encoding/json"
	"encoding/pem"
	"errors"
	"fmt"
	"io"
	"math/big"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Fault is a kind of trouble.
type Fault string

// Faults that the stand-in can play.
const (
	Unreachable Fault = "unreachable"   // connections break
	Slow        Fault = "slow"          // answers come after Delay
	Broken      Fault = "5xx"           // an error of its own
	BadNonce    Fault = "bad-nonce"     // every nonce is refused
	TooMany     Fault = "rate-limited"  // 429 with Retry-After
	Reject      Fault = "reject"        // the challenges of Name don't hold
	Stuck       Fault = "stuck"         // orders stay in processing
	WrongChain  Fault = "wrong-chain"   // of another root
	Outdated    Fault = "expired"       // already over
	TooEarly    Fault = "not-yet-valid" // from tomorrow on
	OtherName   Fault = "other-name"    // for a name that was not asked for
	OtherKey    Fault = "other-key"     // for a key that was not asked for
	Garbage     Fault = "garbage"       // answers that are no JSON
	Huge        Fault = "huge"          // answers without end
)

var faults = []Fault{Unreachable, Slow, Broken, BadNonce, TooMany, Reject, Stuck, WrongChain, Outdated, TooEarly, OtherName, OtherKey, Garbage, Huge}

// Known tells whether it is one of them, and Faults names them all.
func (f Fault) Known() bool { return slices.Contains(faults, f) }

// Faults lists the names of all faults.
func Faults() (names []string) {
	for _, f := range faults {
		names = append(names, string(f))
	}
	return names
}

// Trouble is a fault for a while, by the authority's clock.
type Trouble struct {
	Fault    Fault
	From, To time.Time
	Name     string        // only for it, where given
	Delay    time.Duration // of Slow
	After    time.Duration // Retry-After of TooMany
}

// Options are how an authority is.
type Options struct {
	Now     func() time.Time
	Life    time.Duration            // of a certificate
	HTTP    func(name string) string // where its http-01 challenge is looked up: host:port
	TLS     func(name string) string // and its tls-alpn-01 challenge
	Binding map[string][]byte        // keys of external account binding; where given, one is asked for
	Window  float64                  // renewal information: the window begins at this share of a life; 0 offers none
}

// Authority serves as an http.Handler.
type Authority struct {
	o    Options
	mux  *http.ServeMux
	root *issuer
	bad  *issuer // another root, for wrong chains

	mu       sync.Mutex
	trouble  []Trouble
	nonces   map[string]bool
	accounts map[string]*account // by URL path
	orders   map[string]*order
	authz    map[string]*authz
	issued   map[string][]byte // chains by path
	revoked  map[string]bool   // serials
	calls    []Call
	serial   int64
}

// Call is one that came, for counting.
type Call struct {
	At   time.Time
	Path string
}

type account struct {
	key     key
	contact []string
	dead    bool
}

type order struct {
	id, account string
	names       []string
	authz       []string
	status      string
	cert        string
	problem     *problem
}

type authz struct {
	id, account, name string
	status            string
	token             string
	problem           *problem
}

type problem struct {
	Type   string `json:"type"`
	Detail string `json:"detail"`
	Status int    `json:"status,omitempty"`
}

func (p *problem) Error() string { return p.Detail }

func fail(status int, kind, format string, args ...any) *problem {
	return &problem{"urn:ietf:params:acme:error:" + kind, fmt.Sprintf(format, args...), status}
}

type issuer struct {
	key  *ecdsa.PrivateKey
	cert *x509.Certificate
	der  []byte
}

func newIssuer(name string, from time.Time) (*issuer, error) {
	k, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	t := &x509.Certificate{SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: name}, NotBefore: from.Add(-24 * time.Hour),
		NotAfter: from.Add(20 * 365 * 24 * time.Hour), IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign}
	der, err := x509.CreateCertificate(rand.Reader, t, t, &k.PublicKey, k)
	if err != nil {
		return nil, err
	}
	cert, err := x509.ParseCertificate(der)
	return &issuer{k, cert, der}, err
}

// New makes an authority.
func New(o Options) (*Authority, error) {
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Life == 0 {
		o.Life = 90 * 24 * time.Hour
	}
	a := &Authority{o: o, mux: http.NewServeMux(), nonces: map[string]bool{}, accounts: map[string]*account{}, orders: map[string]*order{},
		authz: map[string]*authz{}, issued: map[string][]byte{}, revoked: map[string]bool{}, serial: 1000}
	var err error
	if a.root, err = newIssuer("stand-in root", o.Now()); err != nil {
		return nil, err
	}
	if a.bad, err = newIssuer("another root", o.Now()); err != nil {
		return nil, err
	}
	a.mux.HandleFunc("GET /directory", a.directory)
	a.mux.HandleFunc("/nonce", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
	a.mux.HandleFunc("GET /info/{id}", a.info)
	for path, f := range map[string]func(*call) error{"/account": a.newAccount, "/account/{id}": a.getAccount, "/key-change": a.keyChange,
		"/order": a.newOrder, "/order/{id}": a.getOrder, "/authz/{id}": a.getAuthz, "/challenge/{kind}/{id}": a.challenge,
		"/finalize/{id}": a.finalize, "/cert/{id}": a.getCert, "/revoke": a.revoke} {
		a.mux.HandleFunc("POST "+path, func(w http.ResponseWriter, r *http.Request) { a.post(w, r, f) })
	}
	return a, nil
}

// Roots are what a client of this authority trusts.
func (a *Authority) Roots() *x509.CertPool {
	p := x509.NewCertPool()
	p.AddCert(a.root.cert)
	return p
}

// RootPEM is the same as a file has it.
func (a *Authority) RootPEM() []byte {
	return pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: a.root.der})
}

// Put sets the schedule of faults.
func (a *Authority) Put(t ...Trouble) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.trouble = t
}

// Calls are those that came in a span; broken ones count.
func (a *Authority) Calls(from, to time.Time) (n int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, c := range a.calls {
		if !c.At.Before(from) && c.At.Before(to) {
			n++
		}
	}
	return n
}

// Orders counts those that were made.
func (a *Authority) Orders() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.orders)
}

// Issued counts the certificates that were.
func (a *Authority) Issued() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.issued)
}

// Revoked tells whether a certificate of that serial was revoked.
func (a *Authority) Revoked(serial *big.Int) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.revoked[serial.String()]
}

// on finds a trouble that is on.
func (a *Authority) on(f Fault, name string) (Trouble, bool) {
	now := a.o.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, t := range a.trouble {
		if t.Fault == f && !now.Before(t.From) && now.Before(t.To) && (t.Name == "" || t.Name == name) {
			return t, true
		}
	}
	return Trouble{}, false
}

func (a *Authority) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	a.mu.Lock()
	a.calls = append(a.calls, Call{a.o.Now(), r.URL.Path})
	a.mu.Unlock()
	if _, on := a.on(Unreachable, ""); on {
		panic(http.ErrAbortHandler) // the connection breaks
	}
	if t, on := a.on(Slow, ""); on {
		time.Sleep(t.Delay)
	}
	nonce := a.nonce()
	w.Header().Set("Replay-Nonce", nonce)
	w.Header().Set("Cache-Control", "no-store")
	if t, on := a.on(TooMany, ""); on && r.URL.Path != "/nonce" && r.URL.Path != "/directory" {
		w.Header().Set("Retry-After", strconv.Itoa(int(t.After.Seconds())))
		a.problem(w, fail(http.StatusTooManyRequests, "rateLimited", "too many, come back in %v", t.After))
		return
	}
	if _, on := a.on(Broken, ""); on {
		a.problem(w, fail(http.StatusInternalServerError, "serverInternal", "something is wrong here"))
		return
	}
	if _, on := a.on(Garbage, ""); on {
		_, _ = io.WriteString(w, "<html>not what you want")
		return
	}
	if _, on := a.on(Huge, ""); on {
		for range 4096 {
			if _, err := w.Write(make([]byte, 64<<10)); err != nil {
				return
			}
		}
		return
	}
	a.mux.ServeHTTP(w, r)
}

func (a *Authority) nonce() string {
	b := make([]byte, 12)
	_, _ = rand.Read(b)
	n := raw64.EncodeToString(b)
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.nonces) > 10_000 {
		clear(a.nonces)
	}
	a.nonces[n] = true
	return n
}

func (a *Authority) problem(w http.ResponseWriter, p *problem) {
	w.Header().Set("Content-Type", "application/problem+json")
	w.WriteHeader(p.Status)
	_ = json.NewEncoder(w).Encode(p)
}

func base(r *http.Request) string { return "http://" + r.Host }

func (a *Authority) directory(w http.ResponseWriter, r *http.Request) {
	b := base(r)
	d := map[string]any{"newNonce": b + "/nonce", "newAccount": b + "/account", "newOrder": b + "/order", "revokeCert": b + "/revoke",
		"keyChange": b + "/key-change", "meta": map[string]any{"externalAccountRequired": len(a.o.Binding) > 0, "termsOfService": b + "/terms"}}
	if a.o.Window > 0 {
		d["renewalInfo"] = b + "/info"
	}
	answer(w, http.StatusOK, d)
}

func answer(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// call is one that proved who sent it.
type call struct {
	w       http.ResponseWriter
	r       *http.Request
	base    string
	head    head
	payload []byte
	account string // its path; empty where it speaks by its key
	key     key
}

func (a *Authority) post(w http.ResponseWriter, r *http.Request, f func(*call) error) {
	c := &call{w: w, r: r, base: base(r)}
	err := a.admit(c)
	if err == nil {
		err = f(c)
	}
	var p *problem
	switch {
	case errors.As(err, &p):
		a.problem(w, p)
	case err != nil:
		a.problem(w, fail(http.StatusBadRequest, "malformed", "%v", err))
	}
}

// admit checks nonce, address, key and signature (RFC 8555, 6).
func (a *Authority) admit(c *call) error {
	data, err := io.ReadAll(io.LimitReader(c.r.Body, 1<<20))
	if err != nil {
		return err
	}
	s, h, payload, err := parse(data)
	if err != nil {
		return err
	}
	c.head, c.payload = h, payload
	_, refuse := a.on(BadNonce, "")
	a.mu.Lock()
	known := a.nonces[h.Nonce]
	delete(a.nonces, h.Nonce)
	account := a.accounts[strings.TrimPrefix(h.KID, c.base)]
	a.mu.Unlock()
	switch {
	case !known || refuse:
		return fail(http.StatusBadRequest, "badNonce", "nonce not known, or used")
	case h.URL != c.base+c.r.URL.Path:
		return fail(http.StatusUnauthorized, "unauthorized", "signed for %s", h.URL)
	case len(h.JWK) > 0 && h.KID == "":
		if c.key, err = parseKey(h.JWK); err != nil {
			return fail(http.StatusBadRequest, "badPublicKey", "%v", err)
		}
	case account == nil || account.dead:
		return fail(http.StatusBadRequest, "accountDoesNotExist", "no such account")
	default:
		c.key, c.account = account.key, strings.TrimPrefix(h.KID, c.base)
	}
	if err := c.key.verify(s, h.Alg); err != nil {
		return fail(http.StatusBadRequest, "malformed", "%v", err)
	}
	return nil
}

func (a *Authority) next(prefix string) string {
	a.serial++
	return prefix + strconv.FormatInt(a.serial, 36)
}

func (a *Authority) newAccount(c *call) error {
	var asked struct {
		Contact []string
		Only    bool            `json:"onlyReturnExisting"`
		Agreed  bool            `json:"termsOfServiceAgreed"`
		Binding json.RawMessage `json:"externalAccountBinding"`
	}
	if err := json.Unmarshal(c.payload, &asked); err != nil {
		return err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	for path, acc := range a.accounts {
		if acc.key.thumb == c.key.thumb && !acc.dead {
			c.w.Header().Set("Location", c.base+path)
			answer(c.w, http.StatusOK, map[string]any{"status": "valid", "contact": acc.contact, "orders": c.base + path + "/orders"})
			return nil
		}
	}
	switch {
	case asked.Only:
		return fail(http.StatusBadRequest, "accountDoesNotExist", "no account of that key")
	case !asked.Agreed:
		return fail(http.StatusForbidden, "userActionRequired", "the terms are not agreed to")
	}
	if len(a.o.Binding) > 0 {
		s, h, payload, err := parse(asked.Binding)
		if err != nil {
			return fail(http.StatusForbidden, "externalAccountRequired", "no binding: %v", err)
		}
		bound, err := parseKey(payload)
		if err != nil || bound.thumb != c.key.thumb || h.Alg != "HS256" || verifyMAC(a.o.Binding[h.KID], s) != nil || a.o.Binding[h.KID] == nil {
			return fail(http.StatusForbidden, "unauthorized", "binding does not hold")
		}
	}
	path := a.next("/account/")
	a.accounts[path] = &account{key: c.key, contact: asked.Contact}
	c.w.Header().Set("Location", c.base+path)
	answer(c.w, http.StatusCreated, map[string]any{"status": "valid", "contact": asked.Contact, "orders": c.base + path + "/orders"})
	return nil
}

// deactivates tells whether a call asks for that, and for more than a look (RFC 8555, 7.3.6 and 7.5.2).
func (c *call) deactivates() (bool, error) {
	var asked struct{ Status string }
	if len(c.payload) == 0 {
		return false, nil
	}
	err := json.Unmarshal(c.payload, &asked)
	return asked.Status == "deactivated", err
}

func (a *Authority) getAccount(c *call) error {
	deactivate, err := c.deactivates()
	if err != nil {
		return err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	acc := a.accounts[c.r.URL.Path]
	if acc == nil || c.account != c.r.URL.Path {
		return fail(http.StatusUnauthorized, "unauthorized", "not yours")
	}
	status := "valid"
	if deactivate {
		acc.dead, status = true, "deactivated"
	}
	answer(c.w, http.StatusOK, map[string]any{"status": status, "contact": acc.contact})
	return nil
}

// keyChange is RFC 8555, 7.3.5.
func (a *Authority) keyChange(c *call) error {
	s, h, payload, err := parse(c.payload)
	if err != nil {
		return err
	}
	fresh, err := parseKey(h.JWK)
	if err != nil {
		return err
	}
	if err := fresh.verify(s, h.Alg); err != nil {
		return err
	}
	var asked struct {
		Account string
		OldKey  json.RawMessage
	}
	if err := json.Unmarshal(payload, &asked); err != nil {
		return err
	}
	old, err := parseKey(asked.OldKey)
	if err != nil || asked.Account != c.base+c.account || old.thumb != c.key.thumb {
		return fail(http.StatusBadRequest, "malformed", "not this account's key")
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.accounts[c.account].key = fresh
	answer(c.w, http.StatusOK, struct{}{})
	return nil
}

func (a *Authority) newOrder(c *call) error {
	var asked struct {
		Identifiers []struct{ Type, Value string }
		Replaces    string
	}
	if err := json.Unmarshal(c.payload, &asked); err != nil {
		return err
	}
	if c.account == "" || len(asked.Identifiers) == 0 {
		return fail(http.StatusBadRequest, "malformed", "no account or no names")
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	o := &order{id: a.next(""), account: c.account, status: "pending"}
	for _, i := range asked.Identifiers {
		if i.Type != "dns" || i.Value == "" || strings.ContainsAny(i.Value, " /*") {
			return fail(http.StatusBadRequest, "rejectedIdentifier", "%s %q is not done here", i.Type, i.Value)
		}
		z := &authz{id: a.next(""), account: c.account, name: i.Value, status: "pending", token: a.next("token-of-some-length-")}
		a.authz[z.id] = z
		o.names, o.authz = append(o.names, i.Value), append(o.authz, z.id)
	}
	a.orders[o.id] = o
	c.w.Header().Set("Location", c.base+"/order/"+o.id)
	answer(c.w, http.StatusCreated, a.describe(c, o))
	return nil
}

// describe is an order as RFC 8555, 7.1.3 has it.
func (a *Authority) describe(c *call, o *order) map[string]any {
	ready := o.status == "pending"
	for _, id := range o.authz {
		switch a.authz[id].status {
		case "valid":
		case "invalid":
			o.status, o.problem, ready = "invalid", a.authz[id].problem, false
		default:
			ready = false
		}
	}
	if ready {
		o.status = "ready"
	}
	d := map[string]any{"status": o.status, "finalize": c.base + "/finalize/" + o.id, "expires": a.o.Now().Add(7 * 24 * time.Hour).Format(time.RFC3339)}
	var ids []map[string]string
	var urls []string
	for k, name := range o.names {
		ids = append(ids, map[string]string{"type": "dns", "value": name})
		urls = append(urls, c.base+"/authz/"+o.authz[k])
	}
	d["identifiers"], d["authorizations"] = ids, urls
	if o.cert != "" {
		d["certificate"] = c.base + o.cert
	}
	if o.problem != nil {
		d["error"] = o.problem
	}
	return d
}

func (a *Authority) own(c *call, id string) (*order, error) {
	o := a.orders[id]
	if o == nil || o.account != c.account {
		return nil, fail(http.StatusNotFound, "malformed", "no such order of yours")
	}
	return o, nil
}

func (a *Authority) getOrder(c *call) error {
	_, stuck := a.on(Stuck, "")
	a.mu.Lock()
	defer a.mu.Unlock()
	o, err := a.own(c, c.r.PathValue("id"))
	if err != nil {
		return err
	}
	if o.status == "processing" && !stuck {
		o.status = "valid"
	}
	if o.status == "processing" {
		c.w.Header().Set("Retry-After", "1")
	}
	answer(c.w, http.StatusOK, a.describe(c, o))
	return nil
}

func (a *Authority) getAuthz(c *call) error {
	deactivate, err := c.deactivates()
	if err != nil {
		return err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	z := a.authz[c.r.PathValue("id")]
	if z == nil || z.account != c.account {
		return fail(http.StatusNotFound, "malformed", "no such authorization of yours")
	}
	if deactivate {
		z.status = "deactivated"
	}
	answer(c.w, http.StatusOK, map[string]any{"status": z.status, "identifier": map[string]string{"type": "dns", "value": z.name},
		"expires": a.o.Now().Add(24 * time.Hour).Format(time.RFC3339), "challenges": []any{a.challengeOf(c, z, "http-01"), a.challengeOf(c, z, "tls-alpn-01")}})
	return nil
}

func (a *Authority) challengeOf(c *call, z *authz, kind string) map[string]any {
	d := map[string]any{"type": kind, "url": c.base + "/challenge/" + kind + "/" + z.id, "token": z.token, "status": z.status}
	if z.problem != nil {
		d["error"] = z.problem
	}
	return d
}

// challenge looks for the proof where the name leads, for real.
func (a *Authority) challenge(c *call) error {
	kind := c.r.PathValue("kind")
	a.mu.Lock()
	z := a.authz[c.r.PathValue("id")]
	a.mu.Unlock()
	if z == nil || z.account != c.account {
		return fail(http.StatusNotFound, "malformed", "no such challenge of yours")
	}
	proof := z.token + "." + c.key.thumb
	var err error
	if _, rejected := a.on(Reject, z.name); rejected {
		err = errors.New("rejected by the schedule")
	} else if kind == "http-01" {
		err = a.validateHTTP(z.name, z.token, proof)
	} else {
		err = a.validateTLS(z.name, proof)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case z.status != "pending":
	case err != nil:
		z.status, z.problem = "invalid", fail(http.StatusForbidden, "unauthorized", "%s: %v", z.name, err)
	default:
		z.status = "valid"
	}
	c.w.Header().Set("Link", fmt.Sprintf("<%s/authz/%s>;rel=\"up\"", c.base, z.id))
	answer(c.w, http.StatusOK, a.challengeOf(c, z, kind))
	return nil
}

// validateHTTP is RFC 8555, 8.3.
func (a *Authority) validateHTTP(name, token, proof string) error {
	if a.o.HTTP == nil {
		return errors.New("http-01 is not done here")
	}
	client := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true,
		DialContext: (&net.Dialer{Timeout: 2 * time.Second}).DialContext}}
	r, err := http.NewRequest(http.MethodGet, "http://"+a.o.HTTP(name)+"/.well-known/acme-challenge/"+token, nil)
	if err != nil {
		return err
	}
	r.Host = name
	got, err := client.Do(r)
	if err != nil {
		return err
	}
	defer got.Body.Close()
	body, err := io.ReadAll(io.LimitReader(got.Body, 4096))
	if err != nil {
		return err
	}
	if got.StatusCode != http.StatusOK || strings.TrimSpace(string(body)) != proof {
		return fmt.Errorf("status %d and %.60q there", got.StatusCode, body)
	}
	return nil
}

// acmeIdentifier is the extension of RFC 8737, 3.
var acmeIdentifier = asn1.ObjectIdentifier{1, 3, 6, 1, 5, 5, 7, 1, 31}

// validateTLS is RFC 8737, 3.
func (a *Authority) validateTLS(name, proof string) error {
	if a.o.TLS == nil {
		return errors.New("tls-alpn-01 is not done here")
	}
	d := &net.Dialer{Timeout: 5 * time.Second}
	c, err := tls.DialWithDialer(d, "tcp", a.o.TLS(name), &tls.Config{ServerName: name, NextProtos: []string{"acme-tls/1"}, InsecureSkipVerify: true})
	if err != nil {
		return err
	}
	defer func() { _ = c.Close() }()
	s := c.ConnectionState()
	if s.NegotiatedProtocol != "acme-tls/1" || len(s.PeerCertificates) == 0 {
		return errors.New("does not speak acme-tls/1")
	}
	leaf := s.PeerCertificates[0]
	if len(leaf.DNSNames) != 1 || !strings.EqualFold(leaf.DNSNames[0], name) {
		return fmt.Errorf("its certificate is for %v", leaf.DNSNames)
	}
	sum := sha256.Sum256([]byte(proof))
	for _, e := range leaf.Extensions {
		if e.Id.Equal(acmeIdentifier) {
			var got []byte
			if _, err := asn1.Unmarshal(e.Value, &got); err != nil {
				return err
			}
			if e.Critical && string(got) == string(sum[:]) {
				return nil
			}
		}
	}
	return errors.New("its certificate does not hold the proof")
}

func (a *Authority) finalize(c *call) error {
	var asked struct{ CSR string }
	if err := json.Unmarshal(c.payload, &asked); err != nil {
		return err
	}
	der, err := raw64.DecodeString(asked.CSR)
	if err != nil {
		return err
	}
	csr, err := x509.ParseCertificateRequest(der)
	if err != nil {
		return fail(http.StatusBadRequest, "badCSR", "%v", err)
	}
	if err := csr.CheckSignature(); err != nil {
		return fail(http.StatusBadRequest, "badCSR", "%v", err)
	}
	_, stuck := a.on(Stuck, "")
	a.mu.Lock()
	o, err := a.own(c, c.r.PathValue("id"))
	if err == nil {
		a.describe(c, o)
		if o.status != "ready" {
			err = fail(http.StatusForbidden, "orderNotReady", "the order is %s", o.status)
		} else if strings.Join(csr.DNSNames, " ") != strings.Join(o.names, " ") {
			err = fail(http.StatusBadRequest, "badCSR", "for %v, the order is for %v", csr.DNSNames, o.names)
		}
	}
	a.mu.Unlock()
	if err != nil {
		return err
	}
	chain, err := a.issue(o.names, csr.PublicKey)
	if err != nil {
		return err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	o.cert = "/cert/" + o.id
	a.issued[o.cert] = chain
	o.status = "valid"
	if stuck {
		o.status = "processing"
		c.w.Header().Set("Retry-After", "1")
	}
	c.w.Header().Set("Location", c.base+"/order/"+o.id)
	answer(c.w, http.StatusOK, a.describe(c, o))
	return nil
}

// issue signs, or spoils, a certificate.
func (a *Authority) issue(names []string, public crypto.PublicKey) ([]byte, error) {
	now := a.o.Now()
	a.mu.Lock()
	a.serial++
	serial := big.NewInt(a.serial)
	a.mu.Unlock()
	t := &x509.Certificate{SerialNumber: serial, Subject: pkix.Name{CommonName: names[0]}, DNSNames: names, NotBefore: now.Add(-time.Minute),
		NotAfter: now.Add(a.o.Life), KeyUsage: x509.KeyUsageDigitalSignature, ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
		AuthorityKeyId: []byte("stand-in")}
	by := a.root
	if _, on := a.on(Outdated, names[0]); on {
		t.NotBefore, t.NotAfter = now.Add(-2*a.o.Life), now.Add(-a.o.Life)
	}
	if _, on := a.on(TooEarly, names[0]); on {
		t.NotBefore = now.Add(24 * time.Hour)
	}
	if _, on := a.on(OtherName, names[0]); on {
		t.DNSNames = []string{"elsewhere.example.org"}
	}
	if _, on := a.on(OtherKey, names[0]); on {
		k, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
		if err != nil {
			return nil, err
		}
		public = &k.PublicKey
	}
	if _, on := a.on(WrongChain, names[0]); on {
		by = a.bad
	}
	der, err := x509.CreateCertificate(rand.Reader, t, by.cert, public, by.key)
	if err != nil {
		return nil, err
	}
	chain := pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})
	return append(chain, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: by.der})...), nil
}

func (a *Authority) getCert(c *call) error {
	a.mu.Lock()
	chain, ok := a.issued[c.r.URL.Path]
	o := a.orders[c.r.PathValue("id")]
	a.mu.Unlock()
	if !ok || o == nil || o.account != c.account || o.status != "valid" {
		return fail(http.StatusNotFound, "malformed", "no such certificate of yours")
	}
	c.w.Header().Set("Content-Type", "application/pem-certificate-chain")
	_, _ = c.w.Write(chain)
	return nil
}

func (a *Authority) revoke(c *call) error {
	var asked struct{ Certificate string }
	if err := json.Unmarshal(c.payload, &asked); err != nil {
		return err
	}
	der, err := raw64.DecodeString(asked.Certificate)
	if err != nil {
		return err
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		return err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	id := cert.SerialNumber.String()
	if a.revoked[id] {
		return fail(http.StatusBadRequest, "alreadyRevoked", "it was before")
	}
	a.revoked[id] = true
	c.w.WriteHeader(http.StatusOK)
	return nil
}

// info is the renewal information of RFC 9773, 4.1.
func (a *Authority) info(w http.ResponseWriter, r *http.Request) {
	if a.o.Window == 0 {
		http.NotFound(w, r)
		return
	}
	_, serial, ok := strings.Cut(r.PathValue("id"), ".")
	b, err := base64.RawURLEncoding.DecodeString(serial)
	if !ok || err != nil {
		a.problem(w, fail(http.StatusBadRequest, "malformed", "no such certificate"))
		return
	}
	want := new(big.Int).SetBytes(b)
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, chain := range a.issued {
		block, _ := pem.Decode(chain)
		cert, err := x509.ParseCertificate(block.Bytes)
		if err != nil || cert.SerialNumber.Cmp(want) != 0 {
			continue
		}
		life := cert.NotAfter.Sub(cert.NotBefore)
		from := cert.NotBefore.Add(time.Duration(a.o.Window * float64(life)))
		if a.revoked[want.String()] { // at once
			from = a.o.Now().Add(-time.Hour)
		}
		w.Header().Set("Retry-After", "21600")
		answer(w, http.StatusOK, map[string]any{"suggestedWindow": map[string]string{"start": from.Format(time.RFC3339),
			"end": from.Add(time.Duration(0.05 * float64(life))).Format(time.RFC3339)}})
		return
	}
	a.problem(w, fail(http.StatusNotFound, "malformed", "no such certificate"))
}
