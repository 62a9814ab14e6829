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

// The layout of a segment file: segmentMagic, formatVersion, then blocks. A block has a header of 12 bytes (length
// and xxhash of the compressed bytes), then zstd data. Decompressed, that is a sequence of records, each with a
// header of 8 bytes: its length and the lower half of its xxhash. Half is enough beside the block's full checksum,
// and checksums are most of what does not compress. A record has a checksum of its own so that the complete records
// of a truncated block can be read.
const (
	segmentMagic     = "pkcapture"
	formatVersion    = 2
	segmentSuffix    = ".pkcap"
	blockHeaderSize  = 12      // bytes
	recordHeaderSize = 8       // bytes
	maxRecordBytes   = 4 << 20 // a complete endpoint list of some ten thousand backends
	maxBlockBytes    = 8 << 20 // compressed: two of the largest records
)

var emptyRecordHeader [recordHeaderSize]byte

// fillRecordHeader writes the length and checksum of the record that follows the header in framed.
func fillRecordHeader(framed []byte) {
	record := framed[recordHeaderSize:]
	binary.LittleEndian.PutUint32(framed, uint32(len(record)))
	binary.LittleEndian.PutUint32(framed[4:], uint32(xxhash.Sum64(record)))
}

// segmentHeader is the first bytes of every segment.
var segmentHeader = append([]byte(segmentMagic), formatVersion)

// newEncoder returns a compressor for blocks that needs little memory. Entropy coding is off: it is half of the
// cost and gains 7% on captures.
func newEncoder() (*zstd.Encoder, error) {
	return zstd.NewWriter(nil,
		zstd.WithEncoderConcurrency(1),
		zstd.WithEncoderLevel(zstd.SpeedFastest),
		zstd.WithWindowSize(256<<10),
		zstd.WithLowerEncoderMem(true),
		zstd.WithNoEntropyCompression(true))
}

// appendBlock appends framed records as one compressed block.
func appendBlock(out []byte, encoder *zstd.Encoder, records []byte) []byte {
	start := len(out)
	out = encoder.EncodeAll(records, append(out, make([]byte, blockHeaderSize)...))
	body := out[start+blockHeaderSize:]
	binary.LittleEndian.PutUint32(out[start:], uint32(len(body)))
	binary.LittleEndian.PutUint64(out[start+4:], xxhash.Sum64(body))
	return out
}

// Write writes framed records as one segment file, atomically.
func Write(name string, records [][]byte) error {
	encoder, err := newEncoder()
	if err != nil {
		return err
	}
	defer func() { _ = encoder.Close() }()
	out := bytes.Clone(segmentHeader)
	var block []byte
	for i, record := range records {
		block = append(block, record...)
		if len(block) >= targetBlockBytes || i == len(records)-1 {
			out, block = appendBlock(out, encoder, block), block[:0]
		}
	}
	return renameio.WriteFile(name, out, 0o600)
}

// targetBlockBytes is the size of a block before compression: enough for a good compression ratio, and small enough
// that a truncated block loses little.
const targetBlockBytes = 64 << 10

// Frame encodes a record with its header, as Write takes it.
func Frame(record Record) []byte {
	framed := record.Append(append([]byte(nil), emptyRecordHeader[:]...))
	fillRecordHeader(framed)
	return framed
}

// TruncatedError reports a segment that ends in the middle of a block or header. All complete records before it
// were read.
type TruncatedError struct {
	File   string
	Offset int64 // in the compressed file, of the block that is incomplete
	Reason string
}

func (e *TruncatedError) Error() string {
	return fmt.Sprintf("%s: truncated at byte %d: %s", e.File, e.Offset, e.Reason)
}

// CorruptError reports a segment whose bytes differ from what was written.
type CorruptError struct {
	File   string
	Record int   // records that were read before, in the whole segment
	Offset int64 // in the compressed file, of the block that is corrupt
	Reason string
}

func (e *CorruptError) Error() string {
	return fmt.Sprintf("%s: record %d in the block at byte %d: %s", e.File, e.Record, e.Offset, e.Reason)
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
	files, err := filepath.Glob(filepath.Join(path, "*"+segmentSuffix))
	if err != nil {
		return nil, err
	}
	if len(files) == 0 {
		return nil, fmt.Errorf("%s: no captures (*%s)", path, segmentSuffix)
	}
	slices.Sort(files) // names begin with the time in a fixed width, see Name
	return files, nil
}

// Read calls handle with each record of a segment file in order, until handle returns an error, which Read returns,
// or the segment ends. Its own errors are a *TruncatedError or a *CorruptError, after all complete records were
// passed to handle.
func Read(name string, handle func(Record) error) error {
	file, err := os.Open(name)
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }()
	return ReadFrom(name, file, handle)
}

// ReadFrom is Read for a segment from any reader; errors contain name.
func ReadFrom(name string, reader io.Reader, handle func(Record) error) error {
	input := bufio.NewReaderSize(reader, 64<<10)
	if err := readSegmentHeader(name, input); err != nil {
		return err
	}
	decoder, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(64<<20),
		zstd.WithDecoderLowmem(true))
	if err != nil {
		return err
	}
	defer decoder.Close()
	offset, recordNumber := int64(len(segmentHeader)), 0
	for {
		var header [blockHeaderSize]byte
		count, err := io.ReadFull(input, header[:])
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return &TruncatedError{name, offset + int64(count), "incomplete block header"}
		}
		size := binary.LittleEndian.Uint32(header[:])
		if size > maxBlockBytes {
			return &CorruptError{name, recordNumber, offset, fmt.Sprintf("block of %d bytes is too large", size)}
		}
		block := &checksumReader{io.LimitReader(input, int64(size)), xxhash.New(), 0}
		if err := decoder.Reset(block); err != nil {
			return &CorruptError{name, recordNumber, offset, err.Error()}
		}
		recordNumber, err = readRecords(name, offset, recordNumber, bufio.NewReaderSize(decoder, 16<<10), handle)
		_, discardErr := io.Copy(io.Discard, block)
		isTruncated := block.count < int64(size) && discardErr == nil
		var callbackErr *callbackError
		switch {
		case errors.As(err, &callbackErr):
			return callbackErr.err
		case isTruncated:
			return &TruncatedError{name, offset, "incomplete block"}
		case err != nil:
			return err
		case block.sum.Sum64() != binary.LittleEndian.Uint64(header[4:]):
			return &CorruptError{name, recordNumber, offset, "wrong block checksum"}
		}
		offset += blockHeaderSize + int64(size)
	}
}

// readSegmentHeader reads the first bytes of a segment, and fails if it is not a capture of this version.
func readSegmentHeader(name string, input io.Reader) error {
	header := make([]byte, len(segmentHeader))
	if count, err := io.ReadFull(input, header); err != nil {
		return &TruncatedError{name, int64(count), "incomplete header"}
	}
	if string(header[:len(segmentMagic)]) != segmentMagic {
		return &CorruptError{name, 0, 0, "not a capture"}
	}
	if header[len(segmentMagic)] != formatVersion {
		return fmt.Errorf("%s: capture format version %d, this program reads %d", name, header[len(segmentMagic)], formatVersion)
	}
	return nil
}

// checksumReader counts and checksums what is read of a block.
type checksumReader struct {
	io.Reader
	sum   *xxhash.Digest
	count int64
}

func (c *checksumReader) Read(buffer []byte) (int, error) {
	count, err := c.Reader.Read(buffer)
	_, _ = c.sum.Write(buffer[:count])
	c.count += int64(count)
	return count, err
}

// callbackError wraps an error that the caller's function returned, to tell it from the reader's own.
type callbackError struct{ err error }

func (e *callbackError) Error() string { return e.err.Error() }

// readRecords reads the records of the block at an offset, and returns recordNumber plus how many there were.
func readRecords(
	name string, offset int64, recordNumber int, input *bufio.Reader, handle func(Record) error,
) (int, error) {
	var buffer []byte
	for {
		var header [recordHeaderSize]byte
		if _, err := io.ReadFull(input, header[:]); errors.Is(err, io.EOF) {
			return recordNumber, nil
		} else if err != nil {
			return recordNumber, &CorruptError{name, recordNumber, offset, "record header: " + err.Error()}
		}
		size := binary.LittleEndian.Uint32(header[:])
		if size > maxRecordBytes {
			return recordNumber, &CorruptError{name, recordNumber, offset, fmt.Sprintf("record of %d bytes is too large", size)}
		}
		// The buffer grows with the data that arrives, so a wrong length in a damaged file allocates next to nothing.
		buffer = buffer[:0]
		for len(buffer) < int(size) {
			start := len(buffer)
			buffer = append(buffer, make([]byte, min(int(size)-start, 16<<10))...)
			if _, err := io.ReadFull(input, buffer[start:]); err != nil {
				return recordNumber, &CorruptError{name, recordNumber, offset, "record body: " + err.Error()}
			}
		}
		if uint32(xxhash.Sum64(buffer)) != binary.LittleEndian.Uint32(header[4:]) {
			return recordNumber, &CorruptError{name, recordNumber, offset, "wrong record checksum"}
		}
		record, err := Decode(buffer)
		if err != nil {
			return recordNumber, &CorruptError{name, recordNumber, offset, err.Error()}
		}
		recordNumber++
		if err := handle(record); err != nil {
			return recordNumber, &callbackError{err}
		}
	}
}

// SegmentName returns a segment's file name. It begins with time and count, so that names sort in the order of
// writing.
func SegmentName(node string, unixMs float64, count int) string {
	sanitizedNode := strings.Map(func(r rune) rune {
		if r == '/' || r < ' ' {
			return '_'
		}
		return r
	}, node)
	return fmt.Sprintf("%015.0f-%06d-%s%s", unixMs, count, sanitizedNode, segmentSuffix)
}
