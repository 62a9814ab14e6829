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
	"strings"
	"time"

	"golang.org/x/crypto/acme"
)

const (
	// maxResponseBytes bounds an authority's response.
	maxResponseBytes = 1 << 20

	// callTimeout bounds a call.
	callTimeout = 30 * time.Second

	// idleConnTimeout is the time after which an idle connection to an authority is closed.
	idleConnTimeout = 10 * time.Second

	// maxNonceRetries is the number of immediate retries of a call whose nonce was rejected.
	maxNonceRetries = 3
)

// The supported challenge types, in order of preference.
const (
	challengeTLS  = "tls-alpn-01"
	challengeHTTP = "http-01"
)

// Authority holds the settings of a certificate authority.
type Authority struct {
	Directory string // URL
	Contact   []string
	Roots     *x509.CertPool // trusted for the authority's server and for the certificates it issues; nil is the system pool
	KeyID     string         // of the external account binding; empty for none
	KeyHMAC   []byte
}

// limitedTransport bounds responses to maxResponseBytes.
type limitedTransport struct{ http.RoundTripper }

// RoundTrip sends a request and limits the length of the response's body.
func (t limitedTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := t.RoundTripper.RoundTrip(request)
	if err == nil {
		response.Body = struct {
			io.Reader
			io.Closer
		}{io.LimitReader(response.Body, maxResponseBytes), response.Body}
	}
	return response, err
}

// client calls one authority under one account.
type client struct {
	authority Authority
	http      *http.Client
	acme      *acme.Client
}

func newClient(authority Authority, key *ecdsa.PrivateKey) *client {
	transport := &http.Transport{
		TLSClientConfig:       &tls.Config{RootCAs: authority.Roots, MinVersion: tls.VersionTLS12},
		MaxIdleConnsPerHost:   1,
		IdleConnTimeout:       idleConnTimeout,
		ResponseHeaderTimeout: callTimeout,
	}
	httpClient := &http.Client{Transport: limitedTransport{transport}, Timeout: callTimeout}
	acmeClient := &acme.Client{
		Key:          key,
		DirectoryURL: authority.Directory,
		HTTPClient:   httpClient,
		UserAgent:    "pearknot",
		RetryBackoff: retryBackoff,
	}
	return &client{authority: authority, http: httpClient, acme: acmeClient}
}

// retryBackoff leaves retries to the scheduler; only a stale nonce is retried at once.
func retryBackoff(attempt int, _ *http.Request, response *http.Response) time.Duration {
	if response != nil && response.StatusCode == http.StatusBadRequest && attempt <= maxNonceRetries {
		return time.Millisecond
	}
	return -1
}

func (c *client) close() { c.http.CloseIdleConnections() }

// register finds the key's account, or creates it.
func (c *client) register(ctx context.Context) error {
	account := &acme.Account{Contact: c.authority.Contact}
	if c.authority.KeyID != "" {
		account.ExternalAccountBinding = &acme.ExternalAccountBinding{KID: c.authority.KeyID, Key: c.authority.KeyHMAC}
	}
	_, err := c.acme.Register(ctx, account, acme.AcceptTOS)
	if errors.Is(err, acme.ErrAccountAlreadyExists) {
		return nil
	}
	return err
}

// createOrder creates an order and returns its URL.
func (c *client) createOrder(ctx context.Context, names []string) (string, error) {
	if err := c.register(ctx); err != nil {
		return "", err
	}
	order, err := c.acme.AuthorizeOrder(ctx, acme.DomainIDs(names...))
	if err != nil {
		return "", err
	}
	return order.URI, nil
}

// answerFunc publishes the answer to a host's challenge until withdraw is called.
type answerFunc func(challenge *acme.Challenge, host string) (withdraw func(), err error)

// errUnsupportedChallenge is returned for a challenge type that is not enabled.
var errUnsupportedChallenge = errors.New("unsupported challenge type")

// continueOrder advances an order as far as possible now: it answers the challenges, finalizes the order with its key
// and fetches the certificate chain.
func (c *client) continueOrder(ctx context.Context, url string, names []string, key crypto.Signer, answer answerFunc) ([][]byte, error) {
	if err := c.register(ctx); err != nil {
		return nil, err
	}
	order, err := c.acme.GetOrder(ctx, url)
	if err != nil {
		return nil, err
	}
	if order.Status == acme.StatusPending {
		for _, authorization := range order.AuthzURLs {
			if err := c.authorize(ctx, authorization, answer); err != nil {
				return nil, err
			}
		}
		if order, err = c.acme.GetOrder(ctx, url); err != nil {
			return nil, err
		}
	}
	switch order.Status {
	case acme.StatusReady:
		return c.finalize(ctx, order, names, key)
	case acme.StatusValid:
		return c.acme.FetchCert(ctx, order.CertURL, true)
	case acme.StatusInvalid:
		reason := errors.New("order is invalid")
		if order.Error != nil {
			reason = singleLineError(order.Error)
		}
		return nil, orderRejected(reason)
	}
	return nil, orderPending()
}

func (c *client) finalize(ctx context.Context, order *acme.Order, names []string, key crypto.Signer) ([][]byte, error) {
	request, err := x509.CreateCertificateRequest(rand.Reader, &x509.CertificateRequest{DNSNames: names}, key)
	if err != nil {
		return nil, localFailure(err)
	}
	chain, _, err := c.acme.CreateOrderCert(ctx, order.FinalizeURL, request, true)
	if err != nil && ctx.Err() != nil { // CreateOrderCert polls an order in processing until ctx is done
		return nil, orderPending()
	}
	return chain, err
}

// authorize proves control of one host by the first supported challenge.
func (c *client) authorize(ctx context.Context, url string, answer answerFunc) error {
	authorization, err := c.acme.GetAuthorization(ctx, url)
	if err != nil {
		return err
	}
	host := authorization.Identifier.Value
	switch authorization.Status {
	case acme.StatusValid:
		return nil
	case acme.StatusPending:
	default:
		return orderRejected(fmt.Errorf("authorization for %s is %s", host, authorization.Status))
	}
	for _, kind := range []string{challengeTLS, challengeHTTP} {
		for _, challenge := range authorization.Challenges {
			if challenge.Type != kind {
				continue
			}
			withdraw, err := answer(challenge, host)
			if errors.Is(err, errUnsupportedChallenge) {
				continue
			}
			if err != nil {
				return localFailure(err)
			}
			defer withdraw()
			return c.acceptChallenge(ctx, challenge, authorization.URI)
		}
	}
	return orderRejected(fmt.Errorf("%s: authority offers no supported challenge", host))
}

// acceptChallenge asks the authority to validate a challenge whose answer is published, and waits for the outcome.
func (c *client) acceptChallenge(ctx context.Context, challenge *acme.Challenge, authorizationURL string) error {
	if _, err := c.acme.Accept(ctx, challenge); err != nil {
		return err
	}
	_, err := c.acme.WaitAuthorization(ctx, authorizationURL)
	var rejected *acme.AuthorizationError
	if errors.As(err, &rejected) {
		return orderRejected(singleLineError(rejected))
	}
	return err
}

// rollover replaces the account's key (RFC 8555, 7.3.5).
func (c *client) rollover(ctx context.Context, key *ecdsa.PrivateKey) error {
	if err := c.register(ctx); err != nil {
		return err
	}
	return c.acme.AccountKeyRollover(ctx, key)
}

// revoke revokes a certificate.
func (c *client) revoke(ctx context.Context, der []byte) error {
	if err := c.register(ctx); err != nil {
		return err
	}
	return c.acme.RevokeCert(ctx, nil, der, acme.CRLReasonUnspecified)
}

// renewalID returns a certificate's identifier (RFC 9773, 4.1), or "" if it has no authority key identifier.
func renewalID(leaf *x509.Certificate) string {
	if len(leaf.AuthorityKeyId) == 0 {
		return ""
	}
	serial := leaf.SerialNumber.Bytes()
	if len(serial) == 0 || serial[0]&0x80 != 0 { // DER encodes a positive integer with a leading zero bit
		serial = append([]byte{0}, serial...)
	}
	return base64.RawURLEncoding.EncodeToString(leaf.AuthorityKeyId) + "." + base64.RawURLEncoding.EncodeToString(serial)
}

// renewalInfo holds an authority's renewal information for a certificate.
type renewalInfo struct {
	windowStart, windowEnd time.Time     // the Unix epoch if the authority suggests no window
	retryAfter             time.Duration // until the next fetch; 0 if the authority states none
}

// renewalInfo fetches the renewal information (RFC 9773) of a certificate.
func (c *client) renewalInfo(ctx context.Context, id string) (renewalInfo, error) {
	none := renewalInfo{windowStart: time.UnixMilli(0), windowEnd: time.UnixMilli(0)}
	var directory struct{ RenewalInfo string }
	if _, err := c.getJSON(ctx, c.authority.Directory, &directory); err != nil || directory.RenewalInfo == "" {
		return none, err
	}
	var content struct {
		SuggestedWindow struct{ Start, End time.Time }
	}
	header, err := c.getJSON(ctx, strings.TrimSuffix(directory.RenewalInfo, "/")+"/"+id, &content)
	if err != nil {
		return none, err
	}
	window := content.SuggestedWindow
	if !window.End.After(window.Start) { // RFC 9773, 4.2: treated as no window
		return none, errors.New("renewal window does not end after its start")
	}
	return renewalInfo{window.Start, window.End, retryAfter(header)}, nil
}

// getJSON fetches a resource without authentication and decodes it.
func (c *client) getJSON(ctx context.Context, url string, into any) (http.Header, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, &acme.Error{StatusCode: response.StatusCode, Detail: response.Status, Header: response.Header}
	}
	return response.Header, json.NewDecoder(response.Body).Decode(into)
}

// verifyChain checks that a chain is issued for the key and the names, is valid now and leads to a trusted root. It
// returns the leaf.
func verifyChain(chain [][]byte, key crypto.Signer, names []string, roots *x509.CertPool, now time.Time) (*x509.Certificate, error) {
	if len(chain) == 0 {
		return nil, errors.New("certificate chain is empty")
	}
	leaf, err := x509.ParseCertificate(chain[0])
	if err != nil {
		return nil, err
	}
	issuedFor, isECDSA := leaf.PublicKey.(*ecdsa.PublicKey)
	ordered, isOrderECDSA := key.Public().(*ecdsa.PublicKey)
	if !isECDSA || !isOrderECDSA || !issuedFor.Equal(ordered) {
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
	intermediates := x509.NewCertPool()
	for _, der := range chain[1:] {
		certificate, err := x509.ParseCertificate(der)
		if err != nil {
			return nil, err
		}
		intermediates.AddCert(certificate)
	}
	if _, err := leaf.Verify(x509.VerifyOptions{Roots: roots, Intermediates: intermediates, CurrentTime: now}); err != nil {
		return nil, err
	}
	return leaf, nil
}

// sameLeaf reports whether two chains have the same leaf.
func sameLeaf(a, b [][]byte) bool {
	return len(a) > 0 && len(b) > 0 && bytes.Equal(a[0], b[0])
}
