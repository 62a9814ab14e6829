package controlsocket

import (
	"context"
	"net/http"

	"pearknot/internal/requestlog"
	"pearknot/internal/server"
)

// Paths of a node's control socket.
const (
	StatusPath     = "/v1/status"
	ServicePath    = "/v1/service"
	CapturePath    = "/v1/capture"
	ClientsPath    = "/v1/clients"
	PeersPath      = "/v1/peers"
	RenewPath      = "/v1/certs/renew"
	RevokePath     = "/v1/certs/revoke"
	AccountKeyPath = "/v1/certs/account-key"
)

// NodeCalls holds the handlers of a node's control socket. Status and SetService are required. Calls to any other handler
// that is nil are answered with 404 and the reason.
type NodeCalls struct {
	Status       func(context.Context) (Status, error)
	SetService   func(Service) error
	DumpCapture  func() (fileName string, err error) // nil if there is no capture in memory
	Certificates CertificateCalls                    // nil if the node serves no TLS
	Clients      func() server.ClientStats           // nil if clients are not tracked
	Peers        func(context.Context) (requestlog.Status, error)
}

// CertificateCalls handles the calls that concern certificates.
type CertificateCalls interface {
	// Renew orders a certificate regardless of its age.
	Renew(ctx context.Context, name string) error
	// Revoke revokes a certificate and orders another.
	Revoke(ctx context.Context, name string) error
	// Rollover changes the account key at an authority.
	Rollover(ctx context.Context, authority int) error
}

// NewNodeHandler returns the handler of a node's control socket.
func NewNodeHandler(calls NodeCalls) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+StatusPath, calls.serveStatus)
	mux.HandleFunc("POST "+ServicePath, calls.serveService)
	mux.HandleFunc("POST "+CapturePath, calls.serveCapture)
	mux.HandleFunc("GET "+ClientsPath, calls.serveClients)
	mux.HandleFunc("GET "+PeersPath, calls.servePeers)
	mux.HandleFunc("POST "+RenewPath, calls.serveRenew)
	mux.HandleFunc("POST "+RevokePath, calls.serveRevoke)
	mux.HandleFunc("POST "+AccountKeyPath, calls.serveRollover)
	return mux
}

func (c *NodeCalls) serveStatus(w http.ResponseWriter, r *http.Request) {
	status, err := c.Status(r.Context())
	if err != nil {
		WriteError(w, http.StatusServiceUnavailable, err.Error())
		return
	}
	WriteJSON(w, http.StatusOK, status)
}

func (c *NodeCalls) serveService(w http.ResponseWriter, r *http.Request) {
	var service Service
	if err := DecodeBody(r, &service); err != nil {
		WriteError(w, http.StatusBadRequest, err.Error())
		return
	}
	if err := c.SetService(service); err != nil {
		WriteError(w, http.StatusConflict, err.Error())
		return
	}
	WriteJSON(w, http.StatusOK, struct{}{})
}

func (c *NodeCalls) serveCapture(w http.ResponseWriter, _ *http.Request) {
	if c.DumpCapture == nil {
		WriteError(w, http.StatusNotFound, "this node holds no capture in memory")
		return
	}
	name, err := c.DumpCapture()
	if err != nil {
		WriteError(w, http.StatusInsufficientStorage, err.Error())
		return
	}
	WriteJSON(w, http.StatusOK, CaptureFile{name})
}

func (c *NodeCalls) serveClients(w http.ResponseWriter, _ *http.Request) {
	if c.Clients == nil {
		WriteError(w, http.StatusNotFound, "this node takes all clients: it was started without --edge")
		return
	}
	WriteJSON(w, http.StatusOK, c.Clients())
}

func (c *NodeCalls) servePeers(w http.ResponseWriter, r *http.Request) {
	if c.Peers == nil {
		WriteError(w, http.StatusNotFound, "this node shares nothing: it was started without --peers")
		return
	}
	state, err := c.Peers(r.Context())
	if err != nil {
		WriteError(w, http.StatusServiceUnavailable, err.Error())
		return
	}
	WriteJSON(w, http.StatusOK, state)
}

func (c *NodeCalls) serveRenew(w http.ResponseWriter, r *http.Request) {
	c.serveCertificateCall(w, r, func(ctx context.Context, certificate Certificate) error {
		return c.Certificates.Renew(ctx, certificate.Name)
	})
}

func (c *NodeCalls) serveRevoke(w http.ResponseWriter, r *http.Request) {
	c.serveCertificateCall(w, r, func(ctx context.Context, certificate Certificate) error {
		return c.Certificates.Revoke(ctx, certificate.Name)
	})
}

func (c *NodeCalls) serveRollover(w http.ResponseWriter, r *http.Request) {
	c.serveCertificateCall(w, r, func(ctx context.Context, certificate Certificate) error {
		return c.Certificates.Rollover(ctx, certificate.Authority)
	})
}

func (c *NodeCalls) serveCertificateCall(w http.ResponseWriter, r *http.Request, call func(context.Context, Certificate) error) {
	if c.Certificates == nil {
		WriteError(w, http.StatusNotFound, "this node serves no TLS")
		return
	}
	var certificate Certificate
	if err := DecodeBody(r, &certificate); err != nil {
		WriteError(w, http.StatusBadRequest, err.Error())
		return
	}
	if err := call(r.Context(), certificate); err != nil {
		WriteError(w, http.StatusConflict, err.Error())
		return
	}
	WriteJSON(w, http.StatusOK, struct{}{})
}
