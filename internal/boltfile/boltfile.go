// Package boltfile detects damage in bbolt files, whichever program writes them: values carry a checksum, and both meta
// pages of a file must be intact.
package boltfile

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/fnv"
	"os"

	"github.com/cespare/xxhash/v2"
)

// ErrDamaged is returned for a file or a value that is corrupt.
var ErrDamaged = errors.New("damaged")

// checksumBytes is the size of the checksum before a value.
const checksumBytes = 8

// EncodeValue returns a value in its stored form, prefixed with its checksum.
func EncodeValue(value string) []byte {
	encoded := make([]byte, 0, checksumBytes+len(value))
	encoded = binary.BigEndian.AppendUint64(encoded, xxhash.Sum64String(value))
	return append(encoded, value...)
}

// DecodeValue returns the value that EncodeValue encoded, or ErrDamaged if the checksum does not match.
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

// The layout of the two meta pages at the start of a bbolt file: a page header, and the meta data, which end with their
// checksum.
const (
	metaPages          = 2
	pageHeaderBytes    = 16
	metaBytes          = 64
	metaChecksumOffset = metaBytes - 8
)

// CheckMetaPages returns an error that wraps ErrDamaged unless both meta pages of a file are intact.
//
// Transactions write the two pages alternately. If the newer one is damaged, bbolt falls back to the older one, and so to
// the state before the last transaction. The writer has already acknowledged that transaction, so such a file counts as
// damaged here.
func CheckMetaPages(path string) error {
	file, err := os.Open(path)
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }() // opened only for reading
	for page := range metaPages {
		var data [pageHeaderBytes + metaBytes]byte
		if _, err := file.ReadAt(data[:], int64(page*os.Getpagesize())); err != nil {
			return fmt.Errorf("%s: %w: meta page %d: %w", path, ErrDamaged, page, err)
		}
		meta := data[pageHeaderBytes:]
		hash := fnv.New64a()
		_, _ = hash.Write(meta[:metaChecksumOffset])
		if binary.LittleEndian.Uint64(meta[metaChecksumOffset:]) != hash.Sum64() {
			return fmt.Errorf("%s: %w: meta page %d", path, ErrDamaged, page)
		}
	}
	return nil
}
