package member

import (
	"slices"
	"sync"

	"pearknot/internal/config"
	"pearknot/internal/controlplane"
)

// validator checks whether nodes that have the head can apply a proposed configuration. It caches the two configurations that it
// parsed last: the next head is usually the one that it has just accepted, and parsing 140,000 tenants takes a second.
type validator struct {
	mu    sync.Mutex
	cache []parsedConfiguration // newest first
}

// parsedCacheSize is the number of cached configurations: the head and the proposed one.
const parsedCacheSize = 2

type parsedConfiguration struct {
	digest     controlplane.Digest
	deployment *config.Deployment
}

// check returns an error if nodes that have the head's document can't apply the proposed one. Any valid configuration is accepted as
// the first version.
func (v *validator) check(proposed *controlplane.Document, version uint64, head *controlplane.Document) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	deployment, err := v.parse(proposed)
	if err != nil || version == 0 {
		return err
	}
	current, err := v.parse(head)
	if err != nil {
		return nil // otherwise a head that no node can read could never be replaced
	}
	return deployment.CheckReplaces(current)
}

func (v *validator) parse(doc *controlplane.Document) (*config.Deployment, error) {
	digest := doc.Digest()
	for _, parsed := range v.cache {
		if parsed.digest == digest {
			return parsed.deployment, nil
		}
	}
	deployment, err := config.ParseShared(doc.Text(), nil)
	if err != nil {
		return nil, err
	}
	v.cache = slices.Insert(v.cache, 0, parsedConfiguration{digest, deployment})
	v.cache = v.cache[:min(len(v.cache), parsedCacheSize)]
	return deployment, nil
}
