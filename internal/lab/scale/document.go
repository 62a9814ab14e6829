package scale

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"

	_ "embed"

	"pearknot/internal/controlplane"
	"pearknot/internal/lab/experiment"
	"pearknot/internal/lab/loopback"
)

//go:embed load.toml
var loadFile []byte

// load is what the real nodes are under.
func load(real int, seconds float64) (*experiment.Experiment, error) {
	e, err := experiment.Decode("load.toml", loadFile)
	if err != nil {
		return nil, err
	}
	e.Fleet.Nodes, e.Seconds, e.Clients.RequestsPerSecond = max(real, 1), seconds, 5*float64(max(real, 1))
	return e, nil
}

// document is the settings that operators change: those of the load, with tenants.
type document struct {
	base   map[string]any
	quotas []int
	chance *rand.Rand
}

func newDocument(e *Experiment) (*document, error) {
	l, err := load(e.Real, e.Seconds)
	if err != nil {
		return nil, err
	}
	d := &document{loopback.DeploymentSettings(l, 0), make([]int, e.Tenants), rand.New(rand.NewPCG(1, uint64(e.Nodes)))}
	for k := range d.quotas {
		d.quotas[k] = 100 + d.chance.IntN(900)
	}
	return d, nil
}

// change gives other quotas to as many tenants as have about so many bytes, all over the document.
func (d *document) change(bytes int) {
	for range max((bytes+lineBytes/2)/lineBytes, 1) {
		d.quotas[d.chance.IntN(len(d.quotas))] = 100 + d.chance.IntN(900)
	}
}

// text is the document as operators would write it, with its digest as the control plane must come to it.
func (d *document) text() (text []byte, digest string, err error) {
	tenants := make([]map[string]any, len(d.quotas))
	for k, q := range d.quotas {
		tenants[k] = map[string]any{"name": fmt.Sprintf("tenant-%06d", k), "quotaPerS": float64(q) / 10}
	}
	d.base["tenants"] = tenants
	if text, err = json.Marshal(d.base); err != nil {
		return nil, "", err
	}
	canonical, err := controlplane.Parse(text)
	if err != nil {
		return nil, "", err
	}
	return text, fmt.Sprintf("%x", canonical.Digest()), nil
}
