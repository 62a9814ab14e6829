package acmestub

import (
	"crypto/x509"
	"net/http"
	"strings"
	"time"
)

const (
	orderLifetime         = 7 * 24 * time.Hour
	authorizationLifetime = 24 * time.Hour
	identifierTypeDNS     = "dns"
)

// order is an order of a certificate for some names, each with an authorization of its own.
type order struct {
	id               string
	accountPath      string
	names            []string
	authorizationIDs []string // by the index of their names
	status           resourceStatus
	certificatePath  string // empty until the certificate is issued
	problem          *problem
}

type identifier struct {
	Type  string `json:"type"`
	Value string `json:"value"`
}

// orderResource is an order as a response has it (RFC 8555, 7.1.3).
type orderResource struct {
	Status         resourceStatus `json:"status"`
	Expires        string         `json:"expires"`
	Identifiers    []identifier   `json:"identifiers"`
	Authorizations []string       `json:"authorizations"`
	Finalize       string         `json:"finalize"`
	Certificate    string         `json:"certificate,omitempty"`
	Error          *problem       `json:"error,omitempty"`
}

func (a *Authority) handleNewOrder(r *signedRequest) error {
	var payload struct {
		Identifiers []identifier `json:"identifiers"`
	}
	if err := r.decode(&payload); err != nil {
		return err
	}
	if r.accountPath == "" || len(payload.Identifiers) == 0 {
		return newProblem(http.StatusBadRequest, problemMalformed, "no account or no identifiers")
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	created := &order{id: a.nextID(""), accountPath: r.accountPath, status: statusPending}
	for _, id := range payload.Identifiers {
		if id.Type != identifierTypeDNS || id.Value == "" || strings.ContainsAny(id.Value, " /*") {
			return newProblem(http.StatusBadRequest, problemRejectedIdentifier, "%s %q is not supported", id.Type, id.Value)
		}
		authz := a.newAuthorization(r.accountPath, id.Value)
		created.names = append(created.names, id.Value)
		created.authorizationIDs = append(created.authorizationIDs, authz.id)
	}
	a.orders[created.id] = created
	r.setLocation(orderPath + created.id)
	a.replyOrder(r, http.StatusCreated, created)
	return nil
}

// updateOrderStatus makes an order invalid when one of its authorizations is, and ready once all are valid. The caller
// holds a.mu.
func (a *Authority) updateOrderStatus(o *order) {
	isReady := o.status == statusPending
	for _, id := range o.authorizationIDs {
		switch authz := a.authorizations[id]; authz.status {
		case statusValid:
		case statusInvalid:
			o.status, o.problem = statusInvalid, authz.problem
			isReady = false
		default:
			isReady = false
		}
	}
	if isReady {
		o.status = statusReady
	}
}

// replyOrder answers with an order as it is now. The caller holds a.mu.
func (a *Authority) replyOrder(r *signedRequest, status int, o *order) {
	a.updateOrderStatus(o)
	resource := orderResource{
		Status:   o.status,
		Expires:  a.options.Now().Add(orderLifetime).Format(time.RFC3339),
		Finalize: r.baseURL + finalizePath + o.id,
		Error:    o.problem,
	}
	for i, name := range o.names {
		resource.Identifiers = append(resource.Identifiers, identifier{Type: identifierTypeDNS, Value: name})
		resource.Authorizations = append(resource.Authorizations, r.baseURL+authorizationPath+o.authorizationIDs[i])
	}
	if o.certificatePath != "" {
		resource.Certificate = r.baseURL + o.certificatePath
	}
	r.reply(status, resource)
}

// ownOrder finds the order that the request's path names among those of its sender. The caller holds a.mu.
func (a *Authority) ownOrder(r *signedRequest) (*order, error) {
	found := a.orders[r.request.PathValue("id")]
	if found == nil || found.accountPath != r.accountPath {
		return nil, newProblem(http.StatusNotFound, problemMalformed, "no such order of this account")
	}
	return found, nil
}

func (a *Authority) handleOrder(r *signedRequest) error {
	isStuck := a.isActive(FaultStuckOrder, "")
	a.mu.Lock()
	defer a.mu.Unlock()
	found, err := a.ownOrder(r)
	if err != nil {
		return err
	}
	if found.status == statusProcessing {
		if isStuck {
			r.setRetryAfter()
		} else {
			found.status = statusValid
		}
	}
	a.replyOrder(r, http.StatusOK, found)
	return nil
}

// handleFinalize issues the certificate of an order that is ready (RFC 8555, 7.4).
func (a *Authority) handleFinalize(r *signedRequest) error {
	var payload struct {
		CSR string `json:"csr"`
	}
	if err := r.decode(&payload); err != nil {
		return err
	}
	csr, err := parseCSR(payload.CSR)
	if err != nil {
		return err
	}
	isStuck := a.isActive(FaultStuckOrder, "")
	found, err := a.finalizableOrder(r, csr)
	if err != nil {
		return err
	}
	chain, err := a.issue(found.names, csr.PublicKey)
	if err != nil {
		return err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	found.certificatePath = certificatePath + found.id
	a.chains[found.certificatePath] = chain
	found.status = statusValid
	if isStuck {
		found.status = statusProcessing
		r.setRetryAfter()
	}
	r.setLocation(orderPath + found.id)
	a.replyOrder(r, http.StatusOK, found)
	return nil
}

// parseCSR decodes a certificate signing request and checks that its sender holds the key.
func parseCSR(encoded string) (*x509.CertificateRequest, error) {
	der, err := base64URL.DecodeString(encoded)
	if err != nil {
		return nil, err
	}
	csr, err := x509.ParseCertificateRequest(der)
	if err == nil {
		err = csr.CheckSignature()
	}
	if err != nil {
		return nil, newProblem(http.StatusBadRequest, problemBadCSR, "%v", err)
	}
	return csr, nil
}

// finalizableOrder finds the order that a request finalizes, and checks that the signing request fits it.
func (a *Authority) finalizableOrder(r *signedRequest, csr *x509.CertificateRequest) (*order, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	found, err := a.ownOrder(r)
	if err != nil {
		return nil, err
	}
	a.updateOrderStatus(found)
	if found.status != statusReady {
		return nil, newProblem(http.StatusForbidden, problemOrderNotReady, "the order is %s", found.status)
	}
	if strings.Join(csr.DNSNames, " ") != strings.Join(found.names, " ") {
		return nil, newProblem(http.StatusBadRequest, problemBadCSR, "for %v, the order is for %v", csr.DNSNames, found.names)
	}
	return found, nil
}
