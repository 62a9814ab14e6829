package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// slowTTL is the time to live of requests whose backend is slow.
const slowTTL = 1500 * time.Millisecond

// startRawBackendNode starts a node whose two backends serve each connection by serve, with and without TLS.
func startRawBackendNode(t *testing.T, serve func(conn net.Conn)) map[string]func(context.Context) (net.Conn, error) {
	var entries []string
	for k := range 2 {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		t.Cleanup(func() { _ = listener.Close() })
		go func() {
			for {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				go serve(conn)
			}
		}()
		entries = append(entries, strings.Replace(endpointEntry(listener.Addr().String(), "up"), "s-1", fmt.Sprint("s-", k+1), 1))
	}
	known := strings.Join(entries, ",")
	fixture := newTLSFixture(t)
	tlsFile, tlsAddress := fixture.writeTLSFile("n1")
	_, address, stderr := launch(t, "serve", "--tls", tlsFile, "-config", writeConfig(t, newFaultyDiscovery(t, known), 192, mostDescriptors, known, settings))
	followLog(t, stderr)
	fixture.waitForSerial(tlsAddress, func(string) bool { return true })
	return map[string]func(context.Context) (net.Conn, error){"plain": tcpDial(address), "TLS": tlsDial(tlsAddress, fixture.clientTLS)}
}

// A backend writes a long answer slowly, with pauses, far beyond the request's time to live. The client gets all of it.
func TestLongAnswerOfSlowBackendIsNotCutOff(t *testing.T) {
	t.Parallel()
	const partBytes = 8 << 10
	paces := map[string][]time.Duration{ // pauses after the parts
		"steadily":              slicesRepeat(400*time.Millisecond, 25),
		"with a pause":          {0, 0, 9 * time.Second, 0, 0, 0, 0, 0, 0},
		"with pauses":           {0, 4 * time.Second, 0, 4 * time.Second, 0, 4 * time.Second, 0, 0, 0},
		"after its first bytes": {3 * time.Second, 0, 0, 0, 0, 0, 0, 0, 0},
	}
	dials := startRawBackendNode(t, func(conn net.Conn) {
		defer conn.Close()
		request, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		form, pace := request.Header.Get("X-Form"), paces[request.Header.Get("X-Pace")]
		head := map[string]string{"length": fmt.Sprintf("Content-Length: %d\r\n", len(pace)*partBytes), "chunks": "Transfer-Encoding: chunked\r\n", "close": "Connection: close\r\n"}[form]
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+head+"\r\n")
		for _, pause := range pace {
			part := strings.Repeat("a", partBytes)
			if form == "chunks" {
				part = fmt.Sprintf("%x\r\n%s\r\n", partBytes, part)
			}
			if _, err := io.WriteString(conn, part); err != nil {
				return
			}
			time.Sleep(pause)
		}
		if form == "chunks" {
			_, _ = io.WriteString(conn, "0\r\n\r\n")
		}
	})
	for transport, dial := range dials {
		for _, form := range []string{"length", "chunks", "close"} {
			for pace, pauses := range paces {
				t.Run(transport+"/"+form+"/"+pace, func(t *testing.T) {
					t.Parallel()
					conn, err := dial(context.WithoutCancel(t.Context()))
					require.NoError(t, err)
					defer conn.Close()
					_, err = fmt.Fprintf(conn, "GET /api HTTP/1.1\r\nHost: s\r\nX-Trace-Id: %s\r\nX-Qos: check\r\nX-Expires-In-Ms: %d\r\nX-Form: %s\r\nX-Pace: %s\r\n\r\n",
						strings.ReplaceAll(t.Name(), " ", "_"), slowTTL.Milliseconds(), form, pace)
					require.NoError(t, err)
					response, err := http.ReadResponse(bufio.NewReader(conn), nil)
					require.NoError(t, err)
					require.Equal(t, http.StatusOK, response.StatusCode)
					size, err := io.Copy(io.Discard, response.Body)
					assert.NoError(t, err)
					assert.Equal(t, int64(len(pauses)*partBytes), size)
				})
			}
		}
	}
}

func slicesRepeat(value time.Duration, count int) (values []time.Duration) {
	for range count {
		values = append(values, value)
	}
	return values
}

// A backend reads a large request slowly, or stops, and answers late or never. The client gets its final answer within the request's
// time to live, which counts from when it has written the last byte.
func TestLargeRequestAtSlowBackendIsAnsweredInTime(t *testing.T) {
	t.Parallel()
	dials := startRawBackendNode(t, func(conn net.Conn) {
		defer conn.Close()
		reader := bufio.NewReader(conn)
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		var rate int
		_, _ = fmt.Sscan(request.Header.Get("X-Rate"), &rate)
		if rate == 0 {
			time.Sleep(20 * time.Second)
			return
		}
		readSlowly(conn, rate)
	})
	for transport, dial := range dials {
		for _, form := range []string{"length", "chunks"} {
			for _, size := range []int{1 << 20, 6 << 20, 16 << 20} {
				for _, rate := range []int{0, 256 << 10, 4 << 20} { // bytes a second
					t.Run(fmt.Sprintf("%s/%s/%d MiB at %d KiB a second", transport, form, size>>20, rate>>10), func(t *testing.T) {
						t.Parallel()
						conn, err := dial(context.WithoutCancel(t.Context()))
						require.NoError(t, err)
						defer conn.Close()
						late := sendLargeRequest(t, conn, form, size, rate)
						assert.Less(t, late, slowTTL+answerSlack)
					})
				}
			}
		}
	}
}

// sendLargeRequest returns the time from when the request's last byte was written until its answer's last byte. It is negative if the
// answer came before.
func sendLargeRequest(t *testing.T, conn net.Conn, form string, size, rate int) time.Duration {
	head := fmt.Sprintf("POST /api HTTP/1.1\r\nHost: s\r\nX-Trace-Id: %s\r\nX-Qos: pay\r\nX-Expires-In-Ms: %d\r\nX-Rate: %d\r\n",
		strings.ReplaceAll(t.Name(), " ", "_"), slowTTL.Milliseconds(), rate)
	late, _ := sendLargeBody(conn, head, form, size)
	return late
}

// sendLargeBody sends a request with a large body. It returns the time from the last byte to the end of the answer, negative if that came
// before, and the answer's status, 0 if there was none.
func sendLargeBody(conn net.Conn, head, form string, size int) (late time.Duration, status int) {
	answered := make(chan time.Time, 1)
	go func() {
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err == nil {
			status = response.StatusCode
			_, _ = io.Copy(io.Discard, response.Body)
		}
		answered <- time.Now()
	}()
	part := strings.Repeat("b", 64<<10)
	if form == "chunks" {
		head += "Transfer-Encoding: chunked\r\n"
		part = fmt.Sprintf("%x\r\n%s\r\n", len(part), part)
	} else {
		head += fmt.Sprintf("Content-Length: %d\r\n", size)
	}
	_, err := io.WriteString(conn, head+"\r\n")
	for sent := 0; err == nil && sent < size; sent += 64 << 10 { // until the node has answered and closed
		_, err = io.WriteString(conn, part)
	}
	if form == "chunks" {
		_, _ = io.WriteString(conn, "0\r\n\r\n")
	}
	sentAt := time.Now()
	select {
	case at := <-answered:
		return at.Sub(sentAt), status
	case <-time.After(15 * time.Second):
		return 15 * time.Second, 0
	}
}

// handoffExit is the time that a process takes for its exit, before it may be killed.
const handoffExit = 100 * time.Millisecond

// A node is upgraded while backends write long answers slowly and read large requests slowly. Answers that end before the old process may be
// killed are whole, and large requests get their final answer in time, at both processes.
func TestSlowBackendsDuringUpgrade(t *testing.T) {
	for name, overTLS := range map[string]bool{"plain": false, "TLS": true} {
		t.Run(name, func(t *testing.T) {
			var fixture *tlsFixture
			if overTLS {
				fixture = newTLSFixture(t)
			}
			node := startCrowdNodeWith(t, 192, mostDescriptors, fixture)
			var clients sync.WaitGroup
			var served, processEnd atomic.Int64
			processEnd.Store(math.MaxInt64)
			send := func(stage string) {
				for k := range 6 {
					for _, form := range []string{"length", "chunks"} {
						id := fmt.Sprintf("%s-%s-%d", stage, form, k)
						clients.Go(func() { served.Add(node.readDrippingAnswer(form, "answer-"+id, &processEnd)) })
						clients.Go(func() { node.sendToSlowReader(form, "request-"+id) })
					}
				}
			}
			send("before")
			time.Sleep(200 * time.Millisecond)
			old := node.process
			node.startProcess()
			send("both")
			time.Sleep(200 * time.Millisecond)
			processEnd.Store(time.Now().Add(killAfterTerm - handoffExit).UnixNano())
			require.NoError(t, old.Process.Signal(syscall.SIGTERM))
			kill := time.AfterFunc(killAfterTerm, func() { _ = old.Process.Kill() })
			defer kill.Stop()
			send("after")
			_ = old.Wait()
			clients.Wait()
			assert.Greater(t, served.Load(), int64(10), "answers")
		})
	}
}

// readDrippingAnswer gets an answer that its backend writes slowly. It returns how many were served. Answers may be cut off that would not end
// before processEnd, in Unix ns.
func (node *crowdNode) readDrippingAnswer(form, id string, processEnd *atomic.Int64) (served int64) {
	t := node.t
	conn, err := node.dial(context.WithoutCancel(t.Context()))
	if !assert.NoError(t, err, id) {
		return 0
	}
	defer conn.Close()
	_, _ = io.WriteString(conn, requestHead("GET", "/drip", id, "X-Form: "+form+"\r\n\r\n"))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if !assert.NoError(t, err, id) || response.StatusCode == http.StatusServiceUnavailable { // slow backends may have no room
		return 0
	}
	begun := time.Now()
	size, err := io.Copy(io.Discard, response.Body)
	if endAt := begun.Add(heldAnswer).UnixNano(); err != nil && endAt > processEnd.Load() {
		return 0 // it was queued, and would have ended after the process
	}
	assert.NoError(t, err, id)
	assert.Equal(t, http.StatusOK, response.StatusCode, id)
	assert.Equal(t, int64(dripParts*dripBytes), size, id)
	return 1
}

// sendToSlowReader sends a large request that its backend reads slowly.
func (node *crowdNode) sendToSlowReader(form, id string) {
	t := node.t
	conn, err := node.dial(context.WithoutCancel(t.Context()))
	if !assert.NoError(t, err, id) {
		return
	}
	defer conn.Close()
	const bodyBytes = 3 << 20
	late, status := sendLargeBody(conn, strings.Replace(requestHead("POST", "/slowread", id), "4000", fmt.Sprint(slowTTL.Milliseconds()), 1), form, bodyBytes)
	assert.Less(t, late, slowTTL+answerSlack, id)
	assert.NotZero(t, status, id)
}
