package backendconn

import "syscall"

// tcpUserTimeout is TCP_USER_TIMEOUT of tcp(7), which package syscall lacks.
const tcpUserTimeout = 18

// setUserTimeout makes the kernel end a connection whose bytes stay
// unacknowledged. It does not fail the dial: the reader's own silence limit
// finds the same fault later.
func setUserTimeout(_, _ string, rc syscall.RawConn) error {
	return rc.Control(func(fd uintptr) {
		_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(userTimeout.Milliseconds()))
	})
}
