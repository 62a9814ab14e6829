package acmestub

import (
	"crypto"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net/http"
	"time"
)

const (
	rootBackdated        = 24 * time.Hour
	rootLifetime         = 20 * 365 * 24 * time.Hour
	certificateBackdated = time.Minute // for clients whose clocks are behind
)

// issuer is a root certificate with its key, which signs certificates directly.
type issuer struct {
	key         *ecdsa.PrivateKey
	certificate *x509.Certificate
}

func newIssuer(name string, now time.Time) (*issuer, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		Subject:               pkix.Name{CommonName: name},
		NotBefore:             now.Add(-rootBackdated),
		NotAfter:              now.Add(rootLifetime),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, err
	}
	certificate, err := x509.ParseCertificate(der)
	return &issuer{key: key, certificate: certificate}, err
}

// issue signs a certificate, spoiled by the faults that are active for its first name, and gives its chain in PEM.
func (a *Authority) issue(names []string, public crypto.PublicKey) (chain []byte, err error) {
	now, lifetime := a.options.Now(), a.options.CertificateLifetime
	a.mu.Lock()
	serial := big.NewInt(a.nextSerial())
	a.mu.Unlock()
	template := &x509.Certificate{
		SerialNumber:   serial,
		Subject:        pkix.Name{CommonName: names[0]},
		DNSNames:       names,
		NotBefore:      now.Add(-certificateBackdated),
		NotAfter:       now.Add(lifetime),
		KeyUsage:       x509.KeyUsageDigitalSignature,
		ExtKeyUsage:    []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
		AuthorityKeyId: []byte("stand-in"),
	}
	signer := a.issuer
	if a.isActive(FaultExpired, names[0]) {
		template.NotBefore, template.NotAfter = now.Add(-2*lifetime), now.Add(-lifetime)
	}
	if a.isActive(FaultNotYetValid, names[0]) {
		template.NotBefore = now.Add(24 * time.Hour)
	}
	if a.isActive(FaultOtherName, names[0]) {
		template.DNSNames = []string{"elsewhere.example.org"}
	}
	if a.isActive(FaultOtherKey, names[0]) {
		otherKey, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
		if err != nil {
			return nil, err
		}
		public = &otherKey.PublicKey
	}
	if a.isActive(FaultWrongChain, names[0]) {
		signer = a.wrongIssuer
	}
	leaf, err := x509.CreateCertificate(rand.Reader, template, signer.certificate, public, signer.key)
	if err != nil {
		return nil, err
	}
	for _, der := range [][]byte{leaf, signer.certificate.Raw} {
		chain = append(chain, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})...)
	}
	return chain, nil
}

// handleCertificate gives the chain of an issued certificate (RFC 8555, 7.4.2).
func (a *Authority) handleCertificate(r *signedRequest) error {
	a.mu.Lock()
	chain, isIssued := a.chains[r.request.URL.Path]
	order := a.orders[r.request.PathValue("id")]
	a.mu.Unlock()
	if !isIssued || order == nil || order.accountPath != r.accountPath || order.status != statusValid {
		return newProblem(http.StatusNotFound, problemMalformed, "no such certificate of this account")
	}
	r.writer.Header().Set("Content-Type", "application/pem-certificate-chain")
	_, _ = r.writer.Write(chain)
	return nil
}

// handleRevoke revokes a certificate (RFC 8555, 7.6), whoever asks for it.
func (a *Authority) handleRevoke(r *signedRequest) error {
	var payload struct {
		Certificate string `json:"certificate"`
	}
	if err := r.decode(&payload); err != nil {
		return err
	}
	der, err := base64URL.DecodeString(payload.Certificate)
	if err != nil {
		return err
	}
	certificate, err := x509.ParseCertificate(der)
	if err != nil {
		return err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	serial := certificate.SerialNumber.String()
	if a.revoked[serial] {
		return newProblem(http.StatusBadRequest, problemAlreadyRevoked, "certificate was revoked before")
	}
	a.revoked[serial] = true
	r.writer.WriteHeader(http.StatusOK)
	return nil
}
