// Command 3 is the review's case 3: clients that read a long answer slowly but steadily. It is started by run.sh.
package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"pearknot/review/standin"
)

const (
	answerBytes = 32_000_000             // PROTOCOL's and DAYS' answers are of up to 32 MB
	readEvery   = 100 * time.Millisecond // a slow client reads a part this often, and never pauses longer
	slowFor     = 75 * time.Second       // then it reads the rest at full speed
	ttl         = 6000                   // ms, the category's
	pausedAfter = time.Second            // a client that was held up for longer itself proves nothing
)

// rates are the slow clients' rates in bytes a second. The page's slowest client takes or sends 64 kB a second.
var rates = []int{100_000, 150_000, 200_000, 256_000}

// pattern is byte i of every answer.
func pattern(i int) byte { return byte(i>>16 ^ i>>8 ^ i) }

// backend answers each request with answerBytes, as fast as they are taken.
type backend struct {
	record  *standin.Record
	content []byte
	endedBy atomic.Int64 // answers that the node did not take to the end
}

// ServeHTTP implements http.Handler.
func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Trace-Id")
	b.record.Printf("backend: %s begun", id)
	w.Header().Set("Content-Length", strconv.Itoa(len(b.content)))
	const part = 64 << 10
	for sent := 0; sent < len(b.content); {
		n, err := w.Write(b.content[sent:min(sent+part, len(b.content))])
		sent += n
		if err != nil {
			b.endedBy.Add(1)
			b.record.Printf("backend: %s: the node took no more after %d bytes, which the backend still gives: %v", id, sent, err)
			return
		}
	}
	b.record.Printf("backend: %s: all %d bytes given", id, len(b.content))
}

// client sends one request and reads the answer at the rate, 0 for full speed. It reports whether the answer came whole.
func client(record *standin.Record, address, id string, rate int, content []byte) (whole bool, err error) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return false, err
	}
	defer conn.Close()
	if _, err := fmt.Fprintf(conn, "GET /api HTTP/1.1\r\nHost: service.internal\r\nX-Trace-Id: %s\r\nX-Qos: member-check\r\n"+
		"X-Expires-In-Ms: %d\r\n\r\n", id, ttl); err != nil {
		return false, err
	}
	record.Printf("client %s: request sent, reads %d bytes a second", id, rate)
	reader := bufio.NewReaderSize(conn, 4<<10)
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return false, err
	}
	defer response.Body.Close()
	record.Printf("client %s: status %d, %d bytes announced", id, response.StatusCode, response.ContentLength)
	if response.StatusCode != http.StatusOK {
		return false, fmt.Errorf("status %d", response.StatusCode)
	}
	start, total, longest, latest := time.Now(), 0, time.Duration(0), time.Now()
	buffer := make([]byte, 256<<10)
	for {
		part := buffer
		isSlow := rate > 0 && time.Since(start) < slowFor
		if isSlow {
			part = buffer[:rate/int(time.Second/readEvery)]
			time.Sleep(time.Until(start.Add(time.Duration(total) * time.Second / time.Duration(rate))))
		}
		longest = max(longest, time.Since(latest))
		n, err := io.ReadFull(response.Body, part)
		latest = time.Now()
		for i, value := range part[:n] {
			if value != content[total+i] {
				record.Printf("client %s: byte %d is not the backend's", id, total+i)
				return false, nil
			}
		}
		total += n
		if total == len(content) {
			record.Printf("client %s: whole after %.1f s, longest pause %v", id, time.Since(start).Seconds(), longest.Round(time.Millisecond))
			return true, nil
		}
		if err != nil {
			record.Printf("client %s: CUT OFF after %d of %d bytes and %.1f s, longest pause between two reads %v: %v",
				id, total, len(content), time.Since(start).Seconds(), longest.Round(time.Millisecond), err)
			if longest > pausedAfter {
				return false, fmt.Errorf("was held up itself for %v", longest)
			}
			return false, nil
		}
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
	content := make([]byte, answerBytes)
	for i := range content {
		content[i] = pattern(i)
	}
	upstream := &backend{record: record, content: content}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return standin.CannotRun, err
	}
	go func() { _ = (&http.Server{Handler: upstream, ReadHeaderTimeout: time.Minute}).Serve(listener) }()
	discovery.Set(standin.Target{UID: "s-1", Endpoint: listener.Addr().String(), AZ: "a", Model: "m", State: "up", Hint: 1})
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

	var clients sync.WaitGroup
	var cut, failed atomic.Int64
	for i, rate := range rates {
		if !standin.HasTrouble() {
			rate = 0
		}
		clients.Go(func() {
			id := fmt.Sprintf("9b1f03aa5c7e2d4%d", i)
			whole, err := client(record, address, id, rate, content)
			switch {
			case err != nil:
				record.Printf("client %s: %v", id, err)
				failed.Add(1)
			case !whole:
				cut.Add(1)
			}
		})
	}
	clients.Wait()
	time.Sleep(100 * time.Millisecond)
	record.Printf("%d of %d answers cut off, %d of them while the backend still gave", cut.Load(), len(rates), upstream.endedBy.Load())
	switch {
	case failed.Load() > 0:
		return standin.CannotRun, nil
	case cut.Load() > 0 && upstream.endedBy.Load() > 0:
		return standin.Broken, nil
	case cut.Load() > 0:
		return standin.CannotRun, nil
	}
	return standin.Held, nil
}

func main() { os.Exit(standin.Main(run)) }
