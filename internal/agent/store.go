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

// schema is the version of the stored form; another one is refused.
const schema = 1

const (
	stateFile    = "state.db"
	snapshotFile = "state.snapshot"
)

var bucket = []byte("state")

// store is the agent's durable state, with one writer. Every value has a checksum, and one key holds the checksum of all, so
// that truncated or altered data is found when it is read.
type store struct {
	dir               string
	db                *bbolt.DB
	onDisk            map[string]string // keys and values as stored
	newerThanSnapshot bool              // the database has what the snapshot file has not
	log               *slog.Logger
}

var errDamaged = boltfile.ErrDamaged

// errLocked means that another agent has the state open.
var errLocked = errors.New("another agent has it")

// errSchema means that another version of the agent wrote the state. The file is left as it is.
var errSchema = errors.New("another schema")

// openStore opens the state of a directory. A corrupt file is moved aside and replaced by the latest snapshot; recovered
// reports that, and that what is observed to run takes precedence over what was read.
func openStore(dir string, log *slog.Logger) (s *store, state fleet.State, recovered bool, err error) {
	s = &store{dir: dir, onDisk: map[string]string{}, log: log}
	path := filepath.Join(dir, stateFile)
	kept, err := readState(path)
	switch {
	case errors.Is(err, fs.ErrNotExist):
		kept = nil
		if _, e := os.Stat(filepath.Join(dir, snapshotFile)); e == nil { // the state is missing, but not its snapshot
			recovered = true
		}
	case errors.Is(err, errSchema), errors.Is(err, errLocked), errors.Is(err, os.ErrPermission):
		return nil, state, false, err
	case err != nil:
		aside := fmt.Sprintf("%s.damaged-%d", path, time.Now().UnixNano())
		log.Error("state file corrupt, moved aside", "error", err, "as", aside)
		if err := os.Rename(path, aside); err != nil {
			return nil, state, false, err
		}
		kept, recovered = nil, true
	}
	if recovered {
		if kept, err = readSnapshot(filepath.Join(dir, snapshotFile)); err != nil {
			log.Error("state snapshot unreadable, rebuilding state from running instances", "error", err)
			kept = nil
		}
	}
	if state, err = decode(kept); err != nil { // its checksums are right, so an operator has to look
		return nil, state, false, fmt.Errorf("%s: %w", path, err)
	}
	// The content is written to a new file, so that damage in a place that reading does not touch ends here.
	if err := s.createDatabase(path, kept); err != nil {
		return nil, state, false, err
	}
	return s, state, recovered, nil
}

func (s *store) createDatabase(path string, kept map[string]string) error {
	fresh := path + ".new"
	if err := os.Remove(fresh); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	db, err := bbolt.Open(fresh, 0o600, &bbolt.Options{Timeout: time.Second})
	if err != nil {
		return err
	}
	s.db = db
	if err := s.write(kept, nil); err != nil {
		_ = db.Close()
		return err
	}
	return os.Rename(fresh, path)
}

func (s *store) close() error { return s.db.Close() }

// save writes what has changed, in one transaction that is durable when save returns.
func (s *store) save(state fleet.State) error {
	now, err := encode(state)
	if err != nil {
		return err
	}
	var gone []string
	changed := map[string]string{}
	for key, value := range now {
		if s.onDisk[key] != value {
			changed[key] = value
		}
	}
	for key := range s.onDisk {
		if _, there := now[key]; !there {
			gone = append(gone, key)
		}
	}
	if len(changed) == 0 && len(gone) == 0 {
		return nil
	}
	return s.write(changed, gone)
}

func (s *store) write(changed map[string]string, gone []string) error {
	next := make(map[string]string, len(s.onDisk)+len(changed))
	for k, v := range s.onDisk {
		next[k] = v
	}
	for k, v := range changed {
		next[k] = v
	}
	for _, k := range gone {
		delete(next, k)
	}
	err := s.db.Update(func(tx *bbolt.Tx) error {
		b, err := tx.CreateBucketIfNotExists(bucket)
		if err != nil {
			return err
		}
		for _, k := range gone {
			if err := b.Delete([]byte(k)); err != nil {
				return err
			}
		}
		for k, v := range changed {
			if err := b.Put([]byte(k), boltfile.EncodeValue(v)); err != nil {
				return err
			}
		}
		return b.Put([]byte("sum"), checksumOfAll(next))
	})
	if err == nil {
		s.onDisk, s.newerThanSnapshot = next, true
	}
	return err
}

// snapshot writes the whole state to the snapshot file.
func (s *store) snapshot() error {
	data, err := json.Marshal(s.onDisk)
	if err != nil {
		return err
	}
	if err := renameio.WriteFile(filepath.Join(s.dir, snapshotFile), boltfile.EncodeValue(string(data)), 0o600); err != nil {
		return err
	}
	s.newerThanSnapshot = false
	return nil
}

// checksumOfAll returns a checksum over all keys and values that does not depend on their order.
func checksumOfAll(all map[string]string) []byte {
	sum := uint64(len(all))
	for k, v := range all {
		sum += xxhash.Sum64String(k + "\x00" + v)
	}
	return binary.BigEndian.AppendUint64(nil, sum)
}

// readState reads a state file and verifies every checksum.
func readState(path string) (kept map[string]string, err error) {
	if _, err := os.Stat(path); err != nil {
		return nil, err
	}
	if err := boltfile.CheckMetaPages(path); err != nil {
		return nil, err
	}
	// bbolt maps the file: one that was truncated is mapped beyond its end, and altered pages may point anywhere. Either shows as a
	// fault of the memory or a panic in bbolt.
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if fault := recover(); fault != nil {
			kept, err = nil, fmt.Errorf("%s: %w: %v", path, errDamaged, fault)
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
	kept = map[string]string{}
	var sum []byte
	steps := 0
	err = db.View(func(tx *bbolt.Tx) error {
		b := tx.Bucket(bucket)
		if b == nil {
			return errDamaged
		}
		return b.ForEach(func(k, v []byte) error {
			if steps++; steps > 1_000_000 { // altered pages that form a cycle
				return errDamaged
			}
			if string(k) == "sum" {
				sum = append([]byte{}, v...)
				return nil
			}
			value, err := boltfile.DecodeValue(v)
			kept[string(k)] = value
			return err
		})
	})
	if err == nil && string(sum) != string(checksumOfAll(kept)) {
		err = errDamaged
	}
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return kept, checkSchema(kept, path)
}

func checkSchema(kept map[string]string, path string) error {
	if v := kept["schema"]; v != "" && v != fmt.Sprint(schema) {
		return fmt.Errorf("%s: %w: version %s, this agent has %d", path, errSchema, v, schema)
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
	kept := map[string]string{}
	if err := json.Unmarshal([]byte(text), &kept); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return kept, checkSchema(kept, path)
}

// encode maps a state to keys and values, one for each record, so that a step writes its record alone.
func encode(s fleet.State) (map[string]string, error) {
	all := map[string]string{"schema": fmt.Sprint(schema), "revision": fmt.Sprint(s.Revision)}
	put := func(key string, v any) error {
		data, err := json.Marshal(v)
		all[key] = string(data)
		return err
	}
	for _, g := range s.Generations {
		if err := put(fmt.Sprintf("generation/%020d", g.Number), g); err != nil {
			return nil, err
		}
	}
	for _, c := range s.Changes {
		if err := put(fmt.Sprintf("change/%020d", c.ID), c); err != nil {
			return nil, err
		}
	}
	for _, r := range s.Records {
		if err := put("record/"+r.Name, r); err != nil {
			return nil, err
		}
	}
	return all, nil
}

func decode(all map[string]string) (s fleet.State, err error) {
	keys := make([]string, 0, len(all))
	for k := range all {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	s.Records = map[string]fleet.Record{}
	for _, k := range keys {
		kind, _, _ := strings.Cut(k, "/")
		data := []byte(all[k])
		switch kind {
		case "revision":
			err = json.Unmarshal(data, &s.Revision)
		case "generation":
			var g fleet.Generation
			err = json.Unmarshal(data, &g)
			s.Generations = append(s.Generations, g)
		case "change":
			var c fleet.Change
			err = json.Unmarshal(data, &c)
			s.Changes = append(s.Changes, c)
		case "record":
			var r fleet.Record
			err = json.Unmarshal(data, &r)
			s.Records[r.Name] = r
		}
		if err != nil {
			return s, fmt.Errorf("%s: %w", k, err)
		}
	}
	return s, nil
}
