// Package raftlogger provides the logger of this project's raft nodes.
package raftlogger

import (
	"io"
	stdlog "log"

	"go.etcd.io/raft/v3"
)

// Silent discards the log messages of a raft node: the process itself logs what concerns operators. Fatal and Panic behave
// as in the embedded logger, because a raft node calls them when its state is corrupt and it must not continue.
type Silent struct{ raft.Logger }

// NewSilent returns a logger that writes nothing, and whose Fatal and Panic end the process or panic.
func NewSilent() Silent {
	return Silent{&raft.DefaultLogger{Logger: stdlog.New(io.Discard, "", 0)}}
}

// Debug drops the message.
func (Silent) Debug(...any) {}

// Debugf drops the message.
func (Silent) Debugf(string, ...any) {}

// Info drops the message.
func (Silent) Info(...any) {}

// Infof drops the message.
func (Silent) Infof(string, ...any) {}

// Warning drops the message.
func (Silent) Warning(...any) {}

// Warningf drops the message.
func (Silent) Warningf(string, ...any) {}

// Error drops the message.
func (Silent) Error(...any) {}

// Errorf drops the message.
func (Silent) Errorf(string, ...any) {}
