package scale

import (
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
)

// ProcessKind is what a process of a run is.
type ProcessKind string

// The kinds of processes. The first three are also those of whoever opens a link to a member.
const (
	KindHollow ProcessKind = "hollow"
	KindReal   ProcessKind = "real"
	KindMember ProcessKind = "member"
	KindLab    ProcessKind = "lab"
)

// nodeKinds are the kinds that nodes have.
var nodeKinds = []ProcessKind{KindHollow, KindReal}

// node is a node of the fleet.
type node struct {
	name string
	zone int
	kind ProcessKind
}

// site is where a run takes place: its directory with its files, its addresses, links and nodes.
type site struct {
	experiment      *Experiment
	dir             string
	memberAddresses []string
	links           []*link
	nodes           []node
}

// newSite writes the files and opens the links. It returns the site also with an error, so that what was opened can be closed.
func newSite(e *Experiment, dir string) (*site, error) {
	s := &site{experiment: e, dir: dir}
	reserved, err := s.reserveAddresses()
	defer func() {
		for _, listener := range reserved {
			_ = listener.Close()
		}
	}()
	if err != nil {
		return s, err
	}
	for number := range e.Nodes {
		s.nodes = append(s.nodes, e.newNode(number))
	}
	key := make([]byte, 32)
	_, _ = rand.Read(key)
	if err := os.WriteFile(filepath.Join(dir, "key"), []byte(hex.EncodeToString(key)+"\n"), 0o600); err != nil {
		return s, err
	}
	if err := s.writeControlPlaneFile("operator", e.regionOf(0), "operator", s.memberAddresses); err != nil {
		return s, err
	}
	if err := s.openNodeLinks(); err != nil {
		return s, err
	}
	return s, s.openMemberLinks()
}

func (e *Experiment) newNode(number int) node {
	n := node{name: fmt.Sprintf("hollow-%d", number), zone: e.zoneOf(number), kind: KindHollow}
	if number < e.RealNodes {
		n.name, n.kind = fmt.Sprintf("n%d", number), KindReal // the name that the load's lab gives it
	}
	return n
}

// reserveAddresses chooses the members' addresses. Its listeners hold the ports until all links are open. They are on a loopback address
// of this process's own, whose ports no outgoing connection takes.
func (s *site) reserveAddresses() (reserved []net.Listener, err error) {
	address := fmt.Sprintf("127.%d.%d.254:0", 16+os.Getpid()%200, os.Getpid()/200%250)
	for range s.experiment.Members.Count {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			return reserved, err
		}
		reserved = append(reserved, listener)
		s.memberAddresses = append(s.memberAddresses, listener.Addr().String())
	}
	return reserved, nil
}

// openNodeLinks opens the links of the nodes of each zone and kind, and writes the file that these nodes read.
func (s *site) openNodeLinks() error {
	for zone := range s.experiment.Zones {
		for _, kind := range nodeKinds {
			addresses, err := s.openLinks(kind, zone, noMember)
			if err != nil {
				return err
			}
			if err := s.writeControlPlaneFile(zoneFile(kind, zone), s.experiment.regionOf(zone), string(kind), addresses); err != nil {
				return err
			}
		}
	}
	return nil
}

// openMemberLinks opens each member's links to the others, and writes its file. Its own address is the one at which it listens.
func (s *site) openMemberLinks() error {
	for member, address := range s.memberAddresses {
		name, zone := memberName(member), s.experiment.zoneOf(member)
		addresses, err := s.openLinks(KindMember, zone, member)
		if err != nil {
			return err
		}
		addresses[member] = address
		if err := s.writeControlPlaneFile(name, s.experiment.regionOf(zone), name, addresses); err != nil {
			return err
		}
	}
	return nil
}

// zoneFile is the name of the file that nodes of a kind in a zone read.
func zoneFile(kind ProcessKind, zone int) string { return string(kind) + "-" + zoneName(zone) }

// filePath is the path of a control plane's file.
func (s *site) filePath(name string) string { return filepath.Join(s.dir, name+".toml") }

// writeControlPlaneFile writes a control plane's file for processes that see the members at some addresses.
func (s *site) writeControlPlaneFile(name, region, stateDir string, addresses []string) error {
	var text strings.Builder
	fmt.Fprintf(&text, "fleet = \"scale\"\nkey_file = \"key\"\nregion = %q\nstate_dir = %q\n", region, stateDir)
	for member, address := range addresses {
		fmt.Fprintf(&text, "\n[[member]]\nname = %q\nregion = %q\naddress = %q\nvoter = %v\n",
			memberName(member), s.experiment.regionOf(s.experiment.zoneOf(member)), address, member < s.experiment.Members.Voters)
	}
	if err := os.MkdirAll(filepath.Join(s.dir, stateDir), 0o700); err != nil {
		return err
	}
	return os.WriteFile(s.filePath(name), []byte(text.String()), 0o600)
}

// hollowProcess is a process of hollow nodes, as it is to be started.
type hollowProcess struct {
	file   string // of its hollowConfig
	socket string
	nodes  []int // by their numbers in the site
}

// writeHollowFiles writes the configurations of all hollow processes.
func (s *site) writeHollowFiles() (processes []hollowProcess, err error) {
	var remaining []int
	for number, n := range s.nodes {
		if n.kind == KindHollow {
			remaining = append(remaining, number)
		}
	}
	for len(remaining) > 0 {
		count := min(s.experiment.HollowPerProcess, len(remaining))
		process, err := s.writeHollowFile(len(processes), remaining[:count])
		if err != nil {
			return nil, err
		}
		processes = append(processes, process)
		remaining = remaining[count:]
	}
	return processes, nil
}

func (s *site) writeHollowFile(index int, nodes []int) (hollowProcess, error) {
	path := filepath.Join(s.dir, fmt.Sprintf("h%d", index))
	process := hollowProcess{file: path + ".json", socket: path + ".sock", nodes: nodes}
	config := hollowConfig{
		Socket:      process.socket,
		StoreCopies: s.experiment.HollowCopies,
		ReadMs:      readMs + readMsPerTenant*float64(s.experiment.Tenants),
	}
	for _, number := range nodes {
		n := s.nodes[number]
		config.Nodes = append(config.Nodes, hollowNode{Name: n.name, File: s.filePath(zoneFile(KindHollow, n.zone))})
	}
	data, err := json.Marshal(config)
	if err != nil {
		return process, err
	}
	return process, os.WriteFile(process.file, data, 0o600)
}

func (s *site) close() {
	for _, l := range s.links {
		l.Close()
	}
}
