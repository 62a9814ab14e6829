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

// world is an authority, the ports that its challenges are looked up on, and a clock that a test moves.
type world struct {
	t      *testing.T
	mu     sync.Mutex
	now    time.Time
	a      *acmestub.Authority
	server *httptest.Server
	keeper *Keeper // whose challenges are answered
	port   string
	tls    string
	log    strings.Builder
	dir    string
	points func(string)
}

func (w *world) clock() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.now
}

func (w *world) pass(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.now = w.now.Add(d)
}

// Write is the log's.
func (w *world) Write(b []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.log.Write(b)
}

func newWorld(t *testing.T, change func(*acmestub.Options)) *world {
	w := &world{t: t, now: time.Date(2026, 12, 1, 9, 0, 0, 0, time.UTC), dir: t.TempDir(), points: func(string) {}}
	http1 := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		text, ok := w.keeper.Challenge(r.URL.Path)
		if !ok {
			http.NotFound(rw, r)
			return
		}
		_, _ = io.WriteString(rw, text)
	}))
	t.Cleanup(http1.Close)
	l, err := tls.Listen("tcp", "127.0.0.1:0", &tls.Config{NextProtos: []string{"acme-tls/1"},
		GetCertificate: func(h *tls.ClientHelloInfo) (*tls.Certificate, error) { return w.keeper.Certificate(h) }})
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for c, err := l.Accept(); err == nil; c, err = l.Accept() {
			go func() { _ = c.(*tls.Conn).Handshake(); _ = c.Close() }()
		}
	}()
	w.port, w.tls = http1.Listener.Addr().String(), l.Addr().String()
	o := acmestub.Options{Now: w.clock, HTTP: func(string) string { return w.port }, TLS: func(string) string { return w.tls }, Window: 0.7}
	if change != nil {
		change(&o)
	}
	w.a, err = acmestub.New(o)
	require.NoError(t, err)
	w.server = httptest.NewServer(w.a)
	w.server.Config.ErrorLog = slog.NewLogLogger(slog.DiscardHandler, slog.LevelError)
	t.Cleanup(w.server.Close)
	return w
}

func (w *world) options(names ...string) Options {
	o := Options{Dir: w.dir, Names: map[string][]string{}, HTTP: true, Now: w.clock, Within: 2 * time.Second, Log: slog.New(slog.NewTextHandler(w, nil)),
		Authorities: []Authority{{Directory: w.server.URL + "/directory", Roots: w.a.Roots(), Contact: []string{"mailto:ops@example.org"}}},
		Limits:      certs.DefaultLimits(), Point: func(p string) { w.points(p) }}
	for _, n := range names {
		o.Names[n] = []string{n}
	}
	return o
}

func (w *world) open(o Options) *Keeper {
	k, err := New(o)
	require.NoError(w.t, err)
	w.keeper = k
	w.t.Cleanup(func() { _ = k.Close() })
	return k
}

// run has a keeper go on until a time, in leaps from one thing due to the next.
func (w *world) run(k *Keeper, until time.Time) {
	for n := 0; w.clock().Before(until); n++ {
		require.Less(w.t, n, 20_000)
		wait := k.Step(context.Background())
		if left := until.Sub(w.clock()); wait > left {
			wait = left
		}
		w.pass(wait)
	}
}

func (w *world) leaf(k *Keeper, name string) *x509.Certificate {
	c, err := k.Certificate(&tls.ClientHelloInfo{ServerName: name, SupportedProtos: []string{"http/1.1"}})
	require.NoError(w.t, err)
	return c.Leaf
}

func TestObtainAndRenew(t *testing.T) {
	for _, kind := range []string{"http-01", "tls-alpn-01"} {
		w := newWorld(t, nil)
		o := w.options("pay.example.org")
		o.HTTP, o.TLS = kind == "http-01", kind == "tls-alpn-01"
		k := w.open(o)
		begun := w.clock()
		w.run(k, begun.Add(time.Minute))
		first := w.leaf(k, "pay.example.org")
		assert.Equal(t, []string{"pay.example.org"}, first.DNSNames, kind)
		w.run(k, begun.Add(80*24*time.Hour))
		second := w.leaf(k, "pay.example.org")
		assert.NotEqual(t, first.SerialNumber, second.SerialNumber)
		assert.InDelta(t, 0.725*90, second.NotBefore.Sub(begun).Hours()/24, 3, "within the authority's window")
		s := k.Status()[0]
		assert.Equal(t, certs.StageFine, s.Stage)
		assert.Empty(t, s.Fault)
		info, err := os.Stat(filepath.Join(w.dir, "names", "pay.example.org", "served.pem"))
		require.NoError(t, err)
		assert.Equal(t, os.FileMode(0o600), info.Mode().Perm())
		assert.NotContains(t, w.log.String(), "PRIVATE")
		_, err = k.Certificate(&tls.ClientHelloInfo{ServerName: "other.example.org"})
		assert.ErrorContains(t, err, "no certificate for")
	}
}

// The authority is away for hours before expiry and back minutes before it: renewed, and what is held is served throughout.
// Away past expiry: the held one goes on being served, loudly logged, and is renewed when the authority is back.
func TestAuthorityAway(t *testing.T) {
	for name, after := range map[string]time.Duration{"back before": -10 * time.Minute, "back after": 3 * time.Hour} {
		w := newWorld(t, nil)
		k := w.open(w.options("pay.example.org"))
		w.run(k, w.clock().Add(time.Minute))
		first := w.leaf(k, "pay.example.org")
		from := first.NotBefore.Add(50 * 24 * time.Hour)
		back := first.NotAfter.Add(after)
		w.a.Put(acmestub.Trouble{Fault: acmestub.Unreachable, From: from, To: back})
		w.run(k, back)
		assert.Equal(t, first.SerialNumber, w.leaf(k, "pay.example.org").SerialNumber, name)
		days := back.Sub(from).Hours() / 24
		assert.Less(t, float64(w.a.Calls(from, back)), 30*days+60, "%s: not above one in half an hour and the first few", name)
		w.run(k, back.Add(2*time.Hour))
		assert.NotEqual(t, first.SerialNumber, w.leaf(k, "pay.example.org").SerialNumber, name)
		if after > 0 {
			assert.Contains(t, w.log.String(), "level=ERROR msg=\"certificate not renewed\" name=pay.example.org stage=expired")
		}
		assert.Equal(t, certs.StageFine, k.Status()[0].Stage)
	}
}

// Rate limited, the time that was said is heeded.
func TestRateLimited(t *testing.T) {
	w := newWorld(t, nil)
	k := w.open(w.options("pay.example.org"))
	begun := w.clock()
	w.a.Put(acmestub.Trouble{Fault: acmestub.TooMany, From: begun, To: begun.Add(5 * time.Hour), After: 2 * time.Hour})
	w.run(k, begun.Add(5*time.Hour))
	assert.LessOrEqual(t, w.a.Calls(begun, begun.Add(5*time.Hour)), 12, "three times, a few calls each")
	w.run(k, begun.Add(8*time.Hour))
	w.leaf(k, "pay.example.org")
}

// A challenge of one name of three does not hold: the two others have theirs.
func TestRejected(t *testing.T) {
	w := newWorld(t, nil)
	k := w.open(w.options("a.example.org", "b.example.org", "c.example.org"))
	begun := w.clock()
	w.a.Put(acmestub.Trouble{Fault: acmestub.Reject, From: begun, To: begun.Add(24 * time.Hour), Name: "b.example.org"})
	w.run(k, begun.Add(3*time.Hour))
	w.leaf(k, "a.example.org")
	w.leaf(k, "c.example.org")
	s := k.Status()[1]
	assert.Equal(t, certs.StageMissing, s.Stage)
	assert.Contains(t, s.Fault, "rejected by the schedule")
	w.run(k, begun.Add(27*time.Hour))
	w.leaf(k, "b.example.org")
}

// What does not fit key, name, time or root is never swapped in; once what comes fits, it is.
func TestUnfit(t *testing.T) {
	for fault, why := range map[acmestub.Fault]string{acmestub.OtherKey: "issued for another key", acmestub.OtherName: "issued for other names",
		acmestub.Outdated: "expired at", acmestub.TooEarly: "not valid before", acmestub.WrongChain: "signed by unknown authority"} {
		w := newWorld(t, nil)
		k := w.open(w.options("pay.example.org"))
		begun := w.clock()
		w.a.Put(acmestub.Trouble{Fault: fault, From: begun, To: begun.Add(6 * time.Hour)})
		w.run(k, begun.Add(5*time.Hour))
		_, err := k.Certificate(&tls.ClientHelloInfo{ServerName: "pay.example.org"})
		require.Error(t, err, fault)
		assert.Contains(t, k.Status()[0].Fault, why, fault)
		w.run(k, begun.Add(12*time.Hour))
		w.leaf(k, "pay.example.org")
	}
}

// The other troubles of an authority end with a certificate once they are over, in bounded memory and with one clear line.
func TestOtherTroubles(t *testing.T) {
	for _, fault := range []acmestub.Fault{acmestub.Broken, acmestub.BadNonce, acmestub.Garbage, acmestub.Huge, acmestub.Slow, acmestub.Stuck} {
		w := newWorld(t, nil)
		o := w.options("pay.example.org")
		o.Within = 300 * time.Millisecond
		k := w.open(o)
		begun := w.clock()
		w.a.Put(acmestub.Trouble{Fault: fault, From: begun, To: begun.Add(time.Minute), Delay: time.Second})
		for k.Step(t.Context()) == 0 {
		}
		_, err := k.Certificate(&tls.ClientHelloInfo{ServerName: "pay.example.org"})
		require.Error(t, err, fault)
		for line := range strings.SplitSeq(k.Status()[0].Fault, "\n") {
			assert.Less(t, len(line), 400, fault)
		}
		w.run(k, begun.Add(3*time.Hour))
		w.leaf(k, "pay.example.org")
	}
}

// Killed between any two steps of an order: the store can be read, the order goes on where it stood, and what is served
// fits its key.
func TestKilledAtEveryStep(t *testing.T) {
	for _, point := range Points {
		w := newWorld(t, nil)
		o := w.options("pay.example.org")
		k := w.open(o)
		w.points = func(p string) {
			if p == point {
				panic("killed")
			}
		}
		func() {
			defer func() { _ = recover() }()
			for range 10 {
				w.pass(k.Step(t.Context()))
			}
		}()
		require.NoError(t, k.Close()) // as the kernel lets go of a killed process's lock
		w.points = func(string) {}
		k = w.open(o)
		w.run(k, w.clock().Add(time.Hour))
		w.leaf(k, "pay.example.org")
		data, err := k.store.served("pay.example.org")
		require.NoError(t, err, point)
		assert.Equal(t, w.leaf(k, "pay.example.org").Raw, data.Certificate[0], point)
		orders := len(k.core.OrderTimes)
		assert.LessOrEqual(t, orders, 1, "%s: no order beside the one that was open", point)
	}
}

// The disk is full: nothing is lost, what is served goes on being served, and with room it goes on. A second process on
// the store is told so. A damaged note is set aside, and what is served is read from its own file.
func TestStoreTroubles(t *testing.T) {
	w := newWorld(t, nil)
	o := w.options("pay.example.org")
	k := w.open(o)
	_, err := New(o)
	assert.ErrorIs(t, err, ErrBusy)
	w.run(k, w.clock().Add(time.Minute))
	first := w.leaf(k, "pay.example.org")
	require.NoError(t, k.Close())
	require.NoError(t, os.WriteFile(filepath.Join(w.dir, stateFile), []byte("{nonsense"), 0o600))
	k = w.open(o)
	assert.Equal(t, first.SerialNumber, w.leaf(k, "pay.example.org").SerialNumber)
	assert.Contains(t, w.log.String(), "set aside")
	due := first.NotBefore.Add(80 * 24 * time.Hour)
	names := filepath.Join(w.dir, "names")
	require.NoError(t, os.Rename(names, names+".away"))
	require.NoError(t, os.WriteFile(names, nil, 0o600)) // no directory can be made there: every write fails
	w.run(k, due)
	assert.Equal(t, first.SerialNumber, w.leaf(k, "pay.example.org").SerialNumber)
	require.NotEmpty(t, k.Status()[0].Fault)
	require.NoError(t, os.Remove(names))
	require.NoError(t, os.Rename(names+".away", names))
	w.run(k, due.Add(3*time.Hour))
	assert.NotEqual(t, first.SerialNumber, w.leaf(k, "pay.example.org").SerialNumber)
}

// A binding to an account outside is asked for and given; keys roll over; a certificate is revoked, and then renewed at once.
func TestAccounts(t *testing.T) {
	secret := []byte("0123456789abcdef0123456789abcdef")
	w := newWorld(t, func(o *acmestub.Options) { o.Binding = map[string][]byte{"kid-1": secret} })
	o := w.options("pay.example.org")
	k := w.open(o)
	w.run(k, w.clock().Add(time.Minute))
	assert.Contains(t, k.Status()[0].Fault, "externalAccountRequired")
	require.NoError(t, k.Close())
	o.Authorities[0].KeyID, o.Authorities[0].KeyHMAC = "kid-1", secret
	k = w.open(o)
	w.run(k, w.clock().Add(3*time.Hour))
	first := w.leaf(k, "pay.example.org")
	require.NoError(t, k.Rollover(t.Context(), 0))
	require.NoError(t, k.Revoke(t.Context(), "pay.example.org"))
	assert.True(t, w.a.Revoked(first.SerialNumber))
	w.run(k, w.clock().Add(24*time.Hour))
	assert.NotEqual(t, first.SerialNumber, w.leaf(k, "pay.example.org").SerialNumber, "under the new key")
}

// A hundred instances over a year: an outage of a day brings no storm, neither in it nor in the first minute after.
func TestHundredInstances(t *testing.T) {
	w := newWorld(t, func(o *acmestub.Options) { o.Window = 0 })
	begun := w.clock()
	var all []*certs.Scheduler
	calls := map[int]int{} // by minute
	down := func(now float64) bool { at := now - ms(begun); return at > 61*24*3600e3 && at < 62*24*3600e3 }
	for n := range 100 {
		l := certs.DefaultLimits()
		l.Instance = fmt.Sprint("node-", n)
		all = append(all, certs.New(certs.State{}, []string{"pay.example.org"}, l))
	}
	worst, outage := 0, 0
	for _, c := range all {
		now := ms(begun)
		for now < ms(begun)+365*24*3600e3 {
			a, due := c.Next(now)
			if !due {
				now += max(c.WaitMs(now), 1)
				continue
			}
			calls[int((now-ms(begun))/60e3)]++
			if down(now) {
				outage++
			}
			if a.Kind == certs.CreateOrder {
				c.OrderBegun(now, a)
			}
			if down(now) {
				c.ActionFailed(now, a.Name, certs.AuthorityUnavailable, "down", 0, false)
			} else {
				c.OrderCreated(a.Name, "x")
				c.CertificateIssued(now, a.Name, certs.Certificate{Serial: fmt.Sprint(now), NotBefore: now, NotAfter: now + 90*24*3600e3})
			}
		}
	}
	for minute, n := range calls {
		if minute > 1 {
			worst = max(worst, n)
		}
	}
	assert.LessOrEqual(t, worst, 12, "in any minute of the year but the first")
	t.Logf("most calls in a minute %d, in a day's outage %d, in the first minute after %d, in the year %d", worst, outage, calls[62*24*60], sum(calls))
}

func sum(m map[int]int) (n int) {
	for _, x := range m {
		n += x
	}
	return n
}
