package capture

import (
	"bytes"
	"sync"
)

// Memory is a ring in memory, for where no disk lasts: the latest batches within a size, from one in which a replay may
// begin. It is written out when somebody asks.
type Memory struct {
	most int // bytes

	mu      sync.Mutex
	batches []Batch
	bytes   int
	dropped uint64 // records
}

// NewMemory makes a ring of so many bytes.
func NewMemory(most int) *Memory { return &Memory{most: most} }

// Put takes a batch; the oldest go, up to one in which a replay may begin.
func (m *Memory) Put(b Batch) {
	m.mu.Lock()
	defer m.mu.Unlock()
	b.Data = bytes.Clone(b.Data)
	m.batches = append(m.batches, b)
	m.bytes += len(b.Data)
	if m.bytes <= m.most {
		return
	}
	k := 0
	for k < len(m.batches) && (m.bytes > m.most || !m.batches[k].Restart) {
		m.bytes -= len(m.batches[k].Data)
		m.dropped += uint64(m.batches[k].Records)
		k++
	}
	m.batches = append([]Batch(nil), m.batches[k:]...)
}

// Held is what the ring has now: bytes, and the records that are gone.
func (m *Memory) Held() (bytes int, dropped uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.bytes, m.dropped
}

// Dump writes the ring as a segment.
func (m *Memory) Dump(name string) error {
	m.mu.Lock()
	held := m.batches[:len(m.batches):len(m.batches)]
	m.mu.Unlock()
	records := make([][]byte, 0, len(held))
	for _, b := range held { // written once, never changed
		records = append(records, b.Data)
	}
	return Write(name, records)
}
