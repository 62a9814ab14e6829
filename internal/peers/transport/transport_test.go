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

// two are the ends of a connection.
func two(t *testing.T) (a, b net.Conn) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	a, err = net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	b, err = l.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { _, _ = a.Close(), b.Close() })
	return a, b
}

var key = bytes.Repeat([]byte{1}, 32)

// Any name that proves the key is told to the taker: whether it may call is the taker's to say. What follows the proof at once is not
// lost in the handshake's reading.
func TestTakerDecides(t *testing.T) {
	a, b := two(t)
	called := make(chan error, 1)
	go func() {
		_, err := Call(a, [][]byte{key}, "f", "nobody's name", "c1", 7)
		called <- errors.Join(err, WriteFrame(a, []byte("first")))
	}()
	p := NewPipe(b)
	from, life, err := Take(b, p.Reader(), [][]byte{key}, "f", "c1", 9)
	require.NoError(t, err)
	require.Equal(t, "nobody's name", from)
	require.Equal(t, uint64(7), life)
	require.NoError(t, <-called)
	took := make(chan string, 1)
	go func() { _ = p.Run(100, 0, func(data []byte) { took <- string(data) }, nil) }()
	require.Equal(t, "first", <-took)
	p.Close()
}

// Frames go both ways; what has left the queue is told; a frame too long, a silence and a close end it, each by its own error.
func TestPipe(t *testing.T) {
	begin := func(most uint32, silent time.Duration) (p, q *Pipe, got chan []byte, sent chan int, ended chan error) {
		a, b := two(t)
		p, q = NewPipe(a), NewPipe(b)
		got, sent, ended = make(chan []byte, 100), make(chan int, 100), make(chan error, 2)
		go func() { ended <- p.Run(most, silent, func(data []byte) { got <- data }, func(n int) { sent <- n }) }()
		return p, q, got, sent, ended
	}
	p, q, got, sent, ended := begin(100, 0)
	others := make(chan []byte, 100)
	go func() { ended <- q.Run(100, 0, func(data []byte) { others <- data }, nil) }()
	p.Send([]byte("one"))
	q.Send([]byte("three"))
	q.Send(nil)
	require.Equal(t, "one", string(<-others))
	require.Equal(t, "three", string(<-got))
	require.Empty(t, <-got)
	require.Equal(t, 3, <-sent)
	require.Zero(t, p.Waiting())
	in, out, framesIn, framesOut := p.Counts()
	require.Equal(t, []int64{13, 7, 2, 1}, []int64{in, out, framesIn, framesOut})
	q.Send(make([]byte, 101))
	var long *LongError
	for range 2 {
		if err := <-ended; !errors.As(err, &long) {
			require.Error(t, err) // the other end's
		}
	}
	require.Equal(t, uint32(101), long.Size)

	p, _, _, _, ended = begin(100, 50*time.Millisecond)
	err := <-ended
	var late net.Error
	require.True(t, errors.As(err, &late) && late.Timeout(), "%v", err)

	p, _, _, _, ended = begin(100, 0)
	p.Close()
	require.ErrorIs(t, <-ended, ErrClosed)
	p.Close()
}

// A frame that comes slowly is no silence, and is heard of before it is whole.
func TestAFrameInParts(t *testing.T) {
	a, b := two(t)
	p := NewPipe(b)
	heard, got := make(chan bool, 100), make(chan []byte, 1)
	p.Heard(func() { heard <- true })
	go func() { _ = p.Run(1000, 10*time.Second, func(data []byte) { got <- data }, nil) }()
	var whole bytes.Buffer
	require.NoError(t, WriteFrame(&whole, bytes.Repeat([]byte("x"), 500)))
	_, err := a.Write(whole.Next(200))
	require.NoError(t, err)
	<-heard
	require.Empty(t, got)
	_, err = io.Copy(a, &whole)
	require.NoError(t, err)
	require.Len(t, <-got, 500)
	p.Close()
}

// One that reads nothing keeps nobody waiting who sends, and Close ends a write that hangs.
func TestAReaderThatReadsNothing(t *testing.T) {
	a, _ := two(t)
	p, ended := NewPipe(a), make(chan error, 1)
	go func() { ended <- p.Run(100, 0, func([]byte) {}, nil) }()
	for range 100 {
		p.Send(make([]byte, 256<<10))
	}
	require.Greater(t, p.Waiting(), int64(1<<20))
	p.Close()
	select {
	case <-ended:
	case <-time.After(5 * time.Second):
		t.Fatal("it goes on")
	}
}

func TestKeys(t *testing.T) {
	file := filepath.Join(t.TempDir(), "k")
	write := func(text string, mode os.FileMode) {
		require.NoError(t, os.WriteFile(file, []byte(text), mode))
		require.NoError(t, os.Chmod(file, mode))
	}
	one, other := strings.Repeat("0a", 32), strings.Repeat("0b", 32)
	write("# the new one first\n"+one+"\n\n"+other+"\n", 0o600)
	keys, err := ReadKeys(file)
	require.NoError(t, err)
	require.Equal(t, [][]byte{bytes.Repeat([]byte{10}, 32), bytes.Repeat([]byte{11}, 32)}, keys)
	for want, text := range map[string]string{"k:2: no 32 bytes": one + "\nabc\n", "no key": "# none\n"} {
		write(text, 0o600)
		_, err = ReadKeys(file)
		require.ErrorContains(t, err, want)
	}
	write(one, 0o640)
	_, err = ReadKeys(file)
	require.ErrorContains(t, err, "may be read by others")
}
