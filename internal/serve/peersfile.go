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

// peersFile is the content of a file such as deploy/peers.toml.
//
// fleet, key_file and member are required. The keys must not change.
type peersFile struct {
	Fleet     string           `toml:"fleet"`      // name, 1 to 64 bytes; members of other fleets are rejected
	KeyFile   string           `toml:"key_file"`   // path, relative to this file
	Copies    int              `toml:"copies"`     // replicas of each request log, 3 or 5; default 3
	Header    string           `toml:"header"`     // name of the header with the idempotency key; default Idempotency-Key
	KeepS     float64          `toml:"keep_s"`     // time for which an answer is kept, s, 1 to 3600; default 60
	MemoryMB  float64          `toml:"memory_mb"`  // memory of all replicas at this node, MB, 1 to 1024; default 16
	AnswersKB float64          `toml:"answers_kb"` // size of the largest answer that is kept, KB, 0 to 1024; default 64
	Member    []peersMember    `toml:"member"`     // members, at least as many as copies, at most 64
	Category  []peersClassRule `toml:"category"`   // rules for classes of requests; default none
}

// peersMember is a node that shares the request logs; both keys are required.
type peersMember struct {
	Name    string `toml:"name"`    // as in the node's configuration, 1 to 64 bytes, distinct
	Address string `toml:"address"` // host:port
}

// peersClassRule determines whether the requests of a class are logged.
type peersClassRule struct {
	Name    string `toml:"name"`    // of the class
	Survive string `toml:"survive"` // required; finish: the requests are logged and taken over, no: they are not
	Alone   string `toml:"alone"`   // without a quorum: nack rejects the request (default), go-on serves it unlogged
}

const (
	maxPeers         = 64
	maxPeerNameBytes = 64 // also of a fleet's name
)

// Peers holds the settings from the operator's file of peers, the nodes that share request logs.
type Peers struct {
	config         peers.Config
	file           *tomlfile.File
	keyHeader      string
	maxAnswerBytes int
	classes        map[string]server.NoQuorumPolicy // the logged classes, by name
}

// ReadPeers reads the operator's file of peers, and the key file that it names.
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
	if p.config.Keys, err = transport.ReadKeys(resolvePath(name, content.KeyFile)); err != nil {
		return nil, file.Errorf("key_file", "%v", err)
	}
	return p, nil
}

func (f *peersFile) validate(file *tomlfile.File) error {
	switch {
	case f.Fleet == "" || len(f.Fleet) > maxPeerNameBytes:
		return file.Errorf("fleet", "must be a name of 1 to 64 bytes")
	case f.Copies != 3 && f.Copies != 5:
		return file.Errorf("copies", "%d is not 3 or 5", f.Copies)
	case len(f.Member) < f.Copies || len(f.Member) > maxPeers:
		return file.Errorf("member", "%d members for %d copies, must be at least as many as copies and at most 64", len(f.Member), f.Copies)
	case f.Header != textproto.CanonicalMIMEHeaderKey(f.Header) || f.Header == "":
		return file.Errorf("header", "%q is not a canonical header name", f.Header)
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
		if member.Name == "" || len(member.Name) > maxPeerNameBytes || seen[member.Name] {
			return p.file.Errorf(key+"name", "%q is not a name of 1 to 64 bytes, or is used twice", member.Name)
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
			return p.file.Errorf(key+"survive", `%q is neither "no" nor "finish"`, rule.Survive)
		case rule.Alone != "" && rule.Alone != "nack" && rule.Alone != "go-on":
			return p.file.Errorf(key+"alone", `%q is neither "nack" nor "go-on"`, rule.Alone)
		case rule.Survive == "finish" && rule.Alone == "go-on":
			p.classes[rule.Name] = server.ProceedWithoutQuorum
		case rule.Survive == "finish":
			p.classes[rule.Name] = server.RejectWithoutQuorum
		}
	}
	return nil
}

// bind sets Self to the member with the node's name, and checks that the deployment has the logged classes.
func (p *Peers) bind(cfg *Config) error {
	p.config.Self = slices.IndexFunc(p.config.Members, func(member peers.Member) bool { return member.Name == cfg.name })
	if p.config.Self < 0 {
		return p.file.Errorf("member", "no member has this node's name, %q", cfg.name)
	}
	for name := range p.classes {
		if !slices.Contains(cfg.deployment.Classes, name) {
			return p.file.Errorf("category", "%q is not a category of this node", name)
		}
	}
	return nil
}

// requestLogging returns the server's part of the settings.
func (p *Peers) requestLogging(links *peers.Peers) server.RequestLogging {
	return server.RequestLogging{Peers: links, KeyHeader: p.keyHeader, Classes: p.classes, MaxAnswerBytes: p.maxAnswerBytes}
}

// resolvePath returns the path of a file that is named in the file called name. A relative path is resolved against the
// directory of that file.
func resolvePath(name, relative string) string {
	if filepath.IsAbs(relative) {
		return relative
	}
	return filepath.Join(filepath.Dir(name), relative)
}
