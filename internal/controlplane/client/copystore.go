package client

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"io/fs"
	"log/slog"
	"os"
	"path/filepath"
	"strconv"
	"time"

	"github.com/google/renameio/v2"
	"golang.org/x/sys/unix"

	"pearknot/internal/controlplane"
)

// copyFormat identifies the format of the file: a line with copyFormat, the SHA-256 checksum of everything after the checksum, the
// version and the fleet; then the document's text.
const copyFormat = "pearknot-copy-1"

// errLocked is returned if another process holds the lock, such as the one that this process is replacing.
var errLocked = errors.New("locked by another process")

// CopyStore is the file that stores the last version that a process has applied. One process writes it; others may read it.
type CopyStore struct {
	file, fleet   string
	lock          *os.File // nil until this process holds the lock
	storedVersion uint64
	nextToWrite   chan controlplane.VersionedDocument // holds at most one
	log           *slog.Logger
}

// OpenCopyStore opens the file and returns the version in it, or version 0. A damaged copy, or one of another fleet, is set aside with
// a line in the log.
func OpenCopyStore(file, fleet string, log *slog.Logger) (*CopyStore, controlplane.VersionedDocument, error) {
	s := &CopyStore{file: file, fleet: fleet, nextToWrite: make(chan controlplane.VersionedDocument, 1), log: log}
	stored, err := s.open()
	if err != nil {
		s.Close()
		return nil, controlplane.VersionedDocument{}, err
	}
	s.storedVersion = stored.Version
	return s, stored, nil
}

func (s *CopyStore) open() (controlplane.VersionedDocument, error) {
	var none controlplane.VersionedDocument
	if err := os.MkdirAll(filepath.Dir(s.file), 0o700); err != nil {
		return none, err
	}
	if err := s.acquireLock(); err != nil && !errors.Is(err, errLocked) {
		return none, err
	}
	data, err := os.ReadFile(s.file)
	if errors.Is(err, fs.ErrNotExist) {
		return none, nil
	}
	if err != nil {
		return none, err
	}
	stored, err := decodeCopy(data, s.fleet)
	if err != nil {
		return none, s.setAside(err)
	}
	return stored, nil
}

// setAside renames a damaged copy, so that operators can inspect it and the next copy does not overwrite it.
func (s *CopyStore) setAside(damage error) error {
	aside := fmt.Sprintf("%s.damaged-%d", s.file, time.Now().UnixNano())
	if err := os.Rename(s.file, aside); err != nil {
		return err
	}
	s.log.Error("stored configuration copy damaged, set aside", "file", s.file, "error", damage, "as", aside)
	return nil
}

// acquireLock acquires the lock unless this process holds it. The error wraps errLocked if another process holds it.
func (s *CopyStore) acquireLock() error {
	if s.lock != nil {
		return nil
	}
	lock, err := os.OpenFile(s.file+".lock", os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return err
	}
	if err := unix.Flock(int(lock.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		_ = lock.Close()
		return fmt.Errorf("%s: %w", s.file, errLocked)
	}
	s.lock = lock
	return nil
}

// HasLock reports whether this process holds the lock, and so may write.
func (s *CopyStore) HasLock() bool { return s.lock != nil }

// Write writes a version atomically. It is durable when Write returns.
func (s *CopyStore) Write(version uint64, text []byte) error {
	if err := s.acquireLock(); err != nil {
		return err
	}
	return renameio.WriteFile(s.file, encodeCopy(version, s.fleet, text), 0o600)
}

// QueueWrite queues a version for Run to write, replacing one that is queued. It doesn't block, so that a slow disk delays nothing
// else. Only one goroutine may call it.
func (s *CopyStore) QueueWrite(next controlplane.VersionedDocument) {
	select {
	case <-s.nextToWrite:
	default:
	}
	s.nextToWrite <- next
}

// Run writes the queued versions until ctx ends, and then the one that is still queued.
func (s *CopyStore) Run(ctx context.Context) {
	var lockedLogged bool // another process's lock is logged once, not with every version
	for {
		select {
		case next := <-s.nextToWrite:
			lockedLogged = s.writeQueued(next, lockedLogged)
			continue
		case <-ctx.Done():
		}
		select {
		case next := <-s.nextToWrite:
			s.writeQueued(next, lockedLogged)
		default:
		}
		return
	}
}

// writeQueued writes a version unless it is stored, and returns whether another process's lock has been logged.
func (s *CopyStore) writeQueued(next controlplane.VersionedDocument, lockedLogged bool) bool {
	if next.Version == s.storedVersion {
		return lockedLogged
	}
	err := s.Write(next.Version, next.Document.Text())
	if err == nil {
		s.storedVersion = next.Version
		return false
	}
	isLocked := errors.Is(err, errLocked)
	if !isLocked || !lockedLogged {
		s.log.Warn("write of stored configuration copy failed", "version", next.Version, "error", err)
	}
	return isLocked
}

// Close releases the lock, so that another process may write.
func (s *CopyStore) Close() {
	if s.lock != nil {
		_ = s.lock.Close()
	}
}

func encodeCopy(version uint64, fleet string, text []byte) []byte {
	content := fmt.Appendf(nil, "%d %s\n%s", version, strconv.Quote(fleet), text)
	checksum := sha256.Sum256(content)
	return fmt.Appendf(nil, "%s %x %s", copyFormat, checksum, content)
}

func decodeCopy(data []byte, fleet string) (controlplane.VersionedDocument, error) {
	var none controlplane.VersionedDocument
	format, rest, _ := bytes.Cut(data, []byte(" "))
	if string(format) != copyFormat {
		return none, fmt.Errorf("not a stored copy: starts with %.20q", format)
	}
	wantChecksum, content, _ := bytes.Cut(rest, []byte(" "))
	if checksum := sha256.Sum256(content); hex.EncodeToString(checksum[:]) != string(wantChecksum) {
		return none, errors.New("checksum mismatch")
	}
	line, text, _ := bytes.Cut(content, []byte("\n"))
	number, quotedFleet, _ := bytes.Cut(line, []byte(" "))
	version, err := strconv.ParseUint(string(number), 10, 64)
	if err != nil || version == 0 {
		return none, fmt.Errorf("invalid version %.20q", number)
	}
	if storedFleet, err := strconv.Unquote(string(quotedFleet)); err != nil || storedFleet != fleet {
		return none, fmt.Errorf("stored copy belongs to fleet %.80s, not %q", quotedFleet, fleet)
	}
	doc, err := controlplane.Parse(text)
	if err != nil {
		return none, err
	}
	return controlplane.VersionedDocument{Version: version, Document: doc}, nil
}
