package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// floodDuration is how long a single client sends at full speed.
const floodDuration = time.Second

// floodMaxDelay is the longest time in which a node with an idle backend may answer another client meanwhile.
const floodMaxDelay = 500 * time.Millisecond

// A client that sends small or unsound requests on one connection at full speed, also under ever new names, delays no other
// client, and the memory that the node holds for it does not grow.
func TestClientAtFullSpeedHarmsNoOther(t *testing.T) {
	head := func(id, class, extra string) string {
		return "GET /api HTTP/1.1\r\nHost: s\r\nX-Trace-Id: " + id + "\r\nX-Qos: " + class + "\r\nX-Expires-In-Ms: 3600000\r\n" + extra + "\r\n"
	}
	for name, request := range map[string]func(k int) string{
		"requests":        func(k int) string { return head(fmt.Sprint("f", k), "check", "") },
		"payments":        func(k int) string { return head(fmt.Sprint("f", k), "pay", "") },
		"one id":          func(int) string { return head("same", "check", "") },
		"unknown classes": func(k int) string { return head(fmt.Sprint("f", k), fmt.Sprint("class-", k), "") },
		"new customers":   func(k int) string { return head(fmt.Sprint("f", k), "check", fmt.Sprintf("X-Customer: c%d\r\n", k)) },
		"new fields":      func(k int) string { return head(fmt.Sprint("f", k), "check", fmt.Sprintf("X-F%d: v\r\n", k)) },
		"new paths": func(k int) string {
			return strings.Replace(head(fmt.Sprint("f", k), "check", ""), "/api", fmt.Sprint("/p", k, "?sid=", k), 1)
		},
		"new hosts": func(k int) string {
			return strings.Replace(head(fmt.Sprint("f", k), "check", ""), "Host: s", fmt.Sprint("Host: s", k), 1)
		},
		"no id":           func(int) string { return head("", "check", "") },
		"health checks":   func(int) string { return "GET /_health HTTP/1.1\r\nHost: s\r\n\r\n" },
		"unknown methods": func(k int) string { return strings.Replace(head(fmt.Sprint("f", k), "check", ""), "GET", "FROB", 1) },
		"two framings": func(k int) string {
			return head(fmt.Sprint("f", k), "check", "Content-Length: 0\r\nTransfer-Encoding: chunked\r\n")
		},
		"unsound lines":   func(int) string { return "\x00\x01 \r\n\r\n" },
		"line ends":       func(int) string { return strings.Repeat("\r\n", 1000) },
		"several at once": func(k int) string { return strings.Repeat(head(fmt.Sprint("f", k), "check", ""), 50) },
		"expectations": func(k int) string {
			return strings.Replace(head(fmt.Sprint("f", k), "check", "Expect: 100-continue\r\nContent-Length: 4\r\n"), "GET", "POST", 1) + "body"
		},
		"trailing bytes": func(k int) string { return head(fmt.Sprint("f", k), "check", "") + strings.Repeat("x", 60<<10) },
		"chunks of a byte": func(k int) string {
			return strings.Replace(head(fmt.Sprint("f", k), "check", "Transfer-Encoding: chunked\r\n"), "GET", "POST", 1) + strings.Repeat("1\r\nx\r\n", 3000) + "0\r\n\r\n"
		},
		"chunk extensions, trailers": func(k int) string {
			return strings.Replace(head(fmt.Sprint("f", k), "check", "Transfer-Encoding: chunked\r\n"), "GET", "POST", 1) + "1;e=" + strings.Repeat("x", 2000) + "\r\nx\r\n0\r\n" + shortFields(8<<10) + "\r\n"
		},
	} {
		t.Run(name, func(t *testing.T) {
			for _, waits := range []bool{true, false} {
				playFlood(t, startCrowdNode(t, leastMemoryMB, nil), request, waits)
			}
			if strings.HasPrefix(name, "no id") || strings.HasPrefix(name, "chunk") {
				playFlood(t, startCrowdNode(t, leastMemoryMB, newTLSFixture(t)), request, false)
			}
		})
	}
}

// playFlood has a client send requests, each after the answer to the one before or at once, beside another client.
func playFlood(t *testing.T, node *crowdNode, request func(k int) string, waits bool) {
	ctx, cancel := context.WithTimeout(t.Context(), floodDuration)
	defer cancel()
	var all sync.WaitGroup
	sent := 0
	all.Go(func() { sent = flood(ctx, node.dial, request, waits) })
	var worst time.Duration
	failed := 0
	for k := 0; ctx.Err() == nil; k++ {
		start := time.Now()
		status, _, _, err := node.send(http.DefaultClient, "GET", fmt.Sprint("other-", k), "check", "4000")
		if err != nil || status != http.StatusOK {
			failed++
		}
		worst = max(worst, time.Since(start))
		time.Sleep(20 * time.Millisecond)
	}
	all.Wait()
	t.Logf("waits %v: %d sent, worst %v, failed %d, peak %.1f MB", waits, sent, worst, failed, node.memory.peakMB())
	assertMemoryWithin(t, node.memory, leastMemoryMB)
	require.False(t, node.log.hasEnded(), "the node still runs")
	assert.Zero(t, failed, "other requests not served")
	assert.Less(t, worst, floodMaxDelay)
}

// flood sends requests until ctx ends, on a new connection whenever one ends, and returns their number.
func flood(ctx context.Context, dial func(context.Context) (net.Conn, error), request func(k int) string, waits bool) (sent int) {
	for ctx.Err() == nil {
		conn, err := dial(ctx)
		if err != nil {
			continue
		}
		end := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
		if !waits {
			go discard(conn)
		}
		answers := bufio.NewReader(conn)
		for ctx.Err() == nil {
			sent++
			if _, err := io.WriteString(conn, request(sent)); err != nil {
				break
			}
			if waits && !readAnswer(answers) {
				break
			}
		}
		end()
		_ = conn.Close()
	}
	return sent
}

// readAnswer reads an answer, and reports whether the connection can be used again.
func readAnswer(answers *bufio.Reader) bool {
	response, err := http.ReadResponse(answers, nil)
	if err != nil {
		return false
	}
	_, err = io.Copy(io.Discard, response.Body)
	return err == nil && !response.Close
}
