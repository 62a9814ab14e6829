package hotrestart

import (
	"os"

	"golang.org/x/sys/unix"
)

// ProcessLock is held by each process of a node from its start to its end. By it a new process knows that another one runs although
// none listens for a successor, which is so for a moment after each hot restart.
type ProcessLock struct{ file *os.File }

// OpenProcessLock opens the lock that belongs to the socket at path, without holding it.
func OpenProcessLock(path string) (*ProcessLock, error) {
	file, err := os.OpenFile(path+".lock", os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	return &ProcessLock{file: file}, nil
}

// IsHeldByOther reports whether another process holds the lock. It must not be called after Hold.
func (l *ProcessLock) IsHeldByOther() bool {
	if l == nil {
		return false
	}
	if err := unix.Flock(int(l.file.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		return true
	}
	_ = unix.Flock(int(l.file.Fd()), unix.LOCK_UN)
	return false
}

// Hold holds the lock, beside the node's other processes, until Close.
func (l *ProcessLock) Hold() error {
	if l == nil {
		return nil
	}
	return unix.Flock(int(l.file.Fd()), unix.LOCK_SH)
}

// Close releases the lock.
func (l *ProcessLock) Close() {
	if l != nil {
		_ = l.file.Close()
	}
}
