//go:build !linux

package suspension

import "time"

func total() time.Duration { return 0 }
