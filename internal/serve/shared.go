package serve

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"log/slog"
	"strings"
	"sync/atomic"

	"pearknot/internal/clock"
	"pearknot/internal/config"
	"pearknot/internal/controlplane/client"
	"pearknot/internal/controlsocket"
)

// shared is the settings that the control plane puts in force in the place of the file's.
type shared struct {
	place  *Config
	own    *config.Deployment // the file's, for what is the node's own
	client *client.Client
	asks   chan ask
	over   context.Context
	end    context.CancelFunc
	now    atomic.Pointer[inForce]
	log    *slog.Logger
}

// ask is a version that is to be put in force; told has the answer.
type ask struct {
	inForce
	settings *config.Deployment
	told     chan error
}

type inForce struct {
	version uint64
	digest  string
}

// openShared reads the last good copy: a node that has one starts with it, whatever its file says.
func openShared(p *Config, plane *client.ControlPlane, c *clock.Clock, log *slog.Logger) (*shared, error) {
	t, err := plane.NodeConfig(p.name)
	if err != nil {
		return nil, err
	}
	s := &shared{place: p, own: p.told, asks: make(chan ask), log: log}
	s.over, s.end = context.WithCancel(context.Background())
	s.now.Store(&inForce{})
	if s.client, err = client.New(t, s.apply, c, log); err != nil {
		return nil, err
	}
	version, text, there := s.client.StoredCopy()
	if !there {
		return s, nil
	}
	d, err := config.ParseShared(text, s.own)
	if err != nil {
		log.Error("copy of the settings not taken, the file's hold", "version", version, "error", err)
		return s, nil
	}
	p.adopt(d, version, log)
	s.now.Store(&inForce{version, digestOf(text)})
	log.Info("settings of the copy", "version", version)
	return s, nil
}

func digestOf(text []byte) string {
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:])
}

// stop ends the link; nothing is put in force any more.
func (s *shared) stop() {
	s.end()
	s.client.Stop()
}

// apply reads a version off everybody's way, and has it put in force by whoever does that for the file's.
func (s *shared) apply(version uint64, text []byte) error {
	if version == s.now.Load().version { // that it has started with
		return nil
	}
	d, err := config.ParseShared(text, s.own)
	if err != nil {
		return err
	}
	a := ask{inForce{version, digestOf(text)}, d, make(chan error, 1)}
	select {
	case s.asks <- a:
	case <-s.over.Done():
		return s.over.Err()
	}
	select {
	case err := <-a.told:
		return err
	case <-s.over.Done():
		return s.over.Err()
	}
}

// take puts a version in force, whole or not at all.
func (s *shared) take(a ask, retune func(*config.Deployment) error) error {
	if err := a.settings.CheckReplaces(s.place.told); err != nil {
		return err
	}
	if err := retune(a.settings); err != nil {
		return err
	}
	s.place.told, s.place.version = a.settings, a.version
	s.now.Store(&inForce{a.version, a.digest})
	s.log.Info("new settings", "version", a.version, "digest", a.digest[:12], "categories", strings.Join(a.settings.Classes, " "))
	return nil
}

// state is for whoever looks at the node.
func (s *shared) state(ctx context.Context) *controlsocket.ControlPlane {
	now := s.now.Load()
	c := &controlsocket.ControlPlane{ActiveVersion: now.version, LatestVersion: now.version, Digest: now.digest}
	if is, err := s.client.State(ctx); err == nil {
		c.LatestVersion, c.FollowedMember, c.RejectedVersion, c.RejectReason, c.AgeMs = is.StoredVersion, is.Member, is.RejectedVersion, is.RejectReason, client.FiniteOrNil(is.StalenessMs)
		c.BytesIn, c.BytesOut, c.FramesIn, c.FramesOut, c.Dials = is.BytesIn, is.BytesOut, is.FramesIn, is.FramesOut, is.Dials
	}
	return c
}
