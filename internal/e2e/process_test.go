//go:build linux

package e2e

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

const (
	// maxProcesses is the maximum number of processes that all tests together run
	// at the same time.
	maxProcesses = 40
	// exitTimeout is the time limit for the exit of a process that was asked to
	// terminate.
	exitTimeout = 30 * time.Second
)

// process is a started process of a deployment.
type process struct {
	name string
	cmd  *exec.Cmd
	// exited is closed after the process has exited and err has been set.
	exited chan struct{}
	err    error
}

// startProcess starts a built binary with its output appended to dir/name.log. The
// process is killed at the end of the test.
func startProcess(t *testing.T, dir, name, binary string, args ...string) *process {
	t.Helper()
	log, err := os.OpenFile(filepath.Join(dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		t.Fatal(err)
	}
	defer log.Close()
	p := &process{name: name, cmd: exec.Command(filepath.Join(binariesDir, binary), args...), exited: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr = log, log
	// A killed test binary runs no cleanup functions, so the kernel must kill
	// its processes.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		t.Fatalf("start %s: %v", name, err)
	}
	go func() {
		p.err = p.cmd.Wait()
		close(p.exited)
	}()
	t.Cleanup(func() {
		select {
		case <-p.exited:
			if t.Failed() {
				t.Logf("%s had exited before the end of the test: %s", p.name, p.cmd.ProcessState)
			}
		default:
		}
		// SIGKILL also ends a frozen process. The error for a process that has
		// already exited is ignored.
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

// kill sends SIGKILL to the process and waits until it has exited.
func (p *process) kill(t *testing.T) {
	t.Helper()
	p.signal(t, syscall.SIGKILL)
	<-p.exited
}

// freeze stops the process with SIGSTOP and waits until all its threads have stopped,
// which takes some ten milliseconds under load.
func (p *process) freeze(t *testing.T) {
	t.Helper()
	p.signal(t, syscall.SIGSTOP)
	for !p.stopped(t) {
		select {
		case <-p.exited:
			return
		case <-time.After(time.Millisecond):
		}
	}
}

// stopped reports whether all threads of the process are in the state T (stopped).
func (p *process) stopped(t *testing.T) bool { t.Helper(); return p.allThreads(t, true) }

// running reports whether no thread of the process is in the state T.
func (p *process) running(t *testing.T) bool { t.Helper(); return p.allThreads(t, false) }

// allThreads reports whether every thread of the process is stopped or every one is not.
func (p *process) allThreads(t *testing.T, stopped bool) bool {
	t.Helper()
	files, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", p.cmd.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	for _, file := range files {
		stat, err := os.ReadFile(file)
		if err != nil {
			continue // the thread has ended
		}
		// The state follows the command, which is in parentheses.
		if _, state, _ := strings.Cut(string(stat[bytes.LastIndexByte(stat, ')'):]), " "); strings.HasPrefix(state, "T") != stopped {
			return false
		}
	}
	return true
}

// thaw lets a frozen process continue with SIGCONT and waits until it runs. A process that
// has exited while it was frozen fails the test: nothing that follows would be meaningful.
func (p *process) thaw(t *testing.T) {
	t.Helper()
	p.signal(t, syscall.SIGCONT)
	for end := time.Now().Add(awaitTimeout); !p.running(t); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s is still stopped %s after SIGCONT", p.name, awaitTimeout)
		}
	}
	select {
	case <-p.exited:
		t.Fatalf("%s exited while it was frozen: %s", p.name, p.cmd.ProcessState)
	default:
	}
}

// terminate sends SIGTERM, which asks the process to shut down gracefully.
func (p *process) terminate(t *testing.T) { t.Helper(); p.signal(t, syscall.SIGTERM) }

// requireExit waits until a process that was asked to shut down has exited, and
// requires exit status 0.
func (p *process) requireExit(t *testing.T) {
	t.Helper()
	select {
	case <-p.exited:
		if p.err != nil {
			t.Errorf("%s exited with %v, want exit status 0", p.name, p.err)
		}
	case <-time.After(exitTimeout):
		t.Fatalf("%s still runs %s after it was asked to shut down", p.name, exitTimeout)
	}
}

// processSlots limits the number of processes that parallel tests run at once.
var processSlots = struct {
	// queue is held by the one test that waits for free slots, so that tests
	// with few processes cannot overtake a test with many.
	queue sync.Mutex
	sync.Mutex
	changed *sync.Cond
	used    int
}{}

func init() { processSlots.changed = sync.NewCond(&processSlots) }

// reserveProcesses waits until n more processes may run and reserves their slots
// until the end of the test.
func reserveProcesses(t *testing.T, n int) {
	t.Helper()
	if n > maxProcesses {
		t.Fatalf("the test needs %d processes, at most %d may run", n, maxProcesses)
	}
	processSlots.queue.Lock()
	defer processSlots.queue.Unlock()
	processSlots.Lock()
	defer processSlots.Unlock()
	for processSlots.used+n > maxProcesses {
		processSlots.changed.Wait()
	}
	processSlots.used += n
	t.Cleanup(func() {
		processSlots.Lock()
		defer processSlots.Unlock()
		processSlots.used -= n
		processSlots.changed.Broadcast()
	})
}

// loopbackCount is the number of addresses that newLoopbackIP has returned.
var loopbackCount atomic.Uint32

// newLoopbackIP returns a loopback IP address for one deployment or proxy.
// Processes do not listen on 127.0.0.1, because outgoing connections of other
// processes take free ports there.
func newLoopbackIP() string {
	n := uint32(os.Getpid())*64 + loopbackCount.Add(1)
	return net.IPv4(127, byte(64+n>>16&63), byte(n>>8), byte(1+n%254)).String()
}

// Processes listen on ports from firstPort up to, but not including, lastPort.
// These are below the kernel's range of ephemeral ports: with ports from that
// range, a process in a busy test run found its address already in use.
const (
	firstPort = 10_000
	lastPort  = 30_000
)

var nextPort atomic.Uint32

// freePorts returns n addresses with free ports on ip, each port different from
// those of all other calls.
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
