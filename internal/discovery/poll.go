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

// listPath is the discovery service's resource. Its parameters are "from", the version that the client has, and
// "hold_ms", how long the service may wait for a later one. Without them it answers with the complete list at once.
const listPath = "/catalog/members"

// maxListSize bounds an encoded list, in bytes.
const maxListSize = 4 << 20

// errNoList means that the service answered, but not with a list that can be used: it is overloaded or broken, and
// another poll at once would not help.
var errNoList = errors.New("no endpoint list")

// pollUntilFailure polls until a poll fails, and returns its error.
//
// A connection that breaks or falls silent says nothing about the service if there were answers before, so another one
// is tried at once, but only once. The very first poll and the one after a silence don't wait for an event: what there
// is to say may be late already, and a second silence must not cost the time of a long poll as well.
func (w *Watch) pollUntilFailure(ctx context.Context) error {
	answered, longPoll := false, false
	for {
		anyAnswer, err := w.pollConnection(ctx, longPoll)
		answered = answered || anyAnswer
		if err == nil {
			longPoll = true
			continue
		}
		isSilent := errors.Is(err, os.ErrDeadlineExceeded)
		canRetry := answered || isSilent && longPoll && w.HasList
		if ctx.Err() != nil || errors.Is(err, errNoList) || !canRetry {
			return err
		}
		w.Log.Debug("endpoint list connection failed", "error", err)
		answered, longPoll = false, !isSilent
	}
}

// pollConnection polls on one connection until a poll fails or the service closes the connection after an answer, which
// is no error. answered reports whether any poll was answered. longPoll says whether the first poll waits for an event;
// all others do.
func (w *Watch) pollConnection(ctx context.Context, longPoll bool) (answered bool, err error) {
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
			return answered, err
		}
		if ctx.Err() != nil { // the list arrived as its session was cancelled: it does not belong to the new address
			return true, ctx.Err()
		}
		answered, w.failing = true, false
		if err := w.accept(list); err != nil {
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

// accept passes a list on, unless it holds changes of a lower version than the owner's list.
//
// The service has restarted then, and counts its versions from the beginning: its changes must not be merged into the
// list from before the restart. The next poll asks for the complete list. If changes of a lower version come again right
// after that, asking once more would never end, and accept fails.
func (w *Watch) accept(list *List) error {
	if list.Complete || list.Version >= w.Version {
		w.restarted = w.restarted && list.Complete
		w.Version, w.HasList = list.Version, true
		w.OnList(list)
		return nil
	}
	w.HasList = false
	if w.restarted {
		return fmt.Errorf("%w: changes up to version %d after the list of version %d", errNoList, list.Version, w.Version)
	}
	w.Log.Warn("endpoint list restarted at a lower version, polling the complete list", "version", list.Version, "previous_version", w.Version)
	w.restarted = true
	return nil
}

// errorRecorder keeps the error that the latest read ended with. A reader of lines takes what came before a timeout for
// a line and reports that as malformed; the timeout itself would be lost.
type errorRecorder struct {
	net.Conn
	err error
}

// Read reads from the connection and records the error.
func (r *errorRecorder) Read(p []byte) (n int, err error) {
	n, r.err = r.Conn.Read(p)
	return n, r.err
}

// fetch makes one poll. reusable reports whether the connection can carry the next one.
func (w *Watch) fetch(ctx context.Context, conn net.Conn, reader *upstream.Reader, longPoll bool) (list *List, reusable bool, err error) {
	target, timeout := w.pollTarget(longPoll)
	if err := conn.SetDeadline(time.Now().Add(timeout)); err != nil {
		return nil, false, err
	}
	// A cancelled session sets a deadline in the past. If that happened before the line above, it was just undone.
	if ctx.Err() != nil {
		return nil, false, ctx.Err()
	}
	if _, err := io.WriteString(conn, "GET "+target+" HTTP/1.1\r\nHost: "+w.Address+"\r\n\r\n"); err != nil {
		return nil, false, err
	}
	response, _, reusable, err := upstream.ReadReply(reader, false, maxListSize, maxListSize)
	if err != nil {
		return nil, false, err
	}
	if response.Status != http.StatusOK {
		return nil, false, fmt.Errorf("%w: status %d", errNoList, response.Status)
	}
	list, err = w.Deployment.decode(response.Body, w.Log, w.shouldLog)
	if err != nil {
		return nil, false, err
	}
	if !w.HasList && !list.Complete {
		return nil, false, fmt.Errorf("%w: changes in answer to a poll for the complete list", errNoList)
	}
	return list, reusable, nil
}

// pollTarget returns the target of the next poll, and the time that it may take in all.
func (w *Watch) pollTarget(longPoll bool) (target string, timeout time.Duration) {
	if !w.HasList {
		return listPath, w.answerTimeout
	}
	wait := immediateWait
	if longPoll {
		wait = w.longPollWait
	}
	version := strconv.FormatUint(w.Version, 10)
	waitMs := strconv.FormatInt(wait.Milliseconds(), 10)
	return listPath + "?from=" + version + "&hold_ms=" + waitMs, w.answerTimeout + wait
}
