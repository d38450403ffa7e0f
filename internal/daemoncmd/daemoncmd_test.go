package daemoncmd

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/yuccahatch/yuccahatch/internal/settings"
)

// Guards against a check command that accepts settings with which the node would
// refuse to start; operators rely on it.
func TestCheck(t *testing.T) {
	run := func(doc string) (string, error) {
		file := filepath.Join(t.TempDir(), "node.toml")
		if err := os.WriteFile(file, []byte(doc), 0o600); err != nil {
			t.Fatal(err)
		}
		var out bytes.Buffer
		cmd := New()
		cmd.SetOut(&out)
		cmd.SetArgs([]string{"check", "--config", file})
		err := cmd.Execute()
		return out.String(), err
	}
	const valid = "host = {id = \"n1\", data_centre = \"a\"}\ndata_centres = [{name = \"a\", region = \"r\"}]\nplatform.url = \"http://127.0.0.1:1\"\n" +
		"listen = {callers = \"127.0.0.1:2\", operators = \"127.0.0.1:3\", nodes = \"127.0.0.1:4\"}\nsecurity = {cursor_key_file = \"k\", insecure = true}\n"
	if out, err := run(valid); err != nil || !strings.Contains(out, "host n1 in data centre a") {
		t.Errorf("valid settings: %q, %v", out, err)
	}
	if _, err := run(valid + "log.level = \"loud\"\n"); settings.CodeOf(err) != settings.CodeInvalid || !strings.Contains(err.Error(), "node.toml:6: log.level") {
		t.Errorf("refused settings: %v", err)
	}
}

// Guards against a check command that refuses a platform settings file because of
// unknown keys, or accepts one without a required key.
func TestCheckPlatformFile(t *testing.T) {
	run := func(doc string) (string, error) {
		file := filepath.Join(t.TempDir(), "local.yaml")
		if err := os.WriteFile(file, []byte(doc), 0o600); err != nil {
			t.Fatal(err)
		}
		var out bytes.Buffer
		cmd := New()
		cmd.SetOut(&out)
		cmd.SetArgs([]string{"check", "--platform", file})
		err := cmd.Execute()
		return out.String(), err
	}
	const valid = "nodeName: n1\nip: 127.0.0.1\nzone: a\nlisten: {front: \"127.0.0.1:1\", ready: \"127.0.0.1:2\"}\nportRange: [3, 9]\nprovider: {address: \"127.0.0.1:4\"}\nlater: 1\n"
	if out, err := run(valid); err != nil || !strings.Contains(out, "host n1 in data centre a") {
		t.Errorf("valid settings: %q, %v", out, err)
	}
	if _, err := run(strings.Replace(valid, "zone: a\n", "", 1)); err == nil || !strings.Contains(err.Error(), "zone is missing") {
		t.Errorf("refused settings: %v", err)
	}
}
