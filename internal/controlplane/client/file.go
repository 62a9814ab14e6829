// Package client is the control plane as its users see it: the file that describes it, a node's link to it with the stored copy, and
// the calls of operators.
package client

import (
	"fmt"
	"net"
	"path/filepath"
	"strings"
	"sync/atomic"

	"pearknot/internal/controlplane"
	"pearknot/internal/peers/transport"
	"pearknot/internal/tomlfile"
)

const (
	// maxMembers is the number of machines that a fleet sets aside for control.
	maxMembers = 21

	// maxVoters voters survive the loss of two. With more, every commit would wait for more disks.
	maxVoters = 5

	maxNameBytes = 64
)

// Member is one process of the control plane.
type Member struct {
	Name, Region, Address string
	Voter                 bool
}

// ControlPlane is a control plane as its file describes it. Members, nodes and operators read the same file, except that the region
// in it is that of the node that reads it.
type ControlPlane struct {
	Fleet      string
	Region     string // of a node that reads the file
	Members    []Member
	Keys       [][]byte // the first is proven to members, all are accepted
	StateDir   string
	source     *tomlfile.File
	lastLeader atomic.Pointer[string] // the voter that answered the latest call of the leader; nil is unknown
}

// controlPlaneFile is deploy/control-plane.toml. fleet, key_file and member are required.
type controlPlaneFile struct {
	Fleet    string        `toml:"fleet"`     // name, 1 to 64 bytes; processes of another fleet are rejected
	KeyFile  string        `toml:"key_file"`  // path, relative to this file
	Region   string        `toml:"region"`    // of the node that reads the file; one that a member has
	StateDir string        `toml:"state_dir"` // of stores and stored copies, relative to this file; default control-plane
	Members  []memberEntry `toml:"member"`    // at most 21, of which 1, 3 or 5 are voters
}

// memberEntry is one member; all keys but voter are required.
type memberEntry struct {
	Name    string `toml:"name"`    // letters, digits, dots and dashes, distinct
	Region  string `toml:"region"`  // 1 to 64 bytes
	Address string `toml:"address"` // host:port, distinct
	Voter   bool   `toml:"voter"`   // default false: the member relays
}

// ReadFile reads a control plane's file, and the keys that it names. Paths in it are relative to its directory. An error names the
// file, line and column.
func ReadFile(name string) (*ControlPlane, error) {
	file := controlPlaneFile{StateDir: "control-plane"}
	source, err := tomlfile.Read(name, &file)
	if err != nil {
		return nil, err
	}
	switch {
	case file.Fleet == "" || len(file.Fleet) > maxNameBytes:
		return nil, source.Errorf("fleet", "a name of up to %d bytes is wanted", maxNameBytes)
	case file.StateDir == "":
		return nil, source.Errorf("state_dir", "a directory is wanted")
	case len(file.Members) > maxMembers:
		return nil, source.Errorf("member", "%d members, %d at most", len(file.Members), maxMembers)
	}
	if err := checkMembers(source, &file); err != nil {
		return nil, err
	}
	p := &ControlPlane{Fleet: file.Fleet, Region: file.Region, StateDir: resolvePath(name, file.StateDir), source: source}
	for _, member := range file.Members {
		p.Members = append(p.Members, Member(member))
	}
	if p.Keys, err = transport.ReadKeys(resolvePath(name, file.KeyFile)); err != nil {
		return nil, source.Errorf("key_file", "%v", err)
	}
	return p, nil
}

// checkMembers checks each member, then what they have to be together.
func checkMembers(source *tomlfile.File, file *controlPlaneFile) error {
	names, addresses := map[string]bool{}, map[string]bool{}
	voters, hasLocalMember := 0, false
	for i, member := range file.Members {
		key := fmt.Sprintf("member.%d.", i)
		switch {
		case !isFileName(member.Name) || names[member.Name]:
			return source.Errorf(key+"name", "%q is no name of letters, digits, dots and dashes, or another's", member.Name)
		case member.Region == "" || len(member.Region) > maxNameBytes:
			return source.Errorf(key+"region", "a name of up to %d bytes is wanted", maxNameBytes)
		case addresses[member.Address]:
			return source.Errorf(key+"address", "%q is another's", member.Address)
		}
		if err := checkAddress(source, key+"address", member.Address); err != nil {
			return err
		}
		names[member.Name], addresses[member.Address] = true, true
		hasLocalMember = hasLocalMember || member.Region == file.Region
		if member.Voter {
			if voters++; voters > maxVoters {
				return source.Errorf(key+"voter", "%d voters, %d at most", voters, maxVoters)
			}
		}
	}
	switch {
	case voters == 0:
		return source.Errorf("member", "none is a voter")
	case voters%2 == 0:
		return source.Errorf("member", "%d voters: an even number outlives no more losses than one less", voters)
	case !hasLocalMember:
		return source.Errorf("region", "%q has no member", file.Region)
	}
	return nil
}

func checkAddress(source *tomlfile.File, key, address string) error {
	_, port, err := net.SplitHostPort(address)
	if err != nil {
		return source.Errorf(key, "%v", err)
	}
	if port == "" || port == "0" {
		return source.Errorf(key, "%q has no port", address)
	}
	return nil
}

// resolvePath returns a path that a file names, relative to the file's directory.
func resolvePath(file, path string) string {
	if filepath.IsAbs(path) {
		return path
	}
	return filepath.Join(filepath.Dir(file), path)
}

// isFileName reports whether a name may be a part of a file's name: it can't lead to another directory.
func isFileName(name string) bool {
	if name == "" || len(name) > maxNameBytes || name == "." || name == ".." {
		return false
	}
	return strings.IndexFunc(name, func(r rune) bool { return !isFileNameRune(r) }) < 0
}

func isFileNameRune(r rune) bool {
	switch {
	case r >= 'a' && r <= 'z', r >= 'A' && r <= 'Z', r >= '0' && r <= '9':
		return true
	}
	return r == '-' || r == '_' || r == '.'
}

// FindMember returns the member that has the name.
func (p *ControlPlane) FindMember(name string) (Member, error) {
	if i := indexOf(p.Members, name); i >= 0 {
		return p.Members[i], nil
	}
	return Member{}, p.source.Errorf("member", "none is called %q", name)
}

// Voters returns the members with a vote, in the order of the file.
func (p *ControlPlane) Voters() []Member { return p.membersWhere(true) }

// relays returns the members without a vote, in the order of the file.
func (p *ControlPlane) relays() []Member { return p.membersWhere(false) }

func (p *ControlPlane) membersWhere(voter bool) []Member {
	var members []Member
	for _, member := range p.Members {
		if member.Voter == voter {
			members = append(members, member)
		}
	}
	return members
}

// NodeConfig returns the configuration of a node's client, which keeps its copy in the state directory.
func (p *ControlPlane) NodeConfig(name string) (Config, error) {
	if !isFileName(name) {
		return Config{}, p.source.Errorf("state_dir", "a node called %q can't have a file there: letters, digits, dots and dashes", name)
	}
	return Config{
		Fleet:    p.Fleet,
		Name:     name,
		Region:   p.Region,
		Members:  p.Members,
		Keys:     p.Keys,
		CopyFile: filepath.Join(p.StateDir, name+".copy"),
		Kind:     controlplane.KindNode,
	}, nil
}
