package main

import (
	"fmt"
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// listAvailable has the modes in which a node may have to start, and whether it can get a list in them.
var listAvailable = map[discoveryMode]bool{
	discoverySlow:       true,
	discoveryTrickling:  true,
	discoverySilent:     false,
	discoveryOverloaded: false,
	discoveryRefusing:   false,
	discoveryFull:       false,
	discoveryClosing:    false,
}

// A node is stopped or killed and started again. It is ready within 10 s whatever state discovery is in: with its list if it
// has one or can get one, otherwise 10 s after discovery has returned. Ready means that it serves a request.
func TestReadyDespiteFaultyDiscovery(t *testing.T) {
	for m := range listAvailable {
		for _, mode := range []string{"subscribe", "automatic"} {
			for _, known := range []bool{true, false} {
				t.Run(fmt.Sprintf("%s/%s/known=%v", m, mode, known), func(t *testing.T) {
					t.Parallel()
					node := newRestartedNode(t, mode, known)
					for _, signal := range []syscall.Signal{syscall.SIGTERM, syscall.SIGKILL} {
						took := node.restartTime(m, signal, known)
						assert.Less(t, took, 10*time.Second, signal)
						node := &testNode{t: t, address: node.address}
						node.sendUntilServed(newClient(), signal.String())
					}
				})
			}
		}
	}
}

// BenchmarkReady measures the time from a start until the node is ready, by the mode of discovery; from discovery's return if
// the node has no list and can't get one. Run it with -benchtime 20x.
func BenchmarkReady(b *testing.B) {
	for _, m := range []discoveryMode{discoveryHealthy, discoverySlow, discoveryTrickling, discoverySilent, discoveryOverloaded, discoveryRefusing, discoveryFull, discoveryClosing} {
		for _, mode := range []string{"subscribe", "automatic"} {
			for _, known := range []bool{true, false} {
				b.Run(fmt.Sprintf("%s/%s/known=%v", m, mode, known), func(b *testing.B) {
					node := newRestartedNode(b, mode, known)
					var times []float64
					for b.Loop() {
						signal := syscall.SIGTERM
						if len(times)%2 == 1 {
							signal = syscall.SIGKILL
						}
						times = append(times, float64(node.restartTime(m, signal, known || m == discoveryHealthy).Microseconds())/1e3)
					}
					slices.Sort(times)
					b.ReportMetric(0, "ns/op") // would include the end of the previous process
					b.ReportMetric(times[len(times)/2], "median-ms")
					b.ReportMetric(times[(9*len(times)+9)/10-1], "p90-ms")
					b.ReportMetric(times[len(times)-1], "worst-ms")
				})
			}
		}
	}
}
