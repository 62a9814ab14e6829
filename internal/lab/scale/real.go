package scale

import (
	"context"
	"errors"
	"net/http"

	"pearknot/internal/controlsocket"
)

// standing is what a real node says of its control plane.
type standing struct {
	version uint64 // in force
	digest  string // of what it has in force
	links
}

func askReal(ctx context.Context, socket *controlsocket.Client) (standing, error) {
	var s controlsocket.Status
	if err := socket.Call(ctx, http.MethodGet, controlsocket.StatusPath, nil, &s); err != nil {
		return standing{}, err
	}
	if s.ControlPlane == nil {
		return standing{}, errors.New("it follows no control plane")
	}
	c := s.ControlPlane
	return standing{c.ActiveVersion, c.Digest, links{c.BytesIn + c.BytesOut, c.FramesIn + c.FramesOut}}, nil
}
