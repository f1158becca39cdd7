package step

import (
	"math/rand/v2"
	"time"

	"github.com/comfreyfront/comfreyfront/internal/request"
)

// Limits of the wait between two attempts at one sample.
const (
	firstBackoff = 50 * time.Millisecond
	maxBackoff   = 5 * time.Second
)

// backoff returns the time to wait after a failed attempt. It doubles with each
// attempt, has jitter and is at least the retry delay in the error, up to
// maxBackoff.
func backoff(attempt int, err error) time.Duration {
	wait := firstBackoff << min(attempt-1, 10)
	wait = min(wait, maxBackoff)
	wait = wait/2 + rand.N(wait/2)
	requested := time.Duration(request.ProblemOf(err).RetryAfterMillis) * time.Millisecond
	return max(wait, min(requested, maxBackoff))
}
