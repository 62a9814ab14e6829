package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os/exec"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// sidecarSettings are the settings of a node beside its client process: no hedges, one zone, queue lengths in the load reports.
var sidecarSettings = strings.NewReplacer(`"az":0`, `"az":0,"domainType":"mesh"`, `"secondCopies":true`, `"secondCopies":false`,
	`["mean_ms"]`, `["concurrent","depth"]`, `"tenants":[]`, `"tenants":[{"name":"one","quotaPerS":50}]`, `"registryMode":"subscribe"`,
	`"registryMode":"automatic"`).Replace(settings)

// backendPair is two backends, the first of which is silent, with the current and maximum attempts in flight of each request.
type backendPair struct {
	mu                    sync.Mutex
	inFlight, maxInFlight map[string]int
	release               chan struct{}
	addresses             []string
}

func startBackendPair(t *testing.T) *backendPair {
	backends := &backendPair{inFlight: map[string]int{}, maxInFlight: map[string]int{}, release: make(chan struct{})}
	for k := range 2 {
		s := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, request *http.Request) {
			_, _ = io.Copy(io.Discard, request.Body) // a context reports a closed connection only once the body is read
			id := request.Header.Get("X-Trace-Id")
			backends.count(id, 1)
			defer backends.count(id, -1)
			// Reports an empty queue: a reported wait that no request meets would keep requests away from the backend not yet used.
			rw.Header().Set("Endpoint-Load-Metrics", "TEXT concurrent=3, depth=0")
			if k == 0 {
				select {
				case <-request.Context().Done():
				case <-backends.release:
				}
			}
		}))
		t.Cleanup(s.Close)
		backends.addresses = append(backends.addresses, s.Listener.Addr().String())
	}
	t.Cleanup(func() { close(backends.release) })
	return backends
}

func (backends *backendPair) count(id string, delta int) {
	backends.mu.Lock()
	defer backends.mu.Unlock()
	backends.inFlight[id] += delta
	backends.maxInFlight[id] = max(backends.maxInFlight[id], backends.inFlight[id])
}

func (backends *backendPair) config(t *testing.T, settings string) string {
	list := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, request *http.Request) { <-request.Context().Done() }))
	t.Cleanup(list.Close)
	second := strings.Replace(endpointEntry(backends.addresses[1], "up"), "s-1", "s-2", 1)
	return writeConfig(t, list.Listener.Addr(), 64, 128, endpointEntry(backends.addresses[0], "up")+","+second, settings)
}

// startNodeWithConfig runs a node with a configuration file until the test's end, and returns its address.
func startNodeWithConfig(t *testing.T, file string) string {
	process, address, stderr := launch(t, "serve", "-config", file)
	read := make(chan struct{})
	go func() {
		defer close(read)
		_, _ = io.Copy(io.Discard, stderr)
	}()
	t.Cleanup(func() {
		_ = process.Process.Kill()
		<-read
		_ = process.Wait()
	})
	return address
}

// One build serves both layouts, and the settings decide which. One of two backends is silent: a request at a node of a pool
// is hedged, a request at a node beside its client never is. Each has one final answer in time.
func TestBothLayouts(t *testing.T) {
	for name, c := range map[string]struct {
		settings    string
		maxInFlight int
	}{"pool": {settings, 2}, "beside": {sidecarSettings, 1}} {
		t.Run(name, func(t *testing.T) {
			backends := startBackendPair(t)
			node := &testNode{t: t, address: startNodeWithConfig(t, backends.config(t, c.settings))}
			client := newClient()
			for n := range 8 {
				startedAt := time.Now()
				status, _, header, err := node.send(client, "GET", fmt.Sprint("op", n), "check", "800")
				require.NoError(t, err)
				assert.Contains(t, []int{200, 503}, status)
				if status == 503 {
					assert.NotEmpty(t, header.Get("Retry-After"), "a rejection says when to retry")
				}
				assert.Less(t, time.Since(startedAt), 1300*time.Millisecond)
			}
			backends.mu.Lock()
			defer backends.mu.Unlock()
			most := 0
			for _, m := range backends.maxInFlight {
				most = max(most, m)
			}
			assert.Equal(t, c.maxInFlight, most, "%v", backends.maxInFlight)
		})
	}
}

// A configuration that mixes the two layouts is refused with one line that names the key, and exit status 1.
func TestMixedLayoutIsRefused(t *testing.T) {
	backends := startBackendPair(t)
	for key, text := range map[string]string{
		"bounds.secondCopies": strings.Replace(sidecarSettings, `"secondCopies":false`, `"secondCopies":true`, 1),
		"zones":               strings.Replace(sidecarSettings, `"zones":["a"]`, `"zones":["a","b"]`, 1),
		"prices.crossZone":    strings.Replace(sidecarSettings, `"az":0`, `"az":0,"prices":{"crossZone":0.1}`, 1),
		"domainType":          strings.Replace(sidecarSettings, `"mesh"`, `"grid"`, 1),
	} {
		file := backends.config(t, text)
		for _, command := range []string{"check", "serve"} {
			process := exec.Command(nodeProgram, command, "-config", file)
			var output bytes.Buffer
			process.Stderr = &output
			err := process.Run()
			var ended *exec.ExitError
			require.ErrorAs(t, err, &ended, "%s with a mixed %s", command, key)
			assert.Equal(t, 1, ended.ExitCode())
			assert.Equal(t, 1, strings.Count(output.String(), "\n"), output.String())
			assert.Contains(t, output.String(), file)
			assert.Contains(t, output.String(), "setting "+key)
		}
	}
	status, output := runProgram("check", "--config", backends.config(t, sidecarSettings))
	assert.Equal(t, 0, status, output)
	assert.Contains(t, output, "a node beside each client process, reports of [concurrent depth]")
}
