package server

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"pearknot/internal/node"
	"pearknot/internal/upstream"
)

const (
	// minRetryAfterMs is the shortest wait that Retry-After can express, in ms: the header has three decimals of a second,
	// as the protocol specifies, unlike RFC 9110. If the balancer expects a shorter wait, the request was rejected not
	// because of a queue but because backends refuse or break connections.
	minRetryAfterMs = 1.0

	// defaultRetryAfterMs is the maximum wait, in ms, that is sent if the answer has none. It is the balancer's review
	// interval: a client that retries sooner would probably get the same decision.
	defaultRetryAfterMs = 100.0
)

// writeAnswer writes a request's answer as a response. Texts and header fields are part of the protocol and must not change:
// in them "op" is a request, "in hand" means in flight, and "ask again with its key" tells the client to repeat the request
// with the same idempotency key. Every attempt that has a response to pass on was answered with 200, because the protocol has
// no other success: upstream's Reply.outcome treats any other status as a failed or rejected attempt.
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

// writeReply writes a backend's response. Its status is 200, see writeAnswer; a logged answer stores it as well.
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

// setRetryAfter sets the Retry-After header to a wait of ms, in seconds with three decimals.
func setRetryAfter(w http.ResponseWriter, ms float64) {
	w.Header().Set("Retry-After", strconv.FormatFloat(ms/1e3, 'f', 3, 64))
}

// retryAfterMs returns after how many ms a rejected client should retry: the answer's own time. If that is too short to be
// expressed, it is a random time from half of defaultRetryAfterMs to all of it, at most MaxRetryAfter if that is set. Clients
// that are rejected together get different times, so that they don't retry together.
//
// If the deployment sends no Retry-After (bounds.retryAfter is off), it is 0, and the response has no such header. The
// exception is rejections because of the request log, in serveLogged: those always have a time, because a client that retried
// at once would find the log in the same state.
//
// A deployment may leave out bounds.maxRetryAfter, so that MaxRetryAfter is 0. That means no maximum here; the balancer and
// the node's rejections because of the request log take the minimum with it and so have no wait, and this function then
// chooses one.
func (s *Server) retryAfterMs(answer node.Answer) float64 {
	config := s.deployment.Load().BalancerConfig
	if answer.RetryAfter >= minRetryAfterMs || !config.SendRetryAfter {
		return answer.RetryAfter
	}
	wait := defaultRetryAfterMs * (0.5 + 0.5*rand.Float64())
	if config.MaxRetryAfter > 0 {
		wait = min(wait, config.MaxRetryAfter)
	}
	return wait
}

func (s *Server) writeResponse(w http.ResponseWriter, conn *clientConn, status int, body []byte) {
	s.writeHeader(w, conn, status, int64(len(body)))
	_, _ = w.Write(body) // an error means that the client has disconnected, which is not a fault of the node
}

// writeHeader writes a response's header. A negative bodySize means that the body's size is unknown.
func (s *Server) writeHeader(w http.ResponseWriter, conn *clientConn, status int, bodySize int64) {
	if conn.beginResponse() || s.draining.Load() || s.quiesce.closing.Load() || s.budget.ShouldCloseClients() || s.memory.ShouldCloseConnections() {
		w.Header().Set("Connection", "close")
	}
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeTimeout))
	if bodySize >= 0 {
		w.Header().Set("Content-Length", strconv.FormatInt(bodySize, 10))
	}
	w.WriteHeader(status)
}
