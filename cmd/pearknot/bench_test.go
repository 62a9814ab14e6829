package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// cpuMicroseconds returns the processor time that the node has taken so far, which the system counts in ticks of 10 ms.
func (n *testNode) cpuMicroseconds() float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", n.process.Process.Pid))
	require.NoError(n.t, err)
	fields := strings.Fields(string(text[strings.LastIndexByte(string(text), ')')+2:]))
	user, _ := strconv.ParseFloat(fields[11], 64)
	system, _ := strconv.ParseFloat(fields[12], 64)
	return (user + system) * 1e4
}

// measure runs send until the benchmark has enough of it, with another number each time, and reports the processor time that
// the node takes for each.
func (n *testNode) measure(b *testing.B, send func(number string)) {
	b.Helper()
	before, count := n.cpuMicroseconds(), 0
	for b.Loop() {
		count++
		send(strconv.Itoa(count))
	}
	b.ReportMetric((n.cpuMicroseconds()-before)/float64(count), "node-us/op")
}

// BenchmarkSmallRequest measures a small request through a node.
func BenchmarkSmallRequest(b *testing.B) {
	node := startNode(b, 256, func(rw http.ResponseWriter, _ *http.Request) { fmt.Fprint(rw, "answer") })
	client := newClient()
	node.measure(b, func(number string) {
		status, _, _, err := node.send(client, "POST", number, "pay", "4000")
		require.NoError(b, err)
		require.Equal(b, 200, status)
	})
}

// BenchmarkLongBody measures requests and responses whose bodies are streamed through a node.
func BenchmarkLongBody(b *testing.B) {
	body := bytes.Repeat([]byte("0123456789abcdef"), 512<<10)
	for name, sizes := range map[string]struct{ request, response int }{
		"request":  {len(body), 2},
		"response": {0, len(body)},
	} {
		b.Run(name, func(b *testing.B) {
			node := startNode(b, 256, func(rw http.ResponseWriter, _ *http.Request) {
				rw.Header().Set("Content-Length", strconv.Itoa(sizes.response))
				_, _ = rw.Write(body[:sizes.response])
			})
			client := newClient()
			b.SetBytes(int64(sizes.request + sizes.response))
			node.measure(b, func(number string) {
				request, err := http.NewRequest("POST", "http://"+node.address+"/api", bytes.NewReader(body[:sizes.request]))
				require.NoError(b, err)
				request.Header = http.Header{"X-Trace-Id": {number}, "X-Qos": {"pay"}, "X-Expires-In-Ms": {"4000"}}
				response, err := client.Do(request)
				require.NoError(b, err)
				defer response.Body.Close()
				size, err := io.Copy(io.Discard, response.Body)
				require.NoError(b, err)
				require.Equal(b, 200, response.StatusCode)
				require.Equal(b, int64(sizes.response), size)
			})
		})
	}
}
