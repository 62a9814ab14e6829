package faultproxy

import (
	"io"
	"net"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
)

// patience is longer than anything in these tests takes on a busy machine.
const patience = 5 * time.Second

// echoLink is a client's connection through a proxy to a server that sends back what it gets.
type echoLink struct {
	t     *testing.T
	proxy *Proxy
	conn  net.Conn
}

func newEchoLink(t *testing.T) *echoLink {
	t.Helper()
	t.Cleanup(func() { goleak.VerifyNone(t) })
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.Copy(conn, conn)
				_ = conn.Close()
			}()
		}
	}()
	proxy, err := Open(listener.Addr().String())
	require.NoError(t, err)
	t.Cleanup(proxy.Close)
	conn, err := net.Dial("tcp", proxy.Address())
	require.NoError(t, err)
	t.Cleanup(func() { conn.Close() })
	link := &echoLink{t: t, proxy: proxy, conn: conn}
	require.NoError(t, link.echo("up", patience)) // Dial alone says only that the proxy's listener is there
	return link
}

// read reads so many bytes, or returns an error if they don't come in time.
func (l *echoLink) read(bytes int, timeout time.Duration) error {
	l.t.Helper()
	require.NoError(l.t, l.conn.SetReadDeadline(time.Now().Add(timeout)))
	_, err := io.ReadFull(l.conn, make([]byte, bytes))
	return err
}

// echo sends a text and reads it back.
func (l *echoLink) echo(text string, timeout time.Duration) error {
	l.t.Helper()
	_, err := l.conn.Write([]byte(text))
	require.NoError(l.t, err)
	return l.read(len(text), timeout)
}

// requireForwarded waits until the proxy has forwarded so many bytes since a count.
func (l *echoLink) requireForwarded(since, bytes int64) {
	l.t.Helper()
	require.Eventually(l.t, func() bool { return l.proxy.BytesForwarded()-since == bytes }, patience, time.Millisecond)
}

// What is sent on a stalled link arrives when the stall ends. In a direction that isn't stalled it arrives before that.
func TestStalledLink(t *testing.T) {
	for name, test := range map[string]struct {
		direction           Direction
		forwardedWhileStall int64
	}{
		"both directions": {BothDirections, 0},
		"to target":       {ToTarget, 0},
		"from target":     {FromTarget, 4},
	} {
		t.Run(name, func(t *testing.T) {
			link := newEchoLink(t)
			link.requireForwarded(0, 4)
			link.proxy.SetFault(Fault{Stalled: true, Direction: test.direction})
			require.Error(t, link.echo("text", 50*time.Millisecond))
			link.requireForwarded(4, test.forwardedWhileStall)
			link.proxy.SetFault(Fault{})
			require.NoError(t, link.read(len("text"), patience), "what was queued arrives")
			link.requireForwarded(4, 8)
		})
	}
}

func TestDelay(t *testing.T) {
	link := newEchoLink(t)
	link.proxy.SetFault(Fault{Delay: 40 * time.Millisecond})
	begun := time.Now()
	require.NoError(t, link.echo("late", patience))
	require.GreaterOrEqual(t, time.Since(begun), 80*time.Millisecond, "in each direction")
}

func TestBytesPerSecond(t *testing.T) {
	link := newEchoLink(t)
	link.proxy.SetFault(Fault{BytesPerSecond: 1000})
	begun := time.Now()
	require.NoError(t, link.echo(string(make([]byte, 150)), patience))
	// All of it takes 150 ms to the target. Of the way back, which overlaps with that, at least the last slice comes on top.
	require.GreaterOrEqual(t, time.Since(begun), 200*time.Millisecond)
}

func TestResetAfterBytes(t *testing.T) {
	link := newEchoLink(t)
	link.proxy.SetFault(Fault{ResetAfterBytes: 10})
	err := link.echo("more than ten bytes", patience)
	require.Error(t, err)
	require.NotErrorIs(t, err, os.ErrDeadlineExceeded)
}

func TestRefuseConnections(t *testing.T) {
	link := newEchoLink(t)
	link.proxy.SetFault(Fault{RefuseConnections: true})
	conn, err := net.Dial("tcp", link.proxy.Address())
	if err == nil { // the reset may come only after the dialer has returned
		_ = conn.SetReadDeadline(time.Now().Add(patience))
		_, err = conn.Read(make([]byte, 1))
		_ = conn.Close()
	}
	require.Error(t, err)
	require.NotErrorIs(t, err, os.ErrDeadlineExceeded)
	require.NoError(t, link.echo("still up", patience), "connections that were up go on")
}

// Connections that are up are reset; a new one comes up at once.
func TestResetConnections(t *testing.T) {
	link := newEchoLink(t)
	link.proxy.ResetConnections()
	err := link.read(1, patience)
	require.Error(t, err)
	require.NotErrorIs(t, err, os.ErrDeadlineExceeded)
	link.conn, err = net.Dial("tcp", link.proxy.Address())
	require.NoError(t, err)
	defer link.conn.Close()
	require.NoError(t, link.echo("anew", patience))
}
