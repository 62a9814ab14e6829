package capture

import "encoding/json"

// Size returns the bytes in the ring, and how many records were dropped from it.
func (m *MemoryRing) Size() (bytes int, dropped uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.bytes, m.dropped
}

// RestoreFromOwnState replaces the decider by one restored from its own snapshot, so that tests see whether both
// decide alike from there on.
func (r *Replayer) RestoreFromOwnState(start StartInfo) error {
	state, err := r.encodedState()
	if err != nil {
		return err
	}
	startJSON, err := json.Marshal(start)
	if err != nil {
		return err
	}
	record := Record{Kind: Snapshot, Data: startJSON, State: state}
	for _, request := range sortedByNumber(r.requestNumbers) {
		record.Requests = append(record.Requests, r.requestNumbers[request])
	}
	for _, backend := range sortedByNumber(r.backendNumbers) {
		record.Backends = append(record.Backends, r.backendNumbers[backend])
	}
	return r.restore(record)
}
