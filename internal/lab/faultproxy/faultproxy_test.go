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

// A wire does what its fault says and nothing else: what is held comes when the fault is over.
func TestFaults(t *testing.T) {
	defer goleak.VerifyNone(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(c, c); _ = c.Close() }()
		}
	}()
	w, err := Open(l.Addr().String())
	require.NoError(t, err)
	defer w.Close()
	conn, err := net.Dial("tcp", w.Address())
	require.NoError(t, err)
	echo := func(text string, within time.Duration) error {
		_, err := conn.Write([]byte(text))
		require.NoError(t, err)
		_ = conn.SetReadDeadline(time.Now().Add(within))
		_, err = io.ReadFull(conn, make([]byte, len(text)))
		return err
	}
	require.NoError(t, echo("one", 5*time.Second))
	w.SetFault(Fault{Stalled: true})
	require.Error(t, echo("two", 50*time.Millisecond))
	w.SetFault(Fault{})
	_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	_, err = io.ReadFull(conn, make([]byte, 3))
	require.NoError(t, err, "what was held comes")
	passed := func(want int64) {
		require.Eventually(t, func() bool { return w.BytesForwarded() == want }, 5*time.Second, time.Millisecond)
	}
	passed(12)
	for _, c := range []struct {
		way          Direction
		text         string
		during, past int64
	}{{ToTarget, "there", 12, 22}, {FromTarget, "back", 26, 30}} {
		w.SetFault(Fault{Stalled: true, Direction: c.way})
		require.Error(t, echo(c.text, 50*time.Millisecond))
		passed(c.during) // the other way it goes through
		w.SetFault(Fault{})
		_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
		_, err = io.ReadFull(conn, make([]byte, len(c.text)))
		require.NoError(t, err, "what was held comes")
		passed(c.past)
	}
	w.SetFault(Fault{Delay: 40 * time.Millisecond})
	begun := time.Now()
	require.NoError(t, echo("late", 5*time.Second))
	require.GreaterOrEqual(t, time.Since(begun), 80*time.Millisecond, "each way")
	w.SetFault(Fault{ResetAfterBytes: 10})
	require.Error(t, echo("more than ten bytes", 5*time.Second))
	w.SetFault(Fault{RefuseConnections: true})
	again, err := net.Dial("tcp", w.Address())
	if err == nil { // the reset may come before the dialler has looked
		_ = again.SetReadDeadline(time.Now().Add(5 * time.Second))
		_, err = again.Read(make([]byte, 1))
		_ = again.Close()
	}
	require.Error(t, err)
	require.NotErrorIs(t, err, os.ErrDeadlineExceeded)
	_ = conn.Close()
}
