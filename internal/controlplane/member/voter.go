package member

import (
	"errors"
	"math/rand/v2"
	"path/filepath"
	"time"

	"github.com/cespare/xxhash/v2"

	"pearknot/internal/controlplane"
)

// slowPersistThreshold is the duration above which a write to the store is logged as slow. The actor waits for the write, so its
// followers get no heartbeats meanwhile, and after 2.5 s (heartbeatTimeoutMs in package controlplane) they connect to another member.
const slowPersistThreshold = time.Second

// voterRole holds the state of a voter. It belongs to the actor, except for the links' outbound connections.
type voterRole struct {
	voter           *controlplane.Voter
	store           *voterStore
	voterNames      map[uint64]string // of all voters, by ID
	voterIDs        map[string]uint64 // of all voters, by name
	voterLinks      map[uint64]*voterLink
	proposalReplies map[uint64]chan<- controlplane.Result // by the proposal's ID
	leader          uint64                                // leader that was last logged; 0 is none
}

// voterID derives a voter's ID from its name only, so that the order of the file may change. An ID is never 0.
func voterID(name string) uint64 { return max(xxhash.Sum64String(name), 1) }

func (m *Member) openVoter() error {
	selfID := voterID(m.self.Name)
	m.voterNames, m.voterIDs = map[uint64]string{}, map[string]uint64{}
	m.voterLinks = map[uint64]*voterLink{}
	m.proposalReplies = map[uint64]chan<- controlplane.Result{}
	var ids []uint64
	for _, member := range m.controlPlane.Voters() {
		id := voterID(member.Name)
		ids = append(ids, id)
		m.voterNames[id], m.voterIDs[member.Name] = member.Name, id
		if id != selfID {
			m.voterLinks[id] = &voterLink{peer: member}
		}
	}
	var initial *controlplane.StoredState
	if m.options.Bootstrap {
		initial = controlplane.Bootstrap(ids)
	}
	path := filepath.Join(m.controlPlane.StateDir, m.self.Name+".db")
	store, state, err := openVoterStore(path, m.controlPlane.Fleet+"/"+m.self.Name, initial)
	if err != nil {
		return err
	}
	config := controlplane.VoterConfig{ID: selfID, Voters: ids, Seed: rand.Uint64()}
	voter, err := controlplane.NewVoter(config, state, m.clock.Now())
	if err != nil {
		_ = store.close()
		return err
	}
	m.store, m.voter = store, voter
	return nil
}

// executeVoterDecisions executes the voter's decisions in their order. After an error the voter must not continue, because the core
// assumes that all its decisions so far are durable: a later message could acknowledge data that is not on disk.
func (m *Member) executeVoterDecisions() error {
	for output, ok := m.voter.Next(); ok; output, ok = m.voter.Next() {
		switch {
		case output.Persist != nil:
			if err := m.persist(output.Persist); err != nil {
				return err
			}
		case output.Send != nil:
			if link := m.voterLinks[output.Send.To]; link != nil {
				link.send(output.Send.Data)
			}
		case output.Reply != nil:
			m.deliverReply(output.Reply)
		case output.Committed != nil:
			m.log.Info("version committed", "version", output.Committed.Version, "by", output.Committed.By, "reason", output.Committed.Reason)
		case output.Restored:
			head, _ := m.voter.History().Head()
			m.log.Info("history restored from another voter's snapshot", "version", head)
		}
	}
	if fault := m.voter.StoreFault(); fault != "" {
		return errors.New(fault)
	}
	if leader := m.voter.Leader(); leader != m.leader {
		m.leader = leader
		m.log.Info("leader changed", "name", m.voterNames[leader])
	}
	return nil
}

func (m *Member) persist(p *controlplane.Persist) error {
	start := time.Now()
	if err := m.store.persist(p); err != nil {
		return err
	}
	if took := time.Since(start); took > slowPersistThreshold {
		m.log.Warn("slow write to voter store", "took_ms", took.Milliseconds())
	}
	return nil
}

// deliverReply passes a proposal's result to the call that waits for it, if there still is one.
func (m *Member) deliverReply(reply *controlplane.Reply) {
	if results := m.proposalReplies[reply.ID]; results != nil {
		delete(m.proposalReplies, reply.ID)
		results <- reply.Result
	}
}
