// Package ground starts a small deployment for the cases of a review: nodes as separate
// processes on loopback addresses, and stand-ins of the platform's store, engines and
// clients. The platform's names come from data files beside it.
package ground

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
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

// Exit codes of a case.
const (
	Held   = 0
	Broken = 1
	NotRun = 2
)

// Names are the platform's names by the words of names.json.
type Names map[string]string

// World is a deployment under test.
type World struct {
	Names Names
	Store *standin.Store
	Nodes []*Node
	// Trouble is false if the case is to run without its disruption.
	Trouble bool

	folder  string // of the data files
	dir     string // temporary
	program string
	record  *os.File
	started time.Time

	mu sync.Mutex // guards record
}

// Node is one process of the node program.
type Node struct {
	Name, Address string
	ready         string
	settings      string
	cmd           *exec.Cmd
	ended         chan struct{}
}

// New prepares a world. folder holds the data files, program is the node program, and record
// is the file to which the case writes.
func New(folder, program, record string) (*World, error) {
	w := &World{folder: folder, program: program, started: time.Now(), Trouble: os.Getenv("TROUBLE") != "0"}
	raw, err := os.ReadFile(filepath.Join(folder, "names.json"))
	if err != nil {
		return nil, err
	}
	if err := json.Unmarshal(raw, &w.Names); err != nil {
		return nil, err
	}
	if w.dir, err = os.MkdirTemp("", "review-"); err != nil {
		return nil, err
	}
	if w.record, err = os.Create(record); err != nil {
		return nil, err
	}
	if w.Store, err = standin.NewStore(); err != nil {
		return nil, err
	}
	config, err := os.ReadFile(filepath.Join(folder, "config.json"))
	if err != nil {
		return nil, err
	}
	w.Store.Put("op", "config", config)
	w.Note("trouble=%t", w.Trouble)
	return w, nil
}

// Since returns the time since the world was made.
func (w *World) Since() time.Duration { return time.Since(w.started) }

// Note writes a line to the record.
func (w *World) Note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%8.3f %s\n", w.Since().Seconds(), fmt.Sprintf(format, args...))
}

// Say writes a line to the record and to the standard output.
func (w *World) Say(format string, args ...any) {
	w.Note(format, args...)
	fmt.Printf("%8.3f %s\n", w.Since().Seconds(), fmt.Sprintf(format, args...))
}

// StartNodes starts nodes, each on a loopback address of its own, and waits until all are
// ready.
func (w *World) StartNodes(count int) error {
	network := os.Getpid()%200 + 20 // so that cases at the same time have addresses of their own
	ip := func(i int) string { return fmt.Sprintf("127.0.%d.%d", network, i+1) }
	port, err := freePorts(8, count, ip)
	if err != nil {
		return err
	}
	template, err := os.ReadFile(filepath.Join(w.folder, "settings.yaml"))
	if err != nil {
		return err
	}
	var seeds []string
	for i := range min(3, count) {
		seeds = append(seeds, fmt.Sprintf("%q", ip(i)+":"+strconv.Itoa(port+2)))
	}
	for i := range count {
		n := &Node{Name: fmt.Sprintf("front-%d", i+1), Address: fmt.Sprintf("%s:%d", ip(i), port), ready: fmt.Sprintf("%s:%d", ip(i), port+1)}
		n.settings = filepath.Join(w.dir, n.Name+".yaml")
		text := strings.NewReplacer("{name}", n.Name, "{ip}", ip(i), "{zone}", Zone(i), "{port}", strconv.Itoa(port), "{ready}", strconv.Itoa(port+1),
			"{control}", strconv.Itoa(port+2), "{directory}", strconv.Itoa(port+3), "{mesh}", strconv.Itoa(port+4), "{meshEnd}", strconv.Itoa(port+7),
			"{seeds}", strings.Join(seeds, ", "), "{store}", w.Store.Address()).Replace(string(template))
		if err := os.WriteFile(n.settings, []byte(text), 0o600); err != nil {
			return err
		}
		w.Nodes = append(w.Nodes, n)
		if err := w.Start(n); err != nil {
			return err
		}
	}
	return w.AwaitReady(10 * time.Second)
}

// freePorts returns the first of some consecutive ports that are free on all addresses.
func freePorts(ports, addresses int, ip func(int) string) (int, error) {
	for range 20 {
		first, err := standin.FreePorts(ports)
		if err != nil {
			return 0, err
		}
		free := true
		for i := range ports * addresses {
			address := fmt.Sprintf("%s:%d", ip(i/ports), first+i%ports)
			stream, err := net.Listen("tcp", address)
			if err != nil {
				free = false
				continue
			}
			stream.Close()
			packets, err := net.ListenPacket("udp", address)
			if err != nil {
				free = false
				continue
			}
			packets.Close()
		}
		if free {
			return first, nil
		}
	}
	return 0, fmt.Errorf("no %d consecutive free ports", ports)
}

// Zone returns the zone with a number.
func Zone(i int) string { return "zone-" + string(rune('a'+i%3)) }

// Start starts the process of a node.
func (w *World) Start(n *Node) error {
	log, err := os.OpenFile(filepath.Join(w.dir, n.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	n.cmd = exec.Command(w.program, "front")
	n.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), platform.SettingsEnvVar + "=" + n.settings}
	n.cmd.Stdout, n.cmd.Stderr = log, log
	n.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := n.cmd.Start(); err != nil {
		return err
	}
	n.ended = make(chan struct{})
	go func(cmd *exec.Cmd, ended chan struct{}) {
		_ = cmd.Wait() // how it ends is not judged
		close(ended)
	}(n.cmd, n.ended)
	w.Note("%s started", n.Name)
	return nil
}

// Kill ends the process of a node at once.
func (w *World) Kill(n *Node) {
	w.Note("%s killed", n.Name)
	_ = n.cmd.Process.Kill() // an error means that it has ended
	<-n.ended
}

// Stop tells the process of a node to stop, and kills it after the grace period.
func (w *World) Stop(n *Node, grace time.Duration) {
	w.Say("%s is stopped", n.Name)
	_ = n.cmd.Process.Signal(syscall.SIGTERM) // an error means that it has ended
	select {
	case <-n.ended:
	case <-time.After(grace):
		w.Kill(n)
	}
}

// AwaitReady waits until all nodes are ready.
func (w *World) AwaitReady(limit time.Duration) error {
	client := http.Client{Timeout: time.Second}
	for _, n := range w.Nodes {
		for end := time.Now().Add(limit); ; time.Sleep(20 * time.Millisecond) {
			response, err := client.Get("http://" + n.ready + "/readyz")
			if err == nil {
				response.Body.Close()
				if response.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready", n.Name)
			}
		}
	}
	return nil
}

// CountInLogs returns the number of log lines of the nodes that contain a text.
func (w *World) CountInLogs(text string) (count int) {
	for _, n := range w.Nodes {
		raw, _ := os.ReadFile(filepath.Join(w.dir, n.Name+".log")) // none if it is missing
		count += bytes.Count(raw, []byte(text))
	}
	return count
}

// Close ends all processes and removes the temporary folder.
func (w *World) Close() {
	for _, n := range w.Nodes {
		_ = n.cmd.Process.Kill()
		<-n.ended
	}
	w.Store.Close()
	w.record.Close()
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(w.dir)
	} else {
		fmt.Println("kept", w.dir)
	}
}

// PID returns the id of the process of a node.
func (n *Node) PID() int { return n.cmd.Process.Pid }
