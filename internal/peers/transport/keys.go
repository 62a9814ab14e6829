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

// ReadKeys reads a file of keys, one a line in hexadecimal; empty lines and those that begin with # are skipped. The file
// must be readable by its owner alone.
//
// A process authenticates itself with the first key and accepts each of them. A key can thus be replaced without an
// interruption: add the new one on all machines, then put it first on all machines, then remove the old one.
func ReadKeys(name string) (keys [][]byte, err error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }() // only read from
	info, err := file.Stat()
	if err != nil {
		return nil, err
	}
	if info.Mode().Perm()&0o077 != 0 {
		return nil, fmt.Errorf("%s may be read by others: mode %v, not 0600", name, info.Mode().Perm())
	}
	lines := bufio.NewScanner(file)
	for number := 1; lines.Scan(); number++ {
		text := strings.TrimSpace(lines.Text())
		if text == "" || strings.HasPrefix(text, "#") {
			continue
		}
		key, err := hex.DecodeString(text)
		if err != nil || len(key) != keyBytes {
			return nil, fmt.Errorf("%s:%d: no %d bytes in hexadecimal", name, number, keyBytes)
		}
		keys = append(keys, key)
	}
	if len(keys) == 0 {
		return nil, fmt.Errorf("%s: no key", name)
	}
	return keys, lines.Err()
}
