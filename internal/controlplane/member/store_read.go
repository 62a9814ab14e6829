package member

import (
	"errors"
	"fmt"
	"os"
	"runtime/debug"
	"strconv"

	"go.etcd.io/bbolt"
	berrors "go.etcd.io/bbolt/errors"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"pearknot/internal/boltfile"
	"pearknot/internal/controlplane"
)

// maxEntriesRead bounds the read of a damaged file whose page references form a cycle.
const maxEntriesRead = 10_000_000

// readVoterStore reads a store completely and verifies all values by their checksums. The error wraps boltfile.ErrDamaged for damaged
// data, and fs.ErrNotExist for a missing file.
func readVoterStore(path, owner string) (state *controlplane.StoredState, err error) {
	if _, err := os.Stat(path); err != nil {
		return nil, err
	}
	if err := boltfile.CheckMetaPages(path); err != nil {
		return nil, err
	}
	r := &storeReader{path: path}
	// bbolt maps the file into memory. A truncated file is mapped beyond its end, and flipped bytes may direct the reader to any address:
	// a memory fault is turned into a panic, and any panic into an error.
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if fault := recover(); fault != nil {
			state, err = nil, r.damagedErrorf("%v", fault)
		}
	}()
	db, err := r.open()
	if err != nil {
		return nil, err
	}
	defer func() { _ = db.Close() }() // nothing was written
	if err := db.View(func(tx *bbolt.Tx) error { return r.read(tx, owner) }); err != nil {
		return nil, err
	}
	return &r.state, nil
}

// storeReader reads a voter's store.
type storeReader struct {
	path  string
	state controlplane.StoredState
}

func (r *storeReader) damagedErrorf(format string, args ...any) error {
	return fmt.Errorf("%s: %w: %s", r.path, boltfile.ErrDamaged, fmt.Sprintf(format, args...))
}

func (r *storeReader) open() (*bbolt.DB, error) {
	db, err := bbolt.Open(r.path, 0o600, &bbolt.Options{ReadOnly: true, Timeout: openTimeout})
	switch {
	case errors.Is(err, berrors.ErrTimeout):
		return nil, fmt.Errorf("%s: locked by another process", r.path)
	case errors.Is(err, os.ErrPermission):
		return nil, err
	case err != nil:
		return nil, r.damagedErrorf("%v", err)
	}
	return db, nil
}

func (r *storeReader) read(tx *bbolt.Tx, owner string) error {
	voter, entries := tx.Bucket(voterBucket), tx.Bucket(entriesBucket)
	if voter == nil || entries == nil {
		return r.damagedErrorf("buckets are missing")
	}
	if err := r.checkIdentity(voter, owner); err != nil {
		return err
	}
	lastIndexText, err := r.readValue(voter, lastIndexKey)
	if err != nil {
		return err
	}
	lastIndex, err := strconv.ParseUint(lastIndexText, 10, 64)
	if err != nil {
		return r.damagedErrorf("last")
	}
	r.state.HardState, r.state.Snapshot = &pb.HardState{}, &pb.Snapshot{}
	if err := r.readMessage(voter, hardStateKey, r.state.HardState); err != nil {
		return err
	}
	if err := r.readMessage(voter, snapshotKey, r.state.Snapshot); err != nil {
		return err
	}
	r.state.ConfState = r.state.Snapshot.GetMetadata().GetConfState()
	if err := r.readEntries(entries); err != nil {
		return err
	}
	return r.checkComplete(lastIndex)
}

// readValue returns a value after verifying its checksum.
func (r *storeReader) readValue(bucket *bbolt.Bucket, key string) (string, error) {
	v, err := boltfile.DecodeValue(bucket.Get([]byte(key)))
	if err != nil {
		return "", r.damagedErrorf("%s", key)
	}
	return v, nil
}

// checkIdentity returns an error if the store has another schema version or belongs to another voter.
func (r *storeReader) checkIdentity(voter *bbolt.Bucket, owner string) error {
	schema, err := r.readValue(voter, schemaKey)
	if err != nil {
		return err
	}
	if schema != schemaVersion {
		return fmt.Errorf("%s: schema version %s is not supported, this build supports version %s", r.path, schema, schemaVersion)
	}
	storedOwner, err := r.readValue(voter, ownerKey)
	if err != nil {
		return err
	}
	if storedOwner != owner {
		return fmt.Errorf("%s: store belongs to %s, not to %s", r.path, storedOwner, owner)
	}
	return nil
}

func (r *storeReader) readMessage(bucket *bbolt.Bucket, key string, message proto.Message) error {
	data, err := r.readValue(bucket, key)
	if err != nil {
		return err
	}
	if err := proto.Unmarshal([]byte(data), message); err != nil {
		return r.damagedErrorf("%s: %v", key, err)
	}
	return nil
}

// readEntries reads the entries, whose indexes must be contiguous.
func (r *storeReader) readEntries(bucket *bbolt.Bucket) error {
	cursor, count := bucket.Cursor(), 0
	for key, value := cursor.First(); key != nil; key, value = cursor.Next() {
		if count++; count > maxEntriesRead {
			return r.damagedErrorf("page references form a cycle")
		}
		data, err := boltfile.DecodeValue(value)
		if err != nil {
			return r.damagedErrorf("entry %x", key)
		}
		entry := &pb.Entry{}
		if err := proto.Unmarshal([]byte(data), entry); err != nil {
			return r.damagedErrorf("entry %x: %v", key, err)
		}
		if entryKey(entry.GetIndex()) != string(key) || !r.followsLastEntry(entry) {
			return r.damagedErrorf("entry %d is out of sequence", entry.GetIndex())
		}
		r.state.Entries = append(r.state.Entries, entry)
	}
	return nil
}

func (r *storeReader) followsLastEntry(entry *pb.Entry) bool {
	n := len(r.state.Entries)
	return n == 0 || entry.GetIndex() == r.state.Entries[n-1].GetIndex()+1
}

// checkComplete returns an error if entries are missing at the end, between the snapshot and the first entry, or up to the commit
// index.
func (r *storeReader) checkComplete(lastIndex uint64) error {
	entries := r.state.Entries
	snapshotIndex := r.state.Snapshot.GetMetadata().GetIndex()
	switch n := len(entries); {
	case n == 0 && lastIndex != 0, n > 0 && entries[n-1].GetIndex() != lastIndex:
		return r.damagedErrorf("entries end before index %d", lastIndex)
	case n > 0 && entries[0].GetIndex() > snapshotIndex+1:
		return r.damagedErrorf("entries begin at index %d, but the snapshot ends at index %d", entries[0].GetIndex(), snapshotIndex)
	case r.state.HardState.GetCommit() > max(lastIndex, snapshotIndex):
		return r.damagedErrorf("commit index is %d, but the last stored index is %d", r.state.HardState.GetCommit(), max(lastIndex, snapshotIndex))
	}
	return nil
}
