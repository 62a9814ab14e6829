package main

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// newRecordedDiscovery starts a discovery service with an empty list, and returns its address and the queries of its calls.
func newRecordedDiscovery(t *testing.T) (address string, queries chan string) {
	queries = make(chan string, 99)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		queries <- request.URL.RawQuery
		if request.URL.RawQuery != "" {
			<-request.Context().Done()
		}
		fmt.Fprint(w, `{"rev":3,"all":true,"targets":[]}`)
	}))
	t.Cleanup(s.Close)
	return s.Listener.Addr().String(), queries
}

var discoveryKey = regexp.MustCompile(`"discovery":"[^"]*"`)

// A signal arrives while a starting node still reads its configuration, here from a pipe. SIGHUP once ended the process, and
// SIGTERM was lost in the command line's code, so that the node kept serving until it was killed.
func TestSignalsDuringTheStart(t *testing.T) {
	first, firstQueries := newRecordedDiscovery(t)
	second, secondQueries := newRecordedDiscovery(t)
	for name, signal := range map[string]os.Signal{"SIGHUP": syscall.SIGHUP, "SIGTERM": syscall.SIGTERM} {
		l := httptest.NewServer(http.NotFoundHandler())
		config, err := os.ReadFile(writeConfig(t, l.Listener.Addr(), 192, 256, "", settings))
		l.Close()
		require.NoError(t, err)
		file := filepath.Join(t.TempDir(), "pipe")
		require.NoError(t, syscall.Mkfifo(file, 0o600))
		text := discoveryKey.ReplaceAll(config, fmt.Appendf(nil, `"discovery":%q`, first))
		to, err := os.OpenFile(file, os.O_RDWR, 0) // O_RDWR does not wait for a reader
		require.NoError(t, err)
		_, err = to.Write(text[:100])
		require.NoError(t, err)
		process := exec.Command(nodeProgram, "serve", "-config", file)
		require.NoError(t, process.Start())
		t.Cleanup(func() { _ = process.Process.Kill() })
		ended := make(chan error, 1)
		go func() { ended <- process.Wait() }()
		require.Eventually(t, func() bool { // the node has begun to read it
			unread, err := unix.IoctlGetInt(int(to.Fd()), unix.TIOCINQ)
			return err == nil && unread == 0
		}, 20*time.Second, time.Millisecond)
		require.NoError(t, process.Process.Signal(signal))
		require.NoError(t, os.WriteFile(file+"-next", discoveryKey.ReplaceAll(config, fmt.Appendf(nil, `"discovery":%q`, second)), 0o600))
		require.NoError(t, os.Rename(file+"-next", file)) // a second read gets another file
		_, err = to.Write(text[100:])
		require.NoError(t, err)
		require.NoError(t, to.Close())
		if signal == syscall.SIGHUP {
			select {
			case query := <-secondQueries:
				assert.Equal(t, "", query, name)
			case <-time.After(20 * time.Second):
				t.Fatal(name, "was not handled")
			}
			require.NoError(t, process.Process.Signal(syscall.SIGTERM))
		}
		select {
		case err := <-ended:
			assert.NoError(t, err, name)
		case <-time.After(20 * time.Second):
			t.Fatal(name, "was not handled")
		}
	}
	assert.LessOrEqual(t, len(firstQueries), 2)
}

// SIGHUP arrives while a node drains, or together with SIGTERM. The node follows the list at its new address all the same, since
// the old address no longer serves it.
func TestReloadDuringDrain(t *testing.T) {
	inFlight := make(chan bool, 1)
	node := startNode(t, 256, func(_ http.ResponseWriter, request *http.Request) {
		inFlight <- true
		<-request.Context().Done() // keeps the drain from ending
	})
	slow := make(chan int, 1)
	go func() {
		status, _, _, _ := node.send(newClient(), "POST", "slow", "pay", "4000")
		slow <- status
	}()
	<-inFlight
	next, queries := newRecordedDiscovery(t)
	config, err := os.ReadFile(node.file)
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(node.file, discoveryKey.ReplaceAll(config, fmt.Appendf(nil, `"discovery":%q`, next)), 0o600))
	require.NoError(t, node.process.Process.Signal(syscall.SIGTERM))
	require.Eventually(t, func() bool { // the drain has begun
		response, err := http.Get("http://" + node.address + "/_health")
		return err == nil && response.Body.Close() == nil && response.StatusCode == http.StatusServiceUnavailable
	}, 5*time.Second, time.Millisecond)
	require.NoError(t, node.process.Process.Signal(syscall.SIGHUP))
	assert.Equal(t, "", <-queries)
	assert.Equal(t, 502, <-slow)
	assert.NoError(t, <-node.ended)
}

// A node whose requests are all short gets SIGTERM. It once closed its listener at once, although new connections keep coming
// for 0.2 to 0.4 s, and each of them was refused or closed without an answer.
func TestShutdownAmongShortRequests(t *testing.T) {
	node := startNodeWith(t, strings.NewReplacer(`"ttl":6000`, `"ttl":250`, `"ttl":4000`, `"ttl":250`).Replace(settings), 256,
		func(http.ResponseWriter, *http.Request) {})
	keepAliveClient := newClient()
	_, _, _, err := node.send(keepAliveClient, "GET", "before", "check", "250")
	require.NoError(t, err)
	startedAt := time.Now()
	require.NoError(t, node.process.Process.Signal(syscall.SIGTERM))
	<-time.After(250 * time.Millisecond) // a client that comes late, to a listener whose queue was empty meanwhile
	for name, client := range map[string]*http.Client{"new": newClient(), "kept": keepAliveClient} {
		status, _, _, err := node.send(client, "GET", name, "check", "250")
		require.NoError(t, err, name)
		assert.Equal(t, 200, status, name)
	}
	assert.NoError(t, <-node.ended)
	assert.Less(t, time.Since(startedAt), 950*time.Millisecond, "before SIGKILL")
}
