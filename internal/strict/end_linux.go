package strict

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// closeWait is the state of a TCP connection that its remote side has closed in order (RFC 9293,
// section 3.3.2). A connection that broke is closed instead.
const closeWait = 8 // TCP_CLOSE_WAIT of linux/tcp_states.h

// readEnding returns the state of a connection of which a read has found the end.
func readEnding(of net.Conn) (ending, error) {
	socket, ok := of.(syscall.Conn)
	if !ok {
		return ending{}, errNoSocket
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return ending{}, err
	}
	var info *unix.TCPInfo
	var infoErr error
	err = raw.Control(func(descriptor uintptr) {
		info, infoErr = unix.GetsockoptTCPInfo(int(descriptor), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	if err != nil {
		return ending{}, err
	}
	if infoErr != nil {
		return ending{}, infoErr
	}
	return ending{
		inOrder:      info.State == closeWait,
		acknowledged: info.Unacked == 0 && info.Notsent_bytes == 0,
	}, nil
}
