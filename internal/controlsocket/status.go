package controlsocket

import (
	"context"
	"fmt"
	"net/http"

	"pearknot/internal/acme"
	"pearknot/internal/requestlog"
	"pearknot/internal/server"
)

// Paths of a node's socket.
const (
	StatusPath  = "/v1/status"
	ServicePath = "/v1/service"
	CapturePath = "/v1/capture"
	ClientsPath = "/v1/clients"
	PeersPath   = "/v1/peers"
	RenewPath   = "/v1/certs/renew"
	RevokePath  = "/v1/certs/revoke"
	KeyPath     = "/v1/certs/account-key"
)

// Status is a node's own word about itself.
type Status struct {
	Token     string  `json:"token"` // that it was started with: proves that it is the one
	PID       int     `json:"pid"`
	Name      string  `json:"name"`
	Listen    string  `json:"listen"`
	Version   string  `json:"version"`
	Started   float64 `json:"started"` // Unix ms
	Config    string  `json:"config"`  // file
	Digest    string  `json:"digest"`  // SHA-256 of the configuration as it was read
	Epoch     uint64  `json:"epoch"`
	List      string  `json:"list"` // where it asks for the list
	ListAt    uint64  `json:"list_version"`
	ListSum   string  `json:"list_digest"`
	Backends  int     `json:"backends"`
	Ready     bool    `json:"ready"` // it holds a list
	InService bool    `json:"in_service"`
	Ending    bool    `json:"ending"`
	Open      int64   `json:"open_ops"`
	MemoryMB  float64 `json:"memory_mb"` // that the runtime has of the system
	TLS       *TLS    `json:"tls,omitempty"`

	ControlPlane *ControlPlane `json:"control_plane,omitempty"`
}

// ControlPlane is what a node that follows one has of it.
type ControlPlane struct {
	InForce uint64   `json:"in_force"` // version; 0 is the file's settings
	Held    uint64   `json:"held"`
	Digest  string   `json:"digest,omitempty"` // SHA-256 of the text in force
	AgeMs   *float64 `json:"age_ms,omitempty"` // it has all that was acknowledged so long ago; none before the first contact
	Member  string   `json:"member,omitempty"` // that it follows
	Refused uint64   `json:"refused,omitempty"`
	Why     string   `json:"why,omitempty"`

	BytesIn   int64 `json:"bytes_in"`
	BytesOut  int64 `json:"bytes_out"`
	FramesIn  int64 `json:"frames_in"`
	FramesOut int64 `json:"frames_out"`
	Dials     int64 `json:"dials"`
}

// String is what there is to say in a table's field; of none it is empty.
func (c *ControlPlane) String() string {
	if c == nil {
		return ""
	}
	age, member := "age unknown", "no member"
	if c.AgeMs != nil {
		age = fmt.Sprintf("%.0f s old", *c.AgeMs/1e3)
	}
	if c.Member != "" {
		member = "by " + c.Member
	}
	s := fmt.Sprintf("%d %.8s, %s, %s", c.InForce, c.Digest, age, member)
	if c.Refused > c.InForce {
		s += fmt.Sprintf(", refuses %d", c.Refused)
	}
	return s
}

// TLS is what a node serves beside plain connections.
type TLS struct {
	Listen       string                `json:"listen"`
	Dir          string                `json:"dir"`    // the store
	Orders       bool                  `json:"orders"` // this instance does, for all on the store
	OrderedBy    int                   `json:"ordered_by,omitempty"`
	Handshakes   server.HandshakeStats `json:"handshakes"`
	Certificates []acme.Status         `json:"certificates"`
}

// Worst is the certificate that ends first, with those that are missing before all.
func (t *TLS) Worst() (w acme.Status) {
	for k, c := range t.Certificates {
		if k == 0 || c.NotAfter.Before(w.NotAfter) {
			w = c
		}
	}
	return w
}

// Certificate names one.
type Certificate struct {
	Name      string `json:"name,omitempty"`
	Authority int    `json:"authority,omitempty"` // of an account's key
}

// Certificates are what a node's keeper of them can be told.
type Certificates interface {
	Renew(ctx context.Context, name string) error
	Revoke(ctx context.Context, name string) error
	Rollover(ctx context.Context, authority int) error
}

// Service tells a node whether its health says that it may be sent clients.
type Service struct {
	In  bool   `json:"in"`
	Why string `json:"why"`
}

// Written is where a node has put what it was asked to write.
type Written struct {
	File string `json:"file"`
}

// Node serves a node's socket. Dump writes its capture out; nil is a node without one to write, without certificates, or
// that takes all clients, or shares nothing.
func Node(status func(context.Context) (Status, error), service func(Service) error, dump func() (string, error), certs Certificates,
	clients func() server.ClientStats, peers func(context.Context) (requestlog.StateDigest, error)) http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET "+PeersPath, func(w http.ResponseWriter, r *http.Request) {
		if peers == nil {
			Fail(w, http.StatusNotFound, "this node shares nothing: it was started without --peers")
			return
		}
		if told, err := peers(r.Context()); err != nil {
			Fail(w, http.StatusServiceUnavailable, err.Error())
		} else {
			Answer(w, http.StatusOK, told)
		}
	})
	m.HandleFunc("GET "+ClientsPath, func(w http.ResponseWriter, _ *http.Request) {
		if clients == nil {
			Fail(w, http.StatusNotFound, "this node takes all clients: it was started without --edge")
			return
		}
		Answer(w, http.StatusOK, clients())
	})
	for path, f := range map[string]func(context.Context, Certificate) error{
		RenewPath:  func(ctx context.Context, c Certificate) error { return certs.Renew(ctx, c.Name) },
		RevokePath: func(ctx context.Context, c Certificate) error { return certs.Revoke(ctx, c.Name) },
		KeyPath:    func(ctx context.Context, c Certificate) error { return certs.Rollover(ctx, c.Authority) },
	} {
		m.HandleFunc("POST "+path, func(w http.ResponseWriter, r *http.Request) {
			if certs == nil {
				Fail(w, http.StatusNotFound, "this node serves no TLS")
				return
			}
			var c Certificate
			if err := Decode(r, &c); err != nil {
				Fail(w, http.StatusBadRequest, err.Error())
				return
			}
			if err := f(r.Context(), c); err != nil {
				Fail(w, http.StatusConflict, err.Error())
				return
			}
			Answer(w, http.StatusOK, struct{}{})
		})
	}
	m.HandleFunc("POST "+CapturePath, func(w http.ResponseWriter, _ *http.Request) {
		if dump == nil {
			Fail(w, http.StatusNotFound, "this node holds no capture in memory")
			return
		}
		file, err := dump()
		if err != nil {
			Fail(w, http.StatusInsufficientStorage, err.Error())
			return
		}
		Answer(w, http.StatusOK, Written{file})
	})
	m.HandleFunc("GET "+StatusPath, func(w http.ResponseWriter, r *http.Request) {
		s, err := status(r.Context())
		if err != nil {
			Fail(w, http.StatusServiceUnavailable, err.Error())
			return
		}
		Answer(w, http.StatusOK, s)
	})
	m.HandleFunc("POST "+ServicePath, func(w http.ResponseWriter, r *http.Request) {
		var s Service
		if err := Decode(r, &s); err != nil {
			Fail(w, http.StatusBadRequest, err.Error())
			return
		}
		if err := service(s); err != nil {
			Fail(w, http.StatusConflict, err.Error())
			return
		}
		Answer(w, http.StatusOK, struct{}{})
	})
	return m
}
