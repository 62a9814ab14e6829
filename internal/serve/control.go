package serve

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"os"
	"runtime/metrics"
	"time"

	"pearknot/internal/acme"
	"pearknot/internal/controlsocket"
	"pearknot/internal/node"
	"pearknot/internal/peers"
	"pearknot/internal/requestlog"
	"pearknot/internal/server"
)

// lookWithin is how long the module's actor may take to tell what it holds.
const lookWithin = time.Second

// openControl serves the node's control socket until it is closed.
func openControl(p *Config, o Options, n *node.Node, f *server.Server, dump func() (string, error), certificates *acme.Instance,
	links *peers.Peers, settings *shared, started float64, log *slog.Logger) (io.Closer, error) {
	l, err := controlsocket.Listen(o.Control)
	if err != nil {
		return nil, err
	}
	status := func(ctx context.Context) (controlsocket.Status, error) {
		ctx, cancel := context.WithTimeout(ctx, lookWithin)
		defer cancel()
		look, err := n.Status(ctx)
		if err != nil {
			return controlsocket.Status{}, err
		}
		in, ending := f.ServiceState()
		now := p.now.Load()
		s := controlsocket.Status{Token: o.Token, PID: os.Getpid(), Name: p.name, Listen: f.Address(), Version: o.Version, StartedAt: started,
			Config: p.file, Digest: now.digest, Epoch: o.Epoch, ListAddress: now.discovery, ListVersion: look.Version, ListDigest: look.Digest,
			Backends: look.Backends, Ready: look.HasEndpoints, InService: in, Draining: ending, OpenRequests: int64(look.OpenRequests), MemoryMB: memory()}
		if certificates != nil {
			s.TLS = &controlsocket.TLS{Listen: f.TLSAddress(), Dir: o.TLS.Acme.Dir, Handshakes: f.HandshakeStats(), Certificates: certificates.Status()}
			s.TLS.Orders, s.TLS.OrderedBy = certificates.Orders()
		}
		if settings != nil {
			s.ControlPlane = settings.state(ctx)
		}
		return s, nil
	}
	service := func(s controlsocket.Service) error {
		if _, ending := f.ServiceState(); ending {
			return errors.New("the node is about to end")
		}
		f.SetOutOfService(!s.InService)
		log.Info("service", "in", s.InService, "why", s.Reason)
		return nil
	}
	var keeper controlsocket.CertificateCalls
	if certificates != nil {
		keeper = certificates
	}
	var clients func() server.ClientStats
	if o.Edge != "" {
		clients = f.ClientStats
	}
	var peers func(context.Context) (requestlog.StateDigest, error)
	if links != nil {
		peers = func(ctx context.Context) (requestlog.StateDigest, error) {
			ctx, cancel := context.WithTimeout(ctx, lookWithin)
			defer cancel()
			return links.State(ctx)
		}
	}
	server := controlsocket.NewServer(controlsocket.NewNodeHandler(controlsocket.NodeCalls{
		Status:       status,
		SetService:   service,
		DumpCapture:  dump,
		Certificates: keeper,
		Clients:      clients,
		Peers:        peers,
	}))
	go func() {
		if err := server.Serve(controlsocket.LimitConnections(l)); !errors.Is(err, http.ErrServerClosed) {
			log.Error("control socket ended", "error", err)
		}
	}()
	return server, nil
}

// memory is what the runtime has of the system, in MB.
func memory() float64 {
	sample := []metrics.Sample{{Name: "/memory/classes/total:bytes"}, {Name: "/memory/classes/heap/released:bytes"}}
	metrics.Read(sample)
	return float64(sample[0].Value.Uint64()-sample[1].Value.Uint64()) / (1 << 20)
}
