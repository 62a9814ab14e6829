package server

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"pearknot/internal/config"
	"pearknot/internal/node"
	"pearknot/internal/peers"
	"pearknot/internal/requestlog"
)

const (
	// maxKeyBytes bounds a request's key.
	maxKeyBytes = 255

	// answerRecordMs is set aside of a logged request's time for its answer to be recorded, in ms.
	answerRecordMs = 40

	// lookupTimeoutMs is how long the request log may take to look a key up, in ms: an election's time. After that the
	// request goes by its class's rule for a log that does not answer.
	lookupTimeoutMs = 1500

	// A key that is in flight is looked up again after minLookupPause, then after pauses that double to maxLookupPause.
	minLookupPause = 25 * time.Millisecond
	maxLookupPause = 100 * time.Millisecond
)

// RequestLogging says which requests go to the replicated request log, so that they survive the loss of this node.
type RequestLogging struct {
	Peers          *peers.Peers
	KeyHeader      string          // the header field with a request's key; requests without one are not logged
	Classes        map[string]bool // logged classes, by name; true proceeds unlogged where no majority answers
	MaxAnswerBytes int             // of an answer in the log
}

// LogRequests logs requests from now on. It is called before Serve.
func (s *Server) LogRequests(logging RequestLogging) { s.requestLogging = &logging }

// loggedRequest is what the request log knows a request by, or nil where the request is not to be logged.
func (s *Server) loggedRequest(r *http.Request, request *node.Request, body []byte) (*node.LoggedRequest, *requestError) {
	keys := r.Header.Values(s.requestLogging.KeyHeader)
	if len(keys) == 0 {
		return nil, nil
	}
	class := s.deployment.Load().Classes[request.Class]
	proceedWithoutQuorum, isLogged := s.requestLogging.Classes[class]
	if !isLogged || request.Streamed {
		return nil, nil
	}
	key := strings.TrimSpace(keys[0])
	if len(keys) > 1 || key == "" || len(key) > maxKeyBytes {
		return nil, badRequest("odd %s", s.requestLogging.KeyHeader)
	}
	// A key counts within its tenant alone: nobody gets another tenant's answer by guessing.
	tenant := config.NormalizeName(r.Header.Get(tenantHeader))
	return &node.LoggedRequest{
		Key:                  tenant + "\x00" + key,
		Fingerprint:          fingerprint(r, body),
		ProceedWithoutQuorum: proceedWithoutQuorum,
		MaxAnswerBytes:       s.requestLogging.MaxAnswerBytes,
	}, nil
}

// fingerprint is a hash of what makes two requests with one key the same.
func fingerprint(r *http.Request, body []byte) uint64 {
	hash := xxhash.New()
	for _, part := range []string{r.Method, "\x00", r.RequestURI, "\x00"} {
		_, _ = hash.WriteString(part)
	}
	_, _ = hash.Write(body)
	return hash.Sum64()
}

// serveLogged serves a logged request: by its own outcome, or by that of the request that has its key already.
func (s *Server) serveLogged(w http.ResponseWriter, r *http.Request, conn *clientConn, request *node.Request) {
	s.openRequests.Add(1)
	defer s.openRequests.Add(-1)
	s.lastRequestAt.Store(time.Now().UnixMilli())
	logged := request.Logged
	request.Deadline -= answerRecordMs
	ctx, cancel := context.WithDeadline(r.Context(), s.clock.Time(request.Deadline))
	defer cancel()
	submitted, pause := false, minLookupPause
	for {
		result, final := s.lookUp(ctx, conn.gone, logged, min(request.Deadline, s.clock.Now()+lookupTimeoutMs))
		select {
		case <-conn.gone: // noticed before Submit, or an attempt might begin for a client that has gone
			cancel()
		default:
		}
		noQuorum := result == requestlog.NoQuorum
		switch {
		case ctx.Err() != nil || noQuorum && s.clock.Now() >= request.Deadline:
			s.writeAnswer(w, conn, node.Answer{Status: node.RetryLater, RetryAfter: requestlog.PeerTimeoutMs})
			return
		case result == requestlog.KeyUnused && !submitted:
			submitted = true
			if s.submitLogged(w, r, conn, request) {
				return
			}
			continue // another request has taken the key meanwhile
		case result == requestlog.KeyUnused: // the request that had the key was rejected
			s.writeAnswer(w, conn, node.Answer{Status: node.Rejected, RetryAfter: requestlog.PeerTimeoutMs / 4})
			return
		case result == requestlog.KeyAnswered:
			s.writeAnswer(w, conn, node.AnswerFromLog(final))
			return
		case result == requestlog.KeyMismatch:
			s.writeResponse(w, conn, http.StatusUnprocessableEntity, []byte("the key of another op\n"))
			return
		case noQuorum && logged.ProceedWithoutQuorum && !submitted:
			request.Logged = nil
			s.serveRequest(w, r, conn, request)
			return
		case noQuorum && !submitted:
			s.writeAnswer(w, conn, node.Answer{Status: node.Rejected, RetryAfter: 2 * requestlog.PeerTimeoutMs})
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
		pause = min(2*pause, maxLookupPause)
	}
}

// submitLogged passes a request to the node and writes its answer. It reports false, and writes nothing, where another
// request has taken the key.
func (s *Server) submitLogged(w http.ResponseWriter, r *http.Request, conn *clientConn, request *node.Request) bool {
	s.node.Submit(request)
	select {
	case answer := <-request.Answer():
		if answer.Status == node.KeyTaken {
			return false
		}
		s.writeAnswer(w, conn, answer)
		return true
	case <-r.Context().Done():
	case <-conn.gone:
	}
	s.node.Cancel(request) // an attempt that has begun goes on: whoever asks with the key gets the answer
	return true
}

// lookUp asks the request log for a key. It returns NoQuorum also where ctx is done or the client has gone.
func (s *Server) lookUp(ctx context.Context, gone <-chan struct{}, logged *node.LoggedRequest, deadline float64) (requestlog.Result, requestlog.FinalAnswer) {
	replies := make(chan requestlog.Reply, 1)
	s.requestLogging.Peers.Lookup(logged.Key, logged.Fingerprint, deadline, func(reply requestlog.Reply) { replies <- reply })
	select {
	case reply := <-replies:
		return reply.Result, reply.Answer
	case <-ctx.Done():
	case <-gone:
	}
	return requestlog.NoQuorum, requestlog.FinalAnswer{}
}
