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

// A copy's file: a line with its form, the checksum of all that follows, the version, the fleet; then the text.
const copyFormat = "pearknot-copy-1"

// errBusy is a copy that another process keeps, such as the one that this one comes after.
var errLocked = errors.New("another process keeps it")

// Disk is where a process keeps the last good version. One process writes: whoever comes beside it may read.
type CopyStore struct {
	file, fleet   string
	lock          *os.File // nil until this process has it
	storedVersion uint64   // version on disk
	nextToWrite   chan controlplane.VersionedDocument
	log           *slog.Logger
}

// OpenDisk reads what is there. A damaged copy is set aside with one line, and none is held then; so is another fleet's.
func OpenCopyStore(file, fleet string, log *slog.Logger) (*CopyStore, controlplane.VersionedDocument, error) {
	d := &CopyStore{file: file, fleet: fleet, nextToWrite: make(chan controlplane.VersionedDocument, 1), log: log}
	if err := os.MkdirAll(filepath.Dir(file), 0o700); err != nil {
		return nil, controlplane.VersionedDocument{}, err
	}
	if err := d.acquireLock(); err != nil && !errors.Is(err, errLocked) {
		return nil, controlplane.VersionedDocument{}, err
	}
	data, err := os.ReadFile(file)
	if errors.Is(err, fs.ErrNotExist) {
		return d, controlplane.VersionedDocument{}, nil
	} else if err != nil {
		return nil, controlplane.VersionedDocument{}, err
	}
	c, err := decodeCopy(data, fleet)
	if err != nil {
		aside := fmt.Sprintf("%s.damaged-%d", file, time.Now().UnixNano())
		if e := os.Rename(file, aside); e != nil {
			return nil, controlplane.VersionedDocument{}, e
		}
		log.Error("copy of the settings damaged, set aside", "file", file, "error", err, "as", aside)
	}
	d.storedVersion = c.Version
	return d, c, nil
}

// own takes the lock, if nobody else has it.
func (d *CopyStore) acquireLock() error {
	if d.lock != nil {
		return nil
	}
	lock, err := os.OpenFile(d.file+".lock", os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return err
	}
	if err := unix.Flock(int(lock.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		_ = lock.Close()
		return fmt.Errorf("%s: %w", d.file, errLocked)
	}
	d.lock = lock
	return nil
}

// Owned tells whether this process is the one that writes.
func (d *CopyStore) HasLock() bool { return d.lock != nil }

// Keep writes a version, whole or not at all; it is durable when it returns.
func (d *CopyStore) Write(version uint64, text []byte) error {
	if err := d.acquireLock(); err != nil {
		return err
	}
	return renameio.WriteFile(d.file, encodeCopy(version, d.fleet, text), 0o600)
}

// Offer has a version written by Run, in the place of one that waits for it: the disk may be slow, and stands before nothing.
func (d *CopyStore) QueueWrite(c controlplane.VersionedDocument) {
	select {
	case <-d.nextToWrite:
	default:
	}
	d.nextToWrite <- c
}

// Run writes what is offered until ctx ends, and what waits then.
func (d *CopyStore) Run(ctx context.Context) {
	busy := false
	write := func(c controlplane.VersionedDocument) {
		if c.Version == d.storedVersion {
			return
		}
		switch err := d.Write(c.Version, c.Document.Text()); {
		case err == nil:
			d.storedVersion, busy = c.Version, false
		case errors.Is(err, errLocked) && busy: // said once
		default:
			busy = errors.Is(err, errLocked)
			d.log.Warn("copy of the settings not kept", "version", c.Version, "error", err)
		}
	}
	for {
		select {
		case c := <-d.nextToWrite:
			write(c)
			continue
		case <-ctx.Done():
		}
		select {
		case c := <-d.nextToWrite:
			write(c)
		default:
		}
		return
	}
}

// Close lets another process write.
func (d *CopyStore) Close() {
	if d.lock != nil {
		_ = d.lock.Close()
	}
}

func encodeCopy(version uint64, fleet string, text []byte) []byte {
	rest := fmt.Appendf(nil, "%d %s\n%s", version, strconv.Quote(fleet), text)
	sum := sha256.Sum256(rest)
	return fmt.Appendf(nil, "%s %x %s", copyFormat, sum, rest)
}

func decodeCopy(data []byte, fleet string) (c controlplane.VersionedDocument, err error) {
	form, rest, _ := bytes.Cut(data, []byte(" "))
	if string(form) != copyFormat {
		return c, fmt.Errorf("no copy: begins with %.20q", form)
	}
	sum, rest, _ := bytes.Cut(rest, []byte(" "))
	if is := sha256.Sum256(rest); hex.EncodeToString(is[:]) != string(sum) {
		return c, errors.New("checksum is wrong")
	}
	line, text, _ := bytes.Cut(rest, []byte("\n"))
	number, quoted, _ := bytes.Cut(line, []byte(" "))
	version, err := strconv.ParseUint(string(number), 10, 64)
	if err != nil || version == 0 {
		return c, fmt.Errorf("version %.20q", number)
	}
	if of, err := strconv.Unquote(string(quoted)); err != nil || of != fleet {
		return c, fmt.Errorf("of fleet %.80s, not %q", quoted, fleet)
	}
	doc, err := controlplane.Parse(text)
	if err != nil {
		return c, err
	}
	return controlplane.VersionedDocument{Version: version, Document: doc}, nil
}
