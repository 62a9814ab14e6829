// Package serve puts a node together from its configuration and runs it until it is told to end.
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
	"strings"
	"sync/atomic"

	"pearknot/internal/config"
	"pearknot/internal/discovery"
)

// Place is where a node runs: its addresses, its limits and what the deployment tells it.
type Config struct {
	file      string
	name      string
	listen    string
	discovery string
	control   string // where operators call; empty is nowhere
	cores     float64
	memory    int64 // bytes; 0 is no limit
	sockets   int
	told      *config.Deployment
	names     discovery.DeploymentNames
	tls       string          // a file as --tls names one; empty is none
	tlsListen string          // in the place of that file's
	edge      string          // a file as --edge names one
	known     *discovery.List // nil where the node never had one
	knownText json.RawMessage
	version   uint64   // of the settings, by the control plane; 0 is the file's
	keys      []string // that the file has beside its settings
	now       atomic.Pointer[reading]
}

// reading is what of a configuration may change while the node runs: its text, and where the list is asked for.
type reading struct{ digest, discovery string }

// Read reads the configuration; the environment's own variables stand in for what it leaves out.
func Read(file string, log *slog.Logger) (*Config, error) {
	if file == "" {
		return nil, errors.New("no configuration: give -config or set ROUTER_CONFIG")
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	var read struct {
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
	if err := json.Unmarshal(data, &read); err != nil {
		return nil, wrong(file, data, err)
	}
	p := &Config{
		file:      file,
		name:      cmp.Or(read.Name, os.Getenv("ROUTER_NAME")),
		listen:    cmp.Or(read.Listen, os.Getenv("ROUTER_LISTEN")),
		discovery: cmp.Or(read.Discovery, os.Getenv("ROUTER_DISCOVERY")),
		control:   cmp.Or(read.Control, os.Getenv("ROUTER_CONTROL")),
		cores:     read.Limits.Cores,
		memory:    int64(read.Limits.MemoryMB * (1 << 20)),
		sockets:   cmp.Or(read.Limits.Sockets, 1024),
		tls:       read.TLS,
		tlsListen: read.TLSListen,
		edge:      read.Edge,
	}
	for what, address := range map[string]string{"listen": p.listen, "discovery": p.discovery, "control": p.control} {
		if what == "control" && address == "" {
			continue
		}
		if _, _, err := net.SplitHostPort(address); err != nil {
			return nil, fmt.Errorf("%s: %s: %w", file, what, err)
		}
	}
	if p.cores < 0 || math.IsNaN(p.cores) || p.memory < 0 || p.sockets < 0 {
		return nil, fmt.Errorf("%s: limits below 0", file)
	}
	if len(read.Settings) == 0 {
		return nil, fmt.Errorf("%s: no settings", file)
	}
	if p.told, err = config.ParseJSON(read.Settings); err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	if p.told.Balancer.Seed, err = strconv.ParseUint(read.Seed, 16, 64); err != nil {
		return nil, fmt.Errorf("%s: seed: %w", file, err)
	}
	sum := sha256.Sum256(data)
	p.now.Store(&reading{hex.EncodeToString(sum[:]), p.discovery})
	var keys struct {
		Limits map[string]json.RawMessage
	}
	var all map[string]json.RawMessage
	if err := errors.Join(json.Unmarshal(data, &all), json.Unmarshal(data, &keys)); err != nil {
		return nil, wrong(file, data, err)
	}
	p.keys = slices.Collect(maps.Keys(all))
	for key := range keys.Limits {
		p.keys = append(p.keys, "limits."+key)
	}
	p.knownText = read.Known
	p.readKnown(log)
	return p, nil
}

// readKnown reads the list that the file has, by the names that the settings give.
func (p *Config) readKnown(log *slog.Logger) {
	p.names, p.known = discovery.DeploymentNames{Zones: p.told.Zones, Kinds: p.told.Kinds}, nil
	if len(p.knownText) == 0 || string(p.knownText) == "null" {
		return
	}
	var err error
	if p.known, err = p.names.Decode(p.knownText, log); err != nil {
		log.Warn("known list skipped", "error", err) // the list itself will tell
	} else if !p.known.Complete { // a watch from its version would never tell of the rest
		log.Warn("known list skipped", "error", "changes alone")
		p.known = nil
	}
}

// adopt has a node start with settings that are not the file's.
func (p *Config) adopt(d *config.Deployment, version uint64, log *slog.Logger) {
	p.told, p.version = d, version
	p.readKnown(log)
}

// wrong names the place of what can't be read.
func wrong(file string, data []byte, err error) error {
	at := int64(len(data))
	var syntax *json.SyntaxError
	var kind *json.UnmarshalTypeError
	switch {
	case errors.As(err, &syntax):
		at = syntax.Offset
	case errors.As(err, &kind):
		at = kind.Offset
	}
	before := data[:min(max(at-1, 0), int64(len(data)))]
	line, column := 1+bytes.Count(before, []byte("\n")), len(before)-bytes.LastIndexByte(before, '\n')
	return fmt.Errorf("%s:%d:%d: no configuration: %w", file, line, column, err)
}

// mayGo are the keys that a file may come without, though the one before had them.
var mayGo = []string{"known", "tls", "tls_listen", "edge"}

// reread takes up a new text of the file, whole or not at all: where the list is asked for, and the whole list from there;
// and the settings, by retune. Addresses and limits need a start. Once the control plane has put settings in force, the file's
// are read and no more.
func (p *Config) reread(move func(address string), retune func(*config.Deployment) error, log *slog.Logger) {
	next, err := Read(p.file, log)
	if err == nil {
		for _, key := range slices.Sorted(slices.Values(p.keys)) {
			if err == nil && !slices.Contains(next.keys, key) && !slices.Contains(mayGo, key) {
				err = fmt.Errorf("%s: %s is missing", p.file, key)
			}
		}
	}
	ours := p.version == 0
	if err == nil && ours {
		if err = next.told.CheckReplaces(p.told); err != nil {
			err = fmt.Errorf("%s: %w", p.file, err)
		}
	}
	if err == nil && ours {
		err = retune(next.told)
	}
	if err != nil {
		log.Error("new configuration not taken, the old one holds", "error", err)
		return
	}
	p.keys = next.keys
	if ours {
		p.told = next.told
	} else {
		log.Info("settings of the file not taken: the control plane's hold", "version", p.version)
	}
	if next.name != p.name || next.listen != p.listen || next.sockets != p.sockets || next.memory != p.memory ||
		next.cores != p.cores || next.tls != p.tls || next.tlsListen != p.tlsListen || next.edge != p.edge || next.control != p.control {
		log.Warn("new configuration differs in what only a start takes up")
	}
	if next.discovery != p.discovery { // else the watch goes on
		defer move(next.discovery)
	}
	p.discovery = next.discovery
	p.now.Store(next.now.Load())
	log.Info("new configuration", "discovery", p.discovery, "categories", strings.Join(p.told.Classes, " "))
}

func (p *Config) String() string {
	known := 0
	if p.known != nil {
		known = len(p.known.Endpoints)
	}
	return fmt.Sprintf("%s on %s, list at %s: %s, reports of %v, %d categories, %d known backends, %d nodes; %g cores, %d MB, %d sockets",
		p.name, p.listen, p.discovery, p.told.Topology, p.told.LoadReportFields, len(p.told.Classes), known, p.told.Balancer.Nodes, p.cores, p.memory>>20, p.sockets)
}
