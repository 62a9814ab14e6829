package acme

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pearknot/internal/certs"
	"pearknot/internal/lab/acmestub"
)

// fixture holds an authority, the addresses at which it looks for answers to challenges, and a clock that the test moves.
type fixture struct {
	t           *testing.T
	mu          sync.Mutex
	now         time.Time
	authority   *acmestub.Authority
	server      *httptest.Server
	manager     *Manager // answers the challenges
	httpAddress string
	tlsAddress  string
	log         strings.Builder
	dir         string
	onStep      func(string)
}

func (f *fixture) clock() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now
}

func (f *fixture) advance(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.now = f.now.Add(d)
}

// Write appends to the log of the manager.
func (f *fixture) Write(b []byte) (int, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.log.Write(b)
}

func newFixture(t *testing.T, change func(*acmestub.Options)) *fixture {
	f := &fixture{t: t, now: time.Date(2026, 12, 1, 9, 0, 0, 0, time.UTC), dir: t.TempDir(), onStep: func(string) {}}
	t.Helper()
	httpServer := httptest.NewServer(http.HandlerFunc(func(response http.ResponseWriter, request *http.Request) {
		answer, ok := f.manager.Challenge(request.URL.Path)
		if !ok {
			http.NotFound(response, request)
			return
		}
		_, _ = io.WriteString(response, answer)
	}))
	t.Cleanup(httpServer.Close)
	tlsListener, err := tls.Listen("tcp", "127.0.0.1:0", &tls.Config{NextProtos: []string{"acme-tls/1"},
		GetCertificate: func(hello *tls.ClientHelloInfo) (*tls.Certificate, error) { return f.manager.Certificate(hello) }})
	require.NoError(t, err)
	t.Cleanup(func() { _ = tlsListener.Close() })
	go func() {
		for conn, err := tlsListener.Accept(); err == nil; conn, err = tlsListener.Accept() {
			go func() {
				_ = conn.(*tls.Conn).Handshake()
				_ = conn.Close()
			}()
		}
	}()
	f.httpAddress, f.tlsAddress = httpServer.Listener.Addr().String(), tlsListener.Addr().String()
	o := acmestub.Options{Now: f.clock, HTTPChallengeAddress: func(string) string { return f.httpAddress }, TLSChallengeAddress: func(string) string { return f.tlsAddress }, RenewalWindowStart: 0.7}
	if change != nil {
		change(&o)
	}
	f.authority, err = acmestub.New(o)
	require.NoError(t, err)
	f.server = httptest.NewServer(f.authority)
	f.server.Config.ErrorLog = slog.NewLogLogger(slog.DiscardHandler, slog.LevelError)
	t.Cleanup(f.server.Close)
	return f
}

func (f *fixture) options(names ...string) Options {
	o := Options{Dir: f.dir, Names: map[string][]string{}, AnswerHTTP: true, Now: f.clock, StepTimeout: 2 * time.Second, Log: slog.New(slog.NewTextHandler(f, nil)),
		Authorities: []Authority{{Directory: f.server.URL + "/directory", Roots: f.authority.Roots(), Contact: []string{"mailto:ops@example.org"}}},
		Limits:      certs.DefaultLimits(), OnStep: func(p string) { f.onStep(p) }}
	for _, n := range names {
		o.Names[n] = []string{n}
	}
	return o
}

func (f *fixture) openManager(o Options) *Manager {
	manager, err := New(o)
	require.NoError(f.t, err)
	f.manager = manager
	f.t.Cleanup(func() { _ = manager.Close() })
	return manager
}

// runUntil runs a manager until a time, moving the clock from one due action to the next.
func (f *fixture) runUntil(manager *Manager, until time.Time) {
	for steps := 0; f.clock().Before(until); steps++ {
		require.Less(f.t, steps, 20_000)
		wait := manager.Step(context.Background())
		if left := until.Sub(f.clock()); wait > left {
			wait = left
		}
		f.advance(wait)
	}
}

// leaf returns the certificate that a manager serves for a host.
func (f *fixture) leaf(manager *Manager, name string) *x509.Certificate {
	f.t.Helper()
	certificate, err := manager.Certificate(&tls.ClientHelloInfo{ServerName: name, SupportedProtos: []string{"http/1.1"}})
	require.NoError(f.t, err)
	return certificate.Leaf
}

func TestObtainAndRenew(t *testing.T) {
	for _, kind := range []string{"http-01", "tls-alpn-01"} {
		f := newFixture(t, nil)
		options := f.options("pay.example.org")
		options.AnswerHTTP, options.AnswerTLS = kind == "http-01", kind == "tls-alpn-01"
		manager := f.openManager(options)
		start := f.clock()
		f.runUntil(manager, start.Add(time.Minute))
		first := f.leaf(manager, "pay.example.org")
		assert.Equal(t, []string{"pay.example.org"}, first.DNSNames, kind)
		f.runUntil(manager, start.Add(80*24*time.Hour))
		second := f.leaf(manager, "pay.example.org")
		assert.NotEqual(t, first.SerialNumber, second.SerialNumber)
		assert.InDelta(t, 0.725*90, second.NotBefore.Sub(start).Hours()/24, 3, "within the authority's window")
		status := manager.Status()[0]
		assert.Equal(t, certs.StageFine, status.Stage)
		assert.Empty(t, status.LastFailure)
		info, err := os.Stat(filepath.Join(f.dir, "names", "pay.example.org", "served.pem"))
		require.NoError(t, err)
		assert.Equal(t, os.FileMode(0o600), info.Mode().Perm())
		assert.NotContains(t, f.log.String(), "PRIVATE")
		_, err = manager.Certificate(&tls.ClientHelloInfo{ServerName: "other.example.org"})
		assert.ErrorContains(t, err, "no certificate for")
	}
}

// The authority is unavailable for weeks. If it is back minutes before the certificate expires, the certificate is renewed in time. If
// it is back only later, the expired one stays in use, which is logged as an error, and is renewed then.
func TestAuthorityUnavailable(t *testing.T) {
	for name, after := range map[string]time.Duration{"back before": -10 * time.Minute, "back after": 3 * time.Hour} {
		f := newFixture(t, nil)
		manager := f.openManager(f.options("pay.example.org"))
		f.runUntil(manager, f.clock().Add(time.Minute))
		first := f.leaf(manager, "pay.example.org")
		from := first.NotBefore.Add(50 * 24 * time.Hour)
		back := first.NotAfter.Add(after)
		f.authority.ScheduleFaults(acmestub.ScheduledFault{Fault: acmestub.FaultUnreachable, Start: from, End: back})
		f.runUntil(manager, back)
		assert.Equal(t, first.SerialNumber, f.leaf(manager, "pay.example.org").SerialNumber, name)
		days := back.Sub(from).Hours() / 24
		assert.Less(t, float64(f.authority.RequestCount(from, back)), 30*days+60, "%s: about one call in half an hour at most, and the first few", name)
		f.runUntil(manager, back.Add(2*time.Hour))
		assert.NotEqual(t, first.SerialNumber, f.leaf(manager, "pay.example.org").SerialNumber, name)
		if after > 0 {
			assert.Contains(t, f.log.String(), "level=ERROR msg=\"certificate not renewed\" name=pay.example.org stage=expired")
		}
		assert.Equal(t, certs.StageFine, manager.Status()[0].Stage)
	}
}

// The authority limits orders and states a Retry-After, which the manager respects.
func TestRateLimited(t *testing.T) {
	f := newFixture(t, nil)
	manager := f.openManager(f.options("pay.example.org"))
	start := f.clock()
	f.authority.ScheduleFaults(acmestub.ScheduledFault{Fault: acmestub.FaultRateLimited, Start: start, End: start.Add(5 * time.Hour), RetryAfter: 2 * time.Hour})
	f.runUntil(manager, start.Add(5*time.Hour))
	assert.LessOrEqual(t, f.authority.RequestCount(start, start.Add(5*time.Hour)), 12, "three times, a few calls each")
	f.runUntil(manager, start.Add(8*time.Hour))
	f.leaf(manager, "pay.example.org")
}

// The challenge of one of three names is rejected: the two others get their certificates.
func TestChallengeRejected(t *testing.T) {
	f := newFixture(t, nil)
	manager := f.openManager(f.options("a.example.org", "b.example.org", "c.example.org"))
	start := f.clock()
	f.authority.ScheduleFaults(acmestub.ScheduledFault{Fault: acmestub.FaultRejectedChallenge, Start: start, End: start.Add(24 * time.Hour), Name: "b.example.org"})
	f.runUntil(manager, start.Add(3*time.Hour))
	f.leaf(manager, "a.example.org")
	f.leaf(manager, "c.example.org")
	status := manager.Status()[1]
	assert.Equal(t, certs.StageMissing, status.Stage)
	assert.Contains(t, status.LastFailure, "rejected by the schedule")
	f.runUntil(manager, start.Add(27*time.Hour))
	f.leaf(manager, "b.example.org")
}

// A certificate that does not match its key, its names, the time or a trusted root is never served. Once the authority issues one that
// does, that is served.
func TestUnusableCertificateIsNotServed(t *testing.T) {
	for fault, reason := range map[acmestub.Fault]string{acmestub.FaultOtherKey: "issued for another key", acmestub.FaultOtherName: "issued for other names",
		acmestub.FaultExpired: "expired at", acmestub.FaultNotYetValid: "not valid before", acmestub.FaultWrongChain: "signed by unknown authority"} {
		f := newFixture(t, nil)
		manager := f.openManager(f.options("pay.example.org"))
		start := f.clock()
		f.authority.ScheduleFaults(acmestub.ScheduledFault{Fault: fault, Start: start, End: start.Add(6 * time.Hour)})
		f.runUntil(manager, start.Add(5*time.Hour))
		_, err := manager.Certificate(&tls.ClientHelloInfo{ServerName: "pay.example.org"})
		require.Error(t, err, fault)
		assert.Contains(t, manager.Status()[0].LastFailure, reason, fault)
		f.runUntil(manager, start.Add(12*time.Hour))
		f.leaf(manager, "pay.example.org")
	}
}

// Other faults of the authority: each step ends within its time and memory and leaves a one-line reason. Once the fault is over there
// is a certificate.
func TestOtherAuthorityFaults(t *testing.T) {
	for _, fault := range []acmestub.Fault{acmestub.FaultInternalError, acmestub.FaultBadNonce, acmestub.FaultGarbage, acmestub.FaultEndlessResponse, acmestub.FaultSlow, acmestub.FaultStuckOrder} {
		f := newFixture(t, nil)
		options := f.options("pay.example.org")
		options.StepTimeout = 300 * time.Millisecond
		manager := f.openManager(options)
		start := f.clock()
		f.authority.ScheduleFaults(acmestub.ScheduledFault{Fault: fault, Start: start, End: start.Add(time.Minute), Delay: time.Second})
		for manager.Step(t.Context()) == 0 {
		}
		_, err := manager.Certificate(&tls.ClientHelloInfo{ServerName: "pay.example.org"})
		require.Error(t, err, fault)
		for line := range strings.SplitSeq(manager.Status()[0].LastFailure, "\n") {
			assert.Less(t, len(line), 400, fault)
		}
		f.runUntil(manager, start.Add(3*time.Hour))
		f.leaf(manager, "pay.example.org")
	}
}

// The process crashes between any two steps of an order. Afterwards the store can be read, the order continues, and the certificate that
// is served matches its key.
func TestCrashAtEveryStep(t *testing.T) {
	for _, step := range StepNames {
		f := newFixture(t, nil)
		options := f.options("pay.example.org")
		manager := f.openManager(options)
		f.onStep = func(name string) {
			if name == step {
				panic("killed")
			}
		}
		func() {
			defer func() { _ = recover() }()
			for range 10 {
				f.advance(manager.Step(t.Context()))
			}
		}()
		require.NoError(t, manager.Close()) // as the kernel releases a killed process's lock
		f.onStep = func(string) {}
		manager = f.openManager(options)
		f.runUntil(manager, f.clock().Add(time.Hour))
		f.leaf(manager, "pay.example.org")
		data, err := manager.store.loadCertificate("pay.example.org")
		require.NoError(t, err, step)
		assert.Equal(t, f.leaf(manager, "pay.example.org").Raw, data.Certificate[0], step)
		orders := len(manager.scheduler.OrderTimes)
		assert.LessOrEqual(t, orders, 1, "%s: no order beside the open one", step)
	}
}

// Faults of the store. A second process finds it locked. A damaged state file is set aside, and the certificate is served from its own
// file. While nothing can be written, the certificate stays in use; once writes succeed, it is renewed.
func TestStoreFaults(t *testing.T) {
	f := newFixture(t, nil)
	options := f.options("pay.example.org")
	manager := f.openManager(options)
	_, err := New(options)
	assert.ErrorIs(t, err, ErrStoreLocked)
	f.runUntil(manager, f.clock().Add(time.Minute))
	first := f.leaf(manager, "pay.example.org")
	require.NoError(t, manager.Close())
	require.NoError(t, os.WriteFile(filepath.Join(f.dir, stateFile), []byte("{nonsense"), 0o600))
	manager = f.openManager(options)
	assert.Equal(t, first.SerialNumber, f.leaf(manager, "pay.example.org").SerialNumber)
	assert.Contains(t, f.log.String(), "set aside")
	due := first.NotBefore.Add(80 * 24 * time.Hour)
	names := filepath.Join(f.dir, "names")
	require.NoError(t, os.Rename(names, names+".away"))
	require.NoError(t, os.WriteFile(names, nil, 0o600)) // a file in the directory's place: every write fails
	f.runUntil(manager, due)
	assert.Equal(t, first.SerialNumber, f.leaf(manager, "pay.example.org").SerialNumber)
	require.NotEmpty(t, manager.Status()[0].LastFailure)
	require.NoError(t, os.Remove(names))
	require.NoError(t, os.Rename(names+".away", names))
	f.runUntil(manager, due.Add(3*time.Hour))
	assert.NotEqual(t, first.SerialNumber, f.leaf(manager, "pay.example.org").SerialNumber)
}

// The authority demands an external account binding, which the operator then configures. The account's key is replaced. A certificate is
// revoked, and then renewed at once.
func TestAccountKeysAndRevocation(t *testing.T) {
	secret := []byte("0123456789abcdef0123456789abcdef")
	f := newFixture(t, func(options *acmestub.Options) { options.ExternalAccountKeys = map[string][]byte{"kid-1": secret} })
	options := f.options("pay.example.org")
	manager := f.openManager(options)
	f.runUntil(manager, f.clock().Add(time.Minute))
	assert.Contains(t, manager.Status()[0].LastFailure, "externalAccountRequired")
	require.NoError(t, manager.Close())
	options.Authorities[0].KeyID, options.Authorities[0].KeyHMAC = "kid-1", secret
	manager = f.openManager(options)
	f.runUntil(manager, f.clock().Add(3*time.Hour))
	first := f.leaf(manager, "pay.example.org")
	require.NoError(t, manager.Rollover(t.Context(), 0))
	require.NoError(t, manager.Revoke(t.Context(), "pay.example.org"))
	assert.True(t, f.authority.IsRevoked(first.SerialNumber))
	f.runUntil(manager, f.clock().Add(24*time.Hour))
	assert.NotEqual(t, first.SerialNumber, f.leaf(manager, "pay.example.org").SerialNumber, "under the new key")
}

// A hundred instances over a year, with an outage of a day: there is never a burst of calls, neither during it nor right after.
func TestHundredInstances(t *testing.T) {
	f := newFixture(t, func(o *acmestub.Options) { o.RenewalWindowStart = 0 })
	start := f.clock()
	var schedulers []*certs.Scheduler
	calls := map[int]int{} // by minute
	down := func(now float64) bool { at := now - toMs(start); return at > 61*24*3600e3 && at < 62*24*3600e3 }
	for n := range 100 {
		limits := certs.DefaultLimits()
		limits.Instance = fmt.Sprint("node-", n)
		schedulers = append(schedulers, certs.New(certs.State{}, []string{"pay.example.org"}, limits))
	}
	worst, outage := 0, 0
	for _, scheduler := range schedulers {
		now := toMs(start)
		for now < toMs(start)+365*24*3600e3 {
			action, due := scheduler.Next(now)
			if !due {
				now += max(scheduler.WaitMs(now), 1)
				continue
			}
			calls[int((now-toMs(start))/60e3)]++
			if down(now) {
				outage++
			}
			if action.Kind == certs.CreateOrder {
				scheduler.OrderBegun(now, action)
			}
			if down(now) {
				scheduler.ActionFailed(now, action.Name, certs.AuthorityUnavailable, "down", 0, false)
			} else {
				scheduler.OrderCreated(action.Name, "x")
				scheduler.CertificateIssued(now, action.Name, certs.Certificate{Serial: fmt.Sprint(now), NotBefore: now, NotAfter: now + 90*24*3600e3})
			}
		}
	}
	for minute, n := range calls {
		if minute > 1 {
			worst = max(worst, n)
		}
	}
	assert.LessOrEqual(t, worst, 12, "calls in any minute of the year but the first")
	t.Logf("most calls in a minute %d, in a day's outage %d, in the first minute after %d, in the year %d", worst, outage, calls[62*24*60], total(calls))
}

func total(m map[int]int) (n int) {
	for _, x := range m {
		n += x
	}
	return n
}
