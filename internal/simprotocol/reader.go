package simprotocol

import (
	"encoding/binary"
	"fmt"
	"math"
)

// reader decodes the records of a frame. After the first error it returns zeros, so that callers only check err.
type reader struct {
	data        []byte
	offset      int
	recordStart int
	err         error
}

func (r *reader) fail(format string, args ...any) { r.err = fmt.Errorf(format, args...) }

func (r *reader) take(n int) []byte {
	if r.err == nil && (n < 0 || n > len(r.data)-r.offset) {
		r.fail("need %d bytes at byte %d, have %d", n, headerSize+r.offset, len(r.data)-r.offset)
	}
	if r.err != nil {
		return nil
	}
	r.offset += n
	return r.data[r.offset-n : r.offset]
}

func (r *reader) u8() byte {
	if b := r.take(1); b != nil {
		return b[0]
	}
	return 0
}

func (r *reader) u16() uint16 {
	if b := r.take(2); b != nil {
		return binary.BigEndian.Uint16(b)
	}
	return 0
}

func (r *reader) u32() uint32 {
	if b := r.take(4); b != nil {
		return binary.BigEndian.Uint32(b)
	}
	return 0
}

func (r *reader) u64() uint64 {
	if b := r.take(8); b != nil {
		return binary.BigEndian.Uint64(b)
	}
	return 0
}

func (r *reader) f64() float64 { return math.Float64frombits(r.u64()) }

func (r *reader) time() float64 {
	x := r.f64()
	if r.err == nil && (math.IsNaN(x) || math.IsInf(x, 0)) {
		r.fail("time at byte %d is not finite", headerSize+r.offset-8)
	}
	return x
}
