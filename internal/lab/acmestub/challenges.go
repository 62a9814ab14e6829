package acmestub

import (
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"encoding/asn1"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

const (
	validationTimeout = 5 * time.Second
	httpDialTimeout   = 2 * time.Second
	maxHTTPProofBytes = 4096
	acmeTLSProtocol   = "acme-tls/1" // RFC 8737, 6.2
	httpChallengePath = "/.well-known/acme-challenge/"
)

// acmeIdentifier is the certificate extension that holds the proof of tls-alpn-01 (RFC 8737, 3).
var acmeIdentifier = asn1.ObjectIdentifier{1, 3, 6, 1, 5, 5, 7, 1, 31}

// validateHTTP validates a challenge by RFC 8555, 8.3.
func (a *Authority) validateHTTP(name, token, keyAuthorization string) error {
	if a.options.HTTPChallengeAddress == nil {
		return errors.New("http-01 is not supported")
	}
	client := &http.Client{
		Timeout: validationTimeout,
		Transport: &http.Transport{
			DisableKeepAlives: true,
			DialContext:       (&net.Dialer{Timeout: httpDialTimeout}).DialContext,
		},
	}
	request, err := http.NewRequest(http.MethodGet, "http://"+a.options.HTTPChallengeAddress(name)+httpChallengePath+token, nil)
	if err != nil {
		return err
	}
	request.Host = name
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxHTTPProofBytes))
	if err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK || strings.TrimSpace(string(body)) != keyAuthorization {
		return fmt.Errorf("response with status %d and body %.60q", response.StatusCode, body)
	}
	return nil
}

// validateTLSALPN validates a challenge by RFC 8737, 3.
func (a *Authority) validateTLSALPN(name, keyAuthorization string) error {
	if a.options.TLSChallengeAddress == nil {
		return errors.New("tls-alpn-01 is not supported")
	}
	dialer := &net.Dialer{Timeout: validationTimeout}
	connection, err := tls.DialWithDialer(dialer, "tcp", a.options.TLSChallengeAddress(name), &tls.Config{
		ServerName:         name,
		NextProtos:         []string{acmeTLSProtocol},
		InsecureSkipVerify: true, // the challenge's certificate is self-signed; its extension is the proof
	})
	if err != nil {
		return err
	}
	defer func() { _ = connection.Close() }()
	state := connection.ConnectionState()
	if state.NegotiatedProtocol != acmeTLSProtocol || len(state.PeerCertificates) == 0 {
		return errors.New("does not speak " + acmeTLSProtocol)
	}
	return checkChallengeCertificate(state.PeerCertificates[0], name, keyAuthorization)
}

// checkChallengeCertificate checks that a certificate is for name alone and holds the digest of the key authorization in
// a critical extension.
func checkChallengeCertificate(leaf *x509.Certificate, name, keyAuthorization string) error {
	if len(leaf.DNSNames) != 1 || !strings.EqualFold(leaf.DNSNames[0], name) {
		return fmt.Errorf("the challenge certificate is for %v", leaf.DNSNames)
	}
	want := sha256.Sum256([]byte(keyAuthorization))
	for _, extension := range leaf.Extensions {
		if !extension.Id.Equal(acmeIdentifier) {
			continue
		}
		var digest []byte
		if _, err := asn1.Unmarshal(extension.Value, &digest); err != nil {
			return err
		}
		if extension.Critical && string(digest) == string(want[:]) {
			return nil
		}
	}
	return errors.New("the challenge certificate does not hold the proof")
}
