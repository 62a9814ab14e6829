package acmestub

import (
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"net/http"
	"strings"
	"time"
)

const (
	// renewalWindowLength is the length of the suggested window, as a share of the certificate's lifetime.
	renewalWindowLength = 0.05
	// revokedWindowAge puts the window of a revoked certificate into the past, so that it is renewed at once.
	revokedWindowAge = time.Hour
	// renewalInfoRetryAfter is how long, in seconds, clients wait before they ask again.
	renewalInfoRetryAfter = "21600"
)

// renewalInfo is the resource of RFC 9773, 4.2.
type renewalInfo struct {
	SuggestedWindow struct {
		Start string `json:"start"`
		End   string `json:"end"`
	} `json:"suggestedWindow"`
}

// handleRenewalInfo tells when to renew the certificate whose ID the path has (RFC 9773, 4.1).
func (a *Authority) handleRenewalInfo(w http.ResponseWriter, r *http.Request) {
	if a.options.RenewalWindowStart == 0 {
		http.NotFound(w, r)
		return
	}
	_, encodedSerial, hasSerial := strings.Cut(r.PathValue("id"), ".")
	serialBytes, err := base64URL.DecodeString(encodedSerial)
	if !hasSerial || err != nil {
		writeProblem(w, newProblem(http.StatusBadRequest, problemMalformed, "malformed certificate ID"))
		return
	}
	serial := new(big.Int).SetBytes(serialBytes)
	a.mu.Lock()
	defer a.mu.Unlock()
	certificate := a.issuedCertificate(serial)
	if certificate == nil {
		writeProblem(w, newProblem(http.StatusNotFound, problemMalformed, "no such certificate"))
		return
	}
	lifetime := certificate.NotAfter.Sub(certificate.NotBefore)
	start := certificate.NotBefore.Add(time.Duration(a.options.RenewalWindowStart * float64(lifetime)))
	if a.revoked[serial.String()] {
		start = a.options.Now().Add(-revokedWindowAge)
	}
	end := start.Add(time.Duration(renewalWindowLength * float64(lifetime)))
	var info renewalInfo
	info.SuggestedWindow.Start = start.Format(time.RFC3339)
	info.SuggestedWindow.End = end.Format(time.RFC3339)
	w.Header().Set("Retry-After", renewalInfoRetryAfter)
	writeJSON(w, http.StatusOK, info)
}

// issuedCertificate finds an issued certificate by its serial number; nil where there is none. The caller holds a.mu.
func (a *Authority) issuedCertificate(serial *big.Int) *x509.Certificate {
	for _, chain := range a.chains {
		leaf, _ := pem.Decode(chain)
		certificate, err := x509.ParseCertificate(leaf.Bytes)
		if err == nil && certificate.SerialNumber.Cmp(serial) == 0 {
			return certificate
		}
	}
	return nil
}
