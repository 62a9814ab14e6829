package discovery

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"

	"pearknot/internal/upstream"
)

const (
	// turn is how long an answer may take beside what its call waits for: calls are worked through in turn, and one that
	// waited for over two seconds fails.
	answerTimeout = 2200 * time.Millisecond
	// hold is how long a call waits for news. A connection may fall silent without an end, and what its service then has to
	// tell counts as told 6 s later, whether or not it came. Of that, 0.1 s (apart), hold and turn may pass until the silence
	// is noticed, and turn until one more call, that waits for nothing, has had its answer: 5.7 s, and 0.3 s to connect. The
	// more of it is turn and the less hold, the fewer calls are given up that are only late, which costs the one service of
	// all nodes another watch's beginning; going on with one costs it next to nothing.
	longPollWait = 1200 * time.Millisecond
	// atOnce is the wait of a call that has only to tell what there is. Not zero, which some would read as none given.
	immediateWait = time.Millisecond
	// apart is the least time between the starts of two calls, well within the 200 ms in which a watch goes on.
	minPollInterval = 100 * time.Millisecond
	// spread is the most that passes from a call that was given up until the next, spread evenly: silence is a way that is cut, not
	// a service with too many callers, which says so. The way may be whole again as that call begins, and what there is to tell is
	// to be in hand 6 s later: turn, spread and turn are 5.6 s. The module's own waits, for calls that were turned away, take longer.
	maxTimeoutBackoff = 1200 * time.Millisecond

	relogInterval  = time.Minute // between two lines on one odd entry
	maxLoggedNames = 1000        // names whose lines are remembered
	maxListSize    = 4 << 20     // bytes of an answer
)

// Watch is the list's actor: one call at a time, on one connection. It asks when it is told to and goes on until
// a call fails; when to ask again is the module's to say. Where to ask may change while it goes on.
type Watch struct {
	Address     string
	Deployment  DeploymentNames
	Version     uint64 // of the list held at the start
	HasList     bool   // there was one
	Log         *slog.Logger
	OnList      func(*List) // takes news; must not block
	OnFailure   func()      // takes a failed call; must not block
	LocalSource bool        // its source is this machine's own, and may be asked as often as need be

	longPollWait, answerTimeout, minPollInterval, maxTimeoutBackoff time.Duration                                                        // a test's own, else as above
	dial                                                            func(ctx context.Context, network, address string) (net.Conn, error) // likewise
	lastLogged                                                      map[string]time.Time                                                 // when an odd entry was last logged, by name

	failing   bool // no answer has come since the latest failure
	restarted bool // the list has begun anew, and no change of it come since

	pollRequested chan struct{}
	mu            sync.Mutex
	nextAddress   *string            // where to ask from now on, not yet taken up
	cancelSession context.CancelFunc // of the watch that goes on
}

// Start runs the actor until ctx ends.
func (w *Watch) Start(ctx context.Context) {
	w.pollRequested, w.cancelSession, w.lastLogged = make(chan struct{}, 1), func() {}, map[string]time.Time{}
	w.longPollWait, w.answerTimeout, w.minPollInterval = cmp.Or(w.longPollWait, longPollWait), cmp.Or(w.answerTimeout, answerTimeout), cmp.Or(w.minPollInterval, minPollInterval)
	w.maxTimeoutBackoff = cmp.Or(w.maxTimeoutBackoff, maxTimeoutBackoff)
	if w.dial == nil {
		w.dial = (&net.Dialer{Timeout: w.answerTimeout}).DialContext
	}
	go w.run(ctx)
}

// Ask begins a watch; while one goes on it changes nothing.
func (w *Watch) Poll() {
	select {
	case w.pollRequested <- struct{}{}:
	default:
	}
}

// Move ends the watch that goes on and asks at once for the whole list, at that address from now on.
func (w *Watch) SetAddress(address string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.nextAddress = &address
	w.cancelSession()
	w.Poll()
}

func (w *Watch) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-w.pollRequested:
		}
		one, end := w.beginSession(ctx)
		err := w.pollUntilFailure(one)
		end()
		if ctx.Err() != nil {
			return
		}
		if w.consumeRequest() {
			continue
		}
		if !w.LocalSource || !w.failing { // of its own source the first in a row is enough
			w.Log.Warn("list call failed", "address", w.Address, "error", err)
			w.OnFailure()
		}
		switch w.failing = true; {
		case w.LocalSource: // what it has at its return counts as told at once
			time.AfterFunc(w.minPollInterval, w.Poll)
		case isTimeout(err):
			time.AfterFunc(rand.N(w.maxTimeoutBackoff), w.Poll)
		}
	}
}

// givenUp tells whether it was this side that ended a call, or a connection that did not come up.
func isTimeout(err error) bool {
	var silent net.Error
	return errors.As(err, &silent) && silent.Timeout()
}

// begin takes up a move: versions of two addresses have nothing to do with each other, and the first call at a new
// one is for the whole list.
func (w *Watch) beginSession(ctx context.Context) (context.Context, context.CancelFunc) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.nextAddress != nil {
		w.Address, w.Version, w.HasList, w.restarted, w.nextAddress = *w.nextAddress, 0, false, false, nil
	}
	one, end := context.WithCancel(ctx)
	w.cancelSession = end
	return one, end
}

// moved tells whether a watch ended for a move, which is no failure and has asked for the next one. What else was
// asked while it went on was answered by it.
func (w *Watch) consumeRequest() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.nextAddress == nil {
		select {
		case <-w.pollRequested:
		default:
		}
	}
	return w.nextAddress != nil
}

// watch makes calls until one fails. Where a connection breaks or falls silent after there have been answers, another
// is tried at once, and only once: it tells nothing of the list's service itself. The first call of all, and that after
// a silence, does not wait for news: what there is to tell may be late already, and a second silence must not cost the
// time of a wait as well.
func (w *Watch) pollUntilFailure(ctx context.Context) error {
	for heard, wait := false, false; ; {
		more, err := w.pollConnection(ctx, wait)
		heard = heard || more
		if err == nil {
			wait = true
			continue
		}
		silent := errors.Is(err, os.ErrDeadlineExceeded)
		if ctx.Err() != nil || errors.Is(err, errNoList) || !heard && !(silent && wait && w.HasList) {
			return err
		}
		w.Log.Debug("list connection broke", "error", err)
		heard, wait = false, !silent
	}
}

// errNoList is an answer that is no list: its service has more calls than it can take, or is not what it should be.
var errNoList = errors.New("no list")

// connected makes calls on one connection until one fails or discovery wants another connection; heard tells whether
// any was answered, wait whether the first waits for news.
func (w *Watch) pollConnection(ctx context.Context, wait bool) (heard bool, err error) {
	c, err := w.dial(ctx, "tcp", w.Address)
	if err != nil {
		return false, err
	}
	defer c.Close()
	defer context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })()
	from := &errorRecorder{Conn: c}
	r := upstream.NewReader(from)
	for keep := true; keep; wait = true {
		begun := time.Now()
		var list *List
		if list, keep, err = w.fetch(ctx, c, r, wait); err != nil {
			if from.err != nil && !errors.Is(err, from.err) {
				err = fmt.Errorf("%w: %w", err, from.err)
			}
			return heard, err
		}
		if ctx.Err() != nil { // came as the watch was ended: it is not the new address's to add to
			return true, ctx.Err()
		}
		heard, w.failing = true, false
		if !list.Complete && list.Version < w.Version {
			// Its service has begun anew: what changed since is not to be added to what it told before.
			w.HasList = false
			if w.restarted { // just after the whole list: no end would come to asking for that
				return true, fmt.Errorf("%w: changes up to %d where %d is held", errNoList, list.Version, w.Version)
			}
			w.Log.Warn("list has begun anew, asking for all of it", "version", list.Version, "held", w.Version)
			w.restarted = true
		} else {
			w.restarted = w.restarted && list.Complete
			w.Version, w.HasList = list.Version, true
			w.OnList(list)
		}
		select {
		case <-ctx.Done():
			return true, ctx.Err()
		case <-time.After(w.minPollInterval - time.Since(begun)):
		}
	}
	return true, nil
}

// source keeps the error that reading it ended with. Who reads lines takes what came before a silence for a line, and
// finds fault with that instead.
type errorRecorder struct {
	net.Conn
	err error
}

func (s *errorRecorder) Read(p []byte) (n int, err error) {
	n, s.err = s.Conn.Read(p)
	return n, s.err
}

func (w *Watch) fetch(ctx context.Context, c net.Conn, r *upstream.Reader, wait bool) (list *List, keep bool, err error) {
	target, within := "/catalog/members", w.answerTimeout
	if w.HasList {
		waits := immediateWait
		if wait {
			waits = w.longPollWait
		}
		target += "?from=" + strconv.FormatUint(w.Version, 10) + "&hold_ms=" + strconv.FormatInt(waits.Milliseconds(), 10)
		within += waits
	}
	if err := c.SetDeadline(time.Now().Add(within)); err != nil {
		return nil, false, err
	}
	if ctx.Err() != nil { // a move that the time set just now would undo
		return nil, false, ctx.Err()
	}
	if _, err := io.WriteString(c, "GET "+target+" HTTP/1.1\r\nHost: "+w.Address+"\r\n\r\n"); err != nil {
		return nil, false, err
	}
	answer, _, keep, err := upstream.ReadReply(r, false, maxListSize, maxListSize)
	switch {
	case err != nil:
		return nil, false, err
	case answer.Status != http.StatusOK:
		return nil, false, fmt.Errorf("%w: answered %d", errNoList, answer.Status)
	}
	if list, err = w.Deployment.decode(answer.Body, w.Log, w.shouldLog); err != nil {
		return nil, false, err
	}
	if !w.HasList && !list.Complete { // changes of what is not held
		return nil, false, fmt.Errorf("%w: changes alone", errNoList)
	}
	return list, keep, nil
}

// say tells whether a line on an odd entry is due: a list may come ten times a second, and the same entry with each.
func (w *Watch) shouldLog(name string) bool {
	now := time.Now()
	if last, said := w.lastLogged[name]; said && now.Sub(last) < relogInterval {
		return false
	}
	if len(w.lastLogged) >= maxLoggedNames {
		clear(w.lastLogged)
	}
	w.lastLogged[name] = now
	return true
}
