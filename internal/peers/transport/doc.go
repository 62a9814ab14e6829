// Package transport carries frames between two processes of a fleet over one connection. Both sides first prove that they
// have the fleet's key (ClientHandshake, ServerHandshake); then they exchange length-prefixed frames of bytes. The accepting
// process decides by the name in the handshake which processes may connect.
package transport
