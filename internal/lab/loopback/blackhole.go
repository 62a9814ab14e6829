package loopback

import (
	"net"
	"syscall"
	"time"
)

// blackhole is a listening socket whose accept queue is full. Connecting to it times out, as if the machine were off the network.
type blackhole struct {
	fd      int
	fillers []net.Conn // connections that fill the accept queue
}

const (
	blackholeFillers     = 4 // a backlog of 0 still accepts one or two connections
	blackholeDialTimeout = 20 * time.Millisecond
)

// openBlackhole opens a blackhole at an address. It returns nil on failure; connections are then refused.
func openBlackhole(address string) *blackhole {
	resolved, err := net.ResolveTCPAddr("tcp4", address)
	if err != nil {
		return nil
	}
	fd, err := listenWithoutQueue(resolved)
	if err != nil {
		return nil
	}
	b := &blackhole{fd: fd}
	for range blackholeFillers {
		conn, err := net.DialTimeout("tcp", address, blackholeDialTimeout)
		if err != nil {
			break
		}
		b.fillers = append(b.fillers, conn)
	}
	return b
}

// listenWithoutQueue returns a socket that listens with a backlog of 0, which net.Listen doesn't support.
func listenWithoutQueue(address *net.TCPAddr) (fd int, err error) {
	fd, err = syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return 0, err
	}
	bound := &syscall.SockaddrInet4{Port: address.Port}
	copy(bound.Addr[:], address.IP.To4())
	err = syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1)
	if err == nil {
		err = syscall.Bind(fd, bound)
	}
	if err == nil {
		err = syscall.Listen(fd, 0)
	}
	if err != nil {
		_ = syscall.Close(fd)
	}
	return fd, err
}

// close closes the blackhole, so that connections to it are refused. It does nothing for nil.
func (b *blackhole) close() {
	if b == nil {
		return
	}
	_ = syscall.Close(b.fd)
	for _, conn := range b.fillers {
		_ = conn.Close()
	}
}
