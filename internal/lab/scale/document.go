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

const requestsPerSecondPerNode = 5

// realNodeLoad returns the load experiment that the real nodes run.
func realNodeLoad(realNodes int, seconds float64) (*experiment.Experiment, error) {
	load, err := experiment.Decode("load.toml", loadFile)
	if err != nil {
		return nil, err
	}
	load.Fleet.Nodes, load.Seconds = max(realNodes, 1), seconds
	load.Clients.RequestsPerSecond = requestsPerSecondPerNode * float64(max(realNodes, 1))
	return load, nil
}

// document holds the settings that operators change: those of the load, plus tenants.
type document struct {
	settings map[string]any
	quotas   []int // by tenant, in tenths of a request per second
	rng      *rand.Rand
}

func newDocument(e *Experiment) (*document, error) {
	load, err := realNodeLoad(e.RealNodes, e.ChangeSeconds)
	if err != nil {
		return nil, err
	}
	d := &document{
		settings: loopback.DeploymentSettings(load, 0),
		quotas:   make([]int, e.Tenants),
		rng:      rand.New(rand.NewPCG(1, uint64(e.Nodes))),
	}
	for tenant := range d.quotas {
		d.quotas[tenant] = d.drawQuota()
	}
	return d, nil
}

func (d *document) drawQuota() int { return 100 + d.rng.IntN(900) }

// changeQuotas draws new quotas for tenants spread over the document, as many as take up about the given number of bytes.
func (d *document) changeQuotas(bytes int) {
	for range max((bytes+tenantBytes/2)/tenantBytes, 1) {
		d.quotas[d.rng.IntN(len(d.quotas))] = d.drawQuota()
	}
}

// encode returns the document as operators would write it, and the digest that the control plane must compute for it.
func (d *document) encode() (text []byte, digest string, err error) {
	tenants := make([]map[string]any, len(d.quotas))
	for tenant, quota := range d.quotas {
		tenants[tenant] = map[string]any{"name": fmt.Sprintf("tenant-%06d", tenant), "quotaPerS": float64(quota) / 10}
	}
	d.settings["tenants"] = tenants
	if text, err = json.Marshal(d.settings); err != nil {
		return nil, "", err
	}
	canonical, err := controlplane.Parse(text)
	if err != nil {
		return nil, "", err
	}
	return text, fmt.Sprintf("%x", canonical.Digest()), nil
}
