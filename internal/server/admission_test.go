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

// Connections that come, look, are odd, go and are let go, by many at once, plain and over TLS, while limits change: what
// the door has is what there is, and each descriptor is given back once.
func TestDoor(t *testing.T) {
	var mu sync.Mutex
	var told []bool
	f, budget, _ := secured(t, 96, func(f *Server) {
		l := admission.Defaults(0)
		l.Grace = 1
		f.EnableAdmission(l, func(pressed bool) {
			mu.Lock()
			defer mu.Unlock()
			told = append(told, pressed)
		})
	})
	require.Equal(t, (96-24)*3/4-refusalReserve, f.ClientStats().Limit)
	var all sync.WaitGroup
	for k := range 120 {
		all.Go(func() {
			d := net.Dialer{Timeout: 5 * time.Second, LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 0, byte(1+k%40))}}
			c, err := d.Dial("tcp", map[bool]string{true: f.Address(), false: f.TLSAddress()}[k%3 > 0])
			if err != nil {
				return // refused
			}
			defer c.Close()
			_ = c.SetDeadline(time.Now().Add(5 * time.Second))
			switch k % 4 {
			case 0:
				_, _ = health(c)
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
		if k%30 == 0 {
			l := admission.Defaults(0)
			l.Unproven = 4 + k
			f.SetAdmissionLimits(l)
			assert.LessOrEqual(t, f.ClientStats().Open, f.ClientStats().Limit)
		}
	}
	all.Wait()
	// Each listener has one descriptor taken for whoever comes next.
	require.Eventually(t, func() bool { return f.ClientStats().Open == 0 && budget.Clients() == 2 }, 10*time.Second, 5*time.Millisecond)
	mu.Lock()
	defer mu.Unlock()
	for k := range told {
		assert.Equal(t, k%2 == 0, told[k], "each change is told once")
	}
}

// An op that is on its way here may be let go until it is taken; one that is in hand may not, and has its answer.
func TestLetGoUntilTaken(t *testing.T) {
	f, _, _ := secured(t, 96, func(f *Server) { f.EnableAdmission(admission.Defaults(0), func(bool) {}) })
	c, err := net.Dial("tcp", f.Address())
	require.NoError(t, err)
	defer c.Close()
	_, err = fmt.Fprintf(c, "POST /api HTTP/1.1\r\nHost: x\r\nX-Trace-Id: a\r\nX-Qos: check\r\nX-Expires-In-Ms: 1000\r\nContent-Length: 100\r\n\r\nx")
	require.NoError(t, err)
	require.Eventually(t, func() bool { return f.ClientStats().Open == 1 }, 5*time.Second, time.Millisecond)
	f.admitter.mu.Lock()
	var there *clientConn
	for _, x := range f.admitter.conns {
		there = x
	}
	f.admitter.mu.Unlock()
	require.NoError(t, there.Close())
	_ = c.SetReadDeadline(time.Now().Add(time.Second))
	_, err = c.Read(make([]byte, 1))
	assert.Error(t, err)
	var slow net.Error
	assert.False(t, errors.As(err, &slow) && slow.Timeout(), "closed, not merely quiet")
	require.Eventually(t, func() bool { return f.ClientStats().Open == 0 }, 5*time.Second, time.Millisecond)
	assert.Zero(t, f.openRequests.Load(), "nothing was taken")
}
