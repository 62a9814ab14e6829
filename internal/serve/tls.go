package serve

import (
	"cmp"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/base64"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/url"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"time"

	"pearknot/internal/acme"
	"pearknot/internal/certs"
	"pearknot/internal/controlsocket"
	"pearknot/internal/server"
	"pearknot/internal/tomlfile"
)

// tlsReserve are descriptors that are no client's and no backend's where TLS is served: its listener, the one of
// challenges with its few callers, the calls to the authority, the store.
const tlsReserve = 14

// TLS is how a node serves TLS, and where its certificates come from.
type TLS struct {
	Listen    string
	Challenge string // address of http-01; empty is none
	Acme      acme.Options
}

type tlsFile struct {
	Listen    string `toml:"listen"`
	Challenge string `toml:"challenge_listen"`
	ALPN      bool   `toml:"challenge_tls"`
	Dir       string `toml:"dir"`
	Limits    struct {
		OrdersPerHour int     `toml:"orders_per_hour"`
		FallBackAfter int     `toml:"fall_back_after"`
		ReturnAfterH  float64 `toml:"return_after_h"`
		BackoffS      float64 `toml:"backoff_s"`
		BackoffMostS  float64 `toml:"backoff_most_s"`
		InfoEveryH    float64 `toml:"info_every_h"`
	} `toml:"limits"`
	Authorities []struct {
		Directory string   `toml:"directory"`
		Contact   []string `toml:"contact"`
		Roots     string   `toml:"roots_file"`
		KeyID     string   `toml:"key_id"`
		Key       string   `toml:"key_file"`
	} `toml:"authority"`
	Certificates []struct {
		Name  string   `toml:"name"`
		Names []string `toml:"names"`
	} `toml:"certificate"`
}

var (
	hostName        = regexp.MustCompile(`^([a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?\.)*[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)
	certificateName = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)
)

// ReadTLS reads the operator's file of TLS. Files that it names are found from where it stands.
func ReadTLS(name string) (*TLS, error) {
	d := certs.Defaults()
	f := tlsFile{ALPN: true}
	f.Limits.OrdersPerHour, f.Limits.FallBackAfter, f.Limits.ReturnAfterH = d.OrdersPerHour, d.FallBackAfter, d.ReturnAfter/3600e3
	f.Limits.BackoffS, f.Limits.BackoffMostS, f.Limits.InfoEveryH = d.Backoff/1e3, d.BackoffMost/1e3, d.InfoEvery/3600e3
	at, err := tomlfile.Read(name, &f)
	if err != nil {
		return nil, err
	}
	l := f.Limits
	for _, x := range []struct {
		key               string
		value, from, most float64
	}{{"limits.orders_per_hour", float64(l.OrdersPerHour), 1, 100}, {"limits.fall_back_after", float64(l.FallBackAfter), 1, 1000},
		{"limits.return_after_h", l.ReturnAfterH, 0.01, 8760}, {"limits.backoff_s", l.BackoffS, 1, 86400},
		{"limits.backoff_most_s", l.BackoffMostS, l.BackoffS, 86400}, {"limits.info_every_h", l.InfoEveryH, 0.1, 168}} {
		if !(x.value >= x.from && x.value <= x.most) {
			return nil, at.Errorf(x.key, "%v is not %v to %v", x.value, x.from, x.most)
		}
	}
	if _, _, err := net.SplitHostPort(f.Listen); err != nil {
		return nil, at.Errorf("listen", "%v", err)
	}
	if _, _, err := net.SplitHostPort(f.Challenge); f.Challenge != "" && err != nil {
		return nil, at.Errorf("challenge_listen", "%v", err)
	}
	switch {
	case f.Dir == "":
		return nil, at.Errorf("dir", "none given")
	case f.Challenge == "" && !f.ALPN:
		return nil, at.Errorf("challenge_tls", "no kind of challenge is left: set challenge_listen, or this")
	case len(f.Authorities) == 0:
		return nil, at.Errorf("authority", "none given")
	case len(f.Certificates) == 0:
		return nil, at.Errorf("certificate", "none given")
	}
	t := &TLS{Listen: f.Listen, Challenge: f.Challenge, Acme: acme.Options{Dir: f.Dir, Names: map[string][]string{}, HTTP: f.Challenge != "", TLS: f.ALPN,
		Limits: certs.Limits{OrdersPerHour: l.OrdersPerHour, FallBackAfter: l.FallBackAfter, ReturnAfter: l.ReturnAfterH * 3600e3, Backoff: l.BackoffS * 1e3,
			BackoffMost: l.BackoffMostS * 1e3, InfoEvery: l.InfoEveryH * 3600e3}}}
	taken := map[string]string{}
	for k, c := range f.Certificates {
		key := fmt.Sprintf("certificate.%d.", k)
		if !certificateName.MatchString(c.Name) || t.Acme.Names[c.Name] != nil {
			return nil, at.Errorf(key+"name", "%q is no name of its own, of small letters, digits, . _ and -", c.Name)
		}
		if len(c.Names) == 0 || len(c.Names) > 100 {
			return nil, at.Errorf(key+"names", "%d names are not 1 to 100", len(c.Names))
		}
		for _, n := range c.Names {
			if !hostName.MatchString(n) || len(n) > 253 {
				return nil, at.Errorf(key+"names", "%q is no host's name in small letters", n)
			}
			if other := taken[n]; other != "" {
				return nil, at.Errorf(key+"names", "%s is in %s already", n, other)
			}
			taken[n] = c.Name
		}
		t.Acme.Names[c.Name] = c.Names
	}
	beside := func(file string) string {
		if filepath.IsAbs(file) {
			return file
		}
		return filepath.Join(filepath.Dir(name), file)
	}
	for k, a := range f.Authorities {
		key := fmt.Sprintf("authority.%d.", k)
		one := acme.Authority{Directory: a.Directory, Contact: a.Contact, KeyID: a.KeyID}
		u, err := url.Parse(a.Directory)
		if err != nil || u.Host == "" || u.Scheme != "https" && !(u.Scheme == "http" && net.ParseIP(u.Hostname()).IsLoopback()) {
			return nil, at.Errorf(key+"directory", "%q is no https address", a.Directory)
		}
		if a.Roots != "" {
			data, err := os.ReadFile(beside(a.Roots))
			if err != nil {
				return nil, at.Errorf(key+"roots_file", "%v", err)
			}
			one.Roots = x509.NewCertPool()
			if !one.Roots.AppendCertsFromPEM(data) {
				return nil, at.Errorf(key+"roots_file", "%s: no certificate", a.Roots)
			}
		}
		if (a.KeyID == "") != (a.Key == "") {
			return nil, at.Errorf(key+"key_id", "key_id and key_file go together")
		}
		if a.Key != "" {
			data, err := os.ReadFile(beside(a.Key))
			if err == nil {
				one.KeyHMAC, err = base64.RawURLEncoding.DecodeString(strings.TrimRight(strings.TrimSpace(string(data)), "="))
			}
			if err == nil && len(one.KeyHMAC) < 16 {
				err = errors.New("too short for a key")
			}
			if err != nil {
				return nil, at.Errorf(key+"key_file", "%s: %v", a.Key, strings.TrimPrefix(err.Error(), "open "+beside(a.Key)+": "))
			}
		}
		t.Acme.Authorities = append(t.Acme.Authorities, one)
	}
	return t, nil
}

// secured opens the TLS listener and the store, and runs the instance's keeper of certificates until ctx ends; wait ends
// when it has let go of the store.
func secured(ctx context.Context, p *Config, o *TLS, f *server.Server, log *slog.Logger) (i *acme.Instance, wait func(), err error) {
	a := o.Acme
	a.Limits.Instance, a.Log = p.name, log
	if err := f.ListenTLS(server.TLSConfig{Address: cmp.Or(p.tlsListen, o.Listen), ReusePort: p.control != "", AnswerChallenges: a.TLS,
		GetCertificate: func(hello *tls.ClientHelloInfo) (*tls.Certificate, error) { return i.Certificate(hello) }}, p.sockets); err != nil {
		return nil, nil, err
	}
	if i, err = acme.Open(a, f.SetSessionTicketKeys); err != nil {
		return nil, nil, fmt.Errorf("certificates: %w", err)
	}
	var all sync.WaitGroup
	all.Go(func() { i.Run(ctx) })
	if o.Challenge != "" {
		all.Go(func() { challenges(ctx, o.Challenge, i, log) })
	}
	here, pid := i.Orders()
	log.Info("serving TLS", "address", f.TLSAddress(), "certificates", len(a.Names), "orders", here, "ordered_by", pid)
	return i, all.Wait, nil
}

// challenges serves http-01 until ctx ends. Of the instances of a host one has the address at a time: the others wait
// for it.
func challenges(ctx context.Context, address string, i *acme.Instance, log *slog.Logger) {
	var told string
	for ctx.Err() == nil {
		l, err := net.Listen("tcp", address)
		if err != nil {
			if told != err.Error() {
				log.Warn("challenges not served here", "error", err)
			}
			told = err.Error()
			select {
			case <-ctx.Done():
			case <-time.After(challengeAgain):
			}
			continue
		}
		s := &http.Server{Handler: answered(i), ReadTimeout: challengeWithin, WriteTimeout: challengeWithin, MaxHeaderBytes: 8 << 10,
			ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelDebug)}
		s.SetKeepAlivesEnabled(false)
		log.Info("serving challenges", "address", l.Addr().String())
		told = ""
		stop := context.AfterFunc(ctx, func() { _ = s.Close() })
		if err := s.Serve(controlsocket.LimitConnections(l)); ctx.Err() == nil {
			log.Error("challenges no longer served", "error", err)
		}
		stop()
	}
}

const (
	challengeWithin = 5 * time.Second // a look at a challenge
	challengeAgain  = time.Second     // until an address that was taken is tried again
)

// answered serves http-01 (RFC 8555, 8.3), and nothing else.
func answered(i *acme.Instance) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		text, ok := i.Challenge(r.URL.Path)
		if !ok {
			http.NotFound(w, r)
			return
		}
		w.Header().Set("Content-Type", "application/octet-stream")
		_, _ = io.WriteString(w, text)
	})
}
