package serve

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"pearknot/internal/hotrestart"
	"pearknot/internal/server"
)

// passTimeout bounds the time that a successor has to take a response over.
const passTimeout = time.Second

var errNotServing = errors.New("not serving yet")

// responsePasser passes responses on to the successor, one at a time: both processes hold the connections meanwhile.
type responsePasser struct {
	link *hotrestart.Link
	mu   sync.Mutex
}

// PassResponse implements server.ResponseSuccessor.
func (p *responsePasser) PassResponse(response server.PassedResponse) error {
	if !p.mu.TryLock() {
		return server.ErrResponseNotTaken
	}
	defer p.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), passTimeout)
	defer cancel()
	message := hotrestart.Response{
		Pending:    response.Pending,
		Remaining:  response.Remaining,
		KeepsAlive: response.KeepsAlive,
		ReadTimeMs: response.ClientReadTime.Milliseconds(),

		ClientBytes: response.ClientBytes,
	}
	err := p.link.PassResponse(ctx, message, response.Client, response.Backend)
	if errors.Is(err, hotrestart.ErrResponseRefused) {
		return server.ErrResponseNotTaken
	}
	return err
}

// takeOverResponse takes over a response that the predecessor passes on.
func (r *restartCoordinator) takeOverResponse(response hotrestart.Response, client, backend *net.TCPConn) error {
	if !r.isServing.Load() {
		return errNotServing
	}
	return r.server.TakeOverResponse(server.PassedResponse{
		Client:         client,
		Backend:        backend,
		Pending:        response.Pending,
		Remaining:      response.Remaining,
		KeepsAlive:     response.KeepsAlive,
		ClientReadTime: time.Duration(response.ReadTimeMs) * time.Millisecond,
		ClientBytes:    response.ClientBytes,
	})
}
