package ring

import (
	"flag"
	"testing"

	"go.uber.org/goleak"
)

// TestMain fixes the seed of random tests; -rapid.seed overrides it.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "20261204")
	goleak.VerifyTestMain(m)
}
