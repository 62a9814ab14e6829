// Package acmestub is a stand-in for a certificate authority, written from RFC 8555 (ACME) with RFC 8737 (tls-alpn-01)
// and RFC 9773 (renewal information). It validates challenges for real, over loopback, and plays faults on a schedule.
// Its root certificate is generated at each start, so nothing outside a test can trust what it issues.
package acmestub

import (
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// defaultCertificateLifetime is used where Options has none.
const defaultCertificateLifetime = 90 * 24 * time.Hour

// Options are the settings of an authority.
type Options struct {
	Now                 func() time.Time // clock of the authority; time.Now where nil
	CertificateLifetime time.Duration    // 90 days where 0
	// HTTPChallengeAddress and TLSChallengeAddress give the host:port at which the http-01 and tls-alpn-01 challenges of
	// a name are validated, so that names need not resolve. A challenge type whose function is nil always fails.
	HTTPChallengeAddress func(name string) string
	TLSChallengeAddress  func(name string) string
	// ExternalAccountKeys are the MAC keys of external account binding (RFC 8555, 7.3.4) by key ID. Where there are any,
	// new accounts must be bound to one.
	ExternalAccountKeys map[string][]byte
	// RenewalWindowStart is the share of a certificate's lifetime after which renewal is suggested (RFC 9773); with 0 the
	// authority offers no renewal information.
	RenewalWindowStart float64
}

// Authority serves the ACME protocol as an http.Handler.
type Authority struct {
	options     Options
	mux         *http.ServeMux
	issuer      *issuer
	wrongIssuer *issuer // has another root than clients trust, for FaultWrongChain

	mu             sync.Mutex
	faults         []ScheduledFault
	nonces         map[string]bool
	accounts       map[string]*account // by URL path
	orders         map[string]*order
	authorizations map[string]*authorization
	chains         map[string][]byte // PEM of issued certificate chains, by URL path
	revoked        map[string]bool   // by serial number
	requestTimes   []time.Time
	lastSerial     int64 // of certificates and of the IDs of resources
}

// New makes an authority with a root certificate of its own.
func New(options Options) (*Authority, error) {
	if options.Now == nil {
		options.Now = time.Now
	}
	if options.CertificateLifetime == 0 {
		options.CertificateLifetime = defaultCertificateLifetime
	}
	a := &Authority{
		options:        options,
		mux:            http.NewServeMux(),
		nonces:         map[string]bool{},
		accounts:       map[string]*account{},
		orders:         map[string]*order{},
		authorizations: map[string]*authorization{},
		chains:         map[string][]byte{},
		revoked:        map[string]bool{},
		lastSerial:     1000,
	}
	var err error
	if a.issuer, err = newIssuer("stand-in root", options.Now()); err != nil {
		return nil, err
	}
	if a.wrongIssuer, err = newIssuer("another root", options.Now()); err != nil {
		return nil, err
	}
	a.registerHandlers()
	return a, nil
}

// Roots are the root certificates that a client of this authority trusts.
func (a *Authority) Roots() *x509.CertPool {
	pool := x509.NewCertPool()
	pool.AddCert(a.issuer.certificate)
	return pool
}

// RootPEM is the root certificate in PEM.
func (a *Authority) RootPEM() []byte {
	return pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: a.issuer.certificate.Raw})
}

// RequestCount counts the requests that arrived from start until before end, those that met a fault among them.
func (a *Authority) RequestCount(start, end time.Time) (count int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, at := range a.requestTimes {
		if !at.Before(start) && at.Before(end) {
			count++
		}
	}
	return count
}

// OrderCount counts the orders that were created.
func (a *Authority) OrderCount() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.orders)
}

// IssuedCount counts the certificates that were issued.
func (a *Authority) IssuedCount() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.chains)
}

// IsRevoked tells whether the certificate with this serial number was revoked.
func (a *Authority) IsRevoked(serial *big.Int) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.revoked[serial.String()]
}

// nextSerial gives a number that was not used before. The caller holds a.mu.
func (a *Authority) nextSerial() int64 {
	a.lastSerial++
	return a.lastSerial
}

// nextID gives an unused identifier of a resource. The caller holds a.mu.
func (a *Authority) nextID(prefix string) string {
	return prefix + strconv.FormatInt(a.nextSerial(), 36)
}
