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
type peersFile struct {
	Fleet     string         `toml:"fleet"`
	KeyFile   string         `toml:"key_file"`
	Copies    int            `toml:"copies"`
	Header    string         `toml:"header"`
	KeepS     float64        `toml:"keep_s"`
	MemoryMB  float64        `toml:"memory_mb"`
	AnswersKB float64        `toml:"answers_kb"`
	Member    []memberFile   `toml:"member"`
	Category  []survivalFile `toml:"category"`
}

type memberFile struct {
	Name    string `toml:"name"`
	Address string `toml:"address"`
}

type survivalFile struct {
	Name    string `toml:"name"`
	Survive string `toml:"survive"`
	Alone   string `toml:"alone"`
}

// Peers is what an operator says of the processes that share.
type Peers struct {
	terms      peers.Config
	at         *tomlfile.File
	header     string
	most       int
	categories map[string]bool // those that are kept; true goes on alone
}

// ReadPeers reads the file, and the keys that it names.
func ReadPeers(name string) (*Peers, error) {
	f := peersFile{Copies: 3, Header: "Idempotency-Key", KeepS: 60, MemoryMB: 16, AnswersKB: 64}
	at, err := tomlfile.Read(name, &f)
	if err != nil {
		return nil, err
	}
	switch {
	case f.Fleet == "" || len(f.Fleet) > 64:
		return nil, at.Errorf("fleet", "a name of up to 64 bytes is wanted")
	case f.Copies != 3 && f.Copies != 5:
		return nil, at.Errorf("copies", "%d is not 3 or 5", f.Copies)
	case len(f.Member) < f.Copies || len(f.Member) > 64:
		return nil, at.Errorf("member", "%d members for %d copies; 64 at most", len(f.Member), f.Copies)
	case f.Header != textproto.CanonicalMIMEHeaderKey(f.Header) || f.Header == "":
		return nil, at.Errorf("header", "%q is no header's name as it is written", f.Header)
	}
	for _, x := range []struct {
		key               string
		value, from, most float64
	}{{"keep_s", f.KeepS, 1, 3600}, {"memory_mb", f.MemoryMB, 1, 1024}, {"answers_kb", f.AnswersKB, 0, 1024}} {
		if !(x.value >= x.from && x.value <= x.most) {
			return nil, at.Errorf(x.key, "%v is not %v to %v", x.value, x.from, x.most)
		}
	}
	p := &Peers{at: at, header: f.Header, most: int(f.AnswersKB * 1024), categories: map[string]bool{},
		terms: peers.Config{Fleet: f.Fleet, Replicas: f.Copies, AnswerTTL: f.KeepS * 1e3, MaxLogBytes: int(f.MemoryMB * (1 << 20) / float64(f.Copies) / requestlog.MemoryFactor), Self: -1}}
	seen := map[string]bool{}
	for k, m := range f.Member {
		key := fmt.Sprintf("member.%d.", k)
		if m.Name == "" || len(m.Name) > 64 || seen[m.Name] {
			return nil, at.Errorf(key+"name", "%q is no name, or another's", m.Name)
		}
		seen[m.Name] = true
		if _, _, err := net.SplitHostPort(m.Address); err != nil {
			return nil, at.Errorf(key+"address", "%v", err)
		}
		p.terms.Members = append(p.terms.Members, peers.Member{Name: m.Name, Address: m.Address})
	}
	for k, c := range f.Category {
		key := fmt.Sprintf("category.%d.", k)
		switch {
		case c.Survive != "no" && c.Survive != "finish":
			return nil, at.Errorf(key+"survive", "%q is not no or finish", c.Survive)
		case c.Alone != "" && c.Alone != "nack" && c.Alone != "go-on":
			return nil, at.Errorf(key+"alone", "%q is not nack or go-on", c.Alone)
		case c.Survive == "finish":
			p.categories[c.Name] = c.Alone == "go-on"
		}
	}
	file := f.KeyFile
	if !filepath.IsAbs(file) {
		file = filepath.Join(filepath.Dir(name), file)
	}
	if p.terms.Keys, err = transport.ReadKeys(file); err != nil {
		return nil, at.Errorf("key_file", "%v", err)
	}
	return p, nil
}

// fits takes the node's name for the member's, and looks whether the categories are there.
func (o *Peers) fits(p *Config) error {
	o.terms.Self = slices.IndexFunc(o.terms.Members, func(m peers.Member) bool { return m.Name == p.name })
	if o.terms.Self < 0 {
		return o.at.Errorf("member", "none is called %q, as this node is", p.name)
	}
	for name := range o.categories {
		if !slices.Contains(p.told.Classes, name) {
			return o.at.Errorf("category", "%q is none of the node's categories", name)
		}
	}
	return nil
}

func (o *Peers) keep(links *peers.Peers) server.RequestLogging {
	return server.RequestLogging{Peers: links, KeyHeader: o.header, Classes: o.categories, MaxAnswerBytes: o.most}
}
