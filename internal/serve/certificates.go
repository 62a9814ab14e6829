package serve

import (
	"cmp"
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"pearknot/internal/acme"
	"pearknot/internal/controlsocket"
	"pearknot/internal/server"
)

const (
	// tlsDescriptors is the number of descriptors that TLS needs in addition to those of clients and backends: for its
	// listener, the listener for challenges and its connections, the calls to the authority, and the certificate store.
	tlsDescriptors = 14

	// challengeTimeout bounds the time to read a challenge request, and the time to write its response.
	challengeTimeout = 5 * time.Second

	// challengeRetryDelay is the wait before another attempt to listen at a challenge address that was in use.
	challengeRetryDelay = time.Second

	challengeMaxHeaderBytes = 8 << 10
)

// openTLS opens the TLS listener and the certificate store, and renews the certificates until ctx is done. After that, wait
// waits until the store has been released.
func (p *process) openTLS(ctx context.Context) (wait func(), err error) {
	options := p.options.TLS
	acmeOptions := options.ACME
	acmeOptions.Limits.Instance, acmeOptions.Log = p.config.name, p.log
	var certificates *acme.Instance // set before the listener is served
	err = p.server.ListenTLS(server.TLSConfig{
		Address:          cmp.Or(p.config.tlsAddress, options.Address),
		ReusePort:        p.config.adminAddress != "",
		AnswerChallenges: acmeOptions.AnswerTLS,
		GetCertificate: func(hello *tls.ClientHelloInfo) (*tls.Certificate, error) {
			return certificates.Certificate(hello)
		},
	}, p.config.maxDescriptors)
	if err != nil {
		return nil, err
	}
	if certificates, err = acme.Open(acmeOptions, p.server.SetSessionTicketKeys); err != nil {
		return nil, fmt.Errorf("certificates: %w", err)
	}
	p.certificates = certificates
	var running sync.WaitGroup
	running.Go(func() { certificates.Run(ctx) })
	if options.ChallengeAddress != "" {
		running.Go(func() { serveChallenges(ctx, options.ChallengeAddress, certificates, p.log) })
	}
	orders, orderedBy := certificates.Orders()
	p.log.Info("serving TLS", "address", p.server.TLSAddress(), "certificates", len(acmeOptions.Names), "orders", orders, "ordered_by", orderedBy)
	return running.Wait, nil
}

// serveChallenges answers http-01 challenges until ctx is done. Only one of the instances on a machine can listen at the
// address; the others retry until it is free. An address in use is logged once, not for each attempt.
func serveChallenges(ctx context.Context, address string, certificates *acme.Instance, log *slog.Logger) {
	var loggedErr string
	for ctx.Err() == nil {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			if loggedErr != err.Error() {
				log.Warn("challenge address not available, retrying", "error", err)
			}
			loggedErr = err.Error()
			select {
			case <-ctx.Done():
			case <-time.After(challengeRetryDelay):
			}
			continue
		}
		loggedErr = ""
		serveChallengesOn(ctx, listener, certificates, log)
	}
}

// serveChallengesOn answers http-01 challenges on a listener until ctx is done or the listener fails.
func serveChallengesOn(ctx context.Context, listener net.Listener, certificates *acme.Instance, log *slog.Logger) {
	httpServer := &http.Server{
		Handler:        challengeHandler(certificates),
		ReadTimeout:    challengeTimeout,
		WriteTimeout:   challengeTimeout,
		MaxHeaderBytes: challengeMaxHeaderBytes,
		ErrorLog:       slog.NewLogLogger(log.Handler(), slog.LevelDebug),
	}
	httpServer.SetKeepAlivesEnabled(false)
	log.Info("serving challenges", "address", listener.Addr().String())
	stop := context.AfterFunc(ctx, func() { _ = httpServer.Close() })
	defer stop()
	if err := httpServer.Serve(controlsocket.LimitConnections(listener)); ctx.Err() == nil {
		log.Error("challenge server failed", "error", err)
	}
}

// challengeHandler answers http-01 challenges (RFC 8555, section 8.3) and nothing else.
func challengeHandler(certificates *acme.Instance) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		answer, ok := certificates.Challenge(r.URL.Path)
		if !ok {
			http.NotFound(w, r)
			return
		}
		w.Header().Set("Content-Type", "application/octet-stream")
		_, _ = io.WriteString(w, answer)
	})
}
