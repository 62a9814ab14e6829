// Command 1 is the review's case 1: payments with an idempotency key while their node gets a new version. It is started by run.sh.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"pearknot/review/standin"
)

const (
	nodeCount   = 3
	clientCount = 6
	serviceTime = 3200 * time.Millisecond // of every payment: a long one, answered within its TTL
	expires     = 4000                    // ms, the category's TTL
	giveUpAfter = 1700 * time.Millisecond // 42% of the TTL, the brief's least
	retries     = 2                       // the brief's most
	readyWithin = 6 * time.Second         // DAYS: the new process has so long to say yes
	killAfter   = 3700 * time.Millisecond // DAYS: SIGKILL comes the longest deadline (3 s at most) and 0.7 s after SIGTERM
	termAfter   = 200 * time.Millisecond  // after the payments were sent, the operator ends the old process
)

// backend begins every request that it gets, and counts the runs of each key.
type backend struct {
	record *standin.Record

	mu   sync.Mutex
	runs map[string]int
}

// ServeHTTP implements http.Handler.
func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	if r.Header.Get("X-Qos") != "fee-payment" {
		_, _ = io.WriteString(w, "checked")
		return
	}
	id, key := r.Header.Get("X-Trace-Id"), r.Header.Get("Idempotency-Key")
	b.mu.Lock()
	b.runs[key]++
	run := b.runs[key]
	b.mu.Unlock()
	verdict := ""
	if run > 1 {
		verdict = ": BROKEN, an at-most-once payment runs twice"
	}
	b.record.Printf("backend: run %d of payment %s begins, request %s%s", run, key, id, verdict)
	time.Sleep(serviceTime)
	_, _ = io.WriteString(w, "paid "+key)
	b.record.Printf("backend: run %d of payment %s has ended", run, key)
}

// client is a client with a connection to the first node that it has opened before the new version starts.
type client struct {
	record  *standin.Record
	address string
	key     string
	patient bool // it waits its whole time for the first answer
	conn    net.Conn
	reader  *bufio.Reader
}

func (c *client) connect() (err error) {
	if c.conn, err = net.Dial("tcp", c.address); err == nil {
		c.reader = bufio.NewReader(c.conn)
	}
	return err
}

func (c *client) send(id, class, method, headers, body string) error {
	_, err := fmt.Fprintf(c.conn, "%s /api HTTP/1.1\r\nHost: service.internal\r\nX-Trace-Id: %s\r\nX-Qos: %s\r\nX-Expires-In-Ms: %d\r\n%s\r\n%s",
		method, id, class, expires, headers, body)
	return err
}

func (c *client) receive(within time.Duration) (status int, body, retryAfter string, err error) {
	_ = c.conn.SetReadDeadline(time.Now().Add(within))
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0, "", "", err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return response.StatusCode, string(text), response.Header.Get("Retry-After"), err
}

// warm opens the connection and makes an ordinary request on it.
func (c *client) warm(id string) error {
	if err := c.connect(); err != nil {
		return err
	}
	if err := c.send(id, "member-check", "GET", "", ""); err != nil {
		return err
	}
	status, _, _, err := c.receive(4 * time.Second)
	if err == nil && status != http.StatusOK {
		err = fmt.Errorf("status %d", status)
	}
	return err
}

// pay sends the payment, gives its first try up after a while, and asks again with the same key on a new connection.
func (c *client) pay(number int) {
	for try := range 1 + retries {
		if try > 0 {
			if err := c.connect(); err != nil {
				c.record.Printf("client of %s: %v", c.key, err)
				continue
			}
		}
		id := fmt.Sprintf("%012x%04x", number+1, try+1)
		headers := "Idempotency-Key: " + c.key + "\r\nContent-Length: 2\r\n"
		if try > 0 {
			headers += "X-Second-Try: 1\r\n"
		}
		if err := c.send(id, "fee-payment", "POST", headers, "hi"); err != nil {
			c.record.Printf("client of %s: try %d: %v", c.key, try+1, err)
			continue
		}
		c.record.Printf("client of %s: try %d sent, request %s", c.key, try+1, id)
		within := giveUpAfter
		if try > 0 || c.patient {
			within = (expires + 500) * time.Millisecond
		}
		status, body, retryAfter, err := c.receive(within)
		_ = c.conn.Close()
		if err != nil {
			c.record.Printf("client of %s: try %d: no answer within %v, given up", c.key, try+1, within)
			continue
		}
		c.record.Printf("client of %s: try %d answered: %d %q", c.key, try+1, status, strings.TrimSpace(body))
		if status != http.StatusServiceUnavailable && status != http.StatusConflict {
			return
		}
		wait, _ := strconv.ParseFloat(retryAfter, 64)
		time.Sleep(time.Duration(wait * float64(time.Second)))
	}
}

// fleet is three nodes that log each other's payments.
type fleet struct {
	root, runLine, dir string
	discovery          string
	known              standin.List
	addresses          []string
	processes          int
}

// start starts a process of a node and returns it with its admin address.
func (f *fleet) start(node int) (*standin.Process, string, error) {
	f.processes++
	control := standin.FreeAddress()
	config := standin.NodeConfig{Name: fmt.Sprintf("n%d", node+1), Listen: f.addresses[node], Discovery: f.discovery, Control: control,
		Seed: fmt.Sprintf("8c1f30d27a5be9%02x", f.processes), Limits: map[string]any{"cores": 1, "memory_mb": 128, "sockets": 512},
		Known: &f.known, Settings: standin.Settings(standin.FeePayment(), standin.MemberCheck())}
	configFile := filepath.Join(f.dir, fmt.Sprintf("process-%d.json", f.processes))
	if err := config.Write(configFile); err != nil {
		return nil, "", err
	}
	temporary := filepath.Join(f.dir, fmt.Sprintf("n%d", node+1))
	if err := os.MkdirAll(temporary, 0o700); err != nil {
		return nil, "", err
	}
	process, err := standin.Start(f.root, f.runLine+" --peers "+filepath.Join(f.dir, "peers.toml"), filepath.Join(f.dir, fmt.Sprintf("process-%d.log", f.processes)),
		"ROUTER_CONFIG="+configFile, "TMPDIR="+temporary)
	return process, control, err
}

// prepare writes the files that all nodes share.
func (f *fleet) prepare() error {
	peers := "fleet = \"bank-east\"\nkey_file = \"peers.key\"\ncopies = 3\n"
	for node := range nodeCount {
		f.addresses = append(f.addresses, standin.FreeAddress())
		peers += fmt.Sprintf("\n[[member]]\nname = \"n%d\"\naddress = %q\n", node+1, standin.FreeAddress())
	}
	peers += "\n[[category]]\nname = \"fee-payment\"\nsurvive = \"finish\"\nalone = \"go-on\"\n"
	return errors.Join(
		os.WriteFile(filepath.Join(f.dir, "peers.toml"), []byte(peers), 0o600),
		os.WriteFile(filepath.Join(f.dir, "peers.key"), []byte(strings.Repeat("5c", 32)), 0o600))
}

// awaitYes waits until a process says yes at its admin address.
func awaitYes(control string) error {
	for deadline := time.Now().Add(readyWithin); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if answer, err := standin.Admin(control, "health"); err == nil && strings.HasPrefix(answer, "YES") {
			return nil
		}
	}
	return errors.New("the new process says no yes")
}

// end ends the old process as the platform does.
func end(record *standin.Record, old *standin.Process) {
	record.Printf("operator: SIGTERM to the old process of n1")
	_ = old.Process.Signal(syscall.SIGTERM)
	select {
	case <-old.Done():
		record.Printf("the old process of n1 has ended")
	case <-time.After(killAfter):
		record.Printf("operator: SIGKILL to the old process of n1")
		old.Kill()
	}
}

func run(record *standin.Record) (int, error) {
	root, err := standin.Root()
	if err != nil {
		return standin.CannotRun, err
	}
	runLine, err := standin.RunLine(root)
	if err != nil {
		return standin.CannotRun, err
	}
	dir, err := os.MkdirTemp("", "case")
	if err != nil {
		return standin.CannotRun, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	discovery, err := standin.NewDiscovery()
	if err != nil {
		return standin.CannotRun, err
	}
	upstream := &backend{record: record, runs: map[string]int{}}
	for i := range 3 {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return standin.CannotRun, err
		}
		go func() { _ = (&http.Server{Handler: upstream, ReadHeaderTimeout: time.Minute}).Serve(listener) }()
		discovery.Set(standin.Target{UID: fmt.Sprintf("s-%d", i+1), Endpoint: listener.Addr().String(), AZ: "a", Model: "m", State: "up", Hint: 1})
	}
	f := &fleet{root: root, runLine: runLine, dir: dir, discovery: discovery.Address, known: discovery.Whole()}
	if err := f.prepare(); err != nil {
		return standin.CannotRun, err
	}
	var old *standin.Process
	for node := range nodeCount {
		process, _, err := f.start(node)
		if err != nil {
			return standin.CannotRun, err
		}
		defer process.Kill()
		if node == 0 {
			old = process
		}
	}
	for _, address := range f.addresses {
		if err := standin.AwaitHealthy(address, 30*time.Second); err != nil {
			return standin.CannotRun, err
		}
	}
	time.Sleep(4 * time.Second) // the logs are complete
	record.Printf("three nodes are ready")

	var clients []*client
	for number := range clientCount {
		c := &client{record: record, address: f.addresses[0], key: fmt.Sprintf("fee-%d", number+1), patient: number == 0}
		if err := c.warm(fmt.Sprintf("%016x", 0xa000+number)); err != nil {
			return standin.CannotRun, err
		}
		clients = append(clients, c)
	}
	if standin.HasTrouble() {
		next, control, err := f.start(0)
		if err != nil {
			return standin.CannotRun, err
		}
		defer next.Kill()
		if err := awaitYes(control); err != nil {
			return standin.CannotRun, err
		}
		record.Printf("operator: the new process of n1 says yes")
	}
	var running sync.WaitGroup
	for number, c := range clients {
		running.Go(func() { c.pay(number) })
	}
	if standin.HasTrouble() {
		time.Sleep(termAfter)
		end(record, old)
	}
	running.Wait()
	time.Sleep(serviceTime + 500*time.Millisecond)

	upstream.mu.Lock()
	defer upstream.mu.Unlock()
	twice := 0
	for _, runs := range upstream.runs {
		if runs > 1 {
			twice++
		}
	}
	record.Printf("%d payments, %d of them ran, %d more than once", clientCount, len(upstream.runs), twice)
	switch {
	case len(upstream.runs) == 0:
		return standin.CannotRun, errors.New("no payment ran")
	case twice > 0:
		return standin.Broken, nil
	}
	return standin.Held, nil
}

func main() { os.Exit(standin.Main(run)) }
