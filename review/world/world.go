// Package world starts the real node program as separate processes, with a store that
// follows the users' pages, for the cases of the review. Each node has a loopback address
// of its own; the ports are the same on all nodes, as on the platform.
package world

import (
	"context"
	_ "embed"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/yuccahatch/yuccahatch/platform"
	"github.com/yuccahatch/yuccahatch/platform/standin"
)

//go:embed headers.json
var headersFile []byte

//go:embed desired.json
var desiredFile []byte

// Names are the platform's names of headers.
var Names struct {
	Key, Deadline, Usage, Prompt, Seal, NotRun, Expect string
}

func init() {
	if err := json.Unmarshal(headersFile, &Names); err != nil {
		panic(err) // the file is part of the program
	}
}

// Exit codes of a case.
const (
	Held   = 0 // the rule held
	Broken = 1 // the rule was broken
	NotRun = 2 // the case could not run
)

// RouteHost is the host name of all routes.
const RouteHost = "gw.example"

// Trouble reports whether the disruption is part of the run.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

// Node is one process of the node program.
type Node struct {
	Name    string
	Zone    string
	Clients string // address for clients
	ready   string
	file    string
	mu      sync.Mutex
	cmd     *exec.Cmd // guarded by mu
}

// World is a small deployment.
type World struct {
	Store  *standin.Store
	Nodes  []*Node
	binary string
	dir    string
	memory int

	mu      sync.Mutex
	record  *os.File // guarded by mu
	started time.Time
}

// New starts a store with the desired state and opens the record.
func New(binary, record string, memoryMB int) (*World, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	out, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	store, err := standin.NewStore()
	if err != nil {
		return nil, err
	}
	w := &World{Store: store, binary: binary, dir: dir, memory: memoryMB, record: out, started: time.Now()}
	var desired any
	if err := json.Unmarshal(desiredFile, &desired); err != nil {
		return nil, err
	}
	store.Put("op", "config", desiredFile)
	return w, nil
}

// Log writes a line to the record.
func (w *World) Log(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, _ = fmt.Fprintf(w.record, "%7.3f %s\n", time.Since(w.started).Seconds(), fmt.Sprintf(format, args...)) // a lost line shows
}

// Zone returns the zone of the thing with an index.
func Zone(i int) string { return "zone-" + string(rune('a'+i%3)) }

// StartNodes starts nodes and waits until all are ready. storeOf returns the address under
// which a node reaches the store; nil stands for the store's own.
func (w *World) StartNodes(count int, storeOf func(i int) string) error {
	first, err := standin.FreePorts(6)
	if err != nil {
		return err
	}
	var seeds []string
	for i := range min(count, 3) {
		seeds = append(seeds, fmt.Sprintf("%q", fmt.Sprintf("127.0.77.%d:%d", i+1, first+3)))
	}
	for i := range count {
		ip := fmt.Sprintf("127.0.77.%d", i+1)
		store := w.Store.Address()
		if storeOf != nil {
			store = storeOf(i)
		}
		n := &Node{
			Name: fmt.Sprintf("front-%s-%d", Zone(i), i/3+1), Zone: Zone(i),
			Clients: fmt.Sprintf("%s:%d", ip, first), ready: fmt.Sprintf("%s:%d", ip, first+1),
			file: filepath.Join(w.dir, fmt.Sprintf("node-%d.yaml", i)),
		}
		text := fmt.Sprintf(`nodeName: %q
role: "front"
machineClass: "front"
serves: ["front", "control", "directory"]
ip: %q
zone: %q
region: "r"
listen: {front: %q, ready: %q, control: "%s:%d", directory: "%s:%d"}
portRange: [%d, %d]
seeds: [%s]
bootstrap: true
limits: {cpuShare: 0.4, cpuCores: 1, memoryMb: %d, maxFds: 4100, linkMbps: 1000.0, diskMb: 0}
bounds: {drainMs: 2000, gracePeriodS: 8, lossSlackMs: 200, configApplyMs: 2000, retryBudgetRatio: 0.8, budgetWindowS: 10, budgetSlack: 150, recoveryS: 12, ttl_max_s: 5}
provider: {address: %q, form: "table", writesPerS: 400, readsPerS: 2000}
`, n.Name, ip, n.Zone, n.Clients, n.ready, ip, first+3, ip, first+2, first+4, first+5, strings.Join(seeds, ", "), w.memory, store)
		if err := os.WriteFile(n.file, []byte(text), 0o600); err != nil {
			return err
		}
		w.Nodes = append(w.Nodes, n)
		if err := w.StartNode(n); err != nil {
			return err
		}
	}
	for _, n := range w.Nodes {
		if err := n.AwaitReady(15 * time.Second); err != nil {
			return err
		}
	}
	return nil
}

// StartNode starts the process of a node.
func (w *World) StartNode(n *Node) error {
	log, err := os.OpenFile(n.file+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(w.binary, "front")
	cmd.Env = append(os.Environ(), platform.SettingsEnvVar+"="+n.file)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cmd = cmd
	return nil
}

// AwaitReady waits until the platform's readiness check succeeds.
func (n *Node) AwaitReady(limit time.Duration) error {
	client := http.Client{Timeout: time.Second}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		response, err := client.Get("http://" + n.ready + "/readyz")
		if err != nil {
			continue
		}
		response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return errors.New(n.Name + " is not ready")
}

// PID returns the id of the node's process, or 0 before its start.
func (n *Node) PID() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd == nil {
		return 0
	}
	return n.cmd.Process.Pid
}

// Signal sends a signal to the node's process.
func (n *Node) Signal(s syscall.Signal) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cmd.Process.Signal(s)
}

// Wait waits until the node's process has ended and returns its state.
func (n *Node) Wait() (*os.ProcessState, error) {
	n.mu.Lock()
	cmd := n.cmd
	n.mu.Unlock()
	err := cmd.Wait()
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		err = nil
	}
	return cmd.ProcessState, err
}

// Resident returns the resident memory of the node's process in bytes.
func (n *Node) Resident() int64 {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", n.PID()))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(raw))
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.ParseInt(fields[1], 10, 64)
	return pages * int64(os.Getpagesize())
}

// Close ends all processes and the store. With KEEP_LOGS=1 it keeps the logs of the nodes.
func (w *World) Close() {
	for _, n := range w.Nodes {
		n.mu.Lock()
		if n.cmd != nil && n.cmd.ProcessState == nil {
			_ = n.cmd.Process.Signal(syscall.SIGCONT) // it may have ended
			_ = n.cmd.Process.Kill()
			_ = n.cmd.Wait()
		}
		n.mu.Unlock()
	}
	w.Store.Close()
	w.mu.Lock()
	w.record.Close()
	w.mu.Unlock()
	if os.Getenv("KEEP_LOGS") == "1" {
		fmt.Fprintln(os.Stderr, w.dir)
		return
	}
	os.RemoveAll(w.dir)
}

// Request is one attempt of a client.
type Request struct {
	Node    *Node
	Path    string
	ID      string
	Body    string
	Timeout time.Duration
	After   int    // number of the last event that the client has
	Resumes string // id of the attempt that brought the first event
}

// Send sends a request on a new channel. The caller closes the body of the answer.
func Send(ctx context.Context, x Request) (*http.Response, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+x.Node.Clients+x.Path, strings.NewReader(x.Body))
	if err != nil {
		return nil, err
	}
	r.Host = RouteHost
	r.Header.Set("Request-Id", x.ID)
	r.Header.Set(Names.Key, "key-1")
	r.Header.Set(Names.Deadline, strconv.FormatInt(x.Timeout.Milliseconds(), 10))
	if strings.HasPrefix(x.Path, "/plan/") {
		r.Header.Set("Model", "m")
		r.Header.Set(Names.Usage, "8000,600")
		r.Header.Set(Names.Prompt, fmt.Sprintf("aa:200,%x:%d", x.Body[:min(len(x.Body), 32)]+x.ID, standin.PartTokens))
	}
	if x.After > 0 {
		r.Header.Set("Last-Event-Id", strconv.Itoa(x.After))
	}
	if x.Resumes != "" {
		r.Header.Set("Resumes", x.Resumes)
	}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	return client.Do(r)
}
