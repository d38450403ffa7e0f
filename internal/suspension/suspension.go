// Package suspension tells how long the host has been suspended. The clock with which ages
// are measured does not count such a time: to a host that wakes, all that it knows seems as
// new as before.
//
// It has no state and may be used from any goroutine.
package suspension

import "time"

// Total returns the time for which the host has been suspended since it booted. Two values
// differ by more than scheduling noise only if the host was suspended in between.
func Total() time.Duration { return total() }
