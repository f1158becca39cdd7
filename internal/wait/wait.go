// Package wait waits for a time or for the end of a context.
package wait

import (
	"context"
	"time"
)

// For waits for the duration and reports true, or false when the context ended
// first.
func For(ctx context.Context, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
