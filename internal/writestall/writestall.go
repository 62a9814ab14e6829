// Package writestall detects that the reader at the other end of a TCP connection has stopped, or reads too slowly.
//
// The time that a write is blocked does not tell that. A socket whose send buffer is full becomes writable only once a third of the
// buffer, which the system may have grown to some MB, is free again, and the reader's system announces room in large steps. A
// reader that never pauses can thereby block a write for tens of seconds. A Monitor therefore looks at how many bytes the
// reader's system has acknowledged, and how long a reader of the minimum rate may take for them.
package writestall

import (
	"sync"
	"syscall"
	"time"

	"pearknot/internal/tcpinfo"
)

const (
	// minReadRate is the minimum average rate of a reader in bytes per second: half the rate of the slowest known ones.
	minReadRate = 32 << 10

	// MaxPause is the longest time that a reader may take for what its system has acknowledged, however much that is. A reader
	// that has vanished, or stopped after it has read a lot, is detected after this time and the timeout. It has to cover the
	// time until the reader's system announces room again, which needs a part of its receive buffer to be read.
	MaxPause = 30 * time.Second

	// checkInterval is how often a connection is looked at.
	checkInterval = 500 * time.Millisecond
)

// AckedBytes returns how many bytes sent on a connection the other end's system has acknowledged; ok is false if that is not
// known.
type AckedBytes func() (count uint64, ok bool)

// OfConn returns the AckedBytes of a TCP connection.
func OfConn(conn syscall.Conn) AckedBytes {
	return func() (count uint64, ok bool) {
		info, ok := tcpinfo.Get(conn)
		if !ok {
			return 0, false
		}
		return info.Bytes_acked, true
	}
}

// Unknown is the AckedBytes of a connection that can't be asked. Each write then has the timeout.
func Unknown() (count uint64, ok bool) { return 0, false }

// Monitor watches the writes of a stream to a connection. Its methods may be called from any goroutine.
type Monitor struct {
	ackedBytes AckedBytes
	timeout    time.Duration
	onStall    func()

	mu           sync.Mutex
	timer        *time.Timer
	stopped      bool
	writingSince time.Time // start of the write in progress; zero if there is none
	acked        uint64    // bytes acknowledged as of the latest check
	readBy       time.Time // when a reader of the minimum rate will have read these bytes
}

// Start starts a monitor. It calls onStall, once, when a write is blocked for the timeout beyond the time that a reader of the
// minimum rate may take for what it has been sent. onStall must make the write fail, and must not call the monitor.
func Start(ackedBytes AckedBytes, timeout time.Duration, onStall func()) *Monitor {
	m := &Monitor{ackedBytes: ackedBytes, timeout: timeout, onStall: onStall}
	m.acked, _ = ackedBytes()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.timer = time.AfterFunc(checkInterval, m.check)
	return m
}

// BeginWrite is called before each write.
func (m *Monitor) BeginWrite() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.writingSince = time.Now()
}

// EndWrite is called after each write.
func (m *Monitor) EndWrite() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.writingSince = time.Time{}
}

// ReadTime returns the time that the reader may still take for what its system has acknowledged.
func (m *Monitor) ReadTime() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	m.recordProgress(now)
	return max(0, m.readBy.Sub(now))
}

// AddReadTime allows the reader more time, which another monitor of the connection has returned from ReadTime.
func (m *Monitor) AddReadTime(readTime time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.extendReadBy(time.Now(), readTime)
}

// Stop ends the monitor. onStall is not called after it has returned.
func (m *Monitor) Stop() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stopped = true
	m.timer.Stop()
}

func (m *Monitor) check() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.stopped {
		return
	}
	now := time.Now()
	m.recordProgress(now)
	isBlocked := !m.writingSince.IsZero()
	if isBlocked && now.Sub(later(m.writingSince, m.readBy)) >= m.timeout {
		m.stopped = true
		m.onStall()
		return
	}
	m.timer.Reset(checkInterval)
}

// recordProgress moves readBy by the bytes that were acknowledged since the latest check. While no write is blocked, the
// reader may have had nothing to read, so that its time counts from now on.
func (m *Monitor) recordProgress(now time.Time) {
	acked, ok := m.ackedBytes()
	if !ok || acked <= m.acked {
		return
	}
	readTime := time.Duration(acked-m.acked) * time.Second / minReadRate
	m.acked = acked
	m.extendReadBy(now, readTime)
}

// extendReadBy moves readBy. m.mu is held.
func (m *Monitor) extendReadBy(now time.Time, readTime time.Duration) {
	start := m.writingSince
	if start.IsZero() {
		start = now
	}
	m.readBy = later(m.readBy, start).Add(readTime)
	if limit := now.Add(MaxPause); m.readBy.After(limit) {
		m.readBy = limit
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
