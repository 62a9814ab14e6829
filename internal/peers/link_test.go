package peers

import "pearknot/internal/peers/transport"

// What the tests here speak by hand is the links' own.
var newHello, call, writeFrame = transport.NewHello, transport.ClientHandshake, transport.WriteFrame
