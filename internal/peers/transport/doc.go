// Package transport carries frames between two processes of a fleet over one connection. Both sides first prove that they
// have the fleet's key (ClientHandshake, ServerHandshake); then frames of bytes go over the connection, with a length before
// each. The accepting process decides which other processes may connect, by the name in the handshake.
package transport
