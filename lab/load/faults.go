package load

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// signals are the signals that a fault can send. They are sent by process ID; the
// tool starts no process.
var signals = map[string]syscall.Signal{
	"kill": syscall.SIGKILL, "stop": syscall.SIGSTOP, "continue": syscall.SIGCONT, "terminate": syscall.SIGTERM,
}

// faultTimeout is the timeout of an HTTP call that injects a fault.
const faultTimeout = 5 * time.Second

// FaultRecord is the result of a fault injection.
type FaultRecord struct {
	Fault string `json:"fault"`
	// At is the time in the run at which the injection finished or failed, in
	// seconds.
	At    float64 `json:"at_seconds"`
	Error string  `json:"error,omitempty"`
}

func (f Fault) String() string {
	if f.Signal != "" {
		return f.Signal + " " + f.PIDFile
	}
	return strings.TrimSpace(f.Method + " " + f.URL + " " + f.Body)
}

func (f Fault) inject(ctx context.Context, client *http.Client, pidDir string) error {
	if f.Signal != "" {
		pid, err := readPID(pidDir, f.PIDFile)
		if err != nil {
			return err
		}
		return syscall.Kill(pid, signals[f.Signal])
	}
	ctx, cancel := context.WithTimeout(ctx, faultTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, f.Method, f.URL, strings.NewReader(f.Body))
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode >= http.StatusBadRequest {
		return fmt.Errorf("status %d", resp.StatusCode)
	}
	return nil
}

// readPID returns the process ID that a file contains. It rejects IDs below 2,
// which would address a process group or init.
func readPID(dir, name string) (int, error) {
	if !filepath.IsAbs(name) {
		name = filepath.Join(dir, name)
	}
	text, err := os.ReadFile(name)
	if err != nil {
		return 0, err
	}
	pid, err := strconv.Atoi(strings.TrimSpace(string(text)))
	if err != nil || pid < 2 {
		return 0, fmt.Errorf("%s does not hold a process id", name)
	}
	return pid, nil
}
