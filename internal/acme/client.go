// Package acme obtains certificates from an authority by RFC 8555 and keeps them: the adapter of internal/certs, which
// decides when. It holds the store on disk, puts up the answers to challenges, and hands out what is to be served.
package acme

import (
	"bytes"
	"context"
	"crypto"
	"crypto/ecdsa"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"golang.org/x/crypto/acme"

	"pearknot/internal/certs"
)

const (
	mostAnswer  = 1 << 20 // bytes of an answer of an authority's
	callWithin  = 30 * time.Second
	nonceRepeat = 3 // times that a refused nonce is tried anew within one call
)

// Authority is one by its directory.
type Authority struct {
	Directory string
	Contact   []string
	Roots     *x509.CertPool // of the authority's own server, and of what it issues; nil are the system's
	KeyID     string         // of an external account binding
	KeyHMAC   []byte
}

// bounded keeps answers within their size, whoever sends them.
type bounded struct{ http.RoundTripper }

func (b bounded) RoundTrip(r *http.Request) (*http.Response, error) {
	answer, err := b.RoundTripper.RoundTrip(r)
	if err == nil {
		answer.Body = struct {
			io.Reader
			io.Closer
		}{io.LimitReader(answer.Body, mostAnswer), answer.Body}
	}
	return answer, err
}

// client speaks with one authority under one account.
type client struct {
	a    Authority
	http *http.Client
	acme *acme.Client
	key  *ecdsa.PrivateKey
}

func newClient(a Authority, key *ecdsa.PrivateKey) *client {
	t := &http.Transport{TLSClientConfig: &tls.Config{RootCAs: a.Roots, MinVersion: tls.VersionTLS12}, MaxIdleConnsPerHost: 1, IdleConnTimeout: 10 * time.Second,
		ResponseHeaderTimeout: callWithin}
	h := &http.Client{Transport: bounded{t}, Timeout: callWithin}
	return &client{a: a, http: h, key: key, acme: &acme.Client{Key: key, DirectoryURL: a.Directory, HTTPClient: h, UserAgent: "pearknot",
		// When to try again is the core's to say; only a nonce that went stale is answered at once.
		RetryBackoff: func(n int, _ *http.Request, r *http.Response) time.Duration {
			if r != nil && r.StatusCode == http.StatusBadRequest && n <= nonceRepeat {
				return time.Millisecond
			}
			return -1
		}}}
}

func (c *client) close() { c.http.CloseIdleConnections() }

// register finds the account of the key, or makes it.
func (c *client) register(ctx context.Context) error {
	a := &acme.Account{Contact: c.a.Contact}
	if c.a.KeyID != "" {
		a.ExternalAccountBinding = &acme.ExternalAccountBinding{KID: c.a.KeyID, Key: c.a.KeyHMAC}
	}
	if _, err := c.acme.Register(ctx, a, acme.AcceptTOS); err != nil && !errors.Is(err, acme.ErrAccountAlreadyExists) {
		return err
	}
	return nil
}

// order makes an order and gives its address.
func (c *client) order(ctx context.Context, names []string) (string, error) {
	if err := c.register(ctx); err != nil {
		return "", err
	}
	o, err := c.acme.AuthorizeOrder(ctx, acme.DomainIDs(names...))
	if err != nil {
		return "", err
	}
	return o.URI, nil
}

// errPending is an order that the authority is not done with.
var errPending = errors.New("the authority is not done yet")

// failure is why an order is over, or not.
type failure struct {
	fault certs.FailureKind
	err   error
	after time.Duration
	over  bool
}

func (f *failure) Error() string { return f.err.Error() }

// faulty reads whose an error is.
func faulty(err error) *failure {
	var f *failure
	if errors.As(err, &f) {
		return f
	}
	var a *acme.Error
	if !errors.As(err, &a) {
		return &failure{certs.AuthorityUnavailable, oneLine(err), 0, false}
	}
	after := retryAfter(a.Header)
	switch {
	case a.StatusCode == http.StatusTooManyRequests || strings.HasSuffix(a.ProblemType, ":rateLimited"):
		return &failure{certs.RateLimited, oneLine(err), after, false}
	case a.StatusCode >= 500 || strings.HasSuffix(a.ProblemType, ":badNonce"):
		return &failure{certs.AuthorityUnavailable, oneLine(err), after, false}
	case a.StatusCode == http.StatusNotFound: // the order is no more
		return &failure{certs.OrderRejected, oneLine(err), after, true}
	}
	return &failure{certs.OrderRejected, oneLine(err), after, true}
}

// oneLine keeps what an authority says to a line of bounded length.
func oneLine(err error) error {
	text := strings.Join(strings.Fields(err.Error()), " ")
	if len(text) > 300 {
		text = text[:300] + "..."
	}
	return errors.New(text)
}

func retryAfter(h http.Header) time.Duration {
	v := h.Get("Retry-After")
	if s, err := strconv.Atoi(v); err == nil && s > 0 {
		return min(time.Duration(s)*time.Second, 30*24*time.Hour)
	}
	if t, err := http.ParseTime(v); err == nil {
		return min(max(time.Until(t), 0), 30*24*time.Hour)
	}
	return 0
}

// goOn takes an order as far as it goes now: it answers challenges, finalises and fetches. Put shows the answer to a
// challenge until it is taken away; key is the order's.
func (c *client) goOn(ctx context.Context, url string, names []string, key crypto.Signer, put func(*acme.Challenge, string) (func(), error)) ([][]byte, error) {
	if err := c.register(ctx); err != nil {
		return nil, err
	}
	o, err := c.acme.GetOrder(ctx, url)
	if err != nil {
		return nil, err
	}
	if o.Status == acme.StatusPending {
		for _, z := range o.AuthzURLs {
			if err := c.authorize(ctx, z, put); err != nil {
				return nil, err
			}
		}
		if o, err = c.acme.GetOrder(ctx, url); err != nil {
			return nil, err
		}
	}
	switch o.Status {
	case acme.StatusReady:
		csr, err := x509.CreateCertificateRequest(rand.Reader, &x509.CertificateRequest{DNSNames: names}, key)
		if err != nil {
			return nil, &failure{certs.LocalFailure, err, 0, false}
		}
		chain, _, err := c.acme.CreateOrderCert(ctx, o.FinalizeURL, csr, true)
		if err != nil && ctx.Err() != nil { // it waits for an order in processing until ctx ends
			return nil, &failure{certs.OrderPending, errPending, 0, false}
		}
		return chain, err
	case acme.StatusValid:
		return c.acme.FetchCert(ctx, o.CertURL, true)
	case acme.StatusInvalid:
		why := errors.New("the order is invalid")
		if o.Error != nil {
			why = oneLine(o.Error)
		}
		return nil, &failure{certs.OrderRejected, why, 0, true}
	}
	return nil, &failure{certs.OrderPending, errPending, 0, false}
}

// authorize proves one name.
func (c *client) authorize(ctx context.Context, url string, put func(*acme.Challenge, string) (func(), error)) error {
	z, err := c.acme.GetAuthorization(ctx, url)
	if err != nil {
		return err
	}
	if z.Status == acme.StatusValid {
		return nil
	}
	if z.Status != acme.StatusPending {
		return &failure{certs.OrderRejected, fmt.Errorf("authorization of %s is %s", z.Identifier.Value, z.Status), 0, true}
	}
	for _, kind := range []string{"tls-alpn-01", "http-01"} {
		for _, ch := range z.Challenges {
			if ch.Type != kind {
				continue
			}
			away, err := put(ch, z.Identifier.Value)
			if errors.Is(err, errNotHere) {
				continue
			}
			if err != nil {
				return &failure{certs.LocalFailure, err, 0, false}
			}
			defer away()
			if _, err := c.acme.Accept(ctx, ch); err != nil {
				return err
			}
			if _, err := c.acme.WaitAuthorization(ctx, z.URI); err != nil {
				var no *acme.AuthorizationError
				if errors.As(err, &no) {
					return &failure{certs.OrderRejected, oneLine(no), 0, true}
				}
				return err
			}
			return nil
		}
	}
	return &failure{certs.OrderRejected, fmt.Errorf("%s: no challenge that could be answered here", z.Identifier.Value), 0, true}
}

// errNotHere is a kind of challenge that is not answered here.
var errNotHere = errors.New("not answered here")

// rollover gives the account another key (RFC 8555, 7.3.5).
func (c *client) rollover(ctx context.Context, key *ecdsa.PrivateKey) error {
	if err := c.register(ctx); err != nil {
		return err
	}
	return c.acme.AccountKeyRollover(ctx, key)
}

// revoke takes a certificate back.
func (c *client) revoke(ctx context.Context, der []byte) error {
	if err := c.register(ctx); err != nil {
		return err
	}
	return c.acme.RevokeCert(ctx, nil, der, acme.CRLReasonUnspecified)
}

// infoID names a certificate as RFC 9773, 4.1 has it; empty where it does not name its issuer's key.
func infoID(leaf *x509.Certificate) string {
	if len(leaf.AuthorityKeyId) == 0 {
		return ""
	}
	serial := leaf.SerialNumber.Bytes()
	if len(serial) == 0 || serial[0]&0x80 != 0 {
		serial = append([]byte{0}, serial...)
	}
	return base64.RawURLEncoding.EncodeToString(leaf.AuthorityKeyId) + "." + base64.RawURLEncoding.EncodeToString(serial)
}

// info reads the renewal information; offered tells whether the authority has such.
func (c *client) info(ctx context.Context, id string) (from, to time.Time, wait time.Duration, offered bool, err error) {
	get := func(url string, into any) (http.Header, error) {
		r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
		if err != nil {
			return nil, err
		}
		answer, err := c.http.Do(r)
		if err != nil {
			return nil, err
		}
		defer answer.Body.Close()
		if answer.StatusCode != http.StatusOK {
			return nil, &acme.Error{StatusCode: answer.StatusCode, Detail: answer.Status, Header: answer.Header}
		}
		return answer.Header, json.NewDecoder(answer.Body).Decode(into)
	}
	var d struct{ RenewalInfo string }
	if _, err := get(c.a.Directory, &d); err != nil || d.RenewalInfo == "" {
		return from, to, 0, false, err
	}
	var told struct {
		SuggestedWindow struct{ Start, End time.Time }
	}
	h, err := get(strings.TrimSuffix(d.RenewalInfo, "/")+"/"+id, &told)
	if err != nil {
		return from, to, 0, true, err
	}
	w := told.SuggestedWindow
	if !w.End.After(w.Start) { // RFC 9773, 4.2: as if there were none
		return from, to, 0, true, errors.New("renewal information whose window ends before it begins")
	}
	return w.Start, w.End, retryAfter(h), true, nil
}

// fits sees that a chain is for the key and the names, holds now, and leads to a root that is trusted.
func fits(chain [][]byte, key crypto.Signer, names []string, roots *x509.CertPool, now time.Time) (*x509.Certificate, error) {
	if len(chain) == 0 {
		return nil, errors.New("no certificate")
	}
	leaf, err := x509.ParseCertificate(chain[0])
	if err != nil {
		return nil, err
	}
	public, ok := leaf.PublicKey.(*ecdsa.PublicKey)
	if own, same := key.Public().(*ecdsa.PublicKey); !ok || !same || !public.Equal(own) {
		return nil, errors.New("issued for another key")
	}
	for _, name := range names {
		if err := leaf.VerifyHostname(name); err != nil {
			return nil, fmt.Errorf("issued for other names: %w", err)
		}
	}
	switch {
	case now.Before(leaf.NotBefore):
		return nil, fmt.Errorf("not valid before %s", leaf.NotBefore.Format(time.RFC3339))
	case !now.Before(leaf.NotAfter):
		return nil, fmt.Errorf("expired at %s", leaf.NotAfter.Format(time.RFC3339))
	}
	between := x509.NewCertPool()
	for _, der := range chain[1:] {
		c, err := x509.ParseCertificate(der)
		if err != nil {
			return nil, err
		}
		between.AddCert(c)
	}
	if _, err := leaf.Verify(x509.VerifyOptions{Roots: roots, Intermediates: between, CurrentTime: now}); err != nil {
		return nil, err
	}
	return leaf, nil
}

// same tells whether two chains are one.
func same(a, b [][]byte) bool {
	return len(a) > 0 && len(b) > 0 && bytes.Equal(a[0], b[0])
}
