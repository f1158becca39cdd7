//go:build !linux

package freshness

// Now returns None, which makes nothing certain: the boot-time clock of this system is not
// known.
func Now() Instant { return None }
