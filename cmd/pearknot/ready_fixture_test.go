package main

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// restartedNode is a node that is stopped and started again with the same name and address.
type restartedNode struct {
	t       testing.TB
	list    *faultyDiscovery
	file    string
	address string

	process   *exec.Cmd
	log       *logLines
	startedAt time.Time
}

// newRestartedNode starts a node for the first time, while discovery is healthy. known says whether its configuration has a list
// of known backends.
func newRestartedNode(t testing.TB, mode string, known bool) *restartedNode {
	backend := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	t.Cleanup(backend.Close)
	entry := endpointEntry(backend.Listener.Addr().String(), "up")
	node := &restartedNode{t: t, list: newFaultyDiscovery(t, entry)}
	node.file = writeConfig(t, node.list, 192, 256, entry, strings.Replace(settings, "subscribe", mode, 1))
	// The address is the test's own, so that no connection from elsewhere on this machine takes its port.
	node.replaceInConfig(`"listen":"127.0.0.1:0"`, fmt.Sprintf(`"listen":"127.%d.%d.1:0"`, 100+os.Getpid()%100, os.Getpid()/100%250))
	if !known {
		node.replaceInConfig(`"known":{"rev":41,"all":true,"targets":[`+entry+`]},`, "")
	}
	node.start()
	require.Eventually(t, func() bool { return node.log.Count("msg=serving") > 0 }, 20*time.Second, time.Millisecond)
	node.address = node.log.find(servingLine)
	node.replaceInConfig(`.1:0"`, `.1:`+node.address[strings.LastIndexByte(node.address, ':')+1:]+`"`)
	node.waitUntilReady()
	return node
}

func (node *restartedNode) replaceInConfig(from, to string) {
	text, err := os.ReadFile(node.file)
	require.NoError(node.t, err)
	require.Contains(node.t, string(text), from)
	require.NoError(node.t, os.WriteFile(node.file, []byte(strings.Replace(string(text), from, to, 1)), 0o600))
}

func (node *restartedNode) start() {
	node.process, node.startedAt = exec.Command(nodeProgram, "serve", "-config", node.file), time.Now()
	stderr, err := node.process.StderrPipe()
	require.NoError(node.t, err)
	require.NoError(node.t, node.process.Start())
	process := node.process
	node.t.Cleanup(func() { _ = process.Process.Kill() })
	node.log = followLog(node.t, stderr)
}

func (node *restartedNode) stop(signal syscall.Signal) {
	require.NoError(node.t, node.process.Process.Signal(signal))
	<-node.log.ended
	if err := node.process.Wait(); signal == syscall.SIGTERM {
		require.NoError(node.t, err)
	}
}

// restartTime restarts the node while discovery is in a mode, and returns how long it took to become ready: from its start, or
// from discovery's return if the node can't be ready before that.
func (node *restartedNode) restartTime(mode discoveryMode, signal syscall.Signal, known bool) time.Duration {
	node.list.setMode(mode)
	node.stop(signal)
	before := node.list.callCount()
	node.start()
	since := node.startedAt
	if !known && !listAvailable[mode] {
		require.Eventually(node.t, func() bool {
			return node.log.Count(`msg="endpoint list poll failed"`) > 0 && node.log.Count("msg=serving") > 0
		},
			20*time.Second, time.Millisecond)
		require.Equal(node.t, http.StatusServiceUnavailable, node.health())
		if mode == discoverySilent { // discovery recovers while the next call is in flight, and that call is lost
			require.Eventually(node.t, func() bool { return node.list.callCount() > before+1 }, 20*time.Second, time.Millisecond)
		}
		since = time.Now()
		node.list.setMode(discoveryHealthy)
	}
	return node.waitUntilReady().Sub(since)
}

// health returns the status of the health check, or 0 if there is no answer.
func (node *restartedNode) health() int {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 5 * time.Second}
	response, err := client.Get("http://" + node.address + "/_health")
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return response.StatusCode
}

// waitUntilReady waits until the node is ready and returns when it was.
func (node *restartedNode) waitUntilReady() time.Time {
	for until := time.Now().Add(20 * time.Second); node.health() != http.StatusOK; <-time.After(time.Millisecond) {
		require.Less(node.t, time.Now(), until)
	}
	return time.Now()
}
