// Package hotrestart links the process of a node with the one that follows it, by a Unix socket in the directory that both
// share. The one that runs offers itself there; one that starts asks it for what it has learned, and both hear from then on
// what operators call at either, until one of them ends.
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

// Version is that of what is said on a link. A process that speaks another starts fresh.
const Version = 1

const (
	mostMessage = 8 << 20 // bytes: some hundred backends take a few hundred kB
	sayWithin   = time.Second
)

// State is what a process gives the one that follows it.
type State struct {
	Zones  []string       `json:"Zones"` // that the list's places are among
	Kinds  []string       `json:"Kinds"`
	List   discovery.List `json:"List"`
	Names  []string       `json:"Names"`  // of the backends in Module, in their order
	Module []byte         `json:"Module"` // as internal/snapshot has it; empty where there is none to give
	Known  []string       `json:"Known"`  // names that the list has had
	Banned []string       `json:"Banned"` // those taken out by hand
	Away   *float64       `json:"Away"`   // for how many ms clients have been sent away; nil where they are taken
}

// Call is one that an operator made at the other process.
type Call struct {
	Verb  string `json:"Verb"`
	ID    string `json:"ID"`
	Force bool   `json:"Force"` // the other knows the id, whether this one does or not
}

// message is one frame.
type message struct {
	Kind    string `json:"Kind"` // hello, busy, state, ready, using, call, done
	Version int    `json:"Version,omitempty"`
	Name    string `json:"Name,omitempty"` // of the node
	N       uint64 `json:"N,omitempty"`    // of a call; descriptors of using
	Call    *Call  `json:"Call,omitempty"`
	Text    string `json:"Text,omitempty"` // of done
	Fault   string `json:"Fault,omitempty"`
	State   *State `json:"State,omitempty"`
}

// wire writes and reads frames: a length and JSON.
type wire struct {
	net.Conn
	mu sync.Mutex // of writing
}

func (w *wire) say(m message) error {
	body, err := json.Marshal(m)
	if err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	_ = w.SetWriteDeadline(time.Now().Add(sayWithin))
	_, err = w.Write(append(binary.BigEndian.AppendUint32(nil, uint32(len(body))), body...))
	return err
}

func (w *wire) hear() (m message, err error) {
	var head [4]byte
	if _, err := io.ReadFull(w, head[:]); err != nil {
		return m, err
	}
	size := binary.BigEndian.Uint32(head[:])
	if size > mostMessage {
		return m, fmt.Errorf("message of %d bytes", size)
	}
	body := make([]byte, size)
	if _, err := io.ReadFull(w, body); err != nil {
		return m, err
	}
	if err := json.Unmarshal(body, &m); err != nil {
		return m, err
	}
	if m.Kind == "" {
		return m, errors.New("message of no kind")
	}
	return m, nil
}
