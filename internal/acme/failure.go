package acme

import (
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	"golang.org/x/crypto/acme"

	"pearknot/internal/certs"
)

const (
	// maxErrorLength bounds what an authority says in an error, in bytes.
	maxErrorLength = 300

	// maxRetryAfter bounds the wait that an authority may ask for.
	maxRetryAfter = 30 * 24 * time.Hour
)

// failure is an error with what the scheduler wants to know of it.
type failure struct {
	kind       certs.FailureKind
	err        error
	retryAfter time.Duration // that the authority asks for; 0 is none
	isOver     bool          // the order is over
}

func (f *failure) Error() string { return f.err.Error() }

func (f *failure) Unwrap() error { return f.err }

func localFailure(err error) *failure { return &failure{kind: certs.LocalFailure, err: err} }

func orderRejected(err error) *failure {
	return &failure{kind: certs.OrderRejected, err: err, isOver: true}
}

// errOrderPending means that the authority has not completed an order.
var errOrderPending = errors.New("the authority is not done yet")

func orderPending() *failure { return &failure{kind: certs.OrderPending, err: errOrderPending} }

// classify says who is to blame for an error.
func classify(err error) *failure {
	var classified *failure
	if errors.As(err, &classified) {
		return classified
	}
	var problem *acme.Error
	if !errors.As(err, &problem) {
		return &failure{kind: certs.AuthorityUnavailable, err: oneLine(err)}
	}
	f := &failure{err: oneLine(err), retryAfter: retryAfter(problem.Header)}
	switch {
	case problem.StatusCode == http.StatusTooManyRequests || strings.HasSuffix(problem.ProblemType, ":rateLimited"):
		f.kind = certs.RateLimited
	case problem.StatusCode >= 500 || strings.HasSuffix(problem.ProblemType, ":badNonce"):
		f.kind = certs.AuthorityUnavailable
	default: // also an order that is not found any more
		f.kind, f.isOver = certs.OrderRejected, true
	}
	return f
}

// oneLine is an error with its text in one line of bounded length.
func oneLine(err error) error {
	text := strings.Join(strings.Fields(err.Error()), " ")
	if len(text) > maxErrorLength {
		text = text[:maxErrorLength] + "..."
	}
	return errors.New(text)
}

// retryAfter is the wait that a response asks for; 0 is none.
func retryAfter(header http.Header) time.Duration {
	value := header.Get("Retry-After")
	if seconds, err := strconv.Atoi(value); err == nil && seconds > 0 {
		return min(time.Duration(seconds)*time.Second, maxRetryAfter)
	}
	if at, err := http.ParseTime(value); err == nil {
		return min(max(time.Until(at), 0), maxRetryAfter)
	}
	return 0
}
