package main

import (
	"bufio"
	"encoding/json"
	"os"

	"github.com/klauspost/compress/zstd"

	"pearknot/internal/invariants"
)

// eventLog writes events to a compressed file, a JSON object a line. After an error it writes nothing more.
type eventLog struct {
	file       *os.File
	compressor *zstd.Encoder
	buffer     *bufio.Writer
	encoder    *json.Encoder
	err        error // the first one
}

func newEventLog(name string) (*eventLog, error) {
	file, err := os.Create(name)
	if err != nil {
		return nil, err
	}
	compressor, err := zstd.NewWriter(file)
	if err != nil {
		return nil, err
	}
	buffer := bufio.NewWriter(compressor)
	return &eventLog{file: file, compressor: compressor, buffer: buffer, encoder: json.NewEncoder(buffer)}, nil
}

// write writes an event. The keys are those of the files' first version: "op" is a request, "push" an attempt.
func (l *eventLog) write(event invariants.Event) {
	if l.err != nil {
		return
	}
	l.err = l.encoder.Encode(map[string]any{
		"at_ms":   event.At,
		"what":    event.Kind.String(),
		"op":      event.Request,
		"node":    event.Node,
		"backend": event.Backend,
		"push":    event.Attempt,
		"text":    event.String(),
	})
}

// close closes the file and returns the first error of all writes.
func (l *eventLog) close() error {
	for _, closeStep := range []func() error{l.buffer.Flush, l.compressor.Close, l.file.Close} {
		if err := closeStep(); l.err == nil {
			l.err = err
		}
	}
	return l.err
}
