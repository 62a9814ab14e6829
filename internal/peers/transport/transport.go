// Package transport is how two processes of a fleet open a connection and what goes over it: each proves that it has the fleet's
// key, then frames of bytes. Who may call is for the taker to say, by the name that the caller has proven.
package transport

import (
	"bufio"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"time"

	"pearknot/internal/snapshot"
)

// version is that of a link's first words; what travels on it has its own.
const version = 1

const (
	mostHello   = 1 << 10
	shakeWithin = 2 * time.Second
)

// Hello is what either side says first. A proof is a keyed hash of all that both have said.
type Hello struct {
	Version  int
	Fleet    string
	From, To string
	Life     uint64
	Nonce    []byte
}

type proof struct {
	Hello Hello
	Sum   []byte
}

// ErrKey is a proof by a key that this process does not take.
var ErrKey = errors.New("wrong key")

// NewHello is what a process says first on one connection.
func NewHello(fleet, from, to string, life uint64) Hello {
	h := Hello{Version: version, Fleet: fleet, From: from, To: to, Life: life, Nonce: make([]byte, 16)}
	_, _ = rand.Read(h.Nonce) // never fails
	return h
}

func sum(key []byte, side string, first, second *Hello) []byte {
	m := hmac.New(sha256.New, key)
	_, _ = io.WriteString(m, side)
	for _, h := range []*Hello{first, second} {
		part := snapshot.Append(nil, h)
		_ = binary.Write(m, binary.BigEndian, uint32(len(part)))
		_, _ = m.Write(part)
	}
	return m.Sum(nil)
}

func proven(keys [][]byte, side string, first, second *Hello, given []byte) bool {
	for _, key := range keys {
		if hmac.Equal(given, sum(key, side, first, second)) {
			return true
		}
	}
	return false
}

// WriteFrame writes a frame in one piece.
func WriteFrame(to io.Writer, data []byte) error {
	whole := make([]byte, 4, 4+len(data))
	binary.BigEndian.PutUint32(whole, uint32(len(data)))
	_, err := to.Write(append(whole, data...))
	return err
}

// ReadFrame reads a frame; one that says to be longer than that is an error, and nothing of it is read.
func ReadFrame(from io.Reader, most uint32) ([]byte, error) {
	var head [4]byte
	if _, err := io.ReadFull(from, head[:]); err != nil {
		return nil, err
	}
	size := binary.BigEndian.Uint32(head[:])
	if size > most {
		return nil, &LongError{size, most}
	}
	data := make([]byte, size)
	_, err := io.ReadFull(from, data)
	return data, err
}

// LongError is a frame that says to be longer than any may be.
type LongError struct{ Size, Most uint32 }

func (e *LongError) Error() string {
	return fmt.Sprintf("frame of %d bytes, %d at most", e.Size, e.Most)
}

func (h *Hello) fits(fleet, from, to string) error {
	switch {
	case h.Version != version:
		return fmt.Errorf("link of version %d, this build has %d", h.Version, version)
	case h.Fleet != fleet:
		return fmt.Errorf("fleet %.40q is not %.40q", h.Fleet, fleet)
	case from != "" && h.From != from || h.To != to:
		return fmt.Errorf("a link from %.40q to %.40q", h.From, h.To)
	case len(h.Nonce) != 16 || h.Life == 0:
		return errors.New("odd first words")
	}
	return nil
}

// Call opens a link to a process by its name, and gives its life.
func Call(c net.Conn, keys [][]byte, fleet, from, to string, life uint64) (theirs uint64, err error) {
	_ = c.SetDeadline(time.Now().Add(shakeWithin))
	defer func() { _ = c.SetDeadline(time.Time{}) }()
	mine := NewHello(fleet, from, to, life)
	if err := WriteFrame(c, snapshot.Append(nil, &mine)); err != nil {
		return 0, err
	}
	data, err := ReadFrame(c, mostHello)
	if err != nil {
		return 0, err
	}
	p := &proof{}
	if err := snapshot.Read(data, p); err != nil {
		return 0, err
	}
	if err := p.Hello.fits(fleet, to, from); err != nil {
		return 0, err
	}
	if !proven(keys, "taken", &mine, &p.Hello, p.Sum) {
		return 0, ErrKey
	}
	return p.Hello.Life, WriteFrame(c, sum(keys[0], "calls", &mine, &p.Hello))
}

// Take answers a link's opening, and tells whose it is: any name that the key's holder gives itself.
func Take(c net.Conn, r *bufio.Reader, keys [][]byte, fleet, self string, life uint64) (from string, theirs uint64, err error) {
	_ = c.SetDeadline(time.Now().Add(shakeWithin))
	defer func() { _ = c.SetDeadline(time.Time{}) }()
	data, err := ReadFrame(r, mostHello)
	if err != nil {
		return "", 0, err
	}
	h := &Hello{}
	if err := snapshot.Read(data, h); err != nil {
		return "", 0, err
	}
	if err := h.fits(fleet, "", self); err != nil {
		return "", 0, err
	}
	mine := NewHello(fleet, self, h.From, life)
	if err := WriteFrame(c, snapshot.Append(nil, &proof{mine, sum(keys[0], "taken", h, &mine)})); err != nil {
		return "", 0, err
	}
	given, err := ReadFrame(r, mostHello)
	if err != nil {
		return "", 0, err
	}
	if !proven(keys, "calls", h, &mine, given) {
		return "", 0, ErrKey
	}
	return h.From, h.Life, nil
}
