package server

import (
	"net/netip"
	"sync"

	"pearknot/internal/admission"
	"pearknot/internal/clock"
)

// refusalReserve is the number of the clients' descriptors that are reserved for connections about to be refused. During a
// flood such connections are closed at once and do not fill the listener's queue, in which known clients would also wait.
const refusalReserve = 4

// maxStatsAddresses is the maximum number of addresses in ClientStats.
const maxStatsAddresses = 200

// connectionAdmitter admits and closes connections as admission.Controller decides. Listeners and handlers call it; no
// connection is closed while its lock is held.
type connectionAdmitter struct {
	clock      *clock.Clock
	onPressure func(underPressure bool) // called on each change

	mu            sync.Mutex
	controller    *admission.Controller
	lastID        uint64
	conns         map[uint64]*clientConn
	underPressure bool
}

// ClientStats holds which clients are connected, and how many connections were refused and evicted since the start. Scripts
// read its JSON, so the tags must not change: "pressed" means under pressure, "let_go" evicted.
type ClientStats struct {
	Open          int                      `json:"open"`
	Limit         int                      `json:"limit"`
	UnderPressure bool                     `json:"pressed"`
	Refused       map[string]uint64        `json:"refused"`   // connections, by reason
	Evicted       map[string]uint64        `json:"let_go"`    // connections, by reason
	Addresses     []admission.AddressStats `json:"addresses"` // in descending order of their connections
}

// admit decides on a new connection, closes the connections that are evicted for it, and reports whether it was admitted.
func (a *connectionAdmitter) admit(conn *clientConn) bool {
	remote, err := netip.ParseAddrPort(conn.RemoteAddr().String())
	if err != nil { // without an address there is nothing to decide by
		return true
	}
	verdict, evicted := a.decide(conn, remote.Addr())
	for _, other := range evicted {
		_ = other.Close() // it has no request, and requestBegan returns false for it from now on
	}
	return verdict.Reason == admission.Admitted
}

func (a *connectionAdmitter) decide(conn *clientConn, address netip.Addr) (verdict admission.Verdict, evicted []*clientConn) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lastID++
	verdict = a.controller.Connect(a.clock.Now(), a.lastID, address)
	for _, eviction := range verdict.Evictions {
		if other := a.conns[eviction.ID]; other != nil {
			evicted = append(evicted, other)
		}
		delete(a.conns, eviction.ID)
	}
	if verdict.Reason == admission.Admitted {
		conn.admissionID = a.lastID
		a.conns[a.lastID] = conn
	}
	a.notifyPressure()
	return verdict, evicted
}

// notifyPressure calls onPressure if pressure has begun or ended. The lock must be held.
func (a *connectionAdmitter) notifyPressure() {
	if underPressure := a.controller.UnderPressure(); underPressure != a.underPressure {
		a.underPressure = underPressure
		a.onPressure(underPressure)
	}
}

// requestBegan records that a complete request has arrived. It reports false if the connection has been evicted and is about
// to be closed: then the request must not be accepted.
func (a *connectionAdmitter) requestBegan(conn *clientConn) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.controller.RequestBegan(conn.admissionID)
}

// connClosed records that a connection has closed.
func (a *connectionAdmitter) connClosed(conn *clientConn) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.controller.Closed(a.clock.Now(), conn.admissionID)
	delete(a.conns, conn.admissionID)
	a.notifyPressure()
}

func (a *connectionAdmitter) setLimits(limits admission.Limits) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.controller.SetLimits(limits)
	a.notifyPressure()
}

func (a *connectionAdmitter) stats() ClientStats {
	a.mu.Lock()
	defer a.mu.Unlock()
	return ClientStats{
		Open:          a.controller.OpenConnections(),
		Limit:         a.controller.MaxConnections(),
		UnderPressure: a.controller.UnderPressure(),
		Refused:       countsByReason(a.controller.Refused),
		Evicted:       countsByReason(a.controller.Evicted),
		Addresses:     a.controller.Addresses(a.clock.Now(), maxStatsAddresses),
	}
}

func countsByReason(counts map[admission.Reason]uint64) map[string]uint64 {
	byReason := make(map[string]uint64, len(counts))
	for reason, count := range counts {
		byReason[string(reason)] = count
	}
	return byReason
}

// reportToAdmission reports the outcome of a request on the connection to the controller, if connections are limited.
func (c *clientConn) reportToAdmission(report func(controller *admission.Controller, now float64, id uint64)) {
	if c.admissionID == 0 {
		return
	}
	c.admitter.mu.Lock()
	defer c.admitter.mu.Unlock()
	report(c.admitter.controller, c.admitter.clock.Now(), c.admissionID)
}
