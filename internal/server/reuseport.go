package server

import (
	"context"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// listenReusePort listens at an address at which another process of the node may listen as well. It uses plain TCP:
// listeners of Multipath TCP can't be steered.
func listenReusePort(network, address string) (net.Listener, error) {
	options := net.ListenConfig{Control: setReusePort}
	options.SetMultipathTCP(false)
	return options.Listen(context.Background(), network, address)
}

// setReusePort lets several processes listen at one address; the kernel distributes connections among them.
func setReusePort(_, _ string, socket syscall.RawConn) error {
	var optionErr error
	if err := socket.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
	}); err != nil {
		return err
	}
	return optionErr
}

// steerToNextProcess makes the kernel assign all new connections to the second of the two listeners, which is the one that
// was opened later. Connections already in this listener's queue stay there; closing the listener would reset them. If the
// second listener closes, the program's result is an index without a listener, and the kernel distributes as before.
func steerToNextProcess(l *net.TCPListener) error {
	socket, err := l.SyscallConn()
	if err != nil {
		return err
	}
	const indexOfNext = 1
	program := []unix.SockFilter{{Code: unix.BPF_RET | unix.BPF_K, K: indexOfNext}}
	var optionErr error
	if err := socket.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_REUSEPORT_CBPF,
			&unix.SockFprog{Len: uint16(len(program)), Filter: &program[0]})
	}); err != nil {
		return err
	}
	return optionErr
}
