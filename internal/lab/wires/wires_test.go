package wires

import (
	"io"
	"net"
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
	c, err := net.Dial("tcp", w.Address())
	require.NoError(t, err)
	echo := func(text string, within time.Duration) error {
		_, err := c.Write([]byte(text))
		require.NoError(t, err)
		_ = c.SetReadDeadline(time.Now().Add(within))
		_, err = io.ReadFull(c, make([]byte, len(text)))
		return err
	}
	require.NoError(t, echo("one", 5*time.Second))
	w.Set(Fault{Drop: true})
	require.Error(t, echo("two", 50*time.Millisecond))
	w.Set(Fault{})
	_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
	_, err = io.ReadFull(c, make([]byte, 3))
	require.NoError(t, err, "what was held comes")
	w.Set(Fault{Delay: 40 * time.Millisecond})
	begun := time.Now()
	require.NoError(t, echo("late", 5*time.Second))
	require.GreaterOrEqual(t, time.Since(begun), 80*time.Millisecond, "each way")
	w.Set(Fault{After: 10})
	require.Error(t, echo("more than ten bytes", 5*time.Second))
	w.Set(Fault{Refuse: true})
	again, err := net.Dial("tcp", w.Address())
	require.NoError(t, err)
	_ = again.SetReadDeadline(time.Now().Add(5 * time.Second))
	_, err = again.Read(make([]byte, 1))
	require.Error(t, err)
	_, _ = c.Close(), again.Close()
}
