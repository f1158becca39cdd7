package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Read returns the time since the instance was booted, or false if the clock cannot be read.
func Read() (time.Duration, bool) {
	var reading unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &reading); err != nil {
		return 0, false
	}
	return time.Duration(reading.Nano()), true
}
