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

// TLS has clients speak TLS with the nodes, whose certificates come from a stand-in authority. All nodes share one
// store, as the instances of a host do: one of them orders, the others follow and answer challenges too.
type TLS struct {
	RenewAtSeconds []float64      // seconds at which the certificate is ordered anew
	OnFinished     func(TLSStats) // at the end
	ResumeSessions bool           // clients use session tickets
}

// TLSStats is what became of them.
type TLSStats struct {
	RenewalsRequested, RenewalsRefused int // renewals
	CertificatesIssued                 int // certificates, the first among them
	Handshakes                         uint64
	Resumed                            uint64
	Failed                             uint64
}

const (
	secureName   = "members.example"
	secureWithin = 20 * time.Second // until all nodes serve their first certificate
)

// secure is the lab's part of it.
type secure struct {
	o         TLS
	w         *world
	authority *acmestub.Authority
	server    *httptest.Server
	config    *tls.Config
	before    map[int]server.HandshakeStats
	asked     int
	refused   int
}

// newSecure starts the authority. It looks challenges up at the last node that is ready, which seldom is the one that
// orders.
func (w *world) newSecure(o TLS) (*secure, error) {
	s := &secure{o: o, w: w}
	var err error
	s.authority, err = acmestub.New(acmestub.Options{RenewalWindowStart: 0.7, TLSChallengeAddress: func(string) string {
		for _, n := range slices.Backward(w.nodes) {
			if n.letter() == 'U' {
				return n.secure
			}
		}
		return w.nodes[0].secure
	}})
	if err != nil {
		return nil, err
	}
	s.server = httptest.NewServer(s.authority)
	s.server.Config.ErrorLog = slog.NewLogLogger(slog.DiscardHandler, slog.LevelError)
	s.config = &tls.Config{ServerName: secureName, RootCAs: s.authority.Roots(), MinVersion: tls.VersionTLS12}
	if o.ResumeSessions {
		s.config.ClientSessionCache = tls.NewLRUClientSessionCache(0)
	}
	return s, os.WriteFile(filepath.Join(w.dir, "roots.pem"), s.authority.RootPEM(), 0o600)
}

// arguments are those of a node that serves TLS.
func (s *secure) arguments(n *node) ([]string, error) {
	file := filepath.Join(s.w.dir, fmt.Sprintf("n%d-tls.toml", n.number))
	text := fmt.Sprintf("listen = %q\ndir = %q\n[limits]\norders_per_hour = 100\nbackoff_s = 1\n[[authority]]\ndirectory = %q\nroots_file = \"roots.pem\"\n"+
		"[[certificate]]\nname = \"members\"\nnames = [%q]\n", n.secure, filepath.Join(s.w.dir, "certs"), s.server.URL+"/directory", secureName)
	return []string{"--tls", file, "--control", n.socket()}, os.WriteFile(file, []byte(text), 0o600)
}

func (n *node) socket() string { return filepath.Join(n.dir, fmt.Sprintf("n%d.sock", n.number)) }

// ready waits until all nodes serve.
func (s *secure) ready(ctx context.Context) error {
	for _, n := range s.w.nodes {
		for begun := time.Now(); ; wait(ctx, 20*time.Millisecond) {
			c, err := tls.DialWithDialer(&net.Dialer{Timeout: time.Second}, "tcp", n.secure, s.config)
			if err == nil {
				_ = c.Close()
				break
			}
			if ctx.Err() != nil || time.Since(begun) > secureWithin {
				return fmt.Errorf("node %d serves no TLS: %w", n.number, err)
			}
		}
	}
	s.before = s.counts(ctx)
	return nil
}

// renew has the certificate ordered anew at the times given, by whichever node orders.
func (s *secure) renew(ctx context.Context) {
	for _, at := range s.o.RenewAtSeconds {
		wait(ctx, time.Until(s.w.time(at*1e3)))
		if ctx.Err() != nil {
			return
		}
		s.asked++
		taken := false
		for _, n := range s.w.nodes {
			c := controlsocket.NewClient(n.socket(), 5*time.Second)
			if err := c.Call(ctx, http.MethodPost, controlsocket.RenewPath, controlsocket.Certificate{Name: "members"}, nil); err == nil {
				taken = true
				break
			}
		}
		if !taken {
			s.refused++
		}
	}
}

// counts are those of the processes that run now.
func (s *secure) counts(ctx context.Context) map[int]server.HandshakeStats {
	all := map[int]server.HandshakeStats{}
	for _, n := range s.w.nodes {
		var status controlsocket.Status
		if controlsocket.NewClient(n.socket(), time.Second).Call(ctx, http.MethodGet, controlsocket.StatusPath, nil, &status) == nil && status.TLS != nil {
			all[status.PID] = status.TLS.Handshakes
		}
	}
	return all
}

// look sums what was counted since the start, at which there was nothing to serve yet; those of killed processes are gone.
func (s *secure) look(ctx context.Context) {
	told := TLSStats{RenewalsRequested: s.asked, RenewalsRefused: s.refused, CertificatesIssued: s.authority.IssuedCount()}
	for pid, h := range s.counts(ctx) {
		was := s.before[pid]
		told.Handshakes += h.Done - was.Done
		told.Resumed += h.Resumed - was.Resumed
		told.Failed += h.Failed + h.Evicted - was.Failed - was.Evicted
	}
	if s.o.OnFinished != nil {
		s.o.OnFinished(told)
	}
}
