package upstream

import (
	"errors"
	"io"
	"net"
	"os"
	"time"

	"pearknot/balancer"
	"pearknot/internal/writestall"
)

// exchange writes a call's request and reads the response. It uses the connection exclusively and does not close it.
func (b *Backend) exchange(call *Call, c *conn) (Result, connState) {
	if !b.acceptsAttempts.Load() { // a drain began while the connection was being established
		return Result{Outcome: balancer.OutcomeNotSent}, connReusable
	}
	timeout, ok := call.start(c)
	if !ok {
		return Result{Outcome: balancer.OutcomeNotSent}, connReusable
	}
	if failure, state := b.writeMessage(call, c, timeout); failure != nil {
		return *failure, state
	}
	firstByteAt := c.reader.waitFirstByte()
	response, rest, reusable, err := ReadReply(c.reader, call.Message.isHead, MaxBody, MaxBufferedBody, b.config.Memory)
	wasCanceled := call.release()
	if err != nil {
		return b.readFailed(c, err, wasCanceled), connClosed
	}

	report := b.loadReport(response)
	state := connClosed
	switch {
	case response.Stream != nil:
		b.attachStream(response, c, rest, reusable)
		state = connStreaming
	case reusable:
		state = connReusable
	case c.reader.Buffered() > 0:
		state = connSurplus
	}
	return Result{Outcome: response.outcome(), SinceFirstByte: time.Since(firstByteAt), Reply: response, Report: report}, state
}

// writeMessage writes the call's request, including the body that is still to come from the client. It returns nil if all of
// it was written, and otherwise the call's result and what can be done with the connection.
func (b *Backend) writeMessage(call *Call, c *conn, timeout time.Duration) (failure *Result, state connState) {
	message := call.Message.buffers(float64(timeout.Microseconds()) / 1e3)
	if call.Message.IsStreamed() {
		return b.writeStreamedMessage(call, c, message)
	}
	if written, err := message.WriteTo(c.Conn); err != nil {
		return b.writeFailed(call, written, err)
	}
	return nil, connReusable
}

// writeStreamedMessage is writeMessage for a streamed body, of which message has the beginning. If the backend stops reading, the
// write fails, although the client may have time left.
func (b *Backend) writeStreamedMessage(call *Call, c *conn, message net.Buffers) (failure *Result, state connState) {
	monitor := writestall.Start(c.ackedBytes(), StallTimeout, func() { call.ShortenDeadline(time.Now()) })
	defer monitor.Stop()
	monitor.BeginWrite()
	written, err := message.WriteTo(c.Conn)
	monitor.EndWrite()
	if err != nil {
		return b.writeFailed(call, written, err)
	}
	readErr, err := call.sendBody(c, monitor, b.config.Memory)
	if readErr != nil { // the client failed; the backend never got the complete request, so it did not run it
		call.release()
		b.config.Log.Debug("client request body read failed", "backend", b.name, "error", readErr)
		return &Result{Outcome: balancer.OutcomeNotSent}, connClosed
	}
	if err != nil {
		return b.writeFailed(call, written, err)
	}
	return nil, connReusable
}

// writeFailed returns the result of a call whose request could not be written. A write reports an error only if bytes are
// left, so the request never arrived complete and can't have run. The outcomes therefore are those of an attempt that never
// ran: OutcomeNotSent, although a part may have been sent, if the failure was not the backend's, and otherwise
// OutcomeConnectFailed.
func (b *Backend) writeFailed(call *Call, written int64, err error) (*Result, connState) {
	wasCanceled := call.release()
	b.config.Log.Debug("backend request write failed", "backend", b.name, "written", written, "error", err)
	switch {
	case wasCanceled: // by this node, so the failure was not the backend's
		return &Result{Outcome: balancer.OutcomeNotSent}, connClosed
	case !call.Message.IsStreamed():
		return &Result{Outcome: balancer.OutcomeConnectFailed}, connWriteFailed
	}
	// The part of a streamed body that was sent is no longer available, so the request can't be written again.
	return &Result{Outcome: balancer.OutcomeConnectFailed}, connClosed
}

// readFailed returns the result of a call whose response could not be read.
func (b *Backend) readFailed(c *conn, err error, wasCanceled bool) Result {
	switch {
	case wasCanceled:
		return Result{Outcome: balancer.OutcomeCanceled}
	case errors.Is(err, os.ErrDeadlineExceeded):
		return Result{Outcome: balancer.OutcomeTimedOut}
	}
	b.config.Log.Debug("backend response read failed", "backend", b.name, "error", err, "reused", c.reused,
		"idle_ms", c.idleBefore.Milliseconds())
	return Result{Outcome: balancer.OutcomeConnectionReset}
}

// loadReport decodes the response's load report and removes its header, which is meant for this node and not for the client.
func (b *Backend) loadReport(response *Reply) balancer.LoadReport {
	report, invalid := response.parseLoadReport(b.config.SetReportValue)
	if invalid != "" {
		b.invalidReportLogLimiter.Do(func() {
			b.config.Log.Warn("load report invalid, ignored", "backend", b.name, "report", invalid)
		})
	}
	response.Header.Del(loadReportHeader)
	return report
}

// attachStream connects the response's stream to the connection, to read the rest of the body. The call's deadline no longer
// applies, since the first bytes came in time; from here on each read has a timeout of its own.
func (b *Backend) attachStream(response *Reply, c *conn, rest io.Reader, reusable bool) {
	stream := response.Stream
	stream.body, stream.conn, stream.reusable = rest, c, reusable
	stream.remaining = MaxBody - int64(len(response.Body))
	stream.returnConn = func(reusable bool) { b.mailbox.Put(func() { b.returnConn(c, reusable) }) }
	_ = c.SetDeadline(time.Time{})
}
