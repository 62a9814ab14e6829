// Package testnet gives addresses to servers and processes under test.
package testnet

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
)

// firstPort is above the ports of common services. lastPort is below the ports that systems give to connections and to listeners
// on port 0.
const (
	firstPort = 12000
	lastPort  = 32000
)

var lastPortGiven atomic.Int64

func init() { lastPortGiven.Store(firstPort - 1) }

// UnusedAddress returns an address on which a server can listen later. Nothing else takes it until then: its loopback address is used
// by this process alone, and the port is given out once.
func UnusedAddress(t testing.TB) string {
	t.Helper()
	for {
		port := lastPortGiven.Add(1)
		if port > lastPort {
			t.Fatal("no unused port left")
		}
		address := fmt.Sprintf("%s:%d", loopbackIP(os.Getpid()), port)
		listener, err := net.Listen("tcp", address)
		if errors.Is(err, syscall.EADDRINUSE) {
			continue
		}
		if err != nil {
			t.Fatal(err)
		}
		if err := listener.Close(); err != nil {
			t.Fatal(err)
		}
		return address
	}
}

// loopbackIP returns the loopback address of a process. Those of two processes differ. None begins with 127.0, where
// servers listen by default.
func loopbackIP(pid int) string {
	return fmt.Sprintf("127.%d.%d.%d", 1+pid>>16&0x3f, pid>>8&0xff, pid&0xff)
}
