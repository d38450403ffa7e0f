package front

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Guards against silently ignoring a misspelt key or an invalid value.
func TestLoadTuning(t *testing.T) {
	cases := []struct {
		document string
		weight   float64
		problem  string
	}{
		{"", 1, ""},
		{"[resume]\nweight = 0.25\n", 0.25, ""},
		{"[resume]\nweigth = 0.25\n", 0, "weigth"},
		{"[resume]\nweight = 1.5\n", 0, "want 0 to 1"},
		{"[resume]\nweight = nan\n", 0, "want 0 to 1"},
		{"[resume]\nweight = \"high\"\n", 0, "tuning file"},
	}
	for _, c := range cases {
		path := filepath.Join(t.TempDir(), "front.toml")
		if err := os.WriteFile(path, []byte(c.document), 0o600); err != nil {
			t.Fatal(err)
		}
		got, err := LoadTuning(path)
		switch {
		case c.problem == "" && (err != nil || got.Resume.Weight != c.weight):
			t.Errorf("%q: weight %v, error %v", c.document, got.Resume.Weight, err)
		case c.problem != "" && (err == nil || !strings.Contains(err.Error(), c.problem) || CodeOf(err) != CodeTuning):
			t.Errorf("%q: error %v, want one of %s with %q", c.document, err, CodeTuning, c.problem)
		}
	}
	if _, err := LoadTuning(filepath.Join(t.TempDir(), "missing")); err == nil {
		t.Error("no error for a missing file")
	}
	if got, err := LoadTuning(""); err != nil || got != DefaultTuning() {
		t.Errorf("without a path: %v, %v", got, err)
	}
}
