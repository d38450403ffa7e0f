package ring

import (
	"flag"
	"testing"

	"go.uber.org/goleak"
)

// TestMain fixes the seed of the rapid tests, which -rapid.seed overrides, and
// fails if a test leaks a goroutine.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "20261204")
	goleak.VerifyTestMain(m)
}
