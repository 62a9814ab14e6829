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

// The store's files. Each is written atomically.
const (
	lockFile        = "lock"       // contains its holder's process ID
	stateFile       = "state.json" // certs.State
	namesDir        = "names"      // a directory for each certificate, with certificateFile and orderKeyName
	certificateFile = "served.pem" // the served chain and its key
	orderKeyName    = "order.key"  // the open order's key
	answersDir      = "open"       // answers to challenges, for instances that do not order
)

// The PEM types of the store's blocks.
const (
	pemCertificate = "CERTIFICATE"
	pemECKey       = "EC PRIVATE KEY"
	pemPKCS8Key    = "PRIVATE KEY"
)

// The kinds of published answers.
const (
	answerKindHTTP = "token" // of http-01
	answerKindTLS  = "proof" // of tls-alpn-01
)

const (
	privateDir  = 0o700
	privateFile = 0o600
)

// ErrStoreLocked is returned when another process holds the store's lock.
var ErrStoreLocked = errors.New("locked by another process")

// store is a directory with the accounts' keys, the state and the certificates. One process holds its lock.
type store struct {
	dir  string
	lock *os.File // nil if the store is only read
}

// openStore locks the store. It returns ErrStoreLocked if another process holds the lock.
func openStore(dir string) (*store, error) {
	if err := os.MkdirAll(filepath.Join(dir, namesDir), privateDir); err != nil {
		return nil, err
	}
	lock, err := os.OpenFile(filepath.Join(dir, lockFile), os.O_CREATE|os.O_RDWR, privateFile)
	if err != nil {
		return nil, err
	}
	if err := unix.Flock(int(lock.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		_ = lock.Close()
		return nil, fmt.Errorf("%s: %w", dir, ErrStoreLocked)
	}
	// Answers that a killed process has left belong to no order any more.
	if err := errors.Join(writeHolder(lock), os.RemoveAll(filepath.Join(dir, answersDir))); err != nil {
		_ = lock.Close()
		return nil, err
	}
	return &store{dir, lock}, nil
}

// writeHolder writes this process's ID to the lock file.
func writeHolder(lock *os.File) error {
	truncateErr := lock.Truncate(0)
	_, writeErr := lock.WriteAt([]byte(strconv.Itoa(os.Getpid())), 0)
	return errors.Join(truncateErr, writeErr)
}

// lockHolder returns the ID of the process that holds a store's lock; 0 is unknown.
func lockHolder(dir string) (pid int) {
	if data, err := os.ReadFile(filepath.Join(dir, lockFile)); err == nil {
		pid, _ = strconv.Atoi(strings.TrimSpace(string(data)))
	}
	return pid
}

func (s *store) close() error { return s.lock.Close() }

// filePath returns the path of one of a certificate's files.
func (s *store) filePath(name, file string) string {
	return filepath.Join(s.dir, namesDir, strings.ReplaceAll(name, "/", "_"), file)
}

func (s *store) accountKeyFile(authority int) string {
	return filepath.Join(s.dir, fmt.Sprintf("account-%d.key", authority))
}

func (s *store) orderKeyFile(name string) string { return s.filePath(name, orderKeyName) }

func (s *store) exists(file string) bool {
	_, err := os.Stat(file)
	return err == nil
}

// writeFile writes a file atomically.
func writeFile(name string, data []byte) error {
	if err := os.MkdirAll(filepath.Dir(name), privateDir); err != nil {
		return err
	}
	return renameio.WriteFile(name, data, privateFile)
}

// publishHTTPAnswer publishes the answer to an http-01 challenge for the instances that do not order, until withdraw is
// called.
func (s *store) publishHTTPAnswer(path, answer string) (withdraw func(), err error) {
	return publishAnswer(answerFile(s.dir, answerKindHTTP, path), []byte(answer))
}

// publishTLSAnswer publishes the answer to a tls-alpn-01 challenge for the instances that do not order, until withdraw is
// called.
func (s *store) publishTLSAnswer(host string, proof *tls.Certificate) (withdraw func(), err error) {
	key, err := x509.MarshalPKCS8PrivateKey(proof.PrivateKey)
	if err != nil {
		return nil, err
	}
	data := pem.EncodeToMemory(&pem.Block{Type: pemCertificate, Bytes: proof.Certificate[0]})
	data = append(data, pem.EncodeToMemory(&pem.Block{Type: pemPKCS8Key, Bytes: key})...)
	return publishAnswer(answerFile(s.dir, answerKindTLS, host), data)
}

func publishAnswer(name string, data []byte) (withdraw func(), err error) {
	return func() { _ = os.Remove(name) }, writeFile(name, data)
}

// answerFile returns the path of a published answer. The challenge ID comes from a client and is hashed, so that it can't
// name any other file.
func answerFile(dir, kind, challengeID string) string {
	sum := sha256.Sum256([]byte(challengeID))
	return filepath.Join(dir, answersDir, kind+"-"+hex.EncodeToString(sum[:16]))
}

// loadState reads the scheduler's state, which is empty in a new store. A state that can't be decoded is renamed and
// reported as damaged: the certificates are in files of their own.
func (s *store) loadState() (state certs.State, damaged error, err error) {
	name := filepath.Join(s.dir, stateFile)
	data, err := os.ReadFile(name)
	if errors.Is(err, fs.ErrNotExist) {
		return state, nil, nil
	}
	if err != nil {
		return state, nil, err
	}
	if decodeErr := json.Unmarshal(data, &state); decodeErr != nil {
		return certs.State{}, fmt.Errorf("%s: %w", name, decodeErr), os.Rename(name, name+".damaged")
	}
	return state, nil, nil
}

// readState reads the scheduler's state without modifying the store.
func (s *store) readState() (certs.State, error) {
	var state certs.State
	data, err := os.ReadFile(filepath.Join(s.dir, stateFile))
	if err != nil {
		return state, err
	}
	err = json.Unmarshal(data, &state)
	return state, err
}

func (s *store) saveState(state certs.State) error {
	data, err := json.MarshalIndent(state, "", " ")
	if err != nil {
		return err
	}
	return writeFile(filepath.Join(s.dir, stateFile), data)
}

// loadOrCreateKey reads a key, or creates and stores it.
func (s *store) loadOrCreateKey(file string) (*ecdsa.PrivateKey, error) {
	data, err := os.ReadFile(file)
	if errors.Is(err, fs.ErrNotExist) {
		return s.createKey(file)
	}
	if err != nil {
		return nil, err
	}
	block, _ := pem.Decode(data)
	if block == nil {
		return nil, fmt.Errorf("%s: no PEM block", file)
	}
	key, err := x509.ParseECPrivateKey(block.Bytes)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	return key, nil
}

func (s *store) createKey(file string) (*ecdsa.PrivateKey, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	encoded, err := encodeKey(key)
	if err != nil {
		return nil, err
	}
	if err := writeFile(file, encoded); err != nil {
		return nil, err
	}
	return key, nil
}

func encodeKey(key *ecdsa.PrivateKey) ([]byte, error) {
	der, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return nil, err
	}
	return pem.EncodeToMemory(&pem.Block{Type: pemECKey, Bytes: der}), nil
}

// loadCertificate reads the certificate that is served under a name, and its key; it returns nil if there is none yet.
func (s *store) loadCertificate(name string) (*tls.Certificate, error) {
	file := s.filePath(name, certificateFile)
	data, err := os.ReadFile(file)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	certificate, err := tls.X509KeyPair(data, data)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	return &certificate, nil
}

// saveCertificate stores a certificate and its key in one file, so that the two match at any time. The order's key is
// removed: the next order gets a key of its own.
func (s *store) saveCertificate(name string, chain [][]byte, key crypto.Signer) error {
	ecKey, ok := key.(*ecdsa.PrivateKey)
	if !ok {
		return fmt.Errorf("unsupported key type %T", key)
	}
	encodedKey, err := encodeKey(ecKey)
	if err != nil {
		return err
	}
	var data []byte
	for _, der := range chain {
		data = append(data, pem.EncodeToMemory(&pem.Block{Type: pemCertificate, Bytes: der})...)
	}
	if err := writeFile(s.filePath(name, certificateFile), append(data, encodedKey...)); err != nil {
		return err
	}
	if err := os.Remove(s.orderKeyFile(name)); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	return nil
}
