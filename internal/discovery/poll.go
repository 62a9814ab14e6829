package discovery

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"time"

	"pearknot/internal/upstream"
)

// listPath is the path of the endpoint list at the discovery service. The parameters are "from", the version that the
// client has, and "hold_ms", how long the service may wait for a later one, in ms. Without them the service responds with
// the complete list at once.
const listPath = "/catalog/members"

// maxListBytes limits the size of an encoded list.
const maxListBytes = 4 << 20

// errUnusableResponse means that the service responded, but not with a usable list: it is overloaded or faulty, and an
// immediate retry would not help.
var errUnusableResponse = errors.New("no usable endpoint list in response")

// pollUntilFailure polls until a poll fails, and returns its error.
//
// A connection that breaks or stalls after earlier responses does not mean that the service has failed, so the poll is
// retried on another connection at once, but only once. The first poll and the one after a timeout don't wait for an
// event: the current list may be overdue already, and if the next connection stalls too, that must not take as long as a
// long poll.
func (w *Watch) pollUntilFailure(ctx context.Context) error {
	hadResponse, longPoll := false, false
	for {
		gotResponse, err := w.pollConnection(ctx, longPoll)
		hadResponse = hadResponse || gotResponse
		if err == nil {
			longPoll = true
			continue
		}
		timedOut := errors.Is(err, os.ErrDeadlineExceeded)
		canRetry := hadResponse || timedOut && longPoll && w.HasList
		if ctx.Err() != nil || errors.Is(err, errUnusableResponse) || !canRetry {
			return err
		}
		w.Log.Debug("endpoint list connection failed", "error", err)
		hadResponse, longPoll = false, !timedOut
	}
}

// pollConnection polls on one connection until a poll fails or the service closes the connection after a response, which
// is not an error. gotResponse reports whether any poll got a response. longPoll says whether the first poll waits for an
// event; all others do.
func (w *Watch) pollConnection(ctx context.Context, longPoll bool) (gotResponse bool, err error) {
	conn, err := w.dial(ctx, "tcp", w.Address)
	if err != nil {
		return false, err
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	recorder := &errorRecorder{Conn: conn}
	reader := upstream.NewReader(recorder)
	for reusable := true; reusable; longPoll = true {
		started := time.Now()
		var list *List
		list, reusable, err = w.fetch(ctx, conn, reader, longPoll)
		if err != nil {
			if recorder.err != nil && !errors.Is(err, recorder.err) {
				err = fmt.Errorf("%w: %w", err, recorder.err)
			}
			return gotResponse, err
		}
		if ctx.Err() != nil { // the session was canceled as the list arrived: the list is not from the new address
			return true, ctx.Err()
		}
		gotResponse, w.failing = true, false
		if err := w.deliverList(list); err != nil {
			return true, err
		}
		select {
		case <-ctx.Done():
			return true, ctx.Err()
		case <-time.After(w.minPollInterval - time.Since(started)):
		}
	}
	return true, nil
}

// deliverList passes a list to OnList, unless it contains changes of a lower version than the owner's list.
//
// A lower version means that the service has restarted and its versions start from the beginning: its changes must not be
// merged into the list from before the restart. The next poll requests the complete list. If changes of a lower version
// arrive right after that again, deliverList fails, because requesting the complete list once more could repeat forever.
func (w *Watch) deliverList(list *List) error {
	if list.Complete || list.Version >= w.Version {
		w.restarted = w.restarted && list.Complete
		w.Version, w.HasList = list.Version, true
		w.OnList(list)
		return nil
	}
	w.HasList = false
	if w.restarted {
		return fmt.Errorf("%w: changes up to version %d after a list of version %d", errUnusableResponse, list.Version, w.Version)
	}
	w.Log.Warn("endpoint list version decreased, polling the complete list", "version", list.Version, "previous_version", w.Version)
	w.restarted = true
	return nil
}

// errorRecorder is a connection that records the error of its latest read. A line reader treats the bytes before a
// timeout as a line and reports it as malformed; the timeout itself would be lost.
type errorRecorder struct {
	net.Conn
	err error
}

// Read reads from the connection and records the error.
func (r *errorRecorder) Read(p []byte) (n int, err error) {
	n, r.err = r.Conn.Read(p)
	return n, r.err
}

// fetch sends one poll and reads its response. reusable reports whether the connection can be used for the next poll.
func (w *Watch) fetch(ctx context.Context, conn net.Conn, reader *upstream.Reader, longPoll bool) (list *List, reusable bool, err error) {
	target, timeout := w.pollTarget(longPoll)
	if err := conn.SetDeadline(time.Now().Add(timeout)); err != nil {
		return nil, false, err
	}
	// Canceling a session sets a deadline in the past. If that happened before the call above, the call has overwritten it.
	if ctx.Err() != nil {
		return nil, false, ctx.Err()
	}
	if _, err := io.WriteString(conn, "GET "+target+" HTTP/1.1\r\nHost: "+w.Address+"\r\n\r\n"); err != nil {
		return nil, false, err
	}
	response, _, reusable, err := upstream.ReadReply(reader, false, maxListBytes, maxListBytes, nil)
	if err != nil {
		return nil, false, err
	}
	if response.Status != http.StatusOK {
		return nil, false, fmt.Errorf("%w: status %d", errUnusableResponse, response.Status)
	}
	list, err = w.Deployment.decode(response.Body, w.Log, w.shouldLog)
	if err != nil {
		return nil, false, err
	}
	if !w.HasList && !list.Complete {
		return nil, false, fmt.Errorf("%w: changes in response to a poll for the complete list", errUnusableResponse)
	}
	return list, reusable, nil
}

// pollTarget returns the request target of the next poll, and the total time that the poll may take.
func (w *Watch) pollTarget(longPoll bool) (target string, timeout time.Duration) {
	if !w.HasList {
		return listPath, w.responseTimeout
	}
	wait := immediateWait
	if longPoll {
		wait = w.longPollWait
	}
	version := strconv.FormatUint(w.Version, 10)
	waitMs := strconv.FormatInt(wait.Milliseconds(), 10)
	return listPath + "?from=" + version + "&hold_ms=" + waitMs, w.responseTimeout + wait
}
