// Package server takes clients' requests on net/http's server and gives each its one response. Beyond net/http it decides
// which connections to accept, tracks where requests begin and end on a connection, notices clients that disconnect, and
// shuts down without losing a request that it has taken.
//
// "Admission" in this package is that of connections, by internal/admission. The balancer has its own admission, of
// requests, in balancer/admission.go.
//
// The texts in the bodies of 4xx responses are part of the protocol. Clients and their operators match them, so they keep
// their words: "op" is a request, "odd" means malformed, and "category" is a class.
package server

import (
	"errors"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"pearknot/internal/admission"
	"pearknot/internal/clock"
	"pearknot/internal/config"
	"pearknot/internal/descriptors"
	"pearknot/internal/node"
	"pearknot/internal/throttledlog"
)

const (
	// readTimeout is for reading a request, from its first byte or from the start of the connection. By the operators'
	// contract a client that sends no complete request gets a 4xx or the end of its connection within 3 s (docs/oncall.md,
	// "Misbehaving clients"); the rest of that time is for a connection that waits for a file descriptor before it is accepted.
	readTimeout = 2200 * time.Millisecond

	// writeTimeout is for writing a response, and restarts with each part of a long one.
	writeTimeout = 5 * time.Second

	// idleTimeout is for a connection between requests: some clients send one request and never close theirs.
	idleTimeout = 5 * time.Second

	// maxHeaderBytes bounds a request's header; net/http allows 4 KiB more.
	maxHeaderBytes = 12 << 10

	// minIdleBeforeClose is how long a connection has had no request when it may be closed to free its descriptor.
	// Sooner, a request may be on its way, and would fail if it is the connection's first.
	minIdleBeforeClose = 2 * time.Second

	// malformedLogInterval is the least time between two log lines on malformed requests.
	malformedLogInterval = time.Second
)

// Server is the clients' side of a node. Its methods may be called from any goroutine, those that say so only before
// Serve.
type Server struct {
	node       *node.Node
	deployment atomic.Pointer[config.Deployment]
	clock      *clock.Clock
	budget     *descriptors.Budget
	log        *slog.Logger

	httpServer     http.Server
	listener       *listener
	tlsListener    *tlsListener        // nil where no TLS is served
	admitter       *connectionAdmitter // nil admits every connection
	requestLogging *RequestLogging     // nil where no request is logged
	serveDone      chan struct{}       // closed when Serve has ended

	outOfService  atomic.Bool  // set by an operator or the agent
	shuttingDown  atomic.Bool  // the health check sends no more clients here
	draining      atomic.Bool  // responses ask clients to close their connections
	handedOff     atomic.Bool  // another process serves in this one's place: the node stays in service
	quiesce       quiesce      // whether clients are sent away while the node runs on
	lastRequestAt atomic.Int64 // Unix ms
	openRequests  atomic.Int64 // requests that were taken and have no response yet

	mu        sync.Mutex
	idleConns map[net.Conn]time.Time // connections without a request, and since when
	openIDs   map[string]struct{}    // of the open requests

	malformedLog *throttledlog.Throttle
}

// New makes a server that passes requests to n.
func New(n *node.Node, deployment *config.Deployment, nodeClock *clock.Clock, budget *descriptors.Budget, log *slog.Logger) *Server {
	s := &Server{
		node:         n,
		clock:        nodeClock,
		budget:       budget,
		log:          log,
		serveDone:    make(chan struct{}),
		idleConns:    map[net.Conn]time.Time{},
		openIDs:      map[string]struct{}{},
		malformedLog: throttledlog.New(malformedLogInterval),
	}
	s.deployment.Store(deployment)
	s.httpServer = http.Server{
		Handler:           s,
		ReadHeaderTimeout: readTimeout,
		ReadTimeout:       readTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          slog.NewLogLogger(log.Handler(), slog.LevelDebug),
		ConnContext:       withConn,
		ConnState:         s.trackConnState,
	}
	return s
}

// EnableAdmission limits clients' connections. It is called before Listen. onPressure is called whenever connections become
// scarce (true) or suffice again (false); it must not block.
func (s *Server) EnableAdmission(limits admission.Limits, onPressure func(underPressure bool)) {
	limits.MaxConnections = max(s.budget.MaxClients()-refusalReserve, 1)
	s.admitter = &connectionAdmitter{
		clock:      s.clock,
		controller: admission.New(limits),
		conns:      map[uint64]*clientConn{},
		onPressure: onPressure,
	}
}

// SetAdmissionLimits replaces the limits. EnableAdmission must have been called.
func (s *Server) SetAdmissionLimits(limits admission.Limits) { s.admitter.setLimits(limits) }

// ClientStats returns which clients are connected. EnableAdmission must have been called.
func (s *Server) ClientStats() ClientStats { return s.admitter.stats() }

// Reconfigure sets the deployment for the requests that come from now on. The node must have it already.
func (s *Server) Reconfigure(deployment *config.Deployment) { s.deployment.Store(deployment) }

// Listen opens the address for plain HTTP; connections are taken from Serve on. With reusePort another process of the
// node may listen there as well.
func (s *Server) Listen(address string, reusePort bool) error {
	tcp, err := listenTCP(address, reusePort)
	if err != nil {
		return err
	}
	s.listener = &listener{TCPListener: tcp, budget: s.budget, admitter: s.admitter}
	return nil
}

// ListenTLS opens the address for TLS; connections are taken from Serve on. They count towards the same descriptor budget,
// whose size is maxDescriptors; at most a quarter of it may be in handshakes.
func (s *Server) ListenTLS(config TLSConfig, maxDescriptors int) error {
	tcp, err := listenTCP(config.Address, config.ReusePort)
	if err != nil {
		return err
	}
	inner := &listener{TCPListener: tcp, budget: s.budget, admitter: s.admitter}
	s.tlsListener = newTLSListener(inner, config, maxDescriptors)
	return nil
}

func listenTCP(address string, reusePort bool) (*net.TCPListener, error) {
	listen := net.Listen
	if reusePort {
		listen = listenReusePort
	}
	l, err := listen("tcp", address)
	if err != nil {
		return nil, err
	}
	return l.(*net.TCPListener), nil
}

// SetSessionTicketKeys sets the keys of TLS session tickets: the first one encrypts new tickets, all decrypt. Open
// connections are not affected.
func (s *Server) SetSessionTicketKeys(keys [][32]byte) { s.tlsListener.setSessionTicketKeys(keys) }

// HandshakeStats returns the counts of TLS handshakes.
func (s *Server) HandshakeStats() HandshakeStats { return s.tlsListener.stats() }

// Address returns the address at which plain HTTP is served.
func (s *Server) Address() string { return s.listener.Addr().String() }

// TLSAddress returns the address at which TLS is served.
func (s *Server) TLSAddress() string { return s.tlsListener.Addr().String() }

// Serve takes connections until Drain or DrainForHandoff has ended it, or a listener fails.
func (s *Server) Serve() error {
	defer close(s.serveDone)
	if s.tlsListener == nil {
		return s.serveListener(s.listener)
	}
	go s.tlsListener.run()
	ended := make(chan error, 2)
	go func() { ended <- s.serveListener(s.tlsListener) }()
	go func() { ended <- s.serveListener(s.listener) }()
	if err := <-ended; err != nil { // the node ends with either
		return err
	}
	return <-ended
}

func (s *Server) serveListener(l net.Listener) error {
	err := s.httpServer.Serve(l)
	if errors.Is(err, net.ErrClosed) || errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

func (s *Server) hasEnded() bool {
	select {
	case <-s.serveDone:
		return true
	default:
		return false
	}
}

// SetOutOfService sets whether the health check reports the node as out of service. Requests that come are served all the
// same.
func (s *Server) SetOutOfService(out bool) { s.outOfService.Store(out) }

// ServiceState reports whether the health check would send clients here, and whether the node is shutting down.
func (s *Server) ServiceState() (inService, shuttingDown bool) {
	shuttingDown = s.shuttingDown.Load()
	inService = !s.outOfService.Load() && (!shuttingDown || s.handedOff.Load()) && !s.quiesce.isOn()
	return inService, shuttingDown
}

// CloseIdleConnections closes clients' connections that have had no request for a while, to free descriptors. A client
// whose request crosses the close sends it again on another connection.
func (s *Server) CloseIdleConnections() {
	s.closeIdle(minIdleBeforeClose, closePartial)
	if s.tlsListener != nil {
		s.tlsListener.evictSilent(silentEvictionAge)
	}
}

// partialRequests says what becomes of idle connections on which a part of a request has come.
type partialRequests bool

const (
	sparePartial partialRequests = false
	closePartial partialRequests = true
)

// closeIdle closes connections that have had no request for minIdle. It never closes one with unread data: that may be a
// request, which would be lost.
func (s *Server) closeIdle(minIdle time.Duration, partial partialRequests) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn, since := range s.idleConns {
		c := conn.(*clientConn)
		if time.Since(since) < minIdle || partial == sparePartial && c.isWithinRequest() || c.hasUnreadData() {
			continue
		}
		_ = c.Close()
		delete(s.idleConns, conn)
	}
}

// trackConnState is net/http's hook for changes of a connection's state.
func (s *Server) trackConnState(conn net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew, http.StateIdle:
		s.idleConns[conn] = time.Now()
	default:
		delete(s.idleConns, conn)
	}
}
