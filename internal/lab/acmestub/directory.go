package acmestub

import (
	"crypto/rand"
	"net/http"
)

// maxNonces bounds the nonces that were issued and not used: beyond it all are forgotten, and clients try again with a
// fresh one.
const maxNonces = 10_000

// directory is the directory resource (RFC 8555, 7.1.1).
type directory struct {
	NewNonce    string        `json:"newNonce"`
	NewAccount  string        `json:"newAccount"`
	NewOrder    string        `json:"newOrder"`
	RevokeCert  string        `json:"revokeCert"`
	KeyChange   string        `json:"keyChange"`
	RenewalInfo string        `json:"renewalInfo,omitempty"`
	Meta        directoryMeta `json:"meta"`
}

type directoryMeta struct {
	ExternalAccountRequired bool   `json:"externalAccountRequired"`
	TermsOfService          string `json:"termsOfService"`
}

func (a *Authority) handleDirectory(w http.ResponseWriter, r *http.Request) {
	base := baseURL(r)
	d := directory{
		NewNonce:   base + newNoncePath,
		NewAccount: base + newAccountPath,
		NewOrder:   base + newOrderPath,
		RevokeCert: base + revokePath,
		KeyChange:  base + keyChangePath,
		Meta: directoryMeta{
			ExternalAccountRequired: len(a.options.ExternalAccountKeys) > 0,
			TermsOfService:          base + "/terms",
		},
	}
	if a.options.RenewalWindowStart > 0 {
		d.RenewalInfo = base + renewalInfoPath
	}
	writeJSON(w, http.StatusOK, d)
}

// handleNewNonce has nothing to add: ServeHTTP gives every response a nonce.
func handleNewNonce(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) }

// newNonce issues a nonce, which is good for one request (RFC 8555, 6.5).
func (a *Authority) newNonce() string {
	random := make([]byte, 12)
	_, _ = rand.Read(random) // never fails
	nonce := base64URL.EncodeToString(random)
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.nonces) > maxNonces {
		clear(a.nonces)
	}
	a.nonces[nonce] = true
	return nonce
}
