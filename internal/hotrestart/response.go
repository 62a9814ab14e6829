package hotrestart

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"

	"golang.org/x/sys/unix"
)

// ErrResponseRefused indicates that the successor has not taken a response over, and that the predecessor still has it.
var ErrResponseRefused = errors.New("the successor does not take the response over")

// Response is the rest of a response whose head has been sent, and whose body has a known length.
type Response struct {
	Pending    []byte `json:"Pending,omitempty"`    // bytes that the backend has sent and the client has not got
	Remaining  int64  `json:"Remaining"`            // bytes that the backend has still to send
	KeepsAlive bool   `json:"KeepsAlive,omitempty"` // the client may send another request on its connection afterwards
	ReadTimeMs int64  `json:"ReadTimeMs,omitempty"` // time that the client may take for what its system has got

	ClientBytes []byte `json:"ClientBytes,omitempty"` // that the client has sent of its next request, and that have been read
}

// ResponseHandler takes over a response that the predecessor passes on. It owns the connections if it returns no error.
type ResponseHandler func(response Response, client, backend *net.TCPConn) error

// PassResponse passes a response to the successor, which may be of an earlier build that takes none over. After
// ErrResponseRefused nothing has happened. In all other cases, with an error or without, this process must not use the connections
// any more, but close them, which leaves them open in the successor.
func (l *Link) PassResponse(ctx context.Context, response Response, client, backend *net.TCPConn) error {
	if !l.peerTakesResponses {
		return ErrResponseRefused
	}
	result := make(chan message, 1)
	number := l.addPending(result)
	defer l.removePending(number)
	err := l.conn.sendWithDescriptors(message{Kind: kindResponse, Number: number, Response: &response}, client, backend)
	if err != nil {
		l.Close()
		return err
	}
	select {
	case answer := <-result:
		if answer.Error != "" {
			return fmt.Errorf("%w: %s", ErrResponseRefused, answer.Error)
		}
		return nil
	case <-l.done:
		return ErrNoPeer
	case <-ctx.Done():
		return fmt.Errorf("the node's other process does not answer: %w", ctx.Err())
	}
}

// takeResponse hands a response to the handler and sends its result.
func (l *Link) takeResponse(m message, files []*os.File) {
	result := message{Kind: kindResult, Number: m.Number}
	if err := l.handleResponse(m.Response, files); err != nil {
		result.Error = err.Error()
	}
	_ = l.conn.send(result) // if the link has ended, the predecessor closes its copies of the connections
}

func (l *Link) handleResponse(response *Response, files []*os.File) error {
	conns, err := tcpConns(files)
	if err != nil {
		return err
	}
	if len(conns) != 2 || response == nil || response.Remaining < 0 || l.onResponse == nil {
		closeConns(conns)
		return errors.New("response not supported")
	}
	if err := l.onResponse(*response, conns[0], conns[1]); err != nil {
		closeConns(conns)
		return err
	}
	return nil
}

// tcpConns returns the connections of descriptors, which it closes.
func tcpConns(files []*os.File) (conns []*net.TCPConn, err error) {
	defer closeFiles(files)
	for _, file := range files {
		conn, err := net.FileConn(file)
		if err != nil {
			closeConns(conns)
			return nil, err
		}
		tcp, ok := conn.(*net.TCPConn)
		if !ok {
			_ = conn.Close()
			closeConns(conns)
			return nil, errors.New("descriptor is not a TCP connection")
		}
		conns = append(conns, tcp)
	}
	return conns, nil
}

func closeConns(conns []*net.TCPConn) {
	for _, conn := range conns {
		_ = conn.Close()
	}
}

func closeFiles(files []*os.File) {
	for _, file := range files {
		_ = file.Close()
	}
}

// sendWithDescriptors writes a message with the descriptors of two connections.
func (c *frameConn) sendWithDescriptors(m message, first, second syscall.Conn) error {
	socket, ok := c.Conn.(*net.UnixConn)
	if !ok {
		return errors.New("link can't pass descriptors")
	}
	return withDescriptor(first, func(a int) error {
		return withDescriptor(second, func(b int) error {
			return c.write(m, func(frame []byte) (int, error) {
				n, _, err := socket.WriteMsgUnix(frame, unix.UnixRights(a, b), nil)
				return n, err
			})
		})
	})
}

// withDescriptor calls use with the connection's descriptor, which stays open until use returns.
func withDescriptor(conn syscall.Conn, use func(descriptor int) error) error {
	raw, err := conn.SyscallConn()
	if err != nil {
		return err
	}
	var useErr error
	if err := raw.Control(func(descriptor uintptr) { useErr = use(int(descriptor)) }); err != nil {
		return err
	}
	return useErr
}

// maxPassedDescriptors bounds the descriptors that come with a message.
const maxPassedDescriptors = 4

// Read implements io.Reader. Descriptors that come with the bytes are kept until takeFiles.
func (c *frameConn) Read(p []byte) (int, error) {
	socket, ok := c.Conn.(*net.UnixConn)
	if !ok {
		return c.Conn.Read(p)
	}
	control := make([]byte, unix.CmsgSpace(maxPassedDescriptors*4))
	n, controlBytes, _, _, err := socket.ReadMsgUnix(p, control)
	if controlBytes > 0 {
		c.files = append(c.files, parseDescriptors(control[:controlBytes])...)
	}
	return n, err
}

// takeFiles returns the descriptors that came with the message that was received last.
func (c *frameConn) takeFiles() []*os.File {
	files := c.files
	c.files = nil
	return files
}

func parseDescriptors(control []byte) (files []*os.File) {
	messages, err := unix.ParseSocketControlMessage(control)
	if err != nil {
		return nil
	}
	for k := range messages {
		descriptors, err := unix.ParseUnixRights(&messages[k])
		if err != nil {
			continue
		}
		for _, descriptor := range descriptors {
			files = append(files, os.NewFile(uintptr(descriptor), "passed connection"))
		}
	}
	return files
}
