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
	// connectTimeout bounds the time to connect to a predecessor and get its state. By the contract in docs/operations.md, a
	// new process answers its health check with YES within 6 s; the remaining 1.5 s are for getting an endpoint list and
	// listening.
	connectTimeout = 4500 * time.Millisecond

	// retryInterval is the wait between two attempts to connect, or to accept a connection.
	retryInterval = 50 * time.Millisecond
)

// errBusy indicates that the predecessor has another successor, or is shutting down.
var errBusy = errors.New("the predecessor process has another successor")

// Successor holds the name, the lock and the callbacks of a starting process for Connect. The callbacks are called from the link's
// goroutines.
type Successor struct {
	Name              string                // of the node
	Lock              *ProcessLock          // may be nil
	HandleCall        CallHandler           // executes calls that the predecessor forwards
	HandleResponse    ResponseHandler       // takes over responses; nil takes none
	OnDescriptorLimit func(descriptors int) // called with the number of descriptors that the predecessor may still have open
}

// Connect connects to the predecessor that listens at path, if there is one, and gets its state. While no process listens but
// another one holds the lock, it waits. Without a predecessor, the link, the state and the error are all nil. If the predecessor's
// state can't be used, Connect returns an error and the link and the state are nil. In both cases the process starts without a
// predecessor's state.
func Connect(ctx context.Context, path string, successor Successor) (*Link, *State, error) {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	for {
		link, state, err := connectOnce(ctx, path, successor)
		switch {
		case isNotListening(err) && !successor.Lock.IsHeldByOther():
			return nil, nil, nil
		case !isNotListening(err) && !errors.Is(err, errBusy):
			return link, state, err
		}
		// The running process already has a successor. Either the successor takes over, and listens itself once its
		// predecessor has ended, or it fails, and the running process accepts another one. Both take some time.
		select {
		case <-ctx.Done():
			return nil, nil, err
		case <-time.After(retryInterval):
		}
	}
}

// isNotListening reports whether there is no socket, or only one left by a process that was killed.
func isNotListening(err error) bool {
	return errors.Is(err, os.ErrNotExist) || errors.Is(err, syscall.ECONNREFUSED)
}

func connectOnce(ctx context.Context, path string, successor Successor) (*Link, *State, error) {
	var dialer net.Dialer
	netConn, err := dialer.DialContext(ctx, "unix", path)
	if err != nil {
		return nil, nil, err
	}
	conn := &frameConn{Conn: netConn}
	state, err := requestState(ctx, conn, successor)
	if err != nil {
		_ = conn.Close()
		return nil, nil, fmt.Errorf("hot restart: %w", err)
	}
	link := newLink(conn, successor.HandleCall, successor.OnDescriptorLimit)
	link.onResponse = successor.HandleResponse
	link.open()
	go func() { _ = link.run() }()
	return link, state, nil
}

// requestState sends a hello to the predecessor and reads its state.
func requestState(ctx context.Context, conn *frameConn, successor Successor) (*State, error) {
	deadline, _ := ctx.Deadline()
	_ = conn.SetReadDeadline(deadline)
	hello := message{Kind: kindHello, Version: Version, Name: successor.Name, TakesResponses: successor.HandleResponse != nil}
	if err := conn.send(hello); err != nil {
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
		return nil, fmt.Errorf("predecessor process: unsupported protocol version %d, this build supports %d", answer.Version, Version)
	}
	_ = conn.SetReadDeadline(time.Time{})
	return answer.State, nil
}
