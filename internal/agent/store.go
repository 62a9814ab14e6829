package agent

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"log/slog"
	"os"
	"path/filepath"
	"runtime/debug"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/renameio/v2"
	"go.etcd.io/bbolt"
	berrors "go.etcd.io/bbolt/errors"

	"pearknot/internal/boltfile"
	"pearknot/internal/fleet"
)

// schemaVersion is the version of the stored format; any other version is refused.
const schemaVersion = 1

const (
	stateFile    = "state.db"
	snapshotFile = "state.snapshot"
)

var bucketName = []byte("state")

// store holds the agent's durable state; it has one writer. Every value has a checksum, and one key holds the
// checksum of all, so that truncated or altered data is found when it is read.
type store struct {
	dir           string
	db            *bbolt.DB
	onDisk        map[string]string // keys and values as stored
	snapshotStale bool              // the database has changes that the snapshot file lacks
	log           *slog.Logger
}

var errDamaged = boltfile.ErrDamaged

// errLocked means that another agent has the state open.
var errLocked = errors.New("locked by another process")

// errSchema means that another version of the agent wrote the state. The file is left as it is.
var errSchema = errors.New("unsupported schema")

// openStore opens the state of a directory. A corrupt file is moved aside and replaced by the latest snapshot;
// recovered reports that, and that what is observed to run takes precedence over what was read.
func openStore(dir string, log *slog.Logger) (opened *store, state fleet.State, recovered bool, err error) {
	opened = &store{dir: dir, onDisk: map[string]string{}, log: log}
	path := filepath.Join(dir, stateFile)
	stored, err := readState(path)
	switch {
	case errors.Is(err, fs.ErrNotExist):
		stored = nil
		if _, statErr := os.Stat(filepath.Join(dir, snapshotFile)); statErr == nil {
			// The state is missing although it was there when the snapshot was written.
			recovered = true
		}
	case errors.Is(err, errSchema), errors.Is(err, errLocked), errors.Is(err, os.ErrPermission):
		return nil, state, false, err
	case err != nil:
		damagedPath := fmt.Sprintf("%s.damaged-%d", path, time.Now().UnixNano())
		log.Error("state file corrupt, moved aside", "error", err, "as", damagedPath)
		if err := os.Rename(path, damagedPath); err != nil {
			return nil, state, false, err
		}
		stored, recovered = nil, true
	}
	if recovered {
		if stored, err = readSnapshot(filepath.Join(dir, snapshotFile)); err != nil {
			log.Error("state snapshot unreadable, rebuilding state from running instances", "error", err)
			stored = nil
		}
	}
	if state, err = decode(stored); err != nil { // the checksums match, so this needs an operator
		return nil, state, false, fmt.Errorf("%s: %w", path, err)
	}
	// The content is written to a new file, so that damage in pages that were not read is not carried over.
	if err := opened.createDatabase(path, stored); err != nil {
		return nil, state, false, err
	}
	return opened, state, recovered, nil
}

func (s *store) createDatabase(path string, stored map[string]string) error {
	newPath := path + ".new"
	if err := os.Remove(newPath); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	db, err := bbolt.Open(newPath, 0o600, &bbolt.Options{Timeout: time.Second})
	if err != nil {
		return err
	}
	s.db = db
	if err := s.write(stored, nil); err != nil {
		_ = db.Close()
		return err
	}
	return os.Rename(newPath, path)
}

func (s *store) close() error { return s.db.Close() }

// save writes what has changed, in one transaction that is durable when save returns.
func (s *store) save(state fleet.State) error {
	encoded, err := encode(state)
	if err != nil {
		return err
	}
	var removed []string
	changed := map[string]string{}
	for key, value := range encoded {
		if s.onDisk[key] != value {
			changed[key] = value
		}
	}
	for key := range s.onDisk {
		if _, exists := encoded[key]; !exists {
			removed = append(removed, key)
		}
	}
	if len(changed) == 0 && len(removed) == 0 {
		return nil
	}
	return s.write(changed, removed)
}

func (s *store) write(changed map[string]string, removed []string) error {
	next := make(map[string]string, len(s.onDisk)+len(changed))
	for key, value := range s.onDisk {
		next[key] = value
	}
	for key, value := range changed {
		next[key] = value
	}
	for _, key := range removed {
		delete(next, key)
	}
	err := s.db.Update(func(tx *bbolt.Tx) error {
		stateBucket, err := tx.CreateBucketIfNotExists(bucketName)
		if err != nil {
			return err
		}
		for _, key := range removed {
			if err := stateBucket.Delete([]byte(key)); err != nil {
				return err
			}
		}
		for key, value := range changed {
			if err := stateBucket.Put([]byte(key), boltfile.EncodeValue(value)); err != nil {
				return err
			}
		}
		return stateBucket.Put([]byte("sum"), checksumOfAll(next))
	})
	if err == nil {
		s.onDisk, s.snapshotStale = next, true
	}
	return err
}

// snapshot writes the whole state to the snapshot file.
func (s *store) snapshot() error {
	data, err := json.Marshal(s.onDisk)
	if err != nil {
		return err
	}
	value := boltfile.EncodeValue(string(data))
	if err := renameio.WriteFile(filepath.Join(s.dir, snapshotFile), value, 0o600); err != nil {
		return err
	}
	s.snapshotStale = false
	return nil
}

// checksumOfAll returns a checksum over all keys and values that does not depend on their order.
func checksumOfAll(all map[string]string) []byte {
	sum := uint64(len(all))
	for key, value := range all {
		sum += xxhash.Sum64String(key + "\x00" + value)
	}
	return binary.BigEndian.AppendUint64(nil, sum)
}

// readState reads a state file and verifies every checksum.
func readState(path string) (stored map[string]string, err error) {
	if _, err := os.Stat(path); err != nil {
		return nil, err
	}
	if err := boltfile.CheckMetaPages(path); err != nil {
		return nil, err
	}
	// bbolt maps the file: one that was truncated is mapped beyond its end, and altered pages may point anywhere.
	// Either causes a memory fault or a panic in bbolt.
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if fault := recover(); fault != nil {
			stored, err = nil, fmt.Errorf("%s: %w: %v", path, errDamaged, fault)
		}
	}()
	db, err := bbolt.Open(path, 0o600, &bbolt.Options{ReadOnly: true, Timeout: time.Second})
	if err != nil {
		switch {
		case errors.Is(err, berrors.ErrTimeout):
			return nil, fmt.Errorf("%s: %w", path, errLocked)
		case errors.Is(err, os.ErrPermission):
			return nil, err
		}
		return nil, fmt.Errorf("%s: %w: %w", path, errDamaged, err)
	}
	defer func() { _ = db.Close() }()
	stored = map[string]string{}
	var sum []byte
	keyCount := 0
	err = db.View(func(tx *bbolt.Tx) error {
		stateBucket := tx.Bucket(bucketName)
		if stateBucket == nil {
			return errDamaged
		}
		return stateBucket.ForEach(func(key, encoded []byte) error {
			if keyCount++; keyCount > 1_000_000 { // altered pages that form a cycle
				return errDamaged
			}
			if string(key) == "sum" {
				sum = append([]byte{}, encoded...)
				return nil
			}
			value, err := boltfile.DecodeValue(encoded)
			stored[string(key)] = value
			return err
		})
	})
	if err == nil && string(sum) != string(checksumOfAll(stored)) {
		err = errDamaged
	}
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return stored, checkSchema(stored, path)
}

func checkSchema(stored map[string]string, path string) error {
	if version := stored["schema"]; version != "" && version != fmt.Sprint(schemaVersion) {
		return fmt.Errorf("%s: %w: version %s, this agent supports %d", path, errSchema, version, schemaVersion)
	}
	return nil
}

func readSnapshot(path string) (map[string]string, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	text, err := boltfile.DecodeValue(data)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	stored := map[string]string{}
	if err := json.Unmarshal([]byte(text), &stored); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return stored, checkSchema(stored, path)
}

// encode maps a state to keys and values, one for each record, so that a step writes its record alone.
func encode(state fleet.State) (map[string]string, error) {
	all := map[string]string{"schema": fmt.Sprint(schemaVersion), "revision": fmt.Sprint(state.Revision)}
	put := func(key string, value any) error {
		data, err := json.Marshal(value)
		all[key] = string(data)
		return err
	}
	for _, generation := range state.Generations {
		if err := put(fmt.Sprintf("generation/%020d", generation.Number), generation); err != nil {
			return nil, err
		}
	}
	for _, change := range state.Changes {
		if err := put(fmt.Sprintf("change/%020d", change.ID), change); err != nil {
			return nil, err
		}
	}
	for _, record := range state.Records {
		if err := put("record/"+record.Name, record); err != nil {
			return nil, err
		}
	}
	return all, nil
}

func decode(all map[string]string) (state fleet.State, err error) {
	keys := make([]string, 0, len(all))
	for key := range all {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	state.Records = map[string]fleet.Record{}
	for _, key := range keys {
		kind, _, _ := strings.Cut(key, "/")
		data := []byte(all[key])
		switch kind {
		case "revision":
			err = json.Unmarshal(data, &state.Revision)
		case "generation":
			var generation fleet.Generation
			err = json.Unmarshal(data, &generation)
			state.Generations = append(state.Generations, generation)
		case "change":
			var change fleet.Change
			err = json.Unmarshal(data, &change)
			state.Changes = append(state.Changes, change)
		case "record":
			var record fleet.Record
			err = json.Unmarshal(data, &record)
			state.Records[record.Name] = record
		}
		if err != nil {
			return state, fmt.Errorf("%s: %w", key, err)
		}
	}
	return state, nil
}
