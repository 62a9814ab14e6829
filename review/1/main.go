// Command 1 is the review's case 1: an operator takes a backend out while the endpoint list calls all backends gone. It is started by
// run.sh.
package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"pearknot/review/standin"
)

const (
	backendCount = 4
	clientCount  = 16
	serviceTime  = 60 * time.Millisecond  // of every request; the brief has 39 to 78 ms
	drainGrace   = 400 * time.Millisecond // the brief's
	socketSlack  = 50 * time.Millisecond  // PROTOCOL: each time limit is 50 ms longer
	expires      = 2000                   // ms that a client waits, of the category's 2.5 s

	listWrongAt = 2 * time.Second         // from the start of the traffic on
	cordonAt    = 4 * time.Second         // the operator takes s-1 out
	stopAfter   = 1500 * time.Millisecond // after the yes, the operator stops s-1, to restart it
	startAfter  = 3 * time.Second         // after the yes, s-1 runs again
	backAfter   = 5 * time.Second         // after the yes, the operator puts it back
	listRightAt = 13 * time.Second        // the list was wrong for 11 s, of the brief's 9.1 to 25 s
	endAt       = 15 * time.Second
)

// backend is one server. It notes what it begins, and what was in work when it was stopped.
type backend struct {
	name, address string
	record        *standin.Record

	mu       sync.Mutex
	server   *http.Server
	takenOut time.Time // when the operator got the yes; zero while it is not taken out
	late     int       // begun after the grace
	working  map[string]bool
	cutOff   int // begun after the grace, and in work when it was stopped
}

// start opens the backend's address.
func (b *backend) start() error {
	listener, err := net.Listen("tcp", b.address)
	if err != nil {
		return err
	}
	b.address = listener.Addr().String()
	server := &http.Server{Handler: b, ReadHeaderTimeout: time.Minute}
	b.mu.Lock()
	b.server, b.working = server, map[string]bool{}
	b.mu.Unlock()
	go func() { _ = server.Serve(listener) }()
	return nil
}

// stop ends the backend as a process that dies: its connections end, and new ones are refused.
func (b *backend) stop() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, isLate := range b.working {
		if isLate {
			b.cutOff++
		}
		b.record.Printf("backend %s: stopped while it worked on %s (sent after the grace: %v)", b.name, id, isLate)
	}
	_ = b.server.Close()
}

// setTakenOut notes that the operator has taken the backend out, or put it back.
func (b *backend) setTakenOut(out bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.takenOut = time.Time{}
	if out {
		b.takenOut = time.Now()
	}
}

// ServeHTTP implements http.Handler.
func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Trace-Id")
	began := time.Now() // PROTOCOL: for drains, a send counts from its first byte, not from its last
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	b.mu.Lock()
	isLate := !b.takenOut.IsZero() && began.Sub(b.takenOut) > drainGrace+socketSlack
	if isLate {
		b.late++
		b.record.Printf("backend %s: %s begun %.3f s after the operator's yes: BROKEN", b.name, id, began.Sub(b.takenOut).Seconds())
	}
	b.working[id] = isLate
	b.mu.Unlock()
	time.Sleep(serviceTime)
	b.mu.Lock()
	delete(b.working, id)
	b.mu.Unlock()
	_, _ = io.WriteString(w, "posted "+id)
}

// counts are the clients' answers.
type counts struct{ served, refused, failed, unanswered atomic.Int64 }

// client sends one request after the other until ctx is done.
func client(ctx context.Context, record *standin.Record, address string, number int, seen *counts) {
	for i := 0; ctx.Err() == nil; i++ {
		id := fmt.Sprintf("%08x%08x", number, i)
		status, err := post(address, id)
		switch {
		case err != nil:
			seen.unanswered.Add(1)
			record.Printf("client: %s: no answer: %v", id, err)
		case status == http.StatusOK:
			seen.served.Add(1)
		case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
			seen.refused.Add(1)
		default:
			seen.failed.Add(1)
			record.Printf("client: %s: status %d: the notice may have been posted or not", id, status)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func post(address, id string) (status int, err error) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return 0, err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	if _, err := fmt.Fprintf(conn, "POST /api HTTP/1.1\r\nHost: service.internal\r\nX-Trace-Id: %s\r\nX-Qos: post-notice\r\n"+
		"X-Expires-In-Ms: %d\r\nConnection: close\r\nContent-Length: 6\r\n\r\nnotice", id, expires); err != nil {
		return 0, err
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	_, err = io.ReadAll(response.Body)
	return response.StatusCode, err
}

// settings are those of boards-dakar: only draining binds, no second copies, at-most-once notices.
func settings() map[string]any {
	all := standin.Settings(
		standin.Category{"name": "post-notice", "benefit": 2, "idempotency": "side_effect", "overdueBenefit": 0, "targetLatency": 500, "ttl": 2500},
		standin.Category{"name": "board-change", "benefit": 8, "idempotency": "token", "dedupScope": "all", "keyTtl": 1000, "overdueBenefit": 0,
			"targetLatency": 500, "ttl": 1500})
	all["rules"] = map[string]any{"askWithin": 10000, "coldFrom": 0.15, "drainGrace": drainGrace.Milliseconds(), "fallMultiple": 3,
		"overloadFor": 2000, "warmWithin": 22000, "removalNotBinding": true}
	bounds := all["bounds"].(map[string]any)
	bounds["secondCopies"] = false
	return all
}

// call makes a call at the admin address and fails unless the answer is a yes.
func call(record *standin.Record, address, line string) error {
	answer, err := standin.Admin(address, line)
	record.Printf("operator: %s: %s", line, strings.TrimSpace(answer))
	if err == nil && !strings.HasPrefix(answer, "YES") {
		err = fmt.Errorf("%s: %s", line, answer)
	}
	return err
}

// operate takes s-1 out, restarts it, and puts it back.
func operate(record *standin.Record, control string, b *backend, started time.Time) error {
	time.Sleep(time.Until(started.Add(cordonAt)))
	if err := call(record, control, "cordon "+b.name); err != nil {
		return err
	}
	yes := time.Now()
	b.setTakenOut(true)
	time.Sleep(time.Until(yes.Add(stopAfter)))
	record.Printf("operator: stops %s", b.name)
	b.stop()
	time.Sleep(time.Until(yes.Add(startAfter)))
	if err := b.start(); err != nil {
		return err
	}
	record.Printf("operator: %s runs again", b.name)
	time.Sleep(time.Until(yes.Add(backAfter)))
	b.setTakenOut(false)
	return call(record, control, "uncordon "+b.name)
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
	var backends []*backend
	var targets, gone []standin.Target
	for i := range backendCount {
		b := &backend{name: fmt.Sprintf("s-%d", i+1), address: "127.0.0.1:0", record: record}
		if err := b.start(); err != nil {
			return standin.CannotRun, err
		}
		backends = append(backends, b)
		target := standin.Target{UID: b.name, Endpoint: b.address, AZ: "a", Model: "m", State: "up", Hint: 1}
		targets = append(targets, target)
		target.State = "removed"
		gone = append(gone, target)
	}
	discovery.Set(targets...)
	known := discovery.Whole()
	address, control := standin.FreeAddress(), standin.FreeAddress()
	config := standin.NodeConfig{Name: "n1", Listen: address, Discovery: discovery.Address, Control: control, Seed: "8c1f30d27a5be964",
		Limits: map[string]any{"cores": 1, "memory_mb": 128, "sockets": 512}, Known: &known, Settings: settings()}
	configFile := filepath.Join(dir, "config.json")
	if err := config.Write(configFile); err != nil {
		return standin.CannotRun, err
	}
	node, err := standin.Start(root, runLine, filepath.Join(dir, "node.log"), "ROUTER_CONFIG="+configFile, "TMPDIR="+dir)
	if err != nil {
		return standin.CannotRun, err
	}
	defer node.Kill()
	if err := standin.AwaitHealthy(address, 30*time.Second); err != nil {
		return standin.CannotRun, err
	}
	record.Printf("node is ready")

	started := time.Now()
	ctx, cancel := context.WithDeadline(context.Background(), started.Add(endAt))
	defer cancel()
	var clients sync.WaitGroup
	var seen counts
	for number := range clientCount {
		clients.Go(func() { client(ctx, record, address, number, &seen) })
	}
	operated := make(chan error, 1)
	go func() { operated <- operate(record, control, backends[0], started) }()
	if standin.HasTrouble() {
		time.Sleep(time.Until(started.Add(listWrongAt)))
		discovery.Set(gone...)
		record.Printf("discovery: the list calls all backends gone; all serve")
		time.Sleep(time.Until(started.Add(listRightAt)))
		discovery.Set(targets...)
		record.Printf("discovery: the list is right again")
	}
	clients.Wait()
	if err := <-operated; err != nil {
		return standin.CannotRun, err
	}
	late, cutOff := backends[0].late, backends[0].cutOff
	record.Printf("served %d, refused %d, failed %d, unanswered %d; begun at %s after the grace: %d, of these cut off by its restart: %d",
		seen.served.Load(), seen.refused.Load(), seen.failed.Load(), seen.unanswered.Load(), backends[0].name, late, cutOff)
	switch {
	case seen.served.Load() == 0:
		return standin.CannotRun, errors.New("nothing was served")
	case late > 0:
		return standin.Broken, nil
	}
	return standin.Held, nil
}

func main() { os.Exit(standin.Main(run)) }
