package server

import (
	"fmt"
	"math"
	"net/http"
	"slices"
	"strconv"

	"pearknot/internal/config"
	"pearknot/internal/node"
	"pearknot/internal/upstream"
)

// Header fields of requests. Their names are part of the protocol; backends get them unchanged. The code uses other names
// than the protocol: class for its QoS or category, tenant for its customer, client retry for its second try, and cost hint for
// its size hint.
const (
	idHeader          = "X-Trace-Id"
	classHeader       = "X-Qos"
	tenantHeader      = "X-Customer"
	clientRetryHeader = "X-Second-Try"
	costHintHeader    = "X-Size-Hint" // in thousandths
)

// maxTTLMs is the longest time to live of a request, in ms; a longer one is shortened to it. Clients may send up to 2^63-1 ms,
// which a clock can't hold.
const maxTTLMs = 3600e3

// requestError says why a request is refused. The client gets the status, and the reason as the body. Reasons are part of
// the protocol and must not change: "odd X" means that the field X is malformed, "no or several X" that it must be present
// exactly once, and a category is a class.
type requestError struct {
	status int
	reason string
}

func badRequest(format string, args ...any) *requestError {
	return &requestError{http.StatusBadRequest, fmt.Sprintf(format, args...)}
}

// requestHeader holds the decoded fields of a request's header.
type requestHeader struct {
	class       int
	ttlMs       float64
	costHint    float64
	hasCostHint bool
}

// decode reads a request and its body; of a streamed body it reads the beginning that is buffered. It returns a requestError
// if the request is malformed.
func (s *Server) decode(w http.ResponseWriter, r *http.Request, conn *clientConn, reservation *requestReservation) (*node.Request, *requestError) {
	if reason := conn.framingError(); reason != "" {
		return nil, badRequest("%s", reason)
	}
	deployment := s.deployment.Load()
	header, malformed := decodeHeader(r, deployment)
	if malformed != nil {
		return nil, malformed
	}
	body, rest, malformed := s.readBody(w, r, reservation)
	if malformed != nil {
		return nil, malformed
	}
	if reason := conn.framingError(); reason != "" { // more bytes may have arrived with the end of the body
		return nil, badRequest("%s", reason)
	}
	sinceSentMs := conn.transitTimeMs()
	deadline := s.clock.Now() - sinceSentMs + header.ttlMs
	var streamed *upstream.StreamedBody
	if len(body) > upstream.MaxBufferedBody {
		// The rest of the body is passed on as it arrives.
		rest.conn = conn
		bodyClock := conn.startBodyClock(r.ContentLength, int64(len(body)), header.ttlMs, sinceSentMs)
		streamed = &upstream.StreamedBody{Size: r.ContentLength, Deadline: bodyClock.deadline, Reader: rest}
		if !bodyClock.observe(conn.unreadBytes) {
			// The time to live counts from the body's last byte, so the deadline allows for the longest time that a body may
			// take. Until then enforceBodyDeadline applies the clock's.
			deadline += maxBodyTimeMs
		}
	}
	request := node.NewRequest(upstream.NewMessage(r.Method, r.RequestURI, r.Host, r.Header, body, streamed))
	request.Config = deployment.BalancerConfig
	request.Class = header.class
	request.Tenant = tenantIndex(deployment, r)
	request.IsClientRetry = r.Header.Get(clientRetryHeader) == "1"
	request.CostHint, request.HasCostHint = header.costHint, header.hasCostHint
	request.Deadline = deadline
	if s.requestLogging != nil {
		logged, malformed := s.loggedRequest(r, request, body, deployment)
		if malformed != nil {
			return nil, malformed
		}
		request.Logged = logged
	}
	return request, nil
}

// decodeHeader reads a request's header fields.
func decodeHeader(r *http.Request, deployment *config.Deployment) (header requestHeader, malformed *requestError) {
	// These fields must occur exactly once: of two, a backend might read a different one than this server.
	for _, name := range []string{idHeader, classHeader, upstream.ExpiresHeader} {
		if r.Header.Get(name) == "" || len(r.Header[name]) > 1 {
			return header, badRequest("no or several %s", name)
		}
	}
	if r.RequestURI[0] != '/' {
		return header, badRequest("no path")
	}
	className := r.Header.Get(classHeader)
	header.class = slices.Index(deployment.Classes, config.NormalizeName(className))
	if header.class < 0 {
		return header, badRequest("unknown category %.40q", className)
	}
	expires := r.Header.Get(upstream.ExpiresHeader)
	ttl, err := strconv.ParseUint(expires, 10, 63)
	if err != nil {
		return header, badRequest("odd %s %.40q", upstream.ExpiresHeader, expires)
	}
	header.ttlMs = min(float64(ttl), maxTTLMs)
	if hint := r.Header.Get(costHintHeader); hint != "" {
		value, err := strconv.ParseFloat(hint, 64)
		if err != nil || !(value >= 0) || math.IsInf(value, 0) {
			return header, badRequest("odd %s %.40q", costHintHeader, hint)
		}
		header.costHint, header.hasCostHint = value/1e3, true
	}
	return header, nil
}

// tenantIndex returns the index of a request's tenant. An unknown tenant counts as the first one.
func tenantIndex(deployment *config.Deployment, r *http.Request) int {
	return max(deployment.TenantIndex(config.NormalizeName(r.Header.Get(tenantHeader))), 0)
}
