package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// request is a client's request. One of fee-payment is unsafe to repeat, and has a body; the others are safe.
type request struct {
	id, key string
	class   string // fee-payment if empty
	ttl     time.Duration
	body    string
	rate    int // bytes of the body a second; 0 writes it at once
	isRetry bool

	resetAfter time.Duration // after which the network resets the connection, counted from the last byte; 0 is never
}

// answer is what a client got: a status and a body, or why there is none.
type answer struct {
	status int
	body   string
	marker string // the node's Pearknot-Answer, if there is one
	taken  bool   // the request's last byte was written
	err    error
}

func (a answer) String() string {
	if a.err != nil {
		return "no answer: " + a.err.Error()
	}
	if len(a.body) > 200 {
		return fmt.Sprintf("%d, %d bytes", a.status, len(a.body))
	}
	if a.marker != "" {
		return fmt.Sprintf("%d, %d bytes, Pearknot-Answer: %s", a.status, len(a.body), a.marker)
	}
	return fmt.Sprintf("%d %q", a.status, strings.TrimSpace(a.body))
}

var errReset = errors.New("the connection was reset")

// bodySlice is the time between two writes of a body.
const bodySlice = 50 * time.Millisecond

// lateness is by how much a final answer may come after its time: half a second, and the 50 ms that each limit is longer on sockets.
const lateness = 550 * time.Millisecond

// send sends a request to a node on a connection of its own, and waits for its answer.
func send(r *rig, to *node, q request) answer {
	r.note("client: key %s, request %s to %s: sends", q.key, q.id, to.name)
	got := exchange(to, q)
	r.note("client: key %s, request %s at %s: %v", q.key, q.id, to.name, got)
	return got
}

func exchange(to *node, q request) answer {
	conn, err := net.DialTimeout("tcp", to.address, time.Second)
	if err != nil {
		return answer{err: err}
	}
	defer conn.Close()
	head := fmt.Sprintf("GET /api HTTP/1.1\r\nHost: service.internal\r\nX-Qos: %s\r\n", q.class)
	if q.class == "" {
		head = fmt.Sprintf("POST /api HTTP/1.1\r\nHost: service.internal\r\nX-Qos: fee-payment\r\nContent-Length: %d\r\n", len(q.body))
	}
	head += fmt.Sprintf("X-Trace-Id: %s\r\nX-Expires-In-Ms: %d\r\nIdempotency-Key: %s\r\n", q.id, q.ttl.Milliseconds(), q.key)
	if q.isRetry {
		head += "X-Second-Try: 1\r\n"
	}
	if _, err := io.WriteString(conn, head+"\r\n"); err != nil {
		return answer{err: err}
	}
	if err := writeBody(conn, q); err != nil {
		return answer{err: err}
	}
	wait := q.ttl + lateness
	if q.resetAfter > 0 {
		time.Sleep(q.resetAfter)
		return answer{taken: true, err: errors.Join(errReset, conn.(*net.TCPConn).SetLinger(0))}
	}
	if err := conn.SetReadDeadline(time.Now().Add(wait)); err != nil {
		return answer{err: err}
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return answer{taken: true, err: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return answer{response.StatusCode, string(body), response.Header.Get("Pearknot-Answer"), true, err}
}

func writeBody(conn net.Conn, q request) error {
	part := len(q.body)
	if q.rate > 0 {
		part = q.rate * int(bodySlice) / int(time.Second)
	}
	for rest := q.body; rest != ""; {
		size := min(part, len(rest))
		if _, err := io.WriteString(conn, rest[:size]); err != nil {
			return err
		}
		if rest = rest[size:]; rest != "" {
			time.Sleep(bodySlice)
		}
	}
	return nil
}
