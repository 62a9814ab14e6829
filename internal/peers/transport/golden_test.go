package transport

import (
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"github.com/stretchr/testify/require"

	"pearknot/internal/goldentest"
	"pearknot/internal/snapshot"
)

// An earlier build wrote the files. This one writes the same bytes, and reads each value into its own field: two
// fields that changed places would be noticed, since each has a value of its own.
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
		t.Run(file, func(t *testing.T) {
			goldentest.Equal(t, file, snapshot.AppendStruct(nil, v))
			data, err := os.ReadFile(filepath.Join("testdata", file))
			require.NoError(t, err)
			read := reflect.New(reflect.TypeOf(v).Elem()).Interface()
			require.NoError(t, snapshot.ReadStruct(data, read))
			require.Equal(t, v, read)
		})
	}
}
