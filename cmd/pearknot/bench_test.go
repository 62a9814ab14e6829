package main

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// BenchmarkSmallRequest measures a small request through a node, and the processor time that the node takes for it.
func BenchmarkSmallRequest(b *testing.B) {
	node := startNode(b, 256, func(rw http.ResponseWriter, _ *http.Request) { fmt.Fprint(rw, "answer") })
	cpuMicroseconds := func() float64 { // ticks of 10 ms, as microseconds
		text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", node.process.Process.Pid))
		require.NoError(b, err)
		fields := strings.Fields(string(text[strings.LastIndexByte(string(text), ')')+2:]))
		user, _ := strconv.ParseFloat(fields[11], 64)
		system, _ := strconv.ParseFloat(fields[12], 64)
		return (user + system) * 1e4
	}
	client, before, k := newClient(), cpuMicroseconds(), 0
	for b.Loop() {
		k++
		status, _, _, err := node.send(client, "POST", strconv.Itoa(k), "pay", "4000")
		require.NoError(b, err)
		require.Equal(b, 200, status)
	}
	b.ReportMetric((cpuMicroseconds()-before)/float64(k), "node-us/op")
}
