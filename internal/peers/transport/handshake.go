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

// The handshake:
//
//  1. the client sends its Hello;
//  2. the server sends its own Hello and a MAC over both;
//  3. the client checks that MAC, and sends a MAC of its own over both.
//
// A MAC is keyed with a key of the fleet and covers the sender's side and both nonces, so that neither a MAC of an earlier
// connection nor the other side's MAC can be replayed.

// version is the version of the handshake. The frames that follow on the connection have a version of their own.
const version = 1

const (
	// maxHelloBytes bounds the messages that are read from a process that has not authenticated itself.
	maxHelloBytes = 1 << 10
	// handshakeTimeout limits how long a process without a key can occupy a file descriptor.
	handshakeTimeout = 2 * time.Second
	nonceBytes       = 16
)

// The names of the sides that are part of a MAC and so of the protocol: the server, which accepted the connection, and the
// client.
const (
	serverSide = "taken"
	clientSide = "calls"
)

// ErrWrongKey means that the other side's MAC was not computed with a key that this process accepts.
var ErrWrongKey = errors.New("wrong key")

// errMalformedHello is returned for a Hello without a valid nonce or incarnation.
var errMalformedHello = errors.New("malformed hello")

// Hello is each side's first message. It is encoded by the order of its fields.
type Hello struct {
	Version     int
	Fleet       string
	From, To    string // names of processes
	Incarnation uint64 // incarnation of the sender
	Nonce       []byte
}

// serverResponse is the server's message, encoded by the order of its fields.
type serverResponse struct {
	Hello Hello
	MAC   []byte
}

// NewHello returns a Hello for one connection, with a fresh nonce.
func NewHello(fleet, from, to string, incarnation uint64) Hello {
	hello := Hello{Version: version, Fleet: fleet, From: from, To: to, Incarnation: incarnation, Nonce: make([]byte, nonceBytes)}
	_, _ = rand.Read(hello.Nonce) // never fails
	return hello
}

// check returns an error unless the Hello has this build's version, the given fleet and the given sender and recipient. An
// empty from accepts any sender.
func (h *Hello) check(fleet, from, to string) error {
	switch {
	case h.Version != version:
		return fmt.Errorf("unsupported protocol version %d, this build supports %d", h.Version, version)
	case h.Fleet != fleet:
		return fmt.Errorf("wrong fleet %.40q, expected %.40q", h.Fleet, fleet)
	case from != "" && h.From != from || h.To != to:
		return fmt.Errorf("hello from %.40q to %.40q, expected from %.40q to %.40q", h.From, h.To, from, to)
	case len(h.Nonce) != nonceBytes || h.Incarnation == 0:
		return errMalformedHello
	}
	return nil
}

// computeMAC returns the MAC of one side over the client's and the server's Hello.
func computeMAC(key []byte, side string, client, server *Hello) []byte {
	mac := hmac.New(sha256.New, key)
	_, _ = io.WriteString(mac, side)
	for _, hello := range []*Hello{client, server} {
		encoded := snapshot.AppendStruct(nil, hello)
		_ = binary.Write(mac, binary.BigEndian, uint32(len(encoded)))
		_, _ = mac.Write(encoded)
	}
	return mac.Sum(nil)
}

// isAuthentic reports whether a MAC was computed with one of the keys.
func isAuthentic(keys [][]byte, side string, client, server *Hello, mac []byte) bool {
	for _, key := range keys {
		if hmac.Equal(mac, computeMAC(key, side, client, server)) {
			return true
		}
	}
	return false
}

// ClientHandshake performs the client's part of the handshake with the process named to, and returns that process's
// incarnation. The client authenticates itself with the first key and accepts any of them. The error is ErrWrongKey if the
// server's key is none of them.
func ClientHandshake(conn net.Conn, keys [][]byte, fleet, from, to string, incarnation uint64) (serverIncarnation uint64, err error) {
	_ = conn.SetDeadline(time.Now().Add(handshakeTimeout))
	defer func() { _ = conn.SetDeadline(time.Time{}) }()
	client := NewHello(fleet, from, to, incarnation)
	if err := WriteFrame(conn, snapshot.AppendStruct(nil, &client)); err != nil {
		return 0, err
	}
	data, err := ReadFrame(conn, maxHelloBytes)
	if err != nil {
		return 0, err
	}
	var server serverResponse
	if err := snapshot.ReadStruct(data, &server); err != nil {
		return 0, err
	}
	if err := server.Hello.check(fleet, to, from); err != nil {
		return 0, err
	}
	if !isAuthentic(keys, serverSide, &client, &server.Hello, server.MAC) {
		return 0, ErrWrongKey
	}
	return server.Hello.Incarnation, WriteFrame(conn, computeMAC(keys[0], clientSide, &client, &server.Hello))
}

// ServerHandshake performs the server's part of the handshake and returns the client's name and incarnation. It reads through
// r, which may have buffered bytes that follow the handshake. Any name is accepted, because a process with the key can use any
// name; the caller decides whether the name may connect. The error is ErrWrongKey if the client's key is none of the keys.
func ServerHandshake(conn net.Conn, r *bufio.Reader, keys [][]byte, fleet, self string, incarnation uint64) (from string, clientIncarnation uint64, err error) {
	_ = conn.SetDeadline(time.Now().Add(handshakeTimeout))
	defer func() { _ = conn.SetDeadline(time.Time{}) }()
	data, err := ReadFrame(r, maxHelloBytes)
	if err != nil {
		return "", 0, err
	}
	var client Hello
	if err := snapshot.ReadStruct(data, &client); err != nil {
		return "", 0, err
	}
	if err := client.check(fleet, "", self); err != nil {
		return "", 0, err
	}
	server := NewHello(fleet, self, client.From, incarnation)
	answer := serverResponse{Hello: server, MAC: computeMAC(keys[0], serverSide, &client, &server)}
	if err := WriteFrame(conn, snapshot.AppendStruct(nil, &answer)); err != nil {
		return "", 0, err
	}
	mac, err := ReadFrame(r, maxHelloBytes)
	if err != nil {
		return "", 0, err
	}
	if !isAuthentic(keys, clientSide, &client, &server, mac) {
		return "", 0, ErrWrongKey
	}
	return client.From, client.Incarnation, nil
}
