package transport

import (
	"bufio"
	"encoding/hex"
	"fmt"
	"os"
	"strings"
)

// ReadKeys reads keys of 32 bytes in hexadecimal, a line each: the first proves, all are taken, so that a key is changed
// by adding the new one everywhere, putting it first everywhere, and taking the old one out.
func ReadKeys(name string) (keys [][]byte, err error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	if info, err := f.Stat(); err != nil {
		return nil, err
	} else if info.Mode().Perm()&0o077 != 0 {
		return nil, fmt.Errorf("%s may be read by others: mode %v, not 0600", name, info.Mode().Perm())
	}
	lines := bufio.NewScanner(f)
	for n := 1; lines.Scan(); n++ {
		text := strings.TrimSpace(lines.Text())
		if text == "" || strings.HasPrefix(text, "#") {
			continue
		}
		key, err := hex.DecodeString(text)
		if err != nil || len(key) != 32 {
			return nil, fmt.Errorf("%s:%d: no 32 bytes in hexadecimal", name, n)
		}
		keys = append(keys, key)
	}
	if len(keys) == 0 {
		return nil, fmt.Errorf("%s: no key", name)
	}
	return keys, lines.Err()
}
