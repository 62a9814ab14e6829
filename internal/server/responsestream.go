package server

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"pearknot/internal/upstream"
	"pearknot/internal/writestall"
)

const (
	// streamBufferBytes is the size of the buffer by which a long response is read and written.
	streamBufferBytes = 16 << 10

	// minStreamBufferBytes is the size of that buffer when memory is short.
	minStreamBufferBytes = 4 << 10
)

var (
	// errBackendStopped indicates that the backend has not sent the whole response.
	errBackendStopped = errors.New("the backend has not finished the response")

	// errInterrupted indicates that the response has to be passed on.
	errInterrupted = errors.New("the response is passed on")
)

// responseStream is a long response that is sent to a client as it arrives from the backend.
type responseStream struct {
	server     *Server
	writer     http.ResponseWriter
	controller *http.ResponseController
	conn       *clientConn
	source     *upstream.Stream
	monitor    *writestall.Monitor

	headEnd   int64 // conn.written at the end of the response's head
	bodyBytes int64 // given to writer
}

// streamResponse passes a long response on as it arrives: the first bytes at once, the rest no faster than the client reads.
// The client may be slow, but must not stop reading, see package writestall. If the backend does not finish the response, the
// connection is aborted, so that the client can tell that the body is incomplete.
func (s *Server) streamResponse(w http.ResponseWriter, conn *clientConn, reply *upstream.Reply) {
	controller := http.NewResponseController(w)
	s.writeHeader(w, conn, http.StatusOK, reply.Stream.Size)
	_ = controller.SetWriteDeadline(time.Time{}) // the monitor sets it
	monitor := writestall.Start(writestall.OfConn(conn.tcp), writeTimeout, func() {
		_ = controller.SetWriteDeadline(time.Unix(1, 0)) // the pending write fails at once
	})
	defer monitor.Stop()
	stream := &responseStream{server: s, writer: w, controller: controller, conn: conn, source: reply.Stream, monitor: monitor}
	firstPart := reply.Body
	reply.Body = nil
	stream.send(firstPart)
}

// send sends the first part and then the rest.
func (r *responseStream) send(firstPart []byte) {
	size, release := r.server.memory.AcquireBuffer(streamBufferBytes, minStreamBufferBytes)
	defer release()
	if err := r.write(firstPart); err != nil {
		r.server.log.Debug("client response write failed", "error", err)
		return
	}
	r.headEnd = r.conn.written.Load() - r.bodyBytes
	if r.isPassable() {
		r.server.passableResponses.add(r)
		defer r.server.passableResponses.remove(r)
	}
	unwritten, err := r.forward(make([]byte, size))
	switch {
	case err == nil:
		// net/http has yet to write the end of a body in chunks.
		_ = r.controller.SetWriteDeadline(time.Now().Add(writeTimeout + writestall.MaxPause))
	case r.mustPass():
		r.pass(unwritten)
	case errors.Is(err, errBackendStopped):
		r.server.log.Debug("response aborted", "error", err)
		panic(http.ErrAbortHandler)
	default: // the client has disconnected or does not read
		r.server.log.Debug("client response write failed", "error", err)
	}
}

// forward forwards the rest of the body, until there is a successor for it. With an error it returns the bytes that it has read and not
// written.
func (r *responseStream) forward(buffer []byte) (unwritten []byte, err error) {
	for !r.mustPass() {
		n, err := r.source.Read(buffer)
		isComplete := errors.Is(err, io.EOF)
		if isComplete && n == 0 {
			return nil, nil
		}
		if err != nil && !isComplete {
			return nil, fmt.Errorf("%w: %w", errBackendStopped, err)
		}
		if err := r.write(buffer[:n]); err != nil {
			return r.unwritten(buffer[:n]), err
		}
	}
	return nil, errInterrupted
}

// write writes a part of the body to the client's connection.
func (r *responseStream) write(part []byte) error {
	r.monitor.BeginWrite()
	defer r.monitor.EndWrite()
	r.bodyBytes += int64(len(part))
	if _, err := r.writer.Write(part); err != nil {
		return err
	}
	return r.controller.Flush()
}

// unwritten returns the end of a part that the connection has not taken, after a write that failed.
func (r *responseStream) unwritten(part []byte) []byte {
	missing := r.bodyBytes - (r.conn.written.Load() - r.headEnd)
	return part[int64(len(part))-missing:]
}

// isPassable reports whether the rest of the response can be passed on to a successor.
func (r *responseStream) isPassable() bool { return r.source.HasRest() && !r.conn.isTLS() }

// mustPass reports whether there is a successor for the rest of the response.
func (r *responseStream) mustPass() bool {
	return r.server.responseSuccessor.Load() != nil && r.isPassable()
}

// interrupt makes a write or read of the response that waits for the client or the backend return.
func (r *responseStream) interrupt() {
	r.source.Interrupt()
	_ = r.conn.tcp.SetWriteDeadline(time.Unix(1, 0))
}

// pass takes the connections from net/http and passes the rest of the response on, of which pending comes first.
func (r *responseStream) pass(pending []byte) {
	_, buffered, err := r.controller.Hijack()
	if err != nil {
		r.server.log.Warn("response can't be passed on", "error", err)
		panic(http.ErrAbortHandler)
	}
	r.conn.isHijacked = true
	rest := r.source.Rest()
	nextRequest, _ := buffered.Peek(buffered.Reader.Buffered()) // no error: the bytes are there
	response := PassedResponse{
		Client:         r.conn.tcp,
		Backend:        rest.Conn,
		Pending:        append(pending, rest.Received...),
		Remaining:      rest.Remaining,
		ClientReadTime: r.monitor.ReadTime(),
		ClientBytes:    nextRequest,
		KeepsAlive:     r.writer.Header().Get("Connection") == "" && r.conn.keepsAlive,
	}
	if r.server.relay(response) == relayComplete {
		closeAfterResponse(r.conn.tcp)
	}
}

// passableResponses are the responses that are being sent and can be passed on to a successor.
type passableResponses struct {
	mu        sync.Mutex
	responses map[*responseStream]struct{}
}

func (p *passableResponses) add(response *responseStream) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.responses == nil {
		p.responses = make(map[*responseStream]struct{})
	}
	p.responses[response] = struct{}{}
}

func (p *passableResponses) remove(response *responseStream) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.responses, response)
}

// interruptAll interrupts all responses. Those that are added later see the successor before they wait for anything.
func (p *passableResponses) interruptAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for response := range p.responses {
		response.interrupt()
	}
}
