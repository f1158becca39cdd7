package step

import (
	"math/rand/v2"
	"time"

	"github.com/comfreyfront/comfreyfront/internal/request"
)

// Times between attempts at one sample.
const (
	firstBackoff = 50 * time.Millisecond
	maxBackoff   = 5 * time.Second
)

// backoff returns the time to wait after a failed attempt: doubling, with
// jitter, and no less than the error asks for.
func backoff(attempt int, err error) time.Duration {
	wait := firstBackoff << min(attempt-1, 10)
	wait = min(wait, maxBackoff)
	wait = wait/2 + rand.N(wait/2)
	asked := time.Duration(request.ProblemOf(err).RetryAfterMillis) * time.Millisecond
	return max(wait, min(asked, maxBackoff))
}
