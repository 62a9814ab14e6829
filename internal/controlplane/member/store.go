package member

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"strconv"
	"time"

	"go.etcd.io/bbolt"
	pb "go.etcd.io/raft/v3/raftpb"
	"golang.org/x/sys/unix"
	"google.golang.org/protobuf/proto"

	"pearknot/internal/boltfile"
	"pearknot/internal/controlplane"
)

// schemaVersion is the version of the store's schema. A store of another version is rejected.
const schemaVersion = "1"

// openTimeout bounds the wait for bbolt's lock on a file.
const openTimeout = time.Second

// The buckets and keys of the store. The names are stored on disk and must not change.
var (
	voterBucket   = []byte("voter")
	entriesBucket = []byte("entries") // keys: see entryKey
)

const (
	schemaKey    = "schema"
	ownerKey     = "owner"
	hardStateKey = "hard"
	snapshotKey  = "snapshot"
	lastIndexKey = "last"
)

// voterStore is a voter's durable state. It has one writer. Every value has a checksum, and the index of the last entry is stored too,
// so that a missing entry at the end is detected.
type voterStore struct {
	db        *bbolt.DB
	lock      *os.File
	lastIndex uint64 // of the last entry; 0 is none
}

// openVoterStore opens a voter's store, or creates it with the initial state if one is given. A voter that has lost its votes must not
// vote again, because it may have voted differently: missing or damaged data is an error, and no file is set aside.
func openVoterStore(path, owner string, initial *controlplane.StoredState) (s *voterStore, state *controlplane.StoredState, err error) {
	lock, err := lockStore(path)
	if err != nil {
		return nil, nil, err
	}
	defer func() {
		if err != nil {
			_ = lock.Close()
		}
	}()
	state, err = readVoterStore(path, owner)
	switch {
	case errors.Is(err, fs.ErrNotExist) && initial == nil:
		return nil, nil, fmt.Errorf("%s: store does not exist: use --bootstrap for a voter's first start; a voter that has lost its store must not vote", path)
	case errors.Is(err, fs.ErrNotExist):
		state = initial
	case err != nil:
		return nil, nil, err
	case initial != nil:
		return nil, nil, fmt.Errorf("%s: store already exists: --bootstrap is only for a voter's first start", path)
	}
	s, err = rewriteStore(path, owner, state, lock)
	if err != nil {
		return nil, nil, err
	}
	return s, state, nil
}

func lockStore(path string) (*os.File, error) {
	lock, err := os.OpenFile(path+".lock", os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	if err := unix.Flock(int(lock.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		_ = lock.Close()
		return nil, fmt.Errorf("%s: locked by another process", path)
	}
	return lock, nil
}

// rewriteStore writes the state that was read to a new file, which replaces the earlier one. This removes damage in parts of the file
// that were not read, which would otherwise surface at a later write.
func rewriteStore(path, owner string, state *controlplane.StoredState, lock *os.File) (*voterStore, error) {
	fresh := path + ".new"
	if err := os.Remove(fresh); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return nil, err
	}
	db, err := bbolt.Open(fresh, 0o600, &bbolt.Options{Timeout: openTimeout})
	if err != nil {
		return nil, err
	}
	s := &voterStore{db: db, lock: lock}
	if err := errors.Join(s.initialize(owner, state), os.Rename(fresh, path), syncDirectory(filepath.Dir(path))); err != nil {
		_ = db.Close()
		return nil, err
	}
	return s, nil
}

// syncDirectory makes a rename in the directory durable.
func syncDirectory(name string) error {
	directory, err := os.Open(name)
	if err != nil {
		return err
	}
	return errors.Join(directory.Sync(), directory.Close())
}

func (s *voterStore) close() error { return errors.Join(s.db.Close(), s.lock.Close()) }

func (s *voterStore) initialize(owner string, state *controlplane.StoredState) error {
	return s.db.Update(func(tx *bbolt.Tx) error {
		voter, err := tx.CreateBucket(voterBucket)
		if err != nil {
			return err
		}
		if _, err := tx.CreateBucket(entriesBucket); err != nil {
			return err
		}
		err = errors.Join(
			voter.Put([]byte(schemaKey), boltfile.EncodeValue(schemaVersion)),
			voter.Put([]byte(ownerKey), boltfile.EncodeValue(owner)),
			s.putState(tx, state.HardState, state.Snapshot, state.Entries))
		if err != nil {
			return err
		}
		return s.putLastIndex(voter)
	})
}

// persist stores a voter's write atomically and durably.
func (s *voterStore) persist(p *controlplane.Persist) error {
	return s.db.Update(func(tx *bbolt.Tx) error {
		if err := s.deleteReplaced(tx.Bucket(entriesBucket), p); err != nil {
			return err
		}
		if err := s.putState(tx, p.HardState, p.Snapshot, p.Entries); err != nil {
			return err
		}
		return s.putLastIndex(tx.Bucket(voterBucket))
	})
}

// deleteReplaced deletes the entries that a write's snapshot or entries replace.
func (s *voterStore) deleteReplaced(entries *bbolt.Bucket, p *controlplane.Persist) error {
	lastIndex := s.lastIndex
	if p.Snapshot != nil {
		end := p.Snapshot.GetMetadata().GetIndex()
		if p.Restored {
			end = lastIndex
		}
		if err := deleteEntries(entries, 0, end); err != nil {
			return err
		}
		if end >= lastIndex {
			s.lastIndex = 0
		}
	}
	if len(p.Entries) == 0 {
		return nil
	}
	return deleteEntries(entries, p.Entries[0].GetIndex(), lastIndex)
}

// deleteEntries deletes the entries from first to last, inclusive.
func deleteEntries(entries *bbolt.Bucket, first, last uint64) error {
	cursor := entries.Cursor()
	seek := func() []byte {
		key, _ := cursor.Seek([]byte(entryKey(first)))
		return key
	}
	for key := seek(); key != nil && string(key) <= entryKey(last); key = seek() { // a deletion moves the cursor
		if err := entries.Delete(key); err != nil {
			return err
		}
	}
	return nil
}

// raftMessage is a raft message that is stored.
type raftMessage interface {
	*pb.HardState | *pb.Snapshot | *pb.Entry
	proto.Message
}

// putMessage stores a message, unless it is nil.
func putMessage[M raftMessage](bucket *bbolt.Bucket, key string, message M) error {
	if message == nil {
		return nil
	}
	data, err := proto.Marshal(message)
	if err != nil {
		return err
	}
	return bucket.Put([]byte(key), boltfile.EncodeValue(string(data)))
}

// entryKey returns the key of an entry: its index, big-endian, so that entries are ordered by index.
func entryKey(index uint64) string { return string(binary.BigEndian.AppendUint64(nil, index)) }

func (s *voterStore) putState(tx *bbolt.Tx, hard *pb.HardState, snapshot *pb.Snapshot, entries []*pb.Entry) error {
	voter, entryBucket := tx.Bucket(voterBucket), tx.Bucket(entriesBucket)
	if err := errors.Join(putMessage(voter, hardStateKey, hard), putMessage(voter, snapshotKey, snapshot)); err != nil {
		return err
	}
	for _, entry := range entries {
		if err := putMessage(entryBucket, entryKey(entry.GetIndex()), entry); err != nil {
			return err
		}
		s.lastIndex = entry.GetIndex()
	}
	return nil
}

func (s *voterStore) putLastIndex(voter *bbolt.Bucket) error {
	return voter.Put([]byte(lastIndexKey), boltfile.EncodeValue(strconv.FormatUint(s.lastIndex, 10)))
}
