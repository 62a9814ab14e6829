// Package testlog collects the log of a process or a component under test.
package testlog

import (
	"bytes"
	"strings"
	"sync"
)

// Buffer collects log lines. It is safe for concurrent use. The zero value is empty.
type Buffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

// Write appends to the buffer. It never fails.
func (b *Buffer) Write(data []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Write(data)
}

// String returns all that was written so far.
func (b *Buffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.String()
}

// Count returns the number of occurrences of a text in what was written so far.
func (b *Buffer) Count(text string) int { return strings.Count(b.String(), text) }
