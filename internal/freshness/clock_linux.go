package freshness

import "golang.org/x/sys/unix"

// Now returns the current instant. Unlike time.Now, which stands still or jumps, it
// includes the time for which the instance was suspended. It returns None, which makes
// nothing certain, if the clock cannot be read.
func Now() Instant {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		return None
	}
	return Instant(now.Nano())
}
