// Package boltfile detects damage in bbolt files, whichever program writes them: values carry a checksum, and both of the
// file's meta pages must be intact.
package boltfile

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/fnv"
	"os"

	"github.com/cespare/xxhash/v2"
)

// ErrDamaged is a file or a value that can't be trusted.
var ErrDamaged = errors.New("damaged")

// checksumBytes is the size of the checksum before a value.
const checksumBytes = 8

// EncodeValue returns a value with its checksum before it, as it is stored.
func EncodeValue(value string) []byte {
	encoded := make([]byte, 0, checksumBytes+len(value))
	encoded = binary.BigEndian.AppendUint64(encoded, xxhash.Sum64String(value))
	return append(encoded, value...)
}

// DecodeValue returns the value of what EncodeValue has returned, or ErrDamaged if its checksum is wrong.
func DecodeValue(encoded []byte) (string, error) {
	if len(encoded) < checksumBytes {
		return "", ErrDamaged
	}
	value := string(encoded[checksumBytes:])
	if binary.BigEndian.Uint64(encoded) != xxhash.Sum64String(value) {
		return "", ErrDamaged
	}
	return value, nil
}

// The layout of a meta page, of which a bbolt file begins with two: a page header, and the meta data whose last bytes are
// their checksum.
const (
	metaPages       = 2
	pageHeaderBytes = 16
	metaBytes       = 64
	metaSumAt       = metaBytes - 8
)

// CheckMetaPages returns an error that wraps ErrDamaged unless both meta pages of a file are intact.
//
// Each transaction writes one of the two in turn. Where the newer one is damaged, bbolt goes on with the older one, and so with
// the state before the last transaction. Whoever wrote that has already acknowledged it, so here such a file counts as
// damaged.
func CheckMetaPages(path string) error {
	file, err := os.Open(path)
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }() // only read from
	for page := range metaPages {
		var data [pageHeaderBytes + metaBytes]byte
		if _, err := file.ReadAt(data[:], int64(page*os.Getpagesize())); err != nil {
			return fmt.Errorf("%s: %w: meta page %d: %w", path, ErrDamaged, page, err)
		}
		meta := data[pageHeaderBytes:]
		hash := fnv.New64a()
		_, _ = hash.Write(meta[:metaSumAt])
		if binary.LittleEndian.Uint64(meta[metaSumAt:]) != hash.Sum64() {
			return fmt.Errorf("%s: %w: meta page %d", path, ErrDamaged, page)
		}
	}
	return nil
}
