package loopback

import (
	"context"
	"crypto/tls"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"time"

	"pearknot/internal/controlsocket"
	"pearknot/internal/lab/acmestub"
	"pearknot/internal/server"
)

// TLS holds the settings of a run in which clients use TLS. The nodes' certificates come from a simulated ACME authority. All nodes share
// one certificate store, as the instances of a host do: one of them orders, the others use its certificate and answer challenges too.
type TLS struct {
	RenewAtSeconds []float64      // times at which the certificate is renewed
	OnFinished     func(TLSStats) // if set, is called at the end of a run
	ResumeSessions bool           // whether clients use session tickets
}

// TLSStats counts the renewals, certificates and handshakes in a run.
type TLSStats struct {
	RenewalsRequested  int
	RenewalsRefused    int
	CertificatesIssued int    // including the first one
	Handshakes         uint64 // this and the following: under load, by the processes that are alive at the end
	Resumed            uint64
	Failed             uint64
}

const (
	tlsServerName     = "members.example"
	certificateName   = "members" // in the nodes' configuration
	rootsFile         = "roots.pem"
	tlsReadyTimeout   = 20 * time.Second // until all nodes serve their first certificate
	tlsPollInterval   = 20 * time.Millisecond
	tlsDialTimeout    = time.Second
	renewCallTimeout  = 5 * time.Second
	statusCallTimeout = time.Second
	// renewalWindowStart is the share of a certificate's lifetime after which the authority's renewal window begins.
	renewalWindowStart = 0.7
)

// tlsSetup holds the testbed's simulated ACME authority and the clients' TLS configuration.
type tlsSetup struct {
	options      TLS
	testbed      *testbed
	authority    *acmestub.Authority
	server       *httptest.Server // the authority's
	clientConfig *tls.Config

	handshakesBefore map[int]server.HandshakeStats // at the beginning of the load, by process ID
	requested        int                           // renewals
	refused          int                           // renewals
}

// newTLSSetup starts the authority. It validates challenges at the last node that is ready, which is rarely the one that orders.
func newTLSSetup(t *testbed, options TLS) (*tlsSetup, error) {
	s := &tlsSetup{options: options, testbed: t}
	var err error
	s.authority, err = acmestub.New(acmestub.Options{
		RenewalWindowStart: renewalWindowStart,
		TLSChallengeAddress: func(string) string {
			for _, n := range slices.Backward(t.nodes) {
				if n.isReady() {
					return n.tlsAddress
				}
			}
			return t.nodes[0].tlsAddress
		},
	})
	if err != nil {
		return nil, err
	}
	s.server = httptest.NewServer(s.authority)
	s.server.Config.ErrorLog = slog.NewLogLogger(slog.DiscardHandler, slog.LevelError)
	s.clientConfig = &tls.Config{ServerName: tlsServerName, RootCAs: s.authority.Roots(), MinVersion: tls.VersionTLS12}
	if options.ResumeSessions {
		s.clientConfig.ClientSessionCache = tls.NewLRUClientSessionCache(0)
	}
	return s, os.WriteFile(filepath.Join(t.dir, rootsFile), s.authority.RootPEM(), 0o600)
}

// configureNode writes a node's TLS configuration file, and returns the command-line arguments that enable TLS.
func (s *tlsSetup) configureNode(n *node) (arguments []string, err error) {
	text := fmt.Sprintf(`listen = %q
dir = %q
[limits]
orders_per_hour = 100
backoff_s = 1
[[authority]]
directory = %q
roots_file = %q
[[certificate]]
name = %q
names = [%q]
`, n.tlsAddress, filepath.Join(s.testbed.dir, "certs"), s.server.URL+"/directory", rootsFile, certificateName, tlsServerName)
	file := n.file("-tls.toml")
	return []string{"--tls", file, "--control", n.controlSocket()}, os.WriteFile(file, []byte(text), 0o600)
}

func (n *node) controlSocket() string { return n.file(".sock") }

// waitUntilReady waits until all nodes serve TLS.
func (s *tlsSetup) waitUntilReady(ctx context.Context) error {
	for _, n := range s.testbed.nodes {
		for startedAt := time.Now(); ; sleep(ctx, tlsPollInterval) {
			conn, err := tls.DialWithDialer(&net.Dialer{Timeout: tlsDialTimeout}, "tcp", n.tlsAddress, s.clientConfig)
			if err == nil {
				_ = conn.Close()
				break
			}
			if ctx.Err() != nil || time.Since(startedAt) > tlsReadyTimeout {
				return fmt.Errorf("node %d does not serve TLS: %w", n.number, err)
			}
		}
	}
	s.handshakesBefore = s.handshakes(ctx)
	return nil
}

// renew requests certificate renewals at the configured times, each from the first node that accepts.
func (s *tlsSetup) renew(ctx context.Context) {
	for _, at := range s.options.RenewAtSeconds {
		s.testbed.sleepUntil(ctx, at*1e3)
		if ctx.Err() != nil {
			return
		}
		s.requested++
		if !slices.ContainsFunc(s.testbed.nodes, func(n *node) bool { return n.renewCertificate(ctx) }) {
			s.refused++
		}
	}
}

// renewCertificate asks the node to renew its certificate, and reports whether the node accepts.
func (n *node) renewCertificate(ctx context.Context) bool {
	client := controlsocket.NewClient(n.controlSocket(), renewCallTimeout)
	certificate := controlsocket.Certificate{Name: certificateName}
	return client.Call(ctx, http.MethodPost, controlsocket.RenewPath, certificate, nil) == nil
}

// handshakes returns the handshake counts of the running processes, by process ID.
func (s *tlsSetup) handshakes(ctx context.Context) map[int]server.HandshakeStats {
	byPID := map[int]server.HandshakeStats{}
	for _, n := range s.testbed.nodes {
		client := controlsocket.NewClient(n.controlSocket(), statusCallTimeout)
		var status controlsocket.Status
		err := client.Call(ctx, http.MethodGet, controlsocket.StatusPath, nil, &status)
		if err == nil && status.TLS != nil {
			byPID[status.PID] = status.TLS.Handshakes
		}
	}
	return byPID
}

// reportStats passes the numbers since the load began to OnFinished.
func (s *tlsSetup) reportStats(ctx context.Context) {
	stats := TLSStats{RenewalsRequested: s.requested, RenewalsRefused: s.refused, CertificatesIssued: s.authority.IssuedCount()}
	for pid, now := range s.handshakes(ctx) {
		before := s.handshakesBefore[pid]
		stats.Handshakes += now.Done - before.Done
		stats.Resumed += now.Resumed - before.Resumed
		stats.Failed += now.Failed + now.Evicted - before.Failed - before.Evicted
	}
	if s.options.OnFinished != nil {
		s.options.OnFinished(stats)
	}
}
