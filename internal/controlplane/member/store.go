package member

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"runtime/debug"
	"strconv"
	"time"

	"go.etcd.io/bbolt"
	berrors "go.etcd.io/bbolt/errors"
	pb "go.etcd.io/raft/v3/raftpb"
	"golang.org/x/sys/unix"
	"google.golang.org/protobuf/proto"

	"pearknot/internal/boltfile"
	"pearknot/internal/controlplane"
)

// schema is the version of what is kept; another one is refused.
const schemaVersion = "1"

var (
	voterBucket   = []byte("voter")   // by name
	entriesBucket = []byte("entries") // by index, big end first
)

// store is a voter's durable state, with one writer. Every value carries its checksum; the place of the last entry is kept too, so
// that none can be missing at the end.
type voterStore struct {
	db        *bbolt.DB
	lock      *os.File
	lastIndex uint64
}

// openStore opens a voter's state, or begins it where begin is given. A voter that has lost what it voted for must not vote again:
// whatever is missing or damaged is an error, and nothing is set aside.
func openVoterStore(path, owner string, begin *controlplane.StoredState) (s *voterStore, kept *controlplane.StoredState, err error) {
	lock, err := os.OpenFile(path+".lock", os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, nil, err
	}
	defer func() {
		if err != nil {
			_ = lock.Close()
		}
	}()
	if err := unix.Flock(int(lock.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		return nil, nil, fmt.Errorf("%s: another process has it", path)
	}
	kept, err = readVoterStore(path, owner)
	switch {
	case errors.Is(err, fs.ErrNotExist) && begin == nil:
		return nil, nil, fmt.Errorf("%s: no store: a voter's first start takes --bootstrap, and one that has lost its store must not vote", path)
	case errors.Is(err, fs.ErrNotExist):
		kept = begin
	case err != nil:
		return nil, nil, err
	case begin != nil:
		return nil, nil, fmt.Errorf("%s: there is a store already: --bootstrap is for a voter's first start", path)
	}
	// What was read goes into a fresh file: a damage in a place that reading does not touch ends here.
	fresh := path + ".new"
	if err := os.Remove(fresh); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return nil, nil, err
	}
	db, err := bbolt.Open(fresh, 0o600, &bbolt.Options{Timeout: time.Second})
	if err != nil {
		return nil, nil, err
	}
	s = &voterStore{db: db, lock: lock}
	if err := errors.Join(s.initialize(owner, kept), os.Rename(fresh, path), syncDirectory(filepath.Dir(path))); err != nil {
		_ = db.Close()
		return nil, nil, err
	}
	return s, kept, nil
}

func syncDirectory(name string) error {
	d, err := os.Open(name)
	if err != nil {
		return err
	}
	defer d.Close()
	return d.Sync()
}

func (s *voterStore) close() error { return errors.Join(s.db.Close(), s.lock.Close()) }

func (s *voterStore) initialize(owner string, kept *controlplane.StoredState) error {
	return s.db.Update(func(tx *bbolt.Tx) error {
		b, err := tx.CreateBucket(voterBucket)
		if err != nil {
			return err
		}
		if _, err := tx.CreateBucket(entriesBucket); err != nil {
			return err
		}
		if err := errors.Join(b.Put([]byte("schema"), boltfile.EncodeValue(schemaVersion)), b.Put([]byte("owner"), boltfile.EncodeValue(owner)),
			s.putState(tx, kept.HardState, kept.Snapshot, kept.Entries)); err != nil {
			return err
		}
		return s.putLastIndex(b)
	})
}

// message is what of raft's is kept.
type raftMessage interface {
	*pb.HardState | *pb.Snapshot | *pb.Entry
	proto.Message
}

func putMessage[M raftMessage](b *bbolt.Bucket, key string, m M) error {
	if m == nil {
		return nil
	}
	data, err := proto.Marshal(m)
	if err != nil {
		return err
	}
	return b.Put([]byte(key), boltfile.EncodeValue(string(data)))
}

func entryKey(index uint64) string { return string(binary.BigEndian.AppendUint64(nil, index)) }

func (s *voterStore) putState(tx *bbolt.Tx, hard *pb.HardState, snapshot *pb.Snapshot, all []*pb.Entry) error {
	b, e := tx.Bucket(voterBucket), tx.Bucket(entriesBucket)
	if err := errors.Join(putMessage(b, "hard", hard), putMessage(b, "snapshot", snapshot)); err != nil {
		return err
	}
	for _, entry := range all {
		if err := putMessage(e, entryKey(entry.GetIndex()), entry); err != nil {
			return err
		}
		s.lastIndex = entry.GetIndex()
	}
	return nil
}

func (s *voterStore) putLastIndex(b *bbolt.Bucket) error {
	return b.Put([]byte("last"), boltfile.EncodeValue(strconv.FormatUint(s.lastIndex, 10)))
}

// persist makes what a voter gives durable, as one.
func (s *voterStore) persist(p *controlplane.Persist) error {
	return s.db.Update(func(tx *bbolt.Tx) error {
		e, last := tx.Bucket(entriesBucket), s.lastIndex
		if p.Snapshot != nil { // entries up to it go
			upTo := p.Snapshot.GetMetadata().GetIndex()
			if p.Restored {
				upTo = last
			}
			if err := deleteEntries(e, 0, upTo); err != nil {
				return err
			}
			if p.Restored || upTo >= last {
				s.lastIndex = 0
			}
		}
		if len(p.Entries) > 0 { // and those whose place is taken
			if err := deleteEntries(e, p.Entries[0].GetIndex(), last); err != nil {
				return err
			}
		}
		if err := s.putState(tx, p.HardState, p.Snapshot, p.Entries); err != nil {
			return err
		}
		return s.putLastIndex(tx.Bucket(voterBucket))
	})
}

// drop takes out the entries from one index to another.
func deleteEntries(e *bbolt.Bucket, from, to uint64) error {
	c := e.Cursor()
	for k, _ := c.Seek([]byte(entryKey(from))); k != nil && string(k) <= entryKey(to); k, _ = c.Seek([]byte(entryKey(from))) {
		if err := e.Delete(k); err != nil {
			return err
		}
	}
	return nil
}

// readStore reads a store whole, and trusts nothing in it that has no checksum.
func readVoterStore(path, owner string) (kept *controlplane.StoredState, err error) {
	if _, err := os.Stat(path); err != nil {
		return nil, err
	}
	if err := boltfile.CheckMetaPages(path); err != nil {
		return nil, err
	}
	damaged := func(format string, args ...any) error {
		return fmt.Errorf("%s: %w: %s", path, boltfile.ErrDamaged, fmt.Sprintf(format, args...))
	}
	// A file that was cut short is mapped beyond its end, and one with flipped bytes may send the reader anywhere.
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if fault := recover(); fault != nil {
			kept, err = nil, damaged("%v", fault)
		}
	}()
	db, err := bbolt.Open(path, 0o600, &bbolt.Options{ReadOnly: true, Timeout: time.Second})
	switch {
	case errors.Is(err, berrors.ErrTimeout):
		return nil, fmt.Errorf("%s: another process has it", path)
	case errors.Is(err, os.ErrPermission):
		return nil, err
	case err != nil:
		return nil, damaged("%v", err)
	}
	defer db.Close()
	kept = &controlplane.StoredState{}
	err = db.View(func(tx *bbolt.Tx) error {
		b, e := tx.Bucket(voterBucket), tx.Bucket(entriesBucket)
		if b == nil || e == nil {
			return damaged("no buckets")
		}
		text := func(key string) (string, error) {
			v, err := boltfile.DecodeValue(b.Get([]byte(key)))
			if err != nil {
				return "", damaged("%s", key)
			}
			return v, nil
		}
		if v, err := text("schema"); err != nil {
			return err
		} else if v != schemaVersion {
			return fmt.Errorf("%s: schema %s, this build has %s", path, v, schemaVersion)
		}
		if v, err := text("owner"); err != nil {
			return err
		} else if v != owner {
			return fmt.Errorf("%s: the store of %s, not of %s", path, v, owner)
		}
		count, err := text("last")
		if err != nil {
			return err
		}
		last, err := strconv.ParseUint(count, 10, 64)
		if err != nil {
			return damaged("last")
		}
		kept.HardState, kept.Snapshot = &pb.HardState{}, &pb.Snapshot{}
		for key, m := range map[string]proto.Message{"hard": kept.HardState, "snapshot": kept.Snapshot} {
			v, err := text(key)
			if err != nil {
				return err
			}
			if err := proto.Unmarshal([]byte(v), m); err != nil {
				return damaged("%s: %v", key, err)
			}
		}
		kept.ConfState = kept.Snapshot.GetMetadata().GetConfState()
		c, steps := e.Cursor(), 0
		for k, v := c.First(); k != nil; k, v = c.Next() {
			if steps++; steps > 10_000_000 { // pages that point at each other
				return damaged("pages in a ring")
			}
			data, err := boltfile.DecodeValue(v)
			if err != nil {
				return damaged("entry %x", k)
			}
			entry := &pb.Entry{}
			if err := proto.Unmarshal([]byte(data), entry); err != nil {
				return damaged("entry %x: %v", k, err)
			}
			n := len(kept.Entries)
			if entryKey(entry.GetIndex()) != string(k) || n > 0 && entry.GetIndex() != kept.Entries[n-1].GetIndex()+1 {
				return damaged("entry %d out of place", entry.GetIndex())
			}
			kept.Entries = append(kept.Entries, entry)
		}
		first := kept.Snapshot.GetMetadata().GetIndex()
		switch n := len(kept.Entries); {
		case n == 0 && last != 0, n > 0 && kept.Entries[n-1].GetIndex() != last:
			return damaged("entries end before %d", last)
		case n > 0 && kept.Entries[0].GetIndex() > first+1:
			return damaged("entries begin at %d, the snapshot ends at %d", kept.Entries[0].GetIndex(), first)
		case kept.HardState.GetCommit() > max(last, first):
			return damaged("%d are committed, %d there", kept.HardState.GetCommit(), max(last, first))
		}
		return nil
	})
	if err != nil {
		return nil, err
	}
	return kept, nil
}
