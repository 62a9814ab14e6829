package controlsocket

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"time"

	"golang.org/x/sys/unix"
)

const (
	maxBodyBytes   = 8 << 20 // of a request
	maxHeaderBytes = 8 << 10
	// requestTimeout bounds the time that a caller takes to send its request, so that a caller that hangs does not occupy one
	// of the few connections.
	requestTimeout = 10 * time.Second
)

// Caller identifies the process at the other end of a connection, as reported by the kernel.
type Caller struct {
	PID int32
	UID uint32
}

// callerKey is the key of the Caller in a request's context.
type callerKey struct{}

// CallerOf returns the caller of the request that ctx belongs to, or the zero Caller for any other context.
func CallerOf(ctx context.Context) Caller {
	caller, _ := ctx.Value(callerKey{}).(Caller)
	return caller
}

// NewServer returns a server for a control socket. Callers get 403 unless their user is this process's or root.
func NewServer(handler http.Handler) *http.Server {
	ownUID := uint32(os.Getuid())
	return &http.Server{
		ReadHeaderTimeout: requestTimeout,
		ReadTimeout:       requestTimeout,
		IdleTimeout:       requestTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnContext:       withCaller,
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			caller, isKnown := r.Context().Value(callerKey{}).(Caller)
			if !isKnown || caller.UID != ownUID && caller.UID != 0 {
				// Permission denied. The text is part of the JSON interface and must not change.
				WriteError(w, http.StatusForbidden, "not yours to call")
				return
			}
			r.Body = http.MaxBytesReader(w, r.Body, maxBodyBytes)
			handler.ServeHTTP(w, r)
		}),
	}
}

// withCaller adds the caller to the context of a connection's requests. If the kernel can't identify the caller, no caller is
// added, and the requests get 403.
func withCaller(ctx context.Context, conn net.Conn) context.Context {
	caller, err := peerCredentials(conn)
	if err != nil {
		return ctx
	}
	return context.WithValue(ctx, callerKey{}, caller)
}

func peerCredentials(conn net.Conn) (Caller, error) {
	if limited, ok := conn.(*limitedConn); ok {
		conn = limited.Conn
	}
	unixConn, ok := conn.(*net.UnixConn)
	if !ok {
		return Caller{}, fmt.Errorf("not a Unix socket: %T", conn)
	}
	raw, err := unixConn.SyscallConn()
	if err != nil {
		return Caller{}, err
	}
	var credentials *unix.Ucred
	var sockoptErr error
	controlErr := raw.Control(func(fd uintptr) {
		credentials, sockoptErr = unix.GetsockoptUcred(int(fd), unix.SOL_SOCKET, unix.SO_PEERCRED)
	})
	if err := errors.Join(controlErr, sockoptErr); err != nil {
		return Caller{}, err
	}
	return Caller{PID: credentials.Pid, UID: credentials.Uid}, nil
}

// WriteJSON writes a response with a value as its JSON body.
func WriteJSON(w http.ResponseWriter, status int, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		status, data = http.StatusInternalServerError, []byte(`{"error":"answer can't be written"}`)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(append(data, '\n'))
}

// WriteError writes an error response, which Client returns as a *ResponseError.
func WriteError(w http.ResponseWriter, status int, message string) {
	WriteJSON(w, status, errorResponse{message})
}

// errorResponse is the body of an error response.
type errorResponse struct {
	Error string `json:"error"`
}

// DecodeBody decodes a request's JSON body into a value. Unknown fields are an error.
func DecodeBody(r *http.Request, into any) error {
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return fmt.Errorf("body: %w", err)
	}
	return nil
}
