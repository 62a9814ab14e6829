package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"regexp"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// startOperatedNode starts a node with an admin address and one backend, s-1, that always responds.
func startOperatedNode(t *testing.T) (node *testNode, adminAddress string) {
	backend := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	t.Cleanup(backend.Close)
	list := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, request *http.Request) { <-request.Context().Done() }))
	t.Cleanup(list.Close)
	file := writeConfig(t, list.Listener.Addr(), 64, 128, endpointEntry(backend.Listener.Addr().String(), "up"), settings)
	addAdminAddress(t, file)
	process := exec.Command(nodeProgram, "serve", "-config", file)
	node = &testNode{t: t, process: process, file: file, ended: make(chan error, 1)}
	r, err := process.StderrPipe()
	require.NoError(t, err)
	require.NoError(t, process.Start())
	t.Cleanup(func() { _ = process.Process.Kill() })
	lines, serving := bufio.NewScanner(r), regexp.MustCompile(`msg=serving .*address=(\S+) control=(\S+)`)
	for adminAddress == "" && lines.Scan() {
		if m := serving.FindStringSubmatch(lines.Text()); m != nil {
			node.address, adminAddress = m[1], m[2]
		}
	}
	require.NotEmpty(t, adminAddress)
	go func() {
		_, _ = io.Copy(io.Discard, r)
		node.ended <- process.Wait()
	}()
	// The log line comes a moment before the node answers calls.
	require.Eventually(t, func() bool {
		status, _ := runProgram("call", adminAddress, "health")
		return status == 0
	}, 5*time.Second, time.Millisecond)
	return node, adminAddress
}

// An operator makes each call of the admin address. The answer, the exit status, and what clients get afterwards are as
// documented.
func TestAdminCalls(t *testing.T) {
	node, adminAddress := startOperatedNode(t)
	for _, c := range []struct {
		args          []string
		output        string
		status        int
		requestStatus int // of a request sent after the call
	}{
		{[]string{"health"}, "YES ready\n", 0, 200},
		{[]string{"cordon", "s-1"}, "YES out\n", 0, 503},
		{[]string{"cordon", "s-1"}, "YES out\n", 0, 503},
		{[]string{"uncordon", "s-1"}, "YES back\n", 0, 200},
		{[]string{"cordon", "s-9"}, "NO \"s-9\": never listed\n", 3, 200},
		{[]string{"resume"}, "YES clients are taken\n", 0, 200},
		{[]string{"quiesce"}, "YES clients are sent away\n", 0, 200},
		{[]string{"quiesce"}, "YES clients are sent away\n", 0, 200},
		{[]string{"health"}, "NO clients are sent away\n", 3, 200},
		{[]string{"resume"}, "YES clients are taken\n", 0, 200},
		{[]string{"health"}, "YES ready\n", 0, 200},
		{[]string{"cordon"}, "pearknot: cordon needs a backend's id\n", 2, 200},
	} {
		status, output := runProgram(append([]string{"call", adminAddress}, c.args...)...)
		assert.Equal(t, c.output, output, c.args)
		assert.Equal(t, c.status, status, c.args)
		got, _, _, err := node.send(newClient(), "GET", fmt.Sprint(c.args), "check", "2000")
		require.NoError(t, err)
		assert.Equal(t, c.requestStatus, got, c.args)
	}
	status, _ := runProgram("call", "127.0.0.1:1", "health")
	assert.Equal(t, 1, status, "nothing listens there")
}

// An operator sends the clients of a node away (quiesce). The health check fails at once. Idle connections are closed, a
// connection in use is asked to close with a response and never cut off, and a client in the middle of a request head is still
// served. After four seconds requests are rejected. Resume takes clients again.
func TestQuiesceSendsClientsAway(t *testing.T) {
	node, adminAddress := startOperatedNode(t)
	healthy := func() bool {
		response, err := newClient().Get("http://" + node.address + "/_health")
		require.NoError(t, err)
		defer response.Body.Close()
		return response.StatusCode == http.StatusOK
	}
	slow, err := net.Dial("tcp", node.address) // sends its request head slowly, and is not idle
	require.NoError(t, err)
	defer slow.Close()
	closed := make(chan time.Time, 1)
	idle, err := net.Dial("tcp", node.address)
	require.NoError(t, err)
	defer idle.Close()
	busy, err := net.Dial("tcp", node.address)
	require.NoError(t, err)
	defer busy.Close()
	go func() {
		_, _ = idle.Read(make([]byte, 1))
		closed <- time.Now()
	}()
	reader := bufio.NewReader(busy)
	sendRequest := func(id string) *http.Response { // on one connection, while it stays open
		fmt.Fprintf(busy, "GET /api HTTP/1.1\r\nHost: s\r\nX-Trace-Id: %s\r\nX-Qos: check\r\nX-Expires-In-Ms: 2000\r\n\r\n", id)
		response, err := http.ReadResponse(reader, nil)
		require.NoError(t, err, "the connection is never cut off")
		_, err = io.Copy(io.Discard, response.Body)
		require.NoError(t, err)
		return response
	}
	require.False(t, sendRequest("a").Close)
	require.True(t, healthy())
	startedAt := time.Now()
	status, _ := runProgram("call", adminAddress, "quiesce")
	require.Zero(t, status)
	assert.False(t, healthy())
	_, err = io.WriteString(slow, "GET /api HTTP/1.1\r\nHost: s\r\nX-Trace-Id: slow\r\nX-Qos: check\r\n")
	require.NoError(t, err)
	statusOf := make(chan int, 1)
	time.AfterFunc(1200*time.Millisecond, func() {
		_, _ = io.WriteString(slow, "X-Expires-In-Ms: 2000\r\n\r\n")
		status := 0
		if response, err := http.ReadResponse(bufio.NewReader(slow), nil); err == nil {
			status = response.StatusCode
		}
		statusOf <- status
	})
	pace := time.NewTicker(20 * time.Millisecond)
	defer pace.Stop()
	for k := 0; ; k++ { // a connection in use is asked to close with a response
		response := sendRequest(fmt.Sprint("b", k))
		assert.Equal(t, 200, response.StatusCode)
		if response.Close {
			break
		}
		require.Less(t, time.Since(startedAt), 3*time.Second)
		<-pace.C
	}
	assert.Equal(t, 200, <-statusOf)
	assert.Less(t, (<-closed).Sub(startedAt), 3500*time.Millisecond)
	require.Eventually(t, func() bool { // later requests are rejected: their clients could not leave in time
		status, _, _, err := node.send(newClient(), "GET", fmt.Sprint(time.Now()), "check", "2000")
		return err == nil && status == 503
	}, 3*time.Second, 20*time.Millisecond)
	status, _ = runProgram("call", adminAddress, "resume")
	require.Zero(t, status)
	assert.True(t, healthy())
	status, _, _, err = node.send(newClient(), "GET", "c", "check", "2000")
	require.NoError(t, err)
	assert.Equal(t, 200, status)
}

// A reload (SIGHUP) puts new settings in force completely or not at all. Classes are added, removed and change their
// idempotency; a request in flight keeps the class that it arrived with.
func TestReloadChangesSettingsWholeOrNotAtAll(t *testing.T) {
	inFlight, release := make(chan bool, 9), make(chan bool)
	node := startNode(t, 1024, func(rw http.ResponseWriter, request *http.Request) {
		if strings.HasPrefix(request.Header.Get("X-Trace-Id"), "slow") {
			inFlight <- true
			<-release
			panic(http.ErrAbortHandler) // the request may have run
		}
	})
	status := func(id, class string) int {
		status, _, _, err := node.send(newClient(), "GET", id, class, "6000")
		require.NoError(t, err)
		return status
	}
	slow := make(chan int, 1)
	go func() {
		status, _, _, _ := node.send(newClient(), "GET", "slow", "check", "6000")
		slow <- status
	}()
	<-inFlight
	config, err := os.ReadFile(node.file)
	require.NoError(t, err)
	change := func(pairs ...string) []byte { return []byte(strings.NewReplacer(pairs...).Replace(string(config))) }
	reload := func(text []byte) {
		require.NoError(t, os.WriteFile(node.file, text, 0o600))
		require.NoError(t, node.process.Process.Signal(syscall.SIGHUP))
	}
	for _, bad := range [][]byte{nil, config[:len(config)-2], change(`"name":"n1",`, ``, `"name":"pay"`, `"name":"new"`),
		change(`"limits"`, `"no"`, `"name":"pay"`, `"name":"new"`), change(`"ttl":4000`, `"ttl":-1`, `"name":"pay"`, `"name":"new"`)} {
		reload(bad)
	}
	reload(change(`"name":"check"`, `"name":"look"`, `"name":"pay"`, `"name":"check"`, `"mostPushes":3`, `"mostPushes":1`))
	require.Eventually(t, func() bool { return status("a", "look") == 200 }, 10*time.Second, 10*time.Millisecond)
	assert.Equal(t, 400, status("b", "new"), "nothing of the invalid files was put in force")
	assert.Equal(t, 400, status("c", "pay"), "dropped")
	close(release)
	assert.Equal(t, 503, <-slow, "idempotent, as it arrived: rejected")
	assert.Equal(t, 502, status("slow-2", "check"), "at-most-once now: it fails")
}
