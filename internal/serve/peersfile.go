package serve

import (
	"fmt"
	"net"
	"net/textproto"
	"path/filepath"
	"slices"

	"pearknot/internal/peers"
	"pearknot/internal/peers/transport"
	"pearknot/internal/requestlog"
	"pearknot/internal/server"
	"pearknot/internal/tomlfile"
)

// peersFile is deploy/peers.toml.
//
// fleet, key_file and member are required. The keys keep the words that operators' files have.
type peersFile struct {
	Fleet     string           `toml:"fleet"`      // name, 1 to 64 bytes; members of another fleet are rejected
	KeyFile   string           `toml:"key_file"`   // path, relative to this file
	Copies    int              `toml:"copies"`     // replicas of each request log, 3 or 5; default 3
	Header    string           `toml:"header"`     // that carries the idempotency key; default Idempotency-Key
	KeepS     float64          `toml:"keep_s"`     // how long an answer is kept, s, 1 to 3600; default 60
	MemoryMB  float64          `toml:"memory_mb"`  // of all replicas at this node, MB, 1 to 1024; default 16
	AnswersKB float64          `toml:"answers_kb"` // size of the largest answer that is kept, KB, 0 to 1024; default 64
	Member    []peersMember    `toml:"member"`     // at least as many as copies, at most 64
	Category  []peersClassRule `toml:"category"`   // of logged classes; default none
}

// peersMember is one node; both keys are required.
type peersMember struct {
	Name    string `toml:"name"`    // as in the node's configuration, 1 to 64 bytes, distinct
	Address string `toml:"address"` // host:port
}

// peersClassRule says whether the requests of a class are logged.
type peersClassRule struct {
	Name    string `toml:"name"`    // of the class
	Survive string `toml:"survive"` // required; finish: the requests are logged and taken over, no: they are not
	Alone   string `toml:"alone"`   // without a quorum: nack rejects the request (default), go-on serves it unlogged
}

const (
	maxPeers        = 64
	maxPeerNameSize = 64 // bytes; also of a fleet's name
)

// Peers is what an operator says of the nodes that share a request log.
type Peers struct {
	config         peers.Config
	file           *tomlfile.File
	keyHeader      string
	maxAnswerBytes int
	classes        map[string]server.NoQuorumPolicy // the logged classes, by name
}

// ReadPeers reads the operator's file of peers, and the keys that it names.
func ReadPeers(name string) (*Peers, error) {
	content := peersFile{Copies: 3, Header: "Idempotency-Key", KeepS: 60, MemoryMB: 16, AnswersKB: 64}
	file, err := tomlfile.Read(name, &content)
	if err != nil {
		return nil, err
	}
	if err := content.validate(file); err != nil {
		return nil, err
	}
	memoryPerLog := content.MemoryMB * (1 << 20) / float64(content.Copies) / requestlog.MemoryFactor
	p := &Peers{
		file:           file,
		keyHeader:      content.Header,
		maxAnswerBytes: int(content.AnswersKB * 1024),
		classes:        map[string]server.NoQuorumPolicy{},
		config: peers.Config{
			Fleet:       content.Fleet,
			Replicas:    content.Copies,
			AnswerTTL:   content.KeepS * 1e3,
			MaxLogBytes: int(memoryPerLog),
			Self:        -1,
		},
	}
	if err := p.addMembers(content.Member); err != nil {
		return nil, err
	}
	if err := p.addClasses(content.Category); err != nil {
		return nil, err
	}
	if p.config.Keys, err = transport.ReadKeys(besideFile(name, content.KeyFile)); err != nil {
		return nil, file.Errorf("key_file", "%v", err)
	}
	return p, nil
}

func (f *peersFile) validate(file *tomlfile.File) error {
	switch {
	case f.Fleet == "" || len(f.Fleet) > maxPeerNameSize:
		return file.Errorf("fleet", "a name of up to 64 bytes is wanted")
	case f.Copies != 3 && f.Copies != 5:
		return file.Errorf("copies", "%d is not 3 or 5", f.Copies)
	case len(f.Member) < f.Copies || len(f.Member) > maxPeers:
		return file.Errorf("member", "%d members for %d copies; 64 at most", len(f.Member), f.Copies)
	case f.Header != textproto.CanonicalMIMEHeaderKey(f.Header) || f.Header == "":
		return file.Errorf("header", "%q is no header's name as it is written", f.Header)
	}
	return checkRanges(file, []keyRange{
		{"keep_s", f.KeepS, 1, 3600},
		{"memory_mb", f.MemoryMB, 1, 1024},
		{"answers_kb", f.AnswersKB, 0, 1024},
	})
}

func (p *Peers) addMembers(members []peersMember) error {
	seen := map[string]bool{}
	for i, member := range members {
		key := fmt.Sprintf("member.%d.", i)
		if member.Name == "" || len(member.Name) > maxPeerNameSize || seen[member.Name] {
			return p.file.Errorf(key+"name", "%q is no name, or another's", member.Name)
		}
		seen[member.Name] = true
		if _, _, err := net.SplitHostPort(member.Address); err != nil {
			return p.file.Errorf(key+"address", "%v", err)
		}
		p.config.Members = append(p.config.Members, peers.Member{Name: member.Name, Address: member.Address})
	}
	return nil
}

func (p *Peers) addClasses(rules []peersClassRule) error {
	for i, rule := range rules {
		key := fmt.Sprintf("category.%d.", i)
		switch {
		case rule.Survive != "no" && rule.Survive != "finish":
			return p.file.Errorf(key+"survive", "%q is not no or finish", rule.Survive)
		case rule.Alone != "" && rule.Alone != "nack" && rule.Alone != "go-on":
			return p.file.Errorf(key+"alone", "%q is not nack or go-on", rule.Alone)
		case rule.Survive == "finish" && rule.Alone == "go-on":
			p.classes[rule.Name] = server.ProceedWithoutQuorum
		case rule.Survive == "finish":
			p.classes[rule.Name] = server.RejectWithoutQuorum
		}
	}
	return nil
}

// bind finds the node among the members by its name, and checks that the deployment has the logged classes.
func (p *Peers) bind(cfg *Config) error {
	p.config.Self = slices.IndexFunc(p.config.Members, func(member peers.Member) bool { return member.Name == cfg.name })
	if p.config.Self < 0 {
		return p.file.Errorf("member", "none is called %q, as this node is", cfg.name)
	}
	for name := range p.classes {
		if !slices.Contains(cfg.deployment.Classes, name) {
			return p.file.Errorf("category", "%q is none of the node's categories", name)
		}
	}
	return nil
}

// requestLogging returns the server's part of the configuration.
func (p *Peers) requestLogging(links *peers.Peers) server.RequestLogging {
	return server.RequestLogging{Peers: links, KeyHeader: p.keyHeader, Classes: p.classes, MaxAnswerBytes: p.maxAnswerBytes}
}

// besideFile returns the path of a file that the file called name refers to: a relative path starts at that file's
// directory.
func besideFile(name, relative string) string {
	if filepath.IsAbs(relative) {
		return relative
	}
	return filepath.Join(filepath.Dir(name), relative)
}
