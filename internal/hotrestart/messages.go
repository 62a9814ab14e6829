// Package hotrestart connects a node's running process (the predecessor) with the process that replaces it (the successor),
// through a Unix socket in a directory that both share.
//
//  1. The predecessor listens at the socket. The successor connects and sends a hello.
//  2. The predecessor answers with its state: the endpoint list and the learned state of the backends. It answers busy
//     instead if it already has a successor, and other if the hello is from another node or has another Version.
//     Calls to the successor wait until it has the state.
//  3. The successor sends ready once it serves clients. The predecessor should not be stopped before that.
//  4. While it drains, the predecessor reports how many descriptors it may still have open; the successor may use the rest.
//  5. While it drains, it passes on responses of which clients still read the body. The two connections come as descriptors.
//  6. Until one of them ends, each forwards operators' calls to the other, so that both have the same state.
//
// If any step fails, the successor starts without the state and the predecessor continues as if it had no successor.
package hotrestart

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"pearknot/internal/discovery"
)

// Version is the version of the link's protocol. A successor with another version starts without the predecessor's state.
const Version = 1

const (
	// maxMessageBytes bounds the size of a message. The state with a few hundred backends takes a few hundred kB.
	maxMessageBytes = 8 << 20

	// sendTimeout bounds the time to write a message, and the execution of a forwarded call.
	sendTimeout = time.Second
)

// State is the state that a predecessor sends to its successor. Earlier and later builds must be able to read it, so the tags
// keep the field names of the first build.
type State struct {
	Zones            []string       `json:"Zones"` // indexed by the zones in List
	Kinds            []string       `json:"Kinds"` // indexed by the kinds in List
	List             discovery.List `json:"List"`
	BackendNames     []string       `json:"Names"`                // of the backends in BalancerSnapshot, in their order
	BalancerSnapshot []byte         `json:"Module"`               // as encoded by package snapshot; empty if there is none
	KnownNames       []string       `json:"Known"`                // of all backends that have ever been in the endpoint list
	CordonedNames    []string       `json:"Banned"`               // of backends that an operator has cordoned
	QuiescedMs       *float64       `json:"Away"`                 // time since the node was quiesced, ms; nil if it is not
	RequestIDs       []uint64       `json:"RequestIDs,omitempty"` // hashes of the ids of requests that must not run twice and may have run
	// RemovedEndpoints are the backends that the list has lately removed, and that are used while it is doubted.
	RemovedEndpoints []discovery.Endpoint `json:"RemovedMembers,omitempty"`
	// QuietConns is the number of connections to backends that have been quiet after a response (upstream.Config).
	QuietConns int64 `json:"QuietConnections,omitempty"`
}

// Call is an operator's call that one process forwards to the other.
type Call struct {
	Verb  string `json:"Verb"`
	ID    string `json:"ID"`    // of a backend or a request
	Force bool   `json:"Force"` // the sender knows the ID, so the receiver accepts it even if it is unknown there
}

// messageKind determines which fields of a message are used. The values are part of the protocol.
type messageKind string

const (
	kindHello           messageKind = "hello"    // successor: Version and Name
	kindState           messageKind = "state"    // predecessor's answer: Version and State
	kindBusy            messageKind = "busy"     // predecessor's answer: it has a successor already
	kindMismatch        messageKind = "other"    // predecessor's answer: another node, or another Version
	kindReady           messageKind = "ready"    // successor: ready, it serves clients
	kindDescriptorLimit messageKind = "using"    // predecessor: Number is the most descriptors that it will have open from now on
	kindCall            messageKind = "call"     // either: Call with its Number
	kindResult          messageKind = "done"     // either: result of the call or response with that Number, Text or Error
	kindResponse        messageKind = "response" // predecessor: Response with its Number and two descriptors
)

// message is the JSON form of a message on the link. The tags keep the field names of the first build.
type message struct {
	Kind    messageKind `json:"Kind"`
	Version int         `json:"Version,omitempty"`
	Name    string      `json:"Name,omitempty"` // of the node
	Number  uint64      `json:"N,omitempty"`    // of the call, or of descriptors
	Call    *Call       `json:"Call,omitempty"`
	Text    string      `json:"Text,omitempty"`
	Error   string      `json:"Fault,omitempty"`
	State   *State      `json:"State,omitempty"`

	TakesResponses bool      `json:"TakesResponses,omitempty"` // hello: the successor takes responses over
	Response       *Response `json:"Response,omitempty"`
}

// frameConn sends and receives messages. Each one is a four-byte big-endian length and JSON.
type frameConn struct {
	net.Conn
	mu    sync.Mutex // guards writes
	files []*os.File // descriptors that came with the message that is being received
}

// send writes a message. It may be called concurrently.
func (c *frameConn) send(m message) error { return c.write(m, c.Write) }

// write writes a message, the first part of it by writeFirst.
func (c *frameConn) write(m message, writeFirst func(frame []byte) (int, error)) error {
	body, err := json.Marshal(m)
	if err != nil {
		return fmt.Errorf("encode %s message: %w", m.Kind, err)
	}
	frame := append(binary.BigEndian.AppendUint32(nil, uint32(len(body))), body...)
	c.mu.Lock()
	defer c.mu.Unlock()
	_ = c.SetWriteDeadline(time.Now().Add(sendTimeout))
	n, err := writeFirst(frame)
	if err == nil && n < len(frame) {
		_, err = c.Write(frame[n:])
	}
	return err
}

// receive reads a message. It must be called from one goroutine at a time.
func (c *frameConn) receive() (message, error) {
	var header [4]byte
	if _, err := io.ReadFull(c, header[:]); err != nil {
		return message{}, err
	}
	size := binary.BigEndian.Uint32(header[:])
	if size > maxMessageBytes {
		return message{}, fmt.Errorf("message too long: %d bytes", size)
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
