package main

import (
	"bytes"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// processorTime returns the processor time that a process has used.
func processorTime(b *testing.B, pid int) time.Duration {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	require.NoError(b, err)
	fields := strings.Fields(string(data[bytes.LastIndexByte(data, ')')+2:]))
	user, err := strconv.ParseInt(fields[11], 10, 64)
	require.NoError(b, err)
	system, err := strconv.ParseInt(fields[12], 10, 64)
	require.NoError(b, err)
	return time.Duration(user+system) * 10 * time.Millisecond // clock ticks, 100 per second
}

// BenchmarkConnections measures the processor time that a node takes for a connection with one health check, and how many per
// second 8 clients can make: plain, with a full TLS handshake, and with a resumed one.
func BenchmarkConnections(b *testing.B) {
	fixture := newTLSFixture(b)
	node, address, _ := fixture.startNode("n1", 1024)
	fixture.waitForSerial(address, func(string) bool { return true })
	for _, kind := range []string{"plain", "full", "resumed"} {
		b.Run(kind, func(b *testing.B) {
			config := fixture.clientTLS.Clone()
			if kind == "resumed" {
				config.ClientSessionCache = tls.NewLRUClientSessionCache(64)
			}
			before := processorTime(b, node.process.Process.Pid)
			b.SetParallelism(1)
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					var c net.Conn
					var err error
					if kind == "plain" {
						c, err = net.Dial("tcp", node.address)
					} else {
						c, err = tls.Dial("tcp", address, config)
					}
					if err != nil {
						b.Error(err)
						return
					}
					_, _ = c.Write([]byte("GET /_health HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"))
					_, _ = io.ReadAll(c)
					_ = c.Close()
				}
			})
			b.ReportMetric(float64((processorTime(b, node.process.Process.Pid)-before).Microseconds())/float64(b.N), "node-us/op")
		})
	}
}

// BenchmarkMemory measures the memory that an idle connection takes in a node.
func BenchmarkMemory(b *testing.B) {
	const count = 500
	for _, kind := range []string{"plain", "tls"} {
		b.Run(kind, func(b *testing.B) {
			fixture := newTLSFixture(b)
			node, address, _ := fixture.startNode("n1", 2048)
			fixture.waitForSerial(address, func(string) bool { return true })
			resident := func() float64 {
				data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", node.process.Process.Pid))
				require.NoError(b, err)
				pages, err := strconv.ParseFloat(strings.Fields(string(data))[1], 64)
				require.NoError(b, err)
				return pages * float64(os.Getpagesize())
			}
			before := resident()
			for range count {
				var c net.Conn
				var err error
				if kind == "plain" {
					c, err = net.Dial("tcp", node.address)
				} else {
					c, err = tls.Dial("tcp", address, fixture.clientTLS)
				}
				require.NoError(b, err)
				defer c.Close()
				_, err = c.Write([]byte("GET /_health HTTP/1.1\r\nHost: x\r\n\r\n"))
				require.NoError(b, err)
				_, err = c.Read(make([]byte, 1024))
				require.NoError(b, err)
			}
			each := (resident() - before) / count / 1024
			for b.Loop() {
			}
			b.ReportMetric(each, "KB/connection")
		})
	}
}
