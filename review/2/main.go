// Command 2 is the review's case 2: requests with long bodies while a part of the backends hangs. It is started by run.sh.
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
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"pearknot/review/standin"
)

const (
	backendCount  = 4
	hungCount     = 2                      // a half, STANDING's limit
	serviceTime   = 40 * time.Millisecond  // of every request
	expires       = 2000                   // ms that a client waits: a half of the category's 4 s, as the brief has it
	lateAllowance = 500 * time.Millisecond // STANDING: up to half a second after its time an answer only earns nothing
	socketSlack   = 50 * time.Millisecond  // PROTOCOL: each time limit is 50 ms longer
	lostAfter     = expires*time.Millisecond + lateAllowance + socketSlack
	leaveAfter    = lostAfter + 100*time.Millisecond // after its last byte a client waits so long, and leaves
	giveUpAfter   = 20 * time.Second                 // for a client that can't write its last byte
)

// bodySizes are the bodies' sizes in turn, in bytes. Bodies are of up to 32 MB.
var bodySizes = []int{5_000_000, 5_500_000, 6_000_000}

// backend serves requests until it hangs.
type backend struct {
	name   string
	record *standin.Record
	hung   chan struct{} // closed when it hangs
}

// hangingConn is a connection that stays silent once its backend hangs.
type hangingConn struct {
	net.Conn
	backend *backend
}

// Read implements io.Reader.
func (c hangingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p[:min(len(p), 16<<10)])
	select {
	case <-c.backend.hung:
		select {}
	default:
	}
	return n, err
}

// hangingListener accepts hangingConns.
type hangingListener struct {
	net.Listener
	backend *backend
}

// Accept implements net.Listener.
func (l hangingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return hangingConn{conn, l.backend}, nil
}

// ServeHTTP implements http.Handler.
func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	size, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get("X-Trace-Id")
	b.record.Printf("backend %s: %s begun, %d bytes, told to answer within %s ms", b.name, id, size, r.Header.Get("X-Expires-In-Ms"))
	time.Sleep(serviceTime)
	select {
	case <-b.hung:
		select {}
	default:
	}
	_, _ = io.WriteString(w, "paid "+id)
}

// outcome is what a client saw.
type outcome struct {
	written time.Time // when the request's last byte was written
	ended   time.Time // when the answer's last byte came, or the connection ended
	status  int       // 0 if there was no answer
	err     error
}

// send sends a request with a body of that size and waits for its answer.
func send(address, id string, size int) outcome {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return outcome{err: err, ended: time.Now()}
	}
	defer conn.Close()
	head := fmt.Sprintf("POST /api HTTP/1.1\r\nHost: service.internal\r\nX-Trace-Id: %s\r\nX-Qos: fee-payment\r\n"+
		"X-Expires-In-Ms: %d\r\nContent-Length: %d\r\n\r\n", id, expires, size)
	_ = conn.SetDeadline(time.Now().Add(giveUpAfter))
	written := make(chan time.Time, 1)
	go func() {
		if _, err := io.WriteString(conn, head+strings.Repeat("x", size)); err == nil {
			now := time.Now()
			written <- now
			_ = conn.SetReadDeadline(now.Add(leaveAfter))
		}
	}()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	seen := outcome{err: err}
	if err == nil {
		_, seen.err = io.ReadAll(response.Body)
		seen.status = response.StatusCode
	}
	seen.ended = time.Now()
	select {
	case seen.written = <-written:
	default:
	}
	return seen
}

// judge reports whether the request was lost by the rule, and writes what was seen.
func judge(record *standin.Record, id string, size int, seen outcome) (lost bool) {
	if seen.written.IsZero() {
		record.Printf("client %s: %d bytes: status %d, %v; its last byte was not written, so it is not judged", id, size, seen.status, seen.err)
		return false
	}
	after := seen.ended.Sub(seen.written)
	verdict := "in time"
	lost = after > lostAfter || seen.err != nil
	if lost {
		verdict = fmt.Sprintf("LOST, over %v", lostAfter)
	}
	if errors.Is(seen.err, os.ErrDeadlineExceeded) {
		verdict += ", no answer at all"
	}
	record.Printf("client %s: %d bytes: status %d, %v, %.3f s after its last byte: %s", id, size, seen.status, seen.err, after.Seconds(), verdict)
	return lost
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
	for i := range backendCount {
		b := &backend{name: fmt.Sprintf("s-%d", i+1), record: record, hung: make(chan struct{})}
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return standin.CannotRun, err
		}
		go func() {
			_ = (&http.Server{Handler: b, ReadHeaderTimeout: time.Minute}).Serve(hangingListener{listener, b})
		}()
		discovery.Set(standin.Target{UID: b.name, Endpoint: listener.Addr().String(), AZ: "a", Model: "m", State: "up", Hint: 1})
		backends = append(backends, b)
	}
	known := discovery.Whole()
	address := standin.FreeAddress()
	config := standin.NodeConfig{Name: "n1", Listen: address, Discovery: discovery.Address, Seed: "8c1f30d27a5be964",
		Limits: map[string]any{"cores": 1, "memory_mb": 128, "sockets": 512}, Known: &known,
		Settings: standin.Settings(standin.FeePayment(), standin.MemberCheck())}
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
	for i := range 20 { // ordinary traffic
		id := fmt.Sprintf("0000000000000a%02d", i)
		if seen := send(address, id, 200); seen.status != http.StatusOK {
			return standin.CannotRun, fmt.Errorf("ordinary request %s: status %d, %w", id, seen.status, seen.err)
		}
		time.Sleep(50 * time.Millisecond)
	}
	if standin.HasTrouble() {
		for _, b := range backends[:hungCount] {
			close(b.hung)
			record.Printf("backend %s hangs", b.name)
		}
	}
	var clients sync.WaitGroup
	var lost atomic.Int64
	const requests = 20
	for i := range requests {
		clients.Go(func() {
			id, size := fmt.Sprintf("0000000000000b%02d", i), bodySizes[i%len(bodySizes)]
			if judge(record, id, size, send(address, id, size)) {
				lost.Add(1)
			}
		})
		time.Sleep(150 * time.Millisecond) // an eighth of what two backends serve
	}
	clients.Wait()
	record.Printf("%d of %d requests lost", lost.Load(), requests)
	if lost.Load() > 0 {
		return standin.Broken, nil
	}
	return standin.Held, nil
}

func main() { os.Exit(standin.Main(run)) }
