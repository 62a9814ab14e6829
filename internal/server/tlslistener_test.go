package server

import (
	"bufio"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"errors"
	"io"
	"log/slog"
	"math/big"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pearknot/balancer"
	"pearknot/internal/clock"
	"pearknot/internal/config"
	"pearknot/internal/descriptors"
	"pearknot/internal/discovery"
	"pearknot/internal/node"
	"pearknot/internal/upstream"
)

// newCertificate returns a self-signed certificate for a host name.
func newCertificate(t testing.TB, name string) *tls.Certificate {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	serial, err := rand.Int(rand.Reader, big.NewInt(1<<62))
	require.NoError(t, err)
	template := &x509.Certificate{SerialNumber: serial, Subject: pkix.Name{CommonName: name}, DNSNames: []string{name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour)}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	require.NoError(t, err)
	leaf, err := x509.ParseCertificate(der)
	require.NoError(t, err)
	return &tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key, Leaf: leaf}
}

// startTLSServer starts a server that serves TLS with the certificate that is currently stored. Its node has no backend.
func startTLSServer(t testing.TB, limit int, configure ...func(*Server)) (srv *Server, budget *descriptors.Budget, certificate *atomic.Pointer[tls.Certificate]) {
	t.Helper()
	return startServer(t, limit, &balancer.Config{Nodes: 1, PollEndpoints: true, PollInterval: 60e3, Classes: []balancer.Class{{}}}, node.NewBalancer, &discovery.List{Complete: true}, configure...)
}

// startServer starts a server, over plain HTTP and TLS, of a node with the given balancer and endpoint list.
func startServer(t testing.TB, limit int, options *balancer.Config, newDecider node.NewDecider, endpoints *discovery.List, configure ...func(*Server)) (srv *Server, budget *descriptors.Budget, certificate *atomic.Pointer[tls.Certificate]) {
	t.Helper()
	certificate = &atomic.Pointer[tls.Certificate]{}
	certificate.Store(newCertificate(t, "members.example"))
	budget = descriptors.New(limit, func() {})
	nodeClock, log := clock.New(), slog.New(slog.DiscardHandler)
	deployment := &config.Deployment{Classes: []string{"check"}, BalancerConfig: options}
	upstreamConfig := &upstream.Config{Budget: budget, Log: log}
	upstreamConfig.ConnectTimeout.Set(30 * time.Second)
	upstreamConfig.IdleTimeout.Set(time.Minute)
	n := node.New(deployment, newDecider, nodeClock, upstreamConfig, func() {}, log)
	n.Start(endpoints)
	srv = New(n, deployment, nodeClock, budget, log)
	for _, change := range configure {
		change(srv)
	}
	require.NoError(t, srv.Listen("127.0.0.1:0", false))
	require.NoError(t, srv.ListenTLS(TLSConfig{Address: "127.0.0.1:0", AnswerChallenges: true, GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
		if c := certificate.Load(); c != nil {
			return c, nil
		}
		return nil, errors.New("none")
	}}, limit))
	serveErr := make(chan error, 1)
	go func() { serveErr <- srv.Serve() }()
	t.Cleanup(func() {
		_ = srv.listener.Close()
		_ = srv.tlsListener.Close()
		assert.NoError(t, <-serveErr)
		_ = srv.httpServer.Close()
		budget.Close()
		n.Stop()
	})
	return srv, budget, certificate
}

// dialTLS opens a TLS connection to srv.
func dialTLS(srv *Server, config *tls.Config) (*tls.Conn, error) {
	config.InsecureSkipVerify = true
	config.ServerName = "members.example"
	return tls.DialWithDialer(&net.Dialer{Timeout: 5 * time.Second}, "tcp", srv.TLSAddress(), config)
}

// checkHealth sends a health check on conn, and returns the response's protocol and status.
func checkHealth(conn net.Conn) (string, error) {
	if _, err := io.WriteString(conn, "GET /_health HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
		return "", err
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return response.Proto + " " + strconv.Itoa(response.StatusCode), err
}

// The certificate is replaced while the server runs. Open connections continue, new ones get the new certificate, and session
// tickets stay valid.
func TestCertificateSwap(t *testing.T) {
	srv, _, certificate := startTLSServer(t, 256)
	srv.SetSessionTicketKeys([][32]byte{{1}})
	cache := tls.NewLRUClientSessionCache(4)
	old, err := dialTLS(srv, &tls.Config{ClientSessionCache: cache})
	require.NoError(t, err)
	defer old.Close()
	got, err := checkHealth(old)
	require.NoError(t, err)
	assert.Equal(t, "HTTP/1.1 200", got)
	assert.Equal(t, "http/1.1", func() string {
		c, err := dialTLS(srv, &tls.Config{NextProtos: []string{"h2", "http/1.1"}})
		require.NoError(t, err)
		defer c.Close()
		return c.ConnectionState().NegotiatedProtocol
	}())

	next := newCertificate(t, "members.example")
	certificate.Store(next)
	srv.SetSessionTicketKeys([][32]byte{{2}, {1}})
	got, err = checkHealth(old)
	require.NoError(t, err)
	assert.Equal(t, "HTTP/1.1 200", got, "a connection outlives its certificate")
	resumed, err := dialTLS(srv, &tls.Config{ClientSessionCache: cache})
	require.NoError(t, err)
	defer resumed.Close()
	assert.True(t, resumed.ConnectionState().DidResume, "the previous ticket key still decrypts")
	fresh, err := dialTLS(srv, &tls.Config{})
	require.NoError(t, err)
	defer fresh.Close()
	assert.Equal(t, next.Leaf.SerialNumber, fresh.ConnectionState().PeerCertificates[0].SerialNumber)

	for _, c := range []*tls.Config{{MaxVersion: tls.VersionTLS11}, {NextProtos: []string{"h2"}}} {
		_, err := dialTLS(srv, c)
		assert.Error(t, err)
	}
	challenge, err := dialTLS(srv, &tls.Config{NextProtos: []string{"acme-tls/1"}})
	require.NoError(t, err)
	_, err = checkHealth(challenge)
	assert.Error(t, err, "such a connection carries no requests (RFC 8737, 3)")
	certificate.Store(nil)
	_, err = dialTLS(srv, &tls.Config{})
	assert.Error(t, err)
	require.Eventually(t, func() bool { return srv.HandshakeStats().Open == 0 }, 5*time.Second, time.Millisecond)
	stats := srv.HandshakeStats()
	assert.Equal(t, uint64(1), stats.Resumed)
	assert.Equal(t, uint64(5), stats.Done)
	assert.Equal(t, uint64(3), stats.Failed)
}

// A client opens many connections and sends nothing. It must not lock others out: new handshakes replace the silent ones.
func TestSilentHandshakesAreEvicted(t *testing.T) {
	srv, budget, _ := startTLSServer(t, 96)
	var silent []net.Conn
	defer func() {
		for _, c := range silent {
			_ = c.Close()
		}
	}()
	for range 200 {
		c, err := net.Dial("tcp", srv.TLSAddress())
		require.NoError(t, err)
		silent = append(silent, c)
		if len(silent)%20 == 0 {
			conn, err := dialTLS(srv, &tls.Config{})
			require.NoError(t, err)
			got, err := checkHealth(conn)
			require.NoError(t, err)
			assert.Equal(t, "HTTP/1.1 200", got)
			_ = conn.Close()
		}
	}
	stats := srv.HandshakeStats()
	assert.LessOrEqual(t, stats.Open, 24, "a quarter of the descriptors")
	assert.Equal(t, uint64(10), stats.Done)
	assert.Greater(t, stats.Evicted, uint64(100))
	// Each listener has acquired a descriptor for the next connection.
	require.Eventually(t, func() bool { srv.tlsListener.evictSilent(0); return budget.Clients() == 2 }, 5*time.Second, time.Millisecond, "each descriptor is returned once")
}

// If the maximum of handshakes is reached, the oldest one whose client has sent nothing for a while is evicted, then the oldest
// whose client has sent something and stalled. A handshake that waits for this machine is not evicted.
func TestHandshakeEvictionOrder(t *testing.T) {
	now := time.Now()
	for name, test := range map[string]struct {
		hasSentData [2]bool
		ages        [2]time.Duration
		evicted     int // index; -1: the new one waits
	}{
		"all new":          {[2]bool{false, false}, [2]time.Duration{40 * time.Millisecond, 30 * time.Millisecond}, -1},
		"both silent":      {[2]bool{false, false}, [2]time.Duration{170 * time.Millisecond, 160 * time.Millisecond}, 0},
		"one has spoken":   {[2]bool{true, false}, [2]time.Duration{190 * time.Millisecond, 160 * time.Millisecond}, 1},
		"both have spoken": {[2]bool{true, true}, [2]time.Duration{900 * time.Millisecond, 160 * time.Millisecond}, -1},
	} {
		l := &tlsListener{maxHandshakes: 2}
		var all [2]*handshake
		for i := range all {
			conn, client := connPair(t)
			all[i] = &handshake{tcp: conn.tcp, startedAt: now.Add(-test.ages[i])}
			if test.hasSentData[i] {
				_, err := client.Write([]byte{22})
				require.NoError(t, err)
				require.Eventually(t, func() bool { _, received := all[i].lastReceived(); return received }, 5*time.Second, time.Millisecond)
			}
			_, added := l.tryAdd(all[i], now)
			require.True(t, added, name)
		}
		conn, _ := connPair(t)
		wait, added := l.tryAdd(&handshake{tcp: conn.tcp, startedAt: now}, now)
		assert.Equal(t, test.evicted >= 0, added, name)
		for i, h := range all {
			assert.Equal(t, i == test.evicted, h.evicted, name)
		}
		if !added {
			assert.Positive(t, wait, name)
			assert.LessOrEqual(t, wait, stalledEvictionAge, name)
		}
	}
}

// BenchmarkHandshake measures the work of both ends; Resumed uses a session ticket.
func BenchmarkHandshake(b *testing.B) {
	for _, resumed := range []bool{false, true} {
		b.Run(map[bool]string{false: "Full", true: "Resumed"}[resumed], func(b *testing.B) {
			srv, _, _ := startTLSServer(b, 256)
			cache := tls.NewLRUClientSessionCache(1)
			for b.Loop() {
				config := &tls.Config{}
				if resumed {
					config.ClientSessionCache = cache
				}
				c, err := dialTLS(srv, config)
				if err != nil {
					b.Fatal(err)
				}
				if _, err := checkHealth(c); err != nil {
					b.Fatal(err)
				}
				_ = c.Close()
			}
		})
	}
}
