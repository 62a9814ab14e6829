package capacity

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

const (
	clientTimeout     = 5 * time.Second
	waitingDeadline   = 15 * time.Second // of requests that wait, longer than a run
	requestSettleTime = 300 * time.Millisecond
)

// memoryMeasurements measure a node's memory by its clients' open connections and waiting requests.
func memoryMeasurements() []measurement {
	return []measurement{
		{
			name:       "connections",
			sizeName:   "open connections",
			sizes:      []float64{100, 1000, 3000, 8000},
			quickSizes: []float64{100, 300, 1000, 2000},
			metrics: []metric{
				{"connections.rss", "a real node, idle connections of clients: memory held", "MB", false},
			},
			newFixture: newMemoryFixture(false, openIdleConnections),
		},
		{
			name:       "waiting",
			sizeName:   "waiting requests",
			sizes:      []float64{100, 500, 1500, 4000},
			quickSizes: []float64{100, 250, 500, 1000},
			metrics: []metric{
				{"waiting.rss", "a real node, requests that wait while backends hold their answers: memory held", "MB", false},
			},
			newFixture: newMemoryFixture(true, sendWaitingRequests),
		},
	}
}

// newMemoryFixture starts a node for each run and measures its memory while the connections opened by load are open.
// On failure, load also returns the connections that it has opened.
func newMemoryFixture(holdsResponses bool, load func(ctx context.Context, address string, count int) ([]net.Conn, error)) fixtureFunc {
	return func(_ context.Context, bench *Bench, size float64) (*fixture, error) {
		env, err := newNodeEnvironment(30, 10, holdsResponses)
		if err != nil {
			return nil, err
		}
		run := func(ctx context.Context) ([]float64, error) {
			node, err := bench.startNode(ctx, env)
			if err != nil {
				return nil, err
			}
			defer node.kill()
			connections, err := load(ctx, node.address, int(size))
			defer func() {
				for _, connection := range connections {
					connection.Close()
				}
			}()
			if err != nil {
				return nil, err
			}
			return []float64{node.memory().current}, nil
		}
		return &fixture{run: run, close: env.close}, nil
	}
}

// openIdleConnections opens connections and completes a health check on each.
func openIdleConnections(_ context.Context, address string, count int) (connections []net.Conn, err error) {
	for range count {
		connection, err := net.DialTimeout("tcp", address, clientTimeout)
		if err != nil {
			return connections, err
		}
		connections = append(connections, connection)
		if _, err := io.WriteString(connection, "GET /_health HTTP/1.1\r\nHost: n\r\n\r\n"); err != nil {
			return connections, err
		}
		_ = connection.SetReadDeadline(time.Now().Add(clientTimeout))
		if _, err := http.ReadResponse(bufio.NewReader(connection), nil); err != nil {
			return connections, err
		}
	}
	return connections, nil
}

// sendWaitingRequests opens count connections, sends a request on each, and gives the node time to accept them.
func sendWaitingRequests(ctx context.Context, address string, count int) (connections []net.Conn, err error) {
	for i := range count {
		connection, err := net.DialTimeout("tcp", address, clientTimeout)
		if err != nil {
			return connections, err
		}
		connections = append(connections, connection)
		text := "GET /api HTTP/1.1\r\nHost: n\r\n"
		for _, header := range requestHeaders(fmt.Sprintf("%016x", i+1), tenantName(i%10), waitingDeadline) {
			text += header[0] + ": " + header[1] + "\r\n"
		}
		if _, err := io.WriteString(connection, text+"\r\n"); err != nil {
			return connections, err
		}
	}
	sleep(ctx, requestSettleTime)
	return connections, nil
}
