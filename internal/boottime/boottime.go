// Package boottime reads a clock that never jumps and that also counts the time during
// which the instance was suspended.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// started is the fallback for systems without the clock.
var started = time.Now()

// Now returns the time since the instance was booted.
func Now() time.Duration {
	var reading unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &reading); err != nil {
		return time.Since(started)
	}
	return time.Duration(reading.Nano())
}
