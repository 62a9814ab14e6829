package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// secondAnswerDelay is how much later than an answer its second copy comes.
	secondAnswerDelay = 12 * time.Millisecond
	// backendWork is how long a backend works on a request.
	backendWork = 40 * time.Millisecond
	// oneWay is the time that bytes take between a node and a backend of another zone, each way.
	oneWay = 8 * time.Millisecond
	// spoiltEvery is how many answers of a backend there are to one that comes twice.
	spoiltEvery = 10
)

// secondAnswers: some answers of the backends come a second time, some milliseconds late. No client may get an answer to another's request.
func secondAnswers(r *rig) error {
	d, err := newDeployment(r, 0, 0)
	if err != nil {
		return err
	}
	if err := d.addNodes(); err != nil {
		return err
	}
	zones := []string{"a", "b", "c"}
	lists := make([][]object, len(zones)) // a node's list, by its zone
	for i := range 6 {
		b := &spoilingBackend{rig: r, name: fmt.Sprintf("s-%d", i+1)}
		for k := range zones { // each zone reaches a backend by an address of its own
			delay := oneWay
			if k == i%len(zones) {
				delay = 0
			}
			address, err := b.listen(delay)
			if err != nil {
				return err
			}
			lists[k] = append(lists[k], object{"uid": b.name, "endpoint": address, "az": zones[i%len(zones)], "model": "m", "pod_group": 0,
				"state": "up", "capacity_hint": 1.0, "boot_ms": 0})
		}
	}
	for k, n := range d.nodes {
		n.list = object{"rev": 1, "all": true, "targets": lists[k]}
		if n.discovery, err = d.serve(func(w http.ResponseWriter, request *http.Request) { handleList(n.list, w, request) }); err != nil {
			return err
		}
		n.adjust = func(s object) { s["zones"], s["az"] = zones, k }
	}
	if err := d.startNodes(himalClasses); err != nil {
		return err
	}
	for _, n := range d.nodes {
		if err := d.awaitNode(n); err != nil {
			return err
		}
	}
	var clients sync.WaitGroup
	var sent, served atomic.Int64
	for i := range 12 {
		clients.Go(func() {
			for k := range 200 {
				q := request{id: fmt.Sprintf("%08d%08d", i, k), key: fmt.Sprintf("check-%d-%d", i, k), class: "member-check", ttl: 6 * time.Second}
				sent.Add(1)
				got := exchange(d.nodes[(i+k)%len(d.nodes)], q)
				if got.err != nil || got.status != http.StatusOK {
					continue
				}
				served.Add(1)
				if strings.TrimSpace(got.body) != "answer to "+q.id {
					r.breaks("foreign: request %s got %v", q.id, got)
				}
			}
		})
	}
	clients.Wait()
	r.note("%d requests sent, %d served", sent.Load(), served.Load())
	if served.Load() == 0 {
		return errors.New("no request was served")
	}
	return nil
}

// spoilingBackend is a stand-in for a backend some of whose answers come twice on their connection.
type spoilingBackend struct {
	rig     *rig
	name    string
	answers atomic.Int64
}

// listen serves at an address behind a network of that delay, each way.
func (b *spoilingBackend) listen(delay time.Duration) (address string, err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	b.rig.onClose(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go b.serveConn(conn, delay)
		}
	}()
	return l.Addr().String(), nil
}

// spoilingConn is a connection to such a backend, as the backend sees it: behind a network that takes delay.
type spoilingConn struct {
	delay  time.Duration
	outbox chan outgoing

	mu      sync.Mutex
	waiting int // requests that have come and are not answered
	ended   bool
}

type outgoing struct {
	due  time.Time
	text string
}

func (b *spoilingBackend) serveConn(conn net.Conn, delay time.Duration) {
	defer conn.Close()
	c := &spoilingConn{delay: delay, outbox: make(chan outgoing, 16)}
	defer c.end()
	go func() {
		for message := range c.outbox {
			time.Sleep(time.Until(message.due))
			if _, err := io.WriteString(conn, message.text); err != nil {
				_ = conn.Close()
			}
		}
	}()
	for reader := bufio.NewReader(conn); ; {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		time.Sleep(delay)
		c.arrived()
		time.Sleep(backendWork)
		body := "answer to " + request.Header.Get("X-Trace-Id") + "\n"
		text := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		c.answer(text)
		if b.answers.Add(1)%spoiltEvery == 0 && b.rig.trouble {
			time.AfterFunc(secondAnswerDelay, func() {
				if c.repeat(text) {
					b.rig.note("%s: second answer to %s", b.name, request.Header.Get("X-Trace-Id"))
				}
			})
		}
	}
}

func (c *spoilingConn) arrived() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting++
}

func (c *spoilingConn) answer(text string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting--
	c.send(text)
}

// repeat sends a second copy of an answer, if nothing else waits on the connection.
func (c *spoilingConn) repeat(text string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.waiting > 0 || c.ended {
		return false
	}
	c.send(text)
	return true
}

func (c *spoilingConn) send(text string) { c.outbox <- outgoing{time.Now().Add(c.delay), text} }

func (c *spoilingConn) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended = true
	close(c.outbox)
}
