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

// The store's files. Each is written completely or not at all.
const (
	lockFile        = "lock"       // its holder's process ID
	stateFile       = "state.json" // certs.State
	namesDir        = "names"      // a directory for each certificate, with certificateFile and orderKeyName
	certificateFile = "served.pem" // the chain that is served, and its key
	orderKeyName    = "order.key"  // the open order's key
	answersDir      = "open"       // answers to challenges, for instances that follow
)

// The PEM types of what the store has.
const (
	pemCertificate = "CERTIFICATE"
	pemECKey       = "EC PRIVATE KEY"
	pemPKCS8Key    = "PRIVATE KEY"
)

// The kinds of published answers.
const (
	answerToken = "token" // of http-01
	answerProof = "proof" // of tls-alpn-01
)

const (
	privateDir  = 0o700
	privateFile = 0o600
)

// ErrStoreLocked means that another process has the store.
var ErrStoreLocked = errors.New("another process has it")

// store is a directory with the accounts' keys, the state and the certificates. One process has its lock.
type store struct {
	dir  string
	lock *os.File // nil where the store is only read
}

// openStore locks the store. It returns ErrStoreLocked where another process has it.
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
	// Answers that a killed process has left are of no order any more.
	if err := errors.Join(writeHolder(lock), os.RemoveAll(filepath.Join(dir, answersDir))); err != nil {
		_ = lock.Close()
		return nil, err
	}
	return &store{dir, lock}, nil
}

// writeHolder writes this process's ID into the lock's file.
func writeHolder(lock *os.File) error {
	truncateErr := lock.Truncate(0)
	_, writeErr := lock.WriteAt([]byte(strconv.Itoa(os.Getpid())), 0)
	return errors.Join(truncateErr, writeErr)
}

// lockHolder is the process that has a store; 0 is unknown.
func lockHolder(dir string) (pid int) {
	if data, err := os.ReadFile(filepath.Join(dir, lockFile)); err == nil {
		pid, _ = strconv.Atoi(strings.TrimSpace(string(data)))
	}
	return pid
}

func (s *store) close() error { return s.lock.Close() }

// path is a file of a certificate's.
func (s *store) path(name, file string) string {
	return filepath.Join(s.dir, namesDir, strings.ReplaceAll(name, "/", "_"), file)
}

func (s *store) accountKeyFile(authority int) string {
	return filepath.Join(s.dir, fmt.Sprintf("account-%d.key", authority))
}

func (s *store) orderKeyFile(name string) string { return s.path(name, orderKeyName) }

func (s *store) exists(file string) bool {
	_, err := os.Stat(file)
	return err == nil
}

// writeFile writes a file, completely or not at all.
func writeFile(name string, data []byte) error {
	if err := os.MkdirAll(filepath.Dir(name), privateDir); err != nil {
		return err
	}
	return renameio.WriteFile(name, data, privateFile)
}

// publishToken publishes the answer to an http-01 challenge for the instances that follow, until withdraw is called.
func (s *store) publishToken(path, answer string) (withdraw func(), err error) {
	return publishAnswer(answerFile(s.dir, answerToken, path), []byte(answer))
}

// publishProof publishes the answer to a tls-alpn-01 challenge for the instances that follow, until withdraw is called.
func (s *store) publishProof(host string, proof *tls.Certificate) (withdraw func(), err error) {
	key, err := x509.MarshalPKCS8PrivateKey(proof.PrivateKey)
	if err != nil {
		return nil, err
	}
	data := pem.EncodeToMemory(&pem.Block{Type: pemCertificate, Bytes: proof.Certificate[0]})
	data = append(data, pem.EncodeToMemory(&pem.Block{Type: pemPKCS8Key, Bytes: key})...)
	return publishAnswer(answerFile(s.dir, answerProof, host), data)
}

func publishAnswer(name string, data []byte) (withdraw func(), err error) {
	return func() { _ = os.Remove(name) }, writeFile(name, data)
}

// answerFile is the file of a published answer. What a client asks for is hashed, so that it can name no other file.
func answerFile(dir, kind, asked string) string {
	sum := sha256.Sum256([]byte(asked))
	return filepath.Join(dir, answersDir, kind+"-"+hex.EncodeToString(sum[:16]))
}

// loadState reads the scheduler's state, which is empty in a new store. One that can't be read is set aside and reported
// as damaged: the certificates are in files of their own.
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

// readState reads the scheduler's state and changes nothing.
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
		return nil, fmt.Errorf("%s: no key", file)
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

// loadCertificate reads the certificate that is served under a name, and its key; nil is none yet.
func (s *store) loadCertificate(name string) (*tls.Certificate, error) {
	file := s.path(name, certificateFile)
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

// saveCertificate stores a certificate and its key in one file, so that there is no moment at which they don't match.
// The order's key is removed: the next order gets its own.
func (s *store) saveCertificate(name string, chain [][]byte, key crypto.Signer) error {
	ecKey, ok := key.(*ecdsa.PrivateKey)
	if !ok {
		return fmt.Errorf("a key of kind %T", key)
	}
	encodedKey, err := encodeKey(ecKey)
	if err != nil {
		return err
	}
	var data []byte
	for _, der := range chain {
		data = append(data, pem.EncodeToMemory(&pem.Block{Type: pemCertificate, Bytes: der})...)
	}
	if err := writeFile(s.path(name, certificateFile), append(data, encodedKey...)); err != nil {
		return err
	}
	if err := os.Remove(s.orderKeyFile(name)); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	return nil
}
