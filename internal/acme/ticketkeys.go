package acme

import (
	"bytes"
	"crypto/rand"
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"time"
)

const (
	// A session ticket key encrypts for ticketKeyLifetime and decrypts for maxTicketKeys-1 times that longer: far below
	// the seven days that RFC 8446, 4.6.1 allows a ticket.
	ticketKeyLifetime = 12 * time.Hour
	maxTicketKeys     = 3

	ticketKeySize = 32 // bytes
)

// ticketKeyPath returns the path of the file with the session ticket keys, the newest first. All instances that share a
// store use the same keys, so that a client can resume a session at any of them.
func ticketKeyPath(dir string) string { return filepath.Join(dir, "tickets") }

// rotateTicketKeys adds a session ticket key if the newest is too old or the file with the keys is missing or damaged, and
// publishes the keys. It does nothing on an instance that does not order.
func (i *Instance) rotateTicketKeys() error {
	if i.activeManager() == nil {
		return nil
	}
	name := ticketKeyPath(i.options.Dir)
	data, err := os.ReadFile(name)
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	info, err := os.Stat(name)
	isValid := len(data) > 0 && len(data)%ticketKeySize == 0
	if !isValid || err != nil || i.options.Now().Sub(info.ModTime()) >= ticketKeyLifetime {
		if data, err = i.addTicketKey(name, data); err != nil {
			return err
		}
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	i.publishTicketKeys(data)
	return nil
}

// addTicketKey writes a new key and the newest of the former ones, and returns them. Former keys are dropped if their
// data is damaged.
func (i *Instance) addTicketKey(name string, former []byte) ([]byte, error) {
	data := make([]byte, ticketKeySize, ticketKeySize*maxTicketKeys)
	if _, err := rand.Read(data); err != nil {
		return nil, err
	}
	if len(former)%ticketKeySize != 0 {
		former = nil
	}
	data = append(data, former[:min(len(former), ticketKeySize*(maxTicketKeys-1))]...)
	if err := writeFile(name, data); err != nil {
		return nil, err
	}
	now := i.options.Now()
	if err := os.Chtimes(name, now, now); err != nil {
		return nil, err
	}
	return data, nil
}

// publishTicketKeys passes the keys in data to onTicketKeys, unless they are unchanged. The caller holds i.mu.
func (i *Instance) publishTicketKeys(data []byte) {
	isValid := len(data) > 0 && len(data)%ticketKeySize == 0
	if i.onTicketKeys == nil || !isValid || bytes.Equal(data, i.ticketKeyData) {
		return
	}
	i.ticketKeyData = data
	var keys [][32]byte
	for ; len(data) > 0; data = data[ticketKeySize:] {
		keys = append(keys, [32]byte(data))
	}
	i.onTicketKeys(keys)
}
