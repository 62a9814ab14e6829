// Package tcpinfo asks the system about a TCP connection.
package tcpinfo

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// Get returns the system's account of a connection. ok is false if the connection is closed or the system has none.
func Get(conn syscall.Conn) (info *unix.TCPInfo, ok bool) {
	err := control(conn, func(fd int) (err error) {
		info, err = unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		return err
	})
	return info, err == nil
}

// QueueLength returns the number of connections that wait to be accepted from a listener; 0 if the system does not tell.
func QueueLength(listener syscall.Conn) int {
	info, ok := Get(listener)
	if !ok {
		return 0
	}
	return int(info.Unacked) // of a listening socket
}

// UnreadBytes returns the number of bytes that have arrived on a connection and have not been read; 0 if the system does not
// tell.
func UnreadBytes(conn syscall.Conn) (count int64) {
	_ = control(conn, func(fd int) error {
		n, err := unix.IoctlGetInt(fd, unix.TIOCINQ)
		if err == nil {
			count = int64(n)
		}
		return err
	})
	return count
}

// control calls ask with the connection's file descriptor.
func control(conn syscall.Conn, ask func(fd int) error) error {
	socket, err := conn.SyscallConn()
	if err != nil {
		return err
	}
	var askErr error
	if err := socket.Control(func(fd uintptr) { askErr = ask(int(fd)) }); err != nil {
		return err
	}
	return askErr
}
