package capture

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/google/renameio/v2"
	"github.com/klauspost/compress/zstd"
)

// The layout of a segment file: magic, version, then blocks. A block has a header of 12 bytes (length, xxhash of the
// compressed bytes), then zstd data. Decompressed, that is a row of records, each with a header of 8 bytes (length, half of
// an xxhash: enough beside the block's full one, and checksums are most of what does not compress). All complete records
// of a truncated block can be read.
const (
	magic            = "pkcapture"
	version          = 2
	suffix           = ".pkcap"
	blockHeaderSize  = 12
	recordHeaderSize = 8
	maxRecordBytes   = 4 << 20 // bytes: a complete endpoint list of some ten thousand backends
	maxBlockBytes    = 8 << 20 // bytes, compressed
)

var emptyRecordHeader [recordHeaderSize]byte

// fillRecordHeader writes the length and checksum of the record that follows the header in b.
func fillRecordHeader(b []byte) {
	record := b[recordHeaderSize:]
	binary.LittleEndian.PutUint32(b, uint32(len(record)))
	binary.LittleEndian.PutUint32(b[4:], uint32(xxhash.Sum64(record)))
}

// segmentHeader is the first bytes of every segment.
var segmentHeader = append([]byte(magic), version)

// newEncoder returns a compressor for blocks that needs little memory. Entropy coding is off: it is half of the cost and
// gains 7% on captures.
func newEncoder() (*zstd.Encoder, error) {
	return zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithWindowSize(256<<10),
		zstd.WithLowerEncoderMem(true), zstd.WithNoEntropyCompression(true))
}

// appendBlock appends framed records as one compressed block.
func appendBlock(b []byte, zip *zstd.Encoder, records []byte) []byte {
	from := len(b)
	b = zip.EncodeAll(records, append(b, make([]byte, blockHeaderSize)...))
	body := b[from+blockHeaderSize:]
	binary.LittleEndian.PutUint32(b[from:], uint32(len(body)))
	binary.LittleEndian.PutUint64(b[from+4:], xxhash.Sum64(body))
	return b
}

// Write writes framed records as one segment file, atomically.
func Write(name string, records [][]byte) error {
	zip, err := newEncoder()
	if err != nil {
		return err
	}
	defer func() { _ = zip.Close() }()
	out := bytes.Clone(segmentHeader)
	var block []byte
	for i, r := range records {
		block = append(block, r...)
		if len(block) >= targetBlockBytes || i == len(records)-1 {
			out, block = appendBlock(out, zip, block), block[:0]
		}
	}
	return renameio.WriteFile(name, out, 0o600)
}

const targetBlockBytes = 64 << 10 // bytes before compression: enough for a good ratio, little to lose with a truncated block

// Frame encodes a record with its header, as Write takes it.
func Frame(r Record) []byte {
	b := r.Append(append([]byte(nil), emptyRecordHeader[:]...))
	fillRecordHeader(b)
	return b
}

// TruncatedError reports a segment that ends in the middle of a block or header. All complete records before it were read.
type TruncatedError struct {
	File   string
	Offset int64 // in the compressed file, of the block that is incomplete
	Reason string
}

func (c *TruncatedError) Error() string {
	return fmt.Sprintf("%s: truncated at byte %d: %s", c.File, c.Offset, c.Reason)
}

// CorruptError reports a segment whose bytes are not what was written.
type CorruptError struct {
	File   string
	Record int
	Offset int64
	Reason string
}

func (d *CorruptError) Error() string {
	return fmt.Sprintf("%s: record %d in the block at byte %d: %s", d.File, d.Record, d.Offset, d.Reason)
}

// Segments lists the segment files of a capture, oldest first: all in a directory, or the one file that path names.
func Segments(path string) ([]string, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if !info.IsDir() {
		return []string{path}, nil
	}
	files, err := filepath.Glob(filepath.Join(path, "*"+suffix))
	if err != nil {
		return nil, err
	}
	if len(files) == 0 {
		return nil, fmt.Errorf("%s: no captures (*%s)", path, suffix)
	}
	slices.Sort(files) // names begin with the time in a fixed width, see Name
	return files, nil
}

// Read calls f with each record of a segment file in order, until f returns an error, which Read returns, or the segment
// ends. Its own errors are a *TruncatedError or a *CorruptError, after all complete records were handed on.
func Read(name string, f func(Record) error) error {
	file, err := os.Open(name)
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }()
	return ReadFrom(name, file, f)
}

// ReadFrom is Read for a segment from any reader; name stands in errors.
func ReadFrom(name string, from io.Reader, f func(Record) error) error {
	in := bufio.NewReaderSize(from, 64<<10)
	head := make([]byte, len(segmentHeader))
	if n, err := io.ReadFull(in, head); err != nil {
		return &TruncatedError{name, int64(n), "incomplete header"}
	}
	if string(head[:len(magic)]) != magic {
		return &CorruptError{name, 0, 0, "not a capture"}
	}
	if head[len(magic)] != version {
		return fmt.Errorf("%s: version %d, this program reads %d", name, head[len(magic)], version)
	}
	unzip, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(64<<20), zstd.WithDecoderLowmem(true))
	if err != nil {
		return err
	}
	defer unzip.Close()
	at, number := int64(len(head)), 0
	for {
		var frame [blockHeaderSize]byte
		n, err := io.ReadFull(in, frame[:])
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return &TruncatedError{name, at + int64(n), "incomplete block header"}
		}
		size := binary.LittleEndian.Uint32(frame[:])
		if size > maxBlockBytes {
			return &CorruptError{name, number, at, fmt.Sprintf("a block of %d bytes", size)}
		}
		packed := &checksumReader{io.LimitReader(in, int64(size)), xxhash.New(), 0}
		if err := unzip.Reset(packed); err != nil {
			return &CorruptError{name, number, at, err.Error()}
		}
		number, err = readRecords(name, at, number, bufio.NewReaderSize(unzip, 16<<10), f)
		_, rest := io.Copy(io.Discard, packed)
		short := packed.n < int64(size)
		var stop *callbackError
		switch {
		case errors.As(err, &stop):
			return stop.err
		case short && rest == nil:
			return &TruncatedError{name, at, "incomplete block"}
		case err != nil:
			return err
		case packed.sum.Sum64() != binary.LittleEndian.Uint64(frame[4:]):
			return &CorruptError{name, number, at, "wrong block checksum"}
		}
		at += blockHeaderSize + int64(size)
	}
}

// checksumReader counts and checksums what is read of a block.
type checksumReader struct {
	io.Reader
	sum *xxhash.Digest
	n   int64
}

func (c *checksumReader) Read(b []byte) (int, error) {
	n, err := c.Reader.Read(b)
	_, _ = c.sum.Write(b[:n])
	c.n += int64(n)
	return n, err
}

// callbackError wraps an error that the caller's function returned, to tell it from the reader's own.
type callbackError struct{ err error }

func (s *callbackError) Error() string { return s.err.Error() }

// readRecords reads the records of one block.
func readRecords(name string, at int64, number int, in *bufio.Reader, f func(Record) error) (int, error) {
	var buf []byte
	for {
		var head [recordHeaderSize]byte
		if _, err := io.ReadFull(in, head[:]); errors.Is(err, io.EOF) {
			return number, nil
		} else if err != nil {
			return number, &CorruptError{name, number, at, "head: " + err.Error()}
		}
		size := binary.LittleEndian.Uint32(head[:])
		if size > maxRecordBytes {
			return number, &CorruptError{name, number, at, fmt.Sprintf("a record of %d bytes", size)}
		}
		// The buffer grows with the data that arrives, so a wrong length in a damaged file allocates next to nothing.
		buf = buf[:0]
		for len(buf) < int(size) {
			from := len(buf)
			buf = append(buf, make([]byte, min(int(size)-from, 16<<10))...)
			if _, err := io.ReadFull(in, buf[from:]); err != nil {
				return number, &CorruptError{name, number, at, "record: " + err.Error()}
			}
		}
		if uint32(xxhash.Sum64(buf)) != binary.LittleEndian.Uint32(head[4:]) {
			return number, &CorruptError{name, number, at, "wrong record checksum"}
		}
		r, err := Decode(buf)
		if err != nil {
			return number, &CorruptError{name, number, at, err.Error()}
		}
		number++
		if err := f(r); err != nil {
			return number, &callbackError{err}
		}
	}
}

// Name returns a segment's file name. It begins with time and count, so that names sort in the order of writing.
func Name(node string, unixMs float64, count int) string {
	clean := strings.Map(func(r rune) rune {
		if r == '/' || r < ' ' {
			return '_'
		}
		return r
	}, node)
	return fmt.Sprintf("%015.0f-%06d-%s%s", unixMs, count, clean, suffix)
}
