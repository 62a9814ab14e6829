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

// ProcessKind is the role of a process in a run.
type ProcessKind string

// The kinds of processes. The first three are also the kinds of callers that open links to members.
const (
	KindHollow ProcessKind = "hollow"
	KindReal   ProcessKind = "real"
	KindMember ProcessKind = "member"
	KindLab    ProcessKind = "lab"
)

// nodeKinds lists the kinds of nodes.
var nodeKinds = []ProcessKind{KindHollow, KindReal}

// node is a node of the fleet.
type node struct {
	name string
	zone int
	kind ProcessKind
}

// testbed holds the environment of a run: its directory with files, member addresses, links and nodes.
type testbed struct {
	experiment      *Experiment
	dir             string
	memberAddresses []string
	links           []*link
	nodes           []node
}

// newTestbed writes the files and opens the links. It returns the testbed even with an error, so that the opened links can be closed.
func newTestbed(e *Experiment, dir string) (*testbed, error) {
	t := &testbed{experiment: e, dir: dir}
	reserved, err := t.reserveAddresses()
	defer func() {
		for _, listener := range reserved {
			_ = listener.Close()
		}
	}()
	if err != nil {
		return t, err
	}
	for number := range e.Nodes {
		t.nodes = append(t.nodes, e.newNode(number))
	}
	key := make([]byte, 32)
	_, _ = rand.Read(key)
	if err := os.WriteFile(filepath.Join(dir, "key"), []byte(hex.EncodeToString(key)+"\n"), 0o600); err != nil {
		return t, err
	}
	if err := t.writeControlPlaneFile("operator", e.regionOf(0), "operator", t.memberAddresses); err != nil {
		return t, err
	}
	if err := t.openNodeLinks(); err != nil {
		return t, err
	}
	return t, t.openMemberLinks()
}

func (e *Experiment) newNode(number int) node {
	n := node{name: fmt.Sprintf("hollow-%d", number), zone: e.zoneOf(number), kind: KindHollow}
	if number < e.RealNodes {
		n.name, n.kind = fmt.Sprintf("n%d", number), KindReal // the name that package loopback gives it
	}
	return n
}

// reserveAddresses chooses the members' addresses. The returned listeners hold the ports until all links are open. The ports are on a
// loopback address used only by this process, so that no outgoing connection takes them.
func (t *testbed) reserveAddresses() (reserved []net.Listener, err error) {
	address := fmt.Sprintf("127.%d.%d.254:0", 16+os.Getpid()%200, os.Getpid()/200%250)
	for range t.experiment.Members.Count {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			return reserved, err
		}
		reserved = append(reserved, listener)
		t.memberAddresses = append(t.memberAddresses, listener.Addr().String())
	}
	return reserved, nil
}

// openNodeLinks opens the links of the nodes of each zone and kind, and writes the control-plane file of these nodes.
func (t *testbed) openNodeLinks() error {
	for zone := range t.experiment.Zones {
		for _, kind := range nodeKinds {
			addresses, err := t.openLinks(kind, zone, noMember)
			if err != nil {
				return err
			}
			if err := t.writeControlPlaneFile(zoneFile(kind, zone), t.experiment.regionOf(zone), string(kind), addresses); err != nil {
				return err
			}
		}
	}
	return nil
}

// openMemberLinks opens each member's links to the others, and writes its file, in which its own address is the one it listens on.
func (t *testbed) openMemberLinks() error {
	for member, address := range t.memberAddresses {
		name, zone := memberName(member), t.experiment.zoneOf(member)
		addresses, err := t.openLinks(KindMember, zone, member)
		if err != nil {
			return err
		}
		addresses[member] = address
		if err := t.writeControlPlaneFile(name, t.experiment.regionOf(zone), name, addresses); err != nil {
			return err
		}
	}
	return nil
}

// zoneFile returns the name of the control-plane file of the nodes of a kind in a zone.
func zoneFile(kind ProcessKind, zone int) string { return string(kind) + "-" + zoneName(zone) }

// filePath returns the path of the control-plane file with the given name.
func (t *testbed) filePath(name string) string { return filepath.Join(t.dir, name+".toml") }

// writeControlPlaneFile writes the control-plane file of processes that reach the members at the given addresses.
func (t *testbed) writeControlPlaneFile(name, region, stateDir string, addresses []string) error {
	var text strings.Builder
	fmt.Fprintf(&text, "fleet = \"scale\"\nkey_file = \"key\"\nregion = %q\nstate_dir = %q\n", region, stateDir)
	for member, address := range addresses {
		fmt.Fprintf(&text, "\n[[member]]\nname = %q\nregion = %q\naddress = %q\nvoter = %v\n",
			memberName(member), t.experiment.regionOf(t.experiment.zoneOf(member)), address, member < t.experiment.Members.Voters)
	}
	if err := os.MkdirAll(filepath.Join(t.dir, stateDir), 0o700); err != nil {
		return err
	}
	return os.WriteFile(t.filePath(name), []byte(text.String()), 0o600)
}

// hollowProcess describes a process of hollow nodes that is to be started.
type hollowProcess struct {
	file   string // path of its hollowConfig
	socket string // path of its control socket
	nodes  []int  // numbers in the testbed
}

// writeHollowFiles writes the configurations of all hollow processes.
func (t *testbed) writeHollowFiles() (processes []hollowProcess, err error) {
	var remaining []int
	for number, n := range t.nodes {
		if n.kind == KindHollow {
			remaining = append(remaining, number)
		}
	}
	for len(remaining) > 0 {
		count := min(t.experiment.HollowPerProcess, len(remaining))
		process, err := t.writeHollowFile(len(processes), remaining[:count])
		if err != nil {
			return nil, err
		}
		processes = append(processes, process)
		remaining = remaining[count:]
	}
	return processes, nil
}

func (t *testbed) writeHollowFile(index int, nodes []int) (hollowProcess, error) {
	path := filepath.Join(t.dir, fmt.Sprintf("h%d", index))
	process := hollowProcess{file: path + ".json", socket: path + ".sock", nodes: nodes}
	config := hollowConfig{
		Socket:      process.socket,
		StoreCopies: t.experiment.HollowCopies,
		ReadMs:      readMs + readMsPerTenant*float64(t.experiment.Tenants),
	}
	for _, number := range nodes {
		n := t.nodes[number]
		config.Nodes = append(config.Nodes, hollowNode{Name: n.name, File: t.filePath(zoneFile(KindHollow, n.zone))})
	}
	data, err := json.Marshal(config)
	if err != nil {
		return process, err
	}
	return process, os.WriteFile(process.file, data, 0o600)
}

func (t *testbed) close() {
	for _, l := range t.links {
		l.Close()
	}
}
