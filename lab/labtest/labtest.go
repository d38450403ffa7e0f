// Package labtest sets up random tests of the lab.
package labtest

import (
	"flag"
	"testing"
)

// DefaultSeed is the seed of random tests when the command line gives none.
const DefaultSeed = "20260101"

// FixSeed gives rapid a fixed seed, so that a run can be repeated. A seed given
// by -rapid.seed stays.
func FixSeed(t *testing.T) {
	t.Helper()
	f := flag.Lookup("rapid.seed")
	if f != nil && f.Value.String() == f.DefValue {
		if err := f.Value.Set(DefaultSeed); err != nil {
			t.Fatal(err)
		}
	}
	if f != nil {
		t.Logf("rapid seed %s", f.Value)
	}
}
