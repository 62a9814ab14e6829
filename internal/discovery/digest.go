package discovery

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"

	"pearknot/balancer"
)

// Digest returns a hash of the names and states of the backends that are not removed. Two lists have the same digest if
// they name the same backends in the same states, independent of their source and order.
func Digest(states map[string]balancer.BackendState) string {
	hash := sha256.New()
	for _, name := range slices.Sorted(maps.Keys(states)) {
		if states[name] != balancer.BackendRemoved {
			fmt.Fprintf(hash, "%q %d\n", name, states[name])
		}
	}
	return hex.EncodeToString(hash.Sum(nil))
}

// ReadDigest returns the version and the digest of an encoded list. Unlike Decode it needs no deployment names. It fails
// if data is not a complete list or names an unknown state.
func ReadDigest(data []byte) (version uint64, digest string, err error) {
	var response struct {
		Rev     *uint64
		All     bool
		Targets []struct{ UID, State string }
	}
	if err := json.Unmarshal(data, &response); err != nil {
		return 0, "", fmt.Errorf("decode endpoint list: %w", err)
	}
	if response.Rev == nil || !response.All {
		return 0, "", errors.New("endpoint list has no version or is not complete")
	}
	states := map[string]balancer.BackendState{}
	for _, target := range response.Targets {
		state, known := statesByName[target.State]
		if !known {
			return 0, "", fmt.Errorf("unknown state %q", target.State)
		}
		states[target.UID] = state
	}
	return *response.Rev, Digest(states), nil
}
