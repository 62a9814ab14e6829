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

// besideSettings are the settings of a node beside its client process: no hedges, one zone, queue lengths in the load reports.
var besideSettings = strings.NewReplacer(`"az":0`, `"az":0,"domainType":"mesh"`, `"secondCopies":true`, `"secondCopies":false`,
	`["mean_ms"]`, `["concurrent","depth"]`, `"tenants":[]`, `"tenants":[{"name":"one","quotaPerS":50}]`, `"registryMode":"subscribe"`,
	`"registryMode":"automatic"`).Replace(settings)

// zonePair is two backends, the first of them silent, and the attempts that each request had in flight there, now and at most.
type zonePair struct {
	mu        sync.Mutex
	out, most map[string]int
	release   chan struct{}
	addresses []string
}

func startZonePair(t *testing.T) *zonePair {
	backends := &zonePair{out: map[string]int{}, most: map[string]int{}, release: make(chan struct{})}
	for k := range 2 {
		s := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, request *http.Request) {
			_, _ = io.Copy(io.Discard, request.Body) // a context tells of a closed connection only once all is read
			id := request.Header.Get("X-Trace-Id")
			backends.count(id, 1)
			defer backends.count(id, -1)
			// Without a queue: a wait reported where none is met would keep requests away from the backend not met yet.
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

func (backends *zonePair) count(id string, by int) {
	backends.mu.Lock()
	defer backends.mu.Unlock()
	backends.out[id] += by
	backends.most[id] = max(backends.most[id], backends.out[id])
}

func (backends *zonePair) config(t *testing.T, settings string) string {
	list := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, request *http.Request) { <-request.Context().Done() }))
	t.Cleanup(list.Close)
	second := strings.Replace(endpointEntry(backends.addresses[1], "up"), "s-1", "s-2", 1)
	return writeConfig(t, list.Listener.Addr(), 64, 128, endpointEntry(backends.addresses[0], "up")+","+second, settings)
}

// startNodeOf runs a node with a configuration file until the test's end, and returns its address.
func startNodeOf(t *testing.T, file string) string {
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
// is hedged, one at a node beside its client never is. Each has one final answer in time.
func TestBothLayouts(t *testing.T) {
	for name, c := range map[string]struct {
		settings string
		most     int
	}{"pool": {settings, 2}, "beside": {besideSettings, 1}} {
		t.Run(name, func(t *testing.T) {
			backends := startZonePair(t)
			node := &testNode{t: t, address: startNodeOf(t, backends.config(t, c.settings))}
			client := newClient()
			for n := range 8 {
				startedAt := time.Now()
				status, _, header, err := node.send(client, "GET", fmt.Sprint("op", n), "check", "800")
				require.NoError(t, err)
				assert.Contains(t, []int{200, 503}, status)
				if status == 503 {
					assert.NotEmpty(t, header.Get("Retry-After"), "a rejection says when to come back")
				}
				assert.Less(t, time.Since(startedAt), 1300*time.Millisecond)
			}
			backends.mu.Lock()
			defer backends.mu.Unlock()
			most := 0
			for _, m := range backends.most {
				most = max(most, m)
			}
			assert.Equal(t, c.most, most, "%v", backends.most)
		})
	}
}

// A configuration that mixes the two layouts is refused with one line that names the key, and exit status 1.
func TestMixedLayoutIsRefused(t *testing.T) {
	backends := startZonePair(t)
	for key, text := range map[string]string{
		"bounds.secondCopies": strings.Replace(besideSettings, `"secondCopies":false`, `"secondCopies":true`, 1),
		"zones":               strings.Replace(besideSettings, `"zones":["a"]`, `"zones":["a","b"]`, 1),
		"prices.crossZone":    strings.Replace(besideSettings, `"az":0`, `"az":0,"prices":{"crossZone":0.1}`, 1),
		"domainType":          strings.Replace(besideSettings, `"mesh"`, `"grid"`, 1),
	} {
		file := backends.config(t, text)
		for _, what := range []string{"check", "serve"} {
			process := exec.Command(nodeProgram, what, "-config", file)
			var output bytes.Buffer
			process.Stderr = &output
			err := process.Run()
			var ended *exec.ExitError
			require.ErrorAs(t, err, &ended, "%s with a mixed %s", what, key)
			assert.Equal(t, 1, ended.ExitCode())
			assert.Equal(t, 1, strings.Count(output.String(), "\n"), output.String())
			assert.Contains(t, output.String(), file)
			assert.Contains(t, output.String(), "setting "+key)
		}
	}
	status, output := runProgram("check", "--config", backends.config(t, besideSettings))
	assert.Equal(t, 0, status, output)
	assert.Contains(t, output, "a node beside each client process, reports of [concurrent depth]")
}
