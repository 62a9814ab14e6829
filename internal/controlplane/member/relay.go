package member

import (
	"context"
	"fmt"
	"path/filepath"

	"pearknot/internal/controlplane"
	"pearknot/internal/controlplane/client"
)

// relayRole holds the state of a member that doesn't vote. It belongs to the actor.
type relayRole struct {
	followerLink   *client.FollowerLink // to one of the voters
	copyStore      *client.CopyStore
	followedMember string // member that was last logged as followed; empty is none
}

func (m *Member) openRelay(ctx context.Context) error {
	if m.options.Bootstrap {
		return fmt.Errorf("%s is not a voter: there is nothing to bootstrap", m.self.Name)
	}
	file := filepath.Join(m.controlPlane.StateDir, m.self.Name+".copy")
	copyStore, stored, err := client.OpenCopyStore(file, m.controlPlane.Fleet, m.log)
	if err != nil {
		return err
	}
	if !copyStore.HasLock() {
		return fmt.Errorf("%s: the state in %s is locked by another process", m.self.Name, m.controlPlane.StateDir)
	}
	m.copyStore = copyStore
	config := client.Config{
		Fleet:   m.controlPlane.Fleet,
		Name:    m.self.Name,
		Region:  m.self.Region,
		Members: m.controlPlane.Voters(),
		Keys:    m.controlPlane.Keys,
		Kind:    controlplane.KindMember,
	}
	m.followerLink = client.NewFollowerLink(ctx, config, stored, client.FollowerLinkHost{
		Now:        m.clock.Now,
		Post:       m.mailbox.Put,
		Go:         m.goroutines.Go,
		OnUpdate:   m.storeUpdate,
		OnRejected: m.logRejected,
	})
	if stored.Version > 0 {
		m.followerLink.VersionApplied(m.clock.Now(), stored.Version)
	}
	return nil
}

// storeUpdate stores a version on disk. A relay applies no configuration: a version counts as applied when it is queued to be stored.
func (m *Member) storeUpdate(update controlplane.DocumentUpdate) {
	m.followerLink.VersionApplied(m.clock.Now(), update.Version)
	m.copyStore.QueueWrite(controlplane.VersionedDocument{Version: update.Version, Document: update.Document})
}

func (m *Member) executeFollowerDecisions() {
	m.followerLink.ExecuteDecisions()
	member := m.followerLink.State(m.clock.Now()).Member
	client.LogMemberChange(m.log, m.followedMember, member)
	m.followedMember = member
}
