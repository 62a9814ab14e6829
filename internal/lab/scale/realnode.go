package scale

import (
	"context"
	"errors"
	"net/http"
	"time"

	"pearknot/internal/controlsocket"
)

var errNoControlPlane = errors.New("node has no control plane")

const healthTimeout = time.Second

// realNodeState is a real node's report of its control-plane client.
type realNodeState struct {
	version uint64 // applied version
	digest  string // digest of the applied version
	traffic linkTraffic
}

func fetchRealNodeState(ctx context.Context, socket *controlsocket.Client) (realNodeState, error) {
	var status controlsocket.Status
	if err := socket.Call(ctx, http.MethodGet, controlsocket.StatusPath, nil, &status); err != nil {
		return realNodeState{}, err
	}
	if status.ControlPlane == nil {
		return realNodeState{}, errNoControlPlane
	}
	plane := status.ControlPlane
	return realNodeState{
		version: plane.ActiveVersion,
		digest:  plane.Digest,
		traffic: linkTraffic{bytes: plane.BytesIn + plane.BytesOut, frames: plane.FramesIn + plane.FramesOut},
	}, nil
}

// isHealthy reports whether a real node serves requests at its address.
func isHealthy(address string) bool {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: healthTimeout}
	response, err := client.Get("http://" + address + "/_health")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}
