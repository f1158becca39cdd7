//go:build !linux

package boottime

import "time"

// Read returns false: the boot-time clock of this system is not supported.
func Read() (time.Duration, bool) { return 0, false }
