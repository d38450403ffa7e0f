package suspension

import (
	"time"

	"golang.org/x/sys/unix"
)

// total returns the difference of a clock that runs during a suspension and one that does
// not. It returns 0 if they cannot be read, as if there had been no suspension.
func total() time.Duration {
	var boot, steady unix.Timespec
	if unix.ClockGettime(unix.CLOCK_MONOTONIC, &steady) != nil || unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil {
		return 0
	}
	return time.Duration(boot.Nano() - steady.Nano())
}
