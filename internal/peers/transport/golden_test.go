package transport

import (
	"testing"

	"pearknot/internal/goldentest"
)

// An earlier build wrote the files: the first messages of a connection, which this build must read and write alike.
func TestBinaryForms(t *testing.T) {
	for file, v := range map[string]any{
		"hello.bin": &Hello{Version: 2,
			Fleet:       "text d",
			From:        "text e",
			To:          "text f",
			Incarnation: 0x6,
			Nonce:       []byte{0x8}},
		"proof.bin": &proof{Hello: Hello{Version: 3,
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
