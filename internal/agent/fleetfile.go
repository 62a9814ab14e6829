package agent

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"

	"pearknot/internal/fleet"
	"pearknot/internal/tomlfile"
)

// fleetFile holds the declarations of deploy/fleet.toml.
type fleetFile struct {
	Instance []instanceEntry `toml:"instance"`
}

// instanceEntry declares an instance. Values other than Name and Config replace those of the configuration file.
type instanceEntry struct {
	Name        string  `toml:"name"`
	Config      string  `toml:"config"` // the configuration file
	State       string  `toml:"state"`  // running, which is the default, or stopped
	Listen      string  `toml:"listen"`
	ListAddress string  `toml:"list"` // address of the endpoint list's source
	Cores       float64 `toml:"cores"`
	MemoryMB    float64 `toml:"memory_mb"`
	Sockets     int     `toml:"sockets"`
	TLS         string  `toml:"tls"`        // a tls.toml
	TLSListen   string  `toml:"tls_listen"` // replaces the listen of that file
	Edge        string  `toml:"edge"`       // an edge.toml
}

// ReadFleet reads the file in which an operator declares instances. It returns them, and for each the text of its
// configuration: its configuration file, with the values from the fleet file in place of those there.
func ReadFleet(name string) (instances []fleet.Instance, configs map[string]string, err error) {
	var file fleetFile
	positions, err := tomlfile.Read(name, &file)
	if err != nil {
		return nil, nil, err
	}
	configs = map[string]string{}
	for i := range file.Instance {
		entry, prefix := &file.Instance[i], fmt.Sprintf("instance.%d.", i)
		if entry.State == "" {
			entry.State = string(fleet.Running)
		}
		if err := entry.validate(positions, prefix, configs); err != nil {
			return nil, nil, err
		}
		instance, text, err := entry.read(positions, prefix, filepath.Dir(name))
		if err != nil {
			return nil, nil, err
		}
		instances = append(instances, instance)
		configs[entry.Name] = text
	}
	return instances, configs, nil
}

// validate refuses an entry that lacks a required value, has values out of range, or has the name of an earlier
// entry. The prefix is that of the entry's keys.
func (e *instanceEntry) validate(positions *tomlfile.File, prefix string, earlier map[string]string) error {
	if e.Name == "" {
		return positions.Errorf(prefix+"name", "none given")
	}
	if _, isDuplicate := earlier[e.Name]; isDuplicate {
		return positions.Errorf(prefix+"name", "%s declared twice", e.Name)
	}
	if e.Config == "" {
		return positions.Errorf(prefix+"config", "none given")
	}
	if e.State != string(fleet.Running) && e.State != string(fleet.Stopped) {
		return positions.Errorf(prefix+"state", "%q is neither running nor stopped", e.State)
	}
	if e.Cores < 0 || e.MemoryMB < 0 || e.Sockets < 0 {
		return positions.Errorf(prefix+"cores", "limits below 0")
	}
	return nil
}

// read reads the files that an entry names, relative to a directory, and returns the instance with its
// configuration's text.
func (e *instanceEntry) read(positions *tomlfile.File, prefix, dir string) (fleet.Instance, string, error) {
	path := absolutePath(dir, e.Config)
	data, err := os.ReadFile(path)
	if err != nil {
		return fleet.Instance{}, "", positions.Errorf(prefix+"config", "%v", err)
	}
	for key, file := range map[string]*string{"tls": &e.TLS, "edge": &e.Edge} {
		if *file, err = existingFile(dir, *file); err != nil {
			return fleet.Instance{}, "", positions.Errorf(prefix+key, "%v", err)
		}
	}
	if e.TLS == "" && e.TLSListen != "" {
		return fleet.Instance{}, "", positions.Errorf(prefix+"tls_listen", "requires tls")
	}
	text, listen, list, err := Configure(data, e.values(), e.limits())
	if err != nil {
		return fleet.Instance{}, "", positions.Errorf(prefix+"config", "%s: %v", path, err)
	}
	instance := fleet.Instance{
		Name:      e.Name,
		Listen:    listen,
		Config:    path,
		Discovery: list,
		Desired:   fleet.DesiredState(e.State),
	}
	return instance, text, nil
}

// existingFile returns the absolute path of a file that must exist, and an empty path if no file is given.
func existingFile(dir, file string) (string, error) {
	if file == "" {
		return "", nil
	}
	path, err := filepath.Abs(absolutePath(dir, file))
	if err != nil {
		return "", err
	}
	_, err = os.Stat(path)
	return path, err
}

// values returns the configuration values that an entry replaces, by key.
func (e *instanceEntry) values() map[string]any {
	return map[string]any{
		"name":       e.Name,
		"listen":     e.Listen,
		"discovery":  e.ListAddress,
		"tls":        e.TLS,
		"tls_listen": e.TLSListen,
		"edge":       e.Edge,
	}
}

// limits returns the limits that an entry gives, by key.
func (e *instanceEntry) limits() map[string]any {
	limits := map[string]any{}
	for key, value := range map[string]float64{
		"cores":     e.Cores,
		"memory_mb": e.MemoryMB,
		"sockets":   float64(e.Sockets),
	} {
		if value > 0 {
			limits[key] = value
		}
	}
	return limits
}

// Configure replaces values in a configuration and returns its text, with the addresses that the node listens at
// and polls its endpoint list from. Empty values replace nothing.
func Configure(data []byte, values, limits map[string]any) (text, listen, list string, err error) {
	var config map[string]any
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.UseNumber() // a number keeps its text
	if err := decoder.Decode(&config); err != nil {
		return "", "", "", fmt.Errorf("invalid configuration: %w", err)
	}
	for key, value := range values {
		if value != "" {
			config[key] = value
		}
	}
	if len(limits) > 0 {
		existing, _ := config["limits"].(map[string]any)
		if existing == nil {
			existing = map[string]any{}
		}
		for key, value := range limits {
			existing[key] = value
		}
		config["limits"] = existing
	}
	listen, _ = config["listen"].(string)
	list, _ = config["discovery"].(string)
	for key, address := range map[string]string{"listen": listen, "discovery": list} {
		if _, _, err := net.SplitHostPort(address); err != nil {
			return "", "", "", fmt.Errorf("%s: %w", key, err)
		}
	}
	indented, err := json.MarshalIndent(config, "", " ")
	return string(indented) + "\n", listen, list, err
}
