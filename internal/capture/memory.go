package capture

import (
	"bytes"
	"sync"
)

// MemoryRing keeps the latest batches in memory, within a size, for machines without a persistent disk. The oldest
// batch that it keeps holds a snapshot, so that a replay may begin there. It is written to a file on request.
type MemoryRing struct {
	maxBytes int // of records

	mu      sync.Mutex
	batches []Batch
	bytes   int
	dropped uint64 // records
}

// NewMemoryRing makes a ring of maxBytes bytes of records.
func NewMemoryRing(maxBytes int) *MemoryRing { return &MemoryRing{maxBytes: maxBytes} }

// Put adds a batch. Beyond the size the oldest batches are dropped, up to the next one that holds a snapshot.
func (m *MemoryRing) Put(batch Batch) {
	m.mu.Lock()
	defer m.mu.Unlock()
	batch.Data = bytes.Clone(batch.Data)
	m.batches = append(m.batches, batch)
	m.bytes += len(batch.Data)
	if m.bytes <= m.maxBytes {
		return
	}
	first := 0
	for first < len(m.batches) && (m.bytes > m.maxBytes || !m.batches[first].HasSnapshot) {
		m.bytes -= len(m.batches[first].Data)
		m.dropped += uint64(m.batches[first].Records)
		first++
	}
	m.batches = append([]Batch(nil), m.batches[first:]...)
}

// WriteTo writes the ring's content as a segment file of that name.
func (m *MemoryRing) WriteTo(name string) error {
	m.mu.Lock()
	batches := m.batches[:len(m.batches):len(m.batches)]
	m.mu.Unlock()
	records := make([][]byte, 0, len(batches))
	for _, batch := range batches { // their data never changes after Put
		records = append(records, batch.Data)
	}
	return Write(name, records)
}
