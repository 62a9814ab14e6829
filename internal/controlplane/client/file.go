// Package client provides access to the control plane: the file that describes it, a node's link to it with the stored copy, and the
// calls of operators.
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
	// maxMembers is the number of machines that a fleet reserves for control.
	maxMembers = 21

	// maxVoters is the maximum number of voters: five survive the loss of two. With more, every commit would wait for more disks.
	maxVoters = 5

	maxNameBytes = 64
)

// Member is one process of the control plane.
type Member struct {
	Name, Region, Address string
	Voter                 bool
}

// ControlPlane is the control plane that a file describes. Members, nodes and operators read the same file, except that its region is
// that of the node that reads it.
type ControlPlane struct {
	Fleet      string
	Region     string // of a node that reads the file
	Members    []Member
	Keys       [][]byte // the first is proven to members, all are accepted
	StateDir   string
	source     *tomlfile.File
	lastLeader atomic.Pointer[string] // the voter that responded to the latest leader call; nil is unknown
}

// controlPlaneFile holds the keys of a file such as deploy/control-plane.toml. fleet, key_file and member are required.
type controlPlaneFile struct {
	Fleet    string        `toml:"fleet"`     // name, 1 to 64 bytes; processes of another fleet are rejected
	KeyFile  string        `toml:"key_file"`  // path, relative to this file
	Region   string        `toml:"region"`    // of the node that reads the file; at least one member is in it
	StateDir string        `toml:"state_dir"` // of stores and stored copies, relative to this file; default control-plane
	Members  []memberEntry `toml:"member"`    // at most 21, of which 1, 3 or 5 are voters
}

// memberEntry holds the keys of one member; all but voter are required.
type memberEntry struct {
	Name    string `toml:"name"`    // letters, digits, dots and dashes, distinct
	Region  string `toml:"region"`  // 1 to 64 bytes
	Address string `toml:"address"` // host:port, distinct
	Voter   bool   `toml:"voter"`   // default false: the member relays
}

// ReadFile reads a control plane's file and its key file. Paths in it are relative to its directory. An error includes the file, line
// and column.
func ReadFile(name string) (*ControlPlane, error) {
	file := controlPlaneFile{StateDir: "control-plane"}
	source, err := tomlfile.Read(name, &file)
	if err != nil {
		return nil, err
	}
	switch {
	case file.Fleet == "" || len(file.Fleet) > maxNameBytes:
		return nil, source.Errorf("fleet", "must be a name of 1 to %d bytes", maxNameBytes)
	case file.StateDir == "":
		return nil, source.Errorf("state_dir", "must be a directory path")
	case len(file.Members) > maxMembers:
		return nil, source.Errorf("member", "%d members, at most %d are allowed", len(file.Members), maxMembers)
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

// checkMembers checks each member, and then the set of members as a whole.
func checkMembers(source *tomlfile.File, file *controlPlaneFile) error {
	names, addresses := map[string]bool{}, map[string]bool{}
	voters, hasLocalMember := 0, false
	for i, member := range file.Members {
		key := fmt.Sprintf("member.%d.", i)
		switch {
		case !isFileName(member.Name) || names[member.Name]:
			return source.Errorf(key+"name", "%q is not a valid name (letters, digits, dots and dashes) or is the name of another member", member.Name)
		case member.Region == "" || len(member.Region) > maxNameBytes:
			return source.Errorf(key+"region", "must be a name of 1 to %d bytes", maxNameBytes)
		case addresses[member.Address]:
			return source.Errorf(key+"address", "%q is the address of another member", member.Address)
		}
		if err := checkAddress(source, key+"address", member.Address); err != nil {
			return err
		}
		names[member.Name], addresses[member.Address] = true, true
		hasLocalMember = hasLocalMember || member.Region == file.Region
		if member.Voter {
			if voters++; voters > maxVoters {
				return source.Errorf(key+"voter", "%d voters, at most %d are allowed", voters, maxVoters)
			}
		}
	}
	switch {
	case voters == 0:
		return source.Errorf("member", "no member is a voter")
	case voters%2 == 0:
		return source.Errorf("member", "%d voters: an even number tolerates no more failures than one voter fewer", voters)
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

// resolvePath resolves a path in a file relative to the file's directory.
func resolvePath(file, path string) string {
	if filepath.IsAbs(path) {
		return path
	}
	return filepath.Join(filepath.Dir(file), path)
}

// isFileName reports whether a name can be used as part of a file name without referring to another directory.
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

// FindMember returns the member with a name, or an error if there is none.
func (p *ControlPlane) FindMember(name string) (Member, error) {
	if i := indexOf(p.Members, name); i >= 0 {
		return p.Members[i], nil
	}
	return Member{}, p.source.Errorf("member", "no member is named %q", name)
}

// Voters returns the members that vote, in the order of the file.
func (p *ControlPlane) Voters() []Member { return p.membersWhere(true) }

// relays returns the members that don't vote, in the order of the file.
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

// NodeConfig returns the configuration of a node's client, which stores its copy in the state directory.
func (p *ControlPlane) NodeConfig(name string) (Config, error) {
	if !isFileName(name) {
		return Config{}, p.source.Errorf("state_dir", "node name %q is not valid in a file name: use only letters, digits, dots and dashes", name)
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
