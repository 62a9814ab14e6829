// Package boltfile is what the files of bbolt have in common, whoever writes them: values with checksums, and heads of which
// both must be whole.
package boltfile

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/fnv"
	"os"

	"github.com/cespare/xxhash/v2"
)

// ErrDamaged is a file that can't be trusted.
var ErrDamaged = errors.New("damaged")

// Seal puts a value behind its checksum.
func Seal(v string) []byte {
	return append(binary.BigEndian.AppendUint64(make([]byte, 0, 8+len(v)), xxhash.Sum64String(v)), v...)
}

func Unseal(data []byte) (string, error) {
	if len(data) < 8 {
		return "", ErrDamaged
	}
	v := string(data[8:])
	if binary.BigEndian.Uint64(data) != xxhash.Sum64String(v) {
		return "", ErrDamaged
	}
	return v, nil
}

// Heads sees that both of the file's heads are whole. The library goes on with the older one where the newer is not, and
// so with a state from before the last step, which whoever wrote that step has told of already: here that is a damage.
func Heads(path string) error {
	f, err := os.Open(path)
	if err != nil {
		return err
	}
	defer f.Close()
	const head, size = 16, 64 // of a page, and of what stands there, its checksum last
	for page := range 2 {
		b := make([]byte, head+size)
		if _, err := f.ReadAt(b, int64(page*os.Getpagesize())); err != nil {
			return fmt.Errorf("%s: %w: head %d: %v", path, ErrDamaged, page, err)
		}
		h := fnv.New64a()
		_, _ = h.Write(b[head : head+size-8])
		if binary.LittleEndian.Uint64(b[head+size-8:]) != h.Sum64() {
			return fmt.Errorf("%s: %w: head %d", path, ErrDamaged, page)
		}
	}
	return nil
}
