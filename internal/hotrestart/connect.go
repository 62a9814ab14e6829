package hotrestart

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"
	"time"
)

const (
	// connectTimeout bounds the search for a predecessor. By the contract in docs/operations.md a new process answers its
	// health check with YES within 6 s; the remaining 1.5 s are for getting an endpoint list and listening.
	connectTimeout = 4500 * time.Millisecond

	// retryInterval is the time between two attempts to connect, or to accept a connection.
	retryInterval = 50 * time.Millisecond
)

// errBusy means that the predecessor has another successor, or is ending.
var errBusy = errors.New("the predecessor process has another successor")

// Connect connects to the predecessor that listens at path, if there is one, and gets its state. Without a predecessor the
// link, the state and the error are all nil. An error says why the predecessor's state can't be used; the link and the state
// are nil then, too. In both cases the process starts without a state.
//
// handleCall is called for each call that the predecessor passes on. onDescriptorLimit is called with the number of
// descriptors that the predecessor may still have open. Both are called from the link's goroutines.
func Connect(ctx context.Context, path, name string, handleCall CallHandler, onDescriptorLimit func(descriptors int)) (*Link, *State, error) {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	for {
		link, state, err := connectOnce(ctx, path, name, handleCall, onDescriptorLimit)
		if !errors.Is(err, errBusy) {
			if isNobodyListening(err) {
				err = nil
			}
			return link, state, err
		}
		// The running process already has a successor. Either that one takes over, and listens itself once its predecessor
		// has ended, or it fails, and the running process is free again. Both take a moment.
		select {
		case <-ctx.Done():
			return nil, nil, err
		case <-time.After(retryInterval):
		}
	}
}

// isNobodyListening reports whether there is no socket, or only that of a process that was killed.
func isNobodyListening(err error) bool {
	return errors.Is(err, os.ErrNotExist) || errors.Is(err, syscall.ECONNREFUSED)
}

func connectOnce(ctx context.Context, path, name string, handleCall CallHandler, onDescriptorLimit func(int)) (*Link, *State, error) {
	var dialer net.Dialer
	netConn, err := dialer.DialContext(ctx, "unix", path)
	if err != nil {
		return nil, nil, err
	}
	conn := &frameConn{Conn: netConn}
	state, err := requestState(ctx, conn, name)
	if err != nil {
		_ = conn.Close()
		return nil, nil, fmt.Errorf("hot restart: %w", err)
	}
	link := newLink(conn, handleCall, onDescriptorLimit)
	go func() { _ = link.run() }()
	return link, state, nil
}

// requestState introduces this process to the predecessor and reads its state.
func requestState(ctx context.Context, conn *frameConn, name string) (*State, error) {
	deadline, _ := ctx.Deadline()
	_ = conn.SetReadDeadline(deadline)
	if err := conn.send(message{Kind: kindHello, Version: Version, Name: name}); err != nil {
		return nil, err
	}
	answer, err := conn.receive()
	if err != nil {
		return nil, err
	}
	if answer.Kind == kindBusy {
		return nil, errBusy
	}
	if answer.Kind != kindState || answer.State == nil || answer.Version != Version {
		return nil, fmt.Errorf("the predecessor process speaks version %d, this one %d", answer.Version, Version)
	}
	_ = conn.SetReadDeadline(time.Time{})
	return answer.State, nil
}
