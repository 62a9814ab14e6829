package client

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"time"

	"pearknot/internal/peers/transport"
	"pearknot/internal/snapshot"
)

// ProtocolVersion is the version of the protocol on a link after the handshake.
const ProtocolVersion = 1

// The purposes of a link, which the dialing side sends in the header with these values.
const (
	PurposeFollow = "follow" // a node or a relay follows the member
	PurposeVote   = "vote"   // another voter's messages
	PurposeCall   = "call"   // an operator's call
)

// dialTimeout bounds connecting to a member, excluding the handshake. A follower waits as long for a dial to end: dialTimeoutMs in
// package controlplane.
const dialTimeout = time.Second

// LinkHeader is a link's first frame. It is encoded in the order of its fields, which must not change.
type LinkHeader struct {
	Version int
	Purpose string
}

// DecodeLinkHeader returns the purpose of a link. A header of another version can't be interpreted and is an error.
func DecodeLinkHeader(data []byte) (purpose string, err error) {
	header := &LinkHeader{}
	if err := snapshot.ReadStruct(data, header); err != nil {
		return "", err
	}
	if header.Version != ProtocolVersion {
		return "", fmt.Errorf("unsupported protocol version %d, this build supports %d", header.Version, ProtocolVersion)
	}
	return header.Purpose, nil
}

// HandshakeFleet returns the fleet's name in the handshakes of the control plane. It differs from that of peers, so that a key that
// both use doesn't admit a peer here.
func HandshakeFleet(fleet string) string { return fleet + " control plane" }

// OpenLink connects to a member, authenticates to it with the key under the name from, and sends the header. The error wraps
// transport.ErrWrongKey if either side doesn't have the other's key.
func OpenLink(ctx context.Context, fleet string, keys [][]byte, from string, to Member, purpose string) (*transport.FrameConn, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", to.Address)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	_, err = transport.ClientHandshake(conn, keys, HandshakeFleet(fleet), from, to.Name, max(rand.Uint64(), 1))
	if err == nil {
		err = transport.WriteFrame(conn, snapshot.AppendStruct(nil, &LinkHeader{Version: ProtocolVersion, Purpose: purpose}))
	}
	if !stop() || err != nil {
		_ = conn.Close()
		return nil, errors.Join(err, ctx.Err())
	}
	return transport.NewFrameConn(conn), nil
}
