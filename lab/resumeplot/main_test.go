package main

import (
	"path/filepath"
	"strings"
	"testing"
)

// Guards against columns that are found by position instead of by name, and
// against a plot of a table in which a column or a value is missing.
func TestRead(t *testing.T) {
	table := "extra tokens per interruption,policy,other,p95 ms\n120,weight 0,x,900\n150,weight 1,x,700\n"
	got, err := read(strings.NewReader(table))
	if err != nil {
		t.Fatal(err)
	}
	if len(got.Labels) != 2 || got.Labels[1] != "weight 1" || got.XYs[1].X != 150 || got.XYs[1].Y != 700 {
		t.Errorf("read %v at %v", got.Labels, got.XYs)
	}
	if err := draw(got, filepath.Join(t.TempDir(), "plot.png")); err != nil {
		t.Errorf("draw: %v", err)
	}
	for _, bad := range []string{"", "policy,p95 ms\nweight 0,900\n", strings.Replace(table, "900", "-", 1)} {
		if _, err := read(strings.NewReader(bad)); err == nil {
			t.Errorf("table %q was accepted", bad)
		}
	}
}
