package main

import (
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

const (
	// memorySampleInterval is the time between two looks at a process's memory.
	memorySampleInterval = 5 * time.Millisecond

	// crowdPause is the time after which a client of a crowd connects again.
	crowdPause = 50 * time.Millisecond

	shortAnswer = "done"
	longAnswer  = 4 << 20 // bytes
	heldAnswer  = 2500 * time.Millisecond

	// An answer that drips takes as long as a held one.
	dripParts = 10
	dripBytes = 8 << 10
	dripPause = heldAnswer / dripParts
)

// memoryWatch samples the memory that the system counts of a node: the resident memory of its processes, summed, and the files
// in their TMPDIR.
type memoryWatch struct {
	dir  string // TMPDIR; empty if there is none
	mu   sync.Mutex
	pids []int
	peak int64   // bytes
	each []int64 // KiB of each process at the peak
	stop chan struct{}
	done chan struct{}
}

func watchMemory(t testing.TB, dir string, pids ...int) *memoryWatch {
	watch := &memoryWatch{dir: dir, pids: pids, stop: make(chan struct{}), done: make(chan struct{})}
	go watch.run()
	t.Cleanup(func() { close(watch.stop); <-watch.done })
	return watch
}

func (watch *memoryWatch) run() {
	defer close(watch.done)
	tick := time.NewTicker(memorySampleInterval)
	defer tick.Stop()
	for {
		select {
		case <-watch.stop:
			return
		case <-tick.C:
			watch.sample()
		}
	}
}

func (watch *memoryWatch) sample() {
	watch.mu.Lock()
	defer watch.mu.Unlock()
	total := directoryBytes(watch.dir)
	var each []int64
	for _, pid := range watch.pids {
		bytes := residentBytes(pid)
		each = append(each, bytes>>10)
		total += bytes
	}
	if total > watch.peak {
		watch.peak, watch.each = total, each
	}
}

// add has the memory of another process counted as well.
func (watch *memoryWatch) add(pid int) {
	watch.mu.Lock()
	defer watch.mu.Unlock()
	watch.pids = append(watch.pids, pid)
}

// peakMB returns the most memory that was seen, in MiB.
func (watch *memoryWatch) peakMB() float64 {
	watch.mu.Lock()
	defer watch.mu.Unlock()
	return float64(watch.peak) / (1 << 20)
}

// residentBytes returns a process's resident memory; 0 if it has ended.
func residentBytes(pid int) int64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(text))
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.ParseInt(fields[1], 10, 64)
	return pages * int64(os.Getpagesize())
}

func directoryBytes(dir string) (total int64) {
	if dir == "" {
		return 0
	}
	_ = filepath.Walk(dir, func(_ string, info os.FileInfo, err error) error {
		if err == nil && info.Mode().IsRegular() {
			total += info.Size()
		}
		return nil
	})
	return total
}

// crowdBackend is a backend of a node in a crowd. It answers requests by their path.
type crowdBackend struct {
	*httptest.Server
	mu      sync.Mutex
	started map[string]int // attempts, by id

}

func newCrowdBackend(t testing.TB) *crowdBackend {
	backend := &crowdBackend{started: map[string]int{}}
	backend.Server = httptest.NewServer(backend)
	t.Cleanup(backend.Close)
	return backend
}

// ServeHTTP implements http.Handler. It reads the request to its end first, as a backend does.
func (backend *crowdBackend) ServeHTTP(rw http.ResponseWriter, request *http.Request) {
	if request.URL.Path == "/slowread" {
		part := make([]byte, 64<<10)
		for range 12 { // longer than the request's time to live
			_, _ = io.ReadFull(request.Body, part)
			time.Sleep(250 * time.Millisecond)
		}
		return
	}
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		return
	}
	backend.mu.Lock()
	backend.started[request.Header.Get("X-Trace-Id")]++
	backend.mu.Unlock()
	block := make([]byte, 16<<10)
	switch request.URL.Path {
	case "/long":
		rw.Header().Set("Content-Length", strconv.Itoa(longAnswer))
		for sent := 0; sent < longAnswer; sent += len(block) {
			if _, err := rw.Write(block); err != nil {
				return
			}
		}
	case "/chunked":
		for sent := 0; sent < longAnswer; sent += len(block) {
			if _, err := rw.Write(block); err != nil {
				return
			}
		}
	case "/buffered": // as long as an answer can be without being streamed
		<-time.After(heldAnswer)
		rw.Header().Set("Content-Length", strconv.Itoa(60<<10))
		for sent := 0; sent < 60<<10; sent += 4 << 10 {
			_, _ = rw.Write(block[:4<<10])
		}
	case "/fields":
		for k := range 1500 {
			rw.Header().Set(fmt.Sprint("F", k), "")
		}
		fmt.Fprint(rw, shortAnswer)
	case "/drip":
		if request.Header.Get("X-Form") == "length" {
			rw.Header().Set("Content-Length", strconv.Itoa(dripParts*dripBytes))
		}
		for range dripParts {
			_, _ = rw.Write(block[:dripBytes])
			_ = http.NewResponseController(rw).Flush()
			time.Sleep(dripPause)
		}
	case "/hold":
		<-time.After(heldAnswer)
		fmt.Fprint(rw, shortAnswer)
	default:
		fmt.Fprint(rw, shortAnswer)
	}
}

// crowdKind is a kind of client that misbehaves, or that behaves and asks for much. It uses one connection until that ends.
type crowdKind struct {
	name string
	run  func(conn net.Conn, id string)
}

// requestHead returns the head of a request, without the empty line at its end.
func requestHead(method, path, id string, fields ...string) string {
	head := method + " " + path + " HTTP/1.1\r\nHost: s\r\nX-Trace-Id: " + id + "\r\nX-Qos: check\r\nX-Expires-In-Ms: 4000\r\n"
	return head + strings.Join(fields, "")
}

// shortFields returns as many distinct short fields as fit in that many bytes.
func shortFields(size int) string {
	var fields strings.Builder
	for k := 0; fields.Len() < size; k++ {
		fields.WriteString(strconv.FormatInt(int64(k), 36) + ":\r\n")
	}
	return fields.String()
}

// discard reads what comes, until the connection ends.
func discard(conn net.Conn) { _, _ = io.Copy(io.Discard, conn) }

// trickle writes a text in small parts, with a pause after each.
func trickle(conn net.Conn, text string, size int, pause time.Duration) {
	for len(text) > 0 {
		part := text[:min(size, len(text))]
		if _, err := io.WriteString(conn, part); err != nil {
			return
		}
		text = text[len(part):]
		time.Sleep(pause)
	}
}

// readSlowly reads at most that many bytes a second.
func readSlowly(conn net.Conn, bytesPerSecond int) {
	buffer := make([]byte, bytesPerSecond/20)
	for {
		if _, err := io.ReadFull(conn, buffer); err != nil {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// crowdKinds returns the kinds of clients by which a process can be made to hold much memory.
func crowdKinds() []crowdKind {
	body := strings.Repeat("b", 60<<10)
	return []crowdKind{
		{"never send a byte", func(conn net.Conn, _ string) { discard(conn) }},
		{"write heads slowly", func(conn net.Conn, id string) {
			trickle(conn, requestHead("GET", "/api", id, "X-Pad: "+strings.Repeat("p", 11<<10)), 64, 20*time.Millisecond)
			discard(conn)
		}},
		{"send heads of many short fields and stop", func(conn net.Conn, id string) {
			_, _ = io.WriteString(conn, requestHead("POST", "/api", id, shortFields(14<<10), "Content-Length: 60000\r\n\r\n"))
			discard(conn)
		}},
		{"send heads of many short fields, held", func(conn net.Conn, id string) {
			_, _ = io.WriteString(conn, requestHead("GET", "/hold", id, shortFields(14<<10), "\r\n"))
			discard(conn)
		}},
		{"stop within a body of 64 KiB", func(conn net.Conn, id string) {
			_, _ = io.WriteString(conn, requestHead("POST", "/api", id, "Content-Length: 65536\r\n\r\n")+body)
			discard(conn)
		}},
		{"stop within a chunked body", func(conn net.Conn, id string) {
			_, _ = io.WriteString(conn, requestHead("POST", "/api", id, "Transfer-Encoding: chunked\r\n\r\n")+fmt.Sprintf("%x\r\n", len(body))+body+"\r\n")
			discard(conn)
		}},
		{"stop within a body of 8 MiB", func(conn net.Conn, id string) {
			_, _ = io.WriteString(conn, requestHead("POST", "/api", id, "Content-Length: 8388608\r\n\r\n")+strings.Repeat(body, 60))
			discard(conn)
		}},
		{"write bodies slowly", func(conn net.Conn, id string) {
			_, _ = io.WriteString(conn, requestHead("POST", "/api", id, "Content-Length: 1048576\r\n\r\n")+body)
			trickle(conn, strings.Repeat(body, 17), 2<<10, 40*time.Millisecond)
			discard(conn)
		}},
		{"wait for answers with bodies sent", func(conn net.Conn, id string) {
			_, _ = io.WriteString(conn, requestHead("POST", "/hold", id, "Content-Length: "+strconv.Itoa(len(body))+"\r\n\r\n")+body)
			discard(conn)
		}},
		{"read long answers slowly", func(conn net.Conn, id string) {
			_, _ = io.WriteString(conn, requestHead("GET", "/long", id, "\r\n"))
			readSlowly(conn, 64<<10)
		}},
		{"read chunked answers slowly", func(conn net.Conn, id string) {
			_, _ = io.WriteString(conn, requestHead("GET", "/chunked", id, "\r\n"))
			readSlowly(conn, 64<<10)
		}},
		{"read nothing of long answers", func(conn net.Conn, id string) {
			_, _ = io.WriteString(conn, requestHead("GET", "/long", id, "\r\n"))
			time.Sleep(6 * time.Second)
		}},
		{"get answers that come at once", func(conn net.Conn, id string) {
			_, _ = io.WriteString(conn, requestHead("GET", "/buffered", id, "\r\n"))
			discard(conn)
		}},
		{"get answers of many short fields", func(conn net.Conn, id string) {
			_, _ = io.WriteString(conn, requestHead("GET", "/fields", id, "\r\n"))
			discard(conn)
		}},
	}
}

// crowd is a number of clients of the same kinds that connect again whenever their connections end.
type crowd struct {
	dial  func(ctx context.Context) (net.Conn, error)
	kinds []crowdKind
	size  int
	dials atomic.Int64
}

// tcpDial returns a dial function of plain connections.
func tcpDial(address string) func(ctx context.Context) (net.Conn, error) {
	return func(ctx context.Context) (net.Conn, error) { return (&net.Dialer{}).DialContext(ctx, "tcp", address) }
}

// tlsDial returns a dial function of TLS connections.
func tlsDial(address string, config *tls.Config) func(ctx context.Context) (net.Conn, error) {
	return func(ctx context.Context) (net.Conn, error) {
		return (&tls.Dialer{Config: config}).DialContext(ctx, "tcp", address)
	}
}

// start starts the crowd. Its clients' connections are closed when stop is called.
func (c *crowd) start() (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var all sync.WaitGroup
	for k := range c.size {
		kind := c.kinds[k%len(c.kinds)]
		all.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				conn, err := c.dial(ctx)
				if err == nil {
					c.dials.Add(1)
					end := context.AfterFunc(ctx, func() { _ = conn.Close() })
					kind.run(conn, fmt.Sprintf("crowd-%d-%d", k, n))
					end()
					_ = conn.Close()
				}
				sleepContext(ctx, crowdPause)
			}
		})
	}
	return func() { cancel(); all.Wait() }
}

// assertMemoryWithin fails the test unless the node's memory stayed within its limit.
func assertMemoryWithin(t testing.TB, watch *memoryWatch, limitMB int) {
	t.Helper()
	t.Logf("peak memory %.1f MB of %d, processes in KiB: %v", watch.peakMB(), limitMB, watch.each)
	assert.LessOrEqual(t, watch.peakMB(), float64(limitMB), "MB")
}
