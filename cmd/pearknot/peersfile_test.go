package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Errors in the peers file or the key file are one line that names the place, with exit status 2. deploy/peers.toml itself is
// read without an error.
func TestPeersFileIsStrict(t *testing.T) {
	text, err := os.ReadFile("../../deploy/peers.toml")
	require.NoError(t, err)
	readPeersFile := func(spoil func(text, dir string) string) (int, string) {
		dir := t.TempDir()
		require.NoError(t, os.WriteFile(filepath.Join(dir, "peers.key"), []byte(strings.Repeat("0f", 32)+"\n"), 0o600))
		config := filepath.Join(dir, "node.json")
		require.NoError(t, os.WriteFile(config, []byte(`{"name":"n9","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"1","settings":`+settings+`}`), 0o600))
		file := filepath.Join(dir, "peers.toml")
		require.NoError(t, os.WriteFile(file, []byte(spoil(string(text), dir)), 0o600))
		var out, errs bytes.Buffer
		status := run([]string{"serve", "-config", config, "--peers", file}, &out, &errs)
		return status, strings.ReplaceAll(errs.String(), file, "peers.toml")
	}
	replace := func(old, to string) func(string, string) string {
		return func(text, _ string) string { return strings.Replace(text, old, to, 1) }
	}
	for want, spoil := range map[string]func(string, string) string{
		`peers.toml:6:1: copies: 4 is not 3 or 5`:                              replace("copies = 3", "copies = 4"),
		`peers.toml:8:1: keep_s: 0 is out of range 1 to 3600`:                  replace("keep_s = 60", "keep_s = 0"),
		`unknown key extra`:                                                    func(text, _ string) string { return "extra = 1\n" + text },
		"survive: \"maybe\" is neither \"no\" nor \"finish\"":                  replace(`survive = "finish"`, `survive = "maybe"`),
		"alone: \"wait\" is neither \"nack\" nor \"go-on\"":                    replace(`alone = "nack"`, `alone = "wait"`),
		`member.1.name: "n1" is not a name of 1 to 64 bytes, or is used twice`: replace(`name = "n2"`, `name = "n1"`),
		`2 members for 3 copies`:                                               replace("[[member]]\nname = \"n3\"\naddress = \"127.0.0.1:7103\"\n", ""),
		`may be read by others`:                                                func(text, dir string) string { _ = os.Chmod(filepath.Join(dir, "peers.key"), 0o644); return text },
		`key must be 32 bytes in hexadecimal`: func(text, dir string) string {
			_ = os.WriteFile(filepath.Join(dir, "peers.key"), []byte("abc\n"), 0o600)
			return text
		},
	} {
		status, output := readPeersFile(spoil)
		require.Equal(t, 2, status, output)
		require.Contains(t, output, want)
		require.Equal(t, 1, strings.Count(output, "\n"), output)
	}
	status, output := readPeersFile(replace("", "")) // read, but the node is no member
	require.Equal(t, 2, status)
	require.Contains(t, output, `no member has this node's name, "n9"`)
}
