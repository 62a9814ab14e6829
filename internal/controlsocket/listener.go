// Package controlsocket implements the control socket of a process, through which its state is read and changed on the local
// machine: HTTP over a Unix socket of mode 0600, whose callers the kernel identifies (SO_PEERCRED). Nodes, the agent and the
// members of the control plane each serve one; the program's commands and the agent call them.
//
// Two other interfaces have similar names. A node's admin address (package admin, "control" in its configuration) accepts a few
// commands over TCP. The control plane (package controlplane) distributes the configuration to all nodes.
package controlsocket

import (
	"errors"
	"fmt"
	"io/fs"
	"net"
	"os"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"pearknot/internal/listeners"
)

// maxConnections bounds the concurrent connections of a control socket, because a node has few descriptors to spare.
const maxConnections = 8

// Listen opens a control socket at a path. A socket that was left there by a killed process is replaced. If a process still
// listens on it, Listen returns an error.
func Listen(path string) (net.Listener, error) {
	if conn, err := net.DialTimeout("unix", path, time.Second); err == nil {
		_ = conn.Close()
		return nil, fmt.Errorf("control socket %s: another process listens there", path)
	}
	if err := os.Remove(path); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return nil, fmt.Errorf("control socket: %w", err)
	}
	// The umask sets the socket's mode at its creation. With a chmod afterwards, any user could connect in between.
	previous := unix.Umask(0o177)
	listener, err := net.Listen("unix", path)
	unix.Umask(previous)
	if err != nil {
		return nil, fmt.Errorf("control socket: %w", err)
	}
	return listener, nil
}

// LimitConnections limits a listener to maxConnections open connections. Further ones wait in the listener's queue.
func LimitConnections(listener net.Listener) net.Listener {
	return &limitedListener{listeners.Retry(listener), make(chan struct{}, maxConnections)}
}

type limitedListener struct {
	net.Listener
	open chan struct{} // holds a token for each open connection
}

// Accept waits for an open connection to close if the limit is reached, and accepts the next one.
func (l *limitedListener) Accept() (net.Conn, error) {
	l.open <- struct{}{}
	conn, err := l.Listener.Accept()
	if err != nil {
		<-l.open
		return nil, err
	}
	return &limitedConn{Conn: conn, open: l.open}, nil
}

// limitedConn returns its token when it is closed for the first time.
type limitedConn struct {
	net.Conn
	once sync.Once
	open chan struct{}
}

func (c *limitedConn) Close() error {
	c.once.Do(func() { <-c.open })
	return c.Conn.Close()
}
