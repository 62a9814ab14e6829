package server

import (
	"context"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// shared listens at an address at which another process of the node may as well. On plain TCP: where a system has Multipath
// TCP, its listeners can't be steered.
func shared(address string) (net.Listener, error) {
	c := net.ListenConfig{Control: sharePort}
	c.SetMultipathTCP(false)
	return c.Listen(context.Background(), "tcp", address)
}

// sharePort lets several processes listen at one address; the kernel deals connections out among them.
func sharePort(_, _ string, c syscall.RawConn) error {
	var fault error
	if err := c.Control(func(fd uintptr) {
		fault = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
	}); err != nil {
		return err
	}
	return fault
}

// steerAway has the kernel give all new connections to the second of the two that listen, which is the one that came
// later. What already waits in this one's queue stays there: closed with it, it would be reset. Should the second end,
// the program's answer names nobody, and the kernel deals out as before.
func steerAway(l *net.TCPListener) error {
	raw, err := l.SyscallConn()
	if err != nil {
		return err
	}
	program := []unix.SockFilter{{Code: unix.BPF_RET | unix.BPF_K, K: 1}}
	var fault error
	if err := raw.Control(func(fd uintptr) {
		fault = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_REUSEPORT_CBPF,
			&unix.SockFprog{Len: uint16(len(program)), Filter: &program[0]})
	}); err != nil {
		return err
	}
	return fault
}
