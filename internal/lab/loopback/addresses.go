package loopback

import (
	"fmt"
	"net"
	"os"
	"slices"
	"sync/atomic"
)

// runCount counts the runs of this process.
var runCount atomic.Uint32

// newRunIP returns a loopback address that only this run uses. On a shared address, another program's outgoing connection could take
// the port of a node or backend that is about to restart.
func newRunIP() string {
	pid, run := os.Getpid(), runCount.Add(1)
	return fmt.Sprintf("127.%d.%d.%d", 16+pid%200, pid/200%250, 1+run%250)
}

// unusedAddress returns an address with a port on which nothing listens at the moment.
func unusedAddress(ip string) (string, error) {
	socket, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	defer socket.Close()
	return socket.Addr().String(), nil
}

// addressForNode returns an unused address that is not assigned to any node of the run, including nodes that don't listen yet.
func (t *testbed) addressForNode() (string, error) {
	for {
		address, err := unusedAddress(t.ip)
		if err != nil {
			return "", err
		}
		isTaken := slices.ContainsFunc(t.nodes, func(n *node) bool { return address == n.address || address == n.tlsAddress })
		if !isTaken {
			return address, nil
		}
	}
}
