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

	"pearknot/internal/clock"
	"pearknot/internal/lab/faultproxy"
)

// way is a relay from the nodes of one kind in one zone, or from one member, to a member.
type way struct {
	*faultproxy.Proxy
	kind     string // of whoever calls: hollow, real, member
	from, to int    // zones
	caller   int    // of a member its number
	member   int
}

// node is one of the fleet's.
type node struct {
	name string
	zone int
	real bool
}

func (n node) kind() string {
	if n.real {
		return realKind
	}
	return hollowKind
}

// site is a run's place: its directory, addresses, links and files.
type site struct {
	e       *Experiment
	dir     string
	members []string // addresses
	ways    []*way
	nodes   []node
}

const (
	hollowKind = "hollow"
	realKind   = "real"
	memberKind = "member"
	labKind    = "lab"
)

// lay writes the files and opens the links.
func lay(e *Experiment, dir string) (*site, error) {
	s := &site{e: e, dir: dir}
	home := fmt.Sprintf("127.%d.%d.254", 16+os.Getpid()%200, os.Getpid()/200%250) // ports that nobody's outgoing connections take
	var held []net.Listener
	defer func() {
		for _, l := range held {
			_ = l.Close()
		}
	}()
	for range e.Members.Count {
		l, err := net.Listen("tcp", home+":0")
		if err != nil {
			return s, err
		}
		held = append(held, l)
		s.members = append(s.members, l.Addr().String())
	}
	for k := range e.Nodes {
		n := node{name: fmt.Sprintf("hollow-%d", k), zone: k % e.Zones, real: k < e.Real}
		if n.real {
			n.name = fmt.Sprintf("n%d", k) // as the lab calls them
		}
		s.nodes = append(s.nodes, n)
	}
	key := make([]byte, 32)
	_, _ = rand.Read(key)
	if err := os.WriteFile(filepath.Join(dir, "key"), []byte(hex.EncodeToString(key)+"\n"), 0o600); err != nil {
		return s, err
	}
	if err := s.write("operator", e.region(0), "operator", s.members); err != nil {
		return s, err
	}
	for zone := range e.Zones {
		for _, kind := range []string{hollowKind, realKind} {
			addresses, err := s.open(kind, zone, -1)
			if err != nil {
				return s, err
			}
			if err := s.write(zoneFile(kind, zone), e.region(zone), kind, addresses); err != nil {
				return s, err
			}
		}
	}
	for k := range e.Members.Count {
		addresses, err := s.open(memberKind, e.memberZone(k), k)
		if err != nil {
			return s, err
		}
		addresses[k] = s.members[k]
		if err := s.write(memberName(k), e.region(e.memberZone(k)), memberName(k), addresses); err != nil {
			return s, err
		}
	}
	return s, nil
}

func zoneFile(kind string, zone int) string { return kind + "-" + zoneName(zone) }

func (s *site) file(name string) string { return filepath.Join(s.dir, name+".toml") }

// open opens the relays from one place to all members, and gives their addresses.
func (s *site) open(kind string, zone, caller int) (addresses []string, err error) {
	for k, to := range s.members {
		if k == caller {
			addresses = append(addresses, "")
			continue
		}
		w, err := faultproxy.Open(to)
		if err != nil {
			return nil, err
		}
		s.ways = append(s.ways, &way{w, kind, zone, s.e.memberZone(k), caller, k})
		addresses = append(addresses, w.Address())
	}
	return addresses, nil
}

// write writes a control plane's file, as those at one place read it.
func (s *site) write(name, region, state string, addresses []string) error {
	var b strings.Builder
	fmt.Fprintf(&b, "fleet = \"scale\"\nkey_file = \"key\"\nregion = %q\nstate_dir = %q\n", region, state)
	for k, a := range addresses {
		fmt.Fprintf(&b, "\n[[member]]\nname = %q\nregion = %q\naddress = %q\nvoter = %v\n", memberName(k), s.e.region(s.e.memberZone(k)), a, k < s.e.Members.Voters)
	}
	if err := os.MkdirAll(filepath.Join(s.dir, state), 0o700); err != nil {
		return err
	}
	return os.WriteFile(s.file(name), []byte(b.String()), 0o600)
}

// crowds writes what the hollow processes are told to be, and gives the files with the numbers of their nodes.
func (s *site) crowds() (files []string, sockets []string, numbers [][]int, err error) {
	var all []int
	for k, n := range s.nodes {
		if !n.real {
			all = append(all, k)
		}
	}
	for p := 0; len(all) > 0; p++ {
		some := all[:min(s.e.Hollow, len(all))]
		all = all[len(some):]
		w := crowd{Socket: filepath.Join(s.dir, fmt.Sprintf("h%d.sock", p)), Copies: s.e.Copies, ReadMs: readMs + readTenantMs*float64(s.e.Tenants)}
		for _, k := range some {
			w.Nodes = append(w.Nodes, hollowNode{s.nodes[k].name, s.file(zoneFile(hollowKind, s.nodes[k].zone))})
		}
		data, err := json.Marshal(w)
		if err != nil {
			return nil, nil, nil, err
		}
		file := filepath.Join(s.dir, fmt.Sprintf("h%d.json", p))
		if err := os.WriteFile(file, data, 0o600); err != nil {
			return nil, nil, nil, err
		}
		files, sockets, numbers = append(files, file), append(sockets, w.Socket), append(numbers, some)
	}
	return files, sockets, numbers, nil
}

// set puts on all links what the faults that are on make of them.
func (s *site) set(on []Fault) {
	for _, w := range s.ways {
		w.SetFault(w.fault(s.e, on))
	}
}

// fault is what the faults that are on make of a link.
func (w *way) fault(e *Experiment, on []Fault) (f faultproxy.Fault) {
	for _, x := range on {
		from, to := x.at(e, w.from), x.at(e, w.to)
		switch x.Kind {
		case Cut:
			if from != to {
				f = dropped(f, faultproxy.BothDirections)
			}
		case CutIn, CutOut:
			if from == to {
				continue
			}
			if from == (x.Kind == CutOut) { // what is called from within goes out to the target
				f = dropped(f, faultproxy.ToTarget)
			} else {
				f = dropped(f, faultproxy.FromTarget)
			}
		case Slow:
			if from || w.kind == memberKind && to {
				f.BytesPerSecond, f.Delay = x.Rate, clock.Duration(x.Delay)
			}
		case Lose:
			f.RefuseConnections = f.RefuseConnections || w.kind != memberKind && from && to
		case Deaf:
			switch x.Member {
			case memberName(w.member):
				f = dropped(f, faultproxy.ToTarget)
			case memberName(w.caller):
				f = dropped(f, faultproxy.FromTarget)
			}
		}
	}
	return f
}

func dropped(f faultproxy.Fault, on faultproxy.Direction) faultproxy.Fault {
	if f.Stalled && f.Direction != on {
		on = faultproxy.BothDirections
	}
	f.Stalled, f.Direction = true, on
	return f
}

// lose breaks what the nodes of a region have to its members.
func (s *site) lose(x Fault) {
	for _, w := range s.ways {
		if w.kind != memberKind && x.at(s.e, w.from) && x.at(s.e, w.to) {
			w.ResetConnections()
		}
	}
}

// bytes are what has gone over the links of callers of a kind, both ways.
func (s *site) bytes(kind string) (sum int64) {
	for _, w := range s.ways {
		if w.kind == kind {
			sum += w.BytesForwarded()
		}
	}
	return sum
}

// memberBytes are what has gone over a member's links, whoever called.
func (s *site) memberBytes(k int) (sum int64) {
	for _, w := range s.ways {
		if w.member == k || w.caller == k {
			sum += w.BytesForwarded()
		}
	}
	return sum
}

func (s *site) close() {
	for _, w := range s.ways {
		w.Close()
	}
}
