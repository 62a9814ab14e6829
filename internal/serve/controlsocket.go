package serve

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"runtime/metrics"
	"time"

	"pearknot/internal/controlsocket"
	"pearknot/internal/requestlog"
	"pearknot/internal/server"
)

// statusTimeout bounds the time that the node's and the peers' actors take to answer.
const statusTimeout = time.Second

// openControlSocket serves the node's control socket until it is closed.
func (p *process) openControlSocket(startedAt float64) (io.Closer, error) {
	listener, err := controlsocket.Listen(p.options.ControlSocket)
	if err != nil {
		return nil, err
	}
	status := func(ctx context.Context) (controlsocket.Status, error) { return p.status(ctx, startedAt) }
	var certificates controlsocket.CertificateCalls
	if p.certificates != nil {
		certificates = p.certificates
	}
	var clients func() server.ClientStats
	if p.options.AdmissionFile != "" {
		clients = p.server.ClientStats
	}
	var peersState func(context.Context) (requestlog.Status, error)
	if p.peers != nil {
		peersState = func(ctx context.Context) (requestlog.Status, error) {
			ctx, cancel := context.WithTimeout(ctx, statusTimeout)
			defer cancel()
			return p.peers.State(ctx)
		}
	}
	httpServer := controlsocket.NewServer(controlsocket.NewNodeHandler(controlsocket.NodeCalls{
		Status:       status,
		SetService:   p.setService,
		DumpCapture:  p.dumpCapture,
		Certificates: certificates,
		Clients:      clients,
		Peers:        peersState,
	}))
	go func() {
		if err := httpServer.Serve(controlsocket.LimitConnections(listener)); !errors.Is(err, http.ErrServerClosed) {
			p.log.Error("control socket server failed", "error", err)
		}
	}()
	return httpServer, nil
}

// status returns the node's status for the control socket.
func (p *process) status(ctx context.Context, startedAt float64) (controlsocket.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	nodeStatus, err := p.node.Status(ctx)
	if err != nil {
		return controlsocket.Status{}, err
	}
	inService, shuttingDown := p.server.ServiceState()
	current := p.config.current.Load()
	status := controlsocket.Status{
		Token:        p.options.Token,
		PID:          os.Getpid(),
		Name:         p.config.name,
		Listen:       p.server.Address(),
		Version:      p.options.Version,
		StartedAt:    startedAt,
		Config:       p.config.file,
		Digest:       current.digest,
		Epoch:        p.options.Epoch,
		ListAddress:  current.discoveryAddress,
		ListVersion:  nodeStatus.Version,
		ListDigest:   nodeStatus.Digest,
		Backends:     nodeStatus.Backends,
		Ready:        nodeStatus.Ready,
		InService:    inService,
		Draining:     shuttingDown,
		OpenRequests: int64(nodeStatus.OpenRequests),
		MemoryMB:     memoryMB(),
	}
	if p.certificates != nil {
		status.TLS = &controlsocket.TLS{
			Listen:       p.server.TLSAddress(),
			Dir:          p.options.TLS.ACME.Dir,
			Handshakes:   p.server.HandshakeStats(),
			Certificates: p.certificates.Status(),
		}
		status.TLS.Orders, status.TLS.OrderedBy = p.certificates.Orders()
	}
	if p.settings != nil {
		status.ControlPlane = p.settings.status(ctx)
	}
	return status, nil
}

// setService takes the node out of service, or puts it back, on a call to the control socket. It fails while the node
// shuts down. A node that is out of service answers health checks with NO but still serves the requests that it gets.
func (p *process) setService(service controlsocket.Service) error {
	if _, shuttingDown := p.server.ServiceState(); shuttingDown {
		return errShuttingDown
	}
	p.server.SetOutOfService(!service.InService)
	p.log.Info("service state set", "in_service", service.InService, "reason", service.Reason)
	return nil
}

// memoryMB returns the memory that the Go runtime has obtained from the system, in MiB.
func memoryMB() float64 {
	samples := []metrics.Sample{{Name: "/memory/classes/total:bytes"}, {Name: "/memory/classes/heap/released:bytes"}}
	metrics.Read(samples)
	return float64(samples[0].Value.Uint64()-samples[1].Value.Uint64()) / (1 << 20)
}
