package admin

import (
	"bytes"
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"slices"
	"sync"
	"time"
)

const (
	mostCallers = 8                      // at a time; a newcomer takes the place of the one that has said nothing for longest
	lineWithin  = 5 * time.Second        // a line's last byte, from the connection on
	callWithin  = 900 * time.Millisecond // an answer, from the line's last byte on: callers wait for a second
	writeWithin = time.Second
	acceptAgain = 5 * time.Millisecond
)

// Descriptors are those that a console holds at most: its callers, one that comes, and the listener.
const Descriptors = mostCallers + 2

// Do carries a call out within ctx's time.
type Handler func(ctx context.Context, c Call) (text string, err error)

// Console answers calls until it is closed.
type Server struct {
	listener net.Listener
	do       Handler
	log      *slog.Logger

	mu      sync.Mutex
	room    *sync.Cond
	silent  []net.Conn // callers whose line is not whole, in the order of their coming
	callers int
	closed  bool
	left    sync.WaitGroup
}

// Open listens at an address and answers there.
func Open(address string, do Handler, log *slog.Logger) (*Server, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	c := &Server{listener: l, do: do, log: log}
	c.room = sync.NewCond(&c.mu)
	c.left.Add(1)
	go c.run()
	return c, nil
}

// Address is where it listens.
func (c *Server) Address() string { return c.listener.Addr().String() }

// Close ends it, and the calls that wait.
func (c *Server) Close() error {
	c.mu.Lock()
	c.closed = true
	for _, s := range c.silent {
		_ = s.Close()
	}
	c.room.Broadcast()
	c.mu.Unlock()
	err := c.listener.Close()
	c.left.Wait()
	return err
}

func (c *Server) run() {
	defer c.left.Done()
	for {
		to, err := c.listener.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil: // descriptors: there will be some again
			time.Sleep(acceptAgain)
		case c.enter(to):
			c.left.Add(1)
			go c.serve(to)
		default:
			_ = to.Close()
		}
	}
}

// enter makes room for a caller, or waits for one that is being answered at this moment.
func (c *Server) enter(to net.Conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for !c.closed && c.callers >= mostCallers && len(c.silent) == 0 {
		c.room.Wait()
	}
	if c.closed {
		return false
	}
	if c.callers >= mostCallers {
		_ = c.silent[0].Close()
		c.silent = c.silent[1:]
		c.callers--
	}
	c.callers++
	c.silent = append(c.silent, to)
	return true
}

// spoken takes a caller from those that may have to make room; false tells that it had to.
func (c *Server) spoken(to net.Conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	k := slices.Index(c.silent, to)
	if k >= 0 {
		c.silent = slices.Delete(c.silent, k, k+1)
	}
	return k >= 0
}

func (c *Server) serve(to net.Conn) {
	defer c.left.Done()
	defer to.Close()
	line, err := readLine(to)
	if !c.spoken(to) {
		return
	}
	defer func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.callers--
		c.room.Signal()
	}()
	if err != nil {
		if errors.Is(err, errLong) {
			answer(to, Answer("", err))
		}
		return // gone, or silent for too long
	}
	call, err := Parse(line)
	text := ""
	if err == nil {
		ctx, cancel := context.WithTimeout(context.Background(), callWithin)
		text, err = c.do(ctx, call)
		cancel()
	}
	said := Answer(text, err)
	level := slog.LevelInfo
	if call.Verb == Health { // asked for many times a second by some
		level = slog.LevelDebug
	}
	c.log.Log(context.Background(), level, "call", "from", to.RemoteAddr(), "line", string(line), "answer", said[:len(said)-1])
	answer(to, said)
}

// answer writes the line and ends in order: bytes left unread would have the caller lose it to a reset.
func answer(to net.Conn, line string) {
	_ = to.SetDeadline(time.Now().Add(writeWithin))
	if _, err := io.WriteString(to, line); err != nil {
		return
	}
	if t, ok := to.(*net.TCPConn); ok && t.CloseWrite() == nil {
		_ = to.SetReadDeadline(time.Now().Add(writeWithin / 10))
		_, _ = io.Copy(io.Discard, io.LimitReader(to, 1<<20))
	}
}

// readLine reads up to the line's end, or to the end of what the caller sends.
func readLine(from net.Conn) ([]byte, error) {
	_ = from.SetReadDeadline(time.Now().Add(lineWithin))
	line := make([]byte, 0, 64)
	var b [64]byte
	for {
		n, err := from.Read(b[:])
		if end := bytes.IndexByte(b[:n], '\n'); end >= 0 {
			return append(line, b[:end]...), nil
		}
		line = append(line, b[:n]...)
		switch {
		case len(line) > mostLine:
			return nil, errLong
		case errors.Is(err, io.EOF) && len(line) > 0:
			return line, nil
		case err != nil:
			return nil, err
		}
	}
}
