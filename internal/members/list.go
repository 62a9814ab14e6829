// Package members follows the list of backends.
package members

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"math"
	"net"
	"slices"

	"pearknot/balance"
	"pearknot/internal/terms"
)

// Member is one entry of the list.
type Member struct {
	Name    string // the same at every node
	Address string
	State   balance.State
	Zone    int
	Cell    int
	Kind    int
	Weight  float64
	Started float64 // Unix milliseconds; 0 is long ago
}

// List is what an answer told: the whole list, or the entries that changed.
type List struct {
	Version uint64
	Whole   bool
	Members []Member
}

var states = map[string]balance.State{"up": balance.Ready, "draining": balance.Draining, "removed": balance.Gone}

// Names are those that the list uses for places of the settings.
type Names struct{ Zones, Kinds []string }

// Digest tells lists with the same backends in the same states from others, wherever they were read: by names and states
// of what is not gone, in order.
func Digest(states map[string]balance.State) string {
	h := sha256.New()
	for _, name := range slices.Sorted(maps.Keys(states)) {
		if states[name] != balance.Gone {
			fmt.Fprintf(h, "%q %d\n", name, states[name])
		}
	}
	return hex.EncodeToString(h.Sum(nil))
}

// Sum reads the version of a whole list, as its source gives it, and its digest, without the names of any settings.
func Sum(data []byte) (version uint64, digest string, err error) {
	var told struct {
		Rev     *uint64
		All     bool
		Targets []struct{ UID, State string }
	}
	if err := json.Unmarshal(data, &told); err != nil {
		return 0, "", err
	}
	if told.Rev == nil || !told.All {
		return 0, "", errors.New("no whole list")
	}
	all := map[string]balance.State{}
	for _, t := range told.Targets {
		state, known := states[t.State]
		if !known {
			return 0, "", fmt.Errorf("unknown state %q", t.State)
		}
		all[t.UID] = state
	}
	return *told.Rev, Digest(all), nil
}

// Decode reads a list. Entries that can't be are logged and skipped: they must not hide the others.
func (n Names) Decode(data []byte, log *slog.Logger) (*List, error) {
	var told struct {
		Rev     *uint64
		All     bool
		Targets []json.RawMessage
	}
	if err := json.Unmarshal(data, &told); err != nil {
		return nil, err
	}
	if told.Rev == nil {
		return nil, errors.New("list without its version")
	}
	list := &List{Version: *told.Rev, Whole: told.All}
	for _, entry := range told.Targets {
		m, err := n.member(entry)
		if err != nil {
			log.Warn("odd list entry skipped", "entry", string(entry), "error", err)
			continue
		}
		list.Members = append(list.Members, m)
	}
	return list, nil
}

func (n Names) member(entry []byte) (m Member, err error) {
	var told struct {
		UID          string
		Endpoint     string
		AZ           string
		Model        string
		PodGroup     int `json:"pod_group"`
		State        string
		CapacityHint *float64 `json:"capacity_hint"`
		BootMs       float64  `json:"boot_ms"`
	}
	if err := json.Unmarshal(entry, &told); err != nil {
		return m, err
	}
	state, known := states[told.State]
	zone, kind := slices.Index(n.Zones, terms.Name(told.AZ)), slices.Index(n.Kinds, terms.Name(told.Model))
	_, _, err = net.SplitHostPort(told.Endpoint)
	switch {
	case told.UID == "":
		return m, errors.New("no uid")
	case !known:
		return m, fmt.Errorf("unknown state %q", told.State)
	case state != balance.Gone && err != nil:
		return m, err
	case zone < 0:
		return m, fmt.Errorf("unknown zone %q", told.AZ)
	case kind < 0:
		return m, fmt.Errorf("unknown kind %q", told.Model)
	case told.PodGroup < 0 || told.PodGroup > math.MaxUint16:
		return m, fmt.Errorf("group %d", told.PodGroup)
	}
	m = Member{Name: told.UID, Address: told.Endpoint, State: state, Zone: zone, Cell: told.PodGroup, Kind: kind,
		Weight: 1, Started: told.BootMs}
	if told.CapacityHint != nil {
		m.Weight = *told.CapacityHint
	}
	return m, nil
}
