package acmestub

import (
	"encoding/json"
	"net/http"
)

// resourceStatus is the status of an account, order, authorization or challenge (RFC 8555, 7.1.6).
type resourceStatus string

const (
	statusPending     resourceStatus = "pending"
	statusReady       resourceStatus = "ready"
	statusProcessing  resourceStatus = "processing"
	statusValid       resourceStatus = "valid"
	statusInvalid     resourceStatus = "invalid"
	statusDeactivated resourceStatus = "deactivated"
)

type account struct {
	key           publicKey
	contact       []string
	isDeactivated bool
}

// accountResource is an account as a response has it (RFC 8555, 7.1.2).
type accountResource struct {
	Status  resourceStatus `json:"status"`
	Contact []string       `json:"contact"`
	Orders  string         `json:"orders,omitempty"`
}

// newAccountRequest is the payload of RFC 8555, 7.3.
type newAccountRequest struct {
	Contact                []string        `json:"contact"`
	OnlyReturnExisting     bool            `json:"onlyReturnExisting"`
	TermsOfServiceAgreed   bool            `json:"termsOfServiceAgreed"`
	ExternalAccountBinding json.RawMessage `json:"externalAccountBinding"`
}

func (a *Authority) handleNewAccount(r *signedRequest) error {
	var payload newAccountRequest
	if err := r.decode(&payload); err != nil {
		return err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	for path, existing := range a.accounts {
		if existing.key.thumbprint == r.key.thumbprint && !existing.isDeactivated {
			r.replyAccount(http.StatusOK, path, existing)
			return nil
		}
	}
	switch {
	case payload.OnlyReturnExisting:
		return newProblem(http.StatusBadRequest, problemAccountDoesNotExist, "no account of that key")
	case !payload.TermsOfServiceAgreed:
		return newProblem(http.StatusForbidden, problemUserActionRequired, "the terms of service are not agreed to")
	}
	if err := a.checkExternalBinding(payload.ExternalAccountBinding, r.key); err != nil {
		return err
	}
	path := a.nextID(accountPath)
	created := &account{key: r.key, contact: payload.Contact}
	a.accounts[path] = created
	r.replyAccount(http.StatusCreated, path, created)
	return nil
}

func (r *signedRequest) replyAccount(status int, path string, account *account) {
	r.setLocation(path)
	r.reply(status, accountResource{
		Status:  statusValid,
		Contact: account.contact,
		Orders:  r.baseURL + path + "/orders",
	})
}

// checkExternalBinding checks that a new account's key is signed with one of the external accounts' keys, where the
// authority has any (RFC 8555, 7.3.4).
func (a *Authority) checkExternalBinding(binding json.RawMessage, accountKey publicKey) error {
	if len(a.options.ExternalAccountKeys) == 0 {
		return nil
	}
	message, err := parseJWS(binding)
	if err != nil {
		return newProblem(http.StatusForbidden, problemExternalAccountRequired, "no external account binding: %v", err)
	}
	boundKey, err := parsePublicKey(message.payload)
	secret := a.options.ExternalAccountKeys[message.header.KeyID]
	isBound := err == nil && boundKey.thumbprint == accountKey.thumbprint &&
		message.header.Algorithm == algorithmHS256 && secret != nil && verifyMAC(secret, message) == nil
	if !isBound {
		return newProblem(http.StatusForbidden, problemUnauthorized, "external account binding does not verify")
	}
	return nil
}

func (a *Authority) handleAccount(r *signedRequest) error {
	deactivate, err := r.asksDeactivation()
	if err != nil {
		return err
	}
	path := r.request.URL.Path
	a.mu.Lock()
	defer a.mu.Unlock()
	found := a.accounts[path]
	if found == nil || r.accountPath != path {
		return newProblem(http.StatusUnauthorized, problemUnauthorized, "another client's account")
	}
	status := statusValid
	if deactivate {
		found.isDeactivated = true
		status = statusDeactivated
	}
	r.reply(http.StatusOK, accountResource{Status: status, Contact: found.contact})
	return nil
}

// keyChangeRequest is the payload of the inner JWS of RFC 8555, 7.3.5.
type keyChangeRequest struct {
	Account string          `json:"account"`
	OldKey  json.RawMessage `json:"oldKey"`
}

// handleKeyChange replaces an account's key: the old key signs the request, the new one its payload.
func (a *Authority) handleKeyChange(r *signedRequest) error {
	inner, err := parseJWS(r.payload)
	if err != nil {
		return err
	}
	newKey, err := parsePublicKey(inner.header.Key)
	if err != nil {
		return err
	}
	if err := newKey.verify(inner); err != nil {
		return err
	}
	var change keyChangeRequest
	if err := json.Unmarshal(inner.payload, &change); err != nil {
		return err
	}
	oldKey, err := parsePublicKey(change.OldKey)
	if err != nil || change.Account != r.baseURL+r.accountPath || oldKey.thumbprint != r.key.thumbprint {
		return newProblem(http.StatusBadRequest, problemMalformed, "not this account's key")
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.accounts[r.accountPath].key = newKey
	r.reply(http.StatusOK, struct{}{})
	return nil
}
