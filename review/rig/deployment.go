package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// class is a class of requests of the deployment. Its times are in ms.
type class struct {
	name, idempotency string
	benefit           float64
	objective, ttl    float64
}

// himalClasses are classes like those of a small deployment.
var himalClasses = []class{
	{"class-report", "pure", 1, 2000, 6000},
	{"fee-payment", "side_effect", 8, 1500, 4000},
	{"member-check", "pure", 3, 2500, 6000},
}

type object = map[string]any

// settings returns the settings of the deployment.
func settings(classes []class) object {
	categories := []object{}
	for _, c := range classes {
		categories = append(categories, object{"name": c.name, "idempotency": c.idempotency, "benefit": c.benefit, "overdueBenefit": 0.2,
			"targetLatency": c.objective, "ttl": c.ttl})
	}
	return object{
		"az": 0, "balancers": 3, "benefitBy": "request", "zones": []string{"a"}, "kinds": []string{"m"}, "tenants": []string{},
		"registryMode": "subscribe", "categories": categories, "loadReport": object{"fields": []string{"mean_ms"}, "via": "inline"},
		"bounds": object{"cancel": true, "connIdle": 15000, "connectTimeout": 250, "mostHeld": 20000, "mostPushes": 3, "retryAfter": true,
			"maxRetryAfter": 2000, "secondCopies": true},
		"rules": object{"askWithin": 10000, "coldFrom": 0.3, "drainGrace": 500, "fallMultiple": 4, "overloadFor": 2000, "warmWithin": 9000},
	}
}

// deployment is a small deployment: discovery and backends as stand-ins, and the nodes.
type deployment struct {
	rig       *rig
	discovery string
	list      object
	backends  []*backend
	nodes     []*node
	options   string // of the command line

	longReports bool // the answers to requests of class-report are long

	mu   sync.Mutex
	runs map[string]int // how often a request has begun at a backend, by its key
}

// node is a node of the deployment.
type node struct {
	name, host, address, config, control string
	admin                                string // the second address; empty if there is none
	discovery                            string // its own, where its list differs from the others'
	list                                 object
	adjust                               func(settings object)
	process                              *process
}

// backend is a stand-in for a backend. It begins a request when its last byte has come, and answers after its work.
type backend struct {
	name string
	work time.Duration
}

// newDeployment starts discovery and backends.
func newDeployment(r *rig, backends int, work time.Duration) (*deployment, error) {
	d := &deployment{rig: r, runs: map[string]int{}}
	targets := []object{}
	for i := range backends {
		b := &backend{name: fmt.Sprintf("s-%d", i+1), work: work}
		address, err := d.serve(func(w http.ResponseWriter, request *http.Request) { d.handle(b, w, request) })
		if err != nil {
			return nil, err
		}
		d.backends = append(d.backends, b)
		targets = append(targets, object{"uid": b.name, "endpoint": address, "az": "a", "model": "m", "pod_group": 0, "state": "up",
			"capacity_hint": 1.0, "boot_ms": 0})
	}
	d.list = object{"rev": 1, "all": true, "targets": targets}
	var err error
	d.discovery, err = d.serve(func(w http.ResponseWriter, request *http.Request) { handleList(d.list, w, request) })
	return d, err
}

// serve serves HTTP on a loopback address until the case ends.
func (d *deployment) serve(handle http.HandlerFunc) (address string, err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handle}
	go func() { _ = server.Serve(l) }()
	d.rig.onClose(func() { _ = server.Close() })
	return l.Addr().String(), nil
}

// handleList answers a call for the endpoint list, which does not change.
func handleList(list object, w http.ResponseWriter, request *http.Request) {
	if request.URL.Path != "/catalog/members" {
		http.NotFound(w, request)
		return
	}
	answer := list
	if request.URL.Query().Has("from") {
		hold, _ := strconv.Atoi(request.URL.Query().Get("hold_ms"))
		select {
		case <-time.After(time.Duration(min(hold, 60000)) * time.Millisecond):
		case <-request.Context().Done():
			return
		}
		answer = object{"rev": 1, "all": false, "targets": []object{}}
	}
	_ = json.NewEncoder(w).Encode(answer)
}

// handle runs a request at a backend.
func (d *deployment) handle(b *backend, w http.ResponseWriter, request *http.Request) {
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		return // it has not come completely
	}
	key, id := request.Header.Get("Idempotency-Key"), request.Header.Get("X-Trace-Id")
	d.mu.Lock()
	d.runs[key]++
	count := d.runs[key]
	d.mu.Unlock()
	d.rig.note("%s: runs key %s, request %s: run %d of this key", b.name, key, id, count)
	work := b.work
	if strings.HasPrefix(key, costly) {
		work *= costlyFactor
	}
	select { // running work goes on when a node gives up
	case <-time.After(work):
	case <-d.rig.ended:
	}
	if d.longReports && request.Header.Get("X-Qos") == "class-report" {
		fmt.Fprint(w, report(key))
		return
	}
	fmt.Fprintf(w, "%s has run %s\n", b.name, key)
}

// costly is the beginning of the keys of requests that cost a multiple of the usual work.
const (
	costly       = "costly-"
	costlyFactor = 26
)

// reportBytes is the size of a report.
const reportBytes = 200 << 10

// report returns the answer to a request of class-report: a long one, the same at all backends.
func report(key string) string {
	line := "report " + key + "\n"
	return strings.Repeat(line, reportBytes/len(line))
}

// keys returns how many keys have begun at a backend.
func (d *deployment) keys() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.runs)
}

func (d *deployment) runsOf(key string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.runs[key]
}

// writeConfig writes a node's configuration, whole or not at all.
func (d *deployment) writeConfig(n *node, s object) error {
	discovery, list := d.discovery, d.list
	if n.discovery != "" {
		discovery, list = n.discovery, n.list
	}
	if n.adjust != nil {
		n.adjust(s)
	}
	content := object{"name": n.name, "listen": n.address, "discovery": discovery, "seed": "8c1f30d27a5be964",
		"limits": object{"cores": 1.0, "memory_mb": 192, "sockets": 512}, "known": list, "settings": s}
	if n.admin != "" {
		content["control"] = n.admin
	}
	data, err := json.Marshal(content)
	if err != nil {
		return err
	}
	if err := os.WriteFile(n.config+".new", data, 0o600); err != nil {
		return err
	}
	return os.Rename(n.config+".new", n.config)
}

// addNodes names three nodes, each at a loopback address of its own.
func (d *deployment) addNodes() error {
	for i := range 3 {
		name, host := fmt.Sprintf("n%d", i+1), fmt.Sprintf("127.0.%d.1", i+1)
		address, err := freeAddress(host)
		if err != nil {
			return err
		}
		d.nodes = append(d.nodes, &node{name: name, host: host, address: address, config: filepath.Join(d.rig.dir, name+".json"),
			control: filepath.Join(d.rig.dir, name+".sock")})
	}
	return nil
}

// startWithPeers starts three nodes that take over each other's requests, and waits until their logs are complete. Requests of
// the protected classes survive their node.
func (d *deployment) startWithPeers(classes []class, protected ...string) error {
	if err := os.WriteFile(filepath.Join(d.rig.dir, "peers.key"), []byte(strings.Repeat("5a", 32)+"\n"), 0o600); err != nil {
		return err
	}
	peers := "fleet = \"review\"\nkey_file = \"peers.key\"\ncopies = 3\n"
	if err := d.addNodes(); err != nil {
		return err
	}
	for _, n := range d.nodes {
		link, err := freeAddress(n.host)
		if err != nil {
			return err
		}
		peers += fmt.Sprintf("[[member]]\nname = %q\naddress = %q\n", n.name, link)
	}
	for _, name := range protected {
		peers += fmt.Sprintf("[[category]]\nname = %q\nsurvive = \"finish\"\n", name)
	}
	file := filepath.Join(d.rig.dir, "peers.toml")
	if err := os.WriteFile(file, []byte(peers), 0o600); err != nil {
		return err
	}
	d.options = " --peers " + file
	if err := d.startNodes(classes); err != nil {
		return err
	}
	time.Sleep(untilSettled)
	for _, n := range d.nodes {
		if err := await(n.name+": logs complete", 20*time.Second, func() bool {
			return exec.Command("bin/pearknot", "peers", n.control).Run() == nil
		}); err != nil {
			return err
		}
	}
	return nil
}

// untilSettled is the time after the nodes' start in which nothing is done to them: no SIGHUP comes in a node's first second.
const untilSettled = 1500 * time.Millisecond

// startNodes starts the nodes, and waits until the front would take them in.
func (d *deployment) startNodes(classes []class) error {
	for _, n := range d.nodes {
		if err := d.writeConfig(n, settings(classes)); err != nil {
			return err
		}
		if err := d.startNode(n); err != nil {
			return err
		}
	}
	for _, n := range d.nodes {
		if err := d.awaitNode(n); err != nil {
			return err
		}
	}
	return nil
}

// startNode starts a node with the deploy file's command.
func (d *deployment) startNode(n *node) (err error) {
	line := "trap '' HUP; exec bin/pearknot serve" + d.options + " --control " + n.control
	dir := filepath.Join(d.rig.dir, n.name) // of the node's processes alone
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return err
	}
	n.process, err = d.rig.launch(n.name, line, "ROUTER_CONFIG="+n.config, "TMPDIR="+dir)
	return err
}

// awaitNode waits until the front would take a node in.
func (d *deployment) awaitNode(n *node) error {
	return await(n.name+": ready", 20*time.Second, func() bool {
		client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
		response, err := client.Get("http://" + n.address + "/_health")
		if err != nil {
			return false
		}
		defer response.Body.Close()
		return response.StatusCode == http.StatusOK
	})
}

// reload gives all nodes other settings by SIGHUP.
func (d *deployment) reload(classes []class) error {
	for _, n := range d.nodes {
		if err := d.writeConfig(n, settings(classes)); err != nil {
			return err
		}
		n.process.signal(syscall.SIGHUP)
	}
	var names []string
	for _, c := range classes {
		names = append(names, c.name)
	}
	d.rig.note("SIGHUP to all nodes, classes: %s", strings.Join(names, ", "))
	return nil
}
