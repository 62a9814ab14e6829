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
	// maxErrorLength bounds the text of an authority's error, in bytes.
	maxErrorLength = 300

	// maxRetryAfter bounds the wait that an authority may request.
	maxRetryAfter = 30 * 24 * time.Hour
)

// failure is an error with the attributes that the scheduler needs.
type failure struct {
	kind       certs.FailureKind
	err        error
	retryAfter time.Duration // requested by the authority; 0 is none
	endsOrder  bool          // the order can't be continued
}

func (f *failure) Error() string { return f.err.Error() }

func (f *failure) Unwrap() error { return f.err }

func localFailure(err error) *failure { return &failure{kind: certs.LocalFailure, err: err} }

func orderRejected(err error) *failure {
	return &failure{kind: certs.OrderRejected, err: err, endsOrder: true}
}

// errOrderPending is returned while the authority has not completed an order.
var errOrderPending = errors.New("order not completed by the authority yet")

func orderPending() *failure { return &failure{kind: certs.OrderPending, err: errOrderPending} }

// classify determines the kind of failure that an error stands for.
func classify(err error) *failure {
	var classified *failure
	if errors.As(err, &classified) {
		return classified
	}
	var problem *acme.Error
	if !errors.As(err, &problem) {
		return &failure{kind: certs.AuthorityUnavailable, err: singleLineError(err)}
	}
	f := &failure{err: singleLineError(err), retryAfter: retryAfter(problem.Header)}
	switch {
	case problem.StatusCode == http.StatusTooManyRequests || strings.HasSuffix(problem.ProblemType, ":rateLimited"):
		f.kind = certs.RateLimited
	case problem.StatusCode >= 500 || strings.HasSuffix(problem.ProblemType, ":badNonce"):
		f.kind = certs.AuthorityUnavailable
	default: // includes an order that the authority no longer knows
		f.kind, f.endsOrder = certs.OrderRejected, true
	}
	return f
}

// singleLineError returns an error whose text is that of err in one line of bounded length.
func singleLineError(err error) error {
	text := strings.Join(strings.Fields(err.Error()), " ")
	if len(text) > maxErrorLength {
		text = text[:maxErrorLength] + "..."
	}
	return errors.New(text)
}

// retryAfter returns the wait that a response's Retry-After requests; 0 is none.
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
