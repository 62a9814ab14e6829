package peers

import "pearknot/internal/peers/link"

// What the tests here speak by hand is the links' own.
var newHello, call, writeFrame = link.NewHello, link.Call, link.WriteFrame
