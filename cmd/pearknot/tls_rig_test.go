package main

import (
	"crypto/tls"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pearknot/internal/lab/acmestub"
)

// tlsRig is an ACME authority, and a directory with a certificate store and the files of nodes that share it.
type tlsRig struct {
	t         testing.TB
	dir       string
	authority *acmestub.Authority
	directory string
	alpn      atomic.Pointer[string] // where the authority looks
	clients   *tls.Config
}

func newTLSRig(t testing.TB) *tlsRig {
	dir, err := os.MkdirTemp("", "pk") // short: a socket's path is bounded
	require.NoError(t, err)
	rig := &tlsRig{t: t, dir: dir}
	t.Cleanup(func() { _ = os.RemoveAll(dir) })
	rig.authority, err = acmestub.New(acmestub.Options{RenewalWindowStart: 0.7, TLSChallengeAddress: func(string) string { return *rig.alpn.Load() }})
	require.NoError(t, err)
	s := httptest.NewServer(rig.authority)
	t.Cleanup(s.Close)
	rig.directory = s.URL + "/directory"
	require.NoError(t, os.WriteFile(filepath.Join(dir, "roots.pem"), rig.authority.RootPEM(), 0o600))
	rig.clients = &tls.Config{RootCAs: rig.authority.Roots(), ServerName: "one.example", MinVersion: tls.VersionTLS12}
	return rig
}

// startNode starts a node that serves TLS, and returns it with its TLS address and control socket.
func (rig *tlsRig) startNode(name string, sockets int) (node *testNode, address, socket string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(rig.t, err)
	address = l.Addr().String()
	require.NoError(rig.t, l.Close())
	file := filepath.Join(rig.dir, name+".toml")
	require.NoError(rig.t, os.WriteFile(file, fmt.Appendf(nil, "listen = %q\ndir = %q\n[limits]\norders_per_hour = 50\nbackoff_s = 1\n[[authority]]\ndirectory = %q\nroots_file = \"roots.pem\"\n"+
		"[[certificate]]\nname = \"a\"\nnames = [\"one.example\", \"two.example\"]\n", address, filepath.Join(rig.dir, "store"), rig.directory), 0o600))
	if rig.alpn.Load() == nil {
		rig.alpn.Store(&address)
	}
	socket = filepath.Join(rig.dir, name)
	return startNode(rig.t, sockets, func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "done") }, "--tls", file, "--control", socket), address, socket
}

// servedSerial returns the serial number of the certificate that is served at an address; empty is none.
func (rig *tlsRig) servedSerial(address string) string {
	c, err := tls.DialWithDialer(&net.Dialer{Timeout: time.Second}, "tcp", address, rig.clients)
	if err != nil {
		return ""
	}
	defer c.Close()
	return c.ConnectionState().PeerCertificates[0].SerialNumber.String()
}

func (rig *tlsRig) waitForSerial(address string, ok func(serial string) bool) (serial string) {
	require.Eventually(rig.t, func() bool { serial = rig.servedSerial(address); return serial != "" && ok(serial) }, 15*time.Second, 20*time.Millisecond)
	return serial
}
