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

// certificate makes one for a name, of no authority.
func certificate(t testing.TB, name string) *tls.Certificate {
	k, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	serial, err := rand.Int(rand.Reader, big.NewInt(1<<62))
	require.NoError(t, err)
	c := &x509.Certificate{SerialNumber: serial, Subject: pkix.Name{CommonName: name}, DNSNames: []string{name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour)}
	der, err := x509.CreateCertificate(rand.Reader, c, c, &k.PublicKey, k)
	require.NoError(t, err)
	leaf, err := x509.ParseCertificate(der)
	require.NoError(t, err)
	return &tls.Certificate{Certificate: [][]byte{der}, PrivateKey: k, Leaf: leaf}
}

// secured is a front that serves TLS with whatever certificate is held at the moment. Its node knows no backend.
func secured(t testing.TB, limit int, with ...func(*Server)) (f *Server, budget *descriptors.Budget, held *atomic.Pointer[tls.Certificate]) {
	return fronted(t, limit, &balancer.Config{Nodes: 1, PollEndpoints: true, PollInterval: 60e3, Classes: []balancer.Class{{}}}, node.NewBalancer, &discovery.List{Complete: true}, with...)
}

// fronted is that of a node with terms, a module and a list of the test's own.
func fronted(t testing.TB, limit int, by *balancer.Config, decide node.NewDecider, list *discovery.List, with ...func(*Server)) (f *Server, budget *descriptors.Budget, held *atomic.Pointer[tls.Certificate]) {
	held = &atomic.Pointer[tls.Certificate]{}
	held.Store(certificate(t, "members.example"))
	budget = descriptors.New(limit, func() {})
	now, log := clock.New(), slog.New(slog.DiscardHandler)
	told := &config.Deployment{Classes: []string{"check"}, Balancer: by}
	peers := &upstream.Config{Budget: budget, Log: log}
	peers.ConnectTimeout.Set(30 * time.Second)
	peers.IdleTimeout.Set(time.Minute)
	n := node.New(told, decide, now, peers, func() {}, log)
	n.Start(list)
	f = New(n, told, now, budget, log)
	for _, w := range with {
		w(f)
	}
	require.NoError(t, f.Listen("127.0.0.1:0", false))
	require.NoError(t, f.ListenTLS(TLSConfig{Address: "127.0.0.1:0", AnswerChallenges: true, GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
		if c := held.Load(); c != nil {
			return c, nil
		}
		return nil, errors.New("none")
	}}, limit))
	failed := make(chan error, 1)
	go func() { failed <- f.Serve() }()
	t.Cleanup(func() {
		_ = f.listener.Close()
		_ = f.tlsListener.Close()
		assert.NoError(t, <-failed)
		_ = f.httpServer.Close()
		budget.Close()
		n.Stop()
	})
	return f, budget, held
}

func dial(f *Server, c *tls.Config) (*tls.Conn, error) {
	c.InsecureSkipVerify = true
	c.ServerName = "members.example"
	return tls.DialWithDialer(&net.Dialer{Timeout: 5 * time.Second}, "tcp", f.TLSAddress(), c)
}

// health asks on a connection that is there.
func health(c net.Conn) (string, error) {
	if _, err := io.WriteString(c, "GET /_health HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
		return "", err
	}
	answer, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return "", err
	}
	defer answer.Body.Close()
	_, err = io.Copy(io.Discard, answer.Body)
	return answer.Proto + " " + strconv.Itoa(answer.StatusCode), err
}

// Connections go on over a swap, new ones get the new certificate, and tickets hold.
func TestSwap(t *testing.T) {
	f, _, held := secured(t, 256)
	f.SetSessionTicketKeys([][32]byte{{1}})
	cache := tls.NewLRUClientSessionCache(4)
	old, err := dial(f, &tls.Config{ClientSessionCache: cache})
	require.NoError(t, err)
	defer old.Close()
	got, err := health(old)
	require.NoError(t, err)
	assert.Equal(t, "HTTP/1.1 200", got)
	assert.Equal(t, "http/1.1", func() string {
		c, err := dial(f, &tls.Config{NextProtos: []string{"h2", "http/1.1"}})
		require.NoError(t, err)
		defer c.Close()
		return c.ConnectionState().NegotiatedProtocol
	}())

	next := certificate(t, "members.example")
	held.Store(next)
	f.SetSessionTicketKeys([][32]byte{{2}, {1}})
	got, err = health(old)
	require.NoError(t, err)
	assert.Equal(t, "HTTP/1.1 200", got, "a connection outlives its certificate")
	resumed, err := dial(f, &tls.Config{ClientSessionCache: cache})
	require.NoError(t, err)
	defer resumed.Close()
	assert.True(t, resumed.ConnectionState().DidResume, "the ticket key before still opens")
	fresh, err := dial(f, &tls.Config{})
	require.NoError(t, err)
	defer fresh.Close()
	assert.Equal(t, next.Leaf.SerialNumber, fresh.ConnectionState().PeerCertificates[0].SerialNumber)

	for _, c := range []*tls.Config{{MaxVersion: tls.VersionTLS11}, {NextProtos: []string{"h2"}}} {
		_, err := dial(f, c)
		assert.Error(t, err)
	}
	proof, err := dial(f, &tls.Config{NextProtos: []string{"acme-tls/1"}})
	require.NoError(t, err)
	_, err = health(proof)
	assert.Error(t, err, "such a connection carries no ops (RFC 8737, 3)")
	held.Store(nil)
	_, err = dial(f, &tls.Config{})
	assert.Error(t, err)
	require.Eventually(t, func() bool { return f.HandshakeStats().Open == 0 }, 5*time.Second, time.Millisecond)
	h := f.HandshakeStats()
	assert.Equal(t, uint64(1), h.Resumed)
	assert.Equal(t, uint64(5), h.Done)
	assert.Equal(t, uint64(3), h.Failed)
}

// Whoever opens connections and says nothing gets no client turned away: their places are given to newcomers.
func TestSilentHandshakes(t *testing.T) {
	f, budget, _ := secured(t, 96)
	var silent []net.Conn
	defer func() {
		for _, c := range silent {
			_ = c.Close()
		}
	}()
	for range 200 {
		c, err := net.Dial("tcp", f.TLSAddress())
		require.NoError(t, err)
		silent = append(silent, c)
		if len(silent)%20 == 0 {
			in, err := dial(f, &tls.Config{})
			require.NoError(t, err)
			got, err := health(in)
			require.NoError(t, err)
			assert.Equal(t, "HTTP/1.1 200", got)
			_ = in.Close()
		}
	}
	h := f.HandshakeStats()
	assert.LessOrEqual(t, h.Open, 24, "a quarter of the descriptors")
	assert.Equal(t, uint64(10), h.Done)
	assert.Greater(t, h.Evicted, uint64(100))
	// Each listener has one taken for whoever comes next.
	require.Eventually(t, func() bool { f.tlsListener.evictSilent(0); return budget.Clients() == 2 }, 5*time.Second, time.Millisecond, "each descriptor is given back, once")
}

// Who has to make room: the oldest of those who have said nothing for a while, then of those who spoke and went silent;
// nobody whom this machine keeps waiting.
func TestWhoMakesRoom(t *testing.T) {
	begun := time.Now()
	for name, c := range map[string]struct {
		spoke [2]bool
		ages  [2]time.Duration
		goes  int // -1 is the newcomer, who waits
	}{
		"all new":          {[2]bool{false, false}, [2]time.Duration{40 * time.Millisecond, 30 * time.Millisecond}, -1},
		"both silent":      {[2]bool{false, false}, [2]time.Duration{170 * time.Millisecond, 160 * time.Millisecond}, 0},
		"one has spoken":   {[2]bool{true, false}, [2]time.Duration{190 * time.Millisecond, 160 * time.Millisecond}, 1},
		"both have spoken": {[2]bool{true, true}, [2]time.Duration{900 * time.Millisecond, 160 * time.Millisecond}, -1},
	} {
		s := &tlsListener{maxHandshakes: 2}
		var all [2]*handshake
		for i := range all {
			conn, far := pair(t)
			all[i] = &handshake{tcp: conn.tcp, startedAt: begun.Add(-c.ages[i])}
			if c.spoke[i] {
				_, err := far.Write([]byte{22})
				require.NoError(t, err)
				require.Eventually(t, func() bool { _, spoke := all[i].lastReceived(); return spoke }, 5*time.Second, time.Millisecond)
			}
			_, entered := s.tryAdd(all[i], begun)
			require.True(t, entered, name)
		}
		conn, _ := pair(t)
		wait, entered := s.tryAdd(&handshake{tcp: conn.tcp, startedAt: begun}, begun)
		assert.Equal(t, c.goes >= 0, entered, name)
		for i, h := range all {
			assert.Equal(t, i == c.goes, h.evicted, name)
		}
		if !entered {
			assert.Positive(t, wait, name)
			assert.LessOrEqual(t, wait, spokenEvictionAge, name)
		}
	}
}

// BenchmarkHandshake counts both ends' work; Resumed is by a ticket.
func BenchmarkHandshake(b *testing.B) {
	for _, resumed := range []bool{false, true} {
		b.Run(map[bool]string{false: "Full", true: "Resumed"}[resumed], func(b *testing.B) {
			f, _, _ := secured(b, 256)
			cache := tls.NewLRUClientSessionCache(1)
			for b.Loop() {
				told := &tls.Config{}
				if resumed {
					told.ClientSessionCache = cache
				}
				c, err := dial(f, told)
				if err != nil {
					b.Fatal(err)
				}
				if _, err := health(c); err != nil {
					b.Fatal(err)
				}
				_ = c.Close()
			}
		})
	}
}
