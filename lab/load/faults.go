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

// signals of faults. The tool sends them by process id and starts no process.
var signals = map[string]syscall.Signal{
	"kill": syscall.SIGKILL, "stop": syscall.SIGSTOP, "continue": syscall.SIGCONT, "terminate": syscall.SIGTERM,
}

// faultTimeout bounds one HTTP call.
const faultTimeout = 5 * time.Second

// FaultRecord tells what came of a fault injection.
type FaultRecord struct {
	Fault string `json:"fault"`
	// At is the time in the run at which it took effect, in seconds.
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

// readPID reads a file that holds one process id. An id below 2 would address
// a process group or init.
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
