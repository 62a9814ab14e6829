package loopback

import (
	"net"
	"syscall"
	"time"
)

// blackhole is a listening socket whose queue is full: a connection to it never comes up, as to a machine that is gone.
type blackhole struct {
	fd      int
	fillers []net.Conn // fill the queue
}

const (
	blackholeFillers     = 4 // a queue of length 0 takes one or two
	blackholeDialTimeout = 20 * time.Millisecond
)

// openBlackhole opens a blackhole at an address. It returns nil where that fails: connections are then refused.
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

// listenWithoutQueue returns a socket that listens with a backlog of 0, which net.Listen can't.
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

// close closes the blackhole: connections to it are refused from then on. It does nothing for nil.
func (b *blackhole) close() {
	if b == nil {
		return
	}
	_ = syscall.Close(b.fd)
	for _, conn := range b.fillers {
		_ = conn.Close()
	}
}
