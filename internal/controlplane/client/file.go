// Package client is the control plane as those who use it see it: its file, a node's link to it with the copy on disk, and the
// operators' calls.
package client

import (
	"fmt"
	"net"
	"path/filepath"
	"slices"
	"sync/atomic"

	"pearknot/internal/controlplane"
	"pearknot/internal/peers/transport"
	"pearknot/internal/tomlfile"
)

const (
	maxMembers   = 21
	maxNameBytes = 64
)

// Member is one process of the control plane.
type Member struct {
	Name, Region, Address string
	Voter                 bool
}

// Plane is what the file says, the same for members, nodes and operators but for the region.
type ControlPlane struct {
	Fleet      string
	Region     string // of a node that reads it
	Members    []Member
	Keys       [][]byte // the first proves, all are taken
	StateDir   string   // for state
	source     *tomlfile.File
	lastLeader atomic.Pointer[string] // the voter that led when it was last asked
}

// planeFile is deploy/control-plane.toml.
type controlPlaneFile struct {
	Fleet    string        `toml:"fleet"`
	KeyFile  string        `toml:"key_file"`
	Region   string        `toml:"region"`
	StateDir string        `toml:"state_dir"`
	Members  []memberEntry `toml:"member"`
}

type memberEntry struct {
	Name    string `toml:"name"`
	Region  string `toml:"region"`
	Address string `toml:"address"`
	Voter   bool   `toml:"voter"`
}

// ReadFile reads the file, and the keys that it names. Paths in it count from where it lies.
func ReadFile(name string) (*ControlPlane, error) {
	f := controlPlaneFile{StateDir: "control-plane"}
	at, err := tomlfile.Read(name, &f)
	if err != nil {
		return nil, err
	}
	switch {
	case f.Fleet == "" || len(f.Fleet) > maxNameBytes:
		return nil, at.Errorf("fleet", "a name of up to %d bytes is wanted", maxNameBytes)
	case f.StateDir == "":
		return nil, at.Errorf("state_dir", "a directory is wanted")
	case len(f.Members) > maxMembers:
		return nil, at.Errorf("member", "%d members, %d at most", len(f.Members), maxMembers)
	}
	p := &ControlPlane{Fleet: f.Fleet, Region: f.Region, StateDir: resolvePath(name, f.StateDir), source: at}
	names, addresses, voters, known := map[string]bool{}, map[string]bool{}, 0, false
	for k, m := range f.Members {
		key := fmt.Sprintf("member.%d.", k)
		switch {
		case !isFileName(m.Name) || names[m.Name]:
			return nil, at.Errorf(key+"name", "%q is no name of letters, digits, dots and dashes, or another's", m.Name)
		case m.Region == "" || len(m.Region) > maxNameBytes:
			return nil, at.Errorf(key+"region", "a name of up to %d bytes is wanted", maxNameBytes)
		case addresses[m.Address]:
			return nil, at.Errorf(key+"address", "%q is another's", m.Address)
		}
		if _, port, err := net.SplitHostPort(m.Address); err != nil {
			return nil, at.Errorf(key+"address", "%v", err)
		} else if port == "" || port == "0" {
			return nil, at.Errorf(key+"address", "%q has no port", m.Address)
		}
		names[m.Name], addresses[m.Address] = true, true
		known = known || m.Region == f.Region
		if m.Voter {
			if voters++; voters > 5 {
				return nil, at.Errorf(key+"voter", "%d voters, 5 at most", voters)
			}
		}
		p.Members = append(p.Members, Member(m))
	}
	switch {
	case voters == 0:
		return nil, at.Errorf("member", "none is a voter")
	case voters%2 == 0:
		return nil, at.Errorf("member", "%d voters: an even number outlives no more losses than one less", voters)
	case !known:
		return nil, at.Errorf("region", "%q has no member", f.Region)
	}
	if p.Keys, err = transport.ReadKeys(resolvePath(name, f.KeyFile)); err != nil {
		return nil, at.Errorf("key_file", "%v", err)
	}
	return p, nil
}

// beside is a path as a file names it.
func resolvePath(file, path string) string {
	if filepath.IsAbs(path) {
		return path
	}
	return filepath.Join(filepath.Dir(file), path)
}

// plain is a name that a file may have.
func isFileName(name string) bool {
	for _, r := range name {
		if !(r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || r == '-' || r == '_' || r == '.') {
			return false
		}
	}
	return name != "" && len(name) <= maxNameBytes && name != "." && name != ".."
}

// Self finds a member by its name.
func (p *ControlPlane) FindMember(name string) (Member, error) {
	if k := slices.IndexFunc(p.Members, func(m Member) bool { return m.Name == name }); k >= 0 {
		return p.Members[k], nil
	}
	return Member{}, p.source.Errorf("member", "none is called %q", name)
}

// Node gives a node's terms, with its copy in the file's directory.
func (p *ControlPlane) NodeConfig(name string) (Config, error) {
	if !isFileName(name) {
		return Config{}, p.source.Errorf("state_dir", "a node called %q can't have a file there: letters, digits, dots and dashes", name)
	}
	return Config{Fleet: p.Fleet, Name: name, Region: p.Region, Members: p.Members, Keys: p.Keys, CopyFile: filepath.Join(p.StateDir, name+".copy"),
		Kind: controlplane.KindNode}, nil
}
