package transport

import (
	"bufio"
	"encoding/hex"
	"fmt"
	"os"
	"strings"
)

// keyBytes is the size of a key of a fleet.
const keyBytes = 32

// ReadKeys reads a file of keys, one per line in hexadecimal; empty lines and lines that begin with # are skipped. The file
// must be readable by its owner only.
//
// A process authenticates itself with the first key and accepts any of them. A key can thus be replaced without interruption:
// add the new key on all machines, then put it first on all machines, then remove the old key.
func ReadKeys(name string) (keys [][]byte, err error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }() // opened for reading only
	info, err := file.Stat()
	if err != nil {
		return nil, err
	}
	if info.Mode().Perm()&0o077 != 0 {
		return nil, fmt.Errorf("%s: file may be read by others: mode %v, expected 0600", name, info.Mode().Perm())
	}
	lines := bufio.NewScanner(file)
	for number := 1; lines.Scan(); number++ {
		text := strings.TrimSpace(lines.Text())
		if text == "" || strings.HasPrefix(text, "#") {
			continue
		}
		key, err := hex.DecodeString(text)
		if err != nil || len(key) != keyBytes {
			return nil, fmt.Errorf("%s:%d: key must be %d bytes in hexadecimal", name, number, keyBytes)
		}
		keys = append(keys, key)
	}
	if len(keys) == 0 {
		return nil, fmt.Errorf("%s: file has no key", name)
	}
	return keys, lines.Err()
}
