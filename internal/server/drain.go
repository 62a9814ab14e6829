package server

import (
	"context"
	"time"
)

const (
	// shutdownQuietPeriod is how long a node that shuts down must have had no request before it stops serving, and the minimum
	// time that it goes on serving: new clients still connect until the failing health check has been noticed.
	shutdownQuietPeriod = 500 * time.Millisecond

	// listenerQuietPeriod is how long a listener's queue must be empty before the listener closes, and the interval at which a
	// node that shuts down checks whether requests still arrive.
	listenerQuietPeriod = 50 * time.Millisecond
)

// EndWaitsAt sets the time, in ms of the node's clock, by which every client that still waits is answered, because the node is
// about to end. It is called once, beside node.Drain with an earlier deadline. A client may wait for:
//   - a backend, or its turn: the node has shortened the request's deadline, and answers;
//   - the outcome of its key, which another request has (serveLogged): it is told to ask again with the key;
//   - the record of its request's answer, while the request log has no quorum (submitLogged): likewise;
//   - the other process of the node, about its id: that takes otherProcessTimeout at most;
//   - the rest of a response that it reads: see Drain and DrainForHandoff.
func (s *Server) EndWaitsAt(deadline float64) {
	time.AfterFunc(time.Until(s.clock.Time(deadline)), func() { close(s.waitsEnded) })
}

// ServeUntilQuiet goes on serving while requests arrive, for at most maxWait: clients use their connections as long as these
// stay open, and may not be connected to another node yet. It returns early once isHandedOff reports true. The caller then
// calls Drain, or DrainForHandoff if another process has replaced this one.
func (s *Server) ServeUntilQuiet(maxWait time.Duration, isHandedOff func() bool) {
	s.shuttingDown.Store(true)
	s.lastRequestAt.Store(time.Now())
	start := time.Now()
	for time.Since(start) < maxWait && !isHandedOff() {
		lastRequestAt, _ := s.lastRequestAt.Load()
		if time.Since(start) > shutdownQuietPeriod && time.Since(lastRequestAt) > shutdownQuietPeriod && s.openRequests.Load() == 0 {
			break
		}
		time.Sleep(listenerQuietPeriod)
	}
}

// Drain ends serving: it asks clients to close their connections, accepts no new ones, and waits until all requests have
// responses or ctx is done. It returns the number of requests without a response.
func (s *Server) Drain(ctx context.Context) int64 {
	s.shuttingDown.Store(true)
	s.draining.Store(true)
	// Clients whose idle connections are closed reconnect, and the listener must still be open for them.
	for range 2 {
		s.closeIdle(listenerQuietPeriod, keepPartial)
		time.Sleep(listenerQuietPeriod)
	}
	for _, l := range s.listeners() {
		l.drain()
	}
	s.closeUntilEmpty(ctx, func(time.Duration) time.Duration { return listenerQuietPeriod })
	_ = s.httpServer.Shutdown(ctx) // requests that are still open by then are counted in the result
	return s.openRequests.Load()
}

// DrainForHandoff ends serving while another process of the node serves. New connections go to that process; those in this
// listener's queue are still accepted. Each connection is closed after its response, or when it is idle. It waits until no
// connection is left or ctx is done, and returns the number of requests without a response.
func (s *Server) DrainForHandoff(ctx context.Context) int64 {
	s.handedOff.Store(true)
	s.shuttingDown.Store(true)
	s.draining.Store(true)
	for _, l := range s.listeners() {
		if err := steerToNextProcess(l.TCPListener); err != nil {
			s.log.Warn("steering new connections to the next process failed", "error", err)
		}
		l.drain()
	}
	s.closeUntilEmpty(ctx, func(elapsed time.Duration) time.Duration {
		if elapsed > quiesceCloseAll {
			return quiesceTick
		}
		return quiesceIdle
	})
	s.closeIdle(0, closePartial)
	_ = s.httpServer.Shutdown(ctx)
	return s.openRequests.Load()
}

// listeners returns the TCP listeners of plain HTTP and, if it is served, TLS.
func (s *Server) listeners() []*listener {
	if s.tlsListener == nil {
		return []*listener{s.listener}
	}
	return []*listener{s.listener, s.tlsListener.inner}
}

// closeUntilEmpty closes idle connections until none is left or ctx is done; minIdle returns how long they must be idle, as a
// function of the time since the start. net/http's Shutdown is called after this, because it would also close connections
// with an unread request.
func (s *Server) closeUntilEmpty(ctx context.Context, minIdle func(elapsed time.Duration) time.Duration) {
	start, tick := time.Now(), time.NewTicker(listenerQuietPeriod)
	defer tick.Stop()
	for ctx.Err() == nil && (s.budget.Clients() > 0 || !s.hasEnded()) {
		s.closeIdle(minIdle(time.Since(start)), keepPartial)
		select {
		case <-tick.C:
		case <-ctx.Done():
		}
	}
}
