package acme

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pearknot/internal/certs"
	"pearknot/internal/lab/acmestub"
)

// What a child process of these tests is told.
const (
	childDir       = "PEARKNOT_TEST_DIR"
	childDirectory = "PEARKNOT_TEST_DIRECTORY"
	childListen    = "PEARKNOT_TEST_LISTEN"
	childPoint     = "PEARKNOT_TEST_POINT" // at which it kills itself
	childFull      = "PEARKNOT_TEST_FULL"  // bytes that a file may have: more is as on a full disk
)

// TestMain is a keeper in a process of its own where it is asked to be.
func TestMain(m *testing.M) {
	if os.Getenv(childDir) == "" {
		os.Exit(m.Run())
	}
	if err := child(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func child() error {
	dir := os.Getenv(childDir)
	within := 20 * time.Second
	if text := os.Getenv(childFull); text != "" {
		most, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			return err
		}
		signal.Ignore(syscall.SIGXFSZ) // the write is to fail
		if err := syscall.Setrlimit(syscall.RLIMIT_FSIZE, &syscall.Rlimit{Cur: most, Max: most}); err != nil {
			return err
		}
		within = time.Second
	}
	data, err := os.ReadFile(filepath.Join(dir, "..", "roots.pem"))
	if err != nil {
		return err
	}
	roots := x509.NewCertPool()
	roots.AppendCertsFromPEM(data)
	l := certs.DefaultLimits()
	l.MinBackoff = 50
	k, err := New(Options{Dir: dir, Names: map[string][]string{"pay": {"pay.example.org"}}, HTTP: true, Log: slog.New(slog.NewTextHandler(os.Stderr, nil)),
		Authorities: []Authority{{Directory: os.Getenv(childDirectory), Roots: roots}}, Limits: l, Point: func(p string) {
			if p == os.Getenv(childPoint) {
				_ = syscall.Kill(os.Getpid(), syscall.SIGKILL)
				select {}
			}
		}})
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", os.Getenv(childListen))
	if err != nil {
		return err
	}
	go func() {
		_ = http.Serve(listener, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			text, _ := k.Challenge(r.URL.Path)
			_, _ = io.WriteString(w, text)
		}))
	}()
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	for ctx.Err() == nil {
		wait := k.Step(ctx)
		if _, err := k.Certificate(&tls.ClientHelloInfo{ServerName: "pay.example.org"}); err == nil && k.Status()[0].Stage == certs.StageFine && k.Status()[0].Order == "" {
			return k.Close()
		}
		pause(ctx, min(wait, time.Second))
	}
	return errors.New("nothing came of it")
}

// children gives an authority on the machine's clock, a store, and what runs a keeper on it in a process of its own.
func children(t *testing.T) (w *world, dir string, run func(told ...string) (string, error)) {
	free, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := free.Addr().String()
	require.NoError(t, free.Close())
	w = newWorld(t, func(o *acmestub.Options) {
		o.Now = time.Now
		o.HTTP = func(string) string { return address }
	})
	dir = filepath.Join(w.dir, "store")
	require.NoError(t, os.WriteFile(filepath.Join(w.dir, "roots.pem"), w.a.RootPEM(), 0o600))
	return w, dir, func(told ...string) (string, error) {
		c := exec.Command(os.Args[0])
		c.Env = append(append(os.Environ(), childDir+"="+dir, childDirectory+"="+w.server.URL+"/directory", childListen+"="+address), told...)
		var said bytes.Buffer
		c.Stderr = &said
		err := c.Run()
		return said.String(), err
	}
}

// A process is killed by the kernel at each point of an order; the next one takes the store up, goes on with the order
// that is open, and no second one is made.
func TestSigkillAtEveryPoint(t *testing.T) {
	for _, point := range Points {
		t.Run(point, func(t *testing.T) {
			w, dir, run := children(t)
			text, err := run(childPoint + "=" + point)
			var exit *exec.ExitError
			require.ErrorAs(t, err, &exit, text)
			assert.Equal(t, syscall.SIGKILL, exit.Sys().(syscall.WaitStatus).Signal(), text)
			text, err = run()
			require.NoError(t, err, text)
			most := 1
			if point == "ordered" { // the kernel took the address with it: the authority alone knows of that order
				most = 2
			}
			assert.LessOrEqual(t, w.a.Orders(), most)
			c, err := (&store{dir: dir}).served("pay")
			require.NoError(t, err)
			require.NotNil(t, c)
			assert.NotContains(t, text, "PRIVATE KEY")
		})
	}
}

// The system refuses what a process writes, at whichever file it comes to that: it goes on, nothing is served that is not
// stored, no order is made that could be forgotten, and with room the next one ends in a certificate.
func TestFullDisk(t *testing.T) {
	for _, most := range []string{"20", "150", "230", "700"} {
		w, dir, run := children(t)
		text, err := run(childFull + "=" + most)
		require.Error(t, err, most)
		assert.Contains(t, text, "file too large", most)
		assert.Contains(t, text, "nothing came of it", "%s: it goes on", most)
		assert.LessOrEqual(t, w.a.Orders(), 1, most)
		c, err := (&store{dir: dir}).served("pay")
		require.NoError(t, err, most)
		assert.Nil(t, c, most)
		text, err = run()
		require.NoError(t, err, text)
		assert.LessOrEqual(t, w.a.Orders(), 2, most)
	}
}

// Several instances on a store: the first orders, the others serve what it brings and show its answers to challenges; when
// it ends, one of the others orders.
func TestInstances(t *testing.T) {
	w := newWorld(t, nil)
	o := w.options("pay.example.org")
	var keys [2][][32]byte
	one, err := Open(o, func(k [][32]byte) { keys[0] = k })
	require.NoError(t, err)
	two, err := Open(o, func(k [][32]byte) { keys[1] = k })
	require.NoError(t, err)
	here, _ := one.Orders()
	assert.True(t, here)
	here, pid := two.Orders()
	assert.False(t, here)
	assert.Equal(t, os.Getpid(), pid)
	assert.Len(t, keys[0], 1)
	assert.Equal(t, keys[0], keys[1], "tickets of one are understood by the other")
	assert.ErrorContains(t, two.Renew(t.Context(), "pay.example.org"), "orders the certificates")
	hello := &tls.ClientHelloInfo{ServerName: "pay.example.org"}
	_, err = two.Certificate(hello)
	assert.Error(t, err)

	k := one.orders()
	w.keeper = k
	away, err := k.store.putToken("/.well-known/acme-challenge/x", "token.proof")
	require.NoError(t, err)
	seen, _ := two.Challenge("/.well-known/acme-challenge/x")
	assert.Equal(t, "token.proof", seen)
	away()
	_, ok := two.Challenge("/.well-known/acme-challenge/x")
	assert.False(t, ok)
	_, ok = two.Challenge("/../../../lock")
	assert.False(t, ok, "what is asked for names no file")
	client, err := k.client(0)
	require.NoError(t, err)
	cert, err := client.acme.TLSALPN01ChallengeCert("x", "pay.example.org")
	require.NoError(t, err)
	away, err = k.store.putProof("pay.example.org", &cert)
	require.NoError(t, err)
	got, err := two.Certificate(&tls.ClientHelloInfo{ServerName: "pay.example.org", SupportedProtos: []string{"acme-tls/1"}})
	require.NoError(t, err)
	assert.Equal(t, cert.Certificate, got.Certificate)
	away()

	w.run(k, w.clock().Add(time.Minute))
	two.follow()
	mine, err := one.Certificate(hello)
	require.NoError(t, err)
	theirs, err := two.Certificate(hello)
	require.NoError(t, err)
	assert.Equal(t, mine.Certificate, theirs.Certificate)
	assert.Equal(t, one.Status(), two.Status())

	w.pass(ticketLife)
	require.NoError(t, one.rotate())
	two.follow()
	assert.Len(t, keys[0], 2)
	assert.Equal(t, keys[0], keys[1])
	for range 5 {
		w.pass(ticketLife)
		require.NoError(t, one.rotate())
	}
	assert.Len(t, keys[0], ticketKeys)

	require.NoError(t, one.Close())
	require.NoError(t, two.take())
	here, _ = two.Orders()
	assert.True(t, here)
	require.NoError(t, two.Close())
}

// FuzzAnswers has the authority answer one of the calls with whatever, cut short or not: the keeper ends the step in
// bounded memory with one line, and the next tries go on.
func FuzzAnswers(f *testing.F) {
	f.Add(uint8(0), uint16(200), "application/json", []byte(`{"newNonce":`))
	f.Add(uint8(1), uint16(200), "application/json", []byte(`{"newNonce":"http://127.0.0.1:1","newAccount":3}`))
	f.Add(uint8(2), uint16(201), "text/html", []byte("<html>"))
	f.Add(uint8(3), uint16(429), "application/problem+json", []byte(`{"type":"urn:ietf:params:acme:error:rateLimited"}`))
	f.Add(uint8(4), uint16(500), "", []byte{0, 255, 10})
	f.Add(uint8(9), uint16(200), "application/pem-certificate-chain", []byte("-----BEGIN CERTIFICATE-----\nAAAA\n-----END CERTIFICATE-----\n"))
	f.Fuzz(func(t *testing.T, at uint8, status uint16, kind string, body []byte) {
		w := newWorld(t, nil)
		calls := 0
		inner := w.server.Config.Handler
		w.server.Config.Handler = http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
			calls++
			if calls-1 != int(at%12) || status < 200 || status > 599 {
				inner.ServeHTTP(rw, r)
				return
			}
			rw.Header().Set("Content-Type", strings.ToValidUTF8(kind, ""))
			rw.Header().Set("Replay-Nonce", "AAAA")
			rw.Header().Set("Location", string(bytes.ToValidUTF8(body, nil)))
			rw.WriteHeader(int(status))
			_, _ = rw.Write(body)
		})
		o := w.options("pay.example.org")
		o.Within = 500 * time.Millisecond
		k := w.open(o)
		for range 6 {
			wait := k.Step(t.Context())
			require.LessOrEqual(t, len(k.Status()[0].Fault), 400)
			require.NotContains(t, k.Status()[0].Fault, "\n")
			w.pass(wait)
		}
	})
}
