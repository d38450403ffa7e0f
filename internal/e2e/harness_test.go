//go:build linux

// Package e2e holds end-to-end tests. Each test starts a deployment of nodes,
// engines, a booking service and a platform as separate processes, and kills
// them, freezes them or asks them to shut down. Tests run in parallel and share a
// limit on the number of processes; each has its own deployment.
package e2e

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/yuccahatch/yuccahatch/api/operatorapi"
	"github.com/yuccahatch/yuccahatch/api/platformapi"
)

const (
	model       = "airing-plan-1"
	team        = "arejo-lisboa"
	callerKey   = "e2e-caller"
	operatorKey = "e2e-operator"
	// awaitTimeout is the time limit for conditions that a healthy deployment
	// meets within a second or two; it is long because the machine may be busy.
	awaitTimeout = 30 * time.Second
	pollInterval = 20 * time.Millisecond
)

// binariesDir is the directory of the commands that TestMain builds.
var binariesDir string

func TestMain(m *testing.M) { os.Exit(buildAndRun(m)) }

func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "yuccahatch-e2e-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	build := exec.Command("go", "build", "-o", dir+"/", "../../cmd/yuccahatch", "../../cmd/yuccahatchd")
	if output, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build the commands: %v\n%s", err, output)
		return 1
	}
	binariesDir = dir
	return m.Run()
}

// options configures a deployment. The zero value of a field selects its default.
type options struct {
	nodes       int     // default 3
	engines     int     // default 4
	noService   bool    // no booking service
	tokenRate   float64 // tokens per second and stream, default 40
	engineFlags []string
	serviceArgs []string
	platform    []string // flags of the platform command
	// settings is appended to the settings file of each node.
	settings string
	// proxied puts a proxy, which a test can close, in front of each node's
	// listener for other nodes.
	proxied bool
	// tls enables mutual TLS between the nodes.
	tls bool
	// contract replaces the default contract.
	contract string
}

// nodeProcess is a node process with its listen addresses and settings file.
type nodeProcess struct {
	*process
	id, callerAddress, operatorAddress, nodeAddress, configPath string
	// proxy forwards connections from other nodes if the option proxied is set.
	proxy *tcpProxy
}

// backendProcess is an engine or the booking service.
type backendProcess struct {
	*process
	id, address, url string
}

// deployment is the set of processes of one test.
type deployment struct {
	t           *testing.T
	opt         options
	dir         string
	platform    *process
	platformURL string
	nodes       []*nodeProcess
	engines     []*backendProcess
	service     *backendProcess
	// authority issues the nodes' certificates.
	authority *certificateAuthority
}

// deploy starts a deployment and waits until the contract is in force on every
// node.
func deploy(t *testing.T, opt options) *deployment {
	t.Helper()
	opt.nodes, opt.engines = orDefault(opt.nodes, 3), orDefault(opt.engines, 4)
	opt.tokenRate = orDefault(opt.tokenRate, 40)
	opt.contract = orDefault(opt.contract, contractText(""))
	processes := 1 + opt.nodes + opt.engines
	if !opt.noService {
		processes++
	}
	started := time.Now()
	reserveProcesses(t, processes)
	t.Logf("%d processes, waited %d ms for free process slots", processes, time.Since(started).Milliseconds())
	d := &deployment{t: t, opt: opt, dir: newLogDirectory(t)}
	d.prepare()
	d.startBackends()
	for _, n := range d.nodes {
		d.startNode(n)
	}
	d.awaitReady(d.nodes...)
	d.putContract(d.nodes[0], opt.contract)
	d.awaitSequence(1)
	return d
}

func orDefault[T comparable](value, otherwise T) T {
	var zero T
	if value == zero {
		return otherwise
	}
	return value
}

// newLogDirectory creates a directory for process logs and settings. It is removed
// at the end of the test, unless the test fails.
func newLogDirectory(t *testing.T) string {
	t.Helper()
	dir, err := os.MkdirTemp("", "yuccahatch-e2e-logs-")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if t.Failed() {
			t.Logf("logs of the processes are in %s", dir)
			return
		}
		_ = os.RemoveAll(dir)
	})
	return dir
}

// prepare assigns addresses and writes the settings files, the host list and the
// cursor key.
func (d *deployment) prepare() {
	d.t.Helper()
	free := freePorts(d.t, newLoopbackIP(), 3*d.opt.nodes+d.opt.engines+2)
	next := func() string { address := free[0]; free = free[1:]; return address }
	d.platformURL = "http://" + next()
	var list platformapi.HostList
	for i := range d.opt.nodes {
		n := &nodeProcess{id: fmt.Sprintf("node%d", i+1), callerAddress: next(), operatorAddress: next(), nodeAddress: next()}
		n.configPath = filepath.Join(d.dir, n.id+".toml")
		d.nodes = append(d.nodes, n)
		address := n.nodeAddress
		if d.opt.proxied {
			n.proxy = newTCPProxy(d.t, n.nodeAddress)
			address = n.proxy.listener.Addr().String()
		}
		list.Hosts = append(list.Hosts, platformapi.Host{
			HostID: n.id, Address: address, CallerAddress: n.callerAddress, DataCentre: dataCentre(i), State: platformapi.HostLive,
		})
	}
	for i := range d.opt.engines {
		e := newBackend(fmt.Sprintf("engine%d", i+1), next())
		d.engines = append(d.engines, e)
		list.Backends = append(list.Backends, platformapi.Backend{
			BackendID: e.id, URL: e.url, DataCentre: dataCentre(i), Kind: platformapi.KindEngine, State: platformapi.HostLive,
		})
	}
	if !d.opt.noService {
		d.service = newBackend("booking1", next())
		list.Backends = append(list.Backends, platformapi.Backend{
			BackendID: "booking1", URL: d.service.url, DataCentre: dataCentre(0),
			Kind: platformapi.KindService, Service: "booking", State: platformapi.HostLive,
		})
	}
	d.writeFile("hosts.json", mustJSON(d.t, list))
	d.writeFile("cursor.key", []byte("0123456789abcdef0123456789abcdef"))
	for i, n := range d.nodes {
		d.writeFile(n.id+".toml", []byte(d.nodeSettings(i, n, d.platformURL)))
	}
}

func dataCentre(i int) string { return fmt.Sprintf("dc%d", i%3+1) }

func newBackend(id, address string) *backendProcess {
	return &backendProcess{id: id, address: address, url: "http://" + address}
}

func (d *deployment) writeFile(name string, content []byte) {
	d.t.Helper()
	if err := os.WriteFile(filepath.Join(d.dir, name), content, 0o600); err != nil {
		d.t.Fatal(err)
	}
}

// nodeSettings returns the contents of a node's settings file.
func (d *deployment) nodeSettings(i int, n *nodeProcess, platform string) string {
	return fmt.Sprintf(`[host]
id = %q
data_centre = %q
[[data_centres]]
name = "dc1"
region = "e2e"
[[data_centres]]
name = "dc2"
region = "e2e"
[[data_centres]]
name = "dc3"
region = "e2e"
[listen]
callers = %q
operators = %q
nodes = %q
[platform]
url = %q
timeout = "1s"
[security]
cursor_key_file = %q
operator_key_hashes = [%q]
%s
%s`, n.id, dataCentre(i), n.callerAddress, n.operatorAddress, n.nodeAddress, platform,
		filepath.Join(d.dir, "cursor.key"), keyHash(operatorKey), d.securitySettings(n), d.opt.settings)
}

func keyHash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return "sha256:" + hex.EncodeToString(sum[:])
}

// contractText returns the contract of the team with the lines in more added.
func contractText(more string) string {
	return fmt.Sprintf(`customer = %q
keys = [%q]
priority = "normal"
share_percent = 100
models = [%q]
%s
[[non_idempotent]]
service = "booking"
methods = ["POST"]
path_prefix = "/bookings"
`, team, keyHash(callerKey), model, more)
}

func (d *deployment) startBackends() {
	d.t.Helper()
	d.startPlatform()
	for _, e := range d.engines {
		d.startEngine(e)
	}
	if d.service != nil {
		args := append([]string{"lab", "service", "--listen", d.service.address}, d.opt.serviceArgs...)
		d.service.process = startProcess(d.t, d.dir, "booking1", "yuccahatch", args...)
	}
}

func (d *deployment) startPlatform() {
	d.t.Helper()
	args := []string{"lab", "platform", "--listen", strings.TrimPrefix(d.platformURL, "http://"), "--hosts", filepath.Join(d.dir, "hosts.json")}
	d.platform = startProcess(d.t, d.dir, "platform", "yuccahatch", append(args, d.opt.platform...)...)
}

func (d *deployment) startEngine(e *backendProcess) {
	d.t.Helper()
	args := []string{"lab", "engine", "--listen", e.address, "--model", model, "--token-rate", fmt.Sprint(d.opt.tokenRate)}
	e.process = startProcess(d.t, d.dir, e.id, "yuccahatch", append(args, d.opt.engineFlags...)...)
}

func (d *deployment) startNode(n *nodeProcess) {
	d.t.Helper()
	n.process = startProcess(d.t, d.dir, n.id, "yuccahatchd", "run", "--config", n.configPath)
}

// awaitReady waits until each of the nodes admits work and sees every backend
// server as live and every node as alive.
func (d *deployment) awaitReady(nodes ...*nodeProcess) {
	d.t.Helper()
	for _, n := range nodes {
		d.await(awaitTimeout, n.id+" is ready", func() bool {
			status, ok := d.status(n)
			return ok && status.Admitting && countLiveBackends(status) == d.countBackends() && countAliveNodes(status) == len(d.nodes)
		})
	}
}

func (d *deployment) countBackends() int {
	if d.service == nil {
		return len(d.engines)
	}
	return len(d.engines) + 1
}

func countLiveBackends(status operatorapi.Status) int {
	live := 0
	for _, b := range status.Backends {
		if b.State == "live" {
			live++
		}
	}
	return live
}

func countAliveNodes(status operatorapi.Status) int {
	alive := 0
	for _, n := range status.Nodes {
		if n.State == "alive" {
			alive++
		}
	}
	return alive
}

// awaitSequence waits until every node has applied the contract change log up to
// the given sequence number.
func (d *deployment) awaitSequence(sequence int64) {
	d.t.Helper()
	for _, n := range d.nodes {
		d.await(awaitTimeout, fmt.Sprintf("%s has change %d in force", n.id, sequence), func() bool {
			status, ok := d.status(n)
			return ok && status.Sequence >= sequence
		})
	}
}

// await polls condition until it holds and fails the test after limit. The text
// in what describes the condition.
func (d *deployment) await(limit time.Duration, what string, condition func() bool) {
	d.t.Helper()
	for deadline := time.Now().Add(limit); !condition(); time.Sleep(pollInterval) {
		if time.Now().After(deadline) {
			d.t.Fatalf("condition not met within %s: %s", limit, what)
		}
	}
}

// otherNodes returns all nodes except one.
func (d *deployment) otherNodes(excluded *nodeProcess) []*nodeProcess {
	var rest []*nodeProcess
	for _, n := range d.nodes {
		if n != excluded {
			rest = append(rest, n)
		}
	}
	return rest
}
