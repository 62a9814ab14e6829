package server

import (
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"pearknot/internal/node"
	"pearknot/internal/upstream"
)

const (
	// minRetryAfterMs is the shortest wait that Retry-After can state, in ms. Where the balancer foresees less, the
	// request was not rejected for a queue but for backends that refuse or break connections.
	minRetryAfterMs = 1.0

	// defaultRetryAfterMs is the wait without one foreseen, in ms: the balancer looks at such backends every 100 ms,
	// and decides the same until then.
	defaultRetryAfterMs = 100.0

	// streamBufferBytes is how much of a long response is read and written at a time.
	streamBufferBytes = 16 << 10
)

// writeAnswer writes a request's answer as a response. Texts and header fields are the protocol's.
func (s *Server) writeAnswer(w http.ResponseWriter, conn *clientConn, answer node.Answer) {
	switch answer.Status {
	case node.Served:
		defer answer.Reply.Release()
		s.writeReply(w, conn, answer.Reply)
	case node.Rejected:
		if wait := s.retryAfterMs(answer); wait > 0 {
			setRetryAfter(w, wait)
		}
		s.writeResponse(w, conn, http.StatusServiceUnavailable, nil)
	case node.RetryLater:
		setRetryAfter(w, answer.RetryAfter)
		s.writeResponse(w, conn, http.StatusConflict, []byte("the op is in hand; ask again with its key\n"))
	default:
		s.writeResponse(w, conn, http.StatusBadGateway, nil)
	}
}

// writeReply writes a backend's response.
func (s *Server) writeReply(w http.ResponseWriter, conn *clientConn, reply *upstream.Reply) {
	upstream.RemoveHopByHop(reply.Header)
	for name, values := range reply.Header {
		w.Header()[name] = values
	}
	if reply.Stream != nil {
		s.streamResponse(w, conn, reply)
		return
	}
	s.writeResponse(w, conn, http.StatusOK, reply.Body)
}

// setRetryAfter states a wait of ms, in seconds with three decimals.
func setRetryAfter(w http.ResponseWriter, ms float64) {
	w.Header().Set("Retry-After", strconv.FormatFloat(ms/1e3, 'f', 3, 64))
}

// retryAfterMs is when a rejected client is to come again, in ms: as the balancer foresees, or a little later where it
// foresees no wait. Clients that are rejected together get different times, so that they don't come back together. It
// is 0 where the deployment sends no Retry-After.
func (s *Server) retryAfterMs(answer node.Answer) float64 {
	options := s.deployment.Load().Balancer
	if answer.RetryAfter >= minRetryAfterMs || !options.SendRetryAfter {
		return answer.RetryAfter
	}
	wait := defaultRetryAfterMs * (0.5 + 0.5*rand.Float64())
	if options.MaxRetryAfter > 0 {
		wait = min(wait, options.MaxRetryAfter)
	}
	return wait
}

func (s *Server) writeResponse(w http.ResponseWriter, conn *clientConn, status int, body []byte) {
	s.writeHeader(w, conn, status, int64(len(body)))
	_, _ = w.Write(body) // a client that is gone is no fault
}

// writeHeader writes a response's header. The body's size is unknown where bodySize is below 0.
func (s *Server) writeHeader(w http.ResponseWriter, conn *clientConn, status int, bodySize int64) {
	if conn.beginResponse() || s.draining.Load() || s.quiesce.closing.Load() || s.budget.ShouldCloseClients() {
		w.Header().Set("Connection", "close")
	}
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeTimeout))
	if bodySize >= 0 {
		w.Header().Set("Content-Length", strconv.FormatInt(bodySize, 10))
	}
	w.WriteHeader(status)
}

// streamResponse passes a long response on as it comes: its first bytes at once, and the rest no faster than the client
// reads, which may be slow but must not stop. A response that the backend does not finish is aborted, so that the
// client can tell.
func (s *Server) streamResponse(w http.ResponseWriter, conn *clientConn, reply *upstream.Reply) {
	controller := http.NewResponseController(w)
	s.writeHeader(w, conn, http.StatusOK, reply.Stream.Size)
	part, buffer := reply.Body, make([]byte, streamBufferBytes)
	reply.Body = nil
	for {
		if _, err := w.Write(part); err != nil || controller.Flush() != nil {
			return // the client is gone or does not read
		}
		n, err := reply.Stream.Read(buffer)
		part = buffer[:n]
		if errors.Is(err, io.EOF) && n == 0 {
			return
		}
		if err != nil && !errors.Is(err, io.EOF) {
			s.log.Debug("response aborted", "error", err)
			panic(http.ErrAbortHandler)
		}
		_ = controller.SetWriteDeadline(time.Now().Add(writeTimeout))
	}
}
