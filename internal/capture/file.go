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

// A segment: magic, version, then blocks. A block: its length and a checksum, 12 bytes, then zstd; what it unpacks to is
// records, each with its length and checksum, 8 bytes: half of xxhash is enough beside the block's whole one, and checksums
// are most of what can't be packed. A block that was cut short gives its whole records all the same.
const (
	magic      = "pkcapture"
	version    = 2
	suffix     = ".pkcap"
	blockHead  = 12
	recordHead = 8
	mostRecord = 4 << 20 // a whole list of some ten thousand backends
	mostBlock  = 8 << 20 // packed
)

var emptyHead [recordHead]byte

// frame fills the head before a record in with its length and checksum.
func frame(b []byte) {
	record := b[recordHead:]
	binary.LittleEndian.PutUint32(b, uint32(len(record)))
	binary.LittleEndian.PutUint32(b[4:], uint32(xxhash.Sum64(record)))
}

// header begins a segment.
var header = append([]byte(magic), version)

// newZip packs blocks within little memory, and without the coding that is its dearer half and gains 7 % here.
func newZip() (*zstd.Encoder, error) {
	return zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithWindowSize(256<<10),
		zstd.WithLowerEncoderMem(true), zstd.WithNoEntropyCompression(true))
}

// appendBlock puts framed records as a block.
func appendBlock(b []byte, zip *zstd.Encoder, records []byte) []byte {
	from := len(b)
	b = zip.EncodeAll(records, append(b, make([]byte, blockHead)...))
	body := b[from+blockHead:]
	binary.LittleEndian.PutUint32(b[from:], uint32(len(body)))
	binary.LittleEndian.PutUint64(b[from+4:], xxhash.Sum64(body))
	return b
}

// Write writes framed records as one segment, whole or not at all.
func Write(name string, records [][]byte) error {
	zip, err := newZip()
	if err != nil {
		return err
	}
	defer func() { _ = zip.Close() }()
	out := bytes.Clone(header)
	var block []byte
	for i, r := range records {
		block = append(block, r...)
		if len(block) >= wholeBlock || i == len(records)-1 {
			out, block = appendBlock(out, zip, block), block[:0]
		}
	}
	return renameio.WriteFile(name, out, 0o600)
}

const wholeBlock = 64 << 10 // bytes

// Frame is a record as Write wants it.
func Frame(r Record) []byte {
	b := r.Append(append([]byte(nil), emptyHead[:]...))
	frame(b)
	return b
}

// Cut tells that a segment ends in the middle of something: what is whole before it was read.
type Cut struct {
	File string
	Byte int64 // of the packed file, where the block begins in which it ends
	What string
}

func (c *Cut) Error() string {
	return fmt.Sprintf("%s: cut short at byte %d: %s", c.File, c.Byte, c.What)
}

// Damaged tells that a segment's bytes are not what was written.
type Damaged struct {
	File   string
	Record int
	Byte   int64
	What   string
}

func (d *Damaged) Error() string {
	return fmt.Sprintf("%s: record %d in the block at byte %d: %s", d.File, d.Record, d.Byte, d.What)
}

// Segments are the files of a capture, oldest first: of a directory all, of a file that one.
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
	slices.Sort(files) // their names begin with the time, to a fixed width
	return files, nil
}

// Read hands on a segment's records in order, until one says stop by an error or the segment ends. Its own errors are a
// *Cut or a *Damaged, after all that is whole was handed on.
func Read(name string, f func(Record) error) error {
	file, err := os.Open(name)
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }()
	return ReadFrom(name, file, f)
}

// ReadFrom reads a segment from anywhere.
func ReadFrom(name string, from io.Reader, f func(Record) error) error {
	in := bufio.NewReaderSize(from, 64<<10)
	head := make([]byte, len(header))
	if n, err := io.ReadFull(in, head); err != nil {
		return &Cut{name, int64(n), "no whole header"}
	}
	if string(head[:len(magic)]) != magic {
		return &Damaged{name, 0, 0, "no capture"}
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
		var frame [blockHead]byte
		n, err := io.ReadFull(in, frame[:])
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return &Cut{name, at + int64(n), "no whole head of a block"}
		}
		size := binary.LittleEndian.Uint32(frame[:])
		if size > mostBlock {
			return &Damaged{name, number, at, fmt.Sprintf("a block of %d bytes", size)}
		}
		packed := &counted{io.LimitReader(in, int64(size)), xxhash.New(), 0}
		if err := unzip.Reset(packed); err != nil {
			return &Damaged{name, number, at, err.Error()}
		}
		number, err = records(name, at, number, bufio.NewReaderSize(unzip, 16<<10), f)
		_, rest := io.Copy(io.Discard, packed)
		short := packed.n < int64(size)
		var stop *stopped
		switch {
		case errors.As(err, &stop):
			return stop.err
		case short && rest == nil:
			return &Cut{name, at, "a block of which the end is missing"}
		case err != nil:
			return err
		case packed.sum.Sum64() != binary.LittleEndian.Uint64(frame[4:]):
			return &Damaged{name, number, at, "block's checksum"}
		}
		at += blockHead + int64(size)
	}
}

// counted follows what is read of a block.
type counted struct {
	io.Reader
	sum *xxhash.Digest
	n   int64
}

func (c *counted) Read(b []byte) (int, error) {
	n, err := c.Reader.Read(b)
	_, _ = c.sum.Write(b[:n])
	c.n += int64(n)
	return n, err
}

// stopped is the word of whoever takes the records.
type stopped struct{ err error }

func (s *stopped) Error() string { return s.err.Error() }

// records reads those of one block.
func records(name string, at int64, number int, in *bufio.Reader, f func(Record) error) (int, error) {
	var buf []byte
	for {
		var head [recordHead]byte
		if _, err := io.ReadFull(in, head[:]); err == io.EOF {
			return number, nil
		} else if err != nil {
			return number, &Damaged{name, number, at, "head: " + err.Error()}
		}
		size := binary.LittleEndian.Uint32(head[:])
		if size > mostRecord {
			return number, &Damaged{name, number, at, fmt.Sprintf("a record of %d bytes", size)}
		}
		// Grows with what really comes: a false length allocates next to nothing.
		buf = buf[:0]
		for len(buf) < int(size) {
			from := len(buf)
			buf = append(buf, make([]byte, min(int(size)-from, 16<<10))...)
			if _, err := io.ReadFull(in, buf[from:]); err != nil {
				return number, &Damaged{name, number, at, "record: " + err.Error()}
			}
		}
		if uint32(xxhash.Sum64(buf)) != binary.LittleEndian.Uint32(head[4:]) {
			return number, &Damaged{name, number, at, "record's checksum"}
		}
		r, err := Decode(buf)
		if err != nil {
			return number, &Damaged{name, number, at, err.Error()}
		}
		number++
		if err := f(r); err != nil {
			return number, &stopped{err}
		}
	}
}

// Name is a segment's file name: by time and count, so that names sort as they were written.
func Name(node string, unixMs float64, count int) string {
	clean := strings.Map(func(r rune) rune {
		if r == '/' || r < ' ' {
			return '_'
		}
		return r
	}, node)
	return fmt.Sprintf("%015.0f-%06d-%s%s", unixMs, count, clean, suffix)
}
