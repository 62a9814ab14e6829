// Package transport carries frames between two processes of a fleet over one connection. Both sides first prove that they
// have the fleet's key (ClientHandshake, ServerHandshake); then frames of bytes go over the connection, with a length before
// each. Which names may connect is decided by the accepting process, by the name that the other side gave in the handshake.
package transport
