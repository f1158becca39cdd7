// Package boottime reads a clock that never jumps and that also counts the time during
// which the instance was suspended.
package boottime

import "time"

// started is the fallback for systems without the clock.
var started = time.Now()

// Now returns the time since the instance was booted. If the clock cannot be read, it returns
// the time since the start of the process, which may leave out suspensions.
func Now() time.Duration {
	if now, ok := Read(); ok {
		return now
	}
	return time.Since(started)
}
