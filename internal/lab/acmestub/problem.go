package acmestub

import (
	"encoding/json"
	"fmt"
	"net/http"
)

// problemType is the last part of an ACME error type (RFC 8555, 6.7).
type problemType string

const (
	problemAccountDoesNotExist     problemType = "accountDoesNotExist"
	problemAlreadyRevoked          problemType = "alreadyRevoked"
	problemBadCSR                  problemType = "badCSR"
	problemBadNonce                problemType = "badNonce"
	problemBadPublicKey            problemType = "badPublicKey"
	problemExternalAccountRequired problemType = "externalAccountRequired"
	problemMalformed               problemType = "malformed"
	problemOrderNotReady           problemType = "orderNotReady"
	problemRateLimited             problemType = "rateLimited"
	problemRejectedIdentifier      problemType = "rejectedIdentifier"
	problemServerInternal          problemType = "serverInternal"
	problemUnauthorized            problemType = "unauthorized"
	problemUserActionRequired      problemType = "userActionRequired"
)

// problem is a problem document (RFC 7807) with the error types of RFC 8555.
type problem struct {
	Type   string `json:"type"`
	Detail string `json:"detail"`
	Status int    `json:"status,omitempty"`
}

// Error is the detail, so that a handler can return a problem as its error.
func (p *problem) Error() string { return p.Detail }

func newProblem(status int, kind problemType, format string, args ...any) *problem {
	return &problem{
		Type:   "urn:ietf:params:acme:error:" + string(kind),
		Detail: fmt.Sprintf(format, args...),
		Status: status,
	}
}

func writeProblem(w http.ResponseWriter, p *problem) {
	w.Header().Set("Content-Type", "application/problem+json")
	w.WriteHeader(p.Status)
	_ = json.NewEncoder(w).Encode(p)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
