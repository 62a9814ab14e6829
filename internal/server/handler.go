package server

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"runtime/debug"
	"time"

	"pearknot/internal/admission"
	"pearknot/internal/node"
)

// healthPath is the path of the health check, by which a load balancer in front decides whether to send clients here.
const healthPath = "/_health"

// ServeHTTP handles the health check and requests.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	conn := r.Context().Value(connContextKey{}).(*clientConn)
	conn.keepsAlive = !r.Close && r.ProtoAtLeast(1, 1)
	defer conn.closeIfHijacked()
	var request *node.Request
	defer func() { s.recoverHandler(recover(), w, conn, request) }()
	if r.URL.Path == healthPath {
		conn.reportToAdmission((*admission.Controller).HealthChecked)
		s.serveHealth(w, conn)
		return
	}
	id := r.Header.Get(idHeader)
	reservation := s.newRequestReservation()
	defer reservation.release()
	defer conn.reservation.releaseHead()
	request, refusal := s.decode(w, r, conn, reservation)
	var claim *idClaim
	if refusal == nil {
		claim, refusal = s.claimID(r.Context(), id, request)
	}
	if refusal == errOutOfMemory || refusal == errNotClaimed {
		s.logRefusal(refusal.reason)
		s.writeAnswer(w, conn, node.Answer{Status: node.Rejected})
		return
	}
	if refusal != nil {
		s.logMalformed(refusal.reason)
		conn.reportToAdmission((*admission.Controller).RequestMalformed)
		s.writeResponse(w, conn, refusal.status, []byte(refusal.reason+"\n"))
		return
	}
	defer claim.release()
	if !conn.beginRequest(request.Streamed) {
		// The request was not accepted. If this handler returned, net/http would send a 200, which could still reach the
		// client while the connection is being closed.
		panic(http.ErrAbortHandler)
	}
	defer conn.releaseFromRequest()
	defer conn.reportToAdmission((*admission.Controller).RequestAnswered)
	if conn.hasDisconnected() { // the client may have given up while the connection waited for a descriptor
		s.writeAnswer(w, conn, node.Answer{Status: node.Failed})
		return
	}
	if request.Logged != nil {
		s.serveLogged(w, r, conn, request, claim)
		return
	}
	s.serveRequest(w, r, conn, request, claim)
}

// recoverHandler answers a request whose handler panicked with 500, which tells the client that the request may have run.
// Otherwise net/http would close the connection, and an accepted request would get no response.
func (s *Server) recoverHandler(panicValue any, w http.ResponseWriter, conn *clientConn, request *node.Request) {
	if panicValue == nil {
		return
	}
	if err, ok := panicValue.(error); ok && errors.Is(err, http.ErrAbortHandler) { // net/http's way to abort a response
		panic(panicValue)
	}
	s.log.Error("request handler panicked", "fault", fmt.Sprint(panicValue), "stack", string(debug.Stack()))
	if request != nil {
		s.node.Cancel(request)
	}
	s.writeResponse(w, conn, http.StatusInternalServerError, nil)
}

// logMalformed logs malformed requests at most once per malformedLogInterval, with their number since the last log line.
func (s *Server) logMalformed(reason string) {
	s.malformedLog.Event(func(sinceLast int64) {
		s.log.Warn("malformed request", "error", reason, "since_last", sinceLast)
	})
}

// logRefusal logs requests that were refused for lack of memory, or whose heads are too large, at most once per
// malformedLogInterval, with the memory that is reserved.
func (s *Server) logRefusal(reason string) {
	s.refusedLog.Event(func(sinceLast int64) {
		used, limits := s.memory.Usage()
		s.log.Warn("request refused", "reason", reason, "since_last", sinceLast, "connections", s.budget.Clients(),
			"connections_kb", used.Connections>>10, "max_connections_kb", limits.Connections>>10,
			"buffers_kb", used.Buffers>>10, "max_buffers_kb", limits.Buffers>>10)
	})
}

// logAcceptError logs that connections could not be accepted, as logRefusal does.
func (s *Server) logAcceptError(err error) {
	s.acceptLog.Event(func(sinceLast int64) {
		s.log.Warn("accepting a connection failed, retrying", "error", err, "since_last", sinceLast)
	})
}

func (s *Server) serveHealth(w http.ResponseWriter, conn *clientConn) {
	select {
	case <-s.node.Ready():
		if inService, _ := s.ServiceState(); inService {
			s.writeResponse(w, conn, http.StatusOK, []byte("ready\n"))
			return
		}
	default:
	}
	s.writeResponse(w, conn, http.StatusServiceUnavailable, []byte("not ready\n"))
}

// serveRequest passes a request to the node and writes its answer. If too many requests are open, or the server is quiesced
// and rejects new ones, it rejects the request before the balancer sees it, so no part of it has been sent.
func (s *Server) serveRequest(w http.ResponseWriter, r *http.Request, conn *clientConn, request *node.Request, claim *idClaim) {
	openRequests := s.openRequests.Add(1)
	defer s.openRequests.Add(-1)
	s.lastRequestAt.Store(time.Now())
	deployment := s.deployment.Load()
	maxOpen := int64(deployment.MaxOpenRequests)
	if maxOpen > 0 && openRequests > maxOpen || s.quiesce.rejecting.Load() {
		rejection := node.Answer{Status: node.Rejected}
		if deployment.BalancerConfig.SendRetryAfter { // a node with this many open requests stays full for a while
			rejection.RetryAfter = deployment.BalancerConfig.MaxRetryAfter
		}
		s.writeAnswer(w, conn, rejection)
		return
	}
	bodyClock := conn.bodyClock.Load() // before the body is read on, which clears the field at the body's end
	claim.mayHaveRun = true
	s.node.Submit(request)
	answer, answered := s.awaitAnswer(r.Context(), conn, bodyClock, request)
	if !answered {
		s.node.Cancel(request)
		// A client that has closed only its sending side may still read.
		answer = node.Answer{Status: node.Failed}
	}
	claim.mayHaveRun = answer.Status != node.Rejected
	s.writeAnswer(w, conn, answer)
}

// awaitAnswer waits for a request's answer, and enforces the deadline of one whose body is streamed; bodyClock is nil for the
// others. It reports false if the client has disconnected.
func (s *Server) awaitAnswer(ctx context.Context, conn *clientConn, bodyClock *bodyClock, request *node.Request) (answer node.Answer, answered bool) {
	var check <-chan time.Time // never ready unless the body is streamed
	if bodyClock != nil {
		ticker := time.NewTicker(bodyDeadlineCheckInterval)
		defer ticker.Stop()
		check = ticker.C
	}
	for {
		select {
		case answer = <-request.Answer():
			return answer, true
		case <-ctx.Done():
			return answer, false
		case <-conn.gone:
			return answer, false
		case <-check:
			if s.enforceBodyDeadline(conn, bodyClock, request) {
				check = nil
			}
		}
	}
}

// enforceBodyDeadline shortens a request's deadline to that of its body's clock, once that is final or has passed, and reports
// whether it has done so.
func (s *Server) enforceBodyDeadline(conn *clientConn, bodyClock *bodyClock, request *node.Request) (isShortened bool) {
	isFinal := bodyClock.observe(conn.unreadBytes)
	left := time.Until(bodyClock.deadline())
	if !isFinal && left > 0 {
		return false
	}
	s.node.ShortenDeadline(request, s.clock.Now()+float64(left.Microseconds())/1e3)
	return true
}
