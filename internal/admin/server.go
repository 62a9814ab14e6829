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
	// maxCallers bounds the concurrent connections, as the contract states. A new caller replaces the one that has been
	// silent for longest.
	maxCallers = 8
	// lineTimeout bounds the time from the connection to the end of the caller's line, as the contract states.
	lineTimeout = 5 * time.Second
	// commandTimeout bounds the execution of a command. The contract with callers, in docs/operations.md ("The admin
	// address"), is that the answer comes within a second however busy the node is; the rest of that second is for the
	// connection and the transfer of the two lines.
	commandTimeout = 900 * time.Millisecond
	// writeTimeout bounds the time that the caller takes to read the answer.
	writeTimeout = time.Second
	// closeTimeout bounds the wait for the caller to close the connection after the answer.
	closeTimeout = writeTimeout / 10
	// maxDiscardedBytes bounds the data that is read and discarded from a caller that continues to send after its line.
	maxDiscardedBytes = 1 << 20
	// acceptRetryInterval is the wait after Accept fails, for example for lack of file descriptors.
	acceptRetryInterval = 5 * time.Millisecond
)

// MaxDescriptors is the largest number of file descriptors that a server uses: for its callers, a caller that has just been
// accepted, and the listener.
const MaxDescriptors = maxCallers + 2

// Handler executes a command. It returns the text of a YES answer, or an error whose text is the reason in a NO answer. Its
// context ends after commandTimeout. It is called concurrently.
type Handler func(ctx context.Context, command Command) (text string, err error)

// Server answers commands until it is closed.
type Server struct {
	listener net.Listener
	handler  Handler
	log      *slog.Logger
	wg       sync.WaitGroup

	mu           sync.Mutex
	callerChange *sync.Cond // signalled when a caller leaves and when the server is closed
	silent       []net.Conn // callers whose line is incomplete, in order of arrival
	callers      int        // the silent ones and those whose command is being executed
	closed       bool
}

// Start listens at an address and starts answering commands.
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

// Address returns the address at which the server listens.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Close stops the server. It disconnects callers that have not sent a line, and waits until commands that are being executed
// have been answered.
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

// admit registers a new caller. It returns false if the server is closed.
//
// Callers that connect and send nothing, such as a port scanner or a health check that hangs, must not lock out an operator.
// If maxCallers are connected, admit therefore disconnects the one that has been silent for longest. If none is silent, all
// of them wait for an answer, which comes within commandTimeout, and admit waits until one has left.
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

// lineReceived removes a caller from the silent ones, so that admit no longer disconnects it. It returns false if admit has
// already done so.
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

func (s *Server) removeCaller() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.callers--
	s.callerChange.Signal()
}

// serve reads a caller's line, executes its command and writes the answer.
func (s *Server) serve(conn net.Conn) {
	defer conn.Close()
	line, err := readLine(conn)
	if !s.lineReceived(conn) {
		return
	}
	defer s.removeCaller()
	if errors.Is(err, errLineTooLong) {
		writeAnswer(conn, FormatAnswer("", err))
	}
	if err != nil {
		return // the caller has disconnected or timed out
	}
	answer, verb := s.execute(line)
	level := slog.LevelInfo
	if verb == Health { // health checks come many times a second
		level = slog.LevelDebug
	}
	s.log.Log(context.Background(), level, "admin command", "remote", conn.RemoteAddr(), "line", string(line), "answer", answer[:len(answer)-1])
	writeAnswer(conn, answer)
}

// execute parses a line, executes its command and returns the answer line. It returns the line's verb even if the command is
// invalid.
func (s *Server) execute(line []byte) (answer string, verb Verb) {
	command, err := ParseCommand(line)
	if err != nil {
		return FormatAnswer("", err), command.Verb
	}
	ctx, cancel := context.WithTimeout(context.Background(), commandTimeout)
	defer cancel()
	return FormatAnswer(s.handler(ctx, command)), command.Verb
}

// writeAnswer writes the answer line and waits up to closeTimeout for the caller to close the connection. If the connection
// were closed with unread data from the caller, the kernel would reset it, and the caller might lose the answer.
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

// readLine reads up to a newline or the end of the caller's data.
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
