package transport

import (
	"bytes"
	"errors"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var testKey = bytes.Repeat([]byte{1}, 32)

// connPair returns both ends of a TCP connection.
func connPair(t *testing.T) (a, b net.Conn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	a, err = net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	b, err = listener.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { _, _ = a.Close(), b.Close() })
	return a, b
}

// A process that has the key connects under an unknown name. The handshake returns the name to the server, which decides. The
// client's first frame directly follows the handshake and must not be lost in the handshake's read buffer.
func TestHandshakeReturnsClientName(t *testing.T) {
	clientConn, serverConn := connPair(t)
	clientDone := make(chan error, 1)
	go func() {
		_, err := ClientHandshake(clientConn, [][]byte{testKey}, "f", "nobody's name", "c1", 7)
		clientDone <- errors.Join(err, WriteFrame(clientConn, []byte("first")))
	}()
	server := NewFrameConn(serverConn)
	from, incarnation, err := ServerHandshake(serverConn, server.Reader(), [][]byte{testKey}, "f", "c1", 9)
	require.NoError(t, err)
	require.Equal(t, "nobody's name", from)
	require.Equal(t, uint64(7), incarnation)
	require.NoError(t, <-clientDone)
	received := make(chan string, 1)
	go func() { _ = server.Run(100, 0, func(frame []byte) { received <- string(frame) }, nil) }()
	require.Equal(t, "first", <-received)
	server.Close()
}

// runningPair holds two connected FrameConns, the first of which is running.
type runningPair struct {
	first, second *FrameConn
	received      chan []byte // frames received by the first
	sent          chan int    // sizes of the frames sent by the first
	ended         chan error  // results of Run
}

func startPair(t *testing.T, maxFrameBytes uint32, idleTimeout time.Duration) *runningPair {
	t.Helper()
	a, b := connPair(t)
	pair := &runningPair{
		first:    NewFrameConn(a),
		second:   NewFrameConn(b),
		received: make(chan []byte, 100),
		sent:     make(chan int, 100),
		ended:    make(chan error, 2),
	}
	go func() {
		pair.ended <- pair.first.Run(maxFrameBytes, idleTimeout,
			func(frame []byte) { pair.received <- frame }, func(bytes int) { pair.sent <- bytes })
	}()
	return pair
}

// Frames, including empty ones, are transferred in both directions and counted, and the sender is notified when a frame has
// left its queue. A frame that is too long, an idle timeout and a Close end the connection, each with its own error.
func TestFrameConn(t *testing.T) {
	pair := startPair(t, 100, 0)
	receivedBySecond := make(chan []byte, 100)
	go func() {
		pair.ended <- pair.second.Run(100, 0, func(frame []byte) { receivedBySecond <- frame }, nil)
	}()
	pair.first.Send([]byte("one"))
	pair.second.Send([]byte("three"))
	pair.second.Send(nil)
	require.Equal(t, "one", string(<-receivedBySecond))
	require.Equal(t, "three", string(<-pair.received))
	require.Empty(t, <-pair.received)
	require.Equal(t, 3, <-pair.sent)
	require.Zero(t, pair.first.QueuedBytes())
	bytesIn, bytesOut, framesIn, framesOut := pair.first.Traffic()
	require.Equal(t, []int64{13, 7, 2, 1}, []int64{bytesIn, bytesOut, framesIn, framesOut})

	pair.second.Send(make([]byte, 101))
	var tooLong *FrameTooLongError
	for range 2 {
		if err := <-pair.ended; !errors.As(err, &tooLong) {
			require.Error(t, err) // of the side whose connection was closed
		}
	}
	require.Equal(t, uint32(101), tooLong.Size)

	silent := startPair(t, 100, 50*time.Millisecond)
	err := <-silent.ended
	var netErr net.Error
	require.True(t, errors.As(err, &netErr) && netErr.Timeout(), "%v", err)

	closed := startPair(t, 100, 0)
	closed.first.Close()
	require.ErrorIs(t, <-closed.ended, ErrClosed)
	closed.first.Close()
}

// A long frame arrives slowly, as over a link of low bandwidth. The receiver is notified of the progress before the frame is
// complete.
func TestIncompleteFrameCountsAsProgress(t *testing.T) {
	a, b := connPair(t)
	receiver := NewFrameConn(b)
	progress, received := make(chan bool, 100), make(chan []byte, 1)
	receiver.OnProgress(func() { progress <- true })
	go func() { _ = receiver.Run(1000, 10*time.Second, func(frame []byte) { received <- frame }, nil) }()
	var encoded bytes.Buffer
	require.NoError(t, WriteFrame(&encoded, bytes.Repeat([]byte("x"), 500)))
	_, err := a.Write(encoded.Next(200))
	require.NoError(t, err)
	<-progress
	require.Empty(t, received)
	_, err = io.Copy(a, &encoded)
	require.NoError(t, err)
	require.Len(t, <-received, 500)
	receiver.Close()
}

// The other side reads nothing, as a frozen process does. Send does not block, and Close ends a write that hangs.
func TestSendDoesNotBlockOnStalledPeer(t *testing.T) {
	a, _ := connPair(t)
	conn, ended := NewFrameConn(a), make(chan error, 1)
	go func() { ended <- conn.Run(100, 0, func([]byte) {}, nil) }()
	for range 100 {
		conn.Send(make([]byte, 256<<10))
	}
	require.Greater(t, conn.QueuedBytes(), int64(1<<20))
	conn.Close()
	select {
	case err := <-ended:
		require.ErrorIs(t, err, ErrClosed)
	case <-time.After(5 * time.Second):
		t.Fatal("Run did not return after Close")
	}
}

// The keys of a file are returned in its order. A file is refused if a key is malformed, if it has no key, or if others may
// read it.
func TestReadKeys(t *testing.T) {
	name := filepath.Join(t.TempDir(), "k")
	write := func(text string, mode os.FileMode) {
		require.NoError(t, os.WriteFile(name, []byte(text), mode))
		require.NoError(t, os.Chmod(name, mode))
	}
	first, second := strings.Repeat("0a", 32), strings.Repeat("0b", 32)
	write("# the new one first\n"+first+"\n\n"+second+"\n", 0o600)
	keys, err := ReadKeys(name)
	require.NoError(t, err)
	require.Equal(t, [][]byte{bytes.Repeat([]byte{10}, 32), bytes.Repeat([]byte{11}, 32)}, keys)
	for want, text := range map[string]string{"k:2: key must be 32 bytes in hexadecimal": first + "\nabc\n", "file has no key": "# none\n"} {
		write(text, 0o600)
		_, err = ReadKeys(name)
		require.ErrorContains(t, err, want)
	}
	write(first, 0o640)
	_, err = ReadKeys(name)
	require.ErrorContains(t, err, "may be read by others")
}
