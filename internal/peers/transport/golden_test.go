package transport

import (
	"testing"

	"pearknot/internal/goldentest"
)

// The files hold the handshake messages as written by an earlier build. This build must read and write the same encoding.
func TestBinaryForms(t *testing.T) {
	for file, v := range map[string]any{
		"hello.bin": &Hello{Version: 2,
			Fleet:       "text d",
			From:        "text e",
			To:          "text f",
			Incarnation: 0x6,
			Nonce:       []byte{0x8}},
		"proof.bin": &serverResponse{Hello: Hello{Version: 3,
			Fleet:       "text e",
			From:        "text f",
			To:          "text g",
			Incarnation: 0x7,
			Nonce:       []byte{0x9}},
			MAC: []byte{0xb}},
	} {
		t.Run(file, func(t *testing.T) { goldentest.Positional(t, file, v) })
	}
}
