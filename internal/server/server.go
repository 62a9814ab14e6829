// Package server receives clients' requests through net/http's server and sends exactly one response to each. Beyond net/http
// it decides which connections to accept, tracks where requests begin and end on a connection, notices clients that
// disconnect, and shuts down without losing a request that it has accepted.
//
// "Admission" in this package means admission of connections, by internal/admission. The balancer has its own admission of
// requests, in balancer/admission.go.
//
// The texts in the bodies of 4xx responses are part of the protocol. Clients and their operators match them, so they must not
// change: "op" is a request, "odd" means malformed, and "category" is a class.
package server

import (
	"errors"
	"log/slog"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"pearknot/internal/admission"
	"pearknot/internal/clock"
	"pearknot/internal/config"
	"pearknot/internal/descriptors"
	"pearknot/internal/memory"
	"pearknot/internal/node"
	"pearknot/internal/tcpinfo"
	"pearknot/internal/throttledlog"
)

const (
	// readTimeout is the timeout for reading a request, from its first byte or from the start of the connection. By the operators'
	// contract a client that sends no complete request gets a 4xx or the end of its connection within 3 s (docs/oncall.md,
	// "Misbehaving clients"); the rest of that time is for a connection that waits for a file descriptor before it is accepted.
	readTimeout = 2200 * time.Millisecond

	// writeTimeout is the timeout for writing a response. For a long one it counts from when the client should have read what
	// it has been sent, see package writestall.
	writeTimeout = 5 * time.Second

	// idleTimeout is the timeout of a connection between requests: some clients send one request and never close theirs.
	idleTimeout = 5 * time.Second

	// maxHeaderBytes is the maximum size of a request's header; net/http allows 4 KiB more.
	maxHeaderBytes = 12 << 10

	// minIdleBeforeClose is how long a connection must have had no request before it may be closed to free its descriptor and
	// memory. Sooner, a request may be in transit, and would fail if it is the connection's first. While clients wait to be
	// accepted, the longest idle ones are closed sooner in their favour.
	minIdleBeforeClose        = 2 * time.Second
	minIdleWhileClientsWait   = 500 * time.Millisecond
	spareClosesForWaitingOnes = 8 // clients that arrive meanwhile

	// malformedLogInterval is the minimum time between two log lines about malformed or refused requests.
	malformedLogInterval = time.Second
)

// Server is the client-facing HTTP server of a node. Its methods may be called from any goroutine, but those documented as
// such only before Serve.
type Server struct {
	node       *node.Node
	deployment atomic.Pointer[config.Deployment]
	clock      *clock.Clock
	budget     *descriptors.Budget
	memory     *memory.Budget // nil has no limit
	log        *slog.Logger

	httpServer     http.Server
	listener       *listener
	tlsListener    *tlsListener        // nil if TLS is not served
	admitter       *connectionAdmitter // nil admits every connection
	requestLogging *RequestLogging     // nil if no request is logged
	serveDone      chan struct{}       // closed when Serve has ended

	outOfService  atomic.Bool   // set by an operator or the agent
	shuttingDown  atomic.Bool   // the health check fails, unless handedOff is set
	draining      atomic.Bool   // responses ask clients to close their connections
	handedOff     atomic.Bool   // another process has replaced this one: the node stays in service
	quiesce       quiesce       // whether clients' connections are closed while the node keeps running
	waitsEnded    chan struct{} // closed at the time that EndWaitsAt has set
	lastRequestAt clock.AtomicTime
	openRequests  atomic.Int64 // accepted requests without a response

	mu        sync.Mutex
	idleConns map[net.Conn]time.Time // connections without a request, with the time since when

	ids              *requestIDs
	otherProcess     OtherProcess // nil if ids are not shared
	incompleteBodies incompleteBodies

	responseSuccessor atomic.Pointer[ResponseSuccessor] // nil if responses are not passed on
	passableResponses passableResponses
	passedResponses   atomic.Int64
	passedConns       *passedConns

	malformedLog *throttledlog.Throttle
	refusedLog   *throttledlog.Throttle
	acceptLog    *throttledlog.Throttle
}

// New returns a server that passes requests to n.
func New(n *node.Node, deployment *config.Deployment, nodeClock *clock.Clock, budget *descriptors.Budget, log *slog.Logger) *Server {
	s := &Server{
		node:         n,
		clock:        nodeClock,
		budget:       budget,
		log:          log,
		serveDone:    make(chan struct{}),
		waitsEnded:   make(chan struct{}),
		idleConns:    map[net.Conn]time.Time{},
		ids:          newRequestIDs(),
		malformedLog: throttledlog.New(malformedLogInterval),
		refusedLog:   throttledlog.New(malformedLogInterval),
		acceptLog:    throttledlog.New(malformedLogInterval),
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

// LimitMemory bounds what the server holds for its clients by a budget. It is called before Listen.
func (s *Server) LimitMemory(budget *memory.Budget) { s.memory = budget }

// EnableAdmission limits clients' connections. It is called before Listen. onPressure is called whenever pressure begins (true)
// or ends (false); it must not block.
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

// Reconfigure sets the deployment for subsequent requests. The node must have it already.
func (s *Server) Reconfigure(deployment *config.Deployment) { s.deployment.Store(deployment) }

// Listen opens the address for plain HTTP; connections are accepted once Serve runs. With reusePort another process of the
// node may listen on the address as well.
func (s *Server) Listen(address string, reusePort bool) error {
	tcp, err := listenTCP(address, reusePort)
	if err != nil {
		return err
	}
	s.listener = s.newListener(tcp)
	s.passedConns = newPassedConns(tcp.Addr())
	return nil
}

// ListenTLS opens the address for TLS; connections are accepted once Serve runs. They count towards the same descriptor budget,
// whose size is maxDescriptors; at most a quarter of it may be in handshakes.
func (s *Server) ListenTLS(config TLSConfig, maxDescriptors int) error {
	tcp, err := listenTCP(config.Address, config.ReusePort)
	if err != nil {
		return err
	}
	inner := s.newListener(tcp)
	inner.isTLS = true
	s.tlsListener = newTLSListener(inner, config, maxDescriptors)
	return nil
}

func (s *Server) newListener(tcp *net.TCPListener) *listener {
	return &listener{
		TCPListener: tcp,
		accept:      tcp.AcceptTCP,
		budget:      s.budget,
		memory:      s.memory,
		admitter:    s.admitter,
		onRefuse:    s.logRefusal,

		onAcceptError: s.logAcceptError,
		evict:         s.incompleteBodies.evictSlowest,
	}
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

// Serve accepts connections until Drain or DrainForHandoff has ended it, or a listener fails.
func (s *Server) Serve() error {
	defer close(s.serveDone)
	go func() { _ = s.serveListener(s.passedConns) }()
	if s.tlsListener == nil {
		return s.serveListener(s.listener)
	}
	go s.tlsListener.run()
	ended := make(chan error, 2)
	go func() { ended <- s.serveListener(s.tlsListener) }()
	go func() { ended <- s.serveListener(s.listener) }()
	if err := <-ended; err != nil { // the failure of either listener ends the node
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

// SetOutOfService sets whether the health check reports the node as out of service. Requests are still served.
func (s *Server) SetOutOfService(out bool) { s.outOfService.Store(out) }

// ServiceState reports whether the health check reports the node as in service, and whether the node is shutting down.
func (s *Server) ServiceState() (inService, shuttingDown bool) {
	shuttingDown = s.shuttingDown.Load()
	inService = !s.outOfService.Load() && (!shuttingDown || s.handedOff.Load()) && !s.quiesce.isOn()
	return inService, shuttingDown
}

// CloseIdleConnections closes clients' connections that have had no request for a while, to free descriptors and memory. A client
// whose request is in transit during the close sends it again on another connection.
func (s *Server) CloseIdleConnections() {
	s.closeIdle(minIdleBeforeClose, closePartial)
	if waiting := s.waitingClients(); waiting > 0 {
		s.closeLongestIdle(waiting+spareClosesForWaitingOnes, minIdleWhileClientsWait)
	}
	s.releaseExcessMemory()
	if s.tlsListener != nil {
		s.tlsListener.evictSilent(silentEvictionAge)
	}
}

// partialRequests says whether to close idle connections on which a part of a request has arrived.
type partialRequests bool

const (
	keepPartial  partialRequests = false
	closePartial partialRequests = true
)

// closeIdle closes connections that have had no request for minIdle. It never closes one with unread data: that may be a
// request, which would be lost.
func (s *Server) closeIdle(minIdle time.Duration, partial partialRequests) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn, since := range s.idleConns {
		c := conn.(*clientConn)
		if time.Since(since) < minIdle || partial == keepPartial && c.isWithinRequest() || c.hasUnreadData() {
			continue
		}
		_ = c.Close()
		delete(s.idleConns, conn)
	}
}

// waitingClients returns the number of connections that wait for room.
func (s *Server) waitingClients() (count int) {
	if s.budget.HasWaitingClient() || s.memory.HasWaitingConnection() {
		count++ // the one that has been accepted
	}
	for _, l := range s.listeners() {
		if info, ok := tcpinfo.Get(l.TCPListener); ok {
			count += int(info.Unacked) // of a listener, the length of its queue
		}
	}
	return count
}

// closeLongestIdle closes up to count connections that have had no request for minIdle, the longest idle ones
// first. As closeIdle, it never closes one with unread data.
func (s *Server) closeLongestIdle(count int, minIdle time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	conns := slices.SortedFunc(maps.Keys(s.idleConns), func(a, b net.Conn) int { return s.idleConns[a].Compare(s.idleConns[b]) })
	for _, conn := range conns {
		c := conn.(*clientConn)
		if count == 0 || time.Since(s.idleConns[conn]) < minIdle {
			return
		}
		if c.hasUnreadData() {
			continue
		}
		_ = c.Close()
		delete(s.idleConns, conn)
		count--
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
