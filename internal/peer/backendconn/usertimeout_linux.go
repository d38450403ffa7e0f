package backendconn

import "syscall"

// tcpUserTimeout is TCP_USER_TIMEOUT of tcp(7), which package syscall does not
// define.
const tcpUserTimeout = 18

// setUserTimeout makes the kernel end a connection on which sent bytes stay
// unacknowledged. An error of the option does not fail the dial: the limit on the
// silence of a read detects the same fault later.
func setUserTimeout(_, _ string, rc syscall.RawConn) error {
	return rc.Control(func(fd uintptr) {
		_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(userTimeout.Milliseconds()))
	})
}
