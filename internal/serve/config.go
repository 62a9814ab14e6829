package serve

import (
	"bytes"
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"math"
	"net"
	"os"
	"slices"
	"strconv"
	"sync/atomic"

	"pearknot/internal/config"
	"pearknot/internal/discovery"
)

// defaultMaxDescriptors bounds a node's file descriptors if its configuration does not.
const defaultMaxDescriptors = 1024

// Config is a node's configuration: its addresses, its limits and its deployment's settings.
type Config struct {
	file                string
	name                string
	address             string // for clients, plain HTTP
	discoveryAddress    string
	adminAddress        string // for operators; empty means none
	cores               float64
	memoryBytes         int64 // 0 means no limit
	maxDescriptors      int
	deployment          *config.Deployment
	deploymentNames     discovery.DeploymentNames
	tlsFile             string // as in --tls; empty means none
	tlsAddress          string // replaces the address in tlsFile, unless empty
	admissionFile       string // as in --edge; empty means none
	cachedEndpoints     *discovery.List
	cachedEndpointsJSON json.RawMessage
	controlPlaneVersion uint64   // of deployment; 0 means the settings are from the file
	keys                []string // in the file, without those of its settings
	current             atomic.Pointer[currentConfig]
}

// currentConfig holds the part of a configuration that changes while the node runs and is read by other goroutines.
type currentConfig struct{ digest, discoveryAddress string }

// configFile is the JSON form of a configuration; the platform determines its keys. Required are settings, seed, name, listen
// and discovery; environment variables may give the last three instead. In limits, cores may be a fraction (the process runs
// on that many threads, rounded up, and on at least one), memory_mb is in MiB and 0 means no limit, and sockets is the number
// of descriptors, where 0 means defaultMaxDescriptors.
// known is the initial endpoint list; without it a node starts to serve when discovery has answered. control is the admin
// address. tls and edge name the operator's files of TLS and of admission limits; tls_listen replaces the address in the
// former.
type configFile struct {
	Name, Listen, Discovery, Control, Seed string
	TLS                                    string `json:"tls"`
	TLSListen                              string `json:"tls_listen"`
	Edge                                   string `json:"edge"`
	Limits                                 struct {
		Cores    float64
		MemoryMB float64 `json:"memory_mb"`
		Sockets  int
	}
	Known    json.RawMessage
	Settings json.RawMessage
}

// ReadConfig reads a configuration file. If the file lacks name, listen, discovery or control, an environment variable
// (ROUTER_NAME and so on) is used instead.
func ReadConfig(file string, log *slog.Logger) (*Config, error) {
	if file == "" {
		return nil, errors.New("no configuration file: give -config or set ROUTER_CONFIG")
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	var content configFile
	if err := json.Unmarshal(data, &content); err != nil {
		return nil, newParseError(file, data, err)
	}
	c := &Config{
		file:                file,
		name:                cmp.Or(content.Name, os.Getenv("ROUTER_NAME")),
		address:             cmp.Or(content.Listen, os.Getenv("ROUTER_LISTEN")),
		discoveryAddress:    cmp.Or(content.Discovery, os.Getenv("ROUTER_DISCOVERY")),
		adminAddress:        cmp.Or(content.Control, os.Getenv("ROUTER_CONTROL")),
		cores:               content.Limits.Cores,
		memoryBytes:         int64(content.Limits.MemoryMB * (1 << 20)),
		maxDescriptors:      cmp.Or(content.Limits.Sockets, defaultMaxDescriptors),
		tlsFile:             content.TLS,
		tlsAddress:          content.TLSListen,
		admissionFile:       content.Edge,
		cachedEndpointsJSON: content.Known,
	}
	if err := c.validate(); err != nil {
		return nil, err
	}
	if err := c.readDeployment(content); err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	sum := sha256.Sum256(data)
	c.current.Store(&currentConfig{hex.EncodeToString(sum[:]), c.discoveryAddress})
	if c.keys, err = configKeys(data); err != nil {
		return nil, newParseError(file, data, err)
	}
	c.readCachedEndpoints(log)
	return c, nil
}

// validate checks addresses and limits.
func (c *Config) validate() error {
	for key, address := range map[string]string{"listen": c.address, "discovery": c.discoveryAddress, "control": c.adminAddress} {
		if key == "control" && address == "" {
			continue
		}
		if _, _, err := net.SplitHostPort(address); err != nil {
			return fmt.Errorf("%s: %s: %w", c.file, key, err)
		}
	}
	if c.cores < 0 || math.IsNaN(c.cores) || c.memoryBytes < 0 || c.maxDescriptors < 0 {
		return fmt.Errorf("%s: limits must not be negative", c.file)
	}
	return nil
}

// readDeployment reads the deployment's settings.
func (c *Config) readDeployment(content configFile) error {
	if len(content.Settings) == 0 {
		return errors.New("settings is missing")
	}
	deployment, err := config.ParseJSON(content.Settings)
	if err != nil {
		return err
	}
	if deployment.BalancerConfig.Seed, err = strconv.ParseUint(content.Seed, 16, 64); err != nil {
		return fmt.Errorf("seed: %w", err)
	}
	c.deployment = deployment
	return nil
}

// configKeys returns the top-level keys of a configuration and the keys of its limits.
func configKeys(data []byte) ([]string, error) {
	var all map[string]json.RawMessage
	var withLimits struct {
		Limits map[string]json.RawMessage
	}
	if err := errors.Join(json.Unmarshal(data, &all), json.Unmarshal(data, &withLimits)); err != nil {
		return nil, err
	}
	keys := slices.Collect(maps.Keys(all))
	for key := range withLimits.Limits {
		keys = append(keys, "limits."+key)
	}
	return keys, nil
}

// readCachedEndpoints decodes the endpoint list in the file, using the zones and kinds of the deployment. A list that can't be
// used is skipped: discovery provides the current one.
func (c *Config) readCachedEndpoints(log *slog.Logger) {
	c.deploymentNames = discovery.DeploymentNames{Zones: c.deployment.Zones, Kinds: c.deployment.Kinds}
	c.cachedEndpoints = nil
	if len(c.cachedEndpointsJSON) == 0 || string(c.cachedEndpointsJSON) == "null" {
		return
	}
	list, err := c.deploymentNames.Decode(c.cachedEndpointsJSON, log)
	switch {
	case err != nil:
		log.Warn("cached endpoint list skipped", "error", err)
	case !list.Complete: // a watch that starts from its version would never report the rest
		log.Warn("cached endpoint list skipped", "error", "list contains only changes")
	default:
		c.cachedEndpoints = list
	}
}

// useControlPlaneSettings makes the node start with the control plane's settings instead of the file's. The cached endpoint
// list is decoded again, because it refers to zones and kinds by name.
func (c *Config) useControlPlaneSettings(deployment *config.Deployment, version uint64, log *slog.Logger) {
	c.deployment, c.controlPlaneVersion = deployment, version
	c.readCachedEndpoints(log)
}

// newParseError returns an error with the line and column at which a configuration can't be parsed.
func newParseError(file string, data []byte, err error) error {
	offset := int64(len(data))
	var syntaxErr *json.SyntaxError
	var typeErr *json.UnmarshalTypeError
	switch {
	case errors.As(err, &syntaxErr):
		offset = syntaxErr.Offset
	case errors.As(err, &typeErr):
		offset = typeErr.Offset
	}
	before := data[:min(max(offset-1, 0), int64(len(data)))]
	line := 1 + bytes.Count(before, []byte("\n"))
	column := len(before) - bytes.LastIndexByte(before, '\n')
	return fmt.Errorf("%s:%d:%d: invalid configuration: %w", file, line, column, err)
}

// String returns the summary of a configuration that `pearknot check` prints.
func (c *Config) String() string {
	cached := 0
	if c.cachedEndpoints != nil {
		cached = len(c.cachedEndpoints.Endpoints)
	}
	return fmt.Sprintf("%s on %s, list at %s: %s, reports of %v, %d categories, %d known backends, %d nodes; %g cores, %d MB, %d sockets",
		c.name, c.address, c.discoveryAddress, c.deployment.Topology, c.deployment.LoadReportFields, len(c.deployment.Classes), cached,
		c.deployment.BalancerConfig.Nodes, c.cores, c.memoryBytes>>20, c.maxDescriptors)
}
