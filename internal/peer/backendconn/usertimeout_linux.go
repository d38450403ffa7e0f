package backendconn

import "syscall"

// tcpUserTimeout is TCP_USER_TIMEOUT of tcp(7), which package syscall does not
// define.
const tcpUserTimeout = 18

// setUserTimeout makes the kernel end a connection on which sent bytes stay
// unacknowledged for userTimeout. The dial does not fail if the option cannot be
// set: the Watch of a read, which limits the silence, detects the same fault later.
func setUserTimeout(_, _ string, rc syscall.RawConn) error {
	return rc.Control(func(fd uintptr) {
		_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(userTimeout.Milliseconds()))
	})
}
