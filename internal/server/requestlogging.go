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
	// maxKeyBytes is the maximum length of a request's idempotency key, in bytes.
	maxKeyBytes = 255

	// answerRecordMs is the part of a logged request's time to live that is reserved for recording its answer, in ms: a round
	// trip to a majority, within the node's answerRecordGraceMs (30 ms), and the writing of the response.
	answerRecordMs = 40

	// lookupTimeoutMs is the time that the request log may take to look a key up, in ms. After that the request is treated as
	// one whose log has no quorum. The node's attemptRecordTimeoutMs is the same, for the same reason.
	lookupTimeoutMs = requestlog.MaxElectionMs

	// A key that is in flight is looked up again after minLookupPause, then after pauses that double up to maxLookupPause.
	minLookupPause = 25 * time.Millisecond
	maxLookupPause = 100 * time.Millisecond
)

// NoQuorumPolicy says how to handle a request that should be logged while its log has no quorum.
type NoQuorumPolicy uint8

const (
	// RejectWithoutQuorum rejects the request.
	RejectWithoutQuorum NoQuorumPolicy = iota
	// ProceedWithoutQuorum serves the request unlogged.
	ProceedWithoutQuorum
)

// RequestLogging is the configuration of the replicated request log, which lets requests survive the loss of this node.
type RequestLogging struct {
	Peers          *peers.Peers
	KeyHeader      string                    // header field with a request's idempotency key; requests without one are not logged
	Classes        map[string]NoQuorumPolicy // policies of the logged classes, by name
	MaxAnswerBytes int                       // maximum size of the header and body of an answer in the log
}

// LogRequests sets which requests are logged. It is called before Serve.
func (s *Server) LogRequests(logging RequestLogging) { s.requestLogging = &logging }

// loggedRequest returns what the request log needs of the request, or nil if the request is not logged because it has no
// idempotency key, its class is not logged, or its body is streamed. deployment is the one under which the request arrived:
// its class and tenant are indexes into that.
func (s *Server) loggedRequest(r *http.Request, request *node.Request, body []byte, deployment *config.Deployment) (*node.LoggedRequest, *requestError) {
	keys := r.Header.Values(s.requestLogging.KeyHeader)
	if len(keys) == 0 {
		return nil, nil
	}
	class := deployment.Classes[request.Class]
	policy, isLogged := s.requestLogging.Classes[class]
	if !isLogged || request.Streamed {
		return nil, nil
	}
	key := strings.TrimSpace(keys[0])
	if len(keys) > 1 || key == "" || len(key) > maxKeyBytes {
		return nil, badRequest("odd %s", s.requestLogging.KeyHeader)
	}
	// Each tenant has its own keys, so that no client can get another tenant's answer by guessing a key.
	tenant := config.NormalizeName(r.Header.Get(tenantHeader))
	logged := &node.LoggedRequest{
		ClassName:            class,
		IdempotencyKey:       tenant + "\x00" + key,
		Fingerprint:          fingerprint(r, body),
		ProceedWithoutQuorum: policy == ProceedWithoutQuorum,
		MaxAnswerBytes:       s.requestLogging.MaxAnswerBytes,
	}
	if request.Tenant < len(deployment.Tenants) {
		logged.TenantName = deployment.Tenants[request.Tenant]
	}
	return logged, nil
}

// fingerprint returns a hash of the parts that are equal in two requests with one key if they are the same request.
func fingerprint(r *http.Request, body []byte) uint64 {
	hash := xxhash.New()
	for _, part := range []string{r.Method, "\x00", r.RequestURI, "\x00"} {
		_, _ = hash.WriteString(part)
	}
	_, _ = hash.Write(body)
	return hash.Sum64()
}

// serveLogged answers a logged request with its own outcome or that of an earlier request with the same key. It looks the
// key up until the result determines the answer, the request's deadline passes, the node ends, or the client disconnects.
//
// Rejecting the request here is safe for every class: either nothing has been submitted, or the request that was submitted
// has itself been rejected. Rejections always carry Retry-After, see retryAfterMs.
func (s *Server) serveLogged(w http.ResponseWriter, r *http.Request, conn *clientConn, request *node.Request, claim *idClaim) {
	s.openRequests.Add(1)
	defer s.openRequests.Add(-1)
	s.lastRequestAt.Store(time.Now())
	logged := request.Logged // the node may change the field once it has the request
	request.Deadline -= answerRecordMs
	ctx, cancel := context.WithDeadline(r.Context(), s.clock.Time(request.Deadline))
	defer cancel()
	isSubmitted, pause := false, minLookupPause
	for {
		result, final := s.lookUp(ctx, conn.gone, logged, min(request.Deadline, s.clock.Now()+lookupTimeoutMs))
		select {
		case <-conn.gone: // must be noticed before Submit, or an attempt might begin for a client that has disconnected
			cancel()
		case <-s.waitsEnded:
			cancel()
		default:
		}
		isOver := ctx.Err() != nil || result == requestlog.NoQuorum && s.clock.Now() >= request.Deadline
		switch {
		case isOver:
			s.writeAnswer(w, conn, node.Answer{Status: node.RetryLater, RetryAfter: requestlog.PeerTimeoutMs})
			return
		case result == requestlog.KeyUnused && !isSubmitted:
			isSubmitted = true
			if s.submitLogged(w, r, conn, request) {
				return
			}
			continue // another request has taken the key meanwhile
		case result == requestlog.NoQuorum && !isSubmitted:
			s.serveWithoutQuorum(w, r, conn, request, claim)
			return
		case s.writeLookupResult(w, conn, result, final):
			return
		}
		select {
		case <-ctx.Done():
		case <-s.waitsEnded:
		case <-time.After(pause):
		}
		pause = min(2*pause, maxLookupPause)
	}
}

// serveWithoutQuorum handles a request that has not been submitted and whose log has no quorum, by the policy of its class.
func (s *Server) serveWithoutQuorum(w http.ResponseWriter, r *http.Request, conn *clientConn, request *node.Request, claim *idClaim) {
	if !request.Logged.ProceedWithoutQuorum {
		s.writeAnswer(w, conn, node.Answer{Status: node.Rejected, RetryAfter: 2 * requestlog.PeerTimeoutMs})
		return
	}
	request.Logged = nil // from here on its id alone tells a repetition
	switch refusal := claim.share(r.Context(), request); refusal {
	case nil:
		s.serveRequest(w, r, conn, request, claim)
	case errKnownID:
		s.writeResponse(w, conn, refusal.status, []byte(refusal.reason+"\n"))
	default:
		s.writeAnswer(w, conn, node.Answer{Status: node.Rejected})
	}
}

// writeLookupResult writes the answer that the result of a lookup determines. It writes nothing and reports false if the
// result determines none yet: the key is in flight, or the log has no quorum. The text is part of the protocol: "op" is a
// request.
func (s *Server) writeLookupResult(w http.ResponseWriter, conn *clientConn, result requestlog.Result, final requestlog.FinalAnswer) bool {
	switch result {
	case requestlog.KeyUnused: // the request that had the key was rejected, so this one is as well
		s.writeAnswer(w, conn, node.Answer{Status: node.Rejected, RetryAfter: requestlog.PeerTimeoutMs / 4})
	case requestlog.KeyAnswered:
		s.writeAnswer(w, conn, node.AnswerFromLog(final))
	case requestlog.KeyMismatch:
		s.writeResponse(w, conn, http.StatusUnprocessableEntity, []byte("the key of another op\n"))
	default:
		return false
	}
	return true
}

// submitLogged passes a request to the node and writes its answer. If another request has taken the key meanwhile, it
// writes nothing and reports false.
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
	case <-s.waitsEnded:
	}
	s.node.Cancel(request) // an attempt that has begun continues, for a client that repeats the request with the key
	// A client that has closed only its sending side may still read. Without an answer net/http would send it an empty 200, which
	// says that the request was served.
	s.writeAnswer(w, conn, node.Answer{Status: node.RetryLater, RetryAfter: requestlog.PeerTimeoutMs})
	return true
}

// lookUp asks the request log for a key. It returns NoQuorum also if ctx is done, the node ends, or the client has disconnected.
func (s *Server) lookUp(ctx context.Context, gone <-chan struct{}, logged *node.LoggedRequest, deadline float64) (requestlog.Result, requestlog.FinalAnswer) {
	replies := make(chan requestlog.Reply, 1)
	s.requestLogging.Peers.Lookup(logged.IdempotencyKey, logged.Fingerprint, deadline, func(reply requestlog.Reply) { replies <- reply })
	select {
	case reply := <-replies:
		return reply.Result, reply.Answer
	case <-ctx.Done():
	case <-s.waitsEnded:
	case <-gone:
	}
	return requestlog.NoQuorum, requestlog.FinalAnswer{}
}
