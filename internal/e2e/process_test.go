//go:build linux

package e2e

import (
	"errors"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

const (
	// maxProcesses bounds the processes that run at once over all tests.
	maxProcesses = 40
	// exitLimit bounds the wait for a process that was told to end.
	exitLimit = 30 * time.Second
)

// process is one started process of the deployment.
type process struct {
	name string
	cmd  *exec.Cmd
	// exited is closed after the process has ended; err is set before.
	exited chan struct{}
	err    error
}

// start runs a built binary. The process ends with the test.
func start(t *testing.T, dir, name, binary string, args ...string) *process {
	t.Helper()
	log, err := os.OpenFile(filepath.Join(dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		t.Fatal(err)
	}
	defer log.Close()
	p := &process{name: name, cmd: exec.Command(filepath.Join(binaries, binary), args...), exited: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr = log, log
	// A test binary that is killed runs no cleanup, so the kernel ends its
	// processes.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		t.Fatalf("start %s: %v", name, err)
	}
	go func() {
		p.err = p.cmd.Wait()
		close(p.exited)
	}()
	t.Cleanup(func() {
		// SIGKILL also ends a stopped process. One that has ended already is
		// no fault.
		_ = p.cmd.Process.Kill()
		<-p.exited
	})
	return p
}

func (p *process) signal(t *testing.T, s syscall.Signal) {
	t.Helper()
	if err := p.cmd.Process.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		t.Fatalf("signal %v to %s: %v", s, p.name, err)
	}
}

// kill ends the process without notice and waits until it is gone.
func (p *process) kill(t *testing.T) {
	t.Helper()
	p.signal(t, syscall.SIGKILL)
	<-p.exited
}

func (p *process) freeze(t *testing.T)    { t.Helper(); p.signal(t, syscall.SIGSTOP) }
func (p *process) thaw(t *testing.T)      { t.Helper(); p.signal(t, syscall.SIGCONT) }
func (p *process) terminate(t *testing.T) { t.Helper(); p.signal(t, syscall.SIGTERM) }

// requireExit waits for the end of a process that was told to leave.
func (p *process) requireExit(t *testing.T) {
	t.Helper()
	select {
	case <-p.exited:
		if p.err != nil {
			t.Errorf("%s ended with %v, want exit status 0", p.name, p.err)
		}
	case <-time.After(exitLimit):
		t.Fatalf("%s still runs %s after it was told to leave", p.name, exitLimit)
	}
}

// slots limits the processes of parallel tests.
var slots = struct {
	// turn is held by the one test that waits, so that tests with many
	// processes are not passed over.
	turn sync.Mutex
	sync.Mutex
	changed *sync.Cond
	used    int
}{}

func init() { slots.changed = sync.NewCond(&slots) }

// reserve waits until n more processes may run.
func reserve(t *testing.T, n int) {
	t.Helper()
	if n > maxProcesses {
		t.Fatalf("a test wants %d processes, at most %d may run", n, maxProcesses)
	}
	slots.turn.Lock()
	defer slots.turn.Unlock()
	slots.Lock()
	defer slots.Unlock()
	for slots.used+n > maxProcesses {
		slots.changed.Wait()
	}
	slots.used += n
	t.Cleanup(func() {
		slots.Lock()
		defer slots.Unlock()
		slots.used -= n
		slots.changed.Broadcast()
	})
}

var deployments atomic.Uint32

// loopback returns an IP number for one deployment. Processes do not listen on
// 127.0.0.1, where outgoing connections of other processes take free ports.
func loopback() string {
	n := uint32(os.Getpid())*64 + deployments.Add(1)
	return net.IPv4(127, byte(64+n>>16&63), byte(n>>8), byte(1+n%254)).String()
}

// firstPort and lastPort bound the ports of the processes. They are below the
// range from which the kernel takes ports for outgoing connections: with ports
// of that range a process of a busy run found its address in use.
const (
	firstPort = 10_000
	lastPort  = 30_000
)

var nextPort atomic.Uint32

// freePorts returns n addresses with ports that no other call has returned.
func freePorts(t *testing.T, ip string, n int) []string {
	t.Helper()
	addresses := make([]string, 0, n)
	for len(addresses) < n {
		port := firstPort + int(nextPort.Add(1))%(lastPort-firstPort)
		l, err := net.Listen("tcp", net.JoinHostPort(ip, strconv.Itoa(port)))
		if err != nil {
			continue
		}
		addresses = append(addresses, l.Addr().String())
		l.Close()
	}
	return addresses
}
