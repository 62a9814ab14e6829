package server

import (
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"slices"
	"strconv"
	"time"

	"pearknot/internal/clock"
	"pearknot/internal/config"
	"pearknot/internal/node"
	"pearknot/internal/upstream"
)

// Names on the way from clients and back.
const (
	idHeader       = "X-Trace-Id"
	categoryHeader = "X-Qos"
	tenantHeader   = "X-Customer"
	repeatHeader   = "X-Second-Try"
	hintHeader     = "X-Size-Hint"
)

// longestTTL keeps odd times within what a clock can hold, in ms.
const longestTTL = 3600e3

const (
	// A body must come at leastRate on the whole, which is half of what slow clients are known to manage, with a pause of
	// bodyPause. longestBody is what the largest takes so, in ms.
	leastRate   = 32 << 10 // bytes a second
	bodyPause   = 2 * time.Second
	longestBody = 1e3 * upstream.MaxBody / leastRate
)

// slowBody reads a client's body within the time that such a one may take.
type slowBody struct {
	c     *http.ResponseController
	from  io.Reader
	begun time.Time
	got   int64
	of    *client // whose body is passed on as it comes; nil while it is held
}

// errLeft is of a body that came whole from a client that has left since: what lay unread here hid the end of its connection. It
// is not passed on whole, and so never runs.
var errLeft = errors.New("its client has left")

func (s *slowBody) Read(b []byte) (int, error) {
	_ = s.c.SetReadDeadline(s.begun.Add(bodyPause + time.Duration(s.got)*time.Second/leastRate))
	n, err := s.from.Read(b)
	if s.got += int64(n); err == io.EOF { // the limit must not end the watch for a client that leaves
		_ = s.c.SetReadDeadline(time.Time{})
		if s.of != nil && s.of.left() {
			return 0, errLeft
		}
	}
	return n, err
}

// malformed is why an op is not taken.
type malformed struct {
	status int
	why    string
}

// decode reads an op once.
func (f *Server) decode(w http.ResponseWriter, r *http.Request, c *client) (*node.Request, *malformed) {
	bad := func(format string, args ...any) (*node.Request, *malformed) {
		return nil, &malformed{http.StatusBadRequest, fmt.Sprintf(format, args...)}
	}
	if why := c.unclear(); why != "" {
		return bad("%s", why)
	}
	for _, name := range []string{idHeader, categoryHeader, upstream.ExpiresHeader} { // backends may read another of two
		if r.Header.Get(name) == "" || len(r.Header[name]) > 1 {
			return bad("no or several %s", name)
		}
	}
	if r.RequestURI[0] != '/' {
		return bad("no path")
	}
	told := f.told.Load()
	category := slices.Index(told.Classes, config.Name(r.Header.Get(categoryHeader)))
	if category < 0 {
		return bad("unknown category %.40q", r.Header.Get(categoryHeader))
	}
	ttl, err := strconv.ParseUint(r.Header.Get(upstream.ExpiresHeader), 10, 63)
	if err != nil {
		return bad("odd %s %.40q", upstream.ExpiresHeader, r.Header.Get(upstream.ExpiresHeader))
	}
	hint, hinted := 0.0, r.Header.Get(hintHeader)
	if hinted != "" {
		if hint, err = strconv.ParseFloat(hinted, 64); err != nil || !(hint >= 0) || math.IsInf(hint, 0) {
			return bad("odd %s %.40q", hintHeader, hinted)
		}
	}
	tooLong := &malformed{http.StatusRequestEntityTooLarge, "body of more than 32 MiB"}
	if r.ContentLength > upstream.MaxBody { // nothing of it is read
		return nil, tooLong
	}
	slow := &slowBody{c: http.NewResponseController(w), from: http.MaxBytesReader(w, r.Body, upstream.MaxBody), begun: time.Now()}
	var body []byte
	if r.Body != http.NoBody { // a limit that is past, where this machine stood still, would look like a client that left
		body, err = io.ReadAll(io.LimitReader(slow, upstream.MaxBufferedBody+1))
	}
	if over := (*http.MaxBytesError)(nil); errors.As(err, &over) {
		return nil, tooLong
	} else if err != nil {
		return bad("body: %v", err)
	}
	if why := c.unclear(); why != "" { // its last bytes may have brought more
		return bad("%s", why)
	}
	// Of a body that is too large to hold the rest is passed on as it comes, and the op's time begins with its last byte.
	var rest *upstream.StreamedBody
	least := min(float64(ttl), longestTTL)
	if len(body) > upstream.MaxBufferedBody {
		slow.of = c
		rest = &upstream.StreamedBody{Size: r.ContentLength, Timeout: clock.Duration(least - onTheWay), Reader: slow}
		least += longestBody
	}
	now := f.clock.Now()
	repeat, tenant := r.Header.Get(repeatHeader) == "1", tenant(told, r)
	op := node.NewRequest(upstream.NewMessage(r.Method, r.RequestURI, r.Host, r.Header, body, rest))
	op.Config, op.Class, op.Tenant, op.IsClientRetry = told.Balancer, category, tenant, repeat
	op.CostHint, op.HasCostHint = hint/1e3, hinted != ""
	op.Deadline = now - c.wayHere() + least
	if f.keep != nil {
		var bad *malformed
		if op.Logged, bad = f.keyed(r, op, body); bad != nil {
			return nil, bad
		}
	}
	return op, nil
}

func tenant(told *config.Deployment, r *http.Request) int {
	return max(told.Tenant(config.Name(r.Header.Get(tenantHeader))), 0)
}
