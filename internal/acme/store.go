package acme

import (
	"crypto"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"encoding/hex"
	"encoding/json"
	"encoding/pem"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"github.com/google/renameio/v2"
	"golang.org/x/sys/unix"

	"pearknot/internal/certs"
)

// store is a directory: accounts' keys, and for each name what is served, and the key of the order that is open. Each file
// is written whole or not at all, and one process has the directory.
type store struct {
	dir  string
	lock *os.File
}

// Holder tells which process has a store; 0 is unknown.
func holder(dir string) (pid int) {
	if data, err := os.ReadFile(filepath.Join(dir, "lock")); err == nil {
		pid, _ = strconv.Atoi(strings.TrimSpace(string(data)))
	}
	return pid
}

// ErrBusy is a store that another process has.
var ErrBusy = errors.New("another process has it")

func openStore(dir string) (*store, error) {
	if err := os.MkdirAll(filepath.Join(dir, "names"), 0o700); err != nil {
		return nil, err
	}
	lock, err := os.OpenFile(filepath.Join(dir, "lock"), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	if err := unix.Flock(int(lock.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		_ = lock.Close()
		return nil, fmt.Errorf("%s: %w", dir, ErrBusy)
	}
	if err := errors.Join(lock.Truncate(0), writeAt(lock, strconv.Itoa(os.Getpid())), os.RemoveAll(filepath.Join(dir, "open"))); err != nil {
		_ = lock.Close() // answers to challenges that a killed one left are of no order any more
		return nil, err
	}
	return &store{dir, lock}, nil
}

func writeAt(f *os.File, text string) error {
	_, err := f.WriteAt([]byte(text), 0)
	return err
}

// putToken and putProof put the answer to a challenge where instances beside this one find it.
func (s *store) putToken(path, text string) (away func(), err error) {
	return putOpen(openFile(s.dir, "token", path), []byte(text))
}

func (s *store) putProof(name string, c *tls.Certificate) (away func(), err error) {
	data, err := x509.MarshalPKCS8PrivateKey(c.PrivateKey)
	if err != nil {
		return nil, err
	}
	return putOpen(openFile(s.dir, "proof", name), append(pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: c.Certificate[0]}),
		pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: data})...))
}

func putOpen(name string, data []byte) (away func(), err error) {
	return func() { _ = os.Remove(name) }, write(name, data)
}

// openFile is where such an answer lies: what a client asks for is hashed, and so names no other file.
func openFile(dir, kind, what string) string {
	sum := sha256.Sum256([]byte(what))
	return filepath.Join(dir, "open", kind+"-"+hex.EncodeToString(sum[:16]))
}

func (s *store) close() error { return s.lock.Close() }

func (s *store) at(name, file string) string {
	return filepath.Join(s.dir, "names", strings.ReplaceAll(name, "/", "_"), file)
}

func write(name string, data []byte) error {
	if err := os.MkdirAll(filepath.Dir(name), 0o700); err != nil {
		return err
	}
	return renameio.WriteFile(name, data, 0o600)
}

const (
	stateFile  = "state.json"
	servedFile = "served.pem"
)

// state reads what the core kept; none is an empty one. One that can't be read is set aside: the certificates themselves
// stand in files of their own.
func (s *store) state() (state certs.State, damaged error, err error) {
	name := filepath.Join(s.dir, stateFile)
	data, err := os.ReadFile(name)
	if errors.Is(err, fs.ErrNotExist) {
		return state, nil, nil
	}
	if err != nil {
		return state, nil, err
	}
	if damaged = json.Unmarshal(data, &state); damaged != nil {
		return certs.State{}, fmt.Errorf("%s: %w", name, damaged), os.Rename(name, name+".damaged")
	}
	return state, nil, nil
}

// peek reads it as it is, and changes nothing.
func (s *store) peek() (state certs.State, err error) {
	data, err := os.ReadFile(filepath.Join(s.dir, stateFile))
	if err == nil {
		err = json.Unmarshal(data, &state)
	}
	return state, err
}

func (s *store) save(state certs.State) error {
	data, err := json.MarshalIndent(state, "", " ")
	if err != nil {
		return err
	}
	return write(filepath.Join(s.dir, stateFile), data)
}

// key reads a key, or makes one and keeps it first.
func (s *store) key(file string) (*ecdsa.PrivateKey, error) {
	data, err := os.ReadFile(file)
	if errors.Is(err, fs.ErrNotExist) {
		k, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
		if err != nil {
			return nil, err
		}
		return k, s.putKey(file, k)
	}
	if err != nil {
		return nil, err
	}
	block, _ := pem.Decode(data)
	if block == nil {
		return nil, fmt.Errorf("%s: no key", file)
	}
	k, err := x509.ParseECPrivateKey(block.Bytes)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	return k, nil
}

func (s *store) has(file string) bool {
	_, err := os.Stat(file)
	return err == nil
}

func (s *store) putKey(file string, k *ecdsa.PrivateKey) error {
	der, err := x509.MarshalECPrivateKey(k)
	if err != nil {
		return err
	}
	return write(file, pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: der}))
}

func (s *store) accountKey(authority int) string {
	return filepath.Join(s.dir, fmt.Sprintf("account-%d.key", authority))
}

func (s *store) orderKey(name string) string { return s.at(name, "order.key") }

// served reads what is served under a name; nil is nothing yet.
func (s *store) served(name string) (*tls.Certificate, error) {
	data, err := os.ReadFile(s.at(name, servedFile))
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	c, err := tls.X509KeyPair(data, data)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", s.at(name, servedFile), err)
	}
	return &c, nil
}

// serve puts a certificate and its key, in one file: there is no moment at which they don't fit.
func (s *store) serve(name string, chain [][]byte, key crypto.Signer) error {
	k, ok := key.(*ecdsa.PrivateKey)
	if !ok {
		return fmt.Errorf("a key of kind %T", key)
	}
	der, err := x509.MarshalECPrivateKey(k)
	if err != nil {
		return err
	}
	var data []byte
	for _, c := range chain {
		data = append(data, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: c})...)
	}
	if err := write(s.at(name, servedFile), append(data, pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: der})...)); err != nil {
		return err
	}
	// The next order makes a key of its own.
	if err := os.Remove(s.orderKey(name)); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	return nil
}
