// Package raftlogger has the logger that this project's raft nodes write to.
package raftlogger

import (
	"io"
	stdlog "log"

	"go.etcd.io/raft/v3"
)

// Silent drops what a raft node logs: the process logs itself what concerns operators. Fatal and Panic keep the effect that
// they have at the logger inside, because a raft node calls them when its state is corrupt and must not go on.
type Silent struct{ raft.Logger }

// NewSilent returns a logger that writes nothing and panics where a raft node asks for it.
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
