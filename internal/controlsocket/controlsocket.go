// Package controlsocket is the one socket by which a running process is looked at and told things: HTTP over a Unix socket of
// mode 0600, whose callers are known by the kernel's word (SO_PEERCRED). The node serves it, the agent calls it; the
// agent's own API stands on the same listener.
package controlsocket

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

const (
	mostCallers = 8 // connections at a time: a node has few descriptors to spare
	mostBody    = 8 << 20
	callWithin  = 10 * time.Second // reading a call
)

// Caller is who speaks, by the kernel.
type Caller struct {
	PID int32
	UID uint32
}

type callerKey struct{}

// Who gives a call's caller.
func Who(ctx context.Context) Caller {
	c, _ := ctx.Value(callerKey{}).(Caller)
	return c
}

// Listen opens a socket at a path that no process listens on any more; what a killed one left there is replaced.
func Listen(path string) (net.Listener, error) {
	if c, err := net.DialTimeout("unix", path, time.Second); err == nil {
		_ = c.Close()
		return nil, fmt.Errorf("control socket %s: another process listens there", path)
	}
	if err := os.Remove(path); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return nil, fmt.Errorf("control socket: %w", err)
	}
	// The mode counts from the first moment: nobody connects between the making and a chmod.
	old := unix.Umask(0o177)
	l, err := net.Listen("unix", path)
	unix.Umask(old)
	if err != nil {
		return nil, fmt.Errorf("control socket: %w", err)
	}
	return l, nil
}

// Server makes a server whose callers are of this user, or root; others are refused.
func Server(h http.Handler) *http.Server {
	own := uint32(os.Getuid())
	return &http.Server{ReadHeaderTimeout: callWithin, ReadTimeout: callWithin, IdleTimeout: callWithin, MaxHeaderBytes: 8 << 10,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			if who, err := peer(c); err == nil {
				return context.WithValue(ctx, callerKey{}, who)
			}
			return ctx
		},
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if who, known := r.Context().Value(callerKey{}).(Caller); !known || who.UID != own && who.UID != 0 {
				Fail(w, http.StatusForbidden, "not yours to call")
				return
			}
			r.Body = http.MaxBytesReader(w, r.Body, mostBody)
			h.ServeHTTP(w, r)
		})}
}

// Limited bounds a listener's connections: others wait in its queue.
func Limited(l net.Listener) net.Listener { return &limited{l, make(chan struct{}, mostCallers)} }

type limited struct {
	net.Listener
	open chan struct{}
}

// limitedConn gives its place back once. The kernel is asked of the connection within.
type limitedConn struct {
	net.Conn
	once sync.Once
	open chan struct{}
}

func (l *limited) Accept() (net.Conn, error) {
	l.open <- struct{}{}
	c, err := l.Listener.Accept()
	if err != nil {
		<-l.open
		return nil, err
	}
	return &limitedConn{Conn: c, open: l.open}, nil
}

func (c *limitedConn) Close() error {
	c.once.Do(func() { <-c.open })
	return c.Conn.Close()
}

// peer asks the kernel who is at the other end.
func peer(c net.Conn) (who Caller, err error) {
	if l, ok := c.(*limitedConn); ok {
		c = l.Conn
	}
	u, ok := c.(*net.UnixConn)
	if !ok {
		return who, fmt.Errorf("no Unix socket: %T", c)
	}
	raw, err := u.SyscallConn()
	if err != nil {
		return who, err
	}
	var told error
	err = raw.Control(func(fd uintptr) {
		var cred *unix.Ucred
		if cred, told = unix.GetsockoptUcred(int(fd), unix.SOL_SOCKET, unix.SO_PEERCRED); told == nil {
			who = Caller{cred.Pid, cred.Uid}
		}
	})
	return who, errors.Join(err, told)
}

// Answer writes a value as JSON.
func Answer(w http.ResponseWriter, status int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		status, data = http.StatusInternalServerError, []byte(`{"error":"answer can't be written"}`)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(append(data, '\n'))
}

// Fail answers with an error in one line.
func Fail(w http.ResponseWriter, status int, what string) {
	Answer(w, status, map[string]string{"error": what})
}

// Refused is an answer that is no success.
type Refused struct {
	Status int
	What   string
}

func (r *Refused) Error() string { return r.What }

// Client calls one socket.
type Client struct {
	path string
	http http.Client
}

// NewClient makes a client; it keeps no connection between calls.
func NewClient(path string, within time.Duration) *Client {
	return &Client{path: path, http: http.Client{Timeout: within, Transport: &http.Transport{DisableKeepAlives: true,
		DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			var d net.Dialer
			return d.DialContext(ctx, "unix", path)
		}}}}
}

// Call sends a value, where there is one, and reads the answer into another.
func (c *Client) Call(ctx context.Context, method, target string, in, out any) error {
	var body io.Reader
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return err
		}
		body = bytes.NewReader(data)
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://control"+target, body)
	if err != nil {
		return err
	}
	answer, err := c.http.Do(r)
	if err != nil {
		return fmt.Errorf("%s: %w", c.path, err)
	}
	defer answer.Body.Close()
	data, err := io.ReadAll(io.LimitReader(answer.Body, 64<<20))
	if err != nil {
		return fmt.Errorf("%s: %w", c.path, err)
	}
	if answer.StatusCode >= 300 {
		var told struct{ Error string }
		_ = json.Unmarshal(data, &told)
		if told.Error == "" {
			told.Error = answer.Status
		}
		return &Refused{answer.StatusCode, told.Error}
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(data, out); err != nil {
		return fmt.Errorf("%s: answer: %w", c.path, err)
	}
	return nil
}

// Decode reads a call's body, strictly.
func Decode(r *http.Request, into any) error {
	d := json.NewDecoder(r.Body)
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		return fmt.Errorf("body: %w", err)
	}
	return nil
}
