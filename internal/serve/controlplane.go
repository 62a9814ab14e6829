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

// digestLogLength is the number of characters of a version's digest that are logged.
const digestLogLength = 12

// controlPlaneSettings activates the settings that the control plane distributes, in place of those in the configuration
// file.
type controlPlaneSettings struct {
	config         *Config
	fileDeployment *config.Deployment // from the file; its zone, index and seed are the node's own and apply to every version
	client         *client.Client
	updates        chan settingsUpdate
	stopped        chan struct{} // closed by stop
	active         atomic.Pointer[settingsVersion]
	log            *slog.Logger
}

// settingsUpdate is a version to activate. result receives nil, or the error with which the version was rejected.
type settingsUpdate struct {
	settingsVersion
	deployment *config.Deployment
	result     chan error
}

type settingsVersion struct {
	version uint64
	digest  string
}

// openControlPlaneSettings creates a node's client of the control plane. A node with a stored copy of the control plane's
// settings starts with that copy, regardless of its file.
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
	s.active.Store(&settingsVersion{})
	if s.client, err = client.New(clientConfig, s.submitVersion, nodeClock, log); err != nil {
		return nil, err
	}
	s.useStoredCopy()
	return s, nil
}

// useStoredCopy makes the node start with the latest version that it had activated, if a copy of it is stored.
func (s *controlPlaneSettings) useStoredCopy() {
	version, text, ok := s.client.StoredCopy()
	if !ok {
		return
	}
	deployment, err := config.ParseShared(text, s.fileDeployment)
	if err != nil {
		s.log.Error("stored control plane settings not usable, using those in the configuration file", "version", version, "error", err)
		return
	}
	s.config.useControlPlaneSettings(deployment, version, s.log)
	s.active.Store(&settingsVersion{version, settingsDigest(text)})
	s.log.Info("starting with the stored control plane settings", "version", version)
}

func settingsDigest(text []byte) string {
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:])
}

// stop closes the link to the control plane. No settings are activated afterwards. It must be called only once.
func (s *controlPlaneSettings) stop() {
	close(s.stopped)
	s.client.Stop()
}

// submitVersion submits a version for activation and returns the result, which is nil or the reason why the version can't be
// activated. It decodes the version on the control plane client's goroutine, so that a large document does not delay the
// goroutine that activates settings (handleEvents). After stop it returns context.Canceled, which does not concern the
// version.
func (s *controlPlaneSettings) submitVersion(version uint64, text []byte) error {
	if version == s.active.Load().version { // the node started with it
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

// activate activates a version. After an error the previous version is still active as a whole.
func (s *controlPlaneSettings) activate(update settingsUpdate, reconfigure func(*config.Deployment) error) error {
	if err := update.deployment.CheckReplaces(s.config.deployment); err != nil {
		return err
	}
	if err := reconfigure(update.deployment); err != nil {
		return err
	}
	s.config.deployment, s.config.controlPlaneVersion = update.deployment, update.version
	s.active.Store(&update.settingsVersion)
	s.log.Info("control plane settings applied", "version", update.version, "digest", update.digest[:digestLogLength],
		"classes", strings.Join(update.deployment.Classes, " "))
	return nil
}

// status returns the control socket's status of the control plane link.
func (s *controlPlaneSettings) status(ctx context.Context) *controlsocket.ControlPlane {
	active := s.active.Load()
	status := &controlsocket.ControlPlane{ActiveVersion: active.version, LatestVersion: active.version, Digest: active.digest}
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
