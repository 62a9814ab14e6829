package controlplane

import "github.com/klauspost/compress/zstd"

// minCompressedBytes is the size below which data is not compressed: a zstd frame would save little or nothing.
const minCompressedBytes = 1 << 10

// The encodings, written in the first byte of what compress returns.
const (
	encodingPlain = 0
	encodingZstd  = 1
)

// compress returns the data, compressed if that makes it smaller, after a byte that names the encoding.
func compress(data []byte) []byte {
	if len(data) >= minCompressedBytes {
		encoder, err := zstd.NewWriter(nil,
			zstd.WithEncoderConcurrency(1),
			zstd.WithLowerEncoderMem(true),
			zstd.WithAllLitEntropyCompression(true))
		if err == nil {
			if compressed := encoder.EncodeAll(data, []byte{encodingZstd}); len(compressed) < len(data) {
				return compressed
			}
		}
	}
	return append([]byte{encodingPlain}, data...)
}

// decompress reverses compress. Data from another process may declare any decompressed size. A size above limit bytes is rejected
// before memory is allocated for it, and so is a frame that declares none.
func decompress(data []byte, limit int) ([]byte, error) {
	switch {
	case len(data) == 0:
		return nil, errMalformedFrame
	case data[0] == encodingPlain && len(data)-1 <= limit:
		return data[1:], nil
	case data[0] != encodingZstd:
		return nil, errMalformedFrame
	}
	var header zstd.Header
	if header.Decode(data[1:]) != nil || !header.HasFCS || header.FrameContentSize > uint64(limit) {
		return nil, errMalformedFrame
	}
	decoder, err := zstd.NewReader(nil,
		zstd.WithDecoderConcurrency(1),
		zstd.WithDecoderMaxMemory(uint64(limit)),
		zstd.WithDecoderLowmem(true))
	if err != nil {
		return nil, errMalformedFrame
	}
	defer decoder.Close()
	out, err := decoder.DecodeAll(data[1:], nil)
	if err != nil || len(out) > limit {
		return nil, errMalformedFrame
	}
	return out, nil
}
