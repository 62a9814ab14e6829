package tomlfile

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

type sample struct {
	Name  string
	Count int
	Fleet struct{ Nodes int }
	Item  []struct {
		Zone  string
		Share float64
	}
}

// An error in a file is reported in one line with its position, whether it comes from the library, from a key without a
// field or from the caller.
func TestErrorPositions(t *testing.T) {
	for name, c := range map[string]struct{ text, want string }{
		"unknown key":      {"name = 'a'\nnames = 'b'\n", "f.toml:2:1: unknown key names"},
		"wrong type":       {"name = 'a'\n  count = 'b'\n", "f.toml:2:11: "},
		"malformed":        {"name = \n", "f.toml:1:"},
		"number too large": {"count = 99999999999999999999\n", "f.toml:1:9: "},
	} {
		_, err := Decode("f.toml", []byte(c.text), &sample{})
		require.Error(t, err, name)
		assert.Contains(t, err.Error(), c.want, name)
		assert.NotContains(t, err.Error(), "\n", name)
	}
	file, err := Decode("f.toml", []byte("name = 'a'\n[fleet]\n nodes = 3\n[[item]]\nzone='a'\n[[item]]\n  zone = 'b'\n"), &sample{})
	require.NoError(t, err)
	for key, want := range map[string]string{
		"name": "f.toml:1:1: name: wrong", "fleet.nodes": "f.toml:3:2: fleet.nodes: wrong", "item.1.zone": "f.toml:7:3: item.1.zone: wrong",
		"item.1.share": "f.toml:6:3: item.1.share: wrong", "count": "f.toml:1:1: count: wrong", "fleet.x": "f.toml:2:2: fleet.x: wrong",
	} {
		assert.EqualError(t, file.Errorf(key, "wrong"), want)
	}
	_, err = Read("/nowhere", &sample{})
	assert.Error(t, err)
}

// No input makes Decode or Errorf panic.
func FuzzDecode(f *testing.F) {
	f.Add([]byte("name = 'a'\n[[item]]\nzone = 'b'"))
	f.Fuzz(func(t *testing.T, data []byte) {
		file, err := Decode("f", data, &sample{})
		if err == nil {
			_ = file.Errorf("item.0.zone", "x")
		}
	})
}
