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

// digestLogLength is how much of a version's digest log lines have.
const digestLogLength = 12

// controlPlaneSettings puts in force the settings that the control plane distributes, in place of those in the
// configuration's file.
type controlPlaneSettings struct {
	config         *Config
	fileDeployment *config.Deployment // of the file; its zone, index and seed are the node's own in every version
	client         *client.Client
	updates        chan settingsUpdate
	stopped        chan struct{} // closed by stop
	inForce        atomic.Pointer[settingsVersion]
	log            *slog.Logger
}

// settingsUpdate is a version that is to be put in force. result gets nil, or why the version was rejected.
type settingsUpdate struct {
	settingsVersion
	deployment *config.Deployment
	result     chan error
}

type settingsVersion struct {
	version uint64
	digest  string
}

// openControlPlaneSettings connects a node to its control plane's settings. A node with a stored copy of them starts
// with that, whatever its file says.
func openControlPlaneSettings(cfg *Config, plane *client.ControlPlane, nodeClock *clock.Clock, log *slog.Logger) (*controlPlaneSettings, error) {
	clientConfig, err := plane.NodeConfig(cfg.name)
	if err != nil {
		return nil, err
	}
	s := &controlPlaneSettings{
		config:         cfg,
		fileDeployment: cfg.deployment,
		updates:        make(chan settingsUpdate),
		stopped:        make(chan struct{}),
		log:            log,
	}
	s.inForce.Store(&settingsVersion{})
	if s.client, err = client.New(clientConfig, s.submitVersion, nodeClock, log); err != nil {
		return nil, err
	}
	s.useStoredCopy()
	return s, nil
}

// useStoredCopy has the node start with the latest version that it had put in force, if a copy of it is stored.
func (s *controlPlaneSettings) useStoredCopy() {
	version, text, ok := s.client.StoredCopy()
	if !ok {
		return
	}
	deployment, err := config.ParseShared(text, s.fileDeployment)
	if err != nil {
		s.log.Error("stored control plane settings not usable, using the file's", "version", version, "error", err)
		return
	}
	s.config.useControlPlaneSettings(deployment, version, s.log)
	s.inForce.Store(&settingsVersion{version, settingsDigest(text)})
	s.log.Info("starting with the stored control plane settings", "version", version)
}

func settingsDigest(text []byte) string {
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:])
}

// stop ends the link to the control plane; nothing is put in force any more. It is called once.
func (s *controlPlaneSettings) stop() {
	close(s.stopped)
	s.client.Stop()
}

// apply puts a version in force and returns why that was not possible. It decodes the version on the control plane client's
// goroutine, so that the one that puts settings in force (handleEvents) is not held up by a large document, and waits for
// that one's result. After stop it returns context.Canceled, which says nothing about the version.
func (s *controlPlaneSettings) submitVersion(version uint64, text []byte) error {
	if version == s.inForce.Load().version { // the node started with it
		return nil
	}
	deployment, err := config.ParseShared(text, s.fileDeployment)
	if err != nil {
		return err
	}
	update := settingsUpdate{settingsVersion{version, settingsDigest(text)}, deployment, make(chan error, 1)}
	select {
	case s.updates <- update:
	case <-s.stopped:
		return context.Canceled
	}
	select {
	case err := <-update.result:
		return err
	case <-s.stopped:
		return context.Canceled
	}
}

// put puts a version in force. After an error the previous version is in force as a whole.
func (s *controlPlaneSettings) activate(update settingsUpdate, reconfigure func(*config.Deployment) error) error {
	if err := update.deployment.CheckReplaces(s.config.deployment); err != nil {
		return err
	}
	if err := reconfigure(update.deployment); err != nil {
		return err
	}
	s.config.deployment, s.config.controlPlaneVersion = update.deployment, update.version
	s.inForce.Store(&update.settingsVersion)
	s.log.Info("control plane settings applied", "version", update.version, "digest", update.digest[:digestLogLength],
		"classes", strings.Join(update.deployment.Classes, " "))
	return nil
}

// status returns what the control socket reports of the control plane.
func (s *controlPlaneSettings) status(ctx context.Context) *controlsocket.ControlPlane {
	inForce := s.inForce.Load()
	status := &controlsocket.ControlPlane{ActiveVersion: inForce.version, LatestVersion: inForce.version, Digest: inForce.digest}
	state, err := s.client.State(ctx)
	if err != nil {
		return status
	}
	status.LatestVersion = state.StoredVersion
	status.FollowedMember = state.Member
	status.RejectedVersion = state.RejectedVersion
	status.RejectReason = state.RejectReason
	status.AgeMs = client.FiniteOrNil(state.StalenessMs)
	status.BytesIn, status.BytesOut = state.BytesIn, state.BytesOut
	status.FramesIn, status.FramesOut = state.FramesIn, state.FramesOut
	status.Dials = state.Dials
	return status
}
