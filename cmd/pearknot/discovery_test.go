package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// When a whole fleet restarts, discovery is overloaded: it rejects calls, aborts responses, or sends unexpected ones.
// The node continues with its list, answers each request that it admits, and follows the list again once discovery has
// recovered.
func TestFaultyDiscoveryAnswers(t *testing.T) {
	refuse := func(rw http.ResponseWriter, _, _ string) { rw.WriteHeader(http.StatusServiceUnavailable) }
	for name, c := range map[string]struct {
		serve     func(rw http.ResponseWriter, old, fresh string)
		want      []int // statuses that requests may have meanwhile
		immediate bool  // a rejection comes at once, not at the request's deadline
	}{
		"calls rejected": {refuse, []int{200}, false},
		"half a list": {func(rw http.ResponseWriter, old, _ string) {
			rw.Header().Set("Content-Length", "900")
			_, _ = io.WriteString(rw, old[:30])
		}, []int{200}, false},
		"no list":             {func(rw http.ResponseWriter, _, _ string) { _, _ = io.WriteString(rw, "[1,2") }, []int{200}, false},
		"without its version": {func(rw http.ResponseWriter, _, _ string) { _, _ = io.WriteString(rw, `{"all":true,"targets":[]}`) }, []int{200}, false},
		"empty": {func(rw http.ResponseWriter, _, _ string) {
			_, _ = io.WriteString(rw, `{"rev":50,"all":true,"targets":[]}`)
		}, []int{503}, true},
		"all ids new": {func(rw http.ResponseWriter, _, fresh string) { _, _ = io.WriteString(rw, fresh) }, []int{200}, false},
	} {
		t.Run(name, func(t *testing.T) {
			backend := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
			t.Cleanup(backend.Close)
			up := endpointEntry(backend.Listener.Addr().String(), "up")
			old := fmt.Sprintf(`{"rev":60,"all":true,"targets":[%s]}`, up)
			fresh := strings.ReplaceAll(strings.Replace(old, "60", "50", 1), "s-1", "s-2")
			var mu sync.Mutex
			isFaulty, calls := true, 0
			discovery := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, _ *http.Request) {
				mu.Lock()
				defer mu.Unlock()
				if calls++; isFaulty {
					c.serve(rw, old, fresh)
					return
				}
				_, _ = io.WriteString(rw, old)
			}))
			t.Cleanup(discovery.Close)
			file := writeConfig(t, discovery.Listener.Addr(), 64, 128, up, settings)
			process, address, log := launch(t, "serve", "-config", file)
			go func() { _, _ = io.Copy(io.Discard, log) }()
			node := &testNode{t: t, process: process, address: address}
			client := &http.Client{Transport: &http.Transport{}}
			require.Eventually(t, func() bool {
				mu.Lock()
				defer mu.Unlock()
				return calls > 1 // it has applied the first response and polled again
			}, 10*time.Second, time.Millisecond)
			for k := range 20 {
				startedAt := time.Now()
				status, _, _, err := node.send(client, "GET", fmt.Sprint("a", k), "check", "6000")
				require.NoError(t, err)
				assert.Contains(t, c.want, status)
				if c.immediate {
					assert.Less(t, time.Since(startedAt), 3*time.Second)
				}
			}
			mu.Lock()
			isFaulty = false
			mu.Unlock()
			require.Eventually(t, func() bool {
				status, _, _, err := node.send(client, "GET", "b", "check", "6000")
				return err == nil && status == http.StatusOK
			}, 10*time.Second, 10*time.Millisecond, "it serves again once it has the list")
		})
	}
}

// The known list in a configuration is a delta only. It is not used: a watch that continued from its version would never learn
// of the other backends.
func TestKnownDeltaIsNotUsed(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	file := writeConfig(t, l.Addr(), 192, 256, endpointEntry("127.0.0.1:1", "up"), settings)
	for all, want := range map[string]string{`"all":true`: ", 1 known backends", `"all":false`: ", 0 known backends"} {
		text, err := os.ReadFile(file)
		require.NoError(t, err)
		require.NoError(t, os.WriteFile(file, bytes.Replace(text, []byte(`"all":true`), []byte(all), 1), 0o600))
		output, err := exec.Command(nodeProgram, "check", "-config", file).Output()
		require.NoError(t, err)
		assert.Contains(t, string(output), want)
		require.NoError(t, os.WriteFile(file, text, 0o600))
	}
}
