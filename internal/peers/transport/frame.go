package transport

import (
	"encoding/binary"
	"fmt"
	"io"
)

// headerBytes is the size of the length that precedes each frame, in network byte order.
const headerBytes = 4

// FrameTooLongError reports a frame whose header announces more bytes than the receiver allows.
type FrameTooLongError struct{ Size, Max uint32 }

func (e *FrameTooLongError) Error() string {
	return fmt.Sprintf("frame of %d bytes, %d at most", e.Size, e.Max)
}

// WriteFrame writes a frame and its header in one call of Write.
func WriteFrame(w io.Writer, data []byte) error {
	frame := make([]byte, headerBytes, headerBytes+len(data))
	binary.BigEndian.PutUint32(frame, uint32(len(data)))
	_, err := w.Write(append(frame, data...))
	return err
}

// ReadFrame reads a frame. If its header announces more than maxBytes it returns a *FrameTooLongError and reads no further, so
// that no memory is allocated for it.
func ReadFrame(r io.Reader, maxBytes uint32) ([]byte, error) {
	var header [headerBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return nil, err
	}
	size := binary.BigEndian.Uint32(header[:])
	if size > maxBytes {
		return nil, &FrameTooLongError{Size: size, Max: maxBytes}
	}
	data := make([]byte, size)
	_, err := io.ReadFull(r, data)
	return data, err
}
