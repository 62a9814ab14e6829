package server

import (
	"errors"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pearknot/internal/admission"
)

// Many clients at once connect, check the health, send malformed requests, disconnect and are evicted, over plain HTTP and TLS,
// while the limits change. The admitter must know exactly the connections that exist, and each descriptor must be returned
// once.
func TestConnectionAdmission(t *testing.T) {
	var mu sync.Mutex
	var changes []bool
	srv, budget, _ := startTLSServer(t, 96, func(srv *Server) {
		limits := admission.DefaultLimits(0)
		limits.SilentGrace = 1
		srv.EnableAdmission(limits, func(underPressure bool) {
			mu.Lock()
			defer mu.Unlock()
			changes = append(changes, underPressure)
		})
	})
	require.Equal(t, (96-24)*3/4-refusalReserve, srv.ClientStats().Limit)
	var all sync.WaitGroup
	for i := range 120 {
		all.Go(func() {
			d := net.Dialer{Timeout: 5 * time.Second, LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 0, byte(1+i%40))}}
			c, err := d.Dial("tcp", map[bool]string{true: srv.Address(), false: srv.TLSAddress()}[i%3 > 0])
			if err != nil {
				return // refused
			}
			defer c.Close()
			_ = c.SetDeadline(time.Now().Add(5 * time.Second))
			switch i % 4 {
			case 0:
				_, _ = checkHealth(c)
			case 1:
				_, _ = fmt.Fprintf(c, "GET /api HTTP/1.1\r\nHost: x\r\n\r\n")
				_, _ = c.Read(make([]byte, 10))
			case 2:
				_, _ = fmt.Fprintf(c, "POST /api HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\nx")
				time.Sleep(20 * time.Millisecond)
			default:
				time.Sleep(50 * time.Millisecond)
			}
		})
		if i%30 == 0 {
			limits := admission.DefaultLimits(0)
			limits.MaxUnproven = 4 + i
			srv.SetAdmissionLimits(limits)
			assert.LessOrEqual(t, srv.ClientStats().Open, srv.ClientStats().Limit)
		}
	}
	all.Wait()
	// Each listener has acquired a descriptor for the next connection.
	require.Eventually(t, func() bool { return srv.ClientStats().Open == 0 && budget.Clients() == 2 }, 10*time.Second, 5*time.Millisecond)
	mu.Lock()
	defer mu.Unlock()
	for i := range changes {
		assert.Equal(t, i%2 == 0, changes[i], "each change is reported once")
	}
}

// A connection may be evicted while a request is being received. The client sees it close, and the request is not accepted.
func TestConnectionEvictedWithinRequest(t *testing.T) {
	srv, _, _ := startTLSServer(t, 96, func(srv *Server) { srv.EnableAdmission(admission.DefaultLimits(0), func(bool) {}) })
	client, err := net.Dial("tcp", srv.Address())
	require.NoError(t, err)
	defer client.Close()
	_, err = fmt.Fprintf(client, "POST /api HTTP/1.1\r\nHost: x\r\nX-Trace-Id: a\r\nX-Qos: check\r\nX-Expires-In-Ms: 1000\r\nContent-Length: 100\r\n\r\nx")
	require.NoError(t, err)
	require.Eventually(t, func() bool { return srv.ClientStats().Open == 1 }, 5*time.Second, time.Millisecond)
	srv.admitter.mu.Lock()
	var conn *clientConn
	for _, conn = range srv.admitter.conns {
	}
	srv.admitter.mu.Unlock()
	require.NoError(t, conn.Close())
	_ = client.SetReadDeadline(time.Now().Add(time.Second))
	_, err = client.Read(make([]byte, 1))
	assert.Error(t, err)
	var netErr net.Error
	assert.False(t, errors.As(err, &netErr) && netErr.Timeout(), "closed, not merely silent")
	require.Eventually(t, func() bool { return srv.ClientStats().Open == 0 }, 5*time.Second, time.Millisecond)
	assert.Zero(t, srv.openRequests.Load(), "no request was accepted")
}
