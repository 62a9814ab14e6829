// Package hotrestart links a node's running process (the predecessor) with the process that replaces it (the successor),
// through a Unix socket in a directory that both share.
//
//  1. The predecessor listens at the socket. The successor connects and sends a hello.
//  2. The predecessor answers with its state: the endpoint list and what it has learned of the backends. It answers busy
//     instead if it already has a successor, and other if the hello is of another node or another Version.
//  3. The successor sends ready once it serves clients. Whoever wants to end the predecessor waits for that.
//  4. While it drains, the predecessor reports how many descriptors it may still have open; the rest is the successor's.
//  5. Until one of them ends, each passes on operators' calls to the other, so that both have the same state.
//
// If any step fails, the successor starts without the state and the predecessor goes on as if it had none.
package hotrestart

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"pearknot/internal/discovery"
)

// Version is the version of the link's messages. A successor of another version starts fresh.
const Version = 1

const (
	// maxMessageSize bounds a message, in bytes. The state with some hundred backends takes a few hundred kB.
	maxMessageSize = 8 << 20

	// sendTimeout bounds the write of a message, and the time that a passed-on call may take.
	sendTimeout = time.Second
)

// State is what a predecessor gives its successor. Builds before and after must read it, so the tags keep the names of the
// first one.
type State struct {
	Zones            []string       `json:"Zones"` // that the zones in List are indices of
	Kinds            []string       `json:"Kinds"` // likewise
	List             discovery.List `json:"List"`
	BackendNames     []string       `json:"Names"`  // of the backends in BalancerSnapshot, in their order
	BalancerSnapshot []byte         `json:"Module"` // as package snapshot encodes it; empty if there is none
	KnownNames       []string       `json:"Known"`  // of all backends that have been in the endpoint list
	CordonedNames    []string       `json:"Banned"` // of backends that an operator has cordoned
	QuiescedMs       *float64       `json:"Away"`   // how long the node has been quiesced, ms; nil if it is not
}

// Call is an operator's call that one process passes on to the other.
type Call struct {
	Verb  string `json:"Verb"`
	ID    string `json:"ID"`    // of a backend
	Force bool   `json:"Force"` // the sender knows the ID, so the receiver accepts it even if it does not know it
}

// messageKind determines which fields of a message are used. The texts are sent, so they stay.
type messageKind string

const (
	kindHello messageKind = "hello" // successor: Version and Name
	kindState messageKind = "state" // predecessor's answer: Version and State
	kindBusy  messageKind = "busy"  // predecessor's answer: it has a successor already
	kindOther messageKind = "other" // predecessor's answer: another node, or another Version
	kindReady messageKind = "ready" // successor: it serves clients
	kindUsing messageKind = "using" // predecessor: N descriptors that it may still have open
	kindCall  messageKind = "call"  // either: call number N
	kindDone  messageKind = "done"  // either: the result of call number N, Text or Fault
)

// message is what is sent over the link. The tags keep the field names of the first build.
type message struct {
	Kind    messageKind `json:"Kind"`
	Version int         `json:"Version,omitempty"`
	Name    string      `json:"Name,omitempty"` // of the node
	N       uint64      `json:"N,omitempty"`
	Call    *Call       `json:"Call,omitempty"`
	Text    string      `json:"Text,omitempty"`
	Fault   string      `json:"Fault,omitempty"`
	State   *State      `json:"State,omitempty"`
}

// frameConn sends and receives messages: four bytes of length, big-endian, and JSON.
type frameConn struct {
	net.Conn
	mu sync.Mutex // guards writes
}

// send writes a message. It may be called from several goroutines.
func (c *frameConn) send(m message) error {
	body, err := json.Marshal(m)
	if err != nil {
		return fmt.Errorf("encode %s message: %w", m.Kind, err)
	}
	frame := append(binary.BigEndian.AppendUint32(nil, uint32(len(body))), body...)
	c.mu.Lock()
	defer c.mu.Unlock()
	_ = c.SetWriteDeadline(time.Now().Add(sendTimeout))
	_, err = c.Write(frame)
	return err
}

// receive reads a message. It must be called from one goroutine at a time.
func (c *frameConn) receive() (message, error) {
	var header [4]byte
	if _, err := io.ReadFull(c, header[:]); err != nil {
		return message{}, err
	}
	size := binary.BigEndian.Uint32(header[:])
	if size > maxMessageSize {
		return message{}, fmt.Errorf("message of %d bytes", size)
	}
	body := make([]byte, size)
	if _, err := io.ReadFull(c, body); err != nil {
		return message{}, err
	}
	var m message
	if err := json.Unmarshal(body, &m); err != nil {
		return message{}, err
	}
	if m.Kind == "" {
		return message{}, errors.New("message without a kind")
	}
	return m, nil
}
