package acmestub

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

// challengeType names a way to prove control of a name (RFC 8555, 8; RFC 8737).
type challengeType string

const (
	challengeHTTP    challengeType = "http-01"
	challengeTLSALPN challengeType = "tls-alpn-01"
)

// authorization says whether an account controls a name. Its challenges share its token and status.
type authorization struct {
	id          string
	accountPath string
	name        string
	status      resourceStatus
	token       string
	problem     *problem
}

// authorizationResource is an authorization as a response has it (RFC 8555, 7.1.4).
type authorizationResource struct {
	Status     resourceStatus      `json:"status"`
	Expires    string              `json:"expires"`
	Identifier identifier          `json:"identifier"`
	Challenges []challengeResource `json:"challenges"`
}

// challengeResource is a challenge as a response has it (RFC 8555, 8).
type challengeResource struct {
	Type   challengeType  `json:"type"`
	URL    string         `json:"url"`
	Token  string         `json:"token"`
	Status resourceStatus `json:"status"`
	Error  *problem       `json:"error,omitempty"`
}

// newAuthorization registers a pending authorization. The caller holds a.mu.
func (a *Authority) newAuthorization(accountPath, name string) *authorization {
	authz := &authorization{
		id:          a.nextID(""),
		accountPath: accountPath,
		name:        name,
		status:      statusPending,
		token:       a.nextID("token-of-some-length-"),
	}
	a.authorizations[authz.id] = authz
	return authz
}

// ownAuthorization finds the authorization that the request's path names among those of its sender; what names the
// resource in the error. The caller holds a.mu.
func (a *Authority) ownAuthorization(r *signedRequest, what string) (*authorization, error) {
	found := a.authorizations[r.request.PathValue("id")]
	if found == nil || found.accountPath != r.accountPath {
		return nil, newProblem(http.StatusNotFound, problemMalformed, "no such %s of this account", what)
	}
	return found, nil
}

func (a *Authority) handleAuthorization(r *signedRequest) error {
	deactivate, err := r.asksDeactivation()
	if err != nil {
		return err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	found, err := a.ownAuthorization(r, "authorization")
	if err != nil {
		return err
	}
	if deactivate {
		found.status = statusDeactivated
	}
	r.reply(http.StatusOK, authorizationResource{
		Status:     found.status,
		Expires:    a.options.Now().Add(authorizationLifetime).Format(time.RFC3339),
		Identifier: identifier{Type: identifierTypeDNS, Value: found.name},
		Challenges: []challengeResource{
			found.challenge(r.baseURL, challengeHTTP),
			found.challenge(r.baseURL, challengeTLSALPN),
		},
	})
	return nil
}

func (authz *authorization) challenge(baseURL string, kind challengeType) challengeResource {
	return challengeResource{
		Type:   kind,
		URL:    baseURL + challengePath + string(kind) + "/" + authz.id,
		Token:  authz.token,
		Status: authz.status,
		Error:  authz.problem,
	}
}

// handleChallenge validates a challenge that the client says is ready (RFC 8555, 7.5.1), before it responds.
func (a *Authority) handleChallenge(r *signedRequest) error {
	kind := challengeType(r.request.PathValue("type"))
	a.mu.Lock()
	authz, err := a.ownAuthorization(r, "challenge")
	a.mu.Unlock()
	if err != nil {
		return err
	}
	err = a.validate(kind, authz, r.key)
	a.mu.Lock()
	defer a.mu.Unlock()
	if authz.status == statusPending {
		if err == nil {
			authz.status = statusValid
		} else {
			authz.status = statusInvalid
			authz.problem = newProblem(http.StatusForbidden, problemUnauthorized, "%s: %v", authz.name, err)
		}
	}
	r.writer.Header().Set("Link", fmt.Sprintf("<%s>;rel=\"up\"", r.baseURL+authorizationPath+authz.id))
	r.reply(http.StatusOK, authz.challenge(r.baseURL, kind))
	return nil
}

// validate looks for a challenge's proof at the address of its name, which takes up to seconds: without a.mu.
func (a *Authority) validate(kind challengeType, authz *authorization, key publicKey) error {
	keyAuthorization := authz.token + "." + key.thumbprint // RFC 8555, 8.1
	switch {
	case a.isActive(FaultRejectedChallenge, authz.name):
		return errors.New("rejected by the schedule")
	case kind == challengeHTTP:
		return a.validateHTTP(authz.name, authz.token, keyAuthorization)
	default:
		return a.validateTLSALPN(authz.name, keyAuthorization)
	}
}
