// Package labtest configures the property-based tests of the lab. Its only state
// is the process-wide flag -rapid.seed.
package labtest

import (
	"flag"
	"testing"
)

// DefaultSeed is the seed of property-based tests when the command line sets none.
const DefaultSeed = "20260101"

// FixSeed sets the seed of rapid to DefaultSeed, so that a run can be repeated. A
// seed set with -rapid.seed is kept.
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
