package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"text/template"
	"time"

	"github.com/yuccahatch/yuccahatch/platform/standin"
)

type options struct {
	data, binary, record string
	trouble              bool
}

// names are the names of the platform that the rig uses, from names.json.
type names struct {
	SettingsVariable string `json:"settings_variable"`
	Request          string `json:"request"`
	Deadline         string `json:"deadline"`
	Key              string `json:"key"`
	Instance         string `json:"instance"`
	InstanceAnswer   string `json:"instance_answer"`
	Proof            string `json:"proof"`
	NotRun           string `json:"not_run"`
	Load             string `json:"load"`
	Pause            string `json:"pause"`
	LastEvent        string `json:"last_event"`
	Resumes          string `json:"resumes"`
	Prompt           string `json:"prompt"`
	Usage            string `json:"usage"`
	Model            string `json:"model"`
	MemoryField      string `json:"memory_field"`
	ListCall         string `json:"list_call"`
}

// journal records what was sent, answered and run. It is safe for concurrent use.
type journal struct {
	start time.Time
	mu    sync.Mutex
	lines []string // guarded by mu
}

func (j *journal) add(format string, args ...any) {
	line := fmt.Sprintf("%8.3f ", time.Since(j.start).Seconds()) + fmt.Sprintf(format, args...)
	j.mu.Lock()
	defer j.mu.Unlock()
	j.lines = append(j.lines, line)
}

// world is a small deployment: nodes as processes, and stand-ins of all else.
type world struct {
	options
	names names
	log   journal
	dir   string
	store *standin.Store
	nodes []*node
	port  int // first port of each node

	mu      sync.Mutex
	closers []func() // guarded by mu
}

// node is a process of the node program.
type node struct {
	name, ip, zone, settings string
	front, ready             string
	client                   *http.Client

	mu     sync.Mutex
	cmd    *exec.Cmd     // guarded by mu; nil while the node is down
	ended  chan struct{} // guarded by mu; closed when the process has ended
	killed bool          // guarded by mu; the rig has ended the process
}

func newWorld(o options) (*world, error) {
	w := &world{options: o, log: journal{start: time.Now()}}
	raw, err := os.ReadFile(filepath.Join(o.data, "names.json"))
	if err != nil {
		return nil, err
	}
	if err := json.Unmarshal(raw, &w.names); err != nil {
		return nil, err
	}
	if w.dir, err = os.MkdirTemp("", "rig-"); err != nil {
		return nil, err
	}
	if w.store, err = standin.NewStore(); err != nil {
		return nil, err
	}
	config, err := os.ReadFile(filepath.Join(o.data, "config.json"))
	if err != nil {
		return nil, err
	}
	w.store.Put("op", "config", config)
	w.port, err = standin.FreePorts(24)
	return w, err
}

func (w *world) onClose(f func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closers = append(w.closers, f)
}

// close ends all processes and stand-ins, and writes the record.
func (w *world) close() {
	for _, n := range w.nodes {
		n.kill()
	}
	w.mu.Lock()
	closers := w.closers
	w.mu.Unlock()
	for _, f := range closers {
		f()
	}
	w.store.Close()
	os.RemoveAll(w.dir)
	if w.record != "" {
		w.log.mu.Lock()
		defer w.log.mu.Unlock()
		if err := os.WriteFile(w.record, []byte(strings.Join(w.log.lines, "\n")+"\n"), 0o644); err != nil {
			fmt.Fprintln(os.Stderr, err)
		}
	}
}

func zoneOf(i int) string { return string(rune('a' + i%3)) }

func (w *world) ip(i int) string { return fmt.Sprintf("127.1.%d.%d", i/200, 1+i%200) }

// at returns an address of a node, by the offset from the first port.
func (w *world) at(i, offset int) string { return fmt.Sprintf("%s:%d", w.ip(i), w.port+offset) }

// controlOffset is the offset of the port that seeds name.
const controlOffset = 2

// startNodes starts nodes, each on a loopback address of its own, and waits until all are
// ready.
func (w *world) startNodes(count int) error {
	var seeds []string
	for i := range min(3, count) {
		seeds = append(seeds, w.at(i, controlOffset))
	}
	for i := range count {
		n, err := w.newNode(i, w.store.Address(), seeds)
		if err != nil {
			return err
		}
		time.Sleep(rand.N(startSpread / time.Duration(count)))
		if err := w.start(n); err != nil {
			return err
		}
	}
	return w.awaitReady(15 * time.Second)
}

// startSpread is the time within which all machines start.
const startSpread = 300 * time.Millisecond

// newNode adds a node that calls the store at an address.
func (w *world) newNode(i int, store string, seeds []string) (*node, error) {
	text, err := os.ReadFile(filepath.Join(w.data, "settings.yaml.tmpl"))
	if err != nil {
		return nil, err
	}
	settings, err := template.New("settings").Parse(string(text))
	if err != nil {
		return nil, err
	}
	n := &node{
		name: fmt.Sprintf("front-%s-%d", zoneOf(i), 1+i/3), ip: w.ip(i), zone: zoneOf(i), front: w.at(i, 0), ready: w.at(i, 1),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 128, DisableCompression: true}},
	}
	n.settings = filepath.Join(w.dir, n.name+".yaml")
	var quoted []string
	for _, s := range seeds {
		quoted = append(quoted, strconv.Quote(s))
	}
	var out bytes.Buffer
	err = settings.Execute(&out, map[string]any{
		"Name": n.name, "IP": n.ip, "Zone": n.zone, "Front": n.front, "Ready": n.ready, "Control": w.at(i, controlOffset), "Directory": w.at(i, 3),
		"FirstPort": w.port + 4, "LastPort": w.port + 19, "Seeds": strings.Join(quoted, ", "), "Store": store,
	})
	if err != nil {
		return nil, err
	}
	w.nodes = append(w.nodes, n)
	return n, os.WriteFile(n.settings, out.Bytes(), 0o600)
}

func (w *world) start(n *node) error {
	cmd := exec.Command(w.binary, "front")
	cmd.Env = append(os.Environ(), w.names.SettingsVariable+"="+n.settings)
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	n.mu.Lock()
	n.cmd, n.ended, n.killed = cmd, ended, false
	n.mu.Unlock()
	go func() {
		_ = cmd.Wait() // the status does not matter: the rig kills it
		close(ended)
	}()
	return nil
}

// kill ends the process of a node at once.
func (n *node) kill() {
	n.mu.Lock()
	cmd, ended := n.cmd, n.ended
	n.killed = true
	n.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Signal(syscall.SIGKILL) // an error means that it has ended
	<-ended
}

// endedEarly returns an error if a node has ended by itself.
func (w *world) endedEarly() error {
	for _, n := range w.nodes {
		n.mu.Lock()
		killed, ended := n.killed, n.ended
		n.mu.Unlock()
		select {
		case <-ended:
			if !killed {
				return fmt.Errorf("%s has ended by itself", n.name)
			}
		default:
		}
	}
	return nil
}

// awaitReady waits until the readiness checks of all nodes succeed.
func (w *world) awaitReady(most time.Duration) error {
	client := http.Client{Timeout: time.Second}
	end := time.Now().Add(most)
	for _, n := range w.nodes {
		for {
			response, err := client.Get("http://" + n.ready + "/readyz")
			if err == nil {
				response.Body.Close()
				if response.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(end) {
				return errors.New(n.name + " is not ready")
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// pause waits for a time, or until the context ends.
func pause(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
