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
	// maxCallers bounds the connections at a time, as in the contract. A new caller takes the place of the one that has
	// been silent for longest.
	maxCallers = 8
	// lineTimeout is how long a caller may take from connecting to the end of its line, as in the contract.
	lineTimeout = 5 * time.Second
	// commandTimeout is how long a command may take from the end of its line. The contract with callers, in
	// docs/operations.md ("The admin address"), is that the answer comes within a second however busy the node is; the
	// rest of that second is for the connection and the two lines.
	commandTimeout = 900 * time.Millisecond
	// writeTimeout is how long the caller may take to read the answer.
	writeTimeout = time.Second
	// closeTimeout is how long a caller may take to close after the answer.
	closeTimeout = writeTimeout / 10
	// maxDiscardedBytes bounds what is read of a caller that sends on after its line.
	maxDiscardedBytes = 1 << 20
	// acceptRetryInterval is the pause after an error of Accept, such as a lack of descriptors.
	acceptRetryInterval = 5 * time.Millisecond
)

// MaxDescriptors is how many file descriptors a server takes at most: its callers, one that comes, and the listener.
const MaxDescriptors = maxCallers + 2

// Handler carries out a command and returns the text of a YES, or an error whose text is the reason of a NO. Its context
// ends after commandTimeout. It is called from several goroutines at once.
type Handler func(ctx context.Context, command Command) (text string, err error)

// Server answers commands until it is closed.
type Server struct {
	listener net.Listener
	handler  Handler
	log      *slog.Logger
	wg       sync.WaitGroup

	mu           sync.Mutex
	callerChange *sync.Cond // signalled when a caller leaves and when the server is closed
	silent       []net.Conn // callers whose line is not complete, in the order in which they came
	callers      int        // the silent ones and those whose command is carried out
	closed       bool
}

// Start listens at an address and answers commands there.
func Start(address string, handler Handler, log *slog.Logger) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &Server{listener: listener, handler: handler, log: log}
	s.callerChange = sync.NewCond(&s.mu)
	s.wg.Go(s.accept)
	return s, nil
}

// Address returns the address at which it listens.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Close stops the server. Callers that have not sent a line are disconnected. Commands that are being carried out are
// finished and answered before Close returns.
func (s *Server) Close() error {
	s.mu.Lock()
	s.closed = true
	for _, conn := range s.silent {
		_ = conn.Close()
	}
	s.callerChange.Broadcast()
	s.mu.Unlock()
	err := s.listener.Close()
	s.wg.Wait()
	return err
}

func (s *Server) accept() {
	for {
		conn, err := s.listener.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil:
			time.Sleep(acceptRetryInterval)
		case s.admit(conn):
			s.wg.Go(func() { s.serve(conn) })
		default:
			_ = conn.Close()
		}
	}
}

// admit makes room for a caller and reports false if the server is closed.
//
// Callers that connect and send nothing, such as a port scanner or a health check that hangs, would otherwise keep out the
// operator who has to act. So where all places are taken, the caller that has been silent for longest is disconnected. If
// none is silent, all of them wait for an answer, which comes within commandTimeout, and admit waits for the first to leave.
func (s *Server) admit(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for !s.closed && s.callers >= maxCallers && len(s.silent) == 0 {
		s.callerChange.Wait()
	}
	if s.closed {
		return false
	}
	if s.callers >= maxCallers {
		_ = s.silent[0].Close()
		s.silent = s.silent[1:]
		s.callers--
	}
	s.callers++
	s.silent = append(s.silent, conn)
	return true
}

// lineReceived removes a caller from the silent ones, so that it is no longer disconnected for another. It reports false if
// that has happened already.
func (s *Server) lineReceived(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	i := slices.Index(s.silent, conn)
	if i < 0 {
		return false
	}
	s.silent = slices.Delete(s.silent, i, i+1)
	return true
}

func (s *Server) callerLeft() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.callers--
	s.callerChange.Signal()
}

// serve reads a caller's line, carries out its command and writes the answer.
func (s *Server) serve(conn net.Conn) {
	defer conn.Close()
	line, err := readLine(conn)
	if !s.lineReceived(conn) {
		return
	}
	defer s.callerLeft()
	if errors.Is(err, errLineTooLong) {
		writeAnswer(conn, FormatAnswer("", err))
	}
	if err != nil {
		return // other errors: the caller is gone, or was silent for too long
	}
	answer, verb := s.carryOut(line)
	level := slog.LevelInfo
	if verb == Health { // health checks come many times a second
		level = slog.LevelDebug
	}
	s.log.Log(context.Background(), level, "admin command", "remote", conn.RemoteAddr(), "line", string(line), "answer", answer[:len(answer)-1])
	writeAnswer(conn, answer)
}

// carryOut parses a line, carries out its command and returns the answer's line. The verb is that of the line, also where
// the command is invalid.
func (s *Server) carryOut(line []byte) (answer string, verb Verb) {
	command, err := ParseCommand(line)
	if err != nil {
		return FormatAnswer("", err), command.Verb
	}
	ctx, cancel := context.WithTimeout(context.Background(), commandTimeout)
	defer cancel()
	return FormatAnswer(s.handler(ctx, command)), command.Verb
}

// writeAnswer writes the answer's line and waits a moment for the caller to close. If the connection were closed with bytes of
// the caller unread, the kernel would reset it, and the caller might lose the answer.
func writeAnswer(conn net.Conn, answer string) {
	_ = conn.SetDeadline(time.Now().Add(writeTimeout))
	if _, err := io.WriteString(conn, answer); err != nil {
		return
	}
	if tcp, ok := conn.(*net.TCPConn); ok && tcp.CloseWrite() == nil {
		_ = conn.SetReadDeadline(time.Now().Add(closeTimeout))
		_, _ = io.Copy(io.Discard, io.LimitReader(conn, maxDiscardedBytes))
	}
}

// readLine reads up to the end of the line, or to the end of what the caller sends.
func readLine(conn net.Conn) ([]byte, error) {
	_ = conn.SetReadDeadline(time.Now().Add(lineTimeout))
	var line []byte
	var buffer [64]byte
	for {
		n, err := conn.Read(buffer[:])
		if end := bytes.IndexByte(buffer[:n], '\n'); end >= 0 {
			return append(line, buffer[:end]...), nil
		}
		line = append(line, buffer[:n]...)
		switch {
		case len(line) > maxLineBytes:
			return nil, errLineTooLong
		case errors.Is(err, io.EOF) && len(line) > 0:
			return line, nil
		case err != nil:
			return nil, err
		}
	}
}
