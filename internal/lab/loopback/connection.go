package loopback

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"pearknot/balancer"
	"pearknot/internal/invariants"
	"pearknot/internal/lab/backendmodel"
)

const (
	errorDelay   = time.Millisecond // before a backend responds with an error
	writeTimeout = 5 * time.Second
)

// connection is a node's connection to a backend.
type connection struct {
	*listener
	conn  *net.TCPConn
	isNew bool // no attempt has been received on it yet
}

// receivedAttempt holds an attempt that was read from a connection.
type receivedAttempt struct {
	tryID  uint64
	number int
	work   float64
	ok     bool // whether it belongs to a try of this run
}

// serve serves attempts from one connection, one at a time, until either side closes it.
func (l *listener) serve(conn *net.TCPConn) {
	defer l.wg.Done()
	c := &connection{listener: l, conn: conn, isNew: true}
	ctx, cancel := context.WithCancel(context.Background())
	attempts := make(chan receivedAttempt)
	closed := make(chan struct{})
	defer func() {
		_ = conn.Close()
		close(closed)
		l.removeConnection(conn)
	}()
	l.wg.Add(1)
	go func() {
		defer l.wg.Done()
		defer cancel()
		c.readAttempts(attempts, closed)
	}()
	for {
		select {
		case attempt := <-attempts:
			if !c.handle(ctx, attempt) {
				return
			}
			c.isNew = false
		case <-ctx.Done():
			return
		}
	}
}

// readAttempts reads attempts until the connection is closed. It reads ahead, so that it detects when the node closes the connection
// during an execution.
func (c *connection) readAttempts(attempts chan<- receivedAttempt, closed <-chan struct{}) {
	reader := bufio.NewReader(c.conn)
	for {
		if _, err := reader.Peek(1); err != nil {
			return
		}
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		attempt := c.receive(request)
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		select {
		case attempts <- attempt:
		case <-closed:
			return
		}
	}
}

// receive records that an attempt has reached the backend.
func (c *connection) receive(request *http.Request) receivedAttempt {
	tryID, err := strconv.ParseUint(request.Header.Get(headerTraceID), 16, 64)
	if err != nil {
		return receivedAttempt{}
	}
	b := c.backend
	number, work, ok := b.monitor.attemptStarted(tryID, b.number, c.zone != b.zone)
	return receivedAttempt{tryID: tryID, number: number, work: work, ok: ok}
}

// handle processes one attempt. It reports whether the connection stays open.
func (c *connection) handle(ctx context.Context, attempt receivedAttempt) bool {
	if !attempt.ok {
		c.respond("400 Bad Request", "", "no request of this run")
		return false
	}
	if !c.simulateNetwork(ctx, attempt) {
		return false
	}
	execution, verdict := c.backend.accept(attempt.work, c.isNew)
	switch verdict {
	case backendmodel.VerdictRejected:
		c.recordOutcome(attempt, balancer.OutcomeRejected)
		return c.respond("503 Service Unavailable", "X-Never-Ran: 1\r\n", "full")
	case backendmodel.VerdictFailed:
		c.recordOutcome(attempt, balancer.OutcomeFailed)
		sleep(ctx, errorDelay)
		return c.respond("500 Internal Server Error", "", "failed")
	case backendmodel.VerdictNoResponse:
		return c.waitUntilTimedOut(ctx, attempt)
	case backendmodel.VerdictDown:
		c.recordOutcome(attempt, balancer.OutcomeConnectionReset)
		c.stopIfOverloaded()
		_ = c.conn.SetLinger(0) // serve then closes the connection with a RST
		return false
	}
	return c.finish(ctx, attempt, execution)
}

// finish waits for an execution to complete and sends the response. It reports whether the connection stays open.
func (c *connection) finish(ctx context.Context, attempt receivedAttempt, execution *execution) bool {
	b := c.backend
	b.monitor.recordEvent(invariants.Event{Kind: invariants.AttemptRan, Request: attempt.tryID, Attempt: attempt.number, Backend: b.number})
	select {
	case <-execution.done:
	case <-ctx.Done():
		b.cancel(execution)
		c.recordOutcome(attempt, balancer.OutcomeCanceled)
		return false
	}
	if !c.simulateNetwork(ctx, attempt) {
		return false
	}
	c.recordOutcome(attempt, balancer.OutcomeAnswered)
	report, header := b.loadReport(), ""
	if b.monitor.experiment.Backend.SendsReports {
		header = fmt.Sprintf("Endpoint-Load-Metrics: TEXT mean_ms=%.3f, inflight=%d\r\n", report.Service, report.InFlight)
	}
	return c.respond("200 OK", header, responseBody(attempt.tryID))
}

// simulateNetwork waits for the one-way network delay and returns true. If packets are dropped, it waits until the node closes the
// connection, and returns false.
func (c *connection) simulateNetwork(ctx context.Context, attempt receivedAttempt) bool {
	sleep(ctx, c.backend.networkDelay(c.zone))
	if c.isSilent(c.conn) {
		return c.waitUntilTimedOut(ctx, attempt)
	}
	return true
}

// waitUntilTimedOut waits until the node closes the connection, since no response will come. It returns false.
func (c *connection) waitUntilTimedOut(ctx context.Context, attempt receivedAttempt) bool {
	<-ctx.Done()
	c.recordOutcome(attempt, balancer.OutcomeTimedOut)
	return false
}

// stopIfOverloaded stops the backend if it has just crashed from overload. Stopping closes this connection too, so it runs in the
// background.
func (c *connection) stopIfOverloaded() {
	b := c.backend
	if status := b.status(); !status.isUp || !status.isOverloaded {
		return
	}
	b.monitor.mu.Lock()
	b.monitor.overloaded++
	b.monitor.mu.Unlock()
	go b.stop(false)
}

func (c *connection) recordOutcome(attempt receivedAttempt, outcome balancer.Outcome) {
	c.backend.monitor.recordEvent(invariants.Event{
		Kind:    invariants.AttemptEnded,
		Request: attempt.tryID,
		Attempt: attempt.number,
		Outcome: outcome,
	})
}

// responseBody returns the response body for a try. It contains the try's ID, so that the client can check that a backend made it.
func responseBody(tryID uint64) string { return fmt.Sprintf("done %016x", tryID) }

// respond writes a response. The header consists of complete lines, each with its CRLF. It reports whether the connection stays open.
func (c *connection) respond(status, header, body string) bool {
	_ = c.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := fmt.Fprintf(c.conn, "HTTP/1.1 %s\r\n%sContent-Length: %d\r\n\r\n%s", status, header, len(body), body)
	return err == nil
}
