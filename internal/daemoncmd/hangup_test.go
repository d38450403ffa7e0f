package daemoncmd

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"github.com/yuccahatch/yuccahatch/platform"
)

// frontProcessVar is set in the process in which TestFrontProcess runs the command.
const frontProcessVar = "YUCCAHATCH_TEST_FRONT_PROCESS"

// TestFrontProcess is the process of TestHangupWhileSettingsAreRead.
func TestFrontProcess(*testing.T) {
	if os.Getenv(frontProcessVar) == "" {
		return
	}
	cmd := New()
	cmd.SetArgs([]string{"front"})
	if err := cmd.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// Guards against a node that ends when its settings file changes while it starts: until the
// signal is handled, SIGHUP ends the process.
func TestHangupWhileSettingsAreRead(t *testing.T) {
	fifo := filepath.Join(t.TempDir(), "settings.yaml")
	if err := syscall.Mkfifo(fifo, 0o600); err != nil {
		t.Fatal(err)
	}
	var stderr strings.Builder
	process := exec.Command(os.Args[0], "-test.run=^TestFrontProcess$")
	process.Env = append(os.Environ(), frontProcessVar+"=1", platform.SettingsEnvVar+"="+fifo)
	process.Stderr = &stderr
	if err := process.Start(); err != nil {
		t.Fatal(err)
	}
	settings, err := os.OpenFile(fifo, os.O_WRONLY, 0) // opens once the process reads it
	if err != nil {
		t.Fatal(err)
	}
	if err := process.Process.Signal(syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	// A process that the signal ends no longer reads, so this may fail.
	_, _ = settings.WriteString("no settings\n")
	_ = settings.Close()
	var exit *exec.ExitError
	if err := process.Wait(); !errors.As(err, &exit) || exit.ExitCode() != 1 {
		t.Errorf("the process ended with %v, want status 1 for its settings; it wrote %q", err, stderr.String())
	}
}
