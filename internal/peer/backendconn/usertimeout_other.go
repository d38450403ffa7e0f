//go:build !linux

package backendconn

import "syscall"

func setUserTimeout(_, _ string, _ syscall.RawConn) error { return nil }
